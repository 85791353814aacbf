//! Forwards a request to backend servers until one has answered it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use elmstream::{code::Code, time::MILLI};
use elmstream_http::{LocalBody, body};
use elmstream_steer::{
    Pick, PickRequest, Refusal,
    budget::Withdrawal,
    homes::Homes,
    model::Repeatability,
    pick::RefusalReason,
    retry_worth::RetryWorth,
    server_speed::SpeedSource,
    servers::{Outcome, ServerIndex},
};
use elmstreamd::{clock, waits};
use http::{HeaderValue, Request, Response, StatusCode, header, response};
use serde_json::json;

use crate::{
    backend::{self, Exchange},
    callers::{self, CallerRequest, STOPPING_RETRY_MS},
    edge::Edge,
    headers,
    outdated::{self, RefusedRequest},
    poison::{self, SuspectedServer},
    relay,
    server_hints::Hints,
};

/// Time that must remain until the deadline for a request to be sent.
const REMAINING_MIN: Duration = Duration::from_millis(20);

/// Retry-After for a request that servers received but did not run, in milliseconds.
const RETRY_AFTER_MS: u64 = 300;

/// Attempts of a request: the servers that it was sent to and the outcomes.
#[derive(Debug, Default)]
struct Attempts {
    servers: Vec<ServerIndex>,
    /// Servers that were picked and to which nothing was sent.
    withheld: Vec<ServerIndex>,
    /// Id of the server, outcome, and duration in microseconds, by attempt.
    outcomes: Vec<(String, Outcome, u64)>,
    /// Value of the last second send that was considered.
    worth: Option<RetryWorth>,
}

/// Result of an attempt.
enum Attempt {
    /// The server responded; the response goes to the caller.
    Answer(response::Parts, Bytes),
    /// The server ran the request and responded with a server error.
    Failed(response::Parts, Bytes),
    /// The request did not reach the server, or the server did not run it.
    NotRun,
    /// The request was not sent, though the server could be reached; this counts as no attempt.
    Withheld,
    /// The server may have run the request.
    Unknown,
}

/// A request that counts as in flight; dropping this records its outcome.
struct InFlight<'a> {
    edge: &'a Rc<Edge>,
    request: &'a CallerRequest,
    index: ServerIndex,
    /// The retry that was withdrawn for it; returned if nothing was sent.
    retry: Option<Withdrawal>,
    outcome: Outcome,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        let mut steer = self.edge.steer.borrow_mut();
        steer.count_rollout_outcome(now, self.index, &self.request.route.name, self.outcome);
        steer.record_outcome(now, self.index, self.outcome);
        steer.remove_body_in_flight(self.index, self.request.body.len() as u64);
        match self.retry {
            Some(retry) if self.outcome == Outcome::NotSent => {
                steer.return_retry(&self.request.service, retry);
            }
            Some(Withdrawal { worth, .. }) => {
                metrics::counter!("elmstream_retries_spent", "worth" => worth.name()).increment(1);
            }
            None => {}
        }
        if self.outcome == Outcome::CallerGone && !self.request.progress.ended.get() {
            metrics::counter!("elmstream_requests", "outcome" => "left").increment(1);
            let server = steer.servers().get(self.index).map(|entry| entry.id.as_str());
            let took = now.since(self.request.received) / MILLI;
            let fields = json!({"id": self.request.id, "server": server, "took_ms": took});
            self.edge.event_log.request("left", fields);
        }
    }
}

