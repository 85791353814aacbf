//! What callers and backend servers saw, and which promises that breaks.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::{outages::Outages, poison, workspaces};

/// A connection that ends this soon after a request's last byte may have been closed
/// before the request came.
const CROSSING_MS: u64 = 200;

/// What became of a request for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A success.
    Success,
    /// It was refused: it has not run and will not.
    Refused,
    /// It may have run.
    Unknown,
}

/// A request.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    runs: u32,
    refused: bool,
}

/// A request that was sent whole to a host under planned work only, and got no answer.
#[derive(Clone, Debug)]
pub struct LostRequest {
    /// Its id.
    pub id: String,
    /// Time from its last byte to the end of its connection, in milliseconds.
    pub ended_after_ms: u64,
    /// For how long of that the soak itself may have looked late, in milliseconds.
    pub stall_ms: u64,
    /// Where and when.
    pub context: String,
}

/// A success that shows a configuration.
#[derive(Clone, Copy, Debug)]
pub struct VersionObservation {
    /// Host, and number of its start.
    pub host: (usize, u64),
    /// The service that shows the version.
    pub pin: u64,
    /// Number of such services.
    pub pin_count: u64,
    /// When the request was sent, in milliseconds since the beginning.
    pub sent_ms: u64,
    /// When its answer was there.
    pub received_ms: u64,
    /// Whether the host was undisturbed for long enough before.
    pub undisturbed: bool,
}

/// A success that shows that a key was taken.
#[derive(Clone, Copy, Debug)]
pub struct KeyAcceptance {
    /// Host, and number of its start.
    pub host: (usize, u64),
    /// Newest version that holds the key.
    pub last_valid_version: u64,
    /// When the request was sent, in milliseconds since the beginning.
    pub sent_ms: u64,
    /// Whether the host was undisturbed for long enough before.
    pub undisturbed: bool,
}

/// Requests under which servers end.
#[derive(Debug, Default)]
struct PoisonRecord {
    /// When servers ended under them.
    ended: Vec<u64>,
    /// Those that were sent to hosts that must know of them.
    known: HashSet<String>,
    /// Those of them that reached servers.
    late: usize,
}

/// Harmful requests that may still reach servers by hosts that must know of them.
const STILL: usize = 3;

/// All that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    harm: PoisonRecord,
    /// When requests of the limited workspace ran.
    limited: VecDeque<u64>,
    requests: HashMap<String, Entry>,
    versions: BTreeMap<u64, u64>,
    last: HashMap<(usize, u64), (u64, u64)>,
    counts: BTreeMap<&'static str, u64>,
    cuts: Vec<LostRequest>,
    violations: Vec<String>,
}

impl Ledger {
    /// Broken promises.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Numbers of things seen.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Something is counted.
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// A promise is broken.
    pub fn add_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// A backend server begins to run a request.
    pub fn record_run(&mut self, id: &str) {
        self.count("run");
        let entry = self.requests.entry(id.to_owned()).or_default();
        entry.runs += 1;
        let (runs, refused) = (entry.runs, entry.refused);
        let once = id.starts_with("once");
        if once && runs > 1 {
            self.add_violation(format!("{id} ran {runs} times"));
        }
        if once && refused {
            self.add_violation(format!("{id} ran after it was refused"));
        }
    }

    /// A caller has its final answer.
    pub fn record_outcome(&mut self, id: &str, seen: Outcome) {
        let entry = self.requests.entry(id.to_owned()).or_default();
        let ran = entry.runs > 0;
        entry.refused |= seen == Outcome::Refused;
        match seen {
            Outcome::Success => self.count("success"),
            Outcome::Refused => self.count("refused"),
            Outcome::Unknown => self.count("unknown"),
        }
        if seen == Outcome::Refused && ran && id.starts_with("once") {
            self.add_violation(format!("{id} was refused and has run"));
        }
        if seen == Outcome::Success && !ran {
            self.add_violation(format!("{id} succeeded and has not run"));
        }
    }

    /// A server has ended under a harmful request.
    pub fn record_crash(&mut self, now: u64) {
        self.count("server ended");
        self.harm.ended.push(now);
    }

    /// When the third server ended; never, as long as it has not.
    pub fn third_crash_ms(&self) -> u64 {
        self.harm.ended.get(2).copied().unwrap_or(u64::MAX / 2)
    }

