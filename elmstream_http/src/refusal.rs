//! Refuses the request of a connection for which there is no room.
//!
//! Nothing of the request is kept. What arrives of it is read and dropped, as closing a socket with
//! unread bytes resets the connection, and the client may then lose the response.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use hyper::rt::Write;

use crate::{plain_stream::READ_BYTES_MAX, watched::WatchedStream};

/// Time in which the client must read the response and close.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes of a request that are read and dropped.
const DROPPED_BYTES_MAX: usize = 512 << 10;

/// A response to a request that is not read, and the close of its connection.
pub(crate) struct Refusal {
    stream: WatchedStream,
    /// What is left to send of the response.
    response: Bytes,
    dropped: usize,
    is_shut_down: bool,
    timeout: Pin<Box<dyn Future<Output = ()>>>,
}

impl Refusal {
    pub(crate) fn new(stream: WatchedStream, response: Bytes) -> Refusal {
        let timeout = Box::pin(compio::time::sleep(LINGER_TIMEOUT));
        Refusal { stream, response, dropped: 0, is_shut_down: false, timeout }
    }

    /// Sends the response, then waits until the client closes or its time is over.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        while !self.response.is_empty() {
            match ready!(Pin::new(&mut self.stream).poll_write(cx, &self.response)) {
                Ok(sent) => self.response.advance(sent),
                Err(_) => return Poll::Ready(()),
            }
        }
        if !self.is_shut_down {
            self.is_shut_down = true;
            if ready!(Pin::new(&mut self.stream).poll_shutdown(cx)).is_err() {
                return Poll::Ready(());
            }
        }
        let mut chunk = [0; READ_BYTES_MAX];
        while self.dropped < DROPPED_BYTES_MAX {
            match ready!(self.stream.poll_read_bytes(cx, &mut chunk)) {
                Ok(length @ 1..) => self.dropped += length,
                Ok(0) | Err(_) => return Poll::Ready(()),
            }
        }
        Poll::Ready(())
    }
}
