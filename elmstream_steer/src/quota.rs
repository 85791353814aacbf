//! Keeps workspaces within their limits, which hold for all hosts together.
//!
//! A host lets a workspace's requests through with the part that the workspace's tallies
//! ([`crate::tally`]) last gave it, and tells them what it was asked and let through. Of
//! most workspaces nothing is known to be pressing, and all requests go through. A host
//! that no tally answers goes by its own part of the limit: one of so many hosts.

use elmstream::time::{MILLI, SECOND, Time};
use rustc_hash::FxHashMap;

use crate::{
    hash,
    settings::Bounds,
    sliding_window::SlidingWindow,
    tally::{
        self, AdmitFraction, BroadcastFraction, FleetView, FractionBroadcast, Tally, UsageReply,
        UsageReport, WorkspaceUsage,
    },
    workspaces::{WorkspaceEntry, WorkspaceTable},
};

/// Hosts that sum up what one workspace asks: one more than is needed, so that the sum
/// outlives any one of them and whatever two hosts disagree on.
pub const TALLY_REPLICAS: usize = 2;
/// Time without an answer after which a report is sent again, to the next hosts in rank.
const ASK_AGAIN: u64 = 200 * MILLI;
/// Reports in a row without an answer after which the host goes by its own part. By then
/// six hosts were asked: with half of the fleet dead one host in 64 asked dead ones only.
const UNANSWERED: u8 = 3;
/// Time between two reports after that.
const ASK_IN_VAIN: u64 = 500 * MILLI;
/// Time for which an answer counts. A host with requests asks each 100 ms.
const FRESH: u64 = SECOND;
/// Time between two times that all hosts are told of a workspace that is pressing.
const TELL_EVERY: u64 = 300 * MILLI;
/// Time for which that counts: one that is lost is made up for by the next ones.
const HOLD: u64 = 1_000 * MILLI;
/// Hosts of a fleet that are told by one host itself; in a larger one some pass it on, as
/// many as each of them tells: two ways reach all, and no host sends much at once.
const TOLD_DIRECTLY: usize = 100;
/// Workspaces in one datagram at most: 25 bytes each, a sixth of the largest datagram.
const ENTRIES: usize = 100;
/// Time after which the hosts that get a part of a request draw anew, if there are more
/// hosts than requests to share out.
const DRAW_EVERY: u64 = 60 * SECOND;
/// Time after which a workspace that asks nothing is forgotten.
const FORGET: u64 = 60 * SECOND;
/// Shortest time after which a refused caller is told to come back.
const RETRY_MIN_MS: f64 = 300.0;

/// What the rulings rest on beside the workspace.
#[derive(Clone, Copy, Debug)]
pub struct QuotaContext<'a> {
    /// Now.
    pub now: Time,
    /// Bounds of the fleet.
    pub bounds: &'a Bounds,
    /// Hosts that are known and heard.
    pub fleet: FleetView,
    /// Whether this host knows where the others are.
    pub hosts_known: bool,
    /// Hashes of the addresses of hosts that may be running, with this one's first.
    pub address_hashes: &'a [u64],
}

/// Whether a request is within its workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It is, and counts.
    Within,
    /// It is not.
    Over {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// This host does not know yet what the others let through.
    Unready,
}

/// A report, and the hash of the address of the host that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedReport {
    /// Whom it is for.
    pub address_hash: u64,
    /// The report.
    pub report: UsageReport,
}

/// Parts for all hosts, and the hash of the address of the host that they go to.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedBroadcast {
    /// Whom they go to.
    pub address_hash: u64,
    /// The parts.
    pub broadcast: FractionBroadcast,
}

/// A part as it was given.
#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Hash of the address of the host that worked it out, cut to 32 bits.
    place: u32,
    part: f64,
    /// When it was worked out by that host's clock, for those that all are told.
    stamp: u32,
    at: Time,
}

/// What one workspace asked and used at this host.
#[derive(Clone, Debug, Default)]
struct LocalUsage {
    asked: u32,
    let_through: u32,
    used: SlidingWindow,
    /// The limit that `used` was counted under.
    limit: f64,
    /// `asked` of the last report.
    reported: u32,
    /// When that was sent, as long as nobody has answered it.
    unanswered: Option<Time>,
    /// Reports in a row that nobody answered.
    vain: u8,
    given: Vec<Grant>,
    last: Time,
}

/// What one host knows of the workspaces' limits.
#[derive(Clone, Debug)]
pub struct Quotas {
    /// Differs between starts of hosts.
    seed: u64,
    started: Time,
    draws: u64,
    own: FxHashMap<u64, LocalUsage>,
    tallies: FxHashMap<u64, Tally>,
    /// Parts that all hosts were told.
    heard: FxHashMap<u64, Vec<Grant>>,
    /// When this host last told all.
    told: Time,
    /// A workspace has become pressing since.
    urgent: bool,
}

