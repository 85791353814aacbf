//! Who keeps the store's list of hosts, and what is changed in it.

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

/// Lets the fleet beat until a time after `from`, in milliseconds.
fn rest(fleet: &mut [Steer], from: u64, until: u64, heard: impl Fn(usize) -> bool) {
    for at in (from..until).step_by(100) {
        exchange_heartbeats(ms(at), fleet, |a, b| heard(a) && heard(b));
    }
}

#[test]
fn one_host_writes_down_all_and_writes_nothing_once_they_are_listed() {
    let mut fleet = fleet();
    let first = FIRST_UPDATE_AFTER / MILLI;
    rest(&mut fleet, 100, first + 100, |_| true);
    let now = ms(first);
    let keepers: Vec<usize> = (0..HOSTS).filter(|n| fleet[*n].host_list_due(now)).collect();
    assert_eq!(keepers.len(), 1, "{keepers:?}");
    let keeper = keepers[0];
    let edit = fleet[keeper].on_registered_hosts(now, &[listed(3)]);
    let mut put = edit.put;
    put.sort();
    let mut all: Vec<RegisteredHost> = (0..HOSTS).filter(|n| *n != 3).map(listed).collect();
    all.sort();
    assert_eq!((put, edit.remove), (all, Vec::new()));
    assert!((0..HOSTS).all(|n| !fleet[n].host_list_due(now)), "it was just looked at");
    let next = first + UPDATE_INTERVAL / MILLI;
    rest(&mut fleet, first + 100, next + 100, |_| true);
    assert!(fleet[keeper].host_list_due(ms(next)));
    let all: Vec<RegisteredHost> = (0..HOSTS).map(listed).collect();
    assert_eq!(fleet[keeper].on_registered_hosts(ms(next), &all), RegistryEdit::default());
}

#[test]
fn another_host_keeps_the_list_if_the_keeper_is_gone() {
    let mut fleet = fleet();
    rest(&mut fleet, 100, 2_000, |_| true);
    let keeper = (0..HOSTS).find(|n| fleet[*n].host_list_due(ms(2_000))).expect("there is one");
    rest(&mut fleet, 2_000, 5_000, |n| n != keeper);
    let next: Vec<usize> =
        (0..HOSTS).filter(|n| *n != keeper && fleet[*n].host_list_due(ms(5_000))).collect();
    assert_eq!(next.len(), 1, "{next:?}");
}

#[test]
fn only_hosts_that_have_been_gone_for_long_are_taken_off() {
    let mut fleet = fleet();
    rest(&mut fleet, 100, 2_000, |_| true);
    let keeper = (0..HOSTS).find(|n| fleet[*n].host_list_due(ms(2_000))).expect("there is one");
    let gone = (keeper + 1) % HOSTS;
    let all: Vec<RegisteredHost> = (0..HOSTS).map(listed).collect();
    let kept = fleet[keeper].on_registered_hosts(ms(2_000), &all);
    assert_eq!(kept, RegistryEdit::default());
    // It keeps the list all the time, as it reads for all.
    for hour in 1..=3 {
        let at = hour * 3_600 * SECOND / MILLI;
        rest(&mut fleet, at - 200, at + 100, |n| n != gone);
        let read = |host: &mut Steer| {
            for table in elmstream_steer::view::TABLES {
                host.on_changes(ms(at), table, Vec::new());
            }
        };
        fleet.iter_mut().for_each(read);
        let edit = fleet[keeper].on_registered_hosts(ms(at), &all);
        let expected =
            if at * MILLI > REMOVE_AFTER { vec![format!("host-{gone}")] } else { Vec::new() };
        assert_eq!(edit.remove, expected, "after {hour} hours");
    }
}

#[test]
fn a_host_that_hears_few_others_takes_none_off() {
    let mut alone = ready(0, ms(0), servers(1));
    let at = 2 * REMOVE_AFTER / MILLI;
    alone.tick(ms(at));
    let all: Vec<RegisteredHost> = (0..HOSTS).map(listed).collect();
    assert!(alone.host_list_due(ms(at)));
    assert_eq!(alone.on_registered_hosts(ms(at), &all).remove, Vec::<String>::new());
}

#[test]
fn a_host_that_starts_learns_from_the_list_where_the_others_are() {
    let mut new = host(0, ms(0));
    new.request_host_list();
    assert!(!new.has_host_list());
    assert!(new.host_list_due(ms(60)), "it knows nobody, so it does not wait for others");
    let all: Vec<RegisteredHost> = (0..HOSTS).map(listed).collect();
    assert_eq!(new.on_registered_hosts(ms(60), &all), RegistryEdit::default());
    assert!(new.has_host_list());
    assert_eq!(new.targets(ms(100), 1,).near.len(), HOSTS - 1);
}
