//! One call: from the caller's request to its answer.

use std::{
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
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
    answer::{AnswerBody, refusal},
    exchange::{SendResult, TargetAnswer, send},
    probe,
    trail::{End, RepeatCause, Step, Trail},
};
use crate::{
    decide::{
        directory::Listing,
        hedge::{self, Hedge, InProgress},
        probed::{Ask, Pick, SendEnd},
        stages::{CallTimes, Stage},
        waiting::Place,
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

/// Time that the target of a request in progress may take to tell its load before the reading counts as missing.
const LOOK_TIMEOUT: Duration = Duration::from_millis(25);

/// Time after which a caller may come back when nothing is known of where its request goes.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Targets that are tried for one request when no connection to them can be had; each takes up to half a second.
const MAX_TARGETS_TRIED: usize = 4;

/// Longest time that a part of a request's body may take to arrive.
const BODY_PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// What is known of a call before it is sent.
#[derive(Debug)]
pub struct CallHead {
    /// Shared state.
    pub gateway: Arc<Gateway>,
    /// The caller's identifier of the request.
    pub request_id: HeaderValue,
    /// Route.
    pub route: Arc<Route>,
    /// Service that the route's split has chosen.
    pub service: ServiceName,
    /// When the head arrived.
    pub arrived: MonoTime,
    /// When the caller must have its answer.
    pub deadline: MonoTime,
    /// The request.
    pub parts: RequestParts,
    /// Targets that have or had the request.
    tried: Mutex<Vec<TargetId>>,
    /// Target of the first send, and when it was sent.
    first_send: Mutex<Option<(Listing, MonoTime)>>,
    /// What was decided on it.
    trail: Trail,
    /// Whether its end was told.
    is_ended: AtomicBool,
}

impl CallHead {
    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.gateway.now())
    }

    fn tried(&self) -> Vec<TargetId> {
        self.tried.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the target of the first send and when it was sent.
    fn first_send(&self) -> Option<(Listing, MonoTime)> {
        self.first_send.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn note(&self, step: Step) {
        self.trail.note(self.gateway.now(), step);
    }

    /// Logs and counts the end, once.
    fn end(&self, end: End) {
        if self.is_ended.swap(true, Ordering::AcqRel) {
            return;
        }
        let now = self.gateway.now();
        self.trail.end(now, end, &self.gateway.trail_limit);
        let result = match end {
            End::Answered(status) => format!("status-{}xx", status / 100),
            End::Refused(kind) => kind.to_string(),
            End::CallerLeft => "caller-left".to_owned(),
        };
        let kind = self.route.spec.kind;
        self.gateway.metrics.request(&self.service, kind, result, now.since(self.arrived));
    }

    fn may_repeat(&self) -> bool {
        self.route.spec.kind == RequestKind::Idempotent && self.parts.upload.is_none()
    }
}

impl Drop for CallHead {
    fn drop(&mut self) {
        self.end(End::CallerLeft);
    }
}

/// Answers one request.
pub async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let _in_progress = gateway.enter();
    let arrived = gateway.now();
    let request_id = request.headers().get(&gateway.place.headers.request_id).cloned();
    let mut response = match prepare(&gateway, arrived, request).await {
        Ok(call) => run(&call).await,
        Err(kind) => {
            let id = request_id.as_ref().map_or(&[][..], HeaderValue::as_bytes);
            let id = String::from_utf8_lossy(id);
            log::info!("event=request-refused request={} cause={kind}", Quoted(&id));
            refusal(kind, Some(RETRY_AFTER))
        }
    };
    if let Some(id) = request_id {
        response.headers_mut().insert(&gateway.place.headers.request_id, id);
    }
    if gateway.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Checks a request and takes its body; nothing is sent before this is done.
async fn prepare(
    gateway: &Arc<Gateway>,
    arrived: MonoTime,
    request: Request<Incoming>,
) -> Result<CallHead, ErrorKind> {
    let (head, mut body) = request.into_parts();
    headers::check_unambiguous(&head)?;
    let routing = gateway.routing().ok_or(ErrorKind::NoPlan)?;
    let route = find_route(&routing, &head).ok_or(ErrorKind::UnknownService)?;
    let names = &gateway.place.headers;
    let request_id = head.headers.get(&names.request_id).cloned().unwrap_or(HeaderValue::from_static(""));
    let stated = headers::number(&head.headers, &names.deadline_ms)?.map(Duration::from_millis);
    let timeout = route.spec.timeout;
    let deadline = arrived + stated.map_or(timeout, |stated| stated.min(timeout));
    let limit = routing.limits.max_body_bytes;
    let start = read_body_start(&mut body, limit, MAX_RETRYABLE_BODY_BYTES, BODY_PROGRESS_TIMEOUT).await?;
    let (body, upload) = if start.is_complete {
        (start.bytes, None)
    } else {
        let upload = Upload::new(start.bytes, body, limit, BODY_PROGRESS_TIMEOUT);
        (bytes::Bytes::new(), Some(Mutex::new(Some(Box::new(upload)))))
    };
    let service = route.next_service().clone();
    let times = (arrived, deadline);
    Ok(CallHead {
        gateway: Arc::clone(gateway),
        trail: Trail::new(request_id.as_bytes(), &route, &service, routing.version, times),
        is_ended: AtomicBool::new(false),
        request_id,
        route,
        service,
        arrived,
        deadline,
        parts: RequestParts { head, body, upload },
        tried: Mutex::default(),
        first_send: Mutex::default(),
    })
}

fn find_route(routing: &RoutingTable, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| head.uri.host())?;
    routing.find(host, head.uri.path()).map(Arc::clone)
}

/// How one send of a call ended, or that none could be made.
enum LegEnd {
    Sent(SendResult),
    NotSent(ErrorKind),
}

/// A call's place among those that wait for a target; left when dropped.
struct WaitingCall<'a> {
    call: &'a CallHead,
    place: Place,
}

