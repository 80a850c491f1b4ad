//! A target's answer on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use super::call::SendGuard;
use crate::decide::AttemptEnd;

/// Why an answer's body ended early; the caller's connection is reset.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The target's connection broke.
    #[error("the target's answer was cut")]
    Cut,
    /// The target sent nothing for the progress timeout.
    #[error("the target's answer stalled")]
    Stalled,
}

/// Passes a body on and reports how it ended.
#[derive(Debug)]
pub struct TargetBody {
    inner: Incoming,
    /// Present until the end was reported.
    guard: Option<SendGuard>,
    progress_timeout: Duration,
    stalled: Pin<Box<Sleep>>,
}

impl TargetBody {
    /// Wraps the body of a send's answer.
    pub fn new(inner: Incoming, guard: SendGuard, progress_timeout: Duration) -> Self {
        let stalled = Box::pin(sleep(progress_timeout));
        let mut body = Self { inner, guard: Some(guard), progress_timeout, stalled };
        if body.inner.is_end_stream() {
            body.end(AttemptEnd::Answered);
        }
        body
    }

    fn end(&mut self, end: AttemptEnd) {
        if let Some(guard) = self.guard.take() {
            guard.end(end);
        }
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
            ready!(self.stalled.as_mut().poll(cx));
            self.end(AttemptEnd::Lost);
            return Poll::Ready(Some(Err(BodyError::Stalled)));
        };
        let next = match frame {
            Some(Ok(frame)) => {
                let deadline = Instant::now() + self.progress_timeout;
                self.stalled.as_mut().reset(deadline);
                if self.inner.is_end_stream() {
                    self.end(AttemptEnd::Answered);
                }
                Some(Ok(frame))
            }
            Some(Err(_)) => {
                self.end(AttemptEnd::Lost);
                Some(Err(BodyError::Cut))
            }
            None => {
                self.end(AttemptEnd::Answered);
                None
            }
        };
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
