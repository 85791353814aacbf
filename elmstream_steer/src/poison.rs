//! Requests under which backend servers end, counted over the whole fleet.
//!
//! A request that ends the server which begins to run it comes again under a new id, at
//! any host, so it is known by a digest of its content. Each ending is told to all hosts
//! with the start of the server, so two tellers of one ending count once. Endings are a
//! set that only grows, or is voided, so hosts can merge what they hear in any order.
//!
//! Others were at work on the server that ended, and callers repeat harmless requests
//! often. So endings count by generations: one counts beyond those before it only if its
//! request was sent when they were known. Copies that are in flight while many servers
//! are killed at once are of one generation, and the next whole answer voids them all.

use std::collections::HashMap;

use elmstream::time::{SECOND, Time};

pub use crate::poison_record::{PoisonEvidence, ServerCrash};
use crate::{
    digest::RequestDigest,
    poison_record::{CrashRecord, Suspect, crash_report, crash_reports},
};

/// Endings that are kept of one request; those that are void go first.
const ENDINGS: usize = 16;
/// Requests that are kept at most: with all endings some 1.3 MB. Those that are not refused go
/// first, of them those with the fewest generations, of these the oldest: each server that
/// ends leaves as many as were at work there.
const KEPT: usize = 1_024;
/// Time for which what is new is told in each beat: beats are lost, and hosts of a large
/// fleet are reached by turns, the last ones after 0.9 s.
const TELL: u64 = 4 * SECOND;
/// Endings in one beat, 33 bytes each, so that it stays one packet.
const TOLD: usize = 12;
/// Time for which the end of a server's start is remembered: no host sends to it longer
/// than its entry stays in the store, some seconds.
const ENDED: u64 = 60 * SECOND;
/// Time after a whole answer, or an operator's word, in which endings that are heard of count as
/// before it.
const CLEARED: u64 = 2 * SECOND;
/// Seconds after its last ending for which a request is suspected. Callers come back in
/// seconds; a harmful one that comes more rarely ends one server each time.
const SUSPECT_S: u64 = 600;
/// Seconds after its last ending for which a request is refused. It may be harmless after
/// the next release of its service.
const REFUSE_S: u64 = 24 * 3_600;
/// Time after which a host looks whether another one has listed a request: longer than a
/// call to a store that answers slowly, 0.6 s, and a second one.
const LIST_LATER: u64 = 2 * SECOND;

/// What a change came to, for lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoisonChange {
    /// Nothing that is to be told at once.
    None,
    /// The count has grown to where it matters.
    GenerationRaised,
    /// The request is refused from now on.
    Refused(PoisonEvidence),
}

/// A refused request that is to be listed in the store.
#[derive(Clone, Debug)]
pub struct PendingListing {
    /// The request.
    pub digest: RequestDigest,
    /// Ends of servers under it.
    pub crashes: Vec<ServerCrash>,
    /// Whether it is this host's to list it; else only if nobody has.
    pub decided_here: bool,
}

/// What one host knows of such requests.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    suspects: HashMap<RequestDigest, Suspect>,
    /// Starts of servers that have ended, and when this host learned of it.
    ended: HashMap<u64, Time>,
    /// When this host last learned of anything that is to be told.
    news: Option<Time>,
}

impl PoisonTracker {
    /// Whether no server has ended under any request, so that no digest is needed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a start of a server is known to have ended.
    pub fn knows_crash(&self, server: u64) -> bool {
        self.ended.contains_key(&server)
    }

    /// Generations of endings that are known of a request.
    pub fn generation(&self, digest: &RequestDigest) -> u8 {
        self.suspects.get(digest).map_or(0, Suspect::generation)
    }

    /// Servers that have ended under a request.
    pub fn crashed_servers(&self, digest: &RequestDigest) -> usize {
        self.suspects.get(digest).map_or(0, |suspect| suspect.active_crashes().count())
    }

