//! Eras of the store: what holds on when it comes back from a copy.
//!
//! A store that comes back from a copy says at first what held some seconds ago, until the
//! operator and the servers have written again. A host that acted on something newer must
//! not go back, so where the two differ it goes by the content's own order, if there is one:
//! configurations and the entries of a server count themselves. Otherwise what the store has
//! written since its return wins, and what may be of the copy waits for a known time.
//!
//! Against taking the copy at once, in virtual time with eight drills of 12 hosts and an
//! operator who writes again after 4 s (`tests/eras.rs`, `each_rule_is_needed`): 223 facts at
//! hosts went back and 20 were late if the copy is taken at once, none if it is not.

use elmstream::time::{MILLI, SECOND, Time};

use crate::{
    model::Server,
    rollout::RolloutProgress,
    version::StoreVersion,
    view::{RemovedCounters, RowContent, RowKey},
};

/// How long a server is still used that the store has lost by being away: if it lives the
/// platform has it back within about two seconds, and after that it is to be taken as gone.
pub(crate) const LAPSE: u64 = 2_200 * MILLI;

/// For how long, from the first reading of a new era, what an earlier one said goes on in
/// force against the store's copy, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// A configuration whose own version is higher than the copy's, and the verdict on a
    /// roll-out. The operator's tools
    /// write it again within seconds; somebody who has to be called takes minutes. After
    /// that the store's word is the one that operators see.
    pub configuration: u64,
    /// An evacuation that the copy lacks, or that it has though it was lifted: the same,
    /// but a failure domain that is left without need costs its whole room.
    pub evacuation: u64,
    /// A server that the copy lacks.
    pub missing: u64,
    /// A server that has left, or whose entry the copy has as it was before: it writes again
    /// within one heartbeat of 1.5 s, or the store drops it after three.
    pub outdated: u64,
}

impl Default for Retention {
    fn default() -> Retention {
        Retention {
            configuration: 600 * SECOND,
            evacuation: 60 * SECOND,
            missing: LAPSE,
            outdated: 10 * SECOND,
        }
    }
}

impl Retention {
    /// The copy is taken at once.
    pub const NONE: Retention =
        Retention { configuration: 0, evacuation: 0, missing: 0, outdated: 0 };
}

/// What an earlier era said of a row.
#[derive(Clone, Copy, Debug)]
pub struct EarlierRow<'a> {
    /// Names the row.
    pub key: &'a RowKey,
    /// Its content; none if it was removed.
    pub content: Option<&'a RowContent>,
    /// The counters at which it was there before, if it was removed and they are known.
    pub removed_counters: RemovedCounters,
}

impl EarlierRow<'_> {
    /// Whether a removed row was not written at a counter, so that a copy cannot have it
    /// from there. An operator may ask again for what was taken back before hosts first
    /// read the new era. Below the counters that are known it may have been there before.
    fn never_at(&self, count: u64) -> bool {
        let evacuation = matches!(self.key, RowKey::Evacuation(_));
        let never = |counts: [u64; 2]| count > counts[0] && !counts.contains(&count);
        evacuation && self.removed_counters.is_some_and(never)
    }
}

/// An era of the store, as a host knows of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Era {
    /// Its number.
    pub number: u64,
    /// The store's counter in the first reading of the era that is known of: what was
    /// written above it is not of the copy.
    pub first_count: u64,
    /// When it was first known of; none if no earlier one is.
    pub known_since: Option<Time>,
}

impl Era {
    /// Until when what an earlier era said goes on in force against what this one says;
    /// none if it does not.
    pub fn retained_until(
        &self,
        holds: &Retention,
        earlier: EarlierRow<'_>,
        (version, copy): (StoreVersion, Option<&RowContent>),
    ) -> Option<Time> {
        let began = self.known_since?;
        let written = version.count > self.first_count || earlier.never_at(version.count);
        Some(began + hold(holds, &earlier, copy, written)?)
    }
}

/// For how long one holds on against the other; none if it does not. `written` says whether
/// the other one was written since the store's return.
fn hold(
    holds: &Retention,
    earlier: &EarlierRow<'_>,
    copy: Option<&RowContent>,
    written: bool,
) -> Option<u64> {
    if same_content(earlier.content, copy) {
        return None;
    }
    match (earlier.content, copy) {
        // Also if it was written since: an operator may write again all that was lost, one
        // configuration after the other.
        (Some(RowContent::Configuration(earlier)), Some(RowContent::Configuration(copy))) => {
            (earlier.version > copy.version).then_some(holds.configuration)
        }
        (Some(RowContent::Configuration(_)), _) => Some(holds.configuration),
        // Nor does a copy take a verdict back.
        (Some(RowContent::Progress(earlier)), copy) if earlier.outranks(progress(copy)) => {
            Some(holds.configuration)
        }
        (Some(RowContent::Server(earlier)), Some(RowContent::Server(copy)))
            if counted(earlier, copy) =>
        {
            (earlier.entries > copy.entries).then_some(holds.outdated)
        }
        _ if written => None,
        (Some(RowContent::Server(_)), None) => Some(holds.missing),
        _ if matches!(earlier.key, RowKey::Evacuation(_)) => Some(holds.evacuation),
        _ => Some(holds.outdated),
    }
}

/// The progress of a roll-out, if that is what a row says.
fn progress(item: Option<&RowContent>) -> Option<&RolloutProgress> {
    match item {
        Some(RowContent::Progress(progress)) => Some(progress),
        _ => None,
    }
}

/// Whether two contents say the same.
pub(crate) fn same_content(one: Option<&RowContent>, other: Option<&RowContent>) -> bool {
    match (one, other) {
        (Some(RowContent::Server(one)), Some(RowContent::Server(other))) => one.same_content(other),
        _ => one == other,
    }
}

/// Whether the numbers of two entries tell which one is the newer.
fn counted(earlier: &Server, copy: &Server) -> bool {
    earlier.born == copy.born && earlier.entries != copy.entries
}
