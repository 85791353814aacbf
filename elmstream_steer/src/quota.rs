//! Keeps workspaces within their limits, which apply to all hosts together.
//!
//! A host admits a workspace's requests with the probability that the workspace's tallies
//! ([`crate::tally`]) last granted, and reports to them how many requests it received and admitted.
//! For most workspaces there is no grant below 1, and all requests are admitted; so they are before
//! the first reply. The fractions of workspaces over their limit are broadcast to all hosts, so
//! that hosts that have not reported throttle them too. A host that no tally answers, or that is
//! isolated from the fleet, uses its local share of the limit: one part for each host of the fleet.

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

/// Number of hosts that keep the tally of one workspace. One would be enough; the second covers the
/// loss of a host, and hosts that disagree on who is live.
pub const TALLY_REPLICAS: usize = 2;
/// Time without a reply after which a report is sent again, to the next hosts in rank.
const REPORT_RETRY_AFTER: u64 = 200 * MILLI;
/// Number of successive report timeouts after which the host uses its local share. By then six
/// hosts have been tried: if half of the fleet is dead, one host in 64 has tried dead hosts only.
const UNANSWERED_REPORTS_MAX: u8 = 3;
/// Time without a reply after which a report is sent again to other hosts, once the host uses its
/// local share.
const UNANSWERED_RETRY_INTERVAL: u64 = 500 * MILLI;
/// Time for which the fractions of a reply are used. A host that receives requests reports every
/// 100 ms.
const GRANT_TIMEOUT: u64 = SECOND;
/// Time between two broadcasts about workspaces over their limit.
const BROADCAST_INTERVAL: u64 = 300 * MILLI;
/// Time for which a broadcast fraction is used. A lost broadcast is made up for by the following
/// ones.
const BROADCAST_TIMEOUT: u64 = 1_000 * MILLI;
/// Largest number of other hosts that one host sends a broadcast to directly. In a larger fleet it
/// sends to about the square root of their number, each of which forwards to about as many: two
/// hops reach all hosts, and no host sends many datagrams at once.
const DIRECT_RECEIVERS_MAX: usize = 100;
/// Maximum number of workspaces in one datagram: at 25 bytes each, a sixth of the largest datagram.
const DATAGRAM_ENTRIES_MAX: usize = 100;
/// Time after which a new random draw decides which hosts may admit one more request, when the
/// local share is not a whole number.
const REDRAW_INTERVAL: u64 = 60 * SECOND;
/// Time without requests after which a workspace's local usage is dropped.
const IDLE_TIMEOUT: u64 = 60 * SECOND;
/// Retry time for a caller over the limit if nearly all requests are admitted, in milliseconds. It
/// grows as the admit fraction falls, up to half of the window.
const RETRY_MIN_MS: f64 = 300.0;

/// State that quota decisions depend on, beside the workspace.
#[derive(Clone, Copy, Debug)]
pub struct QuotaContext<'a> {
    /// Current time.
    pub now: Time,
    /// Fleet-wide bounds: the window in which requests are counted, and by how much all hosts
    /// together may exceed a limit in it.
    pub bounds: &'a Bounds,
    /// Numbers of hosts: those that may be running, the live ones, and the live ones in this
    /// region.
    pub fleet: FleetView,
    /// Whether this host has the list of the fleet's hosts, or does not need one. Without it, the
    /// host can determine neither the tallies nor its local share.
    pub hosts_known: bool,
    /// Hashes of the addresses of the hosts that may be running, this host's first.
    pub address_hashes: &'a [u64],
}

/// Whether a request is within its workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request is admitted, and counted if the workspace has a limit.
    Within,
    /// The request is over the limit.
    Over {
        /// Time after which the caller should retry, in milliseconds.
        retry_ms: u64,
    },
    /// This host has just started and does not know the other hosts yet, nor what they have
    /// admitted, so it cannot decide; the caller should retry shortly.
    Unready,
}

