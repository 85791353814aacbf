//! Age of tables that a host has from others.

mod support;

use elmstream::time::MILLI;
use elmstream_steer::{
    Steer,
    view::{TABLES, Table},
};
use support::{configuration, exchange_heartbeats, host, ms, ready, servers};

/// Age of a table that a host must not take for current, in milliseconds.
const OLD_MS: u64 = 5_000;
/// Three fifths of the bound on configurations, in milliseconds.
const OUTDATED_MS: u64 = 1_200;

fn age_ms(host: &Steer, at: u64) -> u64 {
    host.view().age(ms(at), Table::Rules).expect("the table is known") / MILLI
}

/// Gives a host all tables of another one.
fn fetch_tables(host: &mut Steer, from: &Steer, at: u64) {
    for table in TABLES {
        let rows = from.rows_for(ms(at), table, host.sync_request(table));
        host.on_table_rows(ms(at), table, rows);
    }
}

#[test]
fn starting_host_does_not_take_the_old_table_of_a_neighbour_for_current() {
    let old = ready(0, ms(0), servers(1));
    let mut started = host(1, ms(OLD_MS));
    fetch_tables(&mut started, &old, OLD_MS);
    assert_eq!(started.configuration_version(), Some(1));
    assert_eq!(age_ms(&started, OLD_MS), OLD_MS);
    assert!(!started.can_deny_routes(ms(OLD_MS)), "a route may have been added meanwhile");
}

#[test]
fn starting_host_reads_the_store_soon_if_its_neighbours_have_old_tables() {
    let old = ready(0, ms(0), servers(1));
    let mut started = host(1, ms(OLD_MS));
    fetch_tables(&mut started, &old, OLD_MS);
    let mut waits = 0..2_000;
    let read_at = waits.find(|wait| started.due_read(ms(OLD_MS + wait), Table::Rules).is_some());
    assert!(read_at.is_some_and(|wait| wait <= 500), "{read_at:?}");
}

#[test]
fn read_by_an_unknown_reader_does_not_make_a_table_younger_than_the_read() {
    let mut fleet = vec![ready(0, ms(0), servers(1)), ready(1, ms(100), servers(1))];
    exchange_heartbeats(ms(OLD_MS), &mut fleet, |_, _| true);
    for host in &fleet {
        assert_eq!(age_ms(host, OLD_MS), OLD_MS - 100);
    }
}

#[test]
fn next_read_of_a_reader_makes_the_table_current() {
    let mut old = ready(0, ms(0), servers(1));
    let mut started = host(1, ms(OLD_MS));
    fetch_tables(&mut started, &old, OLD_MS);
    let read_at = ms(OLD_MS + 400);
    old.on_full_read(read_at, Table::Rules, support::at(10), vec![configuration(1, 10)]);
    let mut fleet = vec![old, started];
    exchange_heartbeats(ms(OLD_MS + 500), &mut fleet, |_, _| true);
    assert!(age_ms(&fleet[1], OLD_MS + 500) <= 100, "{}", age_ms(&fleet[1], OLD_MS + 500));
    assert!(fleet[1].can_deny_routes(ms(OLD_MS + 500)));
}

#[test]
fn homes_are_outdated_while_an_announced_configuration_is_missing_for_long() {
    let mut fleet = vec![ready(0, ms(0), servers(1)), ready(1, ms(0), servers(1))];
    fleet[0].on_changes(ms(100), Table::Rules, vec![configuration(2, 30)]);
    for at in (100..=4_000).step_by(100) {
        exchange_heartbeats(ms(at), &mut fleet, |_, _| true);
        assert!(!fleet[0].homes_are_outdated(ms(at)));
        assert_eq!(fleet[1].homes_are_outdated(ms(at)), at >= 100 + OUTDATED_MS, "at {at}");
    }
    let (newer, older) = fleet.split_at_mut(1);
    fetch_tables(&mut older[0], &newer[0], 4_000);
    assert!(!older[0].homes_are_outdated(ms(4_000)));
}

