//! One send of a call to a target, and the checks that the response was made by that target for this request.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    http::response,
};
use tokio::time::timeout;

use super::{
    Gateway,
    call_context::CallContext,
    passed_body::BodyGuard,
    path_check,
    platform_adapter::CallHeaders,
    rate_limits,
    request_log::{ResponseSummary, SendOutcome},
    response::ResponseBody,
    suspects::SendWatch,
    target_end, target_statements,
};
use crate::{
    decide::{
        directory::Listing,
        probed_target::HealthSignal,
        target_response::{Meaning, interpret},
        unconfirmed_ends::ProcessState,
    },
    error::ErrorKind,
    kernel::in_progress::RequestGuard,
    plan::RequestKind,
    proxy::{
        connection::{ConnectFailure, Connection, ExchangeResult, ReusePolicy, connection_limit},
        headers,
    },
    units::MonoTime,
};

/// Response bodies up to this size are buffered in full before they are forwarded. Of a larger body, the
/// remainder is streamed.
///
/// While a response is buffered, a truncated body can still be replaced by another target's response.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Largest body that is read only so that its connection can be reused. A target in trouble may send a body
/// without end.
const MAX_DISCARDED_BYTES: usize = 16 << 10;

/// Longest time for which such a body is awaited; it usually arrives with its head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// A response of a target.
#[derive(Debug)]
pub struct TargetResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// Body, either complete or still arriving.
    pub body: ResponseBody,
}

/// Result of one send.
#[derive(Debug)]
pub enum SendResult {
    /// The target processed the request and responded, or its response has a body too large to be buffered,
    /// which may still be arriving.
    Answered(Box<TargetResponse>),
    /// The target executed the request and responded with an error of its own (5xx).
    Failed(Box<TargetResponse>),
    /// The target states that it did not execute the request.
    NotRun,
    /// The target responded, and its response can't be forwarded; the target may have executed the request. Holds what
    /// the caller is told instead.
    Unusable(ResponseSummary, ErrorKind),
    /// Nothing was sent to the target. Holds why, if it is for lack of a connection.
    Unsent(Option<ConnectFailure>),
    /// No valid response came; the target may have executed the request. Holds what is known of its process.
    Lost(ProcessState),
}

impl SendResult {
    /// Returns the result as metrics and logs name it.
    pub fn outcome(&self) -> SendOutcome {
        match self {
            Self::Answered(_) => SendOutcome::Answered,
            Self::Failed(_) => SendOutcome::Failed,
            Self::NotRun => SendOutcome::NotRun,
            Self::Unusable(..) => SendOutcome::Unusable,
            Self::Unsent(_) => SendOutcome::Unsent,
            Self::Lost(_) => SendOutcome::Lost,
        }
    }

    /// Returns what logs say of the response, if there is one other than a refusal.
    pub fn response_summary(&self, names: &CallHeaders) -> Option<ResponseSummary> {
        match self {
            Self::Answered(response) | Self::Failed(response) => {
                Some(ResponseSummary::new(response.head.status, &response.head.headers, names))
            }
            Self::Unusable(summary, _) => Some(*summary),
            Self::NotRun | Self::Unsent(_) | Self::Lost(_) => None,
        }
    }
}

/// A send in progress; reports its end to the target selection exactly once, at the latest when dropped.
#[derive(Debug)]
pub struct SendGuard {
    gateway: Arc<Gateway>,
    listing: Listing,
    /// Returned to the pool once the response is complete, closed otherwise.
    connection: Option<Connection>,
    started: MonoTime,
    is_reported: bool,
    /// Whether the target may be executing the request, as far as is known.
    is_unanswered: bool,
    /// Whether the call has been answered. What is then dropped is the send of another attempt.
    is_call_answered: Arc<AtomicBool>,
    /// Watches what the send shows of the request; `None` once its result is known.
    watch: Option<SendWatch>,
    _in_progress: RequestGuard,
}

impl SendGuard {
    /// Starts a send of a call to the target that was chosen.
    pub fn new(call: &CallContext, listing: Listing) -> Self {
        let gateway = &call.gateway;
        let in_progress = gateway.track_request();
        Self {
            gateway: Arc::clone(gateway),
            listing,
            connection: None,
            started: gateway.now(),
            is_reported: false,
            is_unanswered: false,
            is_call_answered: Arc::clone(&call.is_answered),
            watch: Some(SendWatch::start(gateway, call.identity)),
            _in_progress: in_progress,
        }
    }

    /// Ends the send with a complete response and returns the connection to the pool.
    pub fn completed(mut self) {
        self.return_connection();
        self.report(HealthSignal::Answered);
        if let Some(watch) = self.watch.take() {
            watch.answered();
        }
    }

