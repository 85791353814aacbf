//! Tables that arrive in any order, from the store and from other hosts that are behind it, leave a
//! host with what the store has.

mod support;

use std::{collections::BTreeMap, env};

use elmstream_steer::{
    RolloutWrite, Steer,
    heartbeat::Heartbeat,
    model::Server,
    rollout::{RolloutProgress, RolloutStage},
    steer::StateChange,
    store_schedule::ReadReason,
    table_sync::{SyncRequest, TableRows},
    view::{Row, RowContent, RowKey, Table},
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::{at, host, host_with_incarnation, ms, server, tombstone, with};

/// Hosts of a random history.
const HOSTS: usize = 4;
/// Host that reads the store by changes.
const READER: usize = 0;

#[test]
fn servers_removed_before_a_host_started_are_not_restored_by_an_older_table_of_a_peer() {
    let behind = {
        let mut peer = host(1, ms(0));
        peer.on_full_read(ms(0), Table::Servers, at(64), vec![server("s", "a1", 62)]);
        peer
    };
    let older = behind.rows_for(ms(10), Table::Servers, at(0));
    let mut first_from_store = host(0, ms(5));
    first_from_store.on_full_read(ms(20), Table::Servers, at(70), vec![server("t", "a2", 69)]);
    let mut first_from_peer = host(2, ms(5));
    let newer = first_from_store.rows_for(ms(25), Table::Servers, at(0));
    first_from_peer.on_table_rows(ms(28), Table::Servers, newer);
    for mut started in [first_from_store, first_from_peer] {
        let changes = started.on_table_rows(ms(30), Table::Servers, older.clone());
        let keys = vec![RowKey::Server("s".into())];
        assert_eq!(changes, [StateChange::RowsOutdated { table: Table::Servers, keys }]);
        assert!(started.servers().find("s").is_none(), "the removed server is used again");
        assert!(started.servers().find("t").is_some(), "the other server is no longer used");
    }
}

#[test]
fn late_answers_of_the_store_do_not_restore_servers_removed_since() {
    let peer_table = {
        let mut peer = host(1, ms(0));
        peer.on_full_read(ms(0), Table::Servers, at(70), vec![server("t", "a2", 60)]);
        peer.rows_for(ms(20), Table::Servers, at(0))
    };
    let listed = vec![server("t", "a2", 60), server("s", "a1", 65)];
    let mut full_read = host(0, ms(10));
    full_read.on_table_rows(ms(30), Table::Servers, peer_table.clone());
    full_read.on_full_read(ms(40), Table::Servers, at(66), listed);
    let mut changes_read = host(2, ms(10));
    changes_read.on_full_read(ms(10), Table::Servers, at(61), vec![server("t", "a2", 60)]);
    changes_read.on_table_rows(ms(30), Table::Servers, peer_table);
    changes_read.on_changes(ms(40), Table::Servers, vec![server("s", "a1", 65)]);
    for steer in [full_read, changes_read] {
        assert!(steer.servers().find("s").is_none(), "the removed server is used again");
        assert!(steer.servers().find("t").is_some(), "the other server is no longer used");
    }
}

#[test]
fn server_added_and_removed_between_two_full_reads_is_removed_at_all_hosts() {
    let known = vec![server("t", "a2", 60)];
    let mut by_changes = host(0, ms(0));
    by_changes.on_full_read(ms(0), Table::Servers, at(61), known.clone());
    by_changes.on_changes(ms(10), Table::Servers, vec![server("s", "a1", 65)]);
    let mut by_full_reads = host(1, ms(0));
    by_full_reads.on_full_read(ms(0), Table::Servers, at(61), known);
    by_full_reads.on_full_read(ms(20), Table::Servers, at(70), vec![server("u", "a1", 69)]);
    let request = by_changes.sync_request(Table::Servers);
    let table = by_full_reads.rows_for(ms(30), Table::Servers, request);
    by_changes.on_table_rows(ms(40), Table::Servers, table);
    assert!(by_changes.servers().find("s").is_none(), "the removed server is still used");
    assert!(by_changes.servers().find("u").is_some(), "the new server is not used");
}

#[test]
fn deletion_of_a_server_that_the_reader_never_knew_reaches_hosts_that_use_it() {
    let known = vec![server("t", "a2", 60)];
    let mut reader = host(0, ms(0));
    reader.on_full_read(ms(0), Table::Servers, at(61), known.clone());
    let mut other = host(1, ms(0));
    other.on_full_read(
        ms(0),
        Table::Servers,
        at(65),
        [known, vec![server("s", "a1", 65)]].concat(),
    );
    let deletion = tombstone(RowKey::Server("s".into()), 66);
    support::store::answered(
        &mut reader,
        ms(10),
        (Table::Servers, ReadReason::Rank),
        vec![deletion],
    );
    let news = other.on_heartbeat(ms(20), &reader.next_heartbeat(ms(20)));
    for (table, request) in news.expect("the heartbeat is new").outdated_tables {
        let rows = reader.rows_for(ms(30), table, request);
        other.on_table_rows(ms(40), table, rows);
    }
    assert!(other.servers().find("s").is_none(), "the removed server is still used");
}

#[test]
fn host_that_confirms_its_keys_does_not_hide_deletions_from_hosts_that_lack_them() {
    let listed = vec![server("t", "a2", 60)];
    let mut confirmed = host(0, ms(0));
    confirmed.on_full_read(ms(0), Table::Servers, at(61), listed.clone());
    let mut behind = host(1, ms(0));
    let with_removed = [listed.clone(), vec![server("s", "a1", 65)]].concat();
    behind.on_full_read(ms(0), Table::Servers, at(65), with_removed);
    let mut newest = host(2, ms(0));
    newest.on_full_read(ms(10), Table::Servers, at(70), listed);
    confirmed.on_heartbeat(ms(20), &newest.next_heartbeat(ms(20)));
    let table = confirmed.rows_for(ms(30), Table::Servers, behind.sync_request(Table::Servers));
    behind.on_table_rows(ms(40), Table::Servers, table);
    let table = newest.rows_for(ms(50), Table::Servers, behind.sync_request(Table::Servers));
    behind.on_table_rows(ms(60), Table::Servers, table);
    assert!(behind.servers().find("s").is_none(), "the removed server is still used");
}

#[test]
fn progress_written_by_two_hosts_at_once_reaches_all_hosts() {
    let progress = RolloutProgress {
        order: at(20),
        target: "v2".into(),
        stage: RolloutStage::RolledBack,
        began_unix_ms: 0,
    };
    let key = |service: &str| RowKey::Progress(service.into());
    let row = |service: &str, stored| {
        Row::new(key(service), at(stored), Some(RowContent::Progress(progress.clone())))
    };
    let mut fleet: Vec<Steer> = (0..3).map(|n| host(n, ms(0))).collect();
    for steer in &mut fleet {
        steer.on_full_read(ms(0), Table::Rollouts, at(30), Vec::new());
    }
    for (n, service, stored) in [(0, "shop", 40), (1, "search", 41)] {
        let service = service.to_owned();
        let write =
            RolloutWrite { service, progress: progress.clone(), expected: (0, 20), cause: None };
        fleet[n].on_rollout_written(ms(10), &write, at(stored));
    }
    let fetch = |fleet: &mut [Steer], from: usize, to: usize| {
        let heartbeat = fleet[from].next_heartbeat(ms(20));
        let news = fleet[to].on_heartbeat(ms(20), &heartbeat).expect("the heartbeat is new");
        for (table, request) in news.outdated_tables {
            let rows = fleet[from].rows_for(ms(20), table, request);
            fleet[to].on_table_rows(ms(20), table, rows);
        }
    };
    fetch(&mut fleet, 1, 2);
    // Each writer reads what changed since it last read.
    for steer in &mut fleet[..2] {
        steer.on_changes(ms(30), Table::Rollouts, vec![row("shop", 40), row("search", 41)]);
        steer.record_store_answer(Table::Rollouts, ReadReason::Rank, ms(30), at(41));
    }
    fetch(&mut fleet, 0, 2);
    fetch(&mut fleet, 1, 2);
    for (n, steer) in fleet.iter().enumerate() {
        for service in ["shop", "search"] {
            assert!(steer.view().get(&key(service)).is_some(), "host {n} lacks {service}");
        }
    }
}

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    AddServer,
    DrainServer(usize),
    RemoveServer(usize),
    RenewServer(usize),
    /// A host calls the store: by changes if it has read it before and `true`.
    CallStore(usize, bool),
    /// The store's answer reaches the host.
    DeliverAnswer(usize),
    /// The first host requests the table from the second one.
    RequestTable(usize, usize),
    /// One of the tables in transit arrives.
    DeliverTable(usize),
    /// The first host's heartbeat reaches the second one.
    Heartbeat(usize, usize),
    Restart(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let kind = u8::arbitrary(g) % 24;
        let (first, second) = (usize::arbitrary(g) % 1_024, usize::arbitrary(g) % 1_024);
        let (host, other) = (first % HOSTS, second % HOSTS);
        match kind {
            0 => Step::AddServer,
            1 => Step::DrainServer(first),
            2 | 3 => Step::RemoveServer(first),
            4 => Step::RenewServer(first),
            5..=8 => Step::CallStore(if kind < 7 { READER } else { host }, second % 4 > 0),
            9..=12 => Step::DeliverAnswer(if kind < 11 { READER } else { host }),
            13..=15 => Step::RequestTable(host, other),
            16..=19 => Step::DeliverTable(first),
            20..=22 => Step::Heartbeat(host, other),
            _ => Step::Restart(host),
        }
    }
}

