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
//! versions; see [`EntryNumber`].

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    fmt,
};

use elmstream::time::{MILLI, SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::{
    era::{EarlierRow, Era, Retention, same_content},
    hash,
    heartbeat::{StoreRead, TableStatus},
    model::{Configuration, EntryNumber, Server},
    rollout::{RolloutOrder, RolloutProgress},
    stored_row::{StoreCopy, StoredRow},
    version::StoreVersion,
};

pub use crate::stored_row::Effect;

/// How long tombstones are kept, so that delayed messages do not restore deleted rows.
const TOMBSTONE_RETENTION: u64 = 60 * SECOND;

/// Retention times run from when a host learns of a new era. If its table was last confirmed longer
/// ago than this, they run from that confirmation instead, so that rows are retained for a shorter
/// time or not at all: a host that was cut off for an hour must not bring back what was in force
/// before.
const RECENT_READ_AGE_MAX: u64 = 60 * SECOND;

/// Number of readers of a table whose clocks are remembered. Above it only the clock of the reader
/// that confirmed the table last is kept.
const READER_CLOCKS_MAX: usize = 4_096;

/// Time for which a read is usually passed on at most, in milliseconds. The first read of a reader
/// that is not older counts as just made, like those that define the reader's clock later.
const TRANSMISSION_MS_MAX: u64 = 1_000;

/// The tables of a view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Table {
    /// Configuration, evacuations and rollout orders.
    Rules,
    /// Backend servers.
    Servers,
    /// Progress of rollouts; read only while there are any.
    Rollouts,
}

impl Table {
    /// The table's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Table::Rules => "Rules",
            Table::Servers => "Servers",
            Table::Rollouts => "Rollouts",
        }
    }
}

/// All tables.
pub const TABLES: [Table; 3] = [Table::Rules, Table::Servers, Table::Rollouts];
/// Tables that each host has to know before it serves callers.
pub const REQUIRED_TABLES: [Table; 2] = [Table::Rules, Table::Servers];

/// Key of a row.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RowKey {
    /// The configuration.
    Configuration,
    /// The evacuation of a failure domain.
    Evacuation(String),
    /// A backend server, by its id.
    Server(String),
    /// The order to roll out a service.
    Rollout(String),
    /// The progress of a service's rollout.
    Progress(String),
}

impl RowKey {
    /// The table that contains the row.
    pub fn table(&self) -> Table {
        match self {
            RowKey::Configuration | RowKey::Evacuation(_) | RowKey::Rollout(_) => Table::Rules,
            RowKey::Progress(_) => Table::Rollouts,
            RowKey::Server(_) => Table::Servers,
        }
    }
}

impl RowKey {
    /// Hash of the key, equal on all hosts.
    fn hash(&self) -> u64 {
        hash::of(self.to_string())
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowKey::Configuration => write!(f, "configuration"),
            RowKey::Evacuation(domain) => write!(f, "evacuation of {domain}"),
            RowKey::Server(id) => write!(f, "server {id}"),
            RowKey::Rollout(service) => write!(f, "roll-out of {service}"),
            RowKey::Progress(service) => write!(f, "progress of {service}"),
        }
    }
}

/// Content of a row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RowContent {
    /// A configuration.
    Configuration(Configuration),
    /// An evacuation is requested.
    Evacuation,
    /// A backend server.
    Server(Server),
    /// An entry that cannot be parsed; no server is used under its key.
    Unreadable,
    /// An order to roll out a service.
    Rollout(RolloutOrder),
    /// The progress of a rollout.
    Progress(RolloutProgress),
}

impl RowContent {
    /// Number of a server's entry; `None` for other contents.
    pub fn entry_number(&self) -> Option<EntryNumber> {
        match self {
            RowContent::Server(server) => Some(server.entry_number()),
            _ => None,
        }
    }
}

/// A row as sent between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// The store's version of the row's last significant change.
    pub version: StoreVersion,
    /// The content; `None` for a tombstone.
    pub content: Option<RowContent>,
    /// Counters at which the row existed before its deletion; `None` if it exists or they are
    /// unknown.
    pub removed_counters: RemovedCounters,
    /// Number of the server's newest known entry, if the row has none itself, as it was deleted or
    /// cannot be parsed.
    pub last_entry: Option<EntryNumber>,
}

/// A row in force that is retained against the store's content, as sent between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RetainedRow {
    /// The row in force.
    pub row: Row,
    /// Time since the store's content is known to be an older entry of the server, in milliseconds;
    /// `None` if the row is retained from an earlier era.
    pub late_ms: Option<u64>,
}

/// The store's counters at which a row existed before its deletion: that of its last significant
/// change and that of its last write.
pub type RemovedCounters = Option<[u64; 2]>;

