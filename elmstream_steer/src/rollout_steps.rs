//! Decides when a roll-out enters its next stage.
//!
//! An operator's order moves a service to another version before a deadline. In the canary phase a
//! small fraction of the requests goes to the ordered version; in the shift, a percentage of the
//! keys. The roll-out ends when all traffic has moved, or when the version is rolled back.
//!
//! Of all requests between the order and the deadline, a version that turns out to be bad may
//! receive only a small fraction. The canary phase keeps within it, so it lasts as long as
//! possible, and the shift is short: first a quarter of the keys, which reveals failures under
//! load, then all keys, until no request is in flight at the servers of other versions.

use crate::rollout::RolloutStage;

/// Percentage of the keys in the first step of the shift.
const FIRST_SHIFT_PERCENT: u8 = 25;
/// Shortest time of the first step of the shift, in milliseconds. Within it all hosts learn of the
/// step, requests are answered, and hosts report the outcomes.
const FIRST_SHIFT_MIN_MS: u64 = 900;
/// Time from the shift of all keys to the end of the roll-out, in milliseconds, without the longest
/// request: notifications, reports and a store write.
const FULL_SHIFT_MS: u64 = 1_600;
/// Largest fraction of the time between the order and the deadline that is set aside for the shift.
const SHIFT_MAX_FRACTION: f64 = 0.5;
/// A shift isn't begun with less time than this until the deadline, in milliseconds.
const SHIFT_MIN_MS: u64 = 2_500;
/// A version that may not receive all keys by then is rolled back this long before the deadline, in
/// milliseconds: the store may take half a second, and the write may have to be repeated.
const ROLLBACK_MARGIN_MS: u64 = 1_200;
/// Slots that the ordered version must have before the shift, as a fraction of the slots of all
/// other versions.
const SLOTS_MIN_FRACTION: f64 = 0.5;
/// Percentages of the keys in the steps of [`StepPolicy::Fixed`]. They follow each other at even
/// intervals, and all keys follow after one more.
const FIXED_PERCENTAGES: [u8; 3] = [10, 25, 50];

/// Rule for the times at which stages begin.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StepPolicy {
    /// The shift begins as late as the deadline allows, if the version is trusted and has enough
    /// slots.
    #[default]
    Late,
    /// The percentage rises at fixed times, whether or not the version is trusted; a version that
    /// is found to be bad is still rolled back.
    Fixed,
}

/// Facts that the next stage depends on.
#[derive(Clone, Copy, Debug)]
pub struct StepContext {
    /// Present stage; `None` if the roll-out has not begun.
    pub stage: Option<RolloutStage>,
    /// Time since the order, in milliseconds.
    pub since_order_ms: u64,
    /// Time since the stage began, in milliseconds.
    pub since_stage_ms: u64,
    /// Time from the order to the deadline, by which the roll-out must be completed or rolled back,
    /// in milliseconds.
    pub duration_ms: u64,
    /// Longest time that a request of the service may take, in milliseconds.
    pub longest_request_ms: u64,
    /// Time in which a change reaches all hosts, in milliseconds.
    pub propagation_ms: u64,
    /// Whether the canary analysis has found the ordered version to be bad.
    pub is_bad: bool,
    /// Whether the ordered version gave enough good answers over all routes, or too few requests
    /// are expected until the deadline for a bad version to do harm.
    pub trusted: bool,
    /// Like `trusted`, with enough good answers on each route that callers use.
    pub routes_trusted: bool,
    /// Whether all live hosts report that they no longer use servers of other versions.
    pub old_drained: bool,
    /// Slots of usable servers: of the ordered version, and of all other versions.
    pub slots: (u32, u32),
}

impl StepContext {
    /// Time since the order at which the shift begins, in milliseconds.
    fn shift_start_ms(&self) -> u64 {
        let shift_ms = FIRST_SHIFT_MIN_MS + FULL_SHIFT_MS + self.longest_request_ms;
        let shift_max_ms = (self.duration_ms as f64 * SHIFT_MAX_FRACTION) as u64;
        self.duration_ms - shift_ms.min(shift_max_ms)
    }

    fn may_shift(&self) -> bool {
        let (target, others) = self.slots;
        self.trusted && target > 0 && f64::from(target) >= f64::from(others) * SLOTS_MIN_FRACTION
    }

    /// Whether all traffic has moved to the ordered version. A host that can't report counts as
    /// moved after the propagation time and the longest request: by then it has learned of the
    /// stage, or its knowledge is too old to act on.
    fn has_moved(&self) -> bool {
        self.old_drained || self.since_stage_ms >= self.propagation_ms + self.longest_request_ms
    }
}

/// Stage that the roll-out must enter now; `None` if the present one continues.
pub fn next_stage(policy: StepPolicy, context: &StepContext) -> Option<RolloutStage> {
    let Some(stage) = context.stage else { return Some(RolloutStage::Canary) };
    if stage.is_final() {
        return None;
    }
    if context.is_bad {
        return Some(RolloutStage::RolledBack);
    }
    let at_deadline = context.since_order_ms + ROLLBACK_MARGIN_MS >= context.duration_ms;
    let first_step_done = context.since_stage_ms >= FIRST_SHIFT_MIN_MS;
    match (stage, policy) {
        (RolloutStage::Shift(100), _) => context.has_moved().then_some(RolloutStage::Completed),
        (RolloutStage::Canary, StepPolicy::Late)
            if context.since_order_ms >= context.shift_start_ms() =>
        {
            let has_time = context.since_order_ms + SHIFT_MIN_MS <= context.duration_ms;
            let shift = (has_time && context.may_shift())
                .then_some(RolloutStage::Shift(FIRST_SHIFT_PERCENT));
            shift.or(at_deadline.then_some(RolloutStage::RolledBack))
        }
        (RolloutStage::Canary, StepPolicy::Late) => None,
        (_, StepPolicy::Late) => {
            // A route with few requests may have had no canary requests; the first step of the
            // shift tests it.
            let may_continue = first_step_done && context.routes_trusted;
            let shift = may_continue.then_some(RolloutStage::Shift(100));
            shift.or(at_deadline.then_some(RolloutStage::RolledBack))
        }
        (stage, StepPolicy::Fixed) => next_fixed_stage(context, stage),
    }
}

fn next_fixed_stage(context: &StepContext, stage: RolloutStage) -> Option<RolloutStage> {
    let interval_ms = context.shift_start_ms() / (FIXED_PERCENTAGES.len() as u64 + 1);
    let passed = (context.since_order_ms / interval_ms.max(1)) as usize;
    let percent = match passed {
        0 => return None,
        passed => FIXED_PERCENTAGES.get(passed - 1).copied().unwrap_or(100),
    };
    let next = RolloutStage::Shift(percent);
    (next != stage && context.slots.0 > 0).then_some(next)
}
