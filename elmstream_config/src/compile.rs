//! Compiles the operator configuration into the core's [`Catalog`].

use std::{collections::HashMap, hash::Hash};

use elmstream::{
    block::{Block, BlockTable},
    catalog::{self, Catalog},
    id::{DomainId, RegionId, ServiceId, SiteId},
    time::MILLI,
};

use crate::document::{Configuration, DrainKind, Isolation, OncePolicy, Service};

/// Compiles a valid configuration into the catalog of the given revision.
///
/// [`Configuration::parse`] runs the checks, so every reference resolves; an
/// entity with an unresolved reference would be left out.
pub fn compile(c: &Configuration, revision: u64) -> Catalog {
    let index = Index::new(c);
    let drained = |kind, name: &str| c.drains.iter().any(|d| d.kind == kind && d.name == name);
    let region = |r: &crate::document::Region| catalog::Region {
        name: r.name.as_str().into(),
        draining: drained(DrainKind::Region, &r.name),
    };
    let domain = |d: &crate::document::FailureDomain| {
        Some(catalog::Domain {
            name: d.name.as_str().into(),
            region: RegionId(*index.regions.get(d.region.as_str())?),
            draining: drained(DrainKind::FailureDomain, &d.name),
        })
    };
    let backend = |b: &crate::document::BackendServer| {
        Some(catalog::Backend {
            name: b.name.as_str().into(),
            service: ServiceId(*index.services.get(b.service.as_str())?),
            domain: DomainId(*index.domains.get(b.failure_domain.as_str())?),
            address: b.address,
            slots: b.slots,
            draining: drained(DrainKind::BackendServer, &b.name),
        })
    };
    let hosts = c.drains.iter().filter(|d| d.kind == DrainKind::EntryHost);
    Catalog {
        revision,
        regions: c.regions.iter().map(region).collect(),
        domains: c.failure_domains.iter().filter_map(domain).collect(),
        sites: sites(c, &index),
        services: c.services.iter().map(service).collect(),
        backends: c.backend_servers.iter().filter_map(backend).collect(),
        blocks: blocks(c),
        delays: delays(c, &index),
        shift_caps: shift_caps(c, &index),
        links: links(c, &index),
        draining_hosts: hosts.map(|d| d.name.as_str().into()).collect(),
    }
}

/// Position of each entity in its table, by name; the core uses it as id.
struct Index<'a> {
    regions: HashMap<&'a str, u32>,
    domains: HashMap<&'a str, u32>,
    services: HashMap<&'a str, u32>,
}

impl<'a> Index<'a> {
    fn new(c: &'a Configuration) -> Index<'a> {
        Index {
            regions: positions(c.regions.iter().map(|r| r.name.as_str())),
            domains: positions(c.failure_domains.iter().map(|d| d.name.as_str())),
            services: positions(c.services.iter().map(|s| s.name.as_str())),
        }
    }

    fn region_pair(&self, from: &str, to: &str) -> Option<(RegionId, RegionId)> {
        Some((RegionId(*self.regions.get(from)?), RegionId(*self.regions.get(to)?)))
    }
}

fn positions<K: Hash + Eq>(keys: impl Iterator<Item = K>) -> HashMap<K, u32> {
    keys.zip(0..).collect()
}

fn sites(c: &Configuration, index: &Index<'_>) -> Vec<catalog::Site> {
    let site = |s: &crate::document::Site| {
        let home = RegionId(*index.regions.get(s.home_region.as_str())?);
        Some(catalog::Site { name: s.name.as_str().into(), home })
    };
    c.sites.iter().filter_map(site).collect()
}

fn service(s: &Service) -> catalog::Service {
    let names = |list: &[String]| list.iter().map(|n| n.as_str().into()).collect();
    catalog::Service {
        name: s.name.as_str().into(),
        hosts: names(&s.hosts),
        priority: s.priority,
        load_limit_percent: s.load_limit_percent,
        headroom_percent: s.headroom_percent,
        deadline: s.deadline_ms * MILLI,
        retry_percent: s.retry_percent,
        queue_per_slot: s.queue_per_slot,
        repeatable_methods: names(&s.repeatable_methods),
        repeatable_paths: names(&s.repeatable_paths),
        once: match s.once {
            OncePolicy::TicketOptional => catalog::OncePolicy::TicketOptional,
            OncePolicy::TicketRequired => catalog::OncePolicy::TicketRequired,
            OncePolicy::Claim => catalog::OncePolicy::Claim,
        },
        isolation: match s.isolation {
            Isolation::OwnRegion => catalog::Isolation::OwnRegion,
            Isolation::Stop => catalog::Isolation::Stop,
        },
        slow_start: s.slow_start_ms * MILLI,
    }
}

fn blocks(c: &Configuration) -> BlockTable {
    let mut blocks = Vec::new();
    for (site, id) in c.sites.iter().zip(0..) {
        let block = |b: &ipnet::IpNet| Block::new(b.network(), b.prefix_len(), SiteId(id));
        blocks.extend(site.blocks.iter().map(block));
    }
    BlockTable::new(blocks)
}

fn delays(c: &Configuration, index: &Index<'_>) -> HashMap<(RegionId, RegionId), u64> {
    let delay = |l: &crate::document::Link| Some((index.region_pair(&l.from, &l.to)?, l.delay_us));
    c.links.iter().filter_map(delay).collect()
}

fn links(
    c: &Configuration,
    index: &Index<'_>,
) -> HashMap<(RegionId, RegionId), catalog::LinkLimit> {
    let limited = c.links.iter().filter(|l| l.requests_per_second > 0 || l.bytes_per_second > 0);
    let link = |l: &crate::document::Link| {
        let limit = catalog::LinkLimit {
            requests_per_second: l.requests_per_second,
            bytes_per_second: l.bytes_per_second,
        };
        Some((index.region_pair(&l.from, &l.to)?, limit))
    };
    limited.filter_map(link).collect()
}

type Caps = HashMap<(ServiceId, RegionId, RegionId), catalog::ShiftCap>;

fn shift_caps(c: &Configuration, index: &Index<'_>) -> Caps {
    let cap = |s: &crate::document::ShiftCap| {
        let service = ServiceId(*index.services.get(s.service.as_str())?);
        let (from, to) = index.region_pair(&s.from, &s.to)?;
        let cap = catalog::ShiftCap { per_second: s.per_second, ramp: s.ramp_ms * MILLI };
        Some(((service, from, to), cap))
    };
    c.shift_caps.iter().filter_map(cap).collect()
}
