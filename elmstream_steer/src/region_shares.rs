//! How requests of each region divide among the regions' servers.
//!
//! A region with few servers cannot run all requests of its callers. Each host
//! counts the requests that it takes and tells the others, so that all know each
//! region's part of the demand. A region then keeps the part of its keys that its
//! slots are worth; the other keys go to regions with slots to spare. Parts move
//! slowly, so keys stay where they are known.

use std::collections::BTreeMap;

use elmstream::time::Time;

use crate::hash;

/// Time in which a count falls to a third, in microseconds.
const DECAY: f64 = 30e6;
/// Requests that each region is taken to have had before the first one.
const PRIOR: f64 = 500.0;
/// A region keeps this many times the part that its slots are worth.
const OVERSHOOT: f64 = 1.25;
/// Seeds of the two draws of a key.
const HOME_SEED: u64 = 0x686f_6d65;
const AWAY_SEED: u64 = 0x6177_6179;

/// Requests of this host that fade with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    value: f64,
    at: Time,
}

impl DecayingCount {
    /// One more request.
    pub fn add(&mut self, now: Time) {
        self.value = self.value(now) + 1.0;
        self.at = now;
    }

    /// Requests, the older ones less.
    pub fn value(&self, now: Time) -> f64 {
        self.value * (-(now.since(self.at) as f64) / DECAY).exp()
    }
}

/// Slots and demand of one region.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionDemand {
    /// Slots of the service that may be used.
    pub slots: f64,
    /// Requests of the region's callers.
    pub demand: f64,
}

/// The regions' parts for one service.
#[derive(Clone, Debug, Default)]
pub struct RegionShares {
    home_shares: BTreeMap<String, f64>,
    spare_capacity: Vec<(String, f64)>,
}

impl RegionShares {
    /// Divides the demand of regions by their slots.
    pub fn new(regions: &BTreeMap<String, RegionDemand>) -> RegionShares {
        let slots: f64 = regions.values().map(|region| region.slots).sum();
        let demand: f64 = regions.values().map(|region| region.demand + PRIOR).sum();
        let mut division = RegionShares::default();
        for (name, region) in regions {
            let worth = if slots > 0.0 { region.slots / slots } else { 0.0 };
            let part = (region.demand + PRIOR) / demand;
            let kept = (worth * OVERSHOOT / part).min(1.0);
            division.home_shares.insert(name.clone(), kept);
            let spare = (worth - part * kept).max(0.0);
            if spare > 0.0 {
                division.spare_capacity.push((name.clone(), spare));
            }
        }
        division
    }

    /// Regions for a key of callers in `home`, the first one first.
    ///
    /// Regions that are not named follow in no special order.
    pub fn region_order(&self, home: &str, key: u64) -> Vec<&str> {
        let kept = self.home_shares.get(home).copied().unwrap_or(0.0);
        let stays = hash::unit_interval(hash::combine(key, HOME_SEED)) < kept;
        let mut away: Vec<(f64, &str)> = Vec::new();
        for (name, weight) in self.spare_capacity.iter().filter(|(name, _)| name != home) {
            let draw = hash::unit_interval(hash::combine(key, hash::of(name) ^ AWAY_SEED))
                .max(f64::MIN_POSITIVE);
            away.push((-draw.ln() / weight, name));
        }
        away.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut order: Vec<&str> = away.into_iter().map(|(_, name)| name).collect();
        let place = if stays { 0 } else { 1.min(order.len()) };
        if let Some((home, _)) = self.home_shares.get_key_value(home) {
            order.insert(place, home);
        }
        order
    }
}
