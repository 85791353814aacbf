//! Roll-outs: what an operator orders, and how far hosts agree that it has come.
//!
//! An order moves the traffic of a service to servers of another version. Its progress is
//! a row of the store that the host which reads for all writes under a condition, so hosts
//! agree on it whatever they hear of each other, and one that starts knows it. A host sends
//! to the ordered version only as long as its knowledge of that row is young: whoever cannot
//! know whether the version has been judged does not send to it.

use elmstream::time::{MILLI, Time};
use serde::{Deserialize, Serialize};

use crate::{hash, version::StoreVersion};

/// Part of the bound on a version that was judged for which a host goes by what it knows of
/// a roll-out. The rest is for the judge: reports each half second, a sum, a write.
const YOUNG_PART: f64 = 0.5;
/// Hosts that send requests on trial at most; they report what became of these, and one
/// host sums that up. In larger fleets they are drawn.
pub(crate) const SENDERS: f64 = 64.0;
/// The drawn ones send more of theirs, so that services with few requests are tried out as
/// well; no more than this many times, as one of them may have most of the callers.
const TRIALS_MOST: f64 = 4.0;
/// Servers of the ordered version that get requests on trial, if there are as many.
const CANARIES_LEAST: usize = 3;
/// Part of the requests that may reach a version which is not trusted that is used on trial.
/// The rest is for what it gets as traffic shifts, until it is found out to be bad after all.
pub const CANARY_SHARE: f64 = 0.5;
/// For how long servers of other versions that were there before get nothing once a
/// roll-out is completed: the platform stops them, and their entries lapse.
pub(crate) const STOPPED: u64 = 10_000 * MILLI;

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// The version that servers have to be of.
    pub target: String,
    /// Time from the order until it has to be decided, in milliseconds.
    pub duration_ms: u64,
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutStage {
    /// A small part of the requests tries the version out.
    Canary,
    /// So many hundredths of the keys go there; with 100 the other servers get nothing.
    Shift(u8),
    /// All traffic has moved, and the other servers may be stopped.
    Completed,
    /// The version gets nothing any more.
    RolledBack,
}

impl RolloutStage {
    /// Whether nothing follows it.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutStage::Completed | RolloutStage::RolledBack)
    }

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            RolloutStage::Canary => "trial",
            RolloutStage::Shift(_) => "shift",
            RolloutStage::Completed => "completed",
            RolloutStage::RolledBack => "rolled_back",
        }
    }
}

/// The progress of an order, as the store has it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutProgress {
    /// The store's version of the order's row.
    pub order: StoreVersion,
    /// The ordered version.
    pub target: String,
    /// How far it has come.
    pub stage: RolloutStage,
    /// When the order was first seen, by the time of day of the host that wrote that, in
    /// milliseconds; used by hosts that have started since.
    pub began_unix_ms: u64,
}

impl RolloutProgress {
    /// Whether it is the progress of an order.
    ///
    /// An order that is written again is a new one. But the operator also writes again what a
    /// store that came back from a copy has lost, and that takes no verdict back.
    pub fn belongs_to(&self, order: &RolloutOrder, version: StoreVersion) -> bool {
        let written_again = self.order.era < version.era;
        self.target == order.target && (self.order == version || written_again)
    }

    /// Whether it holds on against another one of the same order.
    pub fn outranks(&self, other: Option<&RolloutProgress>) -> bool {
        let goes_on =
            |other: &RolloutProgress| self.target == other.target && !other.stage.is_final();
        self.stage.is_final() && other.is_none_or(goes_on)
    }
}

/// Whether a server may get requests while its service is rolled out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RolloutRole {
    /// No roll-out concerns it.
    #[default]
    Unaffected,
    /// It is of another version than the ordered one.
    Old,
    /// It is of the ordered version, and gets requests on trial.
    Canary,
    /// It is of the ordered version, and gets requests as traffic shifts.
    Target,
    /// It gets nothing.
    Excluded,
}

/// Which servers a request may go to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RolloutArm {
    /// All that are not shut.
    #[default]
    Any,
    /// Servers of other versions than the ordered one.
    Old,
    /// Those of the ordered version that are tried out, if they have a slot free.
    Canary,
    /// All of the ordered version.
    Target,
}

impl RolloutArm {
    /// Whether a server is among them.
    pub fn includes(self, standing: RolloutRole) -> bool {
        match self {
            RolloutArm::Any => standing != RolloutRole::Excluded,
            RolloutArm::Old => matches!(standing, RolloutRole::Unaffected | RolloutRole::Old),
            RolloutArm::Canary => standing == RolloutRole::Canary,
            RolloutArm::Target => matches!(standing, RolloutRole::Canary | RolloutRole::Target),
        }
    }
}

