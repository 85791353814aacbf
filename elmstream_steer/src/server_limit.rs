//! The limit that a backend server in need names in its answers.
//!
//! It counts for all hosts together. So a few of them, the senders of this server, send to
//! it, each no faster than its part; the others leave it. They are drawn by rendezvous
//! hashing, and have their parts, by how much each is asked: what a host may send that
//! nobody asks is lost. Whoever is told a limit by the server tells the other hosts.
//!
//! In a window each sender sends its part of the limit and one request more, which it had
//! saved up. With the senders that [`sender_count`] names that is 3 + 5.5 x limit in
//! four seconds, where 5 + 6 x limit are allowed: what is left is for senders that change. If
//! each host sent its part, each would save up one request, and a large fleet would send
//! more than is allowed.

use elmstream::time::{MILLI, SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::hash;

/// Senders of a server that names a limit of 0, and more for each request a second.
const SENDERS: f64 = 3.0;
const SENDERS_PER_S: f64 = 1.5;
/// Least limit that is gone by, in requests a second: a server that wants nothing at all
/// could not say that this is over.
const LEAST: f64 = 0.25;
/// An answer on its way when another one named a limit may still lack it. So what is laxer
/// holds only if it was said this much later.
const SETTLE: u64 = 300 * MILLI;
/// How long a host tells others what a server last said to it.
const TELL: u64 = 10 * SECOND;
/// Time between two looks at who the senders are, as long as no host comes or goes.
const PICK_EVERY: u64 = 500 * MILLI;
/// Requests of lately below which no host counts as asked more than another.
const FEW_ASKED: u64 = 16;
/// A host of another region counts as one that is asked this many times less.
const FAR: f64 = 16.0;
/// A limit that nobody has heard again for so long is tried without.
const FORGET: u64 = 300 * SECOND;

/// Requests a second that a backend server takes from all hosts together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Reads a decimal number; none if it is not one, or below 0.
    pub fn parse(text: &str) -> Option<RequestRate> {
        let number: f64 = text.trim().parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(RequestRate(number))
    }

    /// The number.
    pub fn value(self) -> f64 {
        self.0
    }
}

/// What a server last said to a host, as that tells the others.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// Hash of the server's id, cut to 32 bits.
    pub server: u32,
    /// Hash of its start, cut to 32 bits.
    pub start: u32,
    /// The limit; none if it names none any more.
    pub limit: Option<RequestRate>,
    /// Time since it said so, in milliseconds.
    pub age_ms: u16,
}

/// How many hosts send to a server with a limit, if this host hears a part of the fleet.
///
/// The hosts that it does not hear may have been cut off and have senders of their own.
pub fn sender_count(limit: RequestRate, part: f64) -> usize {
    ((limit.0 * SENDERS_PER_S + SENDERS) * part).max(1.0) as usize
}

/// What a host knows of one server's limit, and what it may send there itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimit {
    limit: Option<RequestRate>,
    /// When the server last said so to any host.
    said: Time,
    /// When it last said so to this host, if that has to be told.
    own: Option<Time>,
    /// Time between two requests of this host; none if it is no sender.
    spacing: Option<u64>,
    /// When that was last found out.
    picked: Option<Time>,
    /// Last request, or when this host would have sent one had it been a sender before.
    last: Time,
}

impl ServerLimit {
    /// The limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Whether this host may send a request now.
    pub fn allows(&self, now: Time) -> bool {
        self.limit.is_none() || self.next_send().is_some_and(|next| now >= next)
    }

    /// Time between two requests of this host, in microseconds; none if it is no sender.
    pub fn spacing(&self) -> Option<u64> {
        self.spacing
    }

    /// When this host may send its next request; none if it may send none.
    pub fn next_send(&self) -> Option<Time> {
        Some(self.last + self.spacing?)
    }

    /// A request is sent.
    pub fn record_sent(&mut self, now: Time) {
        if self.limit.is_some() {
            self.last = now;
        }
    }

    /// The server said this in an answer to this host; whether it is new.
    pub fn on_answer(&mut self, now: Time, limit: Option<RequestRate>) -> bool {
        let new = self.learn(limit, now);
        if self.limit == limit && (new || limit.is_some()) {
            self.own = Some(now);
        }
        new
    }

    /// Another host was told this by the server; whether it is new.
    pub fn on_notice(&mut self, now: Time, told: &LimitNotice) -> bool {
        let said = Time(now.0.saturating_sub(u64::from(told.age_ms) * MILLI));
        let new = self.learn(told.limit, said);
        if new {
            // What this host was told itself before is out of date.
            self.own = None;
        }
        new
    }

