//! Capacity slopes: the cost of one more unit, fitted over several sizes.

use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Instant,
};

use elmstream::{
    allotment::{self, Row},
    catalog::Catalog,
    id::{HostRef, Incarnation, Name, RegionId},
    member::ListedHost,
    message::{Heartbeat, ServiceLoad},
    node::{Node, NodeSettings},
    time::{MILLI, Time},
    witness_groups::Candidate,
};
use elmstream_config::{
    Configuration,
    compile::compile,
    difference::{apply, difference},
    document::{BackendServer, FailureDomain, Region, Service, Site},
};
use elmstream_proto::peer::{Open, encode};

/// Number of regions of the planned size.
const REGIONS: usize = 13;
/// Number of failure domains of the planned size.
const FAILURE_DOMAINS: usize = 36;
/// Number of sites of the planned size.
const SITES: usize = 770;
/// Number of client address blocks of the planned size.
const ADDRESS_BLOCKS: usize = 130_000;
/// Number of lookups that are timed.
const TIMED_LOOKUPS: u32 = 1_000_000;

/// A measured point of a slope.
struct Point {
    size: f64,
    cost: f64,
}

/// Prints the points, the line fitted to them and its largest error.
fn print_fit(what: &str, unit: &str, points: &[Point]) {
    let count = points.len() as f64;
    let mean = |f: &dyn Fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / count;
    let (x, y) = (mean(&|p| p.size), mean(&|p| p.cost));
    let covariance = mean(&|p| (p.size - x) * (p.cost - y));
    let slope = covariance / mean(&|p| (p.size - x).powi(2));
    let base = y - slope * x;
    let error = |p: &Point| (p.cost - base - slope * p.size).abs();
    let worst = points.iter().map(error).fold(0.0, f64::max);
    for point in points {
        println!("  {what}: size {:>8} costs {:.1} {unit}", point.size, point.cost);
    }
    println!("{what}: {base:.1} + {slope:.4} x size {unit}, largest error {worst:.1}\n");
}

/// Prints all slopes.
pub fn run() {
    blocks();
    changes();
    heartbeats();
    ticks();
    plans();
}

/// A configuration of regions, failure domains and sites, with one service.
fn location_configuration(blocks: usize, sites: usize) -> Configuration {
    let mut c = Configuration::default();
    for region in 0..REGIONS {
        c.regions.push(Region { name: format!("region-{region}") });
    }
    for domain in 0..FAILURE_DOMAINS {
        let region = format!("region-{}", domain % REGIONS);
        c.failure_domains.push(FailureDomain { name: format!("domain-{domain}"), region });
    }
    for site in 0..sites {
        let home_region = format!("region-{}", site % REGIONS);
        let name = format!("site-{site}");
        c.sites.push(Site { name, home_region, blocks: Vec::new() });
    }
    for block in 0..blocks {
        let address = Ipv4Addr::from((block as u32) << 10);
        let network = format!("{address}/22").parse().expect("the block is valid");
        c.sites[block % sites].blocks.push(network);
    }
    c.services.push(Service { name: "orders".into(), ..Service::default() });
    c
}

/// Client address blocks: memory of their table and time of a lookup.
fn blocks() {
    let (mut bytes, mut nanos) = (Vec::new(), Vec::new());
    for (blocks, sites) in [(1_000, 10), (10_000, 100), (50_000, 400), (ADDRESS_BLOCKS, SITES)] {
        let catalog = Arc::new(compile(&location_configuration(blocks, sites), 1));
        bytes.push(Point { size: blocks as f64, cost: catalog.blocks.heap_bytes() as f64 });
        let mut node = node_with_hosts(catalog, 12);
        let begin = Instant::now();
        for number in 0..TIMED_LOOKUPS {
            let client = number.wrapping_mul(2_654_435_761) % ((blocks as u32) << 10);
            let client = IpAddr::V4(Ipv4Addr::from(client));
            let _ = black_box(node.lookup(START_TIME, client, "orders"));
        }
        let cost = begin.elapsed().as_nanos() as f64 / f64::from(TIMED_LOOKUPS);
        nanos.push(Point { size: blocks as f64, cost });
    }
    print_fit("blocks, memory of the table", "bytes", &bytes);
    print_fit("blocks, a look-up's decision", "ns", &nanos);
}

/// Removal of one block: time from the edits until the configuration is compiled, and size
/// of the edits.
fn changes() {
    let (mut times, mut sizes) = (Vec::new(), Vec::new());
    for (blocks, sites) in [(1_000, 10), (10_000, 100), (50_000, 400), (ADDRESS_BLOCKS, SITES)] {
        let old = location_configuration(blocks, sites);
        let mut next = old.clone();
        next.sites[0].blocks.pop();
        let edits = difference(&old, &next);
        let bytes = serde_json::to_vec(&edits).map_or(0, |text| text.len());
        sizes.push(Point { size: blocks as f64, cost: bytes as f64 });
        let begin = Instant::now();
        let applied = apply(&old, &edits).map(|c| compile(&c, 2).revision);
        assert_eq!(applied.ok(), Some(2));
        times.push(Point { size: blocks as f64, cost: begin.elapsed().as_micros() as f64 });
    }
    print_fit("blocks, a change taken", "us", &times);
    print_fit("blocks, a change's edits", "bytes", &sizes);
}

