//! Which servers are warm for which keys: they have worked on the key recently and have its data
//! cached.
//!
//! A host sees only some of a key's requests, and fewer in a larger fleet. It therefore reports
//! newly warm keys to the hosts of its region and merges their reports.

use std::collections::VecDeque;

use elmstream::time::{SECOND, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::servers::ServerIndex;

/// Time for which a server counts as warm for a key, in seconds.
pub const TIMEOUT_S: f64 = 20.0;
const WARM_TIMEOUT: u64 = TIMEOUT_S as u64 * SECOND;
/// Age at which a warm key is reported to the other hosts again.
const REPORT_INTERVAL: u64 = 8 * SECOND;
/// Maximum number of warm keys per server.
const KEYS_PER_SERVER_MAX: usize = 40;
/// Number of heartbeats that carry an update, because heartbeats can be lost.
pub const HEARTBEATS_PER_UPDATE: u8 = 3;
/// Maximum number of updates in one heartbeat.
const UPDATES_PER_HEARTBEAT_MAX: usize = 48;
/// Maximum number of pending updates; beyond it the oldest ones are dropped.
const PENDING_UPDATES_MAX: usize = 512;

/// Reports that a server works on requests of a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmKey {
    /// Lower 32 bits of the hash of the server's id.
    pub server: u32,
    /// Lower 32 bits of the hash of the key.
    pub key: u32,
}

/// Warm keys of all servers, and the updates to be sent to other hosts.
#[derive(Clone, Debug, Default)]
pub struct WarmKeys {
    keys_by_server: FxHashMap<ServerIndex, FxHashMap<u32, Time>>,
    /// Pending updates and the number of heartbeats that still carry each.
    pending_updates: VecDeque<(WarmKey, u8)>,
}

impl WarmKeys {
    /// Records that a server, given by its index and the lower 32 bits of the hash of its id, works
    /// on a request of a key.
    pub fn record(&mut self, now: Time, server: (ServerIndex, u32), key: u64) {
        let (index, hash) = server;
        let key = key as u32;
        let previous = self.keys_by_server.get(&index).and_then(|keys| keys.get(&key));
        if previous.is_none_or(|at| now.since(*at) >= REPORT_INTERVAL) {
            self.pending_updates.push_back((WarmKey { server: hash, key }, HEARTBEATS_PER_UPDATE));
            if self.pending_updates.len() > PENDING_UPDATES_MAX {
                self.pending_updates.pop_front();
            }
            self.insert_key(now, index, key);
        }
    }

    /// Merges a report from another host.
    pub fn merge(&mut self, now: Time, server: ServerIndex, key: u32) {
        self.insert_key(now, server, key);
    }

    /// Takes the updates for the next heartbeat.
    pub fn next_updates(&mut self) -> Vec<WarmKey> {
        let count = self.pending_updates.len().min(UPDATES_PER_HEARTBEAT_MAX);
        let due: Vec<(WarmKey, u8)> = self.pending_updates.drain(..count).collect();
        let repeated = due.iter().filter(|(_, sends_left)| *sends_left > 1);
        self.pending_updates.extend(repeated.map(|(update, sends_left)| (*update, sends_left - 1)));
        due.into_iter().map(|(update, _)| update).collect()
    }

    fn insert_key(&mut self, now: Time, server: ServerIndex, key: u32) {
        let keys = self.keys_by_server.entry(server).or_default();
        keys.insert(key, now);
        if keys.len() > KEYS_PER_SERVER_MAX
            && let Some(oldest) = keys.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key)
        {
            keys.remove(&oldest);
        }
    }

    /// Whether a server is warm for a key.
    pub fn is_warm(&self, now: Time, server: ServerIndex, key: u64) -> bool {
        let at = self.keys_by_server.get(&server).and_then(|keys| keys.get(&(key as u32)));
        at.is_some_and(|at| now.since(*at) < WARM_TIMEOUT)
    }

    /// Keys that a server is warm for, by the lower 32 bits of their hashes.
    pub fn keys(&self, now: Time, server: ServerIndex) -> impl Iterator<Item = u32> {
        let keys = self.keys_by_server.get(&server).into_iter().flatten();
        keys.filter(move |(_, at)| now.since(**at) < WARM_TIMEOUT).map(|(key, _)| *key)
    }

    /// Drops the keys of a removed server.
    pub fn remove_server(&mut self, server: ServerIndex) {
        self.keys_by_server.remove(&server);
    }
}
