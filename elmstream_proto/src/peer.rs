//! Messages between entry hosts, over QUIC.
//!
//! Each exchange uses its own bidirectional stream. It begins with a
//! length-prefixed [`Open`], answered by a length-prefixed [`Reply`]. For a
//! request, the raw body follows in each direction until the end of the
//! stream. A reset stream means that the body was aborted. Messages are encoded by
//! `postcard`, which goes by the order of fields and variants; the ALPN name
//! contains the protocol's version.

use elmstream::{
    id::Name,
    message::{Fence, FenceReply, Heartbeat, HeartbeatReply, ServiceLoad},
    tickets::Ticket,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// ALPN name: protocol and version.
pub const ALPN: &str = "elmstream/1";
/// Maximum message size in bytes; a whole configuration of the planned size fits.
pub const MESSAGE_MAX: usize = 64 << 20;
/// Size of the length prefix of each message, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// The first message of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Open {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// A fence: a witness must promise no more renewals at its epoch or earlier.
    Fence(Fence),
    /// A newly accepted revision of the configuration.
    Push(Push),
    /// Requests the configuration in force.
    Fetch,
    /// A request that the receiver is to run as owner.
    Request(RequestHead),
    /// A request with a ticket, forwarded to the host that issued the ticket.
    Ticketed(Ticket, RequestHead),
}

/// The answer on a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// To a heartbeat.
    Heartbeat(HeartbeatReply),
    /// To a fence.
    Fence(FenceReply),
    /// To a push, after the hosts that it was forwarded to have answered.
    Pushed(Pushed),
    /// To a fetch; `None` if no configuration is in force.
    Configuration(Option<Revision>),
    /// To a request: it has a slot, and its body may follow.
    Admitted,
    /// To a request: the backend server's answer, whose body follows.
    Answer(AnswerHead),
    /// To a request without an answer, and to a malformed message.
    Refused(Refused),
}

/// A refused request, or a failed one that may have run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refused {
    /// Number of the result code.
    pub code: u16,
    /// Time after which a retry may succeed, in microseconds.
    pub retry_after: u64,
    /// The owner's current load of the service.
    pub load: Option<ServiceLoad>,
}

/// A complete revision of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Revision {
    /// Revision number.
    pub revision: u64,
    /// The configuration as JSON.
    pub document: String,
}

/// A revision of the configuration, as edits to the previous one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Push {
    /// Revision number.
    pub revision: u64,
    /// Edits that turn the previous revision into this one, as JSON.
    pub edits: String,
    /// Hosts that the receiver forwards it to.
    pub forward_to: Vec<Name>,
}

/// The result of a push at the receiver and at the hosts that it forwarded to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pushed {
    /// Revision in force at the receiver.
    pub revision: u64,
    /// Hosts in [`Push::forward_to`] that did not confirm the revision.
    pub missing: Vec<Name>,
}

/// An HTTP header.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// A request without its body.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestHead {
    /// Id of the request, for `elmctl explain`.
    pub id: u64,
    /// Name of the service.
    pub service: Name,
    /// The caller's home region.
    pub home: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<Header>,
    /// Whether a body follows.
    pub has_body: bool,
    /// Time left until the request's deadline, in microseconds.
    pub remaining_us: u64,
    /// Longest time that it may wait for a slot, in microseconds.
    pub max_wait_us: u64,
}

/// An answer without its body.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// The backend server that answered.
    pub backend: Name,
    /// The owner's current load of the service.
    pub load: Option<ServiceLoad>,
}

/// A message that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(display("E3201 a message from another entry host is malformed: {source}"))]
pub struct CodecError {
    source: postcard::Error,
}

/// Encodes a message, preceded by its length in [`LENGTH_BYTES`] bytes, big-endian.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let encoded = postcard::to_extend(message, vec![0; LENGTH_BYTES]).context(CodecSnafu)?;
    let length = (encoded.len() - LENGTH_BYTES) as u32;
    let mut encoded = encoded;
    encoded[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(encoded)
}

/// Decodes a message, given without its length prefix.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    postcard::from_bytes(bytes).context(CodecSnafu)
}
