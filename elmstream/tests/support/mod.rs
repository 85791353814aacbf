//! Simulated network, table and clock around several nodes.
//!
//! All hosts share one virtual clock. A paused host receives its messages when it
//! resumes; a restarted host is another incarnation without the memory of the
//! former one.

pub mod event;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use elmstream::{
    admission::{RunResult, Slot},
    allotment::Row,
    block::BlockTable,
    catalog::{Backend, Catalog, Domain, Region, Service, ShiftCap, Site},
    id::{DomainId, HostRef, Incarnation, Name, RegionId, ServiceId},
    member::ListedHost,
    message::{Command, Fence, FenceReply, Heartbeat, HeartbeatReply},
    node::{Node, NodeSettings},
    request_handling::{OwnerAnswer, OwnerRequest},
    steward::{StoredRow, WriteOutcome},
    time::{MILLI, SECOND, Time},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time step of the simulation, in microseconds.
pub const TIME_STEP: u64 = 10 * MILLI;
/// Time between the ticks of a node, in microseconds.
const TICK_INTERVAL: u64 = 50 * MILLI;
/// Requests in any second that may shift from one region to another.
pub const SHIFT_CAP_PER_SECOND: u32 = 40;
/// Slots of each backend server.
pub const SLOTS_PER_SERVER: u32 = 2;
/// Names and failure domains of the hosts.
pub const HOSTS: [(&str, &str); 6] =
    [("h0", "na"), ("h1", "na"), ("h2", "nb"), ("h3", "nb"), ("h4", "sa"), ("h5", "sa")];
/// Names of the failure domains and their regions' indexes.
const DOMAINS: [(&str, u32); 3] = [("na", 0), ("nb", 0), ("sa", 1)];
/// Number of backend servers in each failure domain.
const BACKENDS_PER_DOMAIN: usize = 3;

/// Message, or the result of a table call.
#[derive(Clone)]
enum Packet {
    Heartbeat(Heartbeat),
    HeartbeatReply(HeartbeatReply),
    Fence(Fence),
    FenceReply(FenceReply),
    RowRead(Option<StoredRow>),
    RowReadFailed,
    RowWritten(WriteOutcome),
}

/// Packet in transit.
struct Delivery {
    at: Time,
    from: usize,
    to: usize,
    incarnation: u64,
    packet: Packet,
}

/// Request that a backend server runs.
struct Running {
    host: usize,
    incarnation: u64,
    slot: Slot,
    done_at: Time,
    /// The backend server ends the request by this time even if its owner does
    /// not.
    deadline: Time,
    released: bool,
}

/// Entry host of the world.
pub struct Host {
    /// State and decisions of the host.
    pub node: Node,
    incarnation: u64,
    paused_until: Time,
    last_tick: Time,
}

/// Simulated fleet with its network, table and clock.
pub struct World {
    /// Current time.
    pub now: Time,
    /// Entry hosts by index.
    pub hosts: Vec<Host>,
    /// Configuration that all nodes get.
    pub catalog: Arc<Catalog>,
    /// Number of row writes that took effect.
    pub writes: u64,
    /// Number of table calls.
    pub calls: u64,
    /// Number of messages between hosts.
    pub messages: u64,
    rows: BTreeMap<Name, StoredRow>,
    deliveries: VecDeque<Delivery>,
    running: Vec<Running>,
    shift_times: BTreeMap<(u32, u32), VecDeque<Time>>,
    rng: StdRng,
    last_version: u64,
    table_down_until: Time,
    table_delay: u64,
    lose_answers: u32,
    cut_until: BTreeMap<(usize, usize), Time>,
    list_frozen_until: Time,
    killed: Vec<bool>,
    /// Names and failure domains of the hosts, by index.
    layout: Vec<(Name, &'static str)>,
    backends_per_domain: usize,
}

/// Configuration of the small world without the removed servers.
pub fn catalog(revision: u64, removed: &[&str]) -> Catalog {
    catalog_of(revision, BACKENDS_PER_DOMAIN, removed)
}

/// Configuration with this number of backend servers in each failure domain,
/// without the removed servers.
pub fn catalog_of(revision: u64, backends_per_domain: usize, removed: &[&str]) -> Catalog {
    let region = |name: &str| Region { name: name.into(), draining: false };
    let domain = |&(name, region): &(&str, u32)| Domain {
        name: name.into(),
        region: RegionId(region),
        draining: false,
    };
    let mut backends = Vec::new();
    for (index, (name, _)) in DOMAINS.iter().enumerate() {
        for number in 0..backends_per_domain {
            let name = format!("{name}-{number}");
            if removed.contains(&name.as_str()) {
                continue;
            }
            backends.push(Backend {
                name: name.as_str().into(),
                service: ServiceId(0),
                domain: DomainId(index as u32),
                address: "127.0.0.1:1".parse().unwrap(),
                slots: SLOTS_PER_SERVER,
                draining: false,
            });
        }
    }
    let cap = ShiftCap { per_second: SHIFT_CAP_PER_SECOND, ramp: 0 };
    let pairs = [(0, 1), (1, 0)].map(|(a, b)| (RegionId(a), RegionId(b)));
    Catalog {
        revision,
        regions: vec![region("north"), region("south")],
        domains: DOMAINS.iter().map(domain).collect(),
        sites: vec![Site { name: "site".into(), home: RegionId(0) }],
        services: vec![service()],
        backends,
        blocks: BlockTable::default(),
        delays: pairs.iter().map(|&p| (p, 10 * MILLI)).collect(),
        shift_caps: pairs.iter().map(|&(a, b)| ((ServiceId(0), a, b), cap)).collect(),
        links: BTreeMap::new().into_iter().collect(),
        draining_hosts: Vec::new(),
    }
}

/// The only service of the world.
pub fn service() -> Service {
    Service {
        name: "orders".into(),
        hosts: vec!["orders.example".into()],
        priority: 5,
        load_limit_percent: 100,
        headroom_percent: 0,
        deadline: 2 * SECOND,
        retry_percent: 10,
        queue_per_slot: 4,
        repeatable_methods: vec!["GET".into()],
        repeatable_paths: Vec::new(),
        once: Default::default(),
        isolation: Default::default(),
        slow_start: 0,
    }
}

impl World {
    /// Creates a small world that has just started.
    pub fn new(seed: u64) -> World {
        let layout = HOSTS.iter().map(|&(name, domain)| (name.into(), domain)).collect();
        World::with_layout(seed, layout, BACKENDS_PER_DOMAIN)
    }

