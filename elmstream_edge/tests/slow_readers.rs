//! Callers and servers that read slowly or not at all, over real sockets.

mod support;

use std::{
    cell::Cell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use elmstream_edge::settings::Buffers;
use elmstream_steer::{
    model::Repeatability,
    view::{RowContent, RowKey},
};
use socket2::{Domain, Socket, Type};
use support::{
    Running, Store, configuration, good, header, ip, run, send_request, server, settings,
    start_with, until,
};

const MIB: u64 = 1 << 20;
/// Bytes of an answer that no socket buffers take in.
const LARGE_ANSWER: usize = 16 << 20;
/// Body of an upload to a server that reads nothing, in bytes.
const UPLOAD: u64 = 400_000;
/// Time within which callers are served as usual; far above what loopback takes.
const USUAL_TIME: Duration = Duration::from_millis(300);
/// Timeout of each step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// What a server has taken and given.
#[derive(Clone, Debug, Default)]
struct Served {
    connections: Rc<Cell<usize>>,
    /// Answers that are written whole.
    written: Rc<Cell<usize>>,
}

/// A server that reads bodies whole, and answers `/large` with [`LARGE_ANSWER`] bytes; or one that
/// reads nothing.
async fn body_server(ip: IpAddr, reads: bool) -> (SocketAddr, Served) {
    let listener = TcpListener::bind((ip, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let served = Served::default();
    let all = served.clone();
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            all.connections.set(all.connections.get() + 1);
            let served = all.clone();
            compio::runtime::spawn(async move {
                match reads {
                    true => answer_requests(stream, &served).await,
                    false => compio::time::sleep(Duration::from_secs(60)).await,
                }
            })
            .detach();
        }
    })
    .detach();
    (address, served)
}

async fn answer_requests(mut stream: TcpStream, served: &Served) {
    while let Some((head, rest)) = read_head(&mut stream).await {
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        let mut missing = length.saturating_sub(rest);
        while missing > 0 {
            match stream.read(Vec::with_capacity(65_536)).await.0 {
                Ok(0) | Err(_) => return,
                Ok(read) => missing -= read,
            }
        }
        let text = match head.contains("/large") {
            true => "x".repeat(LARGE_ANSWER),
            false => "ok".to_owned(),
        };
        if stream.write_all(good(&head, &text)).await.0.is_err() {
            return;
        }
        served.written.set(served.written.get() + 1);
    }
}

/// Reads up to the end of a head; returns it, and how many bytes were read beyond it.
async fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut text = String::new();
    loop {
        let BufResult(read, bytes) = stream.read(Vec::with_capacity(65_536)).await;
        if !matches!(read, Ok(1..)) {
            return None;
        }
        text += &String::from_utf8_lossy(&bytes);
        if let Some(end) = text.find("\r\n\r\n") {
            return Some((text[..end].to_owned(), text.len() - end - 4));
        }
    }
}

/// A host with these buffers, a route with these times, and servers.
async fn host(buffers: Buffers, times: (u64, u64), servers: &[SocketAddr]) -> Running {
    let store = Store::default();
    let mut content = configuration(1, Repeatability::Once);
    if let RowContent::Configuration(configuration) = &mut content {
        (configuration.routes[0].objective_ms, configuration.routes[0].timeout_ms) = times;
    }
    store.put(RowKey::Configuration, Some(content));
    for (n, address) in servers.iter().enumerate() {
        let mut row = server(*address);
        if let RowContent::Server(server) = &mut row {
            server.slots = 64;
        }
        store.put(RowKey::Server(format!("s-{n}")), Some(row));
    }
    let at = ip();
    let mut settings = settings(at, &[]);
    settings.buffers = buffers;
    let running = start_with(at, settings, &store);
    assert!(until(STEP_TIMEOUT, || running.edge.serves()).await, "the host is ready");
    running
}

