//! The bound on requests to a cold backend server, over all hosts.
//!
//! For each backend server a few hosts are senders, by rendezvous hashing over those
//! that may be running, and each sends at most one request in a spacing of a little
//! more than a second. The senders are half as many as the bound allows, so two
//! sets of hosts that know nothing of each other still keep it; a host that has
//! just started waits a spacing first, as it does not know what it sent before.
//!
//! Hosts that may be running are those that were heard and those that were only named.
//! Who has just started has heard few: drawn over these alone, 1,205 hosts that restart
//! sent a cold server 47 requests in a second where 15 are allowed (virtual time,
//! `tests/large.rs`). A host that was named and does not run takes a sender's place
//! until it is tried no more, so less is sent.

use elmstream::time::{MILLI, Time};

use crate::{hash, settings::Bounds};

/// Time between two requests of one sender to a cold backend server.
pub const SEND_SPACING: u64 = 1_100 * MILLI;

/// Senders of a cold backend server that bears `per_s` requests a second.
pub fn sender_count(bounds: &Bounds, per_s: f64) -> usize {
    let bound = per_s * bounds.cold_overshoot + bounds.cold_slack;
    ((bound / 2.0) as usize).max(1)
}

/// Whether the first of `hosts` is among the senders of a server, by hashes of addresses.
pub fn is_sender(hosts: &[u64], server: u64, senders: usize) -> bool {
    let Some((own, others)) = hosts.split_first() else { return false };
    let mine = hash::combine(*own, server);
    others.iter().filter(|host| hash::combine(**host, server) > mine).count() < senders
}

/// When a sender may send again after a request at `last`, or its own start.
pub fn next_send(started: Time, last: Option<Time>) -> Time {
    last.unwrap_or(started) + SEND_SPACING
}
