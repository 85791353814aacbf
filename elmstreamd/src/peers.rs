//! Connections between entry hosts: QUIC, both sides proved by the cluster key.

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

/// Silence after which a connection counts as lost.
const IDLE: Duration = Duration::from_secs(10);
/// Time in which a connection must stand; a few round trips between regions.
const CONNECT: Duration = Duration::from_millis(400);
/// Pause of those who wait for a connection that is being opened.
const CONNECTING_PAUSE: Duration = Duration::from_millis(2);
/// Time in which the other sides learn that this one closes.
const CLOSE: Duration = Duration::from_secs(1);
/// Time in which the other side must have got the end of a stream.
const DELIVER: Duration = Duration::from_secs(5);
/// Streams that a host may have open at another at a time. The transport keeps
/// about 80 bytes for each, on every connection, from the start.
const STREAMS_MAX: u32 = 1_024;
/// Bytes that are read from a stream at a time at most.
const CHUNK_MAX: usize = 64 << 10;
/// Says on a reset stream that the body was cut.
const CUT: u32 = 1;

/// Connections to the other entry hosts.
#[derive(Debug)]
pub struct Peers {
    endpoint: Endpoint,
    connections: RefCell<HashMap<Name, Connection>>,
    /// Hosts to which a connection is being opened.
    connecting: RefCell<HashSet<Name>>,
    bytes: Cell<u64>,
}

impl Peers {
    /// Binds the endpoint that both takes and opens connections.
    pub async fn bind(address: SocketAddr, identity: &Identity) -> io::Result<Peers> {
        let server = identity.peer_server_config().map_err(io::Error::other)?;
        let client = identity.peer_client_config().map_err(io::Error::other)?;
        let server = ServerBuilder::new_with_rustls_server_config(server);
        let mut server = server.with_alpn_protocols(&[ALPN]).build();
        let client = ClientBuilder::new_with_rustls_client_config(client);
        let mut client = client.with_alpn_protocols(&[ALPN]).build();
        let transport = Arc::new(transport()?);
        server.transport_config(transport.clone());
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(address, server).await?;
        endpoint.default_client_config = Some(client);
        Ok(Peers {
            endpoint,
            connections: RefCell::default(),
            connecting: RefCell::default(),
            bytes: Cell::new(0),
        })
    }

    /// The next connection that another host opens and proves.
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

    /// Sends one message and reads its answer, for control.
    pub async fn exchange(
        &self,
        name: &Name,
        address: SocketAddr,
        open: &Open,
        within: Duration,
    ) -> Result<Reply, Code> {
        let exchanging = async {
            let (mut send, mut recv) = self.open(name, address).await?;
            self.write(&mut send, open).await?;
            let _ = send.finish();
            self.read(&mut recv).await
        };
        let timed = compio::time::timeout(within, exchanging).await;
        timed.unwrap_or(Err(Code::PeerUnreachable))
    }

    /// Opens a stream to a host, over a connection that stands or a new one.
    pub async fn open(
        &self,
        name: &Name,
        address: SocketAddr,
    ) -> Result<(SendStream, RecvStream), Code> {
        // One connection is opened at a time; the others wait for it.
        while self.connecting.borrow().contains(name) {
            compio::time::sleep(CONNECTING_PAUSE).await;
        }
        let standing = self.connections.borrow().get(name).cloned();
        if let Some(connection) = standing {
            match connection.open_bi() {
                Ok(streams) => return Ok(streams),
                // All streams are in use; the connection itself is good.
                Err(_) if connection.close_reason().is_none() => return Err(Code::PeerUnreachable),
                Err(_) => self.forget(name),
            }
        }
        let _connecting = Connecting::new(self, name);
        let connection = self.connect(address).await?;
        let streams = connection.open_bi().map_err(|_| Code::PeerUnreachable)?;
        self.connections.borrow_mut().insert(name.clone(), connection);
        Ok(streams)
    }

    /// Drops the connection to a host that fell silent; requests on it end.
    pub fn forget(&self, name: &Name) {
        if let Some(connection) = self.connections.borrow_mut().remove(name) {
            connection.close(VarInt::from_u32(CUT), b"silent");
        }
    }

