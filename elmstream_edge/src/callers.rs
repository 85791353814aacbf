//! Takes callers' requests: finds the route, checks bounds, reads the body.

use std::{
    cell::{Cell, OnceCell},
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
use elmstream_http::{LocalBody, Stop, body, server::Aborted};
use elmstream_steer::{hash, model::Route, routes};
use elmstreamd::clock;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde_json::json;

use crate::{
    access::{self, AdmittedRequest},
    edge::Edge,
    forward, headers,
    request_digest::RequestDigests,
};

/// When to come back to a host that knows no configuration yet, or an old one.
pub(crate) const UNREADY_RETRY_MS: u64 = 300;
/// When to come back to the name of a host that has ended: another one serves it now.
const STOPPING_RETRY_MS: u64 = 50;

/// How far a request has come, for the answer that it gets if its host ends.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Whether a server may have run it.
    pub may_have_run: Cell<bool>,
    /// Whether the host has ended it.
    pub ended: Cell<bool>,
}

/// A caller's request that may be sent on.
#[derive(Debug)]
pub struct CallerRequest {
    /// Its id; empty if the caller gave none.
    pub id: String,
    /// Where it came from.
    pub caller: IpAddr,
    /// Its route.
    pub route: Rc<Route>,
    /// The service it goes to.
    pub service: String,
    /// Hash of its affinity key, or of its id.
    pub key: u64,
    /// Whether it has an affinity key that counts.
    pub has_key: bool,
    /// Method.
    pub method: Method,
    /// Path and query as they came.
    pub uri: Uri,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When it came.
    pub received: Time,
    /// When it must have its final answer.
    pub deadline: Time,
    /// Whether its caller has most likely been refused before.
    pub returning: bool,
    /// Its workspace; none if its route asks for no key.
    pub workspace: Option<AdmittedRequest>,
    /// How far it has come.
    pub progress: Rc<RequestProgress>,
    /// Its digests, once they were asked for.
    pub digests: OnceCell<RequestDigests>,
}

impl CallerRequest {
    /// Digests of what makes it the same as another one; made only if they are asked for,
    /// as they take all of the body.
    pub fn digests(&self, edge: &Edge) -> &RequestDigests {
        self.digests.get_or_init(|| RequestDigests::of(&edge.settings.content.secret, self))
    }

