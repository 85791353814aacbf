//! The store's contents as rows that can be merged in any order.
//!
//! Each row carries the store's version of its last significant change, that is, one that alters
//! what hosts do; a server's unchanged renewal of its entry is not, unless the server is cold. The
//! higher version wins, and deletions are rows too (tombstones), so that any host can pass on what
//! it knows and the order of messages does not matter. Rules (configuration, evacuations and
//! rollout orders), servers and rollout progress are separate tables, each known up to a version of
//! its own.
//!
//! When the store is restored from a backup, a new era begins. The `era` module decides which rows
//! of the earlier era stay in force against the store's contents for some time. Such a retained row
//! keeps both contents, so for each row there is one in force and one as the store has it. A row
//! that is equal in both eras is carried over: it only gets a version of the new era.
//!
//! A row is also retained if the store completes an older write of a backend server after a newer
//! one: of two entries of one server the one that the server wrote later is in force, whatever their
//! versions; see [`EntryNumber`](crate::model::EntryNumber).

use std::{cell::Cell, collections::BTreeMap};

use elmstream::time::Time;

use crate::{
    era::{Era, Retention},
    heartbeat::StoreRead,
    model::Configuration,
    reader_clocks::ReaderClocks,
    stored_row::StoredRow,
    version::StoreVersion,
};

pub use crate::{
    row::{RemovedCounters, RetainedRow, Row, RowContent, RowKey},
    stored_row::Effect,
    table::{REQUIRED_TABLES, TABLES, Table},
    watermark::Watermark,
};

/// The store's tables as known to a host.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub(crate) rows: BTreeMap<RowKey, StoredRow>,
    pub(crate) watermarks: [Watermark; 3],
    /// For each table, the clocks of the hosts that read it from the store.
    pub(crate) reader_clocks: [ReaderClocks; 3],
    pub(crate) era: Era,
    pub(crate) retention: Retention,
    /// Whether any row may be retained against the store's contents; `false` saves a search.
    pub(crate) may_have_retained: bool,
    /// For each table, the version up to which it was known when this host moved it to its
    /// current era; `None` if it was unknown or there was no earlier era.
    pub(crate) era_bridges: [Option<StoreVersion>; 3],
    /// Cached digest of each table's keys; `None` after a change.
    pub(crate) key_digests: [Cell<Option<u32>>; 3],
}

impl View {
    /// How far a table is known.
    pub fn watermark(&self, table: Table) -> Watermark {
        self.watermarks[table as usize]
    }

