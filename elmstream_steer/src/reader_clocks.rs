//! Clocks of the hosts that read a table from the store, compared with this host's clock, so that a
//! read that took long to arrive counts as old.

use std::collections::HashMap;

use elmstream::time::{MILLI, Time};

use crate::heartbeat::StoreRead;

/// Number of readers of a table whose clocks are remembered. Above it only the clock of the reader
/// that confirmed the table last is kept.
const READER_CLOCKS_MAX: usize = 4_096;

/// Time for which a read is usually passed on at most, in milliseconds. The first read of a reader
/// that is not older counts as just made, like those that define the reader's clock later.
const TRANSMISSION_MS_MAX: u64 = 1_000;

/// Clocks of a table's readers, by [`StoreRead::reader`].
#[derive(Clone, Debug, Default)]
pub(crate) struct ReaderClocks(HashMap<u64, ReaderClock>);

/// Another host's clock, compared with this host's clock by the reads that arrive from it.
#[derive(Clone, Copy, Debug)]
struct ReaderClock {
    /// Time of the last known read by the reader's clock, in milliseconds.
    last_stamp_ms: u64,
    /// Smallest difference seen between this host's clock on arrival and the time of a read, in
    /// milliseconds, less the age that was stated with the first one: the clocks' offset plus the
    /// shortest transmission time.
    min_offset_ms: i64,
}

impl ReaderClocks {
    /// Records a read that arrived `now`; `age_ms` is its age as stated by the host that passed it
    /// on. Returns the time of the read by this host's clock; `None` if the read is not later than
    /// those known of the same reader.
    pub fn record_read(&mut self, now: Time, read: StoreRead, age_ms: u64) -> Option<Time> {
        let offset_ms = (now.0 / MILLI) as i64 - read.stamp_ms as i64;
        let first_age_ms = if age_ms < TRANSMISSION_MS_MAX { 0 } else { age_ms };
        let first_offset_ms = offset_ms.saturating_sub_unsigned(first_age_ms);
        let new = ReaderClock { last_stamp_ms: 0, min_offset_ms: first_offset_ms };
        let clock = self.0.entry(read.reader).or_insert(new);
        if clock.last_stamp_ms >= read.stamp_ms {
            return None;
        }
        *clock = ReaderClock {
            last_stamp_ms: read.stamp_ms,
            min_offset_ms: clock.min_offset_ms.min(offset_ms),
        };
        let delay = offset_ms.abs_diff(clock.min_offset_ms).saturating_mul(MILLI);
        Some(Time(now.0.saturating_sub(delay)))
    }

    /// Drops surplus clocks, except that of `last_reader`, which confirmed the table last.
    pub fn drop_surplus(&mut self, last_reader: Option<u64>) {
        if self.0.len() > READER_CLOCKS_MAX {
            self.0.retain(|reader, _| Some(*reader) == last_reader);
        }
    }
}
