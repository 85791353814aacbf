//! Serves HTTP/1.1 and HTTP/2 on a listener, in plain text or over TLS.

use std::{
    cell::Cell,
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
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{HeaderValue, Request, Response, Version, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::server::conn::auto::Builder;
use socket2::SockRef;

use crate::{
    ConnectionState, LocalBody, LocalExecutor, Stop, StopNotice,
    watched::{Traffic, WatchedStream},
};

/// Largest size of a request's headers, in bytes.
const HEADERS_BYTES_MAX: usize = 64 << 10;
/// Default time in which a client must send its headers.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client must finish its TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, so that the loop does not spin while no file descriptors are
/// free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for which missing file descriptors may delay the last accepts of a stop.
const LAST_ACCEPTS_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause that lets the runtime run its reactor once, which then releases the listener from a
/// cancelled accept.
const REACTOR_TURN_PAUSE: Duration = Duration::from_millis(1);
/// Time after the stop in which the first request of a new connection must arrive; the caller
/// has already sent it, unless its network or the caller itself is slow.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the stop in which a partly received head must be complete; a host that gets a
/// tenth of a core lags some 200 ms.
const PARTIAL_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Send buffer of connections with a limit on unread bytes. The kernel's own would take in
/// megabytes for a client that does not read, and would hide for long that one reads.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Interval of the check for the state of a connection that waits for its request.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

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

/// Options of [`serve_with`].
#[derive(Clone)]
pub struct Options {
    /// Terminates TLS; plain text if `None`.
    pub tls: Option<TlsAcceptor>,
    /// Whether HTTP/2 is served besides HTTP/1.1.
    pub http2: bool,
    /// Time in which the head of the next request must arrive, idle time included; called
    /// once for each new connection.
    pub head_timeout: Rc<dyn Fn() -> Duration>,
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
            head_timeout: Rc::new(|| HEADERS_TIMEOUT),
            notice: StopNotice::default(),
            observe: Rc::new(|_| {}),
            unread_timeout: None,
            on_unread: Rc::new(|_| {}),
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
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + 'static,
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
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    let serve_connection = |stream, client, queued| {
        let connection = Connection {
            stream,
            client,
            queued,
            options: options.clone(),
            stop: stop.clone(),
            handler: handler.clone(),
        };
        let open = open.clone();
        open.set(open.get() + 1);
        compio::runtime::spawn(async move {
            connection.serve().await;
            open.set(open.get() - 1);
        })
        .detach();
    };
    loop {
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
    while open.get() > 0 {
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

/// An accepted connection and what is needed to serve it.
struct Connection<H> {
    stream: TcpStream,
    client: SocketAddr,
    /// Whether it was accepted from the queue at the stop.
    queued: bool,
    options: Options,
    stop: Stop,
    handler: H,
}

impl<H, F> Connection<H>
where
    H: Fn(SocketAddr, Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    /// Serves the connection until it closes.
    async fn serve(self) {
        let traffic = Rc::new(Traffic::default());
        let (client, on_unread) = (self.client, self.options.on_unread.clone());
        self.serve_watched(traffic.clone()).await;
        if traffic.left_unread() {
            on_unread(client);
        }
    }

    async fn serve_watched(self, traffic: Rc<Traffic>) {
        let Connection { stream, client: address, queued, options, stop, handler } = self;
        let _ = stream.set_nodelay(true);
        if options.unread_timeout.is_some()
            && let Err(error) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)
        {
            log::warn!("cannot set the send buffer of a connection: {error}");
        }
        let socket = stream.clone();
        let stream = match options.tls {
            None => HyperStream::new_plain(stream),
            Some(tls) => match compio::time::timeout(HANDSHAKE_TIMEOUT, tls.accept(stream)).await {
                Ok(Ok(stream)) => HyperStream::new_tls(stream),
                _ => return,
            },
        };
        let stream = WatchedStream::new(stream, traffic.clone(), options.unread_timeout);
        let (notice, counted) = (options.notice, traffic.clone());
        let service = service_fn(move |request| {
            let in_flight = counted.enter();
            let answering = handler(address, request);
            let notice = notice.clone();
            async move {
                let mut response = answering.await?;
                add_connection_close(&notice, &mut response);
                drop(in_flight);
                Ok::<_, Aborted>(response)
            }
        });
        let builder = builder(options.http2, (options.head_timeout)());
        let mut serving = pin!(builder.serve_connection(stream, service));
        if let Either::Left(_) = select(serving.as_mut(), stop).await {
            return;
        }
        let stopped = Instant::now();
        let mut state = traffic.state(&socket);
        (options.observe)(StoppedConnection { state, queued });
        // hyper's graceful shutdown immediately closes connections without a request that it
        // knows, so it must wait for requests that are in the socket or in transit.
        while stopped.elapsed() < close_delay(state) {
            let pause = pin!(compio::time::sleep(STATE_CHECK_INTERVAL));
            if let Either::Left(_) = select(serving.as_mut(), pause).await {
                return;
            }
            state = traffic.state(&socket);
        }
        // hyper would wait for the rest of the head until its own timeout.
        if state == ConnectionState::PartialHead {
            return;
        }
        serving.as_mut().graceful_shutdown();
        // An error after the last response is caused by the client.
        let _ = serving.await;
    }
}

/// Time after the stop for which a connection in this state stays open.
fn close_delay(state: ConnectionState) -> Duration {
    match state {
        ConnectionState::InFlight | ConnectionState::Idle => Duration::ZERO,
        ConnectionState::New => FIRST_REQUEST_TIMEOUT,
        ConnectionState::PartialHead | ConnectionState::Unread => PARTIAL_HEAD_TIMEOUT,
    }
}

/// Asks the caller to close the connection, at a moment when no request of its own can be in
/// transit.
fn add_connection_close(notice: &StopNotice, response: &mut Response<LocalBody>) {
    // HTTP/2 has frames for this, which its graceful shutdown sends.
    if notice.is_announced() && response.version() <= Version::HTTP_11 {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

fn builder(http2: bool, head_timeout: Duration) -> Builder<LocalExecutor> {
    let mut builder = Builder::new(LocalExecutor);
    if !http2 {
        builder = builder.http1_only();
    }
    builder
        .http1()
        .timer(CompioTimer)
        .header_read_timeout(head_timeout)
        .max_buf_size(HEADERS_BYTES_MAX);
    builder.http2().timer(CompioTimer).max_header_list_size(HEADERS_BYTES_MAX as u32);
    builder
}
