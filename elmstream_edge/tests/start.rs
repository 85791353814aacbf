//! How soon hosts that start know what the store has, and what they ask it for, in
//! virtual time.
//!
//! Each start was a whole reading of the store: 5 calls of 1,077 servers, 2,800 of the
//! 3,031 calls of a day with 507 starts.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use elmstream::time::{MILLI, Time};
use elmstream_edge::{
    fetch_schedule::{FetchOutcome, FetchSchedule},
    peers,
};
use elmstream_steer::{
    Bounds, Host, Settings, Steer, hash,
    heartbeat::{Heartbeat, TableStatus},
    host_registry::RegisteredHost,
    members,
    model::{Configuration, Server},
    store_schedule::ReadReason,
    table_sync::TableRows,
    version::StoreVersion,
    view::{REQUIRED_TABLES, Row, RowContent, RowKey, Table},
};

/// Time between two steps, in milliseconds.
const STEP: u64 = 10;
/// One way between two hosts.
const WAY: u64 = 12;
/// A connection to another host, a request and the first bytes of the answer.
const ASK: u64 = 4 * WAY;
/// Servers over a thin link.
const SERVERS_MS: u64 = 50;
/// Time for which a host that tells all servers is taken, by the pace of its answers.
const TAKEN: u64 = 240;
/// A call to the store, and all pages of its servers.
const CALL: u64 = 60;
const PAGES: u64 = 3;
/// Pages of the list of hosts hold so many.
const PAGE: usize = 500;
/// Hosts that are named to all at their start.
const SEEDS: usize = 3;
/// A process is up so long after its start at most.
const STARTS: u64 = 60;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 80))
}

fn ms(millis: u64) -> Time {
    Time((1_000_000 + millis) * MILLI)
}

fn host(number: usize, start: u64, now: Time) -> Steer {
    let region = ["a", "b", "c"][number % 3];
    let settings = Settings {
        host: Host {
            name: format!("host-{number}"),
            domain: format!("{region}{}", number % 9),
            region: region.into(),
            callers: address(number),
            peers: address(number),
        },
        incarnation: start,
        domains: (0..9)
            .map(|n| (format!("{}{n}", ["a", "b", "c"][n % 3]), region.into()))
            .collect(),
        bounds: Bounds { configuration_ms: 3_000, ..Bounds::default() },
    };
    let mut steer = Steer::new(settings, now);
    steer.request_host_list();
    if number < SEEDS {
        steer.mark_as_seed();
    }
    (0..SEEDS).for_each(|seed| steer.add_peer_address(now, address(seed)));
    steer
}

fn rows(table: Table) -> Vec<Row> {
    let row = |key, item| Row::new(key, StoreVersion::new(0, 10), Some(item));
    match table {
        Table::Rules => {
            let configuration = Configuration { version: 1, ..Configuration::default() };
            vec![row(RowKey::Configuration, RowContent::Configuration(configuration))]
        }
        Table::Servers => {
            let server = Server {
                service: "shop".into(),
                address: address(9_999),
                domain: "a0".into(),
                slots: 6,
                draining: false,
                cold_ms: 0,
                born: 0,
                entries: 0,
                version: String::new(),
            };
            vec![row(RowKey::Server("s".into()), RowContent::Server(server))]
        }
        Table::Rollouts => Vec::new(),
    }
}

/// What comes to a host, or what of its own comes to an end.
enum Event {
    Beat(Box<Heartbeat>),
    /// A fetch from another host is over.
    Fetched(SocketAddr, Table, FetchOutcome, Option<Box<Told>>),
    /// The store answered.
    Read(Table, ReadReason),
    Listed,
}

struct Told {
    table: TableRows,
    hosts: Option<Vec<SocketAddr>>,
}

struct Node {
    steer: Steer,
    fetches: FetchSchedule,
    up: u64,
    beats: u64,
    rounds: u64,
    reading: [bool; 2],
    listing: bool,
    /// Ends of the answers that this host gives to others.
    serving: Vec<u64>,
}

struct Fleet {
    nodes: Vec<Node>,
    places: BTreeMap<SocketAddr, usize>,
    events: BTreeMap<u64, Vec<(usize, u64, Event)>>,
    listed: Vec<RegisteredHost>,
    calls: u64,
    /// Hosts that are not there.
    dead: BTreeSet<usize>,
    /// Hosts whom no other host answers.
    apart: BTreeSet<usize>,
}

impl Fleet {
    fn new(hosts: usize) -> Fleet {
        let listed = |n| RegisteredHost { name: format!("host-{n}"), peers: address(n) };
        let mut fleet = Fleet {
            nodes: Vec::new(),
            places: (0..hosts).map(|n| (address(n), n)).collect(),
            events: BTreeMap::new(),
            listed: (0..hosts).map(listed).collect(),
            calls: 0,
            dead: BTreeSet::new(),
            apart: BTreeSet::new(),
        };
        fleet.nodes = (0..hosts).map(|n| Node::new(n, 0)).collect();
        fleet
    }

    fn restart(&mut self, host: usize, at: u64) {
        self.nodes[host] = Node::new(host, at);
    }

