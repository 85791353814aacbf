//! Limits that backend servers set hold, whatever hosts know of each other.

#[path = "support/needy.rs"]
mod needy;
mod support;

use elmstream::time::MILLI;
use elmstream_steer::{
    Pick, hash,
    model::Repeatability,
    server_limit::{RequestRate, SenderCandidate, ServerLimit, sender_count, sender_weight},
    servers::Outcome,
};
use needy::{LIMIT_LEARNED_MS, LimitPeriod, OVERSHOOT, SLACK, WINDOW_MS, World};
use quickcheck::{QuickCheck, TestResult};
use support::{DOMAINS, exchange_heartbeats, ms, ready, route, send, server};

/// Callers' requests a second for each server, when no server sets a limit.
const REQUESTS_PER_S_PER_SERVER: f64 = 15.0;
/// Time at which servers begin to set limits, in milliseconds.
const LIMITS_FROM_MS: u64 = 2_000;

fn limit_period(server: &str, limit: f64, from: u64, to: u64) -> LimitPeriod {
    LimitPeriod { server: server.into(), limit, from, to }
}

/// Runs a fleet in which a few of many servers set limits, under normal load.
fn run_some_limited(hosts: usize, limits: &[f64], seed: u64) -> World {
    let servers_each = 5;
    let mut world = World::new(hosts, servers_each, seed);
    for (n, limit) in limits.iter().enumerate() {
        world.limit_periods.push(limit_period(
            &format!("s-a1-{n}"),
            *limit,
            LIMITS_FROM_MS,
            16_000,
        ));
    }
    world.run(16_000, REQUESTS_PER_S_PER_SERVER * 4.0 * servers_each as f64);
    world
}

#[test]
fn limit_holds_in_fleets_of_any_size() {
    for hosts in [1, 3, 12, 75] {
        let limits = [0.0, 0.5, 2.0, 3.7, 14.0];
        let world = run_some_limited(hosts, &limits, hosts as u64);
        assert!(world.excess() <= 0.0, "{} more than allowed, {hosts} hosts", world.excess());
        assert_eq!(world.refused, 0, "the other servers have room, {hosts} hosts");
        for limited in &world.limit_periods {
            let rate = world.rate(&limited.server, LIMITS_FROM_MS + LIMIT_LEARNED_MS, 16_000);
            assert!(rate > 0.0, "{} must still be used, {hosts} hosts", limited.server);
        }
    }
}

/// Distribution of callers over hosts.
#[derive(Clone, Copy, Debug)]
enum CallerSpread {
    Even,
    /// Eight times as many callers at the hosts of one of the four failure domains, which is every
    /// fourth host.
    Uneven,
    /// All callers at one host.
    One,
}

fn callers(hosts: usize, caller_spread: CallerSpread) -> Vec<usize> {
    match caller_spread {
        CallerSpread::Even => (0..hosts).collect(),
        CallerSpread::Uneven => {
            let times = |host: usize| if host.is_multiple_of(4) { 8 } else { 1 };
            (0..hosts).flat_map(|host| vec![host; times(host)]).collect()
        }
        CallerSpread::One => vec![hosts / 2],
    }
}

/// Runs a fleet whose servers all set a limit. Returns the used fraction of the limits, and the
/// requests beyond what is allowed.
fn run_all_limited(hosts: usize, limit: f64, caller_spread: CallerSpread, seed: u64) -> (f64, f64) {
    let servers_each = 5;
    let mut world = World::new(hosts, servers_each, seed);
    world.callers = callers(hosts, caller_spread);
    for (domain, _) in DOMAINS {
        for n in 0..servers_each {
            world.limit_periods.push(limit_period(
                &format!("s-{domain}-{n}"),
                limit,
                LIMITS_FROM_MS,
                16_000,
            ));
        }
    }
    world.run(16_000, REQUESTS_PER_S_PER_SERVER * 4.0 * servers_each as f64);
    let rates = world.limit_periods.iter().map(|limit_period| {
        world.rate(&limit_period.server, LIMITS_FROM_MS + LIMIT_LEARNED_MS, 16_000)
    });
    (rates.sum::<f64>() / (limit * world.limit_periods.len() as f64), world.excess())
}

