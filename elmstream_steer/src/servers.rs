//! The table of backend servers, by service.

use std::collections::HashMap;

use elmstream::time::Time;
use rustc_hash::FxHashMap;

use crate::model::Server;
pub use crate::server::{AnswerTimes, Outcome, ServerEntry};

/// Place of a server in the table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIndex(pub usize);

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    entries: FxHashMap<usize, ServerEntry>,
    by_id: HashMap<String, ServerIndex>,
    by_hash: FxHashMap<u32, ServerIndex>,
    by_service: HashMap<String, Vec<ServerIndex>>,
    paces: HashMap<String, AnswerTimes>,
    next: usize,
}

impl ServerTable {
    /// A server by its place.
    pub fn get(&self, index: ServerIndex) -> Option<&ServerEntry> {
        self.entries.get(&index.0)
    }

    /// A server by its place, to be changed.
    pub fn get_mut(&mut self, index: ServerIndex) -> Option<&mut ServerEntry> {
        self.entries.get_mut(&index.0)
    }

    /// Place of a server by its id.
    pub fn find(&self, id: &str) -> Option<ServerIndex> {
        self.by_id.get(id).copied()
    }

    /// Place of a server by the hash of its id, cut to 32 bits.
    pub fn index_by_hash(&self, hash: u32) -> Option<ServerIndex> {
        self.by_hash.get(&hash).copied()
    }

    /// A server by the hash of its id, cut to 32 bits, to be changed.
    pub fn get_mut_by_hash(&mut self, hash: u32) -> Option<&mut ServerEntry> {
        let index = self.by_hash.get(&hash)?;
        self.entries.get_mut(&index.0)
    }

    /// Names of services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let services = self.by_service.iter().filter(|(_, places)| !places.is_empty());
        services.map(|(name, _)| name.as_str())
    }

    /// Servers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (ServerIndex, &ServerEntry)> {
        let places = self.by_service.get(service).into_iter().flatten();
        places.filter_map(|index| Some((*index, self.get(*index)?)))
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = (ServerIndex, &ServerEntry)> {
        self.entries.iter().map(|(index, entry)| (ServerIndex(*index), entry))
    }

    /// All servers, to be changed.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut ServerEntry> {
        self.entries.values_mut()
    }

    /// All servers with their places, to be changed.
    pub fn all_mut_indexed(&mut self) -> impl Iterator<Item = (ServerIndex, &mut ServerEntry)> {
        self.entries.iter_mut().map(|(index, entry)| (ServerIndex(*index), entry))
    }

    /// Answer times of a service.
    pub fn answer_times(&self, service: &str) -> AnswerTimes {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// Servers that have fallen silent, or answer again, since this was last asked.
    pub fn silence_changes(&mut self, now: Time) -> Vec<(String, bool)> {
        let paces = &self.paces;
        let pace = |service: &str| paces.get(service).copied().unwrap_or_default();
        let entries = self.entries.values_mut();
        let turned = entries.filter_map(|entry| {
            let silent = entry.silence_change(now, pace(&entry.server.service))?;
            Some((entry.id.clone(), silent))
        });
        turned.collect()
    }

    /// Takes a server in as the store has it now.
    pub fn insert(&mut self, now: Time, id: &str, server: &Server, region: &str) -> ServerIndex {
        if let Some(index) = self.find(id)
            && let Some(entry) = self.entries.get_mut(&index.0)
        {
            entry.server = server.clone();
            entry.lapses_at = None;
            entry.extend_cold(now, server.cold_ms);
            return index;
        }
        let index = ServerIndex(self.next);
        self.next += 1;
        let entry = ServerEntry::new(now, id, server, region);
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
    pub fn record_outcome(&mut self, now: Time, index: ServerIndex, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&index.0) else { return };
        let pace = self.paces.entry(entry.server.service.clone()).or_default();
        entry.record_outcome(now, outcome, pace);
    }
}
