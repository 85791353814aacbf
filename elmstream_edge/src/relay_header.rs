//! What a relaying host is told of a request, and how it takes it in under its own configuration.

use std::net::IpAddr;

use elmstream_steer::{Steer, hash, homes::HomeRegions, model::Route, routes};
use http::HeaderValue;
use serde::{Deserialize, Serialize};

use crate::callers::{CallerRequest, RelayedTerms};

/// What a relaying host is told of a request, beside the request itself.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct RelayHeader {
    /// Version of the configuration that `route` and `terms` are of; 0 if the sender does not tell.
    #[serde(default)]
    pub(crate) version: u64,
    /// The host name that the request is for; empty if the sender does not tell.
    #[serde(default)]
    pub(crate) host: String,
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) key: u64,
    pub(crate) has_key: bool,
    pub(crate) returning: bool,
    pub(crate) caller: IpAddr,
    pub(crate) remaining_ms: u64,
    pub(crate) terms: RelayedTerms,
}

impl RelayHeader {
    /// The header of a request by the configuration that it was received under.
    pub(crate) fn new(request: &CallerRequest) -> RelayHeader {
        let workspace = request.workspace.as_ref().map(|admitted| &admitted.entry.workspace);
        RelayHeader {
            version: request.version,
            host: request.host.clone(),
            route: (*request.route).clone(),
            service: request.service.clone(),
            key: request.key,
            has_key: request.has_key,
            returning: request.returning,
            caller: request.caller,
            remaining_ms: request.remaining().as_millis() as u64,
            terms: RelayedTerms {
                homes: workspace.map(|workspace| workspace.homes.clone()).unwrap_or_default(),
                priority: workspace.and_then(|workspace| workspace.priority),
                workspace: request.workspace_id(),
            },
        }
    }

    /// Sets the host name if the sender does not tell it.
    pub(crate) fn with_host(self, requested_host: &str) -> RelayHeader {
        match self.host.is_empty() {
            true => RelayHeader { host: requested_host.to_owned(), ..self },
            false => self,
        }
    }

    /// Regions in which the request may run by the stated route and terms.
    pub(crate) fn homes(&self) -> HomeRegions {
        HomeRegions {
            version: self.version,
            route: self.route.homes.clone(),
            workspace: self.terms.homes.clone(),
        }
    }

    /// The request as a host's configuration handles it, if that is newer than the header's.
    /// `None` if it has no route for the request, or one that needs a key that was not presented.
    pub(crate) fn updated(self, steer: &Steer, path: &str, id: &str) -> Option<RelayHeader> {
        let version = steer.configuration_version().unwrap_or_default();
        if version <= self.version {
            return Some(self);
        }
        let route = steer.route(&self.host, path)?;
        let needs_key = !route.open && !steer.workspaces().is_empty();
        if needs_key && !self.had_key() {
            return None;
        }
        let is_kept =
            route.parts.iter().any(|part| part.service == self.service && part.weight > 0.0);
        let service = match is_kept {
            true => self.service.clone(),
            false => routes::pick_service(&route, hash::of(id)).to_owned(),
        };
        let known = self.homes();
        let target = (self.host.as_str(), path);
        let homes = steer.newer_homes(target, self.terms.workspace, &known).unwrap_or(known);
        Some(RelayHeader {
            version,
            route: (*route).clone(),
            service,
            remaining_ms: self.remaining_ms.min(route.timeout_ms),
            terms: RelayedTerms { homes: homes.workspace, ..self.terms },
            ..self
        })
    }

    /// Whether the sender admitted the request by a key. A host of an earlier version does not name
    /// the workspace.
    fn had_key(&self) -> bool {
        self.terms.workspace.is_some() || (self.version == 0 && !self.route.open)
    }

    /// The value of the header; `None` if it cannot be one.
    pub(crate) fn to_value(&self) -> Option<HeaderValue> {
        HeaderValue::try_from(serde_json::to_string(self).ok()?).ok()
    }

    /// Reads the value of the header; `None` if it is none.
    pub(crate) fn parse(value: &HeaderValue) -> Option<RelayHeader> {
        serde_json::from_slice(value.as_bytes()).ok()
    }
}
