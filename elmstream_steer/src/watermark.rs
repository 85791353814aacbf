//! How far a host knows a table of the store.

use elmstream::time::Time;

use crate::{heartbeat::StoreRead, version::StoreVersion};

/// How far a table is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watermark {
    /// Version up to which all significant changes are known; the default version if the table is
    /// unknown.
    pub version: StoreVersion,
    /// When the store was last known to have nothing newer than this version; `None` if the table
    /// is unknown.
    pub confirmed_at: Option<Time>,
    /// The read that confirmed the version.
    pub last_read: Option<StoreRead>,
    /// Lowest version from which all tombstones are known. A full read does not show deletions of
    /// rows that this host did not know, so updates for a host at an earlier version lack
    /// tombstones.
    pub tombstone_floor: StoreVersion,
    /// Version up to which a store read or another host showed that nothing is missing, including
    /// tombstones. It may exceed `version`, as insignificant changes advance the store's
    /// counter too.
    pub complete_to: StoreVersion,
}

impl Watermark {
    /// Version up to which nothing is missing: the higher one of `version` and `complete_to`.
    pub fn complete_version(&self) -> StoreVersion {
        self.complete_to.max(self.version)
    }
}
