//! HTTP bodies that stay on one thread.

use std::{
    error::Error,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Empty, Full, StreamBody};

/// Any error of a body.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// A boxed body of any type.
pub type LocalBody = Pin<Box<dyn Body<Data = Bytes, Error = BoxError>>>;

/// Boxes a body.
pub fn boxed<B>(body: B) -> LocalBody
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<BoxError>,
{
    Box::pin(body.map_err(Into::into))
}

/// An empty body.
pub fn empty() -> LocalBody {
    boxed(Empty::new())
}

/// A body of the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> LocalBody {
    boxed(Full::new(bytes.into()))
}

/// A body of a stream of chunks; an error of the stream aborts the body.
pub fn stream<S>(chunks: S) -> LocalBody
where
    S: futures_util::Stream<Item = Result<Bytes, BoxError>> + 'static,
{
    use futures_util::StreamExt;
    Box::pin(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// A body of a stream of frames; an error of the stream aborts the body.
pub fn frames<S>(frames: S) -> LocalBody
where
    S: futures_util::Stream<Item = Result<Frame<Bytes>, BoxError>> + 'static,
{
    Box::pin(StreamBody::new(frames))
}

/// A body that keeps `value` alive until the body ends or is dropped.
pub fn holding<T: Unpin + 'static>(body: LocalBody, value: T) -> LocalBody {
    Box::pin(Holding { body, value: Some(value) })
}

struct Holding<T> {
    body: LocalBody,
    value: Option<T>,
}

impl<T: Unpin> Body for Holding<T> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = self.body.as_mut().poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.value = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        // Only a poll or the drop of the body releases the value, so hyper must poll to the
        // end while it is held.
        self.value.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
