//! Reads whole bodies and counts their bytes while they are held.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use elmstream::code::Code;
use elmstream_http::{BoxError, LocalBody, server::Aborted};
use elmstream_steer::model::Route;
use elmstreamd::{clock, waits};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use serde_json::json;

use crate::{Edge, buffer_bound::Held, callers};

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

/// Reads a body of at most `bytes_max` bytes whole.
///
/// # Errors
///
/// The body breaks off or is longer; then the error is a [`LengthLimitError`].
pub(crate) async fn collect<B>(body: B, bytes_max: usize, mut held: Held) -> Result<Bytes, BoxError>
where
    B: Body<Data = Bytes, Error: Into<BoxError>>,
{
    let expected = body.size_hint().lower().min(bytes_max as u64);
    let mut whole = Vec::with_capacity(expected as usize);
    let mut body = pin!(Limited::new(body, bytes_max));
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            whole.extend_from_slice(&data);
            held.grow_to(whole.len() as u64);
        }
    }
    Ok(held.attach(whole))
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
    incoming: Incoming,
) -> Result<Bytes, Result<Response<LocalBody>, Aborted>> {
    if incoming.is_end_stream() {
        return Ok(Bytes::new());
    }
    let bytes_max = edge.steer.borrow().limits().body_bytes;
    let size = incoming.size_hint().upper().unwrap_or(bytes_max);
    if size > bytes_max {
        return Err(Ok(callers::reply(Code::BadRequest, StatusCode::PAYLOAD_TOO_LARGE)));
    }
    let began = clock::now();
    let usual = Duration::from_millis(request.route.objective_ms).min(request.remaining);
    let admitted = waits::within_duration(usual, edge.buffers.admit(size)).await;
    let Some(held) = admitted else {
        return Err(Ok(refuse(edge, request, size, Code::BuffersFull)));
    };
    let reading = collect(incoming, bytes_max as usize, held);
    let read = match edge.buffers.is_bounded() {
        false => Some(reading.await),
        true => {
            let deadline = began + request.remaining.as_micros() as u64;
            waits::within(deadline, reading).await
        }
    };
    match read {
        Some(Ok(body)) => Ok(body),
        Some(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(Ok(callers::reply(Code::BadRequest, StatusCode::PAYLOAD_TOO_LARGE)))
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
