//! The operators' configuration, compiled into tables that are addressed by
//! index.

use std::{collections::HashMap, net::SocketAddr};

use crate::{
    block::BlockTable,
    id::{BackendId, DomainId, Name, RegionId, ServiceId},
};

/// Group of failure domains with short delays between them.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name of the region.
    pub name: Name,
    /// Whether operators drain the region, so that it gets no new requests.
    pub draining: bool,
}

/// Hosts and backend servers that may fail together.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: Name,
    /// Region that the domain belongs to.
    pub region: RegionId,
    /// Whether operators drain the domain, so that it gets no new requests.
    pub draining: bool,
}

/// Blocks of client addresses that share a home region.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name of the site.
    pub name: Name,
    /// Home region of its clients.
    pub home: RegionId,
}

/// What an entry host does with a service's requests while its configuration may
/// be outdated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Isolation {
    /// Serves them, but only in its own region.
    #[default]
    OwnRegion,
    /// Refuses them with the outcome "not run".
    Stop,
}

/// How a request that must not be repeated is kept from running twice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OncePolicy {
    /// With a ticket, if the caller sends one.
    #[default]
    TicketOptional,
    /// With a ticket, which the caller has to send.
    TicketRequired,
    /// With a claim row in the table service, keyed by the caller's request id.
    Claim,
}

/// A service and its policy.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Values of the `Host` header that select the service.
    pub hosts: Vec<Name>,
    /// Priority under overload; 0 is the highest.
    pub priority: u8,
    /// Share of the live slots that all requests together may use, in percent.
    pub load_limit_percent: u32,
    /// Share of the live slots that only requests of the own region may use, in
    /// percent.
    pub headroom_percent: u32,
    /// Longest time that a request may take, in microseconds.
    pub deadline: u64,
    /// Retries allowed, in percent of the first attempts.
    pub retry_percent: u32,
    /// Requests that may be queued for each slot of an owner.
    pub queue_per_slot: u32,
    /// Methods whose requests may be repeated.
    pub repeatable_methods: Vec<Name>,
    /// Path prefixes whose requests may be repeated whatever their method.
    pub repeatable_paths: Vec<Name>,
    /// How requests that must not be repeated run at most once.
    pub once: OncePolicy,
    /// What a host with a possibly outdated configuration does with requests.
    pub isolation: Isolation,
    /// Time in which a cold backend server reaches its full share, in
    /// microseconds.
    pub slow_start: u64,
}

impl Service {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let by_method = self.repeatable_methods.iter().any(|m| &**m == method);
        by_method || self.repeatable_paths.iter().any(|p| path.starts_with(&**p))
    }
}

/// Backend server: one instance of a service.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name of the backend server.
    pub name: Name,
    /// Service that it runs.
    pub service: ServiceId,
    /// Failure domain that it belongs to.
    pub domain: DomainId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Requests that it may run at a time.
    pub slots: u32,
    /// Whether operators drain this server.
    pub draining: bool,
}

/// Limit on the requests of one service that are shifted from one region to
/// another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShiftCap {
    /// Requests in any second.
    pub per_second: u32,
    /// Time over which a new shift grows to the limit, in microseconds.
    pub ramp: u64,
}

/// Limit on a link from one region to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkLimit {
    /// Requests in any second; 0 means no limit.
    pub requests_per_second: u32,
    /// Bytes of request and response bodies together in any second; 0 means no
    /// limit.
    pub bytes_per_second: u64,
}

/// All tables of one revision of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Revision number; 0 if there is no configuration yet.
    pub revision: u64,
    /// Regions, indexed by [`RegionId`].
    pub regions: Vec<Region>,
    /// Failure domains, indexed by [`DomainId`].
    pub domains: Vec<Domain>,
    /// Sites, indexed by [`crate::id::SiteId`].
    pub sites: Vec<Site>,
    /// Services, indexed by [`ServiceId`].
    pub services: Vec<Service>,
    /// Backend servers, indexed by [`BackendId`].
    pub backends: Vec<Backend>,
    /// Address blocks of the sites.
    pub blocks: BlockTable,
    /// One-way delay between two regions, in microseconds. One direction of a
    /// pair is enough.
    pub delays: HashMap<(RegionId, RegionId), u64>,
    /// Limits on shifts by service, home region and serving region. Without an
    /// entry a shift is not allowed.
    pub shift_caps: HashMap<(ServiceId, RegionId, RegionId), ShiftCap>,
    /// Limits on links by home region and serving region. Without an entry a link
    /// has no limit.
    pub links: HashMap<(RegionId, RegionId), LinkLimit>,
    /// Entry hosts that operators drain.
    pub draining_hosts: Vec<Name>,
}

impl Catalog {
    /// Looks up a region by name.
    pub fn region(&self, name: &str) -> Option<RegionId> {
        index_of(&self.regions, |r| &*r.name == name).map(RegionId)
    }

    /// Looks up a failure domain by name.
    pub fn domain(&self, name: &str) -> Option<DomainId> {
        index_of(&self.domains, |d| &*d.name == name).map(DomainId)
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        index_of(&self.services, |s| &*s.name == name).map(ServiceId)
    }

    /// Looks up the service selected by a value of the `Host` header; a port is
    /// ignored.
    pub fn service_by_host(&self, host: &str) -> Option<ServiceId> {
        let host = host.split(':').next().unwrap_or(host);
        index_of(&self.services, |s| s.hosts.iter().any(|h| &**h == host)).map(ServiceId)
    }

    /// Looks up a backend server by name.
    pub fn backend(&self, name: &str) -> Option<BackendId> {
        index_of(&self.backends, |b| &*b.name == name).map(BackendId)
    }

    /// Region of a backend server.
    pub fn region_of(&self, backend: &Backend) -> RegionId {
        self.domains[backend.domain.index()].region
    }

    /// Region of the failure domain with this name.
    pub fn region_of_domain(&self, name: &str) -> Option<RegionId> {
        self.domain(name).map(|id| self.domains[id.index()].region)
    }

    /// Whether a backend server, its failure domain or its region is being
    /// drained.
    pub fn is_draining(&self, backend: &Backend) -> bool {
        let domain = &self.domains[backend.domain.index()];
        backend.draining || domain.draining || self.regions[domain.region.index()].draining
    }

    /// One-way delay between two regions in microseconds; 0 if it is not
    /// configured.
    pub fn delay(&self, from: RegionId, to: RegionId) -> u64 {
        let delay = self.delays.get(&(from, to)).or_else(|| self.delays.get(&(to, from)));
        delay.copied().unwrap_or(0)
    }

    /// Backend servers of a region with their indexes.
    pub fn backends_in(&self, region: RegionId) -> impl Iterator<Item = (BackendId, &Backend)> {
        let all = self.backends.iter().enumerate();
        all.filter(move |(_, b)| self.region_of(b) == region).map(|(i, b)| (BackendId(i as u32), b))
    }
}

/// Index of the first element that matches.
fn index_of<T>(table: &[T], matches: impl FnMut(&T) -> bool) -> Option<u32> {
    table.iter().position(matches).map(|index| index as u32)
}
