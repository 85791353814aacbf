//! A concurrency limit never hands out more permits than it has.

use elmstream_edge::concurrency_limit::ConcurrencyLimit;

#[test]
fn permits_are_bounded_and_returned() {
    let limit = ConcurrencyLimit::new(2);
    let first = limit.try_acquire().expect("a permit");
    let _second = limit.try_acquire().expect("a permit");
    assert!(limit.try_acquire().is_none());
    drop(first);
    assert!(limit.try_acquire().is_some());
}
