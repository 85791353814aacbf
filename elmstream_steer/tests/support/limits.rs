//! A fleet of hosts that share a workspace's limit, in virtual time.

#![allow(dead_code)]

use std::collections::BTreeMap;

use elmstream::time::{MILLI, SECOND, Time};
use elmstream_steer::{
    Bounds, hash, members,
    model::{Configuration, Workspace},
    quota::{self, AddressedBroadcast, QuotaContext, QuotaDecision, Quotas},
    tally::{FleetView, FractionBroadcast, UsageReply, UsageReport},
    workspaces::{WorkspaceEntry, WorkspaceTable},
};

/// Regions of the fleet; hosts are in them by turns.
pub const REGIONS: usize = 3;
/// Ways inside a region and between two, in milliseconds.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 13;
/// Time between two steps, and between two reports of a host, in milliseconds.
const STEP: u64 = 10;
const REPORT: u64 = 100;

/// How many requests come, and who hears whom.
pub trait Load {
    /// Requests a second of all hosts together at a time in milliseconds.
    fn rate(&self, at: u64) -> f64;
    /// The part of them that comes to a host, relative to the others.
    fn weight(&self, _host: usize, _at: u64) -> f64 {
        1.0
    }
    /// Whether a host runs.
    fn runs(&self, _host: usize, _at: u64) -> bool {
        true
    }
    /// Whether two hosts that run reach each other.
    fn reaches(&self, _from: usize, _to: usize, _at: u64) -> bool {
        true
    }
    /// The workspace as it is configured at a time.
    fn workspace(&self, at: u64) -> Workspace;
}

/// A workspace that may make so many requests a second, and as many on top.
pub fn workspace(rate: f64) -> Workspace {
    Workspace { name: "w".into(), rate_per_s: rate, burst: rate, ..Workspace::default() }
}

enum Message {
    Report(usize, UsageReport),
    Verdict(UsageReply),
    Spread(FractionBroadcast),
}

struct Host {
    quotas: Quotas,
    table: WorkspaceTable,
    limit: Option<Workspace>,
    started: u64,
    places: Vec<u64>,
    heard: FleetView,
}

/// How hosts keep a limit, and rules that are left out on purpose.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Way {
    /// As they do.
    #[default]
    Tallies,
    /// Each by its own part alone.
    OwnParts,
    /// Each by its own part alone, and one request at least.
    OneEach,
    /// Whoever is not heard is taken to be dead.
    SilentAreDead,
    /// Nobody is told of a workspace that is pressing.
    NobodyTold,
    /// Nobody reports.
    NoReports,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests that came, and those that were let through, by time in milliseconds.
    pub asked: Vec<u64>,
    pub within: Vec<u64>,
    /// Longest Retry-After.
    pub retry_most: u64,
    /// Datagrams of reports and answers.
    pub datagrams: u64,
}

impl Seen {
    /// Most requests that were let through in any window.
    pub fn worst(&self, window_ms: u64) -> usize {
        let mut begin = 0;
        let mut worst = 0;
        for (end, at) in self.within.iter().enumerate() {
            while self.within[begin] + window_ms <= *at {
                begin += 1;
            }
            worst = worst.max(end + 1 - begin);
        }
        worst
    }

    /// Requests of a time that were held back.
    pub fn held_back(&self, from: u64, to: u64) -> usize {
        let within = |times: &[u64]| times.iter().filter(|at| (from..to).contains(*at)).count();
        within(&self.asked) - within(&self.within)
    }

    /// The part of the requests of a time that was let through.
    pub fn part(&self, from: u64, to: u64) -> f64 {
        let within = |times: &[u64]| times.iter().filter(|at| (from..to).contains(*at)).count();
        within(&self.within) as f64 / within(&self.asked).max(1) as f64
    }
}

/// Numbers that look random, the same for each seed.
pub struct Draws(pub u64, u64);

impl Draws {
    pub fn new(seed: u64) -> Draws {
        Draws(seed, 0)
    }

    pub fn unit(&mut self) -> f64 {
        self.1 += 1;
        hash::unit_interval(hash::combine(self.0, self.1))
    }
}

/// Plays a load on so many hosts for so long.
pub struct Play<'a, L: Load> {
    load: &'a L,
    bounds: Bounds,
    hosts: Vec<Host>,
    by_place: BTreeMap<u64, usize>,
    on_way: BTreeMap<u64, Vec<(usize, Message)>>,
    draws: Draws,
    /// Part of datagrams that are lost.
    loss: f64,
    way: Way,
    /// Requests that hosts let through by their own part alone.
    by_part: Vec<Vec<u64>>,
    pub seen: Seen,
}

