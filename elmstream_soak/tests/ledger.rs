//! Which observations the ledger reports as violated guarantees.

use elmstream_soak::{
    ledger::{Ledger, LostRequest, Outcome, VersionObservation},
    outages::{Outages, RECOVERY_DEADLINE_MS},
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
