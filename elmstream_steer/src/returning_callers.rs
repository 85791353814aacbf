//! Detects callers that retry after a refusal.
//!
//! A caller states how much time remains for its request. Most requests are first attempts and have
//! the same remaining time, so a request with clearly less has probably been refused, or has
//! failed, before.

use std::collections::HashMap;

use elmstream::time::{SECOND, Time};

/// Fraction of the usual remaining time below which a caller counts as returning.
const RETURNING_FRACTION: f64 = 0.93;
/// Time after which the usual remaining time is replaced by a lower one, if it no longer occurs.
const USUAL_TIMEOUT: u64 = 10 * SECOND;

/// Usual remaining time of first attempts, by route.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    usual_remaining: HashMap<String, (u64, Time)>,
}

impl ReturningCallers {
    /// Whether a request with `remaining_ms` milliseconds left comes from a returning caller. Takes
    /// the time into account for later calls.
    pub fn is_returning(&mut self, now: Time, route: &str, remaining_ms: u64) -> bool {
        let Some((usual_ms, last_seen)) = self.usual_remaining.get_mut(route) else {
            self.usual_remaining.insert(route.to_owned(), (remaining_ms, now));
            return false;
        };
        if remaining_ms >= *usual_ms || now.since(*last_seen) > USUAL_TIMEOUT {
            (*usual_ms, *last_seen) = (remaining_ms, now);
            return false;
        }
        (remaining_ms as f64) < *usual_ms as f64 * RETURNING_FRACTION
    }
}
