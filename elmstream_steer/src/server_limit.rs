//! Request limit that a backend server sets in its answers.
//!
//! The limit applies to all hosts together. So a few hosts, the senders of the server, send to it,
//! each at its share of the limit, and the other hosts don't. Senders are drawn by weighted
//! rendezvous hashing, and the limit is divided among them, by the number of requests that each
//! host receives: the share of a host without requests would be lost. A host that receives a limit
//! from the server notifies the other hosts.
//!
//! In a window each sender sends its share of the limit and one more request that it had saved up.
//! With the senders of [`sender_count`] these are `3 + 5.5 * limit` requests in four seconds, of
//! the `5 + 6 * limit` allowed; the difference is for changes of senders. If every host sent its
//! share, each would save up one request, and a large fleet would send more than is allowed.

use elmstream::time::{MILLI, SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::hash;

/// Senders of a server with a limit of 0, and further senders for each request a second.
const SENDERS_BASE: f64 = 3.0;
const SENDERS_PER_S: f64 = 1.5;
/// Lowest limit that is applied, in requests a second: a server that received no request at all
/// could not lift its limit.
const LIMIT_APPLIED_MIN: f64 = 0.25;
/// An answer that was sent before the server set a limit may arrive after the limit. So a laxer
/// limit is accepted only if it was set at least this much later.
const LAXER_LIMIT_DELAY: u64 = 300 * MILLI;
/// Time for which a host notifies others of the last limit that a server set in an answer to it.
const NOTICE_FOR: u64 = 10 * SECOND;
/// Time between two elections of senders as long as no host joins or leaves.
const ELECTION_INTERVAL: u64 = 500 * MILLI;
/// Highest recent number of requests of a host below which all hosts get the same weight.
const WEIGHTED_REQUESTS_MIN: u64 = 16;
/// Factor by which the weight of hosts outside the server's region is reduced.
const FAR_WEIGHT_DIVISOR: f64 = 16.0;
/// A limit is dropped if no host has received it for this long.
const LIMIT_KEPT_FOR: u64 = 300 * SECOND;

/// Requests a second that a backend server accepts from all hosts together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Parses a decimal number; `None` if it is not a finite number of at least 0.
    pub fn parse(text: &str) -> Option<RequestRate> {
        let number: f64 = text.trim().parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(RequestRate(number))
    }

    /// Requests a second.
    pub fn value(self) -> f64 {
        self.0
    }
}

/// Last limit that a server set in an answer to a host, as reported to the other hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// Hash of the server's id, cut to 32 bits.
    pub server: u32,
    /// Hash of the server's start, cut to 32 bits.
    pub start: u32,
    /// The limit; `None` if the server sets none any more.
    pub limit: Option<RequestRate>,
    /// Time since the answer, in milliseconds.
    pub age_ms: u16,
}

/// Number of senders that a host expects for a server with a limit; `reachable_fraction` is the
/// fraction of the fleet that the host can reach.
///
/// Hosts that it can't reach may be partitioned and have senders of their own.
pub fn sender_count(limit: RequestRate, reachable_fraction: f64) -> usize {
    ((limit.0 * SENDERS_PER_S + SENDERS_BASE) * reachable_fraction).max(1.0) as usize
}

