//! Simulated fleet in virtual time with uneven, swinging demand: six failure domains in three
//! regions, of which region a has a tenth of the servers and a third of the callers.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elmstream::time::MILLI;
use elmstream_steer::{
    Bounds, Host, Pick, PickRequest, Settings, Steer, hash,
    heartbeat::Heartbeat,
    model::{Repeatability, Route},
    policies::{PlacementPolicy, Policies},
    servers::{Outcome, ServerIndex},
    view::{Row, Table},
};

use super::support::{self, SERVICE, address, at, configuration, id, ms, pick_request, server};

/// Bytes of a request and its answer, enough for keys to be divided over domains.
const TRANSFER_BYTES: u64 = 60_000;
/// Failure domains, their regions and their number of servers.
pub const DOMAINS: [(&str, &str, usize); 6] = [
    ("a1", "a", 2),
    ("a2", "a", 2),
    ("b1", "b", 9),
    ("b2", "b", 9),
    ("c1", "c", 9),
    ("c2", "c", 9),
];
const REGIONS: [&str; 3] = ["a", "b", "c"];
/// Length of the windows between which changes of the region are counted.
const WINDOW_MS: u64 = 2_000;
/// Number of keys of the callers in each domain, and of keys that a server keeps cached.
pub const KEYS: usize = 50;
pub const KEYS_PER_SERVER: usize = 24;
/// Requests a second; at six slots a server they take 0.55 of all slots if servers know the keys.
pub const PER_S: f64 = 1_320.0;
/// Period of the swing and its amplitude as a part of a region's demand.
const SWING_MS: f64 = 36_000.0;
const SWING: f64 = 0.5;
/// Work of a request in milliseconds if the server knows the key, and if not.
const KNOWN_MS: u64 = 100;
const UNKNOWN_MS: u64 = 320;
/// An answer after this time is late.
const OBJECTIVE_MS: u64 = 300;
/// Time until a caller gives up, as a multiple of the work of a request that the server knows.
const DEADLINE_FACTOR: u64 = 8;
/// Time in which an opened connection, and a request over a kept one, fail behind a silent cut.
const CONNECT_TIMEOUT_MS: u64 = 400;
const UNACKED_TIMEOUT_MS: u64 = 1_000;
/// Time for which a connection is kept after an answer.
const KEPT_MS: u64 = 3_000;
/// Time after which a caller whose request failed tries another host of its domain.
const COMES_BACK_MS: u64 = 300;
const STEP_MS: u64 = 10;

/// What happens to connections between cut hosts and the servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CutKind {
    /// Nothing arrives any more.
    Silent,
    /// Open connections are reset and new ones refused.
    Refused,
    /// Open connections work and new ones are refused.
    NewRefused,
}

/// Hosts that are cut from all servers for a while.
#[derive(Clone, Debug)]
pub struct Cut {
    pub hosts: BTreeSet<usize>,
    pub from: u64,
    pub until: u64,
    pub kind: CutKind,
}

/// Size of the fleet relative to 12 hosts and 40 servers.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub hosts_per_domain: usize,
    pub servers: usize,
    /// Factor on the work of a request, with as much less requests a second.
    pub work: u64,
}

impl Default for Scale {
    fn default() -> Scale {
        Scale { hosts_per_domain: 2, servers: 1, work: 1 }
    }
}

/// A request's end.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: u64,
    pub host: usize,
    pub domain: &'static str,
    pub key: u64,
    /// Domain and id of the server; `None` if the request was refused.
    pub server: Option<(String, String)>,
    pub late: bool,
}

impl Request {
    pub fn region(&self) -> &str {
        &self.domain[..1]
    }
}

#[derive(Default)]
struct Machine {
    free_at: Vec<u64>,
    cached: VecDeque<u64>,
}

enum Event {
    Heartbeat(Box<Heartbeat>),
    /// End of a request to a server, and when it was sent.
    Answer(ServerIndex, Outcome, u64),
    /// A caller of a domain, by index, comes back with its key.
    ComesBack(usize, u64),
}

pub struct World {
    pub hosts: Vec<Steer>,
    pub at: u64,
    pub requests: Vec<Request>,
    /// Servers that accept no connection.
    pub dead: BTreeSet<String>,
    /// Requests a second.
    pub per_s: f64,
    /// Fraction of heartbeats that the first host loses.
    pub loss: f64,
    pub cut: Option<Cut>,
    /// Hosts that are not cut and servers that they ejected, by what they observed themselves and
    /// only by the reports of other hosts.
    pub ejected: BTreeSet<(usize, String)>,
    pub ejected_by_reports: BTreeSet<(usize, String)>,
    scale: Scale,
    /// When each host last used each server.
    kept: BTreeMap<(usize, String), u64>,
    machines: BTreeMap<String, Machine>,
    events: BTreeMap<u64, Vec<(usize, Event)>>,
    route: Route,
    draws: u64,
    due: f64,
}

