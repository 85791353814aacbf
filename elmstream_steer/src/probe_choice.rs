//! Which servers a host asks how fast they work just before it chooses among them.
//!
//! A server may work slowly for less time than passes between two of its answers to one host. A
//! question to the servers among which a request is about to be divided is cheap compared with a
//! late answer (Prequal, Wydrowski et al., NSDI 2024).

use elmstream::time::{MILLI, SECOND, Time};

use crate::{
    pick::PickRequest,
    policies::SpeedPolicy,
    servers::{ServerIndex, ServerTable},
};

/// Age of a server's last report to this host from which the server is asked again.
const REPORT_AGE_MAX: u64 = 100 * MILLI;
/// Servers of a service report speeds if one did within this time.
const SERVICE_REPORTS_TIMEOUT: u64 = 10 * SECOND;
/// Maximum number of servers that are asked for one request.
const TARGETS_MAX: usize = 2;
/// Multiple of the timeout of a probe that must remain of the request's time.
const REMAINING_TIMEOUTS: u64 = 4;

/// Whether servers may be asked for a request: it is a first attempt with enough time left, and
/// servers of its service report how fast they work.
pub fn may_probe(
    now: Time,
    policy: &SpeedPolicy,
    servers: &ServerTable,
    request: &PickRequest<'_>,
) -> bool {
    let reported = servers.last_speed_report(request.service);
    policy.probe
        && request.tried.is_empty()
        && request.remaining_ms >= policy.probe_timeout_ms.saturating_mul(REMAINING_TIMEOUTS)
        && reported.is_some_and(|at| now.since(at) < SERVICE_REPORTS_TIMEOUT)
}

/// The servers to ask, given those that are warm for the request's key and may get it. With fewer
/// than two there is no choice to make, so none is asked.
pub fn probe_targets(now: Time, servers: &ServerTable, warm: &[ServerIndex]) -> Vec<ServerIndex> {
    if warm.len() < 2 {
        return Vec::new();
    }
    let is_due = |index: &&ServerIndex| {
        let age = servers.get(**index).and_then(|entry| entry.speed.own_age(now));
        age.is_none_or(|age| age > REPORT_AGE_MAX)
    };
    warm.iter().take(TARGETS_MAX).filter(is_due).copied().collect()
}
