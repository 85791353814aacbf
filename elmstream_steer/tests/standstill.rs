//! Guards against servers that are used for long after their entries were removed.
//!
//! The failure: after an outage of the store, a server whose entry went up to 2.5 s after the store's
//! return stayed in use for 2.2 s from then on, although servers may end 2 s after their entry.

mod support;

use elmstream_steer::{
    Steer,
    steer::StateChange,
    view::{RowKey, Table},
};
use support::{exchange_heartbeats, ms, ready, server, servers, tombstone};

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