impl<'a> WaitingCall<'a> {
    fn new(call: &'a CallHead) -> Self {
        let mut fleet = call.gateway.fleet();
        let place = fleet.enter(&call.service, call.route.spec.priority, call.arrived);
        Self { call, place }
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        let do_others_wait = self.call.gateway.fleet().leave(&self.call.service, self.place);
        if do_others_wait {
            self.call.gateway.news.notify_waiters();
        }
    }
}

/// Sends a call until it has an answer.
async fn run(call: &CallHead) -> Response<AnswerBody> {
    call.gateway.fleet().request(call.arrived, &call.service);
    let deadline = call.gateway.clock.instant(call.deadline);
    let mut sends = Sends { call, legs: FuturesUnordered::new(), started: 0, ran: None, failed: None };
    sends.start();
    let mut watch = Box::pin(watch(call));
    let mut may_hedge = call.may_repeat();
    loop {
        tokio::select! {
            biased;
            Some(end) = sends.legs.next() => {
                if let Some(response) = sends.ended(end) {
                    return response;
                }
            }
            () = sleep_until(deadline) => return sends.out_of_time(),
            () = &mut watch, if may_hedge => {
                may_hedge = false;
                sends.hedge();
            }
        }
    }
}

/// Sends of one call.
struct Sends<'a> {
    call: &'a CallHead,
    legs: FuturesUnordered<BoxFuture<'a, LegEnd>>,
    /// Sends that were started.
    started: u32,
    /// The error to tell if no answer comes, once a send may have run.
    ran: Option<ErrorKind>,
    /// A target's own answer that it failed.
    failed: Option<Box<TargetAnswer>>,
}

