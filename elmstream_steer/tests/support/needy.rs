//! A fleet in virtual time some of whose servers name a limit.

use std::collections::BTreeMap;

use elmstream::time::MILLI;
use elmstream_steer::{
    Pick, Steer, hash,
    heartbeat::Heartbeat,
    members,
    model::{Repeatability, Route},
    server_limit::RequestRate,
    servers::{Outcome, ServerIndex},
    view::{Row, Table},
};

use super::support::{
    self, address, configuration, host_number, host_with_incarnation, id, ms, ready, route, servers,
};

/// Time between two steps, in milliseconds.
pub const STEP: u64 = 10;
/// One way between two hosts, or a host and a server.
pub const WAY: u64 = 35;
/// Time that a request works.
pub const WORK: u64 = 100;
/// Least time between two beats of a host with urgent news.
const URGENT: u64 = 100;
/// Time from the first word of a limit on within which hosts have to keep to it.
pub const CONTACT: u64 = 4_000;
/// Window in which requests are counted.
pub const WINDOW: u64 = 4_000;
/// Requests that are allowed in a window, as a multiple of the limit and beyond.
pub const OVERSHOOT: f64 = 1.5;
pub const SLACK: f64 = 5.0;

enum Event {
    Beat(Box<Heartbeat>),
    /// An answer, with the limit that it names.
    Answer(ServerIndex, Option<f64>),
}

/// A limit that a server names for a while.
#[derive(Clone, Debug)]
pub struct Need {
    pub server: String,
    pub limit: f64,
    pub from: u64,
    pub to: u64,
}

/// A request that came to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub server: String,
    /// Whether its host had started a while before, and has to know limits.
    pub counts: bool,
}

/// Hosts, servers and what is on its way.
pub struct World {
    pub hosts: Vec<Steer>,
    pub at: u64,
    pub needs: Vec<Need>,
    pub arrivals: Vec<Arrival>,
    /// Requests that were sent, and refused.
    pub sent: usize,
    pub refused: usize,
    /// When each host last started.
    pub started: Vec<u64>,
    /// Hosts that callers ask, each as often as it stands here.
    pub callers: Vec<usize>,
    /// Hosts that are not in the same part hear nothing of each other.
    pub part: Vec<usize>,
    rows: Vec<Row>,
    route: Route,
    rounds: Vec<(u64, u64)>,
    events: BTreeMap<u64, Vec<(usize, u64, Event)>>,
    seed: u64,
    draws: u64,
    due: f64,
}

impl World {
    /// So many hosts that have met, and servers in each of four failure domains.
    pub fn new(hosts: usize, servers_each: usize, seed: u64) -> World {
        let rows = servers(servers_each);
        let mut all: Vec<Steer> = (0..hosts).map(|n| ready(n, ms(0), rows.clone())).collect();
        for host in &mut all {
            meet(host, hosts, 0);
        }
        let mut world = World {
            hosts: all,
            at: 0,
            needs: Vec::new(),
            arrivals: Vec::new(),
            sent: 0,
            refused: 0,
            started: vec![0; hosts],
            callers: (0..hosts).collect(),
            part: vec![0; hosts],
            rows,
            route: route(Repeatability::Safe, &[]),
            rounds: vec![(0, 0); hosts],
            events: BTreeMap::new(),
            seed,
            draws: 0,
            due: 0.0,
        };
        let pause = members::heartbeat_interval(hosts - 1) / MILLI;
        for n in 0..hosts {
            world.rounds[n].1 = world.draw(pause as usize) as u64;
        }
        world
    }

    pub fn draw(&mut self, below: usize) -> usize {
        self.draws += 1;
        (hash::unit_interval(hash::combine(self.seed, self.draws)) * below as f64) as usize
    }

    /// A host ends and starts anew at once.
    pub fn restart(&mut self, host: usize) {
        let now = ms(self.at);
        let rows = self.rows.clone();
        let mut steer = host_with_incarnation(host, now, 1 + self.at);
        steer.on_full_read(now, Table::Rules, support::at(10), vec![configuration(1, 10)]);
        steer.on_full_read(now, Table::Servers, support::at(10), rows);
        self.hosts[host] = steer;
        meet(&mut self.hosts[host], self.started.len(), self.at);
        self.started[host] = self.at;
        for events in self.events.values_mut() {
            events.retain(|(to, ..)| *to != host);
        }
    }

