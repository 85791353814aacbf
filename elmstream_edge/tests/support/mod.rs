//! Hosts, a store and backend servers in one process, over loopback.

#![allow(dead_code)]

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process,
    rc::Rc,
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};
use elmstream_edge::{
    Edge, Settings, SourceError, StoreSource, lifecycle,
    store_source::{HostList, RefusedList, StoreRows},
};
use elmstream_http::{Stopper, body, client};
use elmstream_steer::{
    RolloutWrite,
    digest::RequestDigest,
    host_registry::{RegisteredHost, RegistryEdit},
    model::{Configuration, Limits, Repeatability, Route, Server, Service, WeightedService},
    poison::ServerCrash,
    rollout::RolloutStage,
    version::StoreVersion,
    view::{Row, RowContent, RowKey, Table},
};
use futures_util::future::{Either, select};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use socket2::SockRef;

/// The only service.
pub const SERVICE: &str = "shop";
/// Ports for callers, and for other hosts.
pub const CALLERS: u16 = 7_001;
pub const PEERS: u16 = 7_002;

/// A loopback address that no other test uses.
pub fn ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = process::id();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, 64 | (pid >> 8) as u8 & 63, pid as u8, last))
}

/// Runs a test on its own runtime.
pub fn run(test: impl AsyncFnOnce()) {
    Runtime::new().expect("a runtime").block_on(test());
}

/// A store that hosts share, and whether it answers.
#[derive(Clone, Debug, Default)]
pub struct Store {
    rows: Rc<RefCell<BTreeMap<RowKey, Row>>>,
    pub hosts: Rc<RefCell<Vec<SocketAddr>>>,
    pub refused_requests: Rc<RefCell<BTreeMap<RequestDigest, Vec<ServerCrash>>>>,
    version: Rc<Cell<u64>>,
    era: Rc<Cell<u64>>,
    pub down: Rc<Cell<bool>>,
    pub calls: Rc<Cell<u64>>,
    /// Delay of responses on their way to a host.
    pub response_delay: Rc<Cell<Duration>>,
}

impl Store {
    /// Writes a row, or removes it.
    pub fn put(&self, key: RowKey, item: Option<RowContent>) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let version = self.current_version();
        self.rows.borrow_mut().insert(key.clone(), Row::new(key, version, item));
    }

    /// Stage of a service's roll-out.
    pub fn stage(&self, service: &str) -> Option<RolloutStage> {
        let rows = self.rows.borrow();
        match &rows.get(&RowKey::Progress(service.into()))?.content {
            Some(RowContent::Progress(progress)) => Some(progress.stage),
            _ => None,
        }
    }

    fn current_version(&self) -> StoreVersion {
        StoreVersion::new(self.era.get() + 1, self.version.get())
    }

    /// Simulates a restore from a copy with the same rows, and with the given content of the
    /// lists that elmstream writes.
    pub fn restore_from_copy(
        &self,
        hosts: Vec<SocketAddr>,
        refused_requests: BTreeMap<RequestDigest, Vec<ServerCrash>>,
    ) {
        self.era.set(self.era.get() + 1);
        let current_version = self.current_version();
        self.rows.borrow_mut().values_mut().for_each(|row| row.version = current_version);
        self.hosts.replace(hosts);
        self.refused_requests.replace(refused_requests);
    }

    fn serve(&self, table: Table, after: Option<StoreVersion>) -> Result<StoreRows, SourceError> {
        self.calls.set(self.calls.get() + 1);
        if self.down.get() {
            return Err(SourceError::Refused { status: 503 });
        }
        if after.is_some_and(|after| after.era != self.current_version().era) {
            return Err(SourceError::Refused { status: 410 });
        }
        let wanted = |row: &&Row| {
            let new = after.map_or(row.content.is_some(), |after| row.version > after);
            row.key.table() == table && new
        };
        let rows = self.rows.borrow().values().filter(wanted).cloned().collect();
        Ok(StoreRows { version: self.current_version(), rows, unreadable: Vec::new() })
    }
}

impl StoreSource for Store {
    async fn read_all(&self, table: Table) -> Result<StoreRows, SourceError> {
        self.serve(table, None)
    }

    async fn changes(
        &self,
        table: Table,
        after: StoreVersion,
        _: Duration,
    ) -> Result<Option<StoreRows>, SourceError> {
        let rows = self.serve(table, Some(after)).map(Some);
        compio::time::sleep(self.response_delay.get()).await;
        rows
    }

    async fn hosts(&self) -> Result<HostList, SourceError> {
        self.serve(Table::Rules, None)?;
        let listed = |peers: &SocketAddr| RegisteredHost { name: name(peers.ip()), peers: *peers };
        let listed = self.hosts.borrow().iter().map(listed).collect();
        Ok(HostList { listed, unreadable: Vec::new() })
    }

    async fn edit_hosts(&self, edit: &RegistryEdit) -> Result<(), SourceError> {
        self.serve(Table::Rules, None)?;
        let mut hosts = self.hosts.borrow_mut();
        hosts.extend(edit.put.iter().map(|host| host.peers));
        hosts.retain(|peers| !edit.remove.contains(&name(peers.ip())));
        Ok(())
    }

