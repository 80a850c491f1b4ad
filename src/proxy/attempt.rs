//! One attempt of a call: gets a connection, sends the request and waits for the response head.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{self, HeaderValue},
    http::response,
};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use super::{
    connection::{Connection, ExchangeResult, ReusePolicy, connection_limit},
    context::CallContext,
    headers, stale_connection,
    upload::{RequestBody, RequestParts, UploadProgress, UploadState},
};
use crate::{
    decide::{Attempt, AttemptEnd, Event, LoadReport, target_response::is_final},
    kernel::{in_progress::RequestGuard, pools::ServicePool},
    plan::{RequestKind, TargetSpec},
    units::{CallId, TargetId},
};

/// Largest error response (status 500 or above) that is buffered until the pool decides whether to retry.
const MAX_BUFFERED_ERROR_BYTES: usize = 64 << 10;

/// First attempt of a call. Later attempts of an idempotent call use new connections, because the first may
/// have used a dead one.
const FIRST_ATTEMPT: Attempt = Attempt(0);

/// One attempt in progress; reports its end to the pool exactly once.
#[derive(Debug)]
pub struct AttemptGuard {
    target: TargetId,
    pool: Arc<ServicePool>,
    call: CallId,
    attempt: Attempt,
    /// Returned to the idle list once the response is complete, closed otherwise.
    connection: Option<Connection>,
    /// End that is reported when the response completes: [`AttemptEnd::Answered`] unless the response is an
    /// error.
    end_when_complete: AttemptEnd,
    /// Whether the end of the attempt has been reported to the pool.
    reported: bool,
    _in_progress: RequestGuard,
}

impl AttemptGuard {
    fn new(context: &CallContext, attempt: Attempt, target: &TargetSpec) -> Self {
        Self {
            target: target.id.clone(),
            pool: Arc::clone(&context.pool),
            call: context.call.id,
            attempt,
            connection: None,
            end_when_complete: AttemptEnd::Answered,
            reported: false,
            _in_progress: context.kernel.track_request(),
        }
    }

    /// Returns the target that the attempt was sent to.
    pub fn target(&self) -> &TargetId {
        &self.target
    }

    fn report_started(&self, report: LoadReport) {
        if !self.reported {
            self.pool.handle(Event::ResponseStarted { call: self.call, attempt: self.attempt, report });
        }
    }

    /// Reports the attempt as lost to the pool, while still waiting for a response.
    fn report_suspected_lost(&mut self) {
        self.report(AttemptEnd::Lost);
    }

    /// Reports how the attempt ended.
    pub fn end(mut self, end: AttemptEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: AttemptEnd) {
        let connection = self.connection.take();
        let complete = matches!(end, AttemptEnd::Answered | AttemptEnd::Failed | AttemptEnd::Refused);
        if complete && let Some(connection) = connection {
            connection.release();
        }
        self.report(if end == AttemptEnd::Answered { self.end_when_complete } else { end });
    }

    fn report(&mut self, end: AttemptEnd) {
        if !self.reported {
            self.reported = true;
            self.pool.handle(Event::AttemptEnded { call: self.call, attempt: self.attempt, end });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Cancelled);
    }
}

/// A response whose head has arrived, with the attempt that it belongs to.
#[derive(Debug)]
pub struct StartedResponse {
    /// The response; its body has not been read.
    pub response: Response<Incoming>,
    /// The attempt, which stays in progress while the body is read.
    pub guard: AttemptGuard,
}

/// A complete error response (status 500 or above) of a failed attempt.
#[derive(Debug)]
pub struct FailedResponse {
    /// Number of the attempt within the call.
    pub attempt: Attempt,
    /// Status and headers.
    pub head: response::Parts,
    /// Complete body.
    pub body: Bytes,
}

/// Result of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// A response to forward to the caller.
    Answered(Box<StartedResponse>),
    /// A response with status 500 or above; the pool decides whether it is forwarded.
    Failed(Box<FailedResponse>),
    /// No usable response. The pool has been told how the attempt ended and decides what follows.
    NoResponse,
}

/// Sends a call to a target and waits for the response head.
pub async fn send(
    context: &CallContext,
    parts: &RequestParts,
    attempt: Attempt,
    target: TargetSpec,
) -> AttemptResult {
    let mut guard = AttemptGuard::new(context, attempt, &target);
    match exchange(context, parts, attempt, &target, &mut guard).await {
        Ok(response) => classify_response(context, &target.id, guard, response).await,
        Err(end) => {
            guard.end(end);
            AttemptResult::NoResponse
        }
    }
}