fn head(method: &str, id: &str, path: &str, length: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: {id}\r\n\
         elmstream-affinity: {id}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Connects with a small receive buffer and sends a request of which `sent` bytes of body arrive.
async fn begin(host: SocketAddr, head: String, sent: u64) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(8 << 10).expect("a small buffer");
    socket.connect(&host.into()).expect("a connection");
    socket.set_nonblocking(true).expect("non-blocking");
    let mut stream = TcpStream::from_std(socket.into()).expect("a stream");
    stream.write_all(head).await.0.expect("the head is sent");
    let mut writing = stream.clone();
    compio::runtime::spawn(async move {
        // A host that refuses closes the connection before it has read the body.
        let _ = writing.write_all(vec![b'x'; sent as usize]).await;
    })
    .detach();
    stream
}

/// Sends a request with a whole body; returns the head of the answer and its time.
async fn upload(host: SocketAddr, id: String, bytes: u64) -> (String, Duration) {
    let began = Instant::now();
    let mut stream = begin(host, head("POST", &id, "/thing", bytes), bytes).await;
    let answer = read_head(&mut stream).await.map(|(head, _)| head.to_ascii_lowercase());
    (answer.unwrap_or_default(), began.elapsed())
}

fn status(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or_default()
}

async fn assert_served(host: SocketAddr) {
    let answer = send_request(host, "id-other", "/thing").await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert!(answer.took < USUAL_TIME, "another caller waits for {:?}", answer.took);
}

/// Load: callers whose bodies do not arrive fill the bound, others want to send theirs.
#[test]
fn bodies_beyond_the_bound_are_refused_unread() {
    run(async || {
        let (address, served) = body_server(ip(), true).await;
        let buffers = Buffers { total_bytes: 2 * MIB, ..Buffers::default() };
        let host = host(buffers, (300, 5_000), &[address]).await;
        let (edge, callers) = (host.edge.clone(), host.callers);
        let mut stalled = Vec::new();
        for n in 0..2 {
            let head = head("POST", &format!("stalled-{n}"), "/thing", MIB);
            stalled.push(begin(callers, head, MIB / 2).await);
        }
        let full = until(STEP_TIMEOUT, || edge.buffers.held() == 2 * MIB).await;
        assert!(full, "the stalled bodies are admitted: {}", edge.buffers.held());
        let uploads: Vec<_> = (0..8)
            .map(|n| compio::runtime::spawn(upload(callers, format!("id-{n}"), MIB)))
            .collect();
        assert_served(callers).await;
        for upload in uploads {
            let (answer, took) = upload.await.expect("no panic");
            assert_eq!(status(&answer), "503", "{answer}");
            assert_eq!(header(&answer, "elmstream-code"), "1121");
            assert!(answer.contains("retry-after"), "{answer}");
            assert!(took < Duration::from_secs(1), "refused after {took:?}");
        }
        assert_served(callers).await;
        assert_eq!(served.written.get(), 2, "no refused request reaches a server");
        drop(stalled);
        let given_back = until(Duration::from_secs(1), || edge.buffers.held() == 0).await;
        assert!(given_back, "{} bytes are held", edge.buffers.held());
        let (answer, _) = upload(callers, "id-later".into(), MIB).await;
        assert_eq!(status(&answer), "200", "{answer}");
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() == 0).await);
        let answers = 1_024;
        assert!(edge.buffers.peak() <= 2 * MIB + answers, "peak {}", edge.buffers.peak());
    });
}

