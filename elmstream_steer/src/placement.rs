//! Division of a service's keys over the places that have servers: failure domains, or regions if
//! sending to another domain costs nothing.
//!
//! Each host counts the requests that it receives and reports the count to the others, so that all
//! hosts know each place's demand. A place keeps the requests of its own callers as far as it has
//! room. The rest goes to the other domains of the region in proportion to their room, and what
//! these have no room for goes to other regions. The parts are continuous functions of demand and
//! slots, so hosts whose views differ slightly differ about few keys.

use std::collections::BTreeMap;

use crate::key_order::{FarRegion, KeyOrderTable, NearPlace};

/// A place has room for up to this multiple of the part of all requests that its slots are of all
/// slots.
const SLOT_SHARE_FACTOR: f64 = 1.25;
/// Requests a second that each region is assumed to have in addition, so that the shares do not
/// swing with the few requests of a small service.
const PRIOR_PER_S: f64 = 17.0;
/// Largest part of a place's requests that changes its region in one update, a second.
const REGION_STEP_MAX: f64 = 0.05;
/// Loss of a place's slots in one update, as a part of them, above which requests change their
/// region at once as far as the loss makes it necessary.
const SLOT_LOSS: f64 = 0.15;
/// Weight of a new answer time in the one that slots are converted with.
const WORK_WEIGHT: f64 = 0.2;
/// Change of a share that is worth reporting.
const REPORTED_CHANGE: f64 = 0.1;

/// Demand and capacity of a place for a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    /// Name of the failure domain, or of the region.
    pub name: String,
    /// Region of the place.
    pub region: String,
    /// Usable slots of the service in the place.
    pub slots: f64,
    /// Requests a second from the place's callers.
    pub demand_per_s: f64,
    /// Failure domains of the place, by their index in the server table.
    pub domains: Vec<u16>,
}

/// Parts of each place's requests that run in the place, in other places of its region, and in
/// other regions.
#[derive(Clone, Debug, Default)]
pub struct Division {
    regions: Vec<String>,
    own: Vec<f64>,
    away: Vec<f64>,
    /// Room of each place for requests of others of its region, and for those of other regions.
    spare: Vec<f64>,
    far_spare: Vec<f64>,
}

impl Division {
    /// Divides the demand of the places.
    ///
    /// `own_per_slot` is the number of requests a second for each slot up to which a place keeps
    /// its own callers' requests, whatever its share of all slots is.
    pub fn new(places: &[Place], own_per_slot: f64) -> Division {
        let rooms = rooms(places, own_per_slot);
        let mut division = Division::default();
        for (place, room) in places.iter().zip(&rooms) {
            let kept = place.demand_per_s.min(*room);
            let own = if place.demand_per_s > 0.0 { kept / place.demand_per_s } else { 1.0 };
            division.regions.push(place.region.clone());
            division.own.push(own);
            division.spare.push(room - kept);
        }
        let mut rest = BTreeMap::<&str, (f64, f64)>::new();
        for (n, place) in places.iter().enumerate() {
            let (excess, spare) = rest.entry(&place.region).or_default();
            *excess += place.demand_per_s * (1.0 - division.own[n]);
            *spare += division.spare[n];
        }
        for (n, place) in places.iter().enumerate() {
            let (excess, spare) = rest[place.region.as_str()];
            let stays = if excess > spare { spare / excess } else { 1.0 };
            let taken = if spare > excess { excess / spare } else { 1.0 };
            division.away.push((1.0 - division.own[n]) * (1.0 - stays));
            division.far_spare.push(division.spare[n] * (1.0 - taken));
        }
        division
    }

    /// Part of a place's requests that runs in the place itself.
    pub fn own(&self, place: usize) -> f64 {
        self.own[place]
    }

    /// Part of a place's requests that runs in other places of its region.
    pub fn near(&self, place: usize) -> f64 {
        (1.0 - self.own[place] - self.away[place]).max(0.0)
    }

    /// Part of a place's requests that runs in other regions.
    pub fn away(&self, place: usize) -> f64 {
        self.away[place]
    }

