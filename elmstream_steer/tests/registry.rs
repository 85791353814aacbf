//! Which host maintains the store's list of hosts, and what it changes.

mod support;

use elmstream::time::{MILLI, SECOND};
use elmstream_steer::{
    Steer,
    host_registry::{
        FIRST_UPDATE_AFTER, REMOVE_AFTER, RegisteredHost, RegistryEdit, UPDATE_INTERVAL,
    },
};
use support::{address, exchange_heartbeats, host, ms, ready, servers};

const HOSTS: usize = 12;

fn listed(number: usize) -> RegisteredHost {
    RegisteredHost { name: format!("host-{number}"), peers: address(2_000 + number) }
}

fn fleet() -> Vec<Steer> {
    let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(1))).collect();
    exchange_heartbeats(ms(0), &mut fleet, |_, _| true);
    fleet
}

/// Exchanges heartbeats from `from` until `until`, in milliseconds, between the hosts for which
/// `is_running` holds.
fn run_fleet(fleet: &mut [Steer], from: u64, until: u64, is_running: impl Fn(usize) -> bool) {
    for at in (from..until).step_by(100) {
        exchange_heartbeats(ms(at), fleet, |a, b| is_running(a) && is_running(b));
    }
}

#[test]
fn one_host_adds_all_others_and_changes_nothing_once_they_are_listed() {
    let mut fleet = fleet();
    let first = FIRST_UPDATE_AFTER / MILLI;
    run_fleet(&mut fleet, 100, first + 100, |_| true);
    let now = ms(first);
    let maintainers: Vec<usize> = (0..HOSTS).filter(|n| fleet[*n].host_list_due(now)).collect();
    assert_eq!(maintainers.len(), 1, "{maintainers:?}");
    let maintainer = maintainers[0];
    let edit = fleet[maintainer].on_registered_hosts(now, &[listed(3)]);
    let mut put = edit.put;
    put.sort();
    let mut all: Vec<RegisteredHost> = (0..HOSTS).filter(|n| *n != 3).map(listed).collect();
    all.sort();
    assert_eq!((put, edit.remove), (all, Vec::new()));
    assert!((0..HOSTS).all(|n| !fleet[n].host_list_due(now)), "the list was just checked");
    let next = first + UPDATE_INTERVAL / MILLI;
    run_fleet(&mut fleet, first + 100, next + 100, |_| true);
    assert!(fleet[maintainer].host_list_due(ms(next)));
    let all: Vec<RegisteredHost> = (0..HOSTS).map(listed).collect();
    assert_eq!(fleet[maintainer].on_registered_hosts(ms(next), &all), RegistryEdit::default());
}

#[test]
fn another_host_maintains_the_list_after_the_maintainer_is_lost() {
    let mut fleet = fleet();
    run_fleet(&mut fleet, 100, 2_000, |_| true);
    let maintainer = (0..HOSTS)
        .find(|n| fleet[*n].host_list_due(ms(2_000)))
        .expect("one host maintains the list");
    run_fleet(&mut fleet, 2_000, 5_000, |n| n != maintainer);
    let next: Vec<usize> =
        (0..HOSTS).filter(|n| *n != maintainer && fleet[*n].host_list_due(ms(5_000))).collect();
    assert_eq!(next.len(), 1, "{next:?}");
}

#[test]
fn only_hosts_gone_for_long_are_removed() {
    let mut fleet = fleet();
    run_fleet(&mut fleet, 100, 2_000, |_| true);
    let maintainer = (0..HOSTS)
        .find(|n| fleet[*n].host_list_due(ms(2_000)))
        .expect("one host maintains the list");
    let gone = (maintainer + 1) % HOSTS;
    let all: Vec<RegisteredHost> = (0..HOSTS).map(listed).collect();
    let unchanged = fleet[maintainer].on_registered_hosts(ms(2_000), &all);
    assert_eq!(unchanged, RegistryEdit::default());
    // The maintainer stays the same, as it keeps reading the store.
    for hour in 1..=3 {
        let at = hour * 3_600 * SECOND / MILLI;
        run_fleet(&mut fleet, at - 200, at + 100, |n| n != gone);
        let read = |host: &mut Steer| {
            for table in elmstream_steer::view::TABLES {
                host.on_changes(ms(at), table, Vec::new());
            }
        };
        fleet.iter_mut().for_each(read);
        let edit = fleet[maintainer].on_registered_hosts(ms(at), &all);
        let expected =
            if at * MILLI > REMOVE_AFTER { vec![format!("host-{gone}")] } else { Vec::new() };
        assert_eq!(edit.remove, expected, "after {hour} hours");
    }
}

#[test]
fn isolated_host_removes_none() {
    let mut alone = ready(0, ms(0), servers(1));
    let at = 2 * REMOVE_AFTER / MILLI;
    alone.tick(ms(at));
    let all: Vec<RegisteredHost> = (0..HOSTS).map(listed).collect();
    assert!(alone.host_list_due(ms(at)));
    assert_eq!(alone.on_registered_hosts(ms(at), &all).remove, Vec::<String>::new());
}

#[test]
fn starting_host_learns_the_others_from_the_list() {
    let mut new = host(0, ms(0));
    new.request_host_list();
    assert!(!new.has_host_list());
    assert!(new.host_list_due(ms(60)), "a host that knows no others does not wait for them");
    let all: Vec<RegisteredHost> = (0..HOSTS).map(listed).collect();
    assert_eq!(new.on_registered_hosts(ms(60), &all), RegistryEdit::default());
    assert!(new.has_host_list());
    assert_eq!(new.targets(ms(100), 1,).near.len(), HOSTS - 1);
}
