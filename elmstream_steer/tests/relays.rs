//! Which hosts relay requests of a host that does not reach the servers.

mod support;

use std::collections::BTreeSet;

use elmstream_steer::{Pick, Steer, homes::Homes, model::Repeatability, servers::Outcome};
use support::{SERVICE, exchange_heartbeats, host_number, ms, ready, route, send, servers};

/// Hosts 0, 1, 4 and 5 are in region a, 2, 3, 6 and 7 in region b.
const HOSTS: usize = 8;

fn fleet() -> Vec<Steer> {
    let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(4))).collect();
    exchange_heartbeats(ms(0), &mut fleet, |_, _| true);
    fleet
}

/// Makes the requests of a host fail at several servers.
fn cut(host: &mut Steer, at: u64) {
    let route = route(Repeatability::Safe, &[]);
    for key in 0..40 {
        if let Pick::Send(index) = send(host, ms(at), &route, key) {
            host.record_outcome(ms(at + 10), index, Outcome::NoConnection);
        }
    }
}

/// Numbers of the hosts that relay any of many requests.
fn relays(host: &Steer, at: u64, homes: &[String]) -> BTreeSet<usize> {
    let homes = Homes { route: homes, workspace: &[] };
    let drawn = (0..200).flat_map(|draw| host.relays(ms(at), SERVICE, homes, draw));
    drawn.map(|relay| host_number(relay.address)).collect()
}

#[test]
fn hosts_that_reach_no_server_relay_nothing() {
    let mut fleet = fleet();
    for number in [0, 4] {
        cut(&mut fleet[number], 10);
        assert!(fleet[number].is_cut(SERVICE));
    }
    exchange_heartbeats(ms(50), &mut fleet, |_, _| true);
    assert_eq!(relays(&fleet[0], 60, &[]), BTreeSet::from([1, 5]), "both of the own region");
    cut(&mut fleet[1], 70);
    cut(&mut fleet[5], 70);
    exchange_heartbeats(ms(100), &mut fleet, |_, _| true);
    assert_eq!(relays(&fleet[0], 110, &[]), BTreeSet::from([2, 3, 6, 7]), "other regions");
    assert!(relays(&fleet[0], 110, &["a".into()]).is_empty(), "no host in the home region");
}

#[test]
fn answer_of_any_server_ends_the_cut_at_all_hosts() {
    let mut fleet = fleet();
    cut(&mut fleet[0], 10);
    cut(&mut fleet[1], 10);
    exchange_heartbeats(ms(50), &mut fleet, |_, _| true);
    assert!(!relays(&fleet[0], 60, &[]).contains(&1));
    let check = fleet[1].path_checks(3)[0];
    fleet[1].record_path_back(ms(60), check);
    assert!(!fleet[1].is_cut(SERVICE) && fleet[1].path_checks(3).is_empty());
    exchange_heartbeats(ms(100), &mut fleet, |_, _| true);
    assert!(relays(&fleet[0], 110, &[]).contains(&1));
    // Servers that failed in that time are used again at once.
    let key_route = route(Repeatability::Safe, &[]);
    assert!(matches!(send(&mut fleet[1], ms(120), &key_route, 1), Pick::Send(_)));
}

#[test]
fn few_failures_or_failures_between_answers_are_no_cut() {
    let mut fleet = fleet();
    let route = route(Repeatability::Safe, &[]);
    for key in 0..40 {
        let Pick::Send(index) = send(&mut fleet[0], ms(10), &route, key) else { continue };
        let outcome = match key % 3 {
            2 => Outcome::Answered { micros: 50_000, was_warm: false },
            _ => Outcome::NoConnection,
        };
        fleet[0].record_outcome(ms(20), index, outcome);
        assert!(!fleet[0].is_cut(SERVICE), "after request {key}");
    }
}
