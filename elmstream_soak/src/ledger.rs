//! Records what callers and backend servers observe, and the guarantees that are violated by
//! it.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::{homes, outages::Outages, poison, workspaces};

/// A connection that closes within this time after a request's last byte may have been
/// closed before the request arrived.
const CLOSE_RACE_MS: u64 = 200;

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request succeeded.
    Success,
    /// The request was refused: it has not run and will not run.
    Refused,
    /// The request may have run.
    Unknown,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, Default)]
struct RequestRecord {
    runs: u32,
    refused: bool,
}

/// A request that was sent completely to a host under planned work only, and got no answer.
#[derive(Clone, Debug)]
pub struct LostRequest {
    /// Id of the request.
    pub id: String,
    /// Time from its last byte to the end of its connection, in milliseconds.
    pub ended_after_ms: u64,
    /// Part of that time which may be due to stalls of the soak itself, in milliseconds.
    pub stall_ms: u64,
    /// Connection, host and time, for the report.
    pub context: String,
}

/// A success that shows which configuration the host used.
#[derive(Clone, Copy, Debug)]
pub struct VersionObservation {
    /// Index of the host, and number of its start.
    pub host: (usize, u64),
    /// Index of the pin service that answered, which shows the version.
    pub pin: u64,
    /// Number of pin services.
    pub pin_count: u64,
    /// When the request was sent, in milliseconds since the start of the soak.
    pub sent_ms: u64,
    /// When its answer was received, in milliseconds since the start of the soak.
    pub received_ms: u64,
    /// Whether the host had been undisturbed for long enough.
    pub undisturbed: bool,
}

/// A success that shows that a host accepted a workspace key.
#[derive(Clone, Copy, Debug)]
pub struct KeyAcceptance {
    /// Index of the host, and number of its start.
    pub host: (usize, u64),
    /// Newest configuration version that contains the key.
    pub last_valid_version: u64,
    /// When the request was sent, in milliseconds since the start of the soak.
    pub sent_ms: u64,
    /// Whether the host had been undisturbed for long enough.
    pub undisturbed: bool,
}

/// A request with homes that move, when it reaches a server.
#[derive(Clone, Copy, Debug)]
pub struct HomedArrival<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Region of the server.
    pub region: &'a str,
    /// Index of the host that sent it to the server.
    pub sender: usize,
    /// When it arrived, in milliseconds since the start of the soak.
    pub arrived_ms: u64,
}

/// Observations of poison requests, under which servers crash.
#[derive(Debug, Default)]
struct PoisonRecord {
    /// When servers crashed, in milliseconds since the start of the soak.
    crash_times_ms: Vec<u64>,
    /// Ids of poison requests sent to hosts that have to refuse them.
    must_refuse: HashSet<String>,
    /// Number of those that reached a server nevertheless.
    late_runs: usize,
}

/// Number of poison requests that may still reach servers through hosts that have to refuse
/// them.
const MAX_LATE_POISON_RUNS: usize = 3;

/// Everything observed in a soak.
#[derive(Debug, Default)]
pub struct Ledger {
    poison: PoisonRecord,
    /// When requests of the limited workspace ran, within the last window.
    limited_runs_ms: VecDeque<u64>,
    requests: HashMap<String, RequestRecord>,
    /// The host that each request was sent to by its caller, and when.
    sent: HashMap<String, (usize, u64)>,
    versions: BTreeMap<u64, u64>,
    last_versions: HashMap<(usize, u64), (u64, u64)>,
    counts: BTreeMap<&'static str, u64>,
    lost_requests: Vec<LostRequest>,
    violations: Vec<String>,
}

impl Ledger {
    /// Violated guarantees, in order of their detection.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Number of occurrences by kind.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Counts one occurrence of a kind.
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Records a violated guarantee.
    pub fn add_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Records that a backend server begins to run a request. A request that may run only
    /// once is checked for a second run and for a run after its refusal.
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

    /// Records that a caller sends a request to a host.
    pub fn record_sent(&mut self, id: &str, host: usize, now_ms: u64) {
        self.sent.insert(id.to_owned(), (host, now_ms));
    }

