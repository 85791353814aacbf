//! Connections to backend servers, and one exchange over one of them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle};
use cyper_core::HyperStream;
use elmstream::time::Time;
use elmstream_http::{LocalBody, body, client};
use elmstreamd::{clock, waits};
use http::{HeaderMap, Request, header, response};
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};

/// Time in which a connection must come up.
const CONNECT: Duration = Duration::from_millis(400);
/// A connection breaks if what was sent is not acknowledged for so long.
///
/// A packet and its acknowledgement are lost by 6 in 100 where single ones are by 3.
/// The kernel sends after 0, 200 and 600 ms on a short way, so a way that works breaks
/// a connection by 0.06^3, 2 in 10,000; with half of this time it would be 4 in 1,000.
pub const SILENCE: Duration = Duration::from_secs(1);
/// A request that was given up after this long without an answer speaks against the
/// connections that rested meanwhile: a new one must come up in the same time.
pub const DOUBT: Duration = CONNECT;
/// Idle connections that are kept to one server.
const IDLE_MAX: usize = 16;
/// How long an idle connection is kept, if the server does not say.
const IDLE: Duration = Duration::from_secs(4);
/// A connection is left this long before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Bytes of an answer that are taken at most.
const ANSWER_MAX: usize = 64 << 20;

/// A connection; dropping it closes it at once, whatever is on its way.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<LocalBody>,
    /// Drives the connection; ends with it.
    _driver: JoinHandle<()>,
    until: Time,
    /// When its last answer was whole.
    answered: Time,
}

/// A request that was sent and has no answer yet, until this is dropped.
///
/// Connections to one server mostly go silent together, so one that ends without an
/// answer takes those with it that have not answered since. Else each of them would
/// cost a request its whole time.
struct Unanswered<'a> {
    pool: &'a Pool,
    id: &'a str,
    sent: Time,
    broken: bool,
    answered: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.answered
            && (self.broken || clock::now().since(self.sent) >= DOUBT.as_micros() as u64)
        {
            self.pool.doubt(self.id, self.sent);
        }
    }
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<String, Vec<Connection>>>,
    /// Why connections have no bound on silence, until it is told.
    unbounded: RefCell<Option<io::Error>>,
    told: Cell<bool>,
}

/// What an exchange came to.
#[derive(Debug)]
pub enum Exchange {
    /// No connection came up; nothing was sent.
    NoConnection,
    /// The time for the request was over; nothing was sent.
    NoTime,
    /// The whole answer.
    Whole(response::Parts, Bytes),
    /// It was sent, and no whole answer came; its head, if that did.
    Broken(Option<Box<response::Parts>>),
}

