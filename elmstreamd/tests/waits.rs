//! Waits while the host is suspended.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::runtime::Runtime;
use elmstream::time::{SECOND, Time};
use elmstreamd::{
    clock,
    waits::{SLICE, within_by_clock},
};

/// Time by which a wait of this process may be late beyond its slice.
const LATE: Duration = Duration::from_millis(150);
/// When the host is suspended, from the begin of a wait on.
const SUSPENDED_AT: Duration = Duration::from_millis(50);

/// A clock that counts suspension, by which a host is suspended for some seconds.
fn suspended(seconds: u64) -> impl Fn() -> Time {
    let began = Instant::now();
    move || {
        let steady = began.elapsed();
        let away = if steady >= SUSPENDED_AT { seconds * SECOND } else { 0 };
        Time(steady.as_micros() as u64 + away)
    }
}

fn run<T>(wait: impl Future<Output = T>) -> (T, Duration) {
    let began = Instant::now();
    let result = Runtime::new().expect("a runtime").block_on(wait);
    (result, began.elapsed())
}

/// What users saw: a request whose time was over while its host was suspended was held
/// for as long again as had been left of it.
#[test]
fn a_wait_that_was_running_ends_soon_after_a_suspension() {
    for seconds in [2, 5, 60] {
        let until = Time(2 * SECOND);
        let never = std::future::pending::<()>();
        let (result, took) = run(within_by_clock(suspended(seconds), until, never));
        assert!(result.is_none());
        assert!(took < SUSPENDED_AT + SLICE + LATE, "{seconds} s away: it took {took:?}");
    }
}

#[test]
fn a_wait_whose_time_is_not_over_goes_on_after_a_suspension() {
    let answer = async {
        compio::time::sleep(SLICE * 2).await;
        7
    };
    let (result, _) = run(within_by_clock(suspended(2), Time(10 * SECOND), answer));
    assert_eq!(result, Some(7));
}

#[test]
fn what_came_during_a_suspension_is_taken() {
    let read = Rc::new(Cell::new(false));
    let seen = read.clone();
    // It takes a turn of the runtime to be read.
    let answer = async move {
        compio::time::sleep(SLICE).await;
        compio::time::sleep(Duration::from_millis(1)).await;
        seen.set(true);
        7
    };
    let (result, _) = run(within_by_clock(suspended(60), Time(SECOND), answer));
    assert_eq!((result, read.get()), (Some(7), true));
}

#[test]
fn what_is_ready_counts_also_if_the_time_is_over() {
    let (result, _) = run(within_by_clock(|| Time(SECOND), Time(0), async { 7 }));
    assert_eq!(result, Some(7));
}

#[test]
fn a_suspension_is_told_from_a_busy_host() {
    assert_eq!(clock::away(5_000_000, 1_000_000), Some(4_000_000));
    assert_eq!(clock::away(1_150_000, 1_000_000), None);
    assert_eq!(clock::away(1_000_000, 1_150_000), None);
    assert_eq!(clock::Suspension::default().look(), None);
}