/// Load: many uploads at once, several times what the bound holds.
#[test]
fn many_uploads_take_turns_within_the_bound() {
    run(async || {
        let (address, _) = body_server(ip(), true).await;
        let buffers = Buffers { total_bytes: 2 * MIB, ..Buffers::default() };
        let host = host(buffers, (4_000, 5_000), &[address]).await;
        let uploads: Vec<_> = (0..40)
            .map(|n| compio::runtime::spawn(upload(host.callers, format!("id-{n}"), UPLOAD)))
            .collect();
        for upload in uploads {
            let (answer, _) = upload.await.expect("no panic");
            assert_eq!(status(&answer), "200", "{answer}");
        }
        let edge = &host.edge;
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() == 0).await);
        let answers = 1_024;
        assert!(edge.buffers.peak() <= 2 * MIB + answers, "peak {}", edge.buffers.peak());
    });
}

/// Load: callers that leave while their bodies arrive, and while they wait.
#[test]
fn bodies_of_callers_that_left_are_given_back() {
    run(async || {
        let (address, _) = body_server(ip(), true).await;
        let buffers = Buffers { total_bytes: MIB, ..Buffers::default() };
        let host = host(buffers, (300, 20_000), &[address]).await;
        let edge = &host.edge;
        let stalled = begin(host.callers, head("POST", "id-0", "/thing", MIB), 1_000).await;
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() == MIB).await);
        let waiting = begin(host.callers, head("POST", "id-1", "/thing", MIB), 1_000).await;
        assert!(until(STEP_TIMEOUT, || edge.buffers.waiting() == 1).await, "the second one waits");
        drop(waiting);
        let left = until(Duration::from_secs(1), || edge.buffers.waiting() == 0).await;
        assert!(left, "its place in the queue is free");
        drop(stalled);
        let given_back = until(Duration::from_secs(1), || edge.buffers.held() == 0).await;
        assert!(given_back, "{} bytes are held", edge.buffers.held());
    });
}

/// Load: a planned stop while a body waits.
#[test]
fn stopping_host_answers_bodies_that_wait() {
    run(async || {
        let (address, served) = body_server(ip(), true).await;
        let buffers = Buffers { total_bytes: MIB, ..Buffers::default() };
        let host = host(buffers, (15_000, 20_000), &[address]).await;
        let edge = &host.edge;
        let _stalled = begin(host.callers, head("POST", "id-0", "/thing", MIB), 1_000).await;
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() == MIB).await);
        let waiting = compio::runtime::spawn(upload(host.callers, "id-1".into(), MIB));
        assert!(until(STEP_TIMEOUT, || edge.buffers.waiting() == 1).await, "the second one waits");
        host.terminate();
        let (answer, _) = waiting.await.expect("no panic");
        assert_eq!((status(&answer), header(&answer, "elmstream-code")), ("503", "1108"));
        assert!(answer.contains("retry-after"), "{answer}");
        assert_eq!(served.connections.get(), 0, "it reaches no server");
    });
}

/// Load: callers ask for large answers and never read them.
#[test]
fn answers_are_read_at_once_and_dropped_if_callers_do_not_read() {
    run(async || {
        let (address, served) = body_server(ip(), true).await;
        let buffers = Buffers { reader_timeout_ms: 2_000, ..Buffers::default() };
        let host = host(buffers, (1_000, 5_000), &[address]).await;
        let edge = &host.edge;
        let mut unread = Vec::new();
        for n in 0..4 {
            let head = head("GET", &format!("id-{n}"), "/large", 0);
            unread.push(begin(host.callers, head, 0).await);
        }
        let written = until(Duration::from_secs(2), || served.written.get() == 4).await;
        assert!(written, "{} answers are read whole", served.written.get());
        assert!(edge.buffers.held() > 4 * MIB, "they are counted: {}", edge.buffers.held());
        assert_served(host.callers).await;
        let given_back = until(STEP_TIMEOUT, || edge.buffers.held() == 0).await;
        assert!(given_back, "{} bytes are held", edge.buffers.held());
    });
}

