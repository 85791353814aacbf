//! Sums of what a workspace asks for and uses at all hosts.
//!
//! For each workspace a few hosts keep such a sum, those that rank first by rendezvous
//! hashing over the hosts that may be running. Each host tells them how much it was asked
//! and how much it let through; they answer with the part of the requests that may be let
//! through now. So a limit is divided by where requests really come, as in "Cloud Control
//! with Distributed Rate Limiting" (Raghavan et al., SIGCOMM 2007), where all limiters drop
//! at random with one chance that follows from the sum; there it is passed around by
//! gossip, here two hosts hold it, as gossip takes seconds in a large fleet.

use elmstream::time::{MILLI, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{model::Workspace, settings::Bounds, sliding_window::SlidingWindow};

/// Part of the allowed overshoot that is given out, and none of the slack. The rest is for
/// what comes while hosts do not know the latest part yet, above all in the seconds in
/// which hosts that lost each other do not know that either (`tests/limits.rs`).
const OVERSHOOT_USED: f64 = 0.1;
/// Part of the rate that a host gives out in the first window after its start. What was let
/// through before it does not know, and that may be a whole burst just before all hosts
/// were killed. Workspaces that ask 0.63 of their limit are not held back by it.
const YOUNG: f64 = 0.65;
/// Part of the slack on top of that.
const YOUNG_SLACK: f64 = 0.25;
/// Time over which the room that is left is shared out among hosts that report. It has to
/// be some three times as long as what they go by is old, or the sum overshoots.
const SHARE_OUT: u64 = 600 * MILLI;
/// The same among hosts that do not report and are told each 300 ms.
const SHARE_OUT_TOLD: u64 = 900 * MILLI;
/// Time over which requests are counted.
const SLOW: u64 = 1_000 * MILLI;
/// Parts that they are counted in, as long as hosts take from one report to the next, so
/// that a jump shows at once.
const STEP: u64 = 100 * MILLI;
/// Requests that come in one part by chance, of a workspace that asks a few times a second.
const CHANCE: f64 = 2.0;
const STEPS: usize = (SLOW / STEP) as usize;
/// Time for which a part that was worked out is given again.
const WORKED_OUT: u64 = 50 * MILLI;
/// A host that falls silent for this long, and for this many times as long as it is apart
/// from one request to the next, may have been cut off. It then has its own part.
const SILENT: u64 = 300 * MILLI;
const SILENT_TIMES: u64 = 4;
/// One of so many hosts, or fewer, are too few to sum up for each other.
const FEW: usize = 8;
/// A host stands in for those that rank before it if no report has come for this long that
/// was sent to it first.
const STANDS_IN: u64 = 1_000 * MILLI;
/// Requests that a host's first report counts as new ones, as most may be older.
const FIRST_ASKED: u32 = 2;
/// A host's last report is remembered for so long, to know what is new in the next one. A
/// host of a large fleet is asked by a small workspace once in minutes.
const REMEMBERED: u64 = 300_000 * MILLI;

/// What a host was asked by one workspace, and let through.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceUsage {
    /// The workspace's id.
    pub workspace: u64,
    /// Requests since the host's start, modulo 2^32.
    pub requested: u32,
    /// Those of them that were let through, modulo 2^32.
    pub admitted: u32,
    /// Those that were let through in the window up to now.
    pub admitted_in_window: u32,
}

/// A host's report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Hash of the host's start.
    pub start_hash: u64,
    /// What workspaces asked and used.
    pub usages: Vec<WorkspaceUsage>,
    /// Whether hosts that rank before the receiver did not answer.
    pub earlier_unanswered: bool,
}

/// What part of a workspace's requests may be let through.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmitFraction {
    /// The workspace's id.
    pub workspace: u64,
    /// The part, 65,535 for all.
    pub fraction: u16,
}

impl AdmitFraction {
    /// A part from 0 to 1.
    pub fn new(workspace: u64, part: f64) -> AdmitFraction {
        AdmitFraction { workspace, fraction: (part * f64::from(u16::MAX)) as u16 }
    }

    /// The part, from 0 to 1.
    pub fn value(&self) -> f64 {
        f64::from(self.fraction) / f64::from(u16::MAX)
    }
}

/// A part that all hosts are told.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BroadcastFraction {
    /// The part.
    pub fraction: AdmitFraction,
    /// Hash of the address of the host that worked it out, cut to 32 bits.
    pub address_hash: u32,
    /// When that was, in milliseconds of that host's clock, modulo 2^32.
    pub computed_at_ms: u32,
}

