//! Roll-out orders of operators, and the progress that all hosts agree on.
//!
//! An order moves the traffic of a service to servers of another version. Its progress is a row of
//! the store that only the store reader of the fleet writes, with a conditional write, so all hosts
//! agree on it whatever messages they receive, and a host that starts learns it from the store. A
//! host sends to the ordered version only while its knowledge of that row is recent: a host that
//! can't know whether the version has been rejected must not send to it.

use elmstream::time::{MILLI, Time};
use serde::{Deserialize, Serialize};

use crate::{hash, version::StoreVersion};

/// Fraction of the rollback time limit after which a host's knowledge of the progress is too old to
/// act on. The rest of the limit is left for the analysis: a report every half second, adding up
/// the reports, and a store write.
const MAX_PROGRESS_AGE_FRACTION: f64 = 0.5;
/// Highest expected number of hosts that send canary requests. These hosts report the outcomes, and
/// one host adds the reports up, so the number is limited. In larger fleets the hosts are drawn by
/// hash.
pub(crate) const CANARY_SENDERS_MAX: f64 = 64.0;
/// Upper bound of [`canary_multiplier`]. Drawn hosts send a larger share of their requests, so that
/// services with few requests are tested as well; the bound is needed because one drawn host may
/// serve most of the callers.
const CANARY_MULTIPLIER_MAX: f64 = 4.0;
/// Lowest number of canary servers, if the ordered version has that many.
const CANARY_SERVERS_MIN: usize = 3;
/// Fraction of the requests that an untrusted version may receive which the canary phase uses. The
/// rest is for the requests that the version receives while traffic shifts, until it is found to be
/// bad after all.
pub const CANARY_SHARE: f64 = 0.5;
/// Time after completion in which servers of other versions that were known before receive nothing:
/// the platform stops them, and their entries expire.
pub(crate) const COMPLETED_EXCLUSION: u64 = 10_000 * MILLI;

/// Operator's order to move a service to another version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Version that the service moves to.
    pub target: String,
    /// Time from the order until it must be completed or rolled back, in milliseconds.
    pub duration_ms: u64,
}

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutStage {
    /// A small fraction of the requests goes to the ordered version.
    Canary,
    /// Percentage of the keys that go to the ordered version; at 100 the other servers receive
    /// nothing.
    Shift(u8),
    /// All traffic has moved, and servers of other versions may be stopped.
    Completed,
    /// The version was rejected and receives nothing.
    RolledBack,
}

impl RolloutStage {
    /// Whether the stage is the last one of its order.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutStage::Completed | RolloutStage::RolledBack)
    }

    /// Name of the stage in logs; these strings are stable.
    pub fn name(self) -> &'static str {
        match self {
            RolloutStage::Canary => "trial",
            RolloutStage::Shift(_) => "shift",
            RolloutStage::Completed => "completed",
            RolloutStage::RolledBack => "rolled_back",
        }
    }

    /// Name of the stage in logs, with the percentage of a shift.
    pub fn text(self) -> String {
        match self {
            RolloutStage::Shift(percent) => format!("{} {percent}%", self.name()),
            stage => stage.name().to_owned(),
        }
    }
}

/// Progress of an order, as stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutProgress {
    /// Store version of the order's row.
    pub order: StoreVersion,
    /// Ordered version.
    pub target: String,
    /// Stage that the order has reached.
    pub stage: RolloutStage,
    /// When the order was first seen, in Unix milliseconds by the wall clock of the host that wrote
    /// the row. Hosts that started later derive the age of the order from it.
    pub began_unix_ms: u64,
}

impl RolloutProgress {
    /// Whether this is the progress of the given order, whose row has the given store version.
    ///
    /// An order that is written again is a new order. The exception is an order that the operator
    /// writes again after a store restored from a backup lost it: its row is of a later era, and
    /// the earlier decision remains valid.
    pub fn belongs_to(&self, order: &RolloutOrder, version: StoreVersion) -> bool {
        let written_after_restore = self.order.era < version.era;
        self.target == order.target && (self.order == version || written_after_restore)
    }

    /// Whether this progress takes precedence over another progress of the same order: a final
    /// stage wins over a missing one or one that is still under way.
    pub fn outranks(&self, other: Option<&RolloutProgress>) -> bool {
        let is_unfinished =
            |other: &RolloutProgress| self.target == other.target && !other.stage.is_final();
        self.stage.is_final() && other.is_none_or(is_unfinished)
    }
}

/// Role of a server in the roll-out of its service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RolloutRole {
    /// No roll-out affects it.
    #[default]
    Unaffected,
    /// Its version is not the ordered one.
    Old,
    /// It has the ordered version, and receives canary requests.
    Canary,
    /// It has the ordered version, and receives requests once traffic shifts.
    Target,
    /// It receives nothing.
    Excluded,
}

/// Set of servers that a request may go to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RolloutArm {
    /// All servers that are not excluded.
    #[default]
    Any,
    /// Servers of versions other than the ordered one.
    Old,
    /// Canary servers of the ordered version.
    Canary,
    /// All servers of the ordered version.
    Target,
}

