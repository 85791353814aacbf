//! What the ledger takes for a broken promise.

use elmstream_soak::{
    ledger::{Cut, Ledger, Seen, Served},
    trouble::{CONTACT_MS, Troubles},
};

fn cut(after: u64, late: u64) -> Cut {
    Cut { id: "once-1".into(), after, late, how: String::new() }
}

fn judged(cut: Cut, ran: bool) -> usize {
    let mut ledger = Ledger::default();
    ledger.cut(cut);
    // A server may begin to run it after its caller has seen the end.
    if ran {
        ledger.runs("once-1");
    }
    ledger.close();
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

fn served(pin: u64, sent: u64) -> Served {
    Served { host: (0, 1), pin, pins: 8, sent, now: sent, calm: true }
}

#[test]
fn an_old_configuration_is_noticed_also_after_a_silence() {
    let mut troubles = Troubles::default();
    let silence = troubles.begin(9_000);
    troubles.end(silence, 11_000);
    let due = 11_000 + CONTACT_MS;
    for (sent, broken) in [(due, 0), (due + 1, 1)] {
        let mut ledger = Ledger::default();
        ledger.configured(1, 0);
        ledger.configured(2, 10_000);
        ledger.served_by(&served(1, sent), &troubles);
        assert_eq!(ledger.violations().len(), broken, "sent at {sent} ms");
        ledger.answered("safe-1", Seen::Unknown);
    }
}
