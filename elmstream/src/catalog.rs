//! The operators' configuration, compiled into tables of entities.

use std::{collections::HashMap, net::SocketAddr};

use crate::{
    block::BlockTable,
    id::{BackendId, DomainId, Name, RegionId, ServiceId},
};

/// A region: a group of failure domains with short delays between them.
#[derive(Clone, Debug)]
pub struct Region {
    /// Its name.
    pub name: Name,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// A failure domain: hosts that may fail together.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Its name.
    pub name: Name,
    /// The region that it lies in.
    pub region: RegionId,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// A site: blocks of clients that share a home region.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: Name,
    /// The region that serves its clients first.
    pub home: RegionId,
}

/// What a host that may be behind does with a service's requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Isolation {
    /// Goes on, in its own region only.
    #[default]
    OwnRegion,
    /// Answers "not run".
    Stop,
}

/// How a request that may not be repeated is kept from running twice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OncePolicy {
    /// By a ticket where the caller brings one.
    #[default]
    TicketOptional,
    /// By a ticket, which the caller must bring.
    TicketRequired,
    /// By a claim row in the table service, keyed by the caller's request id.
    Claim,
}

/// A service and its policy.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Values of `Host` that name it.
    pub hosts: Vec<Name>,
    /// Priority under overload; 0 goes first.
    pub priority: u8,
    /// Share of live slots that all requests together may use, in percent.
    pub load_limit_percent: u32,
    /// Share of live slots kept back from other regions' requests, in percent.
    pub headroom_percent: u32,
    /// Time that a request may take at most, in microseconds.
    pub deadline: u64,
    /// Retries allowed, in percent of first tries.
    pub retry_percent: u32,
    /// Requests that may wait for a slot, for each slot that an owner has.
    pub queue_per_slot: u32,
    /// Methods whose requests may be repeated.
    pub repeatable_methods: Vec<Name>,
    /// Path prefixes whose requests may be repeated by any method.
    pub repeatable_paths: Vec<Name>,
    /// How requests that may not be repeated run at most once.
    pub once: OncePolicy,
    /// What a host that may be behind does.
    pub isolation: Isolation,
    /// Time in which a cold backend server reaches its full share, in microseconds.
    pub slow_start: u64,
}

impl Service {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let by_method = self.repeatable_methods.iter().any(|m| &**m == method);
        by_method || self.repeatable_paths.iter().any(|p| path.starts_with(&**p))
    }
}

/// A backend server: one instance of a service.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name.
    pub name: Name,
    /// The service that it runs.
    pub service: ServiceId,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether the operators drain it.
    pub draining: bool,
}

/// The bound on a shift of one service's traffic from one region to another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShiftCap {
    /// Requests in any second.
    pub per_second: u32,
    /// Time over which a new shift grows to the cap, in microseconds.
    pub ramp: u64,
}

/// The bound on a link from one region to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkLimit {
    /// Requests in any second; 0 is no bound.
    pub requests_per_second: u32,
    /// Bytes of bodies, both ways, in any second; 0 is no bound.
    pub bytes_per_second: u64,
}

/// All tables of one revision.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The revision; 0 is none.
    pub revision: u64,
    /// Regions by [`RegionId`].
    pub regions: Vec<Region>,
    /// Failure domains by [`DomainId`].
    pub domains: Vec<Domain>,
    /// Sites by [`crate::id::SiteId`].
    pub sites: Vec<Site>,
    /// Services by [`ServiceId`].
    pub services: Vec<Service>,
    /// Backend servers by [`BackendId`].
    pub backends: Vec<Backend>,
    /// Blocks of clients.
    pub blocks: BlockTable,
    /// Delay between regions, one way, in microseconds.
    pub delays: HashMap<(RegionId, RegionId), u64>,
    /// Bounds on shifts; a pair without an entry may not shift.
    pub shift_caps: HashMap<(ServiceId, RegionId, RegionId), ShiftCap>,
    /// Bounds on links; a pair without an entry is not bounded.
    pub links: HashMap<(RegionId, RegionId), LinkLimit>,
    /// Entry hosts that the operators drain.
    pub draining_hosts: Vec<Name>,
}

impl Catalog {
    /// The region with this name.
    pub fn region(&self, name: &str) -> Option<RegionId> {
        position(&self.regions, |r| &*r.name == name).map(RegionId)
    }

    /// The failure domain with this name.
    pub fn domain(&self, name: &str) -> Option<DomainId> {
        position(&self.domains, |d| &*d.name == name).map(DomainId)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        position(&self.services, |s| &*s.name == name).map(ServiceId)
    }

    /// The service that answers to this value of `Host`.
    pub fn service_by_host(&self, host: &str) -> Option<ServiceId> {
        let host = host.split(':').next().unwrap_or(host);
        position(&self.services, |s| s.hosts.iter().any(|h| &**h == host)).map(ServiceId)
    }

    /// The backend server with this name.
    pub fn backend(&self, name: &str) -> Option<BackendId> {
        position(&self.backends, |b| &*b.name == name).map(BackendId)
    }

    /// The region that a backend server stands in.
    pub fn region_of(&self, backend: &Backend) -> RegionId {
        self.domains[backend.domain.index()].region
    }

    /// The region that a failure domain lies in.
    pub fn region_of_domain(&self, name: &str) -> Option<RegionId> {
        self.domain(name).map(|id| self.domains[id.index()].region)
    }

    /// Whether a backend server takes no new work, by any drain over it.
    pub fn is_draining(&self, backend: &Backend) -> bool {
        let domain = &self.domains[backend.domain.index()];
        backend.draining || domain.draining || self.regions[domain.region.index()].draining
    }

    /// The one-way delay between two regions, in microseconds.
    pub fn delay(&self, from: RegionId, to: RegionId) -> u64 {
        let known = self.delays.get(&(from, to)).or_else(|| self.delays.get(&(to, from)));
        known.copied().unwrap_or(0)
    }

    /// Backend servers of a region, with their indexes.
    pub fn backends_in(&self, region: RegionId) -> impl Iterator<Item = (BackendId, &Backend)> {
        let all = self.backends.iter().enumerate();
        all.filter(move |(_, b)| self.region_of(b) == region).map(|(i, b)| (BackendId(i as u32), b))
    }
}

/// The index of the first entity that matches.
fn position<T>(table: &[T], matches: impl FnMut(&T) -> bool) -> Option<u32> {
    table.iter().position(matches).map(|index| index as u32)
}