    /// Creates a world with many hosts. Of every five hosts, two are in each
    /// failure domain of the north and one is in the south.
    pub fn large(seed: u64, hosts: usize, backends_per_domain: usize) -> World {
        let domain = |index: usize| ["na", "nb", "sa", "na", "nb"][index % 5];
        let layout = (0..hosts).map(|i| (format!("host-{i:04}").into(), domain(i))).collect();
        World::with_layout(seed, layout, backends_per_domain)
    }

    fn with_layout(
        seed: u64,
        layout: Vec<(Name, &'static str)>,
        backends_per_domain: usize,
    ) -> World {
        let hosts = layout.len();
        let mut world = World {
            now: Time(SECOND),
            hosts: Vec::new(),
            catalog: Arc::new(catalog_of(1, backends_per_domain, &[])),
            writes: 0,
            calls: 0,
            messages: 0,
            rows: BTreeMap::new(),
            deliveries: VecDeque::new(),
            running: Vec::new(),
            shift_times: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            last_version: 0,
            table_down_until: Time(0),
            table_delay: 0,
            lose_answers: 0,
            cut_until: BTreeMap::new(),
            list_frozen_until: Time(0),
            killed: vec![false; hosts],
            layout,
            backends_per_domain,
        };
        for index in 0..hosts {
            let host = world.start(index, 1);
            world.hosts.push(host);
        }
        world.publish_host_list();
        world
    }

    fn start(&mut self, index: usize, incarnation: u64) -> Host {
        let (name, domain) = self.layout[index].clone();
        let mut node = Node::new(NodeSettings {
            me: HostRef { host: name, incarnation: Incarnation(incarnation) },
            domain: domain.into(),
            seed: self.rng.random(),
        });
        node.set_catalog(self.now, self.catalog.clone());
        Host { node, incarnation, paused_until: Time(0), last_tick: Time(0) }
    }

    /// Advances the time by `micros` with load, and checks the invariants after
    /// each step.
    pub fn run(&mut self, micros: u64) -> Result<(), String> {
        let end = self.now + micros;
        while self.now < end {
            self.now = self.now + TIME_STEP;
            self.deliver();
            self.tick_nodes();
            self.generate_load();
            self.finish_requests();
            self.check_invariants()?;
        }
        Ok(())
    }

    /// Pauses a host.
    pub fn pause(&mut self, host: usize, micros: u64) {
        self.hosts[host].paused_until = self.now + micros;
    }

    /// Kills a host and starts it again at once.
    pub fn restart(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation + 1;
        self.running.retain(|r| r.host != host);
        self.hosts[host] = self.start(host, incarnation);
        self.killed[host] = false;
        self.publish_host_list();
    }

    /// Kills a host for good. The next host list does not contain it.
    pub fn kill(&mut self, host: usize) {
        self.running.retain(|r| r.host != host);
        self.hosts[host].paused_until = Time(u64::MAX);
        self.killed[host] = true;
    }

    /// Begins a planned stop of a host.
    pub fn stop(&mut self, host: usize) {
        self.hosts[host].node.begin_stop();
    }

    /// Prevents two hosts from reaching each other.
    pub fn cut(&mut self, a: usize, b: usize, micros: u64) {
        self.cut_until.insert((a.min(b), a.max(b)), self.now + micros);
    }

    /// Makes table calls fail.
    pub fn fail_table(&mut self, micros: u64) {
        self.table_down_until = self.now + micros;
    }

    /// Delays the answers of table calls.
    pub fn slow_table(&mut self, micros: u64) {
        self.table_delay = micros;
    }

    /// Loses the answers of the next writes that take effect.
    pub fn lose_answers(&mut self, count: u32) {
        self.lose_answers += count;
    }

    /// Stops updates of the host list.
    pub fn freeze_list(&mut self, micros: u64) {
        self.list_frozen_until = self.now + micros;
    }

    /// Puts a configuration in force on all hosts.
    pub fn configure(&mut self, catalog: Catalog) {
        self.catalog = Arc::new(catalog);
        for host in &mut self.hosts {
            host.node.set_catalog(self.now, self.catalog.clone());
        }
    }

    /// Hosts that may act on each backend server now.
    pub fn acting_hosts(&self) -> BTreeMap<Name, Vec<usize>> {
        let mut acting: BTreeMap<Name, Vec<usize>> = BTreeMap::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let node = &host.node;
            if self.killed[index] || !node.lease().is_held(self.now) {
                continue;
            }
            for (name, _) in node.row().owned_by(node.me()) {
                acting.entry(name.clone()).or_default().push(index);
            }
        }
        acting
    }

