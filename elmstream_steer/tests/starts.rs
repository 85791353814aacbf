//! Servers that restart under their ids, and entries that cannot be parsed.

mod support;

use elmstream_steer::{
    Bounds, Pick,
    model::Repeatability,
    policies::Policies,
    servers::Outcome,
    steer::{ServerState, StateChange},
    view::{Row, RowContent, RowKey, Table},
};
use support::{address, at, domains, id, ms, ready, route, send, server, servers, tombstone, with};

const KEY: u64 = 7;

/// The same server with another instance.
fn next_instance(row: Row, stored: u64) -> Row {
    with(row, stored, |server| server.born += 1)
}

#[test]
fn restarted_server_has_no_warm_keys_and_no_load() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let route = route(Repeatability::Safe, &[]);
    for _ in 0..3 {
        send(&mut host, ms(1), &route, KEY);
    }
    let old = host.servers().find("s").expect("the server is listed");
    host.record_warm_key(ms(1), old, KEY);
    host.record_server_load(ms(1), old, 5);
    host.record_outcome(ms(700), old, Outcome::CallerGone);
    assert!(host.is_warm(ms(701), old, KEY));
    assert!(host.servers().get(old).expect("the server is listed").is_probing());
    let changes =
        host.on_changes(ms(702), Table::Servers, vec![next_instance(server("s", "a1", 10), 11)]);
    assert!(changes.contains(&StateChange::Server("s".into(), ServerState::Restarted)));
    let new = host.servers().find("s").expect("the server is listed");
    let entry = host.servers().get(new).expect("the server is listed");
    assert_ne!(old, new);
    assert_eq!((entry.own_in_flight, entry.in_flight(ms(702)), entry.is_probing()), (0, 0, false));
    assert!(!host.is_warm(ms(702), new, KEY));
    // Outcomes of requests to the previous instance do not affect the new one.
    host.record_outcome(ms(703), old, Outcome::Silent);
    assert_eq!(host.servers().get(new).expect("the server is listed").own_in_flight, 0);
    assert!(matches!(send(&mut host, ms(704), &route, KEY), Pick::Send(_)));
}

#[test]
fn delayed_older_entry_is_ignored() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    host.on_changes(ms(1), Table::Servers, vec![next_instance(server("s", "a1", 10), 12)]);
    let index = host.servers().find("s").expect("the server is listed");
    assert!(host.on_changes(ms(2), Table::Servers, vec![server("s", "a1", 11)]).is_empty());
    assert_eq!(host.servers().find("s"), Some(index));
    assert_eq!(host.servers().get(index).expect("the server is listed").server.born, 1);
}

#[test]
fn changed_service_or_address_means_another_instance() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    host.on_changes(
        ms(1),
        Table::Servers,
        vec![with(server("s", "a1", 10), 11, |server| server.service = "other".into())],
    );
    assert_eq!(
        host.servers().of_service("shop").count(),
        0,
        "the server no longer belongs to the old service"
    );
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
fn only_the_server_with_an_unreadable_entry_is_dropped() {
    let mut host = ready(0, ms(0), servers(1));
    let all = host.servers().all().count();
    let key = RowKey::Server("s-a1-0".into());
    let unreadable = Row::new(key.clone(), at(11), Some(RowContent::Unreadable));
    let changes = host.on_changes(ms(1), Table::Servers, vec![unreadable]);
    assert_eq!(changes, [StateChange::Server("s-a1-0".into(), ServerState::Unreadable)]);
    assert_eq!(host.servers().all().count(), all - 1);
    let route = route(Repeatability::Safe, &[]);
    for key in 0..50 {
        if let Pick::Send(index) = send(&mut host, ms(2), &route, key) {
            assert_ne!(id(&host, index), "s-a1-0");
        }
    }
    // Once the entry is readable the server is used again, and its deletion applies as usual.
    host.on_changes(ms(3), Table::Servers, vec![server("s-a1-0", "a1", 12)]);
    assert_eq!(host.servers().all().count(), all);
    host.on_changes(ms(4), Table::Servers, vec![tombstone(key, 13)]);
    assert_eq!(host.servers().all().count(), all - 1);
}

#[test]
fn server_whose_entry_changes_its_domain_gets_no_requests_for_the_homes_of_the_old_one() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let in_a = route(Repeatability::Safe, &["a"]);
    assert!(matches!(send(&mut host, ms(1), &in_a, KEY), Pick::Send(_)));
    let moved = with(server("s", "a1", 10), 11, |server| server.domain = "b1".into());
    host.on_changes(ms(2), Table::Servers, vec![moved]);
    assert!(matches!(send(&mut host, ms(3), &in_a, KEY), Pick::Refuse(_)));
    let in_b = route(Repeatability::Safe, &["b"]);
    assert!(matches!(send(&mut host, ms(4), &in_b, KEY), Pick::Send(_)));
}

#[test]
fn servers_count_to_the_regions_that_changed_settings_name() {
    let mut host = ready(0, ms(0), vec![server("s", "new", 10)]);
    let in_a = route(Repeatability::Safe, &["a"]);
    assert!(matches!(send(&mut host, ms(1), &in_a, KEY), Pick::Refuse(_)));
    for (at, region, is_sent) in [(2, "a", true), (3, "b", false)] {
        let mut domains = domains();
        domains.insert("new".into(), region.into());
        host.reconfigure(domains, Bounds::default(), Policies::default());
        let picked = send(&mut host, ms(at), &in_a, KEY);
        assert_eq!(matches!(picked, Pick::Send(_)), is_sent, "{region}");
    }
}
