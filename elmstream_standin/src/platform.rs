//! Stand-in for the platform: table service, object store and host list.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::net::TcpListener;
use elmstream_http::{LocalBody, Stop, body, server, server::Cut};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::reply;

/// How long a call hangs that is never answered.
const HANG: Duration = Duration::from_secs(60);

/// Faults of one of the platform's services.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Time before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Answers 503 to everything.
    pub down: bool,
    /// Never answers, and does nothing.
    pub silent: bool,
    /// So many writes take effect without an answer.
    pub lose_answers: u32,
    /// Calls in a second at most; 0 is no bound.
    pub calls_per_second: u32,
    /// How old an answer is, in milliseconds (host list only).
    pub lag_ms: u64,
}

/// An entry host in the host list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryHost {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where it takes callers' requests.
    pub callers: String,
    /// Where it takes other entry hosts' connections.
    pub peers: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The host list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct HostList {
    /// Entry hosts.
    pub entry_hosts: Vec<EntryHost>,
    /// Names of backend servers that are leaving.
    #[serde(default)]
    pub backend_servers_leaving: Vec<String>,
}

#[derive(Debug, Default)]
struct Counter {
    second: u64,
    calls: u32,
    total: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, (u64, Value)>,
    objects: BTreeMap<String, Bytes>,
    lists: Vec<(Instant, HostList)>,
    faults: BTreeMap<String, Faults>,
    counters: BTreeMap<String, Counter>,
    versions: u64,
}

#[derive(Deserialize)]
struct PutRow {
    expect: u64,
    value: Value,
}

/// Serves until the stop.
pub async fn serve(listener: TcpListener, stop: Stop) -> io::Result<()> {
    let state = Rc::new(RefCell::new(State::default()));
    let started = Instant::now();
    server::serve(listener, None, stop, move |_, request| {
        let state = state.clone();
        async move { handle(&state, started, request).await }
    })
    .await
}

