//! Whether a service's keys are divided over the failure domains of a region.
//!
//! If they are, requests stay in the domain that they arrive in, and their bytes do not pass to
//! another one. But a key with callers in several domains is then served in each of them, and its
//! first request there takes longer. Both sides are compared as time for each request.

use std::collections::HashSet;

use elmstream::time::Time;

use crate::{
    policies::PlacementPolicy,
    servers::{AnswerTimes, ServerTable},
    warm_keys::{self, WarmKeys},
};

/// Weight of a request's bytes in the average.
const BYTES_WEIGHT: f64 = 0.02;
/// Multiple of the cost by which the saving must exceed it before keys are divided, so that hosts
/// with slightly different figures decide alike and do not change their minds.
const SAVING_FACTOR: f64 = 1.5;
/// Number of requests from which on the average of their bytes is used.
const REQUESTS_MIN: u32 = 8;

/// Bytes of the bodies of a service's requests and answers at one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferSize {
    mean_bytes: f64,
    requests: u32,
}

impl TransferSize {
    /// Takes in the bytes of a request's body and of its answer's.
    pub fn record(&mut self, bytes: u64) {
        self.requests = self.requests.saturating_add(1);
        let weight = BYTES_WEIGHT.max(1.0 / f64::from(self.requests));
        self.mean_bytes += (bytes as f64 - self.mean_bytes) * weight;
    }

    /// Mean of the bytes, in KB; `None` until enough requests were answered.
    pub fn mean_kb(&self) -> Option<f64> {
        (self.requests >= REQUESTS_MIN).then_some(self.mean_bytes / 1e3)
    }
}

/// What the decision about one service goes by.
#[derive(Clone, Copy, Debug)]
pub struct SplitInput {
    /// Mean bytes of a request and its answer, in KB.
    pub mean_kb: f64,
    /// Failure domains of the region.
    pub domains: usize,
    /// Keys of the region's callers that were used recently.
    pub keys: usize,
    /// Requests a second from the region's callers.
    pub rate_per_s: f64,
    /// Answer times of the service.
    pub times: AnswerTimes,
}

/// Whether keys are divided over domains, given whether they are now.
pub fn is_split(policy: &PlacementPolicy, input: SplitInput, is_now: bool) -> bool {
    let SplitInput { mean_kb, domains, keys, rate_per_s, times } = input;
    if domains < 2 || rate_per_s <= 0.0 {
        return false;
    }
    let passing = 1.0 - 1.0 / domains as f64;
    let saving_ms = passing * (policy.domain_cost_ms + mean_kb * policy.domain_kb_cost_ms);
    let first_requests_per_s = (domains - 1) as f64 * keys as f64 / warm_keys::TIMEOUT_S;
    let first_request_ms = (times.not_warm_ms - times.warm_ms).max(0.0);
    let cost_ms = first_request_ms * first_requests_per_s / rate_per_s;
    let factor = if is_now { 1.0 } else { SAVING_FACTOR };
    saving_ms > cost_ms * factor
}

/// Number of keys that the servers of a service in a region are warm for.
pub fn keys_of_region(
    now: Time,
    (servers, service): (&ServerTable, &str),
    warm_keys: &WarmKeys,
    region: &str,
) -> usize {
    let of_region = servers.of_service(service).filter(|(_, entry)| entry.region == region);
    let keys: HashSet<u32> = of_region.flat_map(|(index, _)| warm_keys.keys(now, index)).collect();
    keys.len()
}