/// A usage report and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedReport {
    /// Hash of the receiver's address.
    pub address_hash: u64,
    /// The report.
    pub report: UsageReport,
}

/// A broadcast of admit fractions and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedBroadcast {
    /// Hash of the receiver's address.
    pub address_hash: u64,
    /// The broadcast.
    pub broadcast: FractionBroadcast,
}

/// An admit fraction as this host received it, in a reply or a broadcast.
#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Lower 32 bits of the hash of the address of the host that computed the fraction.
    source: u32,
    fraction: f64,
    /// When the fraction was computed, by that host's clock; 0 for replies to reports.
    computed_at_ms: u32,
    received_at: Time,
}

/// Usage of one workspace at this host.
#[derive(Clone, Debug, Default)]
struct LocalUsage {
    /// Requests received since the host's start, modulo 2^32.
    requested: u32,
    /// Requests admitted since the host's start, modulo 2^32.
    admitted: u32,
    /// Requests admitted in the sliding window.
    used: SlidingWindow,
    /// The limit that applied while `used` was counted.
    limit: f64,
    /// Value of `requested` in the last report.
    reported: u32,
    /// When the first report since the last reply or timeout was sent; `None` if none was.
    unanswered_since: Option<Time>,
    /// Number of successive report timeouts.
    unanswered_reports: u8,
    /// Grants received in replies, at most one for each tally.
    grants: Vec<Grant>,
    last_request: Time,
}

/// State of the workspaces' limits at one host: its own usage, the grants that it received, and the
/// tallies that it keeps for other hosts.
#[derive(Clone, Debug)]
pub struct Quotas {
    /// Differs between starts of hosts.
    seed: u64,
    started: Time,
    /// Number of random draws so far; varies the next one.
    draw_count: u64,
    /// This host's own usage, by workspace.
    usage: FxHashMap<u64, LocalUsage>,
    /// Tallies that this host keeps for the fleet, by workspace.
    tallies: FxHashMap<u64, Tally>,
    /// Grants received by broadcast, by workspace.
    broadcast_grants: FxHashMap<u64, Vec<Grant>>,
    /// When this host last sent a broadcast.
    last_broadcast: Time,
    /// Whether a workspace has gone over its limit since the last broadcast.
    urgent: bool,
}

impl Quotas {
    /// State of a host that has just started; `seed` differs between starts.
    pub fn new(seed: u64, started: Time) -> Quotas {
        Quotas {
            seed,
            started,
            draw_count: 0,
            usage: FxHashMap::default(),
            tallies: FxHashMap::default(),
            broadcast_grants: FxHashMap::default(),
            last_broadcast: Time(0),
            urgent: false,
        }
    }

    /// Decides on a request, and counts it if it is within the limit. A workspace whose rate is not
    /// positive has no limit.
    pub fn admit(&mut self, context: &QuotaContext<'_>, entry: &WorkspaceEntry) -> QuotaDecision {
        let workspace = &entry.workspace;
        if workspace.rate_per_s <= 0.0 {
            return QuotaDecision::Within;
        }
        if !context.hosts_known {
            return QuotaDecision::Unready;
        }
        let (now, window) = (context.now, tally::window_us(context.bounds));
        let usage = self.usage.entry(entry.id).or_default();
        usage.apply_limit(tally::window_limit(context.bounds, workspace));
        usage.last_request = now;
        usage.requested = usage.requested.wrapping_add(1);
        let fraction = match latest_grant(
            usage.lowest_grant(now),
            broadcast_grant(&self.broadcast_grants, now, entry.id),
        ) {
            Some(grant) => grant.fraction,
            None if usage.unanswered_reports >= UNANSWERED_REPORTS_MAX
                || context.fleet.is_isolated() =>
            {
                let allowed = local_share(self.seed, context, entry);
                if usage.used.sum(now, window) < allowed { 1.0 } else { 0.0 }
            }
            None => 1.0,
        };
        self.draw_count += 1;
        // Between two reports, only this host knows what it admits itself, so its own usage alone
        // must not exceed the allowance.
        let allowance = tally::fleet_allowance(context.bounds, workspace);
        let has_room = f64::from(usage.used.sum(now, window)) < allowance;
        if has_room && hash::unit_interval(hash::combine(self.seed, self.draw_count)) < fraction {
            usage.record(now, window, 1);
            return QuotaDecision::Within;
        }
        let window_ms = (window / MILLI) as f64;
        let retry = (RETRY_MIN_MS / fraction.max(f64::MIN_POSITIVE)).min(window_ms / 2.0);
        QuotaDecision::Over { retry_ms: retry as u64 }
    }

