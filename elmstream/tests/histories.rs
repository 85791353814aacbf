//! Faults, load and time applied to several nodes, at random and in fixed
//! scenarios. After each step the invariants are checked: one owner for each
//! backend server (`one_owner` of `spec/ownership.pml`), slots, caps and the sum
//! of parts.

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
    event::{Event, play_history},
};

/// Number of random histories.
const HISTORIES: u64 = 150;
/// Seed of the generator; a failing history is printed by the panic.
const SEED: u64 = 20_261_202;
/// Most events in a history.
const EVENTS_MAX: usize = 24;

#[test]
fn invariants_hold_in_random_histories() {
    fn property(seed: u64, events: Vec<Event>) -> TestResult {
        match play_history(World::new(seed), &events) {
            Ok(()) => TestResult::passed(),
            Err(error) => TestResult::error(error),
        }
    }
    println!("seed {SEED}");
    let source = Gen::from_size_and_seed(EVENTS_MAX, SEED);
    let property = property as fn(u64, Vec<Event>) -> TestResult;
    QuickCheck::new().rng(source).tests(HISTORIES).quickcheck(property);
}

/// All servers get an owner within seconds after the start, with few writes of
/// the row.
#[test]
fn new_fleet_owns_all_servers() {
    let mut world = World::new(1);
    world.run(3 * SECOND).unwrap();
    assert_eq!(world.acting_hosts().len(), 9, "each backend server has an owner");
    assert!(world.writes <= 12, "{} writes", world.writes);
    let before = world.writes;
    world.run(30 * SECOND).unwrap();
    assert_eq!(world.writes, before, "an idle fleet writes nothing");
}

/// First acting host of each backend server.
fn owners(world: &World) -> Vec<usize> {
    world.acting_hosts().values().map(|hosts| hosts[0]).collect()
}

/// A dead host must not keep its servers: its lease expires and other hosts take
/// over.
#[test]
fn servers_of_killed_host_are_taken_over() {
    let mut world = World::new(2);
    world.run(3 * SECOND).unwrap();
    world.kill(1);
    world.run(6 * SECOND).unwrap();
    assert_eq!(world.acting_hosts().len(), 9);
    assert!(!owners(&world).contains(&1));
}

/// Without a majority of witnesses no lease can be promised, so leases have to be
/// renewed through the table.
#[test]
fn owners_survive_loss_of_two_witnesses() {
    let mut world = World::new(3);
    world.run(3 * SECOND).unwrap();
    world.freeze_list(60 * SECOND);
    world.kill(0);
    world.kill(1);
    world.run(2 * SECOND).unwrap();
    // The other hosts renew their leases through the table, although a majority
    // of the witnesses is dead and the host list still contains them.
    for _ in 0..20 {
        world.run(SECOND).unwrap();
        let acting = world.acting_hosts();
        let retained = acting.values().filter(|hosts| hosts[0] == 2 || hosts[0] == 3).count();
        assert!(retained >= 3, "{acting:?}");
    }
}

/// An outage of the table service must not affect owners, since witnesses renew
/// their leases.
#[test]
fn table_outage_changes_no_owner() {
    let mut world = World::new(4);
    world.run(3 * SECOND).unwrap();
    let before = owners(&world);
    world.fail_table(600 * SECOND);
    for _ in 0..60 {
        world.run(10 * SECOND).unwrap();
        assert_eq!(owners(&world), before);
    }
}

/// A stopping host releases its servers, so nobody has to wait for its lease to
/// expire.
#[test]
fn planned_stop_hands_over_faster_than_a_lease() {
    let mut world = World::new(5);
    world.run(3 * SECOND).unwrap();
    world.stop(2);
    world.run(1500 * MILLI).unwrap();
    assert_eq!(world.acting_hosts().len(), 9);
    assert!(!owners(&world).contains(&2));
}

/// A paused process still believes that it owns its servers when it resumes, but
/// its lease has expired by then.
#[test]
fn resumed_host_does_not_act_on_lost_servers() {
    let mut world = World::new(6);
    world.run(3 * SECOND).unwrap();
    let owned = owners(&world).iter().filter(|&&h| h == 3).count();
    assert!(owned > 0);
    world.pause(3, 8 * SECOND);
    world.run(7 * SECOND).unwrap();
    assert!(!owners(&world).contains(&3), "other hosts have taken over");
    world.run(1100 * MILLI).unwrap();
    assert!(!owners(&world).contains(&3), "the resumed host acts on nothing");
}

/// A host that no other host can reach must lose its servers, and must not take
/// servers over.
#[test]
fn isolated_host_owns_nothing() {
    let mut world = World::new(7);
    world.run(3 * SECOND).unwrap();
    for other in 0..HOSTS.len() {
        if other != 2 {
            world.cut(2, other, 60 * SECOND);
        }
    }
    world.run(8 * SECOND).unwrap();
    assert!(!owners(&world).contains(&2), "the isolated host owns nothing");
    assert_eq!(world.acting_hosts().len(), 9, "all servers have an owner");
}

/// Requests of a failed region shift to the other region, which must enforce the
/// cap.
#[test]
fn failed_region_shifts_within_cap() {
    let mut world = World::new(8);
    world.run(3 * SECOND).unwrap();
    world.kill(4);
    world.kill(5);
    // `run` returns an error if more than `SHIFT_CAP_PER_SECOND` requests shift
    // in any second.
    world.run(10 * SECOND).unwrap();
    assert_eq!(world.acting_hosts().len(), 6, "the other region keeps its owners");
}

/// After an hour without contact between the regions, each has kept its owners.
/// Load must not exceed caps or slots when they reconnect.
#[test]
fn partitioned_regions_keep_owners_and_rejoin_within_caps() {
    let mut world = World::new(9);
    world.run(3 * SECOND).unwrap();
    let (before, writes) = (owners(&world), world.writes);
    for north in 0..4 {
        for south in 4..6 {
            world.cut(north, south, 3_600 * SECOND);
        }
    }
    // `run` returns an error if caps or slots are exceeded, also while the
    // regions rejoin.
    for _ in 0..36 {
        world.run(100 * SECOND).unwrap();
        assert_eq!(owners(&world), before, "each region keeps its owners");
    }
    world.run(10 * SECOND).unwrap();
    assert_eq!(owners(&world), before);
    assert_eq!(world.writes, writes, "no row has to change");
    let others = |host: usize| world.hosts[host].node.members().iter();
    for host in 0..HOSTS.len() {
        assert!(
            others(host).all(|m| m.is_live(world.now)),
            "host {host} sees all hosts live again"
        );
    }
}

/// A stopped host has no part of the link limit any more. Bodies still in
/// transfer would never end if it enforced a part of zero.
#[test]
fn host_without_part_passes_remaining_link_bytes() {
    let limit = LinkLimit { requests_per_second: 0, bytes_per_second: 10_000 };
    let mut catalog = catalog(2, &[]);
    catalog.links.insert((RegionId(0), RegionId(1)), limit);
    let mut world = World::new(10);
    world.configure(catalog);
    world.run(3 * SECOND).unwrap();
    let now = world.now;
    let take = |world: &mut World| world.hosts[4].node.take_link_bytes(now, "north", 5_000);
    assert!(take(&mut world) < 5_000, "an owner enforces its part of the limit");
    world.stop(4);
    world.run(3 * SECOND).unwrap();
    assert!(!owners(&world).contains(&4));
    assert_eq!(take(&mut world), 5_000, "remaining bytes pass");
}
