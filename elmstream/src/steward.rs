//! The steward: the host that changes the allotment row of its region.
//!
//! Any host of the region may act as steward; normally only the first live
//! witness of the steward group does. Two stewards at a time are safe:
//! conditional writes of one of them fail. A change takes four steps: replace the
//! row by that of the next epoch, fence a majority of the witnesses of the
//! previous epoch, wait for one lease or until every former owner has taken the
//! new epoch, and mark the row as settled. New owners may act only after the last
//! step.

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

/// Time between two reads of the row by the steward, in microseconds.
pub const READ_INTERVAL: u64 = 2 * SECOND;
/// Time between two reads of the row by another host, in microseconds.
pub const IDLE_READ_INTERVAL: u64 = 10 * SECOND;
/// Time after which a table call without an answer counts as failed, in
/// microseconds.
const CALL_TIMEOUT: u64 = 5 * SECOND;
/// Time between two writes of lease renewals, in microseconds.
const RENEW_INTERVAL: u64 = 700 * MILLI;
/// Time between two proposals of a new epoch, in microseconds.
const CHANGE_INTERVAL: u64 = 500 * MILLI;

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect, and the row has this version now.
    Written(u64),
    /// Another write came first.
    Conflict,
    /// The table refused the write, so it had no effect.
    Refused,
    /// There was no answer; the write may have taken effect.
    Unknown,
}

/// Row together with its version in the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRow {
    /// The allotment row.
    pub row: Row,
    /// Version in the table; 0 if there is no row yet.
    pub version: u64,
}

/// Action that the steward wants carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum StewardStep {
    /// Read the row.
    Read,
    /// Write the row if its version is still `expect`.
    Write {
        /// Row to write.
        row: Row,
        /// Version that the write is conditional on.
        expect: u64,
    },
    /// Fence these witnesses at this epoch.
    Fence(Vec<HostRef>, u64),
    /// No host acts under an earlier epoch any more; adopt this row.
    Settled(Row),
}

/// State of a host in its role as steward.
#[derive(Debug, Default)]
pub struct Steward {
    /// Row as last read from or written to the table.
    stored: Option<StoredRow>,
    last_read_at: Option<Time>,
    /// When the pending table call began, if there is one.
    call_pending_since: Option<Time>,
    /// Row of the pending write.
    pending_write: Option<Row>,
    last_change_at: Time,
    last_renewal_at: Time,
    /// Witnesses of the previous epoch that are fenced.
    fenced_witnesses: HashSet<HostRef>,
    /// When a majority of these witnesses was known to be fenced.
    majority_fenced_at: Option<Time>,
    nonce: u64,
}

/// Information that the steward's decisions are based on.
#[derive(Debug)]
pub struct StewardView<'a> {
    /// Configuration in force.
    pub catalog: &'a Catalog,
    /// Index of the region.
    pub region: RegionId,
    /// Name of the region.
    pub region_name: &'a Name,
    /// Live hosts of the region, sorted by name.
    pub hosts: &'a [Candidate],
    /// Hosts that have taken the epoch of the stored row.
    pub epoch_taken_by: &'a HashSet<HostRef>,
    /// Witnesses that can never promise again: restarted, or missing from the
    /// host list.
    pub lost_witnesses: &'a HashSet<HostRef>,
    /// Last heartbeat round in which each owner asked for a renewal at the stored
    /// row's epoch.
    pub renewal_requests: &'a [Renewal],
}

impl Steward {
    /// Creates a steward that numbers its writes upwards from `nonce`.
    pub fn new(nonce: u64) -> Steward {
        Steward { nonce, ..Steward::default() }
    }

    /// Row as last read from or written to the table.
    pub fn stored(&self) -> Option<&StoredRow> {
        self.stored.as_ref()
    }

