//! Serves HTTP/1.1 and HTTP/2 on a listener, plain or by TLS.

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

/// Bytes of headers that are read at most.
const HEADERS_MAX: usize = 64 << 10;
/// Time in which a client must send its headers.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client must finish its TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, so that a full table of files does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a full table of files may hold up the last accepts of a stop.
const LAST_ACCEPTS: Duration = Duration::from_millis(500);
/// Pause that takes the runtime once through its reactor, which then gives up the
/// hold of a cancelled accept on the listener.
const REACTOR_TURN: Duration = Duration::from_millis(1);
/// Time in which the first request of a new connection must come after the stop; the
/// caller has sent it already, unless its link or it itself is slow.
const FIRST_REQUEST: Duration = Duration::from_millis(500);
/// Time in which a head that has begun to come must be whole after the stop; a host
/// with a tenth of a core is some 200 ms behind.
const HEAD_REST: Duration = Duration::from_secs(1);
/// Pause between two looks at a connection that waits for its request.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// How a handler ends a request without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is cut on purpose")
    }
}

impl std::error::Error for Aborted {}

impl From<Infallible> for Aborted {
    fn from(never: Infallible) -> Aborted {
        match never {}
    }
}

/// How connections are served.
#[derive(Clone)]
pub struct Options {
    /// Terminates TLS; plain if none.
    pub tls: Option<TlsAcceptor>,
    /// Whether HTTP/2 is spoken beside HTTP/1.1.
    pub http2: bool,
    /// Time in which the head of the next request must have come, rest included;
    /// asked for each connection as it comes.
    pub head_timeout: Rc<dyn Fn() -> Duration>,
    /// Once given, answers of HTTP/1.1 ask callers to leave the connection; the stop
    /// gives it too.
    pub notice: StopNotice,
    /// Gets each connection that is open at the stop.
    pub observe: Rc<dyn Fn(StoppedConnection)>,
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
        }
    }
}

/// A connection as its server's stop finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoppedConnection {
    /// How far it is.
    pub state: ConnectionState,
    /// Whether it was still in the listener's queue.
    pub queued: bool,
}

/// Serves until the stop, then lets requests in flight finish.
///
/// The handler gets the client's address; `Err(Aborted)` closes the connection.
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
    let take = |stream, client, queued| {
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
            Either::Left((Ok((stream, client)), _)) => take(stream, client, false),
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => break,
        }
    }
    options.notice.announce();
    for (stream, client) in last_accepts(listener).await {
        take(stream, client, true);
    }
    while open.get() > 0 {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Empties the listener's queue and closes the listener.
///
/// A host that is behind has connections there with whole requests, which the end of
/// the listener would reset. The last look and the end follow each other at once, so
/// that hardly anything can come between them.
async fn last_accepts(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    compio::time::sleep(REACTOR_TURN).await;
    let began = Instant::now();
    let mut taken = Vec::new();
    loop {
        match accept_now(&listener) {
            Ok(accepted) => taken.push(accepted),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if gone(&error) => {}
            // Files become free as connections end.
            Err(_) if began.elapsed() < LAST_ACCEPTS => compio::time::sleep(ACCEPT_PAUSE).await,
            Err(_) => break,
        }
    }
    taken
}

/// Whether the connection ended before it was accepted, or the call was interrupted.
fn gone(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}

/// Accepts what waits; compio's own accept may wait for the reactor first.
fn accept_now(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (socket, client) = SockRef::from(listener).accept()?;
    let stream = TcpStream::from_std(socket.into())?;
    let client = client.as_socket().ok_or(io::ErrorKind::ConnectionAborted)?;
    Ok((stream, client))
}

/// An accepted connection.
struct Connection<H> {
    stream: TcpStream,
    client: SocketAddr,
    /// Whether it came out of the queue at the stop.
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
    /// Serves it to its end.
    async fn serve(self) {
        let Connection { stream, client, queued, options, stop, handler } = self;
        let _ = stream.set_nodelay(true);
        let socket = stream.clone();
        let stream = match options.tls {
            None => HyperStream::new_plain(stream),
            Some(tls) => match compio::time::timeout(HANDSHAKE_TIMEOUT, tls.accept(stream)).await {
                Ok(Ok(stream)) => HyperStream::new_tls(stream),
                _ => return,
            },
        };
        let traffic = Rc::new(Traffic::default());
        let stream = WatchedStream::new(stream, traffic.clone());
        let (notice, counted) = (options.notice, traffic.clone());
        let service = service_fn(move |request| {
            let in_flight = counted.enter();
            let answering = handler(client, request);
            let notice = notice.clone();
            async move {
                let mut response = answering.await?;
                ask_to_leave(&notice, &mut response);
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
        // A shutdown closes at once whatever has no request that hyper knows of, so it
        // has to wait for a request that is in the socket or on its way.
        while stopped.elapsed() < patience(state) {
            let pause = pin!(compio::time::sleep(LOOK_PAUSE));
            if let Either::Left(_) = select(serving.as_mut(), pause).await {
                return;
            }
            state = traffic.state(&socket);
        }
        // hyper would wait for the rest of a head until its own time for that is over.
        if state == ConnectionState::Begun {
            return;
        }
        serving.as_mut().graceful_shutdown();
        // What ends a connection after its last answer was its client's doing.
        let _ = serving.await;
    }
}

/// Time after the stop for which a connection in this state is left open.
fn patience(state: ConnectionState) -> Duration {
    match state {
        ConnectionState::InFlight | ConnectionState::Resting => Duration::ZERO,
        ConnectionState::New => FIRST_REQUEST,
        ConnectionState::Begun | ConnectionState::Unread => HEAD_REST,
    }
}

/// Has the caller leave a connection that will close, at a moment when nothing of its
/// own can be on the way.
fn ask_to_leave(notice: &StopNotice, response: &mut Response<LocalBody>) {
    // HTTP/2 has frames for this, which its own shutdown sends.
    if notice.is_announced() && response.version() <= Version::HTTP_11 {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

fn builder(http2: bool, head_timeout: Duration) -> Builder<LocalExecutor> {
    let mut builder = Builder::new(LocalExecutor);
    if !http2 {
        builder = builder.http1_only();
    }
    builder.http1().timer(CompioTimer).header_read_timeout(head_timeout).max_buf_size(HEADERS_MAX);
    builder.http2().timer(CompioTimer).max_header_list_size(HEADERS_MAX as u32);
    builder
}