async fn exchange(
    context: &CallContext,
    parts: &RequestParts,
    attempt: Attempt,
    target: &TargetSpec,
    guard: &mut AttemptGuard,
) -> Result<Response<Incoming>, AttemptEnd> {
    if context.excluded_target.as_ref() == Some(&target.id) {
        return Err(AttemptEnd::Unsent);
    }
    let connection = timeout(context.remaining(), checkout(context, attempt, target)).await;
    let Ok(Some(mut connection)) = connection else { return Err(AttemptEnd::Unsent) };
    // `timeout` polls once even when no time is left, so the request could still be sent.
    if context.remaining().is_zero() {
        return Err(AttemptEnd::Unsent);
    }
    let body = parts.take_body().ok_or(AttemptEnd::Unsent)?;
    let timeouts = ResponseTimeouts::new(context, &connection, &body);
    let request = build_target_request(context, parts, attempt, target, body).ok_or(AttemptEnd::Unsent)?;
    let sent_at = context.kernel.clock.now();
    let sent = {
        let mut sending = pin!(connection.send(request));
        let before_suspect = match timeouts.suspect_at {
            Some(at) => timeout_at(at, sending.as_mut()).await.ok(),
            None => None,
        };
        if timeouts.suspect_at.is_some() && before_suspect.is_none() {
            guard.report_suspected_lost();
        }
        if let Some(sent) = before_suspect {
            sent
        } else {
            tokio::select! {
                biased;
                sent = sending => sent,
                end = timeouts.wait_expired() => return Err(end),
            }
        }
    };
    match sent {
        ExchangeResult::Answered(response) => {
            let took = context.kernel.clock.now().since(sent_at);
            context.kernel.response_times.record(&context.service, context.call.route, took);
            guard.connection = Some(connection);
            Ok(response)
        }
        ExchangeResult::Unsent(request) => {
            parts.restore_body(request.into_body());
            Err(AttemptEnd::Unsent)
        }
        ExchangeResult::Lost => Err(AttemptEnd::Lost),
    }
}

async fn checkout(context: &CallContext, attempt: Attempt, target: &TargetSpec) -> Option<Connection> {
    let kernel = &context.kernel;
    let limit = connection_limit(target.max_connections, kernel.plan.current().budgets.max_instances);
    let reuse = match context.call.kind {
        RequestKind::Idempotent if context.is_resumption || attempt > FIRST_ATTEMPT => ReusePolicy::NewOnly,
        RequestKind::Idempotent => {
            let average = kernel.response_times.average(&context.service, context.call.route);
            stale_connection::reuse_policy(average, context.remaining())
        }
        RequestKind::AtMostOnce | RequestKind::Unstated => ReusePolicy::RecentlyUsed,
    };
    kernel.connections.checkout(target.address, limit, reuse).await.ok()
}

/// Time limits for the arrival of the response head.
struct ResponseTimeouts {
    /// When the response head must have arrived, unless an upload is still in progress.
    deadline: Instant,
    /// When a reused connection is suspected to be dead; `None` on a new connection and for a request that
    /// may not be retried.
    suspect_at: Option<Instant>,
    upload: Option<Arc<UploadProgress>>,
    progress_timeout: Duration,
    /// Time allowed for the response head after an upload has completed.
    post_upload_timeout: Duration,
}

impl ResponseTimeouts {
    fn new(context: &CallContext, connection: &Connection, body: &RequestBody) -> Self {
        let remaining = context.remaining();
        let now = Instant::now();
        let may_retry = context.call.kind == RequestKind::Idempotent;
        let may_be_stale = may_retry && connection.is_reused();
        let suspect_at = may_be_stale.then(|| now + stale_connection::suspect_after(remaining));
        let upload = match body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload.progress()),
        };
        Self {
            deadline: now + remaining,
            suspect_at,
            upload,
            progress_timeout: context.progress_timeout(),
            post_upload_timeout: remaining,
        }
    }

    /// Waits until the attempt must be abandoned and returns how it ended.
    async fn wait_expired(self) -> AttemptEnd {
        if let Some(upload) = &self.upload {
            return self.wait_upload_expired(upload).await;
        }
        sleep_until(self.deadline).await;
        AttemptEnd::TimedOut
    }

    /// Waits until an upload must be abandoned and returns how the attempt ended.
    ///
    /// An upload has no total time limit while it makes progress. If the caller stalls, the upload itself
    /// fails.
    async fn wait_upload_expired(&self, upload: &UploadProgress) -> AttemptEnd {
        loop {
            let (limit, end) = match upload.state() {
                UploadState::Sending => (upload.last_progress() + self.progress_timeout, AttemptEnd::Lost),
                UploadState::AwaitingCaller => (Instant::now() + self.progress_timeout, AttemptEnd::Lost),
                UploadState::Complete | UploadState::Failed => {
                    let response_due = self.deadline.max(upload.last_progress() + self.post_upload_timeout);
                    (response_due, AttemptEnd::TimedOut)
                }
            };
            if limit <= Instant::now() {
                return end;
            }
            sleep_until(limit).await;
        }
    }
}

