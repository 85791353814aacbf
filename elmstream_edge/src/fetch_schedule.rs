//! Decides which other host to fetch rows of a store table from, and when.
//!
//! Usually only a few hosts read the store; the others learn of its rows from each other. A host's
//! heartbeat shows up to which version it knows each table. If it knows more of a table than this
//! host, that is an offer, and the missing rows can be fetched from it.
//!
//! The schedule does no I/O: its inputs are heartbeats, outcomes of fetches and the current time,
//! its output is the next host to ask. The time until the rows arrive must stay bounded even if a
//! few hosts do not answer. Such a host delays the rows by [`HEDGE_DELAY`] once; afterwards it is
//! a suspect, and suspects are only asked in parallel with the other hosts. While the rows of one host
//! arrive no other is asked, as over a slow link each further fetch delays all of them.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use elmstream::time::{MILLI, SECOND, Time};
use elmstream_steer::{hash, heartbeat::TableStatus, view::Table};

/// Time after which another host is asked for a table while a fetch of it is running, in
/// microseconds. Connecting and getting a response between regions 70 ms apart takes about as
/// long.
pub const HEDGE_DELAY: u64 = 150 * MILLI;
/// Maximum number of concurrent fetches of a table from trusted hosts. The same number applies
/// separately to suspects, the hosts whose last fetch failed. With [`HEDGE_DELAY`] between the
/// fetches, a fourth host is asked after 450 ms even if three do not respond.
pub const MAX_CONCURRENT_FETCHES: usize = 4;
/// Time after the start of a fetch during which bytes that arrive keep other fetches from starting,
/// in microseconds. A host that sends slowly thus delays the rows by no more.
pub const PROGRESS_CREDIT: u64 = 1_500 * MILLI;
/// After a failed fetch a host is not asked for this long, in microseconds, as long as a
/// trusted host has an offer: a network cut or a restart lasts seconds.
pub const FAILED_HOST_PAUSE: u64 = 5 * SECOND;
/// Shortest time before a host whose fetch was refused or failed is asked again, in
/// microseconds.
pub const RETRY_PAUSE: u64 = 100 * MILLI;
/// Upper bound of the jitter added to [`RETRY_PAUSE`], in microseconds. The jitter differs by
/// host and time, so that hosts that were refused together do not retry together.
pub const RETRY_JITTER: u64 = 200 * MILLI;
/// An offer expires this long after its heartbeat, in microseconds; in a large fleet the next
/// heartbeat of a host comes only after seconds.
const OFFER_TIMEOUT: u64 = 3 * SECOND;
/// Maximum number of offers stored for each table; more than arrive in one round of heartbeats.
const OFFERS_MAX: usize = 64;
/// Time after which a failure is forgotten, in microseconds. It keeps failures of hosts that no
/// longer exist from accumulating.
const FAILURE_TIMEOUT: u64 = 60 * SECOND;

/// Result of a fetch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// The rows were received.
    Received,
    /// The host answered that it is serving too many other fetches.
    Refused,
    /// No connection, or no complete response in time.
    Failed,
}

impl FetchOutcome {
    /// Label of the outcome in metrics.
    pub fn name(self) -> &'static str {
        match self {
            FetchOutcome::Received => "told",
            FetchOutcome::Refused => "refused",
            FetchOutcome::Failed => "failed",
        }
    }
}

/// A host's offer of the rows of one table.
#[derive(Clone, Copy, Debug)]
struct Offer {
    /// Up to which version the host knows the table.
    status: TableStatus,
    /// When the host's last heartbeat arrived.
    received_at: Time,
    /// Earliest time to ask the host.
    not_before: Time,
}

/// A running fetch.
#[derive(Clone, Copy, Debug)]
struct ActiveFetch {
    started_at: Time,
    /// When bytes of its rows last arrived; at first when it started.
    progressed_at: Time,
    /// Whether the host's last fetch had failed when this one started.
    suspect: bool,
}

/// Offers and running fetches of one table.
#[derive(Debug, Default)]
struct TableFetches {
    offers: BTreeMap<SocketAddr, Offer>,
    active: BTreeMap<SocketAddr, ActiveFetch>,
}

/// Offers, running fetches and recent failures, for all tables.
#[derive(Debug, Default)]
pub struct FetchSchedule {
    seed: u64,
    tables: [TableFetches; 3],
    /// Time of the last failed fetch from each host that has not answered since.
    failed_at: HashMap<SocketAddr, Time>,
}

impl FetchSchedule {
    /// Creates a schedule without offers; `seed` varies the retry jitter between hosts.
    pub fn new(seed: u64) -> FetchSchedule {
        FetchSchedule { seed, ..FetchSchedule::default() }
    }

    /// Records up to which version a host knows a table, as its heartbeat shows.
    pub fn offer(&mut self, now: Time, table: Table, host: SocketAddr, status: &TableStatus) {
        let offers = &mut self.tables[table as usize].offers;
        let new = Offer { status: *status, received_at: now, not_before: now };
        let offer = offers.entry(host).or_insert(new);
        // Heartbeats may arrive out of order.
        if status.version >= offer.status.version {
            offer.status = *status;
        }
        offer.received_at = now;
        if offers.len() > OFFERS_MAX {
            let oldest = offers.iter().min_by_key(|(_, offer)| offer.received_at);
            let oldest = oldest.map(|(host, _)| *host);
            oldest.and_then(|host| offers.remove(&host));
        }
    }

