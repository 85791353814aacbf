//! Deleted rows of a view: how hosts find out which tombstones they lack, and when they drop them.

use elmstream::time::{SECOND, Time};

use crate::{
    heartbeat::TableStatus,
    row::{Row, RowKey},
    stored_row::StoredRow,
    table::Table,
    version::StoreVersion,
    view::View,
};

/// How long tombstones are kept, so that delayed messages do not restore deleted rows.
const TOMBSTONE_RETENTION: u64 = 60 * SECOND;

impl View {
    /// Splits rows into those to merge and the keys of those that were deleted since: they are
    /// unknown here, although nothing up to their versions is missing. A host that reads a table
    /// after a deletion may have no tombstone of it.
    ///
    /// All rows of a message have to be passed at once, as merging one raises the version up to
    /// which nothing is missing.
    pub fn split_deleted(&self, rows: Vec<Row>) -> (Vec<Row>, Vec<RowKey>) {
        let is_deleted = |row: &Row| {
            let complete = self.watermark(row.key.table()).complete_version();
            let is_covered = row.version.era == complete.era && row.version <= complete;
            row.content.is_some() && is_covered && !self.rows.contains_key(&row.key)
        };
        let (deleted, current): (Vec<Row>, Vec<Row>) = rows.into_iter().partition(is_deleted);
        (current, deleted.into_iter().map(|row| row.key).collect())
    }

    /// Sets the tombstone floor of a table: deletions before `version` may be unknown. That is so
    /// after a full read of a table, and after rows from another host whose tombstones begin there.
    pub fn set_tombstone_floor(&mut self, table: Table, version: StoreVersion) {
        self.watermarks[table as usize].tombstone_floor = version;
    }

    /// Records that nothing of a table is missing up to a version, as a store read or rows of
    /// another host have shown.
    pub fn mark_complete(&mut self, table: Table, version: StoreVersion) {
        let watermark = &mut self.watermarks[table as usize];
        watermark.complete_to = watermark.complete_to.max(version);
    }

    /// Digest of the keys that the store has in a table, as far as this host knows.
    pub fn keys_digest(&self, table: Table) -> u32 {
        let cached = &self.key_digests[table as usize];
        let cached_sum = cached.get();
        let computed = || self.key_hashes(table).into_iter().fold(0, |sum, key| sum ^ key);
        let sum = cached_sum.unwrap_or_else(computed);
        cached.set(Some(sum));
        sum
    }

    /// Sorted hashes of the keys that the store has in a table, as far as this host knows.
    pub fn key_hashes(&self, table: Table) -> Vec<u32> {
        let mut keys: Vec<u32> =
            self.existing_rows(table).map(|(key, _)| key.hash() as u32).collect();
        keys.sort_unstable();
        keys
    }

    /// Tombstones at `version` for the rows that this host takes to exist in the store but whose
    /// key hashes are not in `keys`, the [`View::key_hashes`] of a host that knows more deletions.
    pub fn tombstones_for_unlisted(
        &self,
        table: Table,
        keys: &[u32],
        version: StoreVersion,
    ) -> Vec<Row> {
        let unlisted = self
            .existing_rows(table)
            .filter(|(key, _)| keys.binary_search(&(key.hash() as u32)).is_err());
        unlisted.map(|(key, _)| Row::new(key.clone(), version, None)).collect()
    }

    /// Marks a table as complete up to another host's tombstone floor if that host has the same
    /// keys: no tombstone is then missing here. `status` must have this host's version of the
    /// table, which is not checked.
    pub fn confirm_keys(&mut self, table: Table, status: &TableStatus) {
        let watermark = self.watermark(table);
        let extends = status.tombstone_floor.era == watermark.version.era
            && status.tombstone_floor > watermark.complete_version();
        if extends && status.keys_digest == self.keys_digest(table) {
            self.mark_complete(table, status.tombstone_floor);
            self.set_tombstone_floor(table, status.tombstone_floor);
        }
    }

    /// Whether another host with the same version of a table has other keys and a tombstone floor
    /// above what is complete here, so that tombstones are missing here.
    pub fn lacks_tombstones(&self, table: Table, status: &TableStatus) -> bool {
        let watermark = self.watermark(table);
        let same_version = status.version == watermark.version
            && status.tombstone_floor.era == watermark.version.era;
        same_version
            && status.tombstone_floor > watermark.complete_version()
            && status.keys_digest != self.keys_digest(table)
    }

    /// Keys of a table that this host takes to exist in the store but that are not in `present`,
    /// the sorted keys of a full read: these rows were deleted.
    pub fn unlisted_keys(&self, table: Table, present: &[RowKey]) -> Vec<RowKey> {
        let unlisted =
            self.existing_rows(table).filter(|(key, _)| present.binary_search(key).is_err());
        unlisted.map(|(key, _)| key.clone()).collect()
    }

    /// Rows of a table that this host takes to exist in the store.
    fn existing_rows(&self, table: Table) -> impl Iterator<Item = (&RowKey, &StoredRow)> {
        self.rows.iter().filter(move |(key, row)| key.table() == table && row.exists_in_store())
    }

    /// Drops expired tombstones, raising the tombstone floor, and surplus reader clocks.
    pub fn expire_tombstones(&mut self, now: Time) {
        for (clocks, watermark) in self.reader_clocks.iter_mut().zip(&self.watermarks) {
            clocks.drop_surplus(watermark.last_read.map(|last_read| last_read.reader));
        }
        let watermarks = &mut self.watermarks;
        self.rows.retain(|key, row| {
            let keep = row.content.is_some()
                || row.store_copy.is_some()
                || now.since(row.changed_at) < TOMBSTONE_RETENTION;
            let watermark = &mut watermarks[key.table() as usize];
            if !keep && row.version.era == watermark.version.era {
                watermark.tombstone_floor = watermark.tombstone_floor.max(row.version);
            }
            keep
        });
    }
}