    /// Counts a further attempt of an admitted request.
    pub fn record_retry(&mut self, context: &QuotaContext<'_>, entry: &WorkspaceEntry) {
        if let Some(usage) = self.usage.get_mut(&entry.id) {
            usage.record(context.now, tally::window_us(context.bounds), 1);
        }
    }

    /// Reverses the count of an admitted request, or of a further attempt, that no server ran.
    pub fn refund(&mut self, context: &QuotaContext<'_>, entry: &WorkspaceEntry) {
        if let Some(usage) = self.usage.get_mut(&entry.id) {
            usage.record(context.now, tally::window_us(context.bounds), -1);
        }
    }

    /// Reports that are due. Called every 100 ms.
    ///
    /// A report to this host itself is handled at once and not returned.
    pub fn due_reports(
        &mut self,
        context: &QuotaContext<'_>,
        table: &WorkspaceTable,
    ) -> Vec<AddressedReport> {
        let now = context.now;
        let window = tally::window_us(context.bounds);
        self.forget(now);
        let mut by_receiver: FxHashMap<(u64, bool), Vec<WorkspaceUsage>> = FxHashMap::default();
        for (id, usage) in &mut self.usage {
            let Some(unanswered_reports) = usage.due_report(now) else { continue };
            let admitted_in_window = usage.used.sum(now, window);
            let (requested, admitted) = (usage.requested, usage.admitted);
            let entry = WorkspaceUsage { workspace: *id, requested, admitted, admitted_in_window };
            usage.reported = usage.requested;
            usage.unanswered_since.get_or_insert(now);
            for address_hash in tally_hosts(context.address_hashes, *id, unanswered_reports) {
                by_receiver.entry((address_hash, unanswered_reports > 0)).or_default().push(entry);
            }
        }
        let start_hash = self.seed;
        let reports =
            by_receiver.iter().flat_map(|((address_hash, earlier_unanswered), usages)| {
                usages.chunks(DATAGRAM_ENTRIES_MAX).map(|usages| AddressedReport {
                    address_hash: *address_hash,
                    report: UsageReport {
                        start_hash,
                        usages: usages.to_vec(),
                        earlier_unanswered: *earlier_unanswered,
                    },
                })
            });
        let (to_self, others): (Vec<_>, Vec<_>) = reports
            .partition(|report| context.address_hashes.first() == Some(&report.address_hash));
        for report in to_self {
            let reply = self.on_report(context, table, &report.report);
            self.on_reply(now, &reply);
        }
        others
    }

    /// Adds a host's report to the tallies kept here and returns the reply.
    pub fn on_report(
        &mut self,
        context: &QuotaContext<'_>,
        table: &WorkspaceTable,
        report: &UsageReport,
    ) -> UsageReply {
        let mut fractions = Vec::new();
        for usage in &report.usages {
            let Some(entry) = table.get(usage.workspace) else { continue };
            let tally = self.tallies.entry(usage.workspace).or_default();
            tally.on_report(context.now, tally::window_us(context.bounds), report, *usage);
            let was_over = tally.broadcast_fraction(context.now).is_some();
            let uptime = context.now.since(self.started);
            let fraction = tally.fraction(
                context.now,
                context.bounds,
                &entry.workspace,
                context.fleet,
                uptime,
            );
            self.urgent |= !was_over && tally.broadcast_fraction(context.now).is_some();
            fractions.push(AdmitFraction::new(usage.workspace, fraction));
        }
        let address_hash = context.address_hashes.first().copied().unwrap_or_default();
        UsageReply { address_hash, fractions }
    }

