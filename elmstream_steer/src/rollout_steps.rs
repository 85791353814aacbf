//! When a roll-out goes on to its next stage.
//!
//! A version that turns out to be bad may have had a small part of all requests until the
//! deadline. So it is on trial for as long as the shift to it leaves time, and the shift is
//! short: a quarter of the keys first, under which a version that is bad under load shows,
//! then all, until nothing is in flight at the other servers.

use crate::rollout::RolloutStage;

/// Part of the keys that go to the version first, in hundredths.
const FIRST_SHIFT: u8 = 25;
/// Time of the first shift at least: news reach all hosts, requests are answered, hosts
/// report, in milliseconds.
const FIRST_SHIFT_MS: u64 = 900;
/// Time for the rest beside the longest request: news, reports, a write, in milliseconds.
const REST_MS: u64 = 1_600;
/// Part of the time until the deadline that the shift takes at most.
const SHIFT_PART: f64 = 0.5;
/// A shift is not begun with less time than this until the deadline, in milliseconds.
const SHIFT_LEAST_MS: u64 = 2_500;
/// A roll-out that cannot be trusted is rolled back this long before its deadline, in
/// milliseconds: the store may take half a second, and may have to be asked again.
const ROOM_MS: u64 = 1_200;
/// Part of the other servers' slots that the ordered version must have.
const SLOTS_PART: f64 = 0.5;
/// Shares of the other way of stepping, in hundredths, at even parts of the time.
const FIXED: [u8; 3] = [10, 25, 50];

/// A way of stepping.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StepPolicy {
    /// On trial for as long as the shift leaves time.
    #[default]
    Late,
    /// At fixed times, whatever is known of the version by then.
    Fixed,
}

/// What the next stage rests on.
#[derive(Clone, Copy, Debug)]
pub struct StepContext {
    /// The present stage; none if the order has not begun.
    pub stage: Option<RolloutStage>,
    /// Time since the order, in milliseconds.
    pub since_order_ms: u64,
    /// Time since the stage began, in milliseconds.
    pub since_stage_ms: u64,
    /// Time from the order until it has to be decided, in milliseconds.
    pub duration_ms: u64,
    /// The longest time that a request of the service may take, in milliseconds.
    pub longest_request_ms: u64,
    /// Time in which news reach all hosts, in milliseconds.
    pub propagation_ms: u64,
    /// Whether the version is found to be bad.
    pub is_bad: bool,
    /// Whether enough of its answers were good.
    pub trusted: bool,
    /// The same of each route that callers ask for.
    pub routes_trusted: bool,
    /// Whether all hosts have left the servers of other versions.
    pub old_drained: bool,
    /// Slots of usable servers of the ordered version, and of the others.
    pub slots: (u32, u32),
}

impl StepContext {
    /// Time since the order at which traffic begins to shift.
    fn shift_at(&self) -> u64 {
        let shift = FIRST_SHIFT_MS + REST_MS + self.longest_request_ms;
        let most = (self.duration_ms as f64 * SHIFT_PART) as u64;
        self.duration_ms - shift.min(most)
    }

    fn may_shift(&self) -> bool {
        let (target, others) = self.slots;
        self.trusted && target > 0 && f64::from(target) >= f64::from(others) * SLOTS_PART
    }

    /// Whether nobody sends to the servers of other versions any more. Hosts that cannot be
    /// heard have learned it by the time that news take, if they can know anything.
    fn moved(&self) -> bool {
        self.old_drained || self.since_stage_ms >= self.propagation_ms + self.longest_request_ms
    }
}

/// The stage that follows now; none if the present one goes on.
pub fn next_stage(stepping: StepPolicy, sight: &StepContext) -> Option<RolloutStage> {
    let Some(stage) = sight.stage else { return Some(RolloutStage::Canary) };
    if stage.is_final() {
        return None;
    }
    if sight.is_bad {
        return Some(RolloutStage::RolledBack);
    }
    let late = sight.since_order_ms + ROOM_MS >= sight.duration_ms;
    let first_shift = sight.since_stage_ms >= FIRST_SHIFT_MS;
    match (stage, stepping) {
        (RolloutStage::Shift(100), _) => sight.moved().then_some(RolloutStage::Completed),
        (RolloutStage::Canary, StepPolicy::Late) if sight.since_order_ms >= sight.shift_at() => {
            let time = sight.since_order_ms + SHIFT_LEAST_MS <= sight.duration_ms;
            let shift = (time && sight.may_shift()).then_some(RolloutStage::Shift(FIRST_SHIFT));
            shift.or(late.then_some(RolloutStage::RolledBack))
        }
        (RolloutStage::Canary, StepPolicy::Late) => None,
        (_, StepPolicy::Late) => {
            // A route with few requests may not have been tried before; now it is.
            let goes_on = first_shift && sight.routes_trusted;
            let shift = goes_on.then_some(RolloutStage::Shift(100));
            shift.or(late.then_some(RolloutStage::RolledBack))
        }
        (stage, StepPolicy::Fixed) => fixed(sight, stage),
    }
}

fn fixed(sight: &StepContext, stage: RolloutStage) -> Option<RolloutStage> {
    let step = sight.shift_at() / (FIXED.len() as u64 + 1);
    let steps = (sight.since_order_ms / step.max(1)) as usize;
    let percent = match steps {
        0 => return None,
        steps => FIXED.get(steps - 1).copied().unwrap_or(100),
    };
    let next = RolloutStage::Shift(percent);
    (next != stage && sight.slots.0 > 0).then_some(next)
}
