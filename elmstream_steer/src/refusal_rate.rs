//! Rates at which servers refuse requests although they have free slots.
//!
//! Such refusals do not go with load: waiting does not help, and another try may. Each host counts
//! them by server and by service, and reports the counts of services to the others, so that a host
//! that has just started knows them. A server is avoided if it refuses clearly more than its
//! service does; if the whole service refuses, no server is better than another.

use std::collections::{HashMap, HashSet};

use elmstream::time::{SECOND, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    hash,
    servers::{Outcome, ServerEntry, ServerIndex},
    steer::Steer,
};

/// Time in which counts decay to 1/e, in microseconds.
const COUNT_DECAY_US: f64 = 5e6;
/// Time for which a report of another host is used, in microseconds.
const REPORT_TIMEOUT: u64 = 3 * SECOND;
/// Number of requests below which a service's rate counts as lower than observed.
const SAMPLE_MIN: f64 = 8.0;
/// Number of requests at its service's rate that each server is assumed to have had.
const PRIOR_REQUESTS: f64 = 4.0;
/// Number of standard deviations by which a server's rate must exceed its service's to count.
const DEVIATIONS_MIN: f64 = 2.0;
/// Rate of a service at which it refuses as a whole, and the rate below which it no longer does.
const SERVICE_RATE_HIGH: f64 = 0.25;
const SERVICE_RATE_LOW: f64 = 0.1;
/// Rate of a server that is expected to refuse, if its service as a whole does not.
const SERVER_RATE_HIGH: f64 = 0.5;
/// Highest rate that is compared, so that the number of tries stays finite.
const RATE_MAX: f64 = 0.95;
/// Cost of another try after a refusal, in milliseconds of answer time: a caller that has to come
/// back waits at least 250 ms and is lost if it is refused again.
const OTHER_TRY_COST_MS: f64 = 1_000.0;
/// Retry time for a request of a service that refuses as a whole, in milliseconds. Waiting longer
/// does not raise the chance.
const RETRY_MS: u64 = 250;

/// Counts of requests and of refusals with free slots, which decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalCounts {
    refused: f64,
    requests: f64,
    at: Time,
}

impl RefusalCounts {
    /// Counts a request that was refused with free slots or taken.
    pub fn record(&mut self, now: Time, refused: bool) {
        let (sum, requests) = self.at(now);
        (self.refused, self.requests) = (sum + f64::from(u8::from(refused)), requests + 1.0);
        self.at = now;
    }

    /// The decayed numbers of refusals and of requests.
    fn at(&self, now: Time) -> (f64, f64) {
        let weight = (-(now.since(self.at) as f64) / COUNT_DECAY_US).exp();
        (self.refused * weight, self.requests * weight)
    }
}

/// One host's counts of a service, as it reports them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalReport {
    /// Hash of the service's name, truncated to 32 bits.
    pub service: u32,
    /// Recent fraction of requests that were refused with free slots, in 255ths.
    pub rate: u8,
    /// Number of requests that the rate is based on, at most 255.
    pub requests: u8,
}

/// A service that begins or ceases to refuse requests with free slots.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusalChange {
    /// Name of the service.
    pub service: String,
    /// Its rate of such refusals, 0 to 1.
    pub rate: f64,
    /// Whether it refuses now.
    pub refuses: bool,
}

/// Rates of all services.
#[derive(Clone, Debug, Default)]
pub struct ServiceRefusals {
    own: HashMap<String, RefusalCounts>,
    /// Reports of other hosts and when they arrived, by hash of the host's name.
    reports: FxHashMap<u32, (Vec<RefusalReport>, Time)>,
    /// Refusals and requests of the reports in use, by hash of the service's name.
    reported: FxHashMap<u32, (f64, f64)>,
    /// Services that refuse as a whole.
    refusing: HashSet<String>,
}

impl ServiceRefusals {
    fn record(&mut self, now: Time, service: &str, refused: bool) {
        if let Some(counts) = self.own.get_mut(service) {
            counts.record(now, refused);
        } else {
            self.own.entry(service.to_owned()).or_default().record(now, refused);
        }
    }

    /// Recent fraction of a service's requests that were refused with free slots, 0 to 1.
    pub fn rate(&self, now: Time, service: &str) -> f64 {
        let (mut refused, mut requests) =
            self.own.get(service).map(|counts| counts.at(now)).unwrap_or_default();
        if !self.reported.is_empty()
            && let Some(reported) = self.reported.get(&(hash::of(service) as u32))
        {
            refused += reported.0;
            requests += reported.1;
        }
        refused / requests.max(SAMPLE_MIN)
    }

    /// This host's counts to report.
    pub fn own_reports(&self, now: Time) -> Vec<RefusalReport> {
        let reports = self.own.iter().map(|(service, counts)| {
            let (refused, requests) = counts.at(now);
            RefusalReport {
                service: hash::of(service) as u32,
                rate: (refused / requests.max(1.0) * 255.0).round() as u8,
                requests: requests.min(255.0) as u8,
            }
        });
        reports.filter(|report| report.requests > 0).collect()
    }

    /// Takes in the reports of another host.
    pub fn on_reports(&mut self, now: Time, host: u32, reports: &[RefusalReport]) {
        if reports.is_empty() {
            self.reports.remove(&host);
        } else {
            self.reports.insert(host, (reports.to_vec(), now));
        }
    }