/// Forwards a request and returns the final response for the caller.
pub async fn run(edge: &Rc<Edge>, request: &CallerRequest) -> Response<LocalBody> {
    if request.relayed.is_none() {
        edge.steer.borrow_mut().deposit_retry(clock::now(), &request.service);
    }
    let mut attempts = Attempts::default();
    let mut possibly_run = false;
    let mut failed_response = None;
    while attempts.servers.len() < request.route.attempts.max(1) as usize
        && request.remaining() > REMAINING_MIN
    {
        if edge.stop.get().is_some_and(|stop| !stop.allows_send(clock::now(), request.deadline)) {
            if !possibly_run && failed_response.is_none() {
                return refuse_at_stop(edge, request);
            }
            break;
        }
        let homes = request.current_homes(&edge.steer.borrow());
        if outdated::forbids_sending(edge, request.version, homes.as_homes()) {
            if !possibly_run && failed_response.is_none() {
                return refuse_outdated(edge, request);
            }
            break;
        }
        let is_retry = !attempts.servers.is_empty();
        if !possibly_run && let Some(response) = Box::pin(relay::send(edge, request)).await {
            return response;
        }
        if let Some(refusal) = poison::refusal(edge, request) {
            if !possibly_run && failed_response.is_none() {
                return poison::refuse(edge, request, &refusal);
            }
            // An earlier attempt was sent before the refusal was known, so the request may
            // have run.
            break;
        }
        let homes = request.current_homes(&edge.steer.borrow());
        let chosen = (&attempts.servers[..], &attempts.withheld[..]);
        let pick_request = pick_request(request, homes.as_homes(), chosen);
        if is_retry {
            let steer = edge.steer.borrow();
            let service = &request.service;
            let retry_ms = steer.refused_retry_ms(clock::now(), service, RETRY_AFTER_MS);
            attempts.worth = Some(steer.retry_worth(&pick_request, possibly_run, retry_ms));
        }
        let picked = match pick_next(edge, &pick_request, attempts.worth) {
            Ok(picked) => picked,
            Err(refusal) if is_retry => {
                return give_up(edge, request, &attempts, possibly_run, failed_response, refusal);
            }
            Err(refusal) => return refuse(edge, request, refusal),
        };
        // Boxed, as are the futures below, because a future takes the room of all that it may wait
        // for, several times over if it is passed on.
        match Box::pin(attempt(edge, request, picked, &mut attempts)).await {
            Attempt::Answer(parts, body) => return respond(edge, request, &attempts, parts, body),
            Attempt::Failed(parts, body) if request.route.repeat == Repeatability::Safe => {
                failed_response = Some((parts, body));
            }
            Attempt::Failed(parts, body) => return respond(edge, request, &attempts, parts, body),
            Attempt::NotRun | Attempt::Withheld => {}
            Attempt::Unknown => possibly_run = true,
        }
        if possibly_run && request.route.repeat == Repeatability::Once {
            break;
        }
    }
    let steer = edge.steer.borrow();
    let retry_ms = steer.refused_retry_ms(clock::now(), &request.service, RETRY_AFTER_MS);
    drop(steer);
    let refusal = Refusal::new(RefusalReason::Tries, retry_ms);
    give_up(edge, request, &attempts, possibly_run, failed_response, refusal)
}

/// What the choice of a server goes by; it is none of those that were tried, nor of those to which
/// a send was withheld.
fn pick_request<'a>(
    request: &'a CallerRequest,
    homes: Homes<'a>,
    (tried, withheld): (&'a [ServerIndex], &'a [ServerIndex]),
) -> PickRequest<'a> {
    let workspace = request.workspace.as_ref();
    PickRequest {
        route: &request.route,
        service: &request.service,
        key: request.key,
        tried,
        withheld,
        returning: request.returning,
        homes,
        priority: request.priority(),
        workspace: workspace.map(|admitted| admitted.entry.id),
        remaining_ms: request.remaining().as_millis() as u64,
    }
}

/// Picks the next server. A retry, of the value `retry`, must be within the retry budget, and is
/// withdrawn from it.
fn pick_next(
    edge: &Rc<Edge>,
    pick_request: &PickRequest<'_>,
    retry: Option<RetryWorth>,
) -> Result<(ServerIndex, Option<Withdrawal>), Refusal> {
    let mut steer = edge.steer.borrow_mut();
    let (now, service) = (clock::now(), pick_request.service);
    if let Some(worth) = retry.filter(|worth| !steer.can_retry(now, service, *worth)) {
        metrics::counter!("elmstream_retries_denied", "worth" => worth.name()).increment(1);
        let retry_ms = steer.refused_retry_ms(now, service, RETRY_AFTER_MS);
        return Err(Refusal::new(RefusalReason::Budget, retry_ms));
    }
    match steer.pick_server(now, pick_request) {
        Pick::Send(index) => {
            // The budget is charged only for requests that are sent.
            Ok((index, retry.and_then(|worth| steer.take_retry(service, worth))))
        }
        // Every usable server was tried.
        Pick::Refuse(refusal) if retry.is_some() && refusal.reason == RefusalReason::NoServer => {
            let retry_ms = steer.refused_retry_ms(now, service, refusal.retry_ms);
            Err(Refusal { retry_ms, ..refusal })
        }
        Pick::Refuse(refusal) => Err(refusal),
    }
}

