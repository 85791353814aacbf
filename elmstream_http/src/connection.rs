//! Serves one accepted connection.

use std::{
    io,
    net::SocketAddr,
    ops::DerefMut,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use compio::net::TcpStream;
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::Service};
use hyper_util::server::conn::auto;
use socket2::SockRef;

use crate::{
    ConnectionState, LocalBody, LocalExecutor, PlainStream, RequestBody, Stop, StopNotice, body,
    connections::{BusyConnection, Connections, IdlePeriod, OpenConnection},
    refusal::Refusal,
    server::{Aborted, Options, StoppedConnection},
    watched::{Traffic, Transport, WatchedStream},
};

/// Largest size of a request's headers, in bytes.
const HEADERS_BYTES_MAX: usize = 64 << 10;
/// Time in which a client must finish its TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the stop in which the first request of a new connection must arrive; the caller
/// has already sent it, unless its network or the caller itself is slow.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the stop in which a partly received head must be complete; a host that gets a
/// tenth of a core lags some 200 ms.
const PARTIAL_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Send buffer of connections with a limit on unread bytes. The kernel's own would take in
/// megabytes for a client that does not read, and would hide for long that one reads.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Time in which a request that is to be refused must arrive.
const REFUSED_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the check for the state of a connection that waits for its request.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An accepted connection and what is needed to serve it.
pub(crate) struct Connection<H> {
    pub(crate) stream: TcpStream,
    pub(crate) client: SocketAddr,
    /// Whether it was accepted from the queue at the stop.
    pub(crate) queued: bool,
    pub(crate) options: Options,
    pub(crate) open: OpenConnection,
    pub(crate) stop: Stop,
    pub(crate) handler: H,
}

impl<H, F> Connection<H>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    /// Serves the connection until it closes.
    pub(crate) async fn serve(self) {
        let traffic = Rc::new(Traffic::default());
        let (client, on_unread) = (self.client, self.options.on_unread.clone());
        let socket = self.stream.clone();
        if let Err(error) = self.serve_watched(traffic.clone()).await {
            log::warn!("cannot serve a connection: {error}");
        }
        if traffic.left_unread() {
            on_unread(client);
        }
        if traffic.has_failed_body()
            && let Err(error) = SockRef::from(&socket).set_linger(Some(Duration::ZERO))
        {
            log::warn!("cannot reset a connection whose response broke off: {error}");
        }
    }

    async fn serve_watched(self, traffic: Rc<Traffic>) -> io::Result<()> {
        let Connection { stream, client, queued, options, open, stop, handler } = self;
        let _ = stream.set_nodelay(true);
        if options.unread_timeout.is_some()
            && let Err(error) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)
        {
            log::warn!("cannot set the send buffer of a connection: {error}");
        }
        let socket = stream.clone();
        let service = RequestService {
            handler,
            client,
            traffic: traffic.clone(),
            notice: options.notice.clone(),
            closes_unread: options.tls.is_none() && !options.http2,
        };
        let watched =
            |transport| WatchedStream::new(transport, traffic.clone(), options.unread_timeout);
        let closing = ClosingConnection {
            socket,
            traffic: traffic.clone(),
            queued,
            observe: options.observe.clone(),
        };
        match options.tls {
            None if !options.http2 => {
                let stream = watched(Transport::Plain(PlainStream::new(stream)?));
                let timeout = match open.is_refused {
                    true => REFUSED_REQUEST_TIMEOUT,
                    false => (options.idle_timeout)(),
                };
                let connection = ReleasingConnection {
                    phase: Phase::Idle(Idle::begin(stream, &options.connections, timeout)),
                    service: Rc::new(service),
                    traffic: traffic.clone(),
                    options,
                    is_refused: open.is_refused,
                };
                closing.serve(pin!(connection), stop).await;
            }
            // Boxed, so that plain connections of HTTP/1.1 do not take the room of these.
            None => {
                let stream = watched(Transport::Plain(PlainStream::new(stream)?));
                let builder = auto_builder(options.http2, (options.idle_timeout)());
                let connection = Box::pin(builder.serve_connection(stream, service));
                Box::pin(closing.serve(connection, stop)).await;
            }
            Some(tls) => {
                let accepting =
                    compio::time::timeout(HANDSHAKE_TIMEOUT, Box::pin(tls.accept(stream)));
                let Ok(Ok(stream)) = accepting.await else { return Ok(()) };
                let stream = Box::new(HyperStream::new_tls(stream));
                let builder = auto_builder(options.http2, (options.idle_timeout)());
                let stream = watched(Transport::Tls(stream));
                let connection = Box::pin(builder.serve_connection(stream, service));
                Box::pin(closing.serve(connection, stop)).await;
            }
        }
        Ok(())
    }
}

