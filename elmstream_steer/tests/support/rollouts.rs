//! A fleet in virtual time whose operator orders a service to be rolled out.

use std::collections::{BTreeMap, HashSet};

use elmstream::time::MILLI;
use elmstream_steer::{
    Pick, PickRequest, RolloutWrite, Steer,
    canary_analysis::AnalysisMethod,
    hash,
    heartbeat::{Heartbeat, Message},
    members,
    model::{Configuration, Repeatability, Route, Service, WeightedService},
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

/// Time between two steps, in milliseconds.
const STEP: u64 = 20;
/// One way between two hosts or a host and a server; an answer of the store; a fetch.
const WAY: u64 = 20;
const ANSWER: u64 = 40;
const LOST: u64 = 600;
const FETCH: u64 = 120;
/// Least time between two beats of a host with urgent news.
const URGENT: u64 = 100;
/// Time that a request works on a server that knows its key, and as a multiple on others.
const WORK: u64 = 120;
const UNKNOWING: f64 = 2.0;
/// When the order is written, and when the new servers have started.
pub const ORDER: u64 = 4_000;
const NEW_SERVERS: u64 = 400;
/// Time until the order has to be decided.
pub const DURATION: u64 = 12_000;
/// Time after a host's start in which nothing is late.
const CONTACT: u64 = 4_000;
/// Time until the store drops the entry of a server that was stopped.
const LAPSE: u64 = 4_500;
/// The bounds on a bad version.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
const ROLLBACK: u64 = 5_000;
/// Bad answers after which a version has to be turned away in time.
const BAD: usize = 50;
/// The versions.
const OLD: &str = "v1";
const NEW: &str = "v2";

/// How a version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flaw {
    /// It is good.
    None,
    /// So many hundredths of its answers are failures.
    Fails(u64),
    /// Its answers take so many times as long.
    Slow(f64),
}

/// A roll-out and what happens meanwhile.
#[derive(Clone, Debug)]
pub struct Play {
    pub hosts: usize,
    /// Servers of each version in each failure domain.
    pub servers: usize,
    pub per_s: f64,
    pub flaw: Flaw,
    /// The flaw begins so long after the order, in milliseconds.
    pub later: u64,
    /// It strikes only while a server works on so many requests at least.
    pub under_load: u32,
    /// It strikes the second route only.
    pub one_route: bool,
    /// Part of all answers that fail, of both versions, from a time to another.
    pub fault: Option<(u64, u64, u64)>,
    /// The store does not answer from a time on for so long.
    pub outage: Option<(u64, u64)>,
    /// Hosts that start anew at a time, in hundredths.
    pub restart: Option<(u64, u64)>,
    /// Hosts of one region hear nothing of the others from a time on for so long; the store
    /// serves them.
    pub apart: Option<(u64, u64)>,
    pub judging: AnalysisMethod,
    pub stepping: StepPolicy,
    pub without: Without,
    pub seed: u64,
}

/// A rule that is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Without {
    Nothing,
    /// Hosts go on by what they once knew of a roll-out.
    Youth,
    /// Requests on trial have no bound.
    Bound,
    /// What other hosts have counted is not judged, and traffic shifts at fixed times.
    Verdict,
}

impl Play {
    /// A plain one.
    pub fn plain(hosts: usize, seed: u64) -> Play {
        Play {
            hosts,
            servers: 3,
            per_s: 240.0,
            flaw: Flaw::None,
            later: 0,
            under_load: 0,
            one_route: false,
            fault: None,
            outage: None,
            restart: None,
            apart: None,
            judging: AnalysisMethod::Sequential,
            stepping: StepPolicy::Late,
            without: Without::Nothing,
            seed,
        }
    }

