//! Sends a request to backend servers until one has answered it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use elmstream::{code::Code, time::MILLI};
use elmstream_http::{LocalBody, body};
use elmstream_steer::{
    Pick, PickRequest, Refusal,
    model::Repeatability,
    pick::RefusalReason,
    servers::{Outcome, ServerIndex},
};
use elmstreamd::{clock, waits};
use http::{HeaderValue, Request, Response, StatusCode, header, response};
use serde_json::json;

use crate::{
    backend::{self, Exchange},
    callers::{self, CallerRequest},
    edge::Edge,
    headers,
    poison::{self, SuspectedServer},
    server_hints::Hints,
};

/// Time that must be left for a request to be sent at all.
const LEAST: Duration = Duration::from_millis(20);

/// When to come back if servers did not run a request that was sent to them.
const AGAIN_MS: u64 = 300;

/// Servers that a request was sent to, and what became of it there.
#[derive(Debug, Default)]
struct Tried {
    servers: Vec<ServerIndex>,
    /// Their ids, what they came to, and after how many microseconds.
    notes: Vec<(String, Outcome, u64)>,
}

/// What a try came to.
enum Try {
    /// The server answered; the answer goes to the caller.
    Answer(response::Parts, Bytes),
    /// The server failed after it had run the request.
    Failed(response::Parts, Bytes),
    /// The request did not reach the server, or it did not run it.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A request that counts as sent, until this is dropped.
struct InFlight<'a> {
    edge: &'a Rc<Edge>,
    call: &'a CallerRequest,
    index: ServerIndex,
    outcome: Outcome,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        let mut steer = self.edge.steer.borrow_mut();
        steer.count_rollout_outcome(now, self.index, &self.call.route.name, self.outcome);
        steer.record_outcome(now, self.index, self.outcome);
        if self.outcome == Outcome::CallerGone && !self.call.progress.ended.get() {
            metrics::counter!("elmstream_requests", "outcome" => "left").increment(1);
            let server = steer.servers().get(self.index).map(|entry| entry.id.as_str());
            let took = now.since(self.call.received) / MILLI;
            let fields = json!({"id": self.call.id, "server": server, "took_ms": took});
            self.edge.event_log.request("left", fields);
        }
    }
}

/// Sends a request on, and gives its final answer.
pub async fn run(edge: &Rc<Edge>, call: &CallerRequest) -> Response<LocalBody> {
    edge.steer.borrow_mut().deposit_retry(clock::now(), &call.service);
    let mut tried = Tried::default();
    let mut unknown = false;
    let mut failed = None;
    while tried.servers.len() < call.route.attempts.max(1) as usize && call.left() > LEAST {
        let again = !tried.servers.is_empty();
        if let Some(known) = poison::known(edge, call) {
            if !unknown && failed.is_none() {
                return poison::refuse(edge, call, &known);
            }
            // It was sent before that was known, so it may have run.
            break;
        }
        let (route, service) = (&call.route, &call.service);
        let (key, returning) = (call.key, call.returning);
        let homes = call.workspace.as_ref().map(|counted| counted.entry.workspace.homes.as_slice());
        let homes = homes.unwrap_or_default();
        let ask = PickRequest { route, service, key, tried: &tried.servers, returning, homes };
        let index = match choose(edge, &ask, again) {
            Ok(index) => index,
            Err(refusal) if again => {
                return give_up(edge, call, &tried, unknown, failed, refusal);
            }
            Err(refusal) => return refused(edge, call, refusal),
        };
        match attempt(edge, call, index, &mut tried).await {
            Try::Answer(parts, body) => return answer(edge, call, &tried, parts, body),
            Try::Failed(parts, body) if call.route.repeat == Repeatability::Safe => {
                failed = Some((parts, body));
            }
            Try::Failed(parts, body) => return answer(edge, call, &tried, parts, body),
            Try::NotRun => {}
            Try::Unknown => unknown = true,
        }
        if unknown && call.route.repeat == Repeatability::Once {
            break;
        }
    }
    let refusal = Refusal::new(RefusalReason::Tries, AGAIN_MS);
    give_up(edge, call, &tried, unknown, failed, refusal)
}

/// The next server; a further one must be within the retry budget.
fn choose(edge: &Rc<Edge>, ask: &PickRequest<'_>, again: bool) -> Result<ServerIndex, Refusal> {
    let mut steer = edge.steer.borrow_mut();
    if again && !steer.can_retry(ask.service) {
        metrics::counter!("elmstream_retries_denied").increment(1);
        return Err(Refusal::new(RefusalReason::Budget, AGAIN_MS));
    }
    match steer.pick_server(clock::now(), ask) {
        Pick::Send(index) => {
            // Only what is sent is spent.
            if again {
                steer.withdraw_retry(ask.service);
            }
            Ok(index)
        }
        Pick::Refuse(refusal) => Err(refusal),
    }
}

