//! The clocks of the daemon.
//!
//! Leases and deadlines use `CLOCK_BOOTTIME`, which goes on while the host is suspended; a steady
//! clock stands still and would extend a lease by the time of the suspension. The wall clock is
//! only used for timestamps that other systems read.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use elmstream::time::Time;

/// Microseconds since the machine booted, including time in suspension.
#[allow(unsafe_code)]
fn boot_micros() -> u64 {
    let mut spec = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `spec` is valid for writing during the call.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut spec) };
    assert_eq!(failed, 0, "CLOCK_BOOTTIME exists on every Linux since 2.6.39");
    spec.tv_sec as u64 * 1_000_000 + spec.tv_nsec as u64 / 1_000
}

/// Current time on the clock that counts suspension, in microseconds since boot.
pub fn now() -> Time {
    Time(boot_micros())
}

/// Current wall clock time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Microseconds since this function was first called in the process, including time in suspension.
pub fn uptime_micros() -> u64 {
    static START: OnceLock<Time> = OnceLock::new();
    let start = *START.get_or_init(now);
    now().since(start)
}

/// Difference between the two clocks up to which no suspension is assumed: they are read one after
/// the other, and a busy host may pause between the two reads.
const CLOCK_SKEW_MAX_US: u64 = 200_000;

/// Detects suspensions of the host by comparing the boot clock with the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    boot: Time,
    steady: Instant,
}

impl Default for Suspension {
    fn default() -> Suspension {
        Suspension { boot: now(), steady: Instant::now() }
    }
}

impl Suspension {
    /// Microseconds for which the host was suspended since the previous call, or since this was
    /// created. `None` if it was not suspended.
    pub fn look(&mut self) -> Option<u64> {
        let last = std::mem::take(self);
        let steady = self.steady.duration_since(last.steady).as_micros() as u64;
        away(self.boot.since(last.boot), steady)
    }
}

/// Time in suspension, given how far the boot clock and the steady clock advanced, all in
/// microseconds. `None` if the difference is small enough to come from reading the clocks one
/// after the other.
pub fn away(boot: u64, steady: u64) -> Option<u64> {
    let away = boot.saturating_sub(steady);
    (away >= CLOCK_SKEW_MAX_US).then_some(away)
}
