//! Limits that backend servers name hold whatever hosts know of each other.

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
use needy::{CONTACT, Need, OVERSHOOT, SLACK, WINDOW, World};
use quickcheck::{QuickCheck, TestResult};
use support::{DOMAINS, exchange_heartbeats, ms, ready, route, send, server};

/// Callers' requests a second for each server, when none is in need.
const USUAL: f64 = 15.0;
/// When servers begin to be in need.
const FROM: u64 = 2_000;

fn need(server: &str, limit: f64, from: u64, to: u64) -> Need {
    Need { server: server.into(), limit, from, to }
}

/// A few of many servers name limits; all are loaded as usual.
fn some_in_need(hosts: usize, limits: &[f64], seed: u64) -> World {
    let each = 5;
    let mut world = World::new(hosts, each, seed);
    for (n, limit) in limits.iter().enumerate() {
        world.needs.push(need(&format!("s-a1-{n}"), *limit, FROM, 16_000));
    }
    world.run(16_000, USUAL * 4.0 * each as f64);
    world
}

#[test]
fn a_limit_holds_over_fleets_of_any_size() {
    for hosts in [1, 3, 12, 75] {
        let limits = [0.0, 0.5, 2.0, 3.7, 14.0];
        let world = some_in_need(hosts, &limits, hosts as u64);
        assert!(world.beyond() <= 0.0, "{} more than allowed, {hosts} hosts", world.beyond());
        assert_eq!(world.refused, 0, "the others have room, {hosts} hosts");
        for need in &world.needs {
            let rate = world.rate(&need.server, FROM + CONTACT, 16_000);
            assert!(rate > 0.0, "{} is still used, {hosts} hosts", need.server);
        }
    }
}

/// How callers are spread over hosts.
#[derive(Clone, Copy, Debug)]
enum Spread {
    Even,
    /// Eight times as many at hosts of one failure domain in four.
    Uneven,
    /// All at one host.
    One,
}

fn callers(hosts: usize, spread: Spread) -> Vec<usize> {
    match spread {
        Spread::Even => (0..hosts).collect(),
        Spread::Uneven => {
            let times = |host: usize| if host.is_multiple_of(4) { 8 } else { 1 };
            (0..hosts).flat_map(|host| vec![host; times(host)]).collect()
        }
        Spread::One => vec![hosts / 2],
    }
}

/// All servers name a limit; the part of it that is used, and requests beyond what is
/// allowed.
fn all_in_need(hosts: usize, limit: f64, spread: Spread, seed: u64) -> (f64, f64) {
    let each = 5;
    let mut world = World::new(hosts, each, seed);
    world.callers = callers(hosts, spread);
    for (domain, _) in DOMAINS {
        for n in 0..each {
            world.needs.push(need(&format!("s-{domain}-{n}"), limit, FROM, 16_000));
        }
    }
    world.run(16_000, USUAL * 4.0 * each as f64);
    let rates = world.needs.iter().map(|need| world.rate(&need.server, FROM + CONTACT, 16_000));
    (rates.sum::<f64>() / (limit * world.needs.len() as f64), world.beyond())
}

#[test]
fn a_fleet_whose_servers_all_name_limits_serves_most_of_what_they_take() {
    for hosts in [3, 12, 75] {
        for spread in [Spread::Even, Spread::Uneven, Spread::One] {
            let (part, beyond) = all_in_need(hosts, 4.0, spread, 9);
            assert!(beyond <= 0.0, "{beyond} more than allowed, {hosts} hosts, {spread:?}");
            assert!(part >= 0.8, "{part:.2} of the limits, {hosts} hosts, {spread:?}");
        }
    }
}

#[test]
fn a_server_that_is_well_again_is_used_as_before() {
    for hosts in [12, 75] {
        let mut world = World::new(hosts, 5, 4);
        world.needs.push(need("s-a1-0", 2.0, FROM, 10_000));
        world.run(18_000, USUAL * 20.0);
        let before = world.rate("s-a1-0", 1_000, FROM);
        let after = world.rate("s-a1-0", 12_000, 18_000);
        assert!(after >= 0.7 * before, "{after:.1} a second, {before:.1} before, {hosts} hosts");
    }
}

/// Fleets and troubles drawn by a seed: limits that change and end, restarts one by one and
/// of many, and halves that lose each other for seconds.
fn drawn(seed: u64) -> f64 {
    let hosts = 1 + hash::combine(seed, 1) as usize % 60;
    let mut world = World::new(hosts, 3, seed);
    let mut at = FROM;
    let limits = [0.0, 0.4, 1.0, 2.0, 3.7, 9.0, 14.0];
    for n in 0..3 {
        let to = 8_000 + world.draw(12_000) as u64;
        let limit = limits[world.draw(limits.len())];
        world.needs.push(need(&format!("s-b1-{n}"), limit, FROM, to));
        let next = limits[world.draw(limits.len())];
        world.needs.push(need(&format!("s-b1-{n}"), next, to, 24_000));
    }
    while at < 22_000 {
        let per_s = USUAL * 12.0 * [0.1, 0.6, 1.0][world.draw(3)];
        at += 200 + world.draw(3_000) as u64;
        world.run(at, per_s);
        match world.draw(4) {
            0 => {
                let host = world.draw(hosts);
                world.restart(host);
            }
            1 => {
                let some = 1 + world.draw(hosts);
                (0..some).for_each(|host| world.restart(host));
            }
            2 => (0..hosts).for_each(|host| world.part[host] = host % 2),
            _ => world.part.fill(0),
        }
    }
    world.run(24_000, USUAL * 12.0);
    world.beyond()
}