    /// Runs one tick of the steward.
    pub fn tick(&mut self, now: Time, view: &StewardView<'_>) -> Vec<StewardStep> {
        if self.is_call_pending(now) {
            return self.settle(now, view).into_iter().collect();
        }
        if self.is_read_due(now, READ_INTERVAL) {
            return vec![self.begin_read(now)];
        }
        let Some(stored) = self.stored.clone() else {
            return Vec::new();
        };
        if !stored.row.settled && stored.version != 0 {
            let step = self.settle(now, view);
            let may_renew = matches!(step, Some(StewardStep::Fence(..)));
            let renewal = may_renew.then(|| self.renew_leases(now, view, &stored)).flatten();
            return step.into_iter().chain(renewal).collect();
        }
        let step = self.propose_change(now, view, &stored);
        step.or_else(|| self.renew_leases(now, view, &stored)).into_iter().collect()
    }

    /// Runs one tick of a host that is not the steward.
    pub fn tick_idle(&mut self, now: Time) -> Option<StewardStep> {
        let is_due = !self.is_call_pending(now) && self.is_read_due(now, IDLE_READ_INTERVAL);
        is_due.then(|| self.begin_read(now))
    }

    /// Handles the result of a read; `None` if there is no row.
    pub fn on_row_read(&mut self, stored: Option<StoredRow>) {
        self.call_pending_since = None;
        self.pending_write = None;
        self.set_stored(stored.unwrap_or_default());
    }

    /// Handles a failed read.
    pub fn on_read_failed(&mut self) {
        self.call_pending_since = None;
    }

    /// Handles the result of a write.
    ///
    /// Unless the write succeeded or was refused, the row is read again; its
    /// nonce shows whose write it contains.
    pub fn on_row_written(&mut self, outcome: WriteOutcome) {
        self.call_pending_since = None;
        let row = self.pending_write.take();
        match (outcome, row) {
            (WriteOutcome::Written(version), Some(row)) => {
                self.set_stored(StoredRow { row, version })
            }
            (WriteOutcome::Refused, _) => {}
            _ => self.last_read_at = None,
        }
    }

    /// Records that a witness confirmed a fence.
    pub fn on_witness_fenced(&mut self, witness: HostRef, epoch: u64) {
        let Some(stored) = &self.stored else { return };
        let is_former_witness = stored.row.groups_from.witnesses().any(|w| *w == witness);
        if epoch + 1 == stored.row.epoch && is_former_witness {
            self.fenced_witnesses.insert(witness);
        }
    }

    /// Sets the stored row, and drops the fences if its epoch is another one.
    fn set_stored(&mut self, stored: StoredRow) {
        let before = self.stored.as_ref().map_or(0, |s| s.row.epoch);
        if stored.row.epoch != before {
            self.fenced_witnesses.clear();
            self.majority_fenced_at = None;
        }
        self.stored = Some(stored);
    }

    /// Advances an epoch that is not settled yet: fences, waits, or marks the row
    /// as settled.
    fn settle(&mut self, now: Time, view: &StewardView<'_>) -> Option<StewardStep> {
        let stored = self.stored.clone()?;
        if stored.row.settled || stored.version == 0 {
            return None;
        }
        let row = &stored.row;
        let lost = row.groups_from.witnesses().filter(|w| view.lost_witnesses.contains(*w));
        self.fenced_witnesses.extend(lost.cloned());
        let expired = self.leases_expired(now, row);
        if !expired && !former_owners_released(row, view) {
            let unfenced =
                row.groups_from.witnesses().filter(|w| !self.fenced_witnesses.contains(*w));
            return Some(StewardStep::Fence(unfenced.cloned().collect(), row.epoch - 1));
        }
        let nonce = self.next_nonce();
        let settled = Row { settled: true, released: !expired, nonce, ..row.clone() };
        if self.is_call_pending(now) {
            return Some(StewardStep::Settled(settled));
        }
        Some(self.begin_write(now, settled, stored.version))
    }

