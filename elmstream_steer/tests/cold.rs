//! The bound on cold servers holds whatever hosts know of each other.

mod support;

use elmstream_steer::{Bounds, Pick, model::Repeatability, servers::Outcome};
use quickcheck::{QuickCheck, TestResult};
use support::{COLD_PER_S, exchange_heartbeats, ms, ready, route, send, server, with};

/// Most requests to the cold server in any second, with hosts in `groups` that do
/// not hear each other.
fn worst_second(hosts: usize, groups: usize, restart_at: Option<u64>) -> usize {
    let row = with(server("cold", "a1", 10), 10, |server| server.cold_ms = 60_000);
    let mut fleet: Vec<_> = (0..hosts).map(|n| ready(n, ms(0), vec![row.clone()])).collect();
    let route = route(Repeatability::Safe, &[]);
    let mut sent = Vec::new();
    for at in (1_100..8_000).step_by(20) {
        if restart_at == Some(at) {
            fleet = (0..hosts).map(|n| ready(n, ms(at), vec![row.clone()])).collect();
        }
        if at % 100 == 0 {
            exchange_heartbeats(ms(at), &mut fleet, |from, to| from % groups == to % groups);
        }
        for (n, host) in fleet.iter_mut().enumerate() {
            if let Pick::Send(index) = send(host, ms(at), &route, (at + n as u64) % 7) {
                host.record_outcome(
                    ms(at),
                    index,
                    Outcome::Answered { micros: 1_000, was_warm: true },
                );
                sent.push(at);
            }
        }
    }
    let within =
        |start: &u64| sent.iter().filter(|at| (*start..*start + 1_000).contains(*at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

fn bound() -> usize {
    let bounds = Bounds::default();
    (COLD_PER_S * bounds.cold_overshoot + bounds.cold_slack) as usize
}

#[test]
fn hosts_that_hear_each_other_use_the_server_within_its_bound() {
    let worst = worst_second(40, 1, None);
    assert!((5..=bound()).contains(&worst), "{worst} requests in a second");
}

#[test]
fn two_halves_that_do_not_hear_each_other_keep_the_bound() {
    let worst = worst_second(40, 2, None);
    assert!(worst <= bound(), "{worst} requests in a second, allowed are {}", bound());
}

#[test]
fn a_restart_of_all_hosts_at_once_keeps_the_bound() {
    for restart in [3_000, 3_500, 3_980] {
        let worst = worst_second(40, 1, Some(restart));
        assert!(worst <= bound(), "{worst} requests in a second after a restart at {restart}");
    }
}

#[test]
fn any_number_of_hosts_in_two_halves_keeps_the_bound() {
    fn check(hosts: u8, halves: bool) -> TestResult {
        let hosts = usize::from(hosts % 60) + 1;
        TestResult::from_bool(worst_second(hosts, if halves { 2 } else { 1 }, None) <= bound())
    }
    QuickCheck::new().tests(12).quickcheck(check as fn(u8, bool) -> TestResult);
}
