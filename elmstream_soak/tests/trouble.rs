//! When a configuration is due in spite of outages of the store.

use elmstream_soak::outages::{CONFIGURATION_DEADLINE_MS, Outages, RECOVERY_DEADLINE_MS};

fn outages(spans: &[(u64, u64)]) -> Outages {
    let mut outages = Outages::default();
    for (begin, end) in spans {
        let outage_id = outages.begin(*begin);
        outages.end(outage_id, *end);
    }
    outages
}

#[test]
fn configuration_is_due_a_fixed_time_after_acknowledgement() {
    assert_eq!(outages(&[]).due(10_000), Some(10_000 + CONFIGURATION_DEADLINE_MS));
}

#[test]
fn ended_outage_extends_deadline_by_recovery_time() {
    let outage = outages(&[(7_000, 9_900)]);
    assert_eq!(outage.due(10_000), Some(9_900 + RECOVERY_DEADLINE_MS));
    let earlier_outage = outages(&[(2_000, 4_000)]);
    assert_eq!(earlier_outage.due(10_000), Some(10_000 + CONFIGURATION_DEADLINE_MS));
}

#[test]
fn lasting_outage_suspends_deadline() {
    let mut outage = Outages::default();
    outage.begin(9_000);
    assert_eq!(outage.due(10_000), None);
    assert_eq!(
        outage.due(5_000),
        Some(5_000 + CONFIGURATION_DEADLINE_MS),
        "the configuration was due before the outage"
    );
}

#[test]
fn outage_after_deadline_is_no_excuse() {
    let deadline = 10_000 + CONFIGURATION_DEADLINE_MS;
    assert_eq!(outages(&[(deadline, deadline + 900)]).due(10_000), Some(deadline));
    let just_before = deadline - 1;
    assert_eq!(
        outages(&[(just_before, just_before + 900)]).due(10_000),
        Some(just_before + 900 + RECOVERY_DEADLINE_MS)
    );
}
