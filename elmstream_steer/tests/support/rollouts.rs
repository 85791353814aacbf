//! Simulated fleet in virtual time whose operator orders a roll-out of a service.

use std::collections::{BTreeMap, HashSet};

use elmstream::time::MILLI;
use elmstream_steer::{
    Pick, PickRequest, RolloutWrite, Steer,
    canary_analysis::AnalysisMethod,
    hash,
    heartbeat::{Heartbeat, Message},
    homes::Homes,
    members,
    model::{Configuration, Repeatability, Route, Service, WeightedService},
    policies::Policies,
    rollout::{RolloutOrder, RolloutProgress, RolloutStage},
    rollout_steps::StepPolicy,
    servers::{Outcome, ServerIndex},
    store_schedule::ReadReason,
    table_sync::TableRows,
    version::StoreVersion,
    view::{Row, RowContent, RowKey, TABLES, Table},
};

use super::support::{
    DOMAINS, SERVICE, address, host_number, host_with_incarnation, ms, server, with,
};

/// Time between two simulation steps, in milliseconds.
const STEP_MS: u64 = 20;
/// One-way delay between two hosts or a host and a server; time until the store answers; time until
/// a call to an unreachable store fails; time of a table fetch. In milliseconds.
const ONE_WAY_MS: u64 = 20;
const STORE_ANSWER_MS: u64 = 40;
const STORE_TIMEOUT_MS: u64 = 600;
const FETCH_MS: u64 = 120;
/// Shortest time between two heartbeats of a host with urgent news, in milliseconds.
const URGENT_HEARTBEAT_MIN_MS: u64 = 100;
/// Run time of a request on a server that is warm for its key, in milliseconds, and the factor for
/// other servers.
const RUN_MS: u64 = 120;
const COLD_KEY_FACTOR: f64 = 2.0;
/// Time of the order, and delay until the new servers have started, in milliseconds.
pub const ORDER: u64 = 4_000;
const NEW_SERVERS_DELAY_MS: u64 = 400;
/// Time from the order until it must be decided, in milliseconds.
pub const DURATION: u64 = 12_000;
/// Time after a host's start in which its requests can't be late, in milliseconds.
const SETTLING_MS: u64 = 4_000;
/// Time until the store drops the entry of a stopped server, in milliseconds.
const ENTRY_EXPIRY_MS: u64 = 4_500;
/// Requests that a bad version may receive: a fraction of all and a constant; and the time until it
/// must be rolled back, in milliseconds.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_MS: u64 = 5_000;
/// Bad answers from which a version must be rolled back in time.
const BAD_ANSWERS_MAX: usize = 50;
/// The two versions.
const OLD: &str = "v1";
const NEW: &str = "v2";

/// Defect of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flaw {
    /// The version is good.
    None,
    /// Percentage of its answers that are failures.
    Fails(u64),
    /// Factor by which its answers take longer.
    Slow(f64),
}

/// Roll-out and the troubles during it; times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub hosts: usize,
    /// Servers of each version in each failure domain.
    pub servers: usize,
    pub per_s: f64,
    pub flaw: Flaw,
    /// Time from the order until the defect begins.
    pub defect_delay_ms: u64,
    /// The defect shows only while a server runs at least this many requests.
    pub under_load: u32,
    /// The defect affects only the second route.
    pub one_route: bool,
    /// Fault of both versions: from, to, and the percentage of all answers that fail.
    pub fault: Option<(u64, u64, u64)>,
    /// Store outage: start and duration.
    pub outage: Option<(u64, u64)>,
    /// Restart of hosts: time, and the percentage of the hosts that restart.
    pub restart: Option<(u64, u64)>,
    /// Partition in which hosts of different regions can't reach each other, but all reach the
    /// store: start and duration.
    pub partition: Option<(u64, u64)>,
    pub method: AnalysisMethod,
    pub policy: StepPolicy,
    pub disabled: DisabledRule,
    pub seed: u64,
}

