//! Backend servers, with what this host and the others see of them.

use std::collections::HashMap;

use elmstream::time::{MILLI, SECOND, Time};
use rustc_hash::FxHashMap;

use crate::{hash, model::Server};

/// Weight of one more answer in the mean of answer times.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of one more answer in a server's part of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Answer time that is assumed before the first answer, in milliseconds.
const FIRST_GUESS_MS: f64 = 150.0;
/// Answer time of a server that does not know the key, as a multiple, till learned.
const UNKNOWING: f64 = 3.0;
/// A server is silent after this many mean answer times without an answer.
const SILENT_MEANS: f64 = 3.0;
/// Bounds of the time after which a server is silent.
const SILENT_MIN: u64 = 600 * MILLI;
const SILENT_MAX: u64 = 1_500 * MILLI;
/// Pause after a failed connection; doubled by each further one.
const DOWN_FIRST: u64 = 200 * MILLI;
const DOWN_MAX: u64 = 2 * SECOND;
/// How long a server that said it is full counts as full.
const FULL: u64 = 60 * MILLI;
/// How long a load that a server told counts.
const TOLD: u64 = 150 * MILLI;
/// Added to the time that a server is cold, for what its news took.
const COLD_MARGIN: u64 = 300 * MILLI;

/// Place of a server in the table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Index(pub usize);

/// A backend server.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its id, anew at each start.
    pub id: String,
    /// Hash of the id.
    pub hash: u64,
    /// As the store has it.
    pub server: Server,
    /// Its region.
    pub region: String,
    /// This host's requests in flight.
    pub own: u32,
    /// The other hosts' requests in flight.
    pub others: u32,
    /// Hosts that get no answers from it.
    pub silent_elsewhere: u32,
    /// It counts as cold until then.
    pub cold_until: Time,
    /// Whether this host is among those that may send to it while it is cold.
    pub cold_sender: bool,
    /// Last request that was sent while it was cold.
    pub cold_sent: Option<Time>,
    /// Waiting for an answer since then, with none in between.
    silent_since: Option<Time>,
    /// Last answer of any kind.
    pub answered: Option<Time>,
    /// Last trial of a silent server.
    tried: Time,
    /// Whether it was silent, or took no connections, when this was last asked.
    was_silent: bool,
    /// Failed connections in a row, and when the next one may be tried.
    failures: u32,
    down_until: Time,
    /// It said that it is full, or elsewhere, until then.
    refused_until: Time,
    /// Requests that it last said to have, and when.
    told: Option<(u32, Time)>,
    /// Part of lately answered requests that failed, 0 to 1.
    pub failing: f64,
    /// Mean answer time against the service's, 1 for alike.
    pub slowness: f64,
    /// The store no longer lists it; it leaves the table then.
    pub lapses: Option<Time>,
}

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer came.
    Answered {
        /// After this many microseconds.
        micros: u64,
        /// Whether the server was taken to know the key.
        knew: bool,
    },
    /// A whole answer that is a failure of the server.
    Failed,
    /// It was full and did not run the request.
    Full,
    /// Another server has the address now.
    Elsewhere,
    /// No connection came up; nothing was sent.
    NoConnection,
    /// It was sent, and what became of it is not known.
    Unknown,
    /// No answer in time.
    Silent,
    /// The caller left.
    Left,
}

impl Outcome {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered { .. } => "answered",
            Outcome::Failed => "failed",
            Outcome::Full => "full",
            Outcome::Elsewhere => "elsewhere",
            Outcome::NoConnection => "no_connection",
            Outcome::Unknown => "broken",
            Outcome::Silent => "silent",
            Outcome::Left => "left",
        }
    }
}

