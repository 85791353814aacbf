//! What became of recent requests, for `elmctl explain`.

use std::collections::VecDeque;

use elmstream::{code::Code, id::Name};

/// Requests that are remembered.
const REMEMBERED: usize = 4_096;

/// What happened at one owner.
#[derive(Clone, Debug)]
pub struct Try {
    /// The owner.
    pub owner: Name,
    /// Whether the home region differs from the owner's.
    pub shifted: bool,
    /// How it ended.
    pub code: Code,
}

/// The story of one request.
#[derive(Clone, Debug)]
pub struct Story {
    /// The request.
    pub id: u64,
    /// The service.
    pub service: Name,
    /// The caller's home region.
    pub home: Name,
    /// The revision that it was decided by.
    pub revision: u64,
    /// The tries, in order.
    pub tries: Vec<Try>,
}

/// The last stories.
#[derive(Debug, Default)]
pub struct History {
    stories: VecDeque<Story>,
}

impl History {
    /// Keeps a story and forgets the oldest.
    pub fn keep(&mut self, story: Story) {
        if self.stories.len() >= REMEMBERED {
            self.stories.pop_front();
        }
        self.stories.push_back(story);
    }

    /// The story of a request.
    pub fn find(&self, id: u64) -> Option<&Story> {
        self.stories.iter().rev().find(|s| s.id == id)
    }
}

impl Story {
    /// The story in lines of plain English.
    pub fn lines(&self) -> Vec<String> {
        let first = format!(
            "request {:x} for service {} from home region {} at revision {}",
            self.id, self.service, self.home, self.revision
        );
        let tried = self.tries.iter().map(|t| {
            let how = if t.shifted { "as a shift" } else { "in the home region" };
            let number = t.code.number();
            format!("owner {} was asked {how}: {number} {}", t.owner, t.code.text())
        });
        std::iter::once(first).chain(tried).collect()
    }
}
