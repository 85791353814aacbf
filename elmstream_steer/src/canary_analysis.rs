//! Canary analysis: decides by the answers that all hosts count whether the ordered version is bad.
//!
//! Each answer is good or bad. The share of bad answers of the other versions, of the same route at
//! hosts of the same region, is the baseline, so a fault that affects both versions does not count
//! against the ordered one. The default method is a sequential test: Wald's probability ratio
//! (1945) with Page's reset at zero (1954), which detects a version that turns bad late as fast as
//! one that was bad from the start. The other method compares the bad answers within a sliding
//! window.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use elmstream::time::{SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::{
    hash,
    rollout_counts::{AnswerCounts, RolloutReport},
};

/// Lower bound of the baseline share of bad answers: rarer ones can't be measured.
const BASELINE_BAD_SHARE_MIN: f64 = 0.02;
/// A bad version has at least this multiple of the baseline share of bad answers, plus
/// [`BAD_SHARE_MARGIN`].
const BASELINE_FACTOR: f64 = 1.5;
const BAD_SHARE_MARGIN: f64 = 0.15;
/// Log-likelihood ratio from which a version is bad: a good one passes some thousand answers, and
/// is rejected by chance in at most one of some hundred roll-outs.
const REJECT_LOG_RATIO: f64 = 12.0;
/// Time in which the weight of an earlier answer of the other versions drops to 1/e, in
/// microseconds. Short, as a fault that affects both versions must show in the baseline as soon as
/// in the ordered version.
const DECAY_TIME_US: f64 = 1.5e6;
/// Bad answers of the other versions in one report that show a fault of both versions by
/// themselves.
const FAULT_BAD_ANSWERS: u32 = 2;
/// Answers of the other versions on one route in one region from which they are a baseline of their
/// own; with fewer, all answers of the other versions are.
const BASELINE_ANSWERS_MIN: f64 = 12.0;
/// Servers that must have given bad answers, if as many have answered: a single one may have a
/// fault of its own.
const BAD_SERVERS_MIN: usize = 2;
/// Log-likelihood ratio in favour of a good version from which it is trusted: thirteen good answers
/// without a bad one.
const TRUST_LOG_RATIO: f64 = 2.0;
/// Log-likelihood ratio of the last answers from which a version is not trusted.
const DOUBT_LOG_RATIO: f64 = 3.0;
/// Fraction of all requests from which a route must have been tested.
const TESTED_ROUTE_FRACTION: f64 = 0.05;
/// Length of the window of [`AnalysisMethod::Window`], and the answers in it that are enough for a
/// decision.
const ANALYSIS_WINDOW: u64 = 3 * SECOND;
const WINDOW_ANSWERS_MIN: u32 = 20;

/// Method of the analysis.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnalysisMethod {
    /// Sequential probability ratio test.
    #[default]
    Sequential,
    /// Share of bad answers in a sliding window.
    Window,
}

/// Why a version was rejected, for logs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectionCause {
    /// Hash of the route that was found bad; `None` if all routes together were.
    pub route: Option<u32>,
    /// Answers of the ordered version on the route.
    pub target: AnswerCounts,
    /// Number of servers of the ordered version that gave bad answers.
    pub servers: usize,
    /// Share of bad answers that the last test of the route took as usual: that of the other
    /// versions, scaled and bounded; 0 to 1.
    pub usual_bad_share: f64,
}

/// Counts of answers that decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounts {
    good: f64,
    bad: f64,
    at: Time,
}

impl DecayingCounts {
    fn add(&mut self, now: Time, counts: AnswerCounts) {
        let decay = (-(now.since(self.at) as f64) / DECAY_TIME_US).exp();
        self.good = self.good * decay + f64::from(counts.good);
        self.bad = self.bad * decay + f64::from(counts.bad);
        self.at = now;
    }

    fn all(&self) -> f64 {
        self.good + self.bad
    }

    fn bad_share(&self) -> f64 {
        (self.bad + 0.5) / (self.all() + 1.0)
    }
}