/// Answer times of one service.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Mean answer time, in milliseconds.
    pub mean_ms: f64,
    /// The same of servers that were taken to know the key.
    pub knowing_ms: f64,
    /// The same of the others.
    pub unknowing_ms: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            mean_ms: FIRST_GUESS_MS,
            knowing_ms: FIRST_GUESS_MS,
            unknowing_ms: FIRST_GUESS_MS * UNKNOWING,
        }
    }
}

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    entries: FxHashMap<usize, Entry>,
    by_id: HashMap<String, Index>,
    by_hash: FxHashMap<u32, Index>,
    by_service: HashMap<String, Vec<Index>>,
    paces: HashMap<String, Pace>,
    next: usize,
}

impl Entry {
    /// Requests in flight from all hosts, as far as is known.
    pub fn occupied(&self, now: Time) -> u32 {
        let counted = self.own + self.others;
        match self.told {
            Some((told, at)) if now.since(at) < TOLD => counted.max(told),
            _ => counted,
        }
    }

    /// Whether it counts as cold.
    pub fn cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether this host waits for answers of it in vain.
    pub fn silent(&self, now: Time, pace: Pace) -> bool {
        let patience = (pace.mean_ms * SILENT_MEANS) as u64 * MILLI;
        let patience = patience.clamp(SILENT_MIN, SILENT_MAX);
        self.silent_since.is_some_and(|since| now.since(since) > patience)
    }

    /// Whether a connection may be tried and it has not just refused.
    pub fn reachable(&self, now: Time) -> bool {
        now >= self.down_until && now >= self.refused_until
    }

    /// Whether a silent server is due for a trial; `apart` is the time between.
    pub fn trial_due(&self, now: Time, apart: u64) -> bool {
        now.since(self.tried) > apart
    }

    /// The server stays cold for at least this long from now.
    pub fn keep_cold(&mut self, now: Time, millis: u64) {
        if millis > 0 {
            self.cold_until = self.cold_until.max(now + millis * MILLI + COLD_MARGIN);
        }
    }

    /// A request is sent.
    pub fn sent(&mut self, now: Time) {
        self.own += 1;
        self.tried = now;
        self.silent_since.get_or_insert(now);
        if self.cold(now) {
            self.cold_sent = Some(now);
        }
    }

    /// What the server said of its load.
    pub fn tell(&mut self, now: Time, requests: u32) {
        self.told = Some((requests, now));
    }

    fn heard(&mut self, now: Time) {
        self.answered = Some(now);
        self.failures = 0;
        self.silent_since = (self.own > 0).then_some(now);
    }

    fn fail(&mut self, failed: bool) {
        let value = if failed { 1.0 } else { 0.0 };
        self.failing += (value - self.failing) * FAILURE_WEIGHT;
    }
}