impl Sends<'_> {
    fn start(&mut self) {
        self.started += 1;
        self.legs.push(Box::pin(leg(self.call, false)));
    }

    /// Sends the call to a second target if a calm one is found and the budget allows it.
    fn hedge(&mut self) {
        if self.started < self.call.route.spec.max_sends {
            self.started += 1;
            self.legs.push(Box::pin(leg(self.call, true)));
        }
    }

    /// Starts another send if the route and the budget allow it; returns whether it did.
    fn start_repeat(&mut self, cause: RepeatCause) -> bool {
        let call = self.call;
        if self.started >= call.route.spec.max_sends || call.parts.is_body_consumed() {
            return false;
        }
        let may = call.gateway.fleet().spend_repeat(call.gateway.now(), &call.service);
        call.gateway.metrics.repeat(cause, may);
        call.note(Step::Repeat { cause, within_budget: may });
        if may {
            self.start();
        }
        may
    }

    /// Takes the end of a send and returns the answer if that is decided now.
    fn ended(&mut self, end: LegEnd) -> Option<Response<AnswerBody>> {
        let may_repeat = self.call.may_repeat();
        match end {
            LegEnd::Sent(SendResult::Answered(answer)) => return Some(self.pass_on(*answer)),
            LegEnd::Sent(SendResult::Failed(answer)) => {
                self.failed = Some(answer);
                self.ran = Some(ErrorKind::ConnectionLost);
                if may_repeat && self.start_repeat(RepeatCause::Failed) {
                    return None;
                }
            }
            LegEnd::Sent(SendResult::Lost) => {
                self.ran = Some(ErrorKind::ConnectionLost);
                if may_repeat && self.start_repeat(RepeatCause::Lost) {
                    return None;
                }
            }
            LegEnd::Sent(SendResult::NotRun) => {
                if self.start_repeat(RepeatCause::NotRun) {
                    return None;
                }
            }
            LegEnd::Sent(SendResult::Unsent) => {
                self.started -= 1;
                let may_try = !self.call.remaining().is_zero() && self.call.tried().len() < MAX_TARGETS_TRIED;
                if self.legs.is_empty() && may_try {
                    self.start();
                    return None;
                }
            }
            LegEnd::NotSent(kind) => return self.legs.is_empty().then(|| self.give_up(kind)),
        }
        self.legs.is_empty().then(|| self.give_up(ErrorKind::Overloaded))
    }

    fn out_of_time(&mut self) -> Response<AnswerBody> {
        if !self.legs.is_empty() {
            self.ran = Some(ErrorKind::AnswerTimeout);
        }
        self.give_up(ErrorKind::DeadlineUnreachable)
    }

    /// Answers without a good answer of a target; `unsent` is told when nothing can have run.
    fn give_up(&mut self, unsent: ErrorKind) -> Response<AnswerBody> {
        if let Some(failed) = self.failed.take() {
            return self.pass_on(*failed);
        }
        let kind = self.ran.unwrap_or(unsent);
        let call = self.call;
        call.end(End::Refused(kind));
        let gateway = &call.gateway;
        let turn = gateway.fleet().turn(gateway.now(), &call.service, gateway.sharers());
        refusal(kind, Some(turn))
    }

    fn pass_on(&self, answer: TargetAnswer) -> Response<AnswerBody> {
        self.call.end(End::Answered(answer.head.status.as_u16()));
        Response::from_parts(answer.head, answer.body)
    }
}

/// Watches a request in progress until it should be sent to a second target.
async fn watch(call: &CallHead) {
    let gateway = &call.gateway;
    let objective = call.route.spec.objective;
    loop {
        let Some((listing, sent)) = call.first_send() else {
            gateway.news.notified().await;
            continue;
        };
        let usual = gateway.fleet().usual_time(&call.service);
        let request = InProgress { arrived: call.arrived, sent, objective, usual };
        let now = gateway.now();
        let reading = gateway.fleet().reading(now, &listing.service, &listing.id);
        let fresh = reading.filter(|(_, age)| *age <= LOOK_TIMEOUT).map(|(reading, _)| reading);
        let Hedge::LookAt(at) = hedge::decide(now, &request, fresh) else { return };
        sleep_until(gateway.clock.instant(at)).await;
        probe::start(gateway, listing);
        // The next decision is made with the reading or without.
        let _news_or_time = timeout(LOOK_TIMEOUT, gateway.news.notified()).await;
    }
}

