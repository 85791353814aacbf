//! How long requests may wait, and where they go when servers are short.

mod support;

use elmstream_steer::{
    Pick, Steer,
    model::{Repeatability, Route},
    servers::{Outcome, ServerIndex},
    view::{Row, Table},
};
use support::{id, ms, ready, route, send, server, with};

fn key_of(steer: &mut Steer, at: u64, name: &str) -> u64 {
    let found = (0..1_000).find(|key| {
        let Pick::Send(index) = send(steer, ms(at), &once(), *key) else { return false };
        let meant = id(steer, index) == name;
        steer.record_outcome(ms(at), index, Outcome::CallerGone);
        meant
    });
    found.expect("each server has some keys")
}

fn once() -> Route {
    route(Repeatability::Once, &[])
}

/// Where a request of the key goes that is answered at once.
fn answered_by(steer: &mut Steer, at: u64, key: u64) -> Option<String> {
    let Pick::Send(index) = send(steer, ms(at), &once(), key) else { return None };
    steer.record_outcome(ms(at), index, Outcome::Answered { micros: 150_000, was_warm: true });
    Some(id(steer, index))
}

fn to(steer: &mut Steer, at: u64, key: u64) -> Option<String> {
    match send(steer, ms(at), &once(), key) {
        Pick::Send(index) => Some(id(steer, index)),
        Pick::Refuse(_) => None,
    }
}

fn taken(route: &Route) -> usize {
    let mut host = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let sent = |key: &u64| matches!(send(&mut host, ms(10), route, *key), Pick::Send(_));
    (0..40).take_while(sent).count()
}

#[test]
fn a_caller_waits_a_little_beyond_the_objective_rather_than_be_refused() {
    // Six slots, 25 ms of wait for each request ahead, 150 ms of work, 300 ms aimed at.
    let taken = taken(&once());
    assert!((14..=17).contains(&taken), "{taken} requests at six slots");
}

#[test]
fn less_urgent_requests_wait_as_long_as_urgent_ones() {
    assert_eq!(taken(&Route { priority: 3, ..once() }), taken(&once()));
}

#[test]
fn a_full_servers_key_goes_to_another_one_at_two_thirds_of_the_slots() {
    let names = ["full", "other-1", "other-2", "other-3"];
    let rows: Vec<Row> = names.iter().map(|name| server(name, "a1", 10)).collect();
    let mut host = ready(0, ms(0), rows);
    let keys: Vec<u64> = names.iter().map(|name| key_of(&mut host, 5, name)).collect();
    for key in &keys[1..] {
        for _ in 0..3 {
            to(&mut host, 10, *key).expect("three of six slots");
        }
    }
    // With those, 15 of 24 slots are occupied.
    for _ in 0..6 {
        assert_eq!(to(&mut host, 10, keys[0]).as_deref(), Some("full"));
    }
    let later: Vec<Option<String>> = (0..6).map(|_| to(&mut host, 10, keys[0])).collect();
    let elsewhere = |name: &Option<String>| name.as_ref().is_some_and(|name| name != "full");
    assert!(later.iter().any(elsewhere), "{later:?}");
}

#[test]
fn a_cold_server_gets_no_request_that_it_would_not_answer_in_time() {
    let rows = vec![server("cold", "a1", 10), server("well", "a1", 10)];
    let mut host = ready(0, ms(0), rows);
    let unknown = key_of(&mut host, 5, "cold");
    let row = with(server("cold", "a1", 10), 20, |server| server.cold_ms = 5_000);
    host.on_changes(ms(100), Table::Servers, vec![row]);
    host.tick(ms(1_200));
    // 450 ms of work for a key that it does not know, twice that while it is cold; the
    // route's time-out is 800 ms.
    assert_eq!(to(&mut host, 1_300, unknown).as_deref(), Some("well"));
}

#[test]
fn a_cold_server_gets_requests_of_keys_that_it_knows() {
    let rows = vec![server("cold", "a1", 10), server("well", "a1", 10)];
    let mut host = ready(0, ms(0), rows);
    let known = key_of(&mut host, 5, "cold");
    let cold = host.servers().find("cold").expect("it is known");
    host.record_warm_key(ms(50), cold, known);
    let row = with(server("cold", "a1", 10), 20, |server| server.cold_ms = 5_000);
    host.on_changes(ms(100), Table::Servers, vec![row]);
    host.tick(ms(1_200));
    assert_eq!(to(&mut host, 1_300, known).as_deref(), Some("cold"));
}

fn answers(host: &mut Steer, from: u64, index: ServerIndex, outcome: Outcome) {
    for at in (from..from + 400).step_by(10) {
        let Pick::Send(sent) = send(host, ms(at), &once(), at) else { continue };
        let usual = Outcome::Answered { micros: 150_000, was_warm: false };
        host.record_outcome(ms(at), sent, if sent == index { outcome } else { usual });
    }
}

#[test]
fn a_server_that_was_slow_or_failed_is_used_again_after_a_while() {
    let slow = Outcome::Answered { micros: 4_000_000, was_warm: false };
    for outcome in [slow, Outcome::Failed] {
        let rows = vec![server("judged", "a1", 10), server("well", "a1", 10)];
        let mut host = ready(0, ms(0), rows);
        let key = key_of(&mut host, 5, "judged");
        let judged = host.servers().find("judged").expect("it is known");
        answers(&mut host, 100, judged, outcome);
        assert_eq!(answered_by(&mut host, 600, key).as_deref(), Some("well"), "{outcome:?}");
        assert_eq!(answered_by(&mut host, 40_000, key).as_deref(), Some("judged"), "{outcome:?}");
    }
}
