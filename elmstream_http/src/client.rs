//! One HTTP/1.1 connection to an address by IP number.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use compio::net::{TcpSocket, TcpStream};
use cyper_core::HyperStream;
use hyper::client::conn::http1::{SendRequest, handshake};

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
