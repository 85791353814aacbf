//! What the store says, as rows that can be merged in any order.
//!
//! Each row carries the store's version of its last change that matters; the
//! higher version wins, and a removal is a row too. So any host can pass on what
//! it knows, and the order of messages does not matter. Rules (configuration and
//! evacuations) and servers are two tables, each complete up to its own version.
//! Over eras of the store, `era` says what holds on; then a row has both.

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
    model::{Configuration, Server},
    rollout::{RolloutOrder, RolloutProgress},
    stored_row::{Effect, StoreCopy, StoredRow},
    version::StoreVersion,
};

/// How long removals are remembered, so that late news brings nothing back.
const REMOVED_KEEP: u64 = 60 * SECOND;

/// What was read longer ago than this counts as known from then on only: it holds on against
/// a new era no longer than if that had begun then. A host that was cut off for an hour
/// must not bring back what was in force before.
const RECENT: u64 = 60 * SECOND;

/// Starts of hosts whose last reading is remembered.
const READERS_KEEP: usize = 4_096;

/// The tables of a view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Table {
    /// Configuration and evacuations.
    Rules,
    /// Backend servers.
    Servers,
    /// How far roll-outs have come; read only while there are any.
    Rollouts,
}

/// All tables.
pub const TABLES: [Table; 3] = [Table::Rules, Table::Servers, Table::Rollouts];
/// Tables that each host has to know.
pub const REQUIRED_TABLES: [Table; 2] = [Table::Rules, Table::Servers];

/// Names a row.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RowKey {
    /// The configuration.
    Configuration,
    /// The evacuation of a failure domain.
    Evacuation(String),
    /// A start of a backend server, by its id.
    Server(String),
    /// The order to roll out a service.
    Rollout(String),
    /// How far that has come.
    Progress(String),
}

impl RowKey {
    /// The table that the row is in.
    pub fn table(&self) -> Table {
        match self {
            RowKey::Configuration | RowKey::Evacuation(_) | RowKey::Rollout(_) => Table::Rules,
            RowKey::Progress(_) => Table::Rollouts,
            RowKey::Server(_) => Table::Servers,
        }
    }
}

impl RowKey {
    /// A hash that is alike on all hosts.
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
    /// An evacuation is asked for.
    Evacuation,
    /// A backend server.
    Server(Server),
    /// What stands there cannot be read, so it names no server to use.
    Unreadable,
    /// An order to roll out a service.
    Rollout(RolloutOrder),
    /// How far that has come.
    Progress(RolloutProgress),
}

/// A row as it travels between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Names the row.
    pub key: RowKey,
    /// The store's version of the last change that matters.
    pub version: StoreVersion,
    /// The content; none if the row was removed.
    pub content: Option<RowContent>,
    /// The counters at which it was there before, if it was removed and they are known.
    pub removed_counters: RemovedCounters,
}

/// The store's counters at which a row was there before it was removed: of its last change
/// that matters, and of when it was last written.
pub type RemovedCounters = Option<[u64; 2]>;

impl Row {
    /// A row as the store has it.
    pub fn new(key: RowKey, version: StoreVersion, item: Option<RowContent>) -> Row {
        Row { key, version, content: item, removed_counters: None }
    }
}

/// What a host knows of the store's tables.
#[derive(Clone, Debug, Default)]
pub struct View {
    rows: BTreeMap<RowKey, StoredRow>,
    watermarks: [Watermark; 3],
    /// Readings of each host that are known of.
    seen: [HashMap<u64, ReaderClock>; 3],
    era: Era,
    retention: Retention,
    /// Whether any row may hold on against what the store says.
    holding: bool,
    /// Versions up to which each table was known when the era began here; none if nothing
    /// was.
    era_bridges: [Option<StoreVersion>; 3],
    /// Digests of the keys of each table; none if they have changed since.
    digests: [Cell<Option<u32>>; 3],
}