    fn away(&self, at: u64) -> bool {
        self.outage.is_some_and(|(from, long)| (from..from + long).contains(&at))
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// What the store says in the end, and when it came to that.
    pub stage: Option<RolloutStage>,
    pub decided: Option<u64>,
    /// Requests that reached the new version between the order and its deadline, and all.
    pub exposed: usize,
    pub all: usize,
    /// Requests that were sent to a bad version later than it has to be turned away.
    pub late: usize,
    /// Requests that the old servers were at work on as the roll-out was completed, or that
    /// came later.
    pub cut: usize,
    pub refused: usize,
    /// Times at which a decided roll-out was undone.
    pub undone: usize,
}

impl Seen {
    /// How many more requests the new version got than a bad one may.
    pub fn beyond(&self) -> f64 {
        self.exposed as f64 - (self.all as f64 * SHARE + SLACK)
    }
}

enum Event {
    Beat(Box<Heartbeat>),
    Report(Message),
    Rows(Table, Box<TableRows>),
    /// An answer: the server, the route, what it was.
    Answer(ServerIndex, usize, Outcome, String),
    /// The store answered, or did not.
    Read(Table, ReadReason, bool),
    Written(Box<RolloutWrite>, bool),
}

struct Node {
    steer: Steer,
    beat: (u64, u64),
    reading: [bool; 3],
    writing: bool,
    started: u64,
}

pub struct World {
    play: Play,
    at: u64,
    nodes: Vec<Node>,
    rows: BTreeMap<RowKey, (Option<RowContent>, u64)>,
    count: u64,
    events: BTreeMap<u64, Vec<(usize, u64, Event)>>,
    /// Requests at work by server.
    at_work: BTreeMap<String, u32>,
    /// Keys that each server has seen.
    warm: HashSet<(String, u64)>,
    draws: u64,
    due: f64,
    /// Bad answers of the new version, also those before the store was away.
    bad: usize,
    bad_since: Option<u64>,
    /// When the old servers were stopped; their entries lapse some time later.
    stopped: Option<u64>,
    seen: Seen,
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
    pub fn new(play: Play) -> World {
        let mut world = World {
            at: 0,
            nodes: Vec::new(),
            rows: BTreeMap::new(),
            count: 0,
            events: BTreeMap::new(),
            at_work: BTreeMap::new(),
            warm: HashSet::new(),
            draws: 0,
            due: 0.0,
            bad: 0,
            bad_since: None,
            stopped: None,
            seen: Seen::default(),
            play,
        };
        world.put(RowKey::Configuration, Some(rules()));
        world.serve(OLD, 0);
        for n in 0..world.play.hosts {
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
        (0..self.play.hosts)
            .for_each(|other| steer.add_peer_address(ms(at), address(2_000 + other)));
        let unjudged = self.play.without == Without::Verdict;
        let stepping = if unjudged { StepPolicy::Fixed } else { self.play.stepping };
        steer.set_rollout_policies(self.play.judging, stepping);
        let mut bounds = steer.settings().bounds;
        if self.play.without == Without::Youth {
            bounds.rollback_ms = 1_000_000;
        }
        if self.play.without == Without::Bound {
            bounds.exposure_share = 1.0;
            bounds.exposure_slack = 1e6;
        }
        let domains = steer.settings().domains.clone();
        steer.reconfigure(domains, bounds);
        let beat = (at + (n as u64 * 37) % 240, 0);
        Node { steer, beat, reading: [false; 3], writing: false, started: at }
    }

    fn serve(&mut self, version: &str, cold_ms: u64) {
        for (domain, _) in DOMAINS {
            for n in 0..self.play.servers {
                let row =
                    with(server(&format!("{version}-{domain}-{n}"), domain, 0), 0, |server| {
                        (server.version, server.cold_ms) = (version.to_owned(), cold_ms);
                        server.slots = 8;
                    });
                self.put(row.key, row.content);
            }
        }
    }

    fn put(&mut self, key: RowKey, item: Option<RowContent>) {
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

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        hash::combine(hash::combine(self.play.seed, 77), self.draws) % below.max(1)
    }

    pub fn run(mut self) -> Seen {
        while self.at < ORDER + DURATION + 6_000 {
            self.at += STEP;
            self.operate();
            let later = self.events.split_off(&(self.at + 1));
            for (n, started, event) in
                std::mem::replace(&mut self.events, later).into_values().flatten()
            {
                if self.nodes[n].started == started {
                    self.take(n, event);
                } else if let Event::Answer(_, _, _, server) = event {
                    self.ended(&server);
                }
            }
            self.due += self.play.per_s * STEP as f64 / 1_000.0;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.ask();
            }
            for n in 0..self.nodes.len() {
                self.live(n);
            }
        }
        self.seen
    }

    fn operate(&mut self) {
        if self.at == ORDER {
            let order = RolloutOrder { target: NEW.into(), duration_ms: DURATION };
            self.put(RowKey::Rollout(SERVICE.into()), Some(RowContent::Rollout(order)));
        }
        if self.at == ORDER + NEW_SERVERS {
            self.serve(NEW, 1_500);
        }
        if self.stopped.is_some_and(|at| self.at == at + LAPSE) {
            let old = |key: &RowKey| matches!(key, RowKey::Server(id) if id.starts_with(OLD));
            let gone: Vec<RowKey> = self.rows.keys().filter(|key| old(key)).cloned().collect();
            gone.into_iter().for_each(|key| self.put(key, None));
        }
        if let Some((when, part)) = self.play.restart
            && self.at == when
        {
            for n in 0..self.nodes.len() {
                if self.draw(100) < part {
                    self.nodes[n] = self.node(n, self.at);
                }
            }
        }
    }