impl Quotas {
    /// A host that has just started; `seed` differs between starts.
    pub fn new(seed: u64, started: Time) -> Quotas {
        Quotas {
            seed,
            started,
            draws: 0,
            own: FxHashMap::default(),
            tallies: FxHashMap::default(),
            heard: FxHashMap::default(),
            told: Time(0),
            urgent: false,
        }
    }

    /// Rules on a request, and counts it.
    pub fn admit(&mut self, scene: &QuotaContext<'_>, member: &WorkspaceEntry) -> QuotaDecision {
        let workspace = &member.workspace;
        if workspace.rate_per_s <= 0.0 {
            return QuotaDecision::Within;
        }
        if !scene.hosts_known {
            return QuotaDecision::Unready;
        }
        let (now, window) = (scene.now, tally::window_us(scene.bounds));
        let own = self.own.entry(member.id).or_default();
        own.under(tally::window_limit(scene.bounds, workspace));
        own.last = now;
        own.asked = own.asked.wrapping_add(1);
        let part = match latest(own.given(now), told(&self.heard, now, member.id)) {
            Some(given) => given.part,
            None if own.vain >= UNANSWERED || scene.fleet.is_isolated() => {
                let allowed = local_share(self.seed, scene, member);
                if own.used.sum(now, window) < allowed { 1.0 } else { 0.0 }
            }
            None => 1.0,
        };
        self.draws += 1;
        // Between two reports nobody else sees what one host alone lets through.
        let whole = tally::fleet_allowance(scene.bounds, workspace);
        let room = f64::from(own.used.sum(now, window)) < whole;
        if room && hash::unit_interval(hash::combine(self.seed, self.draws)) < part {
            own.count(now, window, 1);
            return QuotaDecision::Within;
        }
        let window_ms = (window / MILLI) as f64;
        let retry = (RETRY_MIN_MS / part.max(f64::MIN_POSITIVE)).min(window_ms / 2.0);
        QuotaDecision::Over { retry_ms: retry as u64 }
    }

    /// A request that was let through is sent to one more server.
    pub fn record_retry(&mut self, scene: &QuotaContext<'_>, member: &WorkspaceEntry) {
        if let Some(own) = self.own.get_mut(&member.id) {
            own.count(scene.now, tally::window_us(scene.bounds), 1);
        }
    }

    /// A request that was let through was run by no server.
    pub fn refund(&mut self, scene: &QuotaContext<'_>, member: &WorkspaceEntry) {
        if let Some(own) = self.own.get_mut(&member.id) {
            own.count(scene.now, tally::window_us(scene.bounds), -1);
        }
    }

    /// Reports that are due; called each 100 ms.
    pub fn due_reports(
        &mut self,
        scene: &QuotaContext<'_>,
        table: &WorkspaceTable,
    ) -> Vec<AddressedReport> {
        let now = scene.now;
        let window = tally::window_us(scene.bounds);
        self.forget(now);
        let mut by_place: FxHashMap<(u64, bool), Vec<WorkspaceUsage>> = FxHashMap::default();
        for (id, own) in &mut self.own {
            let Some(again) = own.due(now) else { continue };
            let used_in_window = own.used.sum(now, window);
            let (requested, admitted) = (own.asked, own.let_through);
            let told = WorkspaceUsage {
                workspace: *id,
                requested,
                admitted,
                admitted_in_window: used_in_window,
            };
            own.reported = own.asked;
            own.unanswered.get_or_insert(now);
            for place in ranked(scene.address_hashes, *id, again) {
                by_place.entry((place, again > 0)).or_default().push(told);
            }
        }
        let reader = self.seed;
        let reports = by_place.iter().flat_map(|((place, in_vain), uses)| {
            uses.chunks(ENTRIES).map(|uses| AddressedReport {
                address_hash: *place,
                report: UsageReport {
                    start_hash: reader,
                    usages: uses.to_vec(),
                    earlier_unanswered: *in_vain,
                },
            })
        });
        let (own, others): (Vec<_>, Vec<_>) =
            reports.partition(|report| scene.address_hashes.first() == Some(&report.address_hash));
        for report in own {
            let verdict = self.on_report(scene, table, &report.report);
            self.on_reply(now, &verdict);
        }
        others
    }

