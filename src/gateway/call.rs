//! The handling of one caller's request, here a *call*: choosing targets, retries, hedging, and the response.
//!
//! A *send* is one transmission of the request to a target, a *repeat* any send after the first (a retry or a
//! hedge).

use std::{
    net::IpAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
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
    exchange::{SendResult, TargetResponse, send},
    probe,
    request_log::{RepeatCause, RequestEnd, RequestEvent, RequestLog},
    response::{ResponseBody, error_response},
    suspect_store::START_WAIT,
};
use crate::{
    decide::{
        directory::Listing,
        hedge::{self, HedgeDecision, InFlightRequest},
        probed_pool::{Choice, ChoiceRequest},
        probed_target::HealthSignal,
        suspects::{Admission, RequestIdentity},
        wait_queue::QueuePosition,
        wait_stage::{CallTimes, WaitStage},
    },
    error::ErrorKind,
    logging::Quoted,
    plan::RequestKind,
    proxy::{
        headers,
        inbound::{MAX_RETRYABLE_BODY_BYTES, read_body_start},
        upload::{RequestParts, Upload},
    },
    routing::{Route, RoutingTable},
    units::{MonoTime, ServiceName, TargetId},
};

/// Longest wait of the hedging decision for a probe of the target that has the request; also the age up to
/// which it uses a load reading of that target.
const PROBE_WAIT: Duration = Duration::from_millis(25);

/// `Retry-After` of requests that are rejected before their service is known.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Targets to which a connection is tried for one request. Each failed try takes up to 0.5 s.
const MAX_TARGETS_TRIED: usize = 4;

/// Longest time between two parts of a request's body.
const BODY_PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// A call that has been checked and routed, with the state that its sends share.
#[derive(Debug)]
pub struct CallContext {
    /// State that all calls share.
    pub gateway: Arc<Gateway>,
    /// Identifier that the caller gave the request; empty if it gave none.
    pub request_id: HeaderValue,
    /// Route that the request's host and path match.
    pub route: Arc<Route>,
    /// Service that was chosen by the weights of the route's backends.
    pub service: ServiceName,
    /// When the head of the request arrived.
    pub arrived: MonoTime,
    /// When the caller must have its response: its own deadline or the route's timeout, whichever is earlier.
    pub deadline: MonoTime,
    /// Head and body of the request.
    pub parts: RequestParts,
    /// Identity of the request, the same for all attempts of its caller.
    pub identity: RequestIdentity,
    /// Targets to which the request was sent, or for which a connection was tried.
    tried: Mutex<Vec<TargetId>>,
    /// Target and time of the latest send; `None` until the first one.
    latest_send: Mutex<Option<(Listing, MonoTime)>>,
    /// Sends that have reached a connection and may have been executed, as far as is known.
    open_sends: AtomicU32,
    /// Decisions on the call, for the log.
    log: RequestLog,
    /// Whether a response of a target goes to the caller; sends that are dropped after that show nothing.
    pub is_answered: Arc<AtomicBool>,
    /// Whether the end of the call has been logged and counted.
    is_ended: AtomicBool,
}

