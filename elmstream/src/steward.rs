//! The steward: the host that changes its region's allotment row.
//!
//! Any host of the region may act as steward; the lowest-ranked live one does.
//! Two at once only lose compare-and-swaps to each other. A change takes four
//! steps: swap the row to the next epoch; fence a majority of the witnesses of
//! the epoch before; wait one lease, or until each former owner has taken the
//! new epoch; mark the row as settled. Only then may new owners act.

use std::collections::HashSet;

use crate::{
    allotment::{Renewal, Row, plan_next_row},
    catalog::Catalog,
    id::{HostRef, Name, RegionId},
    lease,
    message::TableRenewal,
    time::{MILLI, SECOND, Time},
    witness_groups::Candidate,
};

/// Time between two reads of the row by a steward at rest, in microseconds.
pub const READ_INTERVAL: u64 = 2 * SECOND;
/// Time between two reads by a host that is not the steward.
pub const IDLE_READ_INTERVAL: u64 = 10 * SECOND;
/// Time after which a table call without an answer is given up.
const CALL_TIMEOUT: u64 = 5 * SECOND;
/// Time between two writes of renewals, in microseconds.
const RENEW_INTERVAL: u64 = 700 * MILLI;
/// Time between two writes of changes.
const CHANGE_INTERVAL: u64 = 500 * MILLI;

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect and the row has this version now.
    Written(u64),
    /// Another write came first.
    Conflict,
    /// The table did not take it, and said so.
    Refused,
    /// No answer: it may have taken effect.
    Unknown,
}

/// A row as the table holds it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRow {
    /// The row.
    pub row: Row,
    /// Its version in the table; 0 is "no row yet".
    pub version: u64,
}

/// What the steward wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum StewardStep {
    /// Read the row.
    Read,
    /// Write the row if its version is still `expect`.
    Write {
        /// The row.
        row: Row,
        /// The version that the write is conditional on.
        expect: u64,
    },
    /// Fence these witnesses at this epoch.
    Fence(Vec<HostRef>, u64),
    /// Nobody acts by an older epoch any more; take this row.
    Settled(Row),
}

/// State of a host's part as steward.
#[derive(Debug, Default)]
pub struct Steward {
    /// The row as last read from or written to the table.
    stored: Option<StoredRow>,
    read_at: Option<Time>,
    /// A call to the table is under way since then.
    calling: Option<Time>,
    /// The row whose write is under way.
    writing: Option<Row>,
    changed_at: Time,
    renewed_at: Time,
    /// Witnesses of the epoch before that are fenced.
    fenced: HashSet<HostRef>,
    /// When a majority was heard to be fenced.
    majority_at: Option<Time>,
    nonce: u64,
}

/// What the steward looks at.
#[derive(Debug)]
pub struct StewardView<'a> {
    /// The configuration in force.
    pub catalog: &'a Catalog,
    /// The region.
    pub region: RegionId,
    /// Its name.
    pub region_name: &'a Name,
    /// Live hosts of the region, in the order of their names.
    pub hosts: &'a [Candidate],
    /// Hosts that have taken the row's epoch.
    pub epoch_taken_by: &'a HashSet<HostRef>,
    /// Witnesses that cannot promise any more: replaced, or gone from the list.
    pub lost_witnesses: &'a HashSet<HostRef>,
    /// The last round in which each owner asked at the row's epoch.
    pub renewal_requests: &'a [Renewal],
}

impl Steward {
    /// A steward whose writes are named from `nonce` on.
    pub fn new(nonce: u64) -> Steward {
        Steward { nonce, ..Steward::default() }
    }

    /// The row as the table held it when last heard.
    pub fn stored(&self) -> Option<&StoredRow> {
        self.stored.as_ref()
    }

    /// One tick of a host that is the steward.
    pub fn tick(&mut self, now: Time, view: &StewardView<'_>) -> Vec<StewardStep> {
        if self.is_calling(now) {
            return self.settle(now, view).into_iter().collect();
        }
        if self.is_read_due(now, READ_INTERVAL) {
            return vec![self.read(now)];
        }
        let Some(stored) = self.stored.clone() else {
            return Vec::new();
        };
        if !stored.row.settled && stored.version != 0 {
            let step = self.settle(now, view);
            let may_renew = matches!(step, Some(StewardStep::Fence(..)));
            let renewal = may_renew.then(|| self.renew(now, view, &stored)).flatten();
            return step.into_iter().chain(renewal).collect();
        }
        let step = self.change(now, view, &stored);
        step.or_else(|| self.renew(now, view, &stored)).into_iter().collect()
    }

    /// One tick of a host that is not the steward.
    pub fn tick_idle(&mut self, now: Time) -> Option<StewardStep> {
        let due = !self.is_calling(now) && self.is_read_due(now, IDLE_READ_INTERVAL);
        due.then(|| self.read(now))
    }

    /// The table answered a read; `None` is "no such row".
    pub fn on_row_read(&mut self, stored: Option<StoredRow>) {
        self.calling = None;
        self.writing = None;
        self.take(stored.unwrap_or_default());
    }

    /// The table did not answer a read.
    pub fn on_read_failed(&mut self) {
        self.calling = None;
    }

    /// The table answered a write, or did not.
    ///
    /// After anything but success the row is read again, and the nonce there
    /// tells whose write it holds.
    pub fn on_row_written(&mut self, outcome: WriteOutcome) {
        self.calling = None;
        let row = self.writing.take();
        match (outcome, row) {
            (WriteOutcome::Written(version), Some(row)) => self.take(StoredRow { row, version }),
            (WriteOutcome::Refused, _) => {}
            _ => self.read_at = None,
        }
    }

