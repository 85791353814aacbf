//! A server that announced in an answer that it is leaving receives nothing, whatever other sources
//! say.

mod support;

use elmstream_steer::{
    Pick, Steer,
    model::Repeatability,
    view::{RowKey, Table},
};
use support::{at, exchange_heartbeats, ms, ready, route, send, server, tombstone, with};

/// Whether a server receives any request out of many keys.
fn is_used(host: &mut Steer, now: u64, id: &str) -> bool {
    let route = route(Repeatability::Safe, &[]);
    (0..200u64).any(|key| match send(host, ms(now), &route, key * 7_919) {
        Pick::Send(index) => support::id(host, index) == id,
        Pick::Refuse(_) => false,
    })
}

fn announce_leaving(host: &mut Steer, now: u64, id: &str) {
    let index = host.servers().find(id).expect("server is listed");
    host.on_server_leaving(ms(now), index);
}

fn two_servers() -> Vec<elmstream_steer::view::Row> {
    vec![server("s", "a1", 10), server("t", "a1", 10)]
}

#[test]
fn no_entry_read_or_table_revokes_an_announcement() {
    let mut host = ready(0, ms(0), two_servers());
    assert!(is_used(&mut host, 1_000, "s"));
    announce_leaving(&mut host, 1_000, "s");
    assert!(!is_used(&mut host, 1_000, "s"));
    let again = with(server("s", "a1", 20), 20, |server| server.entries = 7);
    host.on_changes(ms(1_100), Table::Servers, vec![again]);
    assert!(!is_used(&mut host, 1_100, "s"), "newer entry that says ready");
    host.on_full_read(ms(1_200), Table::Servers, at(30), vec![server("t", "a1", 10)]);
    host.on_full_read(ms(1_300), Table::Servers, at(40), two_servers());
    host.on_changes(ms(1_400), Table::Servers, vec![server("s", "a1", 50)]);
    assert!(!is_used(&mut host, 1_400, "s"), "entry that was deleted and written again");
}

#[test]
fn another_start_with_the_same_id_is_used() {
    let with_start = |number: u64, stored: u64| {
        with(server("s", "a1", stored), stored, |server| server.born = number)
    };
    let mut host = ready(0, ms(0), vec![with_start(1, 10), server("t", "a1", 10)]);
    announce_leaving(&mut host, 1_000, "s");
    host.on_changes(ms(2_000), Table::Servers, vec![with_start(2, 20)]);
    assert!(is_used(&mut host, 2_000, "s"));
    // A server whose entry names no start is recognized as another start by its address.
    announce_leaving(&mut host, 2_000, "t");
    let moved = with(server("t", "a1", 30), 30, |server| server.address = support::address(77));
    host.on_changes(ms(3_000), Table::Servers, vec![moved]);
    assert!(is_used(&mut host, 3_000, "t"));
}

#[test]
fn hosts_notify_each_other_and_hosts_that_start_later() {
    let mut fleet: Vec<Steer> = (0..3).map(|n| ready(n, ms(0), two_servers())).collect();
    announce_leaving(&mut fleet[0], 1_000, "s");
    assert!(fleet[0].has_urgent_news(), "a notice is sent at once");
    exchange_heartbeats(ms(1_050), &mut fleet, |_, _| true);
    assert!((0..3).all(|n| !is_used(&mut fleet[n], 1_060, "s")));
    // The host that received the answer is gone; the notified hosts notify others.
    fleet[0] = support::host_with_incarnation(0, ms(60_000), 2);
    fleet[0].on_full_read(ms(60_000), Table::Rules, at(10), vec![support::configuration(1, 10)]);
    fleet[0].on_full_read(ms(60_000), Table::Servers, at(10), two_servers());
    exchange_heartbeats(ms(60_050), &mut fleet, |_, _| true);
    assert!(!is_used(&mut fleet[0], 60_060, "s"));
}

#[test]
fn leaving_server_is_removed_at_once_with_its_entry() {
    let mut host = ready(0, ms(0), two_servers());
    announce_leaving(&mut host, 1_000, "s");
    // The store was unreachable for long, so deleted entries are retained for a while.
    host.on_changes(ms(9_000), Table::Servers, vec![tombstone(RowKey::Server("s".into()), 20)]);
    assert!(host.servers().find("s").is_none());
}

/// A server that stays after all, and whose entry never changes, must be used again after an hour.
/// Notices between hosts could otherwise keep the announcement alive forever.
#[test]
fn announcement_expires_though_hosts_notify_each_other() {
    let mut fleet: Vec<Steer> = (0..3).map(|n| ready(n, ms(0), two_servers())).collect();
    announce_leaving(&mut fleet[0], 1_000, "s");
    for at in (1..3_500).step_by(10) {
        exchange_heartbeats(ms(at * 1_000), &mut fleet, |_, _| true);
    }
    assert!((0..3).all(|n| !is_used(&mut fleet[n], 3_500_000, "s")));
    for at in (3_500..3_800).step_by(10) {
        exchange_heartbeats(ms(at * 1_000), &mut fleet, |_, _| true);
    }
    assert!((0..3).all(|n| is_used(&mut fleet[n], 3_800_000, "s")));
}