/// Sends a request to one server.
async fn attempt(
    edge: &Rc<Edge>,
    call: &CallerRequest,
    index: ServerIndex,
    tried: &mut Tried,
) -> Try {
    let mut flight = InFlight { edge, call, index, outcome: Outcome::CallerGone };
    tried.servers.push(index);
    let target = {
        let steer = edge.steer.borrow();
        let entry = steer.servers().get(index);
        entry.map(|entry| (entry.id.clone(), entry.server.address, entry.start_hash()))
    };
    let Some((id, address, start)) = target else {
        flight.outcome = Outcome::NoConnection;
        return Try::NotRun;
    };
    let sent = clock::now();
    let generations = poison::generations(edge, call);
    let knew = call.has_key && edge.steer.borrow_mut().record_warm_key(sent, index, call.key);
    let had_run = call.progress.may_have_run.replace(true);
    if let Some(counted) = &call.workspace {
        counted.record_sent();
    }
    let exchange = edge.pool.exchange(&id, address, || request(edge, call, index, &id));
    let exchange = waits::within(call.deadline, exchange).await;
    let micros = clock::now().since(sent);
    let (outcome, result) = match exchange {
        None => (Outcome::Silent, Try::Unknown),
        Some(Exchange::NoConnection) => (Outcome::NoConnection, Try::NotRun),
        Some(Exchange::NoTime) => (Outcome::NotSent, Try::NotRun),
        Some(Exchange::Broken(head)) => {
            if let Some(head) = head.filter(|head| echoes(edge, call, head)) {
                Hints::read(&edge.settings.headers, &head).take(edge, index);
            }
            let server = SuspectedServer { id: id.clone(), address, start };
            match poison::ended(edge, call, server, generations).await {
                true => (Outcome::ServerCrashed, Try::Unknown),
                false => (Outcome::Unknown, Try::Unknown),
            }
        }
        Some(Exchange::Whole(parts, body)) => {
            let hints = Hints::read(&edge.settings.headers, &parts);
            let (outcome, result) = judge(edge, call, &id, parts, body);
            // What is not this server's answer says nothing of it.
            if !matches!(outcome, Some(Outcome::Unknown | Outcome::WrongServer)) {
                hints.take(edge, index);
            }
            (outcome.unwrap_or(Outcome::Answered { micros, was_warm: knew }), result)
        }
    };
    if matches!(result, Try::NotRun) {
        call.progress.may_have_run.set(had_run);
        if let Some(counted) = &call.workspace {
            counted.refund(had_run);
        }
    }
    tried.notes.push((id, outcome, micros));
    flight.outcome = outcome;
    result
}

/// The request as the server gets it; none if no time is left for it, or the server has
/// said meanwhile that it wants none.
fn request(
    edge: &Edge,
    call: &CallerRequest,
    index: ServerIndex,
    id: &str,
) -> Option<Request<LocalBody>> {
    if call.left() <= LEAST || !edge.steer.borrow().still_accepts(clock::now(), index) {
        return None;
    }
    let names = &edge.settings.headers;
    let mut request = Request::new(backend::sendable(&call.body));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let left = call.left().as_millis() as u64;
    request.headers_mut().insert(&names.deadline, HeaderValue::from(left));
    request.headers_mut().insert(&names.server, HeaderValue::from_str(id).ok()?);
    Some(request)
}

/// Whether an answer names the request that it is for, and that is this one.
fn echoes(edge: &Edge, call: &CallerRequest, head: &response::Parts) -> bool {
    headers::text(&head.headers, &edge.settings.headers.request_id) == Some(call.id.as_str())
}

/// What a whole answer means; one that is not the request's is none.
///
/// No outcome is told if the request was answered.
fn judge(
    edge: &Edge,
    call: &CallerRequest,
    id: &str,
    parts: response::Parts,
    body: Bytes,
) -> (Option<Outcome>, Try) {
    let names = &edge.settings.headers;
    let echoed = headers::text(&parts.headers, &names.request_id);
    if echoed.is_some_and(|echoed| echoed != call.id) {
        // Even a refusal is believed only if it is this request's.
        edge.pool.discard_connections(id);
        return (Some(Outcome::Unknown), Try::Unknown);
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return (Some(Outcome::WrongServer), Try::NotRun);
    }
    if parts.headers.contains_key(&names.not_run) {
        return (Some(Outcome::Full), Try::NotRun);
    }
    let encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
    let signed = parts.headers.contains_key(&names.signature);
    let own = echoed.unwrap_or_default() == call.id;
    if !own || encoded || (parts.status.is_success() && !signed) {
        edge.pool.discard_connections(id);
        return (Some(Outcome::Unknown), Try::Unknown);
    }
    poison::answered(edge, call);
    if parts.status.is_server_error() {
        return (Some(Outcome::Failed), Try::Failed(parts, body));
    }
    (None, Try::Answer(parts, body))
}

