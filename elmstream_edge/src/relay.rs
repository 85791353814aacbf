//! Requests whose backend servers this host does not reach go by way of another host.
//!
//! The host that received a request from its caller has found the route, admitted the request and
//! counted its demand; the relaying host picks the server and sends the request, by the newer one of
//! both hosts' configurations. A relayed request is not relayed again.

use std::{
    cell::{OnceCell, RefCell},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use elmstream::{code::Code, time::MILLI};
use elmstream_http::{LocalBody, RequestBody, Stop, body, server::Aborted};
use elmstream_steer::{hash, model::Repeatability, relay::RelayHost};
use elmstreamd::{clock, waits};
use futures_util::future::{Either, select};
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, response};
use serde_json::json;

use crate::{
    backend::{self, Exchange},
    callers::{self, CallerRequest, RequestProgress},
    counted_body::{self, BodyOf},
    edge::Edge,
    forward, headers,
    relay_header::RelayHeader,
};

/// Header with the [`RelayHeader`] of a relayed request, and header of the answer of a host that
/// cannot relay it; only hosts send and receive it.
const RELAY_HEADER: HeaderName = HeaderName::from_static("elmstream-relay");
/// Requests of other hosts that a host relays at once.
const RELAYING_MAX: usize = 128;
/// Retry-After of a request that no host can relay, in milliseconds.
const NOT_RELAYED_RETRY_MS: u64 = 300;
/// Interval of the check for whether this host's paths to servers are back.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a connection has to stay open for the paths to be back. A path may accept
/// connections and reset them at once.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Interval of the check for whether relayed requests are still in flight.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// End of an attempt to have a request relayed.
enum Relayed {
    /// The final response for the caller.
    Answer(response::Parts, Bytes),
    /// The relaying host's refusal: no server ran the request.
    Refused(response::Parts, Bytes),
    /// The relaying host could not do it; another one may.
    NotRun,
    /// A server may have run the request.
    Unknown,
}

/// Has a request relayed if this host does not reach the service and another host does. Returns the
/// final response, or `None` if the request is to be sent by this host.
pub(crate) async fn send(edge: &Rc<Edge>, request: &CallerRequest) -> Option<Response<LocalBody>> {
    let relays = relays(edge, request);
    if relays.is_empty() {
        return None;
    }
    for relay in relays {
        let relayed =
            waits::within(request.deadline, Box::pin(exchange(edge, request, &relay))).await;
        match relayed.unwrap_or(Relayed::Unknown) {
            Relayed::Answer(parts, bytes) | Relayed::Refused(parts, bytes) => {
                return Some(respond(request, parts, bytes));
            }
            Relayed::NotRun => {}
            Relayed::Unknown if request.route.repeat == Repeatability::Safe => {}
            Relayed::Unknown => return Some(unknown(edge, request)),
        }
    }
    Some(match request.progress.may_have_run.get() {
        true => unknown(edge, request),
        false => refuse(edge, request),
    })
}

/// Hosts that may relay a request; none unless this host received it from its caller and does not
/// reach the service.
fn relays(edge: &Edge, request: &CallerRequest) -> Vec<RelayHost> {
    let steer = edge.steer.borrow();
    if request.relayed.is_some() || !steer.is_cut(&request.service) {
        return Vec::new();
    }
    let homes = request.current_homes(&steer);
    steer.relays(clock::now(), &request.service, homes.as_homes(), hash::of(&request.id))
}

async fn exchange(edge: &Edge, request: &CallerRequest, relay: &RelayHost) -> Relayed {
    let had_run = request.progress.may_have_run.replace(true);
    if let Some(admitted) = &request.workspace {
        admitted.record_sent();
    }
    let id = relay.address.to_string();
    let relay_request = || relay_request(edge, request, &relay.region);
    let relayed = match edge.relay_pool.exchange(&id, relay.address, relay_request).await {
        Exchange::NoConnection | Exchange::NoTime => Relayed::NotRun,
        Exchange::Broken(_) | Exchange::Unusable(_) => Relayed::Unknown,
        Exchange::Whole(parts, bytes) => classify(edge, request, &id, parts, bytes),
    };
    let outcome = match relayed {
        Relayed::Answer(..) => "answered",
        Relayed::Refused(..) => "refused",
        Relayed::NotRun => "not_run",
        Relayed::Unknown => "unknown",
    };
    metrics::counter!("elmstream_relayed", "outcome" => outcome).increment(1);
    if matches!(relayed, Relayed::NotRun | Relayed::Refused(..)) {
        request.progress.may_have_run.set(had_run);
        if let Some(admitted) = &request.workspace {
            admitted.refund(had_run);
        }
    }
    relayed
}

