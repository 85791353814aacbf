//! What the ledger takes for a broken promise.

use elmstream_soak::{
    ledger::{Ledger, LostRequest, Outcome, VersionObservation},
    outages::{Outages, RECOVERY_DEADLINE_MS},
};

fn cut(after: u64, late: u64) -> LostRequest {
    LostRequest {
        id: "once-1".into(),
        ended_after_ms: after,
        stall_ms: late,
        context: String::new(),
    }
}

fn judged(cut: LostRequest, ran: bool) -> usize {
    let mut ledger = Ledger::default();
    ledger.record_lost_request(cut);
    // A server may begin to run it after its caller has seen the end.
    if ran {
        ledger.record_run("once-1");
    }
    ledger.check_lost_requests();
    ledger.violations().len()
}

#[test]
fn a_close_that_crosses_the_request_is_no_loss() {
    assert_eq!(judged(cut(200, 0), false), 0);
    assert_eq!(judged(cut(201, 0), false), 1);
}

#[test]
fn a_request_that_reached_a_server_is_lost_however_soon_its_connection_ends() {
    assert_eq!(judged(cut(0, 0), true), 1);
}

#[test]
fn what_the_soak_itself_was_late_is_not_the_hosts() {
    assert_eq!(judged(cut(250, 50), false), 0);
    assert_eq!(judged(cut(251, 50), false), 1);
}

fn served(pin: u64, sent: u64) -> VersionObservation {
    VersionObservation {
        host: (0, 1),
        pin,
        pin_count: 8,
        sent_ms: sent,
        received_ms: sent,
        undisturbed: true,
    }
}

#[test]
fn an_old_configuration_is_noticed_also_after_a_silence() {
    let mut troubles = Outages::default();
    let silence = troubles.begin(9_000);
    troubles.end(silence, 11_000);
    let due = 11_000 + RECOVERY_DEADLINE_MS;
    for (sent, broken) in [(due, 0), (due + 1, 1)] {
        let mut ledger = Ledger::default();
        ledger.record_configuration(1, 0);
        ledger.record_configuration(2, 10_000);
        ledger.check_served_version(&served(1, sent), &troubles);
        assert_eq!(ledger.violations().len(), broken, "sent at {sent} ms");
        ledger.record_outcome("safe-1", Outcome::Unknown);
    }
}
