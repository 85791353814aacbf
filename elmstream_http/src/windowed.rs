//! A stream that takes bytes to send only as fast as the other side reads them.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};

/// Bytes that are taken before the ones taken earlier must be in the socket. Without it compio
/// copies up to 64 MiB for a peer that does not read.
const WINDOW_BYTES: usize = 32 << 10;

/// A stream whose buffer of bytes to send may be bounded.
pub struct WindowedStream {
    stream: HyperStream<TcpStream>,
    /// Whether the buffer is bounded.
    windowed: bool,
    /// Bytes taken since the last completed flush.
    taken: usize,
}

impl WindowedStream {
    /// Wraps a plain TCP stream; passes everything on as it is unless `windowed`.
    pub fn new_plain(stream: TcpStream, windowed: bool) -> WindowedStream {
        WindowedStream::new(HyperStream::new_plain(stream), windowed)
    }

    pub(crate) fn new(stream: HyperStream<TcpStream>, windowed: bool) -> WindowedStream {
        WindowedStream { stream, windowed, taken: 0 }
    }

    /// Reads into plain bytes.
    pub(crate) fn poll_read_bytes(
        &mut self,
        cx: &mut Context<'_>,
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        AsyncRead::poll_read(Pin::new(&mut self.stream), cx, into)
    }
}

impl Read for WindowedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Read::poll_read(Pin::new(&mut self.stream), cx, into)
    }
}

impl Write for WindowedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.windowed {
            return Write::poll_write(Pin::new(&mut self.stream), cx, bytes);
        }
        if self.taken >= WINDOW_BYTES {
            ready!(self.as_mut().poll_flush(cx))?;
        }
        let room = bytes.len().min(WINDOW_BYTES - self.taken);
        let taken = ready!(Write::poll_write(Pin::new(&mut self.stream), cx, &bytes[..room]))?;
        self.taken += taken;
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Write::poll_flush(Pin::new(&mut self.stream), cx))?;
        self.taken = 0;
        Poll::Ready(Ok(()))
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
        if !self.windowed {
            return Write::poll_write_vectored(Pin::new(&mut self.stream), cx, slices);
        }
        let first = slices.iter().find(|slice| !slice.is_empty());
        self.poll_write(cx, first.map_or(&[][..], |slice| slice))
    }
}
