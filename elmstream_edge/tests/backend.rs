//! Connections to backend servers that go silent for good while new ones work.

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
use support::{CLOSE, Got, backend, good, ip, run};

/// More than the buffers of both ends of a connection hold while nobody reads.
const LARGE: usize = 32 << 20;
/// Connections that rest after [`warm`].
const RESTING: usize = 3;
/// The server's id.
const ID: &str = "s-0";

fn request(path: &str, bytes: usize) -> Request<LocalBody> {
    let request = Request::builder().uri(path).header("host", "shop.example");
    request.body(request_body(&vec![b'x'; bytes].into())).expect("a request")
}

/// A server that closes after `/cut`, says nothing to `/mute`, and answers else.
fn moody(head: &str) -> Vec<u8> {
    match head {
        cut if cut.contains("/cut") => CLOSE.to_vec(),
        mute if mute.contains("/mute") => Vec::new(),
        _ => good(head, "ok"),
    }
}

/// A server to which connections rest.
async fn warm(pool: &Pool) -> (SocketAddr, Got) {
    let (address, got) = backend(ip(), moody).await;
    let slow = (0..RESTING).map(|_| pool.exchange(ID, address, || Some(request("/slow", 0))));
    for exchange in join_all(slow).await {
        assert!(matches!(exchange, Exchange::Whole(..)), "{exchange:?}");
    }
    assert_eq!(got.connections.get(), RESTING);
    (address, got)
}

#[test]
fn a_connection_has_a_bound_on_silence() {
    run(async || {
        let (address, _) = backend(ip(), moody).await;
        let (stream, bounded) = open_stream(address).await.expect("a connection");
        bounded.expect("the option");
        let bound = SockRef::from(&stream).tcp_user_timeout().expect("the option");
        assert_eq!(bound, Some(UNACKED_TIMEOUT));
    });
}

/// What users saw: requests over connections that had gone silent waited for their
/// whole time and were answered as unknown, one after the other, although new
/// connections to the same servers worked.
#[test]
fn what_is_not_taken_in_ends_as_broken_long_before_the_deadline() {
    run(async || {
        let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let pool = Pool::default();
        let began = Instant::now();
        let exchange = pool.exchange(ID, address, || Some(request("/", LARGE)));
        let exchange = compio::time::timeout(Duration::from_secs(6), exchange).await;
        assert!(matches!(exchange, Ok(Exchange::Broken(_))), "{exchange:?}");
        assert!(began.elapsed() >= UNACKED_TIMEOUT, "after {:?}", began.elapsed());
    });
}

#[test]
fn after_a_broken_exchange_connections_that_rested_are_not_used() {
    run(async || {
        let pool = Pool::default();
        let (address, got) = warm(&pool).await;
        let cut = pool.exchange(ID, address, || Some(request("/cut", 0))).await;
        assert!(matches!(cut, Exchange::Broken(_)), "{cut:?}");
        let next = pool.exchange(ID, address, || Some(request("/", 0))).await;
        assert!(matches!(next, Exchange::Whole(..)), "{next:?}");
        assert_eq!(got.connections.get(), RESTING + 1);
    });
}

#[test]
fn after_a_request_that_was_given_up_connections_that_rested_are_not_used() {
    run(async || {
        let pool = Pool::default();
        let (address, got) = warm(&pool).await;
        let mute = pool.exchange(ID, address, || Some(request("/mute", 0)));
        let mute = compio::time::timeout(SUSPECT_AFTER + Duration::from_millis(50), mute).await;
        assert!(mute.is_err(), "{mute:?}");
        let next = pool.exchange(ID, address, || Some(request("/", 0))).await;
        assert!(matches!(next, Exchange::Whole(..)), "{next:?}");
        assert_eq!(got.connections.get(), RESTING + 1);
    });
}

#[test]
fn a_caller_that_leaves_soon_costs_no_other_connection() {
    run(async || {
        let pool = Pool::default();
        let (address, got) = warm(&pool).await;
        let mute = pool.exchange(ID, address, || Some(request("/mute", 0)));
        let mute = compio::time::timeout(Duration::from_millis(50), mute).await;
        assert!(mute.is_err(), "{mute:?}");
        pool.exchange(ID, address, || Some(request("/", 0))).await;
        assert_eq!(got.connections.get(), RESTING);
    });
}

#[test]
fn a_connection_that_answered_meanwhile_is_kept() {
    run(async || {
        let pool = Pool::default();
        let (address, got) = warm(&pool).await;
        let mute = pool.exchange(ID, address, || Some(request("/mute", 0)));
        let mute = compio::time::timeout(SUSPECT_AFTER + Duration::from_millis(50), mute);
        let other = async {
            compio::time::sleep(SUSPECT_AFTER / 2).await;
            pool.exchange(ID, address, || Some(request("/", 0))).await
        };
        let (mute, other) = futures_util::future::join(mute, other).await;
        assert!(mute.is_err() && matches!(other, Exchange::Whole(..)), "{other:?}");
        pool.exchange(ID, address, || Some(request("/", 0))).await;
        assert_eq!(got.connections.get(), RESTING);
    });
}

/// The host was suspended while the connection came up, say.
#[test]
fn a_request_whose_time_is_over_before_a_connection_is_there_is_not_sent() {
    run(async || {
        let (address, got) = backend(ip(), moody).await;
        let pool = Pool::default();
        let exchange = pool.exchange(ID, address, || None).await;
        assert!(matches!(exchange, Exchange::NoTime), "{exchange:?}");
        assert!(got.requests.borrow().is_empty());
    });
}
