//! Which host is asked for rows, and when.
//!
//! Pure: beats, ends of fetches and time come in, the next host to ask goes out. The
//! time to the rows must be bounded whatever a few hosts do: one that is mute costs
//! [`HEDGE_DELAY`] once, and from then on nothing, as it is asked beside the others only.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use elmstream::time::{MILLI, SECOND, Time};
use elmstream_steer::{hash, heartbeat::TableStatus, view::Table};

/// Time after which a further host is asked while a fetch goes on, in microseconds: a
/// connection and an answer between regions 70 ms apart take about as long.
pub const HEDGE_DELAY: u64 = 150 * MILLI;
/// Hosts that are asked for a table at once, of those whose fetches do not fail, and
/// as many of those whose do. With [`HEDGE_DELAY`] between them three mute ones leave a
/// place for a fourth after 450 ms.
pub const MAX_CONCURRENT_FETCHES: usize = 4;
/// For so long after a fetch from it failed a host is not asked while others offer
/// news: a cut or a restart lasts seconds.
pub const FAILED_HOST_PAUSE: u64 = 5 * SECOND;
/// A host that turned a fetch away, or failed, is not asked again sooner than this.
pub const RETRY_PAUSE: u64 = 100 * MILLI;
/// Up to so much is added to [`RETRY_PAUSE`], other at each host and time, so that those
/// who were turned away together do not come back together.
pub const RETRY_JITTER: u64 = 200 * MILLI;
/// An offer is good for so long after the beat that showed it; in a large fleet a
/// host's next beat comes after seconds.
const OFFER: u64 = 3 * SECOND;
/// Offers that are remembered for each table, more than a round of beats brings.
const OFFERS: usize = 64;
/// A failure is forgotten after this long, as hosts come and go.
const FORGET: u64 = 60 * SECOND;

/// What a fetch came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// Rows came.
    Received,
    /// The host serves too many others; it is sound.
    Refused,
    /// No connection, or no whole answer in time.
    Failed,
}

impl FetchOutcome {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            FetchOutcome::Received => "told",
            FetchOutcome::Refused => "refused",
            FetchOutcome::Failed => "failed",
        }
    }
}

/// News that a host's beat showed.
#[derive(Clone, Copy, Debug)]
struct Offer {
    /// How far the host knows the table.
    known: TableStatus,
    heard: Time,
    not_before: Time,
}

/// A fetch under way.
#[derive(Clone, Copy, Debug)]
struct ActiveFetch {
    began: Time,
    doubted: bool,
}

/// Offers and fetches of one table.
#[derive(Debug, Default)]
struct TableFetches {
    offers: BTreeMap<SocketAddr, Offer>,
    under_way: BTreeMap<SocketAddr, ActiveFetch>,
}

/// Chooses whom to ask for rows.
#[derive(Debug, Default)]
pub struct FetchSchedule {
    seed: u64,
    desks: [TableFetches; 3],
    /// When the last fetch from a host failed; none since has come to a good end.
    failed: HashMap<SocketAddr, Time>,
}

impl FetchSchedule {
    /// Nothing is offered yet; `seed` differs between hosts.
    pub fn new(seed: u64) -> FetchSchedule {
        FetchSchedule { seed, ..FetchSchedule::default() }
    }

    /// A beat shows how far a host knows a table.
    pub fn offer(&mut self, now: Time, table: Table, host: SocketAddr, known: &TableStatus) {
        let offers = &mut self.desks[table as usize].offers;
        let new = Offer { known: *known, heard: now, not_before: now };
        let offer = offers.entry(host).or_insert(new);
        // Beats may come in another order than they were sent.
        if known.version >= offer.known.version {
            offer.known = *known;
        }
        offer.heard = now;
        if offers.len() > OFFERS {
            let oldest = offers.iter().min_by_key(|(_, offer)| offer.heard);
            let oldest = oldest.map(|(host, _)| *host);
            oldest.and_then(|host| offers.remove(&host));
        }
    }

    /// The host to ask for a table now, if any; it counts as being asked.
    ///
    /// `wants` says whether what another host knows is news here.
    pub fn next(
        &mut self,
        now: Time,
        table: Table,
        wants: impl Fn(&TableStatus) -> bool,
    ) -> Option<SocketAddr> {
        self.failed.retain(|_, at| now.since(*at) < FORGET);
        let desk = &mut self.desks[table as usize];
        desk.offers.retain(|_, offer| now.since(offer.heard) < OFFER && wants(&offer.known));
        let host = match desk.trusted(now, &self.failed) {
            Some(host) => host,
            None => desk.doubted(now, &self.failed)?,
        };
        let doubted = self.failed.contains_key(&host);
        desk.under_way.insert(host, ActiveFetch { began: now, doubted });
        Some(host)
    }

    /// A fetch has ended; when the host may be asked again.
    pub fn ended(&mut self, now: Time, table: Table, host: SocketAddr, end: FetchOutcome) -> Time {
        let again = now + RETRY_PAUSE + hash::combine(self.seed, now.0) % RETRY_JITTER;
        let desk = &mut self.desks[table as usize];
        desk.under_way.remove(&host);
        match end {
            // A later beat shows whether it knows still more.
            FetchOutcome::Received => {
                desk.offers.remove(&host);
            }
            FetchOutcome::Refused | FetchOutcome::Failed => {
                if let Some(offer) = desk.offers.get_mut(&host) {
                    offer.not_before = again;
                }
            }
        }
        match end {
            FetchOutcome::Received | FetchOutcome::Refused => self.failed.remove(&host),
            FetchOutcome::Failed => self.failed.insert(host, now),
        };
        again
    }
}

impl TableFetches {
    /// Whether one more host of a kind may be asked.
    fn free(&self, now: Time, doubted: bool) -> bool {
        let kind = self.under_way.values().filter(|fetch| fetch.doubted == doubted);
        let began: Vec<Time> = kind.map(|fetch| fetch.began).collect();
        let last = began.iter().max();
        began.len() < MAX_CONCURRENT_FETCHES
            && last.is_none_or(|last| now.since(*last) >= HEDGE_DELAY)
    }

    /// Offers of hosts that may be asked.
    fn open(&self, now: Time) -> impl Iterator<Item = (&SocketAddr, &Offer)> {
        let open = move |offer: &Offer| now >= offer.not_before;
        let offers = self.offers.iter().filter(move |(_, offer)| open(offer));
        offers.filter(|(host, _)| !self.under_way.contains_key(*host))
    }

    /// Of the hosts whose fetches do not fail, the one that was heard last.
    fn trusted(&self, now: Time, failed: &HashMap<SocketAddr, Time>) -> Option<SocketAddr> {
        if !self.free(now, false) {
            return None;
        }
        let offers = self.open(now).filter(|(host, _)| !failed.contains_key(*host));
        offers.max_by_key(|(_, offer)| offer.heard).map(|(host, _)| *host)
    }

    /// Of the others, the one whose failure is the longest ago, so that all get their
    /// turn after a cut that made the fetches from all hosts fail.
    fn doubted(&self, now: Time, failed: &HashMap<SocketAddr, Time>) -> Option<SocketAddr> {
        if !self.free(now, true) {
            return None;
        }
        let others = self.offers.keys().any(|host| !failed.contains_key(host));
        let offers = self.open(now).filter_map(|(host, _)| Some((*host, *failed.get(host)?)));
        let offers = offers.filter(|(_, at)| !others || now.since(*at) >= FAILED_HOST_PAUSE);
        offers.min_by_key(|(_, at)| *at).map(|(host, _)| host)
    }
}