async fn classify_response(
    context: &CallContext,
    target: &TargetId,
    mut guard: AttemptGuard,
    response: Response<Incoming>,
) -> AttemptResult {
    if !is_final(response.status().as_u16()) {
        log::info!("event=status-invalid target={target} status={}", response.status().as_str());
        guard.end(AttemptEnd::Lost);
        return AttemptResult::NoResponse;
    }
    if is_delimited_by_close(&response) {
        // Such a body ends the same way whether it is complete or truncated.
        guard.end(AttemptEnd::Lost);
        return AttemptResult::NoResponse;
    }
    let report = read_load_report(&response);
    if report.draining {
        context.kernel.report_target_draining(target);
    }
    guard.report_started(report);
    if context.refusal_means_not_run && states_not_executed(&response) {
        if read_error_body(context, response.into_body()).await.is_none() {
            guard.connection = None;
        }
        guard.end(AttemptEnd::Refused);
        return AttemptResult::NoResponse;
    }
    if !response.status().is_server_error() {
        return AttemptResult::Answered(Box::new(StartedResponse { response, guard }));
    }
    if response.body().size_hint().exact().is_none_or(|n| n > MAX_BUFFERED_ERROR_BYTES as u64) {
        guard.end_when_complete = AttemptEnd::Failed;
        return AttemptResult::Answered(Box::new(StartedResponse { response, guard }));
    }
    let (head, body) = response.into_parts();
    let Some(body) = read_error_body(context, body).await else {
        guard.end(AttemptEnd::Lost);
        return AttemptResult::NoResponse;
    };
    let attempt = guard.attempt;
    guard.end(AttemptEnd::Failed);
    AttemptResult::Failed(Box::new(FailedResponse { attempt, head, body }))
}

/// Reads a small error body completely, so that the target's slot and the connection become free; `None` if
/// the body is too long, truncated or stalls.
async fn read_error_body(context: &CallContext, body: Incoming) -> Option<Bytes> {
    let read = Limited::new(body, MAX_BUFFERED_ERROR_BYTES).collect();
    let collected = timeout(context.progress_timeout(), read).await.ok()?.ok()?;
    Some(collected.to_bytes())
}

/// Returns whether the body is delimited only by the end of the connection.
fn is_delimited_by_close(response: &Response<Incoming>) -> bool {
    response.body().size_hint().exact().is_none()
        && !response.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether the response states that the request was not executed: 503 with `Retry-After`.
///
/// Applies only to services whose plan entry sets `refusal_means_not_run`.
fn states_not_executed(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(header::RETRY_AFTER)
}

/// Reads the load and draining state that a target reports in its response headers.
pub fn read_load_report(response: &Response<Incoming>) -> LoadReport {
    let in_flight = headers::number(response.headers(), &headers::LOAD).ok().flatten();
    LoadReport {
        in_flight: in_flight.map(|n| u32::try_from(n).unwrap_or(u32::MAX)),
        draining: response.headers().get(headers::TARGET_STATE).is_some_and(|v| v == "draining"),
    }
}

fn build_target_request(
    context: &CallContext,
    parts: &RequestParts,
    attempt: Attempt,
    target: &TargetSpec,
    body: RequestBody,
) -> Option<Request<RequestBody>> {
    let mut request = parts.build_request(body, target.address)?;
    let fields = request.headers_mut();
    let remaining_ms = u64::try_from(context.remaining().as_millis()).unwrap_or(u64::MAX);
    fields.insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
    let attempts = context.call.prior_attempts.saturating_add(attempt.0);
    fields.insert(headers::ATTEMPT, HeaderValue::from(attempts));
    fields.insert(headers::REQUEST_ID, HeaderValue::from_str(context.request_id.as_str()).ok()?);
    Some(request)
}
