//! Simulated fleet in virtual time in which some servers set request limits.

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

/// Time between two simulation steps, in milliseconds.
pub const STEP_MS: u64 = 10;
/// One-way delay between two hosts, or a host and a server, in milliseconds.
pub const ONE_WAY_MS: u64 = 35;
/// Run time of a request, in milliseconds.
pub const RUN_MS: u64 = 100;
/// Shortest time between two heartbeats of a host with urgent news, in milliseconds.
const URGENT_HEARTBEAT_MIN_MS: u64 = 100;
/// Time after a limit is first set within which all hosts must keep to it, in milliseconds.
pub const LIMIT_LEARNED_MS: u64 = 4_000;
/// Length of the window in which requests are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4_000;
/// Requests that are allowed in a window: a multiple of the limit, and a constant.
pub const OVERSHOOT: f64 = 1.5;
pub const SLACK: f64 = 5.0;

enum Event {
    Heartbeat(Box<Heartbeat>),
    /// Answer of a server, with the limit that it sets.
    Answer(ServerIndex, Option<f64>),
}

/// Limit that a server sets from one time to another, in milliseconds.
#[derive(Clone, Debug)]
pub struct LimitPeriod {
    pub server: String,
    pub limit: f64,
    pub from: u64,
    pub to: u64,
}

/// Request that arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub server: String,
    /// Whether the host that sent it had run long enough to know limits.
    pub counts: bool,
}

/// Hosts, servers and the messages and requests in flight.
pub struct World {
    pub hosts: Vec<Steer>,
    pub at: u64,
    pub limit_periods: Vec<LimitPeriod>,
    pub arrivals: Vec<Arrival>,
    /// Requests that were sent, and that were refused.
    pub sent: usize,
    pub refused: usize,
    /// Time of each host's last start, in milliseconds.
    pub started: Vec<u64>,
    /// Hosts that callers use; a host that is listed several times gets a multiple of the requests.
    pub callers: Vec<usize>,
    /// Partition that each host is in; hosts of different partitions can't reach each other.
    pub partition: Vec<usize>,
    rows: Vec<Row>,
    route: Route,
    heartbeat_rounds: Vec<(u64, u64)>,
    events: BTreeMap<u64, Vec<(usize, u64, Event)>>,
    seed: u64,
    draw_count: u64,
    due_requests: f64,
}

impl World {
    /// Creates a fleet of connected hosts, with `servers_each` servers in each of four failure
    /// domains.
    pub fn new(hosts: usize, servers_each: usize, seed: u64) -> World {
        let rows = servers(servers_each);
        let mut all: Vec<Steer> = (0..hosts).map(|n| ready(n, ms(0), rows.clone())).collect();
        for host in &mut all {
            add_peers(host, hosts, 0);
        }
        let mut world = World {
            hosts: all,
            at: 0,
            limit_periods: Vec::new(),
            arrivals: Vec::new(),
            sent: 0,
            refused: 0,
            started: vec![0; hosts],
            callers: (0..hosts).collect(),
            partition: vec![0; hosts],
            rows,
            route: route(Repeatability::Safe, &[]),
            heartbeat_rounds: vec![(0, 0); hosts],
            events: BTreeMap::new(),
            seed,
            draw_count: 0,
            due_requests: 0.0,
        };
        let interval_ms = members::heartbeat_interval(hosts - 1) / MILLI;
        for n in 0..hosts {
            world.heartbeat_rounds[n].1 = world.random_below(interval_ms as usize) as u64;
        }
        world
    }

    pub fn random_below(&mut self, below: usize) -> usize {
        self.draw_count += 1;
        (hash::unit_interval(hash::combine(self.seed, self.draw_count)) * below as f64) as usize
    }

    /// Restarts a host at once.
    pub fn restart(&mut self, host: usize) {
        let now = ms(self.at);
        let rows = self.rows.clone();
        let mut steer = host_with_incarnation(host, now, 1 + self.at);
        steer.on_full_read(now, Table::Rules, support::at(10), vec![configuration(1, 10)]);
        steer.on_full_read(now, Table::Servers, support::at(10), rows);
        self.hosts[host] = steer;
        add_peers(&mut self.hosts[host], self.started.len(), self.at);
        self.started[host] = self.at;
        for events in self.events.values_mut() {
            events.retain(|(to, ..)| *to != host);
        }
    }