    async fn refused_requests(&self) -> Result<RefusedList, SourceError> {
        self.serve(Table::Rules, None)?;
        let listed = self.refused_requests.borrow().clone().into_iter().collect();
        Ok(RefusedList { listed, unreadable: Vec::new() })
    }

    async fn add_refused_request(
        &self,
        digest: &RequestDigest,
        crashes: &[ServerCrash],
    ) -> Result<(), SourceError> {
        self.serve(Table::Rules, None)?;
        match crashes.is_empty() {
            true => drop(self.refused_requests.borrow_mut().remove(digest)),
            false => drop(self.refused_requests.borrow_mut().insert(*digest, crashes.to_vec())),
        }
        Ok(())
    }

    async fn write_rollout(
        &self,
        write: &RolloutWrite,
    ) -> Result<Option<StoreVersion>, SourceError> {
        self.serve(Table::Rollouts, None)?;
        let progress = RowKey::Progress(write.service.clone());
        let order = RowKey::Rollout(write.service.clone());
        let count = |key| {
            let rows = self.rows.borrow();
            let row = rows.get(key).filter(|row: &&Row| row.content.is_some());
            row.map_or(0, |row| row.version.count)
        };
        if (count(&progress), count(&order)) != write.expected {
            return Ok(None);
        }
        self.put(progress, Some(RowContent::Progress(write.progress.clone())));
        Ok(Some(self.current_version()))
    }
}

/// A running host.
pub struct Running {
    pub edge: Rc<Edge>,
    pub callers: SocketAddr,
    pub ended: Rc<Cell<bool>>,
    terminate: Stopper,
}

impl Running {
    /// Requests the planned stop.
    pub fn terminate(&self) {
        self.terminate.stop();
    }
}

/// Name of the host at an address.
pub fn name(ip: IpAddr) -> String {
    format!("host-{ip}")
}

/// Settings of a host at an address.
pub fn settings(ip: IpAddr, seeds: &[SocketAddr]) -> Settings {
    let text = serde_json::json!({
        "host": {
            "name": name(ip), "domain": "a1", "region": "a",
            "callers": SocketAddr::new(ip, CALLERS), "peers": SocketAddr::new(ip, PEERS),
        },
        "domains": {"a1": "a"},
        "seeds": seeds,
        "stop": {"notice_ms": 200, "grace_ms": 3000},
        "logging": {"sample": 0, "lines_per_s": 0},
    });
    Settings::parse(&text.to_string()).expect("good settings")
}

/// Starts a host.
pub fn start(ip: IpAddr, store: &Store, seeds: &[SocketAddr]) -> Running {
    start_with(ip, settings(ip, seeds), store)
}

/// Starts a host with the given settings.
pub fn start_with(ip: IpAddr, settings: Settings, store: &Store) -> Running {
    start_edge(ip, Edge::new(settings), store)
}

/// Starts the given host.
pub fn start_edge(ip: IpAddr, edge: Rc<Edge>, store: &Store) -> Running {
    let (terminate, terminated) = Stopper::new();
    let (stopper, stop) = Stopper::new();
    let ended = Rc::new(Cell::new(false));
    let running = lifecycle::run(edge.clone(), store.clone(), stopper, stop, terminated);
    let done = ended.clone();
    compio::runtime::spawn(async move {
        running.await.expect("it starts");
        done.set(true);
    })
    .detach();
    Running { edge, callers: SocketAddr::new(ip, CALLERS), ended, terminate }
}

/// Waits until a condition holds; returns whether it did within the timeout.
pub async fn until(timeout: Duration, holds: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < timeout {
        if holds() {
            return true;
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    holds()
}

/// A configuration with one route.
pub fn configuration(version: u64, repeat: Repeatability) -> RowContent {
    RowContent::Configuration(Configuration {
        version,
        routes: vec![Route {
            name: "r".into(),
            host: "shop.example".into(),
            prefix: "/".into(),
            repeat,
            attempts: 2,
            timeout_ms: 800,
            objective_ms: 300,
            priority: 0,
            affinity: true,
            homes: Vec::new(),
            parts: vec![WeightedService { service: SERVICE.into(), weight: 1.0 }],
            open: false,
        }],
        services: vec![Service { name: SERVICE.into(), cold_ms: 0, cold_per_s: 9.0 }],
        limits: Limits::default(),
        workspaces: Vec::new(),
    })
}

/// The row of a server at an address.
pub fn server(address: SocketAddr) -> RowContent {
    RowContent::Server(Server {
        service: SERVICE.into(),
        address,
        domain: "a1".into(),
        slots: 4,
        draining: false,
        cold_ms: 0,
        born: 0,
        entries: 0,
        version: String::new(),
    })
}

/// What a backend server received.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub requests: Rc<RefCell<Vec<String>>>,
    pub connections: Rc<Cell<usize>>,
    pub closed: Rc<Cell<usize>>,
}

/// A backend server that responds with what `answer` returns for the head of a request; it
/// sends nothing for an empty text. It closes the connection after a response that ends with
/// [`CLOSE_MARK`], and resets it after one that ends with [`RESET_MARK`].
pub async fn backend(
    ip: IpAddr,
    answer: impl Fn(&str) -> Vec<u8> + 'static,
) -> (SocketAddr, Received) {
    let listener = TcpListener::bind((ip, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let received = Received::default();
    let answer = Rc::new(answer);
    let all = received.clone();
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (received, answer) = (all.clone(), answer.clone());
            received.connections.set(received.connections.get() + 1);
            compio::runtime::spawn(async move {
                serve_connection(stream, &received, &*answer).await;
                received.closed.set(received.closed.get() + 1);
            })
            .detach();
        }
    })
    .detach();
    (address, received)
}

