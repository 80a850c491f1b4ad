//! Answers to callers: each has exactly one outcome.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
    http::response::Parts,
};

use super::{
    body::BodyError,
    headers::{self, CAUSE, STORED, set_outcome},
};
use crate::{
    claims::WholeAnswer,
    error::{ErrorKind, Outcome},
};

/// Body of an answer to a caller.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// An answer to a caller.
///
/// It can be made only from a target's answer ([`CallerResponse::ran`]), from an [`ErrorKind`] ([`error_response`]) or from a
/// stored answer ([`stored_response`]), so none leaves without one of the three outcomes.
#[derive(Debug)]
pub struct CallerResponse {
    outcome: Outcome,
    /// Invariant: carries the header of `outcome`, and no outcome that a target set.
    response: Response<ResponseBody>,
}

impl CallerResponse {
    /// Passes on a target's answer.
    pub fn from_target(mut head: Parts, body: ResponseBody) -> Self {
        headers::strip_non_forwardable(&mut head.headers);
        Self::new(Outcome::Ran, Response::from_parts(head, body))
    }

    fn new(outcome: Outcome, mut response: Response<ResponseBody>) -> Self {
        set_outcome(response.headers_mut(), outcome);
        Self { outcome, response }
    }

    /// Returns what the caller is told about its request.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Splits the answer into head and body.
    pub fn into_parts(self) -> (Parts, ResponseBody) {
        self.response.into_parts()
    }

    /// Returns the answer as it is sent.
    pub fn into_response(self) -> Response<ResponseBody> {
        self.response
    }
}

/// Wraps bytes as an answer's body.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}

/// Makes the answer for an error kind; `retry_after` replaces the kind's own.
pub fn error_response(kind: ErrorKind, retry_after: Option<Duration>) -> CallerResponse {
    let answer = kind.answer();
    let text = format!("{{\"outcome\":\"{}\",\"cause\":\"{kind}\"}}\n", answer.outcome);
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(cause) = HeaderValue::from_str(&kind.to_string()) {
        headers.insert(CAUSE, cause);
    }
    let stated_s = retry_after.map(|d| d.as_secs_f64().ceil() as u32);
    if let Some(retry_after_s) = answer.retry_after_s.map(|own| stated_s.unwrap_or(own).max(1)) {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    CallerResponse::new(answer.outcome, response)
}

/// Makes the answer that was stored when the request first ran.
pub fn stored_response(answer: WholeAnswer, repeated: bool) -> CallerResponse {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let content_type = answer.content_type.and_then(|t| HeaderValue::from_str(&t).ok());
    if let Some(content_type) = content_type {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if repeated {
        headers.insert(STORED, HeaderValue::from_static("1"));
    }
    CallerResponse::new(Outcome::Ran, response)
}
