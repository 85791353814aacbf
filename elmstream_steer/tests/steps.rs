//! Transitions between the stages of a roll-out.

use elmstream_steer::{
    rollout::{RolloutOrder, RolloutProgress, RolloutStage},
    rollout_steps::{StepContext, StepPolicy, next_stage},
    version::StoreVersion,
};
use quickcheck::quickcheck;

/// A trusted version in the canary phase, at the time when the shift begins.
const TRUSTED: StepContext = StepContext {
    stage: Some(RolloutStage::Canary),
    since_order_ms: 8_000,
    since_stage_ms: 7_000,
    duration_ms: 12_000,
    longest_request_ms: 2_000,
    propagation_ms: 3_000,
    is_bad: false,
    trusted: true,
    routes_trusted: true,
    old_drained: false,
    slots: (40, 40),
};

fn next_late(context: StepContext) -> Option<RolloutStage> {
    next_stage(StepPolicy::Late, &context)
}

#[test]
fn trusted_version_is_shifted_late_and_in_two_steps() {
    assert_eq!(next_late(StepContext { stage: None, ..TRUSTED }), Some(RolloutStage::Canary));
    assert_eq!(next_late(StepContext { since_order_ms: 5_000, ..TRUSTED }), None);
    assert_eq!(next_late(TRUSTED), Some(RolloutStage::Shift(25)));
    let first_step =
        StepContext { stage: Some(RolloutStage::Shift(25)), since_stage_ms: 500, ..TRUSTED };
    assert_eq!(next_late(first_step), None);
    assert_eq!(
        next_late(StepContext { since_stage_ms: 1_000, ..first_step }),
        Some(RolloutStage::Shift(100))
    );
    let route_untested = StepContext { since_stage_ms: 1_000, routes_trusted: false, ..first_step };
    assert_eq!(next_late(route_untested), None);
}

#[test]
fn other_versions_stop_once_no_host_sends_there() {
    let full_shift =
        StepContext { stage: Some(RolloutStage::Shift(100)), since_stage_ms: 1_000, ..TRUSTED };
    assert_eq!(next_late(full_shift), None);
    assert_eq!(
        next_late(StepContext { old_drained: true, ..full_shift }),
        Some(RolloutStage::Completed)
    );
    // Every host has learned of the stage or can't act on it, and the longest request is over.
    assert_eq!(
        next_late(StepContext { since_stage_ms: 5_000, ..full_shift }),
        Some(RolloutStage::Completed)
    );
}

#[test]
fn untrusted_version_is_rolled_back_before_the_deadline() {
    let untrusted = StepContext { trusted: false, ..TRUSTED };
    assert_eq!(next_late(untrusted), None);
    assert_eq!(
        next_late(StepContext { since_order_ms: 10_900, ..untrusted }),
        Some(RolloutStage::RolledBack)
    );
    let few_slots = StepContext { slots: (10, 40), since_order_ms: 10_900, ..TRUSTED };
    assert_eq!(next_late(few_slots), Some(RolloutStage::RolledBack));
}

quickcheck! {
    fn bad_version_is_rolled_back_at_any_stage_but_final_ones(percent: u8, at: u16) -> bool {
        let stages = [RolloutStage::Canary, RolloutStage::Shift(percent)];
        let bad = |stage| StepContext {
            stage: Some(stage),
            since_order_ms: u64::from(at),
            is_bad: true,
            old_drained: true,
            ..TRUSTED
        };
        let final_stages = [RolloutStage::Completed, RolloutStage::RolledBack];
        stages.iter().all(|stage| next_late(bad(*stage)) == Some(RolloutStage::RolledBack))
            && final_stages.iter().all(|stage| next_late(bad(*stage)).is_none())
    }
}

/// An order that is written again is a new order, unless the operator writes it because a restored
/// store had lost it. A decision must apply to its own order only.
#[test]
fn decision_applies_to_one_order_only() {
    let order = RolloutOrder { target: "v2".into(), duration_ms: 12_000 };
    let progress = RolloutProgress {
        order: StoreVersion::new(1, 7),
        target: "v2".into(),
        stage: RolloutStage::RolledBack,
        began_unix_ms: 0,
    };
    assert!(progress.belongs_to(&order, StoreVersion::new(1, 7)));
    assert!(!progress.belongs_to(&order, StoreVersion::new(1, 9)));
    assert!(progress.belongs_to(&order, StoreVersion::new(2, 3)));
    let other = RolloutOrder { target: "v3".into(), ..order };
    assert!(!progress.belongs_to(&other, StoreVersion::new(2, 3)));
}
