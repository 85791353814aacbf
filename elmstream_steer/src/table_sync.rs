//! Exchange of table contents between hosts.

use elmstream::time::{MILLI, Time};
use serde::{Deserialize, Serialize};

use crate::{
    heartbeat::TableStatus,
    steer::{StateChange, Steer},
    version::StoreVersion,
    view::{RetainedRow, Row, Table},
};

/// Number of merged retention digests that are remembered; a restore of the store produces a few.
const MERGED_DIGESTS_MAX: usize = 256;

/// The part of a table that another host lacks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRows {
    /// How far the sender knows the table.
    pub status: TableStatus,
    /// Rows as the store has them.
    pub rows: Vec<Row>,
    /// Version up to which the requesting host knew the table.
    pub after: StoreVersion,
    /// Rows that are unchanged from an earlier era known to the requesting host: hashes of their
    /// keys, with the counters of their versions in the store's era.
    pub carried_over: Vec<(u64, u64)>,
    /// Whether the rows are all that the store has.
    pub is_full: bool,
    /// Lowest version from which all tombstones are among the rows or known to the requesting host.
    pub tombstone_floor: StoreVersion,
    /// Version up to which the sender lacks nothing.
    pub complete_to: StoreVersion,
    /// Sorted hashes of the keys that the store has; sent to a host that may lack tombstones from
    /// before the floor.
    pub keys: Option<Vec<u32>>,
    /// Version of an earlier era up to which a host must know the table for partial rows to be
    /// sufficient; `None` if there is no such version.
    pub era_bridge: Option<StoreVersion>,
    /// Rows that the sender retains against the store's contents.
    pub retained: Vec<RetainedRow>,
    /// The newest era known to the sender. The table may belong to an earlier one.
    pub era: EraNotice,
}

/// An era of the store as announced to other hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EraNotice {
    /// Number of the era.
    pub number: u64,
    /// The store's counter in the first read of the era known to the sender.
    pub first_count: u64,
    /// Time since the sender learned of the era, in milliseconds; `None` if it knows no earlier
    /// era.
    pub age_ms: Option<u64>,
}

/// How far a host knows a table, sent to request the rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SyncRequest {
    /// The table's version; the default version if the table is unknown.
    pub after: StoreVersion,
    /// Version up to which nothing is missing, including tombstones.
    pub complete_to: StoreVersion,
}

impl From<StoreVersion> for SyncRequest {
    fn from(after: StoreVersion) -> SyncRequest {
        SyncRequest { after, complete_to: after }
    }
}

impl Steer {
    /// Builds a request for what this host lacks of a table.
    pub fn sync_request(&self, table: Table) -> SyncRequest {
        let watermark = self.view.watermark(table);
        SyncRequest { after: watermark.version, complete_to: watermark.complete_version() }
    }

    /// Whether another host has something of a table that this one lacks.
    pub fn needs_sync(&self, table: Table, status: &TableStatus) -> bool {
        let watermark = self.view.watermark(table);
        if watermark.confirmed_at.is_none() || status.version > watermark.version {
            return true;
        }
        let same_era = status.version.era == watermark.version.era;
        same_era
            && (self.lacks_retained(table, status.retained_digest)
                || self.view.lacks_tombstones(table, status))
    }

    /// Builds the part of a table that the requesting host lacks.
    pub fn rows_for(&self, now: Time, table: Table, request: impl Into<SyncRequest>) -> TableRows {
        let (view, SyncRequest { after, complete_to }) = (&self.view, request.into());
        let (watermark, era_bridge, era) =
            (view.watermark(table), view.era_bridge(table), view.era());
        let version = watermark.version;
        let bridges_era = era_bridge.is_some_and(|known| known.era == after.era && after <= known);
        let is_full = after == StoreVersion::default() || after.era != version.era && !bridges_era;
        let lacks_tombstones =
            !is_full && after.era == version.era && complete_to < watermark.tombstone_floor;
        TableRows {
            tombstone_floor: watermark.tombstone_floor,
            complete_to: watermark.complete_version(),
            keys: lacks_tombstones.then(|| view.key_hashes(table)),
            status: self.table_statuses(now)[table as usize],
            rows: if is_full { view.all_rows(table) } else { view.changed_since(table, after) },
            carried_over: if is_full { Vec::new() } else { view.carried_over(table, after) },
            after,
            is_full,
            era_bridge,
            retained: view.retained(now, table),
            era: EraNotice {
                number: era.number,
                first_count: era.first_count,
                age_ms: era.known_since.map(|known_since| now.since(known_since) / MILLI),
            },
        }
    }

    /// Merges what another host sent of a table.
    ///
    /// Data is taken over from the same era or a later one, never from an earlier one.
    pub fn on_table_rows(
        &mut self,
        now: Time,
        table: Table,
        received: TableRows,
    ) -> Vec<StateChange> {
        let TableRows {
            status, rows, carried_over, after, is_full, era_bridge, retained, era, ..
        } = received;
        let watermark = self.view.watermark(table);
        let before = watermark.version;
        let Some(last_read) = status.last_read.filter(|_| status.version.era >= before.era) else {
            return Vec::new();
        };
        // This host may have learned more since it sent the request, or have entered the era by
        // another path.
        let crosses = status.version.era > before.era;
        let lacks_bridge = crosses && era_bridge.is_none_or(|era_bridge| before > era_bridge);
        if !is_full && (lacks_bridge || after.era != before.era) {
            return Vec::new();
        }
        let known_since = era.age_ms.map(|age| Time(now.0.saturating_sub(age * MILLI)));
        self.view.learn_era(era.number, era.first_count, known_since);
        let crossed = self.view.enter_era(now, table, status.version.era);
        let (rows, deleted) = self.view.split_deleted(rows);
        let rows = match (is_full, crossed, &received.keys) {
            (true, true, _) => {
                self.with_tombstones(table, StoreVersion::absent(status.version.era), rows)
            }
            (true, false, _) if watermark.confirmed_at.is_some() => {
                self.with_tombstones(table, received.tombstone_floor, rows)
            }
            (false, false, Some(keys)) => {
                let unlisted =
                    self.view.tombstones_for_unlisted(table, keys, received.tombstone_floor);
                rows.into_iter().chain(unlisted).collect()
            }
            _ => rows,
        };
        self.view.carry_over(table, status.version.era, &carried_over);
        let mut changes = self.apply_rows(now, table, rows);
        changes.extend(StateChange::rows_outdated(table, deleted));
        self.merge_retained_rows(now, retained, &mut changes);
        if self.merged_retained_digests.len() >= MERGED_DIGESTS_MAX {
            self.merged_retained_digests.clear();
        }
        self.merged_retained_digests.insert(status.retained_digest);
        self.view.confirm(now, table, status.version, (last_read, status.age_ms));
        if crossed || watermark.complete_version() < received.tombstone_floor {
            self.view.set_tombstone_floor(table, received.tombstone_floor);
        }
        self.view.mark_complete(table, received.complete_to);
        if crossed {
            changes.push(self.store_restored(now, table, before, &changes));
        }
        changes
    }

    /// Merges rows that another host retains.
    fn merge_retained_rows(
        &mut self,
        now: Time,
        retained: Vec<RetainedRow>,
        changes: &mut Vec<StateChange>,
    ) {
        for retained in retained {
            let key = retained.row.key.clone();
            if self.view.merge_retained(now, retained) {
                self.apply_row(now, &key, changes);
            }
        }
    }
}