    /// Writes a message.
    pub async fn write<T: Serialize>(
        &self,
        send: &mut SendStream,
        message: &T,
    ) -> Result<(), Code> {
        let coded = peer::encode(message).map_err(|_| Code::PeerMessage)?;
        self.bytes.set(self.bytes.get() + coded.len() as u64);
        let BufResult(written, _) = send.write_all(coded).await;
        written.map_err(|_| Code::PeerLost)
    }

    /// Reads a message.
    pub async fn read<T: DeserializeOwned>(&self, recv: &mut RecvStream) -> Result<T, Code> {
        let BufResult(read, length) = recv.read_exact([0u8; LENGTH_BYTES]).await;
        read.map_err(|_| Code::PeerLost)?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MESSAGE_MAX {
            return Err(Code::PeerMessage);
        }
        let BufResult(read, coded) = recv.read_exact(Vec::with_capacity(length)).await;
        read.map_err(|_| Code::PeerLost)?;
        self.bytes.set(self.bytes.get() + coded.len() as u64);
        peer::decode(&coded).map_err(|_| Code::PeerMessage)
    }

    /// Bytes of messages, without bodies, sent and received.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Closes all connections and waits until the other sides know.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        let _ = compio::time::timeout(CLOSE, self.endpoint.clone().shutdown()).await;
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Code> {
        let connecting = self.endpoint.connect(address, SERVER_NAME, None);
        let connecting = connecting.map_err(|_| Code::PeerUnreachable)?;
        let timed = compio::time::timeout(CONNECT, connecting).await;
        timed.map_err(|_| Code::PeerUnreachable)?.map_err(|_| Code::PeerUnreachable)
    }
}

/// Marks a host as being connected to until this is dropped.
struct Connecting<'a> {
    peers: &'a Peers,
    name: &'a Name,
}

impl<'a> Connecting<'a> {
    fn new(peers: &'a Peers, name: &'a Name) -> Connecting<'a> {
        peers.connecting.borrow_mut().insert(name.clone());
        Connecting { peers, name }
    }
}

impl Drop for Connecting<'_> {
    fn drop(&mut self) {
        self.peers.connecting.borrow_mut().remove(self.name);
    }
}

fn transport() -> io::Result<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE).map_err(io::Error::other)?;
    transport.max_idle_timeout(Some(idle));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX));
    Ok(transport)
}

/// The sending side of a stream that carries a body.
///
/// A stream that is dropped would end as if it were whole, so this one is reset
/// unless it was finished.
pub struct BodySender(Option<SendStream>);

impl BodySender {
    /// Wraps a stream.
    pub fn new(send: SendStream) -> BodySender {
        BodySender(Some(send))
    }

    /// The stream, for messages before the body.
    pub fn stream(&mut self) -> &mut SendStream {
        self.0.as_mut().expect("the stream is there until it is finished")
    }

    /// Ends the stream as whole.
    pub fn finish(mut self) {
        if let Some(mut send) = self.0.take() {
            let _ = send.finish();
        }
    }

    /// Ends the stream as whole, and waits until the other side has it all.
    pub async fn deliver(mut self) {
        if let Some(mut send) = self.0.take() {
            let _ = send.finish();
            let _ = compio::time::timeout(DELIVER, send.stopped()).await;
        }
    }

    /// Sends a body to its end; on an error of either side the stream is cut.
    pub async fn send(mut self, mut body: LocalBody) -> Result<(), Code> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Code::CallerAborted)?;
            let Ok(data) = frame.into_data() else { continue };
            let written = self.stream().write_all_chunks(&mut [data]).await;
            written.map_err(|_| Code::PeerLost)?;
        }
        self.deliver().await;
        Ok(())
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if let Some(mut send) = self.0.take() {
            let _ = send.reset(VarInt::from_u32(CUT));
        }
    }
}

/// The rest of a stream as a body; a reset stream is a cut body.
pub fn receive(recv: RecvStream) -> LocalBody {
    let chunks = futures_util::stream::unfold(Some(recv), |recv| async {
        let mut recv = recv?;
        match recv.read_chunk(CHUNK_MAX, true).await {
            Ok(Some(chunk)) => Some((Ok::<Bytes, _>(chunk.bytes), Some(recv))),
            Ok(None) => None,
            Err(error) => Some((Err(error.into()), None)),
        }
    });
    body::stream(chunks)
}
