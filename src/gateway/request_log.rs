//! Logs the decisions on a request once the request has ended: either all of its lines or none.

use std::{
    fmt::Write as _,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use derive_more::Display;
use hyper::{HeaderMap, StatusCode};

use super::{platform_adapter::CallHeaders, rate_limits};
use crate::{
    decide::{probed_target::LoadReading, suspects::RequestIdentity, unconfirmed_ends::ProcessState},
    error::ErrorKind,
    logging::{Quoted, SELF_LIMITED_MODULE},
    proxy::connection::ConnectFailure,
    routing::{Route, RoutingVersion},
    units::{InstanceId, MonoTime, PerSecond, ServiceName, TargetId},
};

/// Notable requests that are logged per second in the long run. A request is notable unless it got a response
/// with a status below 500 after a single send and within its latency objective.
const MAX_NOTABLE_PER_S: f64 = 40.0;

/// Notable requests that may be logged at once: a burst of failures lasts several seconds.
const NOTABLE_BURST: f64 = 400.0;

/// Of the ordinary requests, one in this many is logged.
const ORDINARY_SAMPLE_INTERVAL: u64 = 64;

/// Result of a send, as metrics and logs name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum SendOutcome {
    /// The target responded with a 2xx status or with a body too large to be buffered.
    Answered,
    /// The target executed the request and responded with a status other than 2xx.
    Failed,
    /// The target states that it did not execute the request.
    NotRun,
    /// Nothing was sent to the target.
    Unsent,
    /// The target's response can't be forwarded; the target may have executed the request.
    Unusable,
    /// No valid response came; the target may have executed the request.
    Lost,
}

/// Why a request is sent again, as metrics and logs name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum RepeatCause {
    /// Retry: the target responded with a status other than 2xx.
    Failed,
    /// Retry: no valid response came.
    Lost,
    /// Retry: the target did not execute the request.
    NotRun,
    /// Hedge: the first target has not responded yet and is expected to be late.
    Late,
}

/// What the head of a target's response says, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseSummary {
    /// Status that the target gave.
    pub status: u16,
    /// Whether the response bears the target's proof.
    pub has_proof: bool,
}

/// A decision on a request, or the end of a send.
#[derive(Debug, Clone)]
pub enum RequestEvent {
    /// The request is sent to a target.
    Sent {
        /// The chosen target.
        target: TargetId,
        /// Latest load reading of the target and its age; `None` if there is none.
        reading: Option<(LoadReading, Duration)>,
        /// Rate limit that the target states; `None` if it states none.
        rate_limit: Option<PerSecond>,
        /// Rounds of probes that the choice took.
        rounds: u32,
    },
    /// A send ended.
    SendEnded {
        /// The target of the send.
        target: TargetId,
        /// Result of the send.
        outcome: SendOutcome,
        /// The target's response, if it was read further than to a refusal.
        response: Option<ResponseSummary>,
        /// What is known of the target's process after a lost send.
        process: Option<ProcessState>,
        /// Why there was no connection for a send that was not made.
        failure: Option<ConnectFailure>,
    },
    /// The request is offered to another instance.
    Forwarded {
        /// The other instance.
        instance: InstanceId,
    },
    /// The other instance has answered, or not.
    ForwardEnded {
        /// The other instance.
        instance: InstanceId,
        /// What became of the offer.
        outcome: SendOutcome,
        /// The other instance's response to a call that it has taken.
        response: Option<ResponseSummary>,
    },
    /// The request should be sent again.
    Repeat {
        /// Reason for the repeat.
        cause: RepeatCause,
        /// Whether the repeat budget allows it.
        within_budget: bool,
    },
}

/// How a request ended from the caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a target's response of this status.
    Answered(u16),
    /// With an error response of this instance.
    Refused(ErrorKind),
    /// The caller closed the connection before the response.
    CallerLeft,
}

/// Decides which requests are logged: a token bucket for notable ones, a fixed sample of the others.
#[derive(Debug, Default)]
pub struct RequestLogLimiter {
    state: Mutex<LimiterState>,
}

#[derive(Debug)]
struct LimiterState {
    tokens: f64,
    refilled_at: MonoTime,
    ordinary_count: u64,
    /// Notable requests not logged since the last [`RequestLogLimiter::take_skipped_count`].
    skipped: u64,
}

impl Default for LimiterState {
    fn default() -> Self {
        Self { tokens: NOTABLE_BURST, refilled_at: MonoTime::default(), ordinary_count: 0, skipped: 0 }
    }
}

impl RequestLogLimiter {
    /// Returns whether a request that ends now is logged.
    pub fn admit(&self, now: MonoTime, is_notable: bool) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !is_notable {
            state.ordinary_count += 1;
            return state.ordinary_count % ORDINARY_SAMPLE_INTERVAL == 1;
        }
        let refilled = state.tokens + now.since(state.refilled_at).as_secs_f64() * MAX_NOTABLE_PER_S;
        state.tokens = refilled.min(NOTABLE_BURST);
        state.refilled_at = now;
        if state.tokens < 1.0 {
            state.skipped += 1;
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    /// Returns the number of notable requests that were not logged since the last invocation.
    pub fn take_skipped_count(&self) -> u64 {
        std::mem::take(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner).skipped)
    }
}

/// The decisions on one request so far.
#[derive(Debug)]
pub struct RequestLog {
    /// Identifier that the caller gave the request.
    request: String,
    identity: RequestIdentity,
    route: Arc<Route>,
    service: ServiceName,
    routing: RoutingVersion,
    arrived: MonoTime,
    deadline: MonoTime,
    events: Mutex<Vec<(MonoTime, RequestEvent)>>,
}

