//! Backend servers that said in an answer that they are about to leave.
//!
//! A server ends soon after it says so, whether or not the store could take its word. So
//! the word counts for its start, not for an entry: no entry that still says that it is
//! ready, no reading of an older copy and no other host's table takes it back. Hosts tell
//! each other as long as such a server is in their tables.

use elmstream::time::{SECOND, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::steer::Steer;

/// How long a start is remembered to leave; far longer than any takes to end. One that stays
/// after all, and whose entry does not change, is tried again then.
const REMEMBERED: u64 = 3_600 * SECOND;
/// Leaving servers that one beat tells at most; in a beat with more, others the next time.
const TOLD: usize = 24;

/// A start that leaves, as hosts tell it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// Hash of the start.
    pub start: u64,
    /// Time since it said so, in seconds; rounded up, or what hosts tell each other in
    /// circles would never grow old.
    pub age_s: u16,
}

/// Starts that leave, by their hashes, and when they said so.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingServers(FxHashMap<u64, Time>);

impl LeavingServers {
    /// Whether a start is known to leave.
    pub fn contains(&self, start: u64) -> bool {
        self.0.contains_key(&start)
    }

    /// Another start has come that cannot be told from this one.
    pub fn forget(&mut self, start: u64) {
        self.0.remove(&start);
    }
}

impl Steer {
    /// Another host told of a start that leaves; the server's id if that is new.
    pub(crate) fn on_leaving_notice(&mut self, now: Time, told: LeavingNotice) -> Option<String> {
        let age = u64::from(told.age_s) * SECOND;
        let fresh = age < REMEMBERED;
        fresh.then(|| self.record_leaving(Time(now.0.saturating_sub(age)), told.start))?
    }

    /// A start of a server said that it is about to leave; its id if that is new and it is
    /// known.
    pub(crate) fn record_leaving(&mut self, said: Time, start: u64) -> Option<String> {
        if self.leaving_servers.contains(start) {
            return None;
        }
        self.leaving_servers.0.insert(start, said);
        self.urgent = true;
        let entry = self.servers.all_mut().find(|entry| entry.start_hash() == start)?;
        entry.leaving = true;
        Some(entry.id.clone())
    }

    /// Forgets what is long past.
    pub(crate) fn expire_leaving(&mut self, now: Time) {
        self.leaving_servers.0.retain(|_, said| now.since(*said) < REMEMBERED);
        let leavings = &self.leaving_servers;
        for entry in self.servers.all_mut().filter(|entry| entry.leaving) {
            entry.leaving = leavings.contains(entry.start_hash());
        }
    }

    /// Starts that the other hosts have to know to leave; the store tells of those whose
    /// entries say so.
    pub(crate) fn leaving_notices(&self, now: Time) -> Vec<LeavingNotice> {
        let told = self.servers.all().filter(|(_, entry)| entry.leaving && !entry.server.draining);
        let told = told.filter_map(|(_, entry)| {
            let (start, said) =
                (entry.start_hash(), self.leaving_servers.0.get(&entry.start_hash())?);
            let age_s = now.since(*said).div_ceil(SECOND) as u16;
            Some(LeavingNotice { start, age_s })
        });
        let mut told: Vec<LeavingNotice> = told.collect();
        if told.len() > TOLD {
            let begin = self.heartbeat_number as usize * TOLD % told.len();
            told.rotate_left(begin);
            told.truncate(TOLD);
        }
        told
    }
}
