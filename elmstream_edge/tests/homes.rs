//! Home regions that change while requests are under way.

mod support;

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use elmstream_edge::Settings;
use elmstream_steer::{
    key::KeyDigest,
    model::{Configuration, Repeatability, Route, Workspace},
    retry_worth::RetryWorth,
    servers::{Outcome, ServerIndex},
    version::StoreVersion,
    view::{Row, RowContent, RowKey, Table},
};
use elmstreamd::clock;
use serde_json::json;
use support::{
    CLOSE_MARK, PEERS, Received, Running, SERVICE, Store, backend, configuration, good, ip, run,
    send_request, server, settings, start_with, until,
};

const TIMEOUT: Duration = Duration::from_secs(3);

/// Home regions of the only route and of the only workspace.
type Homes<'a> = (&'a [&'a str], &'a [&'a str]);

/// A configuration of a route that takes 3 s at most, and of a workspace with the key `key-w`.
fn configured(version: u64, (route, workspace): Homes<'_>) -> RowContent {
    let RowContent::Configuration(mut configuration) = configuration(version, Repeatability::Safe)
    else {
        panic!("a configuration");
    };
    let texts = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    configuration.routes[0].homes = texts(route);
    configuration.routes[0].open = true;
    configuration.routes[0].timeout_ms = 3_000;
    configuration.workspaces = vec![Workspace {
        name: "w".into(),
        keys: vec![KeyDigest::of(b"key-w")],
        homes: texts(workspace),
        ..Workspace::default()
    }];
    RowContent::Configuration(configuration)
}

/// A configuration as [`configured`] returns it whose route has these home regions, this number of
/// attempts, and this timeout in milliseconds.
fn limited(version: u64, homes: &[&str], (attempts, timeout_ms): (u32, u64)) -> RowContent {
    let RowContent::Configuration(mut content) = configured(version, (homes, &[])) else {
        panic!("a configuration");
    };
    content.routes[0].attempts = attempts;
    content.routes[0].timeout_ms = timeout_ms;
    RowContent::Configuration(content)
}

fn server_in(domain: &str, address: SocketAddr) -> RowContent {
    let RowContent::Server(mut entry) = server(address) else { panic!("a server") };
    entry.domain = domain.into();
    RowContent::Server(entry)
}

/// A host in region `a`, its store, and what servers in regions `a` and `b` received.
struct World {
    store: Store,
    host: Running,
    in_a: Vec<Received>,
    in_b: Vec<Received>,
}

impl World {
    /// Starts two servers in each region; those in region `a` answer with what `answer_in_a` returns.
    async fn start(homes: Homes<'_>, answer_in_a: fn(&str) -> Vec<u8>) -> World {
        World::start_with(homes, answer_in_a, |_| ()).await
    }

    /// Starts as [`World::start`] does, with changed settings of the host.
    async fn start_with(
        homes: Homes<'_>,
        answer_in_a: fn(&str) -> Vec<u8>,
        change: fn(&mut Settings),
    ) -> World {
        let store = Store::default();
        store.put(RowKey::Configuration, Some(configured(1, homes)));
        let (mut in_a, mut in_b) = (Vec::new(), Vec::new());
        for number in 0..2 {
            let (address, received) = backend(ip(), answer_in_a).await;
            in_a.push(received);
            store.put(RowKey::Server(format!("s-a-{number}")), Some(server_in("a1", address)));
            let (address, received) = backend(ip(), |head| good(head, "ok")).await;
            in_b.push(received);
            store.put(RowKey::Server(format!("s-b-{number}")), Some(server_in("b1", address)));
        }
        let at = ip();
        let mut settings = two_regions(at);
        change(&mut settings);
        let host = start_with(at, settings, &store);
        let is_ready = || host.edge.serves() && host.edge.steer.borrow().has_host_list();
        assert!(until(TIMEOUT, is_ready).await);
        World { store, host, in_a, in_b }
    }

    /// Changes the home regions, and waits until the host knows of it.
    async fn move_homes(&self, homes: Homes<'_>) {
        self.store.put(RowKey::Configuration, Some(configured(2, homes)));
        let is_known = || self.host.edge.steer.borrow().configuration_version() == Some(2);
        assert!(until(TIMEOUT, is_known).await);
    }

    /// Changes the configuration, and waits until the host knows of it.
    async fn configure(&self, change: impl Fn(&mut Configuration)) {
        let RowContent::Configuration(mut new) = configured(2, (&["a"], &[])) else {
            panic!("a configuration");
        };
        change(&mut new);
        self.store.put(RowKey::Configuration, Some(RowContent::Configuration(new)));
        let is_known = || self.host.edge.steer.borrow().configuration_version() == Some(2);
        assert!(until(TIMEOUT, is_known).await);
    }

    /// Changes the configuration of the route to one with these home regions, attempts, and most
    /// milliseconds, and waits until the host knows of it.
    async fn limit_route(&self, homes: &[&str], attempts: u32, timeout_ms: u64) {
        let limited = limited(2, homes, (attempts, timeout_ms));
        self.store.put(RowKey::Configuration, Some(limited));
        let is_known = || self.host.edge.steer.borrow().configuration_version() == Some(2);
        assert!(until(TIMEOUT, is_known).await);
    }

    /// Lets the host know a configuration at once, of a route as for [`World::limit_route`].
    fn learn_homes(&self, homes: &[&str], attempts: u32, timeout_ms: u64) {
        let content = limited(3, homes, (attempts, timeout_ms));
        let row = Row::new(RowKey::Configuration, StoreVersion::new(1, 1_000), Some(content));
        self.host.edge.steer.borrow_mut().on_changes(clock::now(), Table::Rules, vec![row]);
    }

    /// Waits until a server of region `a` is chosen that `may_be`, by its number there, to which the
    /// connection is not open yet, and returns its index.
    async fn chosen_in_a(&self, may_be: impl Fn(usize) -> bool) -> ServerIndex {
        let chosen = || {
            let steer = self.host.edge.steer.borrow();
            (0..2).filter(|number| may_be(*number)).find_map(|number| {
                let index = steer.servers().find(&format!("s-a-{number}"))?;
                (steer.servers().get(index)?.own_in_flight > 0).then_some(index)
            })
        };
        let began = Instant::now();
        while began.elapsed() < TIMEOUT {
            if let Some(index) = chosen() {
                return index;
            }
            yield_now().await;
        }
        panic!("no server was chosen");
    }

    /// Starts a request without a body.
    async fn begin(&self, path: &str) -> Caller {
        let mut caller = Caller::connect(self.host.callers).await;
        let head =
            format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: r\r\n\r\n");
        caller.write(&head).await;
        caller
    }

    /// Numbers of requests that reached servers in regions `a` and `b`.
    fn reached(&self) -> (usize, usize) {
        let count = |servers: &[Received]| {
            servers.iter().map(|received| received.requests.borrow().len()).sum()
        };
        (count(&self.in_a), count(&self.in_b))
    }
}

fn two_regions(at: IpAddr) -> Settings {
    let mut settings = settings(at, &[]);
    settings.domains.insert("b1".into(), "b".into());
    settings
}

/// A connection to a host, for requests that are written in parts.
struct Caller(TcpStream);

impl Caller {
    async fn connect(to: SocketAddr) -> Caller {
        Caller(TcpStream::connect(to).await.expect("a connection"))
    }

    async fn write(&mut self, text: &str) {
        self.0.write_all(text.to_owned()).await.0.expect("it is open");
    }

    /// Status and headers of the answer.
    async fn answer(&mut self) -> (u16, String) {
        let mut text = String::new();
        while !text.contains("\r\n\r\n") {
            let BufResult(read, bytes) = self.0.read(Vec::with_capacity(4_096)).await;
            assert_ne!(read.expect("it is open"), 0, "no answer: {text}");
            text += &String::from_utf8_lossy(&bytes);
        }
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
        (status.expect("a status"), text.to_lowercase())
    }
}

/// Head of an upload of 4 bytes by the workspace.
const UPLOAD: &str = "POST /u HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: u\r\n\
                      authorization: Bearer key-w\r\ncontent-length: 4\r\n\r\n";

/// Where an upload runs whose homes change before its body is complete.
async fn upload_over_change(before: Homes<'_>, after: Homes<'_>) -> (u16, String, (usize, usize)) {
    let world = World::start(before, |head| good(head, "ok")).await;
    let mut caller = Caller::connect(world.host.callers).await;
    caller.write(UPLOAD).await;
    caller.write("bo").await;
    compio::time::sleep(Duration::from_millis(50)).await;
    world.move_homes(after).await;
    caller.write("dy").await;
    let (status, head) = caller.answer().await;
    (status, head, world.reached())
}

#[test]
fn request_whose_homes_change_while_its_body_arrives_runs_in_the_new_ones() {
    run(async || {
        for (before, after) in
            [((&["a"][..], &[][..]), (&["b"][..], &[][..])), ((&[], &["a"]), (&[], &["b"]))]
        {
            let (status, _, reached) = upload_over_change(before, after).await;
            assert_eq!((status, reached), (200, (0, 1)), "{before:?} to {after:?}");
        }
    });
}

#[test]
fn request_that_no_region_may_run_any_more_is_refused_unsent() {
    run(async || {
        let (status, head, reached) = upload_over_change((&["a"], &["a"]), (&["a"], &["b"])).await;
        assert_eq!((status, reached), (503, (0, 0)));
        assert!(head.contains("\r\nretry-after: "), "{head}");
    });
}

#[test]
fn second_attempt_runs_in_homes_that_changed_during_the_first() {
    run(async || {
        let answer = |head: &str| match head.starts_with("GET /slow") {
            true => CLOSE_MARK.to_vec(),
            false => good(head, "ok"),
        };
        let world = World::start((&["a"], &[]), answer).await;
        // Each answered request adds to the retry budget.
        for n in 0..30 {
            send_request(world.host.callers, &n.to_string(), "/").await.expect("an answer");
        }
        let (before, _) = world.reached();
        let mut caller = Caller::connect(world.host.callers).await;
        caller
            .write("GET /slow HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: r\r\n\r\n")
            .await;
        assert!(until(TIMEOUT, || world.reached() == (before + 1, 0)).await);
        world.move_homes((&["b"], &[])).await;
        let (status, _) = caller.answer().await;
        assert_eq!((status, world.reached()), (200, (before + 1, 1)));
    });
}

/// A request of another host that knows version 1 of the configuration, or does not tell what it
/// knows.
fn relayed(tells_version: bool, homes: &[&str]) -> String {
    let RowContent::Configuration(configuration) = configured(1, (homes, &[])) else {
        panic!("a configuration");
    };
    let route: &Route = &configuration.routes[0];
    let mut relay = json!({
        "route": route, "service": SERVICE, "key": 7, "has_key": false, "returning": false,
        "caller": "127.0.0.1", "remaining_ms": 1_000, "terms": {"homes": [], "priority": null},
    });
    if tells_version {
        relay["version"] = configuration.version.into();
        relay["host"] = route.host.clone().into();
    }
    format!(
        "GET /r HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: r\r\n\
         elmstream-relay: {relay}\r\n\r\n"
    )
}

#[test]
fn relaying_host_keeps_homes_that_the_sender_does_not_know_yet() {
    run(async || {
        for tells_version in [true, false] {
            let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
            world.move_homes((&["b"], &[])).await;
            let mut sender = Caller::connect(world.host.edge.settings.host.peers).await;
            sender.write(&relayed(tells_version, &["a"])).await;
            let (status, _) = sender.answer().await;
            assert_eq!((status, world.reached()), (200, (0, 1)), "{tells_version}");
        }
    });
}

#[test]
fn relaying_host_does_not_run_requests_of_routes_that_it_knows_to_be_gone() {
    run(async || {
        let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
        world.configure(|new| new.routes.clear()).await;
        let mut sender = Caller::connect(world.host.edge.settings.host.peers).await;
        sender.write(&relayed(true, &["a"])).await;
        let (status, head) = sender.answer().await;
        assert_eq!((status, world.reached()), (503, (0, 0)));
        assert!(head.contains("\r\nelmstream-relay: "), "the sender may try another host: {head}");
    });
}

#[test]
fn relaying_host_sends_to_the_service_that_a_newer_configuration_names() {
    run(async || {
        let world = World::start((&[], &[]), |head| good(head, "ok")).await;
        let (address, in_other) = backend(ip(), |head| good(head, "ok")).await;
        let RowContent::Server(mut other) = server(address) else { panic!("a server") };
        other.service = "other".into();
        world.store.put(RowKey::Server("o".into()), Some(RowContent::Server(other)));
        world.configure(|new| new.routes[0].parts[0].service = "other".into()).await;
        let is_known = || world.host.edge.steer.borrow().servers().find("o").is_some();
        assert!(until(TIMEOUT, is_known).await);
        let mut sender = Caller::connect(world.host.edge.settings.host.peers).await;
        sender.write(&relayed(true, &[])).await;
        let (status, _) = sender.answer().await;
        let reached_other = in_other.requests.borrow().len();
        assert_eq!((status, world.reached(), reached_other), (200, (0, 0), 1));
    });
}

#[test]
fn request_whose_route_goes_while_its_body_arrives_is_denied_unsent() {
    run(async || {
        let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
        let mut caller = Caller::connect(world.host.callers).await;
        caller.write(UPLOAD).await;
        caller.write("bo").await;
        compio::time::sleep(Duration::from_millis(50)).await;
        world.configure(|new| new.routes.clear()).await;
        caller.write("dy").await;
        let (status, head) = caller.answer().await;
        assert_eq!((status, world.reached()), (404, (0, 0)), "{head}");
    });
}

/// Other hosts, which answer no fetch and have a newer configuration: names and addresses.
struct Announcers(Vec<(&'static str, SocketAddr)>);

impl Announcers {
    fn new(names: &[&'static str]) -> Announcers {
        Announcers(names.iter().map(|name| (*name, SocketAddr::new(ip(), PEERS))).collect())
    }

    /// Lets a host hear of the newer configuration.
    fn announce(&self, host: &Running) {
        let mut steer = host.edge.steer.borrow_mut();
        for (name, peers) in &self.0 {
            let mut heartbeat = steer.next_heartbeat(clock::now());
            heartbeat.host.name = (*name).into();
            heartbeat.host.peers = *peers;
            let status = &mut heartbeat.tables[Table::Rules as usize];
            status.version = StoreVersion::new(status.version.era, status.version.count + 1_000);
            steer.on_heartbeat(clock::now(), &heartbeat).expect("it is news");
        }
    }

    /// Lets a host hear of it again and again for 1.9 s, which is more than three fifths of the
    /// configuration bound.
    async fn keep_announcing(&self, host: &Running) {
        for _ in 0..19 {
            self.announce(host);
            compio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

#[test]
fn request_with_homes_is_refused_while_a_newer_configuration_cannot_be_fetched() {
    run(async || {
        for (homes, expected) in [(&["a"][..], (503, (0, 0))), (&[], (200, (1, 0)))] {
            let world = World::start((homes, &[]), |head| good(head, "ok")).await;
            for number in 0..2 {
                world.store.put(RowKey::Server(format!("s-b-{number}")), None);
            }
            let is_gone = || world.host.edge.steer.borrow().servers().all().count() == 2;
            assert!(until(TIMEOUT, is_gone).await);
            world.store.down.set(true);
            Announcers::new(&["other"]).announce(&world.host);
            // Three fifths of the configuration bound.
            compio::time::sleep(Duration::from_millis(1_900)).await;
            let answer = send_request(world.host.callers, "r", "/r").await.expect("an answer");
            let code = answer.headers.get("elmstream-code").map(|code| code.as_bytes());
            assert_eq!((answer.status.as_u16(), world.reached()), expected, "{homes:?}");
            assert_eq!(code, (expected.0 == 503).then_some(&b"1117"[..]));
        }
    });
}

#[test]
fn request_is_refused_while_most_hosts_know_a_configuration_that_cannot_be_fetched() {
    run(async || {
        let world = World::start((&[], &[]), |head| good(head, "ok")).await;
        world.store.down.set(true);
        let most = Announcers::new(&["other", "third"]);
        most.announce(&world.host);
        let early = send_request(world.host.callers, "r-1", "/r").await.expect("an answer");
        assert_eq!(early.status, 200, "the bound has not passed");
        most.keep_announcing(&world.host).await;
        let reached = world.reached();
        let late = send_request(world.host.callers, "r-2", "/r").await.expect("an answer");
        let code = late.headers.get("elmstream-code").map(|code| code.as_bytes());
        assert_eq!((late.status.as_u16(), code), (503, Some(&b"1117"[..])));
        assert!(late.headers.contains_key("retry-after"));
        assert_eq!(world.reached(), reached);
    });
}

#[test]
fn upload_is_refused_before_its_body_while_most_hosts_know_a_newer_configuration() {
    run(async || {
        let world = World::start((&[], &[]), |head| good(head, "ok")).await;
        world.store.down.set(true);
        Announcers::new(&["other", "third"]).keep_announcing(&world.host).await;
        let mut caller = Caller::connect(world.host.callers).await;
        caller.write(UPLOAD).await;
        let answer = compio::time::timeout(Duration::from_secs(1), caller.answer()).await;
        let (status, head) = answer.expect("an answer before the body");
        assert_eq!((status, world.reached()), (503, (0, 0)), "{head}");
    });
}

#[test]
fn relaying_host_behind_the_others_sends_by_the_newer_configuration_that_came_with_the_request() {
    run(async || {
        let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
        world.store.down.set(true);
        Announcers::new(&["other", "third"]).keep_announcing(&world.host).await;
        let mut sender = Caller::connect(world.host.edge.settings.host.peers).await;
        let request = relayed(true, &["b"]).replace("\"version\":1", "\"version\":2");
        assert!(request.contains("\"version\":2"), "{request}");
        sender.write(&request).await;
        let (status, head) = sender.answer().await;
        assert_eq!((status, world.reached()), (200, (0, 1)), "{head}");
    });
}

/// A host of region `b` that has a newer configuration, and answers what is sent to it.
struct RelayInB(SocketAddr);

impl RelayInB {
    fn announce(&self, host: &Running) {
        let mut steer = host.edge.steer.borrow_mut();
        let mut heartbeat = steer.next_heartbeat(clock::now());
        heartbeat.host.name = "relay".into();
        heartbeat.host.region = "b".into();
        heartbeat.host.domain = "b1".into();
        heartbeat.host.peers = self.0;
        heartbeat.cut_services.clear();
        let status = &mut heartbeat.tables[Table::Rules as usize];
        status.version = StoreVersion::new(status.version.era, status.version.count + 1_000);
        steer.on_heartbeat(clock::now(), &heartbeat).expect("it is news");
    }
}

#[test]
fn body_with_homes_is_not_sent_to_a_relaying_host_while_a_newer_configuration_cannot_be_fetched() {
    run(async || {
        let world = World::start((&["b"], &[]), |head| good(head, "ok")).await;
        for number in 0..2 {
            world.store.put(RowKey::Server(format!("s-a-{number}")), None);
        }
        for number in 0..3 {
            let listener = compio::net::TcpListener::bind((ip(), 0)).await.expect("a port");
            let closed = listener.local_addr().expect("an address");
            drop(listener);
            world.store.put(RowKey::Server(format!("s-b-{number}")), Some(server_in("b1", closed)));
        }
        let is_known = || {
            let steer = world.host.edge.steer.borrow();
            steer.servers().find("s-b-2").is_some() && steer.servers().all().count() == 3
        };
        assert!(until(TIMEOUT, is_known).await);
        world.store.down.set(true);
        {
            let mut steer = world.host.edge.steer.borrow_mut();
            let indices: Vec<_> = steer.servers().all().map(|(index, _)| index).collect();
            for index in indices {
                steer.record_outcome(clock::now(), index, Outcome::NoConnection);
            }
            assert!(steer.is_cut(SERVICE));
        }
        let (address, relayed) = backend(ip(), |head| good(head, "ok")).await;
        let relay = RelayInB(address);
        relay.announce(&world.host);
        let mut caller = Caller::connect(world.host.callers).await;
        caller.write(UPLOAD).await;
        caller.write("bo").await;
        for _ in 0..19 {
            compio::time::sleep(Duration::from_millis(100)).await;
            relay.announce(&world.host);
        }
        assert!(world.host.edge.steer.borrow().homes_are_outdated(clock::now()));
        caller.write("dy").await;
        let (status, head) = caller.answer().await;
        let to_b = relayed.requests.borrow().iter().filter(|r| r.contains(" /u ")).count();
        assert_eq!((status, to_b), (503, 0), "{head}");
    });
}

/// Lets other tasks run once.
async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return std::task::Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        std::task::Poll::Pending
    })
    .await;
}

#[test]
fn send_that_is_withheld_counts_as_no_attempt() {
    run(async || {
        let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
        let one_attempt = |version, homes: &[&str]| {
            let RowContent::Configuration(mut content) = configured(version, (homes, &[])) else {
                panic!("a configuration");
            };
            content.routes[0].attempts = 1;
            RowContent::Configuration(content)
        };
        world.store.put(RowKey::Configuration, Some(one_attempt(2, &["a"])));
        let steer = &world.host.edge.steer;
        assert!(until(TIMEOUT, || steer.borrow().configuration_version() == Some(2)).await);
        let mut caller = Caller::connect(world.host.callers).await;
        caller.write("GET /r HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: r\r\n\r\n").await;
        let is_chosen = || steer.borrow().servers().all().any(|(_, entry)| entry.own_in_flight > 0);
        let began = Instant::now();
        while !is_chosen() && began.elapsed() < TIMEOUT {
            yield_now().await;
        }
        assert!(is_chosen() && world.reached() == (0, 0), "the test came too late");
        let row = Row::new(
            RowKey::Configuration,
            StoreVersion::new(1, 1_000),
            Some(one_attempt(3, &["b"])),
        );
        steer.borrow_mut().on_changes(clock::now(), Table::Rules, vec![row]);
        let (status, _) = caller.answer().await;
        assert_eq!((status, world.reached()), (200, (0, 1)));
    });
}

#[test]
fn first_send_after_a_withheld_one_is_no_retry() {
    run(async || {
        // The retry budget of a new host is empty.
        let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
        world.limit_route(&["a"], 2, 3_000).await;
        let mut caller = world.begin("/r").await;
        world.chosen_in_a(|_| true).await;
        assert_eq!(world.reached(), (0, 0), "the test came too late");
        world.learn_homes(&["b"], 2, 3_000);
        let (status, head) = caller.answer().await;
        assert_eq!((status, world.reached()), (200, (0, 1)), "{head}");
    });
}

#[test]
fn send_to_a_server_that_asks_for_no_more_meanwhile_counts_as_no_attempt() {
    run(async || {
        let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
        world.limit_route(&["a"], 1, 3_000).await;
        let mut caller = world.begin("/r").await;
        let chosen = world.chosen_in_a(|_| true).await;
        assert_eq!(world.reached(), (0, 0), "the test came too late");
        let steer = &world.host.edge.steer;
        steer.borrow_mut().on_server_backoff(clock::now(), chosen, Duration::from_secs(1));
        let (status, head) = caller.answer().await;
        assert_eq!((status, world.reached()), (200, (1, 0)), "{head}");
    });
}

#[test]
fn retry_that_is_withheld_is_returned_to_the_budget() {
    run(async || {
        let answer = |head: &str| match head.starts_with("GET /break") {
            true => CLOSE_MARK.to_vec(),
            false => good(head, "ok"),
        };
        // A request after the first one deposits 1.08 retries.
        let change = |settings: &mut Settings| settings.bounds.retry_ratio = 1.2;
        let world = World::start_with((&["a"], &[]), answer, change).await;
        world.limit_route(&["a"], 3, 3_000).await;
        send_request(world.host.callers, "first", "/").await.expect("an answer");
        for number in 0..2 {
            world.host.edge.pool.discard_connections(&format!("s-a-{number}"));
        }
        let (before, _) = world.reached();
        let mut caller = world.begin("/break").await;
        let is_broken = |number: usize| {
            let requests = world.in_a[number].requests.borrow();
            requests.iter().any(|head| head.starts_with("GET /break"))
        };
        world.chosen_in_a(|number| is_broken(1 - number)).await;
        assert_eq!(world.reached(), (before + 1, 0), "the test came too late");
        world.learn_homes(&["b"], 3, 3_000);
        let (status, head) = caller.answer().await;
        assert_eq!((status, world.reached()), (200, (before + 1, 1)), "{head}");
        let mut steer = world.host.edge.steer.borrow_mut();
        let has_more = steer.can_retry(clock::now(), SERVICE, RetryWorth::LastChance);
        assert!(!has_more, "the retry that was sent is charged");
    });
}

#[test]
fn withheld_sends_end_with_the_servers() {
    run(async || {
        let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
        world.limit_route(&["a"], 1, 3_000).await;
        let mut caller = world.begin("/r").await;
        world.chosen_in_a(|_| true).await;
        assert_eq!(world.reached(), (0, 0), "the test came too late");
        world.learn_homes(&["c"], 1, 3_000);
        let began = Instant::now();
        let (status, head) = caller.answer().await;
        assert_eq!((status, world.reached()), (503, (0, 0)), "{head}");
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    });
}

#[test]
fn withheld_sends_end_with_the_deadline() {
    run(async || {
        let world = World::start((&["a"], &[]), |head| good(head, "ok")).await;
        world.limit_route(&["a"], 1, 300).await;
        let began = Instant::now();
        let mut caller = world.begin("/r").await;
        world.chosen_in_a(|_| true).await;
        assert_eq!(world.reached(), (0, 0), "the test came too late");
        // The host, which runs on this thread, stands still until less remains than a send needs.
        std::thread::sleep(Duration::from_millis(290).saturating_sub(began.elapsed()));
        let (status, head) = caller.answer().await;
        assert!(matches!(status, 503 | 504), "{head}");
        assert_eq!(world.reached(), (0, 0));
    });
}
