//! One HTTP/1.1 connection to an address by IP number.

use std::{io, net::SocketAddr, time::Duration};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::client::conn::http1::{SendRequest, handshake};

use crate::LocalBody;

/// Opens a connection; its task ends with the sender.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<SendRequest<LocalBody>> {
    let connecting = compio::time::timeout(within, TcpStream::connect(address));
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
