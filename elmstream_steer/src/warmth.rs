//! Which servers have lately worked on what a key stands for, as this host saw it.
//!
//! Callers of a thing mostly use the same few hosts, so what one host saw is a
//! good guess of what the server knows.

use std::collections::HashMap;

use elmstream::time::{SECOND, Time};

use crate::servers::Index;

/// How long a server is taken to know a key.
const KNOWS: u64 = 20 * SECOND;
/// Keys that a server is taken to know at most.
const KEYS: usize = 40;

/// What servers know.
#[derive(Clone, Debug, Default)]
pub struct Warmth {
    known: HashMap<Index, HashMap<u64, Time>>,
}

impl Warmth {
    /// A server answered a request of a key.
    pub fn learn(&mut self, now: Time, server: Index, key: u64) {
        let keys = self.known.entry(server).or_default();
        keys.insert(key, now);
        if keys.len() > KEYS
            && let Some(oldest) = keys.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key)
        {
            keys.remove(&oldest);
        }
    }

    /// Whether a server is taken to know a key.
    pub fn knows(&self, now: Time, server: Index, key: u64) -> bool {
        let at = self.known.get(&server).and_then(|keys| keys.get(&key));
        at.is_some_and(|at| now.since(*at) < KNOWS)
    }

    /// A server is gone.
    pub fn forget(&mut self, server: Index) {
        self.known.remove(&server);
    }
}
