//! Planned work alone, brought about at its worst moments.

use std::time::Duration;

use compio::runtime::Runtime;
use elmstream_soak::{
    faults::{Event, Fault},
    soak::{self, Options, Report},
};

/// Time of one soak: its work is done in the first 3 s, and a stop takes 3 s at most.
const TIME: Duration = Duration::from_secs(6);

/// Hosts of each soak.
const HOSTS: usize = 12;

fn soak(faults: &[(u64, Fault)]) -> Report {
    let events =
        faults.iter().map(|(at, fault)| Event { at_ms: *at, duration_ms: 1_000, fault: *fault });
    let options = Options {
        seed: 0,
        seconds: TIME.as_secs(),
        processes: HOSTS,
        broken: None,
        program: Some(env!("CARGO_BIN_EXE_elmstream_soak").into()),
    };
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(soak::run_events(&options, TIME, events.collect()))
}

/// Callers saw whole requests without an answer when many hosts of a busy machine were
/// stopped at once. A host that gets little processor time reads requests 0.3 s late;
/// the end of its notice came while they lay in their sockets, and it closed those
/// connections, and its listener with those that nobody had accepted, unread.
#[test]
fn a_stop_with_little_processor_time_loses_no_request() {
    // Whether a host is at work when it comes to a stand is up to the machine, so there
    // are many of them, each at another moment before the end of its notice.
    let stop = |n: usize| {
        let at = 1_000 + 120 * n as u64;
        [(at, Fault::Terminate(n)), (at + 190 + 8 * n as u64, Fault::Starve(n))]
    };
    let mut faults: Vec<_> = (0..HOSTS).flat_map(stop).collect();
    faults.sort_by_key(|(at, _)| *at);
    let report = soak(&faults);
    assert!(report.passed(), "{report}");
}

/// A host that was asked to stop a second time, 0.15 s after the first, ended at once
/// and cut what its callers had sent: once a signal has been waited for, its default
/// action is in force again.
#[test]
fn a_second_request_to_stop_does_not_end_a_host_at_once() {
    let report = soak(&[
        (1_000, Fault::Terminate(0)),
        (1_150, Fault::Terminate(0)),
        (2_500, Fault::Terminate(1)),
        (2_650, Fault::Terminate(1)),
    ]);
    assert!(report.passed(), "{report}");
}

/// A host that was told of changed settings again while it read them ended by that
/// signal and cut what its callers had sent: between two waits for a signal, its
/// default action is in force.
#[test]
fn settings_that_change_again_and_again_do_not_end_a_host() {
    let often = |n: usize| (1_500 + 100 * n as u64, Fault::ReloadBurst(n % 3));
    let report = soak(&(0..15).map(often).collect::<Vec<_>>());
    assert!(report.passed(), "{report}");
}
