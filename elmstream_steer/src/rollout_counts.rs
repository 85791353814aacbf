//! What a host counts of a roll-out's requests, and tells the host that judges.
//!
//! Counts only rise during a start, so a report that is lost costs nothing once the next
//! one comes, and a judge that takes over learns all from the next reports.

use std::collections::{BTreeMap, HashMap};

use elmstream::time::{MILLI, SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::{hash, rollout::RolloutStage, server::Outcome, version::StoreVersion};

/// Time between two reports of a host that has something to say.
pub const REPORT_INTERVAL: u64 = 500 * MILLI;
/// The same if nothing has changed, so that a judge that took over learns it.
const REPEAT_EVERY: u64 = SECOND;
/// An answer is slow if it took this many times as long as the other versions' do: bad
/// versions are several times slower.
const SLOW: f64 = 2.5;
/// Time by which answers differ for the host's own sake, in milliseconds.
const NOISE_MS: f64 = 10.0;
/// Answers of the other versions from which on their mean is known.
const KNOWN: u32 = 5;
/// How many times as long a server takes that does not know the key, till learned.
const UNKNOWING: f64 = 3.0;
/// Weight of one more answer in that mean.
const WEIGHT: f64 = 0.05;
/// Kinds that are counted apart at most: pairs of a server and a route, or routes.
const KINDS: usize = 96;

/// Answers by how they were.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerCounts {
    /// As they should be.
    pub good: u32,
    /// Failures, and answers that took too long.
    pub bad: u32,
}

impl AnswerCounts {
    /// All of them.
    pub fn total(self) -> u32 {
        self.good + self.bad
    }

    fn add(&mut self, bad: bool) {
        match bad {
            true => self.bad += 1,
            false => self.good += 1,
        }
    }

    /// What has come since an earlier count of the same start.
    pub fn since(self, before: AnswerCounts) -> AnswerCounts {
        let good = self.good.saturating_sub(before.good);
        AnswerCounts { good, bad: self.bad.saturating_sub(before.bad) }
    }
}

/// What a host tells of one roll-out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Hash of the service.
    pub service: u32,
    /// The store's version of the order's row.
    pub order: StoreVersion,
    /// Hash of the host's address, and of its start.
    pub address_hash: u64,
    /// Hash of the start.
    pub start: u64,
    /// Region of the host.
    pub region: String,
    /// Answers of servers of the ordered version, by hashes of the server and the route.
    pub target: Vec<(u32, u32, AnswerCounts)>,
    /// Answers of the other servers, by hash of the route.
    pub old: Vec<(u32, AnswerCounts)>,
    /// The stage that the host acts on.
    pub stage: Option<RolloutStage>,
    /// Whether it has nothing in flight at servers of other versions and sends nothing more
    /// there.
    pub old_drained: bool,
}

/// How long answers of versions that are not on trial take, by route, and by whether the
/// server was taken to know the key: one that has just started knows none, and is slower for
/// it, but not bad. Counted all the time, as warm servers seldom meet a key that is new.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baselines(HashMap<(u32, bool), Baseline>);

#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    mean_ms: f64,
    count: u32,
}

impl Baselines {
    /// Takes an answer's time in, unless its server is on trial; whether it is far longer
    /// than usual.
    pub fn is_slow(&mut self, seen: &ObservedAnswer, micros: u64, knew: bool) -> bool {
        let millis = micros as f64 / MILLI as f64;
        if self.0.len() >= KINDS && !self.0.contains_key(&(seen.route, knew)) {
            return false;
        }
        let usually = self.mean_ms(seen.route, knew);
        let slow = usually.is_some_and(|usually| millis > usually * SLOW + NOISE_MS);
        if !seen.target && !seen.cold {
            let usual = self.0.entry((seen.route, knew)).or_default();
            usual.count = usual.count.saturating_add(1);
            let weight = WEIGHT.max(1.0 / f64::from(usual.count));
            usual.mean_ms += (millis - usual.mean_ms) * weight;
        }
        slow
    }