    fn learn(&mut self, limit: Option<RequestRate>, said: Time) -> bool {
        if limit == self.limit {
            self.said = self.said.max(said);
            return false;
        }
        let stricter = limit.is_some_and(|new| self.limit.is_none_or(|old| new < old));
        let holds = match stricter {
            true => said + SETTLE >= self.said,
            false => said >= self.said + SETTLE,
        };
        if holds {
            (self.limit, self.said) = (limit, said);
            self.picked = None;
            self.spacing = self.spacing.filter(|_| limit.is_some());
        }
        holds
    }

    /// What the other hosts have to know; `hash` and `start` are the server's.
    pub fn notice(&self, now: Time, hash: u64, start: u64) -> Option<LimitNotice> {
        let age = now.since(self.own.filter(|own| now.since(*own) < TELL)?);
        let (server, start) = (hash as u32, start as u32);
        Some(LimitNotice { server, start, limit: self.limit, age_ms: (age / MILLI) as u16 })
    }

    /// Forgets a limit that nobody has heard for long.
    pub fn expire(&mut self, now: Time) {
        if self.limit.is_some() && now.since(self.said) >= FORGET {
            *self = ServerLimit { said: now, ..ServerLimit::default() };
        }
    }

    /// It has to be found out anew whether this host is a sender.
    pub fn invalidate(&mut self) {
        self.picked = None;
    }

    /// Whether it has to be found out anew whether this host is a sender.
    pub fn election_due(&self, now: Time) -> bool {
        self.limit.is_some() && self.picked.is_none_or(|at| now.since(at) >= PICK_EVERY)
    }

    /// Finds out whether this host is a sender; `own` is the hash of its address, `part` the
    /// part of the fleet that it hears.
    pub fn elect(
        &mut self,
        now: Time,
        own: u64,
        among: &[SenderCandidate],
        server: u64,
        part: f64,
    ) {
        self.picked = Some(now);
        let Some(limit) = self.limit else { return };
        let Some(share) = share(own, among, server, sender_count(limit, part)) else {
            self.spacing = None;
            return;
        };
        let rate = limit.0.max(LEAST) * part.max(f64::MIN_POSITIVE) * share;
        let spacing = (SECOND as f64 / rate) as u64;
        if self.spacing.is_none() {
            // Senders begin at different times, not all of them at once.
            let saved = spacing as f64 * hash::unit_interval(hash::combine(own, server));
            self.last = self.last.max(Time(now.0.saturating_sub(saved as u64)));
        }
        self.spacing = Some(spacing);
    }
}

/// A host that may become a sender.
#[derive(Clone, Copy, Debug)]
pub struct SenderCandidate {
    /// Hash of its address.
    pub address_hash: u64,
    /// How much it is asked, against the others; none for 0.
    pub weight: f64,
}

/// How much a host is asked against the one that is asked most, in steps of four, so that
/// hosts that know each other's requests half a second late mostly agree. 0 for less than a
/// sixty-fourth.
///
/// `near` hosts are in the server's region and go before all others that are asked as much:
/// it is them whose requests meet the server.
pub fn sender_weight(asked: u32, most: u32, near: bool) -> f64 {
    let step = match u64::from(most) {
        most if most < FEW_ASKED => 64.0,
        most if u64::from(asked) * 4 >= most => 64.0,
        most if u64::from(asked) * 16 >= most => 16.0,
        most if u64::from(asked) * 64 >= most => 4.0,
        _ => 0.0,
    };
    if near { step } else { step / FAR }
}

/// The part of a host among the senders, which are drawn by weight; none if it is not one.
fn share(own: u64, among: &[SenderCandidate], server: u64, senders: usize) -> Option<f64> {
    // Weighted rendezvous hashing.
    let rank = |candidate: &SenderCandidate| {
        let draw = hash::unit_interval(hash::combine(candidate.address_hash, server))
            .max(f64::MIN_POSITIVE);
        -draw.ln() / candidate.weight
    };
    let me =
        among.iter().find(|candidate| candidate.address_hash == own && candidate.weight > 0.0)?;
    let mut ranks: Vec<(f64, f64)> = among
        .iter()
        .filter(|candidate| candidate.weight > 0.0)
        .map(|candidate| (rank(candidate), candidate.weight))
        .collect();
    if ranks.len() > senders {
        ranks.select_nth_unstable_by(senders - 1, |one, other| one.0.total_cmp(&other.0));
        ranks.truncate(senders);
    }
    let last = ranks.iter().map(|(rank, _)| *rank).fold(0.0, f64::max);
    let all: f64 = ranks.iter().map(|(_, weight)| *weight).sum();
    (rank(me) <= last).then_some(me.weight / all)
}
