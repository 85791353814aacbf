//! Bounds on counted things. Each is the measured figure and a margin of a
//! tenth; a change that needs more must say so.

#[allow(dead_code)]
mod support;

use elmstream::{
    catalog::Catalog,
    id::{HostRef, Incarnation, Name},
    member::{FULL_MESH_PEERS_MAX, ListedHost},
    message::{Command, Heartbeat},
    node::{Node, NodeSettings},
    time::{MILLI, SECOND, Time},
};
use support::{World, catalog};

/// Table calls of two regions in a minute at rest: measured 84.
const TABLE_CALLS_PER_MINUTE: u64 = 92;
/// Messages of six hosts in a minute at rest, answers counted: measured 7,200.
const MESSAGES_PER_MINUTE: u64 = 7_920;
/// Hosts of the planned size.
const HOSTS: usize = 2_900;

#[test]
fn a_fleet_at_rest_calls_and_talks_little() {
    let mut world = World::new(9);
    world.run(5 * SECOND).unwrap();
    let (calls, messages) = (world.calls, world.messages);
    world.run(60 * SECOND).unwrap();
    let (calls, messages) = (world.calls - calls, world.messages - messages);
    println!("in a minute at rest: {calls} table calls, {messages} messages");
    assert!(calls <= TABLE_CALLS_PER_MINUTE, "{calls}");
    assert!(messages <= MESSAGES_PER_MINUTE, "{messages}");
}

fn name(index: usize) -> Name {
    format!("host-{index:04}").into()
}

/// A node that has heard 2,900 hosts of three failure domains.
fn node_of_the_planned_size(catalog: Catalog) -> Node {
    let me = HostRef { host: name(0), incarnation: Incarnation(1) };
    let mut node = Node::new(NodeSettings { me, domain: "na".into(), seed: 1 });
    let now = Time(SECOND);
    node.set_catalog(now, catalog.into());
    let address = "127.0.0.1:1".parse().unwrap();
    let domain = |index: usize| Name::from(["na", "nb", "sa"][index % 3]);
    let listed = |index: usize| ListedHost {
        name: name(index),
        domain: domain(index),
        callers: address,
        peers: address,
        leaving: false,
    };
    node.apply_host_list(now, (0..HOSTS).map(listed).collect(), Vec::new());
    for index in 1..HOSTS {
        let from = HostRef { host: name(index), incarnation: Incarnation(1) };
        let region = ["north", "north", "south"][index % 3].into();
        let beat = Heartbeat {
            from,
            domain: domain(index),
            region,
            sequence: 1,
            epoch: 0,
            settled: false,
            revision: 1,
            leaving: false,
            loads: Vec::new(),
            lingering: Vec::new(),
            sightings: Vec::new(),
        };
        node.on_heartbeat(now, &beat);
    }
    node
}

#[test]
fn a_host_of_a_large_fleet_talks_to_few() {
    let mut node = node_of_the_planned_size(catalog(1, &[]));
    for round in 1..20 {
        node.request_early_heartbeat();
        let commands = node.tick(Time(SECOND) + round * 50 * MILLI);
        let beats = commands.iter().filter(|c| matches!(c, Command::Heartbeat(..)));
        assert!(beats.count() <= FULL_MESH_PEERS_MAX);
    }
}