/// The request to send to a relaying host in a region; `None` if no time remains, or the newest
/// known configuration has no route for it or forbids the region.
fn relay_request(edge: &Edge, request: &CallerRequest, region: &str) -> Option<Request<LocalBody>> {
    let header = RelayHeader::new(request);
    let header = header.updated(&edge.steer.borrow(), request.uri.path(), &request.id)?;
    if header.remaining_ms == 0 || !header.homes().as_homes().allow(region) {
        return None;
    }
    let mut relayed = Request::new(backend::request_body(&request.body));
    *relayed.method_mut() = request.method.clone();
    *relayed.uri_mut() = request.uri.clone();
    *relayed.headers_mut() = request.headers.clone();
    relayed.headers_mut().insert(RELAY_HEADER, header.to_value()?);
    Some(relayed)
}

fn classify(
    edge: &Edge,
    request: &CallerRequest,
    relay: &str,
    parts: response::Parts,
    bytes: Bytes,
) -> Relayed {
    let names = &edge.settings.headers;
    let echoed = headers::text(&parts.headers, &names.request_id);
    if echoed.is_some_and(|echoed| echoed != request.id) {
        edge.relay_pool.discard_connections(relay);
        return Relayed::Unknown;
    }
    let is_own_answer =
        parts.headers.contains_key(headers::CODE) && !parts.headers.contains_key(&names.signature);
    match parts.status {
        _ if parts.headers.contains_key(RELAY_HEADER) => Relayed::NotRun,
        StatusCode::SERVICE_UNAVAILABLE if is_own_answer => Relayed::Refused(parts, bytes),
        _ => Relayed::Answer(parts, bytes),
    }
}

fn respond(
    request: &CallerRequest,
    mut parts: response::Parts,
    bytes: Bytes,
) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "relayed").increment(1);
    let took = clock::now().since(request.received);
    metrics::histogram!("elmstream_request_seconds").record(took as f64 / 1e6);
    headers::strip(&mut parts.headers);
    Response::from_parts(parts, body::full(bytes))
}

/// The response to a request that no other host could relay.
fn refuse(edge: &Edge, request: &CallerRequest) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "not_run").increment(1);
    log(edge, request, "not_run_relay", (Code::NoCapacity, StatusCode::SERVICE_UNAVAILABLE));
    callers::retry_later(Code::NoCapacity, NOT_RELAYED_RETRY_MS)
}

/// The response to a relayed request of which no answer came.
fn unknown(edge: &Edge, request: &CallerRequest) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "unknown").increment(1);
    let result = match request.remaining().is_zero() {
        true => (Code::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT),
        false => (Code::BackendFailed, StatusCode::BAD_GATEWAY),
    };
    log(edge, request, "unknown_relay", result);
    callers::reply(result.0, result.1)
}

fn log(edge: &Edge, request: &CallerRequest, event: &str, (code, status): (Code, StatusCode)) {
    let fields = json!({
        "id": request.id, "code": code.number(), "status": status.as_u16(),
        "route": request.route.name, "service": request.service,
        "workspace": request.workspace_name(),
        "took_ms": clock::now().since(request.received) / MILLI,
    });
    edge.event_log.request(event, fields);
}

/// Whether another host relays this request.
pub(crate) fn is_relayed(request: &Request<RequestBody>) -> bool {
    request.headers().contains_key(RELAY_HEADER)
}

/// Counts a relayed request as in flight until it is dropped.
struct Relaying<'a>(&'a Edge);

impl<'a> Relaying<'a> {
    fn start(edge: &'a Edge) -> Option<Relaying<'a>> {
        let relaying = edge.relaying.get();
        (relaying < RELAYING_MAX).then(|| {
            edge.relaying.set(relaying + 1);
            Relaying(edge)
        })
    }
}

impl Drop for Relaying<'_> {
    fn drop(&mut self) {
        self.0.relaying.set(self.0.relaying.get() - 1);
    }
}

