//! Limits on the number of heap allocations, which is the same in every run. Each
//! limit leaves about 10 percent above the normal number.

#[allow(dead_code)]
mod support;

use std::net::{IpAddr, Ipv4Addr};

use allocation_counter::measure;
use elmstream::{
    id::{HostRef, Incarnation, Name, RegionId, ServiceId},
    member::ListedHost,
    message::{Heartbeat, ServiceLoad},
    node::{Node, NodeSettings},
    time::{MILLI, SECOND, Time},
};
use support::{World, catalog};

/// Number of hosts in the largest planned fleet.
const HOSTS: usize = 2_900;
/// Time at which the calls are made.
const NOW: Time = Time(SECOND);

fn name(index: usize) -> Name {
    format!("host-{index:04}").into()
}

fn heartbeat(index: usize) -> Heartbeat {
    let load = ServiceLoad { service: "orders".into(), slots: 8, in_flight: 3, queued: 0 };
    Heartbeat {
        from: HostRef { host: name(index), incarnation: Incarnation(1) },
        domain: ["na", "nb", "sa"][index % 3].into(),
        region: ["north", "north", "south"][index % 3].into(),
        sequence: 1,
        epoch: 0,
        settled: false,
        revision: 1,
        leaving: false,
        loads: vec![load],
        lingering: Vec::new(),
        sightings: Vec::new(),
    }
}

/// A node that knows `hosts` hosts and has received heartbeats of twelve.
fn node(hosts: usize) -> Node {
    let me = HostRef { host: name(0), incarnation: Incarnation(1) };
    let mut node = Node::new(NodeSettings { me, domain: "na".into(), seed: 1 });
    node.set_catalog(NOW, catalog(1, &[]).into());
    let listed = |index: usize| ListedHost {
        name: name(index),
        domain: ["na", "nb", "sa"][index % 3].into(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
    };
    node.apply_host_list(NOW, (0..hosts).map(listed).collect(), Vec::new());
    for index in 1..13 {
        node.on_heartbeat(NOW, &heartbeat(index));
    }
    node.tick(NOW);
    node
}

fn assert_allocations(what: &str, bound: u64, run: impl FnOnce()) {
    let count = measure(run).count_total;
    println!("{what}: {count} allocations");
    assert!(count <= bound, "{what}: {count} allocations, expected at most {bound}");
}

#[test]
fn cached_lookup_does_not_allocate() {
    let mut node = node(13);
    let client = IpAddr::V4(Ipv4Addr::LOCALHOST);
    node.lookup(NOW, client, "orders").unwrap();
    assert_allocations("cached look-up", 0, || drop(node.lookup(NOW, client, "orders")));
}

#[test]
fn route_allocations_are_bounded() {
    let mut node = node(13);
    node.route(NOW, ServiceId(0), RegionId(0), SECOND).unwrap();
    assert_allocations("route", 19, || drop(node.route(NOW, ServiceId(0), RegionId(0), SECOND)));
}

#[test]
fn heartbeat_does_not_allocate_in_large_fleet() {
    let mut node = node(HOSTS);
    let heartbeat = heartbeat(5);
    assert_allocations("heartbeat", 0, || drop(node.on_heartbeat(NOW, &heartbeat)));
}

#[test]
fn tick_allocations_are_bounded_in_large_fleet() {
    let mut node = node(HOSTS);
    node.tick(NOW + 50 * MILLI);
    assert_allocations("tick", 10, || drop(node.tick(NOW + 100 * MILLI)));
    assert_allocations("tick with heartbeats", 41, || drop(node.tick(NOW + 500 * MILLI)));
}

#[test]
fn steward_tick_allocations_are_bounded() {
    let mut world = World::new(1);
    world.run(5 * SECOND).unwrap();
    let now = world.now;
    let node = &mut world.hosts[0].node;
    node.tick(now);
    assert_allocations("tick of an idle steward", 40, || drop(node.tick(now + MILLI)));
}
