//! A stream that tracks how far the requests of its connection have come.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    mem::{self, MaybeUninit},
    os::fd::AsFd,
    pin::Pin,
    rc::Rc,
    sync::atomic::Ordering,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;

use crate::{
    plain_stream::{PlainStream, poll_fill},
    request_body::UnreadBodies,
};

/// First bytes of an HTTP/2 connection; no method of HTTP/1.1 begins with them.
const HTTP2_PREFIX: &[u8] = b"PRI";
/// Length of the HTTP/2 preface in bytes; after it a connection can be shut down by the
/// protocol itself.
const HTTP2_PREFACE_BYTES: usize = 24;

/// How far the requests of a connection have come.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ConnectionState {
    /// A request is being answered.
    InFlight,
    /// A part of the next request's head was read.
    PartialHead,
    /// Bytes are waiting unread in the socket.
    Unread,
    /// The client has not sent anything yet.
    New,
    /// Earlier requests were answered, and no other has begun.
    Idle,
}

impl ConnectionState {
    /// Label of the state in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionState::InFlight => "in_flight",
            ConnectionState::PartialHead => "begun",
            ConnectionState::Unread => "unread",
            ConnectionState::New => "new",
            ConnectionState::Idle => "resting",
        }
    }
}

/// Counts of what was read from a connection and of requests in flight.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    bytes: Cell<usize>,
    http2: Cell<bool>,
    in_flight: Cell<usize>,
    partial_head: Cell<bool>,
    served: Cell<bool>,
    unread_timeout: Cell<bool>,
    /// Whether bytes wait because the client has not read those before them.
    unsent: Cell<bool>,
    unread_bodies: UnreadBodies,
    failed_body: Cell<bool>,
}

impl Traffic {
    /// Records that the head of a request was read; the request is in flight until the guard
    /// is dropped.
    pub(crate) fn enter(self: &Rc<Traffic>) -> InFlight {
        self.partial_head.set(false);
        self.served.set(true);
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// State of the connection, from what was read and what is waiting in its socket.
    pub(crate) fn state(&self, socket: &TcpStream) -> ConnectionState {
        if self.in_flight.get() > 0 {
            ConnectionState::InFlight
        } else if self.partial_head.get() {
            ConnectionState::PartialHead
        } else if has_unread(socket) {
            ConnectionState::Unread
        } else if self.served.get() {
            ConnectionState::Idle
        } else {
            ConnectionState::New
        }
    }

    /// Whether all requests were read to their end and answered, and nothing of another one was
    /// read.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.get() == 0
            && !self.partial_head.get()
            && !self.unsent.get()
            && !self.has_unread_body()
    }

    /// Whether a body was not read to its end.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.unread_bodies.load(Ordering::Relaxed) > 0
    }

    pub(crate) fn unread_bodies(&self) -> &UnreadBodies {
        &self.unread_bodies
    }

    /// Whether the connection failed because the client did not read.
    pub(crate) fn left_unread(&self) -> bool {
        self.unread_timeout.get()
    }

    /// Records that a response's body failed whose end may be that of the connection.
    pub(crate) fn record_failed_body(&self) {
        self.failed_body.set(true);
    }

    /// Whether such a body failed.
    pub(crate) fn has_failed_body(&self) -> bool {
        self.failed_body.get()
    }

    fn read(&self, bytes: &[u8]) {
        if self.bytes.get() == 0 {
            self.http2.set(bytes.starts_with(HTTP2_PREFIX));
        }
        let all = self.bytes.get() + bytes.len();
        self.bytes.set(all);
        if self.http2.get() {
            self.partial_head.set(all < HTTP2_PREFACE_BYTES);
        } else if self.in_flight.get() == 0 && !bytes.is_empty() {
            self.partial_head.set(true);
        }
    }
}

/// A request in flight; dropping this ends it.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Traffic>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Whether bytes are waiting in the socket; does not block, as the socket is non-blocking.
fn has_unread(socket: &impl AsFd) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    // The stream's own read handles an end or an error.
    matches!(SockRef::from(socket).peek(&mut byte), Ok(1))
}

/// The transport of a connection.
pub(crate) enum Transport {
    Plain(PlainStream),
    Tls(Box<HyperStream<TcpStream>>),
}

impl Transport {
    fn poll_read(&mut self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>> {
        match self {
            Transport::Plain(stream) => stream.poll_read_bytes(cx, into),
            Transport::Tls(stream) => AsyncRead::poll_read(Pin::new(stream), cx, into),
        }
    }

    fn as_write(&mut self) -> Pin<&mut (dyn Write + Unpin)> {
        match self {
            Transport::Plain(stream) => Pin::new(stream),
            Transport::Tls(stream) => Pin::new(&mut **stream),
        }
    }
}

/// A stream that reports what it reads to a [`Traffic`].
pub(crate) struct WatchedStream {
    transport: Transport,
    traffic: Rc<Traffic>,
    /// Bytes that were read before and are to be read again.
    pending: Bytes,
    /// Time for which bytes may wait because the client does not read.
    unread_timeout: Option<Duration>,
    /// Runs while bytes wait.
    unread: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl WatchedStream {
    pub(crate) fn new(
        transport: Transport,
        traffic: Rc<Traffic>,
        unread_timeout: Option<Duration>,
    ) -> WatchedStream {
        WatchedStream { transport, traffic, pending: Bytes::new(), unread_timeout, unread: None }
    }

    /// Makes the stream return these bytes before any others.
    pub(crate) fn push_back(&mut self, bytes: Bytes) {
        self.pending = match self.pending.is_empty() {
            true => bytes,
            false => [bytes, mem::take(&mut self.pending)].concat().into(),
        };
    }

    /// Waits until there is something to read, or the end of the stream.
    pub(crate) fn poll_readable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &self.transport {
            Transport::Plain(stream) if self.pending.is_empty() => stream.poll_readable(cx),
            _ => Poll::Ready(Ok(())),
        }
    }

    /// Whether bytes are waiting to be read.
    pub(crate) fn has_unread(&self) -> bool {
        match &self.transport {
            Transport::Plain(stream) => !self.pending.is_empty() || has_unread(stream),
            Transport::Tls(_) => true,
        }
    }

    /// Reads into plain bytes.
    pub(crate) fn poll_read_bytes(
        &mut self,
        cx: &mut Context<'_>,
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.pending.is_empty() {
            return self.transport.poll_read(cx, into);
        }
        let length = self.pending.len().min(into.len());
        self.pending.copy_to_slice(&mut into[..length]);
        Poll::Ready(Ok(length))
    }

    /// Passes the result of a write on, or an error if writes have waited for too long.
    fn limited<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        self.traffic.unsent.set(polled.is_pending());
        let Some(timeout) = self.unread_timeout.filter(|_| polled.is_pending()) else {
            self.unread = None;
            return polled;
        };
        let unread = self.unread.get_or_insert_with(|| Box::pin(compio::time::sleep(timeout)));
        ready!(unread.as_mut().poll(cx));
        self.traffic.unread_timeout.set(true);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Read for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        poll_fill(into, |chunk| {
            let length = ready!(self.poll_read_bytes(cx, chunk))?;
            self.traffic.read(&chunk[..length]);
            Poll::Ready(Ok(length))
        })
    }
}

impl Write for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = self.transport.as_write().poll_write(cx, bytes);
        self.limited(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = self.transport.as_write().poll_flush(cx);
        self.limited(cx, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.transport.as_write().poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.transport.as_write().poll_write_vectored(cx, slices);
        self.limited(cx, polled)
    }
}
