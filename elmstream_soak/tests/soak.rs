//! A short soak, and soaks that must notice a broken rule.

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
fn promises_hold_under_faults() {
    let report = soak(1, 10, None);
    assert!(report.passed(), "{report}");
}

#[test]
fn a_request_that_runs_twice_is_noticed() {
    let report = soak(2, 6, Some("once"));
    assert!(report.violations().iter().any(|text| text.contains("ran 2 times")), "{report}");
}

#[test]
fn a_configuration_that_goes_back_is_noticed() {
    let report = soak(2, 6, Some("back"));
    assert!(report.violations().iter().any(|text| text.contains("is in force")), "{report}");
}

#[test]
fn an_answer_of_another_request_is_noticed() {
    let report = soak(2, 6, Some("mixed"));
    assert!(report.violations().iter().any(|text| text.contains("got the answer of")), "{report}");
}

#[test]
fn a_request_without_an_answer_is_noticed() {
    let report = soak(2, 6, Some("lost"));
    assert!(report.violations().iter().any(|text| text.contains("got no answer")), "{report}");
}

#[test]
fn a_wrong_name_a_key_passed_on_and_a_limit_passed_are_noticed() {
    for (broken, told) in
        [("name", "under another name"), ("key", "with its key"), ("limit", "over a limit")]
    {
        let report = soak(2, 6, Some(broken));
        assert!(report.violations().iter().any(|text| text.contains(told)), "{broken}: {report}");
    }
}

/// Servers say of themselves what they want, in their answers alone; nothing else happens.
fn saying(broken: Option<&str>) -> Report {
    let options = options(3, 16, broken);
    let event = |at, lasts, fault| Event { at_ms: at, duration_ms: lasts, fault };
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
fn servers_get_what_they_ask_for() {
    let report = saying(None);
    assert!(report.passed(), "{report}");
    for judged in ["rest judged", "limit judged", "leaving judged"] {
        assert!(report.counts().contains_key(judged), "{judged}: {report}");
    }
}

#[test]
fn a_server_that_does_not_get_what_it_asks_for_is_noticed() {
    for (broken, told) in
        [("rest", "in its rest"), ("need", "are allowed"), ("leave", "requests more")]
    {
        let report = saying(Some(broken));
        assert!(report.violations().iter().any(|text| text.contains(told)), "{broken}: {report}");
    }
}

/// The third server ends in the first second; 6.5 s later all calm hosts must know.
#[test]
fn a_request_that_goes_on_ending_servers_is_noticed() {
    let options = options(2, 10, Some("harm"));
    let runtime = Runtime::new().expect("a runtime");
    let calm = Vec::new();
    let report = runtime.block_on(soak::run_events(&options, Duration::from_secs(10), calm));
    assert!(report.violations().iter().any(|text| text.contains("had to know")), "{report}");
}

/// The store comes back from a copy three seconds old.
fn restored(broken: Option<&str>) -> Report {
    let options = options(2, 12, broken);
    let event = |at, lasts, fault| Event { at_ms: at, duration_ms: lasts, fault };
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
fn promises_hold_when_the_store_comes_back_from_a_copy() {
    let report = restored(None);
    assert!(report.passed(), "{report}");
}

/// Hosts cannot see it, and pass over the next configuration.
#[test]
fn a_return_of_the_store_that_hosts_do_not_see_is_noticed() {
    let report = restored(Some("era"));
    assert!(report.violations().iter().any(|text| text.contains("is in force")), "{report}");
}

#[test]
fn a_seed_gives_the_same_faults_again() {
    assert_eq!(faults::draw(7, 60_000, 5, 5), faults::draw(7, 60_000, 5, 5));
    assert_ne!(faults::draw(7, 60_000, 5, 5), faults::draw(8, 60_000, 5, 5));
}

#[test]
fn series_fall_between_each_other_and_in_order() {
    let events = faults::draw(7, 600_000, 5, 5);
    let at: Vec<_> = events.iter().map(|event| event.at_ms).collect();
    assert!(at.is_sorted());
    assert!(at.iter().all(|at| (2_500..597_500).contains(at)));
    let planned = events.iter().filter(|event| matches!(event.fault, Fault::Terminate(_)));
    let times: Vec<_> = planned.map(|event| event.at_ms).collect();
    let together = times.windows(2).filter(|pair| pair[1] - pair[0] <= 1_000).count();
    assert!(together > times.len() / 2, "{together} of {} stops follow another", times.len());
}

/// The shop is rolled out; nothing else happens.
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
fn a_version_that_gets_too_much_or_is_not_decided_is_noticed() {
    let faults = [(true, "exposure"), (true, "rolled_back"), (false, "completed")];
    for (bad, broken) in faults {
        let report = rolled_out(bad, Some(broken));
        assert!(report.violations().iter().any(|text| text.contains("version")), "{report}");
    }
}
