//! Token buckets for shift caps and link limits.
//!
//! A cap holds for *any* period of one second. A bucket of rate `r` and depth `b`
//! passes at most `r + b` units in a second, so a cap `c` is divided into `b = c
//! / 20` (at least one unit) and `r = c - b`. Each owner holds a part of the cap.
//! The parts of a region's owners sum to at most the whole, so the cap also holds
//! for all owners together.

use crate::time::{SECOND, Time};

/// Number of parts that make up a whole cap.
pub const PARTS_PER_WHOLE: u64 = 1_000_000;
/// Cap divided by the depth of a bucket.
const DEPTH_DIVISOR: u64 = 20;
/// Parts of a cap that are available when a shift begins.
const RAMP_START_PARTS: u64 = PARTS_PER_WHOLE / 5;
/// Millionths in a unit. Levels are counted in millionths so that a small part of
/// a cap still accumulates.
const MICRO_UNITS: u64 = 1_000_000;

/// Token bucket whose cap and part are passed in with each use, because both may
/// change at any time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens, in millionths of a unit.
    level: u64,
    /// Time to which `level` refers.
    updated_at: Time,
    /// When the current shift began, for the ramp.
    ramp_started: Option<Time>,
}

impl TokenBucket {
    /// Creates a bucket that was empty at `since`.
    ///
    /// It starts empty because a former owner may have used this part of the cap
    /// up to that time.
    pub fn new(since: Time) -> TokenBucket {
        TokenBucket { level: 0, updated_at: since, ramp_started: None }
    }

    /// Takes `units` and returns `true`, or takes nothing and returns `false` if
    /// the level is too low.
    ///
    /// `per_second` is the whole cap, `part` this owner's part of it in
    /// [`PARTS_PER_WHOLE`]ths, and `ramp` the time in microseconds over which a
    /// new shift grows to the whole part.
    pub fn take(&mut self, now: Time, units: u64, per_second: u64, part: u64, ramp: u64) -> bool {
        let share = part * self.ramp_parts(now, ramp) / PARTS_PER_WHOLE;
        let cap = micro_units(per_second, share);
        let depth = (cap / DEPTH_DIVISOR).max(MICRO_UNITS);
        if cap < depth {
            return false;
        }
        self.refill(now, cap - depth, depth);
        let wanted = units.saturating_mul(MICRO_UNITS);
        if self.level < wanted {
            return false;
        }
        self.level -= wanted;
        true
    }

    /// Takes up to `units` whole units and returns the number taken.
    pub fn take_up_to(&mut self, now: Time, units: u64, per_second: u64, part: u64) -> u64 {
        let cap = micro_units(per_second, part);
        let depth = (cap / DEPTH_DIVISOR).max(MICRO_UNITS);
        if cap < depth {
            return 0;
        }
        self.refill(now, cap - depth, depth);
        let taken = units.min(self.level / MICRO_UNITS);
        self.level -= taken * MICRO_UNITS;
        taken
    }

    /// Microseconds until one unit may be available, for the retry time of a refusal.
    pub fn retry_after(&self, per_second: u64, part: u64) -> u64 {
        let cap = micro_units(per_second, part);
        let rate = cap - (cap / DEPTH_DIVISOR).max(MICRO_UNITS).min(cap);
        let missing = MICRO_UNITS.saturating_sub(self.level);
        missing.saturating_mul(SECOND).checked_div(rate).unwrap_or(SECOND)
    }

    /// Adds the tokens gained since the last update, up to `depth`.
    fn refill(&mut self, now: Time, rate: u64, depth: u64) {
        let elapsed = u128::from(now.since(self.updated_at));
        let gained = elapsed * u128::from(rate) / u128::from(SECOND);
        self.level = (u128::from(self.level) + gained).min(u128::from(depth)) as u64;
        self.updated_at = now;
    }

    /// Parts of the cap that the ramp allows now, in [`PARTS_PER_WHOLE`]ths.
    ///
    /// A shift that was idle for a whole ramp starts over.
    fn ramp_parts(&mut self, now: Time, ramp: u64) -> u64 {
        if ramp == 0 {
            return PARTS_PER_WHOLE;
        }
        let is_idle = now.since(self.updated_at) >= ramp;
        let ramp_started = match self.ramp_started {
            Some(ramp_started) if !is_idle => ramp_started,
            _ => *self.ramp_started.insert(now),
        };
        let elapsed = now.since(ramp_started).min(ramp);
        RAMP_START_PARTS + (PARTS_PER_WHOLE - RAMP_START_PARTS) * elapsed / ramp
    }
}

/// Part of a rate, in millionths of a unit per second.
fn micro_units(per_second: u64, part: u64) -> u64 {
    let micro = u128::from(per_second) * u128::from(part.min(PARTS_PER_WHOLE));
    u64::try_from(micro).unwrap_or(u64::MAX)
}