/// Limit of one server, and the rate at which this host may send to the server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimit {
    limit: Option<RequestRate>,
    /// When the server last set the limit, in an answer to any host.
    set_at: Time,
    /// When the server last set the limit in an answer to this host; `None` if that need not be
    /// reported.
    answered_at: Option<Time>,
    /// Time between two requests of this host, in microseconds; `None` if it is not a sender.
    spacing: Option<u64>,
    /// When senders were last elected; `None` if an election is due.
    elected_at: Option<Time>,
    /// Last request, or an earlier time in its place if this host has just become a sender.
    last_sent: Time,
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

    /// Time between two requests of this host, in microseconds; `None` if it is not a sender.
    pub fn spacing(&self) -> Option<u64> {
        self.spacing
    }

    /// When this host may send its next request; `None` if it is not a sender.
    pub fn next_send(&self) -> Option<Time> {
        Some(self.last_sent + self.spacing?)
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Time) {
        if self.limit.is_some() {
            self.last_sent = now;
        }
    }

    /// Takes in the limit in an answer of the server to this host. Returns whether it is new.
    pub fn on_answer(&mut self, now: Time, limit: Option<RequestRate>) -> bool {
        let new = self.learn(limit, now);
        if self.limit == limit && (new || limit.is_some()) {
            self.answered_at = Some(now);
        }
        new
    }

    /// Takes in a notice of another host. Returns whether the limit is new.
    pub fn on_notice(&mut self, now: Time, notice: &LimitNotice) -> bool {
        let set_at = Time(now.0.saturating_sub(u64::from(notice.age_ms) * MILLI));
        let new = self.learn(notice.limit, set_at);
        if new {
            // The limit in the last answer to this host is outdated.
            self.answered_at = None;
        }
        new
    }

    fn learn(&mut self, limit: Option<RequestRate>, set_at: Time) -> bool {
        if limit == self.limit {
            self.set_at = self.set_at.max(set_at);
            return false;
        }
        let stricter = limit.is_some_and(|new| self.limit.is_none_or(|old| new < old));
        let is_accepted = match stricter {
            true => set_at + LAXER_LIMIT_DELAY >= self.set_at,
            false => set_at >= self.set_at + LAXER_LIMIT_DELAY,
        };
        if is_accepted {
            (self.limit, self.set_at) = (limit, set_at);
            self.elected_at = None;
            self.spacing = self.spacing.filter(|_| limit.is_some());
        }
        is_accepted
    }

    /// Notice for the other hosts, or `None` if there is nothing to report; `hash` and `start` are
    /// the hashes of the server's id and start.
    pub fn notice(&self, now: Time, hash: u64, start: u64) -> Option<LimitNotice> {
        let age =
            now.since(self.answered_at.filter(|answered_at| now.since(*answered_at) < NOTICE_FOR)?);
        let (server, start) = (hash as u32, start as u32);
        Some(LimitNotice { server, start, limit: self.limit, age_ms: (age / MILLI) as u16 })
    }

    /// Drops a limit that no host has received for [`LIMIT_KEPT_FOR`].
    pub fn expire(&mut self, now: Time) {
        if self.limit.is_some() && now.since(self.set_at) >= LIMIT_KEPT_FOR {
            *self = ServerLimit { set_at: now, ..ServerLimit::default() };
        }
    }

    /// Makes an election of senders due.
    pub fn invalidate(&mut self) {
        self.elected_at = None;
    }

    /// Whether an election of senders is due.
    pub fn election_due(&self, now: Time) -> bool {
        self.limit.is_some() && self.elected_at.is_none_or(|at| now.since(at) >= ELECTION_INTERVAL)
    }

    /// Determines whether this host is a sender, and its spacing. `own_hash` is the hash of its
    /// address, `server` that of the server's id, `reachable_fraction` the fraction of the fleet
    /// that it can reach.
    pub fn elect(
        &mut self,
        now: Time,
        own_hash: u64,
        candidates: &[SenderCandidate],
        server: u64,
        reachable_fraction: f64,
    ) {
        self.elected_at = Some(now);
        let Some(limit) = self.limit else { return };
        let Some(share) =
            share(own_hash, candidates, server, sender_count(limit, reachable_fraction))
        else {
            self.spacing = None;
            return;
        };
        let rate =
            limit.0.max(LIMIT_APPLIED_MIN) * reachable_fraction.max(f64::MIN_POSITIVE) * share;
        let spacing = (SECOND as f64 / rate) as u64;
        if self.spacing.is_none() {
            // Senders start at different times, not all at once.
            let offset = spacing as f64 * hash::unit_interval(hash::combine(own_hash, server));
            self.last_sent = self.last_sent.max(Time(now.0.saturating_sub(offset as u64)));
        }
        self.spacing = Some(spacing);
    }
}

/// Host that may become a sender.
#[derive(Clone, Copy, Debug)]
pub struct SenderCandidate {
    /// Hash of the host's address.
    pub address_hash: u64,
    /// Weight by the requests that the host receives; a host with weight 0 is never a sender.
    pub weight: f64,
}

/// Weight of a host by its number of `requests` against the highest number `max_requests` of any
/// host, in steps of a factor of four, so that hosts mostly agree though they learn each other's
/// numbers half a second late. 0 for less than a sixty-fourth.
///
/// Hosts in the server's region (`near`) have precedence over other hosts with as many requests: it
/// is their requests that the server is meant to serve.
pub fn sender_weight(requests: u32, max_requests: u32, near: bool) -> f64 {
    let step = match u64::from(max_requests) {
        max_requests if max_requests < WEIGHTED_REQUESTS_MIN => 64.0,
        max_requests if u64::from(requests) * 4 >= max_requests => 64.0,
        max_requests if u64::from(requests) * 16 >= max_requests => 16.0,
        max_requests if u64::from(requests) * 64 >= max_requests => 4.0,
        _ => 0.0,
    };
    if near { step } else { step / FAR_WEIGHT_DIVISOR }
}

/// Share of a host's weight among the senders, which are drawn by weight; `None` if the host is not
/// a sender.
fn share(
    own_hash: u64,
    candidates: &[SenderCandidate],
    server: u64,
    senders: usize,
) -> Option<f64> {
    // Weighted rendezvous hashing.
    let rank = |candidate: &SenderCandidate| {
        let draw = hash::unit_interval(hash::combine(candidate.address_hash, server))
            .max(f64::MIN_POSITIVE);
        -draw.ln() / candidate.weight
    };
    let own_candidate = candidates
        .iter()
        .find(|candidate| candidate.address_hash == own_hash && candidate.weight > 0.0)?;
    let mut ranked: Vec<(f64, f64)> = candidates
        .iter()
        .filter(|candidate| candidate.weight > 0.0)
        .map(|candidate| (rank(candidate), candidate.weight))
        .collect();
    if ranked.len() > senders {
        ranked.select_nth_unstable_by(senders - 1, |one, other| one.0.total_cmp(&other.0));
        ranked.truncate(senders);
    }
    let threshold = ranked.iter().map(|(rank, _)| *rank).fold(0.0, f64::max);
    let total_weight: f64 = ranked.iter().map(|(_, weight)| *weight).sum();
    (rank(own_candidate) <= threshold).then_some(own_candidate.weight / total_weight)
}
