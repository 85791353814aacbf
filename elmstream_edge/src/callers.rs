//! Handles callers' requests: finds the route, checks limits, reads the body.

use std::{
    cell::{Cell, OnceCell, RefCell},
    net::IpAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use elmstream::{
    code::Code,
    time::{MILLI, Time},
};
use elmstream_http::{LocalBody, RequestBody, Stop, body, server::Aborted};
use elmstream_steer::{Steer, hash, homes::HomeRegions, model::Route, routes};
use elmstreamd::clock;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    access::{self, AdmittedRequest},
    counted_body::{self, BodyOf},
    edge::Edge,
    forward, headers,
    outdated::{self, RefusedRequest},
    request_digest::RequestDigests,
};

/// Retry-After of a host that knows no configuration or only a stale one, in milliseconds.
pub(crate) const UNREADY_RETRY_MS: u64 = 300;
/// Retry-After of a host that is stopping, in milliseconds: another host serves its name by
/// now.
pub(crate) const STOPPING_RETRY_MS: u64 = 50;

/// How far a request has come; decides on the response that it gets if the host stops.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Whether a server may have run the request.
    pub may_have_run: Cell<bool>,
    /// Whether the host has aborted the request because it stops.
    pub ended: Cell<bool>,
}

/// What the workspace of a request sets, as far as it decides on servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RelayedTerms {
    /// Regions in which the requests may run; empty for any.
    pub homes: Vec<String>,
    /// Priority; `None` for the route's.
    pub priority: Option<u32>,
    /// Id of the workspace; `None` if the request has none, or its host does not tell.
    #[serde(default)]
    pub workspace: Option<u64>,
}

/// A caller's request that may be forwarded.
#[derive(Debug)]
pub struct CallerRequest {
    /// The id that the caller gave; empty if it gave none.
    pub id: String,
    /// Address of the caller.
    pub caller: IpAddr,
    /// The host name that the request is for.
    pub host: String,
    /// The route that the request matched.
    pub route: Rc<Route>,
    /// The service that the request goes to.
    pub service: String,
    /// Hash of the affinity key, or of the id.
    pub key: u64,
    /// Whether the request has an affinity key and its route uses affinity.
    pub has_key: bool,
    /// The HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers to forward, without those of the connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the request was received.
    pub received: Time,
    /// When the caller must have the final response.
    pub deadline: Time,
    /// Whether its caller was most likely refused before.
    pub returning: bool,
    /// The workspace that it counts against; `None` if its route needs no key or another host
    /// relayed the request.
    pub workspace: Option<AdmittedRequest>,
    /// What the workspace sets, if another host relayed the request.
    pub relayed: Option<RelayedTerms>,
    /// Version of the configuration that the route is of; 0 if a relaying host does not know it.
    pub version: u64,
    /// Regions in which it may run, by the newest configuration that was asked.
    pub homes: RefCell<Rc<HomeRegions>>,
    /// How far the request has come.
    pub progress: Rc<RequestProgress>,
    /// The digests, once computed.
    pub digests: OnceCell<RequestDigests>,
}

impl CallerRequest {
    /// Digests of the request's content. Computed on first use only, as they cover the whole
    /// body.
    pub fn digests(&self, edge: &Edge) -> &RequestDigests {
        self.digests.get_or_init(|| RequestDigests::of(&edge.settings.content.secret, self))
    }

    /// Name of the workspace; empty if there is none.
    pub fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("", |admitted| &admitted.entry.workspace.name)
    }

    /// Priority; 0 is the most urgent. The workspace's takes precedence over the route's.
    pub fn priority(&self) -> u32 {
        let workspace_priority = match &self.relayed {
            Some(terms) => terms.priority,
            None => self.workspace.as_ref().and_then(|admitted| admitted.entry.workspace.priority),
        };
        workspace_priority.unwrap_or(self.route.priority)
    }

    /// Id of the workspace; `None` if there is none.
    pub fn workspace_id(&self) -> Option<u64> {
        match &self.relayed {
            Some(terms) => terms.workspace,
            None => self.workspace.as_ref().map(|admitted| admitted.entry.id),
        }
    }

    /// Regions in which the request may run now. A configuration that became known since the
    /// request was received takes precedence over the one that it was received under.
    pub fn current_homes(&self, steer: &Steer) -> Rc<HomeRegions> {
        let mut homes = self.homes.borrow_mut();
        let target = (self.host.as_str(), self.uri.path());
        if let Some(newer) = steer.newer_homes(target, self.workspace_id(), &homes) {
            *homes = Rc::new(newer);
        }
        Rc::clone(&homes)
    }

    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        Duration::from_micros(self.deadline.since(clock::now()))
    }
}

