//! Backend servers that announced in an answer that they are leaving.
//!
//! A server ends soon after the announcement, whether or not the store could record it. So the
//! announcement applies to the server's start, not to its entry: no entry that still says ready, no
//! read of an older copy of the store and no table of another host revokes it. Hosts notify each
//! other as long as such a server is in their tables.

use elmstream::time::{SECOND, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::steer::Steer;

/// Time for which a start is remembered as leaving; far longer than any server takes to end. A
/// server that stays after all, and whose entry doesn't change, is used again afterwards.
const LEAVING_KEPT_FOR: u64 = 3_600 * SECOND;
/// Highest number of leaving servers in one heartbeat; if there are more, heartbeats carry them in
/// rotation.
const NOTICES_PER_HEARTBEAT_MAX: usize = 24;

/// Notice that the start of a server is leaving, as sent between hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// Hash of the start.
    pub start: u64,
    /// Time since the announcement, in seconds; rounded up, as otherwise a notice passed around
    /// between hosts would never age.
    pub age_s: u16,
}

/// Hashes of starts that are leaving, and when they announced it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingServers(FxHashMap<u64, Time>);

impl LeavingServers {
    /// Whether a start is known to be leaving.
    pub fn contains(&self, start: u64) -> bool {
        self.0.contains_key(&start)
    }

    /// Forgets a start because another start with the same hash has begun.
    pub fn forget(&mut self, start: u64) {
        self.0.remove(&start);
    }
}

impl Steer {
    /// Merges a notice of another host. Returns the server's id if the notice is new and the server
    /// is known.
    pub(crate) fn on_leaving_notice(&mut self, now: Time, notice: LeavingNotice) -> Option<String> {
        let age = u64::from(notice.age_s) * SECOND;
        let is_recent = age < LEAVING_KEPT_FOR;
        is_recent.then(|| self.record_leaving(Time(now.0.saturating_sub(age)), notice.start))?
    }

    /// Records that a start of a server announced that it is leaving. Returns the server's id if
    /// that is new and the server is known.
    pub(crate) fn record_leaving(&mut self, announced_at: Time, start: u64) -> Option<String> {
        if self.leaving_servers.contains(start) {
            return None;
        }
        self.leaving_servers.0.insert(start, announced_at);
        self.urgent = true;
        let entry = self.servers.all_mut().find(|entry| entry.start_hash() == start)?;
        entry.leaving = true;
        Some(entry.id.clone())
    }

    /// Forgets announcements that are too old.
    pub(crate) fn expire_leaving(&mut self, now: Time) {
        self.leaving_servers
            .0
            .retain(|_, announced_at| now.since(*announced_at) < LEAVING_KEPT_FOR);
        let leaving_servers = &self.leaving_servers;
        for entry in self.servers.all_mut().filter(|entry| entry.leaving) {
            entry.leaving = leaving_servers.contains(entry.start_hash());
        }
    }

    /// Notices for the next heartbeat. Servers whose entries say that they are leaving are left
    /// out, as the store announces these.
    pub(crate) fn leaving_notices(&self, now: Time) -> Vec<LeavingNotice> {
        let notices =
            self.servers.all().filter(|(_, entry)| entry.leaving && !entry.server.draining);
        let notices = notices.filter_map(|(_, entry)| {
            let (start, announced_at) =
                (entry.start_hash(), self.leaving_servers.0.get(&entry.start_hash())?);
            let age_s = now.since(*announced_at).div_ceil(SECOND) as u16;
            Some(LeavingNotice { start, age_s })
        });
        let mut notices: Vec<LeavingNotice> = notices.collect();
        if notices.len() > NOTICES_PER_HEARTBEAT_MAX {
            let first = self.heartbeat_number as usize * NOTICES_PER_HEARTBEAT_MAX % notices.len();
            notices.rotate_left(first);
            notices.truncate(NOTICES_PER_HEARTBEAT_MAX);
        }
        notices
    }
}
