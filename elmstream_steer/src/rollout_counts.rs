//! Answers that a host counts during a roll-out and reports to the host that runs the canary
//! analysis.
//!
//! Counts only grow between two starts of a host. A lost report is therefore made up for by the
//! next one, and a host that takes over the analysis learns everything from the next reports.

use std::collections::{BTreeMap, HashMap};

use elmstream::time::{MILLI, SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::{hash, rollout::RolloutStage, server::Outcome, version::StoreVersion};

/// Time between two reports of a host whose counts have changed, in microseconds.
pub const REPORT_INTERVAL: u64 = 500 * MILLI;
/// Time between two reports with equal content, so that a host that takes over the analysis learns
/// it.
const UNCHANGED_REPORT_INTERVAL: u64 = SECOND;
/// An answer is slow if it took this many times the baseline; bad versions are several times
/// slower.
const SLOW_FACTOR: f64 = 2.5;
/// Differences in answer time up to this are caused by the host itself, in milliseconds.
const NOISE_MS: f64 = 10.0;
/// Number of baseline answers from which their mean is used.
const BASELINE_ANSWERS_MIN: u32 = 5;
/// Ratio of answer times on servers that aren't warm for the key to those that are, until it is
/// measured.
const COLD_KEY_FACTOR: f64 = 3.0;
/// Weight of one more answer in the moving mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Highest number of separate counters: pairs of server and route, or routes.
const COUNTERS_MAX: usize = 96;

/// Answers, counted by whether they were good.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerCounts {
    /// Successful answers in the usual time.
    pub good: u32,
    /// Failures and slow answers.
    pub bad: u32,
}

impl AnswerCounts {
    /// Number of all answers.
    pub fn total(self) -> u32 {
        self.good + self.bad
    }

    fn add(&mut self, bad: bool) {
        match bad {
            true => self.bad += 1,
            false => self.good += 1,
        }
    }

    /// Answers counted since an earlier count of the same start of a host.
    pub fn since(self, before: AnswerCounts) -> AnswerCounts {
        let good = self.good.saturating_sub(before.good);
        AnswerCounts { good, bad: self.bad.saturating_sub(before.bad) }
    }
}

/// Report of one host on one roll-out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Hash of the service's name, cut to 32 bits.
    pub service: u32,
    /// Store version of the order's row.
    pub order: StoreVersion,
    /// Hash of the host's address.
    pub address_hash: u64,
    /// Hash of the host's start.
    pub start: u64,
    /// Region of the host.
    pub region: String,
    /// Answers of servers of the ordered version, by hashes of server and route.
    pub target: Vec<(u32, u32, AnswerCounts)>,
    /// Answers of the other servers, by hash of the route.
    pub old: Vec<(u32, AnswerCounts)>,
    /// Stage that the host acts on.
    pub stage: Option<RolloutStage>,
    /// Whether the host sends nothing more to servers of other versions and has no request in
    /// flight there.
    pub old_drained: bool,
}

/// Usual answer times of versions that aren't being tested, by route and by whether the server was
/// expected to be warm for the key: a server that has just started is warm for none and slower for
/// it, but not bad. Counted at all times, as warm servers seldom meet a new key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baselines(HashMap<(u32, bool), Baseline>);

#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    mean_ms: f64,
    count: u32,
}

impl Baselines {
    /// Records the time of an answer, unless its server is being tested or cold. Returns whether
    /// the answer was slow against the baseline before it.
    pub fn record_time(&mut self, answer: &ObservedAnswer, micros: u64, was_warm: bool) -> bool {
        let millis = micros as f64 / MILLI as f64;
        if self.0.len() >= COUNTERS_MAX && !self.0.contains_key(&(answer.route, was_warm)) {
            return false;
        }
        let baseline_ms = self.mean_ms(answer.route, was_warm);
        let slow =
            baseline_ms.is_some_and(|baseline_ms| millis > baseline_ms * SLOW_FACTOR + NOISE_MS);
        if !answer.target && !answer.cold {
            let baseline = self.0.entry((answer.route, was_warm)).or_default();
            baseline.count = baseline.count.saturating_add(1);
            let weight = MEAN_WEIGHT.max(1.0 / f64::from(baseline.count));
            baseline.mean_ms += (millis - baseline.mean_ms) * weight;
        }
        slow
    }

