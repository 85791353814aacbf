//! A gate lets no more through than it has places.

use elmstream_edge::concurrency_limit::ConcurrencyLimit;

#[test]
fn places_are_bounded_and_given_back() {
    let gate = ConcurrencyLimit::new(2);
    let first = gate.enter().expect("a place");
    let _second = gate.enter().expect("a place");
    assert!(gate.enter().is_none());
    drop(first);
    assert!(gate.enter().is_some());
}
