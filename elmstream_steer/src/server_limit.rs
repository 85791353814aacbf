//! The limit that a backend server in need names in its answers.
//!
//! It counts for all hosts together. So a few of them, the senders of this server by
//! rendezvous hashing over the hosts of its region, send to it, each no faster than its
//! part; the others leave it. Whoever is told a limit by the server tells the other hosts.
//!
//! In a window each sender sends its part of the limit and one request more, which it had
//! saved up. With the senders that [`senders`] names that is 2 + 5 x limit in four
//! seconds, where 5 + 6 x limit are allowed: what is left is for senders that change. If
//! each host sent its part, each would save up one request, and a large fleet would send
//! more than is allowed.

use elmstream::time::{MILLI, SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::hash;

/// Senders of a server that names a limit of 0, and one more for each request a second.
const SENDERS: f64 = 2.0;
/// Least limit that is gone by, in requests a second: a server that wants nothing at all
/// could not say that this is over.
const LEAST: f64 = 0.25;
/// An answer on its way when another one named a limit may still lack it. So what is laxer
/// holds only if it was said this much later.
const SETTLE: u64 = 300 * MILLI;
/// How long a host tells others what a server last said to it.
const TELL: u64 = 10 * SECOND;
/// A limit that nobody has heard again for so long is tried without.
const FORGET: u64 = 300 * SECOND;

/// Requests a second that a backend server takes from all hosts together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct PerSecond(f64);

impl PerSecond {
    /// Reads a decimal number; none if it is not one, or below 0.
    pub fn parse(text: &str) -> Option<PerSecond> {
        let number: f64 = text.trim().parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(PerSecond(number))
    }

    /// The number.
    pub fn value(self) -> f64 {
        self.0
    }
}

/// What a server last said to a host, as that tells the others.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitTold {
    /// Hash of the server's id, cut to 32 bits.
    pub server: u32,
    /// Hash of its start, cut to 32 bits.
    pub start: u32,
    /// The limit; none if it names none any more.
    pub limit: Option<PerSecond>,
    /// Time since it said so, in milliseconds.
    pub age_ms: u16,
}

/// How many hosts send to a server with a limit, if this host hears a part of the fleet.
///
/// The hosts that it does not hear may have been cut off and have senders of their own.
pub fn senders(limit: PerSecond, part: f64) -> usize {
    (((limit.0.floor() + SENDERS) * part) as usize).max(1)
}

/// What a host knows of one server's limit, and what it may send there itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limited {
    limit: Option<PerSecond>,
    /// When the server last said so to any host.
    said: Time,
    /// When it last said so to this host, if that has to be told.
    own: Option<Time>,
    /// Time between two requests of this host; none if it is no sender.
    spacing: Option<u64>,
    /// Last request, or when this host would have sent one had it been a sender before.
    last: Time,
}

impl Limited {
    /// The limit in force.
    pub fn limit(&self) -> Option<PerSecond> {
        self.limit
    }

    /// Whether this host may send a request now.
    pub fn allows(&self, now: Time) -> bool {
        self.limit.is_none() || self.next().is_some_and(|next| now >= next)
    }

    /// When this host may send its next request; none if it may send none.
    pub fn next(&self) -> Option<Time> {
        Some(self.last + self.spacing?)
    }

    /// A request is sent.
    pub fn sent(&mut self, now: Time) {
        if self.limit.is_some() {
            self.last = now;
        }
    }

    /// The server said this in an answer to this host; whether it is new.
    pub fn hear(&mut self, now: Time, limit: Option<PerSecond>) -> bool {
        let new = self.learn(limit, now);
        if self.limit == limit && (new || limit.is_some()) {
            self.own = Some(now);
        }
        new
    }

    /// Another host was told this by the server; whether it is new.
    pub fn hear_of(&mut self, now: Time, told: &LimitTold) -> bool {
        let said = Time(now.0.saturating_sub(u64::from(told.age_ms) * MILLI));
        let new = self.learn(told.limit, said);
        if new {
            // What this host was told itself before is out of date.
            self.own = None;
        }
        new
    }

    fn learn(&mut self, limit: Option<PerSecond>, said: Time) -> bool {
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
        }
        holds
    }

    /// What the other hosts have to know; `hash` and `start` are the server's.
    pub fn tell(&self, now: Time, hash: u64, start: u64) -> Option<LimitTold> {
        let age = now.since(self.own.filter(|own| now.since(*own) < TELL)?);
        let (server, start) = (hash as u32, start as u32);
        Some(LimitTold { server, start, limit: self.limit, age_ms: (age / MILLI) as u16 })
    }

    /// Forgets a limit that nobody has heard for long; whether it did.
    pub fn forget(&mut self, now: Time) -> bool {
        let old = self.limit.is_some() && now.since(self.said) >= FORGET;
        if old {
            *self = Limited { said: now, ..Limited::default() };
        }
        old
    }

    /// Finds out whether this host is a sender. `own` is the hash of its address, `hosts`
    /// those of the hosts that senders are drawn from, and `part` the part of the fleet that
    /// this host hears.
    pub fn pick(&mut self, now: Time, own: u64, hosts: &[u64], server: u64, part: f64) {
        let senders = self.limit.map(|limit| senders(limit, part).min(hosts.len()));
        let Some((limit, senders)) = self.limit.zip(senders).filter(|_| hosts.contains(&own))
        else {
            self.spacing = None;
            return;
        };
        let mine = hash::pair(own, server);
        let ahead = hosts.iter().filter(|host| hash::pair(**host, server) > mine).count();
        if ahead >= senders {
            self.spacing = None;
            return;
        }
        let rate = limit.0.max(LEAST) * part.max(f64::MIN_POSITIVE);
        let spacing = (senders as f64 * SECOND as f64 / rate) as u64;
        if self.spacing.is_none() {
            // Senders begin at different times, not all of them at once.
            let saved = spacing as f64 * hash::unit(mine);
            self.last = self.last.max(Time(now.0.saturating_sub(saved as u64)));
        }
        self.spacing = Some(spacing);
    }
}
