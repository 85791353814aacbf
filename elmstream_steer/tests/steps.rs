//! When a roll-out goes on to its next stage.

use elmstream_steer::{
    rollout::{RolloutOrder, RolloutProgress, RolloutStage},
    rollout_steps::{StepContext, StepPolicy, next_stage},
    version::StoreVersion,
};
use quickcheck::quickcheck;

/// A version that is on trial, and trusted.
const TRIED: StepContext = StepContext {
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

fn late(sight: StepContext) -> Option<RolloutStage> {
    next_stage(StepPolicy::Late, &sight)
}

#[test]
fn a_trusted_version_is_shifted_to_late_and_in_two_parts() {
    assert_eq!(late(StepContext { stage: None, ..TRIED }), Some(RolloutStage::Canary));
    assert_eq!(late(StepContext { since_order_ms: 5_000, ..TRIED }), None);
    assert_eq!(late(TRIED), Some(RolloutStage::Shift(25)));
    let first = StepContext { stage: Some(RolloutStage::Shift(25)), since_stage_ms: 500, ..TRIED };
    assert_eq!(late(first), None);
    assert_eq!(
        late(StepContext { since_stage_ms: 1_000, ..first }),
        Some(RolloutStage::Shift(100))
    );
    let untried = StepContext { since_stage_ms: 1_000, routes_trusted: false, ..first };
    assert_eq!(late(untried), None);
}

#[test]
fn the_others_are_stopped_once_nobody_sends_there() {
    let all = StepContext { stage: Some(RolloutStage::Shift(100)), since_stage_ms: 1_000, ..TRIED };
    assert_eq!(late(all), None);
    assert_eq!(late(StepContext { old_drained: true, ..all }), Some(RolloutStage::Completed));
    // News have reached whoever cannot be heard, and the longest request is over.
    assert_eq!(late(StepContext { since_stage_ms: 5_000, ..all }), Some(RolloutStage::Completed));
}

#[test]
fn a_version_that_is_not_trusted_in_time_is_turned_away_before_the_deadline() {
    let unsure = StepContext { trusted: false, ..TRIED };
    assert_eq!(late(unsure), None);
    assert_eq!(
        late(StepContext { since_order_ms: 10_900, ..unsure }),
        Some(RolloutStage::RolledBack)
    );
    let few = StepContext { slots: (10, 40), since_order_ms: 10_900, ..TRIED };
    assert_eq!(late(few), Some(RolloutStage::RolledBack));
}

quickcheck! {
    fn a_bad_version_is_turned_away_at_any_stage_but_the_last(percent: u8, at: u16) -> bool {
        let stages = [RolloutStage::Canary, RolloutStage::Shift(percent)];
        let bad = |stage| StepContext {
            stage: Some(stage),
            since_order_ms: u64::from(at),
            is_bad: true,
            old_drained: true,
            ..TRIED
        };
        let ends = [RolloutStage::Completed, RolloutStage::RolledBack];
        stages.iter().all(|stage| late(bad(*stage)) == Some(RolloutStage::RolledBack))
            && ends.iter().all(|stage| late(bad(*stage)).is_none())
    }
}

/// An order that is written again is a new one; what the operator writes again because the
/// store lost it is not.
#[test]
fn a_verdict_is_of_one_order() {
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