/// Readings of one host.
#[derive(Clone, Copy, Debug)]
struct ReaderClock {
    /// The last one that is known of, by that host's clock, in milliseconds.
    stamp: u64,
    /// Least time by which one seemed to be older here than by that host's clock, in
    /// milliseconds: the difference of the clocks, and the shortest way here.
    least: i64,
}

/// How far a table is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watermark {
    /// Version up to which all changes that matter are known; 0 for nothing.
    pub version: StoreVersion,
    /// When the store was last known to say just this.
    pub confirmed_at: Option<Time>,
    /// The reading that this rests on.
    pub last_read: Option<StoreRead>,
    /// Removals since this version are known. A first whole reading shows nothing of what
    /// went before it, so what is told from before this version on lacks removals.
    pub tombstone_floor: StoreVersion,
    /// Version up to which nothing is missing, removals too; the table's own may be lower,
    /// as the store's counter rises with what does not matter.
    pub complete_to: StoreVersion,
}

impl Watermark {
    /// Version up to which nothing is missing, by what was read and what was told.
    pub fn complete_version(&self) -> StoreVersion {
        self.complete_to.max(self.version)
    }
}

impl View {
    /// How far a table is known.
    pub fn watermark(&self, table: Table) -> Watermark {
        self.watermarks[table as usize]
    }

    /// Age of what is known of a table, in microseconds; none if nothing is known.
    pub fn age(&self, now: Time, table: Table) -> Option<u64> {
        self.watermark(table).confirmed_at.map(|fresh| now.since(fresh))
    }

    /// A reading showed that the table is current up to `version`.
    ///
    /// A reading that is not later than one of the same host says nothing new. One that
    /// took longer on its way than others of that host counts as that much older, so that
    /// a reader's last reading is not taken for a fresh one when it comes late.
    pub fn confirm(&mut self, now: Time, table: Table, version: StoreVersion, reading: StoreRead) {
        let mark = &mut self.watermarks[table as usize];
        mark.version = mark.version.max(version);
        let seems = (now.0 / MILLI) as i64 - reading.stamp_ms as i64;
        let new = ReaderClock { stamp: 0, least: seems };
        let seen = self.seen[table as usize].entry(reading.reader).or_insert(new);
        if seen.stamp >= reading.stamp_ms {
            return;
        }
        *seen = ReaderClock { stamp: reading.stamp_ms, least: seen.least.min(seems) };
        let late = (seems - seen.least) as u64 * MILLI;
        let fresh = Time(now.0.saturating_sub(late));
        if mark.confirmed_at.is_none_or(|known| fresh > known) {
            mark.confirmed_at = Some(fresh);
            mark.last_read = Some(reading);
        }
    }

    /// The store's era, as far as it is known here.
    pub fn era(&self) -> Era {
        self.era
    }

    /// How long what an earlier era said holds on, in place of the usual.
    pub fn set_retention(&mut self, holds: Retention) {
        self.retention = holds;
    }

    /// The store has an era, in whose first reading its counter was `first_count`, and which
    /// has been known of since `known_since`.
    pub fn learn_era(&mut self, number: u64, first_count: u64, known_since: Option<Time>) {
        if number > self.era.number {
            self.era = Era { number, first_count, known_since };
            // What the era before said and was not in force is gone with it.
            self.rows.values_mut().for_each(|row| row.store_copy = None);
            self.digests.iter().for_each(|digest| digest.set(None));
        } else if number == self.era.number {
            self.era.first_count = self.era.first_count.min(first_count);
            self.era.known_since = self.era.known_since.into_iter().chain(known_since).min();
        }
    }

