//! Warm connections to backend servers.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, time::Duration};

use elmstream_http::{LocalBody, client};
use hyper::client::conn::http1::SendRequest;

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Idle connections that are kept to one backend server.
const IDLE_MAX: usize = 16;

/// A connection to a backend server.
pub type Connection = SendRequest<LocalBody>;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// An idle connection, or a new one.
    pub async fn acquire(&self, address: SocketAddr) -> io::Result<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
            let Some(mut connection) = idle else {
                return client::connect(address, CONNECT).await;
            };
            if !connection.is_closed() && connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
    }

    /// Gives a connection back once its answer has been read to the end.
    pub fn release(&self, address: SocketAddr, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }
}
