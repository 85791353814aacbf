//! Connection pool for backend servers, and one exchange over a pooled connection.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use compio::net::TcpStream;
use elmstream::time::Time;
use elmstream_http::{
    LocalBody, ResponseFault, body,
    client::{self, Driver},
    response_check,
};
use elmstreamd::{clock, waits};
use http::{HeaderMap, Request, response};
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{Builder, SendRequest},
    },
};

use crate::{buffer_bound::BufferBound, whole_body};

/// Timeout of opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection is closed if sent data is not acknowledged for this long.
///
/// With 3 in 100 packets lost, a packet or its acknowledgement is lost in 6 of 100 cases.
/// Over a short path the kernel sends after 0, 200 and 600 ms, so the timeout closes a
/// working connection with probability 0.06^3, 2 in 10,000. With half of this time it would
/// be 4 in 1,000.
pub const UNACKED_TIMEOUT: Duration = Duration::from_secs(1);
/// A request abandoned after this long without a response makes the connections suspect that
/// were idle meanwhile: a new connection must open in the same time.
pub const SUSPECT_AFTER: Duration = CONNECT_TIMEOUT;
/// Idle connections kept to each server.
const IDLE_PER_SERVER_MAX: usize = 16;
/// Time for which an idle connection is kept if the server does not state one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// An idle connection is dropped this long before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Largest head of a response, in bytes.
const RESPONSE_HEAD_BYTES_MAX: usize = 64 << 10;
/// Largest response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 << 20;

/// A connection; dropping it closes it at once, with a reset if it has a request under way.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<LocalBody>,
    driver: Driver,
    idle_until: Time,
    /// When its last response was complete.
    last_response: Time,
}

impl Connection {
    /// Sends a request. Until its response is complete, the connection is reset when it closes, so
    /// that a request that is given up does not arrive later.
    async fn send(
        &mut self,
        request: Request<LocalBody>,
    ) -> Result<http::Response<Incoming>, TrySendError<Request<LocalBody>>> {
        self.driver.set_reset_on_close(true);
        self.sender.try_send_request(request).await
    }
}

/// A request that was sent and is waiting for its response.
///
/// Connections to one server usually stop responding together. So if this is dropped without
/// a complete response, because the connection broke or after [`SUSPECT_AFTER`], the idle
/// connections that have not responded since are discarded; otherwise each of them would cost
/// a request its whole timeout.
struct Unanswered<'a> {
    pool: &'a Pool,
    id: &'a str,
    sent: Time,
    broken: bool,
    complete: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.complete
            && (self.broken || clock::now().since(self.sent) >= SUSPECT_AFTER.as_micros() as u64)
        {
            self.pool.discard_suspect(self.id, self.sent);
        }
    }
}

/// Idle connections by the id of their server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<String, Vec<Connection>>>,
    /// Counts the bytes of responses.
    buffers: BufferBound,
    /// Why a connection's unacknowledged-data timeout could not be set, until it is taken.
    timeout_error: RefCell<Option<io::Error>>,
    timeout_error_reported: Cell<bool>,
}

/// Result of an exchange.
#[derive(Debug)]
pub enum Exchange {
    /// No connection could be opened; nothing was sent.
    NoConnection,
    /// The request was not to be sent any more when the connection was open; nothing was sent.
    NoTime,
    /// The complete response.
    Whole(response::Parts, Bytes),
    /// The head of a response whose body cannot be passed on. A refusal in it is valid.
    Unusable(Box<response::Parts>),
    /// The request was sent, but no complete response came; holds the head of the response if
    /// that was received.
    Broken(Option<Box<response::Parts>>),
}

impl Pool {
    /// A pool without connections that counts the bytes of responses in `buffers`.
    pub fn new(buffers: BufferBound) -> Pool {
        Pool { buffers, ..Pool::default() }
    }

