//! What a host makes of the store's answers.

mod support;

use std::time::Duration;

use elmstream::time::MILLI;
use elmstream_steer::{model::Repeatability, view::Table};
use elmstreamd::clock;
use support::serving;

/// A host that stood still takes in what the store said before. Counted as fresh, that
/// kept other hosts from asking the store, and a leaving server's news waited for the
/// next reading.
#[test]
fn an_answer_that_is_taken_in_late_is_as_old_as_the_call() {
    support::run(async || {
        let (store, running) = serving(Repeatability::Safe, &[]).await;
        store.late.set(Duration::from_millis(1_300));
        // A call that began before may still be answered at once.
        compio::time::sleep(Duration::from_millis(1_700)).await;
        let age = || {
            let age = running.edge.steer.borrow().view().age(clock::now(), Table::Rules);
            age.expect("it is known") / MILLI
        };
        let mut least = u64::MAX;
        for _ in 0..200 {
            least = least.min(age());
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(least >= 1_000, "taken to be {least} ms old");
    });
}