/// Sends a request to one server and records the outcome.
async fn attempt(
    edge: &Rc<Edge>,
    request: &CallerRequest,
    (index, retry): (ServerIndex, Option<Withdrawal>),
    attempts: &mut Attempts,
) -> Attempt {
    let mut in_flight = InFlight { edge, request, index, retry, outcome: Outcome::CallerGone };
    let server_bytes = edge.settings.buffers.server_bytes;
    let body_bytes = request.body.len() as u64;
    edge.steer.borrow_mut().add_body_in_flight(index, body_bytes, server_bytes);
    let target = {
        let steer = edge.steer.borrow();
        let entry = steer.servers().get(index);
        entry.map(|entry| (entry.id.clone(), entry.server.address, entry.start_hash()))
    };
    let Some((id, address, start)) = target else {
        in_flight.outcome = Outcome::NotSent;
        attempts.withheld.push(index);
        return Attempt::Withheld;
    };
    let sent = clock::now();
    let generations = poison::crash_generations(edge, request);
    let was_warm =
        request.has_key && edge.steer.borrow_mut().record_warm_key(sent, index, request.key);
    let had_run = request.progress.may_have_run.replace(true);
    if let Some(admitted) = &request.workspace {
        admitted.record_sent();
    }
    let exchange = edge.pool.exchange(&id, address, || backend_request(edge, request, index, &id));
    let exchange = waits::within(request.deadline, Box::pin(exchange)).await;
    let micros = clock::now().since(sent);
    let answered = Outcome::Answered { micros, was_warm };
    let (outcome, result) = match exchange {
        None => (Outcome::Silent, Attempt::Unknown),
        Some(Exchange::NoConnection) => (Outcome::NoConnection, Attempt::NotRun),
        Some(Exchange::NoTime) => (Outcome::NotSent, Attempt::Withheld),
        Some(Exchange::Broken(head)) => {
            let broken = if head.is_some() { Outcome::Unknown } else { Outcome::NoResponse };
            if let Some(head) = head.filter(|head| echoes_id(edge, request, head)) {
                let hints = Hints::read(&edge.settings.headers, &head);
                hints.apply(edge, index, SpeedSource::BrokenAnswer);
            }
            let server = SuspectedServer { id: id.clone(), address, start };
            match poison::confirm_crash(edge, request, server, generations).await {
                true => (Outcome::ServerCrashed, Attempt::Unknown),
                false => (broken, Attempt::Unknown),
            }
        }
        Some(Exchange::Whole(parts, body)) => {
            on_response(edge, request, (index, &id), (parts, Some(body)), answered)
        }
        Some(Exchange::Unusable(parts)) => {
            on_response(edge, request, (index, &id), (*parts, None), answered)
        }
    };
    if matches!(result, Attempt::NotRun | Attempt::Withheld) {
        request.progress.may_have_run.set(had_run);
        if let Some(admitted) = &request.workspace {
            admitted.refund(had_run);
        }
    }
    let outcome = edge.steer.borrow().refusal_outcome(clock::now(), index, outcome);
    match result {
        Attempt::Withheld => attempts.withheld.push(index),
        _ => attempts.servers.push(index),
    }
    attempts.outcomes.push((id, outcome, micros));
    in_flight.outcome = outcome;
    result
}

/// Takes in a server's response, of which the body is `None` if it cannot be passed on; `answered` is
/// the outcome if the response is the answer to the request.
fn on_response(
    edge: &Edge,
    request: &CallerRequest,
    (index, id): (ServerIndex, &str),
    (parts, body): (response::Parts, Option<Bytes>),
    answered: Outcome,
) -> (Outcome, Attempt) {
    let hints = Hints::read(&edge.settings.headers, &parts);
    let (outcome, result) = classify(edge, request, id, parts, body);
    // A response of another server says nothing about this one.
    if !matches!(outcome, Some(Outcome::Unknown | Outcome::WrongServer)) {
        hints.apply(edge, index, SpeedSource::Answer);
    }
    let outcome = match outcome {
        Some(Outcome::Full) if hints.has_free_slots() => Outcome::RefusedWithFreeSlots,
        outcome => outcome.unwrap_or(answered),
    };
    (outcome, result)
}

/// The request to send to the server; `None` if no time remains, the server has meanwhile asked
/// for no more requests, or a newer configuration forbids its region.
fn backend_request(
    edge: &Edge,
    request: &CallerRequest,
    index: ServerIndex,
    id: &str,
) -> Option<Request<LocalBody>> {
    if request.remaining() <= REMAINING_MIN
        || !edge.steer.borrow().still_accepts(clock::now(), index)
    {
        return None;
    }
    if !may_run_at(edge, request, index) {
        return None;
    }
    let names = &edge.settings.headers;
    let mut backend_request = Request::new(backend::request_body(&request.body));
    *backend_request.method_mut() = request.method.clone();
    *backend_request.uri_mut() = request.uri.clone();
    *backend_request.headers_mut() = request.headers.clone();
    let remaining = request.remaining().as_millis() as u64;
    backend_request.headers_mut().insert(&names.deadline, HeaderValue::from(remaining));
    backend_request.headers_mut().insert(&names.server, HeaderValue::from_str(id).ok()?);
    Some(backend_request)
}

