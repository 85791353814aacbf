//! Backend servers that said in an answer that they are about to leave.
//!
//! A server ends soon after it says so, whether or not the store could take its word. So
//! the word counts for its start, not for an entry: no entry that still says that it is
//! ready, no reading of an older copy and no other host's table takes it back. Hosts tell
//! each other as long as such a server is in their tables.

use elmstream::time::{SECOND, Time};
use rustc_hash::FxHashMap;

use crate::steer::Steer;

/// How long a start is remembered to leave; far longer than any takes to end. One that stays
/// after all, and whose entry does not change, is tried again then.
const REMEMBERED: u64 = 3_600 * SECOND;
/// Leaving servers that one beat tells at most; in a beat with more, others the next time.
const TOLD: usize = 24;

/// Starts that leave, by their hashes, and when that was learned.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leavings(FxHashMap<u64, Time>);

impl Leavings {
    /// Whether a start is known to leave.
    pub fn knows(&self, start: u64) -> bool {
        self.0.contains_key(&start)
    }

    /// Another start has come that cannot be told from this one.
    pub fn forget(&mut self, start: u64) {
        self.0.remove(&start);
    }

    /// Forgets what is long past.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, learned| now.since(*learned) < REMEMBERED);
    }
}

impl Steer {
    /// A start of a server is about to leave; its id if that is new and it is known.
    pub(crate) fn learn_leaving(&mut self, now: Time, start: u64) -> Option<String> {
        if self.leavings.0.insert(start, now).is_some() {
            return None;
        }
        self.urgent = true;
        let entry = self.servers.all_mut().find(|entry| entry.start() == start)?;
        entry.leaving = true;
        Some(entry.id.clone())
    }

    /// Starts that the other hosts have to know to leave; the store tells of those whose
    /// entries say so.
    pub(crate) fn leavings_told(&self) -> Vec<u64> {
        let told = self.servers.all().filter(|(_, entry)| entry.leaving && !entry.server.draining);
        let mut told: Vec<u64> = told.map(|(_, entry)| entry.start()).collect();
        if told.len() > TOLD {
            let begin = self.number as usize * TOLD % told.len();
            told.rotate_left(begin);
            told.truncate(TOLD);
        }
        told
    }
}