/// Parts for all hosts, on their way.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FractionBroadcast {
    /// The parts.
    pub fractions: Vec<BroadcastFraction>,
    /// Hosts that the receiver passes them on to: those the hashes of whose addresses are
    /// from the first one up to the second one; none if both are alike.
    pub forward_range: (u64, u64),
}

/// The answer to a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReply {
    /// Hash of the address of the host that sums.
    pub address_hash: u64,
    /// Parts of the workspaces of the report.
    pub fractions: Vec<AdmitFraction>,
}

/// How much of the fleet a host knows and hears.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// Hosts that may be running, this one included.
    pub possibly_running: usize,
    /// Those of them that are heard, this one included.
    pub live: usize,
    /// Those of them that are in this host's region.
    pub near_live: usize,
}

impl FleetView {
    /// The part of the fleet that is heard.
    ///
    /// Hosts that are not heard may have been cut off and go on by themselves, so their
    /// part of the limit is left to them.
    fn part(self) -> f64 {
        self.live as f64 / self.possibly_running.max(self.live).max(1) as f64
    }

    /// The part of the fleet that this host sums for while others who rank before it do
    /// not answer: they may have been lost with their regions, which shows only seconds
    /// later.
    fn part_near(self) -> f64 {
        self.near_live.min(self.live) as f64 / self.possibly_running.max(self.live).max(1) as f64
    }

    /// Whether so few are heard that each goes by its own part.
    pub fn is_isolated(self) -> bool {
        self.possibly_running > 1 && (self.live == 1 || self.live * FEW <= self.possibly_running)
    }
}

/// Length of the window in which requests are counted, in microseconds.
pub fn window_us(bounds: &Bounds) -> u64 {
    bounds.limit_window_s.max(1) * 1_000 * MILLI
}

/// Requests that a workspace may make in a window.
pub fn window_limit(bounds: &Bounds, workspace: &Workspace) -> f64 {
    workspace.rate_per_s * bounds.limit_window_s as f64 + workspace.burst
}

/// Requests in a window that the hosts together let through.
pub fn fleet_allowance(bounds: &Bounds, workspace: &Workspace) -> f64 {
    window_limit(bounds, workspace) * (1.0 + bounds.limit_overshoot * OVERSHOOT_USED)
}

/// What one host last reported.
#[derive(Clone, Copy, Debug)]
struct HostReport {
    requested: u32,
    admitted: u32,
    used_in_window: u32,
    at: Time,
}

impl HostReport {
    fn silent(&self, now: Time, window: u64) -> bool {
        let apart = window / u64::from(self.used_in_window.max(1));
        (SILENT.max(apart * SILENT_TIMES)..window).contains(&now.since(self.at))
    }
}

/// What a host still gives out that has not run for a window yet.
#[derive(Clone, Copy)]
struct StartupAllowance {
    /// Requests a second.
    rate: f64,
    /// Requests that are left.
    left: f64,
}

impl StartupAllowance {
    /// Requests over a time from now.
    fn room(self, span: u64) -> f64 {
        self.left + self.rate * span as f64 / 1e6
    }
}

/// The sum of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    hosts: FxHashMap<u64, HostReport>,
    /// Requests that were let through.
    used: SlidingWindow,
    /// Those of them that this host heard of as new.
    heard: i64,
    /// Requests asked for, by tenth of a second.
    asked: [u32; STEPS],
    step: u64,
    part: f64,
    told: f64,
    /// When a report last came that was sent here first.
    first_asked: Time,
    worked_out: Option<Time>,
}

impl Tally {
    /// A host told of its requests.
    pub fn on_report(&mut self, now: Time, window: u64, from: &UsageReport, told: WorkspaceUsage) {
        self.advance(now);
        let reader = from.start_hash;
        if !from.earlier_unanswered {
            self.first_asked = now;
        }
        let WorkspaceUsage { requested, admitted, admitted_in_window: used_in_window, .. } = told;
        let new = HostReport { requested, admitted, used_in_window, at: now };
        let requested = match self.hosts.insert(reader, new) {
            // Reports that come out of order show less than is known.
            Some(old) if (requested.wrapping_sub(old.requested) as i32) < 0 => {
                self.hosts.insert(reader, old);
                return;
            }
            Some(old) => {
                let more = admitted.wrapping_sub(old.admitted) as i32;
                self.used.adjust(now, window, more);
                self.heard += i64::from(more);
                requested.wrapping_sub(old.requested)
            }
            None => {
                let latest = used_in_window.min(FIRST_ASKED);
                self.used.adjust(now, window, latest as i32);
                self.heard += i64::from(latest);
                self.used.add_spread(now, window, used_in_window - latest, reader);
                requested.min(FIRST_ASKED)
            }
        };
        let at = (self.step % STEPS as u64) as usize;
        self.asked[at] = self.asked[at].saturating_add(requested);
    }

