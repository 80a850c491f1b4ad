//! Answers that this instance makes itself.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

use super::{
    body::BodyError,
    headers::{CAUSE, STORED, set_outcome},
};
use crate::{
    claims::WholeAnswer,
    error::{ErrorKind, Outcome},
};

/// Body of an answer to a caller.
pub type AnswerBody = BoxBody<Bytes, BodyError>;

/// Wraps bytes as an answer's body.
pub fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Makes the answer for an error kind; `retry_after` replaces the kind's own.
pub fn refusal(kind: ErrorKind, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let answer = kind.answer();
    let text = format!("{{\"outcome\":\"{}\",\"cause\":\"{kind}\"}}\n", answer.outcome);
    let mut response = Response::new(whole(Bytes::from(text)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_outcome(headers, answer.outcome);
    if let Ok(cause) = HeaderValue::from_str(&kind.to_string()) {
        headers.insert(CAUSE, cause);
    }
    let stated_s = retry_after.map(|d| d.as_secs_f64().ceil() as u32);
    if let Some(retry_after_s) = answer.retry_after_s.map(|own| stated_s.unwrap_or(own).max(1)) {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    response
}

/// Makes the answer that was stored when the request first ran.
pub fn stored(answer: WholeAnswer, repeated: bool) -> Response<AnswerBody> {
    let mut response = Response::new(whole(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    set_outcome(headers, Outcome::Ran);
    let content_type = answer.content_type.and_then(|t| HeaderValue::from_str(&t).ok());
    if let Some(content_type) = content_type {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if repeated {
        headers.insert(STORED, HeaderValue::from_static("1"));
    }
    response
}