    fn step(&mut self, at: u64) {
        for (to, up, event) in self.events.remove(&at).unwrap_or_default() {
            if self.nodes[to].up == up && !self.dead.contains(&to) {
                self.take(at, to, event);
            }
        }
        for n in 0..self.nodes.len() {
            if at < self.nodes[n].up || self.dead.contains(&n) {
                continue;
            }
            self.beat(at, n);
            self.call(at, n);
            for table in REQUIRED_TABLES {
                self.fetch(at, n, table);
            }
            if at.is_multiple_of(100) {
                self.nodes[n].steer.tick(ms(at));
            }
        }
    }

    fn later(&mut self, at: u64, to: usize, event: Event) {
        let at = at.div_ceil(STEP) * STEP;
        let up = self.nodes[to].up;
        self.events.entry(at).or_default().push((to, up, event));
    }

    fn beat(&mut self, at: u64, n: usize) {
        let node = &mut self.nodes[n];
        let pause = members::heartbeat_interval(node.steer.members().target_count()) / MILLI;
        if node.rounds > 0 && at < node.beats + pause {
            return;
        }
        (node.beats, node.rounds) = (at, node.rounds + 1);
        let beat = Box::new(node.steer.next_heartbeat(ms(at)));
        let targets = node.steer.targets(ms(at), node.rounds);
        for to in targets.near.iter().chain(&targets.far) {
            let to = self.places[to];
            if self.apart.is_disjoint(&BTreeSet::from([to, n])) {
                self.later(at + WAY, to, Event::Beat(beat.clone()));
            }
        }
    }

    /// Calls to the store; all are answered.
    fn call(&mut self, at: u64, n: usize) {
        for table in REQUIRED_TABLES {
            let node = &mut self.nodes[n];
            if node.reading[table as usize] {
                continue;
            }
            if let Some(why) = node.steer.due_read(ms(at), table) {
                node.reading[table as usize] = true;
                let pages =
                    if why == ReadReason::Start && table == Table::Servers { PAGES } else { 1 };
                self.calls += pages;
                self.later(at + pages * CALL, n, Event::Read(table, why));
            }
        }
        if !self.nodes[n].listing && self.nodes[n].steer.host_list_due(ms(at)) {
            self.nodes[n].listing = true;
            self.calls += self.listed.len().div_ceil(PAGE) as u64;
            self.later(at + CALL, n, Event::Listed);
        }
    }

    fn fetch(&mut self, at: u64, n: usize, table: Table) {
        let node = &mut self.nodes[n];
        let asks = node.steer.sync_request(table);
        let wants = |known: &TableStatus| node.steer.needs_sync(table, known);
        let Some(host) = node.fetches.next(ms(at), table, wants) else { return };
        let from = self.places[&host];
        let there = !self.dead.contains(&from) && at >= self.nodes[from].up;
        if !there || self.apart.contains(&n) || self.apart.contains(&from) {
            self.later(at + ASK, n, Event::Fetched(host, table, FetchOutcome::Failed, None));
            return;
        }
        let teller = &mut self.nodes[from];
        teller.serving.retain(|until| *until > at);
        let knows = teller.steer.table_statuses()[table as usize].last_read.is_some();
        if knows && teller.serving.len() >= peers::MAX_CONCURRENT_ROWS {
            self.later(at + ASK, n, Event::Fetched(host, table, FetchOutcome::Refused, None));
            return;
        }
        let starts = asks.after == StoreVersion::default();
        let whole = starts && teller.steer.has_host_list();
        let told = Told {
            table: teller.steer.rows_for(ms(at), table, asks),
            hosts: whole.then(|| teller.steer.members().contact_addresses(ms(at))),
        };
        let large = table == Table::Servers && !told.table.rows.is_empty();
        let took = if large { SERVERS_MS } else { 0 };
        if knows {
            teller.serving.push(at + if large { TAKEN } else { ASK });
        }
        self.later(
            at + ASK + took,
            n,
            Event::Fetched(host, table, FetchOutcome::Received, Some(Box::new(told))),
        );
    }

    fn take(&mut self, at: u64, n: usize, event: Event) {
        let node = &mut self.nodes[n];
        let now = ms(at);
        match event {
            Event::Beat(beat) => {
                let Some(news) = node.steer.on_heartbeat(now, &beat) else { return };
                for (table, _) in news.outdated_tables {
                    let known = beat.tables[table as usize];
                    node.fetches.offer(now, table, beat.host.peers, &known);
                }
            }
            Event::Fetched(host, table, end, told) => {
                node.fetches.on_fetch_ended(now, table, host, end);
                if end == FetchOutcome::Failed
                    || told.as_ref().is_some_and(|t| t.table.status.last_read.is_none())
                {
                    node.steer.record_uninformed_peer();
                }
                let Some(told) = told else { return };
                if let Some(hosts) = told.hosts {
                    node.steer.on_host_list(now, &hosts);
                }
                if told.table.status.last_read.is_some() {
                    node.steer.on_table_rows(now, table, told.table);
                }
            }
            Event::Read(table, why) => {
                node.reading[table as usize] = false;
                let version = StoreVersion::new(0, 10);
                node.steer.on_full_read(now, table, version, rows(table));
                node.steer.record_store_answer(table, why, now, version);
            }
            Event::Listed => {
                node.listing = false;
                node.steer.on_registered_hosts(now, &self.listed);
            }
        }
    }

