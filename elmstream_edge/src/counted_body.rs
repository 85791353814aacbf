//! Reads the bodies of requests, once there is room for them.

use std::time::Duration;

use bytes::Bytes;
use elmstream::code::Code;
use elmstream_http::{LocalBody, RequestBody, server::Aborted};
use elmstream_steer::model::Route;
use elmstreamd::{clock, waits};
use http::{Response, StatusCode};
use http_body_util::LengthLimitError;
use hyper::body::Body;
use serde_json::json;

use crate::{
    Edge, callers,
    whole_body::{self, NoRoom, STEP_BYTES},
};

/// Retry-After of a request whose body was not admitted, in milliseconds.
const NOT_ADMITTED_RETRY_MS: u64 = 300;

/// The request that a body belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyOf<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// The request's route.
    pub route: &'a Route,
    /// Time from now until the caller must have the answer.
    pub remaining: Duration,
}

/// Reads a request's body once there is room for it.
///
/// # Errors
///
/// The response, if the body is too long or there is no room or time for it; [`Aborted`] if the
/// caller left.
pub(crate) async fn read_request(
    edge: &Edge,
    request: BodyOf<'_>,
    incoming: RequestBody,
) -> Result<Bytes, Result<Response<LocalBody>, Aborted>> {
    if incoming.is_end_stream() {
        return Ok(Bytes::new());
    }
    let bytes_max = edge.steer.borrow().limits().body_bytes;
    let stated = incoming.size_hint().upper();
    if stated.is_some_and(|size| size > bytes_max) {
        return Err(Ok(callers::reply(Code::BadRequest, StatusCode::PAYLOAD_TOO_LARGE)));
    }
    let size = stated.unwrap_or(STEP_BYTES);
    let read = match edge.buffers.is_bounded() {
        false => Some(whole_body::collect(incoming, bytes_max as usize, &edge.buffers).await),
        true => {
            let deadline = clock::now() + request.remaining.as_micros() as u64;
            let usual = Duration::from_millis(request.route.objective_ms).min(request.remaining);
            let admitting = async {
                match stated {
                    Some(size) => edge.buffers.admit(size).await,
                    None => edge.buffers.admit_growing(STEP_BYTES).await,
                }
            };
            let Some(held) = waits::within_duration(usual, Box::pin(admitting)).await else {
                return Err(Ok(refuse(edge, request, size, Code::BuffersFull)));
            };
            let growth_timeout = stated.is_none().then_some(usual);
            let reading =
                whole_body::collect_counted(incoming, bytes_max as usize, held, growth_timeout);
            waits::within(deadline, Box::pin(reading)).await
        }
    };
    match read {
        Some(Ok(body)) => Ok(body),
        Some(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(Ok(callers::reply(Code::BadRequest, StatusCode::PAYLOAD_TOO_LARGE)))
        }
        Some(Err(error)) if error.is::<NoRoom>() => {
            Err(Ok(refuse(edge, request, size, Code::BuffersFull)))
        }
        // The caller closed the connection, so nobody reads a response.
        Some(Err(_)) => Err(Err(Aborted)),
        None => Err(Ok(refuse(edge, request, size, Code::DeadlineTooShort))),
    }
}

fn refuse(edge: &Edge, request: BodyOf<'_>, size: u64, code: Code) -> Response<LocalBody> {
    metrics::counter!("elmstream_requests", "outcome" => "body_refused").increment(1);
    let fields = json!({
        "id": request.id, "route": request.route.name, "code": code.number(),
        "status": code.http_status(), "bytes": size, "held": edge.buffers.held(),
        "waiting": edge.buffers.waiting(),
    });
    edge.event_log.request("body_refused", fields);
    callers::retry_later(code, NOT_ADMITTED_RETRY_MS)
}
