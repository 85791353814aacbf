//! Poison requests: requests under which backend servers crash, counted over the whole fleet.
//!
//! A request that crashes the server which runs it comes again under a new id, at any host, so it
//! is identified by a digest of its content. Each crash is reported to all hosts with the hash of
//! the server's start (it identifies one run of the server's process), so two reports of one crash
//! count once. Until they expire, crashes are only added to the set, or marked as voided for good,
//! so hosts can merge reports in any order.
//!
//! A crashed server was also running other requests, and callers often repeat harmless requests. So
//! crashes count by generations: a crash counts beyond the earlier ones only if its request was
//! sent when these were known. Copies that are in flight while many servers are killed at once
//! belong to one generation, and the next complete answer voids all their crashes.
//!
//! A request is a suspect from its first crash, and is refused after a few generations of crashes
//! (`poison_record` has the rule). Refused requests are also listed in the store, where hosts that
//! start find them and operators can readmit them.

use std::collections::HashMap;

use elmstream::time::{SECOND, Time};

pub use crate::poison_record::{PoisonEvidence, ServerCrash};
use crate::{
    digest::RequestDigest,
    poison_record::{CrashRecord, Suspect, crash_report, crash_reports},
};

/// Highest number of crashes that are kept of one request; voided ones are dropped first.
const CRASHES_PER_REQUEST_MAX: usize = 16;
/// Highest number of requests that are kept: about 1.3 MB with all their crashes. Requests that
/// aren't refused are dropped first, of these the ones with the fewest generations, then the
/// oldest: each crash adds all requests that the server was running.
const SUSPECTS_MAX: usize = 1_024;
/// Time for which a change is repeated in heartbeats: heartbeats get lost, and hosts of a large
/// fleet are reached in rotation, the last ones after 0.9 s.
const REPORT_FOR: u64 = 4 * SECOND;
/// Highest number of crashes in one heartbeat, 33 bytes each, so that it fits into one packet.
const CRASHES_PER_HEARTBEAT_MAX: usize = 12;
/// Time for which the crash of a server's start is remembered: no host sends to it longer than its
/// entry stays in the store, some seconds.
const CRASHED_START_KEPT_FOR: u64 = 60 * SECOND;
/// Time after a complete answer, or after an operator readmitted the request, in which newly
/// learned crashes are voided at once: they happened earlier, and their reports were still under
/// way.
const CLEARED_FOR: u64 = 2 * SECOND;
/// Seconds after its last crash for which a request stays a suspect. Callers retry within seconds;
/// a poison request that comes more rarely crashes one server each time.
const SUSPECT_FOR_S: u64 = 600;
/// Seconds after its last crash for which a request is refused. It may be harmless after the next
/// release of its service.
const REFUSE_FOR_S: u64 = 24 * 3_600;
/// How long a host that did not observe the deciding crash waits before it checks whether the one
/// that did has listed the request: longer than two calls to a store that answers slowly, 0.6 s
/// each.
const LISTING_CHECK_DELAY: u64 = 2 * SECOND;

/// Effect of a crash on what is known of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoisonChange {
    /// Nothing that other hosts have to learn before the next regular heartbeat.
    None,
    /// The number of generations rose and is now above one, but the request is not refused yet.
    GenerationRaised,
    /// The request is refused from now on.
    Refused(PoisonEvidence),
}

/// Refused request to be listed in the store.
#[derive(Clone, Debug)]
pub struct PendingListing {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// All known crashes under the request.
    pub crashes: Vec<ServerCrash>,
    /// Whether this host observed the crash that decided the refusal, and so lists the request
    /// without a check; otherwise it lists it only if no other host has.
    pub decided_here: bool,
}

/// Suspected, refused and recently cleared requests as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    suspects: HashMap<RequestDigest, Suspect>,
    /// Hashes of server starts that crashed, and when this host learned of it.
    crashed_starts: HashMap<u64, Time>,
    /// When this host last learned of a change that is to be reported.
    last_change: Option<Time>,
}

impl PoisonTracker {
    /// Whether no request is tracked, so that digests need not be computed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a server's start, given by its hash, is known to have crashed.
    pub fn knows_crash(&self, server: u64) -> bool {
        self.crashed_starts.contains_key(&server)
    }

    /// Number of generations of crashes known of a request, without voided crashes; 0 if it is not
    /// a suspect.
    pub fn generation(&self, digest: &RequestDigest) -> u8 {
        self.suspects.get(digest).map_or(0, Suspect::generation)
    }

