//! Guards against an older entry of a backend server that the store completes after a newer one,
//! and which makes hosts use a server again that has left.

mod support;

use elmstream::time::{MILLI, Time};
use elmstream_steer::{
    Pick, Steer,
    era::Retention,
    model::{Repeatability, Server},
    view::{Row, RowContent, RowKey, Table},
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::{at, configuration, exchange_heartbeats, host, ms, ready, route, server, with};

/// The server whose entries arrive late.
const ID: &str = "s";

/// Time for which an older entry is not taken, in milliseconds.
fn hold_ms() -> u64 {
    Retention::default().late_entry / MILLI
}

/// An entry of the server, with the version at which the store has it.
fn entry(stored: u64, number: u64, draining: bool) -> Row {
    with(server(ID, "a1", stored), stored, |server| {
        (server.entries, server.draining) = (number, draining);
    })
}

fn removal(stored: u64) -> Row {
    Row::new(RowKey::Server(ID.into()), at(stored), None)
}

/// A host that knows the server's sixth entry, and another server.
fn informed_host(number: usize) -> Steer {
    ready(number, ms(0), vec![entry(10, 6, false), server("t", "a1", 10)])
}

/// Whether the server gets any request out of many keys.
fn is_used(host: &mut Steer, now: u64) -> bool {
    let route = route(Repeatability::Safe, &[]);
    (0..200u64).any(|key| match support::send(host, ms(now), &route, key * 7_919) {
        Pick::Send(index) => support::id(host, index) == ID,
        Pick::Refuse(_) => false,
    })
}

fn changes(host: &mut Steer, now: u64, rows: Vec<Row>) {
    host.tick(ms(now));
    host.on_changes(ms(now), Table::Servers, rows);
}

/// Fetches what the second host has of the table and the first one lacks.
fn fetch(host: &mut Steer, from: &mut Steer, now: u64) {
    let heartbeat = from.next_heartbeat(ms(now));
    let Some(news) = host.on_heartbeat(ms(now), &heartbeat) else { return };
    for (table, request) in news.outdated_tables {
        let rows = from.rows_for(ms(now), table, request);
        host.on_table_rows(ms(now), table, rows);
    }
}

#[test]
fn late_older_heartbeat_does_not_take_back_that_a_server_leaves() {
    let mut host = informed_host(0);
    assert!(is_used(&mut host, 100));
    changes(&mut host, 200, vec![entry(20, 7, true)]);
    changes(&mut host, 1_800, vec![entry(25, 3, false)]);
    assert!(!is_used(&mut host, 1_800), "the late entry is taken as news");
    changes(&mut host, 2_000, vec![entry(26, 8, true)]);
    assert!(!is_used(&mut host, 2_000));
    changes(&mut host, 3_500, vec![entry(27, 9, false)]);
    assert!(is_used(&mut host, 3_500), "the server has written that it stays");
}

#[test]
fn full_read_between_a_late_heartbeat_and_the_next_one_does_not_take_back_that_a_server_leaves() {
    let mut host = informed_host(0);
    changes(&mut host, 200, vec![entry(20, 7, true)]);
    host.tick(ms(1_800));
    let listed = vec![entry(25, 3, false), server("t", "a1", 10)];
    host.on_full_read(ms(1_800), Table::Servers, at(25), listed);
    assert!(!is_used(&mut host, 1_800));
}

#[test]
fn host_that_reads_the_store_after_a_late_heartbeat_learns_from_others_that_a_server_leaves() {
    let mut informed = informed_host(0);
    changes(&mut informed, 200, vec![entry(20, 7, true)]);
    changes(&mut informed, 1_800, vec![entry(25, 3, false)]);
    let mut started = host(1, ms(1_800));
    started.on_full_read(ms(1_810), Table::Rules, at(25), vec![configuration(1, 10)]);
    let listed = vec![entry(25, 3, false), server("t", "a1", 10)];
    started.on_full_read(ms(1_810), Table::Servers, at(25), listed);
    fetch(&mut started, &mut informed, 1_850);
    assert!(!is_used(&mut started, 1_850), "the started host uses the server");
    // Its own table does not override what the others know.
    fetch(&mut informed, &mut started, 1_900);
    assert!(!is_used(&mut informed, 1_900));
    // A host that learns all from the started one.
    let mut next = host(2, ms(1_950));
    next.on_full_read(ms(1_950), Table::Rules, at(25), vec![configuration(1, 10)]);
    fetch(&mut next, &mut started, 1_960);
    assert!(!is_used(&mut next, 1_960), "the next host uses the server");
}

#[test]
fn host_that_was_behind_learns_from_others_that_a_server_leaves() {
    let (mut informed, mut behind) = (informed_host(0), informed_host(1));
    changes(&mut informed, 200, vec![entry(20, 7, true)]);
    changes(&mut informed, 1_800, vec![entry(25, 3, false)]);
    // Both changes reach it at once, so it sees only the later one.
    changes(&mut behind, 1_800, vec![entry(25, 3, false)]);
    fetch(&mut behind, &mut informed, 1_850);
    assert!(!is_used(&mut behind, 1_850));
}

#[test]
fn late_older_heartbeat_does_not_put_back_a_server_that_was_removed() {
    let mut host = informed_host(0);
    changes(&mut host, 200, vec![removal(20)]);
    changes(&mut host, 1_800, vec![entry(25, 3, false)]);
    assert!(!is_used(&mut host, 1_800), "the late entry puts the server back");
    let mut started = support::host(1, ms(1_800));
    started.on_full_read(ms(1_810), Table::Rules, at(25), vec![configuration(1, 10)]);
    let listed = vec![entry(25, 3, false), server("t", "a1", 10)];
    started.on_full_read(ms(1_810), Table::Servers, at(25), listed);
    fetch(&mut started, &mut host, 1_850);
    assert!(!is_used(&mut started, 1_850), "the started host uses the server");
    // The store drops the late entry after three heartbeat intervals.
    changes(&mut host, 6_400, vec![removal(30)]);
    assert!(!is_used(&mut host, 6_400));
    assert_eq!(host.view().retained_count(), 0);
}

#[test]
fn server_that_writes_again_after_its_entry_lapsed_is_used_at_once() {
    let mut host = informed_host(0);
    changes(&mut host, 200, vec![removal(20)]);
    changes(&mut host, 1_800, vec![entry(25, 9, false)]);
    assert!(is_used(&mut host, 1_800));
}

#[test]
fn late_heartbeat_of_an_earlier_start_does_not_replace_the_next_start() {
    let start = |stored, born: u64, number| {
        with(entry(stored, number, false), stored, |server| {
            server.born = born;
            server.address = support::address(born as usize);
        })
    };
    let mut host = ready(0, ms(0), vec![start(10, 5, 40)]);
    changes(&mut host, 200, vec![start(20, 6, 1)]);
    let index = host.servers().find(ID).expect("the server is listed");
    changes(&mut host, 1_800, vec![start(25, 5, 39)]);
    assert_eq!(host.servers().find(ID), Some(index), "the earlier start is used again");
    let known = host.servers().get(index).expect("the server is listed");
    assert_eq!(known.server.address, support::address(6));
}

/// An order that only rises would ignore a server for ever after one entry with a huge number.
#[test]
fn entry_with_a_huge_number_does_not_hide_the_entries_that_follow() {
    for (is_draining, odd_draining) in [(false, true), (true, false)] {
        let mut host = informed_host(0);
        changes(&mut host, 200, vec![entry(20, u64::MAX, odd_draining)]);
        changes(&mut host, 1_700, vec![entry(25, 7, is_draining)]);
        // What keeps requests away from a server applies at once, the opposite after a while.
        assert!(!is_used(&mut host, 1_700), "draining {is_draining}");
        let mut now = 1_700;
        while now < 1_700 + hold_ms() {
            now += 100;
            host.tick(ms(now));
        }
        assert_eq!(is_used(&mut host, now), !is_draining, "draining {is_draining}");
        changes(&mut host, now + 100, vec![entry(30, 8, !is_draining)]);
        assert_eq!(is_used(&mut host, now + 100), is_draining, "draining {is_draining}");
    }
}

#[test]
fn retention_against_a_late_entry_ends_at_all_hosts_at_the_same_time() {
    let mut hosts = vec![informed_host(0), informed_host(1), informed_host(2)];
    changes(&mut hosts[0], 200, vec![entry(20, 7, true)]);
    changes(&mut hosts[0], 1_800, vec![entry(25, 3, false)]);
    let mut now = 1_800;
    let end = now + hold_ms();
    while now < end {
        now += 100;
        for (to, from) in [(1, 0), (2, 1), (0, 2)] {
            let mut sender = std::mem::replace(&mut hosts[from], host(9, ms(0)));
            fetch(&mut hosts[to], &mut sender, now);
            hosts[from] = sender;
        }
        hosts.iter_mut().for_each(|host| drop(host.tick(ms(now))));
    }
    exchange_heartbeats(ms(now + 100), &mut hosts, |_, _| true);
    for host in &hosts {
        assert_eq!(host.view().retained_count(), 0, "the entry is retained for longer");
    }
}

#[test]
fn late_entry_does_not_change_address_domain_or_cold_time() {
    let mut host = informed_host(0);
    let newest = |server: &mut Server| (server.entries, server.slots) = (7, 5);
    changes(&mut host, 200, vec![with(server(ID, "a1", 20), 20, newest)]);
    let late = |server: &mut Server| {
        server.entries = 3;
        server.cold_ms = 60_000;
        server.domain = "b1".into();
        server.address = support::address(77);
    };
    changes(&mut host, 1_800, vec![with(server(ID, "a1", 25), 25, late)]);
    let known = host.servers().get(host.servers().find(ID).expect("the server is listed"));
    let known = known.expect("the server is listed");
    assert!(!known.is_cold(Time(ms(1_800).0)));
    assert_eq!((known.server.slots, known.server.domain.as_str()), (5, "a1"));
    let Some(RowContent::Server(in_force)) = host.view().get(&RowKey::Server(ID.into())) else {
        panic!("the server's row is lost")
    };
    assert_ne!(in_force.address, support::address(77));
}

/// Number of hosts in a random history, and the time between two of its steps, in milliseconds.
const HOSTS: usize = 4;
const STEP_MS: u64 = 150;
/// Longest time by which the store completes a write late, in milliseconds.
const LATE_MS_MAX: u64 = 6_000;

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The server writes its next entry; with a delay, the store completes it that much later.
    Write(Option<u64>),
    /// The server writes from now on that it leaves.
    Leave,
    /// The server removes its entry, if it leaves.
    Remove,
    /// A host reads all changes since its last read.
    ReadChanges(usize),
    /// A host reads the whole table.
    ReadAll(usize),
    /// The first host fetches from the second one.
    Fetch(usize, usize),
    Restart(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (host, other) = (usize::arbitrary(g) % HOSTS, usize::arbitrary(g) % HOSTS);
        match u8::arbitrary(g) % 24 {
            0..=3 => Step::Write(None),
            4..=6 => Step::Write(Some(1_000 + u64::arbitrary(g) % (LATE_MS_MAX - 1_000))),
            7 => Step::Leave,
            8 => Step::Remove,
            9..=13 => Step::ReadChanges(host),
            14..=15 => Step::ReadAll(host),
            16..=22 => Step::Fetch(host, other),
            _ => Step::Restart(host),
        }
    }
}

