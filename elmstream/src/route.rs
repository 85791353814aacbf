//! The choice of where: which owners an entry host asks, in which order.
//!
//! The home region goes first; an own backend server with a free slot before
//! others, else the better of two owners drawn at random. Other regions follow
//! by delay, only where a shift cap exists and their reports are fresh. Last
//! comes the home region again, with the patience to queue there.

use std::cmp::Reverse;

use rand::{Rng, rngs::StdRng};

use crate::{
    catalog::Catalog,
    id::{HostRef, Name, RegionId, ServiceId},
    member::{Member, Members},
    time::Time,
};

/// Owners of other regions that are asked at most.
const SHIFT_TRIES: usize = 4;
/// Owners of one other region that are asked, as each holds a part of the cap.
const SHIFT_TRIES_EACH: usize = 2;

/// One owner to ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The owner.
    pub owner: HostRef,
    /// The region that would serve.
    pub region: RegionId,
    /// Whether this spends a shift cap.
    pub shifted: bool,
    /// How long the request may wait there for a slot, in microseconds.
    pub patience: u64,
}

/// What a route is asked for.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: ServiceId,
    /// The caller's home region.
    pub home: RegionId,
    /// Time left for the request, in microseconds.
    pub deadline: u64,
    /// This entry host.
    pub me: &'a Name,
    /// Whether other regions may serve it.
    pub may_shift: bool,
}

/// The owners to ask, in order.
pub fn plan(
    catalog: &Catalog,
    members: &Members,
    now: Time,
    rng: &mut StdRng,
    request: &Request<'_>,
) -> Vec<Attempt> {
    let service = &catalog.services[request.service.index()].name;
    let shifts =
        if request.may_shift { shifts(catalog, members, now, request) } else { Vec::new() };
    let home = home_owners(catalog, members, now, rng, request, service);
    let next_delay = shifts.first().map(|s| 2 * catalog.delay(request.home, s.region));
    let short = next_delay.unwrap_or(request.deadline).min(request.deadline);
    let at_home = |m: &&Member, patience| Attempt {
        owner: m.host_ref(),
        region: request.home,
        shifted: false,
        patience,
    };
    let mut attempts: Vec<Attempt> = home.iter().map(|m| at_home(m, short)).collect();
    let has_shift = !shifts.is_empty();
    attempts.extend(shifts);
    if has_shift {
        attempts.extend(home.first().map(|m| at_home(m, request.deadline)));
    }
    attempts
}

/// Up to two owners of the home region, best first.
fn home_owners<'a>(
    catalog: &Catalog,
    members: &'a Members,
    now: Time,
    rng: &mut StdRng,
    request: &Request<'_>,
    service: &str,
) -> Vec<&'a Member> {
    let mut owners = owners(catalog, members, now, request.home, service);
    if let Some(own) = owners.iter().position(|m| m.name == *request.me && m.free(service) > 0) {
        owners.swap(0, own);
        let second = best_of_two(&owners[1..], rng, service);
        return [Some(owners[0]), second].into_iter().flatten().collect();
    }
    let Some(first) = best_of_two(&owners, rng, service) else {
        return Vec::new();
    };
    owners.retain(|m| m.name != first.name);
    let second = best_of_two(&owners, rng, service);
    [Some(first), second].into_iter().flatten().collect()
}

/// The one with more free slots of two drawn at random.
fn best_of_two<'a>(owners: &[&'a Member], rng: &mut StdRng, service: &str) -> Option<&'a Member> {
    if owners.is_empty() {
        return None;
    }
    let first = owners[rng.random_range(0..owners.len())];
    let second = owners[rng.random_range(0..owners.len())];
    Some(if second.free(service) > first.free(service) { second } else { first })
}

/// Owners in other regions that a shift may go to, nearest first, and of one
/// region the one with most headroom.
fn shifts(catalog: &Catalog, members: &Members, now: Time, request: &Request<'_>) -> Vec<Attempt> {
    let service = &catalog.services[request.service.index()].name;
    let mut regions: Vec<RegionId> = (0..catalog.regions.len() as u32)
        .map(RegionId)
        .filter(|&to| to != request.home)
        .filter(|&to| !catalog.regions[to.index()].draining)
        .filter(|&to| catalog.shift_caps.contains_key(&(request.service, request.home, to)))
        .collect();
    regions.sort_by_key(|&to| catalog.delay(request.home, to));
    let best = |to: RegionId| {
        let mut owners = owners(catalog, members, now, to, service);
        owners.sort_by_key(|m| Reverse(m.free(service)));
        owners.into_iter().take(SHIFT_TRIES_EACH).map(move |m| Attempt {
            owner: m.host_ref(),
            region: to,
            shifted: true,
            patience: 0,
        })
    };
    regions.into_iter().flat_map(best).take(SHIFT_TRIES).collect()
}

/// Hosts of a region, heard just now, that report slots of the service.
fn owners<'a>(
    catalog: &Catalog,
    members: &'a Members,
    now: Time,
    region: RegionId,
    service: &str,
) -> Vec<&'a Member> {
    let has_slots = |m: &&Member| m.load(service).is_some_and(|load| load.slots > 0);
    let in_region = |m: &&Member| catalog.region_of_domain(&m.domain) == Some(region);
    let live = members.iter().filter(|m| m.is_fresh(now) && m.avoid_until <= now);
    live.filter(in_region).filter(has_slots).collect()
}
