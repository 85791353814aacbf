//! A gate lets no more through than it has places.

use elmstream_edge::concurrency_limit::ConcurrencyLimit;

#[test]
fn places_are_bounded_and_given_back() {
    let gate = ConcurrencyLimit::new(2);
    let first = gate.try_acquire().expect("a place");
    let _second = gate.try_acquire().expect("a place");
    assert!(gate.try_acquire().is_none());
    drop(first);
    assert!(gate.try_acquire().is_some());
}