/// A roll-out as one host knows it.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub order: RolloutOrder,
    /// The store's version of the order's row.
    pub version: StoreVersion,
    /// When this host learned of the order.
    pub learned_at: Time,
    /// Its progress, and since when this host knows of the stage.
    pub progress: Option<(RolloutProgress, Time)>,
    /// Part of its requests that this host sends on trial, as [`canary_multiplier`] gives it.
    pub canary_multiplier: f64,
}

impl Rollout {
    /// The stage; none if the order is not known to have begun.
    pub fn stage(&self) -> Option<RolloutStage> {
        self.progress.as_ref().map(|(progress, _)| progress.stage)
    }

    /// Whether it is still to be decided.
    pub fn is_active(&self) -> bool {
        self.stage().is_none_or(|stage| !stage.is_final())
    }

    /// Where a server of the service stands; `first` says whether it is among the first ones
    /// of the ordered version, `known` since when it is known.
    pub fn role(&self, now: Time, version: &str, first: bool, known: Time) -> RolloutRole {
        let target = version == self.order.target;
        match (&self.progress, target) {
            (None, true) => RolloutRole::Excluded,
            (None, false) => RolloutRole::Old,
            (Some((progress, since)), _) => match (progress.stage, target) {
                (RolloutStage::Canary | RolloutStage::Shift(_), true) if first => {
                    RolloutRole::Canary
                }
                (RolloutStage::Canary | RolloutStage::Shift(_), true) => RolloutRole::Target,
                (RolloutStage::Canary | RolloutStage::Shift(_), false) => RolloutRole::Old,
                (RolloutStage::RolledBack, true) => RolloutRole::Excluded,
                (RolloutStage::Completed, false)
                    if known <= *since && now.since(*since) < STOPPED =>
                {
                    RolloutRole::Excluded
                }
                (RolloutStage::Completed | RolloutStage::RolledBack, _) => RolloutRole::Unaffected,
            },
        }
    }

    /// Which servers a request of a key goes to. `young` says whether what is known of the
    /// progress is; `again` whether a server has been tried; `affords` whether the bound on
    /// requests on trial leaves one.
    pub fn pick_arm(
        &self,
        key: u64,
        young: bool,
        again: bool,
        affords: impl FnOnce() -> bool,
    ) -> RolloutArm {
        match self.stage() {
            Some(RolloutStage::Completed | RolloutStage::RolledBack) => RolloutArm::Any,
            Some(RolloutStage::Shift(100)) if young => RolloutArm::Target,
            // One that may have failed there goes where it is safe.
            Some(RolloutStage::Canary | RolloutStage::Shift(_)) if again => RolloutArm::Old,
            Some(RolloutStage::Canary) if young && self.canary_multiplier > 0.0 && affords() => {
                RolloutArm::Canary
            }
            Some(RolloutStage::Shift(percent)) if young => {
                let draw = hash::unit_interval(hash::combine(key, hash::of(&self.order.target)));
                if draw * 100.0 < f64::from(percent) { RolloutArm::Target } else { RolloutArm::Old }
            }
            _ => RolloutArm::Old,
        }
    }
}

/// How long a host goes by what it knows of a roll-out, in microseconds.
pub fn max_progress_age(rollback_ms: u64) -> u64 {
    (rollback_ms as f64 * YOUNG_PART) as u64 * MILLI
}

/// How much of its own requests a host sends on trial, as a multiple of the part that all of
/// them may be: 0 for one that is not drawn to. Whatever hosts take the fleet for, what they
/// send is that part of all requests on average.
pub(crate) fn canary_multiplier(host: u64, order: StoreVersion, fleet: usize) -> f64 {
    let one_of = (fleet as f64 / SENDERS).max(1.0);
    let drawn = hash::unit_interval(hash::combine(host, order.count)) * one_of < 1.0;
    if drawn { one_of.min(TRIALS_MOST) } else { 0.0 }
}

/// Servers of the ordered version that get requests on trial, of so many; together they are
/// asked about as much as they are with all requests, so that what fails under load shows.
pub(crate) fn canary_count(servers: usize, share: f64, fleet: usize) -> usize {
    let one_of = (fleet as f64 / SENDERS).max(1.0);
    let senders = one_of.min(TRIALS_MOST) / one_of;
    let part = share * CANARY_SHARE * senders;
    ((servers as f64 * part).ceil() as usize).max(CANARIES_LEAST)
}
