//! Which observations the ledger reports as violated guarantees.

use elmstream_soak::{
    homes,
    ledger::{HomedArrival, Ledger, LostRequest, Outcome, VersionObservation},
    outages::{CONFIGURATION_DEADLINE_MS, Outages, RECOVERY_DEADLINE_MS},
};

fn lost_request(ended_after_ms: u64, stall_ms: u64) -> LostRequest {
    LostRequest { id: "once-1".into(), ended_after_ms, stall_ms, context: String::new() }
}

fn violation_count(lost_request: LostRequest, ran: bool) -> usize {
    let mut ledger = Ledger::default();
    ledger.record_lost_request(lost_request);
    // A server may begin to run the request after its caller has seen the connection end.
    if ran {
        ledger.record_run("once-1");
    }
    ledger.check_lost_requests();
    ledger.violations().len()
}

#[test]
fn unanswered_request_is_no_violation_if_close_raced_with_it() {
    assert_eq!(violation_count(lost_request(200, 0), false), 0);
    assert_eq!(violation_count(lost_request(201, 0), false), 1);
}

#[test]
fn unanswered_request_that_ran_is_always_a_violation() {
    assert_eq!(violation_count(lost_request(0, 0), true), 1);
}

#[test]
fn stalls_of_the_soak_extend_the_close_race() {
    assert_eq!(violation_count(lost_request(250, 50), false), 0);
    assert_eq!(violation_count(lost_request(251, 50), false), 1);
}

fn served(pin: u64, sent_ms: u64) -> VersionObservation {
    VersionObservation {
        host: (0, 1),
        pin,
        pin_count: 8,
        sent_ms,
        received_ms: sent_ms,
        undisturbed: true,
    }
}

#[test]
fn stale_configuration_is_reported_after_store_outage() {
    let mut outages = Outages::default();
    let outage = outages.begin(9_000);
    outages.end(outage, 11_000);
    let due = 11_000 + RECOVERY_DEADLINE_MS;
    for (sent_ms, violations) in [(due, 0), (due + 1, 1)] {
        let mut ledger = Ledger::default();
        ledger.record_configuration(1, 0);
        ledger.record_configuration(2, 10_000);
        ledger.check_served_version(&served(1, sent_ms), &outages);
        assert_eq!(ledger.violations().len(), violations, "sent at {sent_ms} ms");
        ledger.record_outcome("safe-1", Outcome::Unknown);
    }
}

/// Number of violations if a request to host 0, sent at a time, reaches the region that a version says,
/// sent by `sender`. Version 1 is written at 0 s, 2 at 10 s, and 3 at 20 s; no version has no region.
fn homes_violations(
    version: Option<u64>,
    (sent_ms, arrived_ms): (u64, u64),
    (sender, undisturbed): (usize, &[usize]),
    outages: &Outages,
) -> usize {
    let mut ledger = Ledger::default();
    for (version, written_ms) in [(1, 0), (2, 10_000), (3, 20_000)] {
        if written_ms <= arrived_ms {
            ledger.record_configuration(version, written_ms);
        }
    }
    ledger.record_sent("homed-1", 0, sent_ms);
    let region = version.map_or("b", homes::home_of_version);
    let arrival = HomedArrival { id: "homed-1", region, sender, arrived_ms };
    ledger.check_homes(&arrival, |host| undisturbed.contains(&host), outages);
    ledger.violations().len()
}

#[test]
fn homes_of_a_replaced_configuration_end_after_its_bound() {
    let due = 10_000 + CONFIGURATION_DEADLINE_MS;
    let outside = |version, sent_ms| {
        homes_violations(version, (sent_ms, due + 600), (0, &[0]), &Outages::default())
    };
    assert_eq!(outside(Some(1), due), 0, "the replaced configuration may be in force");
    assert_eq!(outside(Some(1), due + 1), 1, "it was in force too long");
    assert_eq!(outside(Some(2), due + 1), 0);
    assert_eq!(outside(Some(3), due + 1), 1, "the region of a later configuration");
    assert_eq!(outside(None, due), 1, "a region of no configuration");
}

#[test]
fn homes_that_are_written_while_a_request_is_under_way_are_allowed() {
    let sent_ms = 20_000 - 500;
    let outside = |arrived_ms| {
        homes_violations(Some(3), (sent_ms, arrived_ms), (0, &[0]), &Outages::default())
    };
    assert_eq!(outside(19_999), 1);
    assert_eq!(outside(20_000), 0);
}

#[test]
fn request_outside_its_homes_is_reported_if_receiver_or_sender_is_undisturbed() {
    let outside = |sender, undisturbed: &[usize]| {
        homes_violations(Some(1), (15_000, 15_100), (sender, undisturbed), &Outages::default())
    };
    assert_eq!(outside(0, &[]), 0);
    assert_eq!(outside(0, &[1]), 0, "a host that had no part in it");
    assert_eq!(outside(1, &[]), 0);
    assert_eq!(outside(1, &[0]), 1, "the receiver tells the relaying host the newer homes");
    assert_eq!(outside(1, &[1]), 1, "the relaying host knows the newer homes");
}

#[test]
fn replaced_homes_are_allowed_longer_only_beside_an_outage_that_delays_the_configuration() {
    let mut outages = Outages::default();
    let outage = outages.begin(9_000);
    let outside = |sent_ms, outages: &Outages| {
        homes_violations(Some(1), (sent_ms, sent_ms), (0, &[0]), outages)
    };
    assert_eq!(outside(15_000, &outages), 0, "the outage lasts");
    outages.end(outage, 12_000);
    let due = 12_000 + RECOVERY_DEADLINE_MS;
    assert_eq!(outside(due, &outages), 0);
    assert_eq!(outside(due + 1, &outages), 1);
    let later = outages.begin(due);
    outages.end(later, due + 900);
    assert_eq!(outside(due + 1, &outages), 1, "a later outage is no excuse");
}
