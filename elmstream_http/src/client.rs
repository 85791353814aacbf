//! HTTP/1.1 client connections to an IP address.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{IpAddr, SocketAddr},
    os::fd::AsFd,
    rc::Rc,
    sync::Once,
    time::Duration,
};

use compio::{
    net::{TcpSocket, TcpStream},
    runtime::JoinHandle,
};
use hyper::client::conn::http1::{Builder, SendRequest};
use socket2::SockRef;

use crate::{LocalBody, PlainStream};

/// Drives a connection; dropping this closes it at once.
#[derive(Debug)]
pub struct Driver {
    /// Cancelled when this is dropped.
    _task: JoinHandle<()>,
    closing: Rc<Closing>,
}

/// How a connection is closed.
#[derive(Debug)]
struct Closing {
    /// The connection's socket, until nothing can need it any more.
    socket: RefCell<Option<TcpStream>>,
    resets: Cell<bool>,
    has_ended: Cell<bool>,
}

impl Driver {
    /// Sets whether the connection is reset when this is dropped, in place of being closed in good
    /// order.
    ///
    /// After a close in good order the kernel goes on sending what was not acknowledged, so what a cut
    /// path holds up arrives once the path is back. A reset discards it. The peer may not learn of
    /// a reset while the path is cut.
    pub fn set_reset_on_close(&self, resets: bool) {
        self.closing.resets.set(resets);
        self.closing.release();
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        // The task may drop the connection later.
        if self.closing.resets.get()
            && let Some(socket) = self.closing.socket.take()
            && let Err(error) = SockRef::from(&socket).set_linger(Some(Duration::ZERO))
        {
            log::warn!("cannot reset a connection whose request was given up: {error}");
        }
    }
}

impl Closing {
    fn end(&self) {
        self.has_ended.set(true);
        self.release();
    }

    /// Closes the socket of a connection that has ended, unless it may have to be reset.
    fn release(&self) {
        if self.has_ended.get() && !self.resets.get() {
            self.socket.take();
        }
    }
}

/// Opens a connection; its task ends when the returned sender is dropped.
///
/// # Errors
///
/// The connection is not open within `timeout`, or fails.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<SendRequest<LocalBody>> {
    connect_from(None, address, timeout).await
}

/// Opens a connection from a given local IP address, or from any if `source` is `None`.
///
/// # Errors
///
/// The connection is not open within `timeout`, or fails.
pub async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<SendRequest<LocalBody>> {
    let connecting = compio::time::timeout(timeout, stream(source, address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    start_detached(stream).await
}

/// Opens a connection that closes at once when the returned driver is dropped.
///
/// # Errors
///
/// The connection is not open within `timeout`, or fails.
pub async fn connect_driven(
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<(SendRequest<LocalBody>, Driver)> {
    let connecting = compio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    start(&Builder::new(), stream).await
}

/// Opens a connection as [`connect`] does, which fails if sent data is not acknowledged
/// within `unacked_timeout`. If that option is refused, the connection is used without it and
/// a warning is logged once.
///
/// # Errors
///
/// The connection is not open within `timeout`, or fails.
pub async fn connect_with_unacked_timeout(
    address: SocketAddr,
    timeout: Duration,
    unacked_timeout: Duration,
) -> io::Result<SendRequest<LocalBody>> {
    static WARN_ONCE: Once = Once::new();
    let connecting = compio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    if let Err(error) = set_unacked_timeout(&stream, unacked_timeout) {
        WARN_ONCE.call_once(|| log::warn!("cannot limit the time of unacknowledged data: {error}"));
    }
    start_detached(stream).await
}

/// Makes a connection fail if sent data is not acknowledged within `unacked_timeout`.
///
/// A connection may stop responding without a reset while new ones work; without this timeout
/// the kernel retransmits for 15 minutes and more. A peer that does not read waiting bytes
/// for that long fails the connection as well.
///
/// # Errors
///
/// The system refuses the option; the connection should be used without it.
pub fn set_unacked_timeout(stream: &impl AsFd, unacked_timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(unacked_timeout))
}

/// Starts HTTP/1.1 on a connected stream. Dropping the returned driver closes the connection at
/// once.
///
/// # Errors
///
/// The runtime cannot wait for the socket, or the system refuses an option.
pub async fn start(
    builder: &Builder,
    stream: TcpStream,
) -> io::Result<(SendRequest<LocalBody>, Driver)> {
    stream.set_nodelay(true)?;
    let socket = RefCell::new(Some(stream.clone()));
    let closing = Closing { socket, resets: Cell::new(false), has_ended: Cell::new(false) };
    let closing = Rc::new(closing);
    let handshake = builder.handshake(PlainStream::new(stream)?).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = compio::runtime::spawn({
        let closing = closing.clone();
        async move {
            // The future of the request returns the error. A shutdown would let the peer see an end in
            // place of the reset of a connection whose answer is broken.
            drop(connection.without_shutdown().await);
            closing.end();
        }
    });
    Ok((sender, Driver { _task: task, closing }))
}

async fn start_detached(stream: TcpStream) -> io::Result<SendRequest<LocalBody>> {
    stream.set_nodelay(true)?;
    let handshake = Builder::new().handshake(PlainStream::new(stream)?).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

async fn stream(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.bind(SocketAddr::new(source, 0)).await?;
    socket.connect(address).await
}