impl<'a, L: Load> Play<'a, L> {
    pub fn new(load: &'a L, count: usize, seed: u64) -> Play<'a, L> {
        let host = |n: usize| Host {
            quotas: Quotas::new(hash::combine(seed, n as u64), Time(0)),
            table: WorkspaceTable::default(),
            limit: None,
            started: 0,
            places: Vec::new(),
            heard: FleetView { possibly_running: count, live: count, near_live: count / REGIONS },
        };
        Play {
            load,
            bounds: Bounds::default(),
            hosts: (0..count).map(host).collect(),
            by_place: (0..count).map(|n| (Self::place(n), n)).collect(),
            on_way: BTreeMap::new(),
            draws: Draws::new(seed),
            loss: 0.0,
            way: Way::Tallies,
            by_part: vec![Vec::new(); count],
            seen: Seen::default(),
        }
    }

    pub fn lossy(mut self, loss: f64) -> Self {
        self.loss = loss;
        self
    }

    pub fn by(mut self, way: Way) -> Self {
        self.way = way;
        self
    }

    pub fn run(mut self, until: u64) -> Seen {
        let mut at = 0;
        while at < until {
            self.views(at);
            self.deliver(at);
            self.requests(at);
            self.reports(at);
            at += STEP;
        }
        self.seen
    }

    fn now(at: u64) -> Time {
        Time(1_000 * SECOND + at * MILLI)
    }

    fn place(host: usize) -> u64 {
        hash::combine(host as u64, 77)
    }

    /// Hosts start anew, configurations come, and who is live shows after a while.
    fn views(&mut self, at: u64) {
        let count = self.hosts.len();
        let late = if count <= 56 { 1_200 } else { 3_000 };
        for n in 0..count {
            let ran = at >= STEP && self.load.runs(n, at - STEP);
            let runs = self.load.runs(n, at);
            if runs && !ran && at > 0 {
                let host = &mut self.hosts[n];
                host.quotas = Quotas::new(hash::combine(at, n as u64), Self::now(at));
                (host.table, host.limit) = (WorkspaceTable::default(), None);
                host.started = at;
            }
            let configured = self.load.workspace(at);
            let host = &mut self.hosts[n];
            if host.limit.as_ref() != Some(&configured) {
                let configuration = Configuration {
                    workspaces: vec![configured.clone()],
                    ..Configuration::default()
                };
                let table = WorkspaceTable::new(&configuration);
                host.quotas.on_configuration(&self.bounds, &table, &host.table);
                (host.table, host.limit) = (table, Some(configured));
            }
        }
        if !at.is_multiple_of(100) {
            return;
        }
        // A host that has just started was told where the others are, and hears them soon.
        for n in 0..count {
            let began = self.hosts[n].started;
            let before = |span: u64| at.saturating_sub(span).max(began);
            let live = |other: usize| {
                (before(late)..=at)
                    .step_by(300)
                    .any(|then| self.load.runs(other, then) && self.load.reaches(other, n, then))
            };
            let others = (0..count).filter(|other| *other != n && live(*other));
            let heard: Vec<usize> = std::iter::once(n).chain(others).collect();
            // Whether some host of a region was heard itself.
            let region_heard: Vec<bool> = (0..REGIONS)
                .map(|region| {
                    (region..count).step_by(REGIONS).any(|other| {
                        let then =
                            at.saturating_sub(members::REGION_LOST_TIMEOUT / MILLI).max(began);
                        (then..=at).step_by(300).any(|then| {
                            self.load.runs(other, then) && self.load.reaches(other, n, then)
                        })
                    })
                })
                .collect();
            let live = heard.iter().filter(|other| region_heard[*other % REGIONS]).count();
            let near = heard.iter().filter(|other| *other % REGIONS == n % REGIONS).count();
            let places: Vec<u64> = heard.into_iter().map(Self::place).collect();
            let host = &mut self.hosts[n];
            let known = if self.way == Way::SilentAreDead { live } else { count };
            host.heard = FleetView { possibly_running: known, live, near_live: near };
            host.places = places;
        }
    }

    fn send(&mut self, at: u64, from: usize, to: usize, message: Message) {
        let near = from % REGIONS == to % REGIONS;
        let way = if near { NEAR_MS } else { FAR_MS };
        let lost = self.draws.unit() < self.loss;
        if !lost && self.load.reaches(from, to, at) {
            self.on_way.entry(at + way).or_default().push((to, message));
        }
    }

    fn with<T>(
        &mut self,
        n: usize,
        at: u64,
        act: impl FnOnce(&mut Quotas, &QuotaContext<'_>, &WorkspaceTable) -> T,
    ) -> T {
        let host = &mut self.hosts[n];
        let scene = QuotaContext {
            now: Self::now(at),
            bounds: &self.bounds,
            fleet: host.heard,
            hosts_known: true,
            address_hashes: &host.places,
        };
        act(&mut host.quotas, &scene, &host.table)
    }

    fn deliver(&mut self, at: u64) {
        while let Some(entry) = self.on_way.first_entry().filter(|entry| *entry.key() <= at) {
            for (to, message) in entry.remove() {
                if !self.load.runs(to, at) {
                    continue;
                }
                match message {
                    Message::Report(from, report) => {
                        let (verdict, due) = self.with(to, at, |quotas, scene, table| {
                            (quotas.on_report(scene, table, &report), quotas.due_broadcasts(scene))
                        });
                        self.seen.datagrams += 1;
                        self.send(at, to, from, Message::Verdict(verdict));
                        self.spread(at, to, due);
                    }
                    Message::Verdict(verdict) => {
                        self.hosts[to].quotas.on_reply(Self::now(at), &verdict);
                    }
                    Message::Spread(spread) => {
                        let due = self
                            .with(to, at, |quotas, scene, _| quotas.on_broadcast(scene, &spread));
                        self.spread(at, to, due);
                    }
                }
            }
        }
    }

    fn spread(&mut self, at: u64, from: usize, due: Vec<AddressedBroadcast>) {
        if self.way == Way::NobodyTold {
            return;
        }
        for AddressedBroadcast { address_hash, broadcast } in due {
            let to = self.by_place[&address_hash];
            self.seen.datagrams += 1;
            self.send(at, from, to, Message::Spread(broadcast));
        }
    }

    fn requests(&mut self, at: u64) {
        let count = self.hosts.len();
        let running: Vec<usize> = (0..count).filter(|n| self.load.runs(*n, at)).collect();
        let weights: Vec<f64> = running.iter().map(|n| self.load.weight(*n, at)).collect();
        let all: f64 = weights.iter().sum();
        if all <= 0.0 {
            return;
        }
        let mean = self.load.rate(at) * STEP as f64 / 1_000.0;
        // Requests of a step: the whole part, and one more by chance.
        let due = mean.floor() as usize + usize::from(self.draws.unit() < mean.fract());
        for _ in 0..due {
            let mut left = self.draws.unit() * all;
            let found = weights.iter().position(|weight| {
                left -= weight;
                left < 0.0
            });
            let n = running[found.unwrap_or(0)];
            let member = self.hosts[n].table.all().next().expect("a workspace").clone();
            self.ask(n, at, &member);
        }
    }

    fn ask(&mut self, n: usize, at: u64, member: &WorkspaceEntry) {
        self.seen.asked.push(at);
        if matches!(self.way, Way::OwnParts | Way::OneEach) {
            return self.ask_own_part(n, at, member);
        }
        match self.with(n, at, |quotas, scene, _| quotas.admit(scene, member)) {
            QuotaDecision::Within => self.seen.within.push(at),
            QuotaDecision::Over { retry_ms } => {
                self.seen.retry_most = self.seen.retry_most.max(retry_ms)
            }
            QuotaDecision::Unready => {}
        }
    }

    fn ask_own_part(&mut self, n: usize, at: u64, member: &WorkspaceEntry) {
        let seed = hash::combine(self.draws.0, n as u64);
        let part = self.with(n, at, |_, scene, _| quota::local_share(seed, scene, member));
        let part = if self.way == Way::OneEach { part.max(1) } else { part };
        let window = self.bounds.limit_window_s * 1_000;
        self.by_part[n].retain(|then| then + window > at);
        if self.by_part[n].len() < part as usize {
            self.by_part[n].push(at);
            self.seen.within.push(at);
        }
    }

    fn reports(&mut self, at: u64) {
        if self.way == Way::NoReports {
            return;
        }
        let count = self.hosts.len();
        for n in (0..count).filter(|n| (at + *n as u64 * STEP).is_multiple_of(REPORT)) {
            if !self.load.runs(n, at) {
                continue;
            }
            let due = self.with(n, at, |quotas, scene, table| quotas.due_reports(scene, table));
            for addressed in due {
                let to = self.by_place[&addressed.address_hash];
                self.seen.datagrams += 1;
                self.send(at, n, to, Message::Report(n, addressed.report));
            }
            let due = self.with(n, at, |quotas, scene, _| quotas.due_broadcasts(scene));
            self.spread(at, n, due);
        }
    }
}
