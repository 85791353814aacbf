//! Order of the places for a key, from the shares of a service's placement.

use crate::hash;

/// Seeds of a key's draws: how far from home it runs, in which other place of the region, in which
/// other region, and in which place there.
const DISTANCE_SEED: u64 = 0x686f_6d65;
const NEAR_SEED: u64 = 0x6e65_6172;
const REGION_SEED: u64 = 0x6177_6179;
const FAR_PLACE_SEED: u64 = 0x7468_6572;

/// A place that a key may run in, and its weight in the key's draw.
#[derive(Clone, Debug)]
pub struct NearPlace {
    hash: u64,
    weight: f64,
    domains: Vec<u16>,
}

impl NearPlace {
    /// Creates a place from its name, weight and failure domains.
    pub fn new(name: &str, weight: f64, domains: Vec<u16>) -> NearPlace {
        NearPlace { hash: hash::of(name), weight, domains }
    }
}

/// Another region, and its weight in the key's draw.
#[derive(Clone, Debug)]
pub struct FarRegion {
    hash: u64,
    weight: f64,
    /// Places of the region.
    pub places: Vec<NearPlace>,
}

impl FarRegion {
    /// Creates a region without places.
    pub fn new(name: &str, weight: f64) -> FarRegion {
        FarRegion { hash: hash::of(name), weight, places: Vec::new() }
    }
}

/// Position of a server's failure domain in a key's order; lower comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DomainRank {
    /// The group of places: the key's first place is group 0, each further place of the host's
    /// region and each other region is a group.
    pub group: u16,
    /// Position of the domain's place in the group.
    pub position: u8,
}

/// Order of the failure domains for one key.
#[derive(Clone, Debug, Default)]
pub struct KeyOrder {
    ranks: Vec<Option<DomainRank>>,
    groups: u16,
}

impl KeyOrder {
    /// Number of groups, including the last one of all domains that are in no other.
    pub fn groups(&self) -> usize {
        usize::from(self.groups) + 1
    }

    /// Rank of a failure domain, given by its index in the server table.
    pub fn rank(&self, domain: u16) -> DomainRank {
        let known = self.ranks.get(usize::from(domain)).copied().flatten();
        known.unwrap_or(DomainRank { group: self.groups, position: 0 })
    }

    fn add(&mut self, domains: &[u16], position: u8) {
        for domain in domains {
            let index = usize::from(*domain);
            if self.ranks.len() <= index {
                self.ranks.resize(index + 1, None);
            }
            self.ranks[index].get_or_insert(DomainRank { group: self.groups, position });
        }
    }

    fn add_group(&mut self, domains: &[u16]) {
        self.add(domains, 0);
        self.groups += 1;
    }
}

/// Shares and weights that the order of each key is drawn from.
#[derive(Clone, Debug, Default)]
pub struct KeyOrderTable {
    /// Keys drawn below the first threshold run in the own place, below the second in the region.
    own_below: f64,
    home_below: f64,
    own_domains: Vec<u16>,
    near: Vec<NearPlace>,
    far: Vec<FarRegion>,
}

impl KeyOrderTable {
    /// Creates a table without other places. The shares are those of the keys that run in the own
    /// place, and in the region.
    pub fn new(own_share: f64, home_share: f64, own_domains: Vec<u16>) -> KeyOrderTable {
        KeyOrderTable {
            own_below: own_share,
            home_below: home_share,
            own_domains,
            ..KeyOrderTable::default()
        }
    }

    /// Adds another place of the region.
    pub fn add_near(&mut self, place: NearPlace) {
        self.near.push(place);
    }

    /// Adds another region.
    pub fn add_far(&mut self, region: FarRegion) {
        self.far.push(region);
    }

    /// Order of the failure domains for a key.
    pub fn order(&self, key: u64) -> KeyOrder {
        let distance = hash::unit_interval(hash::combine(key, DISTANCE_SEED));
        let near = drawn_order(&self.near, key, NEAR_SEED, |place| (place.hash, place.weight));
        let far = drawn_order(&self.far, key, REGION_SEED, |region| (region.hash, region.weight));
        let mut order = KeyOrder::default();
        if distance >= self.home_below {
            if let Some(region) = far.first().filter(|region| region.weight > 0.0)
                && let Some(place) = ordered_places(region, key).first()
            {
                order.add_group(&place.domains);
            }
        } else if distance >= self.own_below
            && let Some(place) = near.first().filter(|place| place.weight > 0.0)
        {
            order.add_group(&place.domains);
        }
        if !self.own_domains.is_empty() {
            order.add_group(&self.own_domains);
        }
        for place in near {
            order.add_group(&place.domains);
        }
        for region in far {
            for (position, place) in ordered_places(region, key).into_iter().enumerate() {
                order.add(&place.domains, position.min(usize::from(u8::MAX)) as u8);
            }
            order.groups += 1;
        }
        order
    }
}

fn ordered_places(region: &FarRegion, key: u64) -> Vec<&NearPlace> {
    drawn_order(&region.places, key, FAR_PLACE_SEED, |place| (place.hash, place.weight))
}

/// Items in the order of a draw by weight, so that each is first with a probability in proportion
/// to its weight. Those of weight 0 follow in the order of their draws.
fn drawn_order<T>(items: &[T], key: u64, seed: u64, of: impl Fn(&T) -> (u64, f64)) -> Vec<&T> {
    if items.len() < 2 {
        return items.iter().collect();
    }
    let mut drawn: Vec<(bool, f64, &T)> = items
        .iter()
        .map(|item| {
            let (hash, weight) = of(item);
            let draw = hash::unit_interval(hash::combine(key, hash ^ seed));
            let exponential = -draw.max(f64::MIN_POSITIVE).ln();
            let has_weight = weight > 0.0;
            (!has_weight, if has_weight { exponential / weight } else { exponential }, item)
        })
        .collect();
    drawn.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
    drawn.into_iter().map(|(_, _, item)| item).collect()
}
