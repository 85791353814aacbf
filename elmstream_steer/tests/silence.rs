//! When a silent backend server is avoided, and when it is used again.

mod support;

use elmstream_steer::{
    Pick, Steer,
    model::Repeatability,
    servers::{Outcome, ServerIndex},
    view::Row,
};
use support::{exchange_heartbeats, id, ms, ready, route, send, server};

/// Number of hosts in the fleet; more than the number that must agree that a server is silent.
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

/// A key that rendezvous hashing assigns to a server.
fn key_of(steer: &mut Steer, at: u64, name: &str) -> u64 {
    let found = (0..1_000).find(|key| {
        let Pick::Send(index) = send(steer, ms(at), &route(Repeatability::Once, &[]), *key) else {
            return false;
        };
        let matches = id(steer, index) == name;
        steer.record_outcome(ms(at), index, Outcome::CallerGone);
        matches
    });
    found.expect("each server has some of the keys")
}

fn pick_for(steer: &mut Steer, at: u64, key: u64) -> Option<ServerIndex> {
    match send(steer, ms(at), &route(Repeatability::Once, &[]), key) {
        Pick::Send(index) => Some(index),
        Pick::Refuse(_) => None,
    }
}

/// Sends a request of the key that gets no answer for 800 ms.
fn send_unanswered(steer: &mut Steer, at: u64, key: u64) {
    if let Some(index) = pick_for(steer, at, key) {
        steer.record_outcome(ms(at + 800), index, Outcome::Silent);
    }
}

fn is_sent_to(steer: &mut Steer, at: u64, key: u64, name: &str) -> bool {
    let Some(index) = pick_for(steer, at, key) else { return false };
    steer.record_outcome(ms(at), index, Outcome::CallerGone);
    id(steer, index) == name
}

#[test]
fn silence_at_one_host_does_not_affect_other_hosts() {
    let mut fleet = fleet();
    let key = key_of(&mut fleet[0], 5, "mute");
    send_unanswered(&mut fleet[0], 10, key);
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    for (number, host) in fleet.iter_mut().enumerate().skip(1) {
        assert!(is_sent_to(host, 830, key, "mute"), "host {number} avoids the server");
    }
}

#[test]
fn server_silent_to_several_hosts_is_avoided_by_all() {
    let mut fleet = fleet();
    let key = key_of(&mut fleet[0], 5, "mute");
    for host in &mut fleet[..3] {
        send_unanswered(host, 10, key);
    }
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    for host in &mut fleet {
        assert!(!is_sent_to(host, 830, key, "mute"));
    }
}

#[test]
fn answer_to_any_host_readmits_a_server_within_two_heartbeat_rounds() {
    let mut fleet = fleet();
    let key = key_of(&mut fleet[0], 5, "mute");
    let late = pick_for(&mut fleet[5], 600, key).expect("no host avoids the server yet");
    for host in &mut fleet[..3] {
        send_unanswered(host, 10, key);
    }
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    assert!(!is_sent_to(&mut fleet[8], 830, key, "mute"));
    fleet[5].record_outcome(ms(840), late, Outcome::Answered { micros: 240_000, was_warm: true });
    exchange_heartbeats(ms(870), &mut fleet, |_, _| true);
    for (number, host) in fleet.iter_mut().enumerate() {
        assert!(is_sent_to(host, 930, key, "mute"), "host {number} still avoids the server");
    }
}

#[test]
fn silent_server_is_probed_by_one_request_even_if_not_repeatable() {
    let mut host = ready(0, ms(0), rows());
    let key = key_of(&mut host, 5, "mute");
    send_unanswered(&mut host, 10, key);
    assert!(!is_sent_to(&mut host, 1_000, key, "mute"), "the server was silent just now");
    let first = pick_for(&mut host, 2_500, key).expect("others are idle");
    assert_eq!(id(&host, first), "mute", "requests that must not be repeated serve as probes, too");
    assert!(!is_sent_to(&mut host, 2_510, key, "mute"), "only one request probes at a time");
    let was_warm = host.record_warm_key(ms(2_520), first, key);
    host.record_outcome(ms(2_600), first, Outcome::Answered { micros: 100_000, was_warm });
    let second = pick_for(&mut host, 2_610, key).expect("others are idle");
    assert_eq!(id(&host, second), "mute");
    assert!(is_sent_to(&mut host, 2_620, key, "mute"), "more than one request at a time again");
}

#[test]
fn probes_of_a_silent_server_become_rarer() {
    let mut host = ready(0, ms(0), rows());
    let key = key_of(&mut host, 5, "mute");
    let mut probes = Vec::new();
    let mut at = 10;
    while at < 20_000 {
        let index = pick_for(&mut host, at, key).expect("others are idle");
        if id(&host, index) == "mute" {
            probes.push(at);
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
    assert!((4..=8).contains(&probes.len()), "{probes:?}");
}

#[test]
fn early_disconnect_of_a_caller_does_not_count_as_silence() {
    let mut host = ready(0, ms(0), rows());
    let key = key_of(&mut host, 5, "mute");
    let index = pick_for(&mut host, 10, key).expect("all are idle");
    host.record_outcome(ms(310), index, Outcome::CallerGone);
    assert!(is_sent_to(&mut host, 320, key, "mute"));
    assert!(is_sent_to(&mut host, 5_000, key, "mute"));
}

#[test]
fn host_with_mostly_silent_servers_is_not_believed() {
    let mut fleet = fleet();
    let keys: Vec<u64> = (0..8)
        .map(|n| match n {
            0 => "mute".to_owned(),
            n => format!("well-{}", n - 1),
        })
        .map(|name| key_of(&mut fleet[0], 5, &name))
        .collect();
    for host in &mut fleet[..3] {
        let sent: Vec<ServerIndex> =
            keys.iter().filter_map(|key| pick_for(host, 10, *key)).collect();
        for index in sent {
            host.record_outcome(ms(810), index, Outcome::Silent);
        }
    }
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    assert!(is_sent_to(&mut fleet[6], 830, keys[0], "mute"));
}

#[test]
fn connection_that_fails_without_a_response_is_no_answer() {
    let mut fleet = fleet();
    let key = key_of(&mut fleet[0], 5, "mute");
    let cut = pick_for(&mut fleet[5], 600, key).expect("no host avoids the server yet");
    for host in &mut fleet[..3] {
        send_unanswered(host, 10, key);
    }
    exchange_heartbeats(ms(820), &mut fleet, |_, _| true);
    fleet[5].record_outcome(ms(840), cut, Outcome::NoResponse);
    exchange_heartbeats(ms(870), &mut fleet, |_, _| true);
    for host in &mut fleet {
        assert!(!is_sent_to(host, 930, key, "mute"));
    }
}
