//! A short answer of a target on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Sleep, sleep};

use super::{context::AnswerCount, send::SendGuard};
use crate::decide::AttemptEnd;

/// Why a body ended early; the message it belongs to ends as an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection that it came on broke.
    #[error("the body was cut")]
    Truncated,
    /// Nothing of it came for the progress timeout.
    #[error("the body stalled")]
    Stalled,
    /// It exceeds the limit in the settings.
    #[error("the body is too large")]
    TooLarge,
    /// The caller took nothing of it for the progress timeout.
    #[error("the caller stalled")]
    CallerStalled,
}

/// Passes a body on as the caller takes it and reports how it ended.
#[derive(Debug)]
pub struct TargetBody {
    inner: Incoming,
    /// Present until the end was reported.
    open: Option<(SendGuard, AnswerCount)>,
    progress_timeout: Duration,
    /// Present while the body is waited for.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl TargetBody {
    /// Wraps the body of a send's answer.
    pub fn new(inner: Incoming, guard: SendGuard, count: AnswerCount, progress_timeout: Duration) -> Self {
        let mut body = Self { inner, open: Some((guard, count)), progress_timeout, stalled: None };
        if body.inner.is_end_stream() {
            body.end_whole();
        }
        body
    }

    fn end_whole(&mut self) {
        if let Some((guard, count)) = self.open.take() {
            guard.end(AttemptEnd::Answered);
            count.whole();
        }
    }

    fn end_cut(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some((guard, count)) = self.open.take() {
            guard.end(AttemptEnd::Lost);
            count.cut();
        }
        Poll::Ready(Some(Err(error)))
    }

    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout = self.progress_timeout;
        self.stalled.get_or_insert_with(|| Box::pin(sleep(timeout))).as_mut().poll(cx)
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.inner).poll_frame(cx) else {
            ready!(self.poll_stalled(cx));
            return self.end_cut(BodyError::Stalled);
        };
        self.stalled = None;
        match frame {
            Some(Ok(frame)) => {
                if self.inner.is_end_stream() {
                    self.end_whole();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => self.end_cut(BodyError::Truncated),
            None => {
                self.end_whole();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.open.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