/// A store with one server, whose writes may be completed late, and the hosts that read it.
struct World {
    now: u64,
    version: u64,
    /// The store's row, and the version up to which each host has read it.
    stored: Row,
    read_up_to: Vec<u64>,
    /// Writes under way: when the store completes them, and the server's number and state.
    late: Vec<(u64, u64, bool)>,
    number: u64,
    is_leaving: bool,
    hosts: Vec<Steer>,
    incarnation: u64,
    /// Whether each host has known since its start that the server leaves.
    knows: Vec<bool>,
}

impl World {
    fn new() -> World {
        World {
            now: 0,
            version: 10,
            stored: entry(10, 1, false),
            read_up_to: vec![10; HOSTS],
            late: Vec::new(),
            number: 1,
            is_leaving: false,
            hosts: (0..HOSTS).map(|n| ready(n, ms(0), vec![entry(10, 1, false)])).collect(),
            incarnation: 1,
            knows: vec![false; HOSTS],
        }
    }

    fn store(&mut self, number: u64, is_leaving: bool) {
        self.version += 1;
        self.stored = entry(self.version, number, is_leaving);
    }

    fn advance(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        let (due, rest) = self.late.iter().copied().partition(|(at, ..)| *at <= now);
        self.late = rest;
        let due: Vec<(u64, u64, bool)> = due;
        due.iter().for_each(|(_, number, is_leaving)| self.store(*number, *is_leaving));
        self.hosts.iter_mut().for_each(|host| drop(host.tick(ms(now))));
    }