    /// Part of one place's requests that runs in another, or in the place itself. The parts of a
    /// place sum to 1 if any place has slots.
    pub fn part(&self, from: usize, to: usize) -> f64 {
        if from == to {
            return self.own[from];
        }
        let home = &self.regions[from];
        let is_near = self.regions[to] == *home;
        let (part, weights) = match is_near {
            true => (self.near(from), &self.spare),
            false => (self.away[from], &self.far_spare),
        };
        let counts = |n: usize| n != from && (self.regions[n] == *home) == is_near;
        let sum: f64 = (0..weights.len()).filter(|n| counts(*n)).map(|n| weights[n]).sum();
        if sum > 0.0 { part * weights[to] / sum } else { 0.0 }
    }

    /// Part of a place's requests that runs in each region.
    fn region_shares(&self, from: usize) -> BTreeMap<String, f64> {
        let mut shares = BTreeMap::new();
        for (to, region) in self.regions.iter().enumerate() {
            *shares.entry(region.clone()).or_default() += self.part(from, to);
        }
        shares
    }
}

/// Requests a second that each place has room for.
pub fn rooms(places: &[Place], own_per_slot: f64) -> Vec<f64> {
    let slots: f64 = places.iter().map(|place| place.slots).sum();
    let demand: f64 = places.iter().map(|place| place.demand_per_s).sum();
    let share = |place: &Place| if slots > 0.0 { place.slots / slots } else { 0.0 };
    let room =
        |place: &Place| (own_per_slot * place.slots).max(SLOT_SHARE_FACTOR * share(place) * demand);
    places.iter().map(room).collect()
}

/// Parts of the own callers' requests by where they run; they sum to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnShares {
    /// In the host's own place.
    pub own: f64,
    /// In other places of its region.
    pub near: f64,
    /// In other regions.
    pub away: f64,
}

/// What a placement is updated from.
#[derive(Clone, Debug)]
pub struct PlacementInput<'a> {
    /// All places.
    pub places: Vec<Place>,
    /// Name of this host's place.
    pub own_place: &'a str,
    /// Fraction of its slots up to which a place keeps its own callers' requests.
    pub own_load_max: f64,
    /// Answer time of servers that are warm for the key, in milliseconds; `None` if it is not
    /// known.
    pub work_ms: Option<f64>,
    /// Whether places are failure domains; regions otherwise.
    pub by_domain: bool,
    /// Whether the host has run long enough to know all demand. Until then it follows what it
    /// learns at once.
    pub settled: bool,
}

/// Division of one service's keys, as a host follows it.
#[derive(Clone, Debug, Default)]
pub struct ServicePlacement {
    /// Whether places are failure domains.
    by_domain: bool,
    /// Slots of each place at the last update.
    slots: BTreeMap<String, f64>,
    work_ms: Option<f64>,
    /// Parts of the own place's requests by region, which change in limited steps.
    region_shares: BTreeMap<String, f64>,
    shares: OwnShares,
    reported: Option<OwnShares>,
    order: KeyOrderTable,
}

/// Adds the demand that each region is assumed to have in addition.
fn add_prior_demand(places: &mut [Place]) {
    let mut places_by_region = BTreeMap::<String, f64>::new();
    for place in &*places {
        *places_by_region.entry(place.region.clone()).or_default() += 1.0;
    }
    for place in places {
        place.demand_per_s += PRIOR_PER_S / places_by_region[&place.region];
    }
}

impl ServicePlacement {
    /// Takes in demand and slots. Called once a second.
    pub fn update(&mut self, input: PlacementInput<'_>) {
        let PlacementInput { mut places, own_place, own_load_max, work_ms, by_domain, settled } =
            input;
        add_prior_demand(&mut places);
        let same_places = self.by_domain == by_domain;
        self.by_domain = by_domain;
        let smooth = |before: f64, ms: f64| before + (ms - before) * WORK_WEIGHT;
        self.work_ms = work_ms.map(|ms| self.work_ms.map_or(ms, |before| smooth(before, ms)));
        let own_per_slot = self.work_ms.map_or(0.0, |ms| own_load_max * 1e3 / ms.max(1.0));
        let Some(own) = places.iter().position(|place| place.name == own_place) else { return };
        let division = Division::new(&places, own_per_slot);
        let target = division.region_shares(own);
        if !settled || self.region_shares.is_empty() {
            self.region_shares = target;
        } else {
            if same_places {
                self.follow_slots(&places, own, own_per_slot, &target);
            }
            step(&mut self.region_shares, &target);
        }
        self.slots = places.iter().map(|place| (place.name.clone(), place.slots)).collect();
        self.set_order(&places, own, &division);
    }

