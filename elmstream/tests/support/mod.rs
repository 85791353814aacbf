//! A small fake of network, table and clock around several nodes.
//!
//! All hosts share one virtual clock. A paused host gets its messages when it
//! wakes; a restarted one is another incarnation and has lost its memory.

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

/// One step of the world.
pub const STEP: u64 = 10 * MILLI;
/// Time between a node's ticks.
const TICK: u64 = 50 * MILLI;
/// Requests in any second that may shift between each two regions.
pub const CAP: u32 = 40;
/// Slots of each backend server.
pub const SLOTS: u32 = 2;
/// Hosts: name, failure domain.
pub const HOSTS: [(&str, &str); 6] =
    [("h0", "na"), ("h1", "na"), ("h2", "nb"), ("h3", "nb"), ("h4", "sa"), ("h5", "sa")];
/// Failure domains and their regions.
const DOMAINS: [(&str, u32); 3] = [("na", 0), ("nb", 0), ("sa", 1)];
/// Backend servers in each failure domain.
const BACKENDS_EACH: usize = 3;

/// A message on its way.
#[derive(Clone)]
enum Packet {
    Beat(Heartbeat),
    BeatReply(HeartbeatReply),
    Fence(Fence),
    FenceReply(FenceReply),
    Read(Option<StoredRow>),
    ReadFailed,
    Written(WriteOutcome),
}

/// A packet, when and where it arrives, and from whom.
struct Flight {
    at: Time,
    from: usize,
    to: usize,
    incarnation: u64,
    packet: Packet,
}

/// A request that a backend server runs.
struct Running {
    host: usize,
    incarnation: u64,
    slot: Slot,
    done: Time,
    /// The backend server ends it by then, whatever its owner does.
    deadline: Time,
    released: bool,
}

/// An entry host of the world.
pub struct Host {
    /// The node.
    pub node: Node,
    incarnation: u64,
    paused_until: Time,
    ticked: Time,
}

