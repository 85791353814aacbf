//! Refuses requests while this host lacks newer rules that other hosts have announced.

use elmstream::{
    code::Code,
    time::{MILLI, Time},
};
use elmstream_http::LocalBody;
use elmstream_steer::{homes::Homes, model::Route};
use elmstreamd::clock;
use http::Response;
use serde_json::json;

use crate::{
    callers::{self, UNREADY_RETRY_MS},
    edge::Edge,
};

/// What is logged of a refused request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedRequest<'a> {
    /// The id that the caller gave; empty if it gave none.
    pub(crate) id: &'a str,
    /// The route that the request matched.
    pub(crate) route: &'a Route,
    /// The service that the request would go to.
    pub(crate) service: &'a str,
    /// Name of the workspace; empty if there is none.
    pub(crate) workspace: &'a str,
    /// When the request was received.
    pub(crate) received: Time,
}

/// Whether the rules that decide on a request may be too old for it to be sent: those of the
/// configuration `version`, by which it may run in `homes`.
pub(crate) fn forbids_sending(edge: &Edge, version: u64, homes: Homes<'_>) -> bool {
    let steer = edge.steer.borrow();
    // The host that had this host relay the request knows newer rules, and has asked this itself.
    if steer.configuration_version().is_some_and(|known| known < version) {
        return false;
    }
    let now = clock::now();
    !homes.is_empty() && steer.homes_are_outdated(now) || steer.rules_are_outdated(now)
}

/// Refuses a request that no server ran.
pub(crate) fn refuse(edge: &Edge, request: RefusedRequest<'_>) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "not_run").increment(1);
    let code = Code::RoutesStale;
    let steer = edge.steer.borrow();
    let now = clock::now();
    let fields = json!({
        "id": request.id, "code": code.number(), "status": code.http_status(),
        "route": request.route.name, "service": request.service,
        "workspace": request.workspace, "version": steer.configuration_version(),
        "stale_ms": steer.staleness(now) / MILLI, "took_ms": now.since(request.received) / MILLI,
    });
    edge.event_log.request("not_run_outdated", fields);
    callers::retry_later(code, UNREADY_RETRY_MS)
}