    /// Whether one lease has passed since a majority of each group was known to
    /// be fenced. No lease has to expire for the first epoch.
    fn leases_expired(&mut self, now: Time, row: &Row) -> bool {
        let is_first_epoch = row.groups_from.is_empty();
        if !row.groups_from.each_has_majority(|w| self.fenced_witnesses.contains(w)) {
            return false;
        }
        let since = *self.majority_fenced_at.get_or_insert(now);
        is_first_epoch || now.since(since) >= lease::LEASE_LENGTH
    }

    /// Proposes the next epoch if the plan differs from the row.
    fn propose_change(
        &mut self,
        now: Time,
        view: &StewardView<'_>,
        stored: &StoredRow,
    ) -> Option<StewardStep> {
        let has_majority = reaches_majority(&stored.row, view);
        if !has_majority || now.since(self.last_change_at) < CHANGE_INTERVAL {
            return None;
        }
        let current = Row { region: view.region_name.clone(), ..stored.row.clone() };
        let mut next = plan_next_row(view.catalog, view.region, &current, view.hosts)?;
        next.nonce = self.next_nonce();
        self.last_change_at = now;
        Some(self.begin_write(now, next, stored.version))
    }

    /// Renews the leases of the owners through the table while a witness is
    /// missing.
    ///
    /// The write is conditional on the row's version, so a renewal at an earlier
    /// epoch cannot succeed once the row was replaced.
    fn renew_leases(
        &mut self,
        now: Time,
        view: &StewardView<'_>,
        stored: &StoredRow,
    ) -> Option<StewardStep> {
        let is_live = |w: &HostRef| view.hosts.iter().any(|c| c.host == *w);
        let all_live = stored.row.groups.witnesses().all(is_live);
        let is_due = now.since(self.last_renewal_at) >= RENEW_INTERVAL;
        if all_live || !is_due || stored.version == 0 || view.renewal_requests.is_empty() {
            return None;
        }
        self.last_renewal_at = now;
        let renewals = view.renewal_requests.to_vec();
        let row = Row { renewals, nonce: self.next_nonce(), ..stored.row.clone() };
        Some(self.begin_write(now, row, stored.version))
    }

    /// Last renewal of the owner's lease through the table.
    pub fn table_renewal(&self, owner: &HostRef) -> Option<TableRenewal> {
        let row = &self.stored.as_ref()?.row;
        let renewal = row.renewals.iter().find(|r| r.owner == *owner)?;
        Some(TableRenewal { epoch: row.epoch, sequence: renewal.sequence })
    }

    fn begin_read(&mut self, now: Time) -> StewardStep {
        self.last_read_at = Some(now);
        self.call_pending_since = Some(now);
        StewardStep::Read
    }

    fn begin_write(&mut self, now: Time, row: Row, expect: u64) -> StewardStep {
        self.call_pending_since = Some(now);
        self.pending_write = Some(row.clone());
        StewardStep::Write { row, expect }
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    fn is_call_pending(&mut self, now: Time) -> bool {
        if self.call_pending_since.is_some_and(|since| now.since(since) >= CALL_TIMEOUT) {
            self.on_row_written(WriteOutcome::Unknown);
        }
        self.call_pending_since.is_some()
    }

    fn is_read_due(&self, now: Time, interval: u64) -> bool {
        self.last_read_at.is_none_or(|at| now.since(at) >= interval)
    }
}

/// Whether a majority of each group's witnesses is live or lost for good. A host
/// that is cut off from the others must not take over their servers.
fn reaches_majority(row: &Row, view: &StewardView<'_>) -> bool {
    let is_live = |w: &HostRef| view.hosts.iter().any(|c| c.host == *w);
    row.groups.each_has_majority(|w| is_live(w) || view.lost_witnesses.contains(w))
}

/// Whether every former owner has taken the present epoch.
///
/// A host that has taken an epoch acts only on servers that both the previous and
/// the present epoch grant to it, and never asks for renewals at the previous
/// epoch again.
fn former_owners_released(row: &Row, view: &StewardView<'_>) -> bool {
    let former = row.former_owners();
    former.iter().all(|owner| view.epoch_taken_by.contains(*owner))
}
