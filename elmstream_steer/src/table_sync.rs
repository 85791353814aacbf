//! What one host tells another of a table of the store.

use elmstream::time::{MILLI, Time};
use serde::{Deserialize, Serialize};

use crate::{
    heartbeat::TableStatus,
    steer::{StateChange, Steer},
    version::StoreVersion,
    view::{Row, Table},
};

/// Names of what holds on that are remembered to have been taken in; a return of the store
/// brings a few.
const HELD_TAKEN: usize = 256;

/// What a host knows of a table beyond a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRows {
    /// How far the teller knows the table.
    pub status: TableStatus,
    /// Rows as the store has them.
    pub rows: Vec<Row>,
    /// The version up to which the asker knew the table.
    pub after: StoreVersion,
    /// Rows that the asker has from an earlier era as the store has them in this one, by a
    /// hash of their keys, with the counters of their versions.
    pub carried_over: Vec<(u64, u64)>,
    /// Whether these are all that the store has.
    pub is_full: bool,
    /// Removals since this version are among the rows, or known to the asker.
    pub tombstone_floor: StoreVersion,
    /// Version up to which the teller knows all.
    pub complete_to: StoreVersion,
    /// Sorted hashes of the keys that the store has; told to an asker who may lack removals
    /// from before the floor.
    pub keys: Option<Vec<u32>>,
    /// Up to which version of an earlier era a host may know the table for these rows to be
    /// all that it lacks, if they are not the whole; none if none.
    pub era_bridge: Option<StoreVersion>,
    /// Rows in which an earlier era holds on against what the store says.
    pub retained: Vec<Row>,
    /// The newest era that the teller knows of; the table may not be of it yet.
    pub era: EraNotice,
}

/// An era of the store as a host tells of it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EraNotice {
    /// Its number.
    pub number: u64,
    /// The store's counter in the first reading of it that the teller knows of.
    pub first_count: u64,
    /// Time since the teller first knew of it, in milliseconds; none if it knows of no
    /// earlier one.
    pub age_ms: Option<u64>,
}

/// How far a host knows a table when it asks another one for more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SyncRequest {
    /// The table's version; 0 if it knows nothing.
    pub after: StoreVersion,
    /// Version up to which it lacks nothing, removals too.
    pub complete_to: StoreVersion,
}

impl From<StoreVersion> for SyncRequest {
    fn from(after: StoreVersion) -> SyncRequest {
        SyncRequest { after, complete_to: after }
    }
}

impl Steer {
    /// How far this host knows a table when it asks for more.
    pub fn sync_request(&self, table: Table) -> SyncRequest {
        let mark = self.view.watermark(table);
        SyncRequest { after: mark.version, complete_to: mark.complete_version() }
    }

    /// Whether another host has something of a table that this one lacks.
    pub fn needs_sync(&self, table: Table, known: &TableStatus) -> bool {
        let mark = self.view.watermark(table);
        if mark.confirmed_at.is_none() || known.version > mark.version {
            return true;
        }
        let alike = known.version.era == mark.version.era;
        alike
            && (self.lacks_retained(table, known.retained_digest)
                || self.view.lacks_tombstones(table, known))
    }

    /// What another host is told of a table that it knows up to a version.
    pub fn rows_for(&self, now: Time, table: Table, asked: impl Into<SyncRequest>) -> TableRows {
        let (view, SyncRequest { after, complete_to }) = (&self.view, asked.into());
        let (full, era_bridge, era) = (view.watermark(table), view.era_bridge(table), view.era());
        let mark = full.version;
        let bridged = era_bridge.is_some_and(|known| known.era == after.era && after <= known);
        let is_full = after == StoreVersion::default() || after.era != mark.era && !bridged;
        let lacks = !is_full && after.era == mark.era && complete_to < full.tombstone_floor;
        TableRows {
            tombstone_floor: full.tombstone_floor,
            complete_to: full.complete_version(),
            keys: lacks.then(|| view.key_hashes(table)),
            status: self.table_statuses()[table as usize],
            rows: if is_full { view.all_rows(table) } else { view.changed_since(table, after) },
            carried_over: if is_full { Vec::new() } else { view.carried_over(table, after) },
            after,
            is_full,
            era_bridge,
            retained: view.retained(table),
            era: EraNotice {
                number: era.number,
                first_count: era.first_count,
                age_ms: era.known_since.map(|began| now.since(began) / MILLI),
            },
        }
    }

    /// Takes in what another host told of a table.
    ///
    /// News go from an era of the store to a later one, never back.
    pub fn on_table_rows(&mut self, now: Time, table: Table, told: TableRows) -> Vec<StateChange> {
        let TableRows {
            status, rows, carried_over, after, is_full, era_bridge, retained, era, ..
        } = told;
        let knew = self.view.watermark(table);
        let before = knew.version;
        let Some(reading) = status.last_read.filter(|_| status.version.era >= before.era) else {
            return Vec::new();
        };
        // The host may have come to know more since it asked, or the new era in another way.
        let crosses = status.version.era > before.era;
        let unbridged = crosses && era_bridge.is_none_or(|era_bridge| before > era_bridge);
        if !is_full && (unbridged || after.era != before.era) {
            return Vec::new();
        }
        let began = era.age_ms.map(|age| Time(now.0.saturating_sub(age * MILLI)));
        self.view.learn_era(era.number, era.first_count, began);
        let crossed = self.view.enter_era(now, table, status.version.era);
        let rows = match (is_full, crossed, &told.keys) {
            (true, true, _) => {
                self.with_tombstones(table, StoreVersion::absent(status.version.era), rows)
            }
            (true, false, _) if knew.confirmed_at.is_some() => {
                self.with_tombstones(table, told.tombstone_floor, rows)
            }
            (false, false, Some(keys)) => {
                let unlisted = self.view.tombstones_for_unlisted(table, keys, told.tombstone_floor);
                rows.into_iter().chain(unlisted).collect()
            }
            _ => rows,
        };
        self.view.carry_over(table, status.version.era, &carried_over);
        let mut changes = self.apply_rows(now, table, rows);
        self.hold_on(now, retained, &mut changes);
        if self.merged_retained_digests.len() >= HELD_TAKEN {
            self.merged_retained_digests.clear();
        }
        self.merged_retained_digests.insert(status.retained_digest);
        self.view.confirm(now, table, status.version, reading);
        if crossed || knew.confirmed_at.is_none() || told.keys.is_some() {
            let floor = if crossed {
                told.tombstone_floor
            } else {
                told.tombstone_floor.max(knew.tombstone_floor)
            };
            self.view.set_tombstone_floor(table, floor);
        }
        self.view.mark_complete(table, told.complete_to);
        if crossed {
            changes.push(self.store_restored(now, table, before, &changes));
        }
        changes
    }

    /// Takes in what holds on at another host.
    fn hold_on(&mut self, now: Time, held: Vec<Row>, changes: &mut Vec<StateChange>) {
        for row in held {
            let key = row.key.clone();
            if self.view.merge_retained(now, row) {
                self.apply_row(now, &key, changes);
            }
        }
    }
}