fn host(number: usize, policy: PlacementPolicy, scale: Scale) -> Steer {
    let (domain, region, _) = DOMAINS[number % DOMAINS.len()];
    let domains = DOMAINS.iter().map(|(domain, region, _)| ((*domain).into(), (*region).into()));
    let settings = Settings {
        host: Host {
            name: format!("host-{number}"),
            domain: domain.into(),
            region: region.into(),
            callers: address(1_000 + number),
            peers: address(2_000 + number),
        },
        incarnation: 1,
        domains: domains.collect(),
        bounds: Bounds::default(),
        policies: Policies { placement: policy, ..Policies::default() },
    };
    let mut steer = Steer::new(settings, ms(0));
    let rows = DOMAINS.iter().flat_map(|(domain, _, count)| {
        (0..*count * scale.servers).map(move |n| server(&format!("{domain}-{n}"), domain, 10))
    });
    steer.on_full_read(ms(0), Table::Rules, at(10), vec![configuration(1, 10)]);
    steer.on_full_read(ms(0), Table::Servers, at(10), rows.collect());
    steer.tick(ms(0));
    steer
}

impl World {
    /// A fleet of two hosts in each domain.
    pub fn new(policy: PlacementPolicy) -> World {
        World::with_scale(policy, Scale::default())
    }

    /// A fleet of another size.
    pub fn with_scale(policy: PlacementPolicy, scale: Scale) -> World {
        let hosts = scale.hosts_per_domain * DOMAINS.len();
        World {
            hosts: (0..hosts).map(|n| host(n, policy, scale)).collect(),
            at: 0,
            requests: Vec::new(),
            dead: BTreeSet::new(),
            per_s: PER_S * scale.servers as f64 / scale.work as f64,
            loss: 0.0,
            cut: None,
            ejected: BTreeSet::new(),
            ejected_by_reports: BTreeSet::new(),
            scale,
            kept: BTreeMap::new(),
            machines: BTreeMap::new(),
            events: BTreeMap::new(),
            route: support::route(Repeatability::Safe, &[]),
            draws: 0,
            due: 0.0,
        }
    }

    fn draw(&mut self) -> f64 {
        self.draws += 1;
        hash::unit_interval(hash::combine(self.draws, 5))
    }

    /// Gives all hosts a changed row.
    pub fn change(&mut self, table: Table, row: &Row) {
        for host in &mut self.hosts {
            host.on_changes(ms(self.at), table, vec![row.clone()]);
        }
    }

