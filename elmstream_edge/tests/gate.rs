//! A gate lets no more through than it has places.

use elmstream_edge::gate::Gate;

#[test]
fn places_are_bounded_and_given_back() {
    let gate = Gate::new(2);
    let first = gate.enter().expect("a place");
    let _second = gate.enter().expect("a place");
    assert!(gate.enter().is_none());
    drop(first);
    assert!(gate.enter().is_some());
}