/// A connection that is being served.
trait Serving: Future {
    /// Closes the connection after the requests in flight.
    fn begin_shutdown(self: Pin<&mut Self>);
}

impl<H, F> Serving for auto::Connection<'_, WatchedStream, RequestService<H>, LocalExecutor>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    fn begin_shutdown(self: Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

/// What decides when a connection closes at the stop of its server.
struct ClosingConnection {
    socket: TcpStream,
    traffic: Rc<Traffic>,
    queued: bool,
    observe: Rc<dyn Fn(StoppedConnection)>,
}

impl ClosingConnection {
    /// Serves until the connection closes; after the stop, until no request is known, waiting or
    /// in transit.
    async fn serve<S: Serving>(self, mut serving: Pin<impl DerefMut<Target = S>>, stop: Stop) {
        if let Either::Left(_) = select(serving.as_mut(), stop).await {
            return;
        }
        let stopped = Instant::now();
        let mut state = self.traffic.state(&self.socket);
        (self.observe)(StoppedConnection { state, queued: self.queued });
        // hyper's graceful shutdown immediately closes connections without a request that it
        // knows, so it must wait for requests that are in the socket or in transit.
        while stopped.elapsed() < close_delay(state) {
            let pause = pin!(compio::time::sleep(STATE_CHECK_INTERVAL));
            if let Either::Left(_) = select(serving.as_mut(), pause).await {
                return;
            }
            state = self.traffic.state(&self.socket);
        }
        // hyper would wait for the rest of the head until its own timeout.
        if state == ConnectionState::PartialHead {
            return;
        }
        serving.as_mut().begin_shutdown();
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

/// Answers the requests of one connection.
struct RequestService<H> {
    handler: H,
    client: SocketAddr,
    traffic: Rc<Traffic>,
    notice: StopNotice,
    /// Whether a connection closes if a request's body was not read. Else it would stay busy for as
    /// long as the rest may still come.
    closes_unread: bool,
}

/// A request that is being answered. It is boxed because hyper allocates the place of a future
/// with each connection.
type Answering = Pin<Box<dyn Future<Output = Result<Response<LocalBody>, Aborted>>>>;

impl<H, F> Service<Request<Incoming>> for RequestService<H>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    type Response = Response<LocalBody>;
    type Error = Aborted;
    type Future = Answering;

    fn call(&self, request: Request<Incoming>) -> Answering {
        let in_flight = self.traffic.enter();
        let version = request.version();
        let request = request.map(|body| RequestBody::new(body, self.traffic.unread_bodies()));
        let answering = (self.handler)(self.client, request);
        let (notice, traffic) = (self.notice.clone(), self.traffic.clone());
        let closes_unread = self.closes_unread;
        Box::pin(async move {
            let mut response = answering.await?;
            if version <= Version::HTTP_11 {
                // A response that a client read has the version of the server there.
                *response.version_mut() = Version::HTTP_11;
                if notice.is_announced() || closes_unread && traffic.has_unread_body() {
                    add_connection_close(&mut response);
                }
            }
            if version <= Version::HTTP_10 {
                response = response.map(|body| mark_failure(body, traffic));
            }
            Ok(response.map(|body| body::holding(body, in_flight)))
        })
    }
}

/// Has the connection reset if the body fails. Without chunks it may end with the connection, and its
/// caller would take it for whole otherwise.
fn mark_failure(body: LocalBody, traffic: Rc<Traffic>) -> LocalBody {
    Box::pin(body.map_err(move |error| {
        traffic.record_failed_body();
        error
    }))
}

/// Asks the caller to close the connection, at a moment when no request of its own can be in
/// transit. HTTP/2 has frames for this, which its graceful shutdown sends.
fn add_connection_close(response: &mut Response<LocalBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn auto_builder(http2: bool, head_timeout: Duration) -> auto::Builder<LocalExecutor> {
    let mut builder = auto::Builder::new(LocalExecutor);
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

/// A plain connection of HTTP/1.1 that gives back the memory of serving while it is idle.
///
/// hyper holds some 20 KB for a connection from its start to its end. So hyper's part is made when
/// the first byte of a request has arrived, and taken apart once its response is sent.
struct ReleasingConnection<H, F>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    phase: Phase<H, F>,
    service: Rc<RequestService<H>>,
    traffic: Rc<Traffic>,
    options: Options,
    is_refused: bool,
}

type Http1<H> = http1::Connection<WatchedStream, Rc<RequestService<H>>>;

enum Phase<H, F>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    /// Nothing of a request has been read.
    Idle(Idle),
    /// A request is being read or answered.
    Busy {
        connection: Box<Http1<H>>,
        _busy: BusyConnection,
    },
    /// There is no room for the request, which is refused.
    Refused(Refusal),
    Closed,
}

/// A connection without a request.
struct Idle {
    stream: WatchedStream,
    period: Rc<IdlePeriod>,
    timeout: Pin<Box<dyn Future<Output = ()>>>,
}

impl Idle {
    fn begin(stream: WatchedStream, connections: &Connections, timeout: Duration) -> Idle {
        let timeout = Box::pin(compio::time::sleep(timeout));
        Idle { stream, period: connections.begin_idle(), timeout }
    }

