//! Pool of idle HTTP/1.1 connections to backend servers.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, time::Duration};

use elmstream_http::{
    LocalBody,
    client::{self, Driver},
};
use hyper::client::conn::http1::SendRequest;

/// Time to open a connection before the attempt fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most idle connections that are kept to one backend server.
const IDLE_PER_SERVER_MAX: usize = 16;

/// HTTP/1.1 connection to a backend server; dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<LocalBody>,
    /// Decides whether the connection is reset when it closes.
    pub driver: Driver,
}

/// Idle connections by the address of the backend server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Returns an idle connection that is still open, or opens a new one.
    pub async fn acquire(&self, address: SocketAddr) -> io::Result<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
            let Some(mut connection) = idle else {
                let (sender, driver) = client::connect_driven(address, CONNECT_TIMEOUT).await?;
                return Ok(Connection { sender, driver });
            };
            if !connection.sender.is_closed() && connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
    }

    /// Returns a connection to the pool. Its last response must have been read to the end.
    ///
    /// Connections that are closed or beyond the pool's size are dropped.
    pub fn release(&self, address: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_PER_SERVER_MAX {
            connections.push(connection);
        }
    }
}
