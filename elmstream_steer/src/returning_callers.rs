//! Tells callers who come back from those who come first.
//!
//! A caller says how long it still waits. Most come first, with the same time left,
//! so one with clearly less has been refused, or failed, before.

use std::collections::HashMap;

use elmstream::time::{SECOND, Time};

/// Part of the usual time below which a caller is taken to come back.
const LESS: f64 = 0.93;
/// Time in which a longer one that is no longer seen is forgotten.
const MEMORY: u64 = 10 * SECOND;

/// The time that first tries of each route bring.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    usual: HashMap<String, (u64, Time)>,
}

impl ReturningCallers {
    /// Whether a request of a route with so many milliseconds left comes back.
    pub fn is_returning(&mut self, now: Time, route: &str, left_ms: u64) -> bool {
        let Some((usual, seen)) = self.usual.get_mut(route) else {
            self.usual.insert(route.to_owned(), (left_ms, now));
            return false;
        };
        if left_ms >= *usual || now.since(*seen) > MEMORY {
            (*usual, *seen) = (left_ms, now);
            return false;
        }
        (left_ms as f64) < *usual as f64 * LESS
    }
}
