//! When a configuration is due after troubles of the store.

use elmstream_soak::outages::{CONFIGURATION_DEADLINE_MS, Outages, RECOVERY_DEADLINE_MS};

fn troubles(spans: &[(u64, u64)]) -> Outages {
    let mut troubles = Outages::default();
    for (begin, end) in spans {
        let number = troubles.begin(*begin);
        troubles.end(number, *end);
    }
    troubles
}

#[test]
fn without_trouble_the_bound_counts_from_the_acknowledgement() {
    assert_eq!(troubles(&[]).due(10_000), Some(10_000 + CONFIGURATION_DEADLINE_MS));
}

#[test]
fn a_silence_that_ended_before_leaves_only_the_time_to_get_in_touch() {
    let silent = troubles(&[(7_000, 9_900)]);
    assert_eq!(silent.due(10_000), Some(9_900 + RECOVERY_DEADLINE_MS));
    let long_ago = troubles(&[(2_000, 4_000)]);
    assert_eq!(long_ago.due(10_000), Some(10_000 + CONFIGURATION_DEADLINE_MS));
}

#[test]
fn a_silence_that_goes_on_leaves_nothing_due() {
    let mut silent = Outages::default();
    silent.begin(9_000);
    assert_eq!(silent.due(10_000), None);
    assert_eq!(silent.due(5_000), Some(5_000 + CONFIGURATION_DEADLINE_MS), "it was due before");
}

#[test]
fn a_silence_excuses_nothing_that_was_due_before_it() {
    let first = 10_000 + CONFIGURATION_DEADLINE_MS;
    assert_eq!(troubles(&[(first, first + 900)]).due(10_000), Some(first));
    let second = first - 1;
    assert_eq!(
        troubles(&[(second, second + 900)]).due(10_000),
        Some(second + 900 + RECOVERY_DEADLINE_MS)
    );
}
