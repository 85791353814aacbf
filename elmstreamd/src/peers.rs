//! QUIC connections between entry hosts. Both sides prove with a certificate that they have the
//! cluster key.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use compio::{
    BufResult,
    io::{AsyncReadExt, AsyncWriteExt},
    quic::{
        ClientBuilder, Connection, Endpoint, IdleTimeout, RecvStream, SendStream, ServerBuilder,
        TransportConfig, VarInt,
    },
};
use elmstream::{code::Code, id::Name};
use elmstream_http::{LocalBody, body};
use elmstream_proto::{
    identity::{Identity, SERVER_NAME},
    peer::{self, ALPN, LENGTH_BYTES, MESSAGE_MAX, Open, Reply},
};
use http_body_util::BodyExt;
use serde::{Serialize, de::DeserializeOwned};

/// Time without packets after which a connection counts as lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a connection must be established: a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which tasks check whether a connection that another task opens is established.
const CONNECTING_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time to wait until the other hosts have learned that this one closes its connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to wait until the other side has received a stream to its end.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Most streams that another host may have open on a connection. The transport allocates about 80
/// bytes for each of them when a connection is established.
const STREAMS_MAX: u32 = 1_024;
/// Most bytes that are read from a stream at a time.
const CHUNK_BYTES_MAX: usize = 64 << 10;
/// Error code of a stream that is reset because its body is incomplete, and of a connection that is
/// closed because its host is unreachable.
const ABORTED_CODE: u32 = 1;

/// Endpoint of this host, with one connection to each of the other entry hosts.
#[derive(Debug)]
pub struct Peers {
    endpoint: Endpoint,
    connections: RefCell<HashMap<Name, Connection>>,
    /// Hosts to which a connection is being established.
    connecting: RefCell<HashSet<Name>>,
    message_bytes: Cell<u64>,
}

impl Peers {
    /// Binds the endpoint, which both accepts and opens connections.
    pub async fn bind(address: SocketAddr, identity: &Identity) -> io::Result<Peers> {
        let server = identity.peer_server_config().map_err(io::Error::other)?;
        let client = identity.peer_client_config().map_err(io::Error::other)?;
        let server = ServerBuilder::new_with_rustls_server_config(server);
        let mut server = server.with_alpn_protocols(&[ALPN]).build();
        let client = ClientBuilder::new_with_rustls_client_config(client);
        let mut client = client.with_alpn_protocols(&[ALPN]).build();
        let transport_config = Arc::new(transport_config()?);
        server.transport_config(transport_config.clone());
        client.transport_config(transport_config);
        let mut endpoint = Endpoint::server(address, server).await?;
        endpoint.default_client_config = Some(client);
        Ok(Peers {
            endpoint,
            connections: RefCell::default(),
            connecting: RefCell::default(),
            message_bytes: Cell::new(0),
        })
    }

    /// Accepts the next connection of a host with the cluster key. `None` once the endpoint is
    /// closed.
    pub async fn accept(&self) -> Option<Connection> {
        loop {
            let incoming = self.endpoint.wait_incoming().await?;
            match incoming.await {
                Ok(connection) => return Some(connection),
                Err(error) => log::warn!(code = Code::PeerIdentity.number(), error:% = error;
                    "a connection of another host was refused"),
            }
        }
    }

    /// Sends a control message on a stream of its own and reads the reply, within a timeout.
    pub async fn exchange(
        &self,
        name: &Name,
        address: SocketAddr,
        open: &Open,
        timeout: Duration,
    ) -> Result<Reply, Code> {
        let exchange = async {
            let (mut send, mut recv) = self.open(name, address).await?;
            self.write(&mut send, open).await?;
            let _ = send.finish();
            self.read(&mut recv).await
        };
        let timed = compio::time::timeout(timeout, exchange).await;
        timed.unwrap_or(Err(Code::PeerUnreachable))
    }

    /// Opens a stream to a host, on the existing connection or a new one.
    pub async fn open(
        &self,
        name: &Name,
        address: SocketAddr,
    ) -> Result<(SendStream, RecvStream), Code> {
        // Only one task opens a connection to a host; the others wait for it.
        while self.connecting.borrow().contains(name) {
            compio::time::sleep(CONNECTING_CHECK_INTERVAL).await;
        }
        let existing = self.connections.borrow().get(name).cloned();
        if let Some(connection) = existing {
            match connection.open_bi() {
                Ok(streams) => return Ok(streams),
                // All streams are in use, but the connection is still open.
                Err(_) if connection.close_reason().is_none() => return Err(Code::PeerUnreachable),
                Err(_) => self.disconnect(name),
            }
        }
        let _connecting = ConnectingGuard::new(self, name);
        let connection = self.connect(address).await?;
        let streams = connection.open_bi().map_err(|_| Code::PeerUnreachable)?;
        self.connections.borrow_mut().insert(name.clone(), connection);
        Ok(streams)
    }