/// Serves a request that another host relays; `stopping` resolves when the host sends its last
/// responses.
pub(crate) async fn serve(
    edge: Rc<Edge>,
    stopping: Stop,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let Some(_relaying) = Relaying::start(&edge) else {
        return Ok(cannot_relay(callers::retry_later(Code::NoCapacity, NOT_RELAYED_RETRY_MS)));
    };
    let received = clock::now();
    let id = request.headers().get(&edge.settings.headers.request_id).cloned();
    let progress = Rc::new(RequestProgress::default());
    let answering = {
        let serving = pin!(answer(&edge, request, progress.clone()));
        match select(stopping, serving).await {
            Either::Right((answer, _)) => Some(answer),
            Either::Left(_) => {
                progress.ended.set(true);
                None
            }
        }
    };
    answering
        .unwrap_or_else(|| Ok(callers::aborted_by_stop(&edge, id.as_ref(), received, &progress)))
}

async fn answer(
    edge: &Rc<Edge>,
    request: Request<RequestBody>,
    progress: Rc<RequestProgress>,
) -> Result<Response<LocalBody>, Aborted> {
    let received = clock::now();
    let (mut head, incoming) = request.into_parts();
    let header = head.headers.remove(RELAY_HEADER);
    let Some(header) = header.as_ref().and_then(RelayHeader::parse) else {
        metrics::counter!("elmstream_relay_unreadable").increment(1);
        return Ok(callers::reply(Code::BadRequest, StatusCode::BAD_REQUEST));
    };
    let id = headers::text(&head.headers, &edge.settings.headers.request_id);
    let id = id.unwrap_or_default().to_owned();
    let header = header.with_host(callers::requested_host(&head));
    let remaining = Duration::from_millis(header.remaining_ms);
    let body_of = BodyOf { id: &id, route: &header.route, remaining };
    let body = match Box::pin(counted_body::read_request(edge, body_of, incoming)).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let header = header.updated(&edge.steer.borrow(), head.uri.path(), &id);
    let Some(header) = header else {
        metrics::counter!("elmstream_relay_outdated").increment(1);
        let refusal = callers::retry_later(Code::RoutesStale, NOT_RELAYED_RETRY_MS);
        return Ok(cannot_relay(refusal));
    };
    let homes = header.homes();
    let RelayHeader {
        host,
        route,
        service,
        key,
        has_key,
        returning,
        caller,
        remaining_ms,
        terms,
        ..
    } = header;
    headers::strip(&mut head.headers);
    let request = CallerRequest {
        id,
        caller,
        host,
        route: Rc::new(route),
        service,
        key,
        has_key,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        received,
        deadline: received + remaining_ms * MILLI,
        returning,
        workspace: None,
        relayed: Some(terms),
        version: homes.version,
        homes: RefCell::new(Rc::new(homes)),
        progress,
        digests: OnceCell::new(),
    };
    let response = forward::run(edge, &request).await;
    let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(headers::CODE);
    match is_refusal && edge.steer.borrow().is_cut(&request.service) {
        true => Ok(cannot_relay(response)),
        false => Ok(response),
    }
}

/// Marks a response of a host that does not reach the servers itself, or relays too much already.
fn cannot_relay(mut response: Response<LocalBody>) -> Response<LocalBody> {
    response.headers_mut().insert(RELAY_HEADER, HeaderValue::from_static("unavailable"));
    response
}

/// Opens connections to servers that this host does not reach, until the process ends, to find out
/// when the paths are back.
pub(crate) async fn check_paths(edge: Rc<Edge>) {
    loop {
        compio::time::sleep(PATH_CHECK_INTERVAL).await;
        let due = edge.steer.borrow().path_checks(clock::now().0);
        for index in due {
            let target = edge
                .steer
                .borrow()
                .servers()
                .get(index)
                .map(|entry| (entry.id.clone(), entry.server.address));
            let Some((id, address)) = target else { continue };
            if edge.pool.open_idle(&id, address, SETTLE_TIME).await {
                edge.steer.borrow_mut().record_path_back(clock::now(), index);
            }
        }
    }
}

/// Waits until this host relays no request.
pub(crate) async fn until_idle(edge: &Edge) {
    while edge.relaying.get() > 0 {
        compio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
}