    /// Name of its workspace; empty for none.
    pub fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("", |counted| &counted.entry.workspace.name)
    }

    /// Rank of it; 0 is the most urgent. A workspace's goes before its route's.
    pub fn priority(&self) -> u32 {
        let own = self.workspace.as_ref().and_then(|counted| counted.entry.workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Time that is left for it.
    pub fn left(&self) -> Duration {
        Duration::from_micros(self.deadline.since(clock::now()))
    }
}

/// Serves a caller's request; `ending` resolves when the host gives its last answers.
///
/// The end of the process would cut the connection, and the caller would not know
/// whether its request can be sent again.
pub async fn serve(
    edge: Rc<Edge>,
    ending: Stop,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Aborted> {
    let came = clock::now();
    let id = request.headers().get(&edge.settings.headers.request_id).cloned();
    let progress = Rc::new(RequestProgress::default());
    let answering = {
        let serving = pin!(answer(&edge, (caller, request), came, progress.clone()));
        // The end is looked at first, so that nothing is sent to a server after it.
        match select(ending, serving).await {
            Either::Right((answer, _)) => Some(answer),
            Either::Left(_) => {
                progress.ended.set(true);
                None
            }
        }
    };
    answering.unwrap_or_else(|| Ok(ended(&edge, id.as_ref(), came, &progress)))
}

/// The answer to a request that the host's end breaks off.
fn ended(
    edge: &Edge,
    id: Option<&HeaderValue>,
    came: Time,
    progress: &RequestProgress,
) -> Response<LocalBody> {
    let code = match progress.may_have_run.get() {
        true => Code::StoppedRunning,
        false => Code::Stopping,
    };
    metrics::counter!("elmstream_requests", "outcome" => "ended").increment(1);
    let id = id.and_then(|id| id.to_str().ok());
    let took = clock::now().since(came) / MILLI;
    let fields = json!({
        "id": id, "code": code.number(), "status": code.http_status(), "took_ms": took,
    });
    edge.event_log.request("ended", fields);
    match progress.may_have_run.get() {
        true => plain(code, StatusCode::GATEWAY_TIMEOUT),
        false => refuse(code, STOPPING_RETRY_MS),
    }
}

/// Finds the route, reads the body and sends the request on.
async fn answer(
    edge: &Rc<Edge>,
    (caller, request): (IpAddr, Request<Incoming>),
    came: Time,
    progress: Rc<RequestProgress>,
) -> Result<Response<LocalBody>, Aborted> {
    let (head, incoming) = request.into_parts();
    let route = match find(edge, &head) {
        Ok(route) => route,
        Err(RouteError::Configuration) => return Ok(refuse(Code::NotReady, UNREADY_RETRY_MS)),
        Err(RouteError::Unsure) => return Ok(refuse(Code::RoutesStale, UNREADY_RETRY_MS)),
        Err(RouteError::Route) => return Ok(plain(Code::UnknownService, StatusCode::NOT_FOUND)),
    };
    let workspace = match access::authorize(edge, &head, &route) {
        Ok(workspace) => workspace,
        Err(answer) => return Ok(*answer),
    };
    let limits = edge.steer.borrow().limits();
    let body = match Limited::new(incoming, limits.body_bytes as usize).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => {
            return Ok(plain(Code::BadRequest, StatusCode::PAYLOAD_TOO_LARGE));
        }
        // The caller broke off, so nobody reads an answer.
        Err(_) => return Err(Aborted),
    };
    let call = call(edge, (caller, head), (route, workspace), body, came, progress);
    Ok(forward::run(edge, &call).await)
}

/// Why a request has no route.
enum RouteError {
    /// No configuration is known yet.
    Configuration,
    /// No route of the configuration fits.
    Route,
    /// The same, but a newer configuration may have one.
    Unsure,
}

/// The route of a request, or why there is none.
fn find(edge: &Edge, head: &request::Parts) -> Result<Rc<Route>, RouteError> {
    let steer = edge.steer.borrow();
    if steer.configuration_version().is_none() {
        return Err(RouteError::Configuration);
    }
    let host = head.uri.host().or_else(|| headers::text(&head.headers, &header::HOST));
    let host = host.unwrap_or_default();
    if let Some(route) = steer.route(host, head.uri.path()) {
        return Ok(route);
    }
    let now = clock::now();
    let (missing, code) = match steer.can_deny_routes(now) {
        true => (RouteError::Route, Code::UnknownService),
        false => (RouteError::Unsure, Code::RoutesStale),
    };
    let id = headers::text(&head.headers, &edge.settings.headers.request_id);
    let fields = json!({
        "id": id, "host": host, "path": head.uri.path(), "version": steer.configuration_version(),
        "stale_ms": steer.staleness(now) / MILLI, "code": code.number(), "status": code.http_status(),
    });
    edge.event_log.request("no_route", fields);
    Err(missing)
}

fn call(
    edge: &Edge,
    (caller, head): (IpAddr, request::Parts),
    (route, workspace): (Rc<Route>, Option<AdmittedRequest>),
    body: Bytes,
    received: Time,
    progress: Rc<RequestProgress>,
) -> CallerRequest {
    let names = &edge.settings.headers;
    let mut kept = head.headers;
    let id = headers::text(&kept, &names.request_id).unwrap_or_default().to_owned();
    let draw = hash::of(&id);
    let affinity = kept.get(&names.affinity).filter(|_| route.affinity);
    let has_key = affinity.is_some();
    let key = affinity.map_or(draw, |key| hash::of(key.as_bytes()));
    let waits = headers::number(&kept, &names.deadline).unwrap_or(route.timeout_ms);
    headers::strip(&mut kept);
    set_workspace(edge, &mut kept, workspace.as_ref());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = path.parse().unwrap_or(head.uri);
    let service = routes::pick_service(&route, draw).to_owned();
    let deadline = received + waits.min(route.timeout_ms) * MILLI;
    let returning = edge.steer.borrow_mut().is_returning(received, &route.name, waits);
    let (method, headers) = (head.method, kept);
    CallerRequest {
        id,
        caller,
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
        progress,
        digests: OnceCell::new(),
    }
}

/// Takes the key out of what servers get, and sets the workspace's name.
fn set_workspace(edge: &Edge, headers: &mut HeaderMap, workspace: Option<&AdmittedRequest>) {
    let names = &edge.settings.headers;
    headers.remove(&names.workspace);
    if !edge.steer.borrow().workspaces().is_empty() {
        headers.remove(&names.key);
    }
    let name = workspace.map(|counted| HeaderValue::from_str(&counted.entry.workspace.name));
    if let Some(Ok(name)) = name {
        headers.insert(&names.workspace, name);
    }
}

/// An answer of the host's own, without a body.
pub fn plain(code: Code, status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response.headers_mut().insert(headers::CODE, code.number().into());
    response
}

/// The request was not run; the caller may come back after a time.
pub fn refuse(code: Code, retry_ms: u64) -> Response<LocalBody> {
    let status = StatusCode::from_u16(code.http_status());
    let mut response = plain(code, status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE));
    let seconds = format!("{:.2}", retry_ms as f64 / 1_000.0);
    if let Ok(value) = seconds.parse() {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
