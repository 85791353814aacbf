//! Retention of rows when the store is restored from a backup.
//!
//! A restored store first returns contents that are some seconds old, until the operator and the
//! servers have written again. A host that has acted on something newer must not revert. Where the
//! two differ, the contents' own order decides if there is one: configurations carry a version, and
//! servers count their entries. Otherwise, rows that the store has written since it was restored
//! win, and rows that may come from the backup take effect after a retention time.
//!
//! If hosts adopt the backup at once, evacuations, configurations and server states revert or take
//! effect late; the test `each_retention_rule_is_required` in `tests/eras.rs` shows this in virtual
//! time: with 12 hosts and an operator who writes again after 4 s, 223 states revert and 20 are
//! late over eight runs, against none with retention.

use elmstream::time::{MILLI, SECOND, Time};

use crate::{
    model::EntryNumber,
    rollout::RolloutProgress,
    row::{RemovedCounters, RowContent, RowKey},
    version::StoreVersion,
};

/// How long after the store's return servers stay in use that it no longer lists. A server that runs
/// is listed again within about two seconds; after that it has to be considered gone.
pub(crate) const LAPSE_TIMEOUT: u64 = 2_200 * MILLI;

/// How long rows of an earlier era stay in force against the restored store, in microseconds from
/// the first read of the new era.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// For a configuration with a higher version than the backup's, and for the decision on a
    /// rollout. The operator's tools write them again within seconds, but a person who has to be
    /// called takes minutes. After that the store's contents apply, as these are what operators
    /// see.
    pub configuration: u64,
    /// For an evacuation that the backup lacks, or still contains although it was ended. The
    /// operator's tools write it again within seconds; the time is shorter than for configurations
    /// because needlessly evacuating a failure domain costs all its capacity.
    pub evacuation: u64,
    /// For a server that the backup lacks.
    pub missing: u64,
    /// For a server that has left or whose entry in the backup is outdated. The server writes again
    /// within its heartbeat interval of 1.5 s, or the store drops it after three intervals.
    pub outdated: u64,
    /// For a server's newer entry against an older one that the store completed late, in
    /// microseconds from when a host first sees the older one. The store completes such writes
    /// within six seconds, and drops the entry of a server that has left after three heartbeat
    /// intervals of 1.5 s. After that the store's content applies, as the newer number may have been
    /// written by mistake.
    pub late_entry: u64,
}

impl Default for Retention {
    fn default() -> Retention {
        Retention {
            configuration: 600 * SECOND,
            evacuation: 60 * SECOND,
            missing: LAPSE_TIMEOUT,
            outdated: 10 * SECOND,
            late_entry: 12 * SECOND,
        }
    }
}

impl Retention {
    /// No retention: the backup takes effect at once.
    pub const NONE: Retention =
        Retention { configuration: 0, evacuation: 0, missing: 0, outdated: 0, late_entry: 0 };
}

/// A row as known from an earlier era.
#[derive(Clone, Copy, Debug)]
pub struct EarlierRow<'a> {
    /// Key of the row.
    pub key: &'a RowKey,
    /// Its content; `None` if it was deleted.
    pub content: Option<&'a RowContent>,
    /// Counters at which the row existed before its deletion, if it was deleted and they are known.
    pub removed_counters: RemovedCounters,
    /// Number of the newest known entry of a server, also if it was deleted.
    pub entry_number: Option<EntryNumber>,
}

impl EarlierRow<'_> {
    /// Whether a deleted evacuation is known not to have existed at a counter, so that a row with
    /// this counter cannot come from the backup. The operator may have requested it again before
    /// hosts first read the new era. Below the known counters the row may have existed earlier.
    fn never_existed_at(&self, count: u64) -> bool {
        let evacuation = matches!(self.key, RowKey::Evacuation(_));
        let is_absent = |counts: [u64; 2]| count > counts[0] && !counts.contains(&count);
        evacuation && self.removed_counters.is_some_and(is_absent)
    }
}

/// An era of the store as known to a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Era {
    /// Number of the era.
    pub number: u64,
    /// Lowest counter of the store in a known read of the era. Rows with higher counters do not
    /// come from the backup.
    pub first_count: u64,
    /// When the era became known; `None` if no earlier era is known.
    pub known_since: Option<Time>,
}

impl Era {
    /// Until when a row of an earlier era stays in force against the store's row, given as its
    /// version and content; `None` if the store's row applies at once.
    pub fn retained_until(
        &self,
        retention: &Retention,
        earlier: EarlierRow<'_>,
        (version, copy): (StoreVersion, Option<&RowContent>),
    ) -> Option<Time> {
        let known_since = self.known_since?;
        let written_since_restore =
            version.count > self.first_count || earlier.never_existed_at(version.count);
        Some(known_since + retention_time(retention, &earlier, copy, written_since_restore)?)
    }
}

/// How long the row of an earlier era is retained against the store's content, in microseconds;
/// `None` if it is not. `written_since_restore` tells whether the store's row was written after the
/// restore.
fn retention_time(
    retention: &Retention,
    earlier: &EarlierRow<'_>,
    copy: Option<&RowContent>,
    written_since_restore: bool,
) -> Option<u64> {
    if same_content(earlier.content, copy) {
        return None;
    }
    match (earlier.content, copy) {
        // Applies to rows written since the restore too: an operator may write all lost
        // configurations again, one after the other.
        (Some(RowContent::Configuration(earlier)), Some(RowContent::Configuration(copy))) => {
            (earlier.version > copy.version).then_some(retention.configuration)
        }
        (Some(RowContent::Configuration(_)), _) => Some(retention.configuration),
        // A backup does not undo the decision on a rollout either.
        (Some(RowContent::Progress(earlier)), copy) if earlier.outranks(progress(copy)) => {
            Some(retention.configuration)
        }
        (_, Some(RowContent::Server(copy)))
            if earlier.entry_number.is_some_and(|number| copy.is_outdated_by(number)) =>
        {
            Some(retention.outdated)
        }
        (Some(RowContent::Server(earlier)), Some(RowContent::Server(copy)))
            if earlier.entry_number().precedes(copy.entry_number()) =>
        {
            None
        }
        _ if written_since_restore => None,
        (Some(RowContent::Server(_)), None) => Some(retention.missing),
        _ if matches!(earlier.key, RowKey::Evacuation(_)) => Some(retention.evacuation),
        _ => Some(retention.outdated),
    }
}

/// The rollout progress in a row's content, if it has any.
fn progress(content: Option<&RowContent>) -> Option<&RolloutProgress> {
    match content {
        Some(RowContent::Progress(progress)) => Some(progress),
        _ => None,
    }
}

/// Whether two contents have the same meaning.
pub(crate) fn same_content(one: Option<&RowContent>, other: Option<&RowContent>) -> bool {
    match (one, other) {
        (Some(RowContent::Server(one)), Some(RowContent::Server(other))) => one.same_content(other),
        _ => one == other,
    }
}
