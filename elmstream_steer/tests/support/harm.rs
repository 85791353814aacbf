//! A fleet in virtual time whose servers end under some requests.

use std::collections::BTreeMap;

use elmstream::time::{MILLI, Time};
use elmstream_steer::{Steer, digest::RequestDigest, hash, heartbeat::Heartbeat, members};

use super::support::{address, host_number, ms, ready, servers};

/// Time between two steps, in milliseconds.
pub const STEP: u64 = 10;
/// One way between two hosts.
pub const WAY: u64 = 35;
/// Least time between two beats of a host with urgent news.
pub const URGENT: u64 = 100;
/// Time that a request works, and until a harmful one ends its server.
pub const WORK: u64 = 100;
const FATAL: u64 = 60;
/// Time in which a host finds out that a server ended.
pub const FINDS: u64 = 2 * WAY;
/// Servers that one request is sent to at most.
const ATTEMPTS: usize = 2;
/// Time after which a server that ended is back.
const BACK: u64 = 2_000;

/// How endings are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// By generations, as the product does.
    Generations,
    /// Each server that ended counts.
    Servers,
}

/// How copies of a request under which a server has ended are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Apart {
    /// Each on its own, as the product does.
    No,
    /// One at a time of each host; the others wait.
    Host,
    /// One at a time of the whole fleet, as if all knew all: the best that any way can do.
    Fleet,
}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Figures {
    /// Servers that ended.
    pub ended: usize,
    /// Arrivals of harmful requests later than the bound after the third ending.
    pub late: usize,
    /// Harmless requests that were refused for harm.
    pub refused: usize,
    /// Harmless requests that got no answer.
    pub lost: usize,
    /// Harmless requests that were answered.
    pub answered: usize,
    /// Time for which harmless requests waited for others, in milliseconds.
    pub waited: u64,
}

struct Copy {
    digest: RequestDigest,
    harmful: bool,
    host: usize,
    tries: usize,
    server: usize,
    known: u8,
    sent: u64,
}

enum Event {
    Beat(Box<Heartbeat>),
    /// A copy is over: answered, or its server ended.
    Over(Copy, bool),
    /// A copy has waited for another one.
    Again(Copy),
}

/// Hosts, servers and what is on its way.
pub struct Fleet {
    pub hosts: Vec<Steer>,
    pub at: u64,
    pub figures: Figures,
    pub third: Option<u64>,
    pub contact: u64,
    way: Way,
    pub copies: Apart,
    pub attempts: usize,
    seed: u64,
    draws: u64,
    rounds: Vec<(u64, u64)>,
    events: BTreeMap<u64, Vec<(usize, Event)>>,
    /// Start of each server, and until when it is away.
    servers: Vec<(u64, u64)>,
    flying: Vec<Copy>,
    /// Servers that end at a time, and how many.
    kills: BTreeMap<u64, usize>,
    /// Hosts that hear and tell nothing.
    pub apart: Vec<bool>,
}

/// A digest by a number.
pub fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestDigest(bytes)
}

impl Fleet {
    pub fn new(hosts: usize, servers_each: usize, way: Way, seed: u64) -> Fleet {
        let mut all: Vec<Steer> = (0..hosts).map(|n| ready(n, ms(0), servers(1))).collect();
        for host in &mut all {
            (0..hosts).for_each(|other| host.add_peer_address(ms(0), address(2_000 + other)));
        }
        let mut fleet = Fleet {
            hosts: all,
            at: 0,
            figures: Figures::default(),
            third: None,
            contact: 4_000,
            way,
            copies: Apart::No,
            attempts: ATTEMPTS,
            seed,
            draws: 0,
            rounds: vec![(0, 0); hosts],
            events: BTreeMap::new(),
            servers: vec![(0, 0); servers_each],
            flying: Vec::new(),
            kills: BTreeMap::new(),
            apart: vec![false; hosts],
        };
        let pause = members::heartbeat_interval(hosts - 1) / MILLI;
        // Hosts do not beat in step, and have met.
        for n in 0..hosts {
            fleet.rounds[n].1 = fleet.draw(pause as usize) as u64;
        }
        fleet
    }

    pub fn draw(&mut self, below: usize) -> usize {
        self.draws += 1;
        (hash::unit_interval(hash::combine(self.seed, self.draws)) * below as f64) as usize
    }

    pub fn now(&self) -> Time {
        ms(self.at)
    }

    pub fn unix_s(&self) -> u64 {
        1_000_000 + self.at / 1_000
    }

    pub fn kill_at(&mut self, at: u64, servers: usize) {
        self.kills.insert(at, servers);
    }

    /// A caller's request comes to a host.
    pub fn ask(&mut self, host: usize, digest: RequestDigest, harmful: bool) {
        let copy = Copy { digest, harmful, host, tries: 0, server: 0, known: 0, sent: 0 };
        self.send(copy);
    }

