//! Checks of a configuration beyond its form.

use std::collections::{HashMap, HashSet};

use ipnet::IpNet;

use crate::{
    document::{Configuration, Drain, DrainKind, Service, Site},
    error::Error,
};

/// Slots of a backend server at most.
const SLOTS_MAX: u32 = 10_000;
/// The longest deadline, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;
/// The lowest priority.
const PRIORITY_MAX: u8 = 9;

/// Checks names, references and ranges. The first fault found is told.
pub fn check(configuration: &Configuration) -> Result<(), Error> {
    check_but_blocks(configuration)?;
    check_blocks(configuration)
}

/// Checks a configuration that differs from a good one in these sites and in
/// other tables: only blocks of these sites can contradict others.
pub(crate) fn check_edited(
    configuration: &Configuration,
    sites: &HashSet<&str>,
) -> Result<(), Error> {
    check_but_blocks(configuration)?;
    match sites.is_empty() {
        true => Ok(()),
        false => check_blocks_of(configuration, sites),
    }
}

fn check_but_blocks(configuration: &Configuration) -> Result<(), Error> {
    let names = Names::of(configuration)?;
    check_places(configuration, &names)?;
    configuration.services.iter().enumerate().try_for_each(|(i, s)| check_service(i, s))?;
    check_backend_servers(configuration, &names)?;
    check_between_regions(configuration, &names)?;
    configuration.drains.iter().enumerate().try_for_each(|(i, d)| check_drain(i, d, &names))
}

/// The names of each kind.
struct Names<'a> {
    regions: HashSet<&'a str>,
    domains: HashSet<&'a str>,
    services: HashSet<&'a str>,
    backend_servers: HashSet<&'a str>,
}

impl<'a> Names<'a> {
    fn of(c: &'a Configuration) -> Result<Names<'a>, Error> {
        unique("sites", c.sites.iter().map(|s| s.name.as_str()))?;
        Ok(Names {
            regions: unique("regions", c.regions.iter().map(|r| r.name.as_str()))?,
            domains: unique("failure_domains", c.failure_domains.iter().map(|d| d.name.as_str()))?,
            services: unique("services", c.services.iter().map(|s| s.name.as_str()))?,
            backend_servers: unique(
                "backend_servers",
                c.backend_servers.iter().map(|b| b.name.as_str()),
            )?,
        })
    }
}

fn unique<'a>(path: &str, names: impl Iterator<Item = &'a str>) -> Result<HashSet<&'a str>, Error> {
    let mut seen = HashSet::new();
    for name in names {
        range(!name.is_empty(), path, "a name is empty")?;
        if !seen.insert(name) {
            return Err(Error::Duplicate { path: path.into(), name: name.into() });
        }
    }
    Ok(seen)
}

fn range(holds: bool, path: &str, reason: &str) -> Result<(), Error> {
    if holds {
        return Ok(());
    }
    Err(Error::Range { path: path.into(), reason: reason.into() })
}

fn refers(
    names: &HashSet<&str>,
    kind: &'static str,
    name: &str,
    path: String,
) -> Result<(), Error> {
    if names.contains(name) {
        return Ok(());
    }
    Err(Error::Reference { path, kind, name: name.into() })
}

fn check_places(c: &Configuration, names: &Names<'_>) -> Result<(), Error> {
    for (i, domain) in c.failure_domains.iter().enumerate() {
        refers(&names.regions, "region", &domain.region, format!("failure_domains[{i}].region"))?;
    }
    for (i, site) in c.sites.iter().enumerate() {
        refers(&names.regions, "region", &site.home_region, format!("sites[{i}].home_region"))?;
    }
    Ok(())
}

/// Equal blocks of two sites contradict; a block inside another does not.
fn check_blocks(c: &Configuration) -> Result<(), Error> {
    let of_site = |(i, site): (usize, &'_ Site)| {
        let blocks: Vec<_> =
            site.blocks.iter().enumerate().map(|(j, b)| (b.trunc(), i, j)).collect();
        blocks
    };
    let mut blocks: Vec<(IpNet, usize, usize)> =
        c.sites.iter().enumerate().flat_map(of_site).collect();
    blocks.sort_unstable();
    let Some(pair) = blocks.windows(2).find(|pair| pair[0].0 == pair[1].0) else { return Ok(()) };
    let (block, i, j) = pair[1];
    Err(overlap(c, block, (i, j), pair[0].1))
}