    /// Closes the connection to a host that is unreachable, which ends the requests on it.
    pub fn disconnect(&self, name: &Name) {
        if let Some(connection) = self.connections.borrow_mut().remove(name) {
            connection.close(VarInt::from_u32(ABORTED_CODE), b"silent");
        }
    }

    /// Writes a message to a stream.
    pub async fn write<T: Serialize>(
        &self,
        send: &mut SendStream,
        message: &T,
    ) -> Result<(), Code> {
        let encoded = peer::encode(message).map_err(|_| Code::PeerMessage)?;
        self.message_bytes.set(self.message_bytes.get() + encoded.len() as u64);
        let BufResult(written, _) = send.write_all(encoded).await;
        written.map_err(|_| Code::PeerLost)
    }

    /// Reads a message from a stream. Fails with [`Code::PeerMessage`] if it is too long or
    /// malformed.
    pub async fn read<T: DeserializeOwned>(&self, recv: &mut RecvStream) -> Result<T, Code> {
        let BufResult(read, length) = recv.read_exact([0u8; LENGTH_BYTES]).await;
        read.map_err(|_| Code::PeerLost)?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MESSAGE_MAX {
            return Err(Code::PeerMessage);
        }
        let BufResult(read, encoded) = recv.read_exact(Vec::with_capacity(length)).await;
        read.map_err(|_| Code::PeerLost)?;
        self.message_bytes.set(self.message_bytes.get() + encoded.len() as u64);
        peer::decode(&encoded).map_err(|_| Code::PeerMessage)
    }

    /// Bytes of all messages that were sent and received, without bodies.
    pub fn message_bytes(&self) -> u64 {
        self.message_bytes.get()
    }

    /// Closes all connections and waits until the other hosts have been notified.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        let _ = compio::time::timeout(CLOSE_TIMEOUT, self.endpoint.clone().shutdown()).await;
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Code> {
        let connecting = self.endpoint.connect(address, SERVER_NAME, None);
        let connecting = connecting.map_err(|_| Code::PeerUnreachable)?;
        let timed = compio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        timed.map_err(|_| Code::PeerUnreachable)?.map_err(|_| Code::PeerUnreachable)
    }
}

/// Marks that a connection to a host is being established, until this is dropped.
struct ConnectingGuard<'a> {
    peers: &'a Peers,
    name: &'a Name,
}

impl<'a> ConnectingGuard<'a> {
    fn new(peers: &'a Peers, name: &'a Name) -> ConnectingGuard<'a> {
        peers.connecting.borrow_mut().insert(name.clone());
        ConnectingGuard { peers, name }
    }
}

impl Drop for ConnectingGuard<'_> {
    fn drop(&mut self) {
        self.peers.connecting.borrow_mut().remove(self.name);
    }
}

fn transport_config() -> io::Result<TransportConfig> {
    let mut transport_config = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).map_err(io::Error::other)?;
    transport_config.max_idle_timeout(Some(idle));
    transport_config.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX));
    Ok(transport_config)
}

/// Sending side of a stream that carries a body.
///
/// A dropped stream would end as if it were complete, so this one is reset on drop unless it was
/// finished.
pub struct BodySender(Option<SendStream>);

impl BodySender {
    /// Wraps the sending side of a stream.
    pub fn new(send: SendStream) -> BodySender {
        BodySender(Some(send))
    }

    /// The stream, to write messages before the body.
    pub fn stream(&mut self) -> &mut SendStream {
        self.0.as_mut().expect("the stream is present until it is finished")
    }

    /// Ends the stream as complete.
    pub fn finish(mut self) {
        if let Some(mut send) = self.0.take() {
            let _ = send.finish();
        }
    }

    /// Ends the stream as complete, and waits until the other side has received all of it.
    pub async fn finish_and_wait(mut self) {
        if let Some(mut send) = self.0.take() {
            let _ = send.finish();
            let _ = compio::time::timeout(DELIVERY_TIMEOUT, send.stopped()).await;
        }
    }

    /// Sends a body to its end. On an error of the body or the stream, the stream is reset.
    pub async fn send(mut self, mut body: LocalBody) -> Result<(), Code> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Code::CallerAborted)?;
            let Ok(data) = frame.into_data() else { continue };
            let written = self.stream().write_all_chunks(&mut [data]).await;
            written.map_err(|_| Code::PeerLost)?;
        }
        self.finish_and_wait().await;
        Ok(())
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if let Some(mut send) = self.0.take() {
            let _ = send.reset(VarInt::from_u32(ABORTED_CODE));
        }
    }
}

/// Returns the rest of a stream as a body. If the stream is reset, the body ends with an error.
pub fn receive_body(recv: RecvStream) -> LocalBody {
    let chunks = futures_util::stream::unfold(Some(recv), |recv| async {
        let mut recv = recv?;
        match recv.read_chunk(CHUNK_BYTES_MAX, true).await {
            Ok(Some(chunk)) => Some((Ok::<Bytes, _>(chunk.bytes), Some(recv))),
            Ok(None) => None,
            Err(error) => Some((Err(error.into()), None)),
        }
    });
    body::stream(chunks)
}
