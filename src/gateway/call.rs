//! The handling of one caller's request, here a *call*: choosing targets, retries, hedging, and the response.
//!
//! A *send* is one transmission of the request to a target, a *repeat* any send after the first (a retry or a
//! hedge).

use std::{
    net::IpAddr,
    pin::pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use futures::{
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    http::request::Parts,
};
use tokio::time::{sleep_until, timeout, timeout_at};

use super::{
    Gateway,
    attempt::{AttemptResult, attempt},
    call_context::CallContext,
    exchange::{SendResult, TargetResponse},
    probe,
    request_log::{RepeatCause, RequestEnd, RequestEvent, RequestLog},
    response::{ResponseBody, error_response},
    suspect_store::START_WAIT,
};
use crate::{
    decide::{
        hedge::{self, HedgeDecision, InFlightRequest},
        suspects::Admission,
    },
    error::ErrorKind,
    kernel::Phase,
    logging::Quoted,
    peer::forward::ForwardHeader,
    proxy::{
        headers,
        inbound::{MAX_RETRYABLE_BODY_BYTES, read_body_start},
        upload::{RequestParts, Upload},
    },
    routing::{Route, RoutingTable},
    units::{MonoTime, ServiceName},
};

/// Longest wait of the hedging decision for a probe of the target that has the request; also the age up to
/// which it uses a load reading of that target.
const PROBE_WAIT: Duration = Duration::from_millis(25);

/// `Retry-After` of requests that are rejected before their service is known.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` of requests that an instance rejects because it leaves, if it knows no other one that takes requests:
/// time in which it ends and another process takes its place.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Targets to which a connection is tried for one request. Each failed try takes up to 0.5 s.
const MAX_TARGETS_TRIED: usize = 4;

/// Longest time between two parts of a request's body.
const BODY_PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Who has sent a request to this instance.
#[derive(Debug, Clone)]
pub enum RequestSource {
    /// A caller, from this address.
    Caller(IpAddr),
    /// Another instance, to which a caller has sent it.
    Instance(Box<ForwardHeader>),
}

/// Handles one request and returns the response to its caller.
pub async fn handle(
    gateway: Arc<Gateway>,
    source: RequestSource,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let _in_progress = gateway.track_request();
    let arrived = gateway.now();
    let request_id = request.headers().get(&gateway.platform.headers.request_id).cloned();
    let prepared = tokio::select! {
        biased;
        prepared = prepare(&gateway, source, arrived, request) => prepared,
        // Nothing has been sent to a target yet.
        () = gateway.wait_phase(Phase::Ending) => Err(ErrorKind::Leaving),
    };
    let mut response = match prepared {
        Ok(call) => run(&call).await,
        Err(kind) => {
            let id = request_id.as_ref().map_or(&[][..], HeaderValue::as_bytes);
            let id = String::from_utf8_lossy(id);
            log::info!("event=request-refused request={} cause={kind}", Quoted(&id));
            error_response(kind, Some(retry_after(&gateway, kind)))
        }
    };
    if let Some(id) = request_id {
        response.headers_mut().insert(&gateway.platform.headers.request_id, id);
    }
    if gateway.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the time after which a caller should send a request again that is rejected without regard to its service.
fn retry_after(gateway: &Gateway, kind: ErrorKind) -> Duration {
    let needs_restart = kind == ErrorKind::Leaving && !gateway.is_any_other_accepting();
    if needs_restart { RESTART_TIME } else { RETRY_AFTER }
}

/// Checks and routes a request and reads its body up to the size that can be repeated. Nothing has been sent
/// to a target when this fails.
async fn prepare(
    gateway: &Arc<Gateway>,
    source: RequestSource,
    received: MonoTime,
    request: Request<Incoming>,
) -> Result<CallContext, ErrorKind> {
    let (caller, forwarded) = match source {
        RequestSource::Caller(address) => (address, None),
        RequestSource::Instance(header) => (header.caller, Some(header)),
    };
    let elapsed_ms = forwarded.as_ref().map_or(0, |header| header.elapsed_ms);
    let arrived = received.checked_sub(Duration::from_millis(u64::from(elapsed_ms))).unwrap_or_default();
    let (head, mut body) = request.into_parts();
    headers::check_unambiguous(&head)?;
    let routing = gateway.routing().ok_or(ErrorKind::NoPlan)?;
    let min_version = forwarded.as_ref().map_or(0, |header| header.routing_version);
    if u64::from(routing.version) < min_version {
        return Err(ErrorKind::NoPlan);
    }
    let route = find_route(&routing, &head).ok_or(ErrorKind::UnknownService)?;
    let names = &gateway.platform.headers;
    let request_id = head.headers.get(&names.request_id).cloned().unwrap_or(HeaderValue::from_static(""));
    let requested_timeout = headers::number(&head.headers, &names.deadline_ms)?.map(Duration::from_millis);
    let route_timeout = route.spec.timeout;
    // A caller states the time that is left when its request arrives; so does an instance that forwards one.
    let stated_deadline = requested_timeout.map(|requested| received + requested);
    let deadline =
        stated_deadline.map_or(arrived + route_timeout, |stated| stated.min(arrived + route_timeout));
    let limit = routing.limits.max_body_bytes;
    if !gateway.takes_requests() {
        return Err(ErrorKind::Leaving);
    }
    let start = read_body_start(&mut body, limit, MAX_RETRYABLE_BODY_BYTES, BODY_PROGRESS_TIMEOUT);
    let start = timeout_at(gateway.clock.instant(deadline), start).await;
    let start = start.unwrap_or(Err(ErrorKind::BodyIncomplete))?;
    if !gateway.are_suspects_known() {
        // After a timeout, the request is served as one under which no target has ended.
        let _known_or_timeout = timeout(START_WAIT, gateway.wait_for_suspects()).await;
    }
    if !gateway.takes_requests() {
        return Err(ErrorKind::Leaving);
    }
    let identity = gateway.identity_key().key.identify(caller, &head, &start.bytes);
    let (body, upload) = if start.is_complete {
        (start.bytes, None)
    } else {
        let upload = Upload::new(start.bytes, body, limit, BODY_PROGRESS_TIMEOUT);
        (bytes::Bytes::new(), Some(Mutex::new(Some(Box::new(upload)))))
    };
    let chosen = forwarded.as_ref().map(|header| &header.service);
    let is_of_route = |name: &&ServiceName| route.spec.backends.iter().any(|b| b.service == **name);
    // The routing table may have changed since the other instance has chosen.
    let service = chosen.filter(is_of_route).unwrap_or_else(|| route.next_service()).clone();
    let is_counted = AtomicBool::new(forwarded.as_ref().is_some_and(|header| header.is_counted));
    let times = (arrived, deadline);
    Ok(CallContext {
        gateway: Arc::clone(gateway),
        log: RequestLog::new((request_id.as_bytes(), identity), &route, &service, routing.version, times),
        is_answered: Arc::default(),
        is_ended: AtomicBool::new(false),
        request_id,
        route,
        routing_version: routing.version,
        service,
        arrived,
        deadline,
        parts: RequestParts { head, body, upload },
        caller,
        forwarded,
        is_counted,
        is_forwarding: AtomicBool::new(false),
        identity,
        tried: Mutex::default(),
        latest_send: Mutex::default(),
        open_sends: AtomicU32::new(0),
    })
}

fn find_route(routing: &RoutingTable, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| head.uri.host())?;
    routing.find(host, head.uri.path()).map(Arc::clone)
}

/// Sends a call, with retries and at most one hedge, until it has a response.
async fn run(call: &CallContext) -> Response<ResponseBody> {
    let deadline = call.gateway.clock.instant(call.deadline);
    let mut attempts = CallAttempts {
        call,
        in_flight: FuturesUnordered::new(),
        started: call.forwarded.as_ref().map_or(0, |header| header.sends),
        executed_error: None,
        failed_response: None,
    };
    attempts.start();
    let mut hedge_time = Box::pin(wait_for_hedge_time(call));
    let mut may_hedge = call.may_repeat();
    let mut quarantine = Box::pin(wait_for_quarantine(call));
    let mut path_closed = Box::pin(wait_for_closed_path(call));
    let mut shutdown_end = pin!(call.gateway.wait_phase(Phase::Ending));
    let mut may_forward_hedge = call.may_repeat() && call.forwarded.is_none();
    loop {
        tokio::select! {
            biased;
            Some(end) = attempts.in_flight.next() => {
                if let Some(response) = attempts.on_attempt_end(end) {
                    return response;
                }
            }
            () = sleep_until(deadline) => return attempts.on_deadline(),
            () = &mut shutdown_end => return attempts.on_shutdown_end(),
            // An instance that leaves lets its requests end.
            () = &mut quarantine, if !call.gateway.is_leaving() => return attempts.on_quarantine(),
            () = &mut path_closed, if may_forward_hedge => {
                may_forward_hedge = false;
                attempts.hedge();
            }
            () = &mut hedge_time, if may_hedge => {
                may_hedge = false;
                attempts.hedge();
            }
        }
    }
}

/// All attempts of one call.
struct CallAttempts<'a> {
    call: &'a CallContext,
    in_flight: FuturesUnordered<BoxFuture<'a, AttemptResult>>,
    /// Attempts that count towards the route's `max_attempts`.
    started: u32,
    /// The error to return if no response comes, once a target may have executed the request.
    executed_error: Option<ErrorKind>,
    /// Latest response with a status other than 2xx; returned if no other attempt succeeds.
    failed_response: Option<Box<TargetResponse>>,
}

