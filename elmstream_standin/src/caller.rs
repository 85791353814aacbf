//! Load generator: sends requests at planned times and checks every answer.
//!
//! The load is open-loop: a slow answer does not delay later requests, and latency
//! counts from the planned time.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use elmstream_http::{LocalBody, body, client};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::{
    report::Report,
    target::{Pick, Targets},
};

/// Timeout to open a connection, and to find the first targets.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a request without a complete answer counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for requests in flight at the end of a load run.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two rounds of load queries to all targets.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// What a load run sends, and where.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entry hosts for look-ups, used round robin. If empty, requests go to `targets`.
    pub lookup_hosts: Vec<SocketAddr>,
    /// Addresses to send to without look-ups.
    pub targets: Vec<SocketAddr>,
    /// Name of the service.
    pub service: String,
    /// Requests per second.
    pub per_second: u32,
    /// Duration of the load run.
    pub duration: Duration,
    /// `GET`, or `POST` for requests that may not be repeated.
    pub method: http::Method,
    /// Size of each request's body, in bytes.
    pub body_bytes: usize,
    /// Prefix of the request ids, which the number of the request follows.
    pub id_prefix: String,
    /// IP address to send from; `None` lets the system choose.
    pub source_ip: Option<IpAddr>,
    /// Method to choose targets.
    pub pick: Pick,
}

impl Default for LoadPlan {
    fn default() -> LoadPlan {
        LoadPlan {
            lookup_hosts: Vec::new(),
            targets: Vec::new(),
            service: String::new(),
            per_second: 100,
            duration: Duration::from_secs(5),
            method: http::Method::GET,
            body_bytes: 0,
            id_prefix: String::new(),
            source_ip: None,
            pick: Pick::default(),
        }
    }
}

/// An entry host's answer to a look-up.
#[derive(Deserialize)]
struct Lookup {
    ttl_ms: u64,
    entry_hosts: Vec<LookupHost>,
}

#[derive(Deserialize)]
struct LookupHost {
    callers: SocketAddr,
    weight: u32,
}

/// The part of a backend server's answer that identifies the request.
#[derive(Deserialize)]
struct Echo {
    id: String,
    length: u64,
    digest: String,
}

/// State of one load run.
struct Caller {
    plan: LoadPlan,
    begin: Instant,
    report: RefCell<Report>,
    idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<LocalBody>>>>,
    targets: Targets,
    /// Entry hosts of weight 0, used only if a target cannot be reached.
    standby: RefCell<Vec<SocketAddr>>,
    payload: Bytes,
    /// SHA-256 of the payload, in hexadecimal.
    digest: String,
}