    /// Gives all hosts the current host list, unless updates are stopped.
    fn publish_host_list(&mut self) {
        if self.now < self.list_frozen_until {
            return;
        }
        let listed = |(index, (name, domain)): (usize, &(Name, &'static str))| {
            let address = "127.0.0.1:1".parse().unwrap();
            (!self.killed[index]).then(|| ListedHost {
                name: name.clone(),
                domain: (*domain).into(),
                callers: address,
                peers: address,
                leaving: false,
            })
        };
        let list: Vec<_> = self.layout.iter().enumerate().filter_map(listed).collect();
        for host in &mut self.hosts {
            host.node.apply_host_list(self.now, list.clone(), Vec::new());
        }
    }

    /// Backend servers in each failure domain, including removed ones.
    pub fn backends_per_domain(&self) -> usize {
        self.backends_per_domain
    }

    /// Index of a host's region: 0 is north, 1 is south.
    pub fn region_of(&self, host: usize) -> u32 {
        u32::from(self.layout[host].1 == "sa")
    }

    fn is_paused(&self, host: usize) -> bool {
        self.now < self.hosts[host].paused_until
    }

    fn tick_nodes(&mut self) {
        if self.now.0.is_multiple_of(SECOND) {
            self.publish_host_list();
        }
        for index in 0..self.hosts.len() {
            if self.is_paused(index) || self.now.since(self.hosts[index].last_tick) < TICK_INTERVAL
            {
                continue;
            }
            self.hosts[index].last_tick = self.now;
            self.hosts[index].node.confirm_revision(self.now);
            let commands = self.hosts[index].node.tick(self.now);
            self.carry_out(index, commands);
        }
    }

    fn carry_out(&mut self, from: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Heartbeat(to, heartbeat) => {
                    self.send(from, &to, Packet::Heartbeat(heartbeat))
                }
                Command::Fence(to, fence) => self.send(from, &to, Packet::Fence(fence)),
                Command::ReadRow(region) => self.read(from, &region),
                Command::WriteRow { row, expect } => self.write(from, row, expect),
                Command::Wake(_) | Command::Event(_) | Command::Probe(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, packet: Packet) {
        let to = self.layout.iter().position(|(name, _)| **name == *to).unwrap();
        self.send_packet(from, to, packet, 0);
    }

    fn send_packet(&mut self, from: usize, to: usize, packet: Packet, extra_delay: u64) {
        self.messages += u64::from(from != to);
        let cut = self.cut_until.get(&(from.min(to), from.max(to)));
        if cut.is_some_and(|&until| self.now < until) {
            return;
        }
        let at = self.now + extra_delay + self.rng.random_range(MILLI..30 * MILLI);
        let incarnation = self.hosts[to].incarnation;
        self.deliveries.push_back(Delivery { at, from, to, incarnation, packet });
    }

    fn read(&mut self, from: usize, region: &Name) {
        self.calls += 1;
        let packet = match self.now < self.table_down_until {
            true => Packet::RowReadFailed,
            false => Packet::RowRead(self.rows.get(region).cloned()),
        };
        let delay = self.table_delay;
        self.send_packet(from, from, packet, delay);
    }

    fn write(&mut self, from: usize, row: Row, expect: u64) {
        self.calls += 1;
        let delay = self.table_delay;
        if self.now < self.table_down_until {
            return self.send_packet(from, from, Packet::RowWritten(WriteOutcome::Refused), delay);
        }
        let version_in_table = self.rows.get(&row.region).map_or(0, |s| s.version);
        let mut outcome = WriteOutcome::Conflict;
        if version_in_table == expect {
            self.last_version += 1;
            self.writes += 1;
            let version = self.last_version;
            self.rows.insert(row.region.clone(), StoredRow { row, version });
            outcome = WriteOutcome::Written(version);
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            outcome = WriteOutcome::Unknown;
        }
        self.send_packet(from, from, Packet::RowWritten(outcome), delay);
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|f| f.at <= self.now && !self.is_paused(f.to));
        self.deliveries = later;
        for delivery in due {
            if delivery.incarnation == self.hosts[delivery.to].incarnation {
                self.receive(delivery);
            }
        }
    }

    fn receive(&mut self, delivery: Delivery) {
        let (to, now) = (delivery.to, self.now);
        let node = &mut self.hosts[to].node;
        let commands = match delivery.packet {
            Packet::Heartbeat(heartbeat) => {
                let reply = node.on_heartbeat(now, &heartbeat);
                self.send_packet(to, delivery.from, Packet::HeartbeatReply(reply), 0);
                return;
            }
            Packet::Fence(fence) => {
                let reply = node.on_fence(&fence);
                self.send_packet(to, delivery.from, Packet::FenceReply(reply), 0);
                return;
            }
            Packet::HeartbeatReply(reply) => node.on_heartbeat_reply(now, &reply),
            Packet::FenceReply(reply) => {
                node.on_fence_reply(reply);
                return;
            }
            Packet::RowRead(stored) => node.on_row_read(now, stored),
            Packet::RowReadFailed => {
                node.on_row_read_failed();
                return;
            }
            Packet::RowWritten(outcome) => node.on_row_written(now, outcome),
        };
        self.carry_out(to, commands);
    }

    /// Asks each running host for a slot, with a random home region.
    fn generate_load(&mut self) {
        for index in 0..self.hosts.len() {
            if self.is_paused(index) {
                continue;
            }
            let home = self.rng.random_range(0..2u32);
            let home_name = ["north", "south"][home as usize];
            let request =
                OwnerRequest { service: "orders", home: home_name, deadline: SECOND, max_wait: 0 };
            let node = &mut self.hosts[index].node;
            let OwnerAnswer::Run(slot) = node.request_slot(self.now, &request) else { continue };
            let Ok(span) = node.dispatch(self.now, &slot, self.now + SECOND) else {
                node.finish_run(self.now, &slot, RunResult::Cancelled, 0);
                continue;
            };
            let here = self.region_of(index);
            if home != here {
                self.shift_times.entry((home, here)).or_default().push_back(self.now);
            }
            let run_time = self.rng.random_range(5 * MILLI..200 * MILLI);
            self.running.push(Running {
                host: index,
                incarnation: self.hosts[index].incarnation,
                slot,
                done_at: self.now + run_time.min(span.end_within),
                deadline: self.now + span.end_within,
                released: false,
            });
        }
    }

    /// Ends requests: at the owner once it runs, and at the server no later than
    /// the deadline.
    fn finish_requests(&mut self) {
        let now = self.now;
        for index in 0..self.running.len() {
            let running = &self.running[index];
            let host = running.host;
            if running.released || now < running.done_at || now < self.hosts[host].paused_until {
                continue;
            }
            if running.incarnation == self.hosts[host].incarnation {
                let slot = running.slot.clone();
                self.hosts[host].node.finish_run(now, &slot, RunResult::Succeeded, 10 * MILLI);
            }
            self.running[index].released = true;
        }
        self.running.retain(|r| !r.released || now < r.done_at);
        let paused: Vec<bool> = (0..self.hosts.len()).map(|h| self.is_paused(h)).collect();
        self.running.retain(|r| !(paused[r.host] && now >= r.deadline));
    }

    /// Checks all invariants.
    fn check_invariants(&mut self) -> Result<(), String> {
        for (backend, hosts) in self.acting_hosts() {
            if hosts.len() > 1 {
                return Err(format!("{:?}: hosts {hosts:?} act on {backend}", self.now));
            }
        }
        self.check_parts()?;
        self.check_slots()?;
        self.check_caps()
    }

    /// Checks that the parts of a region's caps in use never sum to more than the
    /// whole.
    fn check_parts(&self) -> Result<(), String> {
        for region in 0..2 {
            let in_region = |index: &usize| self.region_of(*index) == region;
            let owners = (0..self.hosts.len()).filter(in_region).filter(|&i| !self.killed[i]);
            let owners = owners.filter(|&i| self.hosts[i].node.lease().is_held(self.now));
            let sum: u64 = owners.map(|i| self.part_in_use(i)).sum();
            if sum > elmstream::token_bucket::PARTS_PER_WHOLE {
                return Err(format!("{:?}: parts of region {region} sum to {sum}", self.now));
            }
        }
        Ok(())
    }

    fn part_in_use(&self, index: usize) -> u64 {
        let node = &self.hosts[index].node;
        let row = node.row();
        row.owned_by(node.me()).map(|(_, grant)| row.effective_part(grant)).sum()
    }

    /// Checks that no backend server runs more requests than it has slots.
    fn check_slots(&self) -> Result<(), String> {
        let mut counts: BTreeMap<&Name, u32> = BTreeMap::new();
        for running in &self.running {
            *counts.entry(&running.slot.backend).or_default() += 1;
        }
        match counts.iter().find(|(_, count)| **count > SLOTS_PER_SERVER) {
            Some((name, count)) => Err(format!("{:?}: {count} requests at {name}", self.now)),
            None => Ok(()),
        }
    }

    /// Checks that no more requests shift in any second than the cap allows.
    fn check_caps(&mut self) -> Result<(), String> {
        for (pair, times) in &mut self.shift_times {
            while times.front().is_some_and(|&t| self.now.since(t) >= SECOND) {
                times.pop_front();
            }
            if times.len() > SHIFT_CAP_PER_SECOND as usize {
                return Err(format!("{:?}: {} shifts {pair:?} in a second", self.now, times.len()));
            }
        }
        Ok(())
    }
}
