//! Settings of the decisions under load.
//!
//! The defaults leave each of these decisions out, so that a host behaves as one whose operator
//! knows nothing about its services. A deployment's settings turn them on.

use serde::{Deserialize, Serialize};

/// Settings of the decisions under load, by concern.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// Where the requests of a key go.
    pub placement: PlacementPolicy,
    /// How fast servers work at the moment.
    pub speed: SpeedPolicy,
    /// Which requests may be sent to a second server.
    pub retries: RetryPolicy,
}

/// Division of a service's keys over failure domains and servers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Cost of sending a request to another failure domain of the region, in milliseconds of answer
    /// time. With 0, and no cost of its bytes, the domains of a region are one place.
    pub domain_cost_ms: f64,
    /// Cost of each KB of a request's and its answer's body that passes to another failure domain of
    /// the region, in milliseconds of answer time.
    pub domain_kb_cost_ms: f64,
    /// Cost of sending a request to another region, in milliseconds of answer time.
    pub region_cost_ms: f64,
    /// Fraction of its slots up to which a place keeps the requests of its own callers, although
    /// other places have more slots for each request, 0 to 1.
    pub own_load_max: f64,
}

impl PlacementPolicy {
    /// Whether sending to another failure domain of the region has a cost.
    pub fn has_domain_cost(&self) -> bool {
        self.domain_cost_ms > 0.0 || self.domain_kb_cost_ms > 0.0
    }
}

impl Default for PlacementPolicy {
    fn default() -> PlacementPolicy {
        PlacementPolicy {
            domain_cost_ms: 0.0,
            domain_kb_cost_ms: 0.0,
            region_cost_ms: 30.0,
            own_load_max: 0.0,
        }
    }
}

/// Use of what servers report about how fast they work.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SpeedPolicy {
    /// Time in which the weight of a reported speed decays to 1/e, in milliseconds. With 0 reports
    /// are not used.
    pub report_decay_ms: u64,
}

/// Use of the retry budget.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Whether the budget is kept for requests that are lost otherwise, and servers are chosen by
    /// the chance that they take a request.
    pub by_worth: bool,
}
