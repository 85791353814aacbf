//! What the store says, as rows that can be merged in any order.
//!
//! Each row carries the store's version of its last change that matters; the
//! higher version wins, and a removal is a row too. So any host can pass on what
//! it knows, and the order of messages does not matter. Rules (configuration and
//! evacuations) and servers are two tables, each complete up to its own version.

use std::collections::{BTreeMap, HashMap};

use elmstream::time::{MILLI, SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::{
    beat::Reading,
    model::{Configuration, Server},
};

/// How long removals are remembered, so that late news brings nothing back.
const REMOVED_KEEP: u64 = 60 * SECOND;

/// Starts of hosts whose last reading is remembered.
const READERS_KEEP: usize = 4_096;

/// The two tables of a view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Table {
    /// Configuration and evacuations.
    Rules,
    /// Backend servers.
    Servers,
}

/// Both tables.
pub const TABLES: [Table; 2] = [Table::Rules, Table::Servers];

/// Names a row.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The configuration.
    Configuration,
    /// The evacuation of a failure domain.
    Evacuation(String),
    /// A start of a backend server, by its id.
    Server(String),
}

impl Key {
    /// The table that the row is in.
    pub fn table(&self) -> Table {
        match self {
            Key::Configuration | Key::Evacuation(_) => Table::Rules,
            Key::Server(_) => Table::Servers,
        }
    }
}

/// Content of a row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Item {
    /// A configuration.
    Configuration(Configuration),
    /// An evacuation is asked for.
    Evacuation,
    /// A backend server.
    Server(Server),
    /// What stands there cannot be read, so it names no server to use.
    Unreadable,
}

/// A row as it travels between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Names the row.
    pub key: Key,
    /// The store's version of the last change that matters.
    pub version: u64,
    /// The content; none if the row was removed.
    pub item: Option<Item>,
}

/// A row of the view and when it came.
#[derive(Clone, Debug)]
struct Kept {
    /// Version of the last change that matters.
    version: u64,
    /// Newest version that was seen.
    seen: u64,
    item: Option<Item>,
    at: Time,
}

/// What a host knows of the store's tables.
#[derive(Clone, Debug, Default)]
pub struct View {
    rows: BTreeMap<Key, Kept>,
    marks: [Mark; 2],
    /// Readings of each host that are known of.
    seen: [HashMap<u64, Seen>; 2],
}

/// Readings of one host.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// The last one that is known of, by that host's clock, in milliseconds.
    stamp: u64,
    /// Least time by which one seemed to be older here than by that host's clock, in
    /// milliseconds: the difference of the clocks, and the shortest way here.
    least: i64,
}

/// How far a table is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mark {
    /// Version up to which all changes that matter are known; 0 for nothing.
    pub version: u64,
    /// When the store was last known to say just this.
    pub fresh: Option<Time>,
    /// The reading that this rests on.
    pub reading: Option<Reading>,
}

impl View {
    /// How far a table is known.
    pub fn mark(&self, table: Table) -> Mark {
        self.marks[table as usize]
    }

    /// Age of what is known of a table, in microseconds; none if nothing is known.
    pub fn age(&self, now: Time, table: Table) -> Option<u64> {
        self.mark(table).fresh.map(|fresh| now.since(fresh))
    }

    /// A reading showed that the table is current up to `version`.
    ///
    /// A reading that is not later than one of the same host says nothing new. One that
    /// took longer on its way than others of that host counts as that much older, so that
    /// a reader's last reading is not taken for a fresh one when it comes late.
    pub fn confirm(&mut self, now: Time, table: Table, version: u64, reading: Reading) {
        let mark = &mut self.marks[table as usize];
        mark.version = mark.version.max(version);
        let seems = (now.0 / MILLI) as i64 - reading.stamp as i64;
        let new = Seen { stamp: 0, least: seems };
        let seen = self.seen[table as usize].entry(reading.reader).or_insert(new);
        if seen.stamp >= reading.stamp {
            return;
        }
        *seen = Seen { stamp: reading.stamp, least: seen.least.min(seems) };
        let late = (seems - seen.least) as u64 * MILLI;
        let fresh = Time(now.0.saturating_sub(late));
        if mark.fresh.is_none_or(|known| fresh > known) {
            mark.fresh = Some(fresh);
            mark.reading = Some(reading);
        }
    }

    /// Takes a row in; whether it changed what is known.
    pub fn merge(&mut self, now: Time, row: Row) -> bool {
        if let Some(known) = self.rows.get_mut(&row.key) {
            if known.seen >= row.version || goes_back(known, &row) {
                return false;
            }
            known.seen = row.version;
            if same(known.item.as_ref(), row.item.as_ref()) {
                return false;
            }
        } else if row.item.is_none() {
            // A removal of what was never known still has to outlive late news.
            let kept = Kept { version: row.version, seen: row.version, item: None, at: now };
            self.rows.insert(row.key, kept);
            return false;
        }
        let mark = &mut self.marks[row.key.table() as usize];
        mark.version = mark.version.max(row.version);
        let kept = Kept { version: row.version, seen: row.version, item: row.item, at: now };
        self.rows.insert(row.key, kept);
        true
    }

    /// Keys of a table that are there but not in `present`, which is sorted.
    pub fn missing(&self, table: Table, present: &[Key]) -> Vec<Key> {
        let there =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.item.is_some());
        let gone = there.filter(|(key, _)| present.binary_search(key).is_err());
        gone.map(|(key, _)| key.clone()).collect()
    }

    /// Rows of a table that changed after a version, removals too.
    pub fn since(&self, table: Table, version: u64) -> Vec<Row> {
        let rows =
            self.rows.iter().filter(|(key, row)| key.table() == table && row.version > version);
        rows.map(|(key, row)| Row {
            key: key.clone(),
            version: row.version,
            item: row.item.clone(),
        })
        .collect()
    }

    /// All rows that are there.
    pub fn items(&self) -> impl Iterator<Item = (&Key, &Item)> {
        self.rows.iter().filter_map(|(key, row)| Some((key, row.item.as_ref()?)))
    }

    /// The content of a row, if it is there.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.rows.get(key)?.item.as_ref()
    }

    /// The configuration, if one is known.
    pub fn configuration(&self) -> Option<&Configuration> {
        match self.get(&Key::Configuration)? {
            Item::Configuration(configuration) => Some(configuration),
            _ => None,
        }
    }

    /// Forgets removals that are long past.
    pub fn forget(&mut self, now: Time) {
        for (seen, mark) in self.seen.iter_mut().zip(&self.marks) {
            let reader = mark.reading.map(|reading| reading.reader);
            if seen.len() > READERS_KEEP {
                seen.retain(|known, _| Some(*known) == reader);
            }
        }
        self.rows.retain(|_, row| row.item.is_some() || now.since(row.at) < REMOVED_KEEP);
    }
}

/// Whether a row would take the configuration back or away.
fn goes_back(known: &Kept, row: &Row) -> bool {
    let Some(Item::Configuration(known)) = &known.item else { return false };
    match &row.item {
        Some(Item::Configuration(new)) => new.version <= known.version,
        _ => true,
    }
}

/// Whether two contents mean the same; a server that is cold counts as changed.
fn same(known: Option<&Item>, new: Option<&Item>) -> bool {
    match (known, new) {
        (Some(Item::Server(_)), Some(Item::Server(new))) if new.cold_ms > 0 => false,
        _ => known == new,
    }
}
