//! Serves HTTP/1.1 and HTTP/2 on a listener, plain or by TLS.

use std::{cell::Cell, convert::Infallible, io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use compio::{
    net::{TcpListener, TcpStream},
    tls::TlsAcceptor,
};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::server::conn::auto::Builder;

use crate::{LocalBody, LocalExecutor, Stop};

/// Bytes of headers that are read at most.
const HEADERS_MAX: usize = 64 << 10;
/// Time in which a client must send its headers.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client must finish its TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, so that a full table of files does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How a handler ends a request without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is cut on purpose")
    }
}

impl std::error::Error for Cut {}

impl From<Infallible> for Cut {
    fn from(never: Infallible) -> Cut {
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
    /// Time in which the head of the next request must have come, rest included.
    pub head_timeout: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options { tls: None, http2: true, head_timeout: HEADERS_TIMEOUT }
    }
}

/// Serves until the stop, then lets requests in flight finish.
///
/// The handler gets the client's address; `Err(Cut)` closes the connection.
pub async fn serve<H, F>(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    stop: Stop,
    handler: H,
) -> io::Result<()>
where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<LocalBody>, Cut>> + 'static,
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
    F: Future<Output = Result<Response<LocalBody>, Cut>> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    loop {
        let accept = pin!(listener.accept());
        let (stream, client) = match select(accept, stop.clone()).await {
            Either::Left((Ok(accepted), _)) => accepted,
            Either::Left((Err(_), _)) => {
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
            Either::Right(_) => break,
        };
        let _ = stream.set_nodelay(true);
        let connection = connection(stream, client, options.clone(), stop.clone(), handler.clone());
        let open = open.clone();
        open.set(open.get() + 1);
        compio::runtime::spawn(async move {
            connection.await;
            open.set(open.get() - 1);
        })
        .detach();
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Serves one connection.
async fn connection<H, F>(
    stream: TcpStream,
    client: SocketAddr,
    options: Options,
    stop: Stop,
    handler: H,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Cut>> + 'static,
{
    let stream = match options.tls {
        None => HyperStream::new_plain(stream),
        Some(tls) => match compio::time::timeout(HANDSHAKE_TIMEOUT, tls.accept(stream)).await {
            Ok(Ok(stream)) => HyperStream::new_tls(stream),
            _ => return,
        },
    };
    let service = service_fn(move |request| handler(client, request));
    let mut builder = Builder::new(LocalExecutor);
    if !options.http2 {
        builder = builder.http1_only();
    }
    builder
        .http1()
        .timer(CompioTimer)
        .header_read_timeout(options.head_timeout)
        .max_buf_size(HEADERS_MAX);
    builder.http2().timer(CompioTimer).max_header_list_size(HEADERS_MAX as u32);
    let mut serving = pin!(builder.serve_connection(stream, service));
    if let Either::Right(((), _)) = select(serving.as_mut(), stop).await {
        serving.as_mut().graceful_shutdown();
        let _ = serving.await;
    }
}