    /// Sends a request and reads the complete response.
    ///
    /// `request` builds the request once a connection is open, so that it carries the time
    /// that remains then: opening a connection may take 0.4 s, and the host may be suspended
    /// meanwhile. It returns `None` if the request is not to be sent any more; then nothing is.
    pub async fn exchange(
        &self,
        id: &str,
        address: SocketAddr,
        request: impl Fn() -> Option<Request<LocalBody>>,
    ) -> Exchange {
        let Some(connection) = self.take(id, address).await else {
            return Exchange::NoConnection;
        };
        let sent = clock::now();
        let mut pending = Unanswered { pool: self, id, sent, broken: false, complete: false };
        let exchange = self.exchange_over(connection, id, address, &request).await;
        pending.broken = matches!(exchange, Exchange::Broken(_));
        pending.complete = matches!(exchange, Exchange::Whole(..) | Exchange::Unusable(_));
        exchange
    }

    async fn exchange_over(
        &self,
        mut connection: Connection,
        id: &str,
        address: SocketAddr,
        request: &impl Fn() -> Option<Request<LocalBody>>,
    ) -> Exchange {
        let Some(made) = request() else { return Exchange::NoTime };
        let answer = match connection.send(made).await {
            Ok(answer) => answer,
            Err(mut error) => {
                // hyper returns the request if nothing was sent: the connection had been
                // closed while it was idle.
                return match error.take_message() {
                    Some(_) => {
                        connection.driver.set_reset_on_close(false);
                        self.exchange_over_new(address, request).await
                    }
                    None => Exchange::Broken(None),
                };
            }
        };
        self.read(id, connection, answer).await
    }

    /// Performs the exchange over a new connection, which is not kept afterwards.
    async fn exchange_over_new(
        &self,
        address: SocketAddr,
        request: &impl Fn() -> Option<Request<LocalBody>>,
    ) -> Exchange {
        let Ok(mut connection) = self.connect(address).await else { return Exchange::NoConnection };
        let Some(made) = request() else { return Exchange::NoTime };
        match connection.send(made).await {
            Ok(answer) => self.read("", connection, answer).await,
            Err(_) => Exchange::Broken(None),
        }
    }

    async fn read(
        &self,
        id: &str,
        mut connection: Connection,
        answer: http::Response<Incoming>,
    ) -> Exchange {
        let fault = response_check::check(&answer).err();
        let ends_with_connection = response_check::ends_with_connection(&answer);
        let (parts, incoming) = answer.into_parts();
        if let Some(fault) = fault {
            return unusable(parts, fault);
        }
        let reading = whole_body::collect(incoming, RESPONSE_BYTES_MAX, &self.buffers);
        let Ok(whole) = reading.await else {
            return Exchange::Broken(Some(Box::new(parts)));
        };
        if ends_with_connection {
            if whole.is_empty() {
                return unusable(parts, ResponseFault::Length);
            }
            metrics::counter!("elmstream_answers_without_length").increment(1);
        }
        connection.driver.set_reset_on_close(false);
        if let Some(idle_timeout) = idle_timeout(&parts.headers) {
            connection.last_response = clock::now();
            connection.idle_until = connection.last_response + idle_timeout.as_micros() as u64;
            self.put_back(id, connection);
        }
        Exchange::Whole(parts, whole)
    }