    fn apart(&self, one: usize, other: usize) -> bool {
        let cut =
            self.play.apart.is_some_and(|(from, long)| (from..from + long).contains(&self.at));
        let region = |n: usize| DOMAINS[n % DOMAINS.len()].1;
        cut && region(one) != region(other)
    }

    fn later(&mut self, after: u64, n: usize, event: Event) {
        let started = self.nodes[n].started;
        self.events.entry(self.at + after).or_default().push((n, started, event));
    }

    /// What a host does by itself.
    fn live(&mut self, n: usize) {
        let now = ms(self.at);
        self.beat(n);
        if self.at.is_multiple_of(100) {
            self.nodes[n].steer.tick(now);
            for (to, message) in self.nodes[n].steer.due_messages(now) {
                let to = host_number(to);
                if !self.apart(n, to) {
                    self.later(WAY, to, Event::Report(message));
                }
            }
            let due = self.nodes[n].steer.due_rollout_write(now, 1_000_000 + self.at);
            if let Some(write) = due.filter(|_| !self.nodes[n].writing) {
                self.write(n, write);
            }
        }
        let well = !self.play.away(self.at);
        for table in TABLES {
            if self.nodes[n].reading[table as usize] {
                continue;
            }
            if let Some(why) = self.nodes[n].steer.due_read(now, table) {
                self.nodes[n].reading[table as usize] = true;
                self.later(if well { ANSWER } else { LOST }, n, Event::Read(table, why, well));
            }
        }
    }

    /// The store takes a change as it comes, if its conditions hold.
    fn write(&mut self, n: usize, write: RolloutWrite) {
        self.nodes[n].writing = true;
        let count = |key: RowKey| {
            let row = self.rows.get(&key).filter(|(item, _)| item.is_some());
            row.map_or(0, |(_, count)| *count)
        };
        let there =
            (count(RowKey::Progress(SERVICE.into())), count(RowKey::Rollout(SERVICE.into())));
        let taken = !self.play.away(self.at) && there == write.expected;
        if taken {
            if self.seen.stage.is_some_and(RolloutStage::is_final)
                && self.seen.stage != Some(write.progress.stage)
            {
                self.seen.undone += 1;
            }
            self.put(
                RowKey::Progress(SERVICE.into()),
                Some(RowContent::Progress(write.progress.clone())),
            );
            self.decided(&write.progress);
        }
        let write = Box::new(write);
        self.later(if taken { ANSWER } else { LOST }, n, Event::Written(write, taken));
    }

    fn decided(&mut self, progress: &RolloutProgress) {
        self.seen.stage = Some(progress.stage);
        if progress.stage.is_final() {
            self.seen.decided.get_or_insert(self.at);
        }
        if progress.stage == RolloutStage::Completed {
            let old = self.at_work.iter().filter(|(server, _)| server.starts_with(OLD));
            self.seen.cut += old.map(|(_, requests)| *requests as usize).sum::<usize>();
            self.stopped.get_or_insert(self.at);
        }
    }

    fn beat(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let pause = members::heartbeat_interval(node.steer.members().target_count()) / MILLI;
        let pause = if node.steer.has_urgent_news() { pause.min(URGENT) } else { pause };
        if node.beat.0 + pause > self.at {
            return;
        }
        let beat = node.steer.next_heartbeat(ms(self.at));
        let targets = node.steer.targets(ms(self.at), node.beat.1);
        node.beat = (self.at, node.beat.1 + 1);
        for to in targets.near.iter().chain(&targets.far) {
            let to = host_number(*to);
            if to < self.nodes.len() && !self.apart(n, to) {
                self.later(WAY, to, Event::Beat(Box::new(beat.clone())));
            }
        }
    }

