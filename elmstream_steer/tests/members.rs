//! Which hosts a lookup returns to callers.

mod support;

use elmstream::time::MILLI;
use elmstream_steer::{
    Steer, hash,
    heartbeat::LivenessUpdate,
    members,
    policies::{PlacementPolicy, Policies},
};
use support::{address, exchange_heartbeats, host, ms, ready, servers};

fn fleet() -> Vec<Steer> {
    fleet_of(8)
}

fn fleet_of(hosts: usize) -> Vec<Steer> {
    let mut fleet: Vec<Steer> = (0..hosts).map(|n| ready(n, ms(0), servers(1))).collect();
    exchange_heartbeats(ms(0), &mut fleet, |_, _| true);
    // The second round reports that all hosts are ready.
    exchange_heartbeats(ms(50), &mut fleet, |_, _| true);
    fleet
}

#[test]
fn lookup_returns_hosts_of_the_callers_failure_domain() {
    let fleet = fleet_of(16);
    let found = fleet[1].lookup(ms(60), "shop.example", "a1", "a");
    assert_eq!(found, [address(1_000), address(1_004), address(1_008), address(1_012)]);
}

#[test]
fn lookup_for_a_small_failure_domain_returns_hosts_of_the_region() {
    let fleet = fleet();
    let found = fleet[1].lookup(ms(60), "shop.example", "a1", "a");
    assert_eq!(found, [address(1_000), address(1_001), address(1_004), address(1_005)]);
}

#[test]
fn lookup_omits_a_silent_host() {
    let mut fleet = fleet();
    for at in (100..1_600).step_by(50) {
        exchange_heartbeats(ms(at), &mut fleet, |from, _| from != 4);
    }
    let found = fleet[1].lookup(ms(1_600), "shop.example", "a1", "a");
    assert!(!found.contains(&address(1_004)), "{found:?}");
}

#[test]
fn lookup_omits_a_leaving_host_after_its_next_heartbeat() {
    let mut fleet = fleet();
    fleet[4].start_leaving();
    exchange_heartbeats(ms(100), &mut fleet, |_, _| true);
    for host in &fleet {
        assert!(!host.lookup(ms(110), "shop.example", "a1", "a").contains(&address(1_004)));
    }
}

#[test]
fn lookup_for_a_domain_without_hosts_falls_back_to_region_then_fleet() {
    let mut fleet = fleet();
    for at in (100..1_600).step_by(50) {
        exchange_heartbeats(ms(at), &mut fleet, |from, _| ![1, 5].contains(&from));
    }
    let found = fleet[2].lookup(ms(1_600), "shop.example", "a2", "a");
    assert_eq!(found, [address(1_000), address(1_004)]);
    let found = fleet[2].lookup(ms(1_600), "shop.example", "x", "x");
    assert_eq!(found.len(), 6);
}

#[test]
fn delayed_heartbeat_is_ignored() {
    let mut fleet = fleet();
    let late = fleet[4].next_heartbeat(ms(60));
    fleet[4].start_leaving();
    let last = fleet[4].next_heartbeat(ms(70));
    fleet[0].on_heartbeat(ms(80), &last);
    fleet[0].on_heartbeat(ms(90), &late);
    assert!(!fleet[0].lookup(ms(100), "shop.example", "a1", "a").contains(&address(1_004)));
}

#[test]
fn delayed_heartbeat_does_not_override_a_newer_liveness_update() {
    let mut fleet = fleet();
    let late = fleet[4].next_heartbeat(ms(60));
    fleet[4].start_leaving();
    let last = fleet[4].next_heartbeat(ms(70));
    let mut relayed = fleet[1].next_heartbeat(ms(75));
    relayed.liveness.push(LivenessUpdate {
        host: hash::of(&last.host.name) as u32,
        incarnation: last.incarnation as u32,
        number: last.number,
        ready: last.ready,
        leaving: last.leaving,
    });
    fleet[0].on_heartbeat(ms(80), &relayed);
    let found = |host: &Steer| host.lookup(ms(100), "shop.example", "a1", "a");
    assert!(!found(&fleet[0]).contains(&address(1_004)));
    fleet[0].on_heartbeat(ms(90), &late);
    assert!(!found(&fleet[0]).contains(&address(1_004)));
}

#[test]
fn replaced_hosts_do_not_count_as_heartbeat_targets() {
    let mut fleet = fleet();
    // Forty hosts of the region were replaced in the last hours.
    for number in 100..140 {
        let mut replaced = host(number * 4, ms(0));
        let heartbeat = replaced.next_heartbeat(ms(100));
        fleet[0].on_heartbeat(ms(100), &heartbeat);
    }
    for at in (100..60_000).step_by(500) {
        exchange_heartbeats(ms(at), &mut fleet, |_, _| true);
    }
    assert_eq!(fleet[0].members().target_count(), 7);
    for at in (60_000..61_600).step_by(50) {
        exchange_heartbeats(ms(at), &mut fleet, |from, _| from != 4);
    }
    let found = fleet[0].lookup(ms(61_600), "shop.example", "a1", "a");
    assert!(!found.contains(&address(1_004)), "{found:?}");
}

#[test]
fn unreachable_hosts_still_get_some_heartbeats_after_an_hour() {
    let mut fleet = fleet();
    let hour = 3_600_000;
    for at in (1_000..hour).step_by(60_000) {
        fleet[0].tick(ms(at));
    }
    let lost = fleet[4].settings().host.peers;
    let rounds = (0..100).filter(|round| fleet[0].targets(ms(hour), *round).near.contains(&lost));
    let rounds = rounds.count();
    assert!((1..=5).contains(&rounds), "contacted in {rounds} of 100 rounds");
}

/// Time between heartbeats to the other domain of the region, in milliseconds, and the part of the
/// rounds that goes there, for each fleet size.
fn domain_rounds(hosts: usize, domain_cost_ms: f64) -> (u64, f64) {
    let mut fleet = fleet_of(hosts);
    let steer = &mut fleet[0];
    let (domains, bounds) = (steer.settings().domains.clone(), steer.settings().bounds);
    let placement = PlacementPolicy { domain_cost_ms, ..PlacementPolicy::default() };
    steer.reconfigure(domains, bounds, Policies { placement, ..Policies::default() });
    let (own, other) = (address(2_004), address(2_001));
    let mut rounds_to_other = Vec::new();
    for round in 1..=60 {
        let targets = steer.targets(ms(60), round);
        assert!(targets.near.contains(&own), "each round goes to the own domain");
        if targets.near.contains(&other) || targets.domains.contains(&other) {
            rounds_to_other.push(round);
        }
    }
    let interval_ms = members::heartbeat_interval(hosts - 1) / MILLI;
    let longest = rounds_to_other.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(60);
    (longest * interval_ms, rounds_to_other.len() as f64 / 60.0)
}

#[test]
fn other_domains_get_fewer_heartbeats_if_they_cost_more() {
    for hosts in [12, 24, 48, 64] {
        let (longest_ms, part) = domain_rounds(hosts, 5.0);
        // Loads count for 1.2 s, so one lost heartbeat must not make a host's loads vanish.
        assert!(longest_ms <= 600, "{hosts} hosts: {longest_ms} ms");
        assert!(part <= 0.5, "{hosts} hosts: {part} of the rounds");
        assert_eq!(domain_rounds(hosts, 0.0).1, 1.0, "without a cost each round goes there");
    }
}
