//! Transitions between the stages of a roll-out.
//!
//! A version that turns out to be bad may receive a small fraction of all requests until the
//! deadline. So the canary phase lasts as long as possible, and the shift is short: first a quarter
//! of the keys, under which failures under load show, then all keys, until nothing is in flight at
//! the other servers.

use crate::rollout::RolloutStage;

/// Percentage of the keys in the first step of the shift.
const FIRST_SHIFT_PERCENT: u8 = 25;
/// Shortest time of the first step, in milliseconds: all hosts learn of it, requests are answered,
/// hosts report.
const FIRST_SHIFT_MIN_MS: u64 = 900;
/// Time that the rest of the shift takes beside the longest request, in milliseconds:
/// notifications, reports and a store write.
const FULL_SHIFT_MS: u64 = 1_600;
/// Largest fraction of the time until the deadline that the shift may take.
const SHIFT_MAX_FRACTION: f64 = 0.5;
/// A shift isn't begun with less time than this until the deadline, in milliseconds.
const SHIFT_MIN_MS: u64 = 2_500;
/// A version that isn't trusted is rolled back this long before the deadline, in milliseconds: the
/// store may take half a second, and the write may have to be repeated.
const ROLLBACK_MARGIN_MS: u64 = 1_200;
/// Slots that the ordered version must have, as a fraction of the other servers' slots.
const SLOTS_MIN_FRACTION: f64 = 0.5;
/// Percentages of the fixed policy, at even intervals.
const FIXED_PERCENTAGES: [u8; 3] = [10, 25, 50];

/// Policy for the times of the steps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StepPolicy {
    /// The canary phase lasts as long as the time for the shift allows.
    #[default]
    Late,
    /// Steps at fixed times, whatever is known of the version by then.
    Fixed,
}

/// Facts that the next stage depends on.
#[derive(Clone, Copy, Debug)]
pub struct StepContext {
    /// Present stage; `None` if the order has not begun.
    pub stage: Option<RolloutStage>,
    /// Time since the order, in milliseconds.
    pub since_order_ms: u64,
    /// Time since the stage began, in milliseconds.
    pub since_stage_ms: u64,
    /// Time from the order until it must be decided, in milliseconds.
    pub duration_ms: u64,
    /// Longest time that a request of the service may take, in milliseconds.
    pub longest_request_ms: u64,
    /// Time in which a change reaches all hosts, in milliseconds.
    pub propagation_ms: u64,
    /// Whether the analysis rejects the version.
    pub is_bad: bool,
    /// Whether enough of its answers were good.
    pub trusted: bool,
    /// Whether enough of its answers were good on each route that callers use.
    pub routes_trusted: bool,
    /// Whether no host uses the servers of other versions any more.
    pub old_drained: bool,
    /// Slots of usable servers: of the ordered version, and of all others.
    pub slots: (u32, u32),
}

impl StepContext {
    /// Time since the order at which the shift begins, in milliseconds.
    fn shift_at_ms(&self) -> u64 {
        let shift_ms = FIRST_SHIFT_MIN_MS + FULL_SHIFT_MS + self.longest_request_ms;
        let shift_max_ms = (self.duration_ms as f64 * SHIFT_MAX_FRACTION) as u64;
        self.duration_ms - shift_ms.min(shift_max_ms)
    }

    fn may_shift(&self) -> bool {
        let (target, others) = self.slots;
        self.trusted && target > 0 && f64::from(target) >= f64::from(others) * SLOTS_MIN_FRACTION
    }

    /// Whether no host sends to the servers of other versions any more. A host that can't report
    /// has learned of the stage after the propagation time, or its knowledge is too old to act on.
    fn has_moved(&self) -> bool {
        self.old_drained || self.since_stage_ms >= self.propagation_ms + self.longest_request_ms
    }
}

/// Stage that must follow now; `None` if the present one continues.
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
            if context.since_order_ms >= context.shift_at_ms() =>
        {
            let has_time = context.since_order_ms + SHIFT_MIN_MS <= context.duration_ms;
            let shift = (has_time && context.may_shift())
                .then_some(RolloutStage::Shift(FIRST_SHIFT_PERCENT));
            shift.or(at_deadline.then_some(RolloutStage::RolledBack))
        }
        (RolloutStage::Canary, StepPolicy::Late) => None,
        (_, StepPolicy::Late) => {
            // A route with few requests may have had no canary requests; the first step tests it.
            let may_continue = first_step_done && context.routes_trusted;
            let shift = may_continue.then_some(RolloutStage::Shift(100));
            shift.or(at_deadline.then_some(RolloutStage::RolledBack))
        }
        (stage, StepPolicy::Fixed) => next_fixed_stage(context, stage),
    }
}

fn next_fixed_stage(context: &StepContext, stage: RolloutStage) -> Option<RolloutStage> {
    let interval_ms = context.shift_at_ms() / (FIXED_PERCENTAGES.len() as u64 + 1);
    let passed = (context.since_order_ms / interval_ms.max(1)) as usize;
    let percent = match passed {
        0 => return None,
        passed => FIXED_PERCENTAGES.get(passed - 1).copied().unwrap_or(100),
    };
    let next = RolloutStage::Shift(percent);
    (next != stage && context.slots.0 > 0).then_some(next)
}