    fn take(&mut self, n: usize, event: Event) {
        let now = ms(self.at);
        match event {
            Event::Beat(beat) => {
                let from = host_number(beat.host.peers);
                let Some(news) = self.nodes[n].steer.on_heartbeat(now, &beat) else { return };
                for (table, asked) in news.outdated_tables {
                    if !self.apart(n, from) {
                        let rows = self.nodes[from].steer.rows_for(now, table, asked);
                        self.later(FETCH, n, Event::Rows(table, Box::new(rows)));
                    }
                }
            }
            Event::Report(Message::RolloutReport(_)) if self.play.without == Without::Verdict => {}
            Event::Report(Message::RolloutReport(report)) => {
                self.nodes[n].steer.on_rollout_report(now, *report)
            }
            Event::Report(_) => {}
            Event::Rows(table, rows) => drop(self.nodes[n].steer.on_table_rows(now, table, *rows)),
            Event::Read(table, why, well) => {
                self.nodes[n].reading[table as usize] = false;
                if !well || self.play.away(self.at) {
                    self.nodes[n].steer.record_store_failure(now, table);
                    return;
                }
                let version = StoreVersion::new(0, self.count);
                let there = |row: &Row| row.content.is_some();
                let rows = self.rows_of(table).into_iter().filter(there).collect();
                let steer = &mut self.nodes[n].steer;
                steer.on_full_read(now, table, version, rows);
                steer.record_store_answer(table, why, now, version);
            }
            Event::Written(write, taken) => {
                self.nodes[n].writing = false;
                if taken {
                    let key = RowKey::Progress(SERVICE.into());
                    let count = self.rows.get(&key).map_or(0, |(_, count)| *count);
                    let version = StoreVersion::new(0, count);
                    self.nodes[n].steer.on_rollout_written(now, &write, version);
                }
            }
            Event::Answer(index, route_number, outcome, server) => {
                self.ended(&server);
                let steer = &mut self.nodes[n].steer;
                steer.count_rollout_outcome(now, index, &route(route_number).name, outcome);
                steer.record_outcome(now, index, outcome);
            }
        }
    }

    fn ended(&mut self, server: &str) {
        if let Some(requests) = self.at_work.get_mut(server) {
            *requests -= 1;
        }
    }

    /// A request comes to a host.
    fn ask(&mut self) {
        let n = self.draw(self.nodes.len() as u64) as usize;
        let key = hash::combine(7, self.draw(200));
        let number = usize::from(self.draw(10) == 0);
        let now = ms(self.at);
        let route = route(number);
        let ask = PickRequest {
            route: &route,
            service: SERVICE,
            key,
            tried: &[],
            returning: false,
            homes: &[],
        };
        let steer = &mut self.nodes[n].steer;
        steer.deposit_retry(now, SERVICE);
        let Pick::Send(index) = steer.pick_server(now, &ask) else {
            self.seen.refused += 1;
            return;
        };
        let server = steer.servers().get(index).expect("it was chosen").id.clone();
        let knew = steer.record_warm_key(now, index, key);
        self.sent(n, index, &server, (key, knew, number));
    }

    fn sent(
        &mut self,
        n: usize,
        index: ServerIndex,
        server: &str,
        (key, knew, number): (u64, bool, usize),
    ) {
        let new = server.starts_with(NEW);
        let counts = (ORDER..ORDER + DURATION).contains(&self.at);
        self.seen.all += usize::from(counts);
        self.seen.exposed += usize::from(counts && new);
        let in_touch = self.in_touch(n);
        if new && in_touch && self.bad_since.is_some_and(|since| self.at > since + ROLLBACK) {
            self.seen.late += 1;
        }
        if !new && self.seen.stage == Some(RolloutStage::Completed) && in_touch {
            self.seen.cut += 1;
        }
        let requests = self.at_work.entry(server.to_owned()).or_default();
        *requests += 1;
        let load = *requests;
        let strikes = new
            && self.at >= ORDER + self.play.later
            && load >= self.play.under_load
            && (!self.play.one_route || number == 1);
        let fault = self.play.fault.filter(|(from, to, _)| (*from..*to).contains(&self.at));
        let fault = fault.map_or(0, |(_, _, part)| part);
        let warm = !self.warm.insert((server.to_owned(), key));
        let mut work = WORK as f64 * (0.8 + self.draw(400) as f64 / 1_000.0);
        if !warm {
            work *= UNKNOWING;
        }
        let mut fails = self.draw(100) < fault || self.draw(1_000) < 4;
        match self.play.flaw {
            Flaw::Fails(part) if strikes => fails |= self.draw(100) < part,
            Flaw::Slow(times) if strikes => work *= times,
            _ => {}
        }
        let bad = strikes && (fails || matches!(self.play.flaw, Flaw::Slow(_)));
        if bad && self.play.flaw != Flaw::None {
            self.bad += 1;
            if self.bad == BAD {
                self.bad_since = Some(self.at);
            }
        }
        let micros = (2 * WAY + work as u64) * MILLI;
        let outcome = match fails {
            true => Outcome::Failed,
            false => Outcome::Answered { micros, was_warm: knew },
        };
        self.later(micros / MILLI, n, Event::Answer(index, number, outcome, server.to_owned()));
    }

    /// Whether a host has to keep to what was found out; also while the store is away.
    fn in_touch(&self, n: usize) -> bool {
        let started = self.nodes[n].started;
        started == 0 || self.at >= started + CONTACT
    }
}
