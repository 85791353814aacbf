//! Leases: the holder's side and the witness's side.
//!
//! An owner acts under a lease of [`LEASE_LENGTH`], counted from *before* it sent
//! the renewal request, so that it never assumes a later end than its witnesses.
//! A majority of the witnesses named in the region's row must promise each
//! renewal. A witness that was fenced at an epoch never promises at that epoch
//! again. It keeps the fence in memory only: after a restart the witness is
//! another incarnation, and no row names that one.

use std::collections::{HashMap, HashSet};

use crate::{
    id::{HostRef, Name},
    message::TableRenewal,
    time::{MILLI, Time},
    witness_groups::Group,
};

/// Length of a lease, in microseconds.
pub const LEASE_LENGTH: u64 = 3_000 * MILLI;

/// The holder's side: the lease on everything that the region's row grants to the
/// host.
#[derive(Debug, Default)]
pub struct Lease {
    /// Epoch at which the open rounds ask for a renewal.
    epoch: u64,
    /// Renewal rounds that may still be answered, oldest first.
    rounds: Vec<Round>,
    /// End of the lease.
    until: Time,
}

/// One renewal request to all witnesses.
#[derive(Debug)]
struct Round {
    sequence: u64,
    asked_at: Time,
    promised_by: HashSet<HostRef>,
}

/// Rounds that are open at a time; the oldest one is dropped first.
const OPEN_ROUNDS_MAX: usize = 4;

impl Lease {
    /// Starts a renewal round. `now` must be read before the request is sent.
    pub fn begin_round(&mut self, now: Time, epoch: u64, sequence: u64) {
        if self.epoch != epoch {
            self.rounds.clear();
            self.epoch = epoch;
        }
        if self.rounds.len() >= OPEN_ROUNDS_MAX {
            self.rounds.remove(0);
        }
        let promised_by = HashSet::new();
        self.rounds.push(Round { sequence, asked_at: now, promised_by });
    }

    /// Records that a witness of the holder's group promised a renewal at `epoch`
    /// in round `sequence`. A majority extends the lease.
    pub fn on_promise(&mut self, group: &Group, witness: &HostRef, epoch: u64, sequence: u64) {
        if epoch != self.epoch || !group.witnesses.contains(witness) {
            return;
        }
        let Some(round) = self.rounds.iter_mut().find(|r| r.sequence == sequence) else {
            return;
        };
        round.promised_by.insert(witness.clone());
        if group.has_majority(|w| round.promised_by.contains(w)) {
            self.until = self.until.max(round.asked_at + LEASE_LENGTH);
        }
    }

    /// Extends the lease by a renewal that was written to the table.
    pub fn on_table_renewal(&mut self, renewal: TableRenewal) {
        if renewal.epoch != self.epoch {
            return;
        }
        let round = self.rounds.iter().find(|r| r.sequence == renewal.sequence);
        if let Some(round) = round {
            self.until = self.until.max(round.asked_at + LEASE_LENGTH);
        }
    }

    /// End of the lease.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Whether the holder may act now.
    pub fn is_held(&self, now: Time) -> bool {
        now < self.until
    }
}

/// The witness's side: the highest fenced epoch of each region.
#[derive(Debug, Default)]
pub struct Witness {
    fenced: HashMap<Name, u64>,
}

impl Witness {
    /// Whether the witness may promise a renewal at `epoch`.
    pub fn promises(&self, region: &str, epoch: u64) -> bool {
        self.fenced.get(region).is_none_or(|&fenced| epoch > fenced)
    }

    /// Stops promises at `epoch` and below for good.
    pub fn fence(&mut self, region: &Name, epoch: u64) {
        let fenced = self.fenced.entry(region.clone()).or_default();
        *fenced = epoch.max(*fenced);
    }
}
