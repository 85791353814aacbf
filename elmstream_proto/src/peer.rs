//! Messages between entry hosts, over QUIC.
//!
//! Each exchange has a bidirectional stream of its own. A stream begins with a
//! length-prefixed [`Open`] and is answered by a length-prefixed [`Reply`]; for
//! a request, raw bytes of the body follow in each direction to the end of the
//! stream. A stream that is reset was cut. The codec is `postcard`; the ALPN
//! name carries the protocol's version.

use elmstream::{
    id::Name,
    message::{Fence, FenceReply, Heartbeat, HeartbeatReply, ServiceLoad},
    tickets::Ticket,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// The protocol's name and version, for ALPN.
pub const ALPN: &str = "elmstream/1";
/// The longest message, in bytes; a configuration of the planned size fits.
pub const MESSAGE_MAX: usize = 64 << 20;
/// Bytes of the length before each message.
pub const LENGTH_BYTES: usize = 4;

/// The first message of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Open {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// A fence.
    Fence(Fence),
    /// A revision that was accepted.
    Push(Push),
    /// Asks for the configuration in force.
    Fetch,
    /// A request to be run by the asked host as owner.
    Request(RequestHead),
    /// A ticketed request, brought to the host that issued the ticket.
    Ticketed(Ticket, RequestHead),
}

/// The answer on a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// To a heartbeat.
    Heartbeat(HeartbeatReply),
    /// To a fence.
    Fence(FenceReply),
    /// To a push, once the hosts that it was passed on to have answered.
    Pushed(Pushed),
    /// To a fetch.
    Configuration(Option<Revision>),
    /// To a request: it has a slot, the body may follow.
    Admitted,
    /// To a request: the backend server's answer, the body follows.
    Answer(AnswerHead),
    /// To a request: no answer.
    Refused(Refused),
}

/// A refusal, or a failure whose outcome is unknown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refused {
    /// The number of the code.
    pub code: u16,
    /// Microseconds after which asking again may help.
    pub retry_after: u64,
    /// What the owner has of the service now.
    pub load: Option<ServiceLoad>,
}

/// A revision of the configuration, whole.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Revision {
    /// Its number.
    pub revision: u64,
    /// The configuration as JSON.
    pub document: String,
}

/// A revision of the configuration, as its difference to the one before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Push {
    /// Its number.
    pub revision: u64,
    /// The edits that lead to it from the revision before, as JSON.
    pub edits: String,
    /// Hosts that the receiver passes it on to.
    pub forward_to: Vec<Name>,
}

/// What became of a push at a host and those that it passed it on to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pushed {
    /// The revision in force at the host itself.
    pub revision: u64,
    /// Hosts of those below it that did not say that they took it.
    pub missing: Vec<Name>,
}

/// A header.
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
    /// Names the request, for `elmctl explain`.
    pub id: u64,
    /// The service.
    pub service: Name,
    /// The caller's home region.
    pub home: Name,
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<Header>,
    /// Whether a body follows.
    pub has_body: bool,
    /// Time left, in microseconds.
    pub remaining_us: u64,
    /// Time that it may wait for a slot, in microseconds.
    pub max_wait_us: u64,
}

/// An answer without its body.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// The backend server that answered.
    pub backend: Name,
    /// What the owner has of the service now.
    pub load: Option<ServiceLoad>,
}

/// A message that cannot be coded or decoded.
#[derive(Debug, Snafu)]
#[snafu(display("E3201 a message from another entry host is malformed: {source}"))]
pub struct CodecError {
    source: postcard::Error,
}

/// Codes a message with its length in front.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let coded = postcard::to_extend(message, vec![0; LENGTH_BYTES]).context(CodecSnafu)?;
    let length = (coded.len() - LENGTH_BYTES) as u32;
    let mut coded = coded;
    coded[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(coded)
}

/// Decodes a message without its length.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    postcard::from_bytes(bytes).context(CodecSnafu)
}