    /// A harmful request is sent to a host, that must know of it or not.
    pub fn record_poison_sent(&mut self, id: &str, known: bool) {
        if known {
            self.harm.known.insert(id.to_owned());
        }
    }

    /// A harmful request begins to run.
    pub fn record_poison_run(&mut self, id: &str) {
        self.harm.late += usize::from(self.harm.known.contains(id));
        let late = self.harm.late;
        if late > STILL {
            let ended = self.harm.ended.len();
            self.add_violation(format!(
                "{id} ran, {late} after hosts had to know; {ended} servers ended"
            ));
        }
    }

    /// A request was refused for the servers that end under it.
    pub fn record_poison_refusal(&mut self, id: &str) {
        self.count("refused for harm");
        if !id.starts_with(poison::POISON_ID_PREFIX) {
            self.add_violation(format!("{id} was refused for harm, and does none"));
        }
    }

    /// A request of the limited workspace runs.
    pub fn record_limited_run(&mut self, now: u64) {
        let (most, window) = workspaces::limited_window_bound();
        self.limited.push_back(now);
        while self.limited.front().is_some_and(|at| at + window <= now) {
            self.limited.pop_front();
        }
        let ran = self.limited.len();
        if ran > most {
            self.add_violation(format!("{ran} requests over a limit of {most} up to {now} ms"));
        }
    }

    /// A host took a key.
    pub fn check_key_acceptance(&mut self, taken: &KeyAcceptance, troubles: &Outages) {
        let KeyAcceptance {
            host,
            last_valid_version: held_until,
            sent_ms: sent,
            undisturbed: calm,
        } = *taken;
        let due = |at: u64| troubles.due(at).is_some_and(|due| due < sent);
        let newer = self.versions.range(held_until + 1..).next().filter(|(_, at)| due(**at));
        if calm && let Some((version, at)) = newer {
            let since = sent - at;
            self.add_violation(format!(
                "host {host:?} took a key at {sent} ms that version {version} took away, \
                 acknowledged {since} ms before"
            ));
        }
    }

    /// A configuration is accepted.
    pub fn record_configuration(&mut self, version: u64, now: u64) {
        self.versions.insert(version, now);
    }

    /// The newest configuration.
    pub fn newest_version(&self) -> u64 {
        self.versions.keys().next_back().copied().unwrap_or(0)
    }

    /// A request got no answer, from a host under planned work only.
    pub fn record_lost_request(&mut self, cut: LostRequest) {
        self.count("cut");
        self.cuts.push(cut);
    }

    /// Judges what got no answer, once no backend server can run any of it any more.
    pub fn check_lost_requests(&mut self) {
        for cut in std::mem::take(&mut self.cuts) {
            let ran = self.requests.get(&cut.id).is_some_and(|entry| entry.runs > 0);
            let LostRequest { id, ended_after_ms: after, stall_ms: late, context: how } = cut;
            if ran || after > CROSSING_MS + late {
                let ran = if ran { "which a backend server ran" } else { "which ran nowhere" };
                self.add_violation(format!(
                    "{id}, {ran}, got no answer: ended {after} ms after {how}"
                ));
            }
        }
    }

    /// A start of a host served a request by a configuration.
    pub fn check_served_version(&mut self, served: &VersionObservation, troubles: &Outages) {
        let VersionObservation {
            host,
            pin,
            pin_count: pins,
            sent_ms: sent,
            received_ms: now,
            undisturbed: calm,
        } = *served;
        let newest = self.newest_version();
        let back = (newest + pins - pin % pins) % pins;
        let version = newest - back.min(newest);
        let due = |at: u64| troubles.due(at).is_some_and(|due| due < sent);
        if calm
            && let Some((wanted, at)) = self.versions.iter().rev().find(|(_, at)| due(**at))
            && version < *wanted
        {
            let since = sent - at;
            self.add_violation(format!(
                "host {host:?} served by version {version} at {sent} ms, {wanted} is in force, \
                 acknowledged {since} ms before"
            ));
        }
        if let Some((seen, at)) = self.last.get(&host)
            && *at < sent
            && version < *seen
        {
            self.add_violation(format!("host {host:?} went back from version {seen} to {version}"));
        }
        let last = self.last.entry(host).or_default();
        if version >= last.0 {
            *last = (version, now);
        }
    }
}