/// Time that a backend server takes for paths that begin with `/slow`.
pub const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Marks the end of a response after which the server closes the connection.
pub const CLOSE_MARK: &[u8] = b"\0close";
/// Marks the end of a response after which the server resets the connection.
pub const RESET_MARK: &[u8] = b"\0reset";
/// Time between a response and the reset of its connection, so that the response is read.
const RESET_PAUSE: Duration = Duration::from_millis(5);

pub async fn serve_connection(
    mut stream: TcpStream,
    received: &Received,
    answer: &dyn Fn(&str) -> Vec<u8>,
) {
    let mut text = String::new();
    loop {
        let BufResult(read, bytes) = stream.read(Vec::with_capacity(65_536)).await;
        match read {
            Ok(0) | Err(_) => return,
            Ok(_) => text += &String::from_utf8_lossy(&bytes),
        }
        let Some(end) = text.find("\r\n\r\n") else { continue };
        let head = text[..end].to_owned();
        text.clear();
        received.requests.borrow_mut().push(head.clone());
        if head.starts_with("GET /slow") {
            compio::time::sleep(SLOW_RESPONSE_TIME).await;
        }
        let bytes = answer(&head);
        if let Some(bytes) = bytes.strip_suffix(RESET_MARK) {
            let _ = stream.write_all(bytes.to_vec()).await;
            compio::time::sleep(RESET_PAUSE).await;
            let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return reset.expect("the option");
        }
        let (bytes, closes) = match bytes.strip_suffix(CLOSE_MARK) {
            Some(bytes) => (bytes.to_vec(), true),
            None => (bytes, false),
        };
        if stream.write_all(bytes).await.0.is_err() || closes {
            return;
        }
    }
}

/// Value of a header in the head of a request; empty if absent.
pub fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .filter(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
        .next()
        .unwrap_or("")
}

/// A complete successful response to a request.
pub fn good(head: &str, text: &str) -> Vec<u8> {
    let id = header(head, "elmstream-request");
    format!(
        "HTTP/1.1 200 OK\r\nelmstream-request: {id}\r\nelmstream-signature: s\r\n\
         content-length: {}\r\n\r\n{text}",
        text.len()
    )
    .into_bytes()
}

/// A response to a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub took: Duration,
}

/// Sends a request; `None` if the connection ends without a response.
pub async fn send_request(host: SocketAddr, id: &str, path: &str) -> Option<Answer> {
    send_request_from(None, host, id, path).await
}

/// Sends a request from the given local address, if any.
pub async fn send_request_from(
    from: Option<IpAddr>,
    host: SocketAddr,
    id: &str,
    path: &str,
) -> Option<Answer> {
    let began = Instant::now();
    let mut sender = client::connect_from(from, host, Duration::from_secs(1)).await.ok()?;
    let request = Request::builder()
        .uri(path)
        .header("host", "shop.example")
        .header("elmstream-request", id)
        .header("elmstream-affinity", path)
        .header("elmstream-deadline", "2000");
    let response = sender.send_request(request.body(body::empty()).ok()?).await.ok()?;
    let (parts, incoming) = response.into_parts();
    let body = incoming.collect().await.ok()?.to_bytes();
    Some(Answer { status: parts.status, headers: parts.headers, body, took: began.elapsed() })
}

/// Sends a request; `None` if there is no response within the timeout.
pub async fn send_request_within(
    host: SocketAddr,
    id: &str,
    path: &str,
    timeout: Duration,
) -> Option<Answer> {
    let sending = Box::pin(send_request(host, id, path));
    match select(sending, Box::pin(compio::time::sleep(timeout))).await {
        Either::Left((answer, _)) => answer,
        Either::Right(_) => None,
    }
}

/// A store and a host with servers at these addresses, ready for callers.
pub async fn serving(repeat: Repeatability, servers: &[SocketAddr]) -> (Store, Running) {
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, repeat)));
    for (n, address) in servers.iter().enumerate() {
        store.put(RowKey::Server(format!("s-{n}")), Some(server(*address)));
    }
    let running = start(ip(), &store, &[]);
    assert!(until(Duration::from_secs(3), || running.edge.serves()).await, "the host is ready");
    (store, running)
}
