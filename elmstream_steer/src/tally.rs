//! Tallies of what a workspace requests and uses at all hosts.
//!
//! For each workspace a few hosts keep a tally: those that rank first by rendezvous hashing over
//! the hosts that may be running. Each host reports to them how many requests it received and
//! admitted. They reply with the fraction of requests that may be admitted now. A limit is thus
//! divided according to where requests arrive, as in "Cloud Control with Distributed Rate Limiting"
//! (Raghavan et al., SIGCOMM 2007), where all limiters drop at random with a common probability
//! computed from the global demand. There the demand is spread by gossip; here two hosts hold it,
//! because gossip takes seconds in a large fleet.

use elmstream::time::{MILLI, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{model::Workspace, settings::Bounds, sliding_window::SlidingWindow};

/// Fraction of the allowed overshoot that is allocated; none of the slack is. The rest covers what
/// is admitted before hosts learn the latest fraction, above all in the seconds in which hosts that
/// have lost each other have not noticed it yet (`tests/limits.rs`).
const OVERSHOOT_FRACTION_ALLOCATED: f64 = 0.1;
/// Fraction of the rate that a host allocates in the first window after its start. It does not know
/// what was admitted before, which may be a whole burst just before all hosts were killed. A
/// workspace that uses 0.63 of its limit is not throttled by it.
const STARTUP_RATE_FRACTION: f64 = 0.65;
/// Fraction of the slack that is allocated in addition to that.
const STARTUP_SLACK_FRACTION: f64 = 0.25;
/// Time over which the remaining requests are allocated to hosts that report. It must be about
/// three times the age of the fractions that they use, or the total overshoots.
const ALLOCATION_SPAN: u64 = 600 * MILLI;
/// Like `ALLOCATION_SPAN`, for hosts that do not report and get a broadcast every 300 ms.
const BROADCAST_ALLOCATION_SPAN: u64 = 900 * MILLI;
/// Time over which the request rate is averaged.
const RATE_WINDOW: u64 = 1_000 * MILLI;
/// Resolution of the request rate. It equals the interval of the hosts' reports, so that a jump
/// shows at once.
const RATE_STEP: u64 = 100 * MILLI;
/// Number of requests that a workspace with a few requests a second may make in one step by chance.
const RANDOM_STEP_MAX: f64 = 2.0;
const RATE_STEPS: usize = (RATE_WINDOW / RATE_STEP) as usize;
/// Time for which a computed fraction is reused.
const FRACTION_REUSE_TIME: u64 = 50 * MILLI;
/// A host may have been cut off if it is silent for this long, and for this multiple of the mean
/// time between its requests. Its own share is then reserved for it.
const SILENCE_MIN: u64 = 300 * MILLI;
const SILENCE_REQUEST_INTERVALS: u64 = 4;
/// Hosts are isolated from the fleet if at most one in this many is live; that is too few to keep
/// tallies for each other.
const ISOLATED_FLEET_DIVISOR: usize = 8;
/// A host stands in for those that rank before it if for this long it has received no report that
/// was sent to it in the first place.
const STAND_IN_AFTER: u64 = 1_000 * MILLI;
/// Number of requests in a host's first report that count as new, because most may be older.
const FIRST_REPORT_NEW_MAX: u32 = 2;
/// Time for which a host's last report is kept, to compute what is new in the next one. In a large
/// fleet, a host may receive a small workspace's requests minutes apart.
const REPORT_TIMEOUT: u64 = 300_000 * MILLI;

/// Requests of one workspace at one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceUsage {
    /// Id of the workspace.
    pub workspace: u64,
    /// Requests received since the host's start, modulo 2^32.
    pub requested: u32,
    /// Requests admitted since the host's start, modulo 2^32.
    pub admitted: u32,
    /// Requests admitted in the sliding window that ends now.
    pub admitted_in_window: u32,
}

