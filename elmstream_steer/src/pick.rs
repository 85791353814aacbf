//! Chooses the backend server of a request, or refuses it.
//!
//! Requests of one key meet the same server (rendezvous hashing inside a region
//! that [`crate::region_shares`] draws by key), so that it knows what they are about.
//! Others follow only if it would keep the request waiting too long, and rather
//! one that knows the key. What is in flight from all hosts tells the wait. A
//! request that would wait too long everywhere is refused at once.

use elmstream::time::{MILLI, Time};

use crate::{
    hash,
    model::{Repeatability, Route},
    region_shares::RegionShares,
    rollout::RolloutArm,
    servers::{AnswerTimes, ServerEntry, ServerIndex, ServerTable},
    warm_keys::WarmKeys,
};

/// Cost of another region, in milliseconds of answer time.
const AWAY_MS: f64 = 30.0;
/// Added answer time of a server all of whose answers fail, as a multiple.
const FAILING: f64 = 6.0;
/// Answer time of a cold server, as a multiple; on the users' sites it takes twice as
/// long.
const COLD: f64 = 2.0;
/// Part of a route's time-out in which a cold server must be expected to answer.
const TIMEOUT_PART: f64 = 0.9;
/// Multiple of the objective in which an answer must be expected. An answer that comes
/// a little late still serves its caller better than a refusal, whose second try comes
/// 250 ms later at least and may be refused again. Measured in docs/DECISIONS.md: at
/// 0.85, 1 and 1.4 ever fewer are lost; at 2 and 2.8 queues make most answers late.
const AIM_PART: f64 = 1.4;
/// The same for a caller who was refused before, and would be lost if refused again.
const RETURN_PART: f64 = 2.0;
/// Least part of the objective that a wait may take.
const WAIT_LEAST: f64 = 0.1;
/// Servers of the first region, and of each further one, that are considered.
const RANKS_FIRST: usize = 2;
const RANKS_NEXT: usize = 1;
/// Cost of each step down the order for a server that does not know the key.
const STEP_MS: f64 = 60.0;
/// A server without knowledge of the key is used up to this part of its slots.
const SPARE: f64 = 0.8;
/// Occupied part of a service's slots beyond which requests go only to servers
/// that know their key, or should: another would work longer on the request, and
/// forget a key for it, just when nobody has time to spare.
const SECOND_MAX: f64 = 0.75;
/// The same for any server but the first ones.
const SPILL_MAX: f64 = 0.65;
/// Time between two trials of a silent server, for each host that may try.
const TRIAL: u64 = 500 * MILLI;
/// When to come back if no server may take the request.
const NO_SERVER_RETRY_MS: u64 = 300;
/// Shortest and longest time that a refused caller is told to wait.
const RETRY_MIN_MS: f64 = 250.0;
const RETRY_MAX_MS: f64 = 800.0;

/// The same if all servers asked for rest or named limits: they say when themselves.
const SPARED_MIN_MS: u64 = 250;
const SPARED_MAX_MS: u64 = 10_000;

/// A request that wants a server.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The service it goes to.
    pub service: &'a str,
    /// Hash of its affinity key, or of its id if it has none.
    pub key: u64,
    /// Servers that it was sent to before.
    pub tried: &'a [ServerIndex],
    /// Whether its caller has most likely been refused before.
    pub returning: bool,
    /// Regions in which its workspace's requests may run; empty for any.
    pub homes: &'a [String],
}

impl PickRequest<'_> {
    /// Whether the request may run in a region: the homes of its route and of its workspace
    /// both bind.
    fn at_home(&self, region: &str) -> bool {
        let among = |homes: &[String]| homes.is_empty() || homes.iter().any(|home| home == region);
        among(&self.route.homes) && among(self.homes)
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// To this server.
    Send(ServerIndex),
    /// Nowhere now.
    Refuse(Refusal),
}

