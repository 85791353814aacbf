//! Whether this host reaches the servers of a service.
//!
//! A server that does not answer may be at fault, or this host's own network paths. They are the
//! likelier fault if several servers of a service fail one after another and none of them answers
//! in between. What this host observes then says nothing about the servers.

use std::collections::BTreeSet;

use elmstream::time::Time;

use crate::servers::ServerIndex;

/// Number of servers that fail without any answer of the service in between from which this host's
/// paths to the service count as cut.
const CUT_SERVERS_MIN: usize = 3;

/// Failures of the servers of one service since the last answer of any of them.
#[derive(Clone, Debug, Default)]
pub struct ServicePath {
    failed: BTreeSet<ServerIndex>,
    last_answer: Option<Time>,
    reported_cut: bool,
}

impl ServicePath {
    /// Records that a server failed without an answer: no connection, no response, or silence.
    pub fn on_failure(&mut self, server: ServerIndex) {
        self.failed.insert(server);
    }

    /// Records an answer. Returns the servers that failed only because the paths were cut.
    pub fn on_answer(&mut self, now: Time) -> BTreeSet<ServerIndex> {
        self.last_answer = Some(now);
        let was_cut = self.is_cut();
        let failed = std::mem::take(&mut self.failed);
        if was_cut { failed } else { BTreeSet::new() }
    }

    /// Whether an answer of the service arrived since a time.
    pub fn answered_since(&self, since: Time) -> bool {
        self.last_answer.is_some_and(|at| at >= since)
    }

    /// Whether this host's paths to the service count as cut.
    pub fn is_cut(&self) -> bool {
        self.failed.len() >= CUT_SERVERS_MIN
    }

    /// Whether a server failed and none has answered since.
    pub fn has_failed(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Sets whether the paths were reported as cut. Returns whether that is news.
    pub fn set_reported(&mut self, is_cut: bool) -> bool {
        std::mem::replace(&mut self.reported_cut, is_cut) != is_cut
    }
}
