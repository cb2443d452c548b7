//! A bound on the bytes that one answer may take beyond its data.
//!
//! The HTTP library bounds a head, chunk extensions and trailers. It bounds
//! neither the number of interim (1xx) heads nor the digits of a chunk size,
//! and a faulty peer may send either without end. [`Bounded`] counts the bytes
//! of a connection, and [`Allowance`] is what an answer may still take until
//! more of its data has been read.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::outgoing::Outgoing;

/// Maximum size of an answer's head and of the library's read buffer, in
/// bytes: four times the largest head that callers may send by default.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes that may arrive without any data of the answer: interim heads, the
/// head, chunk framing and trailers. It also covers a full read buffer and a
/// frame that were read ahead.
const MAX_OVERHEAD_BYTES: i64 = 4 * MAX_HEAD_BYTES as i64;

/// Bytes of chunk framing allowed for each byte of data. A chunk of one byte
/// takes six.
const OVERHEAD_PER_DATA_BYTE: i64 = 32;

/// The bytes that a connection may still deliver.
#[derive(Debug)]
pub(crate) struct Allowance(AtomicI64);

impl Allowance {
    /// Starts the next answer.
    pub fn reset(&self) {
        self.0.store(MAX_OVERHEAD_BYTES, Ordering::Relaxed);
    }

    /// Allows more bytes after `count` bytes of data were read.
    pub fn grant(&self, count: usize) {
        let more = (count as i64).saturating_mul(1 + OVERHEAD_PER_DATA_BYTE);
        let _ = self.0.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |left| Some(left.saturating_add(more).min(MAX_OVERHEAD_BYTES)),
        );
    }

    /// Returns true once the bound was exceeded.
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) <= 0
    }
}

/// A connection that fails once its allowance is used up.
#[derive(Debug)]
pub(crate) struct Bounded {
    stream: Outgoing,
    allowance: Arc<Allowance>,
}

impl Bounded {
    /// Bounds the bytes that are read from `stream`.
    pub fn new(stream: TcpStream) -> (Bounded, Arc<Allowance>) {
        let allowance = Allowance(AtomicI64::new(MAX_OVERHEAD_BYTES));
        let allowance = Arc::new(allowance);
        let stream = Outgoing::new(stream);
        (Bounded { stream, allowance: allowance.clone() }, allowance)
    }
}

impl AsyncRead for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_exceeded() {
            let text = "the answer exceeds its bound";
            return Poll::Ready(Err(io::Error::other(text)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.allowance.0.fetch_sub(count as i64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