    fn run(&mut self, step: Step) {
        let now = ms(self.now);
        match step {
            Step::Write(delay) => {
                self.number += 1;
                match delay {
                    Some(delay) => self.late.push((self.now + delay, self.number, self.is_leaving)),
                    None => self.store(self.number, self.is_leaving),
                }
            }
            Step::Leave => self.is_leaving = true,
            Step::Remove if self.is_leaving => {
                self.version += 1;
                self.stored = removal(self.version);
            }
            Step::Remove => {}
            Step::ReadChanges(n) => {
                if self.stored.version.count > self.read_up_to[n] {
                    self.hosts[n].on_changes(now, Table::Servers, vec![self.stored.clone()]);
                }
                self.read_up_to[n] = self.version;
            }
            Step::ReadAll(n) => {
                let rows = self.stored.content.iter().map(|_| self.stored.clone()).collect();
                self.hosts[n].on_full_read(now, Table::Servers, at(self.version), rows);
                self.read_up_to[n] = self.version;
            }
            Step::Fetch(to, from) if to != from => {
                let mut sender = std::mem::replace(&mut self.hosts[from], host(HOSTS, now));
                fetch(&mut self.hosts[to], &mut sender, self.now);
                self.hosts[from] = sender;
            }
            Step::Fetch(..) => {}
            Step::Restart(n) => {
                self.incarnation += 1;
                self.hosts[n] = support::host_with_incarnation(n, now, self.incarnation);
                (self.read_up_to[n], self.knows[n]) = (0, false);
            }
        }
    }

