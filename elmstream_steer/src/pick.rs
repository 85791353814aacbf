//! Selects the backend server of a request, or refuses the request.
//!
//! Requests with one key go to one server: [`crate::placement`] orders the places for the key, and
//! rendezvous hashing ranks the servers of a place. That server then has the key's data cached. A
//! request goes to another server only if it would wait too long there, and preferably to one that
//! is warm for the key. The wait is computed from the requests that all hosts together have in
//! flight. A request that would wait too long everywhere is refused at once.
//!
//! Usable servers are compared by their cost: the expected answer time in milliseconds, plus
//! penalties for failures, other places and servers that are not warm for the key.

use elmstream::time::{MILLI, Time};

use crate::{
    hash,
    homes::Homes,
    key_moves,
    key_order::DomainRank,
    model::{Repeatability, Route},
    placement::ServicePlacement,
    policies::PlacementPolicy,
    refusal_rate::RefusalOutlook,
    rollout::RolloutArm,
    servers::{AnswerTimes, ServerEntry, ServerIndex, ServerTable},
    warm_keys::WarmKeys,
};

/// A server's expected answer time is multiplied by 1 plus this factor times its failure rate,
/// which is 1 if all of its answers fail.
const FAILURE_COST_FACTOR: f64 = 6.0;
/// Factor on the answer time of a cold server. Cold servers in production take twice as long.
const COLD_SLOWDOWN: f64 = 2.0;
/// Fraction of a route's timeout within which a cold server must be expected to answer.
const COLD_TIMEOUT_FRACTION: f64 = 0.9;
/// Multiple of the route's objective within which an answer must be expected. A slightly late
/// answer serves its caller better than a refusal: the retry comes at least 250 ms later and may be
/// refused again. With lower values more requests are lost; at 2 and above, queues make most
/// answers late.
const OBJECTIVE_FACTOR: f64 = 1.4;
/// Like `OBJECTIVE_FACTOR`, for a caller that was refused before and would give up after another
/// refusal.
const RETURNING_OBJECTIVE_FACTOR: f64 = 2.0;
/// Lower bound of the longest accepted wait, as a fraction of the route's objective.
const MIN_WAIT_FRACTION: f64 = 0.1;
/// Number of ranked servers that are considered in the key's first place, and in each further place
/// of the region and in each other region.
const FIRST_PLACE_RANKS: usize = 2;
const OTHER_PLACE_RANKS: usize = 1;
/// Cost of each rank after the first, in milliseconds, for a server that is not warm for the key.
const NOT_WARM_RANK_COST_MS: f64 = 60.0;
/// Fraction of its slots up to which a server that is not warm for the key is used.
const NOT_WARM_LOAD_MAX: f64 = 0.8;
/// Load of a service above which requests go only to servers that are warm for their key, or that
/// rank first for it. Any other server would take longer and evict another key from its cache, at a
/// time when no capacity is left for that.
const NOT_WARM_SERVICE_LOAD_MAX: f64 = 0.75;
/// Load of a service above which requests no longer spill over to the least loaded server. Below
/// it, any server may be that one, not only those that are compared by rank.
const SPILL_SERVICE_LOAD_MAX: f64 = 0.65;
/// Interval at which the fleet probes a silent server, in microseconds. Each host probes at this
/// interval times the number of live hosts.
const PROBE_INTERVAL: u64 = 500 * MILLI;
/// Retry time of a refusal when no server can take the request, or when it isn't known how long the
/// servers must be spared, in milliseconds.
const NO_SERVER_RETRY_MS: u64 = 300;
/// Bounds of the retry time of a refusal for lack of capacity, in milliseconds.
const RETRY_MIN_MS: f64 = 250.0;
const RETRY_MAX_MS: f64 = 800.0;

/// Bounds of the retry time when all servers ask for back-off or have limits, in milliseconds.
/// Within them it is the time that the servers gave.
const SPARED_RETRY_MIN_MS: u64 = 250;
const SPARED_RETRY_MAX_MS: u64 = 10_000;

