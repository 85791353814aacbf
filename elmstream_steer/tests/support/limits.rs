//! Simulation of a fleet whose hosts share a workspace's limit, in virtual time.

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

/// Number of regions; hosts are assigned to them round robin.
pub const REGIONS: usize = 3;
/// Latency within a region and between regions, in milliseconds.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 13;
/// Time between two steps, and between two reports of a host, in milliseconds.
const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 100;

/// Load on the fleet and its faults, by time in milliseconds.
pub trait Load {
    /// Requests per second at all hosts together.
    fn rate(&self, at: u64) -> f64;
    /// Share of the requests that arrive at a host, relative to the other hosts.
    fn weight(&self, _host: usize, _at: u64) -> f64 {
        1.0
    }
    /// Whether a host is running.
    fn runs(&self, _host: usize, _at: u64) -> bool {
        true
    }
    /// Whether two running hosts can reach each other.
    fn reaches(&self, _from: usize, _to: usize, _at: u64) -> bool {
        true
    }
    /// Configuration of the workspace.
    fn workspace(&self, at: u64) -> Workspace;
}

/// A workspace that may make `rate` requests a second, and as many in a burst.
pub fn workspace(rate: f64) -> Workspace {
    Workspace { name: "w".into(), rate_per_s: rate, burst: rate, ..Workspace::default() }
}

enum Message {
    Report(usize, UsageReport),
    Reply(UsageReply),
    Broadcast(FractionBroadcast),
}

struct Host {
    quotas: Quotas,
    table: WorkspaceTable,
    configured: Option<Workspace>,
    started: u64,
    address_hashes: Vec<u64>,
    fleet: FleetView,
}

/// How hosts keep a limit: the real mechanism, or one with a part left out to show that the part is
/// needed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Variant {
    /// The real mechanism.
    #[default]
    Tallies,
    /// Each host uses its local share only.
    LocalShares,
    /// Each host uses its local share only, but at least one request.
    LocalSharesAtLeastOne,
    /// Hosts that are not live count as dead.
    SilentCountAsDead,
    /// Hosts send no broadcasts.
    NoBroadcasts,
    /// Hosts send no reports.
    NoReports,
}

/// Observed requests and messages.
#[derive(Debug, Default)]
pub struct Observations {
    /// Times of the received and of the admitted requests, in milliseconds.
    pub requested: Vec<u64>,
    pub admitted: Vec<u64>,
    /// Longest retry time of a refusal, in milliseconds.
    pub retry_max_ms: u64,
    /// Number of datagrams with reports, replies and broadcasts.
    pub datagrams: u64,
}

impl Observations {
    /// Maximum number of admitted requests in any window.
    pub fn max_in_window(&self, window_ms: u64) -> usize {
        let mut begin = 0;
        let mut maximum = 0;
        for (end, at) in self.admitted.iter().enumerate() {
            while self.admitted[begin] + window_ms <= *at {
                begin += 1;
            }
            maximum = maximum.max(end + 1 - begin);
        }
        maximum
    }

    /// Number of throttled requests between two times.
    pub fn throttled(&self, from: u64, to: u64) -> usize {
        let count = |times: &[u64]| times.iter().filter(|at| (from..to).contains(*at)).count();
        count(&self.requested) - count(&self.admitted)
    }

    /// Fraction of the requests between two times that was admitted.
    pub fn admitted_fraction(&self, from: u64, to: u64) -> f64 {
        let count = |times: &[u64]| times.iter().filter(|at| (from..to).contains(*at)).count();
        count(&self.admitted) as f64 / count(&self.requested).max(1) as f64
    }
}

/// Deterministic pseudo-random numbers.
pub struct Random(pub u64, u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed, 0)
    }

    pub fn unit(&mut self) -> f64 {
        self.1 += 1;
        hash::unit_interval(hash::combine(self.0, self.1))
    }
}

/// Simulates a load on a fleet.
pub struct Simulation<'a, L: Load> {
    load: &'a L,
    bounds: Bounds,
    hosts: Vec<Host>,
    by_address_hash: BTreeMap<u64, usize>,
    in_transit: BTreeMap<u64, Vec<(usize, Message)>>,
    random: Random,
    /// Fraction of datagrams that are lost.
    loss: f64,
    variant: Variant,
    /// Times of the requests that each host admitted by its local share alone.
    local_admissions: Vec<Vec<u64>>,
    pub observed: Observations,
}

