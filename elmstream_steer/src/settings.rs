//! Identity of a host and the bounds that it keeps.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::policies::Policies;

/// A host as it describes itself to the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the host, which stays the same over restarts.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the host.
    pub region: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts, over TCP and UDP.
    pub peers: SocketAddr,
}

/// Bounds that apply to the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time within which a configuration is in force on all hosts, in milliseconds.
    pub configuration_ms: u64,
    /// Retries of a service's requests, as a fraction of the requests.
    pub retry_ratio: f64,
    /// Number of retries allowed beyond that fraction in a window of some seconds.
    pub retry_slack: f64,
    /// Requests a second to a cold backend server, as a multiple of the rate that it can handle.
    pub cold_overshoot: f64,
    /// Number of requests a second allowed beyond that.
    pub cold_slack: f64,
    /// How long a caller may cache the answer of a lookup, in seconds.
    pub lookup_ttl_s: u64,
    /// Length of the window in which a workspace's requests are counted, in seconds.
    pub limit_window_s: u64,
    /// Requests in a window beyond a workspace's limit, as a fraction of the limit.
    pub limit_overshoot: f64,
    /// Number of requests in a window allowed beyond that.
    pub limit_slack: f64,
    /// Fraction of a service's requests that a new version may receive before it is found to be
    /// bad.
    pub exposure_share: f64,
    /// Number of requests allowed beyond that.
    pub exposure_slack: f64,
    /// Time within which a bad version stops receiving requests, in milliseconds.
    pub rollback_ms: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            configuration_ms: 2_000,
            retry_ratio: 0.2,
            retry_slack: 60.0,
            cold_overshoot: 1.5,
            cold_slack: 5.0,
            lookup_ttl_s: 2,
            limit_window_s: 5,
            limit_overshoot: 0.1,
            limit_slack: 20.0,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback_ms: 5_000,
        }
    }
}

/// Settings of a host, fixed at its start except for domains, bounds and policies.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of the host.
    pub host: Host,
    /// Number of this start; a later start has a higher one.
    pub incarnation: u64,
    /// Region of each failure domain.
    pub domains: BTreeMap<String, String>,
    /// Bounds of the fleet.
    pub bounds: Bounds,
    /// Settings of the decisions under load.
    pub policies: Policies,
}
