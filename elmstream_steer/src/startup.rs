//! Decides when a host that has just started may read the store itself.
//!
//! Other hosts are asked first, as each call to the store is paid for and a full read of a large
//! fleet's servers takes several calls. Only seeds, the hosts that starting ones contact first, and
//! hosts that know no others read the store at once. If all hosts start together, none has data; a
//! host that notices this reads the store with a fixed probability, without agreement between
//! hosts. A host that receives nothing for a while reads the store too, so that the delay does not
//! depend on the others. With 295 hosts that start together (`elmstream_edge/tests/start.rs`), this
//! takes 346 calls instead of 1,460, and the hosts have all data after 0.37 s on average instead of
//! 0.2 s.

use elmstream::time::{MILLI, Time};

/// Fraction of the hosts, drawn at random, that read the store as soon as peers turn out to have no
/// data.
///
/// Each of them passes the data on to a few others at once, and those do too, so that 295 hosts are
/// reached in two hops. In a small fleet, where none may be drawn, the seeds read in any case.
const FIRST_READER_FRACTION: f64 = 0.2;
/// Time after which the hosts of [`FIRST_READER_FRACTION`] assume that no peer has data: a
/// connection and an answer between regions 70 ms apart.
const PEER_REPLY_WAIT: u64 = 200 * MILLI;
/// How long hosts that are neither seeds nor among the first readers wait for data from peers, in
/// microseconds: a read of the store by the first readers (300 ms on a slow link) and two hops of
/// 150 ms.
pub const PEER_WAIT_MAX: u64 = 600 * MILLI;
/// Time for each host of the fleet by which the reads after [`PEER_WAIT_MAX`] are spread at random,
/// up to [`READ_SPREAD`], so that the delay does not grow with a large fleet.
const READ_SPACING: u64 = 5 * MILLI;
/// Longest time over which the reads after [`PEER_WAIT_MAX`] are spread, in microseconds.
pub const READ_SPREAD: u64 = 300 * MILLI;

/// Context in which a starting host decides whether to read the store.
#[derive(Clone, Copy, Debug)]
pub struct StartupContext {
    /// When the host started.
    pub started_at: Time,
    /// Whether starting hosts contact this one first, or it knows no others.
    pub is_seed: bool,
    /// Whether a peer that it asked has no table either, or did not answer.
    pub has_uninformed_peer: bool,
    /// Number of hosts that may be running, including this one.
    pub possible_hosts: u64,
    /// Random number from 0 up to 1, different for each start. It decides both whether the host is
    /// among the first readers and how long it waits otherwise.
    pub draw: f64,
}

impl StartupContext {
    /// Whether the host may read the store itself by now: a seed at once, a first reader when a
    /// peer has no data or after `PEER_REPLY_WAIT`, any other host after [`PEER_WAIT_MAX`] and a
    /// random delay.
    pub fn may_read(&self, now: Time) -> bool {
        let waited = now.since(self.started_at);
        if self.is_seed {
            return true;
        }
        if self.draw < FIRST_READER_FRACTION {
            return self.has_uninformed_peer || waited >= PEER_REPLY_WAIT;
        }
        let delay = (self.possible_hosts * READ_SPACING).min(READ_SPREAD) as f64 * self.draw;
        waited >= PEER_WAIT_MAX + delay as u64
    }
}
