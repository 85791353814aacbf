//! Which servers work, or have lately worked, on what a key stands for.
//!
//! A host sees only a part of a key's requests, the less the more hosts there are.
//! So it tells the hosts of its region what it saw that they may not know yet, and
//! takes in what they saw.

use std::collections::VecDeque;

use elmstream::time::{SECOND, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::servers::ServerIndex;

/// How long a server is taken to know a key.
const KNOWS: u64 = 20 * SECOND;
/// Age at which what is known of a key is told to the other hosts again.
const TELL_AGAIN: u64 = 8 * SECOND;
/// Keys that a server is taken to know at most.
const KEYS: usize = 40;
/// Beats in which a lesson is told, as beats get lost.
const TELLS: u8 = 3;
/// Lessons in one beat.
const LESSONS: usize = 48;
/// Lessons that wait to be told; the oldest ones are left out beyond that.
const WAITING: usize = 512;

/// A server works on a request of a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmKey {
    /// Hash of the server's id, cut to 32 bits.
    pub server: u32,
    /// Hash of the key, cut to 32 bits.
    pub key: u32,
}

/// What servers know.
#[derive(Clone, Debug, Default)]
pub struct WarmKeys {
    known: FxHashMap<ServerIndex, FxHashMap<u32, Time>>,
    /// Lessons for the other hosts, and in how many beats they still go.
    untold: VecDeque<(WarmKey, u8)>,
}

impl WarmKeys {
    /// A server, by its place and the hash of its id, works on a request of a key.
    pub fn record(&mut self, now: Time, server: (ServerIndex, u32), key: u64) {
        let (index, hash) = server;
        let key = key as u32;
        let before = self.known.get(&index).and_then(|keys| keys.get(&key));
        if before.is_none_or(|at| now.since(*at) >= TELL_AGAIN) {
            self.untold.push_back((WarmKey { server: hash, key }, TELLS));
            if self.untold.len() > WAITING {
                self.untold.pop_front();
            }
            self.keep(now, index, key);
        }
    }

    /// Another host sent a server a request of a key.
    pub fn merge(&mut self, now: Time, server: ServerIndex, key: u32) {
        self.keep(now, server, key);
    }

    /// What the next beat tells.
    pub fn next_updates(&mut self) -> Vec<WarmKey> {
        let count = self.untold.len().min(LESSONS);
        let due: Vec<(WarmKey, u8)> = self.untold.drain(..count).collect();
        let again = due.iter().filter(|(_, left)| *left > 1);
        self.untold.extend(again.map(|(lesson, left)| (*lesson, left - 1)));
        due.into_iter().map(|(lesson, _)| lesson).collect()
    }

    fn keep(&mut self, now: Time, server: ServerIndex, key: u32) {
        let keys = self.known.entry(server).or_default();
        keys.insert(key, now);
        if keys.len() > KEYS
            && let Some(oldest) = keys.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key)
        {
            keys.remove(&oldest);
        }
    }

    /// Whether a server is taken to know a key.
    pub fn is_warm(&self, now: Time, server: ServerIndex, key: u64) -> bool {
        let at = self.known.get(&server).and_then(|keys| keys.get(&(key as u32)));
        at.is_some_and(|at| now.since(*at) < KNOWS)
    }

    /// A server is gone.
    pub fn remove_server(&mut self, server: ServerIndex) {
        self.known.remove(&server);
    }
}
