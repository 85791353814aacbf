//! Simulated fleet in virtual time whose servers crash under poison requests.

use std::collections::BTreeMap;

use elmstream::time::{MILLI, Time};
use elmstream_steer::{Steer, digest::RequestDigest, hash, heartbeat::Heartbeat, members};

use super::support::{address, host_number, ms, ready, servers};

/// Time between two simulation steps, in milliseconds.
pub const STEP_MS: u64 = 10;
/// One-way delay between two hosts, in milliseconds.
pub const ONE_WAY_MS: u64 = 35;
/// Shortest time between two heartbeats of a host with urgent news, in milliseconds.
pub const URGENT_HEARTBEAT_MIN_MS: u64 = 100;
/// Run time of a harmless request, and run time after which a poison request crashes its server, in
/// milliseconds.
pub const RUN_MS: u64 = 100;
const CRASH_AFTER_MS: u64 = 60;
/// Time in which a host detects that a server crashed, in milliseconds.
pub const CRASH_DETECTION_MS: u64 = 2 * ONE_WAY_MS;
/// Highest number of servers that one request is sent to.
const ATTEMPTS_MAX: usize = 2;
/// Time after which a crashed server is back, in milliseconds.
const RESTART_MS: u64 = 2_000;

/// How crashes are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashCounting {
    /// By generations, as the product does.
    Generations,
    /// Each crashed server counts.
    Servers,
}

/// How many copies of a suspected request may be in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyLimit {
    /// Any number, as the product does.
    Unlimited,
    /// One in each host; the others wait.
    Host,
    /// One in the whole fleet, as if every host knew everything: a lower bound for any strategy.
    Fleet,
}

/// Outcomes of the requests of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunStats {
    /// Servers that crashed.
    pub crashed: usize,
    /// Arrivals of poison requests after the third crash and the time in which hosts must refuse
    /// them.
    pub late: usize,
    /// Harmless requests that were refused as poison.
    pub refused: usize,
    /// Harmless requests that got no answer.
    pub lost: usize,
    /// Harmless requests that were answered.
    pub answered: usize,
    /// Total time that harmless requests waited for other copies, in milliseconds.
    pub waited_ms: u64,
}

struct Copy {
    digest: RequestDigest,
    poison: bool,
    host: usize,
    attempts: usize,
    server: usize,
    known_generations: u8,
    sent: u64,
}

enum Event {
    Heartbeat(Box<Heartbeat>),
    /// A copy has ended: it was answered (true), or its server crashed (false).
    Ended(Copy, bool),
    /// A copy that had to wait for another one is sent again.
    Retry(Copy),
}

/// Hosts, servers and the messages and requests in flight.
pub struct Fleet {
    pub hosts: Vec<Steer>,
    pub at_ms: u64,
    pub stats: RunStats,
    pub third_crash_at: Option<u64>,
    pub refusal_deadline_ms: u64,
    counting: CrashCounting,
    pub copy_limit: CopyLimit,
    pub attempts_max: usize,
    seed: u64,
    draw_count: u64,
    heartbeat_rounds: Vec<(u64, u64)>,
    events: BTreeMap<u64, Vec<(usize, Event)>>,
    /// Number of restarts of each server, and the time until which it is down.
    servers: Vec<(u64, u64)>,
    in_flight: Vec<Copy>,
    /// Times at which servers are killed, and how many.
    kills: BTreeMap<u64, usize>,
    /// Hosts that neither send nor receive heartbeats.
    pub partitioned: Vec<bool>,
}

/// Digest that is unique for a number.
pub fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestDigest(bytes)
}