/// An answer of the store on its way: the version that it is complete to, its rows, and whether
/// these are all rows.
struct Answer {
    version: u64,
    rows: Vec<Row>,
    is_full: bool,
}

/// The store's servers, with the version of each entry and all its changes.
#[derive(Default)]
struct Store {
    version: u64,
    rows: BTreeMap<String, Row>,
    history: Vec<Row>,
    added: usize,
}

impl Store {
    fn write(&mut self, id: &str, row: Row) {
        self.version = row.version.count;
        self.rows.insert(id.to_owned(), row.clone());
        self.history.push(row);
    }

    fn add(&mut self) {
        let id = format!("s{}", self.added);
        self.added += 1;
        self.write(&id, server(&id, "a1", self.version + 1));
    }

    /// Changes one of the listed servers.
    fn change(&mut self, number: usize, change: impl Fn(&mut Server)) {
        if let Some((id, row)) = self.listed(number) {
            self.write(&id, with(row, self.version + 1, change));
        }
    }

    fn remove(&mut self, number: usize) {
        if let Some((id, row)) = self.listed(number) {
            self.write(&id, tombstone(row.key, self.version + 1));
        }
    }

    fn listed(&self, number: usize) -> Option<(String, Row)> {
        let listed: Vec<_> = self.rows.iter().filter(|(_, row)| row.content.is_some()).collect();
        let (id, row) = listed.get(number % listed.len().max(1))?;
        Some(((*id).clone(), (*row).clone()))
    }

