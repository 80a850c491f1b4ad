//! A caller's socket; gives the HTTP library's own refusals their outcome.
//!
//! The library answers malformed heads itself, before a request exists that could be answered here. Such an
//! answer is a head of status 4xx without a body and the last thing on its connection.

use std::{
    io::{IoSlice, Result},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::caller::Activity;

/// How a refusal of the library begins.
const REFUSAL_START: &[u8] = b"HTTP/1.1 4";

/// How a refusal of the library ends.
const REFUSAL_END: &[u8] = b"\r\n\r\n";

/// The line that is added.
const OUTCOME_LINE: &[u8] = b"arbutusshelf-outcome: not-run\r\n";

/// Name in the added line, as this instance's own answers have it.
const OUTCOME_NAME: &[u8] = b"arbutusshelf-outcome";

/// A caller's socket.
#[derive(Debug)]
pub(super) struct CallerStream {
    inner: TcpStream,
    activity: Arc<Activity>,
    refusal: Option<Refusal>,
}

/// A refusal that is being written with its outcome.
#[derive(Debug)]
struct Refusal {
    bytes: Vec<u8>,
    written: usize,
    /// Bytes that the library handed over.
    handed: usize,
}

impl CallerStream {
    /// Wraps a socket; `activity` tells when an answer of this instance may be on its way.
    pub(super) fn new(inner: TcpStream, activity: Arc<Activity>) -> Self {
        Self { inner, activity, refusal: None }
    }

    fn is_own_refusal(&self, bytes: &[u8]) -> bool {
        bytes.starts_with(REFUSAL_START)
            && bytes.ends_with(REFUSAL_END)
            && !self.activity.is_busy()
            && !bytes.windows(OUTCOME_NAME.len()).any(|w| w == OUTCOME_NAME)
    }

    fn poll_refusal(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize>> {
        let Some(refusal) = &mut self.refusal else { return Poll::Ready(Ok(0)) };
        while refusal.written < refusal.bytes.len() {
            let rest = &refusal.bytes[refusal.written..];
            refusal.written += ready!(Pin::new(&mut self.inner).poll_write(cx, rest))?;
        }
        let handed = refusal.handed;
        self.refusal = None;
        Poll::Ready(Ok(handed))
    }
}

fn with_outcome(bytes: &[u8]) -> Vec<u8> {
    let headers_end = bytes.len() - REFUSAL_END.len() / 2;
    [&bytes[..headers_end], OUTCOME_LINE, &bytes[headers_end..]].concat()
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        if self.refusal.is_none() && self.is_own_refusal(bytes) {
            self.refusal = Some(Refusal { bytes: with_outcome(bytes), written: 0, handed: bytes.len() });
        }
        if self.refusal.is_some() {
            return self.poll_refusal(cx);
        }
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let first = slices.first().map_or(&[][..], |s| s);
        if self.refusal.is_some() || self.is_own_refusal(first) {
            return self.poll_write(cx, first);
        }
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
