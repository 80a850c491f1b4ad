//! Limits the bytes that a target may send before the head of its response is complete.
//!
//! The HTTP library limits the size of one head, but skips interim responses however many there are. A target
//! that sends them without end would keep the processor busy until the request's deadline.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Number of bytes that may still be read from a connection; clones share it.
#[derive(Debug, Clone)]
pub struct ReadAllowance(
    /// Invariant: `usize::MAX` stands for any number.
    Arc<AtomicUsize>,
);

impl Default for ReadAllowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl ReadAllowance {
    /// Allows `bytes` from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Release);
    }

    /// Allows any number of bytes from now on.
    pub fn lift(&self) {
        self.set(usize::MAX);
    }

    /// Takes `bytes` off. Returns whether that many were allowed.
    fn take(&self, bytes: usize) -> bool {
        let rest =
            |allowed: usize| if allowed == usize::MAX { Some(allowed) } else { allowed.checked_sub(bytes) };
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, rest).is_ok()
    }
}

/// A TCP stream whose reads fail once more bytes have arrived than allowed.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl LimitedStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if self.allowance.take(buffer.filled().len() - filled_before) {
            return result;
        }
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "response head exceeds the limit")))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
