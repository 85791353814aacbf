//! Versions of the store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A version of the store: its era and its counter.
///
/// A store that is restored from a backup continues counting from the backup's version and thus
/// assigns some counters again, to other changes. Counters of different eras can therefore not be
/// compared, and versions are ordered by era first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreVersion {
    /// How often the store has been restored from a backup; 0 if the store does not report it.
    pub era: u64,
    /// The store's counter within the era.
    pub count: u64,
}

impl StoreVersion {
    /// Creates a version from an era and a counter.
    pub fn new(era: u64, count: u64) -> StoreVersion {
        StoreVersion { era, count }
    }

    /// The version of tombstones for rows missing in an era's first full read. The time of the
    /// deletion is unknown; the version is higher than all versions of earlier eras.
    pub fn absent(era: u64) -> StoreVersion {
        StoreVersion { era, count: 0 }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.count)
    }
}
