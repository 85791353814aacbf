//! Timeouts across a suspension of the host.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::runtime::Runtime;
use elmstream::time::{SECOND, Time};
use elmstreamd::{
    clock,
    waits::{CLOCK_CHECK_INTERVAL, within_by_clock},
};

/// Most by which a wait may end late, beyond the interval at which it reads the clock.
const LATENESS_MAX: Duration = Duration::from_millis(150);
/// Time from the start of a wait to the simulated suspension.
const SUSPENDED_AT: Duration = Duration::from_millis(50);

/// A boot clock that jumps forward by some seconds, as after a suspension of the host.
fn suspended_clock(seconds: u64) -> impl Fn() -> Time {
    let began_at = Instant::now();
    move || {
        let steady = began_at.elapsed();
        let suspended_us = if steady >= SUSPENDED_AT { seconds * SECOND } else { 0 };
        Time(steady.as_micros() as u64 + suspended_us)
    }
}

fn run_timed<T>(wait: impl Future<Output = T>) -> (T, Duration) {
    let began_at = Instant::now();
    let result = Runtime::new().expect("the runtime starts").block_on(wait);
    (result, began_at.elapsed())
}

/// Guards against a request being held after a suspension of its host: with the runtime's timer
/// alone, it waited for its whole remaining time although its deadline had passed meanwhile.
#[test]
fn running_wait_ends_soon_after_suspension() {
    for seconds in [2, 5, 60] {
        let until = Time(2 * SECOND);
        let never = std::future::pending::<()>();
        let (result, elapsed) = run_timed(within_by_clock(suspended_clock(seconds), until, never));
        assert!(result.is_none());
        assert!(
            elapsed < SUSPENDED_AT + CLOCK_CHECK_INTERVAL + LATENESS_MAX,
            "suspended for {seconds} s: it took {elapsed:?}"
        );
    }
}

#[test]
fn unexpired_wait_goes_on_after_suspension() {
    let answer = async {
        compio::time::sleep(CLOCK_CHECK_INTERVAL * 2).await;
        7
    };
    let (result, _) = run_timed(within_by_clock(suspended_clock(2), Time(10 * SECOND), answer));
    assert_eq!(result, Some(7));
}

#[test]
fn answer_that_arrived_during_suspension_is_returned() {
    let was_read = Rc::new(Cell::new(false));
    let was_read_in_future = was_read.clone();
    // The answer is only read in a later turn of the runtime.
    let answer = async move {
        compio::time::sleep(CLOCK_CHECK_INTERVAL).await;
        compio::time::sleep(Duration::from_millis(1)).await;
        was_read_in_future.set(true);
        7
    };
    let (result, _) = run_timed(within_by_clock(suspended_clock(60), Time(SECOND), answer));
    assert_eq!((result, was_read.get()), (Some(7), true));
}

#[test]
fn ready_result_is_returned_after_deadline() {
    let (result, _) = run_timed(within_by_clock(|| Time(SECOND), Time(0), async { 7 }));
    assert_eq!(result, Some(7));
}

#[test]
fn suspension_is_distinguished_from_scheduling_delay() {
    assert_eq!(clock::away(5_000_000, 1_000_000), Some(4_000_000));
    assert_eq!(clock::away(1_150_000, 1_000_000), None);
    assert_eq!(clock::away(1_000_000, 1_150_000), None);
    assert_eq!(clock::Suspension::default().look(), None);
}