impl RequestLog {
    /// Creates the log of an admitted request, from the identifier that the caller gave it and its identity.
    /// `times` are its arrival and its deadline.
    pub fn new(
        (request, identity): (&[u8], RequestIdentity),
        route: &Arc<Route>,
        service: &ServiceName,
        routing: RoutingVersion,
        times: (MonoTime, MonoTime),
    ) -> Self {
        let (arrived, deadline) = times;
        Self {
            request: String::from_utf8_lossy(request).into_owned(),
            identity,
            route: Arc::clone(route),
            service: service.clone(),
            routing,
            arrived,
            deadline,
            events: Mutex::default(),
        }
    }

    /// Records a decision or the end of a send.
    pub fn record(&self, now: MonoTime, event: RequestEvent) {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push((now, event));
    }

    /// Logs the request's lines if the limiter admits them.
    pub fn end(&self, now: MonoTime, end: RequestEnd, limiter: &RequestLogLimiter) {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let took = now.since(self.arrived);
        let in_objective = took <= self.route.spec.objective;
        let is_ordinary = matches!(end, RequestEnd::Answered(..500)) && in_objective && events.len() <= 2;
        if !limiter.admit(now, !is_ordinary) {
            return;
        }
        for line in self.lines(&events, took, in_objective, end) {
            log::info!(target: SELF_LIMITED_MODULE, "{line}");
        }
    }

    fn lines(
        &self,
        events: &[(MonoTime, RequestEvent)],
        took: Duration,
        in_objective: bool,
        end: RequestEnd,
    ) -> Vec<String> {
        let request = Quoted(&self.request);
        let spec = &self.route.spec;
        let mut lines = vec![format!(
            "event=request-admitted request={request} route={} service={} kind={} priority={} routing={} \
             objective_ms={} deadline_ms={} identity={} path_identity={} content_identity={}",
            Quoted(&spec.name),
            self.service,
            spec.kind,
            spec.priority,
            self.routing,
            spec.objective.as_millis(),
            self.deadline.since(self.arrived).as_millis(),
            self.identity.exact,
            self.identity.path,
            self.identity.content
        )];
        for (at, event) in events {
            let after_ms = at.since(self.arrived).as_millis();
            let mut line = String::new();
            // Writing to a string never fails.
            let _written = match event {
                RequestEvent::Sent { target, reading, rate_limit, rounds } => {
                    let reading = DisplayReading(*reading);
                    let head = "event=request-sent";
                    write!(
                        line,
                        "{head} request={request} after_ms={after_ms} target={target} {reading} limit_per_s={} \
                         rounds={rounds}",
                        rate_limits::display(*rate_limit)
                    )
                }
                RequestEvent::SendEnded { target, outcome, response, process, failure } => {
                    let head = "event=send-ended";
                    let response = response.map(|response| response.to_string()).unwrap_or_default();
                    let process = process.map(|process| format!(" process={process}")).unwrap_or_default();
                    let failure = failure.map(|failure| format!(" connect={failure}")).unwrap_or_default();
                    write!(
                        line,
                        "{head} request={request} after_ms={after_ms} target={target} outcome={outcome}{response}\
                         {process}{failure}"
                    )
                }
                RequestEvent::Forwarded { instance } => write!(
                    line,
                    "event=request-forwarded request={request} after_ms={after_ms} instance={instance}"
                ),
                RequestEvent::ForwardEnded { instance, outcome, response } => {
                    let response = response.map(|response| response.to_string()).unwrap_or_default();
                    write!(
                        line,
                        "event=forward-ended request={request} after_ms={after_ms} instance={instance} \
                         outcome={outcome}{response}"
                    )
                }
                RequestEvent::Repeat { cause, within_budget } => write!(
                    line,
                    "event=request-repeat request={request} after_ms={after_ms} cause={cause} \
                     within_budget={within_budget}"
                ),
            };
            lines.push(line);
        }
        let outcome = match end {
            RequestEnd::Answered(status) => format!("outcome=answered status={status}"),
            RequestEnd::Refused(kind) => format!("outcome={} cause={kind}", kind.answer().outcome),
            RequestEnd::CallerLeft => "outcome=caller-left".to_owned(),
        };
        let took_ms = took.as_millis();
        lines.push(format!(
            "event=request-ended request={request} {outcome} took_ms={took_ms} in_objective={in_objective}"
        ));
        lines
    }
}

impl ResponseSummary {
    /// Summarizes a response with `status` and `headers`.
    pub fn new(status: StatusCode, headers: &HeaderMap, names: &CallHeaders) -> Self {
        Self { status: status.as_u16(), has_proof: headers.contains_key(&names.authenticity_proof) }
    }
}

impl std::fmt::Display for ResponseSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, " status={} proof={}", self.status, self.has_proof)
    }
}

/// A load reading in the format of log lines.
struct DisplayReading(Option<(LoadReading, Duration)>);

impl std::fmt::Display for DisplayReading {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some((reading, age)) = self.0 else { return f.write_str("reading=none") };
        let LoadReading { running, waiting, slots, slowdown } = reading;
        let age_ms = age.as_millis();
        write!(
            f,
            "running={running} waiting={waiting} slots={slots} pace={slowdown:.2} reading_age_ms={age_ms}"
        )
    }
}
