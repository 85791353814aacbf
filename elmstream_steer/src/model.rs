//! What an outside authority tells: routes, services, limits, backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeatability {
    /// It may run again after any failure.
    Safe,
    /// It runs at most once.
    Once,
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its part, relative to the other parts of the route.
    pub weight: f64,
}

/// Requests of one host and path prefix, and how they are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host that the caller asks for, without a port.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may run again.
    pub repeat: Repeatability,
    /// Backend servers that one request is sent to at most.
    pub attempts: u32,
    /// Time in which a request gets its final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which an answer is of full use, in milliseconds.
    pub objective_ms: u64,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests of one key should meet the same backend server.
    pub affinity: bool,
    /// Regions in which the requests may run; empty for any.
    pub homes: Vec<String>,
    /// Services that the requests are divided among; at least one.
    pub parts: Vec<WeightedService>,
    /// Whether requests need no workspace's key.
    #[serde(default)]
    pub open: bool,
}

/// Callers who share keys, a limit and homes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workspace {
    /// Its name, which backend servers are told.
    pub name: String,
    /// Digests of its keys; the keys themselves stay with whoever reads the store.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, in place of the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Requests a second that it may make of all hosts together; 0 for any number.
    pub rate_per_s: f64,
    /// Requests on top of that.
    pub burst: f64,
    /// Regions in which its requests may run; empty for any. A route's homes bind too.
    pub homes: Vec<String>,
}

/// A service that backend servers belong to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Time that a backend server stays cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a cold backend server bears.
    pub cold_per_s: f64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time in which a head must have come, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A whole configuration; a higher version replaces a lower one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services that routes name.
    pub services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Workspaces; with none, no route asks for a key.
    pub workspaces: Vec<Workspace>,
}

/// A start of a backend server, as it tells of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Server {
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave and gets no new requests.
    pub draining: bool,
    /// How much longer it is cold, in milliseconds, when this was told.
    pub cold_ms: u64,
    /// Tells its starts apart if one comes back under its id; 0 if that is not told.
    pub born: u64,
    /// Number of this entry among those of its start; 0 if that is not told.
    pub entries: u64,
    /// Version of its software; empty if that is not told.
    #[serde(default)]
    pub version: String,
}

impl Server {
    /// Whether two entries say the same, however many have been written.
    pub fn same_content(&self, other: &Server) -> bool {
        let Server {
            service,
            address,
            domain,
            slots,
            draining,
            cold_ms,
            born,
            version,
            entries: _,
        } = self;
        (service, address, domain, slots)
            == (&other.service, &other.address, &other.domain, &other.slots)
            && (draining, cold_ms, born) == (&other.draining, &other.cold_ms, &other.born)
            && *version == other.version
    }
}
