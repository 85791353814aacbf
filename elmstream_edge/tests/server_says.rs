//! Hints of backend servers in the headers of their responses.

mod support;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use elmstream_steer::{model::Repeatability, view::RowKey};
use support::{
    Running, Store, backend, configuration, good, ip, run, send_request, server, serving, start,
    until,
};

/// Pause between two requests of callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a leaving server must get no more requests.
const LEAVE_TIME_MAX: Duration = Duration::from_secs(1);
/// Back-off that a server asks for, and the time after which no earlier request is in
/// transit.
const BACKOFF: Duration = Duration::from_secs(3);
const IN_TRANSIT: Duration = Duration::from_millis(500);
/// Requests that may reach a server during its back-off.
const BACKOFF_REQUESTS_MAX: usize = 2;

/// Arrival times of requests at a server.
type Arrivals = Rc<RefCell<Vec<Instant>>>;

/// A server that responds with `answer`, and the arrival times of its requests.
async fn recording_server(answer: impl Fn(&str) -> Vec<u8> + 'static) -> (SocketAddr, Arrivals) {
    let arrivals = Arrivals::default();
    let seen = arrivals.clone();
    let (address, _) = backend(ip(), move |head| {
        seen.borrow_mut().push(Instant::now());
        answer(head)
    })
    .await;
    (address, arrivals)
}

/// A successful response with an additional header line.
fn with_header(head: &str, line: &str) -> Vec<u8> {
    let answer = String::from_utf8(good(head, "ok")).expect("text");
    answer.replacen("200 OK\r\n", &format!("200 OK\r\n{line}\r\n"), 1).into_bytes()
}

/// A response that refuses a request and asks for a back-off of `retry_after` seconds.
fn refusal_with_retry_after(head: &str, retry_after: &str) -> Vec<u8> {
    let id = support::header(head, "elmstream-request");
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nelmstream-request: {id}\r\nelmstream-not-run: 1\r\n\
         retry-after: {retry_after}\r\ncontent-length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Sends requests of many keys to the hosts in turn for a time; returns how many were sent,
/// and how many succeeded.
async fn send_requests(hosts: &[Running], time: Duration, name: &str) -> (usize, usize) {
    let began = Instant::now();
    let (mut sent, mut served) = (0, 0);
    while began.elapsed() < time {
        let host = hosts[sent % hosts.len()].callers;
        let answer =
            send_request(host, &format!("{name}-{sent}"), &format!("/{}", sent % 41)).await;
        served += usize::from(answer.is_some_and(|answer| answer.status == 200));
        sent += 1;
        compio::time::sleep(REQUEST_INTERVAL).await;
    }
    (sent, served)
}

async fn two_hosts(servers: &[SocketAddr]) -> (Store, Vec<Running>) {
    let store = Store::default();
    store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
    for (n, address) in servers.iter().enumerate() {
        store.put(RowKey::Server(format!("s-{n}")), Some(server(*address)));
    }
    let first = start(ip(), &store, &[]);
    let second = start(ip(), &store, &[first.edge.settings.host.peers]);
    let hosts = vec![first, second];
    let have_met = || {
        hosts.iter().all(|host| {
            host.edge.serves() && host.edge.steer.borrow().members().target_count() == 1
        })
    };
    assert!(until(Duration::from_secs(3), have_met).await, "the hosts know each other");
    (store, hosts)
}

/// A server that announces its leaving in response headers must get no more requests, also
/// while the store is unavailable.
///
/// If hosts learn of a leaving server from its row in the store only, a server that begins to
/// leave during a store outage goes on receiving requests until the store is back, in one
/// case for 13 s, although its responses say that it is leaving.
#[test]
fn leaving_server_gets_no_requests_during_a_store_outage() {
    run(async || {
        let is_leaving = Rc::new(Cell::new(false));
        let announces = is_leaving.clone();
        let (leaving, arrivals) = recording_server(move |head| match announces.get() {
            true => with_header(head, "elmstream-server-leaving: 1"),
            false => good(head, "ok"),
        })
        .await;
        let (other, _) = recording_server(|head| good(head, "ok")).await;
        let (store, hosts) = two_hosts(&[leaving, other]).await;
        send_requests(&hosts, Duration::from_millis(500), "a").await;
        assert!(!arrivals.borrow().is_empty(), "the server is used");
        store.down.set(true);
        is_leaving.set(true);
        let first = arrivals.borrow().len();
        send_requests(&hosts, LEAVE_TIME_MAX, "b").await;
        assert!(arrivals.borrow().len() > first, "a response has announced it");
        let before = arrivals.borrow().len();
        let (sent, served) = send_requests(&hosts, Duration::from_secs(2), "c").await;
        assert_eq!(arrivals.borrow().len(), before, "requests arrived after the announcement");
        assert_eq!(served, sent);
        // The store's row still says that the server is ready.
        store.down.set(false);
        store.put(RowKey::Configuration, Some(configuration(2, Repeatability::Safe)));
        send_requests(&hosts, Duration::from_secs(1), "d").await;
        assert_eq!(arrivals.borrow().len(), before, "the store's row overrode the announcement");
    });
}

/// A leaving server may abort its last responses.
#[test]
fn hints_apply_if_only_the_response_body_is_truncated() {
    run(async || {
        let (leaving, arrivals) = recording_server(|head| {
            let answer = with_header(head, "elmstream-server-leaving: 1");
            let cut = answer.len() - 1;
            [&answer[..cut], support::CLOSE_MARK].concat()
        })
        .await;
        // There is no other server to send requests to.
        let (_store, host) = serving(Repeatability::Safe, &[leaving]).await;
        send_requests(&[host], Duration::from_millis(800), "h").await;
        assert_eq!(arrivals.borrow().len(), 1);
    });
}

/// A server that refuses requests with Retry-After must get none for that time.
///
/// If hosts ignore Retry-After, a refusing server only counts as full for 60 ms. Six servers
/// that refused all requests for nine seconds, asking for a back-off of three seconds each
/// time, then got about as many requests as before. Many requests met two of these servers in
/// a row and were lost: one look-up in ten was refused and one in ten late.
#[test]
fn server_that_asks_for_backoff_gets_no_requests() {
    run(async || {
        let is_refusing = Rc::new(Cell::new(false));
        let refuses = is_refusing.clone();
        let (refusing, arrivals) = recording_server(move |head| match refuses.get() {
            true => refusal_with_retry_after(head, "3"),
            false => good(head, "ok"),
        })
        .await;
        let (other, _) = recording_server(|head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Safe, &[refusing, other]).await;
        let hosts = [host];
        // The retry budget must allow a retry.
        send_requests(&hosts, Duration::from_millis(500), "b").await;
        is_refusing.set(true);
        let before = arrivals.borrow().len();
        let (sent, served) = send_requests(&hosts, BACKOFF, "r").await;
        let arrivals = arrivals.borrow();
        let first = *arrivals.get(before).expect("one request reached it");
        let during_backoff = arrivals[before..].iter();
        let during_backoff = during_backoff.filter(|at| at.duration_since(first) > IN_TRANSIT);
        let during_backoff = during_backoff.count();
        assert!(
            during_backoff <= BACKOFF_REQUESTS_MAX,
            "{during_backoff} requests during its back-off"
        );
        assert_eq!(served, sent);
    });
}