/// Runs a load to its end and returns its report.
pub async fn run(plan: LoadPlan) -> Report {
    let payload = Bytes::from(vec![b'x'; plan.body_bytes]);
    let digest = Sha256::digest(&payload).iter().map(|byte| format!("{byte:02x}")).collect();
    let caller = Rc::new(Caller {
        targets: Targets::new(plan.pick, &plan.targets),
        standby: RefCell::default(),
        plan,
        begin: Instant::now(),
        report: RefCell::default(),
        idle: RefCell::default(),
        payload,
        digest,
    });
    let lookup_task = compio::runtime::spawn(keep_looking_up(caller.clone()));
    let poll_task = compio::runtime::spawn(keep_polling_loads(caller.clone()));
    if !caller.plan.lookup_hosts.is_empty() {
        wait_for_targets(&caller).await;
    }
    send_all(&caller).await;
    drop(lookup_task);
    drop(poll_task);
    let end = Instant::now() + FINISH_TIMEOUT;
    while Rc::strong_count(&caller) > 1 && Instant::now() < end {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    caller.report.take()
}

/// Sends each request at its planned time, in a task of its own.
async fn send_all(caller: &Rc<Caller>) {
    let total = u64::from(caller.plan.per_second) * caller.plan.duration.as_millis() as u64 / 1_000;
    let interval = Duration::from_secs(1) / caller.plan.per_second.max(1);
    let start = Instant::now();
    for number in 0..total {
        let due = start + interval * number as u32;
        let now = Instant::now();
        if due > now {
            compio::time::sleep(due - now).await;
        }
        let caller = caller.clone();
        compio::runtime::spawn(async move { caller.send(number, due).await }).detach();
    }
}

/// Waits for the first look-up that returns targets, at most for [`CONNECT_TIMEOUT`].
async fn wait_for_targets(caller: &Rc<Caller>) {
    let end = Instant::now() + CONNECT_TIMEOUT;
    while caller.targets.is_empty() && Instant::now() < end {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Repeats the look-up each time that the last answer expires.
async fn keep_looking_up(caller: Rc<Caller>) {
    let mut lookups = 0;
    while !caller.plan.lookup_hosts.is_empty() {
        let host = caller.plan.lookup_hosts[lookups % caller.plan.lookup_hosts.len()];
        lookups += 1;
        let pause = match lookup(&caller.plan, host).await {
            Some(answer) => {
                let with_weight = |is_positive: bool| {
                    let hosts =
                        answer.entry_hosts.iter().filter(move |h| (h.weight > 0) == is_positive);
                    hosts.map(|h| h.callers).collect::<Vec<_>>()
                };
                caller.targets.replace(&with_weight(true));
                *caller.standby.borrow_mut() = with_weight(false);
                answer.ttl_ms
            }
            None => 100,
        };
        compio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Queries the targets' loads periodically.
async fn keep_polling_loads(caller: Rc<Caller>) {
    loop {
        caller.targets.poll_loads().await;
        compio::time::sleep(LOAD_POLL_INTERVAL).await;
    }
}

async fn lookup(plan: &LoadPlan, host: SocketAddr) -> Option<Lookup> {
    let mut sender = client::connect_from(plan.source_ip, host, CONNECT_TIMEOUT).await.ok()?;
    let uri = format!("/v1/lookup?service={}", plan.service);
    let request = Request::get(uri).header("host", host.to_string()).body(body::empty()).ok()?;
    let response = sender.send_request(request).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Result of one request, in the terms of [`Report`].
enum Outcome {
    Whole,
    Wrong,
    Cut,
    Refused(u16),
    Failed,
}

impl Caller {
    /// Sends a request and records its result.
    async fn send(&self, number: u64, due: Instant) {
        self.report.borrow_mut().sent += 1;
        let attempt = compio::time::timeout(REQUEST_TIMEOUT, self.attempt(number));
        let outcome = attempt.await.unwrap_or(Outcome::Failed);
        let mut report = self.report.borrow_mut();
        report.record_end(due - self.begin, matches!(outcome, Outcome::Whole));
        match outcome {
            Outcome::Whole => {
                report.whole += 1;
                let _ = report.latency.record(due.elapsed().as_micros() as u64);
            }
            Outcome::Wrong => report.wrong += 1,
            Outcome::Cut => report.cut += 1,
            Outcome::Refused(code) => {
                *report.refused.entry(code).or_default() += 1;
                let _ = report.refusal_latency.record(due.elapsed().as_micros() as u64);
            }
            Outcome::Failed => report.failed += 1,
        }
    }

    async fn attempt(&self, number: u64) -> Outcome {
        let id = format!("{}-{number}", self.plan.id_prefix);
        let Some((target, mut sender)) = self.connect().await else { return Outcome::Failed };
        let request = self.request(target, &id);
        let Ok(response) = sender.send_request(request).await else { return Outcome::Failed };
        let outcome = self.check(response, &id).await;
        self.idle.borrow_mut().entry(target).or_default().push(sender);
        outcome
    }

    /// Returns a connection to the next target, or to the first standby host if the
    /// target cannot be reached. That is safe, as nothing was sent to the target.
    async fn connect(&self) -> Option<(SocketAddr, SendRequest<LocalBody>)> {
        if let Some(target) = self.targets.next()
            && let Some(sender) = self.sender(target).await
        {
            return Some((target, sender));
        }
        let standby = self.standby.borrow().first().copied()?;
        Some((standby, self.sender(standby).await?))
    }

    /// Returns an idle connection, or opens a new one.
    async fn sender(&self, target: SocketAddr) -> Option<SendRequest<LocalBody>> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&target).and_then(Vec::pop);
            match idle {
                Some(sender) if sender.is_closed() => continue,
                Some(mut sender) => {
                    if sender.ready().await.is_ok() {
                        return Some(sender);
                    }
                }
                None => {
                    let source = self.plan.source_ip;
                    return client::connect_from(source, target, CONNECT_TIMEOUT).await.ok();
                }
            }
        }
    }

    fn request(&self, target: SocketAddr, id: &str) -> Request<LocalBody> {
        let request = Request::builder()
            .method(self.plan.method.clone())
            .uri("/")
            .header("host", target.to_string())
            .header("elmstream-service", &self.plan.service)
            .header("elmstream-request-id", id);
        let body = match self.payload.is_empty() {
            true => body::empty(),
            false => body::full(self.payload.clone()),
        };
        request.body(body).expect("the headers are valid")
    }

    /// Checks that the answer is complete and belongs to the request.
    async fn check(&self, response: Response<Incoming>, id: &str) -> Outcome {
        let header = response.headers().get("elmstream-code");
        let code = header.and_then(|v| v.to_str().ok()?.parse().ok());
        if let Some(code) = code {
            return Outcome::Refused(code);
        }
        let Ok(collected) = response.into_body().collect().await else { return Outcome::Cut };
        let Ok(echo) = serde_json::from_slice::<Echo>(&collected.to_bytes()) else {
            return Outcome::Wrong;
        };
        let is_whole = echo.length == self.payload.len() as u64 && echo.digest == self.digest;
        if is_whole && echo.id == id { Outcome::Whole } else { Outcome::Wrong }
    }
}
