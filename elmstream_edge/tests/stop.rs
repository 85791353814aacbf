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
use elmstream_edge::{connections, settings::Stop};
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
    let stop = Stop { notice_ms: NOTICE_MS, grace_ms: GRACE_MS, ..Stop::default() };
    host_with_stop(ip, backend, stop)
}

/// Runs a host with a timing of its stop as [`host_on_own_thread`] does.
fn host_with_stop(ip: IpAddr, backend: SocketAddr, stop: Stop) -> (Sender<()>, JoinHandle<()>) {
    let (terminate, terminated) = channel::<()>();
    let (ready_sender, ready) = channel();
    let thread = thread::spawn(move || {
        run(async || {
            let store = Store::default();
            store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Once)));
            store.put(RowKey::Server("s-0".into()), Some(server(backend)));
            let mut settings = settings(ip, &[]);
            settings.stop = stop;
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
    read_to_end(stream).await
}

/// Reads until the host closes the connection.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    loop {
        let BufResult(read, bytes) = stream.read(Vec::with_capacity(4_096)).await;
        match read {
            Ok(0) | Err(_) => return text,
            Ok(_) => text += &String::from_utf8_lossy(&bytes),
        }
    }
}

/// A request whose body ends late in the grace time was passed on and aborted soon after, so that its
/// caller could not know whether it had run.
#[test]
fn request_that_is_whole_late_in_the_grace_time_is_refused_and_not_sent() {
    run(async || {
        let (address, received) = backend(ip(), |head| good(head, "ok")).await;
        let at = ip();
        let stop = Stop { notice_ms: NOTICE_MS, last_send_ms: 300, grace_ms: 1_300 };
        let (terminate, thread) = host_with_stop(at, address, stop);
        let mut stream = TcpStream::connect(SocketAddr::new(at, CALLERS)).await.expect("connects");
        let head = "GET /slow HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: id-1\r\n\
                    content-length: 10\r\n\r\nhalf ";
        stream.write_all(head).await.0.expect("it is sent");
        compio::time::sleep(IN_FLIGHT_TIME).await;
        terminate.send(()).expect("the host runs");
        compio::time::sleep(Duration::from_millis(420)).await;
        stream.write_all("whole").await.0.expect("it is sent");
        let answer = read_to_end(stream).await.to_ascii_lowercase();
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        assert!(answer.contains("elmstream-code: 1108"), "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        thread.join().expect("no panic");
        assert_eq!(received.requests.borrow().len(), 0, "the request reaches no server");
    });
}

/// Guards against requests that are taken from a kept connection late in the grace time: they are
/// either answered or not passed on, whenever they come.
#[test]
fn kept_connections_take_no_request_that_is_not_answered_at_any_moment_of_the_stop() {
    run(async || {
        let (address, received) = backend(ip(), |head| good(head, "ok")).await;
        let at = ip();
        let stop = Stop { notice_ms: 400, last_send_ms: 800, grace_ms: 2_000 };
        let (terminate, thread) = host_with_stop(at, address, stop);
        let mut connections = Vec::new();
        for _ in 0..40 {
            let stream = TcpStream::connect(SocketAddr::new(at, CALLERS)).await;
            connections.push(stream.expect("a connection"));
        }
        // Each connection has had a request, so that it is one that is kept.
        for (n, stream) in connections.iter_mut().enumerate() {
            let request = request_text(&format!("first-{n}"));
            stream.write_all(request).await.0.expect("it is sent");
            let BufResult(read, _) = stream.read(Vec::with_capacity(4_096)).await;
            assert!(read.expect("an answer") > 0);
        }
        let before = received.requests.borrow().len();
        terminate.send(()).expect("the host runs");
        let mut answers = Vec::new();
        for (n, mut stream) in connections.into_iter().enumerate() {
            answers.push(compio::runtime::spawn(async move {
                compio::time::sleep(Duration::from_millis(50 * n as u64)).await;
                let sent = stream.write_all(request_text(&format!("id-{n}"))).await.0;
                let answer = read_to_end(stream).await;
                sent.is_ok() && answer.starts_with("HTTP/1.1 200")
            }));
        }
        let mut answered = 0;
        for answer in answers {
            answered += usize::from(answer.await.expect("no panic"));
        }
        thread.join().expect("no panic");
        assert!(answered >= 4, "{answered} requests were answered");
        assert_eq!(received.requests.borrow().len() - before, answered, "a request was cut");
    });
}

fn request_text(id: &str) -> String {
    format!("GET /thing HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: {id}\r\n\r\n")
}