    /// Number of servers that crashed under a request, without voided crashes.
    pub fn crashed_servers(&self, digest: &RequestDigest) -> usize {
        self.suspects.get(digest).map_or(0, |suspect| suspect.active_crashes().count())
    }

    /// Why a request is refused; `None` if it isn't.
    pub fn refusal(&self, digest: &RequestDigest) -> Option<PoisonEvidence> {
        let suspect = self.suspects.get(digest)?;
        suspect.is_refused().then(|| suspect.evidence())
    }

    /// Records that a server crashed under a request that this host sent. `server` is the hash of
    /// the server's start, `known_generations` the number of generations that were known when the
    /// request was sent, `unix_s` the wall clock in Unix seconds.
    pub fn record_crash(
        &mut self,
        now: Time,
        unix_s: u64,
        digest: RequestDigest,
        server: u64,
        known_generations: u8,
    ) -> PoisonChange {
        let generation = known_generations.saturating_add(1);
        let crash = ServerCrash { digest, server, generation, at_s: unix_s, voided: false };
        let change = self.merge(now, &crash);
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.observed_here = true;
            suspect.decided_here |= matches!(change, PoisonChange::Refused(_));
        }
        change
    }

    /// Merges a crash that another host reported or that the store lists.
    pub fn merge(&mut self, now: Time, crash: &ServerCrash) -> PoisonChange {
        if !self.suspects.contains_key(&crash.digest) {
            self.make_room();
        }
        self.crashed_starts.entry(crash.server).or_insert(now);
        self.last_change = Some(now);
        let suspect = self.suspects.entry(crash.digest).or_default();
        let (generation_before, was_refused) = (suspect.generation(), suspect.is_refused());
        let recently_cleared = suspect.cleared_at.is_some_and(|at| now.since(at) < CLEARED_FOR);
        if !suspect.crashes.contains_key(&crash.server)
            && suspect.crashes.len() >= CRASHES_PER_REQUEST_MAX
        {
            suspect.drop_oldest_voided();
        }
        let is_full = suspect.crashes.len() >= CRASHES_PER_REQUEST_MAX;
        match suspect.crashes.get_mut(&crash.server) {
            Some(record) => {
                if crash.voided && !record.voided {
                    record.voided = true;
                    record.learned_at = now;
                }
                // Of two reports the one whose sender knew less counts: that crash would have
                // happened regardless.
                record.generation = record.generation.min(crash.generation);
            }
            None if is_full => {}
            None => {
                let ServerCrash { generation, at_s, voided, .. } = *crash;
                let voided = voided || recently_cleared;
                let record =
                    CrashRecord { generation, at_s, voided, learned_at: now, reported_at: Time(0) };
                suspect.crashes.insert(crash.server, record);
            }
        }
        match suspect.is_refused() {
            true if !was_refused => {
                suspect.refused_at = Some(now);
                PoisonChange::Refused(suspect.evidence())
            }
            false if suspect.generation() > generation_before.max(1) => {
                PoisonChange::GenerationRaised
            }
            _ => PoisonChange::None,
        }
    }

    /// Records that a request got a complete answer, which voids its crashes.
    pub fn record_answer(&mut self, now: Time, digest: &RequestDigest) {
        if let Some(suspect) = self.suspects.get_mut(digest) {
            suspect.cleared_at = Some(now);
            suspect.void_crashes(now);
            self.last_change = Some(now);
        }
    }

    /// Crashes to report in the next heartbeat: those of refused requests first, and of these the
    /// ones whose last report is oldest.
    pub fn next_reports(&mut self, now: Time) -> Vec<ServerCrash> {
        // Heartbeats are frequent, and there is rarely anything to report.
        if self.last_change.is_none_or(|at| now.since(at) >= REPORT_FOR) {
            return Vec::new();
        }
        let mut due: Vec<(bool, Time, RequestDigest, u64)> = Vec::new();
        for (digest, suspect) in &self.suspects {
            let refused = suspect.is_refused();
            let unreported = suspect
                .crashes
                .iter()
                .filter(|(_, record)| now.since(record.learned_at) < REPORT_FOR);
            due.extend(
                unreported.map(|(server, record)| (!refused, record.reported_at, *digest, *server)),
            );
        }
        due.sort_unstable();
        due.truncate(CRASHES_PER_HEARTBEAT_MAX);
        let reports = due.into_iter().filter_map(|(_, _, digest, server)| {
            let record = self.suspects.get_mut(&digest)?.crashes.get_mut(&server)?;
            record.reported_at = now;
            Some(crash_report(digest, server, record))
        });
        reports.collect()
    }

    /// Makes the next heartbeats report the crashes of refused requests again, for a host that
    /// joined or is back.
    pub fn rebroadcast(&mut self, now: Time) {
        self.last_change = Some(now);
        for suspect in self.suspects.values_mut().filter(|suspect| suspect.is_refused()) {
            suspect.crashes.values_mut().for_each(|record| record.learned_at = now);
        }
    }

    /// All known crashes of refused requests, to be sent to a host that starts.
    pub fn refused_crashes(&self) -> Vec<ServerCrash> {
        let refused = self.suspects.iter().filter(|(_, suspect)| suspect.is_refused());
        refused.flat_map(|(digest, suspect)| crash_reports(*digest, suspect)).collect()
    }

    /// Refused requests that this host has to list in the store: it observed one of their crashes
    /// itself and does not know them to be listed.
    ///
    /// The host that observed the deciding crash lists the request at once. The others check some
    /// time later whether it did: if they wrote too, they could undo an operator's readmission.
    pub fn pending_listings(&self, now: Time) -> Vec<PendingListing> {
        let mut due = Vec::new();
        for (digest, suspect) in &self.suspects {
            let refused_for = suspect.refused_at.map_or(0, |at| now.since(at));
            let may_list =
                suspect.decided_here || suspect.observed_here && refused_for >= LISTING_CHECK_DELAY;
            if may_list && !suspect.listed && suspect.is_refused() {
                let crashes = crash_reports(*digest, suspect).collect();
                due.push(PendingListing {
                    digest: *digest,
                    crashes,
                    decided_here: suspect.decided_here,
                });
            }
        }
        due
    }

    /// All refused requests, with their crashes.
    pub fn refused_requests(&self) -> Vec<(RequestDigest, Vec<ServerCrash>)> {
        let refused = self.suspects.iter().filter(|(_, suspect)| suspect.is_refused());
        refused
            .map(|(digest, suspect)| (*digest, crash_reports(*digest, suspect).collect()))
            .collect()
    }

    /// Whether crashes of a request are known and all of them are voided, by a complete answer or
    /// by an operator's readmission.
    pub fn is_cleared(&self, digest: &RequestDigest) -> bool {
        let suspect = self.suspects.get(digest);
        suspect.is_some_and(|suspect| {
            !suspect.crashes.is_empty() && suspect.active_crashes().next().is_none()
        })
    }

    /// Records that the store lists a request.
    pub fn mark_listed(&mut self, digest: &RequestDigest) {
        if let Some(suspect) = self.suspects.get_mut(digest) {
            suspect.listed = true;
        }
    }

    /// Readmits a request on an operator's order. Returns whether it was refused.
    ///
    /// All its crashes are voided, and so are those that this host learns of within `CLEARED_FOR`
    /// from now.
    pub fn readmit(&mut self, now: Time, digest: &RequestDigest) -> bool {
        if !self.suspects.contains_key(digest) {
            self.make_room();
        }
        let suspect = self.suspects.entry(*digest).or_default();
        let refused = suspect.is_refused();
        suspect.cleared_at = Some(now);
        suspect.void_crashes(now);
        self.last_change = Some(now);
        refused
    }

    /// Number of requests that are refused now.
    pub fn refused_count(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.is_refused()).count()
    }

    /// Forgets expired crashes and requests; `unix_s` is the wall clock in Unix seconds.
    pub fn expire(&mut self, now: Time, unix_s: u64) {
        self.crashed_starts.retain(|_, at| now.since(*at) < CRASHED_START_KEPT_FOR);
        self.suspects.retain(|_, suspect| {
            let keep_s = if suspect.is_refused() { REFUSE_FOR_S } else { SUSPECT_FOR_S };
            let recently_cleared = suspect.cleared_at.is_some_and(|at| now.since(at) < CLEARED_FOR);
            recently_cleared || unix_s.saturating_sub(suspect.last_s()) < keep_s
        });
    }

    /// Drops the least important request if there is no room for another.
    fn make_room(&mut self) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let rank =
            |suspect: &Suspect| (suspect.is_refused(), suspect.generation(), suspect.last_s());
        let least = self.suspects.iter().min_by_key(|(digest, suspect)| (rank(suspect), **digest));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }
}

/// Whether an entry of the store's list has to be removed, because its last crash is too old for
/// the request to be refused. An entry without crashes never expires: it marks a request that an
/// operator has readmitted, and the operator removes it.
pub fn listing_expired(crashes: &[ServerCrash], unix_s: u64) -> bool {
    let last = crashes.iter().map(|crash| crash.at_s).max();
    last.is_some_and(|last| unix_s.saturating_sub(last) >= REFUSE_FOR_S)
}
