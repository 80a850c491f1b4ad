//! Validates incoming requests and buffers their bodies, or the start of long ones.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Request,
    body::{Body, Incoming},
    http::request::Parts,
};
use tokio::time::timeout;

use super::{
    call::{CallContext, RequestParts},
    headers,
    upload::{UnsentUpload, Upload},
};
use crate::{error::ErrorKind, kernel::Kernel, observe::calls, plan::RequestKind};

/// Largest body of an at-most-once request; it is buffered completely to compute its fingerprint.
const MAX_AT_MOST_ONCE_BODY_BYTES: u64 = 1 << 20;

/// Largest body of an idempotent request that is buffered, so that it can be sent again.
pub const MAX_RETRYABLE_BODY_BYTES: u64 = 256 << 10;

/// Bytes of other bodies that are buffered before sending begins, so that slow callers do not occupy target
/// slots.
const STREAM_PREFIX_BYTES: u64 = 64 << 10;

/// Validates a request and reads its body, or the start of a long one. Nothing is sent to a target
/// before this returns.
///
/// # Errors
///
/// The reason for the refusal; nothing has been executed.
pub async fn receive(
    kernel: &Arc<Kernel>,
    request: Request<Incoming>,
) -> Result<(CallContext, RequestParts), ErrorKind> {
    let (head, body) = request.into_parts();
    match check(kernel, &head, body).await {
        Ok(AcceptedRequest { context, body, upload }) => Ok((context, RequestParts { head, body, upload })),
        Err(cause) => {
            calls::record_early_refusal(kernel, &head, cause);
            Err(cause)
        }
    }
}

/// A validated request, without its head.
struct AcceptedRequest {
    context: CallContext,
    body: Bytes,
    upload: UnsentUpload,
}

/// Validates a request and reads its body, or the start of a body that is streamed.
async fn check(kernel: &Arc<Kernel>, head: &Parts, mut body: Incoming) -> Result<AcceptedRequest, ErrorKind> {
    let mut arrived = kernel.clock.now();
    kernel.check_admission()?;
    headers::check_unambiguous(head)?;
    let plan = kernel.plan.current();
    let service = plan.service_for_path(head.uri.path()).ok_or(ErrorKind::UnknownService)?;
    let mut start = BodyStart { bytes: Bytes::new(), is_complete: true };
    if !body.is_end_stream() {
        let route = service.route(head.method.as_str(), head.uri.path());
        let kind = route.map_or(RequestKind::Unstated, |r| r.kind);
        start = read_body(kernel, &mut body, kind).await?;
        if !head.headers.contains_key(headers::DEADLINE_MS) {
            arrived = kernel.clock.now();
        }
    }
    let mut context = CallContext::new(kernel, service, arrived, head)?;
    if start.is_complete {
        return Ok(AcceptedRequest { context, body: start.bytes, upload: None });
    }
    context.forbid_retry();
    let limit = kernel.config.max_body_bytes as u64;
    let upload = Upload::new(start.bytes, body, limit, context.progress_timeout());
    let upload = Some(std::sync::Mutex::new(Some(Box::new(upload))));
    Ok(AcceptedRequest { context, body: Bytes::new(), upload })
}

/// Reads as much of a body as is buffered for its kind of request.
async fn read_body(kernel: &Kernel, body: &mut Incoming, kind: RequestKind) -> Result<BodyStart, ErrorKind> {
    let limit = kernel.config.max_body_bytes as u64;
    let must_buffer_all = kind == RequestKind::AtMostOnce;
    let limit = if must_buffer_all { limit.min(MAX_AT_MOST_ONCE_BODY_BYTES) } else { limit };
    let stop_after = match kind {
        RequestKind::AtMostOnce => u64::MAX,
        RequestKind::Idempotent => MAX_RETRYABLE_BODY_BYTES,
        RequestKind::Unstated => STREAM_PREFIX_BYTES,
    };
    read_body_start(body, limit, stop_after, Duration::from_millis(kernel.config.progress_timeout_ms)).await
}

/// Start of a request body.
#[derive(Debug)]
pub struct BodyStart {
    /// Bytes that have arrived.
    pub bytes: Bytes,
    /// Whether `bytes` is the complete body.
    pub is_complete: bool,
}

/// Reads a body of at most `limit` bytes until it ends or `stop_after` bytes have arrived.
///
/// # Errors
///
/// [`ErrorKind::BodyTooLarge`], and [`ErrorKind::BodyIncomplete`] when the body is truncated or no data
/// arrives for the progress timeout.
pub async fn read_body_start(
    body: &mut Incoming,
    limit: u64,
    stop_after: u64,
    progress_timeout: Duration,
) -> Result<BodyStart, ErrorKind> {
    if body.size_hint().lower() > limit {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut bytes = Bytes::new();
    while !body.is_end_stream() && (bytes.len() as u64) < stop_after {
        let frame = timeout(progress_timeout, body.frame()).await;
        let frame = frame.map_err(|_elapsed| ErrorKind::BodyIncomplete)?;
        // The end of a chunked body is visible only here.
        let Some(frame) = frame else { return Ok(BodyStart { bytes, is_complete: true }) };
        let Ok(data) = frame.map_err(|_truncated| ErrorKind::BodyIncomplete)?.into_data() else { continue };
        if bytes.len() as u64 + data.len() as u64 > limit {
            return Err(ErrorKind::BodyTooLarge);
        }
        bytes = append(bytes, data);
    }
    Ok(BodyStart { bytes, is_complete: body.is_end_stream() })
}

fn append(bytes: Bytes, data: Bytes) -> Bytes {
    if bytes.is_empty() {
        return data;
    }
    let mut joined = bytes.try_into_mut().unwrap_or_else(|shared| BytesMut::from(&shared[..]));
    joined.extend_from_slice(&data);
    joined.freeze()
}
