//! Complete requests that the server has not read when its stop comes.
//!
//! Connections ended without a response during a planned stop of a lagging host. The requests
//! had arrived before the stop, but were still in the listener's queue or in a socket buffer.
//! The stop closed the listener with its queue, and each connection without a known request.
//!
//! The tests block the server's thread while callers send, so that the requests are certainly
//! unread when the stop comes.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use compio::{net::TcpListener, runtime::Runtime};
use elmstream_http::{Stopper, body, server};
use http::Response;

/// Timeout of each step of a test, far above the usual duration.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// A complete request.
const REQUEST: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A server on its own thread, which can be blocked.
struct Server {
    address: SocketAddr,
    hold: Sender<()>,
    held: Receiver<()>,
    stop: Sender<()>,
    thread: JoinHandle<Duration>,
}

impl Server {
    /// Starts the server; the thread returns how long the stop took.
    fn start() -> Server {
        let (address_sender, address) = channel();
        let (hold, hold_received) = channel::<()>();
        let (held_sender, held) = channel();
        let (stop, stop_received) = channel::<()>();
        let thread = thread::spawn(move || {
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                address_sender
                    .send(listener.local_addr().expect("an address"))
                    .expect("the test waits");
                let (stopper, stop) = Stopper::new();
                let handler = |_, _| async { Ok(Response::new(body::full("whole"))) };
                let serving = server::serve(listener, None, stop, handler);
                let serving = compio::runtime::spawn(serving);
                while hold_received.try_recv().is_err() {
                    compio::time::sleep(Duration::from_millis(1)).await;
                }
                held_sender.send(()).expect("the test waits");
                stop_received.recv().expect("the test lets it go on");
                let began = Instant::now();
                stopper.stop();
                let ended = compio::time::timeout(STEP_TIMEOUT, serving).await;
                ended.expect("the stop ends").expect("no panic").expect("no error");
                began.elapsed()
            })
        });
        let address = address.recv_timeout(STEP_TIMEOUT).expect("it listens");
        Server { address, hold, held, stop, thread }
    }

    /// Opens a connection.
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a limit");
        stream
    }

    /// Returns once the server has processed all that arrived before.
    ///
    /// Connections are accepted in order and polled in the same turns of the runtime, so a
    /// response on a later connection shows that the earlier ones were processed.
    fn settle(&self) {
        for _ in 0..3 {
            let mut later = self.connect();
            send(&mut later, REQUEST);
            assert_eq!(answer(&mut later), Some(false));
        }
    }

    /// Blocks the server's thread.
    fn hold(&self) {
        self.hold.send(()).expect("it runs");
        self.held.recv_timeout(STEP_TIMEOUT).expect("it is held");
    }

    /// Unblocks the server's thread and stops the server.
    fn stop(&self) {
        self.stop.send(()).expect("it is held");
    }

    /// Waits for the end of the server; returns how long the stop took.
    fn ended(self) -> Duration {
        self.thread.join().expect("no panic")
    }
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("it is sent");
}

/// Reads one response; returns whether it announces the close of the connection, `None` if
/// the connection ends before the response is complete.
fn answer(stream: &mut TcpStream) -> Option<bool> {
    let mut text = String::new();
    let mut bytes = [0; 4_096];
    while !text.ends_with("whole") {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(read) => text += &String::from_utf8_lossy(&bytes[..read]),
        }
    }
    Some(text.to_ascii_lowercase().contains("connection: close"))
}

#[test]
fn requests_in_the_listener_queue_are_answered() {
    let server = Server::start();
    server.settle();
    server.hold();
    let mut callers: Vec<_> = (0..20).map(|_| server.connect()).collect();
    for caller in &mut callers {
        send(caller, REQUEST);
    }
    server.stop();
    let answers: Vec<_> = callers.iter_mut().map(answer).collect();
    assert_eq!(answers, vec![Some(true); 20]);
    server.ended();
}

#[test]
fn unread_requests_on_open_connections_are_answered() {
    let server = Server::start();
    let mut new: Vec<_> = (0..5).map(|_| server.connect()).collect();
    let mut idle: Vec<_> = (0..5).map(|_| server.connect()).collect();
    let mut partial: Vec<_> = (0..5).map(|_| server.connect()).collect();
    for caller in idle.iter_mut().chain(&mut partial) {
        send(caller, REQUEST);
        assert_eq!(answer(caller), Some(false));
    }
    let (first_half, rest) = REQUEST.split_at(REQUEST.len() / 2);
    for caller in &mut partial {
        send(caller, first_half);
    }
    server.settle();
    server.hold();
    for caller in new.iter_mut().chain(&mut idle) {
        send(caller, REQUEST);
    }
    server.stop();
    let of_new: Vec<_> = new.iter_mut().map(answer).collect();
    let of_idle: Vec<_> = idle.iter_mut().map(answer).collect();
    for caller in &mut partial {
        // The server may have closed the connection, which the missing response shows.
        let _ = caller.write_all(rest.as_bytes());
    }
    let of_partial: Vec<_> = partial.iter_mut().map(answer).collect();
    let all = vec![Some(true); 5];
    assert_eq!((of_new, of_idle, of_partial), (all.clone(), all.clone(), all));
    server.ended();
}

#[test]
fn connections_without_a_request_do_not_delay_the_stop() {
    let server = Server::start();
    let silent: Vec<_> = (0..5).map(|_| server.connect()).collect();
    let mut partial: Vec<_> = (0..5).map(|_| server.connect()).collect();
    for caller in &mut partial {
        send(caller, &REQUEST[..REQUEST.len() / 2]);
    }
    let mut idle: Vec<_> = (0..5).map(|_| server.connect()).collect();
    for caller in &mut idle {
        send(caller, REQUEST);
        assert_eq!(answer(caller), Some(false));
    }
    server.settle();
    server.hold();
    server.stop();
    let took = server.ended();
    assert!(took < Duration::from_secs(2), "the stop took {took:?}");
    drop((silent, partial, idle));
}
