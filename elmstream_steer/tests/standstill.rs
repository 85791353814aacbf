//! Guards against hosts that take their own standstill, or a cut from all others, for an outage of the
//! store, and against servers that are used for long after their entries were removed.
//!
//! The failure: a host was suspended for 3.5 s. Its servers table was then as old, from which it
//! concluded that the store had been away. For 2.5 s more it kept each server whose entry was
//! removed in use for another 2.2 s, although servers may end 2 s after that.

mod support;

use elmstream_steer::{
    Pick, Steer,
    model::Repeatability,
    steer::StateChange,
    view::{RowKey, Table},
};
use support::{exchange_heartbeats, ms, ready, route, send, server, servers, tombstone};

/// Interval between two steps of a running host, in milliseconds.
const STEP: u64 = 100;
/// Interval at which a host reads the store, in milliseconds.
const READ_INTERVAL: u64 = 1_000;
/// Server that leaves without a word: its entry is removed.
const LEAVING: &str = "s-a1-0";

/// Three hosts; the last one reads the store, and the first one is under test.
struct Fleet {
    hosts: Vec<Steer>,
    /// Whether the store answers.
    store_serves: bool,
    /// Version of the servers table in the store.
    version: u64,
}

impl Fleet {
    fn new() -> Fleet {
        let hosts = (0..3).map(|number| ready(number, ms(0), servers(1))).collect();
        Fleet { hosts, store_serves: true, version: 10 }
    }

    /// Runs the hosts from `from` to `to`. While the first one does not run or is cut off, the
    /// others go on without it.
    fn run(&mut self, (from, to): (u64, u64), first_runs: bool, first_hears: bool) {
        for at in (from..to).step_by(STEP as usize) {
            if self.store_serves && at.is_multiple_of(READ_INTERVAL) {
                self.hosts[2].on_changes(ms(at), Table::Servers, Vec::new());
            }
            let others = if first_runs { 0 } else { 1 };
            exchange_heartbeats(ms(at), &mut self.hosts[others..], |from, to| {
                first_hears || !first_runs || (from != 0 && to != 0)
            });
        }
    }

    /// The first host learns of the store's changes up to now from the reader.
    fn sync(&mut self, at: u64) -> Vec<StateChange> {
        let (first, rest) = self.hosts.split_at_mut(1);
        let request = first[0].sync_request(Table::Servers);
        let rows = rest[1].rows_for(ms(at), Table::Servers, request);
        first[0].on_table_rows(ms(at), Table::Servers, rows)
    }

    /// The store removes an entry, and the reader learns of it at once.
    fn remove(&mut self, at: u64, id: &str) {
        self.version += 1;
        let removed = tombstone(RowKey::Server(id.into()), self.version);
        self.hosts[2].on_changes(ms(at), Table::Servers, vec![removed]);
    }

    /// The store adds an entry, and the reader learns of it at once.
    fn add(&mut self, at: u64, id: &str) {
        self.version += 1;
        let added = server(id, "a1", self.version);
        self.hosts[2].on_changes(ms(at), Table::Servers, vec![added]);
    }

    /// Whether the first host may send requests to a server.
    fn is_used(&mut self, id: &str) -> bool {
        self.hosts[0].servers().find(id).is_some()
    }
}

#[test]
fn server_removed_after_the_hosts_standstill_is_not_kept_as_after_an_outage() {
    let mut fleet = Fleet::new();
    fleet.run((0, 4_000), true, true);
    fleet.run((4_000, 7_500), false, false);
    fleet.add(7_500, "new");
    // The first message after the standstill brings rows; the host has not ticked yet.
    fleet.sync(7_520);
    fleet.run((7_600, 8_800), true, true);
    fleet.remove(8_800, LEAVING);
    fleet.sync(8_850);
    assert!(!fleet.is_used(LEAVING), "its entry is gone, and the store was never away");
}

