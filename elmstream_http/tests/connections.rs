//! Connections that give back their memory while idle, and bounds on connections.
//!
//! Guards against requests that are lost, cut or mistaken when a connection changes between idle
//! and busy, and against servers that take as many requests as callers send.

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc::{Receiver, Sender, channel},
    thread::{self, JoinHandle},
    time::Duration,
};

use compio::{net::TcpListener, runtime::Runtime};
use elmstream_http::{
    ConnectionBounds, Connections, LocalBody, RequestBody, Stopper, body,
    server::{self, Aborted, Options},
};
use http::{Request, Response};
use http_body_util::BodyExt;

/// Timeout of each step of a test, far above the usual duration.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the server has processed what was sent.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Time that a connection may be idle, and that a head may take.
const IDLE_TIMEOUT: Duration = Duration::from_millis(800);
const HEAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Length of a large response, more than the sockets between server and client take.
const LARGE_BYTES: usize = 16 << 20;
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.30\r\n\
     connection: close\r\ncontent-length: 0\r\n\r\n";

/// A server on its own thread.
struct Server {
    address: SocketAddr,
    /// Paths of the requests that reached the handler, once the server has stopped.
    paths: Receiver<Vec<String>>,
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl Server {
    fn start(bounds: ConnectionBounds) -> Server {
        let (address_sender, address) = channel();
        let (paths_sender, paths) = channel();
        let (stop, stop_received) = channel::<()>();
        let thread = thread::spawn(move || {
            Runtime::new().expect("a runtime").block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("an address");
                address_sender.send(address).expect("the test waits");
                let (stopper, stop) = Stopper::new();
                let received = Rc::new(RefCell::new(Vec::new()));
                let recording = received.clone();
                let options = Options {
                    http2: false,
                    idle_timeout: Rc::new(|| IDLE_TIMEOUT),
                    head_timeout: Rc::new(|| HEAD_TIMEOUT),
                    connections: Rc::new(Connections::new(bounds, REFUSAL.into())),
                    ..Options::default()
                };
                let handler = move |_, request| answer(recording.clone(), request);
                let serving = server::serve_with(listener, options, stop, handler);
                let serving = compio::runtime::spawn(serving);
                while stop_received.try_recv().is_err() {
                    compio::time::sleep(Duration::from_millis(1)).await;
                }
                stopper.stop();
                let ended = compio::time::timeout(STEP_TIMEOUT, serving).await;
                ended.expect("the stop ends").expect("no panic").expect("no error");
                paths_sender.send(received.take()).expect("the test waits");
            });
        });
        let address = address.recv_timeout(STEP_TIMEOUT).expect("it listens");
        Server { address, paths, stop, thread }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a limit");
        stream
    }

    /// Stops the server; returns the paths of the requests that reached the handler.
    fn stop(self) -> Vec<String> {
        self.stop.send(()).expect("it runs");
        let paths = self.paths.recv_timeout(STEP_TIMEOUT).expect("it stops");
        self.thread.join().expect("no panic");
        paths
    }
}

/// Answers `/unread` without reading the body, `/slow` late, `/large` with many bytes, and others
/// with the body that was sent.
async fn answer(
    received: Rc<RefCell<Vec<String>>>,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let path = request.uri().path().to_owned();
    received.borrow_mut().push(path.clone());
    match path.as_str() {
        "/unread" => return Ok(Response::new(body::full("unread"))),
        "/slow" => compio::time::sleep(Duration::from_millis(600)).await,
        "/large" => return Ok(Response::new(body::full(vec![b'x'; LARGE_BYTES]))),
        _ => {}
    }
    let sent = request.into_body().collect().await.map_err(|_| Aborted)?;
    Ok(Response::new(body::full([&sent.to_bytes()[..], b"whole"].concat())))
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("it is sent");
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Reads until `end`; returns the text, `None` if the connection ends before. What follows the end,
/// such as another response, is left unread.
fn read_until(stream: &mut TcpStream, end: &str) -> Option<String> {
    let mut text = String::new();
    let mut bytes = [0; 1];
    while !text.ends_with(end) {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(read) => text += &String::from_utf8_lossy(&bytes[..read]),
        }
    }
    Some(text)
}

