//! Stand-in for the platform: table service, object store and host list.
//!
//! Each of the three has its own faults, set by a request to `/faults/SERVICE`,
//! where SERVICE is `rows`, `objects` or `hosts`. State is kept in memory.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::net::TcpListener;
use elmstream_http::{LocalBody, RequestBody, Stop, body, server, server::Aborted};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::reply;

/// Time for which a call to a silent service hangs.
const SILENT_CALL_DURATION: Duration = Duration::from_secs(60);

/// Faults of one of the platform's services.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Answers every call with status 503.
    pub down: bool,
    /// Executes no calls, and lets them hang longer than clients wait.
    pub silent: bool,
    /// Number of next writes that take effect without an answer.
    pub lose_answers: u32,
    /// Maximum number of calls per second; 0 means unlimited.
    pub calls_per_second: u32,
    /// Age of the answers, in milliseconds; host list only.
    pub lag_ms: u64,
}

/// An entry host in the host list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryHost {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Address that accepts callers' requests.
    pub callers: String,
    /// Address that accepts other entry hosts' connections.
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

/// Counts calls to one service.
#[derive(Debug, Default)]
struct Counter {
    /// Second since start that `calls` belongs to.
    second: u64,
    calls: u32,
    /// Calls since start.
    total: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Version and value by key.
    rows: BTreeMap<String, (u64, Value)>,
    objects: BTreeMap<String, Bytes>,
    /// All host lists that were set, with the time of each, oldest first.
    host_lists: Vec<(Instant, HostList)>,
    faults: BTreeMap<String, Faults>,
    counters: BTreeMap<String, Counter>,
    /// Version of the row that was written last.
    last_version: u64,
}

/// Body of a conditional row write.
#[derive(Deserialize)]
struct PutRow {
    /// Expected version of the row; 0 if it must not exist.
    expect: u64,
    value: Value,
}

/// Serves until the stop; returns the listener's error if it fails.
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
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let (service, key) = split_path(request.uri());
    if service == "faults" {
        return Ok(set_faults(state, &key, request).await);
    }
    if service == "counters" {
        return Ok(counters(&state.borrow()));
    }
    let faults = state.borrow().faults.get(&service).cloned().unwrap_or_default();
    let is_control = service == "hosts" && request.method() == Method::PUT;
    if !is_control && let Some(refused) = apply_faults(state, started, &service, &faults).await {
        return Ok(refused);
    }
    let is_write = request.method() == Method::PUT;
    let answer = match service.as_str() {
        "rows" => rows(state, &key, request).await,
        "objects" => objects(state, &key, request).await,
        "hosts" => hosts(state, &faults, request).await,
        _ => reply::status(StatusCode::NOT_FOUND),
    };
    if is_write && !is_control && take_lost_answer(state, &service) {
        return Err(Aborted);
    }
    Ok(answer)
}

/// Splits the path `/SERVICE/KEY` into service and key.
fn split_path(uri: &Uri) -> (String, String) {
    let path = uri.path().trim_start_matches('/');
    let (service, key) = path.split_once('/').unwrap_or((path, ""));
    (service.into(), key.into())
}

/// Counts a call and applies the faults that precede its execution.
///
/// Returns the answer if the call must not be executed.
async fn apply_faults(
    state: &Rc<RefCell<State>>,
    started: Instant,
    service: &str,
    faults: &Faults,
) -> Option<Response<LocalBody>> {
    let exceeds_rate = state.borrow_mut().count(service, started, faults.calls_per_second);
    if faults.silent {
        compio::time::sleep(SILENT_CALL_DURATION).await;
        return Some(reply::status(StatusCode::GATEWAY_TIMEOUT));
    }
    if faults.delay_ms > 0 {
        compio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Some(reply::status(StatusCode::SERVICE_UNAVAILABLE));
    }
    if exceeds_rate {
        let mut limited = reply::status(StatusCode::TOO_MANY_REQUESTS);
        limited.headers_mut().insert("retry-after", http::HeaderValue::from_static("1"));
        return Some(limited);
    }
    None
}

