//! Traces of recent requests, for `elmctl explain`.

use std::collections::VecDeque;

use elmstream::{code::Code, id::Name};

/// Most requests whose traces are kept.
const TRACES_MAX: usize = 4_096;

/// Result of sending a request to one owner.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Entry host that owns the backend server.
    pub owner: Name,
    /// Whether the owner is outside the caller's home region.
    pub shifted: bool,
    /// Result code.
    pub code: Code,
}

/// How one request was routed.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// Id of the request, as in the `elmstream-request` header.
    pub id: u64,
    /// Service that was requested.
    pub service: Name,
    /// Home region of the caller.
    pub home: Name,
    /// Configuration revision that was in force.
    pub revision: u64,
    /// Attempts in the order in which they were made.
    pub attempts: Vec<AttemptRecord>,
}

/// Traces of the most recent requests, oldest first.
#[derive(Debug, Default)]
pub struct History {
    traces: VecDeque<RequestTrace>,
}

impl History {
    /// Adds a trace, and drops the oldest one if the history is full.
    pub fn record(&mut self, trace: RequestTrace) {
        if self.traces.len() >= TRACES_MAX {
            self.traces.pop_front();
        }
        self.traces.push_back(trace);
    }

    /// Returns the trace of a request, or `None` if it is too old or unknown.
    pub fn find(&self, id: u64) -> Option<&RequestTrace> {
        self.traces.iter().rev().find(|s| s.id == id)
    }
}

impl RequestTrace {
    /// Describes the request and its attempts in lines of text.
    pub fn describe(&self) -> Vec<String> {
        let first = format!(
            "request {:x} for service {} from home region {} at revision {}",
            self.id, self.service, self.home, self.revision
        );
        let attempts = self.attempts.iter().map(|t| {
            let how = if t.shifted { "in another region" } else { "in the home region" };
            let number = t.code.number();
            format!("sent to owner {} {how}: {number} {}", t.owner, t.code.text())
        });
        std::iter::once(first).chain(attempts).collect()
    }
}
