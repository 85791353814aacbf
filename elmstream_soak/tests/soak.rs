//! A short soak, targeted soaks, and soaks with a rule broken on purpose, which the checks
//! have to detect.

use std::time::Duration;

use compio::runtime::Runtime;
use elmstream_soak::{
    faults::{self, Event, Fault},
    soak::{self, Options, Report},
    world::StoreMode,
};

fn options(seed: u64, seconds: u64, broken: Option<&str>) -> Options {
    Options {
        seed,
        seconds,
        processes: 4,
        broken: broken.map(str::to_owned),
        program: Some(env!("CARGO_BIN_EXE_elmstream_soak").into()),
    }
}

fn soak(seed: u64, seconds: u64, broken: Option<&str>) -> Report {
    let options = options(seed, seconds, broken);
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(soak::run(&options, Duration::from_secs(seconds)))
}

#[test]
fn guarantees_hold_under_random_faults() {
    let report = soak(1, 10, None);
    assert!(report.passed(), "{report}");
}

#[test]
fn second_run_is_detected() {
    let report = soak(2, 6, Some("once"));
    assert!(report.violations().iter().any(|text| text.contains("ran 2 times")), "{report}");
}

#[test]
fn older_configuration_is_detected() {
    let report = soak(2, 6, Some("back"));
    assert!(report.violations().iter().any(|text| text.contains("is in force")), "{report}");
}

#[test]
fn answer_to_another_request_is_detected() {
    let report = soak(2, 6, Some("mixed"));
    assert!(report.violations().iter().any(|text| text.contains("got the answer of")), "{report}");
}

#[test]
fn unanswered_request_is_detected() {
    let report = soak(2, 6, Some("lost"));
    assert!(report.violations().iter().any(|text| text.contains("got no answer")), "{report}");
}

#[test]
fn wrong_workspace_name_forwarded_key_and_exceeded_limit_are_detected() {
    for (broken, expected) in
        [("name", "under another name"), ("key", "with its key"), ("limit", "over a limit")]
    {
        let report = soak(2, 6, Some(broken));
        assert!(
            report.violations().iter().any(|text| text.contains(expected)),
            "{broken}: {report}"
        );
    }
}

/// Servers announce what they need in their answers only; the single other fault is an
/// outage of the store.
fn server_signals(broken: Option<&str>) -> Report {
    let options = options(3, 16, broken);
    let event = |at_ms, duration_ms, fault| Event { at_ms, duration_ms, fault };
    let events = vec![
        event(2_500, 0, Fault::NameLimit(0)),
        event(3_000, 3_500, Fault::BackOff(1)),
        event(4_000, 0, Fault::Leave(2)),
        event(6_000, 3_000, Fault::Store(StoreMode::Refusing)),
        event(6_500, 0, Fault::Leave(3)),
    ];
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(soak::run_events(&options, Duration::from_secs(16), events))
}

#[test]
fn leaving_back_off_and_limit_of_servers_are_respected() {
    let report = server_signals(None);
    assert!(report.passed(), "{report}");
    for check in ["rest judged", "limit judged", "leaving judged"] {
        assert!(report.counts().contains_key(check), "{check}: {report}");
    }
}

#[test]
fn ignored_server_signals_are_detected() {
    for (broken, expected) in
        [("rest", "during its back-off"), ("need", "are allowed"), ("leave", "requests more")]
    {
        let report = server_signals(Some(broken));
        assert!(
            report.violations().iter().any(|text| text.contains(expected)),
            "{broken}: {report}"
        );
    }
}

/// Two seed hosts start just after a server was removed, the second one when the first has been
/// undisturbed for long enough to be judged.
fn removed_servers(broken: Option<&str>) -> Report {
    let options = Options { processes: 8, ..options(4, 20, broken) };
    let event = |n: u64| Event {
        at_ms: 2_500 + 7_500 * n,
        duration_ms: 100,
        fault: Fault::RemoveServerAtStart(n as usize),
    };
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(soak::run_events(
        &options,
        Duration::from_secs(20),
        (0..2).map(event).collect(),
    ))
}

