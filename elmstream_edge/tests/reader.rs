//! How a host dates the store's responses.

mod support;

use std::time::Duration;

use elmstream::time::MILLI;
use elmstream_steer::{model::Repeatability, view::Table};
use elmstreamd::clock;
use support::serving;

/// A suspended host processes responses that the store sent earlier. If these counted as
/// recent, they would keep other hosts from reading the store, and news of a leaving server
/// would wait for the next read.
#[test]
fn late_response_is_as_old_as_its_call() {
    support::run(async || {
        let (store, running) = serving(Repeatability::Safe, &[]).await;
        store.response_delay.set(Duration::from_millis(1_300));
        // A call that began before may still be answered immediately.
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
        assert!(least >= 1_000, "assumed age: {least} ms");
    });
}