impl ServerTable {
    /// A server by its place.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(&index.0)
    }

    /// A server by its place, to be changed.
    pub fn get_mut(&mut self, index: Index) -> Option<&mut Entry> {
        self.entries.get_mut(&index.0)
    }

    /// Place of a server by its id.
    pub fn find(&self, id: &str) -> Option<Index> {
        self.by_id.get(id).copied()
    }

    /// Place of a server by the hash of its id, cut to 32 bits.
    pub fn place(&self, hash: u32) -> Option<Index> {
        self.by_hash.get(&hash).copied()
    }

    /// A server by the hash of its id, cut to 32 bits, to be changed.
    pub fn by_hash(&mut self, hash: u32) -> Option<&mut Entry> {
        let index = self.by_hash.get(&hash)?;
        self.entries.get_mut(&index.0)
    }

    /// Names of services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let services = self.by_service.iter().filter(|(_, places)| !places.is_empty());
        services.map(|(name, _)| name.as_str())
    }

    /// Servers of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = (Index, &Entry)> {
        let places = self.by_service.get(service).into_iter().flatten();
        places.filter_map(|index| Some((*index, self.get(*index)?)))
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = (Index, &Entry)> {
        self.entries.iter().map(|(index, entry)| (Index(*index), entry))
    }

    /// All servers, to be changed.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    /// Answer times of a service.
    pub fn pace(&self, service: &str) -> Pace {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// Servers that have fallen silent, or answer again, since this was last asked.
    pub fn turned(&mut self, now: Time) -> Vec<(String, bool)> {
        let mut turned = Vec::new();
        for entry in self.entries.values_mut() {
            let pace = self.paces.get(&entry.server.service).copied().unwrap_or_default();
            let silent = entry.silent(now, pace) || entry.failures > 1;
            if silent != entry.was_silent {
                entry.was_silent = silent;
                turned.push((entry.id.clone(), silent));
            }
        }
        turned
    }

    /// Takes a server in as the store has it now.
    pub fn put(&mut self, now: Time, id: &str, server: &Server, region: &str) -> Index {
        if let Some(index) = self.find(id)
            && let Some(entry) = self.entries.get_mut(&index.0)
        {
            entry.server = server.clone();
            entry.lapses = None;
            entry.keep_cold(now, server.cold_ms);
            return index;
        }
        let index = Index(self.next);
        self.next += 1;
        let mut entry = Entry {
            id: id.to_owned(),
            hash: hash::of(id),
            server: server.clone(),
            region: region.to_owned(),
            own: 0,
            others: 0,
            silent_elsewhere: 0,
            cold_until: Time(0),
            cold_sender: false,
            cold_sent: None,
            silent_since: None,
            answered: None,
            tried: Time(0),
            was_silent: false,
            failures: 0,
            down_until: Time(0),
            refused_until: Time(0),
            told: None,
            failing: 0.0,
            slowness: 1.0,
            lapses: None,
        };
        entry.keep_cold(now, server.cold_ms);
        self.by_hash.insert(entry.hash as u32, index);
        self.by_id.insert(id.to_owned(), index);
        self.by_service.entry(server.service.clone()).or_default().push(index);
        self.entries.insert(index.0, entry);
        index
    }

    /// Takes a server out.
    pub fn remove(&mut self, id: &str) {
        let Some(index) = self.by_id.remove(id) else { return };
        let Some(entry) = self.entries.remove(&index.0) else { return };
        self.by_hash.remove(&(entry.hash as u32));
        if let Some(places) = self.by_service.get_mut(&entry.server.service) {
            places.retain(|place| *place != index);
        }
    }

    /// Takes in what became of a request that was sent.
    pub fn done(&mut self, now: Time, index: Index, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&index.0) else { return };
        entry.own = entry.own.saturating_sub(1);
        match outcome {
            Outcome::Answered { micros, knew } => {
                entry.heard(now);
                entry.fail(false);
                let pace = self.paces.entry(entry.server.service.clone()).or_default();
                let millis = micros as f64 / MILLI as f64;
                pace.mean_ms += (millis - pace.mean_ms) * MEAN_WEIGHT;
                let kind = if knew { &mut pace.knowing_ms } else { &mut pace.unknowing_ms };
                let ratio = (millis / *kind).min(8.0);
                *kind += (millis - *kind) * MEAN_WEIGHT;
                entry.slowness += (ratio - entry.slowness) * MEAN_WEIGHT;
            }
            Outcome::Failed => {
                entry.heard(now);
                entry.fail(true);
            }
            Outcome::Full => {
                entry.heard(now);
                entry.refused_until = now + FULL;
            }
            Outcome::Elsewhere => {
                entry.heard(now);
                entry.refused_until = now + DOWN_MAX;
            }
            Outcome::NoConnection => {
                if entry.own == 0 {
                    entry.silent_since = None;
                }
                let pause = DOWN_FIRST << entry.failures.min(4);
                entry.failures += 1;
                entry.down_until = now + pause.min(DOWN_MAX);
            }
            Outcome::Unknown => {
                entry.heard(now);
                entry.fail(true);
            }
            Outcome::Silent => entry.fail(true),
            Outcome::Left => {
                if entry.own == 0
                    && entry.silent_since.is_some_and(|since| now.since(since) < SILENT_MIN)
                {
                    entry.silent_since = None;
                }
            }
        }
    }
}