/// Test of the answers of one route, or of all routes.
#[derive(Clone, Debug, Default)]
struct SampleTest {
    /// Log-likelihood ratio of a bad version over the last answers; never below 0, so that earlier
    /// good answers can't offset bad ones.
    recent_log_ratio: f64,
    /// Log-likelihood ratio over all answers; bounded above, so that good answers can offset those
    /// of a passing fault.
    total_log_ratio: f64,
    counts: AnswerCounts,
    /// Servers that answered, and those that gave a bad answer.
    servers: BTreeSet<u32>,
    bad: BTreeSet<u32>,
    baseline: f64,
    recent: VecDeque<(Time, AnswerCounts)>,
}

impl SampleTest {
    fn record(&mut self, now: Time, server: u32, counts: AnswerCounts, baseline: f64) {
        let baseline = (baseline * BASELINE_FACTOR).clamp(BASELINE_BAD_SHARE_MIN, 0.7);
        let bad_share = baseline + BAD_SHARE_MARGIN;
        let good_weight = ((1.0 - bad_share) / (1.0 - baseline)).ln();
        let bad_weight = (bad_share / baseline).ln();
        let log_ratio = f64::from(counts.good) * good_weight + f64::from(counts.bad) * bad_weight;
        self.recent_log_ratio = (self.recent_log_ratio + log_ratio).max(0.0);
        self.total_log_ratio = (self.total_log_ratio + log_ratio).min(DOUBT_LOG_RATIO);
        self.counts.good += counts.good;
        self.counts.bad += counts.bad;
        self.baseline = baseline;
        self.servers.insert(server);
        if counts.bad > 0 {
            self.bad.insert(server);
        }
        self.recent.push_back((now, counts));
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= ANALYSIS_WINDOW) {
            self.recent.pop_front();
        }
    }

    fn is_bad(&self, method: AnalysisMethod) -> bool {
        let enough_servers = self.bad.len() >= BAD_SERVERS_MIN.min(self.servers.len());
        let over_threshold = match method {
            AnalysisMethod::Sequential => self.recent_log_ratio >= REJECT_LOG_RATIO,
            AnalysisMethod::Window => {
                let bad: u32 = self.recent.iter().map(|(_, counts)| counts.bad).sum();
                let all: u32 = self.recent.iter().map(|(_, counts)| counts.total()).sum();
                all >= WINDOW_ANSWERS_MIN
                    && f64::from(bad) > (self.baseline + BAD_SHARE_MARGIN) * f64::from(all)
            }
        };
        enough_servers && over_threshold
    }
}

/// Analysis of the reports of all hosts on one order.
#[derive(Clone, Debug, Default)]
pub struct CanaryAnalysis {
    method: AnalysisMethod,
    /// Last report of each host and when it came in, by the hash of the host's address.
    reports: HashMap<u64, (RolloutReport, Time)>,
    old: HashMap<(String, u32), DecayingCounts>,
    old_all: DecayingCounts,
    /// Answers of the other versions since the order, by route.
    old_counts: BTreeMap<u32, u32>,
    routes: BTreeMap<u32, SampleTest>,
    all: SampleTest,
    /// Cause of the first rejection, which is final.
    cause: Option<RejectionCause>,
}

impl CanaryAnalysis {
    /// Creates an analysis without reports that uses the given method.
    pub fn new(method: AnalysisMethod) -> CanaryAnalysis {
        CanaryAnalysis { method, ..CanaryAnalysis::default() }
    }

    /// Takes in a report of a host and tests the answers that are new in it.
    pub fn on_report(&mut self, now: Time, report: RolloutReport) {
        let before = self.reports.get(&report.address_hash).map(|(before, _)| before.clone());
        let before = before.filter(|before| before.start == report.start);
        self.record_old(now, &report, before.as_ref());
        let known_counts = |server: u32, route: u32| {
            let reported = before.iter().flat_map(|before| &before.target);
            let mut reported = reported.filter(|(s, r, _)| (*s, *r) == (server, route));
            reported.next().map_or(AnswerCounts::default(), |(_, _, counts)| *counts)
        };
        for (server, route, counts) in &report.target {
            let new = counts.since(known_counts(*server, *route));
            if new.total() > 0 {
                let current_share = fault_share(&report, before.as_ref());
                let baseline = self.baseline(&report.region, *route).max(current_share);
                self.routes.entry(*route).or_default().record(now, *server, new, baseline);
                self.all.record(now, *server, new, baseline);
            }
        }
        self.reports.insert(report.address_hash, (report, now));
        self.update_rejection();
    }

