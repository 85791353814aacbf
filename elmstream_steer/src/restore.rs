//! What becomes of a host's decisions when the store has come back from a copy.

use elmstream::time::{MILLI, Time};

use crate::{
    steer::{StateChange, Steer, StoreRestored},
    version::StoreVersion,
    view::{RowKey, Table},
};

/// Servers that the store drops within this time after it was away may come back.
pub(crate) const OUTAGE_GRACE: u64 = 2_500 * MILLI;

impl Steer {
    /// The store's era, as far as it is known here.
    pub fn era(&self) -> u64 {
        self.view.era().number
    }

    /// Whether a host holds on to something from an earlier era that this one was not told.
    pub fn lacks_retained(&self, table: Table, held: u32) -> bool {
        held != 0
            && held != self.view.retained_digest(table)
            && !self.merged_retained_digests.contains(&held)
    }

    /// What becomes of a table that was known from an earlier era of the store.
    pub(crate) fn store_restored(
        &mut self,
        now: Time,
        table: Table,
        before: StoreVersion,
        changes: &[StateChange],
    ) -> StateChange {
        // Servers that the store has lost write themselves down again.
        self.lapse_until = now + OUTAGE_GRACE;
        // What this fleet wrote since the copy is gone.
        self.registry.invalidate();
        self.urgent = true;
        StateChange::StoreRestored(StoreRestored {
            table,
            before,
            version: self.view.watermark(table).version,
            changed: changes.len(),
            retained: self.view.retained(table).into_iter().map(|row| row.key).collect(),
        })
    }

    /// Ends what has held on for long enough against what the store says.
    pub(crate) fn end_retention(&mut self, now: Time) -> Vec<StateChange> {
        let mut changes = Vec::new();
        for key in self.view.end_retention(now) {
            changes.push(StateChange::RetentionEnded(key.clone()));
            match (&key, self.view.get(&key)) {
                (RowKey::Server(id), None) => self.drop_server(id, &mut changes),
                _ => self.apply_row(now, &key, &mut changes),
            }
        }
        changes
    }
}