#[test]
fn drawn_fleets_keep_the_limits() {
    let draws = std::env::var("DRAWS").ok().and_then(|text| text.parse().ok()).unwrap_or(40);
    for seed in 0..draws {
        let beyond = drawn(seed);
        assert!(beyond <= 0.0, "{beyond} more than allowed, seed {seed}");
    }
}

#[test]
fn an_answer_that_was_on_its_way_does_not_end_a_limit() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let index = host.servers().find("s").expect("it is known");
    let limit = RequestRate::parse("2.5");
    assert!(host.on_server_limit(ms(1_000), index, limit));
    assert!(!host.on_server_limit(ms(1_100), index, None));
    assert!(host.on_server_limit(ms(1_500), index, None), "it is over");
}

#[test]
fn a_limit_that_nobody_hears_again_is_tried_without() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let index = host.servers().find("s").expect("it is known");
    host.on_server_limit(ms(1_000), index, RequestRate::parse("2"));
    host.tick(ms(200_000));
    assert_eq!(host.limited_servers(), 1);
    host.tick(ms(302_000));
    assert_eq!(host.limited_servers(), 0);
}

#[test]
fn hosts_tell_each_other_of_limits_of_the_start_that_named_them() {
    let rows = vec![server("s", "a1", 10), server("t", "a1", 10)];
    let mut fleet: Vec<_> = (0..3).map(|n| ready(n, ms(0), rows.clone())).collect();
    let index = fleet[0].servers().find("s").expect("it is known");
    fleet[0].on_server_limit(ms(1_000), index, RequestRate::parse("2"));
    exchange_heartbeats(ms(1_050), &mut fleet, |_, _| true);
    assert!(fleet.iter().all(|host| host.limited_servers() == 1));
    fleet[0].on_server_limit(ms(2_000), index, None);
    exchange_heartbeats(ms(2_050), &mut fleet, |_, _| true);
    assert!(fleet.iter().all(|host| host.limited_servers() == 0));
}

#[test]
fn a_refusal_for_limits_says_when_there_is_room_again() {
    let mut host = ready(0, ms(0), vec![server("s", "a1", 10)]);
    let index = host.servers().find("s").expect("it is known");
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

/// What all hosts that know the same of each other send at most in a window, whatever they
/// are asked: each its part of it, and one request that it had saved up.
fn most(limit: f64, asked: &[u32]) -> f64 {
    let highest = asked.iter().copied().max().unwrap_or(0);
    let among: Vec<SenderCandidate> = asked
        .iter()
        .enumerate()
        .map(|(n, asked)| SenderCandidate {
            address_hash: hash::combine(11, n as u64),
            weight: sender_weight(*asked, highest, n % 3 == 0),
        })
        .collect();
    let sent = among.iter().filter_map(|host| {
        let mut limited = ServerLimit::default();
        limited.on_answer(ms(0), RequestRate::parse(&limit.to_string()));
        limited.elect(ms(0), host.address_hash, &among, 99, 1.0);
        limited.spacing().map(|spacing| 1.0 + WINDOW as f64 * MILLI as f64 / spacing as f64)
    });
    sent.sum()
}

#[test]
fn senders_of_fleets_of_any_size_and_load_send_no_more_than_is_allowed() {
    fn check(limit: u32, hosts: u16, asked: Vec<u32>) -> TestResult {
        let limit = f64::from(limit % 50_000) / 100.0;
        let hosts = 1 + usize::from(hosts) % 2_900;
        let asked: Vec<u32> = (0..hosts)
            .map(|n| asked.get(n % asked.len().max(1)).map_or(0, |a| a % 9_000))
            .collect();
        let allowed = limit * WINDOW as f64 / 1_000.0 * OVERSHOOT + SLACK;
        let most = most(limit, &asked);
        TestResult::from_bool(most > 0.0 && most <= allowed)
    }
    QuickCheck::new().tests(60).quickcheck(check as fn(u32, u16, Vec<u32>) -> TestResult);
}

/// Hosts that never hear each other take the whole limit each.
#[test]
fn hosts_that_each_keep_to_a_limit_by_themselves_are_noticed() {
    let mut world = World::new(12, 3, 5);
    world.part = (0..12).collect();
    world.needs.push(need("s-a1-0", 4.0, FROM, 40_000));
    // Until those that were named and never heard are given up.
    world.run(40_000, USUAL * 12.0);
    assert!(world.beyond() > 0.0, "{}", world.beyond());
}

#[test]
fn only_numbers_of_requests_are_limits() {
    for text in ["", "-1", "NaN", "inf", "2 a second", "1e400"] {
        assert_eq!(RequestRate::parse(text), None, "{text}");
    }
    assert_eq!(RequestRate::parse(" 3.25 ").map(RequestRate::value), Some(3.25));
    assert_eq!(sender_count(RequestRate::parse("0").expect("a limit"), 0.3), 1);
}
