//! A host's own calls to the store: when the next one is due.
//!
//! A few ranks take over one after the other. All further hosts, and those whose last
//! call failed, ask at times of their own, drawn so that the fleet as a whole asks once in
//! a [`FLEET_READ_SLOT`] on average, whatever its size. The draws have no memory: hosts that failed
//! together do not pause together. So a store that comes back is found within a few
//! slots, by whichever host asks next, and is not crowded.

use elmstream::time::{MILLI, Time};

use crate::{
    reader_rank::{READER_RANKS, read_delay},
    startup::StartupContext,
    view::Table,
};

/// Time between two calls of the whole fleet for a table that nobody gets.
pub const FLEET_READ_SLOT: u64 = 100 * MILLI;
/// Longest time that a draw may come to, as a multiple of a slot for each host; a draw of
/// more than that is one of 55.
const DRAW_MOST: f64 = 4.0;
/// Least pause of one host after a failed call.
const PAUSE_LEAST: u64 = 500 * MILLI;
/// Time between two calls by which the hosts of a fleet find out whether the store
/// serves them again, while others read it.
const CHECK_SLOT: u64 = 500 * MILLI;
/// Least time between two such calls of one host.
const CHECK_LEAST: u64 = 5_000 * MILLI;
/// Time after which a host that was told of news, but could not get them from the
/// others, asks the store itself.
pub const BEHIND_WAIT: u64 = 500 * MILLI;
/// Such hosts ask this far apart, within a time that does not grow with the fleet.
pub const BEHIND_SLOT: u64 = 5 * MILLI;
/// Longest time by which they are apart.
pub const BEHIND_SPREAD: u64 = 500 * MILLI;

/// What a host goes by when it decides whether to ask the store for a table.
#[derive(Clone, Copy, Debug)]
pub struct ReadContext {
    /// When the table was last known to be current; none if it is not known at all.
    pub confirmed_at: Option<Time>,
    /// What the host goes by as long as the table is not known at all.
    pub startup: StartupContext,
    /// A draw from 0 up to 1, another one for each host and reading.
    pub draw: f64,
    /// Live hosts whom the store serves, and that come before this one.
    pub ranked_ahead: u64,
    /// Live hosts, this one included.
    pub live_hosts: u64,
    /// When this host was told of news that it still lacks.
    pub behind_since: Option<Time>,
    /// Bound on configurations, in milliseconds.
    pub bound_ms: u64,
}

/// Why a host asks the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadReason {
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

impl ReadReason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ReadReason::Start => "start",
            ReadReason::Rank => "rank",
            ReadReason::Slot => "slot",
            ReadReason::Behind => "behind",
            ReadReason::Check => "check",
        }
    }
}

/// A failed call.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Time,
    /// A draw from 0 up to 1.
    draw: f64,
}

/// What became of one host's calls to the store.
#[derive(Clone, Debug, Default)]
pub struct StoreSchedule {
    failures: [Option<Failure>; 3],
}

impl StoreSchedule {
    /// Whether the store served the host's last calls.
    pub fn is_served(&self) -> bool {
        self.failures.iter().all(Option::is_none)
    }

    /// A call was answered. One that checked, while others read the store all along,
    /// speaks for all tables.
    pub fn record_answer(&mut self, table: Table, checked: bool) {
        if checked {
            self.failures = [None; 3];
        }
        self.failures[table as usize] = None;
    }

    /// A call failed; `draw` is from 0 up to 1.
    pub fn record_failure(&mut self, now: Time, table: Table, draw: f64) {
        self.failures[table as usize] = Some(Failure { at: now, draw });
    }

    /// Whether the host has to ask the store for a table now, and why.
    pub fn due_read(&self, now: Time, table: Table, scene: &ReadContext) -> Option<ReadReason> {
        let rested = |pause: fn(&Failure, u64) -> u64| {
            let failure = self.failures[table as usize];
            failure.is_none_or(|failure| now.since(failure.at) >= pause(&failure, scene.live_hosts))
        };
        let Some(fresh) = scene.confirmed_at else {
            let due = scene.startup.may_read(now) && rested(Failure::pause);
            return due.then_some(ReadReason::Start);
        };
        let (age, served) = (now.since(fresh), self.is_served());
        let turn = read_delay(table, scene.ranked_ahead, scene.bound_ms);
        if served && scene.ranked_ahead < READER_RANKS && age >= turn {
            return Some(ReadReason::Rank);
        }
        if scene.lacks(now) && rested(Failure::behind) {
            return Some(ReadReason::Behind);
        }
        let turn = read_delay(table, scene.ranked_ahead.max(1), scene.bound_ms);
        let spread = drawn(scene.live_hosts, scene.draw);
        if age >= turn + spread && rested(Failure::pause) {
            return Some(ReadReason::Slot);
        }
        // The rules are the smaller table, so they are asked for if both calls failed.
        let asked = match table {
            Table::Rules => self.failures[Table::Rules as usize].is_some(),
            Table::Servers => self.failures[Table::Rules as usize].is_none() && !served,
            Table::Rollouts => false,
        };
        (asked && rested(Failure::check)).then_some(ReadReason::Check)
    }
}

impl ReadContext {
    /// Whether this host has lacked for long what others have told it of.
    fn lacks(&self, now: Time) -> bool {
        let apart = (self.live_hosts * BEHIND_SLOT).min(BEHIND_SPREAD) as f64 * self.draw;
        self.behind_since.is_some_and(|since| now.since(since) >= BEHIND_WAIT + apart as u64)
    }
}

impl Failure {
    /// Pause before the next call for a table that nobody gets.
    fn pause(&self, hosts: u64) -> u64 {
        retry_pause(hosts, self.draw)
    }

    /// Pause before the next call for news that others have got; no longer than it takes
    /// to find out that they cannot be fetched.
    fn behind(&self, hosts: u64) -> u64 {
        (hosts * BEHIND_SLOT).clamp(PAUSE_LEAST, BEHIND_WAIT + BEHIND_SPREAD)
    }

    /// Time until the host finds out whether the store serves it again.
    fn check(&self, hosts: u64) -> u64 {
        let slots = (hosts * CHECK_SLOT) as f64 * (0.5 + self.draw);
        (slots as u64).max(CHECK_LEAST)
    }
}

/// Pause of one of so many hosts after a failed call; `draw` is from 0 up to 1.
pub fn retry_pause(hosts: u64, draw: f64) -> u64 {
    drawn(hosts, draw).max(PAUSE_LEAST)
}

/// A time by which one of so many hosts waits, so that together they act once in a slot
/// on average, from any moment on and whatever they did before: an exponential draw.
fn drawn(hosts: u64, draw: f64) -> u64 {
    let part = (-(1.0 - draw).ln()).min(DRAW_MOST);
    ((hosts * FLEET_READ_SLOT) as f64 * part) as u64
}