/// Whether the request may run in the region of a server that was picked for it.
fn may_run_at(edge: &Edge, request: &CallerRequest, index: ServerIndex) -> bool {
    let steer = edge.steer.borrow();
    let Some(server) = steer.servers().get(index) else { return false };
    let picked_under = request.homes.borrow().version;
    let homes = request.current_homes(&steer);
    if homes.as_homes().allow(&server.region) {
        return true;
    }
    metrics::counter!("elmstream_homes_moved").increment(1);
    let now = clock::now();
    let fields = json!({
        "id": request.id, "route": request.route.name, "workspace": request.workspace_name(),
        "server": server.id, "region": server.region, "homes": homes.route,
        "workspace_homes": homes.workspace, "picked_under": picked_under,
        "version": homes.version, "took_ms": now.since(request.received) / MILLI,
        "stale_ms": steer.staleness(now) / MILLI,
    });
    edge.event_log.request("homes_moved", fields);
    false
}

/// Whether a response carries the id of this request.
fn echoes_id(edge: &Edge, request: &CallerRequest, head: &response::Parts) -> bool {
    headers::text(&head.headers, &edge.settings.headers.request_id) == Some(request.id.as_str())
}

/// Classifies a response; one that does not belong to the request, or whose body is `None` as it
/// cannot be passed on, is an unknown result. A refusal needs no body.
///
/// The outcome is `None` if the request was answered.
fn classify(
    edge: &Edge,
    request: &CallerRequest,
    id: &str,
    parts: response::Parts,
    body: Option<Bytes>,
) -> (Option<Outcome>, Attempt) {
    let names = &edge.settings.headers;
    let echoed_id = headers::text(&parts.headers, &names.request_id);
    if echoed_id.is_some_and(|echoed_id| echoed_id != request.id) {
        // Even a refusal is accepted only if it belongs to this request.
        edge.pool.discard_connections(id);
        return (Some(Outcome::Unknown), Attempt::Unknown);
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return (Some(Outcome::WrongServer), Attempt::NotRun);
    }
    if parts.headers.contains_key(&names.not_run) {
        return (Some(Outcome::Full), Attempt::NotRun);
    }
    let encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
    let signed = parts.headers.contains_key(&names.signature);
    let is_own = echoed_id.unwrap_or_default() == request.id;
    if !is_own || encoded || (parts.status.is_success() && !signed) {
        edge.pool.discard_connections(id);
        return (Some(Outcome::Unknown), Attempt::Unknown);
    }
    let Some(body) = body else { return (Some(Outcome::Unknown), Attempt::Unknown) };
    poison::record_response(edge, request);
    if parts.status.is_server_error() {
        return (Some(Outcome::Failed), Attempt::Failed(parts, body));
    }
    (None, Attempt::Answer(parts, body))
}

/// Prepares the server's response for the caller.
fn respond(
    edge: &Edge,
    request: &CallerRequest,
    attempts: &Attempts,
    mut parts: response::Parts,
    bytes: Bytes,
) -> Response<LocalBody> {
    let took = clock::now().since(request.received);
    metrics::counter!("elmstream_requests", "outcome" => "answered").increment(1);
    metrics::histogram!("elmstream_request_seconds").record(took as f64 / 1e6);
    if !parts.status.is_success() || edge.event_log.sampled() {
        log_event(edge, request, attempts, "answered", (Code::Ok, parts.status), took);
    }
    let transferred = (request.body.len() + bytes.len()) as u64;
    edge.steer.borrow_mut().record_transfer(&request.service, transferred);
    headers::strip(&mut parts.headers);
    Response::from_parts(parts, body::full(bytes))
}

/// Refuses a request that was not sent to any server.
fn refuse(edge: &Edge, request: &CallerRequest, refusal: Refusal) -> Response<LocalBody> {
    let took = clock::now().since(request.received);
    metrics::counter!("elmstream_requests", "outcome" => "refused").increment(1);
    let code = result_code(refusal.reason, &Attempts::default());
    let fields = json!({
        "id": request.id, "code": code.number(),
        "route": request.route.name, "service": request.service, "status": 503,
        "workspace": request.workspace_name(), "priority": request.priority(),
        "reason": format!("{:?}", refusal.reason), "retry_ms": refusal.retry_ms,
        "servers": refusal.servers, "free": refusal.free_servers, "load_percent": refusal.load_percent,
        "spared": refusal.spared,
        "took_ms": took / MILLI, "returning": request.returning,
        "version": edge.steer.borrow().configuration_version(),
        "stale_ms": edge.steer.borrow().staleness(clock::now()) / MILLI,
    });
    edge.event_log.request("refused", fields);
    callers::retry_later(code, refusal.retry_ms)
}