    /// Ends the send without a complete response, and finds out whether the target's process has ended.
    pub async fn lost(mut self) -> ProcessState {
        self.report(HealthSignal::Failed);
        self.connection = None;
        self.is_unanswered = true;
        let lost_at = self.gateway.now();
        path_check::report_failure(&self.gateway, &self.listing);
        let process = target_end::check(&self.gateway, &self.listing, lost_at).await;
        if let Some(watch) = self.watch.take() {
            watch.lost(&self.listing, process, lost_at);
        }
        process
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    /// Reports the end of the send to the target selection, unless that has been done.
    fn report(&mut self, end: HealthSignal) {
        if !std::mem::replace(&mut self.is_reported, true) {
            let now = self.gateway.now();
            let mut service_pools = self.gateway.service_pools();
            if end == HealthSignal::Answered {
                service_pools.record_duration(&self.listing.service, now.since(self.started));
            }
            service_pools.record_end(now, &self.listing.service, &self.listing.id, end);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.report(HealthSignal::Neutral);
        let is_given_up = self.is_unanswered && !self.is_call_answered.load(Ordering::Acquire);
        if let Some(watch) = self.watch.take().filter(|_| is_given_up) {
            watch.given_up(&self.listing);
        }
    }
}

/// Sends a call to a target and waits for the response and for up to `MAX_BUFFERED_BYTES` of its body.
pub async fn send(call: &CallContext, listing: Listing) -> SendResult {
    let mut guard = SendGuard::new(call, listing);
    let mut connection = match checkout(call, &guard.listing).await {
        Ok(connection) => connection,
        Err(failure) => {
            guard.report(HealthSignal::Failed);
            if failure.may_be_of_path() {
                path_check::report_failure(&call.gateway, &guard.listing);
            }
            return SendResult::Unsent(Some(failure));
        }
    };
    // It may have stated that it leaves, or asked for a pause, while the connection was opened.
    let takes_requests = call.gateway.service_pools().takes_requests(call.gateway.now(), &guard.listing);
    if call.remaining().is_zero() || !takes_requests {
        return SendResult::Unsent(None);
    }
    let Some(body) = call.parts.take_body() else { return SendResult::Unsent(None) };
    let Some(mut request) = call.parts.build_request(body, guard.listing.address) else {
        return SendResult::Unsent(None);
    };
    let names = &call.gateway.platform.headers;
    let remaining_ms = u64::try_from(call.remaining().as_millis()).unwrap_or(u64::MAX);
    let Ok(expected) = HeaderValue::from_str(guard.listing.id.as_str()) else {
        return SendResult::Unsent(None);
    };
    let headers = request.headers_mut();
    headers.insert(&names.deadline_ms, HeaderValue::from(remaining_ms));
    headers.insert(&names.expected_target, expected);
    call.record_send_start();
    guard.is_unanswered = true;
    let is_new_connection = !connection.is_reused();
    match connection.send(request).await {
        ExchangeResult::Answered(response) => {
            guard.is_unanswered = false;
            let Listing { id, service, .. } = &guard.listing;
            call.gateway.target_paths().record_response(call.gateway.now(), service, id, is_new_connection);
            guard.connection = Some(connection);
            read_response(call, guard, response).await
        }
        ExchangeResult::Unsent(request) => {
            call.record_not_executed();
            guard.is_unanswered = false;
            call.parts.restore_body(request.into_body());
            SendResult::Unsent(None)
        }
        ExchangeResult::Lost => {
            drop(connection);
            SendResult::Lost(guard.lost().await)
        }
    }
}

async fn checkout(call: &CallContext, listing: &Listing) -> Result<Connection, ConnectFailure> {
    let reuse = match call.route.spec.kind {
        RequestKind::Idempotent => ReusePolicy::AnyIdle,
        RequestKind::AtMostOnce | RequestKind::Unstated => ReusePolicy::RecentlyUsed,
    };
    connect(&call.gateway, listing, reuse).await
}

/// Returns a connection to a target within this instance's share of the target's connection limit.
///
/// # Errors
///
/// Why there is none in time.
pub async fn connect(
    gateway: &Gateway,
    listing: &Listing,
    reuse: ReusePolicy,
) -> Result<Connection, ConnectFailure> {
    let routing = gateway.routing();
    let service = routing.as_ref().and_then(|routing| routing.services.get(&listing.service));
    // Without a routing table that names the service, nothing may be sent to it.
    let max_connections = service.ok_or(ConnectFailure::NoPermit)?.max_connections;
    let limit = connection_limit(max_connections, gateway.instance_count_or_default());
    let connection = gateway.connections.checkout(listing.address, limit, reuse).await;
    gateway.metrics.record_connection(&connection);
    connection
}

async fn read_response(call: &CallContext, mut guard: SendGuard, response: Response<Incoming>) -> SendResult {
    let names = &call.gateway.platform.headers;
    let headers = response.headers();
    // A target that rejects a request meant for another one does not execute it, even without the not-run
    // header.
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    let states_not_run = is_misdirected || headers.contains_key(&names.not_run);
    let meaning = interpret(call.route.spec.kind, response.status().as_u16(), states_not_run);
    if meaning == Meaning::InvalidStatus {
        // Nothing else in it is relied on, nor the connection used again.
        guard.report(HealthSignal::Failed);
        let summary = ResponseSummary::new(response.status(), headers, names);
        return SendResult::Unusable(summary, ErrorKind::StatusInvalid);
    }
    target_statements::record(&call.gateway, &guard.listing, response.status(), headers);
    if headers.get(&names.request_id).is_some_and(|id| *id != call.request_id) {
        // This is the late response to an earlier request on the connection.
        guard.report(HealthSignal::Failed);
        return SendResult::Lost(ProcessState::Listening);
    }
    if let Some(reading) = headers.get(&names.load).and_then(call.gateway.platform.decode_load) {
        let now = call.gateway.now();
        call.gateway.service_pools().record_reading(now, &guard.listing.service, &guard.listing.id, reading);
    }
    let is_reused = guard.connection.as_ref().is_some_and(Connection::is_reused);
    let states_id = headers.contains_key(&names.request_id);
    // The connection may have carried a probe or a request that the target answers twice.
    let may_be_of_earlier = is_reused && !states_id && !call.request_id.is_empty();
    if !is_misdirected {
        rate_limits::record(&call.gateway, &guard.listing, headers);
    }
    if meaning == Meaning::NotRun {
        if may_be_of_earlier {
            guard.report(HealthSignal::Failed);
            return SendResult::Lost(ProcessState::Listening);
        }
        if discard(response.into_body()).await == DiscardedBody::Complete {
            guard.return_connection();
        }
        call.record_not_executed();
        guard.report(HealthSignal::Refused);
        return SendResult::NotRun;
    }
    let is_authentic =
        headers.contains_key(&names.authenticity_proof) && !headers.contains_key(header::CONTENT_ENCODING);
    let is_error = !is_authentic || response.status().is_server_error();
    if !is_authentic && (response.status().is_success() || may_be_of_earlier) {
        guard.report(HealthSignal::Failed);
        return SendResult::Lost(ProcessState::Listening);
    }
    if meaning == Meaning::UnconfirmedRefusal {
        let summary = ResponseSummary::new(response.status(), headers, names);
        match discard(response.into_body()).await {
            DiscardedBody::BrokenOff => return SendResult::Lost(guard.lost().await),
            DiscardedBody::Complete if !may_be_of_earlier => guard.return_connection(),
            DiscardedBody::Complete | DiscardedBody::Unread => {}
        }
        guard.report(HealthSignal::Failed);
        return SendResult::Unusable(summary, ErrorKind::RefusalUnconfirmed);
    }
    let (mut head, body) = response.into_parts();
    headers::make_forwardable(&mut head);
    for name in [&names.load, &names.target_id] {
        head.headers.remove(name);
    }
    match buffer(body).await {
        BufferedBody::Complete(chunks) => {
            let response = Box::new(TargetResponse { head, body: ResponseBody::complete(chunks) });
            if !is_error {
                guard.completed();
                return SendResult::Answered(response);
            }
            guard.return_connection();
            guard.report(HealthSignal::Failed);
            SendResult::Failed(response)
        }
        BufferedBody::Partial(chunks, remainder) => {
            let deadline = call.gateway.clock.instant(call.deadline);
            let body = ResponseBody::streaming(chunks, remainder, BodyGuard::Send(Box::new(guard)), deadline);
            SendResult::Answered(Box::new(TargetResponse { head, body }))
        }
        BufferedBody::Truncated => SendResult::Lost(guard.lost().await),
    }
}

/// How far a body was read that nobody needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscardedBody {
    /// To its end, so that its connection can be reused.
    Complete,
    /// To the limit of its size or time.
    Unread,
    /// Its connection ended before the body did.
    BrokenOff,
}

/// Reads a body that nobody needs, up to a limit.
pub async fn discard(body: Incoming) -> DiscardedBody {
    let read = Limited::new(body, MAX_DISCARDED_BYTES).collect();
    match timeout(DISCARD_TIMEOUT, read).await {
        Ok(Ok(_complete)) => DiscardedBody::Complete,
        Ok(Err(e)) if !e.is::<LengthLimitError>() => DiscardedBody::BrokenOff,
        Ok(Err(_)) | Err(_) => DiscardedBody::Unread,
    }
}

/// A response body after buffering.
enum BufferedBody {
    Complete(VecDeque<Bytes>),
    Partial(VecDeque<Bytes>, Incoming),
    Truncated,
}

async fn buffer(mut body: Incoming) -> BufferedBody {
    let mut chunks = VecDeque::new();
    let mut buffered_bytes = 0;
    loop {
        match body.frame().await {
            None => return BufferedBody::Complete(chunks),
            Some(Err(_)) => return BufferedBody::Truncated,
            Some(Ok(frame)) => {
                let Ok(chunk) = frame.into_data() else { continue };
                buffered_bytes += chunk.len();
                chunks.push_back(chunk);
                if buffered_bytes > MAX_BUFFERED_BYTES {
                    return BufferedBody::Partial(chunks, body);
                }
            }
        }
    }
}
