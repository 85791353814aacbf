//! Routing: which owners an entry host tries for a request, and in which order.
//!
//! Owners of the home region come first: this host itself if it has a free slot,
//! otherwise the better of two random owners. Owners in other regions follow in
//! order of delay, where a shift cap exists and their load reports are recent.
//! Last comes the home region again, this time with leave to wait in the queue.
//! An owner that has recently refused the same demand is left out, so that a
//! request which cannot be served is refused here without sending a message.

use std::cmp::Reverse;

use rand::{Rng, rngs::StdRng};

use crate::{
    catalog::Catalog,
    id::{HostRef, Name, RegionId, ServiceId},
    member::{Member, Members, SlotDemand},
    time::Time,
};

/// Owners of the home region to try for a place in the queue. If fewer are known
/// by their load, one from the row is added.
const HOME_OWNERS_MIN: usize = 2;
/// Most owners of other regions to try.
const SHIFT_ATTEMPTS_MAX: usize = 4;
/// Most owners to try in one other region. More than one, because each holds only
/// a part of the shift cap.
const SHIFT_ATTEMPTS_PER_REGION: usize = 2;

/// Attempt to get a slot from one owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Owner to ask.
    pub owner: HostRef,
    /// Region of the owner.
    pub region: RegionId,
    /// Kind of admission to ask for.
    pub demand: SlotDemand,
    /// Longest time that the request may wait there for a slot, in microseconds.
    pub max_wait: u64,
}

impl Attempt {
    /// Whether the attempt is charged to a shift cap.
    pub fn is_shifted(&self) -> bool {
        self.demand == SlotDemand::Shifted
    }
}

/// Request to be routed.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Service that the request selects.
    pub service: ServiceId,
    /// Home region of the caller.
    pub home: RegionId,
    /// Time left until the deadline, in microseconds.
    pub deadline: u64,
    /// Name of this entry host.
    pub me: &'a Name,
    /// Whether owners in other regions may serve the request.
    pub may_shift: bool,
    /// Owners in the home region's row. They need not be partners of this host.
    pub row_owners: &'a [HostRef],
}

/// Returns the owners to try, in order. The list is empty if there is no owner or
/// all have recently refused.
pub fn plan_attempts(
    catalog: &Catalog,
    members: &Members,
    now: Time,
    rng: &mut StdRng,
    request: &RouteRequest<'_>,
) -> Vec<Attempt> {
    let service = &catalog.services[request.service.index()].name;
    let owners = slot_owners(catalog, members, now, request.home, service);
    let shifts =
        if request.may_shift { shift_attempts(catalog, members, now, request) } else { Vec::new() };
    let mut attempts = Vec::new();
    if let Some(shift) = shifts.first() {
        let round_trip = 2 * catalog.delay(request.home, shift.region);
        let max_wait = round_trip.min(request.deadline);
        let candidates = not_refusing(&owners, now, service, SlotDemand::Immediate);
        let home = pick_two(&candidates, rng, request, service);
        attempts.extend(
            home.iter().map(|m| home_attempt(m, request.home, SlotDemand::Immediate, max_wait)),
        );
        attempts.extend(shifts);
    }
    let candidates = not_refusing(&owners, now, service, SlotDemand::Queueable);
    let home = pick_two(&candidates, rng, request, service);
    attempts.extend(
        home.iter().map(|m| home_attempt(m, request.home, SlotDemand::Queueable, request.deadline)),
    );
    if home.len() < HOME_OWNERS_MIN {
        attempts.extend(row_owner_attempt(&owners, members, now, rng, request, service));
    }
    attempts
}

/// Random owner that is known from the row only. It is not a partner, so its load
/// is unknown.
fn row_owner_attempt(
    partners: &[&Member],
    members: &Members,
    now: Time,
    rng: &mut StdRng,
    request: &RouteRequest<'_>,
    service: &Name,
) -> Option<Attempt> {
    let is_eligible = |owner: &&HostRef| {
        let member = members.get(&owner.host);
        let is_partner = partners.iter().any(|m| m.name == owner.host);
        !is_partner
            && member.is_some_and(|m| {
                m.is_live(now)
                    && m.avoid_until <= now
                    && m.refused_until(service, SlotDemand::Queueable) <= now
            })
    };
    let candidates: Vec<&HostRef> = request.row_owners.iter().filter(is_eligible).collect();
    let owner = candidates.get(rng.random_range(0..candidates.len().max(1)))?;
    Some(Attempt {
        owner: (*owner).clone(),
        region: request.home,
        demand: SlotDemand::Queueable,
        max_wait: request.deadline,
    })
}

