//! Connections on which requests are sent, and what counts as an answer.
//!
//! An answer with neither a length nor chunks ends with its connection. If the
//! peer ends the connection before it has received the whole request, it may
//! have given up within its answer. The reset that follows is no help: after
//! an orderly end, reads report only that end, and a reset is reported once,
//! to a read or to a write. So [`Outgoing`] reports an end within a request as
//! an error.

use std::{
    ffi::c_int,
    io,
    os::fd::AsRawFd,
    pin::Pin,
    task::{Context, Poll},
};

use http::StatusCode;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection that fails if its peer ends it within a request.
#[derive(Debug)]
pub(crate) struct Outgoing {
    stream: TcpStream,
    /// Whether the system has not taken all of the last write.
    has_unwritten: bool,
}

impl Outgoing {
    pub fn new(stream: TcpStream) -> Outgoing {
        Outgoing { stream, has_unwritten: false }
    }

    fn note_write(&mut self, bytes: usize, written: &Poll<io::Result<usize>>) {
        self.has_unwritten = match written {
            Poll::Ready(Ok(count)) => *count < bytes,
            Poll::Ready(Err(_)) | Poll::Pending => true,
        };
    }

    /// Whether the peer lacks a part of what was to be sent to it.
    ///
    /// A peer that has read all of it has acknowledged it before it ends the
    /// connection.
    fn is_within_request(&self) -> bool {
        self.has_unwritten || unacknowledged_bytes(&self.stream) > 0
    }
}

impl AsyncRead for Outgoing {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let has_ended = matches!(polled, Poll::Ready(Ok(())))
            && has_room
            && buffer.filled().len() == before;
        if has_ended && self.is_within_request() {
            let kind = io::ErrorKind::ConnectionReset;
            let text = "the connection ended within the request";
            return Poll::Ready(Err(io::Error::new(kind, text)));
        }
        polled
    }
}

impl AsyncWrite for Outgoing {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let bytes = slices.iter().map(|slice| slice.len()).sum();
        let written =
            Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(bytes, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Returns true for the status of an answer, whatever it says. Callers can't
/// interpret other numbers, and the one of a switch of protocols would make
/// them wait for more.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

nix::ioctl_read_bad!(
    /// Reads the number of bytes that were written to a TCP socket and that
    /// its peer has not acknowledged (`SIOCOUTQ`).
    read_unacknowledged_bytes,
    nix::libc::TIOCOUTQ,
    c_int
);

/// Returns the number of bytes that were written to a connection and that its
/// peer has not acknowledged, or 0 where the system does not say.
fn unacknowledged_bytes(stream: &TcpStream) -> c_int {
    let mut bytes = 0;
    // SAFETY: the descriptor is open while `stream` is borrowed, and the call
    // writes one `int` to `bytes`.
    let read =
        unsafe { read_unacknowledged_bytes(stream.as_raw_fd(), &mut bytes) };
    read.map_or(0, |_| bytes)
}