/// Serves a caller's request; `stopping` resolves when the host sends its last responses.
///
/// Without these the end of the process would close the connection, and the caller would not
/// know whether it may repeat the request.
pub async fn serve(
    edge: Rc<Edge>,
    stopping: Stop,
    caller: IpAddr,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let received = clock::now();
    let id = request.headers().get(&edge.settings.headers.request_id).cloned();
    let progress = Rc::new(RequestProgress::default());
    let answering = {
        let serving = pin!(answer(&edge, (caller, request), received, progress.clone()));
        // `select` polls the stop first, so that nothing is sent to a server after it.
        match select(stopping, serving).await {
            Either::Right((answer, _)) => Some(answer),
            Either::Left(_) => {
                progress.ended.set(true);
                None
            }
        }
    };
    answering.unwrap_or_else(|| Ok(aborted_by_stop(&edge, id.as_ref(), received, &progress)))
}

/// The response to a request that the host's stop aborts.
pub(crate) fn aborted_by_stop(
    edge: &Edge,
    id: Option<&HeaderValue>,
    received: Time,
    progress: &RequestProgress,
) -> Response<LocalBody> {
    let code = match progress.may_have_run.get() {
        true => Code::StoppedRunning,
        false => Code::Stopping,
    };
    metrics::counter!("elmstream_requests", "outcome" => "ended").increment(1);
    let id = id.and_then(|id| id.to_str().ok());
    let took = clock::now().since(received) / MILLI;
    let fields = json!({
        "id": id, "code": code.number(), "status": code.http_status(), "took_ms": took,
    });
    edge.event_log.request("ended", fields);
    match progress.may_have_run.get() {
        true => reply(code, StatusCode::GATEWAY_TIMEOUT),
        false => retry_later(code, STOPPING_RETRY_MS),
    }
}

/// Finds the route, reads the body and forwards the request.
async fn answer(
    edge: &Rc<Edge>,
    (caller, request): (IpAddr, Request<RequestBody>),
    received: Time,
    progress: Rc<RequestProgress>,
) -> Result<Response<LocalBody>, Aborted> {
    let (head, incoming) = request.into_parts();
    let accepted = match accept(edge, &head, None) {
        Ok(accepted) => accepted,
        Err(answer) => return Ok(*answer),
    };
    let route = &accepted.route;
    let id = headers::text(&head.headers, &edge.settings.headers.request_id).unwrap_or_default();
    if outdated::forbids_sending(edge, accepted.homes.version, accepted.homes.as_homes()) {
        let refused = RefusedRequest {
            id,
            route,
            service: routes::pick_service(route, hash::of(id)),
            workspace: accepted.workspace_name(),
            received,
        };
        return Ok(outdated::refuse(edge, refused));
    }
    let body_of = BodyOf {
        id,
        route,
        remaining: Duration::from_millis(
            timeout_ms(edge, &head.headers, route).min(route.timeout_ms),
        ),
    };
    let body = match Box::pin(counted_body::read_request(edge, body_of, incoming)).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    // The body may have taken long.
    let version = edge.steer.borrow().configuration_version();
    let accepted = match accepted.version == version {
        true => accepted,
        false => match accept(edge, &head, accepted.workspace) {
            Ok(accepted) => accepted,
            Err(answer) => return Ok(*answer),
        },
    };
    let caller_request = caller_request(edge, (caller, head), accepted, body, received, progress);
    Ok(forward::run(edge, &caller_request).await)
}

/// Why a request has no route.
enum RouteError {
    /// No configuration is known yet.
    Configuration,
    /// No route of the configuration matches.
    Route,
    /// No route of the configuration matches, but a newer configuration may have one.
    Stale,
}

impl RouteError {
    fn response(self) -> Response<LocalBody> {
        match self {
            RouteError::Configuration => retry_later(Code::NotReady, UNREADY_RETRY_MS),
            RouteError::Stale => retry_later(Code::RoutesStale, UNREADY_RETRY_MS),
            RouteError::Route => reply(Code::UnknownService, StatusCode::NOT_FOUND),
        }
    }
}

/// What a configuration states of a request.
struct Accepted {
    /// Version of the configuration.
    version: Option<u64>,
    host: String,
    route: Rc<Route>,
    workspace: Option<AdmittedRequest>,
    homes: HomeRegions,
}

impl Accepted {
    /// Name of the workspace; empty if there is none.
    fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("", |admitted| &admitted.entry.workspace.name)
    }
}

/// Finds the route of a request and admits it. A request that is `admitted` already counts against
/// the same workspace.
fn accept(
    edge: &Rc<Edge>,
    head: &request::Parts,
    admitted: Option<AdmittedRequest>,
) -> Result<Accepted, Box<Response<LocalBody>>> {
    let host = requested_host(head).to_owned();
    let route = find_route(edge, &host, head).map_err(|error| Box::new(error.response()))?;
    let workspace = match admitted {
        Some(admitted) => Some(admitted.updated()),
        None => access::authorize(edge, head, &route)?,
    };
    let homes = homes_of(edge, &route, workspace.as_ref());
    let version = edge.steer.borrow().configuration_version();
    Ok(Accepted { version, host, route, workspace, homes })
}