    /// Takes in a host's report; the answer to it.
    pub fn on_report(
        &mut self,
        scene: &QuotaContext<'_>,
        table: &WorkspaceTable,
        report: &UsageReport,
    ) -> UsageReply {
        let mut fractions = Vec::new();
        for told in &report.usages {
            let Some(member) = table.get(told.workspace) else { continue };
            let tally = self.tallies.entry(told.workspace).or_default();
            tally.on_report(scene.now, tally::window_us(scene.bounds), report, *told);
            let pressed = tally.broadcast_fraction(scene.now).is_some();
            let age = scene.now.since(self.started);
            let part = tally.fraction(scene.now, scene.bounds, &member.workspace, scene.fleet, age);
            self.urgent |= !pressed && tally.broadcast_fraction(scene.now).is_some();
            fractions.push(AdmitFraction::new(told.workspace, part));
        }
        let address_hash = scene.address_hashes.first().copied().unwrap_or_default();
        UsageReply { address_hash, fractions }
    }

    /// Takes in the answer to a report.
    pub fn on_reply(&mut self, now: Time, verdict: &UsageReply) {
        for part in &verdict.fractions {
            if let Some(own) = self.own.get_mut(&part.workspace) {
                let place = verdict.address_hash as u32;
                own.answered(Grant { place, part: part.value(), stamp: 0, at: now });
            }
        }
    }

    /// What all hosts have to know now, and whom this host tells.
    pub fn due_broadcasts(&mut self, scene: &QuotaContext<'_>) -> Vec<AddressedBroadcast> {
        let now = scene.now;
        if !self.urgent && now.since(self.told) < TELL_EVERY {
            return Vec::new();
        }
        let own = scene.address_hashes.first().copied().unwrap_or_default();
        let parts = self.tallies.iter().filter_map(|(id, tally)| {
            let (part, at) = tally.broadcast_fraction(now)?;
            let stamp = (at.0 / MILLI) as u32;
            Some(BroadcastFraction {
                fraction: AdmitFraction::new(*id, part),
                address_hash: own as u32,
                computed_at_ms: stamp,
            })
        });
        let parts: Vec<BroadcastFraction> = parts.collect();
        self.urgent = false;
        self.told = now;
        self.hear(now, &parts);
        if parts.is_empty() {
            return Vec::new();
        }
        self.draws += 1;
        let addressed =
            arcs(scene.address_hashes, hash::combine(self.seed, self.draws)).into_iter();
        addressed
            .flat_map(|(place, arc)| {
                let chunks = parts.chunks(ENTRIES);
                chunks.map(move |parts| AddressedBroadcast {
                    address_hash: place,
                    broadcast: FractionBroadcast { fractions: parts.to_vec(), forward_range: arc },
                })
            })
            .collect()
    }

    /// Takes in what all hosts are told, and whom this host passes it on to.
    pub fn on_broadcast(
        &mut self,
        scene: &QuotaContext<'_>,
        spread: &FractionBroadcast,
    ) -> Vec<AddressedBroadcast> {
        self.hear(scene.now, &spread.fractions);
        let (begin, end) = spread.forward_range;
        let inside =
            scene.address_hashes.iter().skip(1).filter(|place| (begin..end).contains(place));
        let passed =
            FractionBroadcast { fractions: spread.fractions.clone(), forward_range: (0, 0) };
        inside
            .map(|place| AddressedBroadcast { address_hash: *place, broadcast: passed.clone() })
            .collect()
    }

    fn hear(&mut self, now: Time, parts: &[BroadcastFraction]) {
        for BroadcastFraction { fraction, address_hash, computed_at_ms: stamp } in parts {
            let new =
                Grant { place: *address_hash, part: fraction.value(), stamp: *stamp, at: now };
            let known = self.heard.entry(fraction.workspace).or_default();
            known.retain(|given| now.since(given.at) < HOLD);
            match known.iter_mut().find(|given| given.place == new.place) {
                Some(given) if older(new.stamp, given.stamp) => {}
                Some(given) => *given = new,
                None => known.push(new),
            }
        }
    }

    /// A configuration is in force. Under a limit that was lowered hosts begin anew, as
    /// what they let through before was within the old one.
    pub fn on_configuration(
        &mut self,
        bounds: &Bounds,
        table: &WorkspaceTable,
        before: &WorkspaceTable,
    ) {
        for member in table.all() {
            let old = before.get(member.id).map(|old| tally::window_limit(bounds, &old.workspace));
            let new = tally::window_limit(bounds, &member.workspace);
            if old.is_some_and(|old| new < old) {
                if let Some(tally) = self.tallies.get_mut(&member.id) {
                    tally.clear();
                }
                self.heard.remove(&member.id);
            }
        }
    }

    /// Workspaces of which requests are held back, as far as this host knows.
    pub fn throttled_count(&self, now: Time) -> usize {
        let held =
            self.own.values().filter(|own| own.given(now).is_some_and(|given| given.part < 1.0));
        held.count()
    }

    /// Workspaces that no tally answers for.
    pub fn unanswered_count(&self) -> usize {
        self.own.values().filter(|own| own.vain >= UNANSWERED).count()
    }

