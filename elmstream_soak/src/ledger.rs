//! What callers and backend servers saw, and which promises that breaks.

use std::collections::{BTreeMap, HashMap};

/// Time in which a configuration must be in force on undisturbed hosts.
const CONFIGURATION_MS: u64 = 2_500;

/// What became of a request for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
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

/// All that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: HashMap<String, Entry>,
    versions: BTreeMap<u64, u64>,
    last: HashMap<(usize, u64), (u64, u64)>,
    counts: BTreeMap<&'static str, u64>,
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
    pub fn violate(&mut self, text: String) {
        self.violations.push(text);
    }

    /// A backend server begins to run a request.
    pub fn runs(&mut self, id: &str) {
        self.count("run");
        let entry = self.requests.entry(id.to_owned()).or_default();
        entry.runs += 1;
        let (runs, refused) = (entry.runs, entry.refused);
        let once = id.starts_with("once");
        if once && runs > 1 {
            self.violate(format!("{id} ran {runs} times"));
        }
        if once && refused {
            self.violate(format!("{id} ran after it was refused"));
        }
    }

    /// A caller has its final answer.
    pub fn answered(&mut self, id: &str, seen: Seen) {
        let entry = self.requests.entry(id.to_owned()).or_default();
        let ran = entry.runs > 0;
        entry.refused |= seen == Seen::Refused;
        match seen {
            Seen::Success => self.count("success"),
            Seen::Refused => self.count("refused"),
            Seen::Unknown => self.count("unknown"),
        }
        if seen == Seen::Refused && ran && id.starts_with("once") {
            self.violate(format!("{id} was refused and has run"));
        }
        if seen == Seen::Success && !ran {
            self.violate(format!("{id} succeeded and has not run"));
        }
    }

    /// A configuration is accepted.
    pub fn configured(&mut self, version: u64, now: u64) {
        self.versions.insert(version, now);
    }

    /// The newest configuration.
    pub fn newest(&self) -> u64 {
        self.versions.keys().next_back().copied().unwrap_or(0)
    }

    /// A start of a host served a request, sent at a time, by a configuration.
    ///
    /// `calm` says whether nothing was wrong for long enough before.
    pub fn served_by(
        &mut self,
        host: (usize, u64),
        pin: u64,
        pins: u64,
        sent: u64,
        now: u64,
        calm: bool,
    ) {
        let newest = self.newest();
        let back = (newest + pins - pin % pins) % pins;
        let version = newest - back.min(newest);
        if calm
            && let Some((due, _)) =
                self.versions.iter().rev().find(|(_, at)| **at + CONFIGURATION_MS < sent)
            && version < *due
        {
            self.violate(format!("host {host:?} served by version {version}, {due} is in force"));
        }
        if let Some((seen, at)) = self.last.get(&host)
            && *at < sent
            && version < *seen
        {
            self.violate(format!("host {host:?} went back from version {seen} to {version}"));
        }
        let last = self.last.entry(host).or_default();
        if version >= last.0 {
            *last = (version, now);
        }
    }
}