/// Refuses a request that no server ran and that the host's stop might abort.
fn refuse_at_stop(edge: &Edge, request: &CallerRequest) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "not_run").increment(1);
    let code = Code::Stopping;
    let fields = json!({
        "id": request.id, "code": code.number(), "status": code.http_status(),
        "route": request.route.name, "service": request.service,
        "workspace": request.workspace_name(),
        "took_ms": clock::now().since(request.received) / MILLI,
    });
    edge.event_log.request("not_run_stop", fields);
    callers::retry_later(code, STOPPING_RETRY_MS)
}

/// Refuses a request that no server ran, as the known rules may be out of date.
fn refuse_outdated(edge: &Edge, request: &CallerRequest) -> Response<LocalBody> {
    let refused = RefusedRequest {
        id: &request.id,
        route: &request.route,
        service: &request.service,
        workspace: request.workspace_name(),
        received: request.received,
    };
    outdated::refuse(edge, refused)
}

/// Result code of a request that no server ran.
fn result_code(reason: RefusalReason, attempts: &Attempts) -> Code {
    let last = attempts.outcomes.last().map(|(_, outcome, _)| *outcome);
    match reason {
        RefusalReason::NoServer | RefusalReason::Spared | RefusalReason::Full => Code::NoCapacity,
        RefusalReason::Budget => Code::RetryBudget,
        RefusalReason::Tries if last == Some(Outcome::NoConnection) => Code::BackendConnect,
        RefusalReason::Tries => Code::BackendShed,
    }
}

/// Returns the final response when no further server is tried.
fn give_up(
    edge: &Edge,
    request: &CallerRequest,
    attempts: &Attempts,
    possibly_run: bool,
    failed_response: Option<(response::Parts, Bytes)>,
    refusal: Refusal,
) -> Response<LocalBody> {
    if let Some((parts, body)) = failed_response {
        return respond(edge, request, attempts, parts, body);
    }
    let took = clock::now().since(request.received);
    if !possibly_run {
        metrics::counter!("elmstream_requests", "outcome" => "not_run").increment(1);
        let code = result_code(refusal.reason, attempts);
        let event = format!("not_run_{:?}", refusal.reason).to_lowercase();
        log_event(edge, request, attempts, &event, (code, StatusCode::SERVICE_UNAVAILABLE), took);
        return callers::retry_later(code, refusal.retry_ms);
    }
    metrics::counter!("elmstream_requests", "outcome" => "unknown").increment(1);
    let deadline_passed = request.remaining() <= REMAINING_MIN;
    let (code, status) = match deadline_passed {
        true => (Code::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT),
        false => (Code::BackendFailed, StatusCode::BAD_GATEWAY),
    };
    log_event(edge, request, attempts, "unknown", (code, status), took);
    callers::reply(code, status)
}

fn log_event(
    edge: &Edge,
    request: &CallerRequest,
    attempts: &Attempts,
    event: &str,
    result: (Code, StatusCode),
    took: u64,
) {
    let (code, status) = result;
    let steer = edge.steer.borrow();
    let now = clock::now();
    let tries = attempts.outcomes.iter().map(|(id, outcome, micros)| {
        let entry = steer.servers().find(id).and_then(|index| steer.servers().get(index));
        let occupied = entry.map(|entry| entry.in_flight(now));
        json!({
            "server": id, "outcome": outcome.name(), "ms": micros / MILLI,
            "occupied": occupied, "knew": outcome.was_warm(),
        })
    });
    let tries: Vec<_> = tries.collect();
    let fields = json!({
        "id": request.id, "code": code.number(), "key": request.key % 10_000,
        "content": request.digests(edge).any_caller.hex(),
        "route": request.route.name, "service": request.service,
        "status": status.as_u16(),
        "workspace": request.workspace_name(),
        "tried": tries, "worth": attempts.worth.map(RetryWorth::name), "took_ms": took / MILLI, "version": steer.configuration_version(),
        "stale_ms": steer.staleness(now) / MILLI,
    });
    edge.event_log.request(event, fields);
}
