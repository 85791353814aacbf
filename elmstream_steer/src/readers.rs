//! Which hosts read the store, and when.
//!
//! One host reads for all; the others read only if news of it stop. No vote is
//! needed: each host ranks the live ones whom the store serves, those that read it
//! fastest first and then by a hash of their names, and waits the longer the lower it
//! ranks. Two readers do no harm. Fast ones come first as a long way, a thin link or
//! a slow processor makes large answers late.

use elmstream::time::{MILLI, Time};

use crate::{hash, view::Table};

/// Age of the first reader's knowledge at which it asks again.
const ASK_SERVERS: u64 = 450 * MILLI;
const ASK_RULES: u64 = 250 * MILLI;
/// Part of the bound on configurations after which the second host asks.
const SECOND_PART: f64 = 0.4;
/// Each further rank waits this much longer.
const STEP: u64 = 120 * MILLI;
/// Ranks beyond this one wait no longer.
const RANKS: u64 = 5;
/// Time between two tries of a host that the store does not serve.
const PAUSE_LEAST: u64 = 500 * MILLI;
const PAUSE_STEP: u64 = 60 * MILLI;

/// Age at which a host of this rank asks the store for a table.
pub fn patience(table: Table, rank: u64, bound_ms: u64) -> u64 {
    let first = match table {
        Table::Servers => ASK_SERVERS,
        Table::Rules => ASK_RULES,
    };
    if rank == 0 {
        return first;
    }
    let second = (bound_ms as f64 * SECOND_PART) as u64 * MILLI;
    second.max(first * 2) + STEP * (rank - 1).min(RANKS)
}

/// Pause after a failed try, so that a fleet does not crowd a store that is down.
pub fn pause(hosts: usize) -> u64 {
    PAUSE_LEAST + PAUSE_STEP * hosts as u64
}

/// Time that a host is taken to need before it has read the store.
pub const FAR_MS: u16 = 1_000;
/// Shorter times count as alike.
const NEAR_MS: u16 = 16;

/// A host that may read: hash of its name, and the time of a whole reading.
pub type Reader = (u64, u16);

/// Rank of a host among those whom the store serves.
///
/// Times within a factor of two count as alike.
pub fn rank(own: Reader, served: impl Iterator<Item = Reader>) -> u64 {
    let order = |(host, millis): Reader| (millis.max(NEAR_MS).ilog2(), !hash::pair(host, 0));
    served.filter(|host| order(*host) < order(own)).count() as u64
}

/// How old what is known of a table may be at most before it counts as stale.
pub fn due(now: Time, fresh: Option<Time>, patience: u64) -> bool {
    fresh.is_none_or(|fresh| now.since(fresh) >= patience)
}