/// Network, table, clock and hosts.
pub struct World {
    /// Now.
    pub now: Time,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The catalog that nodes are given.
    pub catalog: Arc<Catalog>,
    /// Writes of allotment rows that took effect.
    pub writes: u64,
    /// Calls to the table.
    pub calls: u64,
    /// Messages between hosts.
    pub messages: u64,
    rows: BTreeMap<Name, StoredRow>,
    flights: VecDeque<Flight>,
    running: Vec<Running>,
    shifted: BTreeMap<(u32, u32), VecDeque<Time>>,
    rng: StdRng,
    versions: u64,
    table_down_until: Time,
    table_slow: u64,
    lose_answers: u32,
    cut_until: BTreeMap<(usize, usize), Time>,
    list_frozen_until: Time,
    gone: Vec<bool>,
    /// Names and failure domains of the hosts.
    shape: Vec<(Name, &'static str)>,
    backends_each: usize,
}

/// The configuration of the world.
pub fn catalog(revision: u64, removed: &[&str]) -> Catalog {
    catalog_of(revision, BACKENDS_EACH, removed)
}

/// The configuration with so many backend servers in each failure domain.
pub fn catalog_of(revision: u64, backends_each: usize, removed: &[&str]) -> Catalog {
    let region = |name: &str| Region { name: name.into(), draining: false };
    let domain = |&(name, region): &(&str, u32)| Domain {
        name: name.into(),
        region: RegionId(region),
        draining: false,
    };
    let mut backends = Vec::new();
    for (index, (name, _)) in DOMAINS.iter().enumerate() {
        for number in 0..backends_each {
            let name = format!("{name}-{number}");
            if removed.contains(&name.as_str()) {
                continue;
            }
            backends.push(Backend {
                name: name.as_str().into(),
                service: ServiceId(0),
                domain: DomainId(index as u32),
                address: "127.0.0.1:1".parse().unwrap(),
                slots: SLOTS,
                draining: false,
            });
        }
    }
    let cap = ShiftCap { per_second: CAP, ramp: 0 };
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

/// The world's service.
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
    /// A world that has just started.
    pub fn new(seed: u64) -> World {
        let shape = HOSTS.iter().map(|&(name, domain)| (name.into(), domain)).collect();
        World::of(seed, shape, BACKENDS_EACH)
    }

    /// A world with many hosts: of five, two stand in each failure domain of
    /// the north and one in the south.
    pub fn large(seed: u64, hosts: usize, backends_each: usize) -> World {
        let domain = |index: usize| ["na", "nb", "sa", "na", "nb"][index % 5];
        let shape = (0..hosts).map(|i| (format!("host-{i:04}").into(), domain(i))).collect();
        World::of(seed, shape, backends_each)
    }

    fn of(seed: u64, shape: Vec<(Name, &'static str)>, backends_each: usize) -> World {
        let hosts = shape.len();
        let mut world = World {
            now: Time(SECOND),
            hosts: Vec::new(),
            catalog: Arc::new(catalog_of(1, backends_each, &[])),
            writes: 0,
            calls: 0,
            messages: 0,
            rows: BTreeMap::new(),
            flights: VecDeque::new(),
            running: Vec::new(),
            shifted: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            versions: 0,
            table_down_until: Time(0),
            table_slow: 0,
            lose_answers: 0,
            cut_until: BTreeMap::new(),
            list_frozen_until: Time(0),
            gone: vec![false; hosts],
            shape,
            backends_each,
        };
        for index in 0..hosts {
            let host = world.start(index, 1);
            world.hosts.push(host);
        }
        world.tell_list();
        world
    }

    fn start(&mut self, index: usize, incarnation: u64) -> Host {
        let (name, domain) = self.shape[index].clone();
        let mut node = Node::new(NodeSettings {
            me: HostRef { host: name, incarnation: Incarnation(incarnation) },
            domain: domain.into(),
            seed: self.rng.random(),
        });
        node.set_catalog(self.now, self.catalog.clone());
        Host { node, incarnation, paused_until: Time(0), ticked: Time(0) }
    }

    /// Lets time pass, with load, checking the invariants at each step.
    pub fn run(&mut self, micros: u64) -> Result<(), String> {
        let end = self.now + micros;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            self.tick();
            self.load();
            self.finish();
            self.check()?;
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
        self.gone[host] = false;
        self.tell_list();
    }

    /// Kills a host for good; the list drops it when it is told next.
    pub fn kill(&mut self, host: usize) {
        self.running.retain(|r| r.host != host);
        self.hosts[host].paused_until = Time(u64::MAX);
        self.gone[host] = true;
    }

    /// Begins a planned stop.
    pub fn stop(&mut self, host: usize) {
        self.hosts[host].node.begin_stop();
    }

    /// Cuts two hosts from each other.
    pub fn cut(&mut self, a: usize, b: usize, micros: u64) {
        self.cut_until.insert((a.min(b), a.max(b)), self.now + micros);
    }

    /// Takes the table service down.
    pub fn table_down(&mut self, micros: u64) {
        self.table_down_until = self.now + micros;
    }

    /// Slows the table service.
    pub fn table_slow(&mut self, micros: u64) {
        self.table_slow = micros;
    }

    /// Loses the answers of the next writes after they took effect.
    pub fn lose_answers(&mut self, count: u32) {
        self.lose_answers += count;
    }

    /// Freezes the host list.
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

    /// Who may act on each backend server now.
    pub fn acting(&self) -> BTreeMap<Name, Vec<usize>> {
        let mut acting: BTreeMap<Name, Vec<usize>> = BTreeMap::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let node = &host.node;
            if self.gone[index] || !node.lease().is_held(self.now) {
                continue;
            }
            for (name, _) in node.row().owned_by(node.me()) {
                acting.entry(name.clone()).or_default().push(index);
            }
        }
        acting
    }

    /// Tells all hosts the list, unless it is frozen.
    fn tell_list(&mut self) {
        if self.now < self.list_frozen_until {
            return;
        }
        let listed = |(index, (name, domain)): (usize, &(Name, &'static str))| {
            let address = "127.0.0.1:1".parse().unwrap();
            (!self.gone[index]).then(|| ListedHost {
                name: name.clone(),
                domain: (*domain).into(),
                callers: address,
                peers: address,
                leaving: false,
            })
        };
        let list: Vec<_> = self.shape.iter().enumerate().filter_map(listed).collect();
        for host in &mut self.hosts {
            host.node.apply_host_list(self.now, list.clone(), Vec::new());
        }
    }

    /// Backend servers in each failure domain, removed ones counted.
    pub fn backends_each(&self) -> usize {
        self.backends_each
    }

    /// The region that a host stands in: 0 is north, 1 is south.
    pub fn region_of(&self, host: usize) -> u32 {
        u32::from(self.shape[host].1 == "sa")
    }

    fn is_paused(&self, host: usize) -> bool {
        self.now < self.hosts[host].paused_until
    }

    fn tick(&mut self) {
        if self.now.0.is_multiple_of(SECOND) {
            self.tell_list();
        }
        for index in 0..self.hosts.len() {
            if self.is_paused(index) || self.now.since(self.hosts[index].ticked) < TICK {
                continue;
            }
            self.hosts[index].ticked = self.now;
            self.hosts[index].node.confirm_revision(self.now);
            let commands = self.hosts[index].node.tick(self.now);
            self.carry_out(index, commands);
        }
    }

    fn carry_out(&mut self, from: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Heartbeat(to, beat) => self.send(from, &to, Packet::Beat(beat)),
                Command::Fence(to, fence) => self.send(from, &to, Packet::Fence(fence)),
                Command::ReadRow(region) => self.read(from, &region),
                Command::WriteRow { row, expect } => self.write(from, row, expect),
                Command::Wake(_) | Command::Event(_) | Command::Probe(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, packet: Packet) {
        let to = self.shape.iter().position(|(name, _)| **name == *to).unwrap();
        self.post(from, to, packet, 0);
    }

    fn post(&mut self, from: usize, to: usize, packet: Packet, extra: u64) {
        self.messages += u64::from(from != to);
        let cut = self.cut_until.get(&(from.min(to), from.max(to)));
        if cut.is_some_and(|&until| self.now < until) {
            return;
        }
        let at = self.now + extra + self.rng.random_range(MILLI..30 * MILLI);
        let incarnation = self.hosts[to].incarnation;
        self.flights.push_back(Flight { at, from, to, incarnation, packet });
    }

    fn read(&mut self, from: usize, region: &Name) {
        self.calls += 1;
        let packet = match self.now < self.table_down_until {
            true => Packet::ReadFailed,
            false => Packet::Read(self.rows.get(region).cloned()),
        };
        let slow = self.table_slow;
        self.post(from, from, packet, slow);
    }

    fn write(&mut self, from: usize, row: Row, expect: u64) {
        self.calls += 1;
        let slow = self.table_slow;
        if self.now < self.table_down_until {
            return self.post(from, from, Packet::Written(WriteOutcome::Refused), slow);
        }
        let present = self.rows.get(&row.region).map_or(0, |s| s.version);
        let mut outcome = WriteOutcome::Conflict;
        if present == expect {
            self.versions += 1;
            self.writes += 1;
            let version = self.versions;
            self.rows.insert(row.region.clone(), StoredRow { row, version });
            outcome = WriteOutcome::Written(version);
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            outcome = WriteOutcome::Unknown;
        }
        self.post(from, from, Packet::Written(outcome), slow);
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|f| f.at <= self.now && !self.is_paused(f.to));
        self.flights = later;
        for flight in due {
            if flight.incarnation == self.hosts[flight.to].incarnation {
                self.receive(flight);
            }
        }
    }

    fn receive(&mut self, flight: Flight) {
        let (to, now) = (flight.to, self.now);
        let node = &mut self.hosts[to].node;
        let commands = match flight.packet {
            Packet::Beat(beat) => {
                let reply = node.on_heartbeat(now, &beat);
                self.post(to, flight.from, Packet::BeatReply(reply), 0);
                return;
            }
            Packet::Fence(fence) => {
                let reply = node.on_fence(&fence);
                self.post(to, flight.from, Packet::FenceReply(reply), 0);
                return;
            }
            Packet::BeatReply(reply) => node.on_heartbeat_reply(now, &reply),
            Packet::FenceReply(reply) => {
                node.on_fence_reply(reply);
                return;
            }
            Packet::Read(stored) => node.on_row_read(now, stored),
            Packet::ReadFailed => {
                node.on_row_read_failed();
                return;
            }
            Packet::Written(outcome) => node.on_row_written(now, outcome),
        };
        self.carry_out(to, commands);
    }

    /// Each host is asked for a slot a few times, for both home regions.
    fn load(&mut self) {
        for index in 0..self.hosts.len() {
            if self.is_paused(index) {
                continue;
            }
            let home = self.rng.random_range(0..2u32);
            let home_name = ["north", "south"][home as usize];
            let ask =
                OwnerRequest { service: "orders", home: home_name, deadline: SECOND, max_wait: 0 };
            let node = &mut self.hosts[index].node;
            let OwnerAnswer::Run(slot) = node.request_slot(self.now, &ask) else { continue };
            let Ok(span) = node.dispatch(self.now, &slot, self.now + SECOND) else {
                node.finish_run(self.now, &slot, RunResult::Cancelled, 0);
                continue;
            };
            let here = self.region_of(index);
            if home != here {
                self.shifted.entry((home, here)).or_default().push_back(self.now);
            }
            let took = self.rng.random_range(5 * MILLI..200 * MILLI);
            self.running.push(Running {
                host: index,
                incarnation: self.hosts[index].incarnation,
                slot,
                done: self.now + took.min(span.end_within),
                deadline: self.now + span.end_within,
                released: false,
            });
        }
    }

    /// Ends requests: at their owner when it runs, at the server by the
    /// deadline in any case.
    fn finish(&mut self) {
        let now = self.now;
        for index in 0..self.running.len() {
            let running = &self.running[index];
            let host = running.host;
            if running.released || now < running.done || now < self.hosts[host].paused_until {
                continue;
            }
            if running.incarnation == self.hosts[host].incarnation {
                let slot = running.slot.clone();
                self.hosts[host].node.finish_run(now, &slot, RunResult::Succeeded, 10 * MILLI);
            }
            self.running[index].released = true;
        }
        self.running.retain(|r| !r.released || now < r.done);
        let paused: Vec<bool> = (0..self.hosts.len()).map(|h| self.is_paused(h)).collect();
        self.running.retain(|r| !(paused[r.host] && now >= r.deadline));
    }

    /// The invariants.
    fn check(&mut self) -> Result<(), String> {
        for (backend, hosts) in self.acting() {
            if hosts.len() > 1 {
                return Err(format!("{:?}: hosts {hosts:?} act on {backend}", self.now));
            }
        }
        self.check_parts()?;
        self.check_slots()?;
        self.check_caps()
    }

    /// The parts in use of a region's caps never sum above the whole.
    fn check_parts(&self) -> Result<(), String> {
        for region in 0..2 {
            let in_region = |index: &usize| self.region_of(*index) == region;
            let held = (0..self.hosts.len()).filter(in_region).filter(|&i| !self.gone[i]);
            let held = held.filter(|&i| self.hosts[i].node.lease().is_held(self.now));
            let sum: u64 = held.map(|i| self.part(i)).sum();
            if sum > elmstream::token_bucket::PARTS_PER_WHOLE {
                return Err(format!("{:?}: parts of region {region} sum to {sum}", self.now));
            }
        }
        Ok(())
    }

    fn part(&self, index: usize) -> u64 {
        let node = &self.hosts[index].node;
        let row = node.row();
        row.owned_by(node.me()).map(|(_, grant)| row.effective_part(grant)).sum()
    }

    /// No backend server runs more requests than it has slots.
    fn check_slots(&self) -> Result<(), String> {
        let mut counts: BTreeMap<&Name, u32> = BTreeMap::new();
        for running in &self.running {
            *counts.entry(&running.slot.backend).or_default() += 1;
        }
        match counts.iter().find(|(_, count)| **count > SLOTS) {
            Some((name, count)) => Err(format!("{:?}: {count} requests at {name}", self.now)),
            None => Ok(()),
        }
    }

    /// In any second no more requests shift than the cap allows.
    fn check_caps(&mut self) -> Result<(), String> {
        for (pair, times) in &mut self.shifted {
            while times.front().is_some_and(|&t| self.now.since(t) >= SECOND) {
                times.pop_front();
            }
            if times.len() > CAP as usize {
                return Err(format!("{:?}: {} shifts {pair:?} in a second", self.now, times.len()));
            }
        }
        Ok(())
    }
}