    /// A table is known from an era from now on; whether it was known from an earlier one.
    pub fn enter_era(&mut self, now: Time, table: Table, number: u64) -> bool {
        let place = table as usize;
        let mark = self.watermarks[place];
        if number <= mark.version.era {
            return false;
        }
        if let Some(read) = mark.confirmed_at {
            // A host that starts may know one table of the new era first, and the other one
            // from a host that does not know of it.
            let began = if now.since(read) < RECENT { now } else { read };
            self.era.known_since.get_or_insert(began);
        }
        self.era_bridges[place] = mark.confirmed_at.map(|_| mark.version);
        self.watermarks[place].version = StoreVersion::absent(number);
        self.digests[place].set(None);
        mark.confirmed_at.is_some()
    }

    /// Takes a row in; whether it changed what is in force.
    pub fn merge(&mut self, now: Time, row: Row) -> bool {
        let (place, version) = (row.key.table() as usize, row.version);
        let effect = match self.rows.get_mut(&row.key) {
            Some(known) => known.merge(now, &row, &self.era, &self.retention),
            None => {
                // A removal of what was never known still has to outlive late news.
                let effect = row.content.as_ref().map_or(Effect::Nothing, |_| Effect::Changed);
                let mut kept = StoredRow::new(now, version, row.content);
                kept.removed_counters = row.removed_counters;
                self.rows.insert(row.key, kept);
                effect
            }
        };
        self.holding |= effect == Effect::Recorded;
        if effect != Effect::Nothing {
            self.digests[place].set(None);
            let mark = &mut self.watermarks[place];
            mark.version = mark.version.max(version);
        }
        effect == Effect::Changed
    }

    /// Takes in what another host has in force from an earlier era; whether it changed what
    /// is in force here.
    pub fn merge_retained(&mut self, now: Time, row: Row) -> bool {
        if row.version.era >= self.era.number {
            return false;
        }
        // A host that has just started goes by the others, who hold on to it.
        self.era.known_since.get_or_insert(now);
        let era = self.era;
        let lacking = || StoredRow::new(now, StoreVersion::absent(era.number), None);
        let known = self.rows.get(&row.key).cloned().unwrap_or_else(lacking);
        // A host that was behind in the earlier era may hold on to what had changed since.
        let behind =
            |carried: StoreVersion| carried.era == row.version.era && carried >= row.version;
        let later = known.carried_from.is_some_and(behind);
        if later
            || same_content(known.content.as_ref(), row.content.as_ref())
            || known.outranks(&row)
        {
            return false;
        }
        let (version, item) = known.as_stored(era.number);
        let earlier = EarlierRow {
            key: &row.key,
            content: row.content.as_ref(),
            removed_counters: row.removed_counters,
        };
        let until = era.retained_until(&self.retention, earlier, (version, item.as_ref()));
        if until.is_none_or(|until| now >= until) {
            return false;
        }
        let mut kept = StoredRow::new(now, row.version, row.content);
        kept.removed_counters = row.removed_counters;
        kept.store_copy = Some(StoreCopy { version, content: item });
        self.digests[row.key.table() as usize].set(None);
        self.rows.insert(row.key, kept);
        self.holding = true;
        true
    }

    /// Ends what has held on for long enough against what the store says; the rows in which
    /// that changed what is in force.
    pub fn end_retention(&mut self, now: Time) -> Vec<RowKey> {
        let (era, holds) = (self.era, self.retention);
        let mut ended = Vec::new();
        if !std::mem::take(&mut self.holding) {
            return ended;
        }
        for (key, row) in &mut self.rows {
            let Some(copy) = &row.store_copy else { continue };
            let said = (copy.version, copy.content.as_ref());
            let until = era.retained_until(&holds, row.as_earlier(key), said);
            if until.is_none_or(|until| now >= until) {
                *row = StoredRow::new(now, copy.version, copy.content.clone());
                self.digests[key.table() as usize].set(None);
                ended.push(key.clone());
            } else {
                self.holding = true;
            }
        }
        ended
    }