/// Whether the server has closed the connection without further bytes.
fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0]), Ok(0))
}

#[test]
fn requests_over_one_connection_are_answered_between_idle_times() {
    let server = Server::start(ConnectionBounds::default());
    let mut client = server.connect();
    for _ in 0..5 {
        thread::sleep(SETTLE_TIME);
        send(&mut client, &get("/a"));
        assert!(read_until(&mut client, "whole").is_some());
    }
    send(&mut client, "POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none");
    assert!(read_until(&mut client, "onewhole").is_some());
    assert_eq!(server.stop().len(), 6);
}

#[test]
fn request_that_arrives_in_parts_is_answered() {
    let server = Server::start(ConnectionBounds::default());
    let mut client = server.connect();
    for part in ["P", "OST /a HTTP/1.1\r\nhost: a\r\ncontent-le", "ngth: 6\r\n\r\nhal", "ves"] {
        send(&mut client, part);
        thread::sleep(SETTLE_TIME);
    }
    assert!(read_until(&mut client, "halveswhole").is_some());
    assert_eq!(server.stop(), ["/a"]);
}

#[test]
fn requests_sent_at_once_are_answered_in_order() {
    let server = Server::start(ConnectionBounds::default());
    let mut client = server.connect();
    send(&mut client, &[get("/slow"), get("/a"), get("/b")].concat());
    for _ in 0..3 {
        assert!(read_until(&mut client, "whole").is_some());
    }
    assert_eq!(server.stop(), ["/slow", "/a", "/b"]);
}

/// A connection that was taken for idle with a part of a body unsent read that part as a request.
#[test]
fn rest_of_an_unread_body_is_not_taken_for_a_request() {
    let server = Server::start(ConnectionBounds::default());
    let mut client = server.connect();
    let smuggled = get("/smuggled");
    let length = 4 + smuggled.len();
    let head = format!("POST /unread HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\nhalf");
    send(&mut client, &head);
    assert!(read_until(&mut client, "unread").is_some());
    thread::sleep(SETTLE_TIME);
    // The server may have closed the connection.
    let _ = client.write_all(smuggled.as_bytes());
    assert_eq!(read_until(&mut client, "whole"), None);
    assert_eq!(server.stop(), ["/unread"]);
}

/// A connection whose body was not read would stay busy, and keep others from the bound.
#[test]
fn connection_with_an_unread_body_is_closed_after_its_response() {
    let server = Server::start(ConnectionBounds { open: 0, busy: 1 });
    let mut client = server.connect();
    send(&mut client, "POST /unread HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody");
    let response = read_until(&mut client, "unread").expect("a response");
    assert!(response.contains("connection: close"), "{response}");
    assert!(is_closed(&mut client));
    let mut next = server.connect();
    send(&mut next, &get("/a"));
    assert!(read_until(&mut next, "whole").is_some(), "its place is free");
    server.stop();
}

#[test]
fn large_response_to_a_slow_reader_is_complete() {
    let server = Server::start(ConnectionBounds::default());
    let mut client = server.connect();
    send(&mut client, &get("/large"));
    thread::sleep(3 * SETTLE_TIME);
    let (mut read, mut bytes) = (0, vec![0; 1 << 20]);
    while read < LARGE_BYTES {
        match client.read(&mut bytes) {
            Ok(length @ 1..) => read += length,
            end => panic!("{end:?} after {read} bytes"),
        }
        thread::sleep(Duration::from_millis(1));
    }
    send(&mut client, &get("/a"));
    assert!(read_until(&mut client, "whole").is_some());
    server.stop();
}