#[test]
fn servers_removed_while_a_host_starts_are_not_used_again() {
    let report = removed_servers(None);
    assert!(report.passed(), "{report}");
    assert!(report.counts().get("servers removed").is_some_and(|n| *n == 2), "{report}");
}

#[test]
fn use_of_removed_servers_is_detected() {
    let report = removed_servers(Some("removed"));
    let is_found = |text: &String| text.contains("after its entry was removed");
    assert!(report.violations().iter().any(is_found), "{report}");
}

/// The third server crashes in the first second; 6.5 s later all undisturbed hosts have to
/// refuse the request.
#[test]
fn unrefused_poison_request_is_detected() {
    let options = options(2, 10, Some("harm"));
    let runtime = Runtime::new().expect("a runtime");
    let no_faults = Vec::new();
    let report = runtime.block_on(soak::run_events(&options, Duration::from_secs(10), no_faults));
    assert!(report.violations().iter().any(|text| text.contains("had to know")), "{report}");
}

/// The store is restored from a backup that is three seconds old.
fn restored(broken: Option<&str>) -> Report {
    let options = options(2, 12, broken);
    let event = |at_ms, duration_ms, fault| Event { at_ms, duration_ms, fault };
    let events = vec![
        event(2_600, 0, Fault::Configure),
        event(3_800, 0, Fault::Configure),
        event(5_000, 600, Fault::Restore(3_000, 300)),
        event(6_200, 0, Fault::Configure),
    ];
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(soak::run_events(&options, Duration::from_secs(12), events))
}

#[test]
fn guarantees_hold_when_store_is_restored_from_backup() {
    let report = restored(None);
    assert!(report.passed(), "{report}");
}

/// Without a new era hosts cannot detect the restore, and ignore the next configuration.
#[test]
fn restore_that_hosts_cannot_detect_is_detected() {
    let report = restored(Some("era"));
    assert!(report.violations().iter().any(|text| text.contains("is in force")), "{report}");
}

#[test]
fn equal_seeds_draw_equal_faults() {
    assert_eq!(faults::draw(7, 60_000, 5, 5), faults::draw(7, 60_000, 5, 5));
    assert_ne!(faults::draw(7, 60_000, 5, 5), faults::draw(8, 60_000, 5, 5));
}

#[test]
fn drawn_faults_are_ordered_and_stops_are_grouped() {
    let events = faults::draw(7, 600_000, 5, 5);
    let at_ms: Vec<_> = events.iter().map(|event| event.at_ms).collect();
    assert!(at_ms.is_sorted());
    assert!(at_ms.iter().all(|at_ms| (2_500..597_500).contains(at_ms)));
    let stops = events.iter().filter(|event| matches!(event.fault, Fault::Terminate(_)));
    let stop_times: Vec<_> = stops.map(|event| event.at_ms).collect();
    let grouped = stop_times.windows(2).filter(|pair| pair[1] - pair[0] <= 1_000).count();
    assert!(
        grouped > stop_times.len() / 2,
        "{grouped} of {} stops are close to the one before",
        stop_times.len()
    );
}

/// The shop is rolled out, without any other fault.
fn rolled_out(bad: bool, broken: Option<&str>) -> Report {
    let options = options(2, 14, broken);
    let event = Event { at_ms: 4_000, duration_ms: 0, fault: Fault::RollOut(bad) };
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(soak::run_events(&options, Duration::from_secs(14), vec![event]))
}

#[test]
fn a_bad_version_is_turned_away_and_a_good_one_takes_over() {
    for bad in [true, false] {
        let report = rolled_out(bad, None);
        assert!(report.passed(), "{report}");
        assert!(report.counts().contains_key("decision judged"), "{report}");
    }
}

#[test]
fn excess_exposure_and_missing_decision_are_detected() {
    let faults = [(true, "exposure"), (true, "rolled_back"), (false, "completed")];
    for (bad, broken) in faults {
        let report = rolled_out(bad, Some(broken));
        assert!(report.violations().iter().any(|text| text.contains("version")), "{report}");
    }
}