    /// Advances the time to `until`, in milliseconds, while `per_s` requests a second arrive at
    /// random hosts.
    pub fn run(&mut self, until: u64, per_s: f64) {
        while self.at < until {
            self.at += STEP_MS;
            for (host, started, event) in self.take_due() {
                if self.started[host] == started {
                    self.handle(host, event);
                }
            }
            self.due_requests += per_s * STEP_MS as f64 / 1_000.0;
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                self.send_request();
            }
            self.send_heartbeats();
            if self.at.is_multiple_of(100) {
                let now = ms(self.at);
                self.hosts.iter_mut().for_each(|host| drop(host.tick(now)));
            }
        }
    }

    fn send_request(&mut self) {
        let caller = self.random_below(self.callers.len());
        let host = self.callers[caller];
        let key = hash::combine(7, self.random_below(400) as u64);
        let now = ms(self.at);
        self.hosts[host].deposit_retry(now, support::SERVICE);
        match support::send(&mut self.hosts[host], now, &self.route, key) {
            Pick::Send(index) => {
                self.sent += 1;
                let server = id(&self.hosts[host], index);
                let arrives = self.at + ONE_WAY_MS;
                let limit = self.limit(&server, arrives + RUN_MS);
                let age = arrives - self.started[host];
                let counts = self.started[host] == 0 || age >= LIMIT_LEARNED_MS;
                self.arrivals.push(Arrival { at: arrives, server, counts });
                self.schedule(2 * ONE_WAY_MS + RUN_MS, host, Event::Answer(index, limit));
            }
            Pick::Refuse(_) => self.refused += 1,
        }
    }

    fn limit(&self, server: &str, at: u64) -> Option<f64> {
        let period = |period: &&LimitPeriod| {
            period.server == server && (period.from..period.to).contains(&at)
        };
        self.limit_periods.iter().find(period).map(|period| period.limit)
    }

    fn schedule(&mut self, after: u64, host: usize, event: Event) {
        let started = self.started[host];
        self.events.entry(self.at + after).or_default().push((host, started, event));
    }

    fn take_due(&mut self) -> Vec<(usize, u64, Event)> {
        let remaining = self.events.split_off(&(self.at + 1));
        std::mem::replace(&mut self.events, remaining).into_values().flatten().collect()
    }

    fn handle(&mut self, host: usize, event: Event) {
        let now = ms(self.at);
        let steer = &mut self.hosts[host];
        match event {
            Event::Heartbeat(heartbeat) => drop(steer.on_heartbeat(now, &heartbeat)),
            Event::Answer(index, limit) => {
                let micros = (2 * ONE_WAY_MS + RUN_MS) * MILLI;
                steer.record_outcome(now, index, Outcome::Answered { micros, was_warm: true });
                let limit = limit.and_then(|limit| RequestRate::parse(&limit.to_string()));
                steer.on_server_limit(now, index, limit);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let interval_ms = members::heartbeat_interval(self.hosts.len() - 1) / MILLI;
        for from in 0..self.hosts.len() {
            let (round, last) = self.heartbeat_rounds[from];
            let waited = self.at.saturating_sub(last);
            if waited < interval_ms
                && !(waited >= URGENT_HEARTBEAT_MIN_MS && self.hosts[from].has_urgent_news())
            {
                continue;
            }
            self.heartbeat_rounds[from] = (round + 1, self.at);
            let now = ms(self.at);
            let heartbeat = self.hosts[from].next_heartbeat(now);
            let targets = self.hosts[from].targets(now, round + 1);
            for to in targets.near.iter().chain(&targets.far) {
                let to = host_number(*to);
                if self.partition[from] == self.partition[to] {
                    self.schedule(ONE_WAY_MS, to, Event::Heartbeat(Box::new(heartbeat.clone())));
                }
            }
        }
    }

    /// Highest number of requests beyond what a server's limit allows in any window that begins
    /// after the time within which hosts must know the limit; negative if there are fewer. Requests
    /// of a host that has just started don't count until it must know the limit.
    pub fn excess(&self) -> f64 {
        let mut worst = f64::MIN;
        for period in &self.limit_periods {
            let allowed = period.limit * WINDOW_MS as f64 / 1_000.0 * OVERSHOOT + SLACK;
            let from = period.from + LIMIT_LEARNED_MS;
            let counted = |arrival: &&Arrival| {
                arrival.counts
                    && arrival.server == period.server
                    && (from..period.to).contains(&arrival.at)
            };
            let mut times: Vec<u64> =
                self.arrivals.iter().filter(counted).map(|arrival| arrival.at).collect();
            times.sort_unstable();
            for (n, begin) in times.iter().enumerate() {
                let count = times[n..].partition_point(|at| *at < begin + WINDOW_MS);
                worst = worst.max(count as f64 - allowed);
            }
        }
        worst
    }

    /// Requests a second that a server received between two times in milliseconds.
    pub fn rate(&self, server: &str, from: u64, to: u64) -> f64 {
        let counted =
            |arrival: &&Arrival| arrival.server == server && (from..to).contains(&arrival.at);
        self.arrivals.iter().filter(counted).count() as f64 * 1_000.0 / (to - from) as f64
    }
}

fn add_peers(host: &mut Steer, hosts: usize, at: u64) {
    (0..hosts).for_each(|other| host.add_peer_address(ms(at), address(2_000 + other)));
}
