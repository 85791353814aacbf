//! Stand-in for a backend server.
//!
//! Runs each request for a configured time and answers with JSON that identifies
//! the server, the request's id, and the length and SHA-256 of the body, so that
//! the caller can check the answer. `/bytes/N` is answered with N zero bytes.
//! `/_standin/behaviour` sets speed and faults; `/_standin/seen` returns counts.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use compio::net::TcpListener;
use elmstream_http::{
    BoxError, LocalBody, RequestBody, Stop, body,
    server::{self, Aborted},
};
use futures_channel::oneshot;
use futures_util::StreamExt;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::reply;

/// Header with the time after which a request must not begin, in milliseconds since
/// the Unix epoch.
const BEGIN_BY: &str = "elmstream-begin-by";
/// Header with the time after which a request must end, in milliseconds since the
/// Unix epoch.
const DEADLINE: &str = "elmstream-deadline";
/// Header with the caller's id of the request.
const REQUEST_ID: &str = "elmstream-request-id";
/// Response header that marks a request as not run.
const SHED: &str = "elmstream-shed";
/// Microseconds in a millisecond.
const MILLI: u64 = 1_000;
/// Longest time for which a request runs, in milliseconds.
const WORK_MAX_MS: u64 = 3_600_000;
/// Bytes of a truncated answer that are sent before it is aborted.
const TRUNCATED_BYTES: usize = 8;
/// Time between these bytes and the abort, so that they reach the network first.
const ABORT_DELAY: Duration = Duration::from_millis(30);
/// Size of the chunks of a long answer, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// Speed and faults of a backend server.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Time to run a request, in milliseconds.
    pub run_ms: u64,
    /// Draws each request's time from an exponential distribution with mean `run_ms`.
    pub exponential: bool,
    /// Maximum number of requests that run at the same time, while others wait in
    /// order of arrival; 0 means unlimited.
    pub slots: u32,
    /// Refuses every request, marked as not run.
    pub shed: bool,
    /// Aborts each answer after its first bytes.
    pub truncate: bool,
    /// Accepts requests and never answers them.
    pub hung: bool,
    /// Additional time to run each request, in milliseconds.
    pub late_ms: u64,
    /// Number of requests in flight to report in place of the true one.
    pub false_load: Option<u32>,
}

