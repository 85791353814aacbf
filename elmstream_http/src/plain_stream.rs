//! A plain TCP stream for hyper without buffers of its own.
//!
//! Bytes go directly between hyper's buffers and the socket, so that a connection takes no memory
//! for them while nothing arrives, and a client that does not read holds up hyper instead of
//! filling a buffer.

use std::{
    io::{self, IoSlice, Read as _},
    net::Shutdown,
    os::fd::{AsFd, BorrowedFd},
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::{net::TcpStream, runtime::fd::PollFd};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::Socket;

/// Bytes read at once.
pub(crate) const READ_BYTES_MAX: usize = 8 << 10;

/// Reads at most [`READ_BYTES_MAX`] bytes into hyper's buffer, by way of initialized bytes that
/// `poll_read` fills; its result is the number of them that it filled.
///
/// # Errors
///
/// Those of `poll_read`.
pub(crate) fn poll_fill(
    mut into: ReadBufCursor<'_>,
    poll_read: impl FnOnce(&mut [u8]) -> Poll<io::Result<usize>>,
) -> Poll<io::Result<()>> {
    let mut chunk = [0; READ_BYTES_MAX];
    let room = into.remaining().min(READ_BYTES_MAX);
    let length = ready!(poll_read(&mut chunk[..room]))?;
    into.put_slice(&chunk[..length]);
    Poll::Ready(Ok(()))
}

/// A plain TCP stream.
#[derive(Debug)]
pub struct PlainStream {
    socket: PollFd<Socket>,
}

impl PlainStream {
    /// Wraps a connected stream.
    ///
    /// # Errors
    ///
    /// The runtime cannot wait for the socket.
    pub fn new(stream: TcpStream) -> io::Result<PlainStream> {
        Ok(PlainStream { socket: stream.into_poll_fd()? })
    }

    /// Waits until bytes or the end of the stream can be read.
    pub(crate) fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_read_ready(cx)
    }

    /// Reads into plain bytes.
    pub(crate) fn poll_read_bytes(
        &mut self,
        cx: &mut Context<'_>,
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match (&*self.socket).read(into) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.socket.poll_read_ready(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => return Poll::Ready(read),
            }
        }
    }

    /// Repeats a write until the socket takes bytes or fails.
    fn poll_send(
        &mut self,
        cx: &mut Context<'_>,
        send: impl Fn(&Socket) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            match send(&self.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.socket.poll_write_ready(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                sent => return Poll::Ready(sent),
            }
        }
    }
}

impl AsFd for PlainStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

impl Read for PlainStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        poll_fill(into, |chunk| self.poll_read_bytes(cx, chunk))
    }
}

impl Write for PlainStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |socket| socket.send_with_flags(bytes, libc::MSG_NOSIGNAL))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.socket.shutdown(Shutdown::Write) {
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |socket| socket.send_vectored_with_flags(slices, libc::MSG_NOSIGNAL))
    }
}