/// Report of a host's usage, sent to the hosts that keep the tallies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Hash of the host's start.
    pub start_hash: u64,
    /// Usage of the workspaces, one entry each.
    pub usages: Vec<WorkspaceUsage>,
    /// Whether hosts that rank before the receiver did not answer.
    pub earlier_unanswered: bool,
}

/// Fraction of a workspace's requests that may be admitted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmitFraction {
    /// Id of the workspace.
    pub workspace: u64,
    /// The fraction, scaled to 65,535 for 1.
    pub fraction: u16,
}

impl AdmitFraction {
    /// Encodes a fraction from 0 to 1.
    pub fn new(workspace: u64, value: f64) -> AdmitFraction {
        AdmitFraction { workspace, fraction: (value * f64::from(u16::MAX)) as u16 }
    }

    /// Decodes the fraction, from 0 to 1.
    pub fn value(&self) -> f64 {
        f64::from(self.fraction) / f64::from(u16::MAX)
    }
}

/// An admit fraction that is broadcast to all hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BroadcastFraction {
    /// The fraction.
    pub fraction: AdmitFraction,
    /// Lower 32 bits of the hash of the address of the host that computed it.
    pub address_hash: u32,
    /// When it was computed, in milliseconds of that host's clock, modulo 2^32.
    pub computed_at_ms: u32,
}

/// Broadcast of admit fractions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FractionBroadcast {
    /// The fractions.
    pub fractions: Vec<BroadcastFraction>,
    /// Half-open range of address hashes; the receiver forwards the broadcast to the hosts in it.
    /// Empty if both ends are equal.
    pub forward_range: (u64, u64),
}

/// Reply to a usage report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReply {
    /// Hash of the address of the host that keeps the tally.
    pub address_hash: u64,
    /// Admit fractions of the workspaces in the report.
    pub fractions: Vec<AdmitFraction>,
}

/// Number of hosts in the fleet, as one host sees it.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// Hosts that may be running, including this one.
    pub possibly_running: usize,
    /// Hosts that are live, including this one.
    pub live: usize,
    /// Live hosts in this host's region.
    pub near_live: usize,
}

impl FleetView {
    /// Fraction of the fleet that is live.
    ///
    /// The other hosts may have been cut off and still be serving, so their share of the limit is
    /// left to them.
    fn live_fraction(self) -> f64 {
        self.live as f64 / self.possibly_running.max(self.live).max(1) as f64
    }

    /// Fraction of the fleet that this host keeps tallies for while the hosts that rank before it
    /// do not answer. They may have been lost together with their regions, which is detected only
    /// seconds later.
    fn near_fraction(self) -> f64 {
        self.near_live.min(self.live) as f64 / self.possibly_running.max(self.live).max(1) as f64
    }

    /// Whether so few hosts are live that each uses its local share.
    pub fn is_isolated(self) -> bool {
        self.possibly_running > 1
            && (self.live == 1 || self.live * ISOLATED_FLEET_DIVISOR <= self.possibly_running)
    }
}

/// Length of the window in which requests are counted, in microseconds.
pub fn window_us(bounds: &Bounds) -> u64 {
    bounds.limit_window_s.max(1) * 1_000 * MILLI
}

/// Number of requests that a workspace may make in a window.
pub fn window_limit(bounds: &Bounds, workspace: &Workspace) -> f64 {
    workspace.rate_per_s * bounds.limit_window_s as f64 + workspace.burst
}

/// Number of requests in a window that all hosts together admit.
pub fn fleet_allowance(bounds: &Bounds, workspace: &Workspace) -> f64 {
    window_limit(bounds, workspace) * (1.0 + bounds.limit_overshoot * OVERSHOOT_FRACTION_ALLOCATED)
}

/// Last usage reported by one host.
#[derive(Clone, Copy, Debug)]
struct HostReport {
    requested: u32,
    admitted: u32,
    admitted_in_window: u32,
    at: Time,
}

