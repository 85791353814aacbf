//! Fleets in which no host hears each other one: groups of witnesses, the
//! steward's group, partners. The invariants of the histories hold here too.

#[allow(dead_code)]
mod support;

use elmstream::time::SECOND;
use quickcheck::{Gen, QuickCheck, TestResult};
use support::{
    World,
    event::{Event, history_is_safe},
};

/// Histories that are tried, and the hosts of their worlds: 32 of them in the
/// north, so that it has two groups.
const HISTORIES: u64 = 12;
const HISTORY_HOSTS: usize = 40;
/// Seed of their generation.
const SEED: u64 = 20_261_202;
/// Largest number of events in a history.
const EVENTS_MAX: usize = 24;

/// Hosts of the world: 96 in the north, 24 in the south.
const HOSTS: usize = 120;
/// Backend servers in each of three failure domains.
const BACKENDS_EACH: usize = 30;
/// Backend servers in all.
const BACKENDS: usize = 3 * BACKENDS_EACH;
/// Messages that a host may send and get in a second at rest: measured 110, a
/// margin of a tenth.
const MESSAGES_PER_HOST: u64 = 121;

/// Lets time pass until each backend server has an owner and none of `gone`
/// has one; the seconds that it took.
fn wait_for_owners(world: &mut World, gone: &[usize], at_most: u64) -> u64 {
    for second in 1..=at_most {
        world.run(SECOND).unwrap();
        let owners = owners(world);
        if owners.len() == BACKENDS && !owners.iter().any(|owner| gone.contains(owner)) {
            println!("each backend server has an owner after {second} s");
            return second;
        }
    }
    panic!("{} of {BACKENDS} have an owner after {at_most} s", owners(world).len());
}

/// A fleet in which each backend server has an owner.
fn settled(seed: u64) -> World {
    let mut world = World::large(seed, HOSTS, BACKENDS_EACH);
    world.run(25 * SECOND).unwrap();
    assert_eq!(world.acting().len(), BACKENDS, "each backend server has an owner");
    world
}

/// Owners by backend server.
fn owners(world: &World) -> Vec<usize> {
    world.acting().values().map(|hosts| hosts[0]).collect()
}

/// Hosts that a host believes to be live, of its own region.
fn believed_live(world: &World, host: usize) -> usize {
    let node = &world.hosts[host].node;
    let region = node.region();
    let here =
        node.members().iter().filter(|m| node.catalog().region_of_domain(&m.domain) == region);
    here.filter(|m| m.is_live(world.now)).count()
}

#[test]
fn a_large_fleet_owns_everything_and_talks_little() {
    let mut world = settled(1);
    let (writes, messages) = (world.writes, world.messages);
    world.run(20 * SECOND).unwrap();
    assert_eq!(world.writes, writes, "a fleet at rest writes nothing");
    let each = 2 * (world.messages - messages) / 20 / HOSTS as u64;
    println!("messages sent and got by a host in a second: {each}");
    assert!(each <= MESSAGES_PER_HOST, "{each}");
    for host in 0..HOSTS {
        let wanted = if world.region_of(host) == 0 { 96 } else { 24 };
        assert_eq!(believed_live(&world, host), wanted, "host {host} knows all of its region");
    }
}

#[test]
fn a_killed_host_of_a_large_fleet_is_taken_over_in_seconds() {
    let mut world = settled(2);
    let victim = owners(&world)[0];
    world.kill(victim);
    wait_for_owners(&mut world, &[victim], 12);
    let survivor = (0..HOSTS).find(|&h| h != victim && world.region_of(h) == 0).unwrap();
    assert_eq!(believed_live(&world, survivor), 95, "the others know that it is gone");
    let name = world.hosts[victim].node.me().host.clone();
    for host in (0..HOSTS).filter(|&h| h != victim && world.region_of(h) == 0) {
        let member = world.hosts[host].node.members().get(&name);
        assert!(member.is_none_or(|m| !m.may_be_live(world.now)), "host {host}");
    }
}

#[test]
fn the_stewards_group_may_die_at_once() {
    let mut world = settled(3);
    let row = world.hosts[0].node.row().clone();
    let first = row.groups.iter().next().unwrap().clone();
    let victims: Vec<usize> =
        (0..HOSTS).filter(|&h| first.has_witness(&world.hosts[h].node.me().host)).collect();
    assert_eq!(victims.len(), 5);
    for &victim in &victims {
        world.kill(victim);
    }
    wait_for_owners(&mut world, &victims, 12);
}

#[test]
fn a_failure_domain_may_die_at_once() {
    let mut world = settled(4);
    let victims: Vec<usize> = (0..HOSTS).filter(|host| [0, 3].contains(&(host % 5))).collect();
    for &victim in &victims {
        world.kill(victim);
    }
    wait_for_owners(&mut world, &victims, 12);
}

#[test]
fn all_hosts_restarted_at_once_own_everything_again() {
    let mut world = settled(5);
    let calls = world.calls;
    for host in 0..HOSTS {
        world.restart(host);
    }
    wait_for_owners(&mut world, &[], 12);
    let calls = world.calls - calls;
    println!("table calls of {HOSTS} hosts until then: {calls}");
    assert!(calls <= 2 * HOSTS as u64, "{calls}");
}

#[test]
fn a_planned_stop_in_a_large_fleet_hands_over() {
    let mut world = settled(6);
    let victim = owners(&world)[5];
    world.stop(victim);
    wait_for_owners(&mut world, &[victim], 6);
}

#[test]
fn random_histories_of_a_large_fleet_are_safe() {
    fn property(seed: u64, events: Vec<Event>) -> TestResult {
        match history_is_safe(World::large(seed, HISTORY_HOSTS, 8), &events) {
            Ok(()) => TestResult::passed(),
            Err(error) => TestResult::error(error),
        }
    }
    println!("seed {SEED}");
    let source = Gen::from_size_and_seed(EVENTS_MAX, SEED);
    let property = property as fn(u64, Vec<Event>) -> TestResult;
    QuickCheck::new().rng(source).tests(HISTORIES).quickcheck(property);
}