/// Why a request goes nowhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When to come back, in milliseconds.
    pub retry_ms: u64,
    /// Servers that were considered.
    pub servers: u32,
    /// Those of them with a slot free.
    pub free_servers: u32,
    /// Occupied part of their slots, in hundredths.
    pub load_percent: u32,
    /// Servers that get nothing from this host now, as they asked for rest or named a limit.
    pub spared: u32,
}

impl Refusal {
    /// A refusal for which no server was considered.
    pub fn new(reason: RefusalReason, retry_ms: u64) -> Refusal {
        Refusal { reason, retry_ms, servers: 0, free_servers: 0, load_percent: 0, spared: 0 }
    }
}

/// Reasons of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No server of the service may take it.
    NoServer,
    /// Each of them asked for rest, or named a limit of which this host's part is used up.
    Spared,
    /// It would wait too long at each of them.
    Full,
    /// Servers did not run it, and the retry budget allows no further one.
    Budget,
    /// Servers did not run it, and no further try is left.
    Tries,
}

/// What a choice rests on beside the request.
#[derive(Clone, Copy, Debug)]
pub struct PickContext<'a> {
    /// Now.
    pub now: Time,
    /// Which servers it may go to as its service is rolled out.
    pub rollout_arm: RolloutArm,
    /// When this host started.
    pub started: Time,
    /// Failure domain and region of this host.
    pub location: (&'a str, &'a str),
    /// All servers.
    pub servers: &'a ServerTable,
    /// Failure domains whose servers get nothing.
    pub evacuated: &'a std::collections::BTreeSet<String>,
    /// Live hosts, this one included.
    pub live_hosts: usize,
    /// Whether this host knows where the others are.
    pub hosts_known: bool,
    /// How the regions divide the requests of the service.
    pub region_shares: &'a RegionShares,
    /// Which servers know which keys.
    pub warm_keys: &'a WarmKeys,
}

/// A server that may take the request.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    index: ServerIndex,
    entry: &'a ServerEntry,
    /// Place of its region in the key's order.
    place: usize,
    weight: u64,
    /// Requests in flight there.
    occupied: u32,
}

/// Servers that may take the request, gathered in one pass: a service has many, and
/// only the first few of each region are ever looked at.
struct Field<'a> {
    /// The first few servers of each region, in the key's order.
    ranks: Vec<Vec<Candidate<'a>>>,
    /// The emptiest server with room to spare.
    emptiest: Option<Candidate<'a>>,
    count: u32,
    free: u32,
    slots: u32,
    used: u32,
    /// Servers that are left out for their rest or their limit, and when this host may send
    /// to the first of them.
    spared: u32,
    spared_until: Option<Time>,
}

impl<'a> Field<'a> {
    fn new(regions: usize) -> Field<'a> {
        let ranks = vec![Vec::new(); regions];
        Field {
            ranks,
            emptiest: None,
            count: 0,
            free: 0,
            slots: 0,
            used: 0,
            spared: 0,
            spared_until: None,
        }
    }

    fn add(&mut self, candidate: Candidate<'a>) {
        let slots = candidate.entry.server.slots;
        self.count += 1;
        self.free += u32::from(candidate.occupied < slots);
        self.slots += slots;
        self.used += candidate.occupied.min(slots);
        if spare(&candidate) && self.emptiest.is_none_or(|best| emptier(&candidate, &best)) {
            self.emptiest = Some(candidate);
        }
        let ranks = &mut self.ranks[candidate.place];
        let most = if candidate.place == 0 { RANKS_FIRST } else { RANKS_NEXT };
        let at = ranks.partition_point(|other| other.weight > candidate.weight);
        if at < most {
            ranks.truncate(most - 1);
            ranks.insert(at, candidate);
        }
    }

    /// Leaves a server out; this host may send to it at a time, if that is known.
    fn spare(&mut self, until: Option<Time>) {
        self.spared += 1;
        self.spared_until = match (self.spared_until, until) {
            (Some(known), Some(until)) => Some(known.min(until)),
            (known, until) => known.or(until),
        };
    }

    /// Occupied part of all servers' slots.
    fn load(&self) -> f64 {
        f64::from(self.used) / f64::from(self.slots.max(1))
    }
}

