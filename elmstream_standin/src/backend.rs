//! Stand-in for a backend server.

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
    BoxError, LocalBody, Stop, body,
    server::{self, Cut},
};
use futures_channel::oneshot;
use futures_util::StreamExt;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::reply;

/// Header with the time after which a request must not begin, Unix milliseconds.
const BEGIN_BY: &str = "elmstream-begin-by";
/// Header with the time after which it must end, Unix milliseconds.
const DEADLINE: &str = "elmstream-deadline";
/// Header with the caller's id of the request.
const REQUEST_ID: &str = "elmstream-request-id";
/// Header that says that the request was not run.
const SHED: &str = "elmstream-shed";
/// Microseconds in a millisecond.
const MILLI: u64 = 1_000;
/// Longest time that a request runs, in milliseconds.
const WORK_MAX_MS: u64 = 3_600_000;
/// Bytes of an answer that is cut.
const CUT_AFTER: usize = 8;
/// Time between them and the cut, so that they are on their way.
const CUT_PAUSE: Duration = Duration::from_millis(30);
/// Bytes in a chunk of a long answer.
const CHUNK: usize = 64 << 10;

/// Faults and speed of a backend server.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Time to run a request, in milliseconds.
    pub run_ms: u64,
    /// Draws each request's time from an exponential distribution of that mean.
    pub exponential: bool,
    /// Requests that run at a time, more wait their turn; 0 is no bound.
    pub slots: u32,
    /// Refuses every request as not run.
    pub shed: bool,
    /// Cuts answers in the middle.
    pub truncate: bool,
    /// Takes requests and never answers.
    pub hung: bool,
    /// Answers each request so much later, in milliseconds.
    pub late_ms: u64,
    /// Reports this load in place of the true one.
    pub false_load: Option<u32>,
}

/// What a backend server has seen.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RequestStats {
    /// Requests that it began to run.
    pub runs: u64,
    /// Most requests that ran at a time.
    pub in_flight_max: u32,
    /// Requests that run now.
    pub in_flight: u32,
    /// Most requests that waited for a slot at a time.
    pub waiting_max: u32,
    /// Requests refused because their deadline had passed.
    pub after_deadline: u64,
    /// Requests whose caller's id was run already, here.
    pub repeated: u64,
    /// Milliseconds since the Unix epoch when it last began a request.
    pub last_begin_ms: u64,
    /// Caller's ids of requests that may not be repeated and were run.
    pub ids: HashMap<String, u32>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: RefCell<Behaviour>,
    seen: RefCell<RequestStats>,
    /// Requests that wait for a slot, first come first served.
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl State {
    /// Waits for a slot, if the behaviour bounds them.
    async fn wait_for_slot(&self, slots: u32) {
        let is_free = slots == 0 || self.seen.borrow().in_flight < slots;
        if is_free {
            return;
        }
        let _ = self.queue().await;
    }

    /// Takes a place in the queue.
    fn queue(&self) -> oneshot::Receiver<()> {
        let (waker, woken) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.push_back(waker);
        let mut seen = self.seen.borrow_mut();
        seen.waiting_max = seen.waiting_max.max(waiting.len() as u32);
        woken
    }

    /// Wakes the first of those who wait and are still there.
    fn wake_next(&self) {
        while let Some(waker) = self.waiting.borrow_mut().pop_front() {
            if waker.send(()).is_ok() {
                return;
            }
        }
    }
}

/// Counts a request as in flight until it is dropped, also when it is cut.
struct Running(Rc<State>);

