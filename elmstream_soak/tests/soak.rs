//! A short soak, and soaks that must notice a broken rule.

use std::time::Duration;

use compio::runtime::Runtime;
use elmstream_soak::{
    faults,
    soak::{self, Options, Report},
};

fn soak(seed: u64, seconds: u64, broken: Option<&str>) -> Report {
    let options = Options {
        seed,
        seconds,
        processes: 4,
        broken: broken.map(str::to_owned),
        program: Some(env!("CARGO_BIN_EXE_elmstream_soak").into()),
    };
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
fn a_seed_gives_the_same_faults_again() {
    assert_eq!(faults::draw(7, 60_000, 5, 5), faults::draw(7, 60_000, 5, 5));
    assert_ne!(faults::draw(7, 60_000, 5, 5), faults::draw(8, 60_000, 5, 5));
}