impl Pool {
    /// Sends a request and reads its whole answer.
    ///
    /// `request` makes it once a connection is there, so that it carries the time that is
    /// left then: a connection may take 0.4 s, and the host may be suspended meanwhile.
    /// With none left there is no request, and nothing is sent.
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
        let mut waits = Unanswered { pool: self, id, sent, broken: false, answered: false };
        let exchange = self.exchange_over(connection, id, address, &request).await;
        waits.broken = matches!(exchange, Exchange::Broken(_));
        waits.answered = matches!(exchange, Exchange::Whole(..));
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
        let answer = match connection.sender.try_send_request(made).await {
            Ok(answer) => answer,
            Err(mut error) => {
                // Nothing was sent if the request comes back: the connection had
                // been closed while it rested.
                return match error.take_message() {
                    Some(_) => self.exchange_anew(address, request).await,
                    None => Exchange::Broken(None),
                };
            }
        };
        self.read(id, connection, answer).await
    }

    /// The same over a new connection, whose end is not waited for.
    async fn exchange_anew(
        &self,
        address: SocketAddr,
        request: &impl Fn() -> Option<Request<LocalBody>>,
    ) -> Exchange {
        let Ok(mut connection) = self.connect(address).await else { return Exchange::NoConnection };
        let Some(made) = request() else { return Exchange::NoTime };
        match connection.sender.try_send_request(made).await {
            Ok(answer) => self.read("", connection, answer).await,
            Err(_) => Exchange::Broken(None),
        }
    }

    async fn read(
        &self,
        id: &str,
        mut connection: Connection,
        answer: http::Response<hyper::body::Incoming>,
    ) -> Exchange {
        let (parts, incoming) = answer.into_parts();
        let Ok(whole) = Limited::new(incoming, ANSWER_MAX).collect().await else {
            return Exchange::Broken(Some(Box::new(parts)));
        };
        if let Some(rest) = rest(&parts.headers) {
            connection.answered = clock::now();
            connection.until = connection.answered + rest.as_micros() as u64;
            self.give(id, connection);
        }
        Exchange::Whole(parts, whole.to_bytes())
    }

    /// An idle connection that still stands, or a new one.
    async fn take(&self, id: &str, address: SocketAddr) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(id).and_then(Vec::pop);
            let Some(mut connection) = idle else { return self.connect(address).await.ok() };
            let fresh = clock::now() < connection.until && !connection.sender.is_closed();
            if fresh && connection.sender.is_ready() && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection whose answer was read to the end.
    fn give(&self, id: &str, connection: Connection) {
        if id.is_empty() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.to_owned()).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }

    /// Drops connections that rested too long, or whose server is not `known`.
    pub fn sweep(&self, known: impl Fn(&str) -> bool) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|id, connections| {
            connections
                .retain(|connection| now < connection.until && !connection.sender.is_closed());
            !connections.is_empty() && known(id)
        });
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        metrics::counter!("elmstream_backend_connections").increment(1);
        let (stream, bounded) = stream(address).await?;
        if let Err(error) = bounded
            && !self.told.replace(true)
        {
            self.unbounded.replace(Some(error));
        }
        start(stream).await
    }

    /// Whether nobody listens at an address, as after the end of its process.
    ///
    /// A connection that breaks says nothing by itself: an answer may be lost with it,
    /// and a way may be cut, while the server lives on. One that is refused right after
    /// does; a server that starts again at its address within that time is missed.
    pub async fn refuses(&self, address: SocketAddr) -> bool {
        metrics::counter!("elmstream_backend_connections").increment(1);
        let error = stream(address).await.err();
        error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Why connections that go silent do not break, the first time this is so.
    pub fn unbounded(&self) -> Option<io::Error> {
        self.unbounded.take()
    }

    /// Drops the connections to a server that have not answered since.
    fn doubt(&self, id: &str, since: Time) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(id) {
            connections.retain(|connection| connection.answered > since);
        }
    }

    /// Drops the connections to a server that sent what it should not.
    pub fn discard_connections(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }
}

/// How long a connection may rest after an answer; none if it must be closed.
fn rest(headers: &HeaderMap) -> Option<Duration> {
    let closes = |value: &http::HeaderValue| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    };
    if headers.get_all(header::CONNECTION).iter().any(closes) {
        return None;
    }
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = told.and_then(|text| {
        let part = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        part.trim().parse().ok()
    });
    let told = seconds.map_or(IDLE, Duration::from_secs).min(IDLE * 2);
    told.checked_sub(IDLE_MARGIN).filter(|rest| !rest.is_zero())
}

/// Opens a connection to a backend server, and tells whether it breaks if it goes
/// silent.
pub async fn stream(address: SocketAddr) -> io::Result<(TcpStream, io::Result<()>)> {
    let connecting = waits::within_next(CONNECT, TcpStream::connect(address));
    let stream = connecting.await.ok_or(io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    let bounded = client::set_unacked_timeout(&stream, SILENCE);
    Ok((stream, bounded))
}

async fn start(stream: TcpStream) -> io::Result<Connection> {
    let shaken = handshake(HyperStream::new_plain(stream)).await;
    let (sender, connection) = shaken.map_err(io::Error::other)?;
    let driver = compio::runtime::spawn(async move {
        // The request's own future tells of an error.
        let _ = connection.await;
    });
    let now = clock::now();
    let until = now + IDLE.as_micros() as u64;
    Ok(Connection { sender, _driver: driver, until, answered: now })
}

/// A body to send.
pub fn sendable(bytes: &Bytes) -> LocalBody {
    if bytes.is_empty() { body::empty() } else { body::full(bytes.clone()) }
}