    /// Stores the admit fractions of a reply to a report.
    pub fn on_reply(&mut self, now: Time, reply: &UsageReply) {
        for fraction in &reply.fractions {
            if let Some(usage) = self.usage.get_mut(&fraction.workspace) {
                let source = reply.address_hash as u32;
                usage.on_grant(Grant {
                    source,
                    fraction: fraction.value(),
                    computed_at_ms: 0,
                    received_at: now,
                });
            }
        }
    }

    /// Broadcasts that are due, with their receivers: the fractions of all throttled workspaces of
    /// which this host keeps the tally, every `BROADCAST_INTERVAL`, or at once if one is new.
    pub fn due_broadcasts(&mut self, context: &QuotaContext<'_>) -> Vec<AddressedBroadcast> {
        let now = context.now;
        if !self.urgent && now.since(self.last_broadcast) < BROADCAST_INTERVAL {
            return Vec::new();
        }
        let own_hash = context.address_hashes.first().copied().unwrap_or_default();
        let fractions = self.tallies.iter().filter_map(|(id, tally)| {
            let (fraction, at) = tally.broadcast_fraction(now)?;
            let computed_at_ms = (at.0 / MILLI) as u32;
            Some(BroadcastFraction {
                fraction: AdmitFraction::new(*id, fraction),
                address_hash: own_hash as u32,
                computed_at_ms,
            })
        });
        let fractions: Vec<BroadcastFraction> = fractions.collect();
        self.urgent = false;
        self.last_broadcast = now;
        self.merge_broadcast(now, &fractions);
        if fractions.is_empty() {
            return Vec::new();
        }
        self.draw_count += 1;
        let addressed =
            broadcast_ranges(context.address_hashes, hash::combine(self.seed, self.draw_count))
                .into_iter();
        addressed
            .flat_map(|(address_hash, forward_range)| {
                let chunks = fractions.chunks(DATAGRAM_ENTRIES_MAX);
                chunks.map(move |fractions| AddressedBroadcast {
                    address_hash,
                    broadcast: FractionBroadcast { fractions: fractions.to_vec(), forward_range },
                })
            })
            .collect()
    }

    /// Stores the fractions of a broadcast and returns the copies to be forwarded.
    pub fn on_broadcast(
        &mut self,
        context: &QuotaContext<'_>,
        broadcast: &FractionBroadcast,
    ) -> Vec<AddressedBroadcast> {
        self.merge_broadcast(context.now, &broadcast.fractions);
        let (begin, end) = broadcast.forward_range;
        let inside = context
            .address_hashes
            .iter()
            .skip(1)
            .filter(|address_hash| (begin..end).contains(address_hash));
        let forwarded =
            FractionBroadcast { fractions: broadcast.fractions.clone(), forward_range: (0, 0) };
        inside
            .map(|address_hash| AddressedBroadcast {
                address_hash: *address_hash,
                broadcast: forwarded.clone(),
            })
            .collect()
    }

    fn merge_broadcast(&mut self, now: Time, fractions: &[BroadcastFraction]) {
        for BroadcastFraction { fraction, address_hash, computed_at_ms } in fractions {
            let new = Grant {
                source: *address_hash,
                fraction: fraction.value(),
                computed_at_ms: *computed_at_ms,
                received_at: now,
            };
            let grants = self.broadcast_grants.entry(fraction.workspace).or_default();
            grants.retain(|grant| now.since(grant.received_at) < BROADCAST_TIMEOUT);
            match grants.iter_mut().find(|grant| grant.source == new.source) {
                Some(grant) if is_not_later(new.computed_at_ms, grant.computed_at_ms) => {}
                Some(grant) => *grant = new,
                None => grants.push(new),
            }
        }
    }

