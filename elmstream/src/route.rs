//! The choice of where: which owners an entry host asks, in which order.
//!
//! The home region goes first; an own backend server with a free slot before
//! others, else the better of two owners drawn at random. Other regions follow
//! by delay, only where a shift cap exists and their reports are fresh. Last
//! comes the home region again, with the patience to queue there. An owner
//! that has just refused the same want is left out, so that what cannot be
//! served is refused here and costs no message.

use std::cmp::Reverse;

use rand::{Rng, rngs::StdRng};

use crate::{
    catalog::Catalog,
    id::{HostRef, Name, RegionId, ServiceId},
    member::{Member, Members, SlotDemand},
    time::Time,
};

/// Owners of the home region that are asked for a place, if there are so many.
const OWNERS_MIN: usize = 2;
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
    /// What is wanted there.
    pub demand: SlotDemand,
    /// How long the request may wait there for a slot, in microseconds.
    pub max_wait: u64,
}

impl Attempt {
    /// Whether this spends a shift cap.
    pub fn is_shifted(&self) -> bool {
        self.demand == SlotDemand::Shifted
    }
}

/// What a route is asked for.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
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
    /// Owners of the home region by its row, which may not be partners.
    pub row_owners: &'a [HostRef],
}

/// The owners to ask, in order; none if all that could be asked have just
/// refused.
pub fn plan_attempts(
    catalog: &Catalog,
    members: &Members,
    now: Time,
    rng: &mut StdRng,
    request: &RouteRequest<'_>,
) -> Vec<Attempt> {
    let service = &catalog.services[request.service.index()].name;
    let owners = owners(catalog, members, now, request.home, service);
    let shifts =
        if request.may_shift { shifts(catalog, members, now, request) } else { Vec::new() };
    let mut attempts = Vec::new();
    if let Some(shift) = shifts.first() {
        let round_trip = 2 * catalog.delay(request.home, shift.region);
        let patience = round_trip.min(request.deadline);
        let willing = willing(&owners, now, service, SlotDemand::Immediate);
        let home = pick_two(&willing, rng, request, service);
        attempts
            .extend(home.iter().map(|m| at_home(m, request.home, SlotDemand::Immediate, patience)));
        attempts.extend(shifts);
    }
    let willing = willing(&owners, now, service, SlotDemand::Queueable);
    let home = pick_two(&willing, rng, request, service);
    attempts.extend(
        home.iter().map(|m| at_home(m, request.home, SlotDemand::Queueable, request.deadline)),
    );
    if home.len() < OWNERS_MIN {
        attempts.extend(by_row(&owners, members, now, rng, request, service));
    }
    attempts
}

/// An owner that only the row names, drawn at random. It is no partner, so
/// nothing is known of its load.
fn by_row(
    partners: &[&Member],
    members: &Members,
    now: Time,
    rng: &mut StdRng,
    request: &RouteRequest<'_>,
    service: &Name,
) -> Option<Attempt> {
    let is_willing = |owner: &&HostRef| {
        let member = members.get(&owner.host);
        let is_partner = partners.iter().any(|m| m.name == owner.host);
        !is_partner
            && member.is_some_and(|m| {
                m.is_live(now)
                    && m.avoid_until <= now
                    && m.refused_until(service, SlotDemand::Queueable) <= now
            })
    };
    let willing: Vec<&HostRef> = request.row_owners.iter().filter(is_willing).collect();
    let owner = willing.get(rng.random_range(0..willing.len().max(1)))?;
    Some(Attempt {
        owner: (*owner).clone(),
        region: request.home,
        demand: SlotDemand::Queueable,
        max_wait: request.deadline,
    })
}

/// When asking again may help, if [`plan`] found nobody to ask because all
/// owners of the home region have just refused; `None` if there is no owner.
pub fn retry_after(
    catalog: &Catalog,
    members: &Members,
    now: Time,
    request: &RouteRequest<'_>,
) -> Option<u64> {
    let service = &catalog.services[request.service.index()].name;
    let owners = owners(catalog, members, now, request.home, service);
    owners.iter().map(|m| m.refused_until(service, SlotDemand::Queueable).since(now)).min()
}

fn at_home(member: &Member, region: RegionId, want: SlotDemand, patience: u64) -> Attempt {
    Attempt { owner: member.host_ref(), region, demand: want, max_wait: patience }
}

/// Owners that have not just refused what is wanted.
fn willing<'a>(
    owners: &[&'a Member],
    now: Time,
    service: &Name,
    want: SlotDemand,
) -> Vec<&'a Member> {
    let willing = owners.iter().filter(|m| m.refused_until(service, want) <= now);
    willing.copied().collect()
}

/// Up to two owners, best first.
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

/// The one with more free slots of two drawn at random.
fn best_of_two<'a>(owners: &[&'a Member], rng: &mut StdRng, service: &str) -> Option<&'a Member> {
    if owners.is_empty() {
        return None;
    }
    let first = owners[rng.random_range(0..owners.len())];
    let second = owners[rng.random_range(0..owners.len())];
    Some(if second.free_slots(service) > first.free_slots(service) { second } else { first })
}

/// Owners in other regions that a shift may go to, nearest first, and of one
/// region the one with most headroom.
fn shifts(
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
        let mut owners = owners(catalog, members, now, to, service);
        owners.retain(|m| m.refused_until(service, SlotDemand::Shifted) <= now);
        owners.sort_by_key(|m| Reverse(m.free_slots(service)));
        owners.into_iter().take(SHIFT_TRIES_EACH).map(move |m| Attempt {
            owner: m.host_ref(),
            region: to,
            demand: SlotDemand::Shifted,
            max_wait: 0,
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
    let live = members.iter().filter(|m| m.is_routable(now) && m.avoid_until <= now);
    live.filter(in_region).filter(has_slots).collect()
}
