//! Division of each region's requests over the servers of all regions.
//!
//! A region with few servers cannot run all requests of its callers. Each host counts the requests
//! that it receives and reports the count to the others, so that all hosts know each region's share
//! of the demand. A region runs the share of its keys that its share of the slots covers; the other
//! keys go to regions with spare slots. Shares change slowly, so that keys stay on the servers that
//! are warm for them.

use std::collections::BTreeMap;

use elmstream::time::Time;

use crate::hash;

/// Time in which a count decays to 1/e, in microseconds.
const COUNT_DECAY_US: f64 = 30e6;
/// Number of requests that each region is assumed to have had initially, so that the first few real
/// ones do not swing the shares.
const PRIOR_REQUESTS: f64 = 500.0;
/// A region keeps up to this multiple of the share of keys that its slots cover.
const HOME_SHARE_FACTOR: f64 = 1.25;
/// Seeds of a key's two draws: whether it stays in its home region, and in which other region it
/// runs.
const HOME_SEED: u64 = 0x686f_6d65;
const REMOTE_SEED: u64 = 0x6177_6179;

/// Count of this host's requests that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    value: f64,
    at: Time,
}

impl DecayingCount {
    /// Counts a request.
    pub fn add(&mut self, now: Time) {
        self.value = self.value(now) + 1.0;
        self.at = now;
    }

    /// The decayed number of requests.
    pub fn value(&self, now: Time) -> f64 {
        self.value * (-(now.since(self.at) as f64) / COUNT_DECAY_US).exp()
    }
}

/// Capacity and demand of one region for a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionDemand {
    /// Usable slots of the service in the region.
    pub slots: f64,
    /// Requests from callers in the region.
    pub demand: f64,
}

/// Share of keys that each region keeps, and the spare capacity for the others' keys.
#[derive(Clone, Debug, Default)]
pub struct RegionShares {
    home_shares: BTreeMap<String, f64>,
    spare_capacity: Vec<(String, f64)>,
}

impl RegionShares {
    /// Divides the demand of the regions in proportion to their slots.
    pub fn new(regions: &BTreeMap<String, RegionDemand>) -> RegionShares {
        let slots: f64 = regions.values().map(|region| region.slots).sum();
        let demand: f64 = regions.values().map(|region| region.demand + PRIOR_REQUESTS).sum();
        let mut shares = RegionShares::default();
        for (name, region) in regions {
            let slot_share = if slots > 0.0 { region.slots / slots } else { 0.0 };
            let demand_share = (region.demand + PRIOR_REQUESTS) / demand;
            let home_share = (slot_share * HOME_SHARE_FACTOR / demand_share).min(1.0);
            shares.home_shares.insert(name.clone(), home_share);
            let spare = (slot_share - demand_share * home_share).max(0.0);
            if spare > 0.0 {
                shares.spare_capacity.push((name.clone(), spare));
            }
        }
        shares
    }

    /// Regions for a key of callers in region `home`, in order of preference.
    ///
    /// Regions that are missing from the result follow in no particular order.
    pub fn region_order(&self, home: &str, key: u64) -> Vec<&str> {
        let home_share = self.home_shares.get(home).copied().unwrap_or(0.0);
        let stays_home = hash::unit_interval(hash::combine(key, HOME_SEED)) < home_share;
        let mut remote: Vec<(f64, &str)> = Vec::new();
        for (name, weight) in self.spare_capacity.iter().filter(|(name, _)| name != home) {
            let draw = hash::unit_interval(hash::combine(key, hash::of(name) ^ REMOTE_SEED))
                .max(f64::MIN_POSITIVE);
            remote.push((-draw.ln() / weight, name));
        }
        remote.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut order: Vec<&str> = remote.into_iter().map(|(_, name)| name).collect();
        let position = if stays_home { 0 } else { 1.min(order.len()) };
        if let Some((home, _)) = self.home_shares.get_key_value(home) {
            order.insert(position, home);
        }
        order
    }
}
