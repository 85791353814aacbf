//! Which hosts read the store, and when.
//!
//! One host reads for all; the others read only if news of it stop. No vote is
//! needed: each host ranks the live ones whom the store serves, those that read it
//! fastest first and then by a hash of their names, and waits the longer the lower it
//! ranks. Two readers do no harm. Fast ones come first as a long way, a thin link or
//! a slow processor makes large answers late.
//!
//! A few ranks take over one after the other. All further hosts, and those whose last
//! call failed, ask at times of their own that are spread so that the fleet as a whole
//! asks once in a [`SLOT`], whatever its size. A store that comes back is found within
//! a few slots, by whichever host asks next, and is not crowded.

use elmstream::time::{MILLI, Time};

use crate::{hash, view::Table};

/// Age of the first reader's knowledge at which it asks again.
const ASK_SERVERS: u64 = 450 * MILLI;
const ASK_RULES: u64 = 250 * MILLI;
/// Part of the bound on configurations that the reader's call waits for changes.
///
/// With [`ASK_RULES`] and the time that beats take it stays below [`SECOND_PART`], so
/// that the second host is silent while the first one reads.
pub const WAIT_PART: f64 = 0.12;
/// Part of the bound on configurations after which the second host asks.
const SECOND_PART: f64 = 0.35;
/// Each further rank waits this much longer.
const STEP: u64 = 120 * MILLI;
/// Ranks that take over one after the other.
const RANKS: u64 = 5;
/// Time between two calls of the whole fleet for a table that nobody gets.
pub const SLOT: u64 = 100 * MILLI;
/// Least pause of one host after a failed call.
const PAUSE_LEAST: u64 = 500 * MILLI;
/// Time between two calls by which the hosts of a fleet find out whether the store
/// serves them again, while others read it.
const CHECK_SLOT: u64 = 500 * MILLI;
/// Least time between two such calls of one host.
const CHECK_LEAST: u64 = 5_000 * MILLI;
/// Time after which a host that was told of news, but could not get them from the
/// others, asks the store itself.
pub const BEHIND: u64 = 500 * MILLI;
/// Such hosts ask this far apart, within a time that does not grow with the fleet.
pub const BEHIND_SLOT: u64 = 5 * MILLI;
/// Longest time by which they are apart.
pub const BEHIND_SPREAD: u64 = 500 * MILLI;

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

/// What a host goes by when it decides whether to ask the store for a table.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// When the table was last known to be current; none if it is not known at all.
    pub fresh: Option<Time>,
    /// A draw from 0 up to 1, another one for each host and reading.
    pub draw: f64,
    /// Live hosts whom the store serves, and that come before this one.
    pub ahead: u64,
    /// Live hosts, this one included.
    pub hosts: u64,
    /// When this host was told of news that it still lacks.
    pub behind: Option<Time>,
    /// Bound on configurations, in milliseconds.
    pub bound_ms: u64,
}

/// Why a host asks the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Why {
    /// It knows nothing of the table yet.
    Start,
    /// It is its turn by rank.
    Rank,
    /// It is its turn among the hosts that ask once in a slot.
    Slot,
    /// Others know more than it can get from them.
    Behind,
    /// It finds out whether the store serves it again.
    Check,
}

impl Why {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Why::Start => "start",
            Why::Rank => "rank",
            Why::Slot => "slot",
            Why::Behind => "behind",
            Why::Check => "check",
        }
    }
}

/// A failed call.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Time,
    /// A draw from 0 up to 1.
    draw: f64,
    /// The store has served this host's calls for the other table since.
    served: bool,
}

/// What became of one host's calls to the store.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    failures: [Option<Failure>; 2],
}

impl Calls {
    /// Whether the store served the host's last calls.
    pub fn served(&self) -> bool {
        self.failures.iter().all(Option::is_none)
    }

    /// A call was answered. One that checked, while others read the store all along,
    /// speaks for both tables.
    pub fn answered(&mut self, table: Table, checked: bool) {
        if checked {
            self.failures = [None; 2];
        }
        self.failures[table as usize] = None;
        for failure in self.failures.iter_mut().flatten() {
            failure.served = true;
        }
    }

    /// A call failed; `draw` is from 0 up to 1.
    pub fn failed(&mut self, now: Time, table: Table, draw: f64) {
        self.failures[table as usize] = Some(Failure { at: now, draw, served: false });
    }

    /// Whether the host has to ask the store for a table now, and why.
    pub fn due(&self, now: Time, table: Table, scene: &Scene) -> Option<Why> {
        let stale = self.stale(now, table, scene);
        let Some(failure) = self.failures[table as usize] else { return stale };
        if let Some(why) = stale {
            return (now.since(failure.at) >= failure.pause(scene.hosts)).then_some(why);
        }
        // The rules are the smaller table, so they are asked for if both calls failed.
        let asked = table == Table::Rules || self.failures[Table::Rules as usize].is_none();
        let checks = asked && now.since(failure.at) >= failure.check(scene.hosts);
        checks.then_some(Why::Check)
    }

    /// Whether what is known of a table is too old, by the host's turn.
    fn stale(&self, now: Time, table: Table, scene: &Scene) -> Option<Why> {
        let Some(fresh) = scene.fresh else { return Some(Why::Start) };
        let age = now.since(fresh);
        let served = self.served();
        let rank = if served { scene.ahead } else { scene.ahead.max(1) };
        let turn = patience(table, rank, scene.bound_ms);
        // Who failed is spread by its pause.
        let spread = if served { slots(scene.hosts, SLOT, scene.draw) } else { 0 };
        if served && rank < RANKS {
            if age >= turn {
                return Some(Why::Rank);
            }
        } else if age >= turn + spread {
            return Some(Why::Slot);
        }
        let apart = slots(scene.hosts, BEHIND_SLOT, scene.draw).min(BEHIND_SPREAD);
        let lacks = scene.behind.is_some_and(|since| now.since(since) >= BEHIND + apart);
        lacks.then_some(Why::Behind)
    }
}

impl Failure {
    /// Pause before the next call for a table that nobody gets.
    fn pause(&self, hosts: u64) -> u64 {
        if self.served {
            return PAUSE_LEAST;
        }
        pause(hosts, self.draw)
    }

    /// Time until the host finds out whether the store serves it again.
    fn check(&self, hosts: u64) -> u64 {
        slots(hosts, CHECK_SLOT, 0.5 + self.draw).max(CHECK_LEAST)
    }
}

/// Pause of one of so many hosts after a failed call; `draw` is from 0 up to 1.
pub fn pause(hosts: u64, draw: f64) -> u64 {
    slots(hosts, SLOT, 0.5 + draw).max(PAUSE_LEAST)
}

/// A part of one slot for each host.
fn slots(hosts: u64, slot: u64, part: f64) -> u64 {
    ((hosts * slot) as f64 * part) as u64
}