    /// Time since a table was last confirmed, in microseconds; `None` if the table is unknown.
    pub fn age(&self, now: Time, table: Table) -> Option<u64> {
        self.watermark(table).confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Records that a store read showed the table to be current at `version`.
    ///
    /// The watermark rises to `version` in any case. The time of the confirmation changes only if
    /// the read is later than those known of the same reader. A read that took longer to arrive
    /// than others of that reader counts as older by the difference, so that a delayed message does
    /// not make the data appear recent. If the first read of a reader is old, `age_ms` tells its age: what
    /// the host that passed it on states with it.
    pub fn confirm(
        &mut self,
        now: Time,
        table: Table,
        version: StoreVersion,
        (read, age_ms): (StoreRead, u64),
    ) {
        let watermark = &mut self.watermarks[table as usize];
        watermark.version = watermark.version.max(version);
        let clocks = &mut self.reader_clocks[table as usize];
        let Some(confirmed_at) = clocks.record_read(now, read, age_ms) else { return };
        if watermark.confirmed_at.is_none_or(|current| confirmed_at > current) {
            watermark.confirmed_at = Some(confirmed_at);
            watermark.last_read = Some(read);
        }
    }

    /// The newest known era of the store.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Replaces the default retention times of rows from an earlier era.
    pub fn set_retention(&mut self, retention: Retention) {
        self.retention = retention;
    }

    /// Merges a row of the store.
    pub fn merge(&mut self, now: Time, row: Row) -> Effect {
        let (index, version) = (row.key.table() as usize, row.version);
        let (effect, is_newest) = match self.rows.get_mut(&row.key) {
            Some(stored) => {
                let effect = stored.merge(now, &row, &self.era, &self.retention);
                (effect, effect != Effect::Nothing || stored.version == version)
            }
            None => {
                // The tombstone of an unknown row is kept too, as it has to override delayed
                // messages and other hosts may know the row.
                let effect = row.content.as_ref().map_or(Effect::Nothing, |_| Effect::Changed);
                self.rows.insert(row.key.clone(), StoredRow::from_row(now, row));
                (effect, true)
            }
        };
        self.may_have_retained |= matches!(effect, Effect::Recorded | Effect::Outdated);
        if effect != Effect::Nothing {
            self.key_digests[index].set(None);
        }
        if is_newest {
            let watermark = &mut self.watermarks[index];
            watermark.version = watermark.version.max(version);
        }
        effect
    }

    /// Merges a row that this host wrote. The watermark stays, as other rows may have changed
    /// before it; it rises when the table is read. Returns whether the content in force changed.
    pub fn merge_written(&mut self, now: Time, row: Row) -> bool {
        let index = row.key.table() as usize;
        let version = self.watermarks[index].version;
        let effect = self.merge(now, row);
        self.watermarks[index].version = version;
        effect == Effect::Changed
    }

    /// Rows of a table, including tombstones, that changed after a version, as the store has them.
    /// Rows that were carried over into the store's era are omitted if a host at that version has
    /// them; see [`View::carried_over`].
    pub fn changed_since(&self, table: Table, version: StoreVersion) -> Vec<Row> {
        let is_new = |row: &StoredRow| !row.is_known_at(version);
        let rows = self.rows.iter().filter(|(key, row)| key.table() == table && is_new(row));
        let rows = rows.map(|(key, row)| row.to_stored_row(key));
        rows.filter(|row| row.version > version).collect()
    }

    /// All rows of a table as the store has them, with versions of its era.
    pub fn all_rows(&self, table: Table) -> Vec<Row> {
        let table_version = self.watermarks[table as usize].version;
        let rows = self.rows.iter().filter(|(key, _)| key.table() == table);
        let rows = rows.map(|(key, row)| {
            let (version, content) = row.as_stored(table_version.era);
            let is_in_force = row.store_copy.is_none();
            let removed_counters = row.removed_counters.filter(|_| is_in_force);
            let last_entry = row.last_entry().filter(|_| is_in_force);
            let row = Row::new(key.clone(), version.min(table_version), content);
            Row { removed_counters, last_entry, ..row }
        });
        rows.collect()
    }

    /// Keys and contents of all rows in force, without deleted ones.
    pub fn contents(&self) -> impl Iterator<Item = (&RowKey, &RowContent)> {
        self.rows.iter().filter_map(|(key, row)| Some((key, row.content.as_ref()?)))
    }

    /// Version of the last significant change of a row in force, which is of an earlier era if the
    /// row is retained; `None` if the row is unknown.
    pub fn row_version(&self, key: &RowKey) -> Option<StoreVersion> {
        Some(self.rows.get(key)?.version)
    }

    /// Counter of the last version of a row as the store has it, which a conditional write has to
    /// name; 0 if the row does not exist there.
    pub fn store_count(&self, key: &RowKey) -> u64 {
        let existing = self.rows.get(key).filter(|row| row.exists_in_store());
        existing.map_or(0, |row| row.as_stored(self.era.number).0.count)
    }

    /// The content of a row in force; `None` if the row is unknown or deleted.
    pub fn get(&self, key: &RowKey) -> Option<&RowContent> {
        self.rows.get(key)?.content.as_ref()
    }

    /// The configuration in force, if one is known.
    pub fn configuration(&self) -> Option<&Configuration> {
        match self.get(&RowKey::Configuration)? {
            RowContent::Configuration(configuration) => Some(configuration),
            _ => None,
        }
    }
}
