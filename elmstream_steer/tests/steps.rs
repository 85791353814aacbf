//! When a roll-out goes on to its next stage.

use elmstream_steer::{
    rollout::{Order, Progress, Stage},
    steps::{Sight, Stepping, next},
    version::StoreVersion,
};
use quickcheck::quickcheck;

/// A version that is on trial, and trusted.
const TRIED: Sight = Sight {
    stage: Some(Stage::Trial),
    since_order_ms: 8_000,
    since_stage_ms: 7_000,
    duration_ms: 12_000,
    longest_ms: 2_000,
    news_ms: 3_000,
    bad: false,
    trusted: true,
    routes_trusted: true,
    left: false,
    slots: (40, 40),
};

fn late(sight: Sight) -> Option<Stage> {
    next(Stepping::Late, &sight)
}

#[test]
fn a_trusted_version_is_shifted_to_late_and_in_two_parts() {
    assert_eq!(late(Sight { stage: None, ..TRIED }), Some(Stage::Trial));
    assert_eq!(late(Sight { since_order_ms: 5_000, ..TRIED }), None);
    assert_eq!(late(TRIED), Some(Stage::Shift(25)));
    let first = Sight { stage: Some(Stage::Shift(25)), since_stage_ms: 500, ..TRIED };
    assert_eq!(late(first), None);
    assert_eq!(late(Sight { since_stage_ms: 1_000, ..first }), Some(Stage::Shift(100)));
    let untried = Sight { since_stage_ms: 1_000, routes_trusted: false, ..first };
    assert_eq!(late(untried), None);
}

#[test]
fn the_others_are_stopped_once_nobody_sends_there() {
    let all = Sight { stage: Some(Stage::Shift(100)), since_stage_ms: 1_000, ..TRIED };
    assert_eq!(late(all), None);
    assert_eq!(late(Sight { left: true, ..all }), Some(Stage::Completed));
    // News have reached whoever cannot be heard, and the longest request is over.
    assert_eq!(late(Sight { since_stage_ms: 5_000, ..all }), Some(Stage::Completed));
}

#[test]
fn a_version_that_is_not_trusted_in_time_is_turned_away_before_the_deadline() {
    let unsure = Sight { trusted: false, ..TRIED };
    assert_eq!(late(unsure), None);
    assert_eq!(late(Sight { since_order_ms: 10_900, ..unsure }), Some(Stage::RolledBack));
    let few = Sight { slots: (10, 40), since_order_ms: 10_900, ..TRIED };
    assert_eq!(late(few), Some(Stage::RolledBack));
}

quickcheck! {
    fn a_bad_version_is_turned_away_at_any_stage_but_the_last(percent: u8, at: u16) -> bool {
        let stages = [Stage::Trial, Stage::Shift(percent)];
        let bad = |stage| Sight {
            stage: Some(stage),
            since_order_ms: u64::from(at),
            bad: true,
            left: true,
            ..TRIED
        };
        let ends = [Stage::Completed, Stage::RolledBack];
        stages.iter().all(|stage| late(bad(*stage)) == Some(Stage::RolledBack))
            && ends.iter().all(|stage| late(bad(*stage)).is_none())
    }
}

/// An order that is written again is a new one; what the operator writes again because the
/// store lost it is not.
#[test]
fn a_verdict_is_of_one_order() {
    let order = Order { target: "v2".into(), duration_ms: 12_000 };
    let progress = Progress {
        order: StoreVersion::new(1, 7),
        target: "v2".into(),
        stage: Stage::RolledBack,
        began_unix_ms: 0,
    };
    assert!(progress.is_of(&order, StoreVersion::new(1, 7)));
    assert!(!progress.is_of(&order, StoreVersion::new(1, 9)));
    assert!(progress.is_of(&order, StoreVersion::new(2, 3)));
    let other = Order { target: "v3".into(), ..order };
    assert!(!progress.is_of(&other, StoreVersion::new(2, 3)));
}
