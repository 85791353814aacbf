//! How soon starting hosts know what the store holds, and how often they call it, in virtual
//! time.
//!
//! If each start reads the whole store, with 5 calls for 1,077 servers, starts dominate its
//! load: 2,800 of 3,031 calls in a day with 507 starts.

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
    policies::Policies,
    store_schedule::ReadReason,
    table_sync::TableRows,
    version::StoreVersion,
    view::{REQUIRED_TABLES, Row, RowContent, RowKey, Table},
};

/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 10;
/// One-way delay between two hosts.
const ONE_WAY_MS: u64 = 12;
/// Time of a connection to another host, a request and the first bytes of the response.
const FETCH_ROUND_TRIP_MS: u64 = 4 * ONE_WAY_MS;
/// Transfer time of all servers over a slow link.
const SERVERS_TRANSFER_MS: u64 = 50;
/// Time for which a permit of a host that sends all servers is held, by the pacing of its
/// responses.
const PERMIT_MS: u64 = 240;
/// Duration of a call to the store, and number of pages of its servers.
const STORE_CALL_MS: u64 = 60;
const SERVER_PAGES: u64 = 3;
/// Hosts in one page of the list of hosts.
const HOSTS_PER_PAGE: usize = 500;
/// Hosts that all others have as seeds.
const SEEDS: usize = 3;
/// Longest time from the start of a process until it runs.
const START_DELAY_MAX_MS: u64 = 60;

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
        policies: Policies::default(),
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

/// Something that a host receives, or a result of its own calls.
enum Event {
    Heartbeat(Box<Heartbeat>),
    /// The result of a fetch from another host.
    Fetched(SocketAddr, Table, FetchOutcome, Option<Box<FetchedRows>>),
    /// The store answered.
    Read(Table, ReadReason),
    HostListRead,
}

struct FetchedRows {
    table: TableRows,
    hosts: Option<Vec<SocketAddr>>,
}

struct Node {
    steer: Steer,
    fetches: FetchSchedule,
    up_since: u64,
    last_heartbeat: u64,
    rounds: u64,
    reading: [bool; 2],
    listing: bool,
    /// Times at which the responses end that this host is sending.
    serving: Vec<u64>,
}

struct Fleet {
    nodes: Vec<Node>,
    node_indices: BTreeMap<SocketAddr, usize>,
    events: BTreeMap<u64, Vec<(usize, u64, Event)>>,
    listed: Vec<RegisteredHost>,
    calls: u64,
    /// Hosts that do not run.
    dead: BTreeSet<usize>,
    /// Hosts that no other host answers.
    isolated: BTreeSet<usize>,
}

impl Fleet {
    fn new(hosts: usize) -> Fleet {
        let listed = |n| RegisteredHost { name: format!("host-{n}"), peers: address(n) };
        let mut fleet = Fleet {
            nodes: Vec::new(),
            node_indices: (0..hosts).map(|n| (address(n), n)).collect(),
            events: BTreeMap::new(),
            listed: (0..hosts).map(listed).collect(),
            calls: 0,
            dead: BTreeSet::new(),
            isolated: BTreeSet::new(),
        };
        fleet.nodes = (0..hosts).map(|n| Node::new(n, 0)).collect();
        fleet
    }

    fn restart(&mut self, host: usize, at: u64) {
        self.nodes[host] = Node::new(host, at);
    }

    fn step(&mut self, at: u64) {
        for (to, up_since, event) in self.events.remove(&at).unwrap_or_default() {
            if self.nodes[to].up_since == up_since && !self.dead.contains(&to) {
                self.handle(at, to, event);
            }
        }
        for n in 0..self.nodes.len() {
            if at < self.nodes[n].up_since || self.dead.contains(&n) {
                continue;
            }
            self.send_heartbeat(at, n);
            self.call_store(at, n);
            for table in REQUIRED_TABLES {
                self.fetch(at, n, table);
            }
            if at.is_multiple_of(100) {
                self.nodes[n].steer.tick(ms(at));
            }
        }
    }

    fn schedule(&mut self, at: u64, to: usize, event: Event) {
        let at = at.div_ceil(STEP_MS) * STEP_MS;
        let up_since = self.nodes[to].up_since;
        self.events.entry(at).or_default().push((to, up_since, event));
    }

    fn send_heartbeat(&mut self, at: u64, n: usize) {
        let node = &mut self.nodes[n];
        let pause = members::heartbeat_interval(node.steer.members().target_count()) / MILLI;
        if node.rounds > 0 && at < node.last_heartbeat + pause {
            return;
        }
        (node.last_heartbeat, node.rounds) = (at, node.rounds + 1);
        let heartbeat = Box::new(node.steer.next_heartbeat(ms(at)));
        let targets = node.steer.targets(ms(at), node.rounds);
        for to in targets.near.iter().chain(&targets.far) {
            let to = self.node_indices[to];
            if self.isolated.is_disjoint(&BTreeSet::from([to, n])) {
                self.schedule(at + ONE_WAY_MS, to, Event::Heartbeat(heartbeat.clone()));
            }
        }
    }