impl Fleet {
    pub fn new(hosts: usize, servers_each: usize, counting: CrashCounting, seed: u64) -> Fleet {
        let mut all: Vec<Steer> = (0..hosts).map(|n| ready(n, ms(0), servers(1))).collect();
        for host in &mut all {
            (0..hosts).for_each(|other| host.add_peer_address(ms(0), address(2_000 + other)));
        }
        let mut fleet = Fleet {
            hosts: all,
            at_ms: 0,
            stats: RunStats::default(),
            third_crash_at: None,
            refusal_deadline_ms: 4_000,
            counting,
            copy_limit: CopyLimit::Unlimited,
            attempts_max: ATTEMPTS_MAX,
            seed,
            draw_count: 0,
            heartbeat_rounds: vec![(0, 0); hosts],
            events: BTreeMap::new(),
            servers: vec![(0, 0); servers_each],
            in_flight: Vec::new(),
            kills: BTreeMap::new(),
            partitioned: vec![false; hosts],
        };
        let interval_ms = members::heartbeat_interval(hosts - 1) / MILLI;
        // Hosts send heartbeats at different times.
        for n in 0..hosts {
            fleet.heartbeat_rounds[n].1 = fleet.random_below(interval_ms as usize) as u64;
        }
        fleet
    }

    pub fn random_below(&mut self, below: usize) -> usize {
        self.draw_count += 1;
        (hash::unit_interval(hash::combine(self.seed, self.draw_count)) * below as f64) as usize
    }

    pub fn now(&self) -> Time {
        ms(self.at_ms)
    }

    pub fn unix_s(&self) -> u64 {
        1_000_000 + self.at_ms / 1_000
    }

    pub fn kill_at(&mut self, at_ms: u64, servers: usize) {
        self.kills.insert(at_ms, servers);
    }

    /// Sends a caller's request to a host.
    pub fn send_request(&mut self, host: usize, digest: RequestDigest, poison: bool) {
        let copy =
            Copy { digest, poison, host, attempts: 0, server: 0, known_generations: 0, sent: 0 };
        self.send(copy);
    }

    fn send(&mut self, mut copy: Copy) {
        let steer = &self.hosts[copy.host];
        if steer.poison().refusal(&copy.digest).is_some() {
            if !copy.poison {
                self.stats.refused += 1;
            }
            return;
        }
        copy.known_generations = steer.poison().generation(&copy.digest);
        if copy.known_generations > 0 && self.must_wait(&copy) {
            self.stats.waited_ms += if copy.poison { 0 } else { STEP_MS };
            self.schedule(STEP_MS, copy.host, Event::Retry(copy));
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|n| self.servers[*n].1 <= self.at_ms).collect();
        if copy.attempts >= self.attempts_max || up.is_empty() {
            self.stats.lost += usize::from(!copy.poison);
            return;
        }
        copy.attempts += 1;
        copy.server = up[self.random_below(up.len())];
        copy.sent = self.at_ms;
        if copy.poison
            && self.third_crash_at.is_some_and(|third_crash_at| {
                self.at_ms > third_crash_at + self.refusal_deadline_ms
            })
        {
            self.stats.late += 1;
        }
        self.in_flight.push(copy);
    }

    /// Whether a copy has to wait for another one.
    fn must_wait(&self, copy: &Copy) -> bool {
        let blocks = |other: &Copy| {
            other.digest == copy.digest
                && match self.copy_limit {
                    CopyLimit::Unlimited => false,
                    CopyLimit::Host => other.host == copy.host,
                    CopyLimit::Fleet => true,
                }
        };
        let ending_blocks = self.events.values().flatten().any(|(_, event)| match event {
            Event::Ended(other, _) => blocks(other),
            Event::Heartbeat(_) | Event::Retry(_) => false,
        });
        ending_blocks || self.in_flight.iter().any(blocks)
    }

    fn crash_server(&mut self, server: usize) {
        let (start, _) = self.servers[server];
        self.servers[server] = (start + 1, self.at_ms + RESTART_MS);
        self.stats.crashed += 1;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (affected, in_flight) = in_flight.into_iter().partition(|copy| copy.server == server);
        self.in_flight = in_flight;
        let affected: Vec<Copy> = affected;
        for mut copy in affected {
            copy.server = server | (start as usize) << 16;
            let host = copy.host;
            self.schedule(CRASH_DETECTION_MS, host, Event::Ended(copy, false));
        }
    }