/// Time in microseconds until the first owner of the home region may be tried
/// again, for the case that [`plan_attempts`] returned no attempt. `None` if
/// there is no owner.
pub fn retry_after(
    catalog: &Catalog,
    members: &Members,
    now: Time,
    request: &RouteRequest<'_>,
) -> Option<u64> {
    let service = &catalog.services[request.service.index()].name;
    let owners = slot_owners(catalog, members, now, request.home, service);
    owners.iter().map(|m| m.refused_until(service, SlotDemand::Queueable).since(now)).min()
}

fn home_attempt(member: &Member, region: RegionId, demand: SlotDemand, max_wait: u64) -> Attempt {
    Attempt { owner: member.host_ref(), region, demand, max_wait }
}

/// Owners that have not recently refused this demand.
fn not_refusing<'a>(
    owners: &[&'a Member],
    now: Time,
    service: &Name,
    demand: SlotDemand,
) -> Vec<&'a Member> {
    let candidates = owners.iter().filter(|m| m.refused_until(service, demand) <= now);
    candidates.copied().collect()
}

/// Up to two owners, the best one first.
fn pick_two<'a>(
    owners: &[&'a Member],
    rng: &mut StdRng,
    request: &RouteRequest<'_>,
    service: &str,
) -> Vec<&'a Member> {
    let own = owners.iter().find(|m| m.name == *request.me && m.free_slots(service) > 0);
    let first = own.copied().or_else(|| best_of_two(owners, rng, service));
    let others: Vec<&Member> =
        owners.iter().filter(|m| first.is_none_or(|f| f.name != m.name)).copied().collect();
    let second = best_of_two(&others, rng, service);
    first.into_iter().chain(second).collect()
}

/// The owner with more free slots of two random ones.
fn best_of_two<'a>(owners: &[&'a Member], rng: &mut StdRng, service: &str) -> Option<&'a Member> {
    if owners.is_empty() {
        return None;
    }
    let first = owners[rng.random_range(0..owners.len())];
    let second = owners[rng.random_range(0..owners.len())];
    Some(if second.free_slots(service) > first.free_slots(service) { second } else { first })
}

/// Attempts at owners in other regions, nearest region first, and within a region
/// the owners with the most free slots.
fn shift_attempts(
    catalog: &Catalog,
    members: &Members,
    now: Time,
    request: &RouteRequest<'_>,
) -> Vec<Attempt> {
    let service = &catalog.services[request.service.index()].name;
    let mut regions: Vec<RegionId> = (0..catalog.regions.len() as u32)
        .map(RegionId)
        .filter(|&to| to != request.home)
        .filter(|&to| !catalog.regions[to.index()].draining)
        .filter(|&to| catalog.shift_caps.contains_key(&(request.service, request.home, to)))
        .collect();
    regions.sort_by_key(|&to| catalog.delay(request.home, to));
    let best = |to: RegionId| {
        let mut owners = slot_owners(catalog, members, now, to, service);
        owners.retain(|m| m.refused_until(service, SlotDemand::Shifted) <= now);
        owners.sort_by_key(|m| Reverse(m.free_slots(service)));
        owners.into_iter().take(SHIFT_ATTEMPTS_PER_REGION).map(move |m| Attempt {
            owner: m.host_ref(),
            region: to,
            demand: SlotDemand::Shifted,
            max_wait: 0,
        })
    };
    regions.into_iter().flat_map(best).take(SHIFT_ATTEMPTS_MAX).collect()
}

/// Routable hosts of a region that report slots of the service.
fn slot_owners<'a>(
    catalog: &Catalog,
    members: &'a Members,
    now: Time,
    region: RegionId,
    service: &str,
) -> Vec<&'a Member> {
    let has_slots = |m: &&Member| m.load(service).is_some_and(|load| load.slots > 0);
    let in_region = |m: &&Member| catalog.region_of_domain(&m.domain) == Some(region);
    let live = members.iter().filter(|m| m.is_routable(now) && m.avoid_until <= now);
    live.filter(in_region).filter(has_slots).collect()
}
