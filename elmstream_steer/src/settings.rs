//! What a host knows of itself, and the bounds it keeps.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// A host, as it tells the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its name, which outlasts restarts.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the other hosts reach it, by TCP and UDP.
    pub peers: SocketAddr,
}

/// Bounds that hold for the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time in which a configuration is in force everywhere, in milliseconds.
    pub configuration_ms: u64,
    /// Repeats of a service's requests, as a part of the requests.
    pub retry_ratio: f64,
    /// Repeats that are allowed beyond that in one window of some seconds.
    pub retry_slack: f64,
    /// Requests to a cold backend server, as a multiple of what it bears.
    pub cold_overshoot: f64,
    /// Requests a second beyond that.
    pub cold_slack: f64,
    /// How long a caller may keep a look-up's answer, in seconds.
    pub lookup_ttl_s: u64,
    /// Window in which a workspace's requests are counted, in seconds.
    pub limit_window_s: u64,
    /// Requests beyond a workspace's limit in a window, as a part of it.
    pub limit_overshoot: f64,
    /// Requests in a window beyond that.
    pub limit_slack: f64,
    /// Part of a service's requests that a version may get until it is found to be bad.
    pub exposure_share: f64,
    /// Requests beyond that.
    pub exposure_slack: f64,
    /// Time in which a version that is bad gets nothing any more, in milliseconds.
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

/// What the decisions of one host rest on from its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host itself.
    pub host: Host,
    /// Number of this start; a later start has a higher one.
    pub incarnation: u64,
    /// Region of each failure domain.
    pub domains: BTreeMap<String, String>,
    /// Bounds of the fleet.
    pub bounds: Bounds,
}