#[test]
fn fleet_uses_most_of_the_limits_if_all_servers_set_one() {
    for hosts in [3, 12, 75] {
        for caller_spread in [CallerSpread::Even, CallerSpread::Uneven, CallerSpread::One] {
            let (used_fraction, excess) = run_all_limited(hosts, 4.0, caller_spread, 9);
            assert!(excess <= 0.0, "{excess} more than allowed, {hosts} hosts, {caller_spread:?}");
            assert!(
                used_fraction >= 0.8,
                "{used_fraction:.2} of the limits, {hosts} hosts, {caller_spread:?}"
            );
        }
    }
}

#[test]
fn server_without_limit_again_is_used_as_before() {
    for hosts in [12, 75] {
        let mut world = World::new(hosts, 5, 4);
        world.limit_periods.push(limit_period("s-a1-0", 2.0, LIMITS_FROM_MS, 10_000));
        world.run(18_000, REQUESTS_PER_S_PER_SERVER * 20.0);
        let before = world.rate("s-a1-0", 1_000, LIMITS_FROM_MS);
        let after = world.rate("s-a1-0", 12_000, 18_000);
        assert!(after >= 0.7 * before, "{after:.1} a second, {before:.1} before, {hosts} hosts");
    }
}

/// Runs a fleet with troubles drawn by a seed: limits that change and end, restarts of one and of
/// many hosts, and partitions of several seconds. Returns the requests beyond what is allowed.
fn run_random_fleet(seed: u64) -> f64 {
    let hosts = 1 + hash::combine(seed, 1) as usize % 60;
    let mut world = World::new(hosts, 3, seed);
    let mut at = LIMITS_FROM_MS;
    let limits = [0.0, 0.4, 1.0, 2.0, 3.7, 9.0, 14.0];
    for n in 0..3 {
        let to = 8_000 + world.random_below(12_000) as u64;
        let limit = limits[world.random_below(limits.len())];
        world.limit_periods.push(limit_period(&format!("s-b1-{n}"), limit, LIMITS_FROM_MS, to));
        let next = limits[world.random_below(limits.len())];
        world.limit_periods.push(limit_period(&format!("s-b1-{n}"), next, to, 24_000));
    }
    while at < 22_000 {
        let per_s = REQUESTS_PER_S_PER_SERVER * 12.0 * [0.1, 0.6, 1.0][world.random_below(3)];
        at += 200 + world.random_below(3_000) as u64;
        world.run(at, per_s);
        match world.random_below(4) {
            0 => {
                let host = world.random_below(hosts);
                world.restart(host);
            }
            1 => {
                let restarted = 1 + world.random_below(hosts);
                (0..restarted).for_each(|host| world.restart(host));
            }
            2 => (0..hosts).for_each(|host| world.partition[host] = host % 2),
            _ => world.partition.fill(0),
        }
    }
    world.run(24_000, REQUESTS_PER_S_PER_SERVER * 12.0);
    world.excess()
}

#[test]
fn random_fleets_keep_limits() {
    let draws = std::env::var("DRAWS").ok().and_then(|text| text.parse().ok()).unwrap_or(40);
    for seed in 0..draws {
        let excess = run_random_fleet(seed);
        assert!(excess <= 0.0, "{excess} more than allowed, seed {seed}");
    }
}

#[test]
fn answer_sent_before_the_limit_does_not_end_it() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let index = host.servers().find("s").expect("server is listed");
    let limit = RequestRate::parse("2.5");
    assert!(host.on_server_limit(ms(1_000), index, limit));
    assert!(!host.on_server_limit(ms(1_100), index, None));
    assert!(host.on_server_limit(ms(1_500), index, None), "the limit must end");
}

#[test]
fn limit_that_no_host_receives_again_expires() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let index = host.servers().find("s").expect("server is listed");
    host.on_server_limit(ms(1_000), index, RequestRate::parse("2"));
    host.tick(ms(200_000));
    assert_eq!(host.limited_servers(), 1);
    host.tick(ms(302_000));
    assert_eq!(host.limited_servers(), 0);
}

