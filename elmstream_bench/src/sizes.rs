//! Configurations of the users' sizes.

use std::net::SocketAddr;

use elmstream_config::{
    Configuration,
    document::{BackendServer, FailureDomain, Link, OncePolicy, Region, Service, ShiftCap, Site},
};

/// A user: its regions and services.
#[derive(Clone, Debug)]
pub struct User {
    /// Names of the regions, each with two failure domains.
    pub regions: [&'static str; 3],
    /// One-way delay between regions, in microseconds.
    pub region_delay_us: u64,
    /// Names of the services and their numbers of instances.
    pub services: [(&'static str, usize); 3],
}

/// Number of slots of each instance.
pub const SLOTS_PER_INSTANCE: u32 = 4;

/// Stadtwerke Leobental.
pub const LEOBENTAL: User = User {
    regions: ["steiermark", "kaernten", "salzburg"],
    region_delay_us: 10_000,
    services: [("order-status", 20), ("panel-release", 15), ("design-intake", 10)],
};

/// Kloofsig.
pub const KLOOFSIG: User = User {
    regions: ["boland", "gauteng", "kaapstad"],
    region_delay_us: 35_000,
    services: [("stock-catalogue", 20), ("allocation-booking", 10), ("label-intake", 10)],
};

impl User {
    /// Names of the failure domains, two in each region.
    pub fn domains(&self) -> Vec<String> {
        let of_region = |region: &&str| [format!("{region}-a"), format!("{region}-b")];
        self.regions.iter().flat_map(of_region).collect()
    }

    /// The user's configuration; `address` returns the address of an instance by name.
    pub fn configuration(&self, mut address: impl FnMut(&str) -> SocketAddr) -> Configuration {
        let mut c = Configuration {
            regions: self.regions.iter().map(|r| Region { name: (*r).into() }).collect(),
            ..Configuration::default()
        };
        for region in self.regions {
            for domain in ["a", "b"] {
                let name = format!("{region}-{domain}");
                c.failure_domains.push(FailureDomain { name, region: region.into() });
            }
        }
        c.sites = sites(&self.regions);
        for (index, (name, count)) in self.services.iter().enumerate() {
            c.services.push(service(index, name));
            for number in 0..*count {
                let domains = self.domains();
                let failure_domain = domains[number % domains.len()].clone();
                let name = format!("{name}-{:02}", number + 1);
                let address = address(&name);
                let service = self.services[index].0.into();
                let slots = SLOTS_PER_INSTANCE;
                c.backend_servers.push(BackendServer {
                    name,
                    service,
                    failure_domain,
                    address,
                    slots,
                });
            }
            c.shift_caps.extend(shift_caps(&self.regions, self.services[index].0));
        }
        c.links = links(&self.regions, self.region_delay_us);
        c
    }
}

/// One site for each region, with a private address block.
fn sites(regions: &[&str]) -> Vec<Site> {
    let site = |(index, region): (usize, &&str)| Site {
        name: format!("{region}-clients"),
        home_region: (*region).into(),
        blocks: vec![format!("10.{}.0.0/16", index + 1).parse().expect("the block is valid")],
    };
    regions.iter().enumerate().map(site).collect()
}

/// The first service is read often, the second must not be repeated, the third takes
/// uploads.
fn service(index: usize, name: &str) -> Service {
    Service {
        name: name.into(),
        hosts: vec![format!("{name}.example")],
        priority: index as u8,
        deadline_ms: if index == 2 { 60_000 } else { 2_000 },
        once: OncePolicy::TicketOptional,
        ..Service::default()
    }
}

/// A shift cap of 200 requests a second for each ordered pair of regions.
fn shift_caps(regions: &[&str], service: &str) -> Vec<ShiftCap> {
    let pair = |from: &str, to: &str| ShiftCap {
        service: service.into(),
        from: from.into(),
        to: to.into(),
        per_second: 200,
        ramp_ms: 2_000,
    };
    pairs(regions).map(|(from, to)| pair(from, to)).collect()
}

fn links(regions: &[&str], delay_us: u64) -> Vec<Link> {
    let link = |from: &str, to: &str| Link {
        from: from.into(),
        to: to.into(),
        delay_us,
        requests_per_second: 2_000,
        bytes_per_second: 50_000_000,
    };
    pairs(regions).map(|(from, to)| link(from, to)).collect()
}

/// All ordered pairs of different regions.
fn pairs<'a>(regions: &'a [&'a str]) -> impl Iterator<Item = (&'a str, &'a str)> {
    let others =
        |from: &'a str| regions.iter().filter(move |to| **to != from).map(move |to| (from, *to));
    regions.iter().flat_map(move |from| others(from))
}