impl<'a, L: Load> Simulation<'a, L> {
    pub fn new(load: &'a L, count: usize, seed: u64) -> Simulation<'a, L> {
        let host = |n: usize| Host {
            quotas: Quotas::new(hash::combine(seed, n as u64), Time(0)),
            table: WorkspaceTable::default(),
            configured: None,
            started: 0,
            address_hashes: Vec::new(),
            fleet: FleetView { possibly_running: count, live: count, near_live: count / REGIONS },
        };
        Simulation {
            load,
            bounds: Bounds::default(),
            hosts: (0..count).map(host).collect(),
            by_address_hash: (0..count).map(|n| (Self::address_hash(n), n)).collect(),
            in_transit: BTreeMap::new(),
            random: Random::new(seed),
            loss: 0.0,
            variant: Variant::Tallies,
            local_admissions: vec![Vec::new(); count],
            observed: Observations::default(),
        }
    }

    pub fn with_loss(mut self, loss: f64) -> Self {
        self.loss = loss;
        self
    }

    pub fn with_variant(mut self, variant: Variant) -> Self {
        self.variant = variant;
        self
    }

    pub fn run(mut self, until: u64) -> Observations {
        let mut at = 0;
        while at < until {
            self.update_hosts(at);
            self.deliver(at);
            self.send_requests(at);
            self.send_reports(at);
            at += STEP_MS;
        }
        self.observed
    }

    fn now(at: u64) -> Time {
        Time(1_000 * SECOND + at * MILLI)
    }

    fn address_hash(host: usize) -> u64 {
        hash::combine(host as u64, 77)
    }

    /// Restarts hosts, installs configurations, and updates the hosts' views of the fleet with the
    /// delay of detection.
    fn update_hosts(&mut self, at: u64) {
        let count = self.hosts.len();
        let detection_ms = if count <= 56 { 1_200 } else { 3_000 };
        for n in 0..count {
            let ran = at >= STEP_MS && self.load.runs(n, at - STEP_MS);
            let runs = self.load.runs(n, at);
            if runs && !ran && at > 0 {
                let host = &mut self.hosts[n];
                host.quotas = Quotas::new(hash::combine(at, n as u64), Self::now(at));
                (host.table, host.configured) = (WorkspaceTable::default(), None);
                host.started = at;
            }
            let configured = self.load.workspace(at);
            let host = &mut self.hosts[n];
            if host.configured.as_ref() != Some(&configured) {
                let configuration = Configuration {
                    workspaces: vec![configured.clone()],
                    ..Configuration::default()
                };
                let table = WorkspaceTable::new(&configuration);
                host.quotas.on_configuration(&self.bounds, &table, &host.table);
                (host.table, host.configured) = (table, Some(configured));
            }
        }
        if !at.is_multiple_of(100) {
            return;
        }
        // A host that has just started knows the others' addresses and hears from them soon.
        for n in 0..count {
            let started = self.hosts[n].started;
            let before = |span: u64| at.saturating_sub(span).max(started);
            let live = |other: usize| {
                (before(detection_ms)..=at)
                    .step_by(300)
                    .any(|then| self.load.runs(other, then) && self.load.reaches(other, n, then))
            };
            let others = (0..count).filter(|other| *other != n && live(*other));
            let live_hosts: Vec<usize> = std::iter::once(n).chain(others).collect();
            // Whether this host recently heard directly from some host of the region.
            let region_reachable: Vec<bool> = (0..REGIONS)
                .map(|region| {
                    (region..count).step_by(REGIONS).any(|other| {
                        let then =
                            at.saturating_sub(members::REGION_LOST_TIMEOUT / MILLI).max(started);
                        (then..=at).step_by(300).any(|then| {
                            self.load.runs(other, then) && self.load.reaches(other, n, then)
                        })
                    })
                })
                .collect();
            let live = live_hosts.iter().filter(|other| region_reachable[*other % REGIONS]).count();
            let near_live =
                live_hosts.iter().filter(|other| *other % REGIONS == n % REGIONS).count();
            let address_hashes: Vec<u64> = live_hosts.into_iter().map(Self::address_hash).collect();
            let host = &mut self.hosts[n];
            let fleet_size = if self.variant == Variant::SilentCountAsDead { live } else { count };
            host.fleet = FleetView { possibly_running: fleet_size, live, near_live };
            host.address_hashes = address_hashes;
        }
    }

    fn send(&mut self, at: u64, from: usize, to: usize, message: Message) {
        let is_near = from % REGIONS == to % REGIONS;
        let delay_ms = if is_near { NEAR_MS } else { FAR_MS };
        let lost = self.random.unit() < self.loss;
        if !lost && self.load.reaches(from, to, at) {
            self.in_transit.entry(at + delay_ms).or_default().push((to, message));
        }
    }

    fn with<T>(
        &mut self,
        n: usize,
        at: u64,
        act: impl FnOnce(&mut Quotas, &QuotaContext<'_>, &WorkspaceTable) -> T,
    ) -> T {
        let host = &mut self.hosts[n];
        let context = QuotaContext {
            now: Self::now(at),
            bounds: &self.bounds,
            fleet: host.fleet,
            hosts_known: true,
            address_hashes: &host.address_hashes,
        };
        act(&mut host.quotas, &context, &host.table)
    }

    fn deliver(&mut self, at: u64) {
        while let Some(entry) = self.in_transit.first_entry().filter(|entry| *entry.key() <= at) {
            for (to, message) in entry.remove() {
                if !self.load.runs(to, at) {
                    continue;
                }
                match message {
                    Message::Report(from, report) => {
                        let (reply, due) = self.with(to, at, |quotas, context, table| {
                            (
                                quotas.on_report(context, table, &report),
                                quotas.due_broadcasts(context),
                            )
                        });
                        self.observed.datagrams += 1;
                        self.send(at, to, from, Message::Reply(reply));
                        self.send_broadcasts(at, to, due);
                    }
                    Message::Reply(reply) => {
                        self.hosts[to].quotas.on_reply(Self::now(at), &reply);
                    }
                    Message::Broadcast(broadcast) => {
                        let due = self.with(to, at, |quotas, context, _| {
                            quotas.on_broadcast(context, &broadcast)
                        });
                        self.send_broadcasts(at, to, due);
                    }
                }
            }
        }
    }

    fn send_broadcasts(&mut self, at: u64, from: usize, due: Vec<AddressedBroadcast>) {
        if self.variant == Variant::NoBroadcasts {
            return;
        }
        for AddressedBroadcast { address_hash, broadcast } in due {
            let to = self.by_address_hash[&address_hash];
            self.observed.datagrams += 1;
            self.send(at, from, to, Message::Broadcast(broadcast));
        }
    }

    fn send_requests(&mut self, at: u64) {
        let count = self.hosts.len();
        let running: Vec<usize> = (0..count).filter(|n| self.load.runs(*n, at)).collect();
        let weights: Vec<f64> = running.iter().map(|n| self.load.weight(*n, at)).collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return;
        }
        let mean = self.load.rate(at) * STEP_MS as f64 / 1_000.0;
        // Requests of a step: the integer part of the mean, and one more at random for the rest.
        let due = mean.floor() as usize + usize::from(self.random.unit() < mean.fract());
        for _ in 0..due {
            let mut remaining = self.random.unit() * total;
            let found = weights.iter().position(|weight| {
                remaining -= weight;
                remaining < 0.0
            });
            let n = running[found.unwrap_or(0)];
            let entry = self.hosts[n].table.all().next().expect("a workspace").clone();
            self.request(n, at, &entry);
        }
    }

    fn request(&mut self, n: usize, at: u64, entry: &WorkspaceEntry) {
        self.observed.requested.push(at);
        if matches!(self.variant, Variant::LocalShares | Variant::LocalSharesAtLeastOne) {
            return self.request_by_local_share(n, at, entry);
        }
        match self.with(n, at, |quotas, context, _| quotas.admit(context, entry)) {
            QuotaDecision::Within => self.observed.admitted.push(at),
            QuotaDecision::Over { retry_ms } => {
                self.observed.retry_max_ms = self.observed.retry_max_ms.max(retry_ms)
            }
            QuotaDecision::Unready => {}
        }
    }

    fn request_by_local_share(&mut self, n: usize, at: u64, entry: &WorkspaceEntry) {
        let seed = hash::combine(self.random.0, n as u64);
        let share = self.with(n, at, |_, context, _| quota::local_share(seed, context, entry));
        let share =
            if self.variant == Variant::LocalSharesAtLeastOne { share.max(1) } else { share };
        let window = self.bounds.limit_window_s * 1_000;
        self.local_admissions[n].retain(|then| then + window > at);
        if self.local_admissions[n].len() < share as usize {
            self.local_admissions[n].push(at);
            self.observed.admitted.push(at);
        }
    }

    fn send_reports(&mut self, at: u64) {
        if self.variant == Variant::NoReports {
            return;
        }
        let count = self.hosts.len();
        for n in (0..count).filter(|n| (at + *n as u64 * STEP_MS).is_multiple_of(REPORT_MS)) {
            if !self.load.runs(n, at) {
                continue;
            }
            let due = self.with(n, at, |quotas, context, table| quotas.due_reports(context, table));
            for addressed in due {
                let to = self.by_address_hash[&addressed.address_hash];
                self.observed.datagrams += 1;
                self.send(at, n, to, Message::Report(n, addressed.report));
            }
            let due = self.with(n, at, |quotas, context, _| quotas.due_broadcasts(context));
            self.send_broadcasts(at, n, due);
        }
    }
}
