//! Maximum wait of requests, and server selection when servers are full, cold, slow or failing.

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
        let Pick::Send(index) = send(steer, ms(at), &once_route(), *key) else { return false };
        let is_wanted = id(steer, index) == name;
        steer.record_outcome(ms(at), index, Outcome::CallerGone);
        is_wanted
    });
    found.expect("each server has some keys")
}

fn once_route() -> Route {
    route(Repeatability::Once, &[])
}

/// Sends a request of the key that is answered at once, and returns its server.
fn answered_by(steer: &mut Steer, at: u64, key: u64) -> Option<String> {
    let Pick::Send(index) = send(steer, ms(at), &once_route(), key) else { return None };
    steer.record_outcome(ms(at), index, Outcome::Answered { micros: 150_000, was_warm: true });
    Some(id(steer, index))
}

fn send_to_server(steer: &mut Steer, at: u64, key: u64) -> Option<String> {
    match send(steer, ms(at), &once_route(), key) {
        Pick::Send(index) => Some(id(steer, index)),
        Pick::Refuse(_) => None,
    }
}

fn accepted(route: &Route) -> usize {
    let mut host = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let is_sent = |key: &u64| matches!(send(&mut host, ms(10), route, *key), Pick::Send(_));
    (0..40).take_while(is_sent).count()
}

#[test]
fn request_may_wait_slightly_beyond_the_objective() {
    // Six slots, 25 ms of wait for each request ahead, 150 ms of work, and an objective of 300 ms.
    let accepted = accepted(&once_route());
    assert!((14..=17).contains(&accepted), "{accepted} requests at six slots");
}

#[test]
fn priority_does_not_change_the_maximum_wait() {
    assert_eq!(accepted(&Route { priority: 3, ..once_route() }), accepted(&once_route()));
}

#[test]
fn key_of_full_server_spills_over_at_two_thirds_load() {
    let names = ["full", "other-1", "other-2", "other-3"];
    let rows: Vec<Row> = names.iter().map(|name| server(name, "a1", 10)).collect();
    let mut host = ready(0, ms(0), rows);
    let keys: Vec<u64> = names.iter().map(|name| key_of(&mut host, 5, name)).collect();
    for key in &keys[1..] {
        for _ in 0..3 {
            send_to_server(&mut host, 10, *key).expect("three of six slots");
        }
    }
    // With those, 15 of 24 slots are occupied.
    for _ in 0..6 {
        assert_eq!(send_to_server(&mut host, 10, keys[0]).as_deref(), Some("full"));
    }
    let later: Vec<Option<String>> =
        (0..6).map(|_| send_to_server(&mut host, 10, keys[0])).collect();
    let elsewhere = |name: &Option<String>| name.as_ref().is_some_and(|name| name != "full");
    assert!(later.iter().any(elsewhere), "{later:?}");
}

#[test]
fn cold_server_gets_no_request_that_would_time_out() {
    let rows = vec![server("cold", "a1", 10), server("well", "a1", 10)];
    let mut host = ready(0, ms(0), rows);
    let key = key_of(&mut host, 5, "cold");
    let row = with(server("cold", "a1", 10), 20, |server| server.cold_ms = 5_000);
    host.on_changes(ms(100), Table::Servers, vec![row]);
    host.tick(ms(1_200));
    // 450 ms of work for a key that is not warm, doubled while the server is cold; the route's
    // timeout is 800 ms.
    assert_eq!(send_to_server(&mut host, 1_300, key).as_deref(), Some("well"));
}

#[test]
fn cold_server_gets_requests_of_warm_keys() {
    let rows = vec![server("cold", "a1", 10), server("well", "a1", 10)];
    let mut host = ready(0, ms(0), rows);
    let key = key_of(&mut host, 5, "cold");
    let cold = host.servers().find("cold").expect("the server is known");
    host.record_warm_key(ms(50), cold, key);
    let row = with(server("cold", "a1", 10), 20, |server| server.cold_ms = 5_000);
    host.on_changes(ms(100), Table::Servers, vec![row]);
    host.tick(ms(1_200));
    assert_eq!(send_to_server(&mut host, 1_300, key).as_deref(), Some("cold"));
}

fn record_outcomes(host: &mut Steer, from: u64, index: ServerIndex, outcome: Outcome) {
    for at in (from..from + 400).step_by(10) {
        let Pick::Send(picked) = send(host, ms(at), &once_route(), at) else { continue };
        let usual = Outcome::Answered { micros: 150_000, was_warm: false };
        host.record_outcome(ms(at), picked, if picked == index { outcome } else { usual });
    }
}

#[test]
fn slow_or_failing_server_is_used_again_after_a_while() {
    let slow = Outcome::Answered { micros: 4_000_000, was_warm: false };
    for outcome in [slow, Outcome::Failed] {
        let rows = vec![server("judged", "a1", 10), server("well", "a1", 10)];
        let mut host = ready(0, ms(0), rows);
        let key = key_of(&mut host, 5, "judged");
        let observed = host.servers().find("judged").expect("the server is known");
        record_outcomes(&mut host, 100, observed, outcome);
        assert_eq!(answered_by(&mut host, 600, key).as_deref(), Some("well"), "{outcome:?}");
        assert_eq!(answered_by(&mut host, 40_000, key).as_deref(), Some("judged"), "{outcome:?}");
    }
}
