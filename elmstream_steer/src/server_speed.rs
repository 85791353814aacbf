//! How fast a server works at the moment, by what it reports itself.
//!
//! A server shares its machine with others, so the time that a piece of work takes there changes
//! many times a second. A report is the time that work takes now, in percent of the usual time.

use std::ops::RangeInclusive;

use elmstream::time::{MILLI, Time};

/// Reports outside this range, in percent, are no reports.
const PLAUSIBLE_PERCENT: RangeInclusive<u16> = 1..=10_000;
/// Time that work takes as usual, in percent.
const USUAL_PERCENT: u16 = 100;
/// Difference from the usual time, in percent, from which a report is passed on to other hosts for
/// its own sake.
const PASSED_ON_DIFFERENCE: u16 = 25;
/// Unit of the age of a report that is passed on, in microseconds.
const AGE_UNIT: u64 = 10 * MILLI;
/// Factors at which a server begins and ceases to count as slow.
const SLOW_FROM: f64 = 2.0;
const SLOW_UNTIL: f64 = 1.5;

/// Who read a report from the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpeedSource {
    /// This host, with a complete response, whose outcome is recorded next.
    Answer,
    /// This host, with a response that broke off.
    BrokenAnswer,
    /// Another host.
    Host,
}

/// A report and when it was read from the server.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SpeedReport {
    percent: u16,
    read_at: Time,
}

/// Reports about one server.
#[derive(Clone, Debug, Default)]
pub struct ServerSpeed {
    /// The newest report from any source.
    newest: Option<SpeedReport>,
    /// The newest report that this host read itself.
    newest_own: Option<SpeedReport>,
    /// Whether the server counted as slow at the last call of [`ServerSpeed::slow_change`].
    was_slow: bool,
}

/// Whether a figure can be a report, in percent of the usual time.
pub fn is_plausible(percent: u16) -> bool {
    PLAUSIBLE_PERCENT.contains(&percent)
}

/// The time that work takes, as a factor of the usual time.
pub fn factor_of(percent: u16) -> f64 {
    f64::from(percent) / f64::from(USUAL_PERCENT)
}

impl ServerSpeed {
    /// Takes in a report that was read from the server `age` microseconds ago. Returns whether it
    /// is the newest; an older report never replaces a newer one, and an implausible one is no
    /// report.
    pub fn on_report(&mut self, now: Time, percent: u16, age: u64) -> bool {
        let read_at = Time(now.0.saturating_sub(age));
        let is_newer = self.newest.is_none_or(|newest| newest.read_at <= read_at);
        let is_used = is_newer && is_plausible(percent);
        if is_used {
            self.newest = Some(SpeedReport { percent, read_at });
        }
        is_used
    }

    /// Takes in a report that this host has just read itself.
    pub fn on_own_report(&mut self, now: Time, percent: u16) -> bool {
        let is_used = self.on_report(now, percent, 0);
        if is_used {
            self.newest_own = self.newest;
        }
        is_used
    }

    /// Time that work takes at the server, as a factor of the usual time. It returns to 1 as the
    /// newest report ages: its weight decays to 1/e in `decay` microseconds. With a decay of 0
    /// reports are not used.
    pub fn factor(&self, now: Time, decay: u64) -> f64 {
        let Some(newest) = self.newest.filter(|_| decay > 0) else { return 1.0 };
        let weight = (-(now.since(newest.read_at) as f64) / decay as f64).exp();
        1.0 + (factor_of(newest.percent) - 1.0) * weight
    }

    /// The newest report that this host read itself, if it is younger than `max_age` microseconds:
    /// the percent and the age in units of 10 ms, which is rounded up so that a report never
    /// becomes younger on its way.
    pub fn passed_on(&self, now: Time, max_age: u64) -> Option<(u16, u8)> {
        let own = self.newest_own?;
        let age = now.since(own.read_at);
        let units = u8::try_from(age.div_ceil(AGE_UNIT)).ok()?;
        (age < max_age).then_some((own.percent, units))
    }

    /// Whether the server counts as slow; `None` if that has not changed since the last call.
    pub fn slow_change(&mut self, now: Time, decay: u64) -> Option<bool> {
        let bound = if self.was_slow { SLOW_UNTIL } else { SLOW_FROM };
        let is_slow = self.factor(now, decay) >= bound;
        let changed = is_slow != self.was_slow;
        self.was_slow = is_slow;
        changed.then_some(is_slow)
    }
}

/// Whether a report differs so much from the usual time that it is passed on although the sender
/// has no request in flight at the server.
pub fn is_unusual(percent: u16) -> bool {
    percent.abs_diff(USUAL_PERCENT) >= PASSED_ON_DIFFERENCE
}

/// Age in microseconds of a report that was passed on with an age in units of 10 ms.
pub fn age_of(units: u8) -> u64 {
    u64::from(units) * AGE_UNIT
}
