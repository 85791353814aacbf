//! Connections to backend servers that stop responding for good while new ones work.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use compio::net::TcpListener;
use elmstream_edge::backend::{
    Exchange, Pool, SUSPECT_AFTER, UNACKED_TIMEOUT, open_stream, request_body,
};
use elmstream_http::LocalBody;
use futures_util::future::join_all;
use http::Request;
use socket2::SockRef;
use support::{CLOSE_MARK, Received, backend, good, ip, run};

/// More bytes than the buffers of both ends of a connection hold while nobody reads.
const LARGE_BODY_BYTES: usize = 32 << 20;
/// Idle connections after [`pool_with_idle`].
const IDLE_CONNECTIONS: usize = 3;
/// The server's id.
const SERVER_ID: &str = "s-0";

fn request(path: &str, bytes: usize) -> Request<LocalBody> {
    let request = Request::builder().uri(path).header("host", "shop.example");
    request.body(request_body(&vec![b'x'; bytes].into())).expect("a request")
}

/// Closes the connection after `/cut`, sends nothing to `/mute`, and responds otherwise.
fn respond_by_path(head: &str) -> Vec<u8> {
    match head {
        path if path.contains("/cut") => CLOSE_MARK.to_vec(),
        path if path.contains("/mute") => Vec::new(),
        _ => good(head, "ok"),
    }
}

/// A server to which the pool has idle connections.
async fn pool_with_idle(pool: &Pool) -> (SocketAddr, Received) {
    let (address, received) = backend(ip(), respond_by_path).await;
    let slow = (0..IDLE_CONNECTIONS)
        .map(|_| pool.exchange(SERVER_ID, address, || Some(request("/slow", 0))));
    for exchange in join_all(slow).await {
        assert!(matches!(exchange, Exchange::Whole(..)), "{exchange:?}");
    }
    assert_eq!(received.connections.get(), IDLE_CONNECTIONS);
    (address, received)
}

#[test]
fn connection_has_an_unacknowledged_data_timeout() {
    run(async || {
        let (address, _) = backend(ip(), respond_by_path).await;
        let (stream, timeout_set) = open_stream(address).await.expect("a connection");
        timeout_set.expect("the option");
        let timeout = SockRef::from(&stream).tcp_user_timeout().expect("the option");
        assert_eq!(timeout, Some(UNACKED_TIMEOUT));
    });
}

/// Requests over connections that had stopped responding waited for their whole timeout and
/// got an unknown result, one after the other, although new connections to the same servers
/// worked.
#[test]
fn unacknowledged_request_fails_long_before_the_deadline() {
    run(async || {
        let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let pool = Pool::default();
        let began = Instant::now();
        let exchange = pool.exchange(SERVER_ID, address, || Some(request("/", LARGE_BODY_BYTES)));
        let exchange = compio::time::timeout(Duration::from_secs(6), exchange).await;
        assert!(matches!(exchange, Ok(Exchange::Broken(_))), "{exchange:?}");
        assert!(began.elapsed() >= UNACKED_TIMEOUT, "after {:?}", began.elapsed());
    });
}

#[test]
fn idle_connections_are_discarded_after_a_broken_exchange() {
    run(async || {
        let pool = Pool::default();
        let (address, received) = pool_with_idle(&pool).await;
        let cut = pool.exchange(SERVER_ID, address, || Some(request("/cut", 0))).await;
        assert!(matches!(cut, Exchange::Broken(_)), "{cut:?}");
        let next = pool.exchange(SERVER_ID, address, || Some(request("/", 0))).await;
        assert!(matches!(next, Exchange::Whole(..)), "{next:?}");
        assert_eq!(received.connections.get(), IDLE_CONNECTIONS + 1);
    });
}

#[test]
fn idle_connections_are_discarded_after_an_abandoned_request() {
    run(async || {
        let pool = Pool::default();
        let (address, received) = pool_with_idle(&pool).await;
        let silent = pool.exchange(SERVER_ID, address, || Some(request("/mute", 0)));
        let silent = compio::time::timeout(SUSPECT_AFTER + Duration::from_millis(50), silent).await;
        assert!(silent.is_err(), "{silent:?}");
        let next = pool.exchange(SERVER_ID, address, || Some(request("/", 0))).await;
        assert!(matches!(next, Exchange::Whole(..)), "{next:?}");
        assert_eq!(received.connections.get(), IDLE_CONNECTIONS + 1);
    });
}

#[test]
fn early_leave_of_a_caller_keeps_idle_connections() {
    run(async || {
        let pool = Pool::default();
        let (address, received) = pool_with_idle(&pool).await;
        let silent = pool.exchange(SERVER_ID, address, || Some(request("/mute", 0)));
        let silent = compio::time::timeout(Duration::from_millis(50), silent).await;
        assert!(silent.is_err(), "{silent:?}");
        pool.exchange(SERVER_ID, address, || Some(request("/", 0))).await;
        assert_eq!(received.connections.get(), IDLE_CONNECTIONS);
    });
}

#[test]
fn connection_that_responded_meanwhile_is_kept() {
    run(async || {
        let pool = Pool::default();
        let (address, received) = pool_with_idle(&pool).await;
        let silent = pool.exchange(SERVER_ID, address, || Some(request("/mute", 0)));
        let silent = compio::time::timeout(SUSPECT_AFTER + Duration::from_millis(50), silent);
        let other = async {
            compio::time::sleep(SUSPECT_AFTER / 2).await;
            pool.exchange(SERVER_ID, address, || Some(request("/", 0))).await
        };
        let (silent, other) = futures_util::future::join(silent, other).await;
        assert!(silent.is_err() && matches!(other, Exchange::Whole(..)), "{other:?}");
        pool.exchange(SERVER_ID, address, || Some(request("/", 0))).await;
        assert_eq!(received.connections.get(), IDLE_CONNECTIONS);
    });
}

/// This happens if the host is suspended while the connection opens.
#[test]
fn request_without_remaining_time_is_not_sent() {
    run(async || {
        let (address, received) = backend(ip(), respond_by_path).await;
        let pool = Pool::default();
        let exchange = pool.exchange(SERVER_ID, address, || None).await;
        assert!(matches!(exchange, Exchange::NoTime), "{exchange:?}");
        assert!(received.requests.borrow().is_empty());
    });
}

/// Answers of backend servers and of hosts that relay requests are read here.
#[test]
fn odd_answers_are_never_whole() {
    let odd_answers = [
        "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 101 OK\r\n\r\n",
        "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx y: 1\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx\u{1}: 1\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no",
        "HTTP/1.1 200 OK\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ];
    for odd in odd_answers {
        run(async || {
            let answer = |_: &str| [odd.as_bytes(), CLOSE_MARK].concat();
            let (address, received) = backend(ip(), answer).await;
            let pool = Pool::default();
            let exchange = pool.exchange(SERVER_ID, address, || Some(request("/", 0))).await;
            let is_odd = matches!(exchange, Exchange::Broken(_) | Exchange::Unusable(_));
            assert!(is_odd, "{odd:?}: {exchange:?}");
            assert_eq!(received.requests.borrow().len(), 1);
        });
    }
}
