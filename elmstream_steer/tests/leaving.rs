//! Servers that said in an answer that they leave get nothing, whatever else is told.

mod support;

use elmstream_steer::{
    Pick, Steer,
    model::Repeatability,
    view::{RowKey, Table},
};
use support::{at, exchange_heartbeats, ms, ready, route, send, server, tombstone, with};

/// Whether a server gets any of many keys' requests.
fn used(host: &mut Steer, now: u64, id: &str) -> bool {
    let route = route(Repeatability::Safe, &[]);
    (0..200u64).any(|key| match send(host, ms(now), &route, key * 7_919) {
        Pick::Send(index) => support::id(host, index) == id,
        Pick::Refuse(_) => false,
    })
}

fn leaves(host: &mut Steer, now: u64, id: &str) {
    let index = host.servers().find(id).expect("it is known");
    host.on_server_leaving(ms(now), index);
}

fn two() -> Vec<elmstream_steer::view::Row> {
    vec![server("s", "a1", 10), server("t", "a1", 10)]
}

#[test]
fn no_entry_reading_or_table_takes_a_servers_word_back() {
    let mut host = ready(0, ms(0), two());
    assert!(used(&mut host, 1_000, "s"));
    leaves(&mut host, 1_000, "s");
    assert!(!used(&mut host, 1_000, "s"));
    let again = with(server("s", "a1", 20), 20, |server| server.entries = 7);
    host.on_changes(ms(1_100), Table::Servers, vec![again]);
    assert!(!used(&mut host, 1_100, "s"), "a newer entry that says ready");
    host.on_full_read(ms(1_200), Table::Servers, at(30), vec![server("t", "a1", 10)]);
    host.on_full_read(ms(1_300), Table::Servers, at(40), two());
    host.on_changes(ms(1_400), Table::Servers, vec![server("s", "a1", 50)]);
    assert!(!used(&mut host, 1_400, "s"), "an entry that went and came back");
}

#[test]
fn another_start_under_its_id_is_used() {
    let born = |number: u64, stored: u64| {
        with(server("s", "a1", stored), stored, |server| server.born = number)
    };
    let mut host = ready(0, ms(0), vec![born(1, 10), server("t", "a1", 10)]);
    leaves(&mut host, 1_000, "s");
    host.on_changes(ms(2_000), Table::Servers, vec![born(2, 20)]);
    assert!(used(&mut host, 2_000, "s"));
    // Of a server whose entry names no start, another address tells.
    leaves(&mut host, 2_000, "t");
    let moved = with(server("t", "a1", 30), 30, |server| server.address = support::address(77));
    host.on_changes(ms(3_000), Table::Servers, vec![moved]);
    assert!(used(&mut host, 3_000, "t"));
}

#[test]
fn hosts_tell_each_other_also_those_that_start_later() {
    let mut fleet: Vec<Steer> = (0..3).map(|n| ready(n, ms(0), two())).collect();
    leaves(&mut fleet[0], 1_000, "s");
    assert!(fleet[0].has_urgent_news(), "it is told at once");
    exchange_heartbeats(ms(1_050), &mut fleet, |_, _| true);
    assert!((0..3).all(|n| !used(&mut fleet[n], 1_060, "s")));
    // Whoever was answered is gone; those that were told tell on.
    fleet[0] = support::host_with_incarnation(0, ms(60_000), 2);
    fleet[0].on_full_read(ms(60_000), Table::Rules, at(10), vec![support::configuration(1, 10)]);
    fleet[0].on_full_read(ms(60_000), Table::Servers, at(10), two());
    exchange_heartbeats(ms(60_050), &mut fleet, |_, _| true);
    assert!(!used(&mut fleet[0], 60_060, "s"));
}

#[test]
fn a_server_that_leaves_is_gone_at_once_when_its_entry_goes() {
    let mut host = ready(0, ms(0), two());
    leaves(&mut host, 1_000, "s");
    // The store was away for long, so entries that went are kept for a while.
    host.on_changes(ms(9_000), Table::Servers, vec![tombstone(RowKey::Server("s".into()), 20)]);
    assert!(host.servers().find("s").is_none());
}

/// A server that said so and stayed, and whose entry never changed, is tried again after an
/// hour, though hosts tell each other all the time.
#[test]
fn a_word_is_forgotten_by_a_fleet_whose_hosts_tell_each_other() {
    let mut fleet: Vec<Steer> = (0..3).map(|n| ready(n, ms(0), two())).collect();
    leaves(&mut fleet[0], 1_000, "s");
    for at in (1..3_500).step_by(10) {
        exchange_heartbeats(ms(at * 1_000), &mut fleet, |_, _| true);
    }
    assert!((0..3).all(|n| !used(&mut fleet[n], 3_500_000, "s")));
    for at in (3_500..3_800).step_by(10) {
        exchange_heartbeats(ms(at * 1_000), &mut fleet, |_, _| true);
    }
    assert!((0..3).all(|n| used(&mut fleet[n], 3_800_000, "s")));
}
