//! Fleet-wide bound on the requests sent to a cold backend server.
//!
//! For each backend server, a few hosts are elected as senders by rendezvous hashing over the hosts
//! that may be running. Each sender sends at most one request per spacing of a little more than a
//! second. There are half as many senders as the bound allows, so two partitions of the fleet that
//! know nothing of each other still keep it. A host that has just started waits for one spacing
//! first, because it does not know what it sent before the restart.
//!
//! The hosts that may be running include unconfirmed ones: addresses that another host passed on
//! but that have not been heard from yet. A host that has just started has heard from few others.
//! If senders were elected among these alone, 1,205 hosts restarting together would send 47
//! requests in a second to a cold server, where 15 are allowed. An unconfirmed host that is not
//! running takes the place of a sender until it is dropped, so fewer requests are sent meanwhile.

use elmstream::time::{MILLI, Time};

use crate::{hash, settings::Bounds};

/// Minimum time between two requests of one sender to a cold backend server, in microseconds.
pub const SEND_SPACING: u64 = 1_100 * MILLI;

/// Number of senders for a cold backend server that can handle `per_s` requests a second.
pub fn sender_count(bounds: &Bounds, per_s: f64) -> usize {
    let bound = per_s * bounds.cold_overshoot + bounds.cold_slack;
    ((bound / 2.0) as usize).max(1)
}

/// Whether the first of `hosts`, which are hashes of addresses, is one of the senders for a server.
pub fn is_sender(hosts: &[u64], server: u64, senders: usize) -> bool {
    let Some((own, others)) = hosts.split_first() else { return false };
    let own_weight = hash::combine(*own, server);
    others.iter().filter(|host| hash::combine(**host, server) > own_weight).count() < senders
}

/// Earliest time at which a sender may send, given its last request or else its own start.
pub fn next_send(started: Time, last: Option<Time>) -> Time {
    last.unwrap_or(started) + SEND_SPACING
}
