//! Time as used by the decisions: values of a monotonic clock in microseconds.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Microseconds in a millisecond.
pub const MILLI: u64 = 1_000;
/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// Point in time, in microseconds of a monotonic clock that goes on while the
/// machine is suspended.
///
/// Each host has its own clock, so times of two hosts must not be compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Time(pub u64);

impl Time {
    /// Microseconds from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Time {
    type Output = Time;

    fn add(self, micros: u64) -> Time {
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<u64> for Time {
    type Output = Time;

    fn sub(self, micros: u64) -> Time {
        Time(self.0.saturating_sub(micros))
    }
}