#[test]
fn hosts_notify_each_other_of_limits() {
    let rows = vec![server("s", "a1", 10), server("t", "a1", 10)];
    let mut fleet: Vec<_> = (0..3).map(|n| ready(n, ms(0), rows.clone())).collect();
    let index = fleet[0].servers().find("s").expect("server is listed");
    fleet[0].on_server_limit(ms(1_000), index, RequestRate::parse("2"));
    exchange_heartbeats(ms(1_050), &mut fleet, |_, _| true);
    assert!(fleet.iter().all(|host| host.limited_servers() == 1));
    fleet[0].on_server_limit(ms(2_000), index, None);
    exchange_heartbeats(ms(2_050), &mut fleet, |_, _| true);
    assert!(fleet.iter().all(|host| host.limited_servers() == 0));
}

#[test]
fn refusal_because_of_limits_names_a_retry_time() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let index = host.servers().find("s").expect("server is listed");
    host.on_server_limit(ms(5_000), index, RequestRate::parse("2"));
    let route = route(Repeatability::Safe, &[]);
    let mut refused = 0;
    for at in (5_000..9_000).step_by(50) {
        match send(&mut host, ms(at), &route, 1) {
            Pick::Send(index) => {
                host.record_outcome(
                    ms(at),
                    index,
                    Outcome::Answered { micros: 1_000, was_warm: true },
                );
            }
            Pick::Refuse(refusal) => {
                refused += 1;
                assert_eq!(refusal.spared, 1);
                assert!((250..=4_000).contains(&refusal.retry_ms), "{} ms", refusal.retry_ms);
            }
        }
    }
    assert!(refused > 0);
}

/// Highest number of requests that hosts with equal knowledge of each other send in a window: each
/// sender its share, and one request that it had saved up.
fn max_sent(limit: f64, request_counts: &[u32]) -> f64 {
    let highest = request_counts.iter().copied().max().unwrap_or(0);
    let candidates: Vec<SenderCandidate> = request_counts
        .iter()
        .enumerate()
        .map(|(n, requests)| SenderCandidate {
            address_hash: hash::combine(11, n as u64),
            weight: sender_weight(*requests, highest, n % 3 == 0),
        })
        .collect();
    let sent_by_sender = candidates.iter().filter_map(|host| {
        let mut server_limit = ServerLimit::default();
        server_limit.on_answer(ms(0), RequestRate::parse(&limit.to_string()));
        server_limit.elect(ms(0), host.address_hash, &candidates, 99, 1.0);
        server_limit.spacing().map(|spacing| 1.0 + WINDOW_MS as f64 * MILLI as f64 / spacing as f64)
    });
    sent_by_sender.sum()
}

#[test]
fn senders_stay_within_the_limit_at_any_fleet_size_and_load() {
    fn check(limit: u32, hosts: u16, request_counts: Vec<u32>) -> TestResult {
        let limit = f64::from(limit % 50_000) / 100.0;
        let hosts = 1 + usize::from(hosts) % 2_900;
        let request_counts: Vec<u32> = (0..hosts)
            .map(|n| request_counts.get(n % request_counts.len().max(1)).map_or(0, |a| a % 9_000))
            .collect();
        let allowed = limit * WINDOW_MS as f64 / 1_000.0 * OVERSHOOT + SLACK;
        let max_sent_count = max_sent(limit, &request_counts);
        TestResult::from_bool(max_sent_count > 0.0 && max_sent_count <= allowed)
    }
    QuickCheck::new().tests(60).quickcheck(check as fn(u32, u16, Vec<u32>) -> TestResult);
}

/// Hosts that never hear of each other use the whole limit each. Guards the simulation itself: it
/// must notice the excess.
#[test]
fn hosts_that_do_not_know_each_other_exceed_a_limit() {
    let mut world = World::new(12, 3, 5);
    world.partition = (0..12).collect();
    world.limit_periods.push(limit_period("s-a1-0", 4.0, LIMITS_FROM_MS, 40_000));
    // Runs until unconfirmed hosts are given up.
    world.run(40_000, REQUESTS_PER_S_PER_SERVER * 12.0);
    assert!(world.excess() > 0.0, "{}", world.excess());
}

#[test]
fn only_non_negative_numbers_are_limits() {
    for text in ["", "-1", "NaN", "inf", "2 a second", "1e400"] {
        assert_eq!(RequestRate::parse(text), None, "{text}");
    }
    assert_eq!(RequestRate::parse(" 3.25 ").map(RequestRate::value), Some(3.25));
    assert_eq!(sender_count(RequestRate::parse("0").expect("a limit"), 0.3), 1);
}
