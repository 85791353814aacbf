//! Token buckets for shift caps and links.
//!
//! A cap holds for *any* second. A bucket of rate `r` and depth `b` lets at
//! most `r + b` through in a second, so a cap `c` is split into `b = c / 20`
//! (at least one unit) and `r = c - b`. Each owner holds a part of the cap;
//! the parts of a region's owners sum to at most the whole, so the bound holds
//! for the sum as well.

use crate::time::{SECOND, Time};

/// Parts in a whole; a part of a cap is counted in these.
pub const PARTS_PER_WHOLE: u64 = 1_000_000;
/// Depth of a bucket as a divisor of the cap.
const DEPTH_DIVISOR: u64 = 20;
/// Share of a cap that a new shift starts with, in parts.
const RAMP_START: u64 = PARTS_PER_WHOLE / 5;
/// Units are counted in millionths, so that small parts still add up.
const MICRO: u64 = 1_000_000;

/// A token bucket whose rate is given anew with each use.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens, in millionths.
    level: u64,
    /// When the level was last brought up to date.
    updated: Time,
    /// When the present shift began, for the ramp.
    started: Option<Time>,
}

impl TokenBucket {
    /// A bucket that was empty at `since`.
    ///
    /// Its part of the cap may have come from another owner, which may have
    /// spent it up to then.
    pub fn new(since: Time) -> TokenBucket {
        TokenBucket { level: 0, updated: since, started: None }
    }

    /// Takes `units` if the part of the cap allows it.
    ///
    /// `per_second` is the whole cap, `part` this owner's part of it in
    /// [`WHOLE`]ths, `ramp` the time to full size in microseconds.
    pub fn take(&mut self, now: Time, units: u64, per_second: u64, part: u64, ramp: u64) -> bool {
        let share = part * self.ramped(now, ramp) / PARTS_PER_WHOLE;
        let cap = micro_units(per_second, share);
        let depth = (cap / DEPTH_DIVISOR).max(MICRO);
        if cap < depth {
            return false;
        }
        self.refill(now, cap - depth, depth);
        let wanted = units.saturating_mul(MICRO);
        if self.level < wanted {
            return false;
        }
        self.level -= wanted;
        true
    }

    /// Takes as many of `units` as there are, whole ones, and tells how many.
    pub fn take_up_to(&mut self, now: Time, units: u64, per_second: u64, part: u64) -> u64 {
        let cap = micro_units(per_second, part);
        let depth = (cap / DEPTH_DIVISOR).max(MICRO);
        if cap < depth {
            return 0;
        }
        self.refill(now, cap - depth, depth);
        let taken = units.min(self.level / MICRO);
        self.level -= taken * MICRO;
        taken
    }

    /// Microseconds until one unit may be there, for "retry after".
    pub fn retry_after(&self, per_second: u64, part: u64) -> u64 {
        let cap = micro_units(per_second, part);
        let rate = cap - (cap / DEPTH_DIVISOR).max(MICRO).min(cap);
        let missing = MICRO.saturating_sub(self.level);
        missing.saturating_mul(SECOND).checked_div(rate).unwrap_or(SECOND)
    }

    /// Brings the level up to date.
    fn refill(&mut self, now: Time, rate: u64, depth: u64) {
        let elapsed = u128::from(now.since(self.updated));
        let gained = elapsed * u128::from(rate) / u128::from(SECOND);
        self.level = (u128::from(self.level) + gained).min(u128::from(depth)) as u64;
        self.updated = now;
    }

    /// The share of the cap that the ramp allows now, in [`WHOLE`]ths.
    ///
    /// A shift that rested for a whole ramp starts cold again.
    fn ramped(&mut self, now: Time, ramp: u64) -> u64 {
        if ramp == 0 {
            return PARTS_PER_WHOLE;
        }
        let rested = now.since(self.updated) >= ramp;
        let started = match self.started {
            Some(started) if !rested => started,
            _ => *self.started.insert(now),
        };
        let grown = now.since(started).min(ramp);
        RAMP_START + (PARTS_PER_WHOLE - RAMP_START) * grown / ramp
    }
}

/// A part of a rate, in millionths of a unit per second.
fn micro_units(per_second: u64, part: u64) -> u64 {
    let micro = u128::from(per_second) * u128::from(part.min(PARTS_PER_WHOLE));
    u64::try_from(micro).unwrap_or(u64::MAX)
}
