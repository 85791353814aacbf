//! When a host makes its next call to the store.
//!
//! The first hosts by rank take over from each other. All others, and those whose last call failed,
//! call at random times such that the fleet as a whole makes one call per [`FLEET_READ_SLOT`] on
//! average, whatever its size. The exponential distribution has no memory, so hosts that failed
//! together do not retry together. A store that recovers is thus found within a few slots, by
//! whichever host calls next, and is not overloaded.

use elmstream::time::{MILLI, Time};

use crate::{
    members::ROTATING_LIVE_TIMEOUT,
    reader_rank::{READER_RANKS, read_delay},
    startup::StartupContext,
    view::Table,
};

/// Average interval between calls of the whole fleet for a table that no host can read.
pub const FLEET_READ_SLOT: u64 = 100 * MILLI;
/// Upper limit of a random wait, as a multiple of the mean. One draw in 55 exceeds it.
const WAIT_MULTIPLE_MAX: f64 = 4.0;
/// Beginning and end of the time in which the rate of first calls is doubled, from when hosts without a
/// rank begin to call.
///
/// Hosts that have just been lost count as live for seconds, so the others wait for slots that
/// nobody uses. The doubled rate finds a reader among few survivors sooner, and an absent store gets
/// only a few more calls, as it does not last.
const DOUBLED_RATE_BEGIN: u64 = 250 * MILLI;
const DOUBLED_RATE_END: u64 = 1_250 * MILLI;
/// Shortest pause of a host after a failed call.
const RETRY_PAUSE_MIN: u64 = 500 * MILLI;
/// Average interval between the fleet's calls that check whether the store serves a host again,
/// while others read it.
const FLEET_CHECK_SLOT: u64 = 500 * MILLI;
/// Shortest interval between such checks of one host.
const CHECK_PAUSE_MIN: u64 = 5_000 * MILLI;
/// How long a host that learned of an update, but could not fetch it from others, waits before it
/// reads the store itself.
pub const BEHIND_WAIT: u64 = 500 * MILLI;
/// Interval between the reads of such hosts. Their total spread is limited by [`BEHIND_SPREAD`], so
/// that it does not grow with the fleet.
pub const BEHIND_SLOT: u64 = 5 * MILLI;
/// Longest time over which such reads are spread.
pub const BEHIND_SPREAD: u64 = 500 * MILLI;

/// Context in which a host decides whether to read a table.
#[derive(Clone, Copy, Debug)]
pub struct ReadContext {
    /// When the table was last known to be current; `None` if it is unknown.
    pub confirmed_at: Option<Time>,
    /// Context that applies as long as the table is unknown.
    pub startup: StartupContext,
    /// Random number from 0 up to 1 that differs for each host and read.
    pub draw: f64,
    /// Number of live hosts that the store serves and that rank before this one.
    pub ranked_ahead: u64,
    /// Number of live hosts, including this one.
    pub live_hosts: u64,
    /// When this host learned of an update that it still lacks.
    pub behind_since: Option<Time>,
    /// Time within which a configuration must be in force on all hosts, in milliseconds.
    pub bound_ms: u64,
}

/// Reason for a host to read the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadReason {
    /// The host does not know the table yet.
    Start,
    /// The host's rank makes it the reader.
    Rank,
    /// The host's random wait is over and no other host has read the table.
    Slot,
    /// Other hosts know an update that this host could not fetch from them.
    Behind,
    /// The host checks whether the store serves it again.
    Check,
}

impl ReadReason {
    /// The reason's name in logs and metrics.
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
    /// Random number from 0 up to 1.
    draw: f64,
}

/// Outcomes of a host's calls to the store, by table.
#[derive(Clone, Debug, Default)]
pub struct StoreSchedule {
    failures: [Option<Failure>; 3],
    /// Until when the host reads as if it ranked first.
    acting_until: [Time; 3],
}

impl StoreSchedule {
    /// Whether the store answered the host's last call for each table.
    pub fn is_served(&self) -> bool {
        self.failures.iter().all(Option::is_none)
    }

    /// Records an answered call that began at `began`. A successful check, made while others read
    /// the store, clears the failures of all tables.
    pub fn record_answer(&mut self, began: Time, table: Table, reason: ReadReason) {
        if reason == ReadReason::Check {
            self.failures = [None; 3];
        }
        self.failures[table as usize] = None;
        if reason == ReadReason::Slot {
            self.acting_until[table as usize] = began + ROTATING_LIVE_TIMEOUT;
        }
    }

