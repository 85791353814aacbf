//! Clocks: one that counts suspension for leases, and the wall's for others.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use elmstream::time::Time;

/// Microseconds since the machine's boot, suspension counted.
#[allow(unsafe_code)]
fn boot_micros() -> u64 {
    let mut spec = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `spec` is valid for writing during the call.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut spec) };
    assert_eq!(failed, 0, "CLOCK_BOOTTIME is there on every Linux since 2.6.39");
    spec.tv_sec as u64 * 1_000_000 + spec.tv_nsec as u64 / 1_000
}

/// Now, on the clock that counts suspension.
pub fn now() -> Time {
    Time(boot_micros())
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Microseconds since the first call in this process.
pub fn uptime_micros() -> u64 {
    static START: OnceLock<Time> = OnceLock::new();
    let start = *START.get_or_init(now);
    now().since(start)
}

/// Time by which the clocks may differ without a suspension, for reading one after the
/// other on a busy host.
const APART: u64 = 200_000;

/// Finds out whether the host was suspended.
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
    /// For how many microseconds the host was suspended since the last look; none if it
    /// was not.
    pub fn look(&mut self) -> Option<u64> {
        let last = std::mem::take(self);
        let steady = self.steady.duration_since(last.steady).as_micros() as u64;
        away(self.boot.since(last.boot), steady)
    }
}

/// By how many microseconds the clock that counts suspension went on more than the steady
/// one; none if it may be by chance.
pub fn away(boot: u64, steady: u64) -> Option<u64> {
    let away = boot.saturating_sub(steady);
    (away >= APART).then_some(away)
}