/// Load: a caller reads slowly, but never stops for as long as the timeout.
#[test]
fn caller_that_reads_slowly_gets_its_whole_answer() {
    run(async || {
        let (address, served) = body_server(ip(), true).await;
        let buffers = Buffers { reader_timeout_ms: 1_000, ..Buffers::default() };
        let host = host(buffers, (1_000, 5_000), &[address]).await;
        let mut slow = begin(host.callers, head("GET", "id-0", "/large", 0), 0).await;
        let written = until(Duration::from_secs(2), || served.written.get() == 1).await;
        assert!(written, "the server is not held up");
        let began = Instant::now();
        let mut received = 0;
        while received < LARGE_ANSWER {
            let read = slow.read(Vec::with_capacity(16 << 10)).await.0.expect("it is not closed");
            assert!(read > 0, "it ends after {received} bytes");
            received += read;
            // Several times the timeout at a slow pace, then as fast as it goes.
            if began.elapsed() < Duration::from_secs(4) {
                compio::time::sleep(Duration::from_millis(25)).await;
            }
        }
        assert!(until(STEP_TIMEOUT, || host.edge.buffers.held() == 0).await);
    });
}

/// Load: an upload each 20 ms, and a server that reads none of them.
#[test]
fn server_that_does_not_read_holds_bounded_bytes() {
    run(async || {
        let (unread, taken) = body_server(ip(), false).await;
        let (reading, _) = body_server(ip(), true).await;
        let buffers = Buffers { server_bytes: 1_000_000, ..Buffers::default() };
        let host = host(buffers, (1_000, 1_500), &[unread, reading]).await;
        let mut uploads = Vec::new();
        for n in 0..40 {
            // The ids are spread over both servers.
            let id = format!("{n}-{}", n * 7_919_137 % 1_000_003);
            uploads.push(compio::runtime::spawn(upload(host.callers, id, UPLOAD)));
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        // Later connections to it only ask whether it still runs.
        let sent = taken.connections.get();
        let mut served = 0;
        for upload in uploads {
            let (answer, _) = upload.await.expect("no panic");
            served += usize::from(status(&answer) == "200");
        }
        assert!((1..=3).contains(&sent), "{sent} were sent to it");
        assert!(served >= 40 - sent, "{served} were served by the other one");
        assert!(until(STEP_TIMEOUT, || host.edge.buffers.held() == 0).await);
    });
}

/// Head of an upload without a stated length.
fn chunked_head(id: &str) -> String {
    head("POST", id, "/thing", 0).replace("content-length: 0", "transfer-encoding: chunked")
}

/// Sends the head of an upload without a stated length and its first `sent` bytes.
async fn begin_chunked(host: SocketAddr, id: &str, sent: u64) -> TcpStream {
    let first = format!("{}{sent:x}\r\n{}\r\n", chunked_head(id), "x".repeat(sent as usize));
    begin(host, first, 0).await
}

async fn end_chunked(stream: &mut TcpStream, bytes: u64) -> String {
    let rest = format!("{bytes:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(bytes as usize));
    let mut writing = stream.clone();
    compio::runtime::spawn(async move {
        // A host that refuses closes the connection before it has read the body.
        let _ = writing.write_all(rest).await;
    })
    .detach();
    let answer = read_head(stream).await.map(|(head, _)| head.to_ascii_lowercase());
    answer.unwrap_or_default()
}

/// Load: uploads without a stated length that do not arrive, under the users' limit of 64 MiB.
#[test]
fn bodies_without_a_length_hold_what_has_come() {
    run(async || {
        let (address, _) = body_server(ip(), true).await;
        let buffers = Buffers { total_bytes: 2 * MIB, ..Buffers::default() };
        let host = host(buffers, (300, 5_000), &[address]).await;
        let mut stalled = Vec::new();
        for n in 0..4 {
            stalled.push(begin_chunked(host.callers, &format!("stalled-{n}"), 1_000).await);
        }
        assert!(until(STEP_TIMEOUT, || host.edge.buffers.held() > 0).await);
        let (answer, took) = upload(host.callers, "id-0".into(), MIB).await;
        assert_eq!(status(&answer), "200", "{answer}");
        assert!(took < USUAL_TIME, "served after {took:?}");
        assert!(host.edge.buffers.held() <= 4 * 65_536, "{} are held", host.edge.buffers.held());
        for stream in &mut stalled {
            assert_eq!(status(&end_chunked(stream, 1_000).await), "200");
        }
        assert!(until(STEP_TIMEOUT, || host.edge.buffers.held() == 0).await);
    });
}

/// Load: two uploads without a stated length that fit the bound one by one only, both half read.
#[test]
fn growing_bodies_do_not_wait_for_each_other() {
    run(async || {
        let (address, served) = body_server(ip(), true).await;
        let buffers = Buffers { total_bytes: 2 * MIB, ..Buffers::default() };
        let host = host(buffers, (3_000, 5_000), &[address]).await;
        let edge = &host.edge;
        let mut first = begin_chunked(host.callers, "id-0", MIB - 100_000).await;
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() > MIB - 100_000).await);
        let mut second = begin_chunked(host.callers, "id-1", MIB - 100_000).await;
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() > 2 * MIB - 200_000).await);
        let ending = compio::runtime::spawn(async move { end_chunked(&mut second, MIB).await });
        assert!(until(STEP_TIMEOUT, || edge.buffers.waiting() == 1).await, "the second one waits");
        assert_eq!(served.written.get(), 0);
        assert_eq!(status(&end_chunked(&mut first, MIB).await), "200");
        assert_eq!(status(&ending.await.expect("no panic")), "200");
        assert!(edge.buffers.peak() <= 3 * MIB + 65_536, "peak {}", edge.buffers.peak());
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() == 0).await);
    });
}