    /// Mean time of a route's answers, warm or not; `None` if too few of either kind are known. For
    /// a kind with too few answers it is derived from the other kind and the ratio on other routes.
    fn mean_ms(&self, route: u32, was_warm: bool) -> Option<f64> {
        self.known_mean_ms(route, was_warm).or_else(|| {
            let other = self.known_mean_ms(route, !was_warm)?;
            Some(if was_warm {
                other / self.cold_key_ratio()
            } else {
                other * self.cold_key_ratio()
            })
        })
    }

    fn known_mean_ms(&self, route: u32, was_warm: bool) -> Option<f64> {
        let baseline = self.0.get(&(route, was_warm))?;
        (baseline.count >= BASELINE_ANSWERS_MIN).then_some(baseline.mean_ms)
    }

    /// Mean ratio of answer times without and with a warm key.
    fn cold_key_ratio(&self) -> f64 {
        let warm = self.0.keys().filter(|(_, was_warm)| *was_warm);
        let ratios = warm.filter_map(|(route, _)| {
            Some(self.known_mean_ms(*route, false)? / self.known_mean_ms(*route, true)?)
        });
        let ratios: Vec<f64> = ratios.collect();
        if ratios.is_empty() {
            COLD_KEY_FACTOR
        } else {
            ratios.iter().sum::<f64>() / ratios.len() as f64
        }
    }
}

/// Answers that one host counted for a roll-out.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutCounts {
    target: BTreeMap<(u32, u32), AnswerCounts>,
    old: BTreeMap<u32, AnswerCounts>,
    /// Time and content hash of the last report.
    last_report: Option<(Time, u64)>,
}

/// Answer to count.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedAnswer {
    /// Hash of the server.
    pub server: u32,
    /// Hash of the route.
    pub route: u32,
    pub outcome: Outcome,
    /// Whether the server was cold, and so slower than usual.
    pub cold: bool,
    /// Whether the server has the ordered version.
    pub target: bool,
}

impl RolloutCounts {
    /// Counts an outcome; `slow` tells whether the answer was slow. Returns whether the outcome
    /// says anything about the server's version.
    pub fn count(&mut self, answer: &ObservedAnswer, slow: bool) -> bool {
        let bad = match answer.outcome {
            Outcome::Answered { .. } => slow && !answer.cold,
            Outcome::Failed
            | Outcome::Unknown
            | Outcome::NoResponse
            | Outcome::ServerCrashed
            | Outcome::Silent => true,
            Outcome::Full
            | Outcome::RefusedWithFreeSlots
            | Outcome::WrongServer
            | Outcome::NoConnection
            | Outcome::NotSent
            | Outcome::CallerGone => return false,
        };
        let counts = match answer.target {
            true => counter_for(&mut self.target, (answer.server, answer.route), (0, answer.route)),
            false => counter_for(&mut self.old, answer.route, 0),
        };
        counts.add(bad);
        true
    }

    /// Completes `report` with the counts; `None` if no report is due.
    pub fn report(&mut self, now: Time, report: RolloutReport) -> Option<RolloutReport> {
        let target = self.target.iter().map(|((server, route), counts)| (*server, *route, *counts));
        let old = self.old.iter().map(|(route, counts)| (*route, *counts));
        let report = RolloutReport { target: target.collect(), old: old.collect(), ..report };
        let digest = hash::of(content_text(&report));
        let due = self.last_report.is_none_or(|(at, last_digest)| {
            let interval =
                if last_digest == digest { UNCHANGED_REPORT_INTERVAL } else { REPORT_INTERVAL };
            now.since(at) >= interval
        });
        due.then(|| {
            self.last_report = Some((now, digest));
            report
        })
    }
}

/// Text that differs if the counted content of two reports differs; hashed within one host only.
fn content_text(report: &RolloutReport) -> String {
    format!("{:?}{:?}{:?}{}", report.target, report.old, report.stage, report.old_drained)
}

/// Counter for `key`, or the one for `others` if there are too many counters.
fn counter_for<K: Copy + Ord>(
    counts: &mut BTreeMap<K, AnswerCounts>,
    key: K,
    others: K,
) -> &mut AnswerCounts {
    let has_room = counts.len() < COUNTERS_MAX || counts.contains_key(&key);
    counts.entry(if has_room { key } else { others }).or_default()
}