impl HostReport {
    fn is_silent(&self, now: Time, window: u64) -> bool {
        let request_interval = window / u64::from(self.admitted_in_window.max(1));
        (SILENCE_MIN.max(request_interval * SILENCE_REQUEST_INTERVALS)..window)
            .contains(&now.since(self.at))
    }
}

/// What a host may still allocate while it has run for less than a window.
#[derive(Clone, Copy)]
struct StartupAllowance {
    /// Requests per second.
    rate: f64,
    /// Remaining requests.
    remaining: f64,
}

impl StartupAllowance {
    /// Requests that may be admitted within `span` microseconds from now.
    fn headroom(self, span: u64) -> f64 {
        self.remaining + self.rate * span as f64 / 1e6
    }
}

/// Tally of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    reports: FxHashMap<u64, HostReport>,
    /// Requests admitted by all hosts.
    used: SlidingWindow,
    /// Admitted requests that were reported as new to this host.
    admitted_since_start: i64,
    /// Requests received by all hosts, by step of `RATE_STEP`.
    requested_by_step: [u32; RATE_STEPS],
    current_step: u64,
    fraction: f64,
    broadcast_fraction: f64,
    /// When a report last arrived that was sent to this host in the first place.
    last_primary_report: Time,
    computed_at: Option<Time>,
}

impl Tally {
    /// Takes in a host's usage.
    pub fn on_report(&mut self, now: Time, window: u64, from: &UsageReport, usage: WorkspaceUsage) {
        self.advance(now);
        let start_hash = from.start_hash;
        if !from.earlier_unanswered {
            self.last_primary_report = now;
        }
        let WorkspaceUsage { requested, admitted, admitted_in_window, .. } = usage;
        let new = HostReport { requested, admitted, admitted_in_window, at: now };
        let requested = match self.reports.insert(start_hash, new) {
            // Reports can arrive out of order; an older one adds nothing.
            Some(old) if (requested.wrapping_sub(old.requested) as i32) < 0 => {
                self.reports.insert(start_hash, old);
                return;
            }
            Some(old) => {
                let newly_admitted = admitted.wrapping_sub(old.admitted) as i32;
                self.used.adjust(now, window, newly_admitted);
                self.admitted_since_start += i64::from(newly_admitted);
                requested.wrapping_sub(old.requested)
            }
            None => {
                let counted_as_new = admitted_in_window.min(FIRST_REPORT_NEW_MAX);
                self.used.adjust(now, window, counted_as_new as i32);
                self.admitted_since_start += i64::from(counted_as_new);
                self.used.add_spread(now, window, admitted_in_window - counted_as_new, start_hash);
                requested.min(FIRST_REPORT_NEW_MAX)
            }
        };
        let index = (self.current_step % RATE_STEPS as u64) as usize;
        self.requested_by_step[index] = self.requested_by_step[index].saturating_add(requested);
    }