/// Rule that is disabled, to show that it is necessary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisabledRule {
    Nothing,
    /// Hosts act on progress of any age.
    ProgressAge,
    /// Canary requests are not limited.
    CanaryBudget,
    /// Reports of other hosts are ignored, and traffic shifts at fixed times.
    Analysis,
}

impl Scenario {
    /// Scenario with a good version and no troubles.
    pub fn plain(hosts: usize, seed: u64) -> Scenario {
        Scenario {
            hosts,
            servers: 3,
            per_s: 240.0,
            flaw: Flaw::None,
            defect_delay_ms: 0,
            under_load: 0,
            one_route: false,
            fault: None,
            outage: None,
            restart: None,
            partition: None,
            method: AnalysisMethod::Sequential,
            policy: StepPolicy::Late,
            disabled: DisabledRule::Nothing,
            seed,
        }
    }

    fn store_is_down(&self, at: u64) -> bool {
        self.outage.is_some_and(|(from, duration)| (from..from + duration).contains(&at))
    }
}

/// Result of a simulated roll-out.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Last stored stage, and the time of the first final stage.
    pub stage: Option<RolloutStage>,
    pub decided_at: Option<u64>,
    /// Requests sent to the new version between the order and its deadline, and to both versions.
    pub exposed: usize,
    pub all: usize,
    /// Requests that were sent to a bad version after the time by which it must be rolled back.
    pub late: usize,
    /// Requests that the old servers were running when the roll-out completed, or that were sent to
    /// them later.
    pub interrupted: usize,
    pub refused: usize,
    /// Number of times that a final stage was replaced by another one.
    pub reverted: usize,
}

impl RunResult {
    /// Number of requests to the new version beyond those that a bad version may receive.
    pub fn excess(&self) -> f64 {
        self.exposed as f64 - (self.all as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK)
    }
}

enum Event {
    Heartbeat(Box<Heartbeat>),
    Report(Message),
    Rows(Table, Box<TableRows>),
    /// Answer: server, number of the route, outcome, and the server's id.
    Answer(ServerIndex, usize, Outcome, String),
    /// Read of a table that the store answered (true) or not.
    Read(Table, ReadReason, bool),
    Written(Box<RolloutWrite>, bool),
}

struct Node {
    steer: Steer,
    last_heartbeat: (u64, u64),
    is_reading: [bool; 3],
    is_writing: bool,
    started: u64,
}

pub struct World {
    scenario: Scenario,
    at: u64,
    nodes: Vec<Node>,
    rows: BTreeMap<RowKey, (Option<RowContent>, u64)>,
    count: u64,
    events: BTreeMap<u64, Vec<(usize, u64, Event)>>,
    /// Number of running requests, by server.
    running: BTreeMap<String, u32>,
    /// Pairs of server and key for which the server is warm.
    warm: HashSet<(String, u64)>,
    draw_count: u64,
    due_requests: f64,
    /// Number of bad answers of the new version, also of those before a store outage.
    bad_answers: usize,
    bad_since: Option<u64>,
    /// Time at which the old servers were stopped; their entries expire later.
    stopped_at: Option<u64>,
    result: RunResult,
}

fn route(number: usize) -> Route {
    Route {
        name: format!("r{number}"),
        prefix: format!("/{number}/"),
        timeout_ms: 2_000,
        objective_ms: 400,
        parts: vec![WeightedService { service: SERVICE.into(), weight: 1.0 }],
        ..super::support::route(Repeatability::Safe, &[])
    }
}

fn rules() -> RowContent {
    RowContent::Configuration(Configuration {
        version: 1,
        routes: (0..2).map(route).collect(),
        services: vec![Service { name: SERVICE.into(), cold_ms: 2_000, cold_per_s: 4.0 }],
        ..Configuration::default()
    })
}