    /// Sums up the reports in use, and returns the services that begin or cease to refuse.
    fn update(&mut self, now: Time) -> Vec<RefusalChange> {
        self.reports.retain(|_, (_, at)| now.since(*at) < REPORT_TIMEOUT);
        self.reported.clear();
        for report in self.reports.values().flat_map(|(reports, _)| reports) {
            let requests = f64::from(report.requests);
            let sums = self.reported.entry(report.service).or_default();
            sums.0 += requests * f64::from(report.rate) / 255.0;
            sums.1 += requests;
        }
        let services: Vec<String> = self.own.keys().cloned().collect();
        services.into_iter().filter_map(|service| self.change(now, service)).collect()
    }

    fn change(&mut self, now: Time, service: String) -> Option<RefusalChange> {
        let rate = self.rate(now, &service);
        let refuses = match self.refusing.contains(&service) {
            true => rate >= SERVICE_RATE_LOW,
            false => rate > SERVICE_RATE_HIGH,
        };
        let changed = match refuses {
            true => self.refusing.insert(service.clone()),
            false => self.refusing.remove(&service),
        };
        changed.then_some(RefusalChange { service, rate, refuses })
    }
}

/// What a service's rate says about sending a request to its servers.
#[derive(Clone, Copy, Debug)]
pub struct RefusalOutlook {
    /// Rate of the service, 0 to 1.
    service_rate: f64,
}

impl RefusalOutlook {
    /// Whether the service refuses as a whole, so that no server is better than another.
    pub fn service_refuses(self) -> bool {
        self.service_rate > SERVICE_RATE_HIGH
    }

    /// Expected cost of the further tries that a request needs after refusals of a server, beyond
    /// those that it needs at the service's other servers, in milliseconds.
    pub fn cost_ms(self, now: Time, entry: &ServerEntry) -> f64 {
        let tries = |rate: f64| {
            let rate = rate.min(RATE_MAX);
            rate / (1.0 - rate)
        };
        self.higher_rate(now, entry)
            .map_or(0.0, |rate| (tries(rate) - tries(self.service_rate)) * OTHER_TRY_COST_MS)
    }

    /// Whether a server is expected to refuse a second send as well.
    pub fn will_refuse(self, now: Time, entry: &ServerEntry) -> bool {
        entry.in_flight(now) >= entry.server.slots
            || (!self.service_refuses()
                && self.higher_rate(now, entry).is_some_and(|rate| rate > SERVER_RATE_HIGH))
    }

    /// A server's rate, if it is clearly higher than the service's.
    fn higher_rate(self, now: Time, entry: &ServerEntry) -> Option<f64> {
        let (refused, requests) = entry.refusals.at(now);
        if refused <= requests * self.service_rate {
            return None;
        }
        let weight = requests + PRIOR_REQUESTS;
        let rate = (refused + PRIOR_REQUESTS * self.service_rate) / weight;
        let deviation = (rate * (1.0 - rate) / weight).sqrt();
        (rate - DEVIATIONS_MIN * deviation > self.service_rate).then_some(rate)
    }
}

impl Steer {
    /// Rates of the services at which their servers refuse requests with free slots.
    pub fn refusal_rates(&self, now: Time) -> impl Iterator<Item = (&str, f64)> {
        let services = self.refusals.own.keys();
        services.map(move |service| (service.as_str(), self.refusals.rate(now, service)))
    }

    /// Updates the rates, and returns the services that begin or cease to refuse.
    pub fn update_refusal_rates(&mut self, now: Time) -> Vec<RefusalChange> {
        self.refusals.update(now)
    }

    /// Retry time of a request that servers refused, in milliseconds; `usual_ms` unless its service
    /// refuses as a whole.
    pub fn refused_retry_ms(&self, now: Time, service: &str, usual_ms: u64) -> u64 {
        let refuses =
            self.refusal_outlook(now, service).is_some_and(RefusalOutlook::service_refuses);
        if refuses { RETRY_MS.min(usual_ms) } else { usual_ms }
    }

    /// What a service's refusals say about its servers; `None` if servers are not chosen by it.
    pub(crate) fn refusal_outlook(&self, now: Time, service: &str) -> Option<RefusalOutlook> {
        let used = self.settings.policies.retries.by_worth;
        used.then(|| RefusalOutlook { service_rate: self.refusals.rate(now, service) })
    }

    /// The outcome of a request that is still counted as in flight, with refusals by servers that
    /// have free slots told from those by full ones.
    pub fn refusal_outcome(&self, now: Time, index: ServerIndex, outcome: Outcome) -> Outcome {
        let used = self.settings.policies.retries.by_worth;
        // A server that leaves, rests or names a limit refuses for that reason.
        let is_explained = || {
            self.servers.get(index).is_some_and(|entry| {
                entry.is_leaving()
                    || entry.is_backing_off(now)
                    || entry.server_limit.limit().is_some()
            })
        };
        let is_free =
            || self.servers.get(index).is_some_and(|entry| entry.has_slot_beside_one(now));
        match outcome {
            Outcome::RefusedWithFreeSlots if !used || is_explained() => Outcome::Full,
            Outcome::Full if used && !is_explained() && is_free() => Outcome::RefusedWithFreeSlots,
            other => other,
        }
    }

    /// Counts whether a server took a request or refused it with free slots.
    pub(crate) fn count_refusal(&mut self, now: Time, index: ServerIndex, outcome: Outcome) {
        let refused = match outcome {
            Outcome::RefusedWithFreeSlots => true,
            Outcome::Answered { .. } | Outcome::Failed => false,
            _ => return,
        };
        if self.settings.policies.retries.by_worth
            && let Some(entry) = self.servers.get_mut(index)
        {
            entry.refusals.record(now, refused);
            self.refusals.record(now, &entry.server.service, refused);
        }
    }
}
