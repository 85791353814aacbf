//! Which hosts read the store, and when.
//!
//! One host reads for all; the others read only if news of it stop. No vote is
//! needed: each host ranks the live ones whom the store serves, those that read it
//! fastest first and then by a hash of their names, and waits the longer the lower it
//! ranks. Two readers do no harm. Fast ones come first as a long way, a thin link or
//! a slow processor makes large answers late.
//!
//! A few ranks take over one after the other; `store_schedule` says when the others ask. They are
//! of failure domains of their own, and not all of one region, as the fastest readers
//! stand together beside the store and would be lost together.

use elmstream::time::MILLI;

use crate::{hash, view::Table};

/// Age of the first reader's knowledge at which it asks again.
const ASK_SERVERS: u64 = 450 * MILLI;
const ASK_RULES: u64 = 250 * MILLI;
/// Part of the bound on configurations that the reader's call waits for changes.
///
/// With [`ASK_RULES`] and the time that beats take it stays below [`SECOND_PART`], so
/// that the second host is silent while the first one reads.
pub const LONG_POLL_FRACTION: f64 = 0.1;
/// Part of the bound on configurations after which the second host asks.
const SECOND_PART: f64 = 0.32;
/// Each further rank waits this much longer.
const STEP: u64 = 60 * MILLI;
/// Ranks that take over one after the other.
pub const READER_RANKS: u64 = 3;

/// Age at which a host of this rank asks the store for a table.
pub fn read_delay(table: Table, rank: u64, bound_ms: u64) -> u64 {
    let first = match table {
        Table::Servers => ASK_SERVERS,
        Table::Rules | Table::Rollouts => ASK_RULES,
    };
    if rank == 0 {
        return first;
    }
    let second = (bound_ms as f64 * SECOND_PART) as u64 * MILLI;
    second.max(first + first / 2) + STEP * (rank - 1).min(READER_RANKS)
}

/// Time that a host is taken to need before it has read the store.
pub const UNMEASURED_READ_MS: u16 = 1_000;
/// Shorter times count as alike.
const NEAR_MS: u16 = 16;

/// A host that may read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedReader<'a> {
    /// Hash of its name.
    pub host: u64,
    /// Time of a whole reading, in milliseconds. Times within a factor of two count as alike.
    pub read_ms: u16,
    /// Failure domain and region.
    pub location: (&'a str, &'a str),
}

impl RankedReader<'_> {
    /// Those that read sooner have a lower one.
    pub(crate) fn order(&self) -> (u32, u64) {
        (self.read_ms.max(NEAR_MS).ilog2(), !hash::combine(self.host, 0))
    }
}

/// Rank of a host among those whom the store serves; [`READER_RANKS`] for all that have none.
pub fn rank<'a>(
    own: RankedReader<'a>,
    served: impl Iterator<Item = RankedReader<'a>> + Clone,
) -> u64 {
    let mut ranked: [Option<RankedReader<'a>>; READER_RANKS as usize] =
        [None; READER_RANKS as usize];
    for place in 0..ranked.len() {
        let (before, _) = ranked.split_at(place);
        let rest = served.clone().chain([own]);
        let rest = rest.filter(|reader| !before.contains(&Some(*reader)));
        // A host whose place adds nothing comes after all others.
        let first = rest.min_by_key(|reader| (!widens(before, reader), reader.order()));
        if first == Some(own) {
            return place as u64;
        }
        ranked[place] = first;
    }
    READER_RANKS
}

/// Whether a reader is of a failure domain that those before it are not of, and of
/// another region if it is the last rank and these are all of one.
fn widens(before: &[Option<RankedReader<'_>>], reader: &RankedReader<'_>) -> bool {
    let places = || before.iter().flatten().map(|reader| reader.location);
    let last = before.len() as u64 + 1 == READER_RANKS;
    let same_region = places().all(|(_, region)| region == reader.location.1);
    places().all(|(domain, _)| domain != reader.location.0) && !(last && same_region)
}