/// Two of five hosts are cut from all backend servers, the second one while the first one is.
#[test]
fn callers_of_hosts_cut_from_all_servers_are_served() {
    let options = Options { processes: 5, ..options(5, 16, None) };
    let cut = |at_ms, host| Event { at_ms, duration_ms: 7_000, fault: Fault::CutFromServers(host) };
    let runtime = Runtime::new().expect("a runtime");
    let events = vec![cut(3_000, 0), cut(5_000, 3)];
    let report = runtime.block_on(soak::run_events(&options, Duration::from_secs(16), events));
    assert!(report.passed(), "{report}");
    let count = |kind| report.counts().get(kind).copied().unwrap_or(0);
    let rate = |served, failed| {
        let (served, failed) = (count(served) as f64, count(failed) as f64);
        served / (served + failed).max(1.0)
    };
    let (cut, other) = (rate("cut served", "cut failed"), rate("other served", "other failed"));
    println!("cut hosts served {cut:.3}, others {other:.3}: {report}");
    // The users ask for two thirds of what the other hosts serve.
    assert!(count("cut served") > 0 && cut * 1.5 >= other, "{cut} at cut hosts, {other}: {report}");
}

/// Two hosts get thousands of connections each, the second one while the first one has them.
fn connection_bursts(broken: Option<&str>) -> Report {
    let options = options(6, 10, broken);
    let burst =
        |at_ms, host| Event { at_ms, duration_ms: 2_500, fault: Fault::ConnectionBurst(host) };
    let runtime = Runtime::new().expect("a runtime");
    let events = vec![burst(2_500, 0), burst(3_500, 2)];
    runtime.block_on(soak::run_events(&options, Duration::from_secs(10), events))
}

/// Guards against hosts that are killed for memory, with the requests that they had passed on, when
/// many callers connect at once.
#[test]
fn hosts_outlive_thousands_of_connections_at_once() {
    let report = connection_bursts(None);
    assert!(report.passed(), "{report}");
    assert!(report.counts().get("memory judged").is_some_and(|n| *n == 2), "{report}");
}

#[test]
fn excess_memory_is_detected() {
    let report = connection_bursts(Some("memory"));
    assert!(report.violations().iter().any(|text| text.contains("bytes of memory")), "{report}");
}

/// Two hosts stand still, and a server leaves without notice soon after each of them woke.
fn removed_after_standstills(broken: Option<&str>) -> Report {
    let options = options(8, 14, broken);
    let event = |at_ms, host| Event {
        at_ms,
        duration_ms: 0,
        fault: Fault::RemoveServerAfterStandstill(host),
    };
    let runtime = Runtime::new().expect("a runtime");
    let events = vec![event(2_500, 0), event(3_500, 1)];
    runtime.block_on(soak::run_events(&options, Duration::from_secs(14), events))
}

/// Guards against hosts that take their own standstill for an outage of the store, and send to servers
/// after these have left.
#[test]
fn servers_that_leave_after_a_standstill_are_not_used_for_long() {
    let report = removed_after_standstills(None);
    assert!(report.passed(), "{report}");
    let removed = report.counts().get("servers removed after a standstill");
    assert!(removed.is_some_and(|n| *n == 2), "{report}");
}

#[test]
fn use_of_servers_that_left_after_a_standstill_is_detected() {
    let report = removed_after_standstills(Some("unsaid"));
    let is_found = |text: &String| text.contains("which had stood still before");
    assert!(report.violations().iter().any(is_found), "{report}");
}

/// Servers leave while the store completes older heartbeats of theirs late.
fn late_writes(broken: Option<&str>) -> Report {
    let options = options(9, 13, broken);
    let event = |at_ms| Event { at_ms, duration_ms: 0, fault: Fault::CompleteLate };
    let runtime = Runtime::new().expect("a runtime");
    let events = [2_500, 3_000, 3_500, 4_000].map(event).to_vec();
    runtime.block_on(soak::run_events(&options, Duration::from_secs(13), events))
}

/// Guards against hosts that use a server again because the store completed an older heartbeat of it
/// after it had said that it leaves.
#[test]
fn late_heartbeats_do_not_take_back_that_servers_leave() {
    let report = late_writes(None);
    assert!(report.passed(), "{report}");
    let left = report.counts().get("servers left beside a late write");
    assert!(left.is_some_and(|n| *n == 4), "{report}");
}