/// The server's answer, for the caller.
fn answer(
    edge: &Edge,
    call: &CallerRequest,
    tried: &Tried,
    mut parts: response::Parts,
    bytes: Bytes,
) -> Response<LocalBody> {
    let took = clock::now().since(call.received);
    metrics::counter!("elmstream_requests", "outcome" => "answered").increment(1);
    metrics::histogram!("elmstream_request_seconds").record(took as f64 / 1e6);
    if !parts.status.is_success() || edge.event_log.sampled() {
        log(edge, call, tried, "answered", (Code::Ok, parts.status), took);
    }
    headers::strip(&mut parts.headers);
    Response::from_parts(parts, body::full(bytes))
}

/// The request is refused before it was sent.
fn refused(edge: &Edge, call: &CallerRequest, refusal: Refusal) -> Response<LocalBody> {
    let took = clock::now().since(call.received);
    metrics::counter!("elmstream_requests", "outcome" => "refused").increment(1);
    let code = code(refusal.reason, &Tried::default());
    let fields = json!({
        "id": call.id, "code": code.number(),
        "route": call.route.name, "service": call.service, "status": 503,
        "workspace": call.workspace_name(), "priority": call.priority(),
        "reason": format!("{:?}", refusal.reason), "retry_ms": refusal.retry_ms,
        "servers": refusal.servers, "free": refusal.free_servers, "load_percent": refusal.load_percent,
        "spared": refusal.spared,
        "took_ms": took / MILLI, "returning": call.returning,
        "version": edge.steer.borrow().configuration_version(),
        "stale_ms": edge.steer.borrow().staleness(clock::now()) / MILLI,
    });
    edge.event_log.request("refused", fields);
    callers::refuse(code, refusal.retry_ms)
}

/// The result code of a request that no server ran.
fn code(reason: RefusalReason, tried: &Tried) -> Code {
    let last = tried.notes.last().map(|(_, outcome, _)| *outcome);
    match reason {
        RefusalReason::NoServer | RefusalReason::Spared | RefusalReason::Full => Code::NoCapacity,
        RefusalReason::Budget => Code::RetryBudget,
        RefusalReason::Tries if last == Some(Outcome::NoConnection) => Code::BackendConnect,
        RefusalReason::Tries => Code::BackendShed,
    }
}

/// No further server is asked.
fn give_up(
    edge: &Edge,
    call: &CallerRequest,
    tried: &Tried,
    unknown: bool,
    failed: Option<(response::Parts, Bytes)>,
    refusal: Refusal,
) -> Response<LocalBody> {
    if let Some((parts, body)) = failed {
        return answer(edge, call, tried, parts, body);
    }
    let took = clock::now().since(call.received);
    if !unknown {
        metrics::counter!("elmstream_requests", "outcome" => "not_run").increment(1);
        let code = code(refusal.reason, tried);
        let event = format!("not_run_{:?}", refusal.reason).to_lowercase();
        log(edge, call, tried, &event, (code, StatusCode::SERVICE_UNAVAILABLE), took);
        return callers::refuse(code, refusal.retry_ms);
    }
    metrics::counter!("elmstream_requests", "outcome" => "unknown").increment(1);
    let late = call.left() <= LEAST;
    let (code, status) = match late {
        true => (Code::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT),
        false => (Code::BackendFailed, StatusCode::BAD_GATEWAY),
    };
    log(edge, call, tried, "unknown", (code, status), took);
    callers::plain(code, status)
}

fn log(
    edge: &Edge,
    call: &CallerRequest,
    tried: &Tried,
    event: &str,
    answer: (Code, StatusCode),
    took: u64,
) {
    let (code, status) = answer;
    let steer = edge.steer.borrow();
    let now = clock::now();
    let tries = tried.notes.iter().map(|(id, outcome, micros)| {
        let entry = steer.servers().find(id).and_then(|index| steer.servers().get(index));
        let occupied = entry.map(|entry| entry.in_flight(now));
        json!({
            "server": id, "outcome": outcome.name(), "ms": micros / MILLI,
            "occupied": occupied, "knew": outcome.was_warm(),
        })
    });
    let tries: Vec<_> = tries.collect();
    let fields = json!({
        "id": call.id, "code": code.number(), "key": call.key % 10_000,
        "content": call.digests(edge).any_caller.hex(),
        "route": call.route.name, "service": call.service, "status": status.as_u16(),
        "workspace": call.workspace_name(),
        "tried": tries, "took_ms": took / MILLI, "version": steer.configuration_version(),
        "stale_ms": steer.staleness(now) / MILLI,
    });
    edge.event_log.request(event, fields);
}