/// Counts of the requests of a backend server.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RequestStats {
    /// Requests that began to run.
    pub runs: u64,
    /// Highest number of requests that ran at the same time.
    pub in_flight_max: u32,
    /// Requests that are running.
    pub in_flight: u32,
    /// Highest number of requests that waited for a slot at the same time, since the
    /// behaviour was last set.
    pub waiting_max: u32,
    /// Requests refused because their begin-by time or deadline had passed.
    pub after_deadline: u64,
    /// Runs of a POST request whose id this server had run before.
    pub repeated: u64,
    /// Time when the last request began, in milliseconds since the Unix epoch.
    pub last_begin_ms: u64,
    /// Number of runs by id, of POST requests, which may not be repeated.
    pub ids: HashMap<String, u32>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: RefCell<Behaviour>,
    stats: RefCell<RequestStats>,
    /// Requests that wait for a slot, in order of arrival.
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl State {
    /// Waits until one of `slots` is free; 0 means unlimited.
    async fn wait_for_slot(&self, slots: u32) {
        let is_free = slots == 0 || self.stats.borrow().in_flight < slots;
        if is_free {
            return;
        }
        let _ = self.enqueue().await;
    }

    /// Appends to the queue, and returns the receiver of the wake-up.
    fn enqueue(&self) -> oneshot::Receiver<()> {
        let (wake_sender, wake_receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.push_back(wake_sender);
        let mut stats = self.stats.borrow_mut();
        stats.waiting_max = stats.waiting_max.max(waiting.len() as u32);
        wake_receiver
    }

    /// Wakes the first waiting request that has not been dropped.
    fn wake_next(&self) {
        while let Some(wake_sender) = self.waiting.borrow_mut().pop_front() {
            if wake_sender.send(()).is_ok() {
                return;
            }
        }
    }
}

/// Counts a request as in flight until dropped, also if the request is aborted.
struct InFlightGuard(Rc<State>);

impl InFlightGuard {
    fn new(state: &Rc<State>) -> InFlightGuard {
        let mut stats = state.stats.borrow_mut();
        stats.runs += 1;
        stats.in_flight += 1;
        stats.in_flight_max = stats.in_flight_max.max(stats.in_flight);
        stats.last_begin_ms = unix_ms();
        InFlightGuard(state.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.stats.borrow_mut().in_flight -= 1;
        self.0.wake_next();
    }
}

/// Serves until the stop; returns the listener's error if it fails.
pub async fn serve(
    listener: TcpListener,
    name: String,
    behaviour: Behaviour,
    stop: Stop,
) -> io::Result<()> {
    let state = Rc::new(State { behaviour: RefCell::new(behaviour), ..State::default() });
    server::serve(listener, None, stop, move |_, request| {
        let state = state.clone();
        let name = name.clone();
        async move { handle(&state, &name, request).await }
    })
    .await
}

async fn handle(
    state: &Rc<State>,
    name: &str,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    match request.uri().path() {
        "/_standin/behaviour" => Ok(set_behaviour(state, request).await),
        "/_standin/seen" => Ok(reply::json(StatusCode::OK, &*state.stats.borrow())),
        "/health" => Ok(reply::status(StatusCode::OK)),
        "/load" => Ok(report_load(state)),
        _ => run(state, name, request).await,
    }
}

async fn set_behaviour(state: &Rc<State>, request: Request<RequestBody>) -> Response<LocalBody> {
    match reply::read_json(request.into_body()).await {
        Some(behaviour) => {
            *state.behaviour.borrow_mut() = behaviour;
            state.stats.borrow_mut().waiting_max = 0;
            reply::status(StatusCode::NO_CONTENT)
        }
        None => reply::status(StatusCode::BAD_REQUEST),
    }
}

fn report_load(state: &State) -> Response<LocalBody> {
    let true_load = state.stats.borrow().in_flight + state.waiting.borrow().len() as u32;
    let reported = state.behaviour.borrow().false_load.unwrap_or(true_load);
    reply::json(StatusCode::OK, &serde_json::json!({ "in_flight": reported }))
}

async fn run(
    state: &Rc<State>,
    name: &str,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let behaviour = state.behaviour.borrow().clone();
    let (parts, incoming) = request.into_parts();
    if behaviour.shed {
        return Ok(refuse());
    }
    state.wait_for_slot(behaviour.slots).await;
    let begin_by = [BEGIN_BY, DEADLINE].map(|name| header_unix_ms(&parts.headers, name));
    if begin_by.into_iter().flatten().any(|time_ms| time_ms < unix_ms()) {
        state.stats.borrow_mut().after_deadline += 1;
        return Ok(refuse());
    }
    let running = InFlightGuard::new(state);
    let id = header_text(&parts.headers, REQUEST_ID);
    if parts.method == http::Method::POST {
        record_id(&mut state.stats.borrow_mut(), &id);
    }
    let Some((length, digest)) = digest_body(incoming).await else { return Err(Aborted) };
    if !run_until(&behaviour, header_unix_ms(&parts.headers, DEADLINE)).await {
        return Err(Aborted);
    }
    let echo = format!(
        "{{\"backend\":\"{name}\",\"id\":\"{id}\",\"length\":{length},\"digest\":\"{digest}\"}}"
    );
    let zeros_length = parts.uri.path().strip_prefix("/bytes/").and_then(|n| n.parse().ok());
    let answer = match (behaviour.truncate, zeros_length) {
        (true, _) => truncated_body(echo),
        (false, Some(bytes)) => zeros_body(bytes),
        (false, None) => body::full(echo),
    };
    Ok(Response::new(body::holding(answer, running)))
}

/// Runs for the behaviour's time, or until the deadline in milliseconds since the
/// Unix epoch. Returns whether the run ended before the deadline.
async fn run_until(behaviour: &Behaviour, deadline: Option<u64>) -> bool {
    let remaining = deadline.map_or(u64::MAX / 2, |deadline| deadline.saturating_sub(unix_ms()));
    let run = match behaviour.hung {
        true => u64::MAX / 2,
        false => run_time(behaviour) + behaviour.late_ms * MILLI,
    };
    let remaining = remaining.saturating_mul(MILLI);
    compio::time::sleep(Duration::from_micros(run.min(remaining).min(WORK_MAX_MS * MILLI))).await;
    run <= remaining
}

/// Returns the time to run one request, in microseconds.
fn run_time(behaviour: &Behaviour) -> u64 {
    let mean = behaviour.run_ms * MILLI;
    match behaviour.exponential {
        true => (-(1.0 - rand::random::<f64>()).ln() * mean as f64) as u64,
        false => mean,
    }
}

/// Returns the answer to a request that is not run.
fn refuse() -> Response<LocalBody> {
    let mut response = reply::status(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(SHED, http::HeaderValue::from_static("1"));
    response
}

fn record_id(stats: &mut RequestStats, id: &str) {
    if id.is_empty() {
        return;
    }
    let runs = stats.ids.entry(id.into()).or_default();
    *runs += 1;
    if *runs > 1 {
        stats.repeated += 1;
    }
}

/// Returns length and SHA-256 of a body; `None` if it was aborted.
async fn digest_body(mut incoming: RequestBody) -> Option<(u64, String)> {
    let mut length = 0;
    let mut hash = Sha256::new();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            length += data.len() as u64;
            hash.update(&data);
        }
    }
    let digest = hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    Some((length, digest))
}

/// Returns a body that is aborted after the first bytes of the text.
fn truncated_body(text: String) -> LocalBody {
    let part = Bytes::from(text.into_bytes()).slice(..TRUNCATED_BYTES);
    let first = futures_util::stream::iter([Ok(part)]);
    let abort = futures_util::stream::once(async {
        compio::time::sleep(ABORT_DELAY).await;
        Err(BoxError::from("aborted on purpose"))
    });
    body::stream(first.chain(abort))
}

/// Returns a body of zeros, sent in chunks.
fn zeros_body(bytes: usize) -> LocalBody {
    let chunk = Bytes::from(vec![0; CHUNK_BYTES]);
    let whole_chunks = bytes / CHUNK_BYTES;
    let last_chunk = chunk.slice(..bytes % CHUNK_BYTES);
    let chunks = std::iter::repeat_n(chunk, whole_chunks).chain([last_chunk]).map(Ok);
    body::stream(futures_util::stream::iter(chunks))
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().into()
}

/// Returns a header's time, in milliseconds since the Unix epoch.
fn header_unix_ms(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}
