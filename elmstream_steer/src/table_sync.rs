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
    pub known: TableStatus,
    /// Rows as the store has them.
    pub rows: Vec<Row>,
    /// The version up to which the asker knew the table.
    pub after: StoreVersion,
    /// Rows that the asker has from an earlier era as the store has them in this one, by a
    /// hash of their keys, with the counters of their versions.
    pub carried: Vec<(u64, u64)>,
    /// Whether these are all that the store has.
    pub whole: bool,
    /// Removals since this version are among the rows, or known to the asker.
    pub floor: StoreVersion,
    /// Version up to which the teller knows all.
    pub complete: StoreVersion,
    /// Sorted hashes of the keys that the store has; told to an asker who may lack removals
    /// from before the floor.
    pub keys: Option<Vec<u32>>,
    /// Up to which version of an earlier era a host may know the table for these rows to be
    /// all that it lacks, if they are not the whole; none if none.
    pub bridge: Option<StoreVersion>,
    /// Rows in which an earlier era holds on against what the store says.
    pub held: Vec<Row>,
    /// The newest era that the teller knows of; the table may not be of it yet.
    pub era: EraNotice,
}

/// An era of the store as a host tells of it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EraNotice {
    /// Its number.
    pub number: u64,
    /// The store's counter in the first reading of it that the teller knows of.
    pub first: u64,
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
    pub complete: StoreVersion,
}

impl From<StoreVersion> for SyncRequest {
    fn from(after: StoreVersion) -> SyncRequest {
        SyncRequest { after, complete: after }
    }
}

impl Steer {
    /// How far this host knows a table when it asks for more.
    pub fn asks(&self, table: Table) -> SyncRequest {
        let mark = self.view.mark(table);
        SyncRequest { after: mark.version, complete: mark.complete() }
    }

    /// Whether another host has something of a table that this one lacks.
    pub fn wants(&self, table: Table, known: &TableStatus) -> bool {
        let mark = self.view.mark(table);
        if mark.fresh.is_none() || known.version > mark.version {
            return true;
        }
        let alike = known.version.era == mark.version.era;
        alike && (self.lacks_held(table, known.held) || self.view.lacks_removals(table, known))
    }

    /// What another host is told of a table that it knows up to a version.
    pub fn tell_rows(&self, now: Time, table: Table, asked: impl Into<SyncRequest>) -> TableRows {
        let (view, SyncRequest { after, complete }) = (&self.view, asked.into());
        let (full, bridge, era) = (view.mark(table), view.bridge(table), view.era());
        let mark = full.version;
        let bridged = bridge.is_some_and(|known| known.era == after.era && after <= known);
        let whole = after == StoreVersion::default() || after.era != mark.era && !bridged;
        let lacks = !whole && after.era == mark.era && complete < full.floor;
        TableRows {
            floor: full.floor,
            complete: full.complete(),
            keys: lacks.then(|| view.keys(table)),
            known: self.known()[table as usize],
            rows: if whole { view.whole(table) } else { view.since(table, after) },
            carried: if whole { Vec::new() } else { view.carried(table, after) },
            after,
            whole,
            bridge,
            held: view.held(table),
            era: EraNotice {
                number: era.number,
                first: era.first,
                age_ms: era.began.map(|began| now.since(began) / MILLI),
            },
        }
    }

    /// Takes in what another host told of a table.
    ///
    /// News go from an era of the store to a later one, never back.
    pub fn told(&mut self, now: Time, table: Table, told: TableRows) -> Vec<StateChange> {
        let TableRows { known, rows, carried, after, whole, bridge, held, era, .. } = told;
        let knew = self.view.mark(table);
        let before = knew.version;
        let Some(reading) = known.reading.filter(|_| known.version.era >= before.era) else {
            return Vec::new();
        };
        // The host may have come to know more since it asked, or the new era in another way.
        let crosses = known.version.era > before.era;
        let unbridged = crosses && bridge.is_none_or(|bridge| before > bridge);
        if !whole && (unbridged || after.era != before.era) {
            return Vec::new();
        }
        let began = era.age_ms.map(|age| Time(now.0.saturating_sub(age * MILLI)));
        self.view.learn_era(era.number, era.first, began);
        let crossed = self.view.enter(now, table, known.version.era);
        let rows = match (whole, crossed, &told.keys) {
            (true, true, _) => {
                self.with_absent(table, StoreVersion::absent(known.version.era), rows)
            }
            (true, false, _) if knew.fresh.is_some() => self.with_absent(table, told.floor, rows),
            (false, false, Some(keys)) => {
                let unlisted = self.view.unlisted(table, keys, told.floor);
                rows.into_iter().chain(unlisted).collect()
            }
            _ => rows,
        };
        self.view.carry(table, known.version.era, &carried);
        let mut changes = self.take(now, table, rows);
        self.hold_on(now, held, &mut changes);
        if self.held_taken.len() >= HELD_TAKEN {
            self.held_taken.clear();
        }
        self.held_taken.insert(known.held);
        self.view.confirm(now, table, known.version, reading);
        if crossed || knew.fresh.is_none() || told.keys.is_some() {
            let floor = if crossed { told.floor } else { told.floor.max(knew.floor) };
            self.view.begin(table, floor);
        }
        self.view.complete(table, told.complete);
        if crossed {
            changes.push(self.returned(now, table, before, &changes));
        }
        changes
    }

    /// Takes in what holds on at another host.
    fn hold_on(&mut self, now: Time, held: Vec<Row>, changes: &mut Vec<StateChange>) {
        for row in held {
            let key = row.key.clone();
            if self.view.merge_earlier(now, row) {
                self.apply(now, &key, changes);
            }
        }
    }
}