    /// Why a request is refused; none if it is not.
    pub fn refusal(&self, digest: &RequestDigest) -> Option<PoisonEvidence> {
        let suspect = self.suspects.get(digest)?;
        suspect.refused().then(|| suspect.harm())
    }

    /// A server ended under a request of this host, which was sent when so many
    /// generations were `known`.
    pub fn record_crash(
        &mut self,
        now: Time,
        unix_s: u64,
        digest: RequestDigest,
        server: u64,
        known: u8,
    ) -> PoisonChange {
        let generation = known.saturating_add(1);
        let ending = ServerCrash { digest, server, generation, at_s: unix_s, voided: false };
        let turn = self.merge(now, &ending);
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.own = true;
            suspect.decided |= matches!(turn, PoisonChange::Refused(_));
        }
        turn
    }

    /// Takes in an ending that another host tells of.
    pub fn merge(&mut self, now: Time, ending: &ServerCrash) -> PoisonChange {
        if !self.suspects.contains_key(&ending.digest) {
            self.make_room();
        }
        self.ended.entry(ending.server).or_insert(now);
        self.news = Some(now);
        let suspect = self.suspects.entry(ending.digest).or_default();
        let (before, was_refused) = (suspect.generation(), suspect.refused());
        let cleared = suspect.cleared.is_some_and(|at| now.since(at) < CLEARED);
        if !suspect.crashes.contains_key(&ending.server) && suspect.crashes.len() >= ENDINGS {
            suspect.drop_void();
        }
        let full = suspect.crashes.len() >= ENDINGS;
        match suspect.crashes.get_mut(&ending.server) {
            Some(mark) => {
                if ending.voided && !mark.void {
                    mark.void = true;
                    mark.learned = now;
                }
                // Of two tellers the one that knew less when it sent: that ending would
                // have come anyway.
                mark.generation = mark.generation.min(ending.generation);
            }
            None if full => {}
            None => {
                let ServerCrash { generation, at_s, voided: void, .. } = *ending;
                let void = void || cleared;
                let mark = CrashRecord { generation, at_s, void, learned: now, told: Time(0) };
                suspect.crashes.insert(ending.server, mark);
            }
        }
        match suspect.refused() {
            true if !was_refused => {
                suspect.refused_at = Some(now);
                PoisonChange::Refused(suspect.harm())
            }
            false if suspect.generation() > before.max(1) => PoisonChange::GenerationRaised,
            _ => PoisonChange::None,
        }
    }

    /// A request got a whole answer, so it is none that ends its server.
    pub fn record_answer(&mut self, now: Time, digest: &RequestDigest) {
        if let Some(suspect) = self.suspects.get_mut(digest) {
            suspect.cleared = Some(now);
            suspect.void(now);
            self.news = Some(now);
        }
    }

    /// Endings that the next beat tells: those of refused requests first, and of these
    /// the ones that were told longest ago.
    pub fn next_reports(&mut self, now: Time) -> Vec<ServerCrash> {
        // Beats are many, and mostly there is nothing to tell.
        if self.news.is_none_or(|at| now.since(at) >= TELL) {
            return Vec::new();
        }
        let mut due: Vec<(bool, Time, RequestDigest, u64)> = Vec::new();
        for (digest, suspect) in &self.suspects {
            let refused = suspect.refused();
            let new = suspect.crashes.iter().filter(|(_, mark)| now.since(mark.learned) < TELL);
            due.extend(new.map(|(server, mark)| (!refused, mark.told, *digest, *server)));
        }
        due.sort_unstable();
        due.truncate(TOLD);
        let told = due.into_iter().filter_map(|(_, _, digest, server)| {
            let mark = self.suspects.get_mut(&digest)?.crashes.get_mut(&server)?;
            mark.told = now;
            Some(crash_report(digest, server, mark))
        });
        told.collect()
    }

    /// A host has come, or is back: what is refused is told again.
    pub fn rebroadcast(&mut self, now: Time) {
        self.news = Some(now);
        for suspect in self.suspects.values_mut().filter(|suspect| suspect.refused()) {
            suspect.crashes.values_mut().for_each(|mark| mark.learned = now);
        }
    }

    /// All endings that are known of refused requests, for a host that starts.
    pub fn refused_crashes(&self) -> Vec<ServerCrash> {
        let refused = self.suspects.iter().filter(|(_, suspect)| suspect.refused());
        refused.flat_map(|(digest, suspect)| crash_reports(*digest, suspect)).collect()
    }

    /// Refused requests that this host has to write down in the store, as it saw an ending
    /// itself and does not know them to be listed.
    ///
    /// The host that saw the last one does it at once. The others look some time later
    /// whether it did: one that wrote as well could undo an operator's lift.
    pub fn pending_listings(&self, now: Time) -> Vec<PendingListing> {
        let mut due = Vec::new();
        for (digest, suspect) in &self.suspects {
            let since = suspect.refused_at.map_or(0, |at| now.since(at));
            let turn = suspect.decided || suspect.own && since >= LIST_LATER;
            if turn && !suspect.listed && suspect.refused() {
                let endings = crash_reports(*digest, suspect).collect();
                due.push(PendingListing {
                    digest: *digest,
                    crashes: endings,
                    decided_here: suspect.decided,
                });
            }
        }
        due
    }

    /// All requests that are refused, with the ends of servers that decided it.
    pub fn refused_requests(&self) -> Vec<(RequestDigest, Vec<ServerCrash>)> {
        let refused = self.suspects.iter().filter(|(_, suspect)| suspect.refused());
        refused
            .map(|(digest, suspect)| (*digest, crash_reports(*digest, suspect).collect()))
            .collect()
    }

    /// Whether a request was refused, or suspected, and is cleared: by a whole answer, or by an
    /// operator.
    pub fn is_cleared(&self, digest: &RequestDigest) -> bool {
        let suspect = self.suspects.get(digest);
        suspect.is_some_and(|suspect| {
            !suspect.crashes.is_empty() && suspect.active_crashes().next().is_none()
        })
    }

    /// The store lists a request.
    pub fn mark_listed(&mut self, digest: &RequestDigest) {
        if let Some(suspect) = self.suspects.get_mut(digest) {
            suspect.listed = true;
        }
    }

    /// Lets a request in again, as an operator asks for; whether it was refused.
    ///
    /// Ends that other hosts have seen and this one has not heard of yet count as before that.
    pub fn readmit(&mut self, now: Time, digest: &RequestDigest) -> bool {
        if !self.suspects.contains_key(digest) {
            self.make_room();
        }
        let suspect = self.suspects.entry(*digest).or_default();
        let refused = suspect.refused();
        suspect.cleared = Some(now);
        suspect.void(now);
        self.news = Some(now);
        refused
    }

    /// Requests that are refused now.
    pub fn refused_count(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.refused()).count()
    }

    /// Forgets what is long past.
    pub fn expire(&mut self, now: Time, unix_s: u64) {
        self.ended.retain(|_, at| now.since(*at) < ENDED);
        self.suspects.retain(|_, suspect| {
            let keep = if suspect.refused() { REFUSE_S } else { SUSPECT_S };
            let cleared = suspect.cleared.is_some_and(|at| now.since(at) < CLEARED);
            cleared || unix_s.saturating_sub(suspect.last_s()) < keep
        });
    }

    /// Drops the request that matters least if there is no room for another.
    fn make_room(&mut self) {
        if self.suspects.len() < KEPT {
            return;
        }
        let rank = |suspect: &Suspect| (suspect.refused(), suspect.generation(), suspect.last_s());
        let least = self.suspects.iter().min_by_key(|(digest, known)| (rank(known), **digest));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }
}

/// Whether a listed request is no longer refused for what has ended under it. One without
/// ends was let in again by an operator, whose it is to take that off the list.
pub fn listing_expired(endings: &[ServerCrash], unix_s: u64) -> bool {
    let last = endings.iter().map(|ending| ending.at_s).max();
    last.is_some_and(|last| unix_s.saturating_sub(last) >= REFUSE_S)
}