    /// Records a request's final outcome and checks it against the request's runs.
    pub fn record_outcome(&mut self, id: &str, outcome: Outcome) {
        let entry = self.requests.entry(id.to_owned()).or_default();
        let ran = entry.runs > 0;
        entry.refused |= outcome == Outcome::Refused;
        match outcome {
            Outcome::Success => self.count("success"),
            Outcome::Refused => self.count("refused"),
            Outcome::Unknown => self.count("unknown"),
        }
        if outcome == Outcome::Refused && ran && id.starts_with("once") {
            self.add_violation(format!("{id} was refused and has run"));
        }
        if outcome == Outcome::Success && !ran {
            self.add_violation(format!("{id} succeeded and has not run"));
        }
    }

    /// Records that a server crashed under a poison request.
    pub fn record_crash(&mut self, now_ms: u64) {
        self.count("server ended");
        self.poison.crash_times_ms.push(now_ms);
    }

    /// When the third server crashed; a time that is never reached if fewer have crashed.
    pub fn third_crash_ms(&self) -> u64 {
        self.poison.crash_times_ms.get(2).copied().unwrap_or(u64::MAX / 2)
    }

    /// Records that a poison request is sent; `must_refuse` if its host has to refuse it by
    /// now.
    pub fn record_poison_sent(&mut self, id: &str, must_refuse: bool) {
        if must_refuse {
            self.poison.must_refuse.insert(id.to_owned());
        }
    }

    /// Records that a poison request runs, and checks that it did not pass a host that had
    /// to refuse it.
    pub fn record_poison_run(&mut self, id: &str) {
        self.poison.late_runs += usize::from(self.poison.must_refuse.contains(id));
        let late_runs = self.poison.late_runs;
        if late_runs > MAX_LATE_POISON_RUNS {
            let crashes = self.poison.crash_times_ms.len();
            self.add_violation(format!(
                "{id} ran, {late_runs} after hosts had to know; {crashes} servers crashed"
            ));
        }
    }

    /// Records that a request was refused as poison, and checks that it is one.
    pub fn record_poison_refusal(&mut self, id: &str) {
        self.count("refused for harm");
        if !id.starts_with(poison::POISON_ID_PREFIX) {
            self.add_violation(format!("{id} was refused as poison and crashes no server"));
        }
    }

    /// Records that a request of the limited workspace runs, and checks the workspace's
    /// limit.
    pub fn record_limited_run(&mut self, now_ms: u64) {
        let (limit, window) = workspaces::limited_window_bound();
        self.limited_runs_ms.push_back(now_ms);
        while self.limited_runs_ms.front().is_some_and(|at| at + window <= now_ms) {
            self.limited_runs_ms.pop_front();
        }
        let ran = self.limited_runs_ms.len();
        if ran > limit {
            self.add_violation(format!("{ran} requests over a limit of {limit} up to {now_ms} ms"));
        }
    }

    /// Checks that a host did not accept a key that was revoked.
    pub fn check_key_acceptance(&mut self, acceptance: &KeyAcceptance, outages: &Outages) {
        let KeyAcceptance { host, last_valid_version, sent_ms, undisturbed } = *acceptance;
        let due = |at: u64| outages.due(at).is_some_and(|due| due < sent_ms);
        let newer =
            self.versions.range(last_valid_version + 1..).next().filter(|(_, at)| due(**at));
        if undisturbed && let Some((version, at)) = newer {
            let since = sent_ms - at;
            self.add_violation(format!(
                "host {host:?} accepted a key at {sent_ms} ms that version {version} revoked, \
                 acknowledged {since} ms before"
            ));
        }
    }

    /// Records that the store accepted a configuration.
    pub fn record_configuration(&mut self, version: u64, now_ms: u64) {
        self.versions.insert(version, now_ms);
    }

    /// Version of the newest configuration; 0 if there is none.
    pub fn newest_version(&self) -> u64 {
        self.versions.keys().next_back().copied().unwrap_or(0)
    }

    /// Records a request without an answer, from a host under planned work only.
    pub fn record_lost_request(&mut self, lost: LostRequest) {
        self.count("cut");
        self.lost_requests.push(lost);
    }

