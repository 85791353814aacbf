//! A caller that loads: open-loop, and checks every answer.

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

/// Time to open a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// Time after which a caller gives up on an answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time that requests in flight get at the end of a load.
const FINISH: Duration = Duration::from_secs(10);

/// Time between two rounds of asking targets for their loads.
const LOADS_INTERVAL: Duration = Duration::from_millis(500);

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Any entry host, asked for look-ups; `None` sends to `targets` as given.
    pub lookup_hosts: Vec<SocketAddr>,
    /// Where to send without look-ups.
    pub targets: Vec<SocketAddr>,
    /// The service.
    pub service: String,
    /// Requests in a second.
    pub per_second: u32,
    /// How long.
    pub duration: Duration,
    /// `GET`, or `POST` for requests that may not be repeated.
    pub method: http::Method,
    /// Bytes of each request's body.
    pub body_bytes: usize,
    /// Prefix of the requests' ids.
    pub id_prefix: String,
    /// The IP number that it sends from, if one is to be bound.
    pub source_ip: Option<IpAddr>,
    /// How targets are chosen.
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

#[derive(Deserialize)]
struct Echo {
    id: String,
    length: u64,
    digest: String,
}

/// State of one load.
struct Caller {
    load: LoadPlan,
    begin: Instant,
    report: RefCell<Report>,
    idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<LocalBody>>>>,
    targets: Targets,
    /// Entry hosts that are used only if the targets cannot be reached.
    standby: RefCell<Vec<SocketAddr>>,
    payload: Bytes,
    digest: String,
}