impl World {
    pub fn new(scenario: Scenario) -> World {
        let mut world = World {
            at: 0,
            nodes: Vec::new(),
            rows: BTreeMap::new(),
            count: 0,
            events: BTreeMap::new(),
            running: BTreeMap::new(),
            warm: HashSet::new(),
            draw_count: 0,
            due_requests: 0.0,
            bad_answers: 0,
            bad_since: None,
            stopped_at: None,
            result: RunResult::default(),
            scenario,
        };
        world.put_row(RowKey::Configuration, Some(rules()));
        world.add_servers(OLD, 0);
        for n in 0..world.scenario.hosts {
            let mut node = world.node(n, 0);
            for table in [Table::Rules, Table::Servers] {
                let rows = world.rows_of(table);
                node.steer.on_full_read(ms(0), table, StoreVersion::new(0, world.count), rows);
            }
            world.nodes.push(node);
        }
        world
    }

    fn node(&self, n: usize, at: u64) -> Node {
        let mut steer = host_with_incarnation(n, ms(at), 1 + at);
        (0..self.scenario.hosts)
            .for_each(|other| steer.add_peer_address(ms(at), address(2_000 + other)));
        let without_analysis = self.scenario.disabled == DisabledRule::Analysis;
        let policy = if without_analysis { StepPolicy::Fixed } else { self.scenario.policy };
        steer.set_rollout_policies(self.scenario.method, policy);
        let mut bounds = steer.settings().bounds;
        if self.scenario.disabled == DisabledRule::ProgressAge {
            bounds.rollback_ms = 1_000_000;
        }
        if self.scenario.disabled == DisabledRule::CanaryBudget {
            bounds.exposure_share = 1.0;
            bounds.exposure_slack = 1e6;
        }
        let domains = steer.settings().domains.clone();
        steer.reconfigure(domains, bounds, Policies::default());
        let last_heartbeat = (at + (n as u64 * 37) % 240, 0);
        Node { steer, last_heartbeat, is_reading: [false; 3], is_writing: false, started: at }
    }

    fn add_servers(&mut self, version: &str, cold_ms: u64) {
        for (domain, _) in DOMAINS {
            for n in 0..self.scenario.servers {
                let row =
                    with(server(&format!("{version}-{domain}-{n}"), domain, 0), 0, |server| {
                        (server.version, server.cold_ms) = (version.to_owned(), cold_ms);
                        server.slots = 8;
                    });
                self.put_row(row.key, row.content);
            }
        }
    }

    fn put_row(&mut self, key: RowKey, item: Option<RowContent>) {
        self.count += 1;
        self.rows.insert(key, (item, self.count));
    }

    fn rows_of(&self, table: Table) -> Vec<Row> {
        let rows = self.rows.iter().filter(|(key, _)| key.table() == table);
        let row = |(key, (item, count)): (&RowKey, &(Option<RowContent>, u64))| {
            Row::new(key.clone(), StoreVersion::new(0, *count), item.clone())
        };
        rows.map(row).collect()
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.draw_count += 1;
        hash::combine(hash::combine(self.scenario.seed, 77), self.draw_count) % below.max(1)
    }

