//! Servers that asked a host for rest get nothing from it meanwhile.

mod support;

use std::time::Duration;

use elmstream_steer::{
    Pick, Steer,
    model::Repeatability,
    pick::RefusalReason,
    servers::{Outcome, ServerIndex},
};
use support::{exchange_heartbeats, ms, ready, route, send, server};

/// Whether a server gets any of many keys' requests.
fn used(host: &mut Steer, now: u64, id: &str) -> bool {
    let route = route(Repeatability::Safe, &[]);
    (0..200u64).any(|key| match send(host, ms(now), &route, key * 7_919) {
        Pick::Send(index) => {
            host.record_outcome(
                ms(now),
                index,
                Outcome::Answered { micros: 1_000, was_warm: true },
            );
            support::id(host, index) == id
        }
        Pick::Refuse(_) => false,
    })
}

fn two() -> (Steer, ServerIndex, ServerIndex) {
    let host = ready(0, ms(0), vec![server("s", "a1", 10), server("t", "a1", 10)]);
    let place = |id: &str| host.servers().find(id).expect("it is known");
    let (s, t) = (place("s"), place("t"));
    (host, s, t)
}

#[test]
fn a_rest_is_for_one_host_and_its_end_moves_only_later() {
    let (mut host, index, _) = two();
    assert!(host.on_server_backoff(ms(1_000), index, Duration::from_secs(3)));
    assert!(!host.on_server_backoff(ms(1_100), index, Duration::from_millis(100)), "not new");
    assert!(!used(&mut host, 1_050, "s"));
    assert!(!used(&mut host, 3_900, "s"), "a shorter rest ends nothing early");
    assert!(used(&mut host, 4_400, "s"));
    let mut fleet = vec![host, ready(1, ms(0), vec![server("s", "a1", 10), server("t", "a1", 10)])];
    exchange_heartbeats(ms(1_200), &mut fleet, |_, _| true);
    assert!(used(&mut fleet[1], 1_300, "s"), "the other host may send");
}

#[test]
fn if_all_servers_rest_a_request_is_refused_at_once_until_the_first_is_back() {
    let (mut host, s, t) = two();
    host.on_server_backoff(ms(1_000), s, Duration::from_secs(3));
    host.on_server_backoff(ms(1_000), t, Duration::from_secs(2));
    let route = route(Repeatability::Once, &[]);
    let Pick::Refuse(refusal) = send(&mut host, ms(1_500), &route, 1) else {
        panic!("both rest");
    };
    assert_eq!((refusal.reason, refusal.spared), (RefusalReason::Spared, 2));
    assert!((1_500..=1_700).contains(&refusal.retry_ms), "{} ms", refusal.retry_ms);
}

#[test]
fn a_server_that_is_only_full_is_tried_again_soon() {
    let (mut host, s, t) = two();
    host.on_server_backoff(ms(1_000), t, Duration::from_secs(9));
    let route = route(Repeatability::Safe, &[]);
    assert_eq!(send(&mut host, ms(1_000), &route, 1), Pick::Send(s));
    host.record_outcome(ms(1_010), s, Outcome::Full);
    assert!(!used(&mut host, 1_020, "s"));
    assert!(used(&mut host, 1_100, "s"));
}

#[test]
fn a_rest_without_measure_ends() {
    let (mut host, s, _) = two();
    host.on_server_backoff(ms(1_000), s, Duration::MAX);
    assert!(!used(&mut host, 500_000, "s"));
    assert!(used(&mut host, 700_000, "s"));
}
