//! Leases: the holder's side and the witness's side.
//!
//! An owner acts under a lease of length [`LENGTH`], counted from *before* it
//! asked for the renewal. A majority of the witnesses that its row names must
//! promise. A witness that was fenced at an epoch never promises at it again;
//! it keeps this in memory only, which is safe because a restarted witness is
//! another incarnation and no row names it.

use std::collections::{HashMap, HashSet};

use crate::{
    id::{HostRef, Name},
    message::TableRenewal,
    time::{MILLI, Time},
    witness_groups::Group,
};

/// Length of a lease in microseconds.
pub const LEASE_LENGTH: u64 = 3_000 * MILLI;

/// The holder's side: the lease on everything that a region's row gives it.
#[derive(Debug, Default)]
pub struct Lease {
    /// The epoch that the present round asks at.
    epoch: u64,
    /// Rounds under way: sequence, when it was asked, who has promised.
    rounds: Vec<Round>,
    /// The lease runs to this time.
    until: Time,
}

/// One round of asking the witnesses.
#[derive(Debug)]
struct Round {
    sequence: u64,
    asked: Time,
    promised: HashSet<HostRef>,
}

/// Rounds that are kept open at a time; older ones are given up.
const ROUNDS_OPEN: usize = 4;

impl Lease {
    /// Starts a round; `now` must be read before the request is sent.
    pub fn begin_round(&mut self, now: Time, epoch: u64, sequence: u64) {
        if self.epoch != epoch {
            self.rounds.clear();
            self.epoch = epoch;
        }
        if self.rounds.len() >= ROUNDS_OPEN {
            self.rounds.remove(0);
        }
        let promised = HashSet::new();
        self.rounds.push(Round { sequence, asked: now, promised });
    }

    /// A witness of the holder's group promised at `epoch` for round `sequence`.
    pub fn on_promise(&mut self, group: &Group, by: &HostRef, epoch: u64, sequence: u64) {
        if epoch != self.epoch || !group.witnesses.contains(by) {
            return;
        }
        let Some(round) = self.rounds.iter_mut().find(|r| r.sequence == sequence) else {
            return;
        };
        round.promised.insert(by.clone());
        if group.has_majority(|w| round.promised.contains(w)) {
            self.until = self.until.max(round.asked + LEASE_LENGTH);
        }
    }

    /// The table took a renewal of what was asked in round `sequence`.
    pub fn on_table_renewal(&mut self, renewal: TableRenewal) {
        if renewal.epoch != self.epoch {
            return;
        }
        let round = self.rounds.iter().find(|r| r.sequence == renewal.sequence);
        if let Some(round) = round {
            self.until = self.until.max(round.asked + LEASE_LENGTH);
        }
    }

    /// The time to which the lease runs.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Whether the holder may act now.
    pub fn is_held(&self, now: Time) -> bool {
        now < self.until
    }
}

/// The witness's side: the highest epoch fenced, per region.
#[derive(Debug, Default)]
pub struct Witness {
    fenced: HashMap<Name, u64>,
}

impl Witness {
    /// Whether the witness promises a renewal at `epoch`.
    pub fn promises(&self, region: &str, epoch: u64) -> bool {
        self.fenced.get(region).is_none_or(|&fenced| epoch > fenced)
    }

    /// Never promises at `epoch` or below again.
    pub fn fence(&mut self, region: &Name, epoch: u64) {
        let fenced = self.fenced.entry(region.clone()).or_default();
        *fenced = epoch.max(*fenced);
    }
}