/// A request that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The request's route.
    pub route: &'a Route,
    /// Name of the service that the request goes to.
    pub service: &'a str,
    /// Hash of the affinity key, or of the request id if there is no affinity key.
    pub key: u64,
    /// Servers that the request was already sent to; they are not picked again.
    pub tried: &'a [ServerIndex],
    /// Servers that were picked and to which the request was not sent; they are not picked again.
    pub withheld: &'a [ServerIndex],
    /// Whether the caller has probably been refused before; the request then accepts a longer wait.
    pub returning: bool,
    /// Regions in which the request may run.
    pub homes: Homes<'a>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Id of the workspace that the request counts against; `None` if its route needs no key.
    pub workspace: Option<u64>,
    /// Time until the caller must have the answer, in milliseconds.
    pub remaining_ms: u64,
}

/// Result of server selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Send the request to this server.
    Send(ServerIndex),
    /// Refuse the request.
    Refuse(Refusal),
}

/// A refusal and the state of the servers that led to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_ms: u64,
    /// Number of servers that were considered; spared servers are not among them.
    pub servers: u32,
    /// Number of considered servers with a free slot.
    pub free_servers: u32,
    /// Occupied slots of the considered servers, in percent.
    pub load_percent: u32,
    /// Number of otherwise usable servers that this host must not send to now because of a back-off
    /// or a server limit.
    pub spared: u32,
}

impl Refusal {
    /// Creates a refusal in which all counts of servers are 0.
    pub fn new(reason: RefusalReason, retry_ms: u64) -> Refusal {
        Refusal { reason, retry_ms, servers: 0, free_servers: 0, load_percent: 0, spared: 0 }
    }
}

/// Reasons for a refusal. Logs contain the names of the variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No server of the service may get the request. A server may not if, for example, it was
    /// tried before, is leaving, unreachable or silent, or is excluded by its region, an
    /// evacuation, a roll-out or the bound on requests to cold servers.
    NoServer,
    /// Every otherwise usable server asked for back-off, or has a limit of which this host's share
    /// is used up.
    Spared,
    /// The request would wait too long at every server that may get it.
    Full,
    /// Earlier attempts gave no final answer, and the retry budget allows no further one.
    Budget,
    /// Earlier attempts gave no final answer, and no further one may follow: the route's number of
    /// attempts or the time is used up, or the request may have run and must not be repeated.
    Tries,
}

/// State that server selection depends on, beside the request.
#[derive(Clone, Copy, Debug)]
pub struct PickContext<'a> {
    /// Current time.
    pub now: Time,
    /// Servers that the service's roll-out allows for the request, by their version.
    pub rollout_arm: RolloutArm,
    /// When this host started. It sends nothing to cold servers at first, as it does not know what
    /// it sent to them before a restart.
    pub started: Time,
    /// Failure domain and region of this host.
    pub location: (&'a str, &'a str),
    /// All backend servers.
    pub servers: &'a ServerTable,
    /// Evacuated failure domains; their servers get no requests.
    pub evacuated: &'a std::collections::BTreeSet<String>,
    /// Number of live hosts, including this one. Probes of silent servers are spread over them.
    pub live_hosts: usize,
    /// Whether this host knows the addresses of the other hosts. Until then it can't tell its share
    /// of the requests to cold and limited servers, and sends them none.
    pub hosts_known: bool,
    /// Division of the service's keys over the places; `None` if it is not known yet.
    pub placement: Option<&'a ServicePlacement>,
    /// Settings of the placement.
    pub policy: PlacementPolicy,
    /// Which servers have which keys' data cached.
    pub warm_keys: &'a WarmKeys,
    /// Refusals of the service's servers with free slots; `None` if they are not considered.
    pub refusals: Option<RefusalOutlook>,
}

/// A server that may take the request.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    index: ServerIndex,
    entry: &'a ServerEntry,
    /// Rank of the server's failure domain in the key's order.
    domain_rank: DomainRank,
    weight: u64,
    /// Requests in flight at the server, from all hosts.
    occupied: u32,
}