    /// Applies a new configuration, with the workspaces of `table` instead of those of `before`. A
    /// workspace whose limit was lowered is counted from zero, because what was admitted before was
    /// within the old limit.
    pub fn on_configuration(
        &mut self,
        bounds: &Bounds,
        table: &WorkspaceTable,
        before: &WorkspaceTable,
    ) {
        for entry in table.all() {
            let old = before.get(entry.id).map(|old| tally::window_limit(bounds, &old.workspace));
            let new = tally::window_limit(bounds, &entry.workspace);
            if old.is_some_and(|old| new < old) {
                if let Some(tally) = self.tallies.get_mut(&entry.id) {
                    tally.clear();
                }
                self.broadcast_grants.remove(&entry.id);
            }
        }
    }

    /// Number of workspaces that this host throttles because of a reply from a tally. Broadcast
    /// fractions and local shares are not included.
    pub fn throttled_count(&self, now: Time) -> usize {
        let throttled = self
            .usage
            .values()
            .filter(|usage| usage.lowest_grant(now).is_some_and(|grant| grant.fraction < 1.0));
        throttled.count()
    }

    /// Number of workspaces for which this host uses its local share, as no tally answers.
    pub fn unanswered_count(&self) -> usize {
        self.usage
            .values()
            .filter(|usage| usage.unanswered_reports >= UNANSWERED_REPORTS_MAX)
            .count()
    }

    fn forget(&mut self, now: Time) {
        self.usage.retain(|_, usage| now.since(usage.last_request) < IDLE_TIMEOUT);
        self.tallies.retain(|_, tally| !tally.is_idle(now));
        self.broadcast_grants.retain(|_, grants| {
            grants.iter().any(|grant| now.since(grant.received_at) < BROADCAST_TIMEOUT)
        });
    }
}

impl LocalUsage {
    /// Counts admitted requests; `delta` is negative for requests that were not run.
    fn record(&mut self, now: Time, window: u64, delta: i32) {
        self.admitted = self.admitted.wrapping_add_signed(delta);
        self.used.adjust(now, window, delta);
    }

    /// Sets the limit, and starts counting from zero if it was lowered.
    fn apply_limit(&mut self, limit: f64) {
        if limit < self.limit {
            self.used.clear();
            self.grants.clear();
        }
        self.limit = limit;
    }

    /// Returns the number of successive report timeouts if a report is due: after a timeout, or
    /// when there are new requests.
    fn due_report(&mut self, now: Time) -> Option<u8> {
        let pause = if self.unanswered_reports < UNANSWERED_REPORTS_MAX {
            REPORT_RETRY_AFTER
        } else {
            UNANSWERED_RETRY_INTERVAL
        };
        if self.unanswered_since.is_some_and(|at| now.since(at) >= pause) {
            self.unanswered_reports = self.unanswered_reports.wrapping_add(1).max(1);
            self.unanswered_since = None;
            return Some(self.unanswered_reports);
        }
        (self.reported != self.requested).then_some(self.unanswered_reports)
    }

    fn on_grant(&mut self, grant: Grant) {
        self.unanswered_since = None;
        self.unanswered_reports = 0;
        self.grants.retain(|old| {
            old.source != grant.source && grant.received_at.since(old.received_at) < GRANT_TIMEOUT
        });
        self.grants.push(grant);
    }

    /// The recent grant with the lowest fraction.
    fn lowest_grant(&self, now: Time) -> Option<Grant> {
        lowest(self.grants.iter().filter(|grant| now.since(grant.received_at) < GRANT_TIMEOUT))
    }
}

