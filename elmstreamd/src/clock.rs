//! Clocks: one that counts suspension for leases, and the wall's for others.

use std::{
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
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
