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

use super::caller::ConnectionActivity;

/// How a error_response of the library begins.
const ERROR_RESPONSE_PREFIX: &[u8] = b"HTTP/1.1 4";

/// How a error_response of the library ends.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The line that is added.
const OUTCOME_LINE: &[u8] = b"arbutusshelf-outcome: not-run\r\n";

/// Name in the added line, as this instance's own answers have it.
const OUTCOME_HEADER: &[u8] = b"arbutusshelf-outcome";

/// A caller's socket.
#[derive(Debug)]
pub(super) struct CallerStream {
    inner: TcpStream,
    activity: Arc<ConnectionActivity>,
    error_response: Option<ErrorResponse>,
}

/// A error_response that is being written with its outcome.
#[derive(Debug)]
struct ErrorResponse {
    bytes: Vec<u8>,
    written: usize,
    /// Bytes that the library consumed over.
    consumed: usize,
}

impl CallerStream {
    /// Wraps a socket; `activity` tells when an answer of this instance may be on its way.
    pub(super) fn new(inner: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        Self { inner, activity, error_response: None }
    }

    fn is_library_error(&self, bytes: &[u8]) -> bool {
        bytes.starts_with(ERROR_RESPONSE_PREFIX)
            && bytes.ends_with(HEAD_END)
            && !self.activity.is_busy()
            && !bytes.windows(OUTCOME_HEADER.len()).any(|w| w == OUTCOME_HEADER)
    }

    fn poll_error_response(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize>> {
        let Some(error_response) = &mut self.error_response else { return Poll::Ready(Ok(0)) };
        while error_response.written < error_response.bytes.len() {
            let rest = &error_response.bytes[error_response.written..];
            error_response.written += ready!(Pin::new(&mut self.inner).poll_write(cx, rest))?;
        }
        let consumed = error_response.consumed;
        self.error_response = None;
        Poll::Ready(Ok(consumed))
    }
}

fn with_outcome(bytes: &[u8]) -> Vec<u8> {
    let headers_end = bytes.len() - HEAD_END.len() / 2;
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
        if self.error_response.is_none() && self.is_library_error(bytes) {
            self.error_response =
                Some(ErrorResponse { bytes: with_outcome(bytes), written: 0, consumed: bytes.len() });
        }
        if self.error_response.is_some() {
            return self.poll_error_response(cx);
        }
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let first = slices.first().map_or(&[][..], |s| s);
        if self.error_response.is_some() || self.is_library_error(first) {
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