    fn knows(&self, n: usize) -> bool {
        let steer = &self.nodes[n].steer;
        steer.serves() && steer.has_host_list()
    }
}

impl Node {
    fn new(number: usize, at: u64) -> Node {
        let up = at + hash::combine(number as u64, at) % STARTS / STEP * STEP;
        let mut fetches = FetchSchedule::new(hash::of(format!("{number}-{at}")));
        for table in REQUIRED_TABLES {
            for seed in (0..SEEDS).filter(|seed| *seed != number) {
                fetches.offer(ms(up), table, address(seed), &TableStatus::default());
            }
        }
        let steer = host(number, at + 1, ms(up));
        let (reading, serving) = ([false; 2], Vec::new());
        Node { steer, fetches, up, beats: 0, rounds: 0, reading, listing: false, serving }
    }
}

/// How long the last of all hosts takes to know all after they start together, the mean of
/// that time, and the calls until then; `away` are not there.
fn together(hosts: usize, away: impl Fn(usize) -> bool) -> (u64, u64, u64) {
    let mut fleet = Fleet::new(hosts);
    fleet.dead = (0..hosts).filter(|n| away(*n)).collect();
    let mut missing: BTreeSet<usize> = (0..hosts).filter(|n| !away(*n)).collect();
    let (count, mut sum) = (missing.len() as u64, 0);
    for at in (0..10_000).step_by(STEP as usize) {
        fleet.step(at);
        let before = missing.len();
        missing.retain(|n| !fleet.knows(*n));
        sum += at * (before - missing.len()) as u64;
        if missing.is_empty() {
            println!("{hosts} hosts: {at} ms, mean {} ms, {} calls", sum / count, fleet.calls);
            return (at, sum / count, fleet.calls);
        }
    }
    panic!("{} of {hosts} hosts do not know all after 10 s", missing.len());
}

#[test]
fn hosts_that_start_together_know_all_soon_and_few_of_them_read_the_store() {
    for hosts in [12, 89, 295, 600] {
        let (took, mean, calls) = together(hosts, |_| false);
        assert!(mean <= 500, "{hosts} hosts took {mean} ms on average");
        assert!(took <= 1_200, "{hosts} hosts took {took} ms");
        // The seeds make 15 of them, which counts in a small fleet only.
        assert!(calls <= 15 + 3 * hosts as u64 / 2, "{calls} calls of {hosts} hosts");
    }
}

#[test]
fn hosts_that_start_together_know_all_soon_though_no_seed_is_there() {
    for hosts in [12, 89, 295] {
        let (took, ..) = together(hosts, |n| n < SEEDS);
        assert!(took <= 1_500, "{hosts} hosts took {took} ms");
    }
}

/// A fleet that has run for a while, and the calls to the store of its last seconds.
fn settled(hosts: usize) -> (Fleet, u64) {
    let mut fleet = Fleet::new(hosts);
    (0..6_000).step_by(STEP as usize).for_each(|at| fleet.step(at));
    (fleet, 6_000)
}

#[test]
fn a_host_that_starts_among_others_is_told_all_by_them() {
    let (mut fleet, begin) = settled(89);
    let started = [7, 20, 33, 46, 59, 72];
    let before: u64 = fleet.calls;
    let rest = |fleet: &mut Fleet, from: u64| {
        let calls = fleet.calls;
        (from..from + 1_000).step_by(STEP as usize).for_each(|at| fleet.step(at));
        fleet.calls - calls
    };
    let usual = rest(&mut fleet, begin);
    assert!(before > 0 && usual > 0, "the store is read all along");
    for n in started {
        fleet.restart(n, begin + 1_000);
    }
    let calls = fleet.calls;
    let mut took = None;
    for at in (begin + 1_000..begin + 2_000).step_by(STEP as usize) {
        fleet.step(at);
        if took.is_none() && started.iter().all(|n| fleet.knows(*n)) {
            took = Some(at - begin - 1_000);
        }
    }
    let calls = (fleet.calls - calls).saturating_sub(usual);
    let took = took.expect("all know all within a second");
    println!("{took} ms, {calls} calls more than usual");
    assert!(took <= 500, "{took} ms");
    assert!(calls <= 10, "{calls} calls for {} starts", started.len());
}

#[test]
fn a_host_whom_no_other_answers_reads_the_store_itself_in_a_bounded_time() {
    let (mut fleet, begin) = settled(89);
    let n = 40;
    fleet.apart.insert(n);
    fleet.restart(n, begin);
    let knows = |at: &u64| {
        fleet.step(*at);
        fleet.knows(n)
    };
    let at = (begin..begin + 3_000).step_by(STEP as usize).find(knows).expect("it knows all");
    assert!(at - begin <= 1_300, "after {} ms", at - begin);
}
