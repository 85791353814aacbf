//! Data of the external store: routes, services, limits, workspaces and backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeatability {
    /// The request may run again after any failure.
    Safe,
    /// The request runs at most once.
    Once,
}

/// A service and its weight among the services of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to the other weights of the route.
    pub weight: f64,
}

/// Requests with one host and path prefix, and how they are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name in the request, without a port.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may run again.
    pub repeat: Repeatability,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Time within which a request gets its final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is fully useful, in milliseconds.
    pub objective_ms: u64,
    /// Priority among the routes; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests with one affinity key should go to one backend server.
    pub affinity: bool,
    /// Regions in which the requests may run; empty for any.
    pub homes: Vec<String>,
    /// Services that share the requests; at least one.
    pub parts: Vec<WeightedService>,
    /// Whether requests need no workspace key.
    #[serde(default)]
    pub open: bool,
}

/// A group of callers with common keys, limit and home regions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace; it is passed on to backend servers.
    pub name: String,
    /// Digests of the workspace's keys. The keys themselves stay with the reader of the store.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, which replaces that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Requests per second that all hosts together admit; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that may be made at once in addition to the rate.
    pub burst: f64,
    /// Regions in which its requests may run; empty for any. The route's home regions apply as
    /// well.
    pub homes: Vec<String>,
}

/// A service, which backend servers run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Time for which a backend server is cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Requests per second that a cold backend server can handle.
    pub cold_per_s: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum length of a request's head, in bytes.
    pub header_bytes: u64,
    /// Maximum length of a request's body, in bytes.
    pub body_bytes: u64,
    /// Time within which a head must have arrived, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
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

/// A complete configuration; a higher version replaces a lower one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version; it increases with each change, not necessarily by one.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Workspaces. Without any, no route requires a key.
    pub workspaces: Vec<Workspace>,
}

/// A start of a backend server, as it registers itself in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Server {
    /// Name of the service that it runs.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and gets no new requests.
    pub draining: bool,
    /// Remaining time for which it is cold, in milliseconds, when this entry was written.
    pub cold_ms: u64,
    /// When it started, in milliseconds since the Unix epoch by its own clock; 0 if unknown. It
    /// distinguishes starts that use one id.
    pub born: u64,
    /// Sequence number of this entry among those of its start; 0 if unknown.
    pub entries: u64,
    /// Version of its software; empty if unknown.
    #[serde(default)]
    pub version: String,
}

/// Position of an entry among those that a backend server writes under its id.
///
/// The store may complete a write seconds after the server gave up on it, so the versions of the
/// store do not tell which of two entries the server wrote later.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryNumber {
    /// The start that wrote the entry, as in [`Server::born`].
    pub born: u64,
    /// Sequence number among the entries of that start, as in [`Server::entries`].
    pub entries: u64,
}

impl EntryNumber {
    /// Whether the entry was written before another one; `false` if the order is unknown.
    pub fn precedes(self, other: EntryNumber) -> bool {
        match self.born == other.born {
            true => self.entries > 0 && self.entries < other.entries,
            false => self.born > 0 && self.born < other.born,
        }
    }
}

/// Largest number of slots that an entry may give a server. One server with many more would get all
/// requests of its service.
const SLOTS_MAX: u32 = 1 << 16;
/// Longest time for which an entry may say that a server is cold, in milliseconds.
const COLD_MS_MAX: u64 = 3_600_000;

/// Whether a text can name a server or a host in the store: it begins with an ASCII letter or digit,
/// and all its characters are unreserved in URIs (RFC 3986, section 2.3).
///
/// Such a name needs no encoding in headers and addresses. Entries under other names are those of
/// other writers.
pub fn is_entry_name(name: &str) -> bool {
    let is_unreserved =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~');
    name.starts_with(|first: char| first.is_ascii_alphanumeric()) && name.bytes().all(is_unreserved)
}

/// Whether an entry's address can be that of a server or a host.
pub fn is_entry_address(address: SocketAddr) -> bool {
    address.port() > 0 && !address.ip().is_unspecified()
}

impl Server {
    /// Whether this is the entry of a server that can be used: its id and all figures are within
    /// their ranges.
    pub fn is_usable(&self, id: &str) -> bool {
        is_entry_name(id) && self.is_plausible()
    }

    fn is_plausible(&self) -> bool {
        is_entry_address(self.address)
            && (1..=SLOTS_MAX).contains(&self.slots)
            && self.cold_ms <= COLD_MS_MAX
    }

    /// Position of this entry among those of the server.
    pub fn entry_number(&self) -> EntryNumber {
        EntryNumber { born: self.born, entries: self.entries }
    }

    /// Whether this entry is outdated if the server has also written the entry `known`.
    ///
    /// An entry that says that the server leaves is never outdated: a server that leaves stays away,
    /// and an entry `known` by another writer may have any number.
    pub fn is_outdated_by(&self, known: EntryNumber) -> bool {
        !self.draining && self.entry_number().precedes(known)
    }

    /// Whether two entries are equal, apart from their sequence numbers.
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
