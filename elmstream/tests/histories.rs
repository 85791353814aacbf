//! Random histories of several nodes: faults, load and time. After each step
//! the invariants hold: one owner per backend server (`one_owner` of
//! `spec/ownership.pml`), slots, caps and the sum of parts.

#[allow(dead_code)]
mod support;

use elmstream::{
    catalog::LinkLimit,
    id::RegionId,
    time::{MILLI, SECOND},
};
use quickcheck::{Gen, QuickCheck, TestResult};
use support::{
    HOSTS, World, catalog,
    event::{Event, history_is_safe},
};

/// Histories that are tried.
const HISTORIES: u64 = 150;
/// Seed of their generation, printed on a failure by the panic's arguments.
const SEED: u64 = 20_261_202;
/// Largest number of events in a history.
const EVENTS_MAX: usize = 24;

#[test]
fn random_histories_are_safe() {
    fn property(seed: u64, events: Vec<Event>) -> TestResult {
        match history_is_safe(World::new(seed), &events) {
            Ok(()) => TestResult::passed(),
            Err(error) => TestResult::error(error),
        }
    }
    println!("seed {SEED}");
    let source = Gen::from_size_and_seed(EVENTS_MAX, SEED);
    let property = property as fn(u64, Vec<Event>) -> TestResult;
    QuickCheck::new().rng(source).tests(HISTORIES).quickcheck(property);
}

/// The whole region is owned soon after the start, with few writes.
#[test]
fn a_fresh_fleet_owns_everything() {
    let mut world = World::new(1);
    world.run(3 * SECOND).unwrap();
    assert_eq!(world.acting().len(), 9, "each backend server has an owner");
    assert!(world.writes <= 12, "{} writes", world.writes);
    let before = world.writes;
    world.run(30 * SECOND).unwrap();
    assert_eq!(world.writes, before, "a fleet at rest writes nothing");
}

/// Owners by host.
fn owners(world: &World) -> Vec<usize> {
    world.acting().values().map(|hosts| hosts[0]).collect()
}

#[test]
fn a_killed_host_is_taken_over_in_seconds() {
    let mut world = World::new(2);
    world.run(3 * SECOND).unwrap();
    world.kill(1);
    world.run(6 * SECOND).unwrap();
    assert_eq!(world.acting().len(), 9);
    assert!(!owners(&world).contains(&1));
}

#[test]
fn two_witnesses_lost_at_once_are_survived() {
    let mut world = World::new(3);
    world.run(3 * SECOND).unwrap();
    world.freeze_list(60 * SECOND);
    world.kill(0);
    world.kill(1);
    world.run(2 * SECOND).unwrap();
    // Through the table the others keep what they had, although a majority of
    // the witnesses is gone and the host list still names them.
    for _ in 0..20 {
        world.run(SECOND).unwrap();
        let acting = world.acting();
        let kept = acting.values().filter(|hosts| hosts[0] == 2 || hosts[0] == 3).count();
        assert!(kept >= 3, "{acting:?}");
    }
}

#[test]
fn the_table_down_for_ten_minutes_changes_nothing() {
    let mut world = World::new(4);
    world.run(3 * SECOND).unwrap();
    let before = owners(&world);
    world.table_down(600 * SECOND);
    for _ in 0..60 {
        world.run(10 * SECOND).unwrap();
        assert_eq!(owners(&world), before);
    }
}

#[test]
fn a_planned_stop_hands_over_without_a_lease_of_waiting() {
    let mut world = World::new(5);
    world.run(3 * SECOND).unwrap();
    world.stop(2);
    world.run(1500 * MILLI).unwrap();
    assert_eq!(world.acting().len(), 9);
    assert!(!owners(&world).contains(&2));
}

#[test]
fn a_paused_host_that_wakes_does_not_act() {
    let mut world = World::new(6);
    world.run(3 * SECOND).unwrap();
    let owned = owners(&world).iter().filter(|&&h| h == 3).count();
    assert!(owned > 0);
    world.pause(3, 8 * SECOND);
    world.run(7 * SECOND).unwrap();
    assert!(!owners(&world).contains(&3), "others own it by now");
    world.run(1100 * MILLI).unwrap();
    assert!(!owners(&world).contains(&3), "it woke and acts on nothing old");
}

#[test]
fn an_isolated_host_stops_itself() {
    let mut world = World::new(7);
    world.run(3 * SECOND).unwrap();
    for other in 0..HOSTS.len() {
        if other != 2 {
            world.cut(2, other, 60 * SECOND);
        }
    }
    world.run(8 * SECOND).unwrap();
    assert!(!owners(&world).contains(&2), "it owns nothing");
    assert_eq!(world.acting().len(), 9, "and has taken nothing from the others");
}

#[test]
fn a_region_that_fails_shifts_within_the_cap() {
    let mut world = World::new(8);
    world.run(3 * SECOND).unwrap();
    world.kill(4);
    world.kill(5);
    // `run` fails if more than `CAP` requests shift in any second.
    world.run(10 * SECOND).unwrap();
    assert_eq!(world.acting().len(), 6, "the other region goes on");
}

#[test]
fn regions_that_lose_each_other_for_an_hour_go_on_and_join_without_a_surge() {
    let mut world = World::new(9);
    world.run(3 * SECOND).unwrap();
    let (before, writes) = (owners(&world), world.writes);
    for north in 0..4 {
        for south in 4..6 {
            world.cut(north, south, 3_600 * SECOND);
        }
    }
    // `run` fails if the caps or slots are exceeded, also when they join again.
    for _ in 0..36 {
        world.run(100 * SECOND).unwrap();
        assert_eq!(owners(&world), before, "each region goes on by itself");
    }
    world.run(10 * SECOND).unwrap();
    assert_eq!(owners(&world), before);
    assert_eq!(world.writes, writes, "nothing has to be settled anew");
    let others = |host: usize| world.hosts[host].node.members().iter();
    for host in 0..HOSTS.len() {
        assert!(others(host).all(|m| m.is_live(world.now)), "host {host} hears all again");
    }
}

#[test]
fn a_host_that_has_released_its_part_holds_no_body_on_a_link() {
    let limit = LinkLimit { requests_per_second: 0, bytes_per_second: 10_000 };
    let mut catalog = catalog(2, &[]);
    catalog.links.insert((RegionId(0), RegionId(1)), limit);
    let mut world = World::new(10);
    world.configure(catalog);
    world.run(3 * SECOND).unwrap();
    let now = world.now;
    let take = |world: &mut World| world.hosts[4].node.take_link_bytes(now, "north", 5_000);
    assert!(take(&mut world) < 5_000, "an owner keeps to its part of the limit");
    world.stop(4);
    world.run(3 * SECOND).unwrap();
    assert!(!owners(&world).contains(&4));
    assert_eq!(take(&mut world), 5_000, "what is on its way passes");
}
