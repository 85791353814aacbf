//! Rows in force that a view retains against the store's contents: merging those of other hosts,
//! ending their retention, and listing them.

use elmstream::time::{MILLI, Time};

use crate::{
    era::{EarlierRow, same_content},
    hash,
    model::EntryNumber,
    row::{RetainedRow, Row, RowContent, RowKey},
    stored_row::{StoreCopy, StoredRow},
    table::Table,
    version::StoreVersion,
    view::View,
};

impl View {
    /// Merges a row that another host retains against the store. Returns whether this host now
    /// retains it too.
    pub fn merge_retained(&mut self, now: Time, RetainedRow { row, late_ms }: RetainedRow) -> bool {
        match late_ms {
            Some(late_ms) => {
                let late_since = Time(now.0.saturating_sub(late_ms.saturating_mul(MILLI)));
                self.merge_newer_entry(now, row, late_since)
            }
            None => self.merge_earlier_era(now, row),
        }
    }

    /// Merges a server's entry, or its deletion, that another host retains because the store
    /// completed an older entry of the server later.
    fn merge_newer_entry(&mut self, now: Time, row: Row, late_since: Time) -> bool {
        let (Some(stored), Some(number)) = (self.rows.get(&row.key), row.entry_number()) else {
            return false;
        };
        let (version, content) = stored.as_stored(self.era.number);
        let Some(RowContent::Server(copy)) = &content else { return false };
        let is_same_era = row.version.era == version.era;
        let is_newer = copy.is_outdated_by(number)
            && stored.entry_number.is_none_or(|known| known.precedes(number));
        let is_over = now >= late_since + self.retention.late_entry;
        if !is_same_era || row.version >= version || !is_newer || is_over {
            return false;
        }
        let late_since = Some(late_since);
        self.retain(now, row, StoreCopy { version, content, late_since });
        true
    }

    /// Merges a row of an earlier era that another host retains against the store.
    fn merge_earlier_era(&mut self, now: Time, row: Row) -> bool {
        if row.version.era >= self.era.number {
            return false;
        }
        // A host that has just started adopts what the others retain.
        self.era.known_since.get_or_insert(now);
        let era = self.era;
        let missing = || StoredRow::new(now, StoreVersion::absent(era.number), None);
        let stored = self.rows.get(&row.key).cloned().unwrap_or_else(missing);
        // A host with outdated data in the earlier era may retain a row that had changed since.
        let covers_row =
            |carried: StoreVersion| carried.era == row.version.era && carried >= row.version;
        let is_superseded = stored.carried_from.is_some_and(covers_row);
        if is_superseded
            || same_content(stored.content.as_ref(), row.content.as_ref())
            || stored.outranks(&row)
        {
            return false;
        }
        let (version, content) = stored.as_stored(era.number);
        let retained_row = EarlierRow {
            key: &row.key,
            content: row.content.as_ref(),
            removed_counters: row.removed_counters,
            entry_number: row.entry_number(),
        };
        let retained_until =
            era.retained_until(&self.retention, retained_row, (version, content.as_ref()));
        if retained_until.is_none_or(|retained_until| now >= retained_until) {
            return false;
        }
        self.retain(now, row, StoreCopy { version, content, late_since: None });
        true
    }

    /// Puts a row in force against the store's content.
    fn retain(&mut self, now: Time, row: Row, copy: StoreCopy) {
        let key = row.key.clone();
        let retained = StoredRow { store_copy: Some(copy), ..StoredRow::from_row(now, row) };
        self.key_digests[key.table() as usize].set(None);
        self.rows.insert(key, retained);
        self.may_have_retained = true;
    }

    /// Ends the retention of rows whose time is over. Returns the keys for which the row in force
    /// changed.
    pub fn end_retention(&mut self, now: Time) -> Vec<RowKey> {
        let (era, retention) = (self.era, self.retention);
        let mut ended = Vec::new();
        if !std::mem::take(&mut self.may_have_retained) {
            return ended;
        }
        for (key, row) in &mut self.rows {
            let Some(copy) = &row.store_copy else { continue };
            let retained_until = row.retained_until(key, &era, &retention);
            if retained_until.is_none_or(|retained_until| now >= retained_until) {
                *row = StoredRow::new(now, copy.version, copy.content.clone());
                self.key_digests[key.table() as usize].set(None);
                ended.push(key.clone());
            } else {
                self.may_have_retained = true;
            }
        }
        ended
    }

    /// Rows of a table that are retained against the store's contents, with the contents in force,
    /// not the store's.
    pub fn retained(&self, now: Time, table: Table) -> Vec<RetainedRow> {
        let rows = self.rows.iter().filter(|(key, _)| key.table() == table);
        rows.filter_map(|(key, row)| row.retained(now, key)).collect()
    }

    /// Whether any row of a table is retained against the store's content.
    pub fn has_retained(&self, table: Table) -> bool {
        self.rows.iter().any(|(key, row)| key.table() == table && row.store_copy.is_some())
    }

    /// Whether a row is retained against the store's contents.
    pub fn is_retained(&self, key: &RowKey) -> bool {
        self.rows.get(key).is_some_and(|row| row.store_copy.is_some())
    }

    /// Numbers of a server's entry in the store and of its entry in force, if that is retained
    /// against an older one.
    pub fn late_entry(&self, key: &RowKey) -> Option<(EntryNumber, EntryNumber)> {
        let row = self.rows.get(key)?;
        let copy = row.store_copy.as_ref()?.content.as_ref()?;
        Some((copy.entry_number()?, row.entry_number?))
    }

    /// Number of retained rows in all tables, for metrics.
    pub fn retained_count(&self) -> usize {
        self.rows.values().filter(|row| row.store_copy.is_some()).count()
    }

    /// Digest of a table's retained rows; 0 if there are none.
    pub fn retained_digest(&self, table: Table) -> u32 {
        if !self.may_have_retained {
            return 0;
        }
        let rows =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.store_copy.is_some());
        let row_hashes = rows.map(|(key, row)| hash::combine(key.hash(), row.version.count));
        row_hashes.fold(0, |sum, hash| sum ^ hash as u32)
    }
}
