//! One call: follows the pool's directives until the caller has its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{
    StreamExt,
    future::{BoxFuture, FutureExt},
    stream::FuturesUnordered,
};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, Uri, Version,
    body::Incoming,
    header::{self, HeaderValue},
    http::request::Parts,
};

use super::{
    answer::{AnswerBody, refusal},
    body::TargetBody,
    connection::{Connection, Sent},
    headers,
};
use crate::{
    decide::{Attempt, AttemptEnd, Call, Event, LoadReport, RouteKey},
    error::{ErrorKind, Outcome},
    kernel::{
        InProgress, Kernel,
        pools::{Directive, PoolCell},
    },
    observe::tally::CallEnd,
    plan::{Priority, RequestKind, ServiceSpec, TargetSpec},
    units::{CallId, MonoTime, ServiceName},
};

/// A request with its whole body, as it can be sent more than once.
#[derive(Debug)]
pub struct RequestParts {
    /// Head as the caller sent it.
    pub head: Parts,
    /// Whole body.
    pub body: Bytes,
}

/// What is known of a call before it is decided on.
#[derive(Debug)]
pub struct CallContext {
    /// Shared state of the instance.
    pub kernel: Arc<Kernel>,
    /// Service.
    pub service: ServiceName,
    /// Whether and how often the request may be sent.
    pub kind: RequestKind,
    /// Pool of the service.
    pub cell: Arc<PoolCell>,
    /// When the request's head arrived.
    pub arrived: MonoTime,
    /// Point by which an answer must begin.
    pub deadline: MonoTime,
    call: Call,
    /// Time within which an answer must begin to count as useful.
    useful_within: Duration,
    refusal_means_not_run: bool,
}

impl CallContext {
    /// Finds the route and deadline of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] for malformed headers, [`ErrorKind::UnknownService`] when the pool has just
    /// been removed.
    pub fn new(
        kernel: &Arc<Kernel>,
        service: &ServiceSpec,
        arrived: MonoTime,
        head: &Parts,
    ) -> Result<Self, ErrorKind> {
        let path = head.uri.path();
        let route = service.route(head.method.as_str(), path);
        let position = route.and_then(|r| service.routes.iter().position(|other| other == r));
        let kind = route.map_or(RequestKind::Unstated, |r| r.kind);
        let deadline = arrived + super::deadline(service, head)?;
        let call = Call {
            id: kernel.next_call(),
            route: position.map_or(RouteKey::UNLISTED, |p| RouteKey(p as u32)),
            kind,
            priority: route.map_or(Priority::Normal, |r| r.priority),
            deadline,
            prior_attempts: headers::prior_attempts(&head.headers)?,
        };
        Ok(Self {
            kernel: Arc::clone(kernel),
            service: service.name.clone(),
            kind,
            cell: kernel.pools.find(&service.name).ok_or(ErrorKind::UnknownService)?,
            arrived,
            deadline,
            call,
            useful_within: Duration::from_millis(service.objective.latency_ms),
            refusal_means_not_run: service.refusal_means_not_run,
        })
    }

    /// Returns the identifier that follows the call to the target and through the logs.
    pub fn request_id(&self) -> String {
        format!("{}-{}", self.kernel.run_id, self.call.id)
    }

    fn remaining(&self) -> Duration {
        self.deadline.since(self.kernel.clock.now())
    }

    /// Counts the end of the call and makes an answer for `kind`.
    pub fn refuse(&self, kind: ErrorKind, retry_after: Option<Duration>) -> Response<AnswerBody> {
        self.count(kind.answer().outcome, Some(kind), false);
        refusal(kind, retry_after)
    }

    /// Counts the end of the call.
    pub fn count(&self, outcome: Outcome, cause: Option<ErrorKind>, answered_well: bool) {
        let latency = self.kernel.clock.now().since(self.arrived);
        let useful = answered_well && latency <= self.useful_within;
        self.kernel.tally.record(CallEnd {
            service: Some(self.service.clone()),
            kind: self.kind,
            outcome,
            cause,
            useful,
            latency,
            queue_wait: Duration::ZERO,
            head_of_line: Duration::ZERO,
        });
    }
}

/// One send in progress; reports its end exactly once.
#[derive(Debug)]
pub struct SendGuard {
    kernel: Arc<Kernel>,
    cell: Arc<PoolCell>,
    call: CallId,
    attempt: Attempt,
    /// Reused once the answer is complete.
    connection: Option<Connection>,
    ended: bool,
    _in_progress: InProgress,
}