/// The same for the blocks of a few sites against all, without sorting all.
fn check_blocks_of(c: &Configuration, sites: &HashSet<&str>) -> Result<(), Error> {
    let is_edited = |site: &Site| sites.contains(site.name.as_str());
    let blocks = |edited: bool| {
        let chosen = c.sites.iter().enumerate().filter(move |(_, s)| is_edited(s) == edited);
        chosen.flat_map(|(i, s)| s.blocks.iter().enumerate().map(move |(j, b)| (b.trunc(), i, j)))
    };
    let mut claimed = HashMap::new();
    for (block, i, j) in blocks(true) {
        if let Some(other) = claimed.insert(block, i) {
            return Err(overlap(c, block, (i, j), other));
        }
    }
    match blocks(false).find(|(block, ..)| claimed.contains_key(block)) {
        Some((block, i, j)) => Err(overlap(c, block, (i, j), claimed[&block])),
        None => Ok(()),
    }
}

/// Block *j* of site *i* stands at another site as well.
fn overlap(c: &Configuration, block: IpNet, (i, j): (usize, usize), other: usize) -> Error {
    let path = format!("sites[{i}].blocks[{j}]");
    Error::Overlap { path, block: block.to_string(), other: c.sites[other].name.clone() }
}

fn check_service(i: usize, s: &Service) -> Result<(), Error> {
    let path = |key: &str| format!("services[{i}].{key}");
    let deadline = (1..=DEADLINE_MAX_MS).contains(&s.deadline_ms);
    range(deadline, &path("deadline_ms"), "must be from 1 to 3600000")?;
    range(s.priority <= PRIORITY_MAX, &path("priority"), "must be from 0 to 9")?;
    let limit = (1..=100).contains(&s.load_limit_percent);
    range(limit, &path("load_limit_percent"), "must be from 1 to 100")?;
    let headroom = s.headroom_percent <= s.load_limit_percent;
    range(headroom, &path("headroom_percent"), "must not be above load_limit_percent")?;
    range(s.retry_percent <= 100, &path("retry_percent"), "must not be above 100")?;
    range(s.queue_per_slot <= 1_000, &path("queue_per_slot"), "must not be above 1000")
}

fn check_backend_servers(c: &Configuration, names: &Names<'_>) -> Result<(), Error> {
    for (i, b) in c.backend_servers.iter().enumerate() {
        let path = |key: &str| format!("backend_servers[{i}].{key}");
        refers(&names.services, "service", &b.service, path("service"))?;
        refers(&names.domains, "failure domain", &b.failure_domain, path("failure_domain"))?;
        range((1..=SLOTS_MAX).contains(&b.slots), &path("slots"), "must be from 1 to 10000")?;
        range(b.address.port() != 0, &path("address"), "the port is 0")?;
    }
    Ok(())
}

fn check_between_regions(c: &Configuration, names: &Names<'_>) -> Result<(), Error> {
    let mut caps = HashSet::new();
    for (i, cap) in c.shift_caps.iter().enumerate() {
        let path = |key: &str| format!("shift_caps[{i}].{key}");
        refers(&names.services, "service", &cap.service, path("service"))?;
        check_pair(names, &cap.from, &cap.to, &path)?;
        let key = (&cap.service, &cap.from, &cap.to);
        range(caps.insert(key), &path("service"), "this shift has a cap already")?;
    }
    let mut links = HashSet::new();
    for (i, link) in c.links.iter().enumerate() {
        let path = |key: &str| format!("links[{i}].{key}");
        check_pair(names, &link.from, &link.to, &path)?;
        range(links.insert((&link.from, &link.to)), &path("from"), "this link stands twice")?;
    }
    Ok(())
}

fn check_pair(
    names: &Names<'_>,
    from: &str,
    to: &str,
    path: &dyn Fn(&str) -> String,
) -> Result<(), Error> {
    refers(&names.regions, "region", from, path("from"))?;
    refers(&names.regions, "region", to, path("to"))?;
    range(from != to, &path("to"), "must be another region than from")
}

fn check_drain(i: usize, drain: &Drain, names: &Names<'_>) -> Result<(), Error> {
    let path = format!("drains[{i}].name");
    match drain.kind {
        DrainKind::BackendServer => {
            refers(&names.backend_servers, "backend server", &drain.name, path)
        }
        DrainKind::FailureDomain => refers(&names.domains, "failure domain", &drain.name, path),
        DrainKind::Region => refers(&names.regions, "region", &drain.name, path),
        // Entry hosts stand in the host list, which the configuration does not know.
        DrainKind::EntryHost => Ok(()),
    }
}