#[test]
fn server_removed_during_the_hosts_standstill_is_not_kept_as_after_an_outage() {
    let mut fleet = Fleet::new();
    fleet.run((0, 4_000), true, true);
    fleet.run((4_000, 5_000), false, false);
    fleet.remove(5_000, LEAVING);
    fleet.run((5_100, 7_500), false, false);
    fleet.sync(7_520);
    assert!(!fleet.is_used(LEAVING), "its entry is gone, and the store was never away");
}

#[test]
fn server_removed_after_a_cut_from_all_hosts_is_not_kept_as_after_an_outage() {
    let mut fleet = Fleet::new();
    fleet.run((0, 4_000), true, true);
    fleet.run((4_000, 8_500), true, false);
    fleet.add(8_500, "new");
    // Rows that this host fetched before it hears others again.
    fleet.sync(8_520);
    fleet.run((8_600, 9_800), true, true);
    fleet.remove(9_800, LEAVING);
    fleet.sync(9_850);
    assert!(!fleet.is_used(LEAVING), "its entry is gone, and the store was never away");
}

/// The store lists servers that run again within two seconds of its return; one that is still missing
/// then is gone, whenever its entry went.
#[test]
fn server_removed_after_the_stores_return_is_kept_no_longer_than_those_lost_in_the_outage() {
    let mut fleet = Fleet::new();
    fleet.run((0, 3_000), true, true);
    fleet.store_serves = false;
    fleet.run((3_000, 7_000), true, true);
    fleet.remove(7_000, LEAVING);
    fleet.sync(7_050);
    assert!(fleet.is_used(LEAVING), "its entry may have lapsed in the outage");
    fleet.store_serves = true;
    fleet.run((7_100, 8_900), true, true);
    fleet.remove(8_900, "s-a2-0");
    fleet.sync(8_950);
    fleet.run((9_000, 9_400), true, true);
    assert!(!fleet.is_used(LEAVING), "it is not listed again");
    assert!(!fleet.is_used("s-a2-0"), "its entry went after the return, and is not listed again");
}

/// Trap: a host that stood still for a part of an outage has seen the rest of it.
#[test]
fn servers_lost_in_an_outage_stay_in_use_at_a_host_that_stood_still_for_a_part_of_it() {
    let mut fleet = Fleet::new();
    fleet.run((0, 3_000), true, true);
    fleet.store_serves = false;
    fleet.run((3_000, 5_000), true, true);
    fleet.run((5_000, 6_500), false, false);
    fleet.run((6_500, 9_000), true, true);
    fleet.remove(9_000, LEAVING);
    fleet.sync(9_050);
    assert!(fleet.is_used(LEAVING), "the store was away for 6 s");
    let route = route(Repeatability::Safe, &[]);
    assert!(matches!(send(&mut fleet.hosts[0], ms(9_100), &route, 1), Pick::Send(_)));
}

/// What the log shows tells a standstill from an outage.
#[test]
fn standstill_and_outage_are_reported() {
    let mut fleet = Fleet::new();
    fleet.run((0, 4_000), true, true);
    fleet.run((4_000, 7_500), false, false);
    let changes = fleet.hosts[0].tick(ms(7_500));
    let standstill = changes.iter().find_map(|change| match change {
        StateChange::Standstill { for_us } => Some(*for_us),
        _ => None,
    });
    assert_eq!(standstill, Some(3_600_000));
    assert!(
        !fleet.hosts[0].tick(ms(7_600)).iter().any(|c| matches!(c, StateChange::Standstill { .. }))
    );
    fleet.run((7_600, 9_000), true, true);
    fleet.store_serves = false;
    fleet.run((9_000, 13_000), true, true);
    fleet.remove(13_000, LEAVING);
    let changes = fleet.sync(13_050);
    assert!(changes.iter().any(|c| matches!(c, StateChange::StoreAway { .. })), "{changes:?}");
}
