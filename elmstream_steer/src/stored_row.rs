//! A row of the view: the content in force and, if it differs, the store's content.

use elmstream::time::Time;

use crate::{
    era::{EarlierRow, Era, Retention, same_content},
    version::StoreVersion,
    view::{RemovedCounters, Row, RowContent, RowKey},
};

/// A row of the view with its versions and the time of its last change.
#[derive(Clone, Debug)]
pub(crate) struct StoredRow {
    /// Version of the last significant change.
    pub version: StoreVersion,
    /// Highest version seen.
    pub last_version: StoreVersion,
    pub content: Option<RowContent>,
    pub changed_at: Time,
    pub removed_counters: RemovedCounters,
    /// Version of the row in an earlier era, if the content is unchanged in the store's era.
    pub carried_from: Option<StoreVersion>,
    /// The store's content, if the row is retained from an earlier era against it.
    pub store_copy: Option<StoreCopy>,
}

/// The store's content of a retained row, which is not in force yet.
#[derive(Clone, Debug)]
pub(crate) struct StoreCopy {
    pub version: StoreVersion,
    pub content: Option<RowContent>,
}

/// Effect of merging a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// The row was already known.
    Nothing,
    /// The store's content or version changed, but not the content in force.
    Recorded,
    /// The content in force changed.
    Changed,
}

impl StoredRow {
    pub fn new(now: Time, version: StoreVersion, content: Option<RowContent>) -> StoredRow {
        StoredRow {
            version,
            last_version: version,
            content,
            changed_at: now,
            removed_counters: None,
            carried_from: None,
            store_copy: None,
        }
    }

    /// The row as known from the earlier era.
    pub fn as_earlier<'a>(&'a self, key: &'a RowKey) -> EarlierRow<'a> {
        EarlierRow { key, content: self.content.as_ref(), removed_counters: self.removed_counters }
    }

    /// Merges a row of the store.
    pub fn merge(&mut self, now: Time, row: &Row, era: &Era, retention: &Retention) -> Effect {
        let last_stored_version =
            self.store_copy.as_ref().map_or(self.last_version, |copy| copy.version);
        if last_stored_version >= row.version {
            return Effect::Nothing;
        }
        let (before, new_content) = (self.content.as_ref(), row.content.as_ref());
        let enters_era = row.version.era > self.last_version.era;
        if enters_era {
            let retained_until = era.retained_until(
                retention,
                self.as_earlier(&row.key),
                (row.version, new_content),
            );
            if retained_until.is_some_and(|retained_until| now < retained_until) {
                let known = self
                    .store_copy
                    .replace(StoreCopy { version: row.version, content: row.content.clone() });
                let is_repeated =
                    known.is_some_and(|known| same_content(known.content.as_ref(), new_content));
                return if is_repeated { Effect::Nothing } else { Effect::Recorded };
            }
        } else if reverts(before, new_content) {
            return Effect::Nothing;
        }
        let was_retained = self.store_copy.take().is_some();
        let previous_version = std::mem::replace(&mut self.last_version, row.version);
        if !is_unchanged(before, new_content) {
            // After a restore the row had other counters, and a backup may be older than that
            // restore.
            let known = self.content.is_some() && self.carried_from.is_none();
            let last_counters = known.then_some([self.version, previous_version]);
            *self = StoredRow::new(now, row.version, row.content.clone());
            self.removed_counters =
                row.removed_counters.or(last_counters.map(|counters| counters.map(|at| at.count)));
            return Effect::Changed;
        }
        if let (Some(RowContent::Server(known)), Some(RowContent::Server(new_content))) =
            (&mut self.content, new_content)
        {
            known.entries = new_content.entries;
        }
        // An evacuation that is requested again is recorded even if its content is unchanged, as
        // other hosts may retain its deletion from an earlier era.
        let is_repeated = matches!(new_content, Some(RowContent::Evacuation));
        if !was_retained && !enters_era && !is_repeated {
            return Effect::Nothing;
        }
        // Other hosts may have read a different content before the row was written again.
        if was_retained || enters_era {
            self.carried_from = Some(self.version);
        }
        self.version = row.version;
        Effect::Recorded
    }

    /// The store's content, with a version of its era.
    pub fn as_stored(&self, era: u64) -> (StoreVersion, Option<RowContent>) {
        match &self.store_copy {
            Some(copy) => (copy.version, copy.content.clone()),
            None => (self.last_version.max(StoreVersion::absent(era)), self.content.clone()),
        }
    }

    /// The store's row, with the version of its last significant change.
    pub fn to_stored_row(&self, key: &RowKey) -> Row {
        match &self.store_copy {
            Some(copy) => Row::new(key.clone(), copy.version, copy.content.clone()),
            None => self.in_force(key),
        }
    }

    /// Whether a host that knew the table up to a version of an earlier era has the row unchanged.
    pub fn is_known_at(&self, version: StoreVersion) -> bool {
        let carried_from = self.carried_from.is_some_and(|carried_from| carried_from <= version);
        self.store_copy.is_none() && carried_from && version.era < self.version.era
    }

    /// The row in force.
    pub fn in_force(&self, key: &RowKey) -> Row {
        let removed_counters = self.removed_counters;
        Row { removed_counters, ..Row::new(key.clone(), self.version, self.content.clone()) }
    }

    /// Whether the row exists in the store.
    pub fn exists_in_store(&self) -> bool {
        self.store_copy.as_ref().map_or(self.content.is_some(), |copy| copy.content.is_some())
    }

    /// Whether the row retained here takes precedence over one retained by another host.
    pub fn outranks(&self, other: &Row) -> bool {
        let rank = |content: Option<&RowContent>, version| match content {
            Some(RowContent::Configuration(configuration)) => (configuration.version, version),
            _ => (0, version),
        };
        let own = rank(self.content.as_ref(), self.version);
        self.store_copy.is_some() && own >= rank(other.content.as_ref(), other.version)
    }
}

/// Whether a row of the same era would revert or delete the configuration or the decision on a
/// rollout.
///
/// A decided rollout stays decided until there is another order.
fn reverts(current: Option<&RowContent>, new: Option<&RowContent>) -> bool {
    match (current, new) {
        (Some(RowContent::Configuration(current)), Some(RowContent::Configuration(new))) => {
            new.version <= current.version
        }
        (Some(RowContent::Configuration(_)), _) => true,
        (Some(RowContent::Progress(current)), Some(RowContent::Progress(new))) => {
            current.order == new.order && current.stage.is_final() && new.stage != current.stage
        }
        (Some(RowContent::Progress(current)), _) => current.stage.is_final(),
        _ => false,
    }
}

/// Whether two contents have the same effect. A cold server always counts as changed, since its
/// entry gives the remaining cold time as of when it was written.
fn is_unchanged(current: Option<&RowContent>, new: Option<&RowContent>) -> bool {
    match new {
        Some(RowContent::Server(server)) if server.cold_ms > 0 => false,
        // Writing an order again starts another rollout.
        Some(RowContent::Rollout(_)) => false,
        _ => same_content(current, new),
    }
}
