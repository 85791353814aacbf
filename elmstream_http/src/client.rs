//! HTTP/1.1 client connections to an IP address.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    os::fd::AsFd,
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

/// Starts HTTP/1.1 on a connected stream. The returned task drives the connection: dropping it
/// closes the connection at once, detached it ends when the sender is dropped.
///
/// # Errors
///
/// The runtime cannot wait for the socket, or the system refuses an option.
pub async fn start(
    builder: &Builder,
    stream: TcpStream,
) -> io::Result<(SendRequest<LocalBody>, JoinHandle<()>)> {
    stream.set_nodelay(true)?;
    let handshake = builder.handshake(PlainStream::new(stream)?).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = compio::runtime::spawn(async move {
        // The future of the request returns the error.
        let _ = connection.await;
    });
    Ok((sender, driver))
}

async fn start_detached(stream: TcpStream) -> io::Result<SendRequest<LocalBody>> {
    let (sender, driver) = start(&Builder::new(), stream).await?;
    driver.detach();
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