    fn send(&mut self, mut copy: Copy) {
        let steer = &self.hosts[copy.host];
        if steer.poison().refusal(&copy.digest).is_some() {
            if !copy.harmful {
                self.figures.refused += 1;
            }
            return;
        }
        copy.known = steer.poison().generation(&copy.digest);
        if copy.known > 0 && self.busy(&copy) {
            self.figures.waited += if copy.harmful { 0 } else { STEP };
            self.later(STEP, copy.host, Event::Again(copy));
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|n| self.servers[*n].1 <= self.at).collect();
        if copy.tries >= self.attempts || up.is_empty() {
            self.figures.lost += usize::from(!copy.harmful);
            return;
        }
        copy.tries += 1;
        copy.server = up[self.draw(up.len())];
        copy.sent = self.at;
        if copy.harmful && self.third.is_some_and(|third| self.at > third + self.contact) {
            self.figures.late += 1;
        }
        self.flying.push(copy);
    }

    /// Whether a copy has to wait for another one.
    fn busy(&self, copy: &Copy) -> bool {
        let bars = |other: &Copy| {
            other.digest == copy.digest
                && match self.copies {
                    Apart::No => false,
                    Apart::Host => other.host == copy.host,
                    Apart::Fleet => true,
                }
        };
        let found = self.events.values().flatten().any(|(_, event)| match event {
            Event::Over(other, _) => bars(other),
            Event::Beat(_) | Event::Again(_) => false,
        });
        found || self.flying.iter().any(bars)
    }

    fn end(&mut self, server: usize) {
        let (start, _) = self.servers[server];
        self.servers[server] = (start + 1, self.at + BACK);
        self.figures.ended += 1;
        let flying = std::mem::take(&mut self.flying);
        let (with, flying) = flying.into_iter().partition(|copy| copy.server == server);
        self.flying = flying;
        let with: Vec<Copy> = with;
        for mut copy in with {
            copy.server = server | (start as usize) << 16;
            let host = copy.host;
            self.later(FINDS, host, Event::Over(copy, false));
        }
    }

    fn later(&mut self, after: u64, host: usize, event: Event) {
        self.events.entry(self.at + after).or_default().push((host, event));
    }

    /// One step of time.
    pub fn step(&mut self) {
        self.at += STEP;
        for (host, event) in self.due() {
            self.take(host, event);
        }
        self.work();
        if let Some(servers) = self.kills.remove(&self.at) {
            for server in 0..servers.min(self.servers.len()) {
                self.end(server);
            }
        }
        self.beats();
    }

    fn due(&mut self) -> Vec<(usize, Event)> {
        let later = self.events.split_off(&(self.at + 1));
        std::mem::replace(&mut self.events, later).into_values().flatten().collect()
    }

    fn take(&mut self, host: usize, event: Event) {
        let (now, unix_s) = (self.now(), self.unix_s());
        match event {
            Event::Beat(beat) if !self.apart[host] => {
                drop(self.hosts[host].on_heartbeat(now, &beat))
            }
            Event::Beat(_) => {}
            Event::Again(copy) => self.send(copy),
            Event::Over(copy, true) => {
                self.hosts[host].poison_mut().record_answer(now, &copy.digest);
                self.figures.answered += 1;
            }
            Event::Over(copy, false) => {
                let server = hash::of((copy.server as u64).to_le_bytes());
                let steer = &mut self.hosts[host];
                let known = match self.way {
                    Way::Generations => copy.known,
                    // As if it was sent in the knowledge of all that have ended.
                    Way::Servers => steer.poison().crashed_servers(&copy.digest) as u8,
                };
                steer.on_server_crash(now, unix_s, copy.digest, server, known);
                self.send(copy);
            }
        }
    }

    /// Requests that have worked long enough are answered, or end their server.
    fn work(&mut self) {
        let at = self.at;
        let mut fatal: Vec<usize> = Vec::new();
        let mut over: Vec<Copy> = Vec::new();
        self.flying.retain_mut(|copy| {
            let worked = at - copy.sent;
            if copy.harmful && worked >= FATAL {
                fatal.push(copy.server);
            }
            let done = !copy.harmful && worked >= WORK;
            if done {
                let Copy { digest, host, server, sent, known, .. } = *copy;
                over.push(Copy { digest, harmful: false, host, tries: 0, server, known, sent });
            }
            !done
        });
        for copy in over {
            let host = copy.host;
            self.take(host, Event::Over(copy, true));
        }
        fatal.sort_unstable();
        fatal.dedup();
        for server in fatal {
            self.end(server);
            if self.figures.ended >= 3 && self.third.is_none() {
                self.third = Some(at);
            }
        }
    }

    fn beats(&mut self) {
        let pause = members::heartbeat_interval(self.hosts.len() - 1) / MILLI;
        for from in 0..self.hosts.len() {
            let (round, last) = self.rounds[from];
            let waited = self.at.saturating_sub(last);
            let due = waited >= pause || waited >= URGENT && self.hosts[from].has_urgent_news();
            if !due || self.apart[from] {
                continue;
            }
            self.rounds[from] = (round + 1, self.at);
            let now = self.now();
            let beat = self.hosts[from].next_heartbeat(now);
            let targets = self.hosts[from].targets(now, round + 1);
            for to in targets.near.iter().chain(&targets.far) {
                let to = host_number(*to);
                self.later(WAY, to, Event::Beat(Box::new(beat.clone())));
            }
        }
    }
}
