//! A planned stop cuts nothing that is in flight.

mod support;

use std::{
    net::{IpAddr, SocketAddr},
    sync::mpsc::{Sender, channel},
    thread::{self, JoinHandle},
    time::Duration,
};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use elmstream_edge::connections;
use elmstream_steer::{model::Repeatability, view::RowKey};
use support::{
    CALLERS, Store, ask, ask_within, backend, configuration, good, ip, run, server, serving,
    settings, start_with, until,
};

/// Time between the notice and the end of new connections of a host that stops soon.
const NOTICE_MS: u64 = 100;
/// Grace time of a host that stops soon; a slow request outlasts it.
const GRACE_MS: u64 = 700;
/// Time that a request in flight is given before the stop comes.
const UNDER_WAY: Duration = Duration::from_millis(50);
/// Time in which any answer has come.
const PATIENCE: Duration = Duration::from_secs(5);

#[test]
fn requests_in_flight_are_answered_and_then_the_host_ends() {
    run(async || {
        let (address, _) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        let callers = host.callers;
        let asking: Vec<_> = (0..4)
            .map(|n| {
                compio::runtime::spawn(
                    async move { ask(callers, &format!("id-{n}"), "/slow").await },
                )
            })
            .collect();
        compio::time::sleep(Duration::from_millis(100)).await;
        host.terminate();
        for answer in asking {
            let answer = answer.await.expect("it does not panic").expect("an answer");
            assert_eq!(answer.status, 200);
        }
        assert!(until(Duration::from_secs(2), || host.ended.get()).await, "the host ends");
    });
}

#[test]
fn a_host_that_stops_says_so_at_once_and_still_serves_who_comes() {
    run(async || {
        let (address, _) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        host.terminate();
        assert!(until(Duration::from_millis(100), || !host.edge.serves()).await);
        let answer = ask(host.callers, "id-0", "/thing").await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["connection"], "close", "callers leave by themselves");
    });
}

/// A fixed time would close connections that callers still take up by a longer limit,
/// and cut what they send just then.
#[test]
fn a_connection_rests_longer_than_its_limit() {
    for limit in [0, 2, 15, 20, 60, 600].map(Duration::from_secs) {
        let rest = connections::idle_timeout(limit);
        assert!(rest >= limit + Duration::from_secs(5), "{limit:?}: {rest:?}");
    }
}

/// Runs a host on a thread of its own until it is told to stop, and ends its runtime
/// with it, as the end of a process does.
fn host_alone(ip: IpAddr, backend: SocketAddr) -> (Sender<()>, JoinHandle<()>) {
    let (terminate, terminated) = channel::<()>();
    let (told, ready) = channel();
    let thread = thread::spawn(move || {
        run(async || {
            let store = Store::default();
            store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Once)));
            store.put(RowKey::Server("s-0".into()), Some(server(backend)));
            let mut settings = settings(ip, &[]);
            settings.stop.notice_ms = NOTICE_MS;
            settings.stop.grace_ms = GRACE_MS;
            let host = start_with(ip, settings, &store);
            assert!(until(PATIENCE, || host.edge.serves()).await, "the host is ready");
            told.send(()).expect("the test waits");
            assert!(until(PATIENCE, || terminated.try_recv().is_ok()).await, "it is told");
            host.terminate();
            assert!(until(PATIENCE, || host.ended.get()).await, "the host ends");
        });
    });
    ready.recv_timeout(PATIENCE).expect("it is ready");
    (terminate, thread)
}

/// Callers saw their connection end without an answer when a host's grace time was
/// over before their request was: the process ended with the request in flight. They
/// could not know whether it had run.
#[test]
fn a_request_that_outlasts_the_grace_time_gets_an_answer() {
    run(async || {
        let (address, got) = backend(ip(), |head| good(head, "ok")).await;
        let at = ip();
        let callers = SocketAddr::new(at, CALLERS);
        let (terminate, thread) = host_alone(at, address);
        let running = compio::runtime::spawn(ask_within(callers, "id-0", "/slow", PATIENCE));
        let unsent = compio::runtime::spawn(ask_in_part(callers));
        assert!(until(PATIENCE, || got.requests.borrow().len() == 1).await, "it is sent on");
        compio::time::sleep(UNDER_WAY).await;
        terminate.send(()).expect("the host runs");
        let running = running.await.expect("no panic").expect("an answer");
        assert_eq!(running.status, 504);
        assert_eq!(running.headers["elmstream-code"], "1205");
        let unsent = unsent.await.expect("no panic").to_ascii_lowercase();
        assert!(unsent.starts_with("http/1.1 503"), "{unsent}");
        assert!(unsent.contains("elmstream-code: 1108"), "{unsent}");
        assert!(unsent.contains("retry-after"), "{unsent}");
        assert!(unsent.contains("connection: close"), "{unsent}");
        thread.join().expect("no panic");
        assert_eq!(got.requests.borrow().len(), 1, "the unsent one reaches no server");
    });
}

/// Sends a request without the end of its body, and reads all that comes back.
async fn ask_in_part(host: SocketAddr) -> String {
    let mut stream = TcpStream::connect(host).await.expect("a connection");
    let head = "POST /thing HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: id-1\r\n\
                content-length: 10\r\n\r\nhalf";
    stream.write_all(head).await.0.expect("it is sent");
    let mut text = String::new();
    loop {
        let BufResult(read, bytes) = stream.read(Vec::with_capacity(4_096)).await;
        match read {
            Ok(0) | Err(_) => return text,
            Ok(_) => text += &String::from_utf8_lossy(&bytes),
        }
    }
}
