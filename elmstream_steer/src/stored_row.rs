//! A row of the view: the content in force and, if it differs, the store's content.
//!
//! The two differ if the row in force is retained: either it is of an earlier era than the store's,
//! or the store completed an older write of the same backend server after a newer one.

use elmstream::time::{MILLI, Time};

use crate::{
    era::{EarlierRow, Era, Retention, same_content},
    model::EntryNumber,
    row::{RemovedCounters, RetainedRow, Row, RowContent, RowKey},
    version::StoreVersion,
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
    /// Number of the server's newest known entry, also after its deletion.
    pub entry_number: Option<EntryNumber>,
    /// Version of the row in an earlier era, if the content is unchanged in the store's era.
    pub carried_from: Option<StoreVersion>,
    /// The store's content, if the row is retained against it.
    pub store_copy: Option<StoreCopy>,
}

/// The store's content of a retained row, which is not in force yet.
#[derive(Clone, Debug)]
pub(crate) struct StoreCopy {
    pub version: StoreVersion,
    pub content: Option<RowContent>,
    /// Since when the store's content is known to be an older entry of the server; `None` if the row
    /// in force is of an earlier era.
    pub late_since: Option<Time>,
}

/// Effect of merging a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The row was already known.
    Nothing,
    /// The store's content or version changed, but not the content in force.
    Recorded,
    /// The row is an older entry of a server than the one in force, which is retained.
    Outdated,
    /// The content in force changed.
    Changed,
}

impl StoredRow {
    pub fn new(now: Time, version: StoreVersion, content: Option<RowContent>) -> StoredRow {
        StoredRow {
            version,
            last_version: version,
            entry_number: content.as_ref().and_then(RowContent::entry_number),
            content,
            changed_at: now,
            removed_counters: None,
            carried_from: None,
            store_copy: None,
        }
    }

    /// Creates a row from one that another host sent.
    pub fn from_row(now: Time, row: Row) -> StoredRow {
        let (removed_counters, entry_number) = (row.removed_counters, row.entry_number());
        let stored = StoredRow::new(now, row.version, row.content);
        StoredRow { removed_counters, entry_number, ..stored }
    }

    /// The row as known from the earlier era.
    pub fn as_earlier<'a>(&'a self, key: &'a RowKey) -> EarlierRow<'a> {
        EarlierRow {
            key,
            content: self.content.as_ref(),
            removed_counters: self.removed_counters,
            entry_number: self.entry_number,
        }
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
                return match self.replace_store_copy(row, None) {
                    true => Effect::Nothing,
                    false => Effect::Recorded,
                };
            }
        } else if reverts(before, new_content) {
            return Effect::Nothing;
        } else if self.is_late_entry(new_content) {
            if self.store_copy.is_none() && same_content(before, new_content) {
                self.last_version = row.version;
                return Effect::Nothing;
            }
            let late_since = self.late_since().unwrap_or(now);
            if now < late_since + retention.late_entry {
                return match self.replace_store_copy(row, Some(late_since)) {
                    true => Effect::Nothing,
                    false => Effect::Outdated,
                };
            }
        }
        self.replace_in_force(now, row, enters_era)
    }

    /// Puts a row of the store in force, whose version is higher than all known ones. `enters_era`
    /// tells whether it is of a later era than the row known so far.
    fn replace_in_force(&mut self, now: Time, row: &Row, enters_era: bool) -> Effect {
        let new_content = row.content.as_ref();
        let was_retained = self.store_copy.take().is_some();
        let previous_version = std::mem::replace(&mut self.last_version, row.version);
        if !is_unchanged(self.content.as_ref(), new_content) {
            // After a restore the row had other counters, and a backup may be older than that
            // restore.
            let known = self.content.is_some() && self.carried_from.is_none();
            let last_counters = known.then_some([self.version, previous_version]);
            let entry_number = self.entry_number_after(row);
            *self = StoredRow::new(now, row.version, row.content.clone());
            self.entry_number = entry_number;
            self.removed_counters =
                row.removed_counters.or(last_counters.map(|counters| counters.map(|at| at.count)));
            return Effect::Changed;
        }
        self.entry_number = self.entry_number_after(row);
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

    /// Records the store's content, against which the row in force is retained. Returns whether the
    /// content was already known.
    fn replace_store_copy(&mut self, row: &Row, late_since: Option<Time>) -> bool {
        let copy = StoreCopy { version: row.version, content: row.content.clone(), late_since };
        let known = self.store_copy.replace(copy);
        known.is_some_and(|known| same_content(known.content.as_ref(), row.content.as_ref()))
    }

    /// Since when the store's content is known to be an older entry of the server.
    fn late_since(&self) -> Option<Time> {
        self.store_copy.as_ref()?.late_since
    }

    /// Whether a content of the store is an older entry of the server than the newest known one.
    pub fn is_late_entry(&self, content: Option<&RowContent>) -> bool {
        match (content, self.entry_number) {
            (Some(RowContent::Server(server)), Some(known)) => server.is_outdated_by(known),
            _ => false,
        }
    }

    /// Number of the server's newest known entry once a row is in force.
    ///
    /// An entry in force is the newest one even if its number is lower. A deletion leaves the
    /// number, so that older entries which the store completes later remain recognizable.
    fn entry_number_after(&self, row: &Row) -> Option<EntryNumber> {
        let is_entry = matches!(row.content, Some(RowContent::Server(_)));
        match (self.entry_number, row.entry_number()) {
            (Some(known), Some(new)) if !is_entry && new.precedes(known) => Some(known),
            (known, new) => new.or(known),
        }
    }

    /// Number of the server's newest known entry, if the content in force has none.
    pub fn last_entry(&self) -> Option<EntryNumber> {
        let is_entry = matches!(self.content, Some(RowContent::Server(_)));
        self.entry_number.filter(|_| !is_entry)
    }

    /// Until when the row in force is retained against the store's content; `None` if it is not.
    pub fn retained_until(&self, key: &RowKey, era: &Era, retention: &Retention) -> Option<Time> {
        let copy = self.store_copy.as_ref()?;
        match copy.late_since {
            Some(late_since) => Some(late_since + retention.late_entry),
            None => era.retained_until(
                retention,
                self.as_earlier(key),
                (copy.version, copy.content.as_ref()),
            ),
        }
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
        let (removed_counters, last_entry) = (self.removed_counters, self.last_entry());
        let row = Row::new(key.clone(), self.version, self.content.clone());
        Row { removed_counters, last_entry, ..row }
    }

    /// The row in force and for how long it has been retained, if it is.
    pub fn retained(&self, now: Time, key: &RowKey) -> Option<RetainedRow> {
        let copy = self.store_copy.as_ref()?;
        let late_ms = copy.late_since.map(|late_since| now.since(late_since) / MILLI);
        Some(RetainedRow { row: self.in_force(key), late_ms })
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