impl SendGuard {
    fn new(context: &CallContext, attempt: Attempt) -> Self {
        Self {
            kernel: Arc::clone(&context.kernel),
            cell: Arc::clone(&context.cell),
            call: context.call.id,
            attempt,
            connection: None,
            ended: false,
            _in_progress: context.kernel.enter(),
        }
    }

    fn began(&self, report: LoadReport) {
        self.cell.handle(Event::AnswerBegan { call: self.call, attempt: self.attempt, report });
    }

    /// Reports the end of the send.
    pub fn end(mut self, end: AttemptEnd) {
        self.report(end);
    }

    fn report(&mut self, end: AttemptEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let connection = self.connection.take();
        if let (AttemptEnd::Answered, Some(connection)) = (end, connection) {
            self.kernel.connections.give_back(connection);
        }
        self.cell.handle(Event::Ended { call: self.call, attempt: self.attempt, end });
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.report(AttemptEnd::Cancelled);
    }
}

/// Tells the pool that the call is over, also when the caller leaves.
struct CloseGuard<'a> {
    cell: &'a PoolCell,
    call: CallId,
}

impl Drop for CloseGuard<'_> {
    fn drop(&mut self) {
        self.cell.close(self.call);
    }
}

/// An answer's head with the send it belongs to.
struct Head {
    response: Response<Incoming>,
    guard: SendGuard,
}

/// What one send gave.
enum SendResult {
    /// An answer below 500.
    Answered(Head),
    /// An answer of 500 or above; the pool decides what becomes of it.
    Failed(Attempt, Response<Incoming>),
    /// No answer; the pool has been told and decides.
    Nothing,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallResult {
    /// The target's answer, already counted.
    Answer(Response<AnswerBody>),
    /// No answer of a target.
    Refused(ErrorKind, Option<Duration>),
}

/// Runs a call and makes the caller's answer.
pub async fn run(context: &CallContext, parts: &RequestParts) -> Response<AnswerBody> {
    match follow(context, parts).await {
        CallResult::Answer(response) => response,
        CallResult::Refused(kind, retry_after) => context.refuse(kind, retry_after),
    }
}

/// Follows the pool's directives until the call has an answer or is refused.
pub async fn follow(context: &CallContext, parts: &RequestParts) -> CallResult {
    let mut directives = context.cell.begin(context.call.clone());
    let _close = CloseGuard { cell: &context.cell, call: context.call.id };
    let mut sends = Sends::default();
    loop {
        let directive = tokio::select! {
            biased;
            Some(result) = sends.running.next() => match result {
                SendResult::Answered(head) => return pass_on(context, head),
                SendResult::Failed(attempt, response) => {
                    sends.held = Some((attempt, response));
                    continue;
                }
                SendResult::Nothing => continue,
            },
            directive = directives.recv() => directive,
        };
        if let Some(result) = sends.take(context, parts, directive) {
            return result;
        }
    }
}

/// Sends of one call.
#[derive(Default)]
struct Sends<'a> {
    running: FuturesUnordered<BoxFuture<'a, SendResult>>,
    cancels: Vec<(Attempt, tokio::sync::oneshot::Sender<()>)>,
    /// The latest failed send's answer.
    held: Option<(Attempt, Response<Incoming>)>,
}

impl<'a> Sends<'a> {
    fn take(
        &mut self,
        context: &'a CallContext,
        parts: &'a RequestParts,
        directive: Option<Directive>,
    ) -> Option<CallResult> {
        match directive {
            Some(Directive::Send { attempt, target }) => {
                let (cancel, cancelled) = tokio::sync::oneshot::channel();
                self.cancels.push((attempt, cancel));
                let sent = send(context, parts, attempt, target);
                let sent = async move {
                    tokio::select! {
                        result = sent => result,
                        Ok(()) = cancelled => SendResult::Nothing,
                    }
                };
                self.running.push(sent.boxed());
                None
            }
            Some(Directive::Cancel { attempt }) => {
                let found = self.cancels.iter().position(|(a, _)| *a == attempt);
                let cancel = found.map(|index| self.cancels.swap_remove(index).1);
                // A send that has just ended no longer listens.
                let _ended = cancel.map(|c| c.send(()));
                None
            }
            Some(Directive::Deliver { .. }) => self.deliver_held(context),
            Some(Directive::Refuse { kind, retry_after }) => {
                Some(self.deliver_held(context).unwrap_or(CallResult::Refused(kind, retry_after)))
            }
            None => Some(CallResult::Refused(ErrorKind::Overloaded, None)),
        }
    }

