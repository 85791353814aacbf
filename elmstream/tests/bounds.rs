//! Limits on table calls and messages. Each limit leaves about 10 percent above
//! the normal number. A change that needs a higher limit must say so.

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

/// Table calls of two idle regions in a minute; 84 are normal.
const TABLE_CALLS_PER_MINUTE: u64 = 92;
/// Messages of six idle hosts in a minute, replies included; 7,200 are normal.
const MESSAGES_PER_MINUTE: u64 = 7_920;
/// Number of hosts in the largest planned fleet.
const HOSTS: usize = 2_900;

#[test]
fn idle_fleet_makes_few_table_calls_and_messages() {
    let mut world = World::new(9);
    world.run(5 * SECOND).unwrap();
    let (calls, messages) = (world.calls, world.messages);
    world.run(60 * SECOND).unwrap();
    let (calls, messages) = (world.calls - calls, world.messages - messages);
    println!("in an idle minute: {calls} table calls, {messages} messages");
    assert!(calls <= TABLE_CALLS_PER_MINUTE, "{calls}");
    assert!(messages <= MESSAGES_PER_MINUTE, "{messages}");
}

fn name(index: usize) -> Name {
    format!("host-{index:04}").into()
}

/// A node that has received heartbeats of all 2,900 hosts in three failure
/// domains.
fn node_of_largest_fleet(catalog: Catalog) -> Node {
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
        let heartbeat = Heartbeat {
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
        node.on_heartbeat(now, &heartbeat);
    }
    node
}

#[test]
fn host_of_large_fleet_sends_few_heartbeats() {
    let mut node = node_of_largest_fleet(catalog(1, &[]));
    for round in 1..20 {
        node.request_early_heartbeat();
        let commands = node.tick(Time(SECOND) + round * 50 * MILLI);
        let heartbeats = commands.iter().filter(|c| matches!(c, Command::Heartbeat(..)));
        assert!(heartbeats.count() <= FULL_MESH_PEERS_MAX);
    }
}