    /// Moves at once what a sudden loss of slots makes necessary. Requests return in steps to slots
    /// that are back.
    fn follow_slots(
        &mut self,
        places: &[Place],
        own: usize,
        own_per_slot: f64,
        target: &BTreeMap<String, f64>,
    ) {
        let before = |place: &Place| self.slots.get(&place.name).copied().unwrap_or(0.0);
        let lost = |place: &Place| before(place) - place.slots;
        if !places.iter().any(|place| lost(place) > SLOT_LOSS * before(place)) {
            return;
        }
        let with_old_slots = |place: &Place| {
            let slots = place.slots.max(before(place));
            Place { slots, ..place.clone() }
        };
        let with_old_slots: Vec<Place> = places.iter().map(with_old_slots).collect();
        let old_target = Division::new(&with_old_slots, own_per_slot).region_shares(own);
        for (region, share) in target {
            let moved = share - old_target.get(region).copied().unwrap_or(0.0);
            let share = self.region_shares.entry(region.clone()).or_default();
            *share = (*share + moved).max(0.0);
        }
        self.region_shares.retain(|region, _| {
            places.iter().any(|place| place.region == *region && place.slots > 0.0)
        });
        let sum: f64 = self.region_shares.values().sum();
        if sum > 0.0 {
            self.region_shares.values_mut().for_each(|share| *share /= sum);
        } else {
            self.region_shares = target.clone();
        }
    }

    fn set_order(&mut self, places: &[Place], own: usize, division: &Division) {
        let home = &places[own].region;
        let home_share = self.region_shares.get(home).copied().unwrap_or(0.0);
        let at_home = division.own(own) + division.near(own);
        let own_share = if at_home > 0.0 { home_share * division.own(own) / at_home } else { 0.0 };
        self.shares =
            OwnShares { own: own_share, near: home_share - own_share, away: 1.0 - home_share };
        let mut order =
            KeyOrderTable::new(self.shares.own, home_share, places[own].domains.clone());
        for (n, place) in places.iter().enumerate().filter(|(n, _)| *n != own) {
            if place.region == *home {
                let weight = division.part(own, n);
                order.add_near(NearPlace::new(&place.name, weight, place.domains.clone()));
            }
        }
        let mut far = BTreeMap::<&str, FarRegion>::new();
        for (n, place) in places.iter().enumerate().filter(|(_, place)| place.region != *home) {
            let share = self.region_shares.get(&place.region).copied().unwrap_or(0.0);
            let region = far.entry(&place.region);
            let region = region.or_insert_with(|| FarRegion::new(&place.region, share));
            // Without requests of the own place there, any domain with slots will do.
            let weight = division.far_spare[n].max(place.slots * f64::EPSILON);
            region.places.push(NearPlace::new(&place.name, weight, place.domains.clone()));
        }
        far.into_values().for_each(|region| order.add_far(region));
        self.order = order;
    }

    /// Whether the keys are divided over failure domains.
    pub fn is_by_domain(&self) -> bool {
        self.by_domain
    }

    /// Parts of the own callers' requests by where they run.
    pub fn shares(&self) -> OwnShares {
        self.shares
    }

    /// The shares, if they have changed much since the last call that returned them.
    pub fn news(&mut self) -> Option<OwnShares> {
        let before = self.reported.unwrap_or(OwnShares { own: 1.0, ..OwnShares::default() });
        let changed = (self.shares.own - before.own).abs() >= REPORTED_CHANGE
            || (self.shares.away - before.away).abs() >= REPORTED_CHANGE;
        changed.then(|| {
            self.reported = Some(self.shares);
            self.shares
        })
    }

    /// Where the keys go.
    pub fn order(&self) -> &KeyOrderTable {
        &self.order
    }
}

/// Moves shares towards a target by at most one step.
fn step(shares: &mut BTreeMap<String, f64>, target: &BTreeMap<String, f64>) {
    for region in target.keys() {
        shares.entry(region.clone()).or_default();
    }
    let goal = |region: &str| target.get(region).copied().unwrap_or(0.0);
    let moved: f64 = shares.iter().map(|(region, share)| (goal(region) - share).max(0.0)).sum();
    let fraction = if moved > REGION_STEP_MAX { REGION_STEP_MAX / moved } else { 1.0 };
    for (region, share) in shares.iter_mut() {
        *share += (goal(region) - *share) * fraction;
    }
}
