//! What was decided on a request, written as log lines once it has ended: all of them or none.

use std::{
    fmt::Write as _,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use derive_more::Display;

use crate::{
    decide::probed::Reading,
    error::ErrorKind,
    logging::{Quoted, SELF_LIMITED},
    routing::{Route, RoutingVersion},
    units::{MonoTime, ServiceName, TargetId},
};

/// Requests a second that are written because something went wrong with them.
const MAX_NOTABLE_PER_S: f64 = 40.0;

/// Those that may be written at once; a burst of failures lasts some seconds.
const NOTABLE_BURST: f64 = 400.0;

/// One in so many of the other requests is written.
const ORDINARY_SAMPLE_INTERVAL: u64 = 64;

/// What became of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum SendOutcome {
    /// A good answer of the target.
    Answered,
    /// The target's own answer that it failed.
    Failed,
    /// The target states that it did not run the request.
    NotRun,
    /// Nothing was sent.
    Unsent,
    /// It may have run, and no answer of the target came.
    Lost,
}

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum RepeatCause {
    /// The target failed it.
    Failed,
    /// No answer came.
    Lost,
    /// The target did not run it.
    NotRun,
    /// No answer has come for a good part of the objective.
    Late,
}

/// One decision on a request.
#[derive(Debug, Clone)]
pub enum RequestEvent {
    /// It goes to a target, by a reading of this age.
    Sent {
        /// Target.
        target: TargetId,
        /// Latest reading and its age.
        reading: Option<(Reading, Duration)>,
        /// Rounds of probes that were made for the choice.
        rounds: u32,
    },
    /// A send has ended.
    SendEnded {
        /// Target.
        target: TargetId,
        /// How.
        outcome: SendOutcome,
    },
    /// It may or may not be sent once more.
    Repeat {
        /// Why.
        cause: RepeatCause,
        /// Whether the budget allowed it.
        within_budget: bool,
    },
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// With the answer of a target.
    Answered(u16),
    /// With an error of this instance.
    Refused(ErrorKind),
    /// The caller left.
    CallerLeft,
}

/// Decides which requests are written; counts the others.
#[derive(Debug, Default)]
pub struct RequestLogLimiter {
    state: Mutex<LimiterState>,
}

#[derive(Debug)]
struct LimiterState {
    tokens: f64,
    refilled_at: MonoTime,
    ordinary: u64,
    /// Notable requests left out since this was last asked.
    skipped: u64,
}

impl Default for LimiterState {
    fn default() -> Self {
        Self { tokens: NOTABLE_BURST, refilled_at: MonoTime::default(), ordinary: 0, skipped: 0 }
    }
}

impl RequestLogLimiter {
    /// Returns whether a request that ends now is written.
    pub fn admit(&self, now: MonoTime, is_notable: bool) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !is_notable {
            state.ordinary += 1;
            return state.ordinary % ORDINARY_SAMPLE_INTERVAL == 1;
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

    /// Returns the notable requests that were left out since this was last asked.
    pub fn take_skipped_count(&self) -> u64 {
        std::mem::take(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner).skipped)
    }
}

/// Decisions on one request so far.
#[derive(Debug)]
pub struct RequestLog {
    /// The caller's identifier of the request.
    request: String,
    route: Arc<Route>,
    service: ServiceName,
    routing: RoutingVersion,
    arrived: MonoTime,
    deadline: MonoTime,
    events: Mutex<Vec<(MonoTime, RequestEvent)>>,
}

impl RequestLog {
    /// Starts with a request that was admitted.
    pub fn new(
        request: &[u8],
        route: &Arc<Route>,
        service: &ServiceName,
        routing: RoutingVersion,
        times: (MonoTime, MonoTime),
    ) -> Self {
        let (arrived, deadline) = times;
        Self {
            request: String::from_utf8_lossy(request).into_owned(),
            route: Arc::clone(route),
            service: service.clone(),
            routing,
            arrived,
            deadline,
            events: Mutex::default(),
        }
    }

    /// Notes a decision.
    pub fn record(&self, now: MonoTime, event: RequestEvent) {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push((now, event));
    }

    /// Writes the request's lines if the limit lets them through.
    pub fn end(&self, now: MonoTime, end: RequestEnd, limit: &RequestLogLimiter) {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let took = now.since(self.arrived);
        let in_objective = took <= self.route.spec.objective;
        let is_ordinary = matches!(end, RequestEnd::Answered(..500)) && in_objective && events.len() <= 2;
        if !limit.admit(now, !is_ordinary) {
            return;
        }
        for line in self.lines(&events, took, in_objective, end) {
            log::info!(target: SELF_LIMITED, "{line}");
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
             objective_ms={} deadline_ms={}",
            Quoted(&spec.name),
            self.service,
            spec.kind,
            spec.priority,
            self.routing,
            spec.objective.as_millis(),
            self.deadline.since(self.arrived).as_millis()
        )];
        for (at, event) in events {
            let after_ms = at.since(self.arrived).as_millis();
            let mut line = String::new();
            // Writing into a string can't fail.
            let _written = match event {
                RequestEvent::Sent { target, reading, rounds } => {
                    let reading = DisplayReading(*reading);
                    let head = "event=request-sent";
                    write!(
                        line,
                        "{head} request={request} after_ms={after_ms} target={target} {reading} rounds={rounds}"
                    )
                }
                RequestEvent::SendEnded { target, outcome } => {
                    let head = "event=send-ended";
                    write!(
                        line,
                        "{head} request={request} after_ms={after_ms} target={target} outcome={outcome}"
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

/// A reading as a log line names it.
struct DisplayReading(Option<(Reading, Duration)>);

impl std::fmt::Display for DisplayReading {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some((reading, age)) = self.0 else { return f.write_str("reading=none") };
        let Reading { running, waiting, slots, pace } = reading;
        let age_ms = age.as_millis();
        write!(f, "running={running} waiting={waiting} slots={slots} pace={pace:.2} reading_age_ms={age_ms}")
    }
}
