//! Planned stops and reloads without any other fault, at their most difficult moments.

use std::time::Duration;

use compio::runtime::Runtime;
use elmstream_soak::{
    faults::{Event, Fault},
    soak::{self, Options, Report},
};

/// Length of a soak: its work is done in the first 3 s, and a stop takes at most 3 s.
const SOAK_DURATION: Duration = Duration::from_secs(6);

/// Number of hosts in a soak.
const HOSTS: usize = 12;

fn soak(faults: &[(u64, Fault)]) -> Report {
    let events =
        faults.iter().map(|(at, fault)| Event { at_ms: *at, duration_ms: 1_000, fault: *fault });
    let options = Options {
        seed: 0,
        seconds: SOAK_DURATION.as_secs(),
        processes: HOSTS,
        broken: None,
        program: Some(env!("CARGO_BIN_EXE_elmstream_soak").into()),
    };
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(soak::run_events(&options, SOAK_DURATION, events.collect()))
}

/// Guards against requests that are lost when a host stops while it has little processor
/// time. Such a host reads requests up to 0.3 s late; if its notice ends while they lie in
/// its sockets and it closes these without reading, or closes its listener with connections
/// that it has not accepted, they get no answer.
#[test]
fn stop_with_little_processor_time_loses_no_request() {
    // Whether a host is at work when it is frozen depends on the machine, so there are many
    // hosts, each frozen at another moment before the end of its notice.
    let stop_starved = |n: usize| {
        let at = 1_000 + 120 * n as u64;
        [(at, Fault::Terminate(n)), (at + 190 + 8 * n as u64, Fault::Starve(n))]
    };
    let mut faults: Vec<_> = (0..HOSTS).flat_map(stop_starved).collect();
    faults.sort_by_key(|(at, _)| *at);
    let report = soak(&faults);
    assert!(report.passed(), "{report}");
}

/// Guards against a second stop signal, here 0.15 s after the first, ending a host at once
/// and aborting its requests. That happens if the signal's default action is in force again
/// once the first signal has been received.
#[test]
fn second_stop_signal_does_not_end_host_at_once() {
    let report = soak(&[
        (1_000, Fault::Terminate(0)),
        (1_150, Fault::Terminate(0)),
        (2_500, Fault::Terminate(1)),
        (2_650, Fault::Terminate(1)),
    ]);
    assert!(report.passed(), "{report}");
}

/// Guards against a second reload signal ending a host that is still reading its settings
/// after the first, and aborting its requests. That happens if the signal's default action is
/// in force between two waits for the signal.
#[test]
fn repeated_reload_signals_do_not_end_host() {
    let reload_burst = |n: usize| (1_500 + 100 * n as u64, Fault::ReloadBurst(n % 3));
    let report = soak(&(0..15).map(reload_burst).collect::<Vec<_>>());
    assert!(report.passed(), "{report}");
}