    /// Calls to the store, which are all answered.
    fn call_store(&mut self, at: u64, n: usize) {
        for table in REQUIRED_TABLES {
            let node = &mut self.nodes[n];
            if node.reading[table as usize] {
                continue;
            }
            if let Some(reason) = node.steer.due_read(ms(at), table) {
                node.reading[table as usize] = true;
                let pages = if reason == ReadReason::Start && table == Table::Servers {
                    SERVER_PAGES
                } else {
                    1
                };
                self.calls += pages;
                self.schedule(at + pages * STORE_CALL_MS, n, Event::Read(table, reason));
            }
        }
        if !self.nodes[n].listing && self.nodes[n].steer.host_list_due(ms(at)) {
            self.nodes[n].listing = true;
            self.calls += self.listed.len().div_ceil(HOSTS_PER_PAGE) as u64;
            self.schedule(at + STORE_CALL_MS, n, Event::HostListRead);
        }
    }

    fn fetch(&mut self, at: u64, n: usize, table: Table) {
        let node = &mut self.nodes[n];
        let sync_request = node.steer.sync_request(table);
        let needs_sync = |known: &TableStatus| node.steer.needs_sync(table, known);
        let Some(host) = node.fetches.next(ms(at), table, needs_sync) else { return };
        let from = self.node_indices[&host];
        let there = !self.dead.contains(&from) && at >= self.nodes[from].up_since;
        if !there || self.isolated.contains(&n) || self.isolated.contains(&from) {
            self.schedule(
                at + FETCH_ROUND_TRIP_MS,
                n,
                Event::Fetched(host, table, FetchOutcome::Failed, None),
            );
            return;
        }
        let peer = &mut self.nodes[from];
        peer.serving.retain(|until| *until > at);
        let has_rows = peer.steer.table_statuses(ms(at))[table as usize].last_read.is_some();
        if has_rows && peer.serving.len() >= peers::MAX_CONCURRENT_ROWS {
            self.schedule(
                at + FETCH_ROUND_TRIP_MS,
                n,
                Event::Fetched(host, table, FetchOutcome::Refused, None),
            );
            return;
        }
        let is_starting = sync_request.after == StoreVersion::default();
        let send_hosts = is_starting && peer.steer.has_host_list();
        let fetched = FetchedRows {
            table: peer.steer.rows_for(ms(at), table, sync_request),
            hosts: send_hosts.then(|| peer.steer.members().contact_addresses(ms(at))),
        };
        let large = table == Table::Servers && !fetched.table.rows.is_empty();
        let transfer = if large { SERVERS_TRANSFER_MS } else { 0 };
        if has_rows {
            peer.serving.push(at + if large { PERMIT_MS } else { FETCH_ROUND_TRIP_MS });
        }
        self.schedule(
            at + FETCH_ROUND_TRIP_MS + transfer,
            n,
            Event::Fetched(host, table, FetchOutcome::Received, Some(Box::new(fetched))),
        );
    }

    fn handle(&mut self, at: u64, n: usize, event: Event) {
        let node = &mut self.nodes[n];
        let now = ms(at);
        match event {
            Event::Heartbeat(heartbeat) => {
                let Some(news) = node.steer.on_heartbeat(now, &heartbeat) else { return };
                for (table, _) in news.outdated_tables {
                    let known = heartbeat.tables[table as usize];
                    node.fetches.offer(now, table, heartbeat.host.peers, &known);
                }
            }
            Event::Fetched(host, table, outcome, fetched) => {
                node.fetches.on_fetch_ended(now, table, host, outcome);
                if outcome == FetchOutcome::Failed
                    || fetched.as_ref().is_some_and(|t| t.table.status.last_read.is_none())
                {
                    node.steer.record_uninformed_peer();
                }
                let Some(fetched) = fetched else { return };
                if let Some(hosts) = fetched.hosts {
                    node.steer.on_host_list(now, &hosts);
                }
                if fetched.table.status.last_read.is_some() {
                    node.steer.on_table_rows(now, table, fetched.table);
                }
            }
            Event::Read(table, reason) => {
                node.reading[table as usize] = false;
                let version = StoreVersion::new(0, 10);
                node.steer.on_full_read(now, table, version, rows(table));
                node.steer.record_store_answer(table, reason, now, version);
            }
            Event::HostListRead => {
                node.listing = false;
                node.steer.on_registered_hosts(now, &self.listed);
            }
        }
    }

    fn is_ready(&self, n: usize) -> bool {
        let steer = &self.nodes[n].steer;
        steer.serves() && steer.has_host_list()
    }
}