/// Chooses a server.
pub fn pick_server(scene: &PickContext<'_>, ask: &PickRequest<'_>) -> Pick {
    let pace = scene.servers.answer_times(ask.service);
    let field = field(scene, ask, pace);
    if field.count == 0 {
        return Pick::Refuse(none(scene.now, &field));
    }
    let load = field.load();
    let mut best: Option<(f64, ServerIndex)> = None;
    let mut least_wait = f64::MAX;
    let mut step = 0.0;
    for candidate in field.ranks.iter().flatten() {
        let knows = scene.warm_keys.is_warm(scene.now, candidate.index, ask.key);
        let wait = wait_ms(scene.now, candidate, pace);
        least_wait = least_wait.min(wait);
        let first = step == 0.0;
        let usable = if first || knows {
            wait <= patience_ms(scene, ask, candidate.entry, pace)
        } else {
            load < SECOND_MAX && spare(candidate)
        };
        let usable = usable && !hopeless(scene, ask.route, candidate.entry, pace, knows, wait);
        let cost = cost_ms(scene, candidate.entry, pace, knows) + wait;
        let cost = if knows { cost } else { cost + step };
        if usable && best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, candidate.index));
        }
        step += STEP_MS;
    }
    let spill = field.emptiest.filter(|_| load < SPILL_MAX).map(|candidate| candidate.index);
    match best.map(|(_, index)| index).or(spill) {
        Some(index) => Pick::Send(index),
        None => Pick::Refuse(Refusal {
            servers: field.count,
            free_servers: field.free,
            load_percent: (load * 100.0) as u32,
            spared: field.spared,
            ..Refusal::new(RefusalReason::Full, retry_ms(least_wait))
        }),
    }
}

/// The refusal of a request that no server may take.
fn none(now: Time, field: &Field<'_>) -> Refusal {
    if field.spared == 0 {
        return Refusal::new(RefusalReason::NoServer, NO_SERVER_RETRY_MS);
    }
    let until = field.spared_until.map(|until| until.since(now) / MILLI);
    let retry = until.map_or(NO_SERVER_RETRY_MS, |until| until.clamp(SPARED_MIN_MS, SPARED_MAX_MS));
    Refusal { spared: field.spared, ..Refusal::new(RefusalReason::Spared, retry) }
}

/// Servers that may take the request.
fn field<'a>(scene: &PickContext<'a>, ask: &PickRequest<'_>, pace: AnswerTimes) -> Field<'a> {
    let order = scene.region_shares.region_order(scene.location.1, ask.key);
    let mut field = Field::new(order.len() + 1);
    let mut silent: Vec<Candidate<'a>> = Vec::new();
    for (index, entry) in scene.servers.of_service(ask.service) {
        if !allowed(scene, ask, index, entry) || !cold_allows(scene, entry) {
            continue;
        }
        if entry.is_backing_off(scene.now) {
            field.spare(Some(entry.backoff_until));
            continue;
        }
        if !limit_allows(scene, entry) {
            field.spare(entry.server_limit.next_send());
            continue;
        }
        let place = order.iter().position(|name| *name == entry.region).unwrap_or(order.len());
        let weight = hash::combine(entry.hash, ask.key);
        let occupied = entry.in_flight(scene.now);
        let candidate = Candidate { index, entry, place, weight, occupied };
        if entry.is_ejected(scene.now, pace, scene.live_hosts) {
            silent.push(candidate);
        } else {
            field.add(candidate);
        }
    }
    // A silent server is tried now and then, by requests that may run again; if
    // most are silent, the fault is more likely on this host's side.
    let apart = TRIAL * scene.live_hosts as u64;
    let all = silent.len() > field.count as usize;
    let may = |c: &Candidate<'_>| {
        ask.route.repeat == Repeatability::Safe && c.entry.probe_due(scene.now, apart)
    };
    for candidate in silent.into_iter().filter(|c| all || may(c)) {
        field.add(candidate);
    }
    field
}