/// Servers that may take the request. They are gathered in one pass because a service has many
/// servers, of which only the first few of each place are compared.
struct Candidates<'a> {
    /// The highest-ranked servers of each group of places, in rendezvous order.
    ranks: Vec<Vec<Candidate<'a>>>,
    /// The server with the lowest load among all candidates with spare slots, whatever its rank.
    least_loaded: Option<Candidate<'a>>,
    count: u32,
    free: u32,
    slots: u32,
    occupied_slots: u32,
    /// Servers left out because of a back-off or a server limit, and the earliest known time at
    /// which this host may send to one of them.
    spared: u32,
    spared_until: Option<Time>,
}

impl<'a> Candidates<'a> {
    fn new(groups: usize) -> Candidates<'a> {
        let ranks = vec![Vec::new(); groups];
        Candidates {
            ranks,
            least_loaded: None,
            count: 0,
            free: 0,
            slots: 0,
            occupied_slots: 0,
            spared: 0,
            spared_until: None,
        }
    }

    fn add(&mut self, candidate: Candidate<'a>) {
        let slots = candidate.entry.server.slots;
        self.count += 1;
        self.free += u32::from(candidate.occupied < slots);
        self.slots += slots;
        self.occupied_slots += candidate.occupied.min(slots);
        if has_spare_slots(&candidate)
            && self.least_loaded.is_none_or(|best| has_lower_load(&candidate, &best))
        {
            self.least_loaded = Some(candidate);
        }
        let group = usize::from(candidate.domain_rank.group);
        let ranks = &mut self.ranks[group];
        let max_ranks = if group == 0 { FIRST_PLACE_RANKS } else { OTHER_PLACE_RANKS };
        let position = ranks.partition_point(|other| precedes(other, &candidate));
        if position < max_ranks {
            ranks.truncate(max_ranks - 1);
            ranks.insert(position, candidate);
        }
    }

    /// Counts a server that is left out; `until` is when this host may send to it again, if known.
    fn add_spared(&mut self, until: Option<Time>) {
        self.spared += 1;
        self.spared_until = match (self.spared_until, until) {
            (Some(known), Some(until)) => Some(known.min(until)),
            (known, until) => known.or(until),
        };
    }

    /// A refusal that states the counts of the candidates.
    fn refusal(&self, reason: RefusalReason, retry_ms: u64) -> Refusal {
        Refusal {
            servers: self.count,
            free_servers: self.free,
            load_percent: (self.load() * 100.0) as u32,
            spared: self.spared,
            ..Refusal::new(reason, retry_ms)
        }
    }

    /// Occupied fraction of the slots of all candidates, 0 to 1.
    fn load(&self) -> f64 {
        f64::from(self.occupied_slots) / f64::from(self.slots.max(1))
    }
}

/// Selects the server of a request.
///
/// The request goes to the server of lowest cost among the first ranks of each place that can run
/// it in time. If there is none and the service's load is low, it goes to the least loaded server
/// with spare slots. Otherwise it is refused.
pub fn pick_server(context: &PickContext<'_>, request: &PickRequest<'_>) -> Pick {
    let times = context.servers.answer_times(request.service);
    let candidates = gather_candidates(context, request, times);
    if candidates.count == 0 {
        return Pick::Refuse(no_candidate_refusal(context.now, &candidates));
    }
    if let Some(index) = server_to_move_to(context, request, &candidates, times) {
        return Pick::Send(index);
    }
    let ranked = least_cost_server(context, request, &candidates, times);
    let spill = candidates
        .least_loaded
        .filter(|_| candidates.load() < SPILL_SERVICE_LOAD_MAX || seeks_chance(context, request))
        .filter(|candidate| !wastes_retry(context, request, candidate.entry))
        .map(|candidate| candidate.index);
    match ranked.server.or(spill) {
        Some(index) => Pick::Send(index),
        None => {
            let retry_ms = retry_ms(ranked.shortest_wait_ms);
            Pick::Refuse(candidates.refusal(RefusalReason::Full, retry_ms))
        }
    }
}

