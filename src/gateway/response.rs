//! Responses to callers: a target's response, or an error response with `Retry-After`.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header::{self, HeaderValue},
};

use tokio::time::{Instant, Sleep, sleep_until};

use super::{exchange::SendGuard, forward::ForwardGuard};
use crate::{
    error::ErrorKind,
    proxy::{body::BodyError, headers},
};

/// Body of a response to a caller: buffered chunks, then what the target still sends.
#[derive(Debug, Default)]
pub struct ResponseBody {
    /// Chunks that have been received and not yet forwarded, oldest first.
    chunks: VecDeque<Bytes>,
    /// The part of the body that the target has not sent yet; `None` once the body has been received in full.
    remainder: Option<Box<Remainder>>,
}

/// What is done when a body that is still arriving ends, by where it comes from.
#[derive(Debug)]
pub enum BodyGuard {
    /// From a target.
    Send(Box<SendGuard>),
    /// From another instance.
    Forward(ForwardGuard),
}

impl BodyGuard {
    fn completed(self) {
        match self {
            Self::Send(guard) => guard.completed(),
            Self::Forward(guard) => guard.completed(),
        }
    }

    /// Ends a body that broke off. What this shows of the request is found out without its caller; of a forwarded
    /// one, the other instance finds it out.
    fn lost(self) {
        if let Self::Send(guard) = self {
            tokio::spawn(guard.lost());
        }
    }
}

/// The unread part of a target's response body.
#[derive(Debug)]
struct Remainder {
    body: Incoming,
    guard: BodyGuard,
    /// Ends at the time until which the body may go on. A body with a stated length may go on without end, too.
    deadline: Pin<Box<Sleep>>,
}

impl ResponseBody {
    /// Creates a body that has been received in full.
    pub fn complete(chunks: VecDeque<Bytes>) -> Self {
        Self { chunks, remainder: None }
    }

    /// Creates a body that starts with `chunks` and forwards the frames of `body` as they arrive. It breaks off
    /// if `body` has not ended by `deadline`.
    pub fn streaming(chunks: VecDeque<Bytes>, body: Incoming, guard: BodyGuard, deadline: Instant) -> Self {
        let deadline = Box::pin(sleep_until(deadline));
        Self { chunks, remainder: Some(Box::new(Remainder { body, guard, deadline })) }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(mut remainder) = self.remainder.take() else { return Poll::Ready(None) };
        if remainder.deadline.as_mut().poll(cx).is_ready() {
            remainder.guard.lost();
            return Poll::Ready(Some(Err(BodyError::Truncated)));
        }
        match Pin::new(&mut remainder.body).poll_frame(cx) {
            Poll::Pending => {
                self.remainder = Some(remainder);
                Poll::Pending
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.remainder = Some(remainder);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                remainder.guard.lost();
                Poll::Ready(Some(Err(BodyError::Truncated)))
            }
            Poll::Ready(None) => {
                remainder.guard.completed();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.remainder.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.chunks.iter().map(Bytes::len).sum::<usize>() as u64;
        let Some(remainder) = &self.remainder else { return SizeHint::with_exact(buffered) };
        let remainder = remainder.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(buffered + remainder.lower());
        if let Some(upper) = remainder.upper() {
            hint.set_upper(buffered + upper);
        }
        hint
    }
}

/// Creates the error response for `kind`. It carries `retry_after` only for kinds after which another
/// attempt may help.
pub fn error_response(kind: ErrorKind, retry_after: Option<Duration>) -> Response<ResponseBody> {
    let answer = kind.answer();
    let text = Bytes::from(format!("{{\"outcome\":\"{}\",\"cause\":\"{kind}\"}}\n", answer.outcome));
    let mut response = Response::new(ResponseBody::complete(VecDeque::from([text])));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers::set_outcome(headers, answer.outcome);
    if let Ok(cause) = HeaderValue::from_str(&kind.to_string()) {
        headers.insert(headers::CAUSE, cause);
    }
    if let Some(after) = retry_after.filter(|_| answer.retry_after_s.is_some()) {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}