    /// Whether the host reads a table as if it ranked first.
    ///
    /// A host whose turn came by its random wait reads for as long as hosts of the first ranks may
    /// be lost without this being known yet. Otherwise the fleet would wait as long again for each
    /// further read.
    pub fn is_acting_reader(&self, now: Time, table: Table) -> bool {
        now < self.acting_until[table as usize]
    }

    /// Records a failed call; `draw` is a random number from 0 up to 1.
    pub fn record_failure(&mut self, now: Time, table: Table, draw: f64) {
        self.failures[table as usize] = Some(Failure { at: now, draw });
    }

    /// Whether the host has to read a table now, and why.
    pub fn due_read(&self, now: Time, table: Table, context: &ReadContext) -> Option<ReadReason> {
        let has_paused = |pause: fn(&Failure, u64) -> u64| {
            let failure = self.failures[table as usize];
            failure
                .is_none_or(|failure| now.since(failure.at) >= pause(&failure, context.live_hosts))
        };
        let Some(confirmed_at) = context.confirmed_at else {
            let due = context.startup.may_read(now) && has_paused(Failure::read_pause);
            return due.then_some(ReadReason::Start);
        };
        let (age, is_served) = (now.since(confirmed_at), self.is_served());
        let rank_delay = read_delay(table, context.ranked_ahead, context.bound_ms);
        if is_served && context.ranked_ahead < READER_RANKS && age >= rank_delay {
            return Some(ReadReason::Rank);
        }
        if context.lacks_update(now) && has_paused(Failure::update_pause) {
            return Some(ReadReason::Behind);
        }
        let rank_delay = read_delay(table, context.ranked_ahead.max(1), context.bound_ms);
        let extra_delay = first_call_wait(context.live_hosts, context.draw);
        if age >= rank_delay + extra_delay && has_paused(Failure::read_pause) {
            return Some(ReadReason::Slot);
        }
        // If calls for both tables failed, only the rules are checked, as they are the smaller
        // table.
        let checks_table = match table {
            Table::Rules => self.failures[Table::Rules as usize].is_some(),
            Table::Servers => self.failures[Table::Rules as usize].is_none() && !is_served,
            Table::Rollouts => false,
        };
        (checks_table && has_paused(Failure::check_pause)).then_some(ReadReason::Check)
    }
}

impl ReadContext {
    /// Whether this host has lacked an update for too long.
    fn lacks_update(&self, now: Time) -> bool {
        let delay = (self.live_hosts * BEHIND_SLOT).min(BEHIND_SPREAD) as f64 * self.draw;
        self.behind_since.is_some_and(|since| now.since(since) >= BEHIND_WAIT + delay as u64)
    }
}

impl Failure {
    /// Pause before the next call for a table that no host can read.
    fn read_pause(&self, hosts: u64) -> u64 {
        retry_pause(hosts, self.draw)
    }

    /// Pause before the next call for an update that others have. It does not exceed the time after
    /// which fetching from them is given up.
    fn update_pause(&self, hosts: u64) -> u64 {
        (hosts * BEHIND_SLOT).clamp(RETRY_PAUSE_MIN, BEHIND_WAIT + BEHIND_SPREAD)
    }

    /// Pause before the host checks whether the store serves it again.
    fn check_pause(&self, hosts: u64) -> u64 {
        let slots = (hosts * FLEET_CHECK_SLOT) as f64 * (0.5 + self.draw);
        (slots as u64).max(CHECK_PAUSE_MIN)
    }
}

/// Pause of one of `hosts` hosts after a failed call, in microseconds; `draw` is a random number
/// from 0 up to 1.
pub fn retry_pause(hosts: u64, draw: f64) -> u64 {
    random_wait(hosts, draw).max(RETRY_PAUSE_MIN)
}

/// Wait of one of `hosts` hosts like [`random_wait`], but with the doubled rate from
/// [`DOUBLED_RATE_BEGIN`] to [`DOUBLED_RATE_END`].
fn first_call_wait(hosts: u64, draw: f64) -> u64 {
    let wait = random_wait(hosts, draw);
    let beyond = wait.saturating_sub(DOUBLED_RATE_BEGIN);
    wait - (beyond / 2).min(DOUBLED_RATE_END - DOUBLED_RATE_BEGIN)
}

/// Exponentially distributed wait of one of `hosts` hosts, in microseconds. Together they act once
/// per slot on average, from any moment on and independent of their earlier calls.
fn random_wait(hosts: u64, draw: f64) -> u64 {
    let multiple = (-(1.0 - draw).ln()).min(WAIT_MULTIPLE_MAX);
    ((hosts * FLEET_READ_SLOT) as f64 * multiple) as u64
}