    /// Fraction of the workspace's requests that a reporting host may admit.
    ///
    /// `uptime` is how long this host has been running, in microseconds. What was admitted before
    /// its start is unknown, so the whole limit is assumed to have been used.
    pub fn fraction(
        &mut self,
        now: Time,
        bounds: &Bounds,
        workspace: &Workspace,
        fleet: FleetView,
        uptime: u64,
    ) -> f64 {
        if self.computed_at.is_some_and(|at| now.since(at) < FRACTION_REUSE_TIME) {
            return self.fraction;
        }
        self.computed_at = Some(now);
        self.advance(now);
        self.reports.retain(|_, report| now.since(report.at) < REPORT_TIMEOUT);
        let window = window_us(bounds);
        let headroom = self.headroom(now, bounds, workspace, fleet);
        let startup = self.startup_allowance(bounds, workspace, fleet, uptime);
        let mut fraction_over = |span: u64| {
            let expiring = f64::from(self.used.expiring(now, window, span));
            let startup = startup.map_or(f64::MAX, |startup| startup.headroom(span));
            let expected = self.rate() * span as f64 / 1e6;
            (startup.min(headroom + expiring) / expected.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
        };
        (self.fraction, self.broadcast_fraction) =
            (fraction_over(ALLOCATION_SPAN), fraction_over(BROADCAST_ALLOCATION_SPAN));
        self.fraction
    }

    /// Number of requests that may still be admitted in the window that ends now; negative after an
    /// overshoot.
    fn headroom(
        &mut self,
        now: Time,
        bounds: &Bounds,
        workspace: &Workspace,
        fleet: FleetView,
    ) -> f64 {
        let window = window_us(bounds);
        let remaining_fraction = |age: u64| 1.0 - (age.min(window) as f64 / window as f64);
        let limit = window_limit(bounds, workspace);
        let own_share = limit / fleet.possibly_running.max(1) as f64;
        let silent_hosts = self.reports.values().filter(|report| report.is_silent(now, window));
        // What a silent host admitted before stays in the total until it leaves the window.
        let still_counted = silent_hosts.map(|report| {
            f64::from(report.admitted_in_window) * remaining_fraction(now.since(report.at))
        });
        let reserved: f64 =
            still_counted.map(|still_counted| (own_share - still_counted).max(0.0)).sum();
        let used = f64::from(self.used.sum(now, window)) + reserved;
        let is_standing_in = now.since(self.last_primary_report) > STAND_IN_AFTER;
        let fleet_fraction =
            if is_standing_in { fleet.near_fraction() } else { fleet.live_fraction() };
        fleet_allowance(bounds, workspace) * fleet_fraction - used
    }

    /// The startup allowance; `None` once the host has run for a whole window.
    fn startup_allowance(
        &self,
        bounds: &Bounds,
        workspace: &Workspace,
        fleet: FleetView,
        uptime: u64,
    ) -> Option<StartupAllowance> {
        let fleet_fraction = fleet.live_fraction();
        let rate = workspace.rate_per_s * STARTUP_RATE_FRACTION * fleet_fraction;
        let total = rate * uptime as f64 / 1e6
            + bounds.limit_slack * STARTUP_SLACK_FRACTION * fleet_fraction;
        (uptime < window_us(bounds)).then_some(StartupAllowance {
            rate,
            remaining: total - self.admitted_since_start as f64,
        })
    }

    /// Fraction for hosts that do not report, and when it was computed; `None` if they may admit
    /// all requests.
    pub fn broadcast_fraction(&self, now: Time) -> Option<(f64, Time)> {
        let at = self.computed_at.filter(|at| now.since(*at) < RATE_WINDOW)?;
        (self.broadcast_fraction < 1.0).then_some((self.broadcast_fraction, at))
    }

    /// Requests per second.
    fn rate(&self) -> f64 {
        let recent = |steps: u64| {
            let ago =
                (0..steps).map(|ago| self.current_step.saturating_sub(ago) % RATE_STEPS as u64);
            ago.map(|at| f64::from(self.requested_by_step[at as usize])).sum::<f64>()
        };
        let mean = recent(RATE_STEPS as u64) * 1e6 / RATE_WINDOW as f64;
        // The present step has only begun, so the previous one counts as well.
        let latest = recent(1).max(recent(2) - recent(1));
        if latest > RANDOM_STEP_MAX { mean.max(latest * 1e6 / RATE_STEP as f64) } else { mean }
    }

    /// Forgets what hosts admitted under a higher limit.
    pub fn clear(&mut self) {
        self.used.clear();
        self.computed_at = None;
    }

    /// Whether no host has reported for so long that the tally can be dropped.
    pub fn is_idle(&self, now: Time) -> bool {
        self.reports.values().all(|report| now.since(report.at) >= REPORT_TIMEOUT)
    }

    fn advance(&mut self, now: Time) {
        let step = now.0 / RATE_STEP;
        let passed = step.saturating_sub(self.current_step).min(RATE_STEPS as u64);
        for ahead in 0..passed {
            self.requested_by_step[((step - ahead) % RATE_STEPS as u64) as usize] = 0;
        }
        self.current_step = self.current_step.max(step);
    }
}
