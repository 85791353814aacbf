//! Validates a parsed configuration: names, references, ranges and blocks.

use std::collections::{HashMap, HashSet};

use ipnet::IpNet;

use crate::{
    document::{Configuration, Drain, DrainKind, Service, Site},
    error::Error,
};

/// Maximum number of slots of a backend server.
const BACKEND_SLOTS_MAX: u32 = 10_000;
/// Longest deadline of a service, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;
/// Highest priority number, which is the least important priority.
const PRIORITY_MAX: u8 = 9;

/// Checks names, references, ranges and client blocks.
///
/// Returns the first error found.
pub fn check(configuration: &Configuration) -> Result<(), Error> {
    check_except_blocks(configuration)?;
    check_blocks(configuration)
}

/// Checks a configuration that was derived from a valid one by edits.
///
/// `sites` names every edited site. Only their blocks can conflict with others,
/// so the blocks of all other sites are not compared with each other again.
pub(crate) fn check_edited(
    configuration: &Configuration,
    sites: &HashSet<&str>,
) -> Result<(), Error> {
    check_except_blocks(configuration)?;
    match sites.is_empty() {
        true => Ok(()),
        false => check_edited_blocks(configuration, sites),
    }
}

fn check_except_blocks(configuration: &Configuration) -> Result<(), Error> {
    let names = Names::of(configuration)?;
    check_locations(configuration, &names)?;
    configuration.services.iter().enumerate().try_for_each(|(i, s)| check_service(i, s))?;
    check_backend_servers(configuration, &names)?;
    check_caps_and_links(configuration, &names)?;
    configuration.drains.iter().enumerate().try_for_each(|(i, d)| check_drain(i, d, &names))
}

/// Names of the entities that others refer to, by kind.
struct Names<'a> {
    regions: HashSet<&'a str>,
    domains: HashSet<&'a str>,
    services: HashSet<&'a str>,
    backend_servers: HashSet<&'a str>,
}

impl<'a> Names<'a> {
    fn of(c: &'a Configuration) -> Result<Names<'a>, Error> {
        unique_names("sites", c.sites.iter().map(|s| s.name.as_str()))?;
        Ok(Names {
            regions: unique_names("regions", c.regions.iter().map(|r| r.name.as_str()))?,
            domains: unique_names(
                "failure_domains",
                c.failure_domains.iter().map(|d| d.name.as_str()),
            )?,
            services: unique_names("services", c.services.iter().map(|s| s.name.as_str()))?,
            backend_servers: unique_names(
                "backend_servers",
                c.backend_servers.iter().map(|b| b.name.as_str()),
            )?,
        })
    }
}

fn unique_names<'a>(
    path: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<HashSet<&'a str>, Error> {
    let mut seen = HashSet::new();
    for name in names {
        require(!name.is_empty(), path, "names must not be empty")?;
        if !seen.insert(name) {
            return Err(Error::Duplicate { path: path.into(), name: name.into() });
        }
    }
    Ok(seen)
}

fn require(condition: bool, path: &str, reason: &str) -> Result<(), Error> {
    if condition {
        return Ok(());
    }
    Err(Error::Range { path: path.into(), reason: reason.into() })
}

fn check_reference(
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

fn check_locations(c: &Configuration, names: &Names<'_>) -> Result<(), Error> {
    for (i, domain) in c.failure_domains.iter().enumerate() {
        check_reference(
            &names.regions,
            "region",
            &domain.region,
            format!("failure_domains[{i}].region"),
        )?;
    }
    for (i, site) in c.sites.iter().enumerate() {
        check_reference(
            &names.regions,
            "region",
            &site.home_region,
            format!("sites[{i}].home_region"),
        )?;
    }
    Ok(())
}

/// Rejects equal blocks. A block may lie inside another: the longest prefix wins.
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
    Err(overlap_error(c, block, (i, j), pair[0].1))
}

