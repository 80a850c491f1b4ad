//! Responses to callers: a target's response, or an error response with `Retry-After`.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header::{self, HeaderValue},
};
use tokio::{sync::mpsc::Receiver, time::Instant};

use super::passed_body::{self, BodyGuard, BodyPart};
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

/// The unread part of a response body.
#[derive(Debug)]
struct Remainder {
    parts: Receiver<BodyPart>,
    /// Bytes that are still to come; `None` if the body states no length.
    remaining_bytes: Option<u64>,
}

impl ResponseBody {
    /// Creates a body that has been received in full.
    pub fn complete(chunks: VecDeque<Bytes>) -> Self {
        Self { chunks, remainder: None }
    }

    /// Creates a body that starts with `chunks` and forwards the frames of `body` as they arrive. It breaks off
    /// if `body` has not ended by `deadline`, whether it states a length or not.
    pub fn streaming(chunks: VecDeque<Bytes>, body: Incoming, guard: BodyGuard, deadline: Instant) -> Self {
        let remaining_bytes = body.size_hint().exact();
        let parts = passed_body::start(body, guard, deadline);
        Self { chunks, remainder: Some(Box::new(Remainder { parts, remaining_bytes })) }
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
        let Some(remainder) = &mut self.remainder else { return Poll::Ready(None) };
        match ready!(remainder.parts.poll_recv(cx)) {
            Some(BodyPart::Chunk(chunk)) => {
                let remaining_bytes = &mut remainder.remaining_bytes;
                *remaining_bytes = remaining_bytes.map(|bytes| bytes.saturating_sub(chunk.len() as u64));
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            Some(BodyPart::End) => {
                self.remainder = None;
                Poll::Ready(None)
            }
            None => {
                self.remainder = None;
                Poll::Ready(Some(Err(BodyError::Truncated)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.remainder.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.chunks.iter().map(Bytes::len).sum::<usize>() as u64;
        let Some(remainder) = &self.remainder else { return SizeHint::with_exact(buffered) };
        if let Some(remaining_bytes) = remainder.remaining_bytes {
            return SizeHint::with_exact(buffered + remaining_bytes);
        }
        let mut hint = SizeHint::new();
        hint.set_lower(buffered);
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