impl Node {
    fn new(number: usize, at: u64) -> Node {
        let up_since =
            at + hash::combine(number as u64, at) % START_DELAY_MAX_MS / STEP_MS * STEP_MS;
        let mut fetches = FetchSchedule::new(hash::of(format!("{number}-{at}")));
        for table in REQUIRED_TABLES {
            for seed in (0..SEEDS).filter(|seed| *seed != number) {
                fetches.offer(ms(up_since), table, address(seed), &TableStatus::default());
            }
        }
        let steer = host(number, at + 1, ms(up_since));
        let (reading, serving) = ([false; 2], Vec::new());
        Node {
            steer,
            fetches,
            up_since,
            last_heartbeat: 0,
            rounds: 0,
            reading,
            listing: false,
            serving,
        }
    }
}

/// Time until the last of all hosts is ready after they start together, the mean of that
/// time, and the calls until then. Hosts for which `is_absent` holds do not run.
fn start_together(hosts: usize, is_absent: impl Fn(usize) -> bool) -> (u64, u64, u64) {
    let mut fleet = Fleet::new(hosts);
    fleet.dead = (0..hosts).filter(|n| is_absent(*n)).collect();
    let mut not_ready: BTreeSet<usize> = (0..hosts).filter(|n| !is_absent(*n)).collect();
    let (count, mut sum) = (not_ready.len() as u64, 0);
    for at in (0..10_000).step_by(STEP_MS as usize) {
        fleet.step(at);
        let before = not_ready.len();
        not_ready.retain(|n| !fleet.is_ready(*n));
        sum += at * (before - not_ready.len()) as u64;
        if not_ready.is_empty() {
            println!("{hosts} hosts: {at} ms, mean {} ms, {} calls", sum / count, fleet.calls);
            return (at, sum / count, fleet.calls);
        }
    }
    panic!("{} of {hosts} hosts do not know all after 10 s", not_ready.len());
}

#[test]
fn hosts_starting_together_are_ready_soon_with_few_store_calls() {
    for hosts in [12, 89, 295, 600] {
        let (took, mean, calls) = start_together(hosts, |_| false);
        assert!(mean <= 500, "{hosts} hosts took {mean} ms on average");
        assert!(took <= 1_200, "{hosts} hosts took {took} ms");
        // The seeds make 15 of these calls, which only matters in a small fleet.
        assert!(calls <= 15 + 3 * hosts as u64 / 2, "{calls} calls of {hosts} hosts");
    }
}

#[test]
fn hosts_starting_together_are_ready_soon_without_seeds() {
    for hosts in [12, 89, 295] {
        let (took, ..) = start_together(hosts, |n| n < SEEDS);
        assert!(took <= 1_500, "{hosts} hosts took {took} ms");
    }
}

/// A fleet that has run for a while, and the current time.
fn settled(hosts: usize) -> (Fleet, u64) {
    let mut fleet = Fleet::new(hosts);
    (0..6_000).step_by(STEP_MS as usize).for_each(|at| fleet.step(at));
    (fleet, 6_000)
}

#[test]
fn host_starting_in_a_running_fleet_learns_from_peers() {
    let (mut fleet, begin) = settled(89);
    let started = [7, 20, 33, 46, 59, 72];
    let before: u64 = fleet.calls;
    let run_one_second = |fleet: &mut Fleet, from: u64| {
        let calls = fleet.calls;
        (from..from + 1_000).step_by(STEP_MS as usize).for_each(|at| fleet.step(at));
        fleet.calls - calls
    };
    let usual_calls = run_one_second(&mut fleet, begin);
    assert!(before > 0 && usual_calls > 0, "the store is read all along");
    for n in started {
        fleet.restart(n, begin + 1_000);
    }
    let calls = fleet.calls;
    let mut took = None;
    for at in (begin + 1_000..begin + 2_000).step_by(STEP_MS as usize) {
        fleet.step(at);
        if took.is_none() && started.iter().all(|n| fleet.is_ready(*n)) {
            took = Some(at - begin - 1_000);
        }
    }
    let calls = (fleet.calls - calls).saturating_sub(usual_calls);
    let took = took.expect("all know all within a second");
    println!("{took} ms, {calls} calls more than usual");
    assert!(took <= 500, "{took} ms");
    assert!(calls <= 10, "{calls} calls for {} starts", started.len());
}

#[test]
fn isolated_host_reads_the_store_in_a_bounded_time() {
    let (mut fleet, begin) = settled(89);
    let n = 40;
    fleet.isolated.insert(n);
    fleet.restart(n, begin);
    let has_rows = |at: &u64| {
        fleet.step(*at);
        fleet.is_ready(n)
    };
    let at = (begin..begin + 3_000).step_by(STEP_MS as usize).find(has_rows).expect("it knows all");
    assert!(at - begin <= 1_300, "after {} ms", at - begin);
}
