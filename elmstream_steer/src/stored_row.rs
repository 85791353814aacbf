//! A row of the view: what is in force, and what the store says if that is another thing.

use elmstream::time::Time;

use crate::{
    era::{EarlierRow, Era, Retention, same_content},
    version::StoreVersion,
    view::{RemovedCounters, Row, RowContent, RowKey},
};

/// A row of the view and when it came.
#[derive(Clone, Debug)]
pub(crate) struct StoredRow {
    /// Version of the last change that matters.
    pub version: StoreVersion,
    /// Newest version that was seen.
    pub last_version: StoreVersion,
    pub content: Option<RowContent>,
    pub changed_at: Time,
    pub removed_counters: RemovedCounters,
    /// The version that it had in an earlier era, if the store says the same in this one.
    pub carried_from: Option<StoreVersion>,
    /// What the store's era says, if this holds on from an earlier one against it.
    pub store_copy: Option<StoreCopy>,
}

/// What the store says, and is not in force yet.
#[derive(Clone, Debug)]
pub(crate) struct StoreCopy {
    pub version: StoreVersion,
    pub content: Option<RowContent>,
}

/// What a row that was taken in came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Nothing new.
    Nothing,
    /// What the store says has changed, but not what is in force.
    Recorded,
    /// What is in force has changed.
    Changed,
}

impl StoredRow {
    pub fn new(now: Time, version: StoreVersion, item: Option<RowContent>) -> StoredRow {
        StoredRow {
            version,
            last_version: version,
            content: item,
            changed_at: now,
            removed_counters: None,
            carried_from: None,
            store_copy: None,
        }
    }

    /// What an earlier era said, if the row is not of the store's own.
    pub fn as_earlier<'a>(&'a self, key: &'a RowKey) -> EarlierRow<'a> {
        EarlierRow { key, content: self.content.as_ref(), removed_counters: self.removed_counters }
    }

    /// Takes in what the store says.
    pub fn merge(&mut self, now: Time, row: &Row, era: &Era, holds: &Retention) -> Effect {
        let newest = self.store_copy.as_ref().map_or(self.last_version, |copy| copy.version);
        if newest >= row.version {
            return Effect::Nothing;
        }
        let (before, new) = (self.content.as_ref(), row.content.as_ref());
        let crosses = row.version.era > self.last_version.era;
        if crosses {
            let until = era.retained_until(holds, self.as_earlier(&row.key), (row.version, new));
            if until.is_some_and(|until| now < until) {
                let known = self
                    .store_copy
                    .replace(StoreCopy { version: row.version, content: row.content.clone() });
                let again = known.is_some_and(|known| same_content(known.content.as_ref(), new));
                return if again { Effect::Nothing } else { Effect::Recorded };
            }
        } else if goes_back(before, new) {
            return Effect::Nothing;
        }
        let against = self.store_copy.take().is_some();
        let seen = std::mem::replace(&mut self.last_version, row.version);
        if !same(before, new) {
            // A copy may be of before the last return, when the row had other counters.
            let known = self.content.is_some() && self.carried_from.is_none();
            let there = known.then_some([self.version, seen]);
            *self = StoredRow::new(now, row.version, row.content.clone());
            self.removed_counters =
                row.removed_counters.or(there.map(|there| there.map(|at| at.count)));
            return Effect::Changed;
        }
        if let (Some(RowContent::Server(known)), Some(RowContent::Server(new))) =
            (&mut self.content, new)
        {
            known.entries = new.entries;
        }
        // An operator asks again for what others may hold on to an earlier era against.
        let again = matches!(new, Some(RowContent::Evacuation));
        if !against && !crosses && !again {
            return Effect::Nothing;
        }
        // Others may have read something else before it was written again.
        if against || crosses {
            self.carried_from = Some(self.version);
        }
        self.version = row.version;
        Effect::Recorded
    }

    /// What the store says, with a version of its era.
    pub fn as_stored(&self, era: u64) -> (StoreVersion, Option<RowContent>) {
        match &self.store_copy {
            Some(copy) => (copy.version, copy.content.clone()),
            None => (self.last_version.max(StoreVersion::absent(era)), self.content.clone()),
        }
    }

    /// What the store says, with the version of its last change that matters.
    pub fn to_stored_row(&self, key: &RowKey) -> Row {
        match &self.store_copy {
            Some(copy) => Row::new(key.clone(), copy.version, copy.content.clone()),
            None => self.in_force(key),
        }
    }

    /// Whether a host that knew the table up to a version of an earlier era knows the row.
    pub fn is_known_at(&self, version: StoreVersion) -> bool {
        let carried = self.carried_from.is_some_and(|carried| carried <= version);
        self.store_copy.is_none() && carried && version.era < self.version.era
    }

    /// What is in force.
    pub fn in_force(&self, key: &RowKey) -> Row {
        let counts = self.removed_counters;
        Row {
            removed_counters: counts,
            ..Row::new(key.clone(), self.version, self.content.clone())
        }
    }

    /// Whether the store has the row.
    pub fn exists_in_store(&self) -> bool {
        self.store_copy.as_ref().map_or(self.content.is_some(), |copy| copy.content.is_some())
    }

    /// Whether what holds on here goes before what holds on at another host.
    pub fn outranks(&self, other: &Row) -> bool {
        let rank = |item: Option<&RowContent>, version| match item {
            Some(RowContent::Configuration(configuration)) => (configuration.version, version),
            _ => (0, version),
        };
        let own = rank(self.content.as_ref(), self.version);
        self.store_copy.is_some() && own >= rank(other.content.as_ref(), other.version)
    }
}

/// Whether a row of the same era would take the configuration or a verdict back or away.
///
/// A roll-out that was decided stays so until there is another order.
fn goes_back(known: Option<&RowContent>, new: Option<&RowContent>) -> bool {
    match (known, new) {
        (Some(RowContent::Configuration(known)), Some(RowContent::Configuration(new))) => {
            new.version <= known.version
        }
        (Some(RowContent::Configuration(_)), _) => true,
        (Some(RowContent::Progress(known)), Some(RowContent::Progress(new))) => {
            known.order == new.order && known.stage.is_final() && new.stage != known.stage
        }
        (Some(RowContent::Progress(known)), _) => known.stage.is_final(),
        _ => false,
    }
}

/// Whether two contents mean the same; a server that is cold counts as changed.
fn same(known: Option<&RowContent>, new: Option<&RowContent>) -> bool {
    match new {
        Some(RowContent::Server(server)) if server.cold_ms > 0 => false,
        // An order that is written again is another one.
        Some(RowContent::Rollout(_)) => false,
        _ => same_content(known, new),
    }
}