/// Result of the comparison of the ranked servers.
#[derive(Clone, Copy, Debug)]
struct RankedChoice {
    /// The server of lowest cost that can run the request in time.
    server: Option<ServerIndex>,
    shortest_wait_ms: f64,
}

/// Compares the first ranks of each place.
fn least_cost_server(
    context: &PickContext<'_>,
    request: &PickRequest<'_>,
    candidates: &Candidates<'_>,
    times: AnswerTimes,
) -> RankedChoice {
    let load = candidates.load();
    let mut choice = RankedChoice { server: None, shortest_wait_ms: f64::MAX };
    let mut least_cost_ms = f64::MAX;
    for (rank, candidate) in candidates.ranks.iter().flatten().enumerate() {
        let warm = context.warm_keys.is_warm(context.now, candidate.index, request.key);
        let wait_here_ms = wait_ms(context.now, candidate, times);
        choice.shortest_wait_ms = choice.shortest_wait_ms.min(wait_here_ms);
        let usable = if rank == 0 || warm {
            wait_here_ms <= max_wait_ms(context, request, candidate.entry, times)
        } else {
            (load < NOT_WARM_SERVICE_LOAD_MAX || seeks_chance(context, request))
                && has_spare_slots(candidate)
        };
        let usable = usable
            && !would_time_out(context, request.route, candidate.entry, times, warm, wait_here_ms)
            && !wastes_retry(context, request, candidate.entry);
        let rank_cost_ms = if warm { 0.0 } else { rank as f64 * NOT_WARM_RANK_COST_MS };
        let cost_here_ms = cost_ms(context, candidate.entry, times, warm) + wait_here_ms
            - placed_ms(context, candidate)
            + rank_cost_ms;
        if usable && cost_here_ms < least_cost_ms {
            least_cost_ms = cost_here_ms;
            choice.server = Some(candidate.index);
        }
    }
    choice
}

/// The key's first server, if the request should move the key there: the division over failure
/// domains gave the key another place, and its servers are not warm yet.
fn server_to_move_to(
    context: &PickContext<'_>,
    request: &PickRequest<'_>,
    candidates: &Candidates<'_>,
    times: AnswerTimes,
) -> Option<ServerIndex> {
    if !follows_domains(context)
        || candidates.load() >= NOT_WARM_SERVICE_LOAD_MAX
        || request.returning
        || !request.tried.is_empty()
        || !key_moves::is_drawn(context.now, request.key, request.priority)
    {
        return None;
    }
    let is_warm = |c: &Candidate<'_>| context.warm_keys.is_warm(context.now, c.index, request.key);
    if !candidates.ranks.iter().flatten().any(is_warm) {
        return None;
    }
    let first = candidates.ranks.first()?.first().filter(|first| !is_warm(first))?;
    let wait = wait_ms(context.now, first, times);
    let work_ms = times.not_warm_ms * first.entry.slowness(context.now).max(1.0);
    let has_time = wait + work_ms <= request.remaining_ms as f64 * key_moves::TIME_FRACTION;
    let times_out = would_time_out(context, request.route, first.entry, times, false, wait);
    (has_spare_slots(first) && has_time && !times_out).then_some(first.index)
}

/// Whether keys are moved as the division over failure domains says.
fn follows_domains(context: &PickContext<'_>) -> bool {
    context.placement.is_some_and(ServicePlacement::is_by_domain)
}

/// Cost of sending to the key's first place, which the division over failure domains has weighed
/// already, in milliseconds; 0 for other places.
fn placed_ms(context: &PickContext<'_>, candidate: &Candidate<'_>) -> f64 {
    let is_first = follows_domains(context) && candidate.domain_rank.group == 0;
    if is_first { transfer_ms(context, candidate.entry) } else { 0.0 }
}

