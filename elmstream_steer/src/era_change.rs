//! A view's move to a new era of the store, and the rows that are equal in both eras and only get
//! other versions.

use std::collections::HashMap;

use elmstream::time::{SECOND, Time};

use crate::{era::Era, table::Table, version::StoreVersion, view::View};

/// Retention times run from when a host learns of a new era. If its table was last confirmed longer
/// ago than this, they run from that confirmation instead, so that rows are retained for a shorter
/// time or not at all: a host that was cut off for an hour must not bring back what was in force
/// before.
const RECENT_READ_AGE_MAX: u64 = 60 * SECOND;

impl View {
    /// Records an era of the store, before its tables are moved to it by [`View::enter_era`].
    /// `first_count` is the store's counter in the first read of the era. `known_since` is when the
    /// host that reports the era learned of it; with `None`, a host that knows an earlier era sets
    /// it when it moves a table.
    pub fn learn_era(&mut self, number: u64, first_count: u64, known_since: Option<Time>) {
        if number > self.era.number {
            self.era = Era { number, first_count, known_since };
            // Contents of the previous era that were not in force are obsolete.
            self.rows.values_mut().for_each(|row| row.store_copy = None);
            self.key_digests.iter().for_each(|digest| digest.set(None));
        } else if number == self.era.number {
            self.era.first_count = self.era.first_count.min(first_count);
            self.era.known_since = self.era.known_since.into_iter().chain(known_since).min();
        }
    }

    /// Moves a table to an era if that is newer than the table's. Returns whether the table was
    /// known in the earlier era, so that its rows may be retained.
    pub fn enter_era(&mut self, now: Time, table: Table, number: u64) -> bool {
        let index = table as usize;
        let watermark = self.watermarks[index];
        if number <= watermark.version.era {
            return false;
        }
        if let Some(confirmed_at) = watermark.confirmed_at {
            // A starting host may learn one table of the new era first, and the other from a host
            // that does not know of that era yet.
            let known_since =
                if now.since(confirmed_at) < RECENT_READ_AGE_MAX { now } else { confirmed_at };
            self.era.known_since.get_or_insert(known_since);
        }
        self.era_bridges[index] = watermark.confirmed_at.map(|_| watermark.version);
        self.watermarks[index].version = StoreVersion::absent(number);
        self.key_digests[index].set(None);
        watermark.confirmed_at.is_some()
    }

    /// Version of the earlier era up to which this host knew a table when it moved it to the
    /// store's era; `None` if it did not know it. A host still in that earlier era, and at most at
    /// this version, can be brought into the new era by [`View::changed_since`]; others need all
    /// rows.
    pub fn era_bridge(&self, table: Table) -> Option<StoreVersion> {
        self.era_bridges[table as usize]
    }

    /// Rows that [`View::changed_since`] omits because a host that knows the table up to `version`,
    /// of an earlier era, already has their contents and only lacks their versions in the store's
    /// era: the hash of each key, and the counter of that version.
    pub fn carried_over(&self, table: Table, version: StoreVersion) -> Vec<(u64, u64)> {
        let rows = self.rows.iter().filter(|(key, _)| key.table() == table);
        let known = rows.filter(|(_, row)| row.is_known_at(version));
        known.map(|(key, row)| (key.hash(), row.version.count)).collect()
    }

    /// Assigns versions of the store's era to rows that are unchanged from an earlier one, as
    /// listed by another host's [`View::carried_over`].
    pub fn carry_over(&mut self, table: Table, era: u64, carried_over: &[(u64, u64)]) {
        let counts: HashMap<u64, u64> = carried_over.iter().copied().collect();
        let rows = self.rows.iter_mut().filter(|(key, _)| key.table() == table);
        for (key, row) in
            rows.filter(|(_, row)| row.store_copy.is_none() && row.last_version.era < era)
        {
            if let Some(count) = counts.get(&key.hash()) {
                row.carried_from = Some(row.version);
                row.version = StoreVersion::new(era, *count);
                row.last_version = row.version;
            }
        }
    }
}
