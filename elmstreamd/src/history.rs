//! What became of recent requests, for `elmctl explain`.

use std::collections::VecDeque;

use elmstream::{code::Code, id::Name};

/// Requests that are remembered.
const REMEMBERED: usize = 4_096;

/// What happened at one owner.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The owner.
    pub owner: Name,
    /// Whether the home region differs from the owner's.
    pub shifted: bool,
    /// How it ended.
    pub code: Code,
}

/// The story of one request.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// The request.
    pub id: u64,
    /// The service.
    pub service: Name,
    /// The caller's home region.
    pub home: Name,
    /// The revision that it was decided by.
    pub revision: u64,
    /// The tries, in order.
    pub attempts: Vec<AttemptRecord>,
}

/// The last stories.
#[derive(Debug, Default)]
pub struct History {
    stories: VecDeque<RequestTrace>,
}

impl History {
    /// Keeps a story and forgets the oldest.
    pub fn record(&mut self, story: RequestTrace) {
        if self.stories.len() >= REMEMBERED {
            self.stories.pop_front();
        }
        self.stories.push_back(story);
    }

    /// The story of a request.
    pub fn find(&self, id: u64) -> Option<&RequestTrace> {
        self.stories.iter().rev().find(|s| s.id == id)
    }
}

impl RequestTrace {
    /// The story in lines of plain English.
    pub fn describe(&self) -> Vec<String> {
        let first = format!(
            "request {:x} for service {} from home region {} at revision {}",
            self.id, self.service, self.home, self.revision
        );
        let tried = self.attempts.iter().map(|t| {
            let how = if t.shifted { "as a shift" } else { "in the home region" };
            let number = t.code.number();
            format!("owner {} was asked {how}: {number} {}", t.owner, t.code.text())
        });
        std::iter::once(first).chain(tried).collect()
    }
}
