//! Which hosts are named to callers.

mod support;

use elmstream_steer::{Steer, hash, heartbeat::LivenessUpdate};
use support::{address, exchange_heartbeats, host, ms, ready, servers};

fn fleet() -> Vec<Steer> {
    fleet_of(8)
}

fn fleet_of(hosts: usize) -> Vec<Steer> {
    let mut fleet: Vec<Steer> = (0..hosts).map(|n| ready(n, ms(0), servers(1))).collect();
    exchange_heartbeats(ms(0), &mut fleet, |_, _| true);
    // The second round tells that all are ready.
    exchange_heartbeats(ms(50), &mut fleet, |_, _| true);
    fleet
}

#[test]
fn callers_are_told_the_hosts_of_their_failure_domain_if_there_are_enough() {
    let fleet = fleet_of(16);
    let named = fleet[1].lookup(ms(60), "shop.example", "a1", "a");
    assert_eq!(named, [address(1_000), address(1_004), address(1_008), address(1_012)]);
}

#[test]
fn callers_of_a_small_failure_domain_are_told_the_hosts_of_the_region() {
    let fleet = fleet();
    let named = fleet[1].lookup(ms(60), "shop.example", "a1", "a");
    assert_eq!(named, [address(1_000), address(1_001), address(1_004), address(1_005)]);
}

#[test]
fn a_silent_host_is_soon_named_no_more() {
    let mut fleet = fleet();
    for at in (100..1_600).step_by(50) {
        exchange_heartbeats(ms(at), &mut fleet, |from, _| from != 4);
    }
    let named = fleet[1].lookup(ms(1_600), "shop.example", "a1", "a");
    assert!(!named.contains(&address(1_004)), "{named:?}");
}

#[test]
fn a_host_that_leaves_is_named_no_more_after_its_next_beat() {
    let mut fleet = fleet();
    fleet[4].start_leaving();
    exchange_heartbeats(ms(100), &mut fleet, |_, _| true);
    for host in &fleet {
        assert!(!host.lookup(ms(110), "shop.example", "a1", "a").contains(&address(1_004)));
    }
}

#[test]
fn callers_of_a_domain_without_hosts_get_those_of_the_region_then_any() {
    let mut fleet = fleet();
    for at in (100..1_600).step_by(50) {
        exchange_heartbeats(ms(at), &mut fleet, |from, _| ![1, 5].contains(&from));
    }
    let named = fleet[2].lookup(ms(1_600), "shop.example", "a2", "a");
    assert_eq!(named, [address(1_000), address(1_004)]);
    let named = fleet[2].lookup(ms(1_600), "shop.example", "x", "x");
    assert_eq!(named.len(), 6);
}

#[test]
fn a_beat_that_comes_late_does_not_bring_back_what_was() {
    let mut fleet = fleet();
    let late = fleet[4].next_heartbeat(ms(60));
    fleet[4].start_leaving();
    let last = fleet[4].next_heartbeat(ms(70));
    fleet[0].on_heartbeat(ms(80), &last);
    fleet[0].on_heartbeat(ms(90), &late);
    assert!(!fleet[0].lookup(ms(100), "shop.example", "a1", "a").contains(&address(1_004)));
}

#[test]
fn a_late_beat_does_not_undo_what_others_said_of_newer_ones() {
    let mut fleet = fleet();
    let late = fleet[4].next_heartbeat(ms(60));
    fleet[4].start_leaving();
    let last = fleet[4].next_heartbeat(ms(70));
    let mut told = fleet[1].next_heartbeat(ms(75));
    told.liveness.push(LivenessUpdate {
        host: hash::of(&last.host.name) as u32,
        incarnation: last.incarnation as u32,
        number: last.number,
        ready: last.ready,
        leaving: last.leaving,
    });
    fleet[0].on_heartbeat(ms(80), &told);
    let named = |host: &Steer| host.lookup(ms(100), "shop.example", "a1", "a");
    assert!(!named(&fleet[0]).contains(&address(1_004)));
    fleet[0].on_heartbeat(ms(90), &late);
    assert!(!named(&fleet[0]).contains(&address(1_004)));
}

#[test]
fn hosts_that_were_replaced_do_not_make_a_small_fleet_a_large_one() {
    let mut fleet = fleet();
    // Forty hosts of the region came and went in the last hours.
    for number in 100..140 {
        let mut gone = host(number * 4, ms(0));
        let beat = gone.next_heartbeat(ms(100));
        fleet[0].on_heartbeat(ms(100), &beat);
    }
    for at in (100..60_000).step_by(500) {
        exchange_heartbeats(ms(at), &mut fleet, |_, _| true);
    }
    assert_eq!(fleet[0].members().target_count(), 7);
    for at in (60_000..61_600).step_by(50) {
        exchange_heartbeats(ms(at), &mut fleet, |from, _| from != 4);
    }
    let named = fleet[0].lookup(ms(61_600), "shop.example", "a1", "a");
    assert!(!named.contains(&address(1_004)), "{named:?}");
}

#[test]
fn hosts_that_lost_each_other_for_an_hour_still_try_to_reach_each_other() {
    let mut fleet = fleet();
    let hour = 3_600_000;
    for at in (1_000..hour).step_by(60_000) {
        fleet[0].tick(ms(at));
    }
    let lost = fleet[4].settings().host.peers;
    let tried = (0..100).filter(|round| fleet[0].targets(ms(hour), *round).near.contains(&lost));
    let tried = tried.count();
    assert!((1..=5).contains(&tried), "tried in {tried} of 100 rounds");
}
