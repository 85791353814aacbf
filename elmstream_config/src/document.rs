//! The configuration as operators write it, in JSON.

use std::net::SocketAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// The whole configuration. Every field is a table and empty by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Configuration {
    /// Regions.
    pub regions: Vec<Region>,
    /// Failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// Sites and the address blocks of their clients.
    pub sites: Vec<Site>,
    /// Services and their policies.
    pub services: Vec<Service>,
    /// Backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// Limits on requests that are served outside their home region.
    pub shift_caps: Vec<ShiftCap>,
    /// Links between regions, with delay and limits.
    pub links: Vec<Link>,
    /// Drained entities; they get no new requests.
    pub drains: Vec<Drain>,
}

/// A region, which contains failure domains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: String,
}

/// A failure domain: hosts and backend servers that may fail together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Its name.
    pub name: String,
    /// Name of the region that contains it.
    pub region: String,
}

/// A site: clients that share a home region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Name of the region that serves its clients first.
    pub home_region: String,
    /// Address blocks of its clients.
    #[serde(default)]
    pub blocks: Vec<IpNet>,
}

/// What an entry host does with a service's requests while its state may be
/// outdated.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Isolation {
    /// Serves them in its own region only.
    #[default]
    OwnRegion,
    /// Refuses them as not run.
    Stop,
}

/// How requests that may not be repeated are kept from running twice.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OncePolicy {
    /// By a ticket, if the caller sends one.
    #[default]
    TicketOptional,
    /// By a ticket, which the caller must send.
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
    /// Values of the `Host` header that select it.
    pub hosts: Vec<String>,
    /// Priority under overload, from 0 (served first) to 9 (served last).
    pub priority: u8,
    /// Share of live slots that all requests together may use, in percent.
    pub load_limit_percent: u32,
    /// Share of live slots reserved from requests of other regions, in percent.
    pub headroom_percent: u32,
    /// Longest time that a request may take, in milliseconds.
    pub deadline_ms: u64,
    /// Retries allowed, in percent of first attempts.
    pub retry_percent: u32,
    /// Requests that may wait for each slot of an owner.
    pub queue_per_slot: u32,
    /// Methods whose requests may be repeated.
    pub repeatable_methods: Vec<String>,
    /// Path prefixes whose requests may be repeated whatever the method.
    pub repeatable_paths: Vec<String>,
    /// How requests that may not be repeated run at most once.
    pub once: OncePolicy,
    /// What an entry host does while its state may be outdated.
    pub isolation: Isolation,
    /// Time in which a cold backend server ramps up to its share, in milliseconds.
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

/// A backend server, which runs requests of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its name.
    pub name: String,
    /// Name of the service that it runs.
    pub service: String,
    /// Name of the failure domain that contains it.
    pub failure_domain: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
}

/// Limit on the requests of one service that one region serves for another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftCap {
    /// Name of the service.
    pub service: String,
    /// The callers' home region.
    pub from: String,
    /// The region that serves the requests.
    pub to: String,
    /// Maximum number of requests in any second.
    pub per_second: u32,
    /// Time in which a new shift ramps up to the cap, in milliseconds.
    #[serde(default)]
    pub ramp_ms: u64,
}

/// A link between two regions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Region at one end.
    pub from: String,
    /// Region at the other end.
    pub to: String,
    /// One-way delay, in microseconds.
    #[serde(default)]
    pub delay_us: u64,
    /// Maximum number of requests in any second; 0 means unlimited.
    #[serde(default)]
    pub requests_per_second: u32,
    /// Maximum number of body bytes in any second, both directions together; 0
    /// means unlimited.
    #[serde(default)]
    pub bytes_per_second: u64,
}

/// Kind of a drained entity.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainKind {
    /// A backend server.
    BackendServer,
    /// A failure domain.
    FailureDomain,
    /// A region.
    Region,
    /// An entry host, by its name in the platform's host list.
    EntryHost,
}

/// An entity that gets no new requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Kind of the entity.
    pub kind: DrainKind,
    /// The entity's name.
    pub name: String,
}

impl Configuration {
    /// Parses a configuration and checks it.
    ///
    /// Returns [`Error::Syntax`] if the text is not JSON of this form, and the
    /// first error of [`check`](crate::check::check) otherwise.
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

    /// Returns the canonical text: JSON with keys in declaration order, indented by
    /// two spaces.
    pub fn to_text(&self) -> String {
        serde_json::to_string_pretty(self).expect("configuration keys are strings")
    }
}
