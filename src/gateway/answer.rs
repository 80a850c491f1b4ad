//! Answers to callers: a target's own, or an error with the time after which to come back.

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

use super::exchange::SendGuard;
use crate::{
    error::ErrorKind,
    proxy::{body::BodyError, headers},
};

/// Body of an answer.
#[derive(Debug, Default)]
pub struct AnswerBody {
    /// Pieces that have arrived and are not passed on yet.
    pieces: VecDeque<Bytes>,
    /// The rest, while it still comes from a target.
    rest: Option<Box<Rest>>,
}

/// A body that a target still sends.
#[derive(Debug)]
struct Rest {
    body: Incoming,
    guard: SendGuard,
}

impl AnswerBody {
    /// Makes the body of an answer that has arrived whole.
    pub fn whole(pieces: VecDeque<Bytes>) -> Self {
        Self { pieces, rest: None }
    }

    /// Makes the body of an answer whose rest is passed on as it arrives.
    pub fn partial(pieces: VecDeque<Bytes>, body: Incoming, guard: SendGuard) -> Self {
        Self { pieces, rest: Some(Box::new(Rest { body, guard })) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(piece) = self.pieces.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        let Some(mut rest) = self.rest.take() else { return Poll::Ready(None) };
        match Pin::new(&mut rest.body).poll_frame(cx) {
            Poll::Pending => {
                self.rest = Some(rest);
                Poll::Pending
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.rest = Some(rest);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                rest.guard.broke_off();
                Poll::Ready(Some(Err(BodyError::Truncated)))
            }
            Poll::Ready(None) => {
                rest.guard.answered();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let arrived = self.pieces.iter().map(Bytes::len).sum::<usize>() as u64;
        let Some(rest) = &self.rest else { return SizeHint::with_exact(arrived) };
        let rest = rest.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(arrived + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(arrived + upper);
        }
        hint
    }
}

/// Makes the answer for an error; `retry_after` is told where the request has not run.
pub fn refusal(kind: ErrorKind, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let answer = kind.answer();
    let text = Bytes::from(format!("{{\"outcome\":\"{}\",\"cause\":\"{kind}\"}}\n", answer.outcome));
    let mut response = Response::new(AnswerBody::whole(VecDeque::from([text])));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers::set_outcome(fields, answer.outcome);
    if let Ok(cause) = HeaderValue::from_str(&kind.to_string()) {
        fields.insert(headers::CAUSE, cause);
    }
    if let Some(after) = retry_after.filter(|_| answer.retry_after_s.is_some()) {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            fields.insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}
