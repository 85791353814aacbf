//! Judges the version of a roll-out by the answers that all hosts count.
//!
//! Each answer is bad or not, and the other versions' answers of the same route at hosts of
//! the same region tell how many bad ones are usual, so a fault that strikes both does not
//! speak against the version. The default is a sequential test: Wald's probability ratio
//! (1945) with Page's reset at zero (1954), by which a version that turns bad late is found
//! out as fast as one that was bad from the start. The other way compares the bad answers of
//! the last seconds, as canary analyses by windows do.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use elmstream::time::{SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::{
    hash,
    rollout_counts::{AnswerCounts, RolloutReport},
};

/// Part of bad answers that counts as usual at least: fewer are too rare to be measured.
const USUAL_LEAST: f64 = 0.02;
/// A version counts as worse from this multiple of the usual part on, and this much more.
const USUAL_TIMES: f64 = 1.5;
const WORSE: f64 = 0.15;
/// Logarithm of how much more likely the answers must be of a bad version: a good one
/// passes some thousand answers, and is turned away by chance once in some hundred
/// roll-outs at most.
const SURE: f64 = 12.0;
/// Time in which the other versions' answers fade to a third, in microseconds: a fault that
/// strikes both has to be seen in them as soon as in the version's.
const FADES: f64 = 1.5e6;
/// Bad answers of the other versions in one report that show such a fault by themselves.
const FAULT: u32 = 2;
/// Answers of the other versions of one route and region that tell what is usual; with fewer
/// all of them together do.
const KNOWN: f64 = 12.0;
/// Servers whose answers have to be bad, as far as so many have answered: one alone may be
/// struck by a fault of its own.
const SERVERS: usize = 2;
/// Logarithm of how much more likely the answers must be of a good version for it to be
/// trusted: thirteen good ones and no bad one.
const TRUST: f64 = 2.0;
/// A version is not trusted as long as its last answers speak against it this much.
const DOUBT: f64 = 3.0;
/// Part of the requests from which on a route has to be tried.
const ROUTE_PART: f64 = 0.05;
/// Window of the other way of judging, answers in it that are enough, and the part of bad
/// ones beyond the usual.
const WINDOW: u64 = 3 * SECOND;
const WINDOW_LEAST: u32 = 20;

/// A way of judging.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnalysisMethod {
    /// By a sequential test.
    #[default]
    Sequential,
    /// By the answers of the last seconds.
    Window,
}

/// Why a version is bad, for lines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectionCause {
    /// Hash of the route; none for all together.
    pub route: Option<u32>,
    /// Its answers of the ordered version.
    pub target: AnswerCounts,
    /// Servers of the ordered version that gave bad answers.
    pub servers: usize,
    /// Part of bad answers of the other versions lately.
    pub usual_bad_share: f64,
}

/// Answers that fade.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounts {
    good: f64,
    bad: f64,
    at: Time,
}

impl DecayingCounts {
    fn add(&mut self, now: Time, marks: AnswerCounts) {
        let left = (-(now.since(self.at) as f64) / FADES).exp();
        self.good = self.good * left + f64::from(marks.good);
        self.bad = self.bad * left + f64::from(marks.bad);
        self.at = now;
    }

    fn all(&self) -> f64 {
        self.good + self.bad
    }

    fn part(&self) -> f64 {
        (self.bad + 0.5) / (self.all() + 1.0)
    }
}

/// The test of one route, or of all together.
#[derive(Clone, Debug, Default)]
struct SampleTest {
    /// How much more likely the last answers are of a bad version, as a logarithm; never below
    /// 0, so that good ones before do not make up for them.
    ratio: f64,
    /// The same of all answers; bounded, so that what a fault did can be made up for.
    sum: f64,
    marks: AnswerCounts,
    /// Servers that answered, and those whose answers were bad.
    servers: BTreeSet<u32>,
    bad: BTreeSet<u32>,
    usual: f64,
    recent: VecDeque<(Time, AnswerCounts)>,
}

impl SampleTest {
    fn take(&mut self, now: Time, server: u32, marks: AnswerCounts, usual: f64) {
        let usual = (usual * USUAL_TIMES).clamp(USUAL_LEAST, 0.7);
        let worse = usual + WORSE;
        let good = ((1.0 - worse) / (1.0 - usual)).ln();
        let bad = (worse / usual).ln();
        let new = f64::from(marks.good) * good + f64::from(marks.bad) * bad;
        self.ratio = (self.ratio + new).max(0.0);
        self.sum = (self.sum + new).min(DOUBT);
        self.marks.good += marks.good;
        self.marks.bad += marks.bad;
        self.usual = usual;
        self.servers.insert(server);
        if marks.bad > 0 {
            self.bad.insert(server);
        }
        self.recent.push_back((now, marks));
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW) {
            self.recent.pop_front();
        }
    }

    fn is_bad(&self, judging: AnalysisMethod) -> bool {
        let shown = self.bad.len() >= SERVERS.min(self.servers.len());
        let worse = match judging {
            AnalysisMethod::Sequential => self.ratio >= SURE,
            AnalysisMethod::Window => {
                let bad: u32 = self.recent.iter().map(|(_, marks)| marks.bad).sum();
                let all: u32 = self.recent.iter().map(|(_, marks)| marks.total()).sum();
                all >= WINDOW_LEAST && f64::from(bad) > (self.usual + WORSE) * f64::from(all)
            }
        };
        shown && worse
    }
}

