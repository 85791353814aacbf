//! A small fleet in virtual time.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use elmstream::time::{MILLI, Time};
use elmstream_steer::{
    Bounds, Host, Pick, PickRequest, Settings, Steer,
    homes::Homes,
    model::{Configuration, Limits, Repeatability, Route, Server, Service, WeightedService},
    policies::Policies,
    servers::ServerIndex,
    store_schedule::ReadReason,
    version::StoreVersion,
    view::{Row, RowContent, RowKey, Table},
};

/// Failure domains and their regions.
pub const DOMAINS: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
/// The only service.
pub const SERVICE: &str = "shop";
/// Requests a second that a cold server can handle.
pub const COLD_PER_S: f64 = 9.0;

/// An address derived from a number.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80))
}

/// The number of the host with a peer address.
pub fn host_number(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            (usize::from(high) << 8 | usize::from(low)) - 2_000
        }
        IpAddr::V6(_) => unreachable!("addresses are of IPv4"),
    }
}

/// The state of a host, by its number.
pub fn host(number: usize, now: Time) -> Steer {
    host_with_incarnation(number, now, 1)
}

/// The state of a host's start with a given incarnation.
pub fn host_with_incarnation(number: usize, now: Time, incarnation: u64) -> Steer {
    let (domain, region) = DOMAINS[number % DOMAINS.len()];
    let settings = Settings {
        host: Host {
            name: format!("host-{number}"),
            domain: domain.into(),
            region: region.into(),
            callers: address(1_000 + number),
            peers: address(2_000 + number),
        },
        incarnation,
        domains: domains(),
        bounds: Bounds::default(),
        policies: Policies::default(),
    };
    Steer::new(settings, now)
}

/// Region of each failure domain.
pub fn domains() -> BTreeMap<String, String> {
    DOMAINS.iter().map(|(domain, region)| ((*domain).into(), (*region).into())).collect()
}

/// A route to the service.
pub fn route(repeat: Repeatability, homes: &[&str]) -> Route {
    Route {
        name: "r".into(),
        host: "shop.example".into(),
        prefix: "/".into(),
        repeat,
        attempts: 2,
        timeout_ms: 800,
        objective_ms: 300,
        priority: 0,
        affinity: true,
        homes: homes.iter().map(|home| (*home).into()).collect(),
        parts: vec![WeightedService { service: SERVICE.into(), weight: 1.0 }],
        open: false,
    }
}

/// A configuration row.
pub fn configuration(version: u64, stored: u64) -> Row {
    let service = Service { name: SERVICE.into(), cold_ms: 3_000, cold_per_s: COLD_PER_S };
    let configuration = Configuration {
        version,
        routes: vec![route(Repeatability::Safe, &[])],
        services: vec![service],
        limits: Limits::default(),
        workspaces: Vec::new(),
    };
    let content = Some(RowContent::Configuration(configuration));
    Row::new(RowKey::Configuration, at(stored), content)
}

/// A server row.
pub fn server(id: &str, domain: &str, stored: u64) -> Row {
    let server = Server {
        service: SERVICE.into(),
        address: address(1),
        domain: domain.into(),
        slots: 6,
        draining: false,
        cold_ms: 0,
        born: 0,
        entries: 0,
        version: String::new(),
    };
    Row::new(RowKey::Server(id.into()), at(stored), Some(RowContent::Server(server)))
}

/// A server row with a changed server and version.
pub fn with(mut row: Row, stored: u64, change: impl Fn(&mut Server)) -> Row {
    if let Some(RowContent::Server(server)) = &mut row.content {
        change(server);
    }
    row.version = at(stored);
    row
}

/// A tombstone.
pub fn tombstone(key: RowKey, stored: u64) -> Row {
    Row::new(key, at(stored), None)
}

/// Server rows, `per_domain` of them in each failure domain.
pub fn servers(per_domain: usize) -> Vec<Row> {
    let ids = (0..per_domain).flat_map(|n| DOMAINS.map(|(domain, _)| (n, domain)));
    ids.map(|(n, domain)| server(&format!("s-{domain}-{n}"), domain, 10)).collect()
}

/// A host that has read a configuration and servers.
pub fn ready(number: usize, now: Time, rows: Vec<Row>) -> Steer {
    let mut steer = host(number, now);
    steer.on_full_read(now, Table::Rules, at(10), vec![configuration(1, 10)]);
    steer.on_full_read(now, Table::Servers, at(10), rows);
    steer.tick(now);
    steer
}

/// Exchanges one heartbeat between all pairs of hosts for which `is_received` holds.
pub fn exchange_heartbeats(
    now: Time,
    hosts: &mut [Steer],
    is_received: impl Fn(usize, usize) -> bool,
) {
    let heartbeats: Vec<_> = hosts.iter_mut().map(|host| host.next_heartbeat(now)).collect();
    for (to, host) in hosts.iter_mut().enumerate() {
        for (from, heartbeat) in heartbeats.iter().enumerate() {
            if from != to && is_received(from, to) {
                host.on_heartbeat(now, heartbeat);
            }
        }
        host.tick(now);
    }
}

/// A first attempt with a key.
pub fn pick_request<'a>(route: &'a Route, key: u64) -> PickRequest<'a> {
    PickRequest {
        route,
        service: SERVICE,
        key,
        tried: &[],
        withheld: &[],
        returning: false,
        homes: Homes { route: &route.homes, workspace: &[] },
        priority: route.priority,
        workspace: None,
        remaining_ms: route.timeout_ms,
    }
}

/// Picks a server for a request with a key.
pub fn send(steer: &mut Steer, now: Time, route: &Route, key: u64) -> Pick {
    steer.pick_server(now, &pick_request(route, key))
}

/// The id of a server.
pub fn id(steer: &Steer, index: ServerIndex) -> String {
    steer.servers().get(index).expect("it was just chosen").id.clone()
}

/// A version of a store that reports no era.
pub fn at(count: u64) -> StoreVersion {
    StoreVersion::new(0, count)
}

/// A time in milliseconds.
pub fn ms(millis: u64) -> Time {
    Time(1_000_000 * MILLI + millis * MILLI)
}

/// Results of a host's calls to the store.
pub mod store {
    use super::*;

    /// The store answered with changed rows.
    pub fn answered(
        host: &mut Steer,
        now: Time,
        (table, reason): (Table, ReadReason),
        rows: Vec<Row>,
    ) {
        let version = rows.iter().map(|row| row.version).max().unwrap_or_default();
        host.on_changes(now, table, rows);
        host.record_store_answer(table, reason, now, version);
    }

    /// A call failed.
    pub fn failed(host: &mut Steer, now: Time, table: Table) {
        host.record_store_failure(now, table);
    }
}
