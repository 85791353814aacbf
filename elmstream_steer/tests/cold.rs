//! The bound on requests to cold servers holds whatever the hosts know of each other: with
//! partitions, restarts and any fleet size.

mod support;

use elmstream_steer::{Bounds, Pick, model::Repeatability, servers::Outcome};
use quickcheck::{QuickCheck, TestResult};
use support::{COLD_PER_S, exchange_heartbeats, ms, ready, route, send, server, with};

/// Maximum number of requests to the cold server in any second. Host `n` is in partition `n %
/// partitions`; heartbeats do not cross partitions.
fn max_requests_in_a_second(hosts: usize, partitions: usize, restart_at: Option<u64>) -> usize {
    let row = with(server("cold", "a1", 10), 10, |server| server.cold_ms = 60_000);
    let mut fleet: Vec<_> = (0..hosts).map(|n| ready(n, ms(0), vec![row.clone()])).collect();
    let route = route(Repeatability::Safe, &[]);
    let mut sent = Vec::new();
    for at in (1_100..8_000).step_by(20) {
        if restart_at == Some(at) {
            fleet = (0..hosts).map(|n| ready(n, ms(at), vec![row.clone()])).collect();
        }
        if at % 100 == 0 {
            exchange_heartbeats(ms(at), &mut fleet, |from, to| {
                from % partitions == to % partitions
            });
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
    let count_from =
        |start: &u64| sent.iter().filter(|at| (*start..*start + 1_000).contains(*at)).count();
    sent.iter().map(count_from).max().unwrap_or(0)
}

fn bound() -> usize {
    let bounds = Bounds::default();
    (COLD_PER_S * bounds.cold_overshoot + bounds.cold_slack) as usize
}

#[test]
fn connected_hosts_use_a_cold_server_within_its_bound() {
    let maximum = max_requests_in_a_second(40, 1, None);
    assert!((5..=bound()).contains(&maximum), "{maximum} requests in a second");
}

#[test]
fn partitioned_hosts_keep_the_cold_server_bound() {
    let maximum = max_requests_in_a_second(40, 2, None);
    assert!(maximum <= bound(), "{maximum} requests in a second, allowed are {}", bound());
}

#[test]
fn restart_of_all_hosts_keeps_the_cold_server_bound() {
    for restart in [3_000, 3_500, 3_980] {
        let maximum = max_requests_in_a_second(40, 1, Some(restart));
        assert!(maximum <= bound(), "{maximum} requests in a second after a restart at {restart}");
    }
}

#[test]
fn cold_server_bound_holds_for_any_fleet_size() {
    fn check(hosts: u8, partitioned: bool) -> TestResult {
        let hosts = usize::from(hosts % 60) + 1;
        TestResult::from_bool(
            max_requests_in_a_second(hosts, if partitioned { 2 } else { 1 }, None) <= bound(),
        )
    }
    QuickCheck::new().tests(12).quickcheck(check as fn(u8, bool) -> TestResult);
}
