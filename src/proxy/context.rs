//! State of one call, and the recording of its end.

use std::{sync::Arc, time::Duration};

use hyper::{header::HeaderValue, http::request::Parts};

use super::{
    headers,
    response::{CallerResponse, error_response},
};
use crate::{
    decide::{Call, RouteKey},
    error::{ErrorKind, Outcome},
    kernel::{
        Kernel,
        in_progress::{RegisteredRequest, RequestInProgress},
        pools::ServicePool,
    },
    observe::{
        calls::{self, FirstSend},
        request_id::RequestId,
        tally::CompletedCall,
    },
    plan::{Priority, RequestKind, ServiceSpec},
    units::{MonoTime, ServiceName, TargetId},
};

/// State of one call, known before a target is chosen.
#[derive(Debug)]
pub struct CallContext {
    /// Shared state of the instance.
    pub kernel: Arc<Kernel>,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Whether, and how often, the request may be sent.
    pub kind: RequestKind,
    /// Target pool of the service.
    pub pool: Arc<ServicePool>,
    /// When the request's head arrived or, unless the caller states a deadline, when the start of its body
    /// was read.
    pub arrived: MonoTime,
    /// When the response must have begun.
    pub deadline: MonoTime,
    pub(super) call: Call,
    pub(super) refusal_means_not_run: bool,
    /// Time limit of the service's calls; the caller's deadline can only shorten it.
    service_deadline: Duration,
    /// Time within which a response must begin to meet the service's objective.
    latency_objective: Duration,
    /// Target that must not be used for this call.
    pub(super) excluded_target: Option<TargetId>,
    /// Whether this call continues the response of an earlier call whose target failed.
    pub(super) is_resumption: bool,
    /// Identifier that is sent to the target and written to the log.
    pub request_id: RequestId,
    pub(super) first_send: FirstSend,
    /// Lists the request among those in progress.
    registered: RegisteredRequest,
}

impl CallContext {
    /// Determines the route and deadline of a request.
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
        let id = kernel.next_call();
        let given = head.headers.get(headers::REQUEST_ID).map(HeaderValue::as_bytes);
        let call = Call {
            id,
            route: position.map_or(RouteKey::UNLISTED, |p| RouteKey(p as u32)),
            kind,
            priority: route.map_or(Priority::Normal, |r| r.priority),
            deadline,
            prior_attempts: headers::prior_attempts(&head.headers)?,
        };
        let service_name = service.name.clone();
        let registered = RequestInProgress { call: id, service: service_name.clone(), kind, arrived };
        Ok(Self {
            registered: kernel.register_request(registered),
            request_id: calls::assign_request_id(kernel, given, id),
            first_send: FirstSend::default(),
            kernel: Arc::clone(kernel),
            pool: kernel.pools.find(&service_name).ok_or(ErrorKind::UnknownService)?,
            service: service_name,
            kind,
            arrived,
            deadline,
            call,
            refusal_means_not_run: service.refusal_means_not_run,
            service_deadline: Duration::from_millis(service.deadline_ms),
            latency_objective: Duration::from_millis(service.objective.latency_ms),
            excluded_target: None,
            is_resumption: false,
        })
    }

    /// Returns a call that continues this call's response on any target but `excluded_target`.
    pub(super) fn resumption(&self, excluded_target: Option<TargetId>) -> Self {
        let arrived = self.kernel.clock.now();
        let deadline = arrived + self.service_deadline.min(self.progress_timeout());
        let id = self.kernel.next_call();
        let prior_attempts = self.call.prior_attempts.saturating_add(1);
        Self {
            kernel: Arc::clone(&self.kernel),
            service: self.service.clone(),
            kind: self.kind,
            pool: Arc::clone(&self.pool),
            arrived,
            deadline,
            call: Call { id, deadline, prior_attempts, ..self.call.clone() },
            refusal_means_not_run: self.refusal_means_not_run,
            service_deadline: self.service_deadline,
            latency_objective: self.latency_objective,
            excluded_target,
            is_resumption: true,
            request_id: self.request_id.clone(),
            first_send: FirstSend::default(),
            registered: self.registered.clone(),
        }
    }

    /// Rules out retries, because the request's body is streamed and not kept.
    pub(super) fn forbid_retry(&mut self) {
        if self.call.kind == RequestKind::Idempotent {
            self.call.kind = RequestKind::Unstated;
        }
    }

    /// Returns the priority of the call's route.
    pub fn priority(&self) -> Priority {
        self.call.priority
    }

    /// Returns the number of attempts made by earlier hops, as the caller states it.
    pub fn prior_attempts(&self) -> u32 {
        self.call.prior_attempts
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.kernel.clock.now())
    }

    /// Returns how long a transfer may go without progress.
    pub fn progress_timeout(&self) -> Duration {
        Duration::from_millis(self.kernel.config.progress_timeout_ms)
    }

    /// Records the end of the call and returns the error response for `kind`.
    pub fn refuse(&self, kind: ErrorKind, retry_after: Option<Duration>) -> CallerResponse {
        self.record_end(kind.answer().outcome, Some(kind), false);
        calls::log_refusal(&self.request_id, &self.service, kind);
        error_response(kind, retry_after)
    }

    /// Records the end of the call.
    pub fn record_end(&self, outcome: Outcome, cause: Option<ErrorKind>, is_success: bool) {
        self.recorder(is_success).record(outcome, cause);
    }

    /// Returns a recorder for a response that begins now.
    pub(super) fn recorder(&self, is_success: bool) -> CallRecorder {
        let now = self.kernel.clock.now();
        let latency = now.since(self.arrived);
        CallRecorder {
            kernel: Arc::clone(&self.kernel),
            service: self.service.clone(),
            kind: self.kind,
            latency,
            queue_wait: self.first_send.queue_wait(self.arrived, now),
            request_id: self.request_id.clone(),
            useful: is_success && latency <= self.latency_objective,
            recorded: false,
        }
    }
}

/// Records a call when its response ends; if dropped earlier because the caller disconnected, the outcome is
/// `ran`.
#[derive(Debug)]
pub struct CallRecorder {
    kernel: Arc<Kernel>,
    service: ServiceName,
    kind: RequestKind,
    latency: Duration,
    queue_wait: Duration,
    request_id: RequestId,
    /// Whether the response was no error and began within the service's latency objective.
    useful: bool,
    recorded: bool,
}

impl CallRecorder {
    /// Records a complete response.
    pub fn record_complete(self) {
        self.record(Outcome::Ran, None);
    }

    /// Records a response that ended early.
    pub fn record_truncated(mut self) {
        self.useful = false;
        calls::log_refusal(&self.request_id, &self.service, ErrorKind::BodyCut);
        self.record(Outcome::Unknown, Some(ErrorKind::BodyCut));
    }

    fn record(mut self, outcome: Outcome, cause: Option<ErrorKind>) {
        self.push(outcome, cause);
    }

    fn push(&mut self, outcome: Outcome, cause: Option<ErrorKind>) {
        self.recorded = true;
        self.kernel.tally.record(CompletedCall {
            service: Some(self.service.clone()),
            kind: self.kind,
            outcome,
            cause,
            useful: self.useful,
            latency: self.latency,
            queue_wait: self.queue_wait,
            head_of_line: Duration::ZERO,
        });
    }
}

impl Drop for CallRecorder {
    fn drop(&mut self) {
        if !self.recorded {
            self.push(Outcome::Ran, None);
        }
    }
}