/// Chooses a target and sends the call to it.
async fn leg(call: &CallHead, is_hedge: bool) -> LegEnd {
    let gateway = &call.gateway;
    let since = gateway.now();
    let times = CallTimes {
        arrived: call.arrived,
        deadline: call.deadline,
        objective: call.route.spec.objective,
        usual: gateway.fleet().usual_time(&call.service),
    };
    let mut rounds = 0;
    let mut waiting = (!is_hedge).then(|| WaitingCall::new(call));
    loop {
        let mut news = Box::pin(gateway.news.notified());
        // Registered before the look, so that no news is missed.
        Pin::as_mut(&mut news).enable();
        let now = gateway.now();
        let (stage, stage_until) = times.stage(now, since);
        if is_hedge && stage != Stage::Easy {
            return LegEnd::NotSent(ErrorKind::Overloaded);
        }
        if !is_hedge && matches!(stage, Stage::Spare | Stage::Over) {
            // It no longer competes for the targets that the others wait for.
            waiting = None;
        }
        let tried = call.tried();
        let pick = {
            let mut fleet = gateway.fleet();
            let place = waiting.as_ref().map(|w| w.place);
            let competes = is_hedge || place.is_some();
            let ahead = if competes { fleet.ahead_of(&call.service, place) } else { 0 };
            fleet.pick(now, &call.service, &Ask { without: &tried, rounds, stage, ahead })
        };
        let look_at = match pick {
            Pick::Send { listing, takes_last_slot } => {
                if is_hedge && !spend_hedge(call) {
                    gateway.fleet().ended(now, &call.service, &listing.id, SendEnd::Dropped);
                    return LegEnd::NotSent(ErrorKind::Overloaded);
                }
                drop(waiting);
                return LegEnd::Sent(send_noted(call, listing, takes_last_slot, rounds).await);
            }
            Pick::Nothing if gateway.fleet().has_target(&call.service) => {
                return LegEnd::NotSent(ErrorKind::Overloaded);
            }
            Pick::Nothing => return LegEnd::NotSent(ErrorKind::NoTarget),
            Pick::Probe(listings) => {
                rounds += 1;
                for listing in listings {
                    probe::start(gateway, listing);
                }
                stage_until
            }
            Pick::Wait(time) => stage_until.min(now + time),
        };
        // Without news until then, the next look decides what to do.
        let _news_or_time = timeout_at(gateway.clock.instant(look_at), news).await;
    }
}

fn spend_hedge(call: &CallHead) -> bool {
    let within_budget = call.gateway.fleet().spend_repeat(call.gateway.now(), &call.service);
    call.gateway.metrics.repeat(RepeatCause::Late, within_budget);
    call.note(Step::Repeat { cause: RepeatCause::Late, within_budget });
    within_budget
}

async fn send_noted(call: &CallHead, listing: Listing, takes_last_slot: bool, rounds: u32) -> SendResult {
    let target = listing.id.clone();
    call.tried.lock().unwrap_or_else(PoisonError::into_inner).push(target.clone());
    let now = call.gateway.now();
    call.first_send.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert((listing.clone(), now));
    let reading = call.gateway.fleet().reading(now, &listing.service, &target);
    call.note(Step::Sent { target: target.clone(), reading, rounds });
    let result = send(call, listing, takes_last_slot).await;
    let outcome = result.outcome();
    call.gateway.metrics.send(outcome);
    call.note(Step::SendEnded { target, outcome });
    result
}