/// Rejects blocks of the given sites that equal any other block.
///
/// Uses a map of the edited blocks instead of sorting the blocks of all sites.
fn check_edited_blocks(c: &Configuration, sites: &HashSet<&str>) -> Result<(), Error> {
    let is_edited = |site: &Site| sites.contains(site.name.as_str());
    let blocks = |edited: bool| {
        let chosen = c.sites.iter().enumerate().filter(move |(_, s)| is_edited(s) == edited);
        chosen.flat_map(|(i, s)| s.blocks.iter().enumerate().map(move |(j, b)| (b.trunc(), i, j)))
    };
    let mut claimed = HashMap::new();
    for (block, i, j) in blocks(true) {
        if let Some(other) = claimed.insert(block, i) {
            return Err(overlap_error(c, block, (i, j), other));
        }
    }
    match blocks(false).find(|(block, ..)| claimed.contains_key(block)) {
        Some((block, i, j)) => Err(overlap_error(c, block, (i, j), claimed[&block])),
        None => Ok(()),
    }
}

/// The error for block `j` of site `i`, which site `other` has too.
fn overlap_error(c: &Configuration, block: IpNet, (i, j): (usize, usize), other: usize) -> Error {
    let path = format!("sites[{i}].blocks[{j}]");
    Error::Overlap { path, block: block.to_string(), other: c.sites[other].name.clone() }
}

fn check_service(i: usize, s: &Service) -> Result<(), Error> {
    let path = |key: &str| format!("services[{i}].{key}");
    let deadline = (1..=DEADLINE_MAX_MS).contains(&s.deadline_ms);
    require(deadline, &path("deadline_ms"), "must be from 1 to 3600000")?;
    require(s.priority <= PRIORITY_MAX, &path("priority"), "must be from 0 to 9")?;
    let limit = (1..=100).contains(&s.load_limit_percent);
    require(limit, &path("load_limit_percent"), "must be from 1 to 100")?;
    let headroom = s.headroom_percent <= s.load_limit_percent;
    require(headroom, &path("headroom_percent"), "must not be above load_limit_percent")?;
    require(s.retry_percent <= 100, &path("retry_percent"), "must not be above 100")?;
    require(s.queue_per_slot <= 1_000, &path("queue_per_slot"), "must not be above 1000")
}

fn check_backend_servers(c: &Configuration, names: &Names<'_>) -> Result<(), Error> {
    for (i, b) in c.backend_servers.iter().enumerate() {
        let path = |key: &str| format!("backend_servers[{i}].{key}");
        check_reference(&names.services, "service", &b.service, path("service"))?;
        check_reference(
            &names.domains,
            "failure domain",
            &b.failure_domain,
            path("failure_domain"),
        )?;
        require(
            (1..=BACKEND_SLOTS_MAX).contains(&b.slots),
            &path("slots"),
            "must be from 1 to 10000",
        )?;
        require(b.address.port() != 0, &path("address"), "the port must not be 0")?;
    }
    Ok(())
}

fn check_caps_and_links(c: &Configuration, names: &Names<'_>) -> Result<(), Error> {
    let mut caps = HashSet::new();
    for (i, cap) in c.shift_caps.iter().enumerate() {
        let path = |key: &str| format!("shift_caps[{i}].{key}");
        check_reference(&names.services, "service", &cap.service, path("service"))?;
        check_region_pair(names, &cap.from, &cap.to, &path)?;
        let key = (&cap.service, &cap.from, &cap.to);
        require(
            caps.insert(key),
            &path("service"),
            "duplicate cap for this service and these regions",
        )?;
    }
    let mut links = HashSet::new();
    for (i, link) in c.links.iter().enumerate() {
        let path = |key: &str| format!("links[{i}].{key}");
        check_region_pair(names, &link.from, &link.to, &path)?;
        require(links.insert((&link.from, &link.to)), &path("from"), "duplicate link")?;
    }
    Ok(())
}

fn check_region_pair(
    names: &Names<'_>,
    from: &str,
    to: &str,
    path: &dyn Fn(&str) -> String,
) -> Result<(), Error> {
    check_reference(&names.regions, "region", from, path("from"))?;
    check_reference(&names.regions, "region", to, path("to"))?;
    require(from != to, &path("to"), "must differ from `from`")
}

fn check_drain(i: usize, drain: &Drain, names: &Names<'_>) -> Result<(), Error> {
    let path = format!("drains[{i}].name");
    match drain.kind {
        DrainKind::BackendServer => {
            check_reference(&names.backend_servers, "backend server", &drain.name, path)
        }
        DrainKind::FailureDomain => {
            check_reference(&names.domains, "failure domain", &drain.name, path)
        }
        DrainKind::Region => check_reference(&names.regions, "region", &drain.name, path),
        // Entry hosts come from the platform's host list, not from the configuration.
        DrainKind::EntryHost => Ok(()),
    }
}
