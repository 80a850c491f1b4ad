//! Responses to callers, each with exactly one outcome.

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
    claims::BufferedAnswer,
    error::{ErrorKind, Outcome},
};

/// Body of a response to a caller.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// A response to a caller.
///
/// It can be created only from a target's response ([`CallerResponse::from_target`]), from an [`ErrorKind`]
/// ([`error_response`]) or from a stored response ([`stored_response`]), so every response states one of the
/// three outcomes.
#[derive(Debug)]
pub struct CallerResponse {
    outcome: Outcome,
    /// Invariant: has the header for `outcome`, and no outcome header set by a target.
    response: Response<ResponseBody>,
}

impl CallerResponse {
    /// Creates the response that forwards a target's response.
    pub fn from_target(mut head: Parts, body: ResponseBody) -> Self {
        headers::make_forwardable(&mut head);
        Self::new(Outcome::Ran, Response::from_parts(head, body))
    }

    fn new(outcome: Outcome, mut response: Response<ResponseBody>) -> Self {
        set_outcome(response.headers_mut(), outcome);
        Self { outcome, response }
    }

    /// Returns the outcome stated to the caller.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Splits the response into head and body.
    pub fn into_parts(self) -> (Parts, ResponseBody) {
        self.response.into_parts()
    }

    /// Returns the HTTP response to send.
    pub fn into_response(self) -> Response<ResponseBody> {
        self.response
    }
}

/// Creates a response body from bytes in memory.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}

/// Creates the response for an error; `retry_after` replaces the default delay of `kind`, if it has one.
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
    let requested_s = retry_after.map(|d| d.as_secs_f64().ceil() as u32);
    if let Some(retry_after_s) = answer.retry_after_s.map(|default_s| requested_s.unwrap_or(default_s).max(1))
    {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    CallerResponse::new(answer.outcome, response)
}

/// Creates a response from the stored one; `repeated` marks it as stored by an earlier request.
pub fn stored_response(answer: BufferedAnswer, repeated: bool) -> CallerResponse {
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