/// Number of requests in a window that a host admits without any tally: the limit divided by the
/// number of hosts that may be running.
///
/// Where the share is not a whole number, a random draw decides whether the host gets one more, so
/// that the hosts together stay at the limit. Rounding up would give each host at least one
/// request.
pub fn local_share(seed: u64, context: &QuotaContext<'_>, entry: &WorkspaceEntry) -> u32 {
    let hosts = context.fleet.possibly_running.max(1) as f64;
    let share = tally::window_limit(context.bounds, &entry.workspace) / hosts;
    let epoch = context.now.0 / REDRAW_INTERVAL;
    let draw = hash::unit_interval(hash::combine(hash::combine(seed, entry.id), epoch));
    (share + draw) as u32
}

/// The recent broadcast grant with the lowest fraction.
fn broadcast_grant(
    broadcast_grants: &FxHashMap<u64, Vec<Grant>>,
    now: Time,
    id: u64,
) -> Option<Grant> {
    lowest(
        broadcast_grants
            .get(&id)?
            .iter()
            .filter(|grant| now.since(grant.received_at) < BROADCAST_TIMEOUT),
    )
}

fn lowest<'a>(grants: impl Iterator<Item = &'a Grant>) -> Option<Grant> {
    grants.copied().min_by(|one, other| one.fraction.total_cmp(&other.fraction))
}

/// The grant that was received last.
fn latest_grant(one: Option<Grant>, other: Option<Grant>) -> Option<Grant> {
    one.into_iter().chain(other).max_by_key(|grant| grant.received_at)
}

/// Whether a timestamp is at most as late as another one; both wrap, and are a few seconds apart at
/// most.
fn is_not_later(stamp_ms: u32, other_ms: u32) -> bool {
    other_ms.wrapping_sub(stamp_ms) < (BROADCAST_TIMEOUT / MILLI) as u32
}

/// Receivers of a broadcast, each with the half-open range of address hashes that it forwards to.
///
/// `draw` varies which hosts forward, because some may be dead.
fn broadcast_ranges(address_hashes: &[u64], draw: u64) -> Vec<(u64, (u64, u64))> {
    let others = address_hashes.get(1..).unwrap_or_default();
    if others.len() <= DIRECT_RECEIVERS_MAX {
        return others.iter().map(|address_hash| (*address_hash, (0, 0))).collect();
    }
    let count = others.len().isqrt() as u64;
    let width = u64::MAX / count;
    let mut first: Vec<Option<u64>> = vec![None; count as usize + 1];
    for address_hash in others {
        let best = &mut first[(address_hash / width) as usize];
        if best
            .is_none_or(|current| hash::combine(*address_hash, draw) > hash::combine(current, draw))
        {
            *best = Some(*address_hash);
        }
    }
    let ranges = first.into_iter().zip(0u64..);
    ranges
        .filter_map(|(address_hash, n)| {
            Some((address_hash?, (n * width, (n + 1).saturating_mul(width))))
        })
        .collect()
}

/// Address hashes of the hosts that keep a workspace's tally: the first ones by rendezvous hashing,
/// or after report timeouts the ones that rank next.
fn tally_hosts(address_hashes: &[u64], id: u64, unanswered_reports: u8) -> Vec<u64> {
    // After enough timeouts the host starts over with the first ones.
    let round = usize::from(unanswered_reports) % (usize::from(UNANSWERED_REPORTS_MAX) + 1);
    let max_ranked = TALLY_REPLICAS * (round + 1);
    let mut first: Vec<(u64, u64)> = Vec::with_capacity(max_ranked + 1);
    for address_hash in address_hashes {
        let weight = hash::combine(*address_hash, id);
        let position = first.partition_point(|(other, _)| *other > weight);
        if position < max_ranked {
            first.insert(position, (weight, *address_hash));
            first.truncate(max_ranked);
        }
    }
    first.into_iter().skip(TALLY_REPLICAS * round).map(|(_, address_hash)| address_hash).collect()
}
