//! One HTTP/1.1 connection to an address by IP number.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    os::fd::AsFd,
    sync::Once,
    time::Duration,
};

use compio::net::{TcpSocket, TcpStream};
use cyper_core::HyperStream;
use hyper::client::conn::http1::{SendRequest, handshake};
use socket2::SockRef;

use crate::LocalBody;

/// Opens a connection; its task ends with the sender.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<SendRequest<LocalBody>> {
    connect_from(None, address, within).await
}

/// Opens a connection from a given IP number of this host.
pub async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    within: Duration,
) -> io::Result<SendRequest<LocalBody>> {
    let connecting = compio::time::timeout(within, stream(source, address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    start(stream).await
}

/// The same as [`connect`]; the connection breaks if what is sent over it is not
/// acknowledged for `silence`.
pub async fn connect_bounded(
    address: SocketAddr,
    within: Duration,
    silence: Duration,
) -> io::Result<SendRequest<LocalBody>> {
    static REFUSED: Once = Once::new();
    let connecting = compio::time::timeout(within, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    if let Err(error) = bound_silence(&stream, silence) {
        REFUSED.call_once(|| log::warn!("connections that go silent are not broken: {error}"));
    }
    start(stream).await
}

/// Lets a connection break if what is sent over it is not acknowledged for so long.
///
/// A connection may go silent for good without a reset, while new ones work; without
/// a bound the kernel sends again for 15 minutes and more. A peer that does not read
/// for so long although bytes wait for it breaks the connection too. Where the option
/// is refused the connection should be used without it.
pub fn bound_silence(stream: &impl AsFd, silence: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(silence))
}

async fn start(stream: TcpStream) -> io::Result<SendRequest<LocalBody>> {
    stream.set_nodelay(true)?;
    let handshake = handshake(HyperStream::new_plain(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    compio::runtime::spawn(async move {
        // The request's own future tells of an error.
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
