//! Which requests move a key to its first server after the division over failure domains changed.
//!
//! A few requests of the key go there, so that it is warm before the others follow; urgent ones
//! less often, as the first answer takes longer.

use elmstream::time::Time;

use crate::hash;

/// Fraction of a key's least urgent requests that move it. It is halved for each more urgent
/// priority.
const MOVING_FRACTION: f64 = 0.125;
/// Priority from which on a request counts as least urgent.
const LEAST_URGENT: u32 = 2;
/// Fraction of the caller's remaining time in which a request that moves its key must be expected
/// to be answered.
pub const TIME_FRACTION: f64 = 0.75;
/// Seed of a request's draw.
const MOVING_SEED: u64 = 0x6d6f_7665;

/// Whether a request is one of those that move their key.
pub fn is_drawn(now: Time, key: u64, priority: u32) -> bool {
    let halvings = LEAST_URGENT.saturating_sub(priority) as i32;
    let draw = hash::unit_interval(hash::combine(key ^ MOVING_SEED, now.0));
    draw < MOVING_FRACTION * 0.5f64.powi(halvings)
}
