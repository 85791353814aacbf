//! Copies of keys: further servers of a key's first place that are kept warm for the key.
//!
//! A copy is warmed by a few of the key's requests while the service has slots to spare, so that a
//! slow, full or vanished server leaves another one that knows the key.

use std::collections::HashSet;

use elmstream::time::{SECOND, Time};

use crate::{
    hash,
    placement::Place,
    policies::PlacementPolicy,
    servers::{ServerIndex, ServerTable},
    warm_keys::WarmKeys,
};

/// Fraction of a key's least urgent requests that warm a copy. It is halved for each more urgent
/// priority.
const WARMING_FRACTION: f64 = 0.125;
/// Priority from which on a request counts as least urgent.
const LEAST_URGENT: u32 = 2;
/// Load of a service below which copies are warmed.
pub const WARMING_LOAD_MAX: f64 = 0.5;
/// Fraction of the caller's remaining time in which a request that warms a copy must be expected to
/// be answered.
pub const WARMING_TIME_FRACTION: f64 = 0.75;
/// A copy that was not used for this long is used again, so that it remains known as warm.
const REFRESH_AGE: u64 = 10 * SECOND;
/// Seed of a request's draw.
const WARMING_SEED: u64 = 0x636f_7079;

/// Whether a request is one of the few that may warm another server for its key.
pub fn is_drawn(now: Time, key: u64, priority: u32) -> bool {
    let halvings = LEAST_URGENT.saturating_sub(priority) as i32;
    let draw = hash::unit_interval(hash::combine(key ^ WARMING_SEED, now.0));
    draw < WARMING_FRACTION * 0.5f64.powi(halvings)
}

/// Whether a server has to be used for the key to be known as warm.
pub fn needs_warming(now: Time, warm_keys: &WarmKeys, server: ServerIndex, key: u64) -> bool {
    !warm_keys.is_warm(now + REFRESH_AGE, server, key)
}

/// Failure domains, by their index, of places whose servers can keep all copies of their keys.
///
/// Of places in other regions this host does not know all keys, so that all keys that it knows of
/// the service are taken instead.
pub fn domains_with_room(
    now: Time,
    servers: (&ServerTable, &str),
    warm_keys: &WarmKeys,
    places: &[Place],
    policy: &PlacementPolicy,
    own_region: &str,
) -> Vec<u16> {
    if policy.copies < 2 || policy.keys_per_server == 0 {
        return Vec::new();
    }
    let (table, service) = servers;
    let mut all_keys = HashSet::new();
    let mut counted = Vec::new();
    for place in places {
        let mut keys = HashSet::new();
        let mut count = 0;
        for (index, entry) in table.of_service(service) {
            if place.domains.contains(&entry.domain_index) && !entry.is_leaving() {
                count += 1;
                keys.extend(warm_keys.keys(now, index));
            }
        }
        all_keys.extend(keys.iter().copied());
        counted.push((place, count, keys.len()));
    }
    let fits = |place: &Place, servers: usize, keys: usize| {
        let keys = if place.region == own_region { keys } else { all_keys.len() };
        policy.copies as usize * keys <= servers * policy.keys_per_server as usize
    };
    let fitting = counted.iter().filter(|(place, servers, keys)| fits(place, *servers, *keys));
    fitting.flat_map(|(place, ..)| place.domains.iter().copied()).collect()
}
