//! When keys are divided over the failure domains of a region: the time that bytes cost between
//! domains against the time of first requests of keys at further servers.

use elmstream_steer::{
    domain_split::{SplitInput, TransferSize, is_split},
    policies::PlacementPolicy,
    servers::AnswerTimes,
};
use quickcheck::quickcheck;

/// An upload of 60 KB passes for 30 ms.
const POLICY: PlacementPolicy = PlacementPolicy {
    domain_cost_ms: 1.0,
    domain_kb_cost_ms: 0.5,
    region_cost_ms: 30.0,
    own_load_max: 0.0,
};

/// Each key is used four times a second, and a server that does not know it takes 400 ms more.
fn input(mean_kb: f64) -> SplitInput {
    let times = AnswerTimes {
        mean_ms: 200.0,
        warm_ms: 160.0,
        not_warm_ms: 560.0,
        ..AnswerTimes::default()
    };
    SplitInput { mean_kb, domains: 2, keys: 100, rate_per_s: 400.0, times }
}

#[test]
fn large_bodies_divide_keys_and_small_ones_do_not() {
    // 100 keys become cold at a second server each 20 s: 5 ms for each of 400 requests a second.
    assert!(is_split(&POLICY, input(60.0), false), "15.5 ms saved");
    assert!(!is_split(&POLICY, input(3.0), false), "1.25 ms saved");
    let free = PlacementPolicy { domain_cost_ms: 0.0, domain_kb_cost_ms: 0.0, ..POLICY };
    assert!(!is_split(&free, input(60.0), false), "without a cost nothing is saved");
}

#[test]
fn one_domain_and_no_demand_leave_nothing_to_divide() {
    assert!(!is_split(&POLICY, SplitInput { domains: 1, ..input(60.0) }, false));
    assert!(!is_split(&POLICY, SplitInput { rate_per_s: 0.0, ..input(60.0) }, false));
}

#[test]
fn hosts_whose_figures_differ_slightly_keep_to_a_decision() {
    // 6.25 ms saved against 5 ms: enough to stay divided, too little to begin.
    let close = input(23.0);
    assert!(!is_split(&POLICY, close, false));
    assert!(is_split(&POLICY, close, true));
}

#[test]
fn mean_size_is_known_after_some_requests_and_follows() {
    let mut size = TransferSize::default();
    (0..7).for_each(|_| size.record(60_000));
    assert_eq!(size.mean_kb(), None);
    size.record(60_000);
    assert_eq!(size.mean_kb(), Some(60.0));
    (0..400).for_each(|_| size.record(1_000));
    assert!(size.mean_kb().is_some_and(|kb| (0.9..1.2).contains(&kb)), "{size:?}");
}

quickcheck! {
    fn more_bytes_never_undo_a_division(kb: u16, more: u16, keys: u16, rate: u16) -> bool {
        let at = |kb: f64| {
            let keys = usize::from(keys);
            is_split(&POLICY, SplitInput { keys, rate_per_s: f64::from(rate), ..input(kb) }, false)
        };
        !at(f64::from(kb)) || at(f64::from(kb) + f64::from(more))
    }
}
