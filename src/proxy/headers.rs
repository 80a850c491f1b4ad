//! Headers of the project's own, and those that must not be passed on.

use hyper::{
    HeaderMap, Method, Response, Version,
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};

use crate::{
    error::{ErrorKind, Outcome},
    observe::request_id::RequestId,
};

/// What a caller is told about its request.
pub const OUTCOME: HeaderName = HeaderName::from_static("arbutusshelf-outcome");

/// Why, as an [`ErrorKind`]; absent when the target answered.
pub const CAUSE: HeaderName = HeaderName::from_static("arbutusshelf-cause");

/// Remaining time in milliseconds; from callers and to targets.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("arbutusshelf-deadline-ms");

/// Attempts before this one along the chain of calls; from callers and to targets.
pub const ATTEMPT: HeaderName = HeaderName::from_static("arbutusshelf-attempt");

/// Identifier that follows a call through logs and to the target.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("arbutusshelf-request-id");

/// Marks an answer that was stored when the request first ran.
pub const STORED: HeaderName = HeaderName::from_static("arbutusshelf-stored");

/// Requests a target holds, on its answers.
pub const LOAD: HeaderName = HeaderName::from_static("arbutusshelf-load");

/// `draining` when a target takes no new requests, on its answers.
pub const TARGET_STATE: HeaderName = HeaderName::from_static("arbutusshelf-state");

/// Name of the key of an at-most-once request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes headers that concern one connection only, and those that only this instance may set.
pub fn strip_non_forwardable(headers: &mut HeaderMap) {
    let listed = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect::<Vec<_>>();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
    for name in [OUTCOME, CAUSE, STORED, LOAD, TARGET_STATE] {
        headers.remove(name);
    }
}

/// Reads the caller's remaining time.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when it is not a number.
pub fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, ErrorKind> {
    number(headers, &DEADLINE_MS)
}

/// Reads the attempt mark, 0 when there is none.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when it is not a number.
pub fn prior_attempts(headers: &HeaderMap) -> Result<u32, ErrorKind> {
    let attempts = number(headers, &ATTEMPT)?.unwrap_or(0);
    Ok(u32::try_from(attempts).unwrap_or(u32::MAX))
}

/// Reads a header that holds a number.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when it does not.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, ErrorKind> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(ErrorKind::BadRequest)
}

/// Refuses requests whose head two readers could read differently.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] for two ways to tell the body's length, several `Host` headers, or none on HTTP/1.1.
pub fn check_unambiguous(head: &Parts) -> Result<(), ErrorKind> {
    let fields = &head.headers;
    let two_lengths =
        fields.contains_key(header::CONTENT_LENGTH) && fields.contains_key(header::TRANSFER_ENCODING);
    let hosts = fields.get_all(header::HOST).iter().count();
    let no_host = head.version == Version::HTTP_11 && hosts == 0;
    let tunnel = head.method == Method::CONNECT;
    if two_lengths || hosts > 1 || no_host || tunnel { Err(ErrorKind::BadRequest) } else { Ok(()) }
}

/// Sets the outcome of an answer.
pub fn set_outcome(headers: &mut HeaderMap, outcome: Outcome) {
    let text = match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    };
    headers.insert(OUTCOME, HeaderValue::from_static(text));
}

/// Tells a caller the identifier of its request.
pub fn set_request_id<B>(response: &mut Response<B>, id: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

/// Tells a caller on HTTP/1.1 to open a new connection for its next request.
pub fn announce_close<B>(response: &mut Response<B>) {
    if response.version() == Version::HTTP_11 {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}