    /// The part of the workspace's requests that may be let through.
    ///
    /// `age` is how long this host has been running: what was let through before is not
    /// known, so the whole limit is taken to have been used.
    pub fn fraction(
        &mut self,
        now: Time,
        bounds: &Bounds,
        workspace: &Workspace,
        heard: FleetView,
        age: u64,
    ) -> f64 {
        if self.worked_out.is_some_and(|at| now.since(at) < WORKED_OUT) {
            return self.part;
        }
        self.worked_out = Some(now);
        self.advance(now);
        self.hosts.retain(|_, told| now.since(told.at) < REMEMBERED);
        let window = window_us(bounds);
        let room = self.room(now, bounds, workspace, heard);
        let young = self.young(bounds, workspace, heard, age);
        let mut share_out = |span: u64| {
            let leaving = f64::from(self.used.expiring(now, window, span));
            let young = young.map_or(f64::MAX, |young| young.room(span));
            let asked = self.rate() * span as f64 / 1e6;
            (young.min(room + leaving) / asked.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
        };
        (self.part, self.told) = (share_out(SHARE_OUT), share_out(SHARE_OUT_TOLD));
        self.part
    }

    /// Requests that may still be let through in the window up to now; below 0 if there
    /// were too many.
    fn room(&mut self, now: Time, bounds: &Bounds, workspace: &Workspace, heard: FleetView) -> f64 {
        let window = window_us(bounds);
        let kept = |at: u64| 1.0 - (at.min(window) as f64 / window as f64);
        let limit = window_limit(bounds, workspace);
        let own_part = limit / heard.possibly_running.max(1) as f64;
        let silent = self.hosts.values().filter(|told| told.silent(now, window));
        // What a silent host let through before is in the sum until it leaves the window.
        let counted = silent.map(|told| f64::from(told.used_in_window) * kept(now.since(told.at)));
        let left: f64 = counted.map(|counted| (own_part - counted).max(0.0)).sum();
        let used = f64::from(self.used.sum(now, window)) + left;
        let stands_in = now.since(self.first_asked) > STANDS_IN;
        let part = if stands_in { heard.part_near() } else { heard.part() };
        fleet_allowance(bounds, workspace) * part - used
    }

    /// What a host gives out that has not run for a window yet.
    fn young(
        &self,
        bounds: &Bounds,
        workspace: &Workspace,
        heard: FleetView,
        age: u64,
    ) -> Option<StartupAllowance> {
        let part = heard.part();
        let rate = workspace.rate_per_s * YOUNG * part;
        let given = rate * age as f64 / 1e6 + bounds.limit_slack * YOUNG_SLACK * part;
        (age < window_us(bounds))
            .then_some(StartupAllowance { rate, left: given - self.heard as f64 })
    }

    /// What hosts have to know that do not report, and when it was worked out; none if
    /// all their requests may be let through.
    pub fn broadcast_fraction(&self, now: Time) -> Option<(f64, Time)> {
        let at = self.worked_out.filter(|at| now.since(*at) < SLOW)?;
        (self.told < 1.0).then_some((self.told, at))
    }

    /// Requests a second.
    fn rate(&self) -> f64 {
        let recent = |steps: u64| {
            let back = (0..steps).map(|back| self.step.saturating_sub(back) % STEPS as u64);
            back.map(|at| f64::from(self.asked[at as usize])).sum::<f64>()
        };
        let mean = recent(STEPS as u64) * 1e6 / SLOW as f64;
        // The present part has only begun, so the one before counts as well.
        let now = recent(1).max(recent(2) - recent(1));
        if now > CHANCE { mean.max(now * 1e6 / STEP as f64) } else { mean }
    }

    /// Forgets what hosts let through under a higher limit.
    pub fn clear(&mut self) {
        self.used.clear();
        self.worked_out = None;
    }

    /// Whether nothing has been told for long.
    pub fn is_idle(&self, now: Time) -> bool {
        self.hosts.values().all(|told| now.since(told.at) >= REMEMBERED)
    }

    fn advance(&mut self, now: Time) {
        let step = now.0 / STEP;
        let passed = step.saturating_sub(self.step).min(STEPS as u64);
        for ahead in 0..passed {
            self.asked[((step - ahead) % STEPS as u64) as usize] = 0;
        }
        self.step = self.step.max(step);
    }
}
