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
    pub seen: StoreVersion,
    pub item: Option<RowContent>,
    pub at: Time,
    pub counts: RemovedCounters,
    /// The version that it had in an earlier era, if the store says the same in this one.
    pub carried: Option<StoreVersion>,
    /// What the store's era says, if this holds on from an earlier one against it.
    pub copy: Option<StoreCopy>,
}

/// What the store says, and is not in force yet.
#[derive(Clone, Debug)]
pub(crate) struct StoreCopy {
    pub version: StoreVersion,
    pub item: Option<RowContent>,
}

/// What a row that was taken in came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Nothing new.
    Nothing,
    /// What the store says has changed, but not what is in force.
    Noted,
    /// What is in force has changed.
    Changed,
}

impl StoredRow {
    pub fn new(now: Time, version: StoreVersion, item: Option<RowContent>) -> StoredRow {
        StoredRow { version, seen: version, item, at: now, counts: None, carried: None, copy: None }
    }

    /// What an earlier era said, if the row is not of the store's own.
    pub fn earlier<'a>(&'a self, key: &'a RowKey) -> EarlierRow<'a> {
        EarlierRow { key, item: self.item.as_ref(), counts: self.counts }
    }

    /// Takes in what the store says.
    pub fn take(&mut self, now: Time, row: &Row, era: &Era, holds: &Retention) -> Effect {
        let newest = self.copy.as_ref().map_or(self.seen, |copy| copy.version);
        if newest >= row.version {
            return Effect::Nothing;
        }
        let (before, new) = (self.item.as_ref(), row.item.as_ref());
        let crosses = row.version.era > self.seen.era;
        if crosses {
            let until = era.holds_until(holds, self.earlier(&row.key), (row.version, new));
            if until.is_some_and(|until| now < until) {
                let known =
                    self.copy.replace(StoreCopy { version: row.version, item: row.item.clone() });
                let again = known.is_some_and(|known| same_content(known.item.as_ref(), new));
                return if again { Effect::Nothing } else { Effect::Noted };
            }
        } else if goes_back(before, new) {
            return Effect::Nothing;
        }
        let against = self.copy.take().is_some();
        let seen = std::mem::replace(&mut self.seen, row.version);
        if !same(before, new) {
            // A copy may be of before the last return, when the row had other counters.
            let known = self.item.is_some() && self.carried.is_none();
            let there = known.then_some([self.version, seen]);
            *self = StoredRow::new(now, row.version, row.item.clone());
            self.counts = row.counts.or(there.map(|there| there.map(|at| at.count)));
            return Effect::Changed;
        }
        if let (Some(RowContent::Server(known)), Some(RowContent::Server(new))) =
            (&mut self.item, new)
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
            self.carried = Some(self.version);
        }
        self.version = row.version;
        Effect::Noted
    }

    /// What the store says, with a version of its era.
    pub fn says(&self, era: u64) -> (StoreVersion, Option<RowContent>) {
        match &self.copy {
            Some(copy) => (copy.version, copy.item.clone()),
            None => (self.seen.max(StoreVersion::absent(era)), self.item.clone()),
        }
    }

    /// What the store says, with the version of its last change that matters.
    pub fn said(&self, key: &RowKey) -> Row {
        match &self.copy {
            Some(copy) => Row::new(key.clone(), copy.version, copy.item.clone()),
            None => self.in_force(key),
        }
    }

    /// Whether a host that knew the table up to a version of an earlier era knows the row.
    pub fn known_by(&self, version: StoreVersion) -> bool {
        let carried = self.carried.is_some_and(|carried| carried <= version);
        self.copy.is_none() && carried && version.era < self.version.era
    }

    /// What is in force.
    pub fn in_force(&self, key: &RowKey) -> Row {
        let counts = self.counts;
        Row { counts, ..Row::new(key.clone(), self.version, self.item.clone()) }
    }

    /// Whether the store has the row.
    pub fn is_there(&self) -> bool {
        self.copy.as_ref().map_or(self.item.is_some(), |copy| copy.item.is_some())
    }

    /// Whether what holds on here goes before what holds on at another host.
    pub fn outranks(&self, other: &Row) -> bool {
        let rank = |item: Option<&RowContent>, version| match item {
            Some(RowContent::Configuration(configuration)) => (configuration.version, version),
            _ => (0, version),
        };
        let own = rank(self.item.as_ref(), self.version);
        self.copy.is_some() && own >= rank(other.item.as_ref(), other.version)
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
            known.order == new.order && known.stage.ends() && new.stage != known.stage
        }
        (Some(RowContent::Progress(known)), _) => known.stage.ends(),
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