#[test]
fn use_of_servers_that_left_beside_a_late_write_is_detected() {
    let report = late_writes(Some("late write"));
    let is_found = |text: &String| text.contains("beside a late write of the server");
    assert!(report.violations().iter().any(is_found), "{report}");
}

/// Guards against hosts that outgrow their memory because a backend server answers without end.
#[test]
fn hosts_outlive_a_server_that_answers_without_end() {
    let options = options(11, 9, None);
    let event = |at_ms, n| Event { at_ms, duration_ms: 2_000, fault: Fault::AnswerWithoutEnd(n) };
    let runtime = Runtime::new().expect("a runtime");
    let events = vec![event(2_500, 0), event(3_500, 1)];
    let report = runtime.block_on(soak::run_events(&options, Duration::from_secs(9), events));
    assert!(report.passed(), "{report}");
    assert!(report.counts().get("memory judged").is_some_and(|n| *n > 20), "{report}");
}

/// All hosts are killed while they stop, and the next starts are asked to stop as well.
fn killed_during_stops(seed: u64) -> Report {
    let event = |at_ms, duration_ms, fault| Event { at_ms, duration_ms, fault };
    let stops = |at_ms| (0..4).map(move |n| event(at_ms, 0, Fault::Terminate(n)));
    let kill = event(2_550, 700, Fault::KillAll);
    let events = stops(2_500).chain([kill]).chain(stops(3_150)).chain(stops(3_700)).collect();
    let runtime = Runtime::new().expect("a runtime");
    let options = options(seed, 10, None);
    runtime.block_on(soak::run_events(&options, Duration::from_secs(10), events))
}

/// Guards against a stop that is judged by a later start of the host, which was not asked to stop.
#[test]
fn each_stop_is_judged_by_the_start_that_was_asked() {
    let report = killed_during_stops(12);
    let is_about_a_stop = |text: &String| text.contains("its stop was requested");
    assert!(!report.violations().iter().any(is_about_a_stop), "{report}");
}

/// Guards against a workspace that gets more than its limit while all hosts are killed and start again.
#[test]
fn limit_of_a_workspace_holds_while_all_hosts_restart_in_series() {
    let report = killed_during_stops(13);
    assert!(report.passed(), "{report}");
}

/// Homes move beside a cut host that stands still, then a second host is cut while they move again.
fn moving_homes(broken: Option<&str>) -> Report {
    let options = Options { processes: 6, ..options(14, 12, broken) };
    let event = |at_ms, duration_ms, fault| Event { at_ms, duration_ms, fault };
    let events = vec![
        event(1_500, 0, Fault::MoveHomesBesideCut(0)),
        event(4_000, 5_000, Fault::CutFromServers(4)),
        event(9_200, 0, Fault::MoveHomes),
    ];
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(soak::run_events(&options, Duration::from_secs(12), events))
}

/// Guards against requests that run outside their homes, as a host goes by homes that have changed
/// meanwhile or by the older route of a host whose request it relays.
#[test]
fn requests_stay_in_homes_that_move_also_at_relays_for_hosts_that_stood_still() {
    let report = moving_homes(None);
    assert!(report.passed(), "{report}");
    for check in ["homes judged", "homes judged at a relay"] {
        assert!(report.counts().contains_key(check), "{check}: {report}");
    }
}

#[test]
fn requests_outside_their_homes_are_detected() {
    let options = options(14, 5, Some("home"));
    let event = Event { at_ms: 500, duration_ms: 0, fault: Fault::MoveHomes };
    let runtime = Runtime::new().expect("a runtime");
    let report = runtime.block_on(soak::run_events(&options, Duration::from_secs(5), vec![event]));
    let is_found = |text: &String| text.contains("ran outside its homes");
    assert!(report.violations().iter().any(is_found), "{report}");
}

#[test]
fn homes_move_in_one_seed_of_four() {
    let is_move =
        |event: &Event| matches!(event.fault, Fault::MoveHomes | Fault::MoveHomesBesideCut(_));
    let moving: Vec<u64> =
        (0..40).filter(|seed| faults::draw(*seed, 14_000, 5, 5).iter().any(is_move)).collect();
    assert_eq!(moving, (3..40).step_by(4).collect::<Vec<_>>());
}