    fn deliver_held(&mut self, context: &CallContext) -> Option<CallResult> {
        let (_, response) = self.held.take()?;
        context.count(Outcome::Ran, None, false);
        let (mut head, body) = response.into_parts();
        headers::strip(&mut head.headers);
        headers::set_outcome(&mut head.headers, Outcome::Ran);
        let body = body.map_err(|_cut| super::body::BodyError::Cut).boxed();
        Some(CallResult::Answer(Response::from_parts(head, body)))
    }
}

async fn send(
    context: &CallContext,
    parts: &RequestParts,
    attempt: Attempt,
    target: TargetSpec,
) -> SendResult {
    let mut guard = SendGuard::new(context, attempt);
    let once = context.kind != RequestKind::Idempotent;
    let checkout = context.kernel.connections.checkout(target.address, once);
    let Ok(Some(mut connection)) = tokio::time::timeout(context.remaining(), checkout).await else {
        guard.end(AttemptEnd::Unsent);
        return SendResult::Nothing;
    };
    let Some(request) = target_request(context, parts, attempt, &target) else {
        guard.end(AttemptEnd::Unsent);
        return SendResult::Nothing;
    };
    let sent = tokio::time::timeout(context.remaining(), connection.send(request)).await;
    let response = match sent {
        Ok(Sent::Answered(response)) => response,
        Ok(Sent::Unsent) => {
            guard.end(AttemptEnd::Unsent);
            return SendResult::Nothing;
        }
        Ok(Sent::Lost) => {
            guard.end(AttemptEnd::Lost);
            return SendResult::Nothing;
        }
        Err(_elapsed) => {
            guard.end(AttemptEnd::TimedOut);
            return SendResult::Nothing;
        }
    };
    guard.connection = Some(connection);
    let report = load_report(&response);
    if report.draining {
        context.kernel.target_said_draining(&target.id);
    }
    guard.began(report);
    let status = response.status();
    if context.refusal_means_not_run && is_stated_refusal(&response) {
        guard.end(AttemptEnd::Refused);
        return SendResult::Nothing;
    }
    if status.is_server_error() {
        // The connection is not reused: its answer may still be read by the caller.
        guard.connection = None;
        guard.end(AttemptEnd::Failed);
        return SendResult::Failed(attempt, response);
    }
    SendResult::Answered(Head { response, guard })
}

/// The contract of `refusal_means_not_run`: 503 with `Retry-After` states that nothing ran.
fn is_stated_refusal(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(header::RETRY_AFTER)
}

/// Reads what a target says of itself on an answer.
pub fn load_report(response: &Response<Incoming>) -> LoadReport {
    let in_flight = headers::number(response.headers(), &headers::LOAD).ok().flatten();
    LoadReport {
        in_flight: in_flight.map(|n| u32::try_from(n).unwrap_or(u32::MAX)),
        draining: response.headers().get(headers::TARGET_STATE).is_some_and(|v| v == "draining"),
    }
}

fn target_request(
    context: &CallContext,
    parts: &RequestParts,
    attempt: Attempt,
    target: &TargetSpec,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(parts.body.clone()));
    *request.method_mut() = parts.head.method.clone();
    let path = parts.head.uri.path_and_query()?.clone();
    *request.uri_mut() = Uri::from(path);
    *request.version_mut() = Version::HTTP_11;
    let fields = request.headers_mut();
    fields.clone_from(&parts.head.headers);
    headers::strip(fields);
    fields.remove(header::CONTENT_LENGTH);
    fields.remove(header::EXPECT);
    if !fields.contains_key(header::HOST) {
        let host = parts.head.uri.authority().map_or_else(|| target.address.to_string(), ToString::to_string);
        fields.insert(header::HOST, HeaderValue::from_str(&host).ok()?);
    }
    let remaining_ms = u64::try_from(context.remaining().as_millis()).unwrap_or(u64::MAX);
    fields.insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
    let attempts = context.call.prior_attempts.saturating_add(attempt.0);
    fields.insert(headers::ATTEMPT, HeaderValue::from(attempts));
    fields.insert(headers::REQUEST_ID, HeaderValue::from_str(&context.request_id()).ok()?);
    Some(request)
}

fn pass_on(context: &CallContext, head: Head) -> CallResult {
    context.count(Outcome::Ran, None, true);
    let (mut parts, body) = head.response.into_parts();
    headers::strip(&mut parts.headers);
    headers::set_outcome(&mut parts.headers, Outcome::Ran);
    let progress_timeout = Duration::from_millis(context.kernel.config.progress_timeout_ms);
    let body = TargetBody::new(body, head.guard, progress_timeout).boxed();
    CallResult::Answer(Response::from_parts(parts, body))
}
