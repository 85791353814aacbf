//! Table of the backend servers, with indexes by id and by service.

use std::collections::{BTreeMap, HashMap};

use elmstream::time::Time;
use rustc_hash::FxHashMap;

pub use crate::server::{AnswerTimes, Outcome, ServerEntry};
use crate::{model::Server, server_speed::SpeedSource, service_path::ServicePath};

/// Index of a server in the table. It is never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIndex(pub usize);

/// All backend servers that this host knows.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    entries: FxHashMap<usize, ServerEntry>,
    by_id: HashMap<String, ServerIndex>,
    by_hash: FxHashMap<u32, ServerIndex>,
    by_service: HashMap<String, Vec<ServerIndex>>,
    answer_times: HashMap<String, AnswerTimes>,
    /// Whether this host reaches the servers of each service.
    paths: HashMap<String, ServicePath>,
    /// Index of each failure domain that was ever asked for.
    domain_indexes: HashMap<String, u16>,
    /// Time in which the weight of reported speeds decays to 1/e, in microseconds; 0 if they are not
    /// used.
    report_decay: u64,
    next_index: usize,
}

impl ServerTable {
    /// Returns a server by its index.
    pub fn get(&self, index: ServerIndex) -> Option<&ServerEntry> {
        self.entries.get(&index.0)
    }

    /// Returns a server by its index, for modification.
    pub fn get_mut(&mut self, index: ServerIndex) -> Option<&mut ServerEntry> {
        self.entries.get_mut(&index.0)
    }

    /// Returns the index of a server by its id.
    pub fn find(&self, id: &str) -> Option<ServerIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns the index of a server by the lower 32 bits of the hash of its id.
    pub fn index_by_hash(&self, hash: u32) -> Option<ServerIndex> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns a server by the lower 32 bits of the hash of its id, for modification.
    pub fn get_mut_by_hash(&mut self, hash: u32) -> Option<&mut ServerEntry> {
        let index = self.by_hash.get(&hash)?;
        self.entries.get_mut(&index.0)
    }

