//! When a backend server is left for its silence, and when it is back.

mod support;

use elmstream_steer::{
    Pick, Steer,
    model::Repeatability,
    servers::{Outcome, ServerIndex},
    view::Row,
};
use support::{exchange_heartbeats, id, ms, ready, route, send, server};

/// Hosts of the fleet; some more than must agree that a server is silent.
const HOSTS: usize = 12;

fn rows() -> Vec<Row> {
    let mut rows = vec![server("mute", "a1", 10)];
    rows.extend((0..7).map(|n| server(&format!("well-{n}"), "a1", 10)));
    rows
}

fn fleet() -> Vec<Steer> {
    let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), rows())).collect();
    exchange_heartbeats(ms(0), &mut fleet, |_, _| true);
    fleet
}

/// A key that belongs to a server.
fn key_of(steer: &mut Steer, at: u64, name: &str) -> u64 {
    let found = (0..1_000).find(|key| {
        let Pick::Send(index) = send(steer, ms(at), &route(Repeatability::Once, &[]), *key) else {
            return false;
        };
        let meant = id(steer, index) == name;
        steer.record_outcome(ms(at), index, Outcome::CallerGone);
        meant
    });
    found.expect("each server has some keys")
}

fn to(steer: &mut Steer, at: u64, key: u64) -> Option<ServerIndex> {
    match send(steer, ms(at), &route(Repeatability::Once, &[]), key) {
        Pick::Send(index) => Some(index),
        Pick::Refuse(_) => None,
    }
}

/// Sends a request of the key, which gets no answer for 800 ms.
fn unanswered(steer: &mut Steer, at: u64, key: u64) {
    if let Some(index) = to(steer, at, key) {
        steer.record_outcome(ms(at + 800), index, Outcome::Silent);
    }
}

fn goes_to(steer: &mut Steer, at: u64, key: u64, name: &str) -> bool {
    let Some(index) = to(steer, at, key) else { return false };
    steer.record_outcome(ms(at), index, Outcome::CallerGone);
    id(steer, index) == name
}

#[test]
fn one_hosts_silence_does_not_take_a_server_from_the_others() {
    let mut fleet = fleet();
    let key = key_of(&mut fleet[0], 5, "mute");
    unanswered(&mut fleet[0], 10, key);
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    for (number, host) in fleet.iter_mut().enumerate().skip(1) {
        assert!(goes_to(host, 830, key, "mute"), "host {number} left it");
    }
}

#[test]
fn a_server_that_several_hosts_wait_for_in_vain_is_left_by_all() {
    let mut fleet = fleet();
    let key = key_of(&mut fleet[0], 5, "mute");
    for host in &mut fleet[..3] {
        unanswered(host, 10, key);
    }
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    for host in &mut fleet {
        assert!(!goes_to(host, 830, key, "mute"));
    }
}

#[test]
fn an_answer_to_any_host_brings_a_server_back_within_two_rounds_of_beats() {
    let mut fleet = fleet();
    let key = key_of(&mut fleet[0], 5, "mute");
    let late = to(&mut fleet[5], 600, key).expect("nobody has left it yet");
    for host in &mut fleet[..3] {
        unanswered(host, 10, key);
    }
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    assert!(!goes_to(&mut fleet[8], 830, key, "mute"));
    fleet[5].record_outcome(ms(840), late, Outcome::Answered { micros: 240_000, was_warm: true });
    exchange_heartbeats(ms(870), &mut fleet, |_, _| true);
    for (number, host) in fleet.iter_mut().enumerate() {
        assert!(goes_to(host, 930, key, "mute"), "host {number} still leaves it");
    }
}

#[test]
fn silence_with_nothing_in_flight_ends_and_one_request_tries_even_if_it_runs_once() {
    let mut host = ready(0, ms(0), rows());
    let key = key_of(&mut host, 5, "mute");
    unanswered(&mut host, 10, key);
    assert!(!goes_to(&mut host, 1_000, key, "mute"), "it has just been silent");
    let first = to(&mut host, 2_500, key).expect("others are idle");
    assert_eq!(id(&host, first), "mute", "a service without repeatable requests tries, too");
    assert!(!goes_to(&mut host, 2_510, key, "mute"), "one request at a time tries");
    let knew = host.record_warm_key(ms(2_520), first, key);
    host.record_outcome(ms(2_600), first, Outcome::Answered { micros: 100_000, was_warm: knew });
    let second = to(&mut host, 2_610, key).expect("others are idle");
    assert_eq!(id(&host, second), "mute");
    assert!(goes_to(&mut host, 2_620, key, "mute"), "more than one request at a time again");
}

#[test]
fn a_server_that_stays_silent_is_tried_less_and_less_often() {
    let mut host = ready(0, ms(0), rows());
    let key = key_of(&mut host, 5, "mute");
    let mut tries = Vec::new();
    let mut at = 10;
    while at < 20_000 {
        let index = to(&mut host, at, key).expect("others are idle");
        if id(&host, index) == "mute" {
            tries.push(at);
            host.record_outcome(ms(at + 800), index, Outcome::Silent);
            at += 800;
        } else {
            host.record_outcome(
                ms(at),
                index,
                Outcome::Answered { micros: 50_000, was_warm: true },
            );
        }
        at += 20;
    }
    assert!((4..=8).contains(&tries.len()), "{tries:?}");
}

#[test]
fn a_caller_who_leaves_early_says_nothing_of_the_server() {
    let mut host = ready(0, ms(0), rows());
    let key = key_of(&mut host, 5, "mute");
    let index = to(&mut host, 10, key).expect("all are idle");
    host.record_outcome(ms(310), index, Outcome::CallerGone);
    assert!(goes_to(&mut host, 320, key, "mute"));
    assert!(goes_to(&mut host, 5_000, key, "mute"));
}

#[test]
fn a_host_to_which_most_servers_are_silent_is_not_believed() {
    let mut fleet = fleet();
    let keys: Vec<u64> = (0..8)
        .map(|n| match n {
            0 => "mute".to_owned(),
            n => format!("well-{}", n - 1),
        })
        .map(|name| key_of(&mut fleet[0], 5, &name))
        .collect();
    for host in &mut fleet[..3] {
        let open: Vec<ServerIndex> = keys.iter().filter_map(|key| to(host, 10, *key)).collect();
        for index in open {
            host.record_outcome(ms(810), index, Outcome::Silent);
        }
    }
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    assert!(goes_to(&mut fleet[6], 830, keys[0], "mute"));
}
