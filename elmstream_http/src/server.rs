//! Serves HTTP/1.1 and HTTP/2 on a listener, in plain text or over TLS.

use std::{
    convert::Infallible,
    fmt, io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{
    net::{TcpListener, TcpStream},
    tls::TlsAcceptor,
};
use futures_util::future::{Either, select};
use http::{Request, Response};
use socket2::SockRef;

use crate::{
    ConnectionState, Connections, LocalBody, RequestBody, Stop, StopNotice, connection::Connection,
};

/// Default time for which a connection may be idle, and in which a client must send its headers.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that the loop does not spin while no file descriptors are
/// free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Pause in which connections that were asked to close do so, while no further one may be accepted.
const FULL_PAUSE: Duration = Duration::from_millis(2);
/// Longest time for which missing file descriptors may delay the last accepts of a stop.
const LAST_ACCEPTS_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause that lets the runtime run its reactor once, which then releases the listener from a
/// cancelled accept.
const REACTOR_TURN_PAUSE: Duration = Duration::from_millis(1);

/// Error by which a handler ends a request without a response.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the handler aborts the connection")
    }
}

impl std::error::Error for Aborted {}

impl From<Infallible> for Aborted {
    fn from(never: Infallible) -> Aborted {
        match never {}
    }
}

/// Called for a connection that failed, with its client.
pub type OnError = Rc<dyn Fn(SocketAddr, &hyper::Error)>;

/// Options of [`serve_with`].
#[derive(Clone)]
pub struct Options {
    /// Terminates TLS; plain text if `None`.
    pub tls: Option<TlsAcceptor>,
    /// Whether HTTP/2 is served besides HTTP/1.1.
    pub http2: bool,
    /// Time for which a connection may be idle. With TLS or HTTP/2, the head of the next request
    /// must have arrived by then.
    pub idle_timeout: Rc<dyn Fn() -> Duration>,
    /// Time in which a head must be complete once its first byte has arrived; not used with TLS or
    /// HTTP/2.
    pub head_timeout: Rc<dyn Fn() -> Duration>,
    /// Counts the connections and holds them to bounds. Those on busy and idle connections do not
    /// apply with TLS or HTTP/2.
    pub connections: Rc<Connections>,
    /// Once announced, HTTP/1.1 responses ask callers to close the connection; a stop
    /// announces it too.
    pub notice: StopNotice,
    /// Called for each connection that is open at the stop.
    pub observe: Rc<dyn Fn(StoppedConnection)>,
    /// A connection fails if bytes wait in the program for this long because its client has not
    /// read what was sent before; no limit if `None`.
    pub unread_timeout: Option<Duration>,
    /// Called for each connection that failed for that reason.
    pub on_unread: Rc<dyn Fn(SocketAddr)>,
    /// Called for each plain connection of HTTP/1.1 that failed, also because its client left.
    pub on_error: OnError,
}

impl fmt::Debug for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = f.debug_struct("Options");
        fields.field("tls", &self.tls.is_some()).field("http2", &self.http2);
        fields.field("notice", &self.notice).finish_non_exhaustive()
    }
}

impl Default for Options {
    fn default() -> Options {
        Options {
            tls: None,
            http2: true,
            idle_timeout: Rc::new(|| HEADERS_TIMEOUT),
            head_timeout: Rc::new(|| HEADERS_TIMEOUT),
            connections: Rc::default(),
            notice: StopNotice::default(),
            observe: Rc::new(|_| {}),
            unread_timeout: None,
            on_unread: Rc::new(|_| {}),
            on_error: Rc::new(|_, _| {}),
        }
    }
}

/// State of a connection at the stop of its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoppedConnection {
    /// How far its requests have come.
    pub state: ConnectionState,
    /// Whether it was still waiting in the listener's queue.
    pub queued: bool,
}

/// Serves until the stop, then lets requests in flight finish.
///
/// The handler gets the client's address; `Err(Aborted)` closes the connection without a
/// response.
///
/// # Errors
///
/// None at present: failed accepts are retried.
pub async fn serve<H, F>(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    stop: Stop,
    handler: H,
) -> io::Result<()>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    serve_with(listener, Options { tls, ..Options::default() }, stop, handler).await
}

/// Serves as [`serve`] does, with options.
///
/// # Errors
///
/// None at present: failed accepts are retried.
pub async fn serve_with<H, F>(
    listener: TcpListener,
    options: Options,
    stop: Stop,
    handler: H,
) -> io::Result<()>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    let connections = options.connections.clone();
    let serve_connection = |stream, client, queued| {
        let connection = Connection {
            stream,
            client,
            queued,
            options: options.clone(),
            open: connections.open_connection(),
            stop: stop.clone(),
            handler: handler.clone(),
        };
        compio::runtime::spawn(connection.serve()).detach();
    };
    loop {
        if connections.is_full() {
            let pause = pin!(compio::time::sleep(FULL_PAUSE));
            match select(pause, stop.clone()).await {
                Either::Left(_) => continue,
                Either::Right(_) => break,
            }
        }
        let accept = pin!(listener.accept());
        match select(accept, stop.clone()).await {
            Either::Left((Ok((stream, client)), _)) => serve_connection(stream, client, false),
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => break,
        }
    }
    options.notice.announce();
    for (stream, client) in last_accepts(listener).await {
        serve_connection(stream, client, true);
    }
    while connections.open() > 0 {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Accepts the connections in the listener's queue, then closes the listener.
///
/// While a host lags, the queue holds connections with complete requests, which closing the
/// listener would reset. Nothing is awaited between the last accept and the close, so that
/// hardly any connection can arrive between them.
async fn last_accepts(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    compio::time::sleep(REACTOR_TURN_PAUSE).await;
    let began = Instant::now();
    let mut accepted = Vec::new();
    loop {
        match accept_now(&listener) {
            Ok(connection) => accepted.push(connection),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if accept_interrupted(&error) => {}
            // File descriptors become free as connections end.
            Err(_) if began.elapsed() < LAST_ACCEPTS_TIMEOUT => {
                compio::time::sleep(ACCEPT_PAUSE).await
            }
            Err(_) => break,
        }
    }
    accepted
}

/// Whether the connection ended before it was accepted, or the call was interrupted.
fn accept_interrupted(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}

/// Accepts a waiting connection; compio's own accept may wait for the reactor first.
fn accept_now(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (socket, client) = SockRef::from(listener).accept()?;
    let stream = TcpStream::from_std(socket.into())?;
    let client = client.as_socket().ok_or(io::ErrorKind::ConnectionAborted)?;
    Ok((stream, client))
}