async fn handle(
    state: &Rc<RefCell<State>>,
    started: Instant,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Cut> {
    let (part, rest) = split(request.uri());
    if part == "faults" {
        return Ok(set_faults(state, &rest, request).await);
    }
    if part == "counters" {
        return Ok(counters(&state.borrow()));
    }
    let faults = state.borrow().faults.get(&part).cloned().unwrap_or_default();
    let admin = part == "hosts" && request.method() == Method::PUT;
    if !admin && let Some(refused) = before(state, started, &part, &faults).await {
        return Ok(refused);
    }
    let is_write = request.method() == Method::PUT;
    let answer = match part.as_str() {
        "rows" => rows(state, &rest, request).await,
        "objects" => objects(state, &rest, request).await,
        "hosts" => hosts(state, &faults, request).await,
        _ => reply::status(StatusCode::NOT_FOUND),
    };
    if is_write && !admin && lose(state, &part) {
        return Err(Cut);
    }
    Ok(answer)
}

/// Splits `/part/rest`.
fn split(uri: &Uri) -> (String, String) {
    let path = uri.path().trim_start_matches('/');
    let (part, rest) = path.split_once('/').unwrap_or((path, ""));
    (part.into(), rest.into())
}

/// Applies the faults that come before the work.
async fn before(
    state: &Rc<RefCell<State>>,
    started: Instant,
    part: &str,
    faults: &Faults,
) -> Option<Response<LocalBody>> {
    let over = state.borrow_mut().count(part, started, faults.calls_per_second);
    if faults.silent {
        compio::time::sleep(HANG).await;
        return Some(reply::status(StatusCode::GATEWAY_TIMEOUT));
    }
    if faults.delay_ms > 0 {
        compio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Some(reply::status(StatusCode::SERVICE_UNAVAILABLE));
    }
    if over {
        let mut limited = reply::status(StatusCode::TOO_MANY_REQUESTS);
        limited.headers_mut().insert("retry-after", http::HeaderValue::from_static("1"));
        return Some(limited);
    }
    None
}

/// Whether the answer to a write is to be lost.
fn lose(state: &Rc<RefCell<State>>, part: &str) -> bool {
    let mut state = state.borrow_mut();
    let Some(faults) = state.faults.get_mut(part) else { return false };
    let lost = faults.lose_answers > 0;
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    lost
}

async fn set_faults(
    state: &Rc<RefCell<State>>,
    part: &str,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let Some(faults) = reply::read_json(request.into_body()).await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    state.borrow_mut().faults.insert(part.into(), faults);
    reply::status(StatusCode::NO_CONTENT)
}

fn counters(state: &State) -> Response<LocalBody> {
    let totals: BTreeMap<_, _> = state.counters.iter().map(|(k, c)| (k, c.total)).collect();
    reply::json(StatusCode::OK, &totals)
}

async fn rows(
    state: &Rc<RefCell<State>>,
    key: &str,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    if request.method() == Method::PUT {
        let Some(put) = reply::read_json::<PutRow>(request.into_body()).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        return state.borrow_mut().put(key, put);
    }
    let state = state.borrow();
    if let Some(prefix) = query(request.uri(), "prefix") {
        let found = state.rows.iter().filter(|(key, _)| key.starts_with(&prefix));
        let rows: Vec<_> = found
            .map(|(key, (version, value))| json!({"key": key, "version": version, "value": value}))
            .collect();
        return reply::json(StatusCode::OK, &json!({ "rows": rows }));
    }
    match state.rows.get(key) {
        Some((version, value)) => {
            reply::json(StatusCode::OK, &json!({"version": version, "value": value}))
        }
        None => reply::status(StatusCode::NOT_FOUND),
    }
}

async fn objects(
    state: &Rc<RefCell<State>>,
    key: &str,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    if request.method() == Method::PUT {
        let Ok(collected) = request.into_body().collect().await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        state.borrow_mut().objects.insert(key.into(), collected.to_bytes());
        return reply::status(StatusCode::NO_CONTENT);
    }
    let state = state.borrow();
    if let Some(prefix) = query(request.uri(), "prefix") {
        let keys: Vec<_> = state.objects.keys().filter(|k| k.starts_with(&prefix)).collect();
        return reply::json(StatusCode::OK, &json!({ "keys": keys }));
    }
    match state.objects.get(key) {
        Some(bytes) => Response::new(body::full(bytes.clone())),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}

async fn hosts(
    state: &Rc<RefCell<State>>,
    faults: &Faults,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    if request.method() == Method::PUT {
        let Some(list) = reply::read_json::<HostList>(request.into_body()).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        state.borrow_mut().lists.push((Instant::now(), list));
        return reply::status(StatusCode::NO_CONTENT);
    }
    let state = state.borrow();
    let lag = Duration::from_millis(faults.lag_ms);
    let old_enough = |(since, _): &&(Instant, HostList)| since.elapsed() >= lag;
    let list = state.lists.iter().rev().find(old_enough).map(|(_, list)| list.clone());
    reply::json(StatusCode::OK, &list.unwrap_or_default())
}

/// The value of a parameter in the query; names and values are not escaped.
fn query(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.into())
}

impl State {
    /// Counts a call; true if the rate is exceeded.
    fn count(&mut self, part: &str, started: Instant, per_second: u32) -> bool {
        let counter = self.counters.entry(part.into()).or_default();
        let second = started.elapsed().as_secs();
        if counter.second != second {
            counter.second = second;
            counter.calls = 0;
        }
        counter.calls += 1;
        counter.total += 1;
        per_second > 0 && counter.calls > per_second
    }

    /// Writes a row if its version is the expected one.
    fn put(&mut self, key: &str, put: PutRow) -> Response<LocalBody> {
        let present = self.rows.get(key).map_or(0, |(version, _)| *version);
        if present != put.expect {
            return reply::json(StatusCode::CONFLICT, &json!({ "version": present }));
        }
        self.versions += 1;
        self.rows.insert(key.into(), (self.versions, put.value));
        reply::json(StatusCode::OK, &json!({ "version": self.versions }))
    }
}