/// The host name that a request is for; empty if it names none.
pub(crate) fn requested_host(head: &request::Parts) -> &str {
    let host = head.uri.host().or_else(|| headers::text(&head.headers, &header::HOST));
    host.unwrap_or_default()
}

/// Regions in which a request may run by the configuration in force.
fn homes_of(edge: &Edge, route: &Route, workspace: Option<&AdmittedRequest>) -> HomeRegions {
    let version = edge.steer.borrow().configuration_version().unwrap_or_default();
    HomeRegions::new(version, route, workspace.map(|admitted| &admitted.entry.workspace))
}

/// The route of a request, or why there is none; a missing route is logged.
fn find_route(edge: &Edge, host: &str, head: &request::Parts) -> Result<Rc<Route>, RouteError> {
    let steer = edge.steer.borrow();
    if steer.configuration_version().is_none() {
        return Err(RouteError::Configuration);
    }
    if let Some(route) = steer.route(host, head.uri.path()) {
        return Ok(route);
    }
    let now = clock::now();
    let (missing, code) = match steer.can_deny_routes(now) {
        true => (RouteError::Route, Code::UnknownService),
        false => (RouteError::Stale, Code::RoutesStale),
    };
    let id = headers::text(&head.headers, &edge.settings.headers.request_id);
    let fields = json!({
        "id": id, "host": host, "path": head.uri.path(), "version": steer.configuration_version(),
        "stale_ms": steer.staleness(now) / MILLI, "code": code.number(), "status": code.http_status(),
    });
    edge.event_log.request("no_route", fields);
    Err(missing)
}

/// Time in which the caller wants the answer, in milliseconds; the route's may be shorter.
fn timeout_ms(edge: &Edge, headers: &HeaderMap, route: &Route) -> u64 {
    headers::number(headers, &edge.settings.headers.deadline).unwrap_or(route.timeout_ms)
}

fn caller_request(
    edge: &Edge,
    (caller, head): (IpAddr, request::Parts),
    Accepted { host, route, workspace, homes, .. }: Accepted,
    body: Bytes,
    received: Time,
    progress: Rc<RequestProgress>,
) -> CallerRequest {
    let names = &edge.settings.headers;
    let mut forwarded = head.headers;
    let id = headers::text(&forwarded, &names.request_id).unwrap_or_default().to_owned();
    let draw = hash::of(&id);
    let affinity = forwarded.get(&names.affinity).filter(|_| route.affinity);
    let has_key = affinity.is_some();
    let key = affinity.map_or(draw, |key| hash::of(key.as_bytes()));
    let timeout_ms = timeout_ms(edge, &forwarded, &route);
    headers::strip(&mut forwarded);
    set_workspace(edge, &mut forwarded, workspace.as_ref());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = path.parse().unwrap_or(head.uri);
    let service = routes::pick_service(&route, draw).to_owned();
    let deadline = received + timeout_ms.min(route.timeout_ms) * MILLI;
    let returning = edge.steer.borrow_mut().is_returning(received, &route.name, timeout_ms);
    let (method, headers) = (head.method, forwarded);
    CallerRequest {
        id,
        caller,
        host,
        route,
        service,
        key,
        has_key,
        method,
        uri,
        headers,
        body,
        received,
        deadline,
        returning,
        workspace,
        relayed: None,
        version: homes.version,
        homes: RefCell::new(Rc::new(homes)),
        progress,
        digests: OnceCell::new(),
    }
}

/// Removes the workspace key from what servers receive, and sets the workspace's name.
fn set_workspace(edge: &Edge, headers: &mut HeaderMap, workspace: Option<&AdmittedRequest>) {
    let names = &edge.settings.headers;
    headers.remove(&names.workspace);
    if !edge.steer.borrow().workspaces().is_empty() {
        headers.remove(&names.key);
    }
    let name = workspace.map(|admitted| HeaderValue::from_str(&admitted.entry.workspace.name));
    if let Some(Ok(name)) = name {
        headers.insert(&names.workspace, name);
    }
}

/// A response of the host itself, with a result code and an empty body.
pub fn reply(code: Code, status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response.headers_mut().insert(headers::CODE, code.number().into());
    response
}

/// A response to a request that was not run; `retry_ms` becomes its Retry-After in seconds.
pub fn retry_later(code: Code, retry_ms: u64) -> Response<LocalBody> {
    let status = StatusCode::from_u16(code.http_status());
    let mut response = reply(code, status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE));
    let seconds = format!("{:.2}", retry_ms as f64 / 1_000.0);
    if let Ok(value) = seconds.parse() {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