/// Load: an upload stalls half read, and a later one finds no room to grow.
#[test]
fn body_that_cannot_grow_is_refused() {
    run(async || {
        let (address, served) = body_server(ip(), true).await;
        let buffers = Buffers { total_bytes: 2 * MIB, ..Buffers::default() };
        let host = host(buffers, (300, 5_000), &[address]).await;
        let edge = &host.edge;
        let mut first = begin_chunked(host.callers, "id-0", MIB).await;
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() >= MIB).await);
        let mut second = begin_chunked(host.callers, "id-1", 10).await;
        let answer = end_chunked(&mut second, 3 * MIB / 2).await;
        assert_eq!((status(&answer), header(&answer, "elmstream-code")), ("503", "1121"));
        assert!(answer.contains("retry-after"), "{answer}");
        assert_eq!(served.written.get(), 0, "it reaches no server");
        drop(second);
        assert_eq!(status(&end_chunked(&mut first, MIB / 2).await), "200");
        assert!(until(STEP_TIMEOUT, || edge.buffers.held() == 0).await);
    });
}

/// Load: answers that nobody reads hold several times the bound, and callers upload.
#[test]
fn unread_answers_leave_half_of_the_room_to_bodies() {
    run(async || {
        let (address, served) = body_server(ip(), true).await;
        let buffers =
            Buffers { total_bytes: 2 * MIB, reader_timeout_ms: 20_000, ..Buffers::default() };
        let host = host(buffers, (500, 5_000), &[address]).await;
        let mut unread = Vec::new();
        for n in 0..2 {
            let head = head("GET", &format!("large-{n}"), "/large", 0);
            unread.push(begin(host.callers, head, 0).await);
        }
        assert!(until(STEP_TIMEOUT, || served.written.get() == 2).await, "answers are read whole");
        assert!(host.edge.buffers.held() > 4 * MIB, "they are held");
        let uploads: Vec<_> = (0..8)
            .map(|n| compio::runtime::spawn(upload(host.callers, format!("id-{n}"), UPLOAD)))
            .collect();
        for upload in uploads {
            let (answer, _) = upload.await.expect("no panic");
            assert_eq!(status(&answer), "200", "{answer}");
        }
    });
}