    /// Lets time pass, while so many requests a second come to hosts drawn by chance.
    pub fn run(&mut self, until: u64, per_s: f64) {
        while self.at < until {
            self.at += STEP;
            for (host, started, event) in self.take_due() {
                if self.started[host] == started {
                    self.take(host, event);
                }
            }
            self.due += per_s * STEP as f64 / 1_000.0;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.ask();
            }
            self.beats();
            if self.at.is_multiple_of(100) {
                let now = ms(self.at);
                self.hosts.iter_mut().for_each(|host| drop(host.tick(now)));
            }
        }
    }

    fn ask(&mut self) {
        let drawn = self.draw(self.callers.len());
        let host = self.callers[drawn];
        let key = hash::combine(7, self.draw(400) as u64);
        let now = ms(self.at);
        self.hosts[host].deposit_retry(now, support::SERVICE);
        match support::send(&mut self.hosts[host], now, &self.route, key) {
            Pick::Send(index) => {
                self.sent += 1;
                let server = id(&self.hosts[host], index);
                let arrives = self.at + WAY;
                let limit = self.limit(&server, arrives + WORK);
                let age = arrives - self.started[host];
                let counts = self.started[host] == 0 || age >= CONTACT;
                self.arrivals.push(Arrival { at: arrives, server, counts });
                self.later(2 * WAY + WORK, host, Event::Answer(index, limit));
            }
            Pick::Refuse(_) => self.refused += 1,
        }
    }

    fn limit(&self, server: &str, at: u64) -> Option<f64> {
        let need = |need: &&Need| need.server == server && (need.from..need.to).contains(&at);
        self.needs.iter().find(need).map(|need| need.limit)
    }

    fn later(&mut self, after: u64, host: usize, event: Event) {
        let started = self.started[host];
        self.events.entry(self.at + after).or_default().push((host, started, event));
    }

    fn take_due(&mut self) -> Vec<(usize, u64, Event)> {
        let later = self.events.split_off(&(self.at + 1));
        std::mem::replace(&mut self.events, later).into_values().flatten().collect()
    }

    fn take(&mut self, host: usize, event: Event) {
        let now = ms(self.at);
        let steer = &mut self.hosts[host];
        match event {
            Event::Beat(beat) => drop(steer.on_heartbeat(now, &beat)),
            Event::Answer(index, limit) => {
                let micros = (2 * WAY + WORK) * MILLI;
                steer.record_outcome(now, index, Outcome::Answered { micros, was_warm: true });
                let limit = limit.and_then(|limit| RequestRate::parse(&limit.to_string()));
                steer.on_server_limit(now, index, limit);
            }
        }
    }

    fn beats(&mut self) {
        let pause = members::heartbeat_interval(self.hosts.len() - 1) / MILLI;
        for from in 0..self.hosts.len() {
            let (round, last) = self.rounds[from];
            let waited = self.at.saturating_sub(last);
            if waited < pause && !(waited >= URGENT && self.hosts[from].has_urgent_news()) {
                continue;
            }
            self.rounds[from] = (round + 1, self.at);
            let now = ms(self.at);
            let beat = self.hosts[from].next_heartbeat(now);
            let targets = self.hosts[from].targets(now, round + 1);
            for to in targets.near.iter().chain(&targets.far) {
                let to = host_number(*to);
                if self.part[from] == self.part[to] {
                    self.later(WAY, to, Event::Beat(Box::new(beat.clone())));
                }
            }
        }
    }

    /// Most requests beyond what a server's limit allows in any window that lies later than
    /// the hosts have to know it; below 0 if there are fewer. A host that started counts
    /// only from the time on at which it has to know.
    pub fn beyond(&self) -> f64 {
        let mut worst = f64::MIN;
        for need in &self.needs {
            let allowed = need.limit * WINDOW as f64 / 1_000.0 * OVERSHOOT + SLACK;
            let from = need.from + CONTACT;
            let counted = |arrival: &&Arrival| {
                arrival.counts
                    && arrival.server == need.server
                    && (from..need.to).contains(&arrival.at)
            };
            let mut times: Vec<u64> =
                self.arrivals.iter().filter(counted).map(|arrival| arrival.at).collect();
            times.sort_unstable();
            for (n, begin) in times.iter().enumerate() {
                let within = times[n..].partition_point(|at| *at < begin + WINDOW);
                worst = worst.max(within as f64 - allowed);
            }
        }
        worst
    }

    /// Requests a second that a server got from a time to another.
    pub fn rate(&self, server: &str, from: u64, to: u64) -> f64 {
        let counted =
            |arrival: &&Arrival| arrival.server == server && (from..to).contains(&arrival.at);
        self.arrivals.iter().filter(counted).count() as f64 * 1_000.0 / (to - from) as f64
    }
}

fn meet(host: &mut Steer, hosts: usize, at: u64) {
    (0..hosts).for_each(|other| host.add_peer_address(ms(at), address(2_000 + other)));
}
