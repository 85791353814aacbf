//! What is known of one request under which servers ended, and when it is refused.

use std::collections::BTreeMap;

use elmstream::time::Time;
use serde::{Deserialize, Serialize};

use crate::digest::RequestDigest;

/// Generations of endings after which a request is refused.
const GENERATIONS: u8 = 3;
/// The same if as many servers as [`SERVERS`] have ended: copies that came at once end
/// several servers in one generation, and few more may follow.
const GENERATIONS_OF_SEVERAL: u8 = 2;
/// Servers that may end under a request.
const SERVERS: usize = 3;

/// The end of a server under a request, as hosts tell it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerCrash {
    /// The request.
    pub digest: RequestDigest,
    /// Hash of the server's start.
    pub server: u64,
    /// One more than the generations that were known when the request was sent.
    pub generation: u8,
    /// When it was seen, in seconds of the teller's time of day.
    pub at_s: u64,
    /// Whether it says nothing: the request has had a whole answer, or was let in again.
    pub voided: bool,
}

/// Why a request is refused, for lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoisonEvidence {
    /// Servers that have ended under it.
    pub servers: usize,
    /// Generations of their endings.
    pub generations: u8,
    /// When the last one was seen, in seconds of the teller's time of day.
    pub last_s: u64,
    /// Whether this host saw one of them itself.
    pub observed_here: bool,
}

/// An ending as it is kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashRecord {
    /// One more than the generations that were known when the request was sent.
    pub generation: u8,
    /// When it was seen, in seconds of the teller's time of day.
    pub at_s: u64,
    /// Whether it says nothing.
    pub void: bool,
    /// When this host learned of it, or that it is void.
    pub learned: Time,
    /// When it was last told.
    pub told: Time,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// Ends of servers, by the hashes of their starts.
    pub crashes: BTreeMap<u64, CrashRecord>,
    /// Whether this host saw an ending itself.
    pub own: bool,
    /// Whether it saw the one for which the request is refused.
    pub decided: bool,
    /// When it began to refuse the request.
    pub refused_at: Option<Time>,
    /// Whether the store lists it.
    pub listed: bool,
    /// Last whole answer that this host gave to it, or an operator's word that lets it in.
    pub cleared: Option<Time>,
}

impl Suspect {
    /// Endings that count.
    pub fn active_crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.values().filter(|mark| !mark.void)
    }

    /// Generations of endings; no more than there are endings, as those before may have
    /// been voided or not be known here.
    pub fn generation(&self) -> u8 {
        let last = self.active_crashes().map(|mark| mark.generation).max().unwrap_or(0);
        last.min(self.active_crashes().count() as u8)
    }

    /// Whether the request is refused.
    pub fn refused(&self) -> bool {
        let (generation, servers) = (self.generation(), self.active_crashes().count());
        generation >= GENERATIONS || generation >= GENERATIONS_OF_SEVERAL && servers >= SERVERS
    }

    /// When the last server ended, in seconds of its teller's time of day.
    pub fn last_s(&self) -> u64 {
        self.crashes.values().map(|mark| mark.at_s).max().unwrap_or(0)
    }

    /// Why it is refused, for lines.
    pub fn harm(&self) -> PoisonEvidence {
        PoisonEvidence {
            servers: self.active_crashes().count(),
            generations: self.generation(),
            last_s: self.last_s(),
            observed_here: self.own,
        }
    }

    /// Forgets the void ending that has been known for the longest time.
    pub fn drop_void(&mut self) {
        let void = self.crashes.iter().filter(|(_, mark)| mark.void);
        let oldest = void.min_by_key(|(_, mark)| mark.learned).map(|(server, _)| *server);
        if let Some(server) = oldest {
            self.crashes.remove(&server);
        }
    }

    /// None of what has ended speaks against the request any more.
    pub fn void(&mut self, now: Time) {
        for mark in self.crashes.values_mut().filter(|mark| !mark.void) {
            mark.void = true;
            mark.learned = now;
        }
    }
}

/// All endings of a request, as hosts tell them.
pub(crate) fn crash_reports(
    digest: RequestDigest,
    suspect: &Suspect,
) -> impl Iterator<Item = ServerCrash> {
    suspect.crashes.iter().map(move |(server, mark)| crash_report(digest, *server, mark))
}

/// An ending as hosts tell it.
pub(crate) fn crash_report(digest: RequestDigest, server: u64, mark: &CrashRecord) -> ServerCrash {
    let CrashRecord { generation, at_s, void, .. } = *mark;
    ServerCrash { digest, server, generation, at_s, voided: void }
}