    fn record_old(&mut self, now: Time, report: &RolloutReport, before: Option<&RolloutReport>) {
        for (route, counts) in &report.old {
            let reported = before.iter().flat_map(|before| &before.old);
            let mut reported = reported.filter(|(known, _)| known == route);
            let new = counts
                .since(reported.next().map_or(AnswerCounts::default(), |(_, counts)| *counts));
            self.old.entry((report.region.clone(), *route)).or_default().add(now, new);
            self.old_all.add(now, new);
            let count = self.old_counts.entry(*route).or_default();
            *count = count.saturating_add(new.total());
        }
    }

    /// Baseline share of bad answers for a route in a region.
    fn baseline(&self, region: &str, route: u32) -> f64 {
        let route_counts = self.old.get(&(region.to_owned(), route));
        route_counts
            .filter(|route_counts| route_counts.all() >= BASELINE_ANSWERS_MIN)
            .map_or(self.old_all.bad_share(), DecayingCounts::bad_share)
    }

    fn update_rejection(&mut self) {
        if self.cause.is_some() {
            return;
        }
        let routes = self.routes.iter().map(|(route, test)| (Some(*route), test));
        let mut tests = routes.chain([(None, &self.all)]);
        let method = self.method;
        self.cause =
            tests.find(|(_, test)| test.is_bad(method)).map(|(route, test)| RejectionCause {
                route,
                target: test.counts,
                servers: test.bad.len(),
                usual_bad_share: test.baseline,
            });
    }

    /// Why the version is bad; `None` if it hasn't been found to be.
    pub fn rejection(&self) -> Option<&RejectionCause> {
        self.cause.as_ref()
    }

    /// Whether neither a rejection nor the last answers count against the version.
    pub fn is_clear(&self) -> bool {
        let tests = self.routes.values().chain([&self.all]);
        self.cause.is_none()
            && tests.into_iter().all(|test| test.recent_log_ratio < DOUBT_LOG_RATIO)
    }

    /// Whether enough answers were good, over all routes.
    pub fn is_trusted(&self) -> bool {
        self.is_clear() && self.all.total_log_ratio <= -TRUST_LOG_RATIO
    }

    /// Whether enough answers were good on each route that callers use.
    pub fn are_routes_trusted(&self) -> bool {
        let old_answers = f64::from(self.old_answers());
        let is_relevant = |count: u32| f64::from(count) >= old_answers * TESTED_ROUTE_FRACTION;
        let good = |test: &SampleTest| test.total_log_ratio <= -TRUST_LOG_RATIO;
        let routes = self.old_counts.iter().filter(|(_, count)| is_relevant(**count));
        let mut routes = routes.map(|(route, _)| self.routes.get(route).is_some_and(good));
        self.is_clear() && routes.all(|good| good)
    }

    /// Number of answers of the other versions since the order.
    pub fn old_answers(&self) -> u32 {
        self.old_counts.values().sum()
    }

    /// Answers of the ordered version since the order.
    pub fn target_counts(&self) -> AnswerCounts {
        self.all.counts
    }

    /// Whether the host with this address hash has reported recently that it no longer uses the
    /// servers of other versions.
    pub fn has_drained_old(&self, now: Time, address_hash: u64) -> bool {
        let report = self.reports.get(&address_hash);
        report.is_some_and(|(report, at)| report.old_drained && now.since(*at) < 3 * SECOND)
    }
}

/// Share of bad answers of the other versions since a host's last report, if they show a fault;
/// otherwise 0.
fn fault_share(report: &RolloutReport, before: Option<&RolloutReport>) -> f64 {
    let sum = |report: &RolloutReport| {
        let counts = report.old.iter().map(|(_, counts)| *counts);
        counts.fold(AnswerCounts::default(), |sum, counts| AnswerCounts {
            good: sum.good + counts.good,
            bad: sum.bad + counts.bad,
        })
    };
    let new = sum(report).since(before.map(sum).unwrap_or_default());
    match new.bad >= FAULT_BAD_ANSWERS {
        true => f64::from(new.bad) / f64::from(new.total()),
        false => 0.0,
    }
}

/// Hash of a route's name, as used in reports.
pub fn route_hash(name: &str) -> u32 {
    hash::of(name) as u32
}
