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
    logging::{Quoted, SELF_LIMITED_MODULE},
    routing::{Route, RoutingVersion},
    units::{MonoTime, ServiceName, TargetId},
};

/// Requests a second that are written because something went wrong with them.
const NOTABLE_PER_S: f64 = 40.0;

/// Those that may be written at once; a burst of failures lasts some seconds.
const NOTABLE_BURST: f64 = 400.0;

/// One in so many of the other requests is written.
const PLAIN_SAMPLE: u64 = 64;

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
pub enum Step {
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
pub enum End {
    /// With the answer of a target.
    Answered(u16),
    /// With an error of this instance.
    Refused(ErrorKind),
    /// The caller left.
    CallerLeft,
}

/// Decides which requests are written; counts the others.
#[derive(Debug, Default)]
pub struct TrailLimit {
    state: Mutex<LimitState>,
}

#[derive(Debug)]
struct LimitState {
    left: f64,
    filled_at: MonoTime,
    plain: u64,
    /// Notable requests left out since this was last asked.
    left_out: u64,
}

impl Default for LimitState {
    fn default() -> Self {
        Self { left: NOTABLE_BURST, filled_at: MonoTime::default(), plain: 0, left_out: 0 }
    }
}

impl TrailLimit {
    /// Returns whether a request that ends now is written.
    pub fn admit(&self, now: MonoTime, is_notable: bool) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !is_notable {
            state.plain += 1;
            return state.plain % PLAIN_SAMPLE == 1;
        }
        let filled = state.left + now.since(state.filled_at).as_secs_f64() * NOTABLE_PER_S;
        state.left = filled.min(NOTABLE_BURST);
        state.filled_at = now;
        if state.left < 1.0 {
            state.left_out += 1;
            return false;
        }
        state.left -= 1.0;
        true
    }

    /// Returns the notable requests that were left out since this was last asked.
    pub fn take_left_out(&self) -> u64 {
        std::mem::take(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner).left_out)
    }
}

/// Decisions on one request so far.
#[derive(Debug)]
pub struct Trail {
    /// The caller's identifier of the request.
    request: String,
    route: Arc<Route>,
    service: ServiceName,
    routing: RoutingVersion,
    arrived: MonoTime,
    deadline: MonoTime,
    steps: Mutex<Vec<(MonoTime, Step)>>,
}

impl Trail {
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
            steps: Mutex::default(),
        }
    }

    /// Notes a decision.
    pub fn note(&self, now: MonoTime, step: Step) {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner).push((now, step));
    }

    /// Writes the request's lines if the limit lets them through.
    pub fn end(&self, now: MonoTime, end: End, limit: &TrailLimit) {
        let steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        let took = now.since(self.arrived);
        let in_objective = took <= self.route.spec.objective;
        let is_plain = matches!(end, End::Answered(..500)) && in_objective && steps.len() <= 2;
        if !limit.admit(now, !is_plain) {
            return;
        }
        for line in self.lines(&steps, took, in_objective, end) {
            log::info!(target: SELF_LIMITED_MODULE, "{line}");
        }
    }

    fn lines(&self, steps: &[(MonoTime, Step)], took: Duration, in_objective: bool, end: End) -> Vec<String> {
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
        for (at, step) in steps {
            let after_ms = at.since(self.arrived).as_millis();
            let mut line = String::new();
            // Writing into a string can't fail.
            let _written = match step {
                Step::Sent { target, reading, rounds } => {
                    let reading = DisplayReading(*reading);
                    let head = "event=request-sent";
                    write!(
                        line,
                        "{head} request={request} after_ms={after_ms} target={target} {reading} rounds={rounds}"
                    )
                }
                Step::SendEnded { target, outcome } => {
                    let head = "event=send-ended";
                    write!(
                        line,
                        "{head} request={request} after_ms={after_ms} target={target} outcome={outcome}"
                    )
                }
                Step::Repeat { cause, within_budget } => write!(
                    line,
                    "event=request-repeat request={request} after_ms={after_ms} cause={cause} \
                     within_budget={within_budget}"
                ),
            };
            lines.push(line);
        }
        let outcome = match end {
            End::Answered(status) => format!("outcome=answered status={status}"),
            End::Refused(kind) => format!("outcome={} cause={kind}", kind.answer().outcome),
            End::CallerLeft => "outcome=caller-left".to_owned(),
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