/// Time between the measured ticks.
const TICK_INTERVAL: u64 = 50 * MILLI;
/// The time at which all measurements begin.
const START_TIME: Time = Time(1_000_000_000);

fn host_name(index: usize) -> Name {
    format!("host-{index}").into()
}

fn listed_host(index: usize) -> ListedHost {
    let address = "127.0.0.1:1".parse().expect("the address is valid");
    let domain = format!("domain-{}", index % FAILURE_DOMAINS).into();
    let name = host_name(index);
    ListedHost { name, domain, callers: address, peers: address, leaving: false }
}

fn heartbeat(index: usize) -> Heartbeat {
    let load = |service: &str| ServiceLoad {
        service: service.into(),
        slots: 40,
        in_flight: 17,
        queued: 2,
    };
    Heartbeat {
        from: HostRef { host: host_name(index), incarnation: Incarnation(u64::MAX / 3) },
        domain: format!("domain-{}", index % FAILURE_DOMAINS).into(),
        region: format!("region-{}", index % FAILURE_DOMAINS % REGIONS).into(),
        sequence: 1_000_000,
        epoch: 10_000,
        settled: true,
        revision: 100_000,
        leaving: false,
        loads: ["status", "release", "intake"].map(load).to_vec(),
        lingering: Vec::new(),
        sightings: Vec::new(),
    }
}

/// A node that has received heartbeats of `hosts` - 1 other hosts.
fn node_with_hosts(catalog: Arc<Catalog>, hosts: usize) -> Node {
    let me = HostRef { host: host_name(0), incarnation: Incarnation(1) };
    let mut node = Node::new(NodeSettings { me, domain: "domain-0".into(), seed: 1 });
    node.set_catalog(START_TIME, catalog);
    node.apply_host_list(START_TIME, (0..hosts).map(listed_host).collect(), Vec::new());
    for index in 1..hosts {
        node.on_heartbeat(START_TIME, &heartbeat(index));
    }
    node.tick(START_TIME);
    node
}

/// Heartbeats: their size on the wire and the time to process one.
fn heartbeats() {
    let coded = encode(&Open::Heartbeat(heartbeat(2_899))).map_or(0, |bytes| bytes.len());
    println!("heartbeat on the wire: {coded} bytes before QUIC\n");
    let catalog = Arc::new(compile(&location_configuration(10, 10), 1));
    let points = [10, 100, 1_000, 2_900].map(|hosts| {
        let mut node = node_with_hosts(catalog.clone(), hosts);
        let message = heartbeat(hosts - 1);
        let rounds = 200_000;
        let begin = Instant::now();
        for _ in 0..rounds {
            black_box(node.on_heartbeat(START_TIME, &message));
        }
        let cost = begin.elapsed().as_nanos() as f64 / f64::from(rounds);
        Point { size: hosts as f64, cost }
    });
    print_fit("hosts, a heartbeat taken", "ns", &points);
}

/// One tick of all subsystems, with heartbeats due.
fn ticks() {
    let catalog = Arc::new(compile(&location_configuration(10, 10), 1));
    let points = [10, 100, 1_000, 2_900].map(|hosts| {
        let mut node = node_with_hosts(catalog.clone(), hosts);
        let rounds = 20u32;
        let begin = Instant::now();
        for round in 1..=rounds {
            // Time advances by the smallest step, so that no host counts as silent.
            node.request_early_heartbeat();
            black_box(node.tick(START_TIME + u64::from(round) * TICK_INTERVAL));
        }
        let cost = begin.elapsed().as_micros() as f64 / f64::from(rounds);
        Point { size: hosts as f64, cost }
    });
    print_fit("hosts, a tick with heartbeats due", "us", &points);
}

/// The steward's plan of a region: time to make it, and size of its row.
fn plans() {
    let (mut times, mut sizes) = (Vec::new(), Vec::new());
    for servers in [100, 1_000, 3_000, 10_000] {
        let mut c = location_configuration(10, 10);
        for number in 0..servers {
            c.backend_servers.push(BackendServer {
                name: format!("server-{number}"),
                service: "orders".into(),
                // The failure domains of region 0.
                failure_domain: format!("domain-{}", number % 2 * REGIONS),
                address: "127.0.0.1:1".parse().expect("the address is valid"),
                slots: 4,
            });
        }
        let catalog = compile(&c, 1);
        let candidate = |index: usize| Candidate {
            host: HostRef { host: host_name(index), incarnation: Incarnation(u64::MAX / 3) },
            domain: format!("domain-{}", index % 2 * REGIONS).into(),
            may_own: true,
        };
        let hosts: Vec<Candidate> = (0..(servers / 10).min(220)).map(candidate).collect();
        let empty = Row { region: "region-0".into(), ..Row::default() };
        let begin = Instant::now();
        let row = allotment::plan_next_row(&catalog, RegionId(0), &empty, &hosts);
        times.push(Point { size: servers as f64, cost: begin.elapsed().as_micros() as f64 });
        let bytes = row.map_or(0, |row| serde_json::to_vec(&row).map_or(0, |text| text.len()));
        sizes.push(Point { size: servers as f64, cost: bytes as f64 });
    }
    print_fit("backend servers, a first plan", "us", &times);
    print_fit("backend servers, the row", "bytes", &sizes);
}