    /// Takes a usable idle connection, or opens a new one.
    async fn take(&self, id: &str, address: SocketAddr) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(id).and_then(Vec::pop);
            let Some(mut connection) = idle else { return self.connect(address).await.ok() };
            let usable = clock::now() < connection.idle_until && !connection.sender.is_closed();
            if usable && connection.sender.is_ready() && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    /// Returns a connection whose response was read completely to the pool.
    fn put_back(&self, id: &str, connection: Connection) {
        if id.is_empty() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.to_owned()).or_default();
        if connections.len() < IDLE_PER_SERVER_MAX {
            connections.push(connection);
        }
    }

    /// Drops connections that were idle for too long, and those of servers that are not
    /// `known`.
    pub fn sweep(&self, known: impl Fn(&str) -> bool) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|id, connections| {
            connections
                .retain(|connection| now < connection.idle_until && !connection.sender.is_closed());
            !connections.is_empty() && known(id)
        });
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        metrics::counter!("elmstream_backend_connections").increment(1);
        let (stream, timeout_set) = open_stream(address).await?;
        if let Err(error) = timeout_set
            && !self.timeout_error_reported.replace(true)
        {
            self.timeout_error.replace(Some(error));
        }
        start_connection(stream).await
    }

    /// Whether connections to the address are refused, as after a crash of the process.
    ///
    /// A broken connection alone proves nothing: the response may be lost with it, and the
    /// network may be cut, while the server is alive. A refused connection right afterwards
    /// does prove it; a server that restarts at its address within that time is missed.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        metrics::counter!("elmstream_backend_connections").increment(1);
        let error = open_stream(address).await.err();
        error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Opens a connection to a server and keeps it for the next request. Returns whether it was still
    /// open after `settle_time`.
    pub async fn open_idle(&self, id: &str, address: SocketAddr, settle_time: Duration) -> bool {
        let Ok(connection) = self.connect(address).await else { return false };
        compio::time::sleep(settle_time).await;
        let is_open = !connection.sender.is_closed();
        self.put_back(id, connection);
        is_open
    }

    /// Why the unacknowledged-data timeout cannot be set; `Some` only once.
    pub fn take_timeout_error(&self) -> Option<io::Error> {
        self.timeout_error.take()
    }

    /// Drops the connections to a server that have not completed a response after `since`.
    fn discard_suspect(&self, id: &str, since: Time) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(id) {
            connections.retain(|connection| connection.last_response > since);
        }
    }

    /// Drops the idle connections to a server, after it sent an unexpected response or was
    /// restarted.
    pub fn discard_connections(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }
}

/// The result of a response that cannot be passed on.
fn unusable(parts: response::Parts, fault: ResponseFault) -> Exchange {
    metrics::counter!("elmstream_answers_unusable", "why" => fault.name()).increment(1);
    match fault.leaves_head_valid() {
        true => Exchange::Unusable(Box::new(parts)),
        false => Exchange::Broken(Some(Box::new(parts))),
    }
}

/// How long a connection may be idle after a response; `None` if it must be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    if response_check::has_option(headers, "close") {
        return None;
    }
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|text| {
        let part = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        part.trim().parse().ok()
    });
    let timeout = seconds.map_or(IDLE_TIMEOUT, Duration::from_secs).min(IDLE_TIMEOUT * 2);
    timeout.checked_sub(IDLE_MARGIN).filter(|timeout| !timeout.is_zero())
}

/// Opens a connection to a backend server, and returns whether its unacknowledged-data
/// timeout could be set.
pub async fn open_stream(address: SocketAddr) -> io::Result<(TcpStream, io::Result<()>)> {
    let connecting = waits::within_duration(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.ok_or(io::ErrorKind::TimedOut)??;
    let timeout_set = client::set_unacked_timeout(&stream, UNACKED_TIMEOUT);
    Ok((stream, timeout_set))
}

/// Starts HTTP on a stream.
async fn start_connection(stream: TcpStream) -> io::Result<Connection> {
    let mut builder = Builder::new();
    builder.max_buf_size(RESPONSE_HEAD_BYTES_MAX);
    let (sender, driver) = client::start(&builder, stream).await?;
    let now = clock::now();
    let idle_until = now + IDLE_TIMEOUT.as_micros() as u64;
    Ok(Connection { sender, driver, idle_until, last_response: now })
}

/// A request body of these bytes.
pub fn request_body(bytes: &Bytes) -> LocalBody {
    if bytes.is_empty() { body::empty() } else { body::full(bytes.clone()) }
}