    /// Advances the time to `until`, in milliseconds.
    pub fn run(&mut self, until: u64) {
        while self.at < until {
            self.at += STEP_MS;
            let later = self.events.split_off(&(self.at + 1));
            let due = std::mem::replace(&mut self.events, later);
            for (host, event) in due.into_values().flatten() {
                match event {
                    Event::Heartbeat(beat) => {
                        drop(self.hosts[host].on_heartbeat(ms(self.at), &beat))
                    }
                    Event::Answer(index, outcome, sent) => self.answer(host, index, outcome, sent),
                    Event::ComesBack(domain, key) => self.send(domain, key, false),
                }
            }
            self.due += self.per_s * STEP_MS as f64 / 1e3;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.request();
            }
            if self.at.is_multiple_of(100) {
                self.exchange();
            }
        }
    }

    /// The kind of cut in force at a host.
    fn cut_kind(&self, host: usize) -> Option<CutKind> {
        let cut = self.cut.as_ref()?;
        let is_cut = cut.hosts.contains(&host) && (cut.from..cut.until).contains(&self.at);
        is_cut.then_some(cut.kind)
    }

    /// Ends a request to a server, unless its answer is held up by a cut.
    fn answer(&mut self, host: usize, index: ServerIndex, outcome: Outcome, sent: u64) {
        let deadline = sent + DEADLINE_FACTOR * KNOWN_MS * self.scale.work;
        let outcome = match (self.cut_kind(host), outcome) {
            (Some(CutKind::Silent), Outcome::Answered { .. }) if self.at < deadline => {
                let event = (host, Event::Answer(index, Outcome::Silent, sent));
                return self.events.entry(deadline).or_default().push(event);
            }
            (Some(CutKind::Refused), Outcome::Answered { .. }) => Outcome::Unknown,
            (_, outcome) => outcome,
        };
        self.hosts[host].record_outcome(ms(self.at), index, outcome);
        self.hosts[host].record_transfer(SERVICE, TRANSFER_BYTES);
    }

    /// How a request of a cut host ends, and after what time; `None` if it reaches the server.
    fn fails(&self, host: usize, server: &str) -> Option<(Outcome, u64)> {
        let kind = self.cut_kind(host)?;
        let used = self.kept.get(&(host, server.to_owned()));
        let is_kept = used.is_some_and(|used| self.at - used < KEPT_MS);
        match (kind, is_kept) {
            (CutKind::Silent, true) => Some((Outcome::Unknown, UNACKED_TIMEOUT_MS)),
            (CutKind::Silent, false) => Some((Outcome::NoConnection, CONNECT_TIMEOUT_MS)),
            (CutKind::NewRefused, true) => None,
            _ => Some((Outcome::NoConnection, STEP_MS)),
        }
    }

    fn exchange(&mut self) {
        let now = ms(self.at);
        for from in 0..self.hosts.len() {
            let beat = self.hosts[from].next_heartbeat(now);
            for to in (0..self.hosts.len()).filter(|to| *to != from) {
                if to != 0 || self.draw() >= self.loss {
                    let event = (to, Event::Heartbeat(Box::new(beat.clone())));
                    self.events.entry(self.at + 40).or_default().push(event);
                }
            }
            self.hosts[from].tick(now);
        }
        self.record_ejections();
    }

    fn record_ejections(&mut self) {
        let cut_hosts = self.cut.as_ref().map(|cut| &cut.hosts);
        let is_cut = |host: &usize| cut_hosts.is_some_and(|hosts| hosts.contains(host));
        for (host, steer) in self.hosts.iter().enumerate().filter(|(host, _)| !is_cut(host)) {
            let (now, times) = (ms(self.at), steer.servers().answer_times(SERVICE));
            for (_, entry) in steer.servers().all() {
                if entry.is_ejected(now, times, self.hosts.len()) {
                    let by_reports = !entry.is_silent(now, times);
                    let list =
                        if by_reports { &mut self.ejected_by_reports } else { &mut self.ejected };
                    list.insert((host, entry.id.clone()));
                }
            }
        }
    }

    /// Draws a domain by the demand of its region at this time.
    fn draw_domain(&mut self) -> usize {
        let turn = self.at as f64 / SWING_MS;
        let weight = |region: usize| {
            let phase = std::f64::consts::TAU * (turn + region as f64 / 3.0);
            1.0 + SWING * phase.sin()
        };
        // The three weights sum to 3.
        let mut drawn = self.draw() * 3.0;
        let region = (0..2).find(|region| {
            drawn -= weight(*region);
            drawn < 0.0
        });
        2 * region.unwrap_or(2) + usize::from(self.draw() < 0.5)
    }

    fn request(&mut self) {
        let domain = self.draw_domain();
        let host = domain + if self.draw() < 0.5 { DOMAINS.len() } else { 0 };
        let keys = (KEYS * self.scale.servers) as f64;
        let key = hash::combine(domain as u64, (self.draw() * keys) as u64);
        match self.scale.hosts_per_domain {
            2 => self.send_by(host, domain, key, true),
            _ => self.send(domain, key, true),
        }
    }

    /// Sends a caller's request by one of its domain's hosts.
    fn send(&mut self, domain: usize, key: u64, comes_back: bool) {
        let drawn = (self.draw() * self.scale.hosts_per_domain as f64) as usize;
        self.send_by(domain + DOMAINS.len() * drawn, domain, key, comes_back);
    }

    fn send_by(&mut self, host: usize, domain: usize, key: u64, comes_back: bool) {
        let now = ms(self.at);
        self.hosts[host].deposit_retry(now, SERVICE);
        let mut tried = Vec::new();
        let (at, name) = (self.at, DOMAINS[domain].0);
        let mut done = Request { at, host, domain: name, key, server: None, late: false };
        while tried.len() < 2 {
            let request =
                PickRequest { tried: &tried, priority: 2, ..pick_request(&self.route, key) };
            let Pick::Send(index) = self.hosts[host].pick_server(now, &request) else { break };
            let name = id(&self.hosts[host], index);
            if self.dead.contains(&name) {
                self.hosts[host].record_outcome(now, index, Outcome::NoConnection);
                tried.push(index);
                continue;
            }
            if let Some((outcome, after)) = self.fails(host, &name) {
                let event = (host, Event::Answer(index, outcome, self.at));
                self.events.entry(self.at + after).or_default().push(event);
                tried.push(index);
                continue;
            }
            self.kept.insert((host, name.clone()), self.at);
            let was_warm = self.hosts[host].record_warm_key(now, index, key);
            let entry = self.hosts[host].servers().get(index).expect("it was just picked");
            let server_domain = entry.server.domain.clone();
            let slots = entry.server.slots as usize;
            let one_way = match DOMAINS[domain].1 == entry.region {
                true => 1,
                false => 15,
            };
            let ends = self.work(&name, key, slots, self.at + one_way) + one_way;
            let millis = ends - self.at;
            let outcome = Outcome::Answered { micros: millis * MILLI, was_warm };
            let event = (host, Event::Answer(index, outcome, self.at));
            self.events.entry(ends).or_default().push(event);
            done.late = millis > OBJECTIVE_MS * self.scale.work;
            done.server = Some((server_domain, name));
            break;
        }
        if done.server.is_none() && comes_back && self.cut.is_some() {
            let event = (host, Event::ComesBack(domain, key));
            self.events.entry(self.at + COMES_BACK_MS).or_default().push(event);
        }
        self.requests.push(done);
    }

    /// Runs a request on a server and returns when it ends.
    fn work(&mut self, name: &str, key: u64, slots: usize, arrives: u64) -> u64 {
        let machine = self.machines.entry(name.to_owned()).or_default();
        machine.free_at.resize(slots, 0);
        let known = machine.cached.iter().position(|cached| *cached == key);
        if let Some(position) = known {
            machine.cached.remove(position);
        }
        machine.cached.push_back(key);
        if machine.cached.len() > KEYS_PER_SERVER {
            machine.cached.pop_front();
        }
        let slot = machine.free_at.iter_mut().min().expect("a server has slots");
        let work = if known.is_some() { KNOWN_MS } else { UNKNOWN_MS };
        *slot = (*slot).max(arrives) + work * self.scale.work;
        *slot
    }

    /// Fraction of the requests from a time on for which a condition holds.
    pub fn part(&self, from: u64, holds: impl Fn(&Request) -> bool) -> f64 {
        let all: Vec<&Request> = self.requests.iter().filter(|done| done.at >= from).collect();
        all.iter().filter(|done| holds(done)).count() as f64 / all.len().max(1) as f64
    }

    /// Largest part of a region's requests that changes its region from one window of 2 s to the
    /// next.
    pub fn largest_shift(&self, from: u64) -> f64 {
        REGIONS.into_iter().map(|region| self.largest_shift_of(region, from)).fold(0.0, f64::max)
    }

    /// Largest part of one region's requests that changes its region from one window of 2 s to the
    /// next. The windows slide.
    pub fn largest_shift_of(&self, region: &str, from: u64) -> f64 {
        let mut largest = 0.0f64;
        for middle in
            (from + WINDOW_MS..self.at.saturating_sub(WINDOW_MS)).step_by(WINDOW_MS as usize / 8)
        {
            let before = self.parts(region, middle - WINDOW_MS);
            let after = self.parts(region, middle);
            let moved = after.iter().zip(before).map(|(after, before)| (after - before).max(0.0));
            largest = largest.max(moved.sum());
        }
        largest
    }

    /// Parts of a region's requests of a window that ran in each region.
    fn parts(&self, region: &str, from: u64) -> [f64; 3] {
        let first = self.requests.partition_point(|done| done.at < from);
        let window = self.requests[first..].iter().take_while(|done| done.at < from + WINDOW_MS);
        let mut counts = [0.0; 3];
        for (domain, _) in
            window.filter(|done| done.region() == region).filter_map(|done| done.server.as_ref())
        {
            counts[REGIONS.iter().position(|name| domain.starts_with(name)).expect("a region")] +=
                1.0;
        }
        let sum = counts.iter().sum::<f64>().max(1.0);
        counts.map(|count| count / sum)
    }

    /// Largest part of the keys that no server of one window of 2 s gets in the next one.
    pub fn most_keys_moved(&self, from: u64) -> f64 {
        let mut servers = BTreeMap::<u64, BTreeMap<u64, BTreeSet<&str>>>::new();
        for done in self.requests.iter().filter(|done| done.at >= from) {
            let Some((_, name)) = &done.server else { continue };
            let window = servers.entry(done.at / 2_000).or_default();
            window.entry(done.key).or_default().insert(name);
        }
        let moved = |window: &u64, keys: &BTreeMap<u64, BTreeSet<&str>>| {
            let next = servers.get(&(window + 1))?;
            let both = keys.iter().filter_map(|(key, names)| Some((names, next.get(key)?)));
            let both: Vec<bool> = both.map(|(one, other)| one.is_disjoint(other)).collect();
            let moved = both.iter().filter(|moved| **moved).count();
            Some(moved as f64 / both.len().max(1) as f64)
        };
        servers.iter().filter_map(|(window, keys)| moved(window, keys)).fold(0.0, f64::max)
    }
}