    /// Mean time of a route's answers of one kind; none if too few of either are known.
    ///
    /// Of the kind of which few have come it is worked out from the other one, by how the two
    /// are on the other routes.
    fn mean_ms(&self, route: u32, knew: bool) -> Option<f64> {
        self.known(route, knew).or_else(|| {
            let other = self.known(route, !knew)?;
            Some(if knew { other / self.ratio() } else { other * self.ratio() })
        })
    }

    fn known(&self, route: u32, knew: bool) -> Option<f64> {
        let usual = self.0.get(&(route, knew))?;
        (usual.count >= KNOWN).then_some(usual.mean_ms)
    }

    /// How many times as long servers take that do not know the key.
    fn ratio(&self) -> f64 {
        let knowing = self.0.keys().filter(|(_, knew)| *knew);
        let both = knowing
            .filter_map(|(route, _)| Some(self.known(*route, false)? / self.known(*route, true)?));
        let both: Vec<f64> = both.collect();
        if both.is_empty() { UNKNOWING } else { both.iter().sum::<f64>() / both.len() as f64 }
    }
}

/// What one host has counted of a roll-out.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutCounts {
    target: BTreeMap<(u32, u32), AnswerCounts>,
    old: BTreeMap<u32, AnswerCounts>,
    /// Last report, and what it said.
    told: Option<(Time, u64)>,
}

/// An answer that counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedAnswer {
    /// Hash of the server.
    pub server: u32,
    /// Hash of the route.
    pub route: u32,
    pub outcome: Outcome,
    /// Whether the server was cold, and so slower than usual.
    pub cold: bool,
    /// Whether it is of the ordered version.
    pub target: bool,
}

impl RolloutCounts {
    /// Counts an answer, which took far longer than usual or not; whether it was one.
    pub fn count(&mut self, seen: &ObservedAnswer, slow: bool) -> bool {
        let bad = match seen.outcome {
            Outcome::Answered { .. } => slow && !seen.cold,
            Outcome::Failed | Outcome::Unknown | Outcome::ServerCrashed | Outcome::Silent => true,
            Outcome::Full
            | Outcome::WrongServer
            | Outcome::NoConnection
            | Outcome::NotSent
            | Outcome::CallerGone => return false,
        };
        let marks = match seen.target {
            true => bounded(&mut self.target, (seen.server, seen.route), (0, seen.route)),
            false => bounded(&mut self.old, seen.route, 0),
        };
        marks.add(bad);
        true
    }

    /// The report that is due, given all but what was counted.
    pub fn report(&mut self, now: Time, report: RolloutReport) -> Option<RolloutReport> {
        let target = self.target.iter().map(|((server, route), marks)| (*server, *route, *marks));
        let old = self.old.iter().map(|(route, marks)| (*route, *marks));
        let report = RolloutReport { target: target.collect(), old: old.collect(), ..report };
        let digest = hash::of(words(&report));
        let due = self.told.is_none_or(|(at, told)| {
            let apart = if told == digest { REPEAT_EVERY } else { REPORT_INTERVAL };
            now.since(at) >= apart
        });
        due.then(|| {
            self.told = Some((now, digest));
            report
        })
    }
}

/// A text that differs if what a report says does.
fn words(report: &RolloutReport) -> String {
    format!("{:?}{:?}{:?}{}", report.target, report.old, report.stage, report.old_drained)
}

/// The count of a kind, or of all others if there are too many kinds.
fn bounded<K: Copy + Ord>(
    counts: &mut BTreeMap<K, AnswerCounts>,
    kind: K,
    others: K,
) -> &mut AnswerCounts {
    let room = counts.len() < KINDS || counts.contains_key(&kind);
    counts.entry(if room { kind } else { others }).or_default()
}