    /// Waits for a request; returns whether there may be one.
    fn poll_request(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        if let Poll::Ready(readable) = self.stream.poll_readable(cx) {
            return Poll::Ready(readable.is_ok());
        }
        let is_over = self.period.poll_close_requested(cx.waker())
            || self.timeout.as_mut().poll(cx).is_ready();
        // A request may have arrived that the runtime has not noticed yet.
        if is_over { Poll::Ready(self.stream.has_unread()) } else { Poll::Pending }
    }
}

impl<H, F> ReleasingConnection<H, F>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    /// Starts to serve the request that has arrived, or to refuse it if there is no room.
    fn begin_request(&self, stream: WatchedStream) -> Phase<H, F> {
        let connections = &self.options.connections;
        let busy = (!self.is_refused).then(|| connections.begin_busy()).flatten();
        let Some(busy) = busy else {
            connections.count_refused();
            return Phase::Refused(Refusal::new(stream, connections.refusal()));
        };
        let mut builder = http1::Builder::new();
        builder
            .timer(CompioTimer)
            .header_read_timeout((self.options.head_timeout)())
            .max_buf_size(HEADERS_BYTES_MAX);
        let connection = builder.serve_connection(stream, self.service.clone());
        Phase::Busy { connection: Box::new(connection), _busy: busy }
    }

    /// Takes hyper's part of the connection down, once all its requests are answered.
    fn end_request(&self, connection: Http1<H>) -> Phase<H, F> {
        let parts = connection.into_parts();
        let mut stream = parts.io;
        stream.push_back(parts.read_buf);
        let timeout = (self.options.idle_timeout)();
        Phase::Idle(Idle::begin(stream, &self.options.connections, timeout))
    }
}

impl<H, F> Future for ReleasingConnection<H, F>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let is_ended = match &mut self.phase {
                Phase::Idle(idle) => !ready!(idle.poll_request(cx)),
                Phase::Busy { connection, .. } => match Pin::new(&mut **connection).poll(cx) {
                    Poll::Pending => false,
                    Poll::Ready(Ok(())) => true,
                    Poll::Ready(Err(error)) => {
                        (self.options.on_error)(self.service.client, &error);
                        true
                    }
                },
                Phase::Refused(refusal) => {
                    ready!(refusal.poll(cx));
                    true
                }
                Phase::Closed => return Poll::Ready(()),
            };
            if !is_ended && matches!(self.phase, Phase::Busy { .. }) && !self.traffic.is_idle() {
                return Poll::Pending;
            }
            let phase = std::mem::replace(&mut self.phase, Phase::Closed);
            self.phase = match phase {
                _ if is_ended => Phase::Closed,
                Phase::Idle(idle) => self.begin_request(idle.stream),
                Phase::Busy { connection, .. } => self.end_request(*connection),
                Phase::Refused(_) | Phase::Closed => Phase::Closed,
            };
        }
    }
}

impl<H, F> Serving for ReleasingConnection<H, F>
where
    H: Fn(SocketAddr, Request<RequestBody>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    fn begin_shutdown(mut self: Pin<&mut Self>) {
        match &mut self.phase {
            Phase::Idle(_) => self.phase = Phase::Closed,
            Phase::Busy { connection, .. } => Pin::new(&mut **connection).graceful_shutdown(),
            Phase::Refused(_) | Phase::Closed => {}
        }
    }
}