#[test]
fn idle_connections_and_slow_heads_end_at_their_timeouts() {
    let server = Server::start(ConnectionBounds::default());
    let (mut idle, mut kept, mut slow) = (server.connect(), server.connect(), server.connect());
    send(&mut kept, &get("/a"));
    assert!(read_until(&mut kept, "whole").is_some());
    send(&mut slow, "GET /a HTTP/1.1\r\nhost");
    thread::sleep(HEAD_TIMEOUT + SETTLE_TIME);
    slow.set_nonblocking(true).expect("a setting");
    assert!(
        !matches!(slow.read(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    );
    assert!(is_closed(&mut idle));
    assert!(is_closed(&mut kept));
    assert_eq!(server.stop(), ["/a"]);
}

/// Guards against servers that take requests without a bound.
#[test]
fn request_beyond_the_bound_is_refused_and_not_run() {
    let server = Server::start(ConnectionBounds { open: 0, busy: 2 });
    let mut busy: Vec<_> = (0..2).map(|_| server.connect()).collect();
    busy.iter_mut().for_each(|client| send(client, &get("/slow")));
    thread::sleep(SETTLE_TIME);
    let mut beyond = server.connect();
    let body = "x".repeat(100_000);
    let post = "POST /beyond HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n";
    send(&mut beyond, &format!("{post}{body}"));
    assert_eq!(read_until(&mut beyond, "\r\n\r\n").as_deref(), Some(REFUSAL));
    assert!(is_closed(&mut beyond));
    for client in &mut busy {
        assert!(read_until(client, "whole").is_some());
    }
    // There is room again, also for a kept connection.
    for client in [&mut server.connect(), &mut busy[0]] {
        send(client, &get("/after"));
        assert!(read_until(client, "whole").is_some());
    }
    assert_eq!(server.stop(), ["/slow", "/slow", "/after", "/after"]);
}

#[test]
fn longest_idle_connection_is_closed_for_a_new_one() {
    let server = Server::start(ConnectionBounds { open: 3, busy: 0 });
    let mut kept: Vec<_> = (0..3).map(|_| server.connect()).collect();
    for client in kept.iter_mut().rev() {
        send(client, &get("/a"));
        assert!(read_until(client, "whole").is_some());
        thread::sleep(Duration::from_millis(20));
    }
    let mut new = server.connect();
    send(&mut new, &get("/new"));
    assert!(read_until(&mut new, "whole").is_some());
    assert!(is_closed(&mut kept[2]), "the longest idle one");
    for client in &mut kept[..2] {
        send(client, &get("/b"));
        assert!(read_until(client, "whole").is_some());
    }
    server.stop();
}

#[test]
fn connection_beyond_the_bound_is_refused_if_none_is_idle() {
    let server = Server::start(ConnectionBounds { open: 2, busy: 0 });
    let mut busy: Vec<_> = (0..2).map(|_| server.connect()).collect();
    busy.iter_mut().for_each(|client| send(client, &get("/slow")));
    thread::sleep(SETTLE_TIME);
    let mut beyond = server.connect();
    send(&mut beyond, &get("/beyond"));
    assert_eq!(read_until(&mut beyond, "\r\n\r\n").as_deref(), Some(REFUSAL));
    for client in &mut busy {
        assert!(read_until(client, "whole").is_some());
    }
    assert_eq!(server.stop(), ["/slow", "/slow"]);
}

#[test]
fn client_that_leaves_ends_its_request() {
    let server = Server::start(ConnectionBounds { open: 0, busy: 1 });
    let mut leaving = server.connect();
    send(&mut leaving, &get("/slow"));
    thread::sleep(SETTLE_TIME);
    leaving.shutdown(Shutdown::Both).expect("it closes");
    thread::sleep(SETTLE_TIME);
    let mut next = server.connect();
    send(&mut next, &get("/a"));
    assert!(read_until(&mut next, "whole").is_some(), "its place is free");
    server.stop();
}
