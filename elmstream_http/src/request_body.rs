//! The body of a request, which tells its connection when it has been read to its end.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// Counts bodies that were not read to their end, also those that were dropped before it: what
/// comes next on their connection may be more of such a body.
pub(crate) type UnreadBodies = Arc<AtomicUsize>;

/// The body of a request.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    /// `None` once the body has been read to its end.
    unread: Option<UnreadBodies>,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, unread: &UnreadBodies) -> RequestBody {
        let mut body = RequestBody { incoming, unread: Some(unread.clone()) };
        unread.fetch_add(1, Ordering::Relaxed);
        body.note_end();
        body
    }

    /// Records the end of the body if it has been reached.
    fn note_end(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(unread) = self.unread.take()
        {
            unread.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match &frame {
            None => {
                if let Some(unread) = self.unread.take() {
                    unread.fetch_sub(1, Ordering::Relaxed);
                }
            }
            Some(_) => self.note_end(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