impl RolloutArm {
    /// Whether a server with the given role belongs to the set.
    pub fn includes(self, role: RolloutRole) -> bool {
        match self {
            RolloutArm::Any => role != RolloutRole::Excluded,
            RolloutArm::Old => matches!(role, RolloutRole::Unaffected | RolloutRole::Old),
            RolloutArm::Canary => role == RolloutRole::Canary,
            RolloutArm::Target => matches!(role, RolloutRole::Canary | RolloutRole::Target),
        }
    }
}

/// Roll-out as one host knows it.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub order: RolloutOrder,
    /// Store version of the order's row.
    pub version: StoreVersion,
    /// When this host learned of the order.
    pub learned_at: Time,
    /// Progress, and since when this host knows its stage.
    pub progress: Option<(RolloutProgress, Time)>,
    /// Multiple of the canary share that this host sends, see [`canary_multiplier`].
    pub canary_multiplier: f64,
}

impl Rollout {
    /// Stage, or `None` if the order is not known to have begun.
    pub fn stage(&self) -> Option<RolloutStage> {
        self.progress.as_ref().map(|(progress, _)| progress.stage)
    }

    /// Whether the roll-out is neither completed nor rolled back.
    pub fn is_active(&self) -> bool {
        self.stage().is_none_or(|stage| !stage.is_final())
    }

    /// Role of a server of the service. `is_canary` tells whether the server is among the canary
    /// servers of the ordered version, `known_since` when this host learned of the server.
    pub fn role(
        &self,
        now: Time,
        version: &str,
        is_canary: bool,
        known_since: Time,
    ) -> RolloutRole {
        let is_target = version == self.order.target;
        match (&self.progress, is_target) {
            (None, true) => RolloutRole::Excluded,
            (None, false) => RolloutRole::Old,
            (Some((progress, since)), _) => match (progress.stage, is_target) {
                (RolloutStage::Canary | RolloutStage::Shift(_), true) if is_canary => {
                    RolloutRole::Canary
                }
                (RolloutStage::Canary | RolloutStage::Shift(_), true) => RolloutRole::Target,
                (RolloutStage::Canary | RolloutStage::Shift(_), false) => RolloutRole::Old,
                (RolloutStage::RolledBack, true) => RolloutRole::Excluded,
                (RolloutStage::Completed, false)
                    if known_since <= *since && now.since(*since) < COMPLETED_EXCLUSION =>
                {
                    RolloutRole::Excluded
                }
                (RolloutStage::Completed | RolloutStage::RolledBack, _) => RolloutRole::Unaffected,
            },
        }
    }

    /// Servers that a request for a key may go to. `progress_recent` tells whether the progress is
    /// known recently enough to act on, `is_retry` whether another server has been tried,
    /// `can_withdraw` whether the budget allows another canary request.
    pub fn pick_arm(
        &self,
        key: u64,
        progress_recent: bool,
        is_retry: bool,
        can_withdraw: impl FnOnce() -> bool,
    ) -> RolloutArm {
        match self.stage() {
            Some(RolloutStage::Completed | RolloutStage::RolledBack) => RolloutArm::Any,
            Some(RolloutStage::Shift(100)) if progress_recent => RolloutArm::Target,
            // The first attempt may have failed at the ordered version; the retry goes to the
            // others.
            Some(RolloutStage::Canary | RolloutStage::Shift(_)) if is_retry => RolloutArm::Old,
            Some(RolloutStage::Canary)
                if progress_recent && self.canary_multiplier > 0.0 && can_withdraw() =>
            {
                RolloutArm::Canary
            }
            Some(RolloutStage::Shift(percent)) if progress_recent => {
                let draw = hash::unit_interval(hash::combine(key, hash::of(&self.order.target)));
                if draw * 100.0 < f64::from(percent) { RolloutArm::Target } else { RolloutArm::Old }
            }
            _ => RolloutArm::Old,
        }
    }
}

/// Age, in microseconds, at which a host's knowledge of roll-out progress is too old to act on;
/// `rollback_ms` is the time limit for rolling a bad version back, in milliseconds.
pub fn max_progress_age(rollback_ms: u64) -> u64 {
    (rollback_ms as f64 * MAX_PROGRESS_AGE_FRACTION) as u64 * MILLI
}

/// Multiple of the fleet's canary share that a host sends of its own requests; 0 for a host that is
/// not drawn. On average the fleet sends its canary share, even if hosts disagree on the size of
/// the fleet.
pub(crate) fn canary_multiplier(host: u64, order: StoreVersion, fleet_size: usize) -> f64 {
    let hosts_per_sender = (fleet_size as f64 / CANARY_SENDERS_MAX).max(1.0);
    let is_drawn = hash::unit_interval(hash::combine(host, order.count)) * hosts_per_sender < 1.0;
    if is_drawn { hosts_per_sender.min(CANARY_MULTIPLIER_MAX) } else { 0.0 }
}

/// Number of canary servers among the `servers` of the ordered version. Together they receive about
/// the load per server that they would have with all traffic, so that failures under load show.
pub(crate) fn canary_count(servers: usize, share: f64, fleet_size: usize) -> usize {
    let hosts_per_sender = (fleet_size as f64 / CANARY_SENDERS_MAX).max(1.0);
    let multiplier = hosts_per_sender.min(CANARY_MULTIPLIER_MAX) / hosts_per_sender;
    let request_fraction = share * CANARY_SHARE * multiplier;
    ((servers as f64 * request_fraction).ceil() as usize).max(CANARY_SERVERS_MIN)
}