    pub fn run(mut self) -> RunResult {
        while self.at < ORDER + DURATION + 6_000 {
            self.at += STEP_MS;
            self.operate();
            let remaining = self.events.split_off(&(self.at + 1));
            for (n, started, event) in
                std::mem::replace(&mut self.events, remaining).into_values().flatten()
            {
                if self.nodes[n].started == started {
                    self.handle(n, event);
                } else if let Event::Answer(_, _, _, server) = event {
                    self.record_end(&server);
                }
            }
            self.due_requests += self.scenario.per_s * STEP_MS as f64 / 1_000.0;
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                self.send_request();
            }
            for n in 0..self.nodes.len() {
                self.run_host(n);
            }
        }
        self.result
    }

    fn operate(&mut self) {
        if self.at == ORDER {
            let order = RolloutOrder { target: NEW.into(), duration_ms: DURATION };
            self.put_row(RowKey::Rollout(SERVICE.into()), Some(RowContent::Rollout(order)));
        }
        if self.at == ORDER + NEW_SERVERS_DELAY_MS {
            self.add_servers(NEW, 1_500);
        }
        if self.stopped_at.is_some_and(|at| self.at == at + ENTRY_EXPIRY_MS) {
            let is_old = |key: &RowKey| matches!(key, RowKey::Server(id) if id.starts_with(OLD));
            let expired: Vec<RowKey> =
                self.rows.keys().filter(|key| is_old(key)).cloned().collect();
            expired.into_iter().for_each(|key| self.put_row(key, None));
        }
        if let Some((when, percent)) = self.scenario.restart
            && self.at == when
        {
            for n in 0..self.nodes.len() {
                if self.random_below(100) < percent {
                    self.nodes[n] = self.node(n, self.at);
                }
            }
        }
    }

    fn are_partitioned(&self, one: usize, other: usize) -> bool {
        let is_partitioned = self
            .scenario
            .partition
            .is_some_and(|(from, duration)| (from..from + duration).contains(&self.at));
        let region = |n: usize| DOMAINS[n % DOMAINS.len()].1;
        is_partitioned && region(one) != region(other)
    }

    fn schedule(&mut self, after: u64, n: usize, event: Event) {
        let started = self.nodes[n].started;
        self.events.entry(self.at + after).or_default().push((n, started, event));
    }

    /// Runs the periodic work of a host.
    fn run_host(&mut self, n: usize) {
        let now = ms(self.at);
        self.send_heartbeats(n);
        if self.at.is_multiple_of(100) {
            self.nodes[n].steer.tick(now);
            for (to, message) in self.nodes[n].steer.due_messages(now) {
                let to = host_number(to);
                if !self.are_partitioned(n, to) {
                    self.schedule(ONE_WAY_MS, to, Event::Report(message));
                }
            }
            let due_write = self.nodes[n].steer.due_rollout_write(now, 1_000_000 + self.at);
            if let Some(write) = due_write.filter(|_| !self.nodes[n].is_writing) {
                self.write(n, write);
            }
        }
        let store_is_up = !self.scenario.store_is_down(self.at);
        for table in TABLES {
            if self.nodes[n].is_reading[table as usize] {
                continue;
            }
            if let Some(reason) = self.nodes[n].steer.due_read(now, table) {
                self.nodes[n].is_reading[table as usize] = true;
                self.schedule(
                    if store_is_up { STORE_ANSWER_MS } else { STORE_TIMEOUT_MS },
                    n,
                    Event::Read(table, reason, store_is_up),
                );
            }
        }
    }

    /// Attempts a write of progress: the store accepts it if its conditions hold.
    fn write(&mut self, n: usize, write: RolloutWrite) {
        self.nodes[n].is_writing = true;
        let count = |key: RowKey| {
            let row = self.rows.get(&key).filter(|(item, _)| item.is_some());
            row.map_or(0, |(_, count)| *count)
        };
        let stored_counts =
            (count(RowKey::Progress(SERVICE.into())), count(RowKey::Rollout(SERVICE.into())));
        let is_accepted = !self.scenario.store_is_down(self.at) && stored_counts == write.expected;
        if is_accepted {
            if self.result.stage.is_some_and(RolloutStage::is_final)
                && self.result.stage != Some(write.progress.stage)
            {
                self.result.reverted += 1;
            }
            self.put_row(
                RowKey::Progress(SERVICE.into()),
                Some(RowContent::Progress(write.progress.clone())),
            );
            self.record_stage(&write.progress);
        }
        let write = Box::new(write);
        self.schedule(
            if is_accepted { STORE_ANSWER_MS } else { STORE_TIMEOUT_MS },
            n,
            Event::Written(write, is_accepted),
        );
    }

    fn record_stage(&mut self, progress: &RolloutProgress) {
        self.result.stage = Some(progress.stage);
        if progress.stage.is_final() {
            self.result.decided_at.get_or_insert(self.at);
        }
        if progress.stage == RolloutStage::Completed {
            let old = self.running.iter().filter(|(server, _)| server.starts_with(OLD));
            self.result.interrupted += old.map(|(_, requests)| *requests as usize).sum::<usize>();
            self.stopped_at.get_or_insert(self.at);
        }
    }

    fn send_heartbeats(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let interval_ms = members::heartbeat_interval(node.steer.members().target_count()) / MILLI;
        let interval_ms = if node.steer.has_urgent_news() {
            interval_ms.min(URGENT_HEARTBEAT_MIN_MS)
        } else {
            interval_ms
        };
        if node.last_heartbeat.0 + interval_ms > self.at {
            return;
        }
        let heartbeat = node.steer.next_heartbeat(ms(self.at));
        let targets = node.steer.targets(ms(self.at), node.last_heartbeat.1);
        node.last_heartbeat = (self.at, node.last_heartbeat.1 + 1);
        for to in targets.near.iter().chain(&targets.far) {
            let to = host_number(*to);
            if to < self.nodes.len() && !self.are_partitioned(n, to) {
                self.schedule(ONE_WAY_MS, to, Event::Heartbeat(Box::new(heartbeat.clone())));
            }
        }
    }

    fn handle(&mut self, n: usize, event: Event) {
        let now = ms(self.at);
        match event {
            Event::Heartbeat(heartbeat) => {
                let from = host_number(heartbeat.host.peers);
                let Some(news) = self.nodes[n].steer.on_heartbeat(now, &heartbeat) else { return };
                for (table, request) in news.outdated_tables {
                    if !self.are_partitioned(n, from) {
                        let rows = self.nodes[from].steer.rows_for(now, table, request);
                        self.schedule(FETCH_MS, n, Event::Rows(table, Box::new(rows)));
                    }
                }
            }
            Event::Report(Message::RolloutReport(_))
                if self.scenario.disabled == DisabledRule::Analysis => {}
            Event::Report(Message::RolloutReport(report)) => {
                self.nodes[n].steer.on_rollout_report(now, *report)
            }
            Event::Report(_) => {}
            Event::Rows(table, rows) => drop(self.nodes[n].steer.on_table_rows(now, table, *rows)),
            Event::Read(table, reason, store_answered) => {
                self.nodes[n].is_reading[table as usize] = false;
                if !store_answered || self.scenario.store_is_down(self.at) {
                    self.nodes[n].steer.record_store_failure(now, table);
                    return;
                }
                let version = StoreVersion::new(0, self.count);
                let is_present = |row: &Row| row.content.is_some();
                let rows = self.rows_of(table).into_iter().filter(is_present).collect();
                let steer = &mut self.nodes[n].steer;
                steer.on_full_read(now, table, version, rows);
                steer.record_store_answer(table, reason, now, version);
            }
            Event::Written(write, is_accepted) => {
                self.nodes[n].is_writing = false;
                if is_accepted {
                    let key = RowKey::Progress(SERVICE.into());
                    let count = self.rows.get(&key).map_or(0, |(_, count)| *count);
                    let version = StoreVersion::new(0, count);
                    self.nodes[n].steer.on_rollout_written(now, &write, version);
                    let event = Event::Read(Table::Rollouts, ReadReason::Rank, true);
                    self.schedule(STORE_ANSWER_MS, n, event);
                }
            }
            Event::Answer(index, route_number, outcome, server) => {
                self.record_end(&server);
                let steer = &mut self.nodes[n].steer;
                steer.count_rollout_outcome(now, index, &route(route_number).name, outcome);
                steer.record_outcome(now, index, outcome);
            }
        }
    }

    fn record_end(&mut self, server: &str) {
        if let Some(requests) = self.running.get_mut(server) {
            *requests -= 1;
        }
    }

    /// Sends a caller's request to a random host.
    fn send_request(&mut self) {
        let n = self.random_below(self.nodes.len() as u64) as usize;
        let key = hash::combine(7, self.random_below(200));
        let route_number = usize::from(self.random_below(10) == 0);
        let now = ms(self.at);
        let route = route(route_number);
        let request = PickRequest {
            route: &route,
            service: SERVICE,
            key,
            tried: &[],
            withheld: &[],
            returning: false,
            homes: Homes { route: &route.homes, workspace: &[] },
            priority: route.priority,
            workspace: None,
            remaining_ms: route.timeout_ms,
        };
        let steer = &mut self.nodes[n].steer;
        steer.deposit_retry(now, SERVICE);
        let Pick::Send(index) = steer.pick_server(now, &request) else {
            self.result.refused += 1;
            return;
        };
        let server = steer.servers().get(index).expect("server was picked").id.clone();
        let was_warm = steer.record_warm_key(now, index, key);
        self.on_sent(n, index, &server, (key, was_warm, route_number));
    }

    fn on_sent(
        &mut self,
        n: usize,
        index: ServerIndex,
        server: &str,
        (key, was_warm, route_number): (u64, bool, usize),
    ) {
        let is_new = server.starts_with(NEW);
        let in_window = (ORDER..ORDER + DURATION).contains(&self.at);
        self.result.all += usize::from(in_window);
        self.result.exposed += usize::from(in_window && is_new);
        let is_settled = self.is_settled(n);
        if is_new && is_settled && self.bad_since.is_some_and(|since| self.at > since + ROLLBACK_MS)
        {
            self.result.late += 1;
        }
        if !is_new && self.result.stage == Some(RolloutStage::Completed) && is_settled {
            self.result.interrupted += 1;
        }
        let requests = self.running.entry(server.to_owned()).or_default();
        *requests += 1;
        let running_requests = *requests;
        let defect_shows = is_new
            && self.at >= ORDER + self.scenario.defect_delay_ms
            && running_requests >= self.scenario.under_load
            && (!self.scenario.one_route || route_number == 1);
        let fault_percent =
            self.scenario.fault.filter(|(from, to, _)| (*from..*to).contains(&self.at));
        let fault_percent = fault_percent.map_or(0, |(_, _, percent)| percent);
        let warm = !self.warm.insert((server.to_owned(), key));
        let mut run_ms = RUN_MS as f64 * (0.8 + self.random_below(400) as f64 / 1_000.0);
        if !warm {
            run_ms *= COLD_KEY_FACTOR;
        }
        let mut fails = self.random_below(100) < fault_percent || self.random_below(1_000) < 4;
        match self.scenario.flaw {
            Flaw::Fails(percent) if defect_shows => fails |= self.random_below(100) < percent,
            Flaw::Slow(factor) if defect_shows => run_ms *= factor,
            _ => {}
        }
        let is_bad = defect_shows && (fails || matches!(self.scenario.flaw, Flaw::Slow(_)));
        if is_bad && self.scenario.flaw != Flaw::None {
            self.bad_answers += 1;
            if self.bad_answers == BAD_ANSWERS_MAX {
                self.bad_since = Some(self.at);
            }
        }
        let micros = (2 * ONE_WAY_MS + run_ms as u64) * MILLI;
        let outcome = match fails {
            true => Outcome::Failed,
            false => Outcome::Answered { micros, was_warm },
        };
        self.schedule(
            micros / MILLI,
            n,
            Event::Answer(index, route_number, outcome, server.to_owned()),
        );
    }

    /// Whether a host has run long enough to know a decision; also counts while the store is
    /// unreachable.
    fn is_settled(&self, n: usize) -> bool {
        let started = self.nodes[n].started;
        started == 0 || self.at >= started + SETTLING_MS
    }
}