    /// Whether a host may send requests to the server.
    fn uses(&self, n: usize) -> bool {
        let known = self.hosts[n].servers().find(ID);
        let known = known.and_then(|index| self.hosts[n].servers().get(index));
        known.is_some_and(|known| !known.is_leaving())
    }

    /// A host that has known that the server leaves and uses it again, if there is one.
    fn reverted(&mut self) -> Option<usize> {
        for n in 0..HOSTS {
            let Some(RowContent::Server(known)) =
                self.hosts[n].view().get(&RowKey::Server(ID.into()))
            else {
                continue;
            };
            self.knows[n] |= known.draining;
        }
        (0..HOSTS).find(|n| self.knows[*n] && self.uses(*n))
    }
}

#[test]
fn no_late_entry_takes_back_that_a_server_leaves_in_random_histories() {
    fn check(steps: Vec<Step>) -> TestResult {
        let mut world = World::new();
        for (count, step) in steps.iter().enumerate() {
            world.advance();
            world.run(*step);
            if let Some(n) = world.reverted() {
                return TestResult::error(format!("host {n}: {:?}", &steps[..=count]));
            }
        }
        // The server writes once more, and all hosts use it or not as it says.
        world.run(Step::Write(None));
        for n in 0..HOSTS {
            world.run(Step::ReadAll(n));
            if world.uses(n) == world.is_leaving {
                return TestResult::error(format!("host {n} differs at the end: {steps:?}"));
            }
        }
        TestResult::passed()
    }
    let histories = std::env::var("HISTORIES").ok().and_then(|number| number.parse().ok());
    let rng = Gen::from_size_and_seed(100, 1);
    let check = check as fn(Vec<Step>) -> TestResult;
    QuickCheck::new().rng(rng).tests(histories.unwrap_or(3_000)).quickcheck(check);
}