    fn answer(&self, after: Option<u64>) -> Answer {
        let is_included = |row: &&Row| match after {
            Some(after) => row.version.count > after,
            None => row.content.is_some(),
        };
        let rows = self.rows.values().filter(is_included).cloned().collect();
        Answer { version: self.version, rows, is_full: after.is_none() }
    }

    /// A server's last entry up to a version; `None` if it had none or was removed.
    fn entry_at(&self, id: &str, version: u64) -> Option<&Server> {
        let key = RowKey::Server(id.to_owned());
        let mut changes = self.history.iter().filter(|row| row.key == key);
        match changes.rfind(|row| row.version.count <= version)?.content.as_ref() {
            Some(RowContent::Server(server)) => Some(server),
            _ => None,
        }
    }
}

/// Hosts, their store, and what is on its way to them.
struct World {
    store: Store,
    hosts: Vec<Steer>,
    incarnation: u64,
    /// For each host, the version up to which it read the store, and the answer on its way.
    cursors: Vec<Option<u64>>,
    answers: Vec<Option<Answer>>,
    tables: Vec<(usize, TableRows)>,
}

impl World {
    fn new() -> World {
        let mut store = Store::default();
        (0..3).for_each(|_| store.add());
        World {
            store,
            hosts: (0..HOSTS).map(|n| host(n, ms(0))).collect(),
            incarnation: 1,
            cursors: vec![None; HOSTS],
            answers: (0..HOSTS).map(|_| None).collect(),
            tables: Vec::new(),
        }
    }