impl Row {
    /// Creates a row as the store has it, without counters of a deletion.
    pub fn new(key: RowKey, version: StoreVersion, content: Option<RowContent>) -> Row {
        Row { key, version, content, removed_counters: None, last_entry: None }
    }

    /// Number of the server's newest entry known with this row.
    pub fn entry_number(&self) -> Option<EntryNumber> {
        self.content.as_ref().and_then(RowContent::entry_number).or(self.last_entry)
    }
}

/// The store's tables as known to a host.
#[derive(Clone, Debug, Default)]
pub struct View {
    rows: BTreeMap<RowKey, StoredRow>,
    watermarks: [Watermark; 3],
    /// For each table, the clocks of the hosts that read it from the store, by
    /// [`StoreRead::reader`].
    reader_clocks: [HashMap<u64, ReaderClock>; 3],
    era: Era,
    retention: Retention,
    /// Whether any row may be retained against the store's contents; `false` saves a search.
    may_have_retained: bool,
    /// For each table, the version up to which it was known when this host moved it to its
    /// current era; `None` if it was unknown or there was no earlier era.
    era_bridges: [Option<StoreVersion>; 3],
    /// Cached digest of each table's keys; `None` after a change.
    key_digests: [Cell<Option<u32>>; 3],
}

/// Another host's clock, compared with this host's clock by the reads that arrive from it.
#[derive(Clone, Copy, Debug)]
struct ReaderClock {
    /// Time of the last known read by the reader's clock, in milliseconds.
    last_stamp_ms: u64,
    /// Smallest difference seen between this host's clock on arrival and the time of a read, in
    /// milliseconds, less the age that was stated with the first one: the clocks' offset plus the
    /// shortest transmission time.
    min_offset_ms: i64,
}

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
        let offset_ms = (now.0 / MILLI) as i64 - read.stamp_ms as i64;
        let first_age_ms = if age_ms < TRANSMISSION_MS_MAX { 0 } else { age_ms };
        let first_offset_ms = offset_ms.saturating_sub_unsigned(first_age_ms);
        let new = ReaderClock { last_stamp_ms: 0, min_offset_ms: first_offset_ms };
        let clock = self.reader_clocks[table as usize].entry(read.reader).or_insert(new);
        if clock.last_stamp_ms >= read.stamp_ms {
            return;
        }
        *clock = ReaderClock {
            last_stamp_ms: read.stamp_ms,
            min_offset_ms: clock.min_offset_ms.min(offset_ms),
        };
        let delay = offset_ms.abs_diff(clock.min_offset_ms).saturating_mul(MILLI);
        let confirmed_at = Time(now.0.saturating_sub(delay));
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

    /// Puts a row in force against the store's content.
    fn retain(&mut self, now: Time, row: Row, copy: StoreCopy) {
        let key = row.key.clone();
        let retained = StoredRow { store_copy: Some(copy), ..StoredRow::from_row(now, row) };
        self.key_digests[key.table() as usize].set(None);
        self.rows.insert(key, retained);
        self.may_have_retained = true;
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
        let existing =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.exists_in_store());
        let mut keys: Vec<u32> = existing.map(|(key, _)| key.hash() as u32).collect();
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
        let existing =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.exists_in_store());
        let unlisted =
            existing.filter(|(key, _)| keys.binary_search(&(key.hash() as u32)).is_err());
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
        let existing =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.exists_in_store());
        let unlisted = existing.filter(|(key, _)| present.binary_search(key).is_err());
        unlisted.map(|(key, _)| key.clone()).collect()
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

    /// Version of the earlier era up to which this host knew a table when it moved it to the
    /// store's era; `None` if it did not know it. A host still in that earlier era, and at most at
    /// this version, can be brought into the new era by [`View::changed_since`]; others need all
    /// rows.
    pub fn era_bridge(&self, table: Table) -> Option<StoreVersion> {
        self.era_bridges[table as usize]
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

    /// Whether a row is retained against the store's contents.
    pub fn is_retained(&self, key: &RowKey) -> bool {
        self.rows.get(key).is_some_and(|row| row.store_copy.is_some())
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

    /// Drops expired tombstones, raising the tombstone floor, and surplus reader clocks.
    pub fn expire_tombstones(&mut self, now: Time) {
        for (clocks, watermark) in self.reader_clocks.iter_mut().zip(&self.watermarks) {
            let reader = watermark.last_read.map(|last_read| last_read.reader);
            if clocks.len() > READER_CLOCKS_MAX {
                clocks.retain(|clock_reader, _| Some(*clock_reader) == reader);
            }
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