    /// Checks the requests without an answer. Call it once no backend server can run any of
    /// them any more.
    pub fn check_lost_requests(&mut self) {
        for lost in std::mem::take(&mut self.lost_requests) {
            let ran = self.requests.get(&lost.id).is_some_and(|entry| entry.runs > 0);
            let LostRequest { id, ended_after_ms, stall_ms, context } = lost;
            if ran || ended_after_ms > CLOSE_RACE_MS + stall_ms {
                let ran = if ran { "which a backend server ran" } else { "which ran nowhere" };
                self.add_violation(format!(
                    "{id}, {ran}, got no answer: ended {ended_after_ms} ms after {context}"
                ));
            }
        }
    }

    /// The newest configuration that has to be in force on undisturbed hosts at a time, and when it was
    /// acknowledged; `None` if there is none.
    fn version_in_force(&self, at_ms: u64, outages: &Outages) -> Option<(u64, u64)> {
        let is_due = |acknowledged| outages.due(acknowledged).is_some_and(|due| due < at_ms);
        let due = self.versions.iter().rev().find(|(_, acknowledged)| is_due(**acknowledged));
        due.map(|(version, acknowledged)| (*version, *acknowledged))
    }

    /// Checks that a request reached a server in a region that is its home by a configuration which
    /// undisturbed hosts may have used since the caller sent it.
    ///
    /// A request that is relayed goes by the newer configuration of two hosts, so it is judged if the
    /// host that received it or the one that sent it to the server was undisturbed for long enough.
    pub fn check_homes(
        &mut self,
        arrival: &HomedArrival<'_>,
        is_undisturbed: impl Fn(usize) -> bool,
        outages: &Outages,
    ) {
        let HomedArrival { id, region, sender, arrived_ms } = *arrival;
        let Some((receiver, sent_ms)) = self.sent.get(id).copied() else {
            return self.add_violation(format!("{id} reached a server and was not sent"));
        };
        self.count(if receiver == sender { "homed arrived" } else { "homed arrived by a relay" });
        let oldest = self.version_in_force(sent_ms, outages).map_or(0, |(version, _)| version);
        let may_use =
            self.versions.range(oldest..).map(|(version, _)| homes::home_of_version(*version));
        let allowed: Vec<&str> = may_use.collect();
        let is_narrowed = homes::REGIONS.iter().any(|region| !allowed.contains(region));
        if !is_narrowed || !(is_undisturbed(receiver) || is_undisturbed(sender)) {
            return;
        }
        self.count(if receiver == sender { "homes judged" } else { "homes judged at a relay" });
        if !allowed.contains(&region) {
            let newest = self.newest_version();
            self.add_violation(format!(
                "{id} ran outside its homes, in {region}, sent by host {sender} at {arrived_ms} ms; host \
                 {receiver} got it at {sent_ms} ms; versions {oldest} to {newest} may be in force and \
                 say {allowed:?}"
            ));
        }
    }

    /// Checks that a host served a request by a configuration that is recent enough, and not
    /// by one older than it used before.
    pub fn check_served_version(&mut self, observation: &VersionObservation, outages: &Outages) {
        let VersionObservation { host, pin, pin_count, sent_ms, received_ms, undisturbed } =
            *observation;
        let newest = self.newest_version();
        let versions_back = (newest + pin_count - pin % pin_count) % pin_count;
        let version = newest - versions_back.min(newest);
        if undisturbed
            && let Some((required_version, at)) = self.version_in_force(sent_ms, outages)
            && version < required_version
        {
            let since = sent_ms - at;
            self.add_violation(format!(
                "host {host:?} served by version {version} at {sent_ms} ms, {required_version} is \
                 in force, acknowledged {since} ms before"
            ));
        }
        if let Some((previous, at)) = self.last_versions.get(&host)
            && *at < sent_ms
            && version < *previous
        {
            self.add_violation(format!(
                "host {host:?} went back from version {previous} to {version}"
            ));
        }
        let newest_seen = self.last_versions.entry(host).or_default();
        if version >= newest_seen.0 {
            *newest_seen = (version, received_ms);
        }
    }
}