    fn run(&mut self, now: u64, step: Step) {
        match step {
            Step::AddServer => self.store.add(),
            Step::DrainServer(number) => self.store.change(number, |server| server.draining = true),
            Step::RemoveServer(number) => self.store.remove(number),
            Step::RenewServer(number) => self.store.change(number, |server| server.entries += 1),
            Step::CallStore(n, by_changes) => {
                if self.answers[n].is_none() {
                    let after = self.cursors[n].filter(|_| by_changes);
                    self.answers[n] = Some(self.store.answer(after));
                }
            }
            Step::DeliverAnswer(n) => {
                if let Some(answer) = self.answers[n].take() {
                    self.deliver_answer(now, n, answer);
                }
            }
            Step::RequestTable(n, from) => {
                let is_known = self.is_known(from);
                if n != from && is_known {
                    let request: SyncRequest = self.hosts[n].sync_request(Table::Servers);
                    let rows = self.hosts[from].rows_for(ms(now), Table::Servers, request);
                    self.tables.push((n, rows));
                }
            }
            Step::DeliverTable(number) => {
                if !self.tables.is_empty() {
                    let (n, rows) = self.tables.remove(number % self.tables.len());
                    self.hosts[n].on_table_rows(ms(now), Table::Servers, rows);
                }
            }
            Step::Heartbeat(from, to) => {
                let heartbeat: Heartbeat = self.hosts[from].next_heartbeat(ms(now));
                self.hosts[to].on_heartbeat(ms(now), &heartbeat);
            }
            Step::Restart(n) => {
                self.incarnation += 1;
                self.hosts[n] = host_with_incarnation(n, ms(now), self.incarnation);
                (self.cursors[n], self.answers[n]) = (None, None);
                self.tables.retain(|(to, _)| *to != n);
            }
        }
    }

    fn deliver_answer(&mut self, now: u64, n: usize, answer: Answer) {
        let (host, version) = (&mut self.hosts[n], at(answer.version));
        match answer.is_full {
            true => host.on_full_read(ms(now), Table::Servers, version, answer.rows),
            false => host.on_changes(ms(now), Table::Servers, answer.rows),
        };
        host.record_store_answer(Table::Servers, ReadReason::Rank, ms(now), version);
        self.cursors[n] = Some(answer.version);
    }

    fn is_known(&self, n: usize) -> bool {
        self.hosts[n].view().watermark(Table::Servers).confirmed_at.is_some()
    }

    /// A difference between what a host uses and what the store had at the version that the host
    /// knows, if there is one.
    fn difference(&self) -> Option<String> {
        (0..HOSTS).filter(|n| self.is_known(*n)).find_map(|n| {
            let (steer, version) = (&self.hosts[n], self.hosts[n].view().watermark(Table::Servers));
            let version = version.complete_version().count;
            let uses = |id: &str| {
                let index = steer.servers().find(id)?;
                steer.servers().get(index).filter(|entry| !entry.server.draining)
            };
            (0..self.store.added).map(|number| format!("s{number}")).find_map(|id| {
                let stored = self.store.entry_at(&id, version);
                let is_ready = stored.is_some_and(|server| !server.draining);
                // A host may have learned of further changes already.
                let is_newer = self.store.entry_at(&id, self.store.version) != stored;
                let differs = uses(&id).is_some() != is_ready;
                (differs && !(is_ready && is_newer)).then(|| {
                    format!("host {n} at {version}: {id} ready {is_ready}, used {}", !is_ready)
                })
            })
        })
    }
}

/// A number from an environment variable, or a default.
fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|number| number.parse().ok()).unwrap_or(default)
}

#[test]
fn hosts_use_what_the_store_had_at_the_version_that_they_know() {
    fn check(steps: Vec<Step>) -> TestResult {
        let mut world = World::new();
        for (now, step) in steps.iter().enumerate() {
            world.run(now as u64 + 1, *step);
            if let Some(difference) = world.difference() {
                return TestResult::error(format!("{difference}; {:?}", &steps[..=now]));
            }
        }
        TestResult::passed()
    }
    let rng = Gen::from_size_and_seed(120, env_number("SEED", 1));
    let check = check as fn(Vec<Step>) -> TestResult;
    QuickCheck::new().rng(rng).tests(env_number("HISTORIES", 4_000)).quickcheck(check);
}