/// Sums up the reports of all hosts on one order.
#[derive(Clone, Debug, Default)]
pub struct CanaryAnalysis {
    judging: AnalysisMethod,
    /// Last report of each host, by the hash of its address.
    reports: HashMap<u64, (RolloutReport, Time)>,
    old: HashMap<(String, u32), DecayingCounts>,
    old_all: DecayingCounts,
    /// Answers of the other versions so far, by route.
    old_counts: BTreeMap<u32, u32>,
    routes: BTreeMap<u32, SampleTest>,
    all: SampleTest,
    /// The first time that the version was found to be bad stands.
    cause: Option<RejectionCause>,
}

impl CanaryAnalysis {
    /// One that judges in a given way.
    pub fn new(judging: AnalysisMethod) -> CanaryAnalysis {
        CanaryAnalysis { judging, ..CanaryAnalysis::default() }
    }

    /// Takes a report in.
    pub fn on_report(&mut self, now: Time, report: RolloutReport) {
        let before = self.reports.get(&report.address_hash).map(|(before, _)| before.clone());
        let before = before.filter(|before| before.start == report.start);
        self.take_old(now, &report, before.as_ref());
        let known = |server: u32, route: u32| {
            let told = before.iter().flat_map(|before| &before.target);
            let mut told = told.filter(|(s, r, _)| (*s, *r) == (server, route));
            told.next().map_or(AnswerCounts::default(), |(_, _, marks)| *marks)
        };
        for (server, route, marks) in &report.target {
            let new = marks.since(known(*server, *route));
            if new.total() > 0 {
                let now_usual = own_part(&report, before.as_ref());
                let usual = self.usual(&report.region, *route).max(now_usual);
                self.routes.entry(*route).or_default().take(now, *server, new, usual);
                self.all.take(now, *server, new, usual);
            }
        }
        self.reports.insert(report.address_hash, (report, now));
        self.judge();
    }

    fn take_old(&mut self, now: Time, report: &RolloutReport, before: Option<&RolloutReport>) {
        for (route, marks) in &report.old {
            let told = before.iter().flat_map(|before| &before.old);
            let mut told = told.filter(|(known, _)| known == route);
            let new = marks.since(told.next().map_or(AnswerCounts::default(), |(_, marks)| *marks));
            self.old.entry((report.region.clone(), *route)).or_default().add(now, new);
            self.old_all.add(now, new);
            let count = self.old_counts.entry(*route).or_default();
            *count = count.saturating_add(new.total());
        }
    }

    /// Part of bad answers that is usual for a route in a region.
    fn usual(&self, region: &str, route: u32) -> f64 {
        let own = self.old.get(&(region.to_owned(), route));
        own.filter(|own| own.all() >= KNOWN).map_or(self.old_all.part(), DecayingCounts::part)
    }

    fn judge(&mut self) {
        if self.cause.is_some() {
            return;
        }
        let routes = self.routes.iter().map(|(route, trial)| (Some(*route), trial));
        let mut trials = routes.chain([(None, &self.all)]);
        let judging = self.judging;
        self.cause =
            trials.find(|(_, trial)| trial.is_bad(judging)).map(|(route, trial)| RejectionCause {
                route,
                target: trial.marks,
                servers: trial.bad.len(),
                usual_bad_share: trial.usual,
            });
    }

    /// Why the version is bad; none if it is not known to be.
    pub fn rejection(&self) -> Option<&RejectionCause> {
        self.cause.as_ref()
    }

    /// Whether nothing speaks against the version now.
    pub fn is_clear(&self) -> bool {
        let trials = self.routes.values().chain([&self.all]);
        self.cause.is_none() && trials.into_iter().all(|trial| trial.ratio < DOUBT)
    }

    /// Whether enough answers were good, over all routes.
    pub fn is_trusted(&self) -> bool {
        self.is_clear() && self.all.sum <= -TRUST
    }

    /// Whether enough answers were good of each route that callers ask for.
    pub fn are_routes_trusted(&self) -> bool {
        let asked = f64::from(self.old_answers());
        let matters = |count: u32| f64::from(count) >= asked * ROUTE_PART;
        let good = |trial: &SampleTest| trial.sum <= -TRUST;
        let routes = self.old_counts.iter().filter(|(_, count)| matters(**count));
        let mut routes = routes.map(|(route, _)| self.routes.get(route).is_some_and(good));
        self.is_clear() && routes.all(|good| good)
    }

    /// Answers of the other versions so far.
    pub fn old_answers(&self) -> u32 {
        self.old_counts.values().sum()
    }

    /// Answers of the ordered version so far.
    pub fn target_counts(&self) -> AnswerCounts {
        self.all.marks
    }

    /// Whether a host, by the hash of its address, has said lately that it has left the servers
    /// of other versions.
    pub fn has_drained_old(&self, now: Time, place: u64) -> bool {
        let report = self.reports.get(&place);
        report.is_some_and(|(report, at)| report.old_drained && now.since(*at) < 3 * SECOND)
    }
}

/// Part of bad answers of the other versions since a host's last report, if they show a fault;
/// else 0.
fn own_part(report: &RolloutReport, before: Option<&RolloutReport>) -> f64 {
    let sum = |report: &RolloutReport| {
        let marks = report.old.iter().map(|(_, marks)| *marks);
        marks.fold(AnswerCounts::default(), |sum, marks| AnswerCounts {
            good: sum.good + marks.good,
            bad: sum.bad + marks.bad,
        })
    };
    let new = sum(report).since(before.map(sum).unwrap_or_default());
    match new.bad >= FAULT {
        true => f64::from(new.bad) / f64::from(new.total()),
        false => 0.0,
    }
}

/// Hash of a route's name, as reports have it.
pub fn route_hash(name: &str) -> u32 {
    hash::of(name) as u32
}
