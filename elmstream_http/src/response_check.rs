//! Decides whether a response that a client read can be passed on.

use http::{HeaderMap, HeaderValue, Response, Version, header};
use hyper::{body::Body, ext::ReasonPhrase};

/// Largest status code of HTTP (RFC 9110, section 15).
const STATUS_MAX: u16 = 599;
/// Length of a status line up to the end of its status code, in bytes.
const STATUS_LINE_BYTES: usize = b"HTTP/1.1 200".len();

/// Why a response cannot be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFault {
    /// The status is informational, so this is not the answer to the request, or is none of HTTP's.
    Status,
    /// The head contains the status line of another response: its sender stopped in the middle of the
    /// head and began anew, so that fields and body belong to different responses.
    Restart,
    /// The body is in a transfer coding that was not asked for.
    Coding,
    /// The body has no length, and its end cannot be told from that of a broken connection.
    Length,
}

impl ResponseFault {
    /// Name of the fault in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ResponseFault::Status => "status",
            ResponseFault::Restart => "restart",
            ResponseFault::Coding => "coding",
            ResponseFault::Length => "length",
        }
    }

    /// Whether the fault is one of the body only, so that a refusal in the head is valid.
    pub fn leaves_head_valid(self) -> bool {
        match self {
            ResponseFault::Status | ResponseFault::Restart => false,
            ResponseFault::Coding | ResponseFault::Length => true,
        }
    }
}

/// Checks a response of which nothing but the head has been read.
///
/// A body without a length or chunks ends with the connection. It can be passed on only if the head
/// says that the connection closes: the end of a connection that was to be kept is a failure.
///
/// # Errors
///
/// The reason why the response cannot be passed on.
pub fn check<B: Body>(response: &Response<B>) -> Result<(), ResponseFault> {
    let (status, headers) = (response.status(), response.headers());
    if status.is_informational() || status.as_u16() > STATUS_MAX {
        return Err(ResponseFault::Status);
    }
    if contains_status_line(response) {
        return Err(ResponseFault::Restart);
    }
    if has_length(response) {
        return Ok(());
    }
    match headers.contains_key(header::TRANSFER_ENCODING) {
        true if is_chunked(headers) => Ok(()),
        true => Err(ResponseFault::Coding),
        false if closes(response) => Ok(()),
        false => Err(ResponseFault::Length),
    }
}

/// Whether a status line is part of the reason phrase or of a field's value. Elsewhere in a head it is
/// a syntax error.
fn contains_status_line<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let mut texts = response.headers().values().map(HeaderValue::as_bytes).chain(reason);
    texts.any(|text| text.windows(STATUS_LINE_BYTES).any(is_status_line))
}

/// Whether this is a status line up to the end of its status code.
fn is_status_line(text: &[u8]) -> bool {
    let Some(&[major, b'.', minor, b' ', ref status @ ..]) = text.strip_prefix(b"HTTP/") else {
        return false;
    };
    [major, minor].iter().chain(status).all(u8::is_ascii_digit)
}

/// Whether the body ends with the connection: it has neither a length nor chunks.
///
/// If nothing of such a body arrives, its sender may have ended behind the head.
pub fn ends_with_connection<B: Body>(response: &Response<B>) -> bool {
    !has_length(response) && !response.headers().contains_key(header::TRANSFER_ENCODING)
}

fn has_length<B: Body>(response: &Response<B>) -> bool {
    response.body().size_hint().exact().is_some()
}

/// Whether `chunked` is the only transfer coding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    values.next().is_some_and(is_chunked) && values.next().is_none()
}

/// Whether the sender closes the connection after the response.
fn closes<B>(response: &Response<B>) -> bool {
    match response.version() {
        Version::HTTP_09 | Version::HTTP_10 => !has_option(response.headers(), "keep-alive"),
        _ => has_option(response.headers(), "close"),
    }
}

/// Whether the `Connection` header contains an option.
pub fn has_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options =
        values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    options.any(|other| other.trim().eq_ignore_ascii_case(option))
}
