//! Headers defined by this project, and the rules for which headers are forwarded.

use hyper::{
    HeaderMap, Method, Response, Version,
    header::{self, HeaderName, HeaderValue},
    http::{request::Parts, response},
};

use crate::{
    error::{ErrorKind, Outcome},
    observe::request_id::RequestId,
    peer::forward::{FORWARD, FORWARDED_TO},
};

/// Outcome of the request, on responses to callers.
pub const OUTCOME: HeaderName = HeaderName::from_static("arbutusshelf-outcome");

/// Error as an [`ErrorKind`], on responses to callers; absent when the target responded.
pub const CAUSE: HeaderName = HeaderName::from_static("arbutusshelf-cause");

/// Remaining time in milliseconds; sent by callers and to targets.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("arbutusshelf-deadline-ms");

/// Number of attempts made before this one, including those of earlier hops; sent by callers and to targets.
pub const ATTEMPT: HeaderName = HeaderName::from_static("arbutusshelf-attempt");

/// Identifier of the call in logs; sent by callers, to targets and on responses.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("arbutusshelf-request-id");

/// Marks a response that was stored by an earlier request with the same key.
pub const STORED: HeaderName = HeaderName::from_static("arbutusshelf-stored");

/// Number of requests that a target is processing, on its responses.
pub const LOAD: HeaderName = HeaderName::from_static("arbutusshelf-load");

/// `draining` when a target wants no new requests, on its responses.
pub const TARGET_STATE: HeaderName = HeaderName::from_static("arbutusshelf-state");

/// Key that identifies an at-most-once request; chosen by the caller.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that apply to a single connection.
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

/// Removes headers that apply to a single connection, and those that only this instance may set.
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
    for name in [OUTCOME, CAUSE, STORED, LOAD, TARGET_STATE, FORWARD, FORWARDED_TO] {
        headers.remove(name);
    }
}

/// Makes a response's head one that can be forwarded: without what applies to the connection that it came on.
pub fn make_forwardable(head: &mut response::Parts) {
    // In another version a body of unknown length could be forwarded only without a mark of its end.
    head.version = Version::HTTP_11;
    strip_non_forwardable(&mut head.headers);
}

/// Returns the remaining time that the caller states, in milliseconds.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when the header is not a number.
pub fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, ErrorKind> {
    number(headers, &DEADLINE_MS)
}

/// Returns the number of earlier attempts that the caller states, or 0 without the header.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when the header is not a number.
pub fn prior_attempts(headers: &HeaderMap) -> Result<u32, ErrorKind> {
    let attempts = number(headers, &ATTEMPT)?.unwrap_or(0);
    Ok(u32::try_from(attempts).unwrap_or(u32::MAX))
}

/// Returns the value of a numeric header; `None` if it is absent.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when the value is not a number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, ErrorKind> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(ErrorKind::BadRequest)
}

/// Rejects requests that two HTTP implementations could interpret differently (request smuggling), and
/// tunnels.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] for two forms of body length, for several `Host` headers or none on HTTP/1.1,
/// and for `CONNECT`.
pub fn check_unambiguous(head: &Parts) -> Result<(), ErrorKind> {
    let fields = &head.headers;
    let two_lengths =
        fields.contains_key(header::CONTENT_LENGTH) && fields.contains_key(header::TRANSFER_ENCODING);
    let hosts = fields.get_all(header::HOST).iter().count();
    let no_host = head.version == Version::HTTP_11 && hosts == 0;
    let tunnel = head.method == Method::CONNECT;
    if two_lengths || hosts > 1 || no_host || tunnel { Err(ErrorKind::BadRequest) } else { Ok(()) }
}

/// Sets the outcome header of a response.
pub fn set_outcome(headers: &mut HeaderMap, outcome: Outcome) {
    let text = match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    };
    headers.insert(OUTCOME, HeaderValue::from_static(text));
}

/// Sets the request identifier header of a response.
pub fn set_request_id<B>(response: &mut Response<B>, id: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

/// Asks an HTTP/1.1 caller to use a new connection for its next request.
pub fn announce_close<B>(response: &mut Response<B>) {
    if response.version() == Version::HTTP_11 {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}
