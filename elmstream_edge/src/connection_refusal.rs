//! The response to a request for whose connection there is no room.

use bytes::Bytes;
use elmstream::code::Code;

use crate::headers;

/// Retry-After of a request for whose connection there is no room, in milliseconds.
const CONNECTIONS_FULL_RETRY_MS: u64 = 300;

/// The response, as it is sent.
pub(crate) fn response() -> Bytes {
    let code = Code::ConnectionsFull;
    let text = format!(
        "HTTP/1.1 {} Service Unavailable\r\n{}: {}\r\nretry-after: {:.2}\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n",
        code.http_status(),
        headers::CODE,
        code.number(),
        CONNECTIONS_FULL_RETRY_MS as f64 / 1_000.0,
    );
    text.into()
}
