//! News in any order give the same view, and nothing goes back.

mod support;

use elmstream_steer::{
    Pick,
    model::Repeatability,
    view::{Row, RowKey, Table, View},
};
use quickcheck::{QuickCheck, TestResult};
use support::{at, configuration, host, ms, ready, route, send, server, servers, tombstone, with};

/// Rows of a history in which each version is one change.
fn history(changes: &[u8]) -> Vec<Row> {
    let row = |(n, change): (usize, &u8)| {
        let (stored, id) = (n as u64 + 1, format!("s{}", change % 3));
        match change % 5 {
            0 => tombstone(RowKey::Server(id), stored),
            1 => with(server(&id, "a1", stored), stored, |server| server.draining = true),
            2 => Row { key: RowKey::Configuration, ..configuration(stored, stored) },
            _ => server(&id, "a1", stored),
        }
    };
    changes.iter().enumerate().map(row).collect()
}

fn state(view: &View) -> Vec<String> {
    view.contents().map(|item| format!("{item:?}")).collect()
}

#[test]
fn rows_in_any_order_and_twice_give_the_same_view() {
    fn check(changes: Vec<u8>, order: Vec<usize>) -> TestResult {
        let rows = history(&changes);
        if rows.is_empty() {
            return TestResult::discard();
        }
        let (mut straight, mut mixed) = (View::default(), View::default());
        for row in &rows {
            straight.merge(ms(0), row.clone());
        }
        for place in &order {
            mixed.merge(ms(0), rows[place % rows.len()].clone());
        }
        for row in rows.iter().rev() {
            mixed.merge(ms(0), row.clone());
        }
        TestResult::from_bool(state(&straight) == state(&mixed))
    }
    QuickCheck::new().tests(500).quickcheck(check as fn(Vec<u8>, Vec<usize>) -> TestResult);
}

#[test]
fn a_configuration_never_goes_back_nor_away() {
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
fn an_old_reading_of_all_rows_changes_nothing() {
    let mut steer = ready(0, ms(0), servers(1));
    steer.on_changes(ms(1), Table::Servers, vec![server("new", "a1", 40)]);
    steer.on_full_read(ms(2), Table::Servers, at(30), servers(1));
    assert!(steer.servers().find("new").is_some());
}

#[test]
fn a_server_that_drains_or_is_gone_gets_nothing() {
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

#[test]
fn a_server_that_lapsed_while_the_store_was_away_is_used_till_it_may_be_back() {
    let mut steer = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let route = route(Repeatability::Safe, &[]);
    steer.on_full_read(ms(6_000), Table::Servers, at(30), Vec::new());
    assert!(matches!(send(&mut steer, ms(6_100), &route, 1), Pick::Send(_)));
    steer.on_changes(ms(7_900), Table::Servers, vec![server("one", "a1", 31)]);
    steer.tick(ms(9_000));
    assert!(matches!(send(&mut steer, ms(9_000), &route, 1), Pick::Send(_)));
}

#[test]
fn a_server_that_lapsed_and_stays_away_is_gone() {
    let mut steer = ready(0, ms(0), vec![server("one", "a1", 10)]);
    steer.on_full_read(ms(6_000), Table::Servers, at(30), Vec::new());
    steer.tick(ms(8_300));
    assert!(steer.servers().find("one").is_none());
}

#[test]
fn a_server_that_leaves_on_a_calm_day_is_gone_at_once() {
    let mut steer = ready(0, ms(0), vec![server("one", "a1", 10)]);
    steer.on_changes(ms(1_000), Table::Servers, Vec::new());
    steer.on_changes(ms(1_500), Table::Servers, vec![tombstone(RowKey::Server("one".into()), 12)]);
    assert!(steer.servers().find("one").is_none());
}