/// The refusal of a request for which there is no candidate.
fn no_candidate_refusal(now: Time, candidates: &Candidates<'_>) -> Refusal {
    if candidates.spared == 0 {
        return Refusal::new(RefusalReason::NoServer, NO_SERVER_RETRY_MS);
    }
    let until = candidates.spared_until.map(|until| until.since(now) / MILLI);
    let retry = until
        .map_or(NO_SERVER_RETRY_MS, |until| until.clamp(SPARED_RETRY_MIN_MS, SPARED_RETRY_MAX_MS));
    Refusal { spared: candidates.spared, ..Refusal::new(RefusalReason::Spared, retry) }
}

/// Gathers the servers that may take the request.
fn gather_candidates<'a>(
    context: &PickContext<'a>,
    request: &PickRequest<'_>,
    times: AnswerTimes,
) -> Candidates<'a> {
    let order = context.placement.map(|placement| placement.order().order(request.key));
    let order = order.unwrap_or_default();
    let mut candidates = Candidates::new(order.groups());
    let mut ejected: Vec<Candidate<'a>> = Vec::new();
    for (index, entry) in context.servers.of_service(request.service) {
        if !may_send(context, request, index, entry) || !cold_bound_allows(context, entry) {
            continue;
        }
        if entry.is_backing_off(context.now) {
            candidates.add_spared(Some(entry.backoff_until));
            continue;
        }
        if !server_limit_allows(context, entry) {
            candidates.add_spared(entry.server_limit.next_send());
            continue;
        }
        let domain_rank = order.rank(entry.domain_index);
        let weight = hash::combine(entry.hash, request.key);
        let occupied = entry.in_flight(context.now);
        let candidate = Candidate { index, entry, domain_rank, weight, occupied };
        if entry.is_ejected(context.now, times, context.live_hosts) {
            ejected.push(candidate);
        } else {
            candidates.add(candidate);
        }
    }
    // A silent server gets occasional probes, only by requests that are safe to repeat. If most
    // servers are silent, the fault is more likely on this host's side, so all of them stay in.
    let interval = PROBE_INTERVAL * context.live_hosts as u64;
    let probe_all = ejected.len() > candidates.count as usize;
    let may_probe = |c: &Candidate<'_>| {
        request.route.repeat == Repeatability::Safe && c.entry.probe_due(context.now, interval)
    };
    for candidate in ejected.into_iter().filter(|c| probe_all || may_probe(c)) {
        candidates.add(candidate);
    }
    candidates
}

/// Whether this host may send the request to the server, apart from the bound on cold servers,
/// back-off and server limits.
fn may_send(
    context: &PickContext<'_>,
    request: &PickRequest<'_>,
    index: ServerIndex,
    entry: &ServerEntry,
) -> bool {
    request.homes.allow(&entry.region)
        && !entry.is_leaving()
        && context.rollout_arm.includes(entry.rollout_role)
        && (context.rollout_arm != RolloutArm::Canary
            || entry.in_flight(context.now) < entry.server.slots)
        && !context.evacuated.contains(&entry.server.domain)
        && !request.tried.contains(&index)
        && !request.withheld.contains(&index)
        && entry.is_reachable(context.now)
        && entry.bears_more_bytes()
        && (entry.own_in_flight == 0 || !entry.is_probing())
}

/// Whether the bound on requests to cold servers lets this host send to the server now.
fn cold_bound_allows(context: &PickContext<'_>, entry: &ServerEntry) -> bool {
    let due = context.now >= crate::cold_start::next_send(context.started, entry.last_cold_send);
    !entry.is_cold(context.now) || (entry.cold_sender && context.hosts_known && due)
}

/// Whether the server's own limit lets this host send to it now.
fn server_limit_allows(context: &PickContext<'_>, entry: &ServerEntry) -> bool {
    let limited = &entry.server_limit;
    limited.limit().is_none() || (context.hosts_known && limited.allows(context.now))
}

/// Expected time until a slot is free, in milliseconds.
fn wait_ms(now: Time, candidate: &Candidate<'_>, times: AnswerTimes) -> f64 {
    let slots = candidate.entry.server.slots.max(1);
    let ahead = (candidate.occupied + 1).saturating_sub(slots);
    ahead as f64 * times.mean_ms * candidate.entry.slowness(now).max(1.0) / slots as f64
}