impl CallAttempts<'_> {
    fn start(&mut self) {
        self.started += 1;
        self.in_flight.push(Box::pin(attempt(self.call, false)));
    }

    /// Starts an attempt to send the call to a second target, unless the route's `max_attempts` is reached.
    /// The repeat budget is spent once that attempt has found a target.
    fn hedge(&mut self) {
        if self.started < self.call.route.spec.max_attempts && !self.call.is_suspect() {
            self.started += 1;
            self.in_flight.push(Box::pin(attempt(self.call, true)));
        }
    }

    /// Starts a retry if the route and the repeat budget allow it; returns whether it did.
    fn try_repeat(&mut self, cause: RepeatCause) -> bool {
        let call = self.call;
        let is_last = self.started >= call.route.spec.max_attempts || call.parts.is_body_consumed();
        // A target that refuses the request is not affected by it.
        if is_last || (cause != RepeatCause::NotRun && call.is_repeat_harmful()) {
            return false;
        }
        let is_allowed = call.gateway.service_pools().try_spend_repeat(call.gateway.now(), &call.service);
        call.gateway.metrics.record_repeat(cause, is_allowed);
        call.record(RequestEvent::Repeat { cause, within_budget: is_allowed });
        if is_allowed {
            self.start();
        }
        is_allowed
    }

    /// Handles the end of an attempt. Returns the response to the caller, or `None` if a further attempt was
    /// started or another one is in flight.
    fn on_attempt_end(&mut self, end: AttemptResult) -> Option<Response<ResponseBody>> {
        let may_repeat = self.call.may_repeat();
        match end {
            AttemptResult::Sent(SendResult::Answered(response)) => return Some(self.forward(*response)),
            AttemptResult::Sent(SendResult::Failed(response)) => {
                self.failed_response = Some(response);
                self.executed_error = Some(ErrorKind::ConnectionLost);
                if may_repeat && self.try_repeat(RepeatCause::Failed) {
                    return None;
                }
            }
            AttemptResult::Sent(SendResult::Lost(_)) => {
                self.executed_error = Some(ErrorKind::ConnectionLost);
                if may_repeat && self.try_repeat(RepeatCause::Lost) {
                    return None;
                }
            }
            AttemptResult::Sent(SendResult::Unusable(_, kind)) => {
                self.executed_error = Some(kind);
                if may_repeat && self.try_repeat(RepeatCause::Failed) {
                    return None;
                }
            }
            AttemptResult::Sent(SendResult::NotRun) => {
                if self.try_repeat(RepeatCause::NotRun) {
                    return None;
                }
            }
            AttemptResult::Sent(SendResult::Unsent(_)) => {
                self.started -= 1;
                let may_try = !self.call.remaining().is_zero() && self.call.tried().len() < MAX_TARGETS_TRIED;
                if self.in_flight.is_empty() && may_try {
                    self.start();
                    return None;
                }
            }
            AttemptResult::NotSent(kind) => return self.in_flight.is_empty().then(|| self.give_up(kind)),
        }
        self.in_flight.is_empty().then(|| self.give_up(ErrorKind::Overloaded))
    }

    /// Ends the call at its deadline. Attempts that still wait for a target or a connection end with it.
    fn on_deadline(&mut self) -> Response<ResponseBody> {
        if self.call.open_sends.load(Ordering::Acquire) > 0 {
            self.executed_error = Some(ErrorKind::AnswerTimeout);
        }
        self.in_flight.clear();
        self.give_up(ErrorKind::DeadlineUnreachable)
    }

    /// Ends the call because the process ends.
    fn on_shutdown_end(&mut self) -> Response<ResponseBody> {
        if self.call.open_sends.load(Ordering::Acquire) > 0 {
            self.executed_error = Some(ErrorKind::AnswerTimeout);
        }
        self.in_flight.clear();
        self.give_up(ErrorKind::Leaving)
    }

    /// Ends the call because the request is quarantined from now on. Its sends in progress are broken off, which
    /// spares their targets.
    fn on_quarantine(&mut self) -> Response<ResponseBody> {
        if self.call.open_sends.load(Ordering::Acquire) > 0 {
            self.executed_error = Some(ErrorKind::ConnectionLost);
        }
        self.in_flight.clear();
        self.give_up(ErrorKind::Quarantined)
    }

    /// Ends the call without a successful response of a target. `unsent_error` is the error to return if no
    /// target can have executed the request.
    fn give_up(&mut self, unsent_error: ErrorKind) -> Response<ResponseBody> {
        if let Some(failed) = self.failed_response.take() {
            return self.forward(*failed);
        }
        let kind = self.executed_error.unwrap_or(unsent_error);
        let call = self.call;
        call.end(RequestEnd::Refused(kind));
        let after =
            if kind == ErrorKind::Leaving { retry_after(&call.gateway, kind) } else { call.retry_after() };
        error_response(kind, Some(after))
    }

    fn forward(&self, response: TargetResponse) -> Response<ResponseBody> {
        self.call.is_answered.store(true, Ordering::Release);
        self.call.end(RequestEnd::Answered(response.head.status.as_u16()));
        Response::from_parts(response.head, response.body)
    }
}

