//! Fleets too large for every host to send heartbeats to every other: groups of
//! witnesses, the steward group, partners. The invariants of the random histories
//! are checked as well.

#[allow(dead_code)]
mod support;

use elmstream::time::SECOND;
use quickcheck::{Gen, QuickCheck, TestResult};
use support::{
    World,
    event::{Event, play_history},
};

/// Number of random histories, and hosts of their worlds. 32 of the hosts are in
/// the north, so that it has two witness groups.
const HISTORIES: u64 = 12;
const HISTORY_HOSTS: usize = 40;
/// Seed of the generator.
const SEED: u64 = 20_261_202;
/// Most events in a history.
const EVENTS_MAX: usize = 24;

/// Number of hosts: 96 in the north, 24 in the south.
const HOSTS: usize = 120;
/// Backend servers in each of the three failure domains.
const BACKENDS_PER_DOMAIN: usize = 30;
/// Backend servers of all failure domains.
const BACKENDS: usize = 3 * BACKENDS_PER_DOMAIN;
/// Most messages that an idle host may send and receive in a second; 110 are
/// normal.
const MESSAGES_PER_HOST_PER_SECOND: u64 = 121;

/// Waits until each backend server has an owner and none of `excluded` is one.
/// Returns the seconds that it took.
fn wait_for_owners(world: &mut World, excluded: &[usize], max_seconds: u64) -> u64 {
    for second in 1..=max_seconds {
        world.run(SECOND).unwrap();
        let owners = owners(world);
        if owners.len() == BACKENDS && !owners.iter().any(|owner| excluded.contains(owner)) {
            println!("each backend server has an owner after {second} s");
            return second;
        }
    }
    panic!("{} of {BACKENDS} have an owner after {max_seconds} s", owners(world).len());
}

/// A world in which each backend server has an owner.
fn settled_world(seed: u64) -> World {
    let mut world = World::large(seed, HOSTS, BACKENDS_PER_DOMAIN);
    world.run(25 * SECOND).unwrap();
    assert_eq!(world.acting_hosts().len(), BACKENDS, "each backend server has an owner");
    world
}

/// First acting host of each backend server.
fn owners(world: &World) -> Vec<usize> {
    world.acting_hosts().values().map(|hosts| hosts[0]).collect()
}

/// Number of hosts of its own region that a host sees as live.
fn believed_live(world: &World, host: usize) -> usize {
    let node = &world.hosts[host].node;
    let region = node.region();
    let here =
        node.members().iter().filter(|m| node.catalog().region_of_domain(&m.domain) == region);
    here.filter(|m| m.is_live(world.now)).count()
}

/// An idle fleet must not write rows, its messages must not grow with its size,
/// and each host must know all hosts of its region.
#[test]
fn large_fleet_owns_all_servers_with_few_messages() {
    let mut world = settled_world(1);
    let (writes, messages) = (world.writes, world.messages);
    world.run(20 * SECOND).unwrap();
    assert_eq!(world.writes, writes, "an idle fleet writes nothing");
    let messages_per_second = 2 * (world.messages - messages) / 20 / HOSTS as u64;
    println!("messages sent and received by a host in a second: {messages_per_second}");
    assert!(messages_per_second <= MESSAGES_PER_HOST_PER_SECOND, "{messages_per_second}");
    for host in 0..HOSTS {
        let expected = if world.region_of(host) == 0 { 96 } else { 24 };
        assert_eq!(believed_live(&world, host), expected, "host {host} sees its whole region live");
    }
}

/// A dead host is known only to its partners and its witnesses at first. All
/// hosts of the region must learn of it, and its servers must be taken over.
#[test]
fn servers_of_killed_host_are_taken_over_in_large_fleet() {
    let mut world = settled_world(2);
    let victim = owners(&world)[0];
    world.kill(victim);
    wait_for_owners(&mut world, &[victim], 12);
    let survivor = (0..HOSTS).find(|&h| h != victim && world.region_of(h) == 0).unwrap();
    assert_eq!(believed_live(&world, survivor), 95, "the others know that the host is dead");
    let name = world.hosts[victim].node.me().host.clone();
    for host in (0..HOSTS).filter(|&h| h != victim && world.region_of(h) == 0) {
        let member = world.hosts[host].node.members().get(&name);
        assert!(member.is_none_or(|m| !m.may_be_live(world.now)), "host {host}");
    }
}

/// The steward and all its possible successors in the group fail together, so
/// another group has to become the steward group.
#[test]
fn loss_of_steward_group_is_survived() {
    let mut world = settled_world(3);
    let row = world.hosts[0].node.row().clone();
    let steward_group = row.groups.iter().next().unwrap().clone();
    let victims: Vec<usize> =
        (0..HOSTS).filter(|&h| steward_group.has_witness(&world.hosts[h].node.me().host)).collect();
    assert_eq!(victims.len(), 5);
    for &victim in &victims {
        world.kill(victim);
    }
    wait_for_owners(&mut world, &victims, 12);
}

/// A failed domain takes down a large part of each witness group at once.
#[test]
fn loss_of_failure_domain_is_survived() {
    let mut world = settled_world(4);
    let victims: Vec<usize> = (0..HOSTS).filter(|host| [0, 3].contains(&(host % 5))).collect();
    for &victim in &victims {
        world.kill(victim);
    }
    wait_for_owners(&mut world, &victims, 12);
}

/// After a restart of all hosts no witness named in the row exists any more, and
/// hosts must not flood the table with calls.
#[test]
fn fleet_recovers_from_restart_of_all_hosts() {
    let mut world = settled_world(5);
    let calls = world.calls;
    for host in 0..HOSTS {
        world.restart(host);
    }
    wait_for_owners(&mut world, &[], 12);
    let calls = world.calls - calls;
    println!("table calls of {HOSTS} hosts until all servers have an owner: {calls}");
    assert!(calls <= 2 * HOSTS as u64, "{calls}");
}

#[test]
fn planned_stop_hands_over_in_large_fleet() {
    let mut world = settled_world(6);
    let victim = owners(&world)[5];
    world.stop(victim);
    wait_for_owners(&mut world, &[victim], 6);
}

#[test]
fn invariants_hold_in_random_histories_of_large_fleet() {
    fn property(seed: u64, events: Vec<Event>) -> TestResult {
        match play_history(World::large(seed, HISTORY_HOSTS, 8), &events) {
            Ok(()) => TestResult::passed(),
            Err(error) => TestResult::error(error),
        }
    }
    println!("seed {SEED}");
    let source = Gen::from_size_and_seed(EVENTS_MAX, SEED);
    let property = property as fn(u64, Vec<Event>) -> TestResult;
    QuickCheck::new().rng(source).tests(HISTORIES).quickcheck(property);
}
