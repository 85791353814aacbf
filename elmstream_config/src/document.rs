//! The operators' configuration as they write it, in JSON.

use std::net::SocketAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// The whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Configuration {
    /// Regions.
    pub regions: Vec<Region>,
    /// Failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// Sites and their blocks of clients.
    pub sites: Vec<Site>,
    /// Services and their policies.
    pub services: Vec<Service>,
    /// Backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// Bounds on shifts between regions.
    pub shift_caps: Vec<ShiftCap>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// What is drained.
    pub drains: Vec<Drain>,
}

/// A region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: String,
}

/// A failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Its name.
    pub name: String,
    /// The region that it lies in.
    pub region: String,
}

/// A site.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// The region that serves its clients first.
    pub home_region: String,
    /// Its blocks of clients.
    #[serde(default)]
    pub blocks: Vec<IpNet>,
}

/// What a host that may be behind does with a service's requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Isolation {
    /// Goes on, in its own region only.
    #[default]
    OwnRegion,
    /// Answers "not run".
    Stop,
}

/// How a request that may not be repeated is kept from running twice.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OncePolicy {
    /// By a ticket where the caller brings one.
    #[default]
    TicketOptional,
    /// By a ticket, which the caller must bring.
    TicketRequired,
    /// By a claim row in the table service.
    Claim,
}

/// A service and its policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Values of `Host` that name it.
    pub hosts: Vec<String>,
    /// Priority under overload; 0 goes first, 9 last.
    pub priority: u8,
    /// Share of live slots that all requests may use, in percent.
    pub load_limit_percent: u32,
    /// Share of live slots kept back from other regions' requests, in percent.
    pub headroom_percent: u32,
    /// Time that a request may take at most, in milliseconds.
    pub deadline_ms: u64,
    /// Retries in percent of first tries.
    pub retry_percent: u32,
    /// Requests that may wait, for each slot of an owner.
    pub queue_per_slot: u32,
    /// Methods whose requests may be repeated.
    pub repeatable_methods: Vec<String>,
    /// Path prefixes whose requests may be repeated by any method.
    pub repeatable_paths: Vec<String>,
    /// How requests that may not be repeated run at most once.
    pub once: OncePolicy,
    /// What a host that may be behind does.
    pub isolation: Isolation,
    /// Time in which a cold backend server reaches its share, in milliseconds.
    pub slow_start_ms: u64,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            name: String::new(),
            hosts: Vec::new(),
            priority: 5,
            load_limit_percent: 100,
            headroom_percent: 20,
            deadline_ms: 2_000,
            retry_percent: 10,
            queue_per_slot: 4,
            repeatable_methods: ["GET", "HEAD", "OPTIONS"].map(String::from).to_vec(),
            repeatable_paths: Vec::new(),
            once: OncePolicy::default(),
            isolation: Isolation::default(),
            slow_start_ms: 0,
        }
    }
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its name.
    pub name: String,
    /// The service that it runs.
    pub service: String,
    /// The failure domain that it stands in.
    pub failure_domain: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u32,
}

/// The bound on a shift.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftCap {
    /// The service.
    pub service: String,
    /// The callers' home region.
    pub from: String,
    /// The region that serves.
    pub to: String,
    /// Requests in any second.
    pub per_second: u32,
    /// Time in which a new shift grows to the cap, in milliseconds.
    #[serde(default)]
    pub ramp_ms: u64,
}

/// A link between two regions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One region.
    pub from: String,
    /// The other region.
    pub to: String,
    /// Delay one way, in microseconds.
    #[serde(default)]
    pub delay_us: u64,
    /// Requests in any second; 0 is no bound.
    #[serde(default)]
    pub requests_per_second: u32,
    /// Bytes of bodies, both ways, in any second; 0 is no bound.
    #[serde(default)]
    pub bytes_per_second: u64,
}

/// What kind of entity a drain names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainKind {
    /// A backend server.
    BackendServer,
    /// A failure domain.
    FailureDomain,
    /// A region.
    Region,
    /// An entry host.
    EntryHost,
}

/// A drain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The kind of the entity.
    pub kind: DrainKind,
    /// The entity's name.
    pub name: String,
}

impl Configuration {
    /// Reads a configuration and checks it.
    pub fn parse(text: &str) -> Result<Configuration, Error> {
        let mut source = serde_json::Deserializer::from_str(text);
        let parsed: Result<Configuration, _> = serde_path_to_error::deserialize(&mut source);
        let configuration = parsed.map_err(|error| Error::Syntax {
            path: error.path().to_string(),
            reason: error.inner().to_string(),
        })?;
        source.end().map_err(|e| Error::Syntax { path: ".".into(), reason: e.to_string() })?;
        crate::check::check(&configuration)?;
        Ok(configuration)
    }

    /// The canonical text: keys in the order of the types, two spaces.
    pub fn to_text(&self) -> String {
        serde_json::to_string_pretty(self).expect("a configuration has no map with other keys")
    }
}