/// Returns once the request is quarantined.
async fn wait_for_quarantine(call: &CallContext) {
    loop {
        let mut started = Box::pin(call.gateway.quarantine_started().notified());
        // Registered before the check, so that no start is missed.
        started.as_mut().enable();
        if matches!(call.admission(), Admission::Quarantined(_)) {
            return;
        }
        started.await;
    }
}

/// Returns once a target has the request and there is no path to targets any more, so that the response can hardly
/// arrive.
async fn wait_for_closed_path(call: &CallContext) {
    let is_stuck = || {
        let is_sent = call.open_send_count() > 0 && !call.is_forwarding.load(Ordering::Acquire);
        is_sent && call.is_path_closed()
    };
    call.gateway.wait_until(is_stuck).await;
}

/// Returns once the call should be hedged, that is, sent to a second target.
async fn wait_for_hedge_time(call: &CallContext) {
    let gateway = &call.gateway;
    let objective = call.route.spec.objective;
    loop {
        let Some((listing, sent)) = call.latest_send() else {
            gateway.state_changed.notified().await;
            continue;
        };
        let (usual_time, overdue_after) = {
            let mut service_pools = gateway.service_pools();
            let overdue_after = service_pools.overdue_time(gateway.now(), &call.service);
            (service_pools.usual_time(&call.service), overdue_after)
        };
        let arrived = call.arrived;
        let request = InFlightRequest { arrived, sent, objective, usual_time, overdue_after };
        let now = gateway.now();
        let reading = gateway.service_pools().latest_reading(now, &listing.service, &listing.id);
        let fresh = reading.filter(|(_, age)| *age <= PROBE_WAIT).map(|(reading, _)| reading);
        let HedgeDecision::CheckAgainAt(at) = hedge::decide(now, &request, fresh) else { return };
        sleep_until(gateway.clock.instant(at)).await;
        probe::start(gateway, listing);
        // The next decision uses the load that the probe returned, or does without it.
        let _change_or_timeout = timeout(PROBE_WAIT, gateway.state_changed.notified()).await;
    }
}