/// Runs a load to its end and gives its report.
pub async fn run(load: LoadPlan) -> Report {
    let payload = Bytes::from(vec![b'x'; load.body_bytes]);
    let digest = Sha256::digest(&payload).iter().map(|byte| format!("{byte:02x}")).collect();
    let caller = Rc::new(Caller {
        targets: Targets::new(load.pick, &load.targets),
        standby: RefCell::default(),
        load,
        begin: Instant::now(),
        report: RefCell::default(),
        idle: RefCell::default(),
        payload,
        digest,
    });
    let looking = compio::runtime::spawn(keep_looking_up(caller.clone()));
    let asking = compio::runtime::spawn(keep_asking(caller.clone()));
    if !caller.load.lookup_hosts.is_empty() {
        wait_for_targets(&caller).await;
    }
    send_all(&caller).await;
    drop(looking);
    drop(asking);
    let end = Instant::now() + FINISH;
    while Rc::strong_count(&caller) > 1 && Instant::now() < end {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    caller.report.take()
}

/// Sends each request at its planned time.
async fn send_all(caller: &Rc<Caller>) {
    let total = u64::from(caller.load.per_second) * caller.load.duration.as_millis() as u64 / 1_000;
    let gap = Duration::from_secs(1) / caller.load.per_second.max(1);
    let start = Instant::now();
    for number in 0..total {
        let due = start + gap * number as u32;
        let now = Instant::now();
        if due > now {
            compio::time::sleep(due - now).await;
        }
        let caller = caller.clone();
        compio::runtime::spawn(async move { caller.send(number, due).await }).detach();
    }
}

async fn wait_for_targets(caller: &Rc<Caller>) {
    let end = Instant::now() + CONNECT;
    while caller.targets.is_empty() && Instant::now() < end {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Asks anew each time that the last answer's time to live is over.
async fn keep_looking_up(caller: Rc<Caller>) {
    let mut turn = 0;
    while !caller.load.lookup_hosts.is_empty() {
        let ask = caller.load.lookup_hosts[turn % caller.load.lookup_hosts.len()];
        turn += 1;
        let pause = match lookup(&caller.load, ask).await {
            Some(answer) => {
                let weighty = |wanted: bool| {
                    let hosts = answer.entry_hosts.iter().filter(move |h| (h.weight > 0) == wanted);
                    hosts.map(|h| h.callers).collect::<Vec<_>>()
                };
                caller.targets.replace(&weighty(true));
                *caller.standby.borrow_mut() = weighty(false);
                answer.ttl_ms
            }
            None => 100,
        };
        compio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Asks the targets for their loads, again and again.
async fn keep_asking(caller: Rc<Caller>) {
    loop {
        caller.targets.poll_loads().await;
        compio::time::sleep(LOADS_INTERVAL).await;
    }
}

async fn lookup(load: &LoadPlan, ask: SocketAddr) -> Option<Lookup> {
    let mut sender = client::connect_from(load.source_ip, ask, CONNECT).await.ok()?;
    let uri = format!("/v1/lookup?service={}", load.service);
    let request = Request::get(uri).header("host", ask.to_string()).body(body::empty()).ok()?;
    let response = sender.send_request(request).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// How one try ended.
enum Ended {
    Whole,
    Wrong,
    Cut,
    Refused(u16),
    Failed,
}

impl Caller {
    async fn send(&self, number: u64, due: Instant) {
        self.report.borrow_mut().sent += 1;
        let trying = compio::time::timeout(PATIENCE, self.attempt(number));
        let ended = trying.await.unwrap_or(Ended::Failed);
        let mut report = self.report.borrow_mut();
        report.record_end(due - self.begin, matches!(ended, Ended::Whole));
        match ended {
            Ended::Whole => {
                report.whole += 1;
                let _ = report.latency.record(due.elapsed().as_micros() as u64);
            }
            Ended::Wrong => report.wrong += 1,
            Ended::Cut => report.cut += 1,
            Ended::Refused(code) => {
                *report.refused.entry(code).or_default() += 1;
                let _ = report.refusal_latency.record(due.elapsed().as_micros() as u64);
            }
            Ended::Failed => report.failed += 1,
        }
    }

    async fn attempt(&self, number: u64) -> Ended {
        let id = format!("{}-{number}", self.load.id_prefix);
        let Some((target, mut sender)) = self.reach().await else { return Ended::Failed };
        let request = self.request(target, &id);
        let Ok(response) = sender.send_request(request).await else { return Ended::Failed };
        let ended = self.check(response, &id).await;
        self.idle.borrow_mut().entry(target).or_default().push(sender);
        ended
    }

    /// A connection to the next target, or, where it cannot be reached, to the
    /// first standby; nothing was sent before.
    async fn reach(&self) -> Option<(SocketAddr, SendRequest<LocalBody>)> {
        if let Some(target) = self.targets.next()
            && let Some(sender) = self.sender(target).await
        {
            return Some((target, sender));
        }
        let standby = self.standby.borrow().first().copied()?;
        Some((standby, self.sender(standby).await?))
    }

    /// An idle connection, or a new one.
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
                    let source = self.load.source_ip;
                    return client::connect_from(source, target, CONNECT).await.ok();
                }
            }
        }
    }

    fn request(&self, target: SocketAddr, id: &str) -> Request<LocalBody> {
        let request = Request::builder()
            .method(self.load.method.clone())
            .uri("/")
            .header("host", target.to_string())
            .header("elmstream-service", &self.load.service)
            .header("elmstream-request-id", id);
        let body = match self.payload.is_empty() {
            true => body::empty(),
            false => body::full(self.payload.clone()),
        };
        request.body(body).expect("the headers are valid")
    }

    /// Checks that the answer is whole and the request's own.
    async fn check(&self, response: Response<Incoming>, id: &str) -> Ended {
        let header = response.headers().get("elmstream-code");
        let code = header.and_then(|v| v.to_str().ok()?.parse().ok());
        if let Some(code) = code {
            return Ended::Refused(code);
        }
        let Ok(collected) = response.into_body().collect().await else { return Ended::Cut };
        let Ok(echo) = serde_json::from_slice::<Echo>(&collected.to_bytes()) else {
            return Ended::Wrong;
        };
        let whole = echo.length == self.payload.len() as u64 && echo.digest == self.digest;
        if whole && echo.id == id { Ended::Whole } else { Ended::Wrong }
    }
}
