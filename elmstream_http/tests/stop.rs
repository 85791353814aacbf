//! Whole requests that the server has not read yet when its stop comes.
//!
//! Users saw connections that ended without an answer while a host was stopped as
//! planned. The requests had come before the stop, but the host was behind: they lay
//! in the listener's queue or in a socket that nobody had read. The stop then closed
//! the listener with its queue, and each connection on which no request was known.
//!
//! The server's thread is held while callers send, so that what they sent surely lies
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

/// Time in which any step of a test is over; none comes near it if all is well.
const PATIENCE: Duration = Duration::from_secs(10);
/// A whole request.
const REQUEST: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A server on a thread of its own, which can be held.
struct Server {
    address: SocketAddr,
    hold: Sender<()>,
    held: Receiver<()>,
    stop: Sender<()>,
    thread: JoinHandle<Duration>,
}

impl Server {
    /// Starts it; the thread tells how long the stop took.
    fn start() -> Server {
        let (told, address) = channel();
        let (hold, holds) = channel::<()>();
        let (holding, held) = channel();
        let (stop, stops) = channel::<()>();
        let thread = thread::spawn(move || {
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                told.send(listener.local_addr().expect("an address")).expect("the test waits");
                let (stopper, stop) = Stopper::new();
                let handler = |_, _| async { Ok(Response::new(body::full("whole"))) };
                let serving = server::serve(listener, None, stop, handler);
                let serving = compio::runtime::spawn(serving);
                while holds.try_recv().is_err() {
                    compio::time::sleep(Duration::from_millis(1)).await;
                }
                holding.send(()).expect("the test waits");
                stops.recv().expect("the test lets it go on");
                let began = Instant::now();
                stopper.stop();
                let ended = compio::time::timeout(PATIENCE, serving).await;
                ended.expect("the stop ends").expect("no panic").expect("no error");
                began.elapsed()
            })
        });
        let address = address.recv_timeout(PATIENCE).expect("it listens");
        Server { address, hold, held, stop, thread }
    }

    /// Opens a connection.
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
        stream
    }

    /// Returns once the server has taken in all that came before.
    ///
    /// Connections are accepted in their order and looked at in the same turns, so
    /// the answer on a later one tells of the earlier ones.
    fn settle(&self) {
        for _ in 0..3 {
            let mut later = self.connect();
            send(&mut later, REQUEST);
            assert_eq!(answer(&mut later), Some(false));
        }
    }

    /// Holds the server's thread.
    fn hold(&self) {
        self.hold.send(()).expect("it runs");
        self.held.recv_timeout(PATIENCE).expect("it is held");
    }

    /// Stops the server and lets its thread go on.
    fn stop(&self) {
        self.stop.send(()).expect("it is held");
    }

    /// How long the stop took.
    fn ended(self) -> Duration {
        self.thread.join().expect("no panic")
    }
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("it is sent");
}

/// Reads one answer: whether it says that the connection closes; none if the
/// connection ends before it is whole.
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
fn requests_in_the_queue_of_the_listener_are_answered() {
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
fn requests_that_lie_unread_on_open_connections_are_answered() {
    let server = Server::start();
    let mut new: Vec<_> = (0..5).map(|_| server.connect()).collect();
    let mut kept: Vec<_> = (0..5).map(|_| server.connect()).collect();
    let mut begun: Vec<_> = (0..5).map(|_| server.connect()).collect();
    for caller in kept.iter_mut().chain(&mut begun) {
        send(caller, REQUEST);
        assert_eq!(answer(caller), Some(false));
    }
    let (half, rest) = REQUEST.split_at(REQUEST.len() / 2);
    for caller in &mut begun {
        send(caller, half);
    }
    server.settle();
    server.hold();
    for caller in new.iter_mut().chain(&mut kept) {
        send(caller, REQUEST);
    }
    server.stop();
    let of_new: Vec<_> = new.iter_mut().map(answer).collect();
    let of_kept: Vec<_> = kept.iter_mut().map(answer).collect();
    for caller in &mut begun {
        // The server may have closed, which the answer tells.
        let _ = caller.write_all(rest.as_bytes());
    }
    let of_begun: Vec<_> = begun.iter_mut().map(answer).collect();
    let all = vec![Some(true); 5];
    assert_eq!((of_new, of_kept, of_begun), (all.clone(), all.clone(), all));
    server.ended();
}

#[test]
fn connections_without_a_request_hold_up_no_stop() {
    let server = Server::start();
    let silent: Vec<_> = (0..5).map(|_| server.connect()).collect();
    let mut begun: Vec<_> = (0..5).map(|_| server.connect()).collect();
    for caller in &mut begun {
        send(caller, &REQUEST[..REQUEST.len() / 2]);
    }
    let mut kept: Vec<_> = (0..5).map(|_| server.connect()).collect();
    for caller in &mut kept {
        send(caller, REQUEST);
        assert_eq!(answer(caller), Some(false));
    }
    server.settle();
    server.hold();
    server.stop();
    let took = server.ended();
    assert!(took < Duration::from_secs(2), "the stop took {took:?}");
    drop((silent, begun, kept));
}
