//! A connection's stream that tells how far its requests have come.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;

/// Bytes that are read at once; compio's own buffer has as many.
const CHUNK: usize = 8 << 10;
/// What a connection of HTTP/2 begins with; no method of HTTP/1.1 does.
const HTTP2_BEGINS: &[u8] = b"PRI";
/// Bytes after which a connection of HTTP/2 can be shut down by its own protocol.
const HTTP2_PREFACE: usize = 24;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ConnectionState {
    /// A request is being answered.
    InFlight,
    /// A part of the next request's head was read.
    Begun,
    /// Bytes lie in the socket that were not read.
    Unread,
    /// It has not sent anything yet.
    New,
    /// It has had answers, and rests.
    Resting,
}

impl ConnectionState {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionState::InFlight => "in_flight",
            ConnectionState::Begun => "begun",
            ConnectionState::Unread => "unread",
            ConnectionState::New => "new",
            ConnectionState::Resting => "resting",
        }
    }
}

/// What was read from a connection, and what became of it.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    bytes: Cell<usize>,
    http2: Cell<bool>,
    in_flight: Cell<usize>,
    begun: Cell<bool>,
    served: Cell<bool>,
}

impl Traffic {
    /// A request's head was taken; it counts as in flight until the guard is dropped.
    pub(crate) fn enter(self: &Rc<Traffic>) -> InFlight {
        self.begun.set(false);
        self.served.set(true);
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// How far the connection is, by what was read and what lies in its socket.
    pub(crate) fn state(&self, socket: &TcpStream) -> ConnectionState {
        if self.in_flight.get() > 0 {
            ConnectionState::InFlight
        } else if self.begun.get() {
            ConnectionState::Begun
        } else if unread(socket) {
            ConnectionState::Unread
        } else if self.served.get() {
            ConnectionState::Resting
        } else {
            ConnectionState::New
        }
    }

    fn read(&self, bytes: &[u8]) {
        if self.bytes.get() == 0 {
            self.http2.set(bytes.starts_with(HTTP2_BEGINS));
        }
        let all = self.bytes.get() + bytes.len();
        self.bytes.set(all);
        if self.http2.get() {
            self.begun.set(all < HTTP2_PREFACE);
        } else if self.in_flight.get() == 0 && !bytes.is_empty() {
            self.begun.set(true);
        }
    }
}

/// A request that is being answered, until this is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Traffic>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Whether bytes lie in the socket; the socket does not block.
fn unread(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    // An end or an error is left for the stream's own read to find.
    matches!(SockRef::from(socket).peek(&mut byte), Ok(1))
}

/// The stream.
pub(crate) struct WatchedStream {
    stream: HyperStream<TcpStream>,
    traffic: Rc<Traffic>,
}

impl WatchedStream {
    pub(crate) fn new(stream: HyperStream<TcpStream>, traffic: Rc<Traffic>) -> WatchedStream {
        WatchedStream { stream, traffic }
    }
}

impl Read for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK];
        let room = into.remaining().min(CHUNK);
        let reading = AsyncRead::poll_read(Pin::new(&mut self.stream), cx, &mut chunk[..room]);
        let bytes = &chunk[..ready!(reading)?];
        self.traffic.read(bytes);
        into.put_slice(bytes);
        Poll::Ready(Ok(()))
    }
}

impl Write for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write(Pin::new(&mut self.stream), cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.stream), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.stream), cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write_vectored(Pin::new(&mut self.stream), cx, slices)
    }
}