/// Whether the server may get the request at all.
fn allowed(
    scene: &PickContext<'_>,
    ask: &PickRequest<'_>,
    index: ServerIndex,
    entry: &ServerEntry,
) -> bool {
    ask.at_home(&entry.region)
        && !entry.is_leaving()
        && scene.rollout_arm.includes(entry.rollout_role)
        && (scene.rollout_arm != RolloutArm::Canary
            || entry.in_flight(scene.now) < entry.server.slots)
        && !scene.evacuated.contains(&entry.server.domain)
        && !ask.tried.contains(&index)
        && entry.is_reachable(scene.now)
        && (entry.own_in_flight == 0 || !entry.is_probing())
}

/// Whether the bound on cold servers lets this host send there now.
fn cold_allows(scene: &PickContext<'_>, entry: &ServerEntry) -> bool {
    let due = scene.now >= crate::cold_start::next_send(scene.started, entry.last_cold_send);
    !entry.is_cold(scene.now) || (entry.cold_sender && scene.hosts_known && due)
}

/// Whether the limit that a server named lets this host send there now.
fn limit_allows(scene: &PickContext<'_>, entry: &ServerEntry) -> bool {
    let limited = &entry.server_limit;
    limited.limit().is_none() || (scene.hosts_known && limited.allows(scene.now))
}

/// Time until a slot is free, in milliseconds.
fn wait_ms(now: Time, candidate: &Candidate<'_>, pace: AnswerTimes) -> f64 {
    let slots = candidate.entry.server.slots.max(1);
    let ahead = (candidate.occupied + 1).saturating_sub(slots);
    ahead as f64 * pace.mean_ms * candidate.entry.slowness(now).max(1.0) / slots as f64
}

/// Answer time without the wait, and what the place costs, in milliseconds.
fn cost_ms(scene: &PickContext<'_>, entry: &ServerEntry, pace: AnswerTimes, knows: bool) -> f64 {
    let away = if entry.region == scene.location.1 { 0.0 } else { AWAY_MS };
    let work = if knows { pace.warm_ms } else { pace.not_warm_ms };
    let failing = 1.0 + FAILING * entry.failure_rate(scene.now);
    let cold = if entry.is_cold(scene.now) { COLD } else { 1.0 };
    away + work * entry.slowness(scene.now).max(0.7) * failing * cold
}

/// Whether a cold server would most likely not answer before the route's time-out.
fn hopeless(
    scene: &PickContext<'_>,
    route: &Route,
    entry: &ServerEntry,
    pace: AnswerTimes,
    knows: bool,
    wait: f64,
) -> bool {
    let work = if knows { pace.warm_ms } else { pace.not_warm_ms };
    entry.is_cold(scene.now) && work * COLD + wait > route.timeout_ms as f64 * TIMEOUT_PART
}

/// Whether a server has room for a request of a key that it does not know.
fn spare(candidate: &Candidate<'_>) -> bool {
    f64::from(candidate.occupied) < f64::from(candidate.entry.server.slots) * SPARE
}

/// Whether one server is emptier than another; of two alike, the key's order decides.
fn emptier(one: &Candidate<'_>, other: &Candidate<'_>) -> bool {
    let used = |c: &Candidate<'_>| c.occupied * 1_000 / c.entry.server.slots.max(1);
    (used(one), other.weight) < (used(other), one.weight)
}

/// The longest wait that a request of the route is sent into, in milliseconds.
fn patience_ms(
    scene: &PickContext<'_>,
    ask: &PickRequest<'_>,
    entry: &ServerEntry,
    pace: AnswerTimes,
) -> f64 {
    let objective = ask.route.objective_ms as f64;
    let part = if ask.returning { RETURN_PART } else { AIM_PART };
    let away = if entry.region == scene.location.1 { 0.0 } else { AWAY_MS };
    let left = objective * part - pace.warm_ms * entry.slowness(scene.now).max(1.0) - away;
    left.max(objective * WAIT_LEAST)
}

fn retry_ms(wait: f64) -> u64 {
    wait.clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64
}
