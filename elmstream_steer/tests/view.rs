//! Merging rows in any order gives the same view, and nothing reverts.

mod support;

use elmstream_steer::{
    Pick, Steer,
    model::Repeatability,
    view::{Row, RowKey, Table, View},
};
use quickcheck::{QuickCheck, TestResult};
use support::{at, configuration, host, ms, ready, route, send, server, servers, tombstone, with};

/// Rows of a history with one change per version.
fn history(changes: &[u8]) -> Vec<Row> {
    let row = |(n, kind): (usize, &u8)| {
        let (stored, id) = (n as u64 + 1, format!("s{}", kind % 3));
        match kind % 5 {
            0 => tombstone(RowKey::Server(id), stored),
            1 => with(server(&id, "a1", stored), stored, |server| server.draining = true),
            2 => Row { key: RowKey::Configuration, ..configuration(stored, stored) },
            _ => server(&id, "a1", stored),
        }
    };
    changes.iter().enumerate().map(row).collect()
}

fn state(view: &View) -> Vec<String> {
    view.contents().map(|row| format!("{row:?}")).collect()
}

#[test]
fn merging_is_idempotent_and_independent_of_order() {
    fn check(changes: Vec<u8>, order: Vec<usize>) -> TestResult {
        let rows = history(&changes);
        if rows.is_empty() {
            return TestResult::discard();
        }
        let (mut in_order, mut shuffled) = (View::default(), View::default());
        for row in &rows {
            in_order.merge(ms(0), row.clone());
        }
        for index in &order {
            shuffled.merge(ms(0), rows[index % rows.len()].clone());
        }
        for row in rows.iter().rev() {
            shuffled.merge(ms(0), row.clone());
        }
        TestResult::from_bool(state(&in_order) == state(&shuffled))
    }
    QuickCheck::new().tests(500).quickcheck(check as fn(Vec<u8>, Vec<usize>) -> TestResult);
}

#[test]
fn configuration_is_never_reverted_or_deleted() {
    let mut steer = host(0, ms(0));
    steer.on_changes(ms(0), Table::Rules, vec![configuration(5, 20)]);
    steer.on_changes(ms(1), Table::Rules, vec![configuration(4, 30)]);
    assert_eq!(steer.configuration_version(), Some(5));
    steer.on_changes(ms(2), Table::Rules, vec![tombstone(RowKey::Configuration, 40)]);
    assert_eq!(steer.configuration_version(), Some(5));
    steer.on_changes(ms(3), Table::Rules, vec![configuration(6, 50)]);
    assert_eq!(steer.configuration_version(), Some(6));
}

#[test]
fn outdated_full_read_is_ignored() {
    let mut steer = ready(0, ms(0), servers(1));
    steer.on_changes(ms(1), Table::Servers, vec![server("new", "a1", 40)]);
    steer.on_full_read(ms(2), Table::Servers, at(30), servers(1));
    assert!(steer.servers().find("new").is_some());
}

#[test]
fn draining_or_removed_server_gets_no_requests() {
    let mut steer = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let route = route(Repeatability::Safe, &[]);
    assert!(matches!(send(&mut steer, ms(1), &route, 1), Pick::Send(_)));
    let draining = with(server("one", "a1", 11), 11, |server| server.draining = true);
    steer.on_changes(ms(2), Table::Servers, vec![draining]);
    assert!(matches!(send(&mut steer, ms(3), &route, 1), Pick::Refuse(_)));
    steer.on_changes(ms(4), Table::Servers, vec![server("one", "a1", 12)]);
    assert!(matches!(send(&mut steer, ms(5), &route, 1), Pick::Send(_)));
    steer.on_changes(ms(6), Table::Servers, vec![tombstone(RowKey::Server("one".into()), 13)]);
    assert!(matches!(send(&mut steer, ms(7), &route, 1), Pick::Refuse(_)));
}

/// Lets a host run while nothing arrives. Without its ticks it would have stood still.
fn tick_until(steer: &mut Steer, until_ms: u64) {
    (0..until_ms).step_by(100).for_each(|at| drop(steer.tick(ms(at))));
}

#[test]
fn server_dropped_by_an_outage_of_the_store_stays_in_use_until_relisted() {
    let mut steer = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let route = route(Repeatability::Safe, &[]);
    tick_until(&mut steer, 6_000);
    steer.on_full_read(ms(6_000), Table::Servers, at(30), Vec::new());
    assert!(matches!(send(&mut steer, ms(6_100), &route, 1), Pick::Send(_)));
    steer.on_changes(ms(7_900), Table::Servers, vec![server("one", "a1", 31)]);
    steer.tick(ms(9_000));
    assert!(matches!(send(&mut steer, ms(9_000), &route, 1), Pick::Send(_)));
}

#[test]
fn server_dropped_by_an_outage_of_the_store_is_removed_if_not_relisted() {
    let mut steer = ready(0, ms(0), vec![server("one", "a1", 10)]);
    tick_until(&mut steer, 6_000);
    steer.on_full_read(ms(6_000), Table::Servers, at(30), Vec::new());
    steer.tick(ms(8_100));
    assert!(steer.servers().find("one").is_some());
    steer.tick(ms(8_300));
    assert!(steer.servers().find("one").is_none());
}

#[test]
fn server_removed_without_an_outage_is_dropped_at_once() {
    let mut steer = ready(0, ms(0), vec![server("one", "a1", 10)]);
    steer.on_changes(ms(1_000), Table::Servers, Vec::new());
    steer.on_changes(ms(1_500), Table::Servers, vec![tombstone(RowKey::Server("one".into()), 12)]);
    assert!(steer.servers().find("one").is_none());
}