    /// Returns the host to fetch a table from now, if any, and records the fetch as running.
    ///
    /// `needs_rows` tells whether a host with the given status knows something of the table that
    /// this host lacks. Offers for which it returns `false` are dropped.
    pub fn next(
        &mut self,
        now: Time,
        table: Table,
        needs_rows: impl Fn(&TableStatus) -> bool,
    ) -> Option<SocketAddr> {
        self.failed_at.retain(|_, at| now.since(*at) < FAILURE_TIMEOUT);
        let fetches = &mut self.tables[table as usize];
        fetches.offers.retain(|_, offer| {
            now.since(offer.received_at) < OFFER_TIMEOUT && needs_rows(&offer.status)
        });
        let host = match fetches.pick_trusted(now, &self.failed_at) {
            Some(host) => host,
            None => fetches.pick_suspect(now, &self.failed_at)?,
        };
        let suspect = self.failed_at.contains_key(&host);
        let fetch = ActiveFetch { started_at: now, progressed_at: now, suspect };
        fetches.active.insert(host, fetch);
        Some(host)
    }

    /// Whether a fetch of a table from a host is running.
    pub fn is_active(&self, table: Table, host: SocketAddr) -> bool {
        self.tables[table as usize].active.contains_key(&host)
    }

    /// Records that bytes of the rows of a running fetch arrived.
    pub fn on_progress(&mut self, now: Time, table: Table, host: SocketAddr) {
        if let Some(fetch) = self.tables[table as usize].active.get_mut(&host) {
            fetch.progressed_at = now.min(fetch.started_at + PROGRESS_CREDIT);
        }
    }

    /// Records the result of a fetch. Returns the earliest time to ask the host again if it
    /// refused or failed.
    pub fn on_fetch_ended(
        &mut self,
        now: Time,
        table: Table,
        host: SocketAddr,
        outcome: FetchOutcome,
    ) -> Time {
        let retry_at = now + RETRY_PAUSE + hash::combine(self.seed, now.0) % RETRY_JITTER;
        let fetches = &mut self.tables[table as usize];
        fetches.active.remove(&host);
        match outcome {
            // The host's next heartbeat shows whether it knows more.
            FetchOutcome::Received => {
                fetches.offers.remove(&host);
            }
            FetchOutcome::Refused | FetchOutcome::Failed => {
                if let Some(offer) = fetches.offers.get_mut(&host) {
                    offer.not_before = retry_at;
                }
            }
        }
        match outcome {
            FetchOutcome::Received | FetchOutcome::Refused => self.failed_at.remove(&host),
            FetchOutcome::Failed => self.failed_at.insert(host, now),
        };
        retry_at
    }
}

impl TableFetches {
    /// Whether another fetch may start from a suspect, or else from a trusted host.
    fn has_capacity(&self, now: Time, suspect: bool) -> bool {
        let kind = self.active.values().filter(|fetch| fetch.suspect == suspect);
        let active_times: Vec<Time> = kind.map(|fetch| fetch.progressed_at).collect();
        let last = active_times.iter().max();
        active_times.len() < MAX_CONCURRENT_FETCHES
            && last.is_none_or(|last| now.since(*last) >= HEDGE_DELAY)
    }

    /// Offers of hosts that may be asked now.
    fn eligible(&self, now: Time) -> impl Iterator<Item = (&SocketAddr, &Offer)> {
        let eligible = move |offer: &Offer| now >= offer.not_before;
        let offers = self.offers.iter().filter(move |(_, offer)| eligible(offer));
        offers.filter(|(host, _)| !self.active.contains_key(*host))
    }

    /// Picks the host with the latest heartbeat among those without a recent failure.
    fn pick_trusted(&self, now: Time, failed_at: &HashMap<SocketAddr, Time>) -> Option<SocketAddr> {
        if !self.has_capacity(now, false) {
            return None;
        }
        let offers = self.eligible(now).filter(|(host, _)| !failed_at.contains_key(*host));
        offers.max_by_key(|(_, offer)| offer.received_at).map(|(host, _)| *host)
    }

    /// Picks the host with the oldest failure among those with a recent one. If a network cut
    /// made the fetches from every host fail, all hosts are thus asked in turn.
    fn pick_suspect(&self, now: Time, failed_at: &HashMap<SocketAddr, Time>) -> Option<SocketAddr> {
        if !self.has_capacity(now, true) {
            return None;
        }
        let any_trusted = self.offers.keys().any(|host| !failed_at.contains_key(host));
        let offers =
            self.eligible(now).filter_map(|(host, _)| Some((*host, *failed_at.get(host)?)));
        let offers = offers.filter(|(_, at)| !any_trusted || now.since(*at) >= FAILED_HOST_PAUSE);
        offers.min_by_key(|(_, at)| *at).map(|(host, _)| host)
    }
}