impl CallContext {
    /// Returns the time until the deadline, zero once it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.gateway.now())
    }

    fn tried(&self) -> Vec<TargetId> {
        self.tried.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records that a target may execute the request from now on.
    pub fn record_send_start(&self) {
        self.open_sends.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a send was not executed and will not be.
    pub fn record_not_executed(&self) {
        self.open_sends.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the target and time of the latest send.
    fn latest_send(&self) -> Option<(Listing, MonoTime)> {
        self.latest_send.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the time after which its caller should send the request again: when the quarantine ends, or when its
    /// service is expected to have room.
    fn retry_after(&self) -> Duration {
        let gateway = &self.gateway;
        if let Admission::Quarantined(remaining) = self.admission() {
            return remaining;
        }
        let (now, instances) = (gateway.now(), gateway.instance_count_or_default());
        gateway.service_pools().retry_after(now, &self.service, instances)
    }

    fn record(&self, event: RequestEvent) {
        self.log.record(self.gateway.now(), event);
    }

    /// Logs and counts the end of the call; later invocations do nothing.
    fn end(&self, end: RequestEnd) {
        if self.is_ended.swap(true, Ordering::AcqRel) {
            return;
        }
        let now = self.gateway.now();
        self.log.end(now, end, &self.gateway.request_log_limiter);
        let result = match end {
            RequestEnd::Answered(status) => format!("status-{}xx", status / 100),
            RequestEnd::Refused(kind) => kind.to_string(),
            RequestEnd::CallerLeft => "caller-left".to_owned(),
        };
        let kind = self.route.spec.kind;
        self.gateway.metrics.record_request(&self.service, kind, result, now.since(self.arrived));
    }

    /// Returns whether the request may be sent now, as far as targets have ended under it.
    fn admission(&self) -> Admission {
        self.gateway.suspects().admission(self.gateway.now(), self.identity)
    }

    /// Returns whether a target has ended under the request.
    fn is_suspect(&self) -> bool {
        self.gateway.suspects().ends(self.identity) > 0
    }

    /// Returns whether too many targets have ended under the request for this instance to send it again by itself.
    fn is_repeat_harmful(&self) -> bool {
        !self.gateway.suspects().may_repeat(self.identity)
    }

    /// Returns whether the request may be executed more than once and its whole body is buffered.
    fn may_repeat(&self) -> bool {
        self.route.spec.kind == RequestKind::Idempotent && self.parts.upload.is_none()
    }
}

impl Drop for CallContext {
    fn drop(&mut self) {
        self.end(RequestEnd::CallerLeft);
    }
}

/// Handles one request and returns the response to its caller.
///
/// `caller` is the address from which the caller has connected.
pub async fn handle(
    gateway: Arc<Gateway>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let _in_progress = gateway.track_request();
    let arrived = gateway.now();
    let request_id = request.headers().get(&gateway.platform.headers.request_id).cloned();
    let mut response = match prepare(&gateway, caller, arrived, request).await {
        Ok(call) => run(&call).await,
        Err(kind) => {
            let id = request_id.as_ref().map_or(&[][..], HeaderValue::as_bytes);
            let id = String::from_utf8_lossy(id);
            log::info!("event=request-refused request={} cause={kind}", Quoted(&id));
            error_response(kind, Some(RETRY_AFTER))
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

/// Checks and routes a request and reads its body up to the size that can be repeated. Nothing has been sent
/// to a target when this fails.
async fn prepare(
    gateway: &Arc<Gateway>,
    caller: IpAddr,
    arrived: MonoTime,
    request: Request<Incoming>,
) -> Result<CallContext, ErrorKind> {
    let (head, mut body) = request.into_parts();
    headers::check_unambiguous(&head)?;
    let routing = gateway.routing().ok_or(ErrorKind::NoPlan)?;
    let route = find_route(&routing, &head).ok_or(ErrorKind::UnknownService)?;
    let names = &gateway.platform.headers;
    let request_id = head.headers.get(&names.request_id).cloned().unwrap_or(HeaderValue::from_static(""));
    let requested_timeout = headers::number(&head.headers, &names.deadline_ms)?.map(Duration::from_millis);
    let route_timeout = route.spec.timeout;
    let deadline =
        arrived + requested_timeout.map_or(route_timeout, |requested| requested.min(route_timeout));
    let limit = routing.limits.max_body_bytes;
    let start = read_body_start(&mut body, limit, MAX_RETRYABLE_BODY_BYTES, BODY_PROGRESS_TIMEOUT).await?;
    if !gateway.are_suspects_known() {
        // After a timeout, the request is served as one under which no target has ended.
        let _known_or_timeout = timeout(START_WAIT, gateway.wait_for_suspects()).await;
    }
    let identity = gateway.identity_key().key.identify(caller, &head, &start.bytes);
    let (body, upload) = if start.is_complete {
        (start.bytes, None)
    } else {
        let upload = Upload::new(start.bytes, body, limit, BODY_PROGRESS_TIMEOUT);
        (bytes::Bytes::new(), Some(Mutex::new(Some(Box::new(upload)))))
    };
    let service = route.next_service().clone();
    let times = (arrived, deadline);
    Ok(CallContext {
        gateway: Arc::clone(gateway),
        log: RequestLog::new((request_id.as_bytes(), identity), &route, &service, routing.version, times),
        is_answered: Arc::default(),
        is_ended: AtomicBool::new(false),
        request_id,
        route,
        service,
        arrived,
        deadline,
        parts: RequestParts { head, body, upload },
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

/// Result of one attempt to choose a target and send the call to it.
enum AttemptResult {
    Sent(SendResult),
    NotSent(ErrorKind),
}

/// A call that waits in its service's queue for a target; it leaves the queue when this is dropped.
struct QueuedCall<'a> {
    call: &'a CallContext,
    position: QueuePosition,
}

impl<'a> QueuedCall<'a> {
    fn new(call: &'a CallContext) -> Self {
        let mut service_pools = call.gateway.service_pools();
        let position = service_pools.join_queue(&call.service, call.route.spec.priority, call.arrived);
        Self { call, position }
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        let are_others_waiting =
            self.call.gateway.service_pools().leave_queue(&self.call.service, self.position);
        if are_others_waiting {
            self.call.gateway.state_changed.notify_waiters();
        }
    }
}

/// Sends a call, with retries and at most one hedge, until it has a response.
async fn run(call: &CallContext) -> Response<ResponseBody> {
    call.gateway.service_pools().record_request(call.arrived, &call.service);
    let deadline = call.gateway.clock.instant(call.deadline);
    let mut attempts = CallAttempts {
        call,
        in_flight: FuturesUnordered::new(),
        started: 0,
        executed_error: None,
        failed_response: None,
    };
    attempts.start();
    let mut hedge_time = Box::pin(wait_for_hedge_time(call));
    let mut may_hedge = call.may_repeat();
    let mut quarantine = Box::pin(wait_for_quarantine(call));
    loop {
        tokio::select! {
            biased;
            Some(end) = attempts.in_flight.next() => {
                if let Some(response) = attempts.on_attempt_end(end) {
                    return response;
                }
            }
            () = sleep_until(deadline) => return attempts.on_deadline(),
            // An instance that leaves lets its requests end.
            () = &mut quarantine, if !call.gateway.is_leaving() => return attempts.on_quarantine(),
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
        error_response(kind, Some(call.retry_after()))
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

/// Chooses a target, waiting in the service's queue if necessary, and sends the call to it.
async fn attempt(call: &CallContext, is_hedge: bool) -> AttemptResult {
    let gateway = &call.gateway;
    let started = gateway.now();
    let times = CallTimes {
        arrived: call.arrived,
        deadline: call.deadline,
        objective: call.route.spec.objective,
        usual_time: gateway.service_pools().usual_time(&call.service),
    };
    let mut probe_rounds = 0;
    let mut queued = None;
    loop {
        let mut changed = Box::pin(gateway.state_changed.notified());
        // Registered before the state is read, so that no change is missed.
        Pin::as_mut(&mut changed).enable();
        let now = gateway.now();
        let (stage, mut stage_until) = times.stage(now, started);
        match call.admission() {
            Admission::Send => {}
            Admission::Wait if is_hedge || now >= times.give_up_at(started) => {
                return AttemptResult::NotSent(ErrorKind::Overloaded);
            }
            Admission::Wait => {
                // It holds up no other calls meanwhile.
                queued = None;
                let recheck_at = gateway.clock.instant(times.give_up_at(started));
                // After a timeout, the next iteration gives up.
                let _change_or_timeout = timeout_at(recheck_at, changed).await;
                continue;
            }
            Admission::Quarantined(_) => return AttemptResult::NotSent(ErrorKind::Quarantined),
        }
        if is_hedge {
            stage_until = stage_until.min(times.hedge_until(started));
            if stage != WaitStage::FastSlot || now >= stage_until {
                return AttemptResult::NotSent(ErrorKind::Overloaded);
            }
        }
        let give_up_at = if is_hedge { stage_until } else { times.give_up_at(started) };
        // From the stage of spare slots on, the call takes only slots that no queued call can use.
        let is_queued = !is_hedge && !matches!(stage, WaitStage::SpareSlot | WaitStage::Expired);
        if is_queued != queued.is_some() {
            queued = is_queued.then(|| QueuedCall::new(call));
        }
        let tried = call.tried();
        let choice = {
            let mut service_pools = gateway.service_pools();
            let position = queued.as_ref().map(|q| q.position);
            let competes = is_hedge || position.is_some();
            let calls_ahead = if competes { service_pools.ahead_of(&call.service, position) } else { 0 };
            service_pools.choose_target(
                now,
                &call.service,
                &ChoiceRequest { excluded: &tried, probe_rounds, stage, calls_ahead, give_up_at },
            )
        };
        let recheck_at = match choice {
            Choice::Send(listing) => {
                if is_hedge && !spend_hedge(call) {
                    let (service, target) = (&call.service, &listing.id);
                    gateway.service_pools().record_end(now, service, target, HealthSignal::Neutral);
                    return AttemptResult::NotSent(ErrorKind::Overloaded);
                }
                drop(queued);
                return AttemptResult::Sent(send_and_record(call, listing, probe_rounds).await);
            }
            Choice::NoTarget if gateway.service_pools().has_target(&call.service) => {
                return AttemptResult::NotSent(ErrorKind::Overloaded);
            }
            Choice::NoTarget => return AttemptResult::NotSent(ErrorKind::NoTarget),
            Choice::Probe(listings) => {
                probe_rounds += 1;
                for listing in listings {
                    probe::start(gateway, listing);
                }
                stage_until
            }
            Choice::Wait(time) => stage_until.min(now + time),
        };
        // After a timeout, the next iteration decides with the state at that time.
        let _change_or_timeout = timeout_at(gateway.clock.instant(recheck_at), changed).await;
    }
}

fn spend_hedge(call: &CallContext) -> bool {
    let within_budget = call.gateway.service_pools().try_spend_repeat(call.gateway.now(), &call.service);
    call.gateway.metrics.record_repeat(RepeatCause::Late, within_budget);
    call.record(RequestEvent::Repeat { cause: RepeatCause::Late, within_budget });
    within_budget
}

async fn send_and_record(call: &CallContext, listing: Listing, rounds: u32) -> SendResult {
    let target = listing.id.clone();
    call.tried.lock().unwrap_or_else(PoisonError::into_inner).push(target.clone());
    let now = call.gateway.now();
    *call.latest_send.lock().unwrap_or_else(PoisonError::into_inner) = Some((listing.clone(), now));
    let (reading, rate_limit) = {
        let service_pools = call.gateway.service_pools();
        let reading = service_pools.latest_reading(now, &listing.service, &target);
        (reading, service_pools.rate_limit(&listing.service, &target))
    };
    if rate_limit.is_some() {
        call.gateway.metrics.record_send_to_limited();
    }
    call.record(RequestEvent::Sent { target: target.clone(), reading, rate_limit, rounds });
    let result = send(call, listing).await;
    let outcome = result.outcome();
    call.gateway.metrics.record_send(outcome);
    let process = if let SendResult::Lost(process) = result { Some(process) } else { None };
    let failure = if let SendResult::Unsent(failure) = result { failure } else { None };
    if let Some(process) = process {
        call.gateway.metrics.record_lost_send(process);
    }
    call.record(RequestEvent::SendEnded { target, outcome, process, failure });
    result
}
