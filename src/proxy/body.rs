//! Response body that is forwarded from a target to the caller without read-ahead.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Sleep, sleep};

use super::{attempt::AttemptGuard, context::CallRecorder};
use crate::decide::AttemptEnd;

/// Why a body ended early. The request or response that it belongs to then ends with an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection that carried the body broke before its end.
    #[error("the connection closed before the body was complete")]
    Truncated,
    /// No data arrived for the progress timeout.
    #[error("no body data arrived within the progress timeout")]
    Stalled,
    /// The body exceeds the limit in the settings.
    #[error("the body exceeds the configured size limit")]
    TooLarge,
    /// The caller accepted no data for the progress timeout.
    #[error("the caller read no body data within the progress timeout")]
    CallerStalled,
}

/// Forwards a body as the caller reads it and reports how the attempt and the call ended.
#[derive(Debug)]
pub struct DirectBody {
    inner: Incoming,
    /// Present until the end has been reported.
    unreported: Option<(AttemptGuard, CallRecorder)>,
    progress_timeout: Duration,
    /// Present while the next frame is awaited.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl DirectBody {
    /// Wraps the body of an attempt's response.
    pub fn new(
        inner: Incoming,
        guard: AttemptGuard,
        recorder: CallRecorder,
        progress_timeout: Duration,
    ) -> Self {
        let mut body =
            Self { inner, unreported: Some((guard, recorder)), progress_timeout, stall_timer: None };
        if body.inner.is_end_stream() {
            body.finish_complete();
        }
        body
    }

    fn finish_complete(&mut self) {
        if let Some((guard, recorder)) = self.unreported.take() {
            guard.end(AttemptEnd::Answered);
            recorder.record_complete();
        }
    }

    fn finish_truncated(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some((guard, recorder)) = self.unreported.take() {
            guard.end(AttemptEnd::Lost);
            recorder.record_truncated();
        }
        Poll::Ready(Some(Err(error)))
    }

    fn poll_stall_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout = self.progress_timeout;
        self.stall_timer.get_or_insert_with(|| Box::pin(sleep(timeout))).as_mut().poll(cx)
    }
}

impl Body for DirectBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.inner).poll_frame(cx) else {
            ready!(self.poll_stall_timer(cx));
            return self.finish_truncated(BodyError::Stalled);
        };
        self.stall_timer = None;
        match frame {
            Some(Ok(frame)) => {
                if self.inner.is_end_stream() {
                    self.finish_complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => self.finish_truncated(BodyError::Truncated),
            None => {
                self.finish_complete();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.unreported.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