    /// Names of the services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let services = self.by_service.iter().filter(|(_, indexes)| !indexes.is_empty());
        services.map(|(name, _)| name.as_str())
    }

    /// Servers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (ServerIndex, &ServerEntry)> {
        let indexes = self.by_service.get(service).into_iter().flatten();
        indexes.filter_map(|index| Some((*index, self.get(*index)?)))
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = (ServerIndex, &ServerEntry)> {
        self.entries.iter().map(|(index, entry)| (ServerIndex(*index), entry))
    }

    /// All servers, for modification.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut ServerEntry> {
        self.entries.values_mut()
    }

    /// All servers with their indexes, for modification.
    pub fn all_mut_indexed(&mut self) -> impl Iterator<Item = (ServerIndex, &mut ServerEntry)> {
        self.entries.iter_mut().map(|(index, entry)| (ServerIndex(*index), entry))
    }

    /// Answer times of a service; assumed values before the first answer.
    pub fn answer_times(&self, service: &str) -> AnswerTimes {
        self.answer_times.get(service).copied().unwrap_or_default()
    }

    /// Answer times of a service; `None` before the first answer.
    pub fn known_answer_times(&self, service: &str) -> Option<AnswerTimes> {
        self.answer_times.get(service).copied()
    }

    /// Index of a failure domain, which stays the same as long as the host runs.
    pub fn domain_index(&mut self, domain: &str) -> u16 {
        if let Some(index) = self.domain_indexes.get(domain) {
            return *index;
        }
        let index = self.domain_indexes.len().min(usize::from(u16::MAX)) as u16;
        self.domain_indexes.insert(domain.to_owned(), index);
        index
    }

    /// Takes in a server's report of how fast it works, as [`ServerEntry::record_speed`] does.
    pub fn record_speed(
        &mut self,
        now: Time,
        index: ServerIndex,
        (percent, age): (u16, u64),
        source: SpeedSource,
    ) -> bool {
        let entry = self.entries.get_mut(&index.0);
        entry.is_some_and(|entry| entry.record_speed(now, percent, age, source))
    }

    /// Sets the time in which the weight of reported speeds decays to 1/e, in microseconds.
    pub fn set_report_decay(&mut self, decay: u64) {
        self.report_decay = decay;
        for entry in self.entries.values_mut() {
            entry.report_decay = decay;
        }
    }

    /// Ids of servers that became slow (`true`) or no longer are (`false`) since the last call, by
    /// their reports, with the factor on the time that work takes.
    pub fn speed_changes(&mut self, now: Time) -> Vec<(String, bool, f64)> {
        let entries = self.entries.values_mut();
        let changed = entries.filter_map(|entry| {
            let is_slow = entry.speed.slow_change(now, entry.report_decay)?;
            Some((entry.id.clone(), is_slow, entry.speed.factor(now, entry.report_decay)))
        });
        changed.collect()
    }

    /// Ids of servers that became silent (`true`) or answer again (`false`) since the last call.
    pub fn silence_changes(&mut self, now: Time) -> Vec<(String, bool)> {
        let answer_times = &self.answer_times;
        let times_of = |service: &str| answer_times.get(service).copied().unwrap_or_default();
        let mut changed = Vec::new();
        for (index, entry) in &mut self.entries {
            let times = times_of(&entry.server.service);
            let Some(silent) = entry.silence_change(now, times) else { continue };
            if silent && let Some(path) = self.paths.get_mut(&entry.server.service) {
                path.on_failure(ServerIndex(*index));
            }
            changed.push((entry.id.clone(), silent));
        }
        changed
    }

    /// Whether this host reaches the servers of a service.
    pub fn path(&self, service: &str) -> Option<&ServicePath> {
        self.paths.get(service)
    }

    /// Whether this host may report a server as silent: another server of the service has
    /// answered since, or this host waits for no other one. `awaited` is the number of servers that
    /// it waits for, by service.
    pub fn is_witness(&self, entry: &ServerEntry, awaited: &HashMap<&str, u32>) -> bool {
        let service = entry.server.service.as_str();
        let answered = |since| self.path(service).is_some_and(|path| path.answered_since(since));
        let own = u32::from(entry.own_in_flight > 0);
        let others = awaited.get(service).copied().unwrap_or(0) - own;
        others == 0 || entry.silent_since().is_some_and(answered)
    }

    /// Number of servers of each service with requests of this host in flight.
    pub fn awaited_by_service(&self) -> HashMap<&str, u32> {
        let mut awaited = HashMap::new();
        for entry in self.entries.values().filter(|entry| entry.own_in_flight > 0) {
            *awaited.entry(entry.server.service.as_str()).or_default() += 1;
        }
        awaited
    }

    /// Whether this host's paths to the servers of a service count as cut.
    ///
    /// If they are cut to one service, a failure without an answer is enough for another one.
    pub fn is_cut(&self, service: &str) -> bool {
        let Some(path) = self.path(service) else { return false };
        path.is_cut() || (path.has_failed() && self.paths.values().any(ServicePath::is_cut))
    }

    /// Services that this host's paths to count as cut.
    pub fn cut_services(&self) -> impl Iterator<Item = &str> {
        self.paths.keys().map(String::as_str).filter(|service| self.is_cut(service))
    }

    /// Records that a server of a cut service accepted a connection.
    pub fn record_path_back(&mut self, now: Time, service: &str) {
        if let Some(path) = self.paths.get_mut(service) {
            for failed in path.on_answer(now) {
                if let Some(entry) = self.entries.get_mut(&failed.0) {
                    entry.forget_failures(now);
                }
            }
        }
    }

    /// Services that became unreachable to this host (`true`) or are reachable again (`false`) since
    /// the last call.
    pub fn path_changes(&mut self) -> Vec<(String, bool)> {
        let states: Vec<(String, bool)> =
            self.paths.keys().map(|service| (service.clone(), self.is_cut(service))).collect();
        let changed = states.into_iter().filter(|(service, is_cut)| {
            self.paths.get_mut(service).is_some_and(|path| path.set_reported(*is_cut))
        });
        changed.collect()
    }

    /// Adds a server, or updates it to its present entry in the store.
    pub fn insert(&mut self, now: Time, id: &str, server: &Server, region: &str) -> ServerIndex {
        let domain_index = self.domain_index(&server.domain);
        if let Some(index) = self.find(id)
            && let Some(entry) = self.entries.get_mut(&index.0)
        {
            entry.server = server.clone();
            region.clone_into(&mut entry.region);
            entry.domain_index = domain_index;
            entry.lapses_at = None;
            entry.set_entry_cold(now, server.cold_ms);
            return index;
        }
        let index = ServerIndex(self.next_index);
        self.next_index += 1;
        let mut entry = ServerEntry::new(now, id, server, region);
        entry.domain_index = domain_index;
        entry.report_decay = self.report_decay;
        self.by_hash.insert(entry.hash as u32, index);
        self.by_id.insert(id.to_owned(), index);
        self.by_service.entry(server.service.clone()).or_default().push(index);
        self.entries.insert(index.0, entry);
        index
    }

    /// Assigns all servers to the regions of their failure domains, given by `regions`.
    pub fn set_regions(&mut self, regions: &BTreeMap<String, String>) {
        for entry in self.entries.values_mut() {
            entry.region = regions.get(&entry.server.domain).cloned().unwrap_or_default();
        }
    }

    /// Removes a server.
    pub fn remove(&mut self, id: &str) {
        let Some(index) = self.by_id.remove(id) else { return };
        let Some(entry) = self.entries.remove(&index.0) else { return };
        self.by_hash.remove(&(entry.hash as u32));
        if let Some(indexes) = self.by_service.get_mut(&entry.server.service) {
            indexes.retain(|other| *other != index);
        }
    }

    /// Records the outcome of a request that was sent to a server.
    pub fn record_outcome(&mut self, now: Time, index: ServerIndex, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&index.0) else { return };
        let service = entry.server.service.clone();
        let times = self.answer_times.entry(service.clone()).or_default();
        entry.record_outcome(now, outcome, times);
        let path = self.paths.entry(service.clone()).or_default();
        match outcome {
            Outcome::NoConnection | Outcome::NoResponse | Outcome::Silent => path.on_failure(index),
            Outcome::NotSent | Outcome::CallerGone | Outcome::ServerCrashed => {}
            Outcome::Answered { .. }
            | Outcome::Failed
            | Outcome::Full
            | Outcome::RefusedWithFreeSlots
            | Outcome::WrongServer
            | Outcome::Unknown => {
                self.record_path_back(now, &service);
            }
        }
    }
}