    /// Rows of a table in which an earlier era holds on against what the store says, as
    /// they are in force.
    pub fn retained(&self, table: Table) -> Vec<Row> {
        let rows =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.store_copy.is_some());
        rows.map(|(key, row)| row.in_force(key)).collect()
    }

    /// Number of such rows in all tables, for metrics.
    pub fn retained_count(&self) -> usize {
        self.rows.values().filter(|row| row.store_copy.is_some()).count()
    }

    /// Tells such rows of a table from others; 0 if there are none.
    pub fn retained_digest(&self, table: Table) -> u32 {
        if !self.holding {
            return 0;
        }
        let rows =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.store_copy.is_some());
        let each = rows.map(|(key, row)| hash::combine(key.hash(), row.version.count));
        each.fold(0, |sum, hash| sum ^ hash as u32)
    }

    /// The first whole reading of a table, or of an era of it, was of this version: what went
    /// before it is not known here.
    pub fn set_tombstone_floor(&mut self, table: Table, version: StoreVersion) {
        self.watermarks[table as usize].tombstone_floor = version;
    }

    /// Nothing is missing of a table up to a version.
    pub fn mark_complete(&mut self, table: Table, version: StoreVersion) {
        let mark = &mut self.watermarks[table as usize];
        mark.complete_to = mark.complete_to.max(version);
    }

    /// Tells the keys that the store has in a table, as far as is known, from others.
    pub fn keys_digest(&self, table: Table) -> u32 {
        let digest = &self.digests[table as usize];
        let known = digest.get();
        let all = || self.key_hashes(table).into_iter().fold(0, |sum, key| sum ^ key);
        let sum = known.unwrap_or_else(all);
        digest.set(Some(sum));
        sum
    }

    /// Hashes of the keys that the store has in a table, as far as is known, sorted.
    pub fn key_hashes(&self, table: Table) -> Vec<u32> {
        let there =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.exists_in_store());
        let mut keys: Vec<u32> = there.map(|(key, _)| key.hash() as u32).collect();
        keys.sort_unstable();
        keys
    }

    /// Removals of what is not among the keys that the store had at a version, by their sorted
    /// hashes.
    pub fn tombstones_for_unlisted(
        &self,
        table: Table,
        keys: &[u32],
        version: StoreVersion,
    ) -> Vec<Row> {
        let there =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.exists_in_store());
        let gone = there.filter(|(key, _)| keys.binary_search(&(key.hash() as u32)).is_err());
        gone.map(|(key, _)| Row::new(key.clone(), version, None)).collect()
    }

    /// Another host knows a table up to the same version. If it knows the same keys, nothing
    /// that it knows to be gone is missing here.
    pub fn confirm_keys(&mut self, table: Table, known: &TableStatus) {
        let mark = self.watermark(table);
        let above = known.tombstone_floor.era == mark.version.era
            && known.tombstone_floor > mark.complete_version();
        if above && known.keys_digest == self.keys_digest(table) {
            self.mark_complete(table, known.tombstone_floor);
        }
    }

    /// Whether another host knows a removal that is missing here, though it knows the table
    /// up to the same version.
    pub fn lacks_tombstones(&self, table: Table, known: &TableStatus) -> bool {
        let mark = self.watermark(table);
        let alike = known.version == mark.version && known.tombstone_floor.era == mark.version.era;
        alike
            && known.tombstone_floor > mark.complete_version()
            && known.keys_digest != self.keys_digest(table)
    }

    /// Keys of a table that the store has, as far as is known, but not in `present`, which
    /// is sorted.
    pub fn unlisted_keys(&self, table: Table, present: &[RowKey]) -> Vec<RowKey> {
        let there =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.exists_in_store());
        let gone = there.filter(|(key, _)| present.binary_search(key).is_err());
        gone.map(|(key, _)| key.clone()).collect()
    }

    /// Rows of a table that changed after a version, removals too, as the store has them.
    pub fn changed_since(&self, table: Table, version: StoreVersion) -> Vec<Row> {
        let new = |row: &StoredRow| !row.is_known_at(version);
        let rows = self.rows.iter().filter(|(key, row)| key.table() == table && new(row));
        let rows = rows.map(|(key, row)| row.to_stored_row(key));
        rows.filter(|row| row.version > version).collect()
    }

    /// Rows that [`View::changed_since`] leaves out, as a host that knew the table up to a
    /// version of an earlier era has them as the store has them: a hash of the key, and the
    /// counter of the store's version in its era.
    pub fn carried_over(&self, table: Table, version: StoreVersion) -> Vec<(u64, u64)> {
        let rows = self.rows.iter().filter(|(key, _)| key.table() == table);
        let known = rows.filter(|(_, row)| row.is_known_at(version));
        known.map(|(key, row)| (key.hash(), row.version.count)).collect()
    }

    /// Takes in that the store has some rows of a table in an era as they are known from an
    /// earlier one.
    pub fn carry_over(&mut self, table: Table, era: u64, carried: &[(u64, u64)]) {
        let counts: HashMap<u64, u64> = carried.iter().copied().collect();
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

    /// Up to which version of an earlier era a host may know a table for
    /// [`View::changed_since`] to tell it all that the store's era has; none if that is not
    /// known here.
    pub fn era_bridge(&self, table: Table) -> Option<StoreVersion> {
        self.era_bridges[table as usize]
    }

    /// All rows of a table as the store has them, with versions of its era.
    pub fn all_rows(&self, table: Table) -> Vec<Row> {
        let mark = self.watermarks[table as usize].version;
        let rows = self.rows.iter().filter(|(key, _)| key.table() == table);
        let rows = rows.map(|(key, row)| {
            let (version, item) = row.as_stored(mark.era);
            let counts = row.removed_counters.filter(|_| row.store_copy.is_none());
            Row { removed_counters: counts, ..Row::new(key.clone(), version.min(mark), item) }
        });
        rows.collect()
    }

    /// All rows that are there.
    pub fn contents(&self) -> impl Iterator<Item = (&RowKey, &RowContent)> {
        self.rows.iter().filter_map(|(key, row)| Some((key, row.content.as_ref()?)))
    }

    /// Version of a row's last change that matters; none if the row is not known.
    pub fn row_version(&self, key: &RowKey) -> Option<StoreVersion> {
        Some(self.rows.get(key)?.version)
    }

    /// The store's counter for a row as it has it; 0 if it is not there.
    pub fn store_count(&self, key: &RowKey) -> u64 {
        let there = self.rows.get(key).filter(|row| row.exists_in_store());
        there.map_or(0, |row| row.as_stored(self.era.number).0.count)
    }

    /// Whether a row holds on from an earlier era against what the store says.
    pub fn is_retained(&self, key: &RowKey) -> bool {
        self.rows.get(key).is_some_and(|row| row.store_copy.is_some())
    }

    /// The content of a row, if it is there.
    pub fn get(&self, key: &RowKey) -> Option<&RowContent> {
        self.rows.get(key)?.content.as_ref()
    }

    /// The configuration, if one is known.
    pub fn configuration(&self) -> Option<&Configuration> {
        match self.get(&RowKey::Configuration)? {
            RowContent::Configuration(configuration) => Some(configuration),
            _ => None,
        }
    }

    /// Forgets removals that are long past.
    pub fn expire_tombstones(&mut self, now: Time) {
        for (seen, mark) in self.seen.iter_mut().zip(&self.watermarks) {
            let reader = mark.last_read.map(|reading| reading.reader);
            if seen.len() > READERS_KEEP {
                seen.retain(|known, _| Some(*known) == reader);
            }
        }
        let marks = &mut self.watermarks;
        self.rows.retain(|key, row| {
            let keep = row.content.is_some()
                || row.store_copy.is_some()
                || now.since(row.changed_at) < REMOVED_KEEP;
            let mark = &mut marks[key.table() as usize];
            if !keep && row.version.era == mark.version.era {
                mark.tombstone_floor = mark.tombstone_floor.max(row.version);
            }
            keep
        });
    }
}