    fn forget(&mut self, now: Time) {
        self.own.retain(|_, own| now.since(own.last) < FORGET);
        self.tallies.retain(|_, tally| !tally.is_idle(now));
        self.heard.retain(|_, given| given.iter().any(|given| now.since(given.at) < HOLD));
    }
}

impl LocalUsage {
    /// Requests are let through, or were not run after all.
    fn count(&mut self, now: Time, window: u64, by: i32) {
        self.let_through = self.let_through.wrapping_add_signed(by);
        self.used.adjust(now, window, by);
    }

    /// Counts anew if the limit was lowered.
    fn under(&mut self, limit: f64) {
        if limit < self.limit {
            self.used.clear();
            self.given.clear();
        }
        self.limit = limit;
    }

    /// Whether a report is due, and how many were sent in vain before it.
    fn due(&mut self, now: Time) -> Option<u8> {
        let pause = if self.vain < UNANSWERED { ASK_AGAIN } else { ASK_IN_VAIN };
        if self.unanswered.is_some_and(|at| now.since(at) >= pause) {
            self.vain = self.vain.wrapping_add(1).max(1);
            self.unanswered = None;
            return Some(self.vain);
        }
        (self.reported != self.asked).then_some(self.vain)
    }

    fn answered(&mut self, given: Grant) {
        self.unanswered = None;
        self.vain = 0;
        self.given.retain(|old| old.place != given.place && given.at.since(old.at) < FRESH);
        self.given.push(given);
    }

    /// The least part that was given lately.
    fn given(&self, now: Time) -> Option<Grant> {
        least(self.given.iter().filter(|given| now.since(given.at) < FRESH))
    }
}

/// Requests in a window that a host by itself lets through.
///
/// Where that is not a whole number the host draws whether it has one more, so that all
/// hosts together have as many as they may have. They would have one each otherwise.
pub fn local_share(seed: u64, scene: &QuotaContext<'_>, member: &WorkspaceEntry) -> u32 {
    let hosts = scene.fleet.possibly_running.max(1) as f64;
    let share = tally::window_limit(scene.bounds, &member.workspace) / hosts;
    let epoch = scene.now.0 / DRAW_EVERY;
    let draw = hash::unit_interval(hash::combine(hash::combine(seed, member.id), epoch));
    (share + draw) as u32
}

/// The least part that all hosts were told lately.
fn told(heard: &FxHashMap<u64, Vec<Grant>>, now: Time, id: u64) -> Option<Grant> {
    least(heard.get(&id)?.iter().filter(|given| now.since(given.at) < HOLD))
}

fn least<'a>(given: impl Iterator<Item = &'a Grant>) -> Option<Grant> {
    given.copied().min_by(|one, other| one.part.total_cmp(&other.part))
}

/// The one that came last.
fn latest(one: Option<Grant>, other: Option<Grant>) -> Option<Grant> {
    one.into_iter().chain(other).max_by_key(|given| given.at)
}

/// Whether a stamp is not later than another one, a few seconds apart at most.
fn older(stamp: u32, than: u32) -> bool {
    than.wrapping_sub(stamp) < (HOLD / MILLI) as u32
}

/// Whom a host tells what all have to know, and which others those pass it on to.
///
/// `draw` picks other hosts to pass it on each time, as some may be dead.
fn arcs(places: &[u64], draw: u64) -> Vec<(u64, (u64, u64))> {
    let others = places.get(1..).unwrap_or_default();
    if others.len() <= TOLD_DIRECTLY {
        return others.iter().map(|place| (*place, (0, 0))).collect();
    }
    let count = others.len().isqrt() as u64;
    let width = u64::MAX / count;
    let mut first: Vec<Option<u64>> = vec![None; count as usize + 1];
    for place in others {
        let best = &mut first[(place / width) as usize];
        if best.is_none_or(|known| hash::combine(*place, draw) > hash::combine(known, draw)) {
            *best = Some(*place);
        }
    }
    let arcs = first.into_iter().zip(0u64..);
    arcs.filter_map(|(place, n)| Some((place?, (n * width, (n + 1).saturating_mul(width)))))
        .collect()
}

/// The hosts that sum a workspace, or those next in rank after `again` vain reports.
fn ranked(places: &[u64], id: u64, again: u8) -> Vec<u64> {
    // Whoever has asked in vain for long begins anew.
    let round = usize::from(again) % (usize::from(UNANSWERED) + 1);
    let most = TALLY_REPLICAS * (round + 1);
    let mut first: Vec<(u64, u64)> = Vec::with_capacity(most + 1);
    for place in places {
        let weight = hash::combine(*place, id);
        let at = first.partition_point(|(other, _)| *other > weight);
        if at < most {
            first.insert(at, (weight, *place));
            first.truncate(most);
        }
    }
    first.into_iter().skip(TALLY_REPLICAS * round).map(|(_, place)| place).collect()
}
