//! Reads whole bodies and counts their bytes while they are held.

use std::{error::Error, fmt, pin::pin, time::Duration};

use bytes::Bytes;
use elmstream::code::Code;
use elmstream_http::{BoxError, LocalBody, RequestBody, server::Aborted};
use elmstream_steer::model::Route;
use elmstreamd::{clock, waits};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use serde_json::json;

use crate::{
    Edge,
    buffer_bound::{BufferBound, Held},
    callers,
};

/// Retry-After of a request whose body was not admitted, in milliseconds.
const NOT_ADMITTED_RETRY_MS: u64 = 300;
/// Bytes by which a body without a stated length grows, and most that is allocated before any of a
/// body has come.
const STEP_BYTES: u64 = 64 << 10;
/// Largest step by which the capacity of a body of unknown length grows.
const CAPACITY_STEP_MAX: usize = 1 << 20;
/// A body waits to grow when less room than this is left, the most that is usually read at once.
const READ_BYTES: u64 = 8 << 10;

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

/// A body could not grow within its time, or is the longest of too many bytes of answers.
#[derive(Debug)]
struct NoRoom;

impl fmt::Display for NoRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("there is no room for the rest of the body")
    }
}

impl Error for NoRoom {}

/// Reads an answer of at most `bytes_max` bytes whole and counts it if `buffers` does.
///
/// # Errors
///
/// The body breaks off, is longer, then the error is a [`LengthLimitError`], or has to be broken off, as
/// all answers together take too much.
pub(crate) async fn collect<B>(
    body: B,
    bytes_max: usize,
    buffers: &BufferBound,
) -> Result<Bytes, BoxError>
where
    B: Body<Data = Bytes, Error: Into<BoxError>>,
{
    if !buffers.counts() {
        return Ok(Limited::new(body, bytes_max).collect().await?.to_bytes());
    }
    collect_counted(body, bytes_max, buffers.hold(), None).await
}

/// Reads a body whole; `growth_timeout` is how long it waits for each step, if it has to.
async fn collect_counted<B>(
    body: B,
    bytes_max: usize,
    mut held: Held,
    growth_timeout: Option<Duration>,
) -> Result<Bytes, BoxError>
where
    B: Body<Data = Bytes, Error: Into<BoxError>>,
{
    let expected = body.size_hint().lower().min(bytes_max as u64) as usize;
    let mut whole = Vec::with_capacity(expected.min(STEP_BYTES as usize));
    let mut body = pin!(Limited::new(body, bytes_max));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        extend(&mut whole, &data, expected);
        let length = whole.len() as u64;
        held.grow_to(length);
        if held.is_excessive() {
            metrics::counter!("elmstream_answers_broken_off").increment(1);
            return Err(NoRoom.into());
        }
        if let Some(timeout) = growth_timeout.filter(|_| held.bytes() < length + READ_BYTES) {
            waits::within_duration(timeout, held.grow_by(STEP_BYTES)).await.ok_or(NoRoom)?;
        }
    }
    whole.shrink_to_fit();
    Ok(held.attach(whole))
}

/// Appends to a body. Its capacity grows to the `expected` length once its first part is full, or
/// doubles if it is longer, by at most [`CAPACITY_STEP_MAX`].
fn extend(whole: &mut Vec<u8>, data: &[u8], expected: usize) {
    let length = whole.len() + data.len();
    if length > whole.capacity() {
        let capacity = whole.capacity();
        let longer = capacity + capacity.min(CAPACITY_STEP_MAX);
        let wanted = if length <= expected { expected } else { longer };
        whole.reserve_exact(wanted.max(length) - whole.len());
    }
    whole.extend_from_slice(data);
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
        false => Some(collect(incoming, bytes_max as usize, &edge.buffers).await),
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
            let reading = collect_counted(incoming, bytes_max as usize, held, growth_timeout);
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
