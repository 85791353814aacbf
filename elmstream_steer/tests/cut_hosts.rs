//! Hosts that are cut from all servers, and what the others decide meanwhile.

mod support;
#[path = "support/uneven.rs"]
mod uneven;

use std::collections::BTreeSet;

use elmstream_steer::policies::PlacementPolicy;
use uneven::{Cut, CutKind, DOMAINS, Scale, World};

/// 36 hosts and 200 servers; a server gets 4 requests a second.
const SCALE: Scale = Scale { hosts_per_domain: 6, servers: 5, work: 8 };
const LEARNED_MS: u64 = 24_000;
const HEALED_MS: u64 = 32_000;
const END_MS: u64 = 38_000;

/// Indexes of the first `count` hosts of each of some failure domains.
fn hosts_of(domains: &[&str], count: usize) -> BTreeSet<usize> {
    let all = 0..count * DOMAINS.len();
    all.filter(|host| domains.contains(&DOMAINS[host % DOMAINS.len()].0)).collect()
}

/// Runs a fleet of which some hosts are cut from all servers for a while.
fn run(hosts: BTreeSet<usize>, kind: CutKind) -> World {
    let mut world = World::with_scale(PlacementPolicy::default(), SCALE);
    world.run(LEARNED_MS);
    world.ejected.clear();
    world.ejected_by_reports.clear();
    world.cut = Some(Cut { hosts, from: LEARNED_MS, until: HEALED_MS, kind });
    world.run(END_MS);
    world
}

#[test]
fn servers_silent_only_at_cut_hosts_are_not_ejected_elsewhere() {
    let cuts = [
        hosts_of(&["a1"], 2),
        hosts_of(&["b1", "b2"], 6),
        hosts_of(&["a1", "a2", "b1", "b2", "c1", "c2"], 4),
    ];
    let mut ejected = 0;
    for hosts in cuts {
        for kind in [CutKind::Silent, CutKind::Refused, CutKind::NewRefused] {
            let world = run(hosts.clone(), kind);
            let by_reports = world.ejected_by_reports.len();
            println!("{} hosts cut, {kind:?}: {by_reports} ejections by reports", hosts.len());
            ejected += by_reports;
        }
    }
    assert_eq!(ejected, 0, "servers that run are ejected by reports of cut hosts");
}

#[test]
fn servers_with_long_answers_are_not_ejected() {
    let scale = Scale { hosts_per_domain: 6, servers: 1, work: 16 };
    let mut world = World::with_scale(PlacementPolicy::default(), scale);
    world.run(LEARNED_MS);
    let ejected = [&world.ejected, &world.ejected_by_reports].map(BTreeSet::len);
    assert_eq!(ejected, [0, 0], "servers that answer are ejected, by observation and by reports");
}