/// Expected answer time without the wait, in milliseconds, with the penalties for failures and for
/// another place.
fn cost_ms(context: &PickContext<'_>, entry: &ServerEntry, times: AnswerTimes, warm: bool) -> f64 {
    let work_ms = if warm { times.warm_ms } else { times.not_warm_ms };
    let failing = 1.0 + FAILURE_COST_FACTOR * entry.failure_rate(context.now);
    let cold = if entry.is_cold(context.now) { COLD_SLOWDOWN } else { 1.0 };
    let refused_ms = context.refusals.map_or(0.0, |refusals| refusals.cost_ms(context.now, entry));
    let work_ms = work_ms * entry.slowness(context.now).max(0.7) * failing * cold;
    transfer_ms(context, entry) + work_ms + refused_ms
}

/// Cost of sending to the server's place, in milliseconds.
fn transfer_ms(context: &PickContext<'_>, entry: &ServerEntry) -> f64 {
    let (domain, region) = context.location;
    if entry.region != region {
        context.policy.region_cost_ms
    } else if entry.server.domain != domain {
        context.policy.domain_cost_ms
    } else {
        0.0
    }
}

/// Whether a server of the same group of places comes before another in the key's order.
fn precedes(one: &Candidate<'_>, other: &Candidate<'_>) -> bool {
    (other.domain_rank.position, one.weight) > (one.domain_rank.position, other.weight)
}

/// Whether a second send may go to any server with spare slots, because the service's refusals do
/// not go with its load.
fn seeks_chance(context: &PickContext<'_>, request: &PickRequest<'_>) -> bool {
    !request.tried.is_empty() && context.refusals.is_some_and(RefusalOutlook::service_refuses)
}

/// Whether a second send to a server is expected to be refused as well.
fn wastes_retry(context: &PickContext<'_>, request: &PickRequest<'_>, entry: &ServerEntry) -> bool {
    let refusals = context.refusals.filter(|_| !request.tried.is_empty());
    refusals.is_some_and(|refusals| refusals.will_refuse(context.now, entry))
}

/// Whether a cold server would probably not answer before the route's timeout.
fn would_time_out(
    context: &PickContext<'_>,
    route: &Route,
    entry: &ServerEntry,
    times: AnswerTimes,
    warm: bool,
    wait: f64,
) -> bool {
    let work_ms = if warm { times.warm_ms } else { times.not_warm_ms };
    entry.is_cold(context.now)
        && work_ms * COLD_SLOWDOWN + wait > route.timeout_ms as f64 * COLD_TIMEOUT_FRACTION
}

/// Whether a server has spare slots for requests of keys that it is not warm for.
fn has_spare_slots(candidate: &Candidate<'_>) -> bool {
    f64::from(candidate.occupied) < f64::from(candidate.entry.server.slots) * NOT_WARM_LOAD_MAX
}

/// Whether one server has a lower load than another; the higher rendezvous weight wins a tie.
fn has_lower_load(one: &Candidate<'_>, other: &Candidate<'_>) -> bool {
    let used = |c: &Candidate<'_>| c.occupied * 1_000 / c.entry.server.slots.max(1);
    (used(one), other.weight) < (used(other), one.weight)
}

/// Longest expected wait with which the request may still be sent to the server, in milliseconds.
fn max_wait_ms(
    context: &PickContext<'_>,
    request: &PickRequest<'_>,
    entry: &ServerEntry,
    times: AnswerTimes,
) -> f64 {
    let objective = request.route.objective_ms as f64;
    let factor = if request.returning { RETURNING_OBJECTIVE_FACTOR } else { OBJECTIVE_FACTOR };
    let work_ms = times.warm_ms * entry.slowness(context.now).max(1.0);
    let wait = objective * factor - work_ms - transfer_ms(context, entry);
    wait.max(objective * MIN_WAIT_FRACTION)
}

fn retry_ms(wait: f64) -> u64 {
    wait.clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64
}
