//! Timeouts that count time in suspension.
//!
//! The runtime's timers use the steady clock, which stands still while the host is suspended. A
//! wait that is interrupted by a suspension would go on for its whole remaining time, long after
//! its deadline on the boot clock.

use std::{pin::pin, time::Duration};

use elmstream::time::Time;
use futures_util::future::{Either, select};

use crate::clock;

/// Longest time that a wait goes without reading the clock, and so the most by which it ends late
/// after a suspension. Most requests are answered sooner and so cost no extra wake-up of the
/// runtime.
pub const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Extra time after a suspension in which the runtime can read what arrived during it.
const WAKE_GRACE: Duration = Duration::from_millis(20);

/// Waits for a future until a time on the clock of [`clock::now`]. `None` if it is not ready by
/// then.
///
/// The result of a future that is ready at once is returned even if the time has passed.
pub async fn within<F: Future>(until: Time, future: F) -> Option<F::Output> {
    within_by_clock(clock::now, until, future).await
}

/// Waits for a future for at most `span`, like [`within`]. `None` if it takes longer.
pub async fn within_duration<F: Future>(span: Duration, future: F) -> Option<F::Output> {
    within(clock::now() + span.as_micros() as u64, future).await
}

/// Waits for a future until a time on the clock `now`, like [`within`].
pub async fn within_by_clock<F: Future>(
    now: impl Fn() -> Time,
    until: Time,
    future: F,
) -> Option<F::Output> {
    let mut future = pin!(future);
    loop {
        let began = now();
        let slice = CLOCK_CHECK_INTERVAL.min(Duration::from_micros(until.since(began)));
        let pause = pin!(compio::time::sleep(slice));
        if let Either::Left((result, _)) = select(future.as_mut(), pause).await {
            return Some(result);
        }
        let ended = now();
        if ended < until {
            continue;
        }
        if ended.since(began) <= (slice + WAKE_GRACE).as_micros() as u64 {
            return None;
        }
        let pause = pin!(compio::time::sleep(WAKE_GRACE));
        return match select(future.as_mut(), pause).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        };
    }
}

/// Waits until a time on the clock of [`clock::now`].
pub async fn until(time: Time) {
    let never = std::future::pending::<()>();
    // The future never completes, so only the timeout ends the wait.
    let _ = within(time, never).await;
}