    fn schedule(&mut self, after: u64, host: usize, event: Event) {
        self.events.entry(self.at_ms + after).or_default().push((host, event));
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.at_ms += STEP_MS;
        for (host, event) in self.due() {
            self.handle(host, event);
        }
        self.run_requests();
        if let Some(servers) = self.kills.remove(&self.at_ms) {
            for server in 0..servers.min(self.servers.len()) {
                self.crash_server(server);
            }
        }
        self.send_heartbeats();
    }

    fn due(&mut self) -> Vec<(usize, Event)> {
        let remaining = self.events.split_off(&(self.at_ms + 1));
        std::mem::replace(&mut self.events, remaining).into_values().flatten().collect()
    }

    fn handle(&mut self, host: usize, event: Event) {
        let (now, unix_s) = (self.now(), self.unix_s());
        match event {
            Event::Heartbeat(heartbeat) if !self.partitioned[host] => {
                drop(self.hosts[host].on_heartbeat(now, &heartbeat))
            }
            Event::Heartbeat(_) => {}
            Event::Retry(copy) => self.send(copy),
            Event::Ended(copy, true) => {
                self.hosts[host].poison_mut().record_answer(now, &copy.digest);
                self.stats.answered += 1;
            }
            Event::Ended(copy, false) => {
                let server = hash::of((copy.server as u64).to_le_bytes());
                let steer = &mut self.hosts[host];
                let known_generations = match self.counting {
                    CrashCounting::Generations => copy.known_generations,
                    // Every crash counts as if it had been known when the request was sent.
                    CrashCounting::Servers => steer.poison().crashed_servers(&copy.digest) as u8,
                };
                steer.on_server_crash(now, unix_s, copy.digest, server, known_generations);
                self.send(copy);
            }
        }
    }

    /// Answers requests that have run long enough; poison requests crash their servers.
    fn run_requests(&mut self) {
        let at_ms = self.at_ms;
        let mut fatal: Vec<usize> = Vec::new();
        let mut over: Vec<Copy> = Vec::new();
        self.in_flight.retain_mut(|copy| {
            let worked = at_ms - copy.sent;
            if copy.poison && worked >= CRASH_AFTER_MS {
                fatal.push(copy.server);
            }
            let done = !copy.poison && worked >= RUN_MS;
            if done {
                let Copy { digest, host, server, sent, known_generations, .. } = *copy;
                over.push(Copy {
                    digest,
                    poison: false,
                    host,
                    attempts: 0,
                    server,
                    known_generations,
                    sent,
                });
            }
            !done
        });
        for copy in over {
            let host = copy.host;
            self.handle(host, Event::Ended(copy, true));
        }
        fatal.sort_unstable();
        fatal.dedup();
        for server in fatal {
            self.crash_server(server);
            if self.stats.crashed >= 3 && self.third_crash_at.is_none() {
                self.third_crash_at = Some(at_ms);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let interval_ms = members::heartbeat_interval(self.hosts.len() - 1) / MILLI;
        for from in 0..self.hosts.len() {
            let (round, last) = self.heartbeat_rounds[from];
            let waited_ms = self.at_ms.saturating_sub(last);
            let due = waited_ms >= interval_ms
                || waited_ms >= URGENT_HEARTBEAT_MIN_MS && self.hosts[from].has_urgent_news();
            if !due || self.partitioned[from] {
                continue;
            }
            self.heartbeat_rounds[from] = (round + 1, self.at_ms);
            let now = self.now();
            let heartbeat = self.hosts[from].next_heartbeat(now);
            let targets = self.hosts[from].targets(now, round + 1);
            for to in targets.near.iter().chain(&targets.far) {
                let to = host_number(*to);
                self.schedule(ONE_WAY_MS, to, Event::Heartbeat(Box::new(heartbeat.clone())));
            }
        }
    }
}
