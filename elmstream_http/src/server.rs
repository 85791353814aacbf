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
        let connection = connection(stream, client, tls.clone(), stop.clone(), handler.clone());
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
    tls: Option<TlsAcceptor>,
    stop: Stop,
    handler: H,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<LocalBody>, Cut>> + 'static,
{
    let stream = match tls {
        None => HyperStream::new_plain(stream),
        Some(tls) => match compio::time::timeout(HANDSHAKE_TIMEOUT, tls.accept(stream)).await {
            Ok(Ok(stream)) => HyperStream::new_tls(stream),
            _ => return,
        },
    };
    let service = service_fn(move |request| handler(client, request));
    let mut builder = Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(CompioTimer)
        .header_read_timeout(HEADERS_TIMEOUT)
        .max_buf_size(HEADERS_MAX);
    builder.http2().timer(CompioTimer).max_header_list_size(HEADERS_MAX as u32);
    let mut serving = pin!(builder.serve_connection(stream, service));
    if let Either::Right(((), _)) = select(serving.as_mut(), stop).await {
        serving.as_mut().graceful_shutdown();
        let _ = serving.await;
    }
}