#[test]
fn rules_are_outdated_while_most_hosts_know_newer_ones_and_this_host_cannot_get_them() {
    let mut fleet: Vec<Steer> = (0..4).map(|number| ready(number, ms(0), servers(1))).collect();
    for host in &mut fleet[..2] {
        host.on_changes(ms(100), Table::Rules, vec![configuration(2, 30)]);
    }
    for at in (100..=2_000).step_by(100) {
        exchange_heartbeats(ms(at), &mut fleet, |_, _| true);
        assert!(
            fleet.iter().all(|host| !host.rules_are_outdated(ms(at))),
            "half know them at {at}"
        );
    }
    fleet[2].on_changes(ms(2_000), Table::Rules, vec![configuration(2, 30)]);
    for at in (2_100..=4_000).step_by(100) {
        exchange_heartbeats(ms(at), &mut fleet, |_, _| true);
        assert!(fleet[..3].iter().all(|host| !host.rules_are_outdated(ms(at))));
    }
    assert!(fleet[3].rules_are_outdated(ms(4_000)));
    let (newer, older) = fleet.split_at_mut(3);
    fetch_tables(&mut older[0], &newer[0], 4_000);
    assert!(!older[0].rules_are_outdated(ms(4_000)));
}

#[test]
fn hosts_that_were_not_heard_since_an_announcement_do_not_make_rules_outdated() {
    let mut fleet: Vec<Steer> = (0..4).map(|number| ready(number, ms(0), servers(1))).collect();
    exchange_heartbeats(ms(50), &mut fleet, |_, _| true);
    fleet[0].on_changes(ms(100), Table::Rules, vec![configuration(2, 30)]);
    for at in (100..=2_000).step_by(100) {
        exchange_heartbeats(ms(at), &mut fleet, |from, _| from == 0);
        assert!(!fleet[3].rules_are_outdated(ms(at)), "one host is no majority");
    }
}

#[test]
fn homes_are_outdated_although_an_older_configuration_than_the_announced_one_arrived() {
    let mut fleet: Vec<Steer> = (0..3).map(|number| ready(number, ms(0), servers(1))).collect();
    fleet[1].on_changes(ms(100), Table::Rules, vec![configuration(2, 30)]);
    exchange_heartbeats(ms(150), &mut fleet, |_, _| true);
    fleet[0].on_changes(ms(160), Table::Rules, vec![configuration(3, 40)]);
    // Host 2 hears of configuration 3 from now on, host 1 does not.
    for at in (200..=3_000).step_by(100) {
        exchange_heartbeats(ms(at), &mut fleet, |from, to| (from, to) == (0, 2));
        if at == 1_300 {
            let (newer, older) = fleet.split_at_mut(2);
            fetch_tables(&mut older[0], &newer[1], at);
            assert_eq!(older[0].configuration_version(), Some(2));
        }
        if at >= 200 + 2_000 {
            let outdated = fleet[2].homes_are_outdated(ms(at));
            assert!(outdated, "configuration 3 was heard of {} ms ago, bound 2,000", at - 200);
        }
    }
}

#[test]
fn routes_are_not_denied_after_an_older_configuration_than_the_announced_one_arrived() {
    let mut fleet: Vec<Steer> = (0..3).map(|number| ready(number, ms(0), servers(1))).collect();
    fleet[1].on_changes(ms(100), Table::Rules, vec![configuration(2, 30)]);
    exchange_heartbeats(ms(150), &mut fleet, |_, _| true);
    fleet[0].on_changes(ms(160), Table::Rules, vec![configuration(3, 40)]);
    exchange_heartbeats(ms(200), &mut fleet, |from, _| from == 0);
    let (newer, older) = fleet.split_at_mut(2);
    assert!(!older[0].can_deny_routes(ms(210)));
    fetch_tables(&mut older[0], &newer[1], 220);
    assert!(!older[0].can_deny_routes(ms(230)), "configuration 3 was announced at 200");
}

#[test]
fn hosts_that_do_not_serve_callers_do_not_make_rules_outdated() {
    let mut fleet = vec![ready(0, ms(0), servers(1)), host(1, ms(0)), host(2, ms(0))];
    for started in &mut fleet[1..] {
        // They know the newest rules, but no servers yet.
        started.on_full_read(ms(100), Table::Rules, support::at(30), vec![configuration(2, 30)]);
        assert!(!started.serves());
    }
    for at in (100..=2_000).step_by(100) {
        exchange_heartbeats(ms(at), &mut fleet, |_, _| true);
        assert!(!fleet[0].rules_are_outdated(ms(at)), "no other host can serve, at {at}");
    }
}