impl Running {
    fn new(state: &Rc<State>) -> Running {
        let mut seen = state.seen.borrow_mut();
        seen.runs += 1;
        seen.in_flight += 1;
        seen.in_flight_max = seen.in_flight_max.max(seen.in_flight);
        seen.last_begin_ms = unix_ms();
        Running(state.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.seen.borrow_mut().in_flight -= 1;
        self.0.wake_next();
    }
}

/// Serves until the stop.
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
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Cut> {
    match request.uri().path() {
        "/_standin/behaviour" => Ok(set_behaviour(state, request).await),
        "/_standin/seen" => Ok(reply::json(StatusCode::OK, &*state.seen.borrow())),
        "/health" => Ok(reply::status(StatusCode::OK)),
        "/load" => Ok(load(state)),
        _ => run(state, name, request).await,
    }
}

async fn set_behaviour(state: &Rc<State>, request: Request<Incoming>) -> Response<LocalBody> {
    match reply::read_json(request.into_body()).await {
        Some(behaviour) => {
            *state.behaviour.borrow_mut() = behaviour;
            state.seen.borrow_mut().waiting_max = 0;
            reply::status(StatusCode::NO_CONTENT)
        }
        None => reply::status(StatusCode::BAD_REQUEST),
    }
}

fn load(state: &State) -> Response<LocalBody> {
    let true_load = state.seen.borrow().in_flight + state.waiting.borrow().len() as u32;
    let told = state.behaviour.borrow().false_load.unwrap_or(true_load);
    reply::json(StatusCode::OK, &serde_json::json!({ "in_flight": told }))
}

async fn run(
    state: &Rc<State>,
    name: &str,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Cut> {
    let behaviour = state.behaviour.borrow().clone();
    let (parts, incoming) = request.into_parts();
    if behaviour.shed {
        return Ok(refuse());
    }
    state.wait_for_slot(behaviour.slots).await;
    let begin_by = [BEGIN_BY, DEADLINE].map(|name| moment(&parts.headers, name));
    if begin_by.into_iter().flatten().any(|moment| moment < unix_ms()) {
        state.seen.borrow_mut().after_deadline += 1;
        return Ok(refuse());
    }
    let running = Running::new(state);
    let id = text(&parts.headers, REQUEST_ID);
    if parts.method == http::Method::POST {
        count(&mut state.seen.borrow_mut(), &id);
    }
    let Some((length, digest)) = digest(incoming).await else { return Err(Cut) };
    if !work(&behaviour, moment(&parts.headers, DEADLINE)).await {
        return Err(Cut);
    }
    let echo = format!(
        "{{\"backend\":\"{name}\",\"id\":\"{id}\",\"length\":{length},\"digest\":\"{digest}\"}}"
    );
    let wanted = parts.uri.path().strip_prefix("/bytes/").and_then(|n| n.parse().ok());
    let answer = match (behaviour.truncate, wanted) {
        (true, _) => cut_short(echo),
        (false, Some(bytes)) => long(bytes),
        (false, None) => body::full(echo),
    };
    Ok(Response::new(body::holding(answer, running)))
}

/// Runs for the behaviour's time; false if the deadline came first.
async fn work(behaviour: &Behaviour, deadline: Option<u64>) -> bool {
    let left = deadline.map_or(u64::MAX / 2, |deadline| deadline.saturating_sub(unix_ms()));
    let run = match behaviour.hung {
        true => u64::MAX / 2,
        false => run_time(behaviour) + behaviour.late_ms * MILLI,
    };
    let left = left.saturating_mul(MILLI);
    compio::time::sleep(Duration::from_micros(run.min(left).min(WORK_MAX_MS * MILLI))).await;
    run <= left
}

/// The time that one request runs, in microseconds.
fn run_time(behaviour: &Behaviour) -> u64 {
    let mean = behaviour.run_ms * MILLI;
    match behaviour.exponential {
        true => (-(1.0 - rand::random::<f64>()).ln() * mean as f64) as u64,
        false => mean,
    }
}

/// The answer to a request that is not run.
fn refuse() -> Response<LocalBody> {
    let mut response = reply::status(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(SHED, http::HeaderValue::from_static("1"));
    response
}

fn count(seen: &mut RequestStats, id: &str) {
    if id.is_empty() {
        return;
    }
    let runs = seen.ids.entry(id.into()).or_default();
    *runs += 1;
    if *runs > 1 {
        seen.repeated += 1;
    }
}

/// Length and SHA-256 of a body; `None` if it was cut.
async fn digest(mut incoming: Incoming) -> Option<(u64, String)> {
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

/// A body whose stream fails after a part of the text has been sent.
fn cut_short(text: String) -> LocalBody {
    let part = Bytes::from(text.into_bytes()).slice(..CUT_AFTER);
    let first = futures_util::stream::iter([Ok(part)]);
    let cut = futures_util::stream::once(async {
        compio::time::sleep(CUT_PAUSE).await;
        Err(BoxError::from("cut on purpose"))
    });
    body::stream(first.chain(cut))
}

/// A long body of zeros.
fn long(bytes: usize) -> LocalBody {
    let chunk = Bytes::from(vec![0; CHUNK]);
    let whole = bytes / CHUNK;
    let rest = chunk.slice(..bytes % CHUNK);
    let chunks = std::iter::repeat_n(chunk, whole).chain([rest]).map(Ok);
    body::stream(futures_util::stream::iter(chunks))
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().into()
}

/// A header's moment, in milliseconds since the Unix epoch.
fn moment(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