/// Returns whether to lose the answer to a write, and counts the lost answer.
fn take_lost_answer(state: &Rc<RefCell<State>>, service: &str) -> bool {
    let mut state = state.borrow_mut();
    let Some(faults) = state.faults.get_mut(service) else { return false };
    let is_lost = faults.lose_answers > 0;
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    is_lost
}

async fn set_faults(
    state: &Rc<RefCell<State>>,
    service: &str,
    request: Request<RequestBody>,
) -> Response<LocalBody> {
    let Some(faults) = reply::read_json(request.into_body()).await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    state.borrow_mut().faults.insert(service.into(), faults);
    reply::status(StatusCode::NO_CONTENT)
}

fn counters(state: &State) -> Response<LocalBody> {
    let totals: BTreeMap<_, _> = state.counters.iter().map(|(k, c)| (k, c.total)).collect();
    reply::json(StatusCode::OK, &totals)
}

async fn rows(
    state: &Rc<RefCell<State>>,
    key: &str,
    request: Request<RequestBody>,
) -> Response<LocalBody> {
    if request.method() == Method::PUT {
        let Some(put) = reply::read_json::<PutRow>(request.into_body()).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        return state.borrow_mut().put(key, put);
    }
    let state = state.borrow();
    if let Some(prefix) = query_parameter(request.uri(), "prefix") {
        let matching = state.rows.iter().filter(|(key, _)| key.starts_with(&prefix));
        let rows: Vec<_> = matching
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
    request: Request<RequestBody>,
) -> Response<LocalBody> {
    if request.method() == Method::PUT {
        let Ok(collected) = request.into_body().collect().await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        state.borrow_mut().objects.insert(key.into(), collected.to_bytes());
        return reply::status(StatusCode::NO_CONTENT);
    }
    let state = state.borrow();
    if let Some(prefix) = query_parameter(request.uri(), "prefix") {
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
    request: Request<RequestBody>,
) -> Response<LocalBody> {
    if request.method() == Method::PUT {
        let Some(list) = reply::read_json::<HostList>(request.into_body()).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        state.borrow_mut().host_lists.push((Instant::now(), list));
        return reply::status(StatusCode::NO_CONTENT);
    }
    let state = state.borrow();
    let lag = Duration::from_millis(faults.lag_ms);
    let old_enough = |(since, _): &&(Instant, HostList)| since.elapsed() >= lag;
    let list = state.host_lists.iter().rev().find(old_enough).map(|(_, list)| list.clone());
    reply::json(StatusCode::OK, &list.unwrap_or_default())
}

/// Returns a query parameter's value. Names and values are not unescaped.
fn query_parameter(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.into())
}

impl State {
    /// Counts a call, and returns whether it exceeds `per_second` calls in the current
    /// second. A limit of 0 means unlimited.
    fn count(&mut self, service: &str, started: Instant, per_second: u32) -> bool {
        let counter = self.counters.entry(service.into()).or_default();
        let second = started.elapsed().as_secs();
        if counter.second != second {
            counter.second = second;
            counter.calls = 0;
        }
        counter.calls += 1;
        counter.total += 1;
        per_second > 0 && counter.calls > per_second
    }

    /// Writes a row if it has the expected version. Answers with the row's version.
    fn put(&mut self, key: &str, put: PutRow) -> Response<LocalBody> {
        let current_version = self.rows.get(key).map_or(0, |(version, _)| *version);
        if current_version != put.expect {
            return reply::json(StatusCode::CONFLICT, &json!({ "version": current_version }));
        }
        self.last_version += 1;
        self.rows.insert(key.into(), (self.last_version, put.value));
        reply::json(StatusCode::OK, &json!({ "version": self.last_version }))
    }
}
