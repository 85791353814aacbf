//! Decides whether a response that a client read can be passed on.

use http::Response;

/// Largest status code of HTTP (RFC 9110, section 15).
const STATUS_MAX: u16 = 599;

/// Why a response cannot be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFault {
    /// The status is informational, so this is not the answer to the request, or is none of HTTP's.
    Status,
}

impl ResponseFault {
    /// Name of the fault in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ResponseFault::Status => "status",
        }
    }
}

/// Checks a response of which nothing but the head has been read.
///
/// # Errors
///
/// The reason why the response cannot be passed on.
pub fn check<B>(response: &Response<B>) -> Result<(), ResponseFault> {
    let status = response.status();
    if status.is_informational() || status.as_u16() > STATUS_MAX {
        return Err(ResponseFault::Status);
    }
    Ok(())
}
