//! Waits that go by the clock that counts suspension.
//!
//! Timers of the runtime go by the steady clock, which stands still while a host is
//! suspended. A wait that was running then would go on for all that was left of it, long
//! after what it waited for was over.

use std::{pin::pin, time::Duration};

use elmstream::time::Time;
use futures_util::future::{Either, select};

use crate::clock;

/// Longest time that a wait goes without a look at the clock, and so the longest by which
/// it ends late after a suspension. Most requests are answered sooner, so it costs them
/// no turn of the runtime.
pub const SLICE: Duration = Duration::from_millis(200);
/// Time in which a host that was suspended reads what has come meanwhile.
const READS: Duration = Duration::from_millis(20);

/// What a future comes to by a time; none if it takes longer.
///
/// What is ready counts, also if the time is over.
pub async fn within<F: Future>(until: Time, future: F) -> Option<F::Output> {
    within_by_clock(clock::now, until, future).await
}

/// The same within a span from now on.
pub async fn within_duration<F: Future>(span: Duration, future: F) -> Option<F::Output> {
    within(clock::now() + span.as_micros() as u64, future).await
}

/// The same by a clock.
pub async fn within_by_clock<F: Future>(
    now: impl Fn() -> Time,
    until: Time,
    future: F,
) -> Option<F::Output> {
    let mut future = pin!(future);
    loop {
        let began = now();
        let slice = SLICE.min(Duration::from_micros(until.since(began)));
        let pause = pin!(compio::time::sleep(slice));
        if let Either::Left((result, _)) = select(future.as_mut(), pause).await {
            return Some(result);
        }
        let ended = now();
        if ended < until {
            continue;
        }
        if ended.since(began) <= (slice + READS).as_micros() as u64 {
            return None;
        }
        let pause = pin!(compio::time::sleep(READS));
        return match select(future.as_mut(), pause).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        };
    }
}

/// Waits until a time.
pub async fn until(time: Time) {
    let never = std::future::pending::<()>();
    // It only ends by the time.
    let _ = within(time, never).await;
}
