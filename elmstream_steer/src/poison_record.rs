//! Crashes of servers under one request, and the rule by which the request is refused.

use std::collections::BTreeMap;

use elmstream::time::Time;
use serde::{Deserialize, Serialize};

use crate::digest::RequestDigest;

/// Number of generations of crashes at which a request is refused.
const REFUSE_GENERATIONS: u8 = 3;
/// Number of generations at which a request is refused if at least [`REFUSE_SERVERS`] servers have
/// crashed: copies that come at once crash several servers in one generation, and few more may
/// follow.
const REFUSE_GENERATIONS_SEVERAL_SERVERS: u8 = 2;
/// Number of servers that may crash under a request.
const REFUSE_SERVERS: usize = 3;

/// Crash of a server under a request, as reported between hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerCrash {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Hash of the server's start.
    pub server: u64,
    /// Number of generations that were known when the request was sent, plus one.
    pub generation: u8,
    /// When it was observed, in Unix seconds by the observer's wall clock.
    pub at_s: u64,
    /// Whether it no longer counts: the request got a complete answer, or was readmitted.
    pub voided: bool,
}

/// Why a request is refused, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoisonEvidence {
    /// Number of servers that crashed under it.
    pub servers: usize,
    /// Number of generations of these crashes.
    pub generations: u8,
    /// When the last crash was observed, in Unix seconds by the observer's wall clock.
    pub last_s: u64,
    /// Whether this host observed a crash itself.
    pub observed_here: bool,
}

/// Crash as kept by a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashRecord {
    /// Number of generations that were known when the request was sent, plus one.
    pub generation: u8,
    /// When it was observed, in Unix seconds by the observer's wall clock.
    pub at_s: u64,
    /// Whether it no longer counts.
    pub voided: bool,
    /// When this host learned of the crash, or that it is voided.
    pub learned_at: Time,
    /// When it was last reported.
    pub reported_at: Time,
}

/// What a host knows of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// Crashes, by the hashes of the servers' starts.
    pub crashes: BTreeMap<u64, CrashRecord>,
    /// Whether this host observed a crash itself.
    pub observed_here: bool,
    /// Whether this host observed the crash for which the request is refused.
    pub decided_here: bool,
    /// When this host began to refuse the request.
    pub refused_at: Option<Time>,
    /// Whether the store lists the request.
    pub listed: bool,
    /// When this host last gave the request a complete answer, or an operator readmitted it.
    pub cleared_at: Option<Time>,
}

impl Suspect {
    /// Crashes that count.
    pub fn active_crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.values().filter(|record| !record.voided)
    }

    /// Number of generations of crashes; at most the number of crashes that count, as earlier ones
    /// may be voided or unknown here.
    pub fn generation(&self) -> u8 {
        let last = self.active_crashes().map(|record| record.generation).max().unwrap_or(0);
        last.min(self.active_crashes().count() as u8)
    }

    /// Whether the request is refused.
    pub fn is_refused(&self) -> bool {
        let (generation, servers) = (self.generation(), self.active_crashes().count());
        generation >= REFUSE_GENERATIONS
            || generation >= REFUSE_GENERATIONS_SEVERAL_SERVERS && servers >= REFUSE_SERVERS
    }

    /// When the last server crashed, in Unix seconds by the observer's wall clock.
    pub fn last_s(&self) -> u64 {
        self.crashes.values().map(|record| record.at_s).max().unwrap_or(0)
    }

    /// Why the request is refused, for logs.
    pub fn evidence(&self) -> PoisonEvidence {
        PoisonEvidence {
            servers: self.active_crashes().count(),
            generations: self.generation(),
            last_s: self.last_s(),
            observed_here: self.observed_here,
        }
    }

    /// Drops the voided crash that has been known for the longest time.
    pub fn drop_oldest_voided(&mut self) {
        let voided_crashes = self.crashes.iter().filter(|(_, record)| record.voided);
        let oldest =
            voided_crashes.min_by_key(|(_, record)| record.learned_at).map(|(server, _)| *server);
        if let Some(server) = oldest {
            self.crashes.remove(&server);
        }
    }

    /// Voids all crashes of the request.
    pub fn void_crashes(&mut self, now: Time) {
        for record in self.crashes.values_mut().filter(|record| !record.voided) {
            record.voided = true;
            record.learned_at = now;
        }
    }
}

/// All crashes of a request, as reported between hosts.
pub(crate) fn crash_reports(
    digest: RequestDigest,
    suspect: &Suspect,
) -> impl Iterator<Item = ServerCrash> {
    suspect.crashes.iter().map(move |(server, record)| crash_report(digest, *server, record))
}

/// Crash as reported between hosts.
pub(crate) fn crash_report(
    digest: RequestDigest,
    server: u64,
    record: &CrashRecord,
) -> ServerCrash {
    let CrashRecord { generation, at_s, voided, .. } = *record;
    ServerCrash { digest, server, generation, at_s, voided }
}
