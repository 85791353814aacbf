//! Servers that start again under their ids, and entries that cannot be read.

mod support;

use elmstream_steer::{
    model::Repeatability,
    servers::Outcome,
    steer::{ServerState, StateChange},
    view::{Row, RowContent, RowKey, Table},
};
use support::{address, at, id, ms, ready, route, send, server, servers, tombstone, with};

const KEY: u64 = 7;

/// The same server, another start.
fn reborn(row: Row, stored: u64) -> Row {
    with(row, stored, |server| server.born += 1)
}

#[test]
fn a_server_that_starts_again_under_its_id_knows_and_holds_nothing() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let route = route(Repeatability::Safe, &[]);
    for _ in 0..3 {
        send(&mut host, ms(1), &route, KEY);
    }
    let old = host.servers().find("s").expect("it is there");
    host.record_warm_key(ms(1), old, KEY);
    host.record_server_load(ms(1), old, 5);
    host.record_outcome(ms(700), old, Outcome::CallerGone);
    assert!(host.is_warm(ms(701), old, KEY));
    assert!(host.servers().get(old).expect("it is there").is_probing());
    let changes = host.on_changes(ms(702), Table::Servers, vec![reborn(server("s", "a1", 10), 11)]);
    assert!(changes.contains(&StateChange::Server("s".into(), ServerState::Restarted)));
    let new = host.servers().find("s").expect("it is there");
    let entry = host.servers().get(new).expect("it is there");
    assert_ne!(old, new);
    assert_eq!((entry.own_in_flight, entry.in_flight(ms(702)), entry.is_probing()), (0, 0, false));
    assert!(!host.is_warm(ms(702), new, KEY));
    // What was in flight at the start before ends, and says nothing of this one.
    host.record_outcome(ms(703), old, Outcome::Silent);
    assert_eq!(host.servers().get(new).expect("it is there").own_in_flight, 0);
    assert!(matches!(send(&mut host, ms(704), &route, KEY), elmstream_steer::Pick::Send(_)));
}

#[test]
fn an_older_entry_that_comes_late_changes_nothing() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    host.on_changes(ms(1), Table::Servers, vec![reborn(server("s", "a1", 10), 12)]);
    let index = host.servers().find("s").expect("it is there");
    assert!(host.on_changes(ms(2), Table::Servers, vec![server("s", "a1", 11)]).is_empty());
    assert_eq!(host.servers().find("s"), Some(index));
    assert_eq!(host.servers().get(index).expect("it is there").server.born, 1);
}

#[test]
fn a_server_of_another_service_or_address_is_another_one() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    host.on_changes(
        ms(1),
        Table::Servers,
        vec![with(server("s", "a1", 10), 11, |server| server.service = "other".into())],
    );
    assert_eq!(host.servers().of_service("shop").count(), 0, "the old service does not get it");
    assert_eq!(host.servers().of_service("other").count(), 1);
    let first = host.servers().find("s");
    let moved = with(server("s", "a1", 10), 12, |server| {
        server.service = "other".into();
        server.address = address(9);
    });
    host.on_changes(ms(2), Table::Servers, vec![moved]);
    assert_ne!(host.servers().find("s"), first);
}

#[test]
fn an_entry_that_cannot_be_read_is_used_no_more_and_the_others_are() {
    let mut host = ready(0, ms(0), servers(1));
    let all = host.servers().all().count();
    let key = RowKey::Server("s-a1-0".into());
    let unreadable = Row::new(key.clone(), at(11), Some(RowContent::Unreadable));
    let changes = host.on_changes(ms(1), Table::Servers, vec![unreadable]);
    assert_eq!(changes, [StateChange::Server("s-a1-0".into(), ServerState::Unreadable)]);
    assert_eq!(host.servers().all().count(), all - 1);
    let route = route(Repeatability::Safe, &[]);
    for key in 0..50 {
        if let elmstream_steer::Pick::Send(index) = send(&mut host, ms(2), &route, key) {
            assert_ne!(id(&host, index), "s-a1-0");
        }
    }
    // Once it can be read again it is used again, and its end is told as ever.
    host.on_changes(ms(3), Table::Servers, vec![server("s-a1-0", "a1", 12)]);
    assert_eq!(host.servers().all().count(), all);
    host.on_changes(ms(4), Table::Servers, vec![tombstone(key, 13)]);
    assert_eq!(host.servers().all().count(), all - 1);
}
