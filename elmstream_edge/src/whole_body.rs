//! Reads whole bodies and counts their bytes while they are held.

use std::{error::Error, fmt, pin::pin, time::Duration};

use bytes::Bytes;
use elmstream_http::BoxError;
use elmstreamd::waits;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;

use crate::buffer_bound::{BufferBound, Held};

/// Bytes by which a body without a stated length grows, and most that is allocated before any of a
/// body has come.
pub(crate) const STEP_BYTES: u64 = 64 << 10;
/// Largest step by which the capacity of a body of unknown length grows.
const CAPACITY_STEP_MAX: usize = 1 << 20;
/// A body waits to grow when less room than this is left, the most that is usually read at once.
const READ_BYTES: u64 = 8 << 10;

/// A body could not grow within its time, or is the longest of too many bytes of answers.
#[derive(Debug)]
pub(crate) struct NoRoom;

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
///
/// [`LengthLimitError`]: http_body_util::LengthLimitError
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
pub(crate) async fn collect_counted<B>(
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
