//! Which hosts read the store, and when.
//!
//! One host reads for all; the others read only if its updates stop. No election is needed: each
//! host ranks the live hosts that the store serves, the fastest readers first and then by a hash of
//! their names, and waits longer the lower it ranks. Several readers at once do no harm. Fast
//! readers come first because a long distance, a slow link or a slow processor delays large
//! answers.
//!
//! A few ranks take over from each other; `store_schedule` decides when the other hosts read. The
//! ranked hosts are in different failure domains and not all in one region, since the fastest
//! readers are close to the store and to each other, and could all fail at once.

use elmstream::time::MILLI;

use crate::{hash, view::Table};

/// Age of the first reader's knowledge at which it reads again.
const SERVERS_READ_AGE: u64 = 450 * MILLI;
const RULES_READ_AGE: u64 = 250 * MILLI;
/// Fraction of the configuration bound for which a reader's call waits for changes.
///
/// Together with [`RULES_READ_AGE`] and the time that heartbeats take it stays below
/// [`SECOND_RANK_FRACTION`], so that the second reader does not read while the first one does.
pub const LONG_POLL_FRACTION: f64 = 0.1;
/// Fraction of the configuration bound after which the second reader reads.
const SECOND_RANK_FRACTION: f64 = 0.32;
/// Additional delay of each further rank.
const RANK_DELAY_STEP: u64 = 60 * MILLI;
/// Number of ranked readers.
pub const READER_RANKS: u64 = 3;

/// Age of a table at which a host of a rank reads it, in microseconds.
pub fn read_delay(table: Table, rank: u64, bound_ms: u64) -> u64 {
    let first = match table {
        Table::Servers => SERVERS_READ_AGE,
        Table::Rules | Table::Rollouts => RULES_READ_AGE,
    };
    if rank == 0 {
        return first;
    }
    let second = (bound_ms as f64 * SECOND_RANK_FRACTION) as u64 * MILLI;
    second.max(first + first / 2) + RANK_DELAY_STEP * (rank - 1).min(READER_RANKS)
}

/// Read time that is assumed for a host that has not read the store yet, in milliseconds.
pub const UNMEASURED_READ_MS: u16 = 1_000;
/// Shorter read times count as equal, in milliseconds.
const READ_MS_MIN: u16 = 16;

/// A host that may read the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedReader<'a> {
    /// Hash of the host's name.
    pub host: u64,
    /// Duration of a full read, in milliseconds. Durations within a factor of two count as equal.
    pub read_ms: u16,
    /// Failure domain and region.
    pub location: (&'a str, &'a str),
}

impl RankedReader<'_> {
    /// Sort key; faster readers come first.
    pub(crate) fn order(&self) -> (u32, u64) {
        (self.read_ms.max(READ_MS_MIN).ilog2(), !hash::combine(self.host, 0))
    }
}

/// Rank of a host among those that the store serves; [`READER_RANKS`] for all hosts without a rank.
pub fn rank<'a>(
    own: RankedReader<'a>,
    served: impl Iterator<Item = RankedReader<'a>> + Clone,
) -> u64 {
    let mut ranked: [Option<RankedReader<'a>>; READER_RANKS as usize] =
        [None; READER_RANKS as usize];
    for position in 0..ranked.len() {
        let (ranked_before, _) = ranked.split_at(position);
        let remaining = served.clone().chain([own]);
        let remaining = remaining.filter(|reader| !ranked_before.contains(&Some(*reader)));
        // Hosts that add no location come after all others.
        let first =
            remaining.min_by_key(|reader| (!adds_location(ranked_before, reader), reader.order()));
        if first == Some(own) {
            return position as u64;
        }
        ranked[position] = first;
    }
    READER_RANKS
}

/// Whether a reader is in a failure domain that the readers before it do not cover. For the last
/// rank it must also be in another region if those before it are all in one.
fn adds_location(ranked_before: &[Option<RankedReader<'_>>], reader: &RankedReader<'_>) -> bool {
    let locations = || ranked_before.iter().flatten().map(|reader| reader.location);
    let is_last = ranked_before.len() as u64 + 1 == READER_RANKS;
    let same_region = locations().all(|(_, region)| region == reader.location.1);
    locations().all(|(domain, _)| domain != reader.location.0) && !(is_last && same_region)
}
