//! A planned stop aborts nothing that is in flight without a response.

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
    CALLERS, Store, backend, configuration, good, ip, run, send_request, send_request_within,
    server, serving, settings, start_with, until,
};

/// Time between the notice and the end of new connections, for a host that stops quickly.
const NOTICE_MS: u64 = 100;
/// Grace time of a host that stops quickly; shorter than a slow request.
const GRACE_MS: u64 = 700;
/// Time that a request is in flight before the stop.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(50);
/// Timeout of each step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn requests_in_flight_are_answered_before_the_host_ends() {
    run(async || {
        let (address, _) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        let callers = host.callers;
        let requests: Vec<_> = (0..4)
            .map(|n| {
                compio::runtime::spawn(async move {
                    send_request(callers, &format!("id-{n}"), "/slow").await
                })
            })
            .collect();
        compio::time::sleep(Duration::from_millis(100)).await;
        host.terminate();
        for answer in requests {
            let answer = answer.await.expect("it does not panic").expect("an answer");
            assert_eq!(answer.status, 200);
        }
        assert!(until(Duration::from_secs(2), || host.ended.get()).await, "the host ends");
    });
}

#[test]
fn stopping_host_becomes_unready_and_still_serves() {
    run(async || {
        let (address, _) = backend(ip(), |head| good(head, "ok")).await;
        let (_store, host) = serving(Repeatability::Once, &[address]).await;
        host.terminate();
        assert!(until(Duration::from_millis(100), || !host.edge.serves()).await);
        let answer = send_request(host.callers, "id-0", "/thing").await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["connection"], "close", "callers are asked to close");
    });
}

/// A fixed timeout would close connections that callers with a longer limit still use, and
/// abort what they send at that moment.
#[test]
fn idle_timeout_exceeds_the_configured_limit() {
    for limit in [0, 2, 15, 20, 60, 600].map(Duration::from_secs) {
        let idle_timeout = connections::idle_timeout(limit);
        assert!(idle_timeout >= limit + Duration::from_secs(5), "{limit:?}: {idle_timeout:?}");
    }
}

/// Runs a host on its own thread until the test requests the stop; its runtime ends with it,
/// as at the end of a process.
fn host_on_own_thread(ip: IpAddr, backend: SocketAddr) -> (Sender<()>, JoinHandle<()>) {
    let (terminate, terminated) = channel::<()>();
    let (ready_sender, ready) = channel();
    let thread = thread::spawn(move || {
        run(async || {
            let store = Store::default();
            store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Once)));
            store.put(RowKey::Server("s-0".into()), Some(server(backend)));
            let mut settings = settings(ip, &[]);
            settings.stop.notice_ms = NOTICE_MS;
            settings.stop.grace_ms = GRACE_MS;
            let host = start_with(ip, settings, &store);
            assert!(until(STEP_TIMEOUT, || host.edge.serves()).await, "the host is ready");
            ready_sender.send(()).expect("the test waits");
            assert!(
                until(STEP_TIMEOUT, || terminated.try_recv().is_ok()).await,
                "the test requests the stop"
            );
            host.terminate();
            assert!(until(STEP_TIMEOUT, || host.ended.get()).await, "the host ends");
        });
    });
    ready.recv_timeout(STEP_TIMEOUT).expect("it is ready");
    (terminate, thread)
}

/// When a host's grace time ended before a request in flight, the caller's connection was
/// closed without a response, so that it could not know whether the request had run.
#[test]
fn request_longer_than_the_grace_time_gets_a_response() {
    run(async || {
        let (address, received) = backend(ip(), |head| good(head, "ok")).await;
        let at = ip();
        let callers = SocketAddr::new(at, CALLERS);
        let (terminate, thread) = host_on_own_thread(at, address);
        let running =
            compio::runtime::spawn(send_request_within(callers, "id-0", "/slow", STEP_TIMEOUT));
        let partial = compio::runtime::spawn(send_partial_request(callers));
        assert!(
            until(STEP_TIMEOUT, || received.requests.borrow().len() == 1).await,
            "it is forwarded"
        );
        compio::time::sleep(IN_FLIGHT_TIME).await;
        terminate.send(()).expect("the host runs");
        let running = running.await.expect("no panic").expect("an answer");
        assert_eq!(running.status, 504);
        assert_eq!(running.headers["elmstream-code"], "1205");
        let partial = partial.await.expect("no panic").to_ascii_lowercase();
        assert!(partial.starts_with("http/1.1 503"), "{partial}");
        assert!(partial.contains("elmstream-code: 1108"), "{partial}");
        assert!(partial.contains("retry-after"), "{partial}");
        assert!(partial.contains("connection: close"), "{partial}");
        thread.join().expect("no panic");
        assert_eq!(received.requests.borrow().len(), 1, "the partial request reaches no server");
    });
}

/// Sends a request without the end of its body, and reads all that is returned.
async fn send_partial_request(host: SocketAddr) -> String {
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
