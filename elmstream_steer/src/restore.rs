//! Effects of a store that was restored from a backup.

use elmstream::time::Time;

use crate::{
    era::LAPSE_TIMEOUT,
    steer::{StateChange, Steer, StoreRestored},
    version::StoreVersion,
    view::{RowKey, Table},
};

impl Steer {
    /// The newest known era of the store.
    pub fn era(&self) -> u64 {
        self.view.era().number
    }

    /// Whether another host retains rows, identified by their digest, that this host has not
    /// merged.
    pub fn lacks_retained(&self, table: Table, digest: u32) -> bool {
        digest != 0
            && digest != self.view.retained_digest(table)
            && !self.merged_retained_digests.contains(&digest)
    }

    /// Updates the host's state after a table entered a new era of the store.
    pub(crate) fn store_restored(
        &mut self,
        now: Time,
        table: Table,
        before: StoreVersion,
        changes: &[StateChange],
    ) -> StateChange {
        // Servers that are missing in the backup will register again.
        self.lapses_at = now + LAPSE_TIMEOUT;
        // Entries added since the backup was made are lost.
        self.registry.invalidate();
        self.urgent = true;
        let retained = self.view.retained(now, table);
        StateChange::StoreRestored(StoreRestored {
            table,
            before,
            version: self.view.watermark(table).version,
            changed: changes.len(),
            retained: retained.into_iter().map(|retained| retained.row.key).collect(),
        })
    }

    /// Ends the retention of rows whose time is over, and applies the store's rows instead.
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
