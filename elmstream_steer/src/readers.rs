//! Which hosts read the store, and when.
//!
//! One host reads for all; the others read only if news of it stop. No vote is
//! needed: each host ranks the live ones whom the store serves, those that read it
//! fastest first and then by a hash of their names, and waits the longer the lower it
//! ranks. Two readers do no harm. Fast ones come first as a long way, a thin link or
//! a slow processor makes large answers late.
//!
//! A few ranks take over one after the other; `calls` says when the others ask.

use elmstream::time::MILLI;

use crate::{hash, view::Table};

/// Age of the first reader's knowledge at which it asks again.
const ASK_SERVERS: u64 = 450 * MILLI;
const ASK_RULES: u64 = 250 * MILLI;
/// Part of the bound on configurations that the reader's call waits for changes.
///
/// With [`ASK_RULES`] and the time that beats take it stays below [`SECOND_PART`], so
/// that the second host is silent while the first one reads.
pub const WAIT_PART: f64 = 0.1;
/// Part of the bound on configurations after which the second host asks.
const SECOND_PART: f64 = 0.32;
/// Each further rank waits this much longer.
const STEP: u64 = 60 * MILLI;
/// Ranks that take over one after the other.
pub const RANKS: u64 = 3;

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
    second.max(first + first / 2) + STEP * (rank - 1).min(RANKS)
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