    /// A witness answered that it is fenced.
    pub fn on_witness_fenced(&mut self, by: HostRef, epoch: u64) {
        let Some(stored) = &self.stored else { return };
        let is_named = stored.row.groups_from.witnesses().any(|w| *w == by);
        if epoch + 1 == stored.row.epoch && is_named {
            self.fenced.insert(by);
        }
    }

    /// Takes a row, and forgets the fences of another epoch.
    fn take(&mut self, stored: StoredRow) {
        let before = self.stored.as_ref().map_or(0, |s| s.row.epoch);
        if stored.row.epoch != before {
            self.fenced.clear();
            self.majority_at = None;
        }
        self.stored = Some(stored);
    }

    /// Brings an unsettled epoch forward: fence, wait, mark as settled.
    fn settle(&mut self, now: Time, view: &StewardView<'_>) -> Option<StewardStep> {
        let stored = self.stored.clone()?;
        if stored.row.settled || stored.version == 0 {
            return None;
        }
        let row = &stored.row;
        let gone = row.groups_from.witnesses().filter(|w| view.lost_witnesses.contains(*w));
        self.fenced.extend(gone.cloned());
        let waited = self.has_waited(now, row);
        if !waited && !is_released(row, view) {
            let left = row.groups_from.witnesses().filter(|w| !self.fenced.contains(*w));
            return Some(StewardStep::Fence(left.cloned().collect(), row.epoch - 1));
        }
        let nonce = self.next_nonce();
        let settled = Row { settled: true, released: !waited, nonce, ..row.clone() };
        if self.is_calling(now) {
            return Some(StewardStep::Settled(settled));
        }
        Some(self.write(now, settled, stored.version))
    }

    /// Whether one lease has passed since a majority of each group was heard to
    /// be fenced.
    fn has_waited(&mut self, now: Time, row: &Row) -> bool {
        let is_first_epoch = row.groups_from.is_empty();
        if !row.groups_from.each_has_majority(|w| self.fenced.contains(w)) {
            return false;
        }
        let since = *self.majority_at.get_or_insert(now);
        is_first_epoch || now.since(since) >= lease::LEASE_LENGTH
    }

    /// Proposes the next epoch if the plan differs from the row.
    fn change(
        &mut self,
        now: Time,
        view: &StewardView<'_>,
        stored: &StoredRow,
    ) -> Option<StewardStep> {
        let hears = hears_majority(&stored.row, view);
        if !hears || now.since(self.changed_at) < CHANGE_INTERVAL {
            return None;
        }
        let present = Row { region: view.region_name.clone(), ..stored.row.clone() };
        let mut next = plan_next_row(view.catalog, view.region, &present, view.hosts)?;
        next.nonce = self.next_nonce();
        self.changed_at = now;
        Some(self.write(now, next, stored.version))
    }

    /// Renews the owners' leases through the table, while a witness is missing.
    ///
    /// The write is conditional on the row's version, so that none at an old
    /// epoch can succeed after the swap to a new one.
    fn renew(
        &mut self,
        now: Time,
        view: &StewardView<'_>,
        stored: &StoredRow,
    ) -> Option<StewardStep> {
        let is_live = |w: &HostRef| view.hosts.iter().any(|c| c.host == *w);
        let complete = stored.row.groups.witnesses().all(is_live);
        let due = now.since(self.renewed_at) >= RENEW_INTERVAL;
        if complete || !due || stored.version == 0 || view.renewal_requests.is_empty() {
            return None;
        }
        self.renewed_at = now;
        let renewals = view.renewal_requests.to_vec();
        let row = Row { renewals, nonce: self.next_nonce(), ..stored.row.clone() };
        Some(self.write(now, row, stored.version))
    }

    /// The last round of an owner that the table renewed.
    pub fn table_renewal(&self, owner: &HostRef) -> Option<TableRenewal> {
        let row = &self.stored.as_ref()?.row;
        let renewal = row.renewals.iter().find(|r| r.owner == *owner)?;
        Some(TableRenewal { epoch: row.epoch, sequence: renewal.sequence })
    }

    fn read(&mut self, now: Time) -> StewardStep {
        self.read_at = Some(now);
        self.calling = Some(now);
        StewardStep::Read
    }

    fn write(&mut self, now: Time, row: Row, expect: u64) -> StewardStep {
        self.calling = Some(now);
        self.writing = Some(row.clone());
        StewardStep::Write { row, expect }
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    fn is_calling(&mut self, now: Time) -> bool {
        if self.calling.is_some_and(|since| now.since(since) >= CALL_TIMEOUT) {
            self.on_row_written(WriteOutcome::Unknown);
        }
        self.calling.is_some()
    }

    fn is_read_due(&self, now: Time, interval: u64) -> bool {
        self.read_at.is_none_or(|at| now.since(at) >= interval)
    }
}

/// Whether the steward hears of a majority of each group's witnesses, or knows
/// them to be gone. A host that is cut off from the others must not take what is theirs.
fn hears_majority(row: &Row, view: &StewardView<'_>) -> bool {
    let is_live = |w: &HostRef| view.hosts.iter().any(|c| c.host == *w);
    row.groups.each_has_majority(|w| is_live(w) || view.lost_witnesses.contains(w))
}

/// Whether each owner of the epoch before has taken this one.
///
/// An owner that has taken an epoch keeps nothing of the one before but what
/// both give it, and never asks at the old one again.
fn is_released(row: &Row, view: &StewardView<'_>) -> bool {
    let former = row.former_owners();
    former.iter().all(|owner| view.epoch_taken_by.contains(*owner))
}
