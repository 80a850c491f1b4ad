//! Checks the invariants that users rely on against the history of a soak, without I/O.

use std::{collections::BTreeMap, fmt};

use arbutusshelf::collections::HashMap;
use derive_more::Display;

use super::{
    callers::FATAL_MARKER,
    history::{Arrival, Attempt, AttemptKind, AttemptResult, History, ProcessRun, RateLimitPeriod, Scope},
};

/// Limits of the invariants, which follow from the users' settings.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time without disturbance after which time limits apply to an instance again.
    pub settle_ms: u64,
    /// Time after a drain from which on the worker must receive no new request.
    pub drain_ms: u64,
    /// Time after a change of the routes from which on it must be in force.
    pub route_apply_ms: u64,
    /// Time after a route was first served in which requests may still be routed without it.
    pub rollback_ms: u64,
    /// Maximum time from SIGTERM to the exit.
    pub grace_ms: u64,
    /// Retries allowed for each request in the window.
    pub repeat_ratio: f64,
    /// Retries allowed in the window regardless of the number of requests.
    pub repeat_extra: f64,
    /// Length of the window over which retries are counted.
    pub repeat_window_ms: u64,
    /// Length of the window over which requests to a worker with a rate limit are counted.
    pub limit_window_ms: u64,
    /// Requests allowed in that window, as a multiple of what the limit states.
    pub limit_ratio: f64,
    /// Requests allowed in that window besides.
    pub limit_extra: f64,
    /// Workers that a request may end before its sends are counted, from [`Bounds::settle_ms`] later on.
    pub fatal_ends: usize,
    /// Sends allowed from then on.
    pub fatal_sends: usize,
    /// Memory that a process may use.
    pub memory_bytes: u64,
}

/// Time that a response or a cancellation may exceed its limit by, and by which the exit of a killed
/// instance may precede or follow a request and still explain its missing response, in milliseconds.
const SLACK_MS: u64 = 500;

/// Statuses by which requests are turned away as faulty.
const DENYING_STATUSES: [u16; 6] = [400, 401, 403, 404, 413, 431];

/// Number of requests that may violate an invariant before a finding is reported, for invariants that
/// tolerate some.
const TOLERATED_COUNT: usize = 3;

/// Minimum share of requests that must be served after the last disturbance.
const MIN_SERVED_SHARE: f64 = 0.25;

/// Share of the requests at other instances that must be served at instances that are cut off from all workers.
const MIN_CUT_OFF_SHARE: f64 = 2.0 / 3.0;

/// Requests that may fail at such instances, besides one in fifty of all.
const TOLERATED_CUT_OFF_COUNT: usize = 10;

/// A property that must hold throughout a soak. Findings print it under the short name given by `display`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum Invariant {
    /// At-most-once requests run at most once.
    #[display("Twice")]
    RunsAtMostOnce,
    /// At-most-once requests that are answered with 408, 421, 429 or 503 have not run.
    #[display("Refused")]
    RefusedNotRun,
    /// A response with status 2xx is the complete response that a worker gave to this request, and each response has
    /// a status of 200 to 599.
    #[display("Mixed")]
    OwnCompleteResponse,
    /// Workers run only requests that callers sent, unchanged.
    #[display("Unasked")]
    RunsAsSent,
    /// Draining workers receive no new requests after [`Bounds::drain_ms`].
    #[display("Drain")]
    NoRequestAfterDrain,
    /// Added and removed routes take effect within [`Bounds::route_apply_ms`].
    #[display("Config")]
    RoutesApplied,
    /// A process does not return to an older version of the routes.
    #[display("Regress")]
    RoutesNotReverted,
    /// Requests to routes that are always there are not turned away as faulty.
    #[display("Denied")]
    ProperNotDenied,
    /// Each request ends by its deadline.
    #[display("Deadline")]
    EndsByDeadline,
    /// Requests that reached a worker are answered.
    #[display("Lost")]
    SentIsAnswered,
    /// Retries stay within the budget.
    #[display("Budget")]
    RetryBudget,
    /// Workers that state a rate limit get no more than it allows from all instances that they told.
    #[display("Limit")]
    RateLimit,
    /// A request that ends each worker which executes it is not sent on.
    #[display("Fatal")]
    FatalNotSentOn,
    /// Requests are cancelled at workers when their callers close the connection.
    #[display("Gone")]
    CancelledWhenCallerLeaves,
    /// An instance exits within [`Bounds::grace_ms`] of SIGTERM.
    #[display("Leave")]
    LeavesInTime,
    /// Processes stay within their memory.
    #[display("Memory")]
    MemoryBounded,
    /// No process exits without a signal.
    #[display("Crash")]
    NoCrash,
    /// Requests are served again after the last disturbance.
    #[display("Recover")]
    ServesAfterDisturbances,
    /// Callers of instances that are cut off from all workers are served like those of others.
    #[display("CutOff")]
    ServesWhileCutOff,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Invariant that was violated.
    pub invariant: Invariant,
    /// What was observed, in words.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// A history, with its arrivals indexed by attempt id.
struct Checker<'a> {
    history: &'a History,
    bounds: &'a Bounds,
    arrivals: HashMap<&'a str, Vec<&'a Arrival>>,
}

/// Answers to requests for added and removed routes after the time within which changes are in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RouteAnswers {
    /// Number of all.
    pub all: usize,
    /// Number of those that instances gave which were in touch, so that they count.
    pub counted: usize,
}

/// Counts the answers that can show that a change of the routes was late.
pub fn route_answers(history: &History, bounds: &Bounds) -> RouteAnswers {
    let checker = Checker { history, bounds, arrivals: HashMap::default() };
    let mut answers = RouteAnswers::default();
    for route in &history.routes {
        let line_prefix = format!("GET {}", route.prefix);
        for attempt in history.attempts.iter().filter(|a| a.request_line.starts_with(&line_prefix)) {
            let is_answered = matches!(attempt.result, AttemptResult::Answered { .. });
            let changed_ms = match route.removed_ms {
                Some(removed_ms) if attempt.ended_ms >= removed_ms => removed_ms,
                _ => route.added_ms,
            };
            if !is_answered || attempt.sent_ms <= changed_ms + bounds.route_apply_ms {
                continue;
            }
            answers.all += 1;
            answers.counted += usize::from(checker.is_in_touch(attempt));
        }
    }
    answers
}

/// Returns a finding for every violation of an invariant.
pub fn check(history: &History, bounds: &Bounds) -> Vec<Finding> {
    let mut arrivals = HashMap::<&str, Vec<&Arrival>>::default();
    for arrival in &history.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    let checker = Checker { history, bounds, arrivals };
    let mut findings = Vec::new();
    for attempt in &history.attempts {
        checker.check_attempt(attempt, &mut findings);
    }
    checker.check_runs_as_sent(&mut findings);
    checker.check_drains(&mut findings);
    checker.check_routes(&mut findings);
    checker.check_invalid_versions(&mut findings);
    checker.check_unanswered(&mut findings);
    checker.check_budget(&mut findings);
    checker.check_rate_limits(&mut findings);
    checker.check_fatal_requests(&mut findings);
    checker.check_cancellation(&mut findings);
    checker.check_processes(&mut findings);
    checker.check_worker_cuts(&mut findings);
    checker.check_recovery(&mut findings);
    findings
}

fn report(findings: &mut Vec<Finding>, invariant: Invariant, detail: String) {
    findings.push(Finding { invariant, detail });
}

impl Checker<'_> {
    fn arrivals(&self, attempt: &Attempt) -> &[&Arrival] {
        self.arrivals.get(attempt.id.as_str()).map_or(&[], Vec::as_slice)
    }

    /// Returns whether time limits apply to an instance between two times. They do if, from
    /// [`Bounds::settle_ms`] before `from_ms`, no disturbance affected the instance or the store, and no
    /// process of it was started, was sent SIGTERM or exited without it.
    fn is_undisturbed(&self, instance: usize, from_ms: u64, to_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(self.bounds.settle_ms);
        let disturbs = |scope: &Scope| *scope == Scope::Instance(instance) || *scope == Scope::Store;
        let is_disturbed = |d: &super::history::Disturbance| d.from_ms <= to_ms && d.to_ms >= from_ms;
        let restarts = |r: &ProcessRun| {
            let end_ms = r.term_ms.or(r.exited_ms);
            r.instance == instance
                && ((from_ms..=to_ms).contains(&r.from_ms)
                    || end_ms.is_some_and(|at| at <= to_ms && at >= from_ms))
        };
        let history = self.history;
        !history.disturbances.iter().any(|d| disturbs(&d.scope) && is_disturbed(d))
            && !history.process_runs.iter().any(restarts)
    }

    /// Returns whether an instance had been undisturbed for [`Bounds::settle_ms`] when it was sent a request. What the
    /// store took in an earlier disturbance must be in force then, too.
    fn is_in_touch(&self, attempt: &Attempt) -> bool {
        self.is_undisturbed(attempt.instance, attempt.sent_ms, attempt.sent_ms)
    }

    /// Returns whether no disturbance affected a worker between two times.
    fn is_worker_undisturbed(&self, worker: &str, from_ms: u64, to_ms: u64) -> bool {
        let overlaps = |d: &super::history::Disturbance| d.from_ms <= to_ms && d.to_ms >= from_ms;
        let is_relevant =
            |d: &super::history::Disturbance| matches!(&d.scope, Scope::Worker(w) if w == worker);
        !self.history.disturbances.iter().any(|d| is_relevant(d) && overlaps(d))
    }

    fn check_attempt(&self, attempt: &Attempt, findings: &mut Vec<Finding>) {
        let runs = self.arrivals(attempt).iter().filter(|a| a.was_run).count();
        let id = &attempt.id;
        if attempt.kind == AttemptKind::AtMostOnce && runs > 1 {
            report(findings, Invariant::RunsAtMostOnce, format!("{id} ran {runs} times"));
        }
        if let AttemptResult::Answered { status, is_sealed, is_own_body } = attempt.result {
            if attempt.kind == AttemptKind::AtMostOnce && [408, 421, 429, 503].contains(&status) && runs > 0 {
                report(findings, Invariant::RefusedNotRun, format!("{id} was answered {status} and ran"));
            }
            if (200..300).contains(&status) && !(is_sealed && is_own_body && runs > 0) {
                let detail = format!(
                    "{id} got {status}: sealed {is_sealed}, body of this attempt {is_own_body}, ran {runs} times"
                );
                report(findings, Invariant::OwnCompleteResponse, detail);
            }
            if !(200..600).contains(&status) {
                let detail = format!("{id} was answered {status}, which no final response has");
                report(findings, Invariant::OwnCompleteResponse, detail);
            }
        }
        if let AttemptResult::Answered { status, .. } = attempt.result
            && DENYING_STATUSES.contains(&status)
            && !self.is_of_temporary_route(attempt)
        {
            let detail = format!("{id} was answered {status} by instance {}", attempt.instance);
            report(findings, Invariant::ProperNotDenied, detail);
        }
        let due_ms = attempt.sent_ms + attempt.timeout_ms + SLACK_MS;
        let is_late = attempt.result != AttemptResult::CallerLeft && attempt.ended_ms > due_ms;
        if is_late && self.is_undisturbed(attempt.instance, attempt.sent_ms, due_ms) {
            let took_ms = attempt.ended_ms - attempt.sent_ms;
            report(
                findings,
                Invariant::EndsByDeadline,
                format!("{id} ended after {took_ms} ms: {:?}", attempt.result),
            );
        }
    }

    fn is_of_temporary_route(&self, attempt: &Attempt) -> bool {
        let mut added = self.history.routes.iter().map(|r| &r.prefix).chain(&self.history.invalid_prefixes);
        added.any(|prefix| attempt.request_line.contains(prefix))
    }

    /// Checks that no route is served that only an invalid version has. No disturbance excuses it.
    fn check_invalid_versions(&self, findings: &mut Vec<Finding>) {
        let is_invalid =
            |a: &&Attempt| self.history.invalid_prefixes.iter().any(|p| a.request_line.contains(p));
        for attempt in self.history.attempts.iter().filter(is_invalid) {
            if matches!(attempt.result, AttemptResult::Answered { status: 200, .. }) {
                let detail = format!(
                    "{}: instance {} serves a route of an invalid version",
                    attempt.id, attempt.instance
                );
                report(findings, Invariant::RoutesApplied, detail);
            }
        }
    }

    fn check_runs_as_sent(&self, findings: &mut Vec<Finding>) {
        let attempts = self.history.attempts.iter().map(|a| (a.id.as_str(), a)).collect::<HashMap<_, _>>();
        for arrival in self.history.arrivals.iter().filter(|a| a.was_run) {
            let attempt = attempts.get(arrival.id.as_str());
            if attempt.is_none_or(|a| a.request_line != arrival.request_line || a.body != arrival.body) {
                let detail =
                    format!("{} ran {:?} for id {:?}", arrival.worker, arrival.request_line, arrival.id);
                report(findings, Invariant::RunsAsSent, detail);
            }
        }
    }

    fn check_drains(&self, findings: &mut Vec<Finding>) {
        for attempt in &self.history.attempts {
            for arrival in self.arrivals(attempt) {
                let drained = |d: &&super::history::Drain| {
                    d.worker == arrival.worker && arrival.at_ms > d.acked_ms + self.bounds.drain_ms
                };
                let Some(drain) = self.history.drains.iter().find(drained) else { continue };
                if arrival.was_run && self.is_undisturbed(attempt.instance, drain.acked_ms, arrival.at_ms) {
                    let after_ms = arrival.at_ms - drain.acked_ms;
                    let (worker, instance) = (&arrival.worker, attempt.instance);
                    let detail = format!(
                        "{} reached {worker} {after_ms} ms after its drain, sent by instance {instance}",
                        attempt.id
                    );
                    report(findings, Invariant::NoRequestAfterDrain, detail);
                }
            }
        }
    }

    fn check_routes(&self, findings: &mut Vec<Finding>) {
        for route in &self.history.routes {
            let line_prefix = format!("GET {}", route.prefix);
            let attempts = self.history.attempts.iter().filter(|a| a.request_line.starts_with(&line_prefix));
            for attempt in attempts.clone() {
                let AttemptResult::Answered { status, .. } = attempt.result else { continue };
                let applied_ms = route.added_ms + self.bounds.route_apply_ms;
                let is_live =
                    attempt.sent_ms > applied_ms && route.removed_ms.is_none_or(|at| attempt.ended_ms < at);
                if is_live && status == 404 && self.is_in_touch(attempt) {
                    let after_ms = attempt.sent_ms - route.added_ms;
                    let detail =
                        format!("{}: 404 {after_ms} ms after {} was added", attempt.id, route.prefix);
                    report(findings, Invariant::RoutesApplied, detail);
                }
                let Some(removed_ms) = route.removed_ms else { continue };
                let is_over = attempt.sent_ms > removed_ms + self.bounds.route_apply_ms;
                if is_over && status == 200 && self.is_in_touch(attempt) {
                    let after_ms = attempt.sent_ms - removed_ms;
                    let detail =
                        format!("{}: served {after_ms} ms after {} was removed", attempt.id, route.prefix);
                    report(findings, Invariant::RoutesApplied, detail);
                }
            }
            self.check_reverted_routes(route, &attempts.collect::<Vec<_>>(), findings);
        }
    }

    /// Checks that a process does not answer 404 for a route after it has served the route, until the route
    /// is removed.
    fn check_reverted_routes(
        &self,
        route: &super::history::RouteLifetime,
        attempts: &[&Attempt],
        findings: &mut Vec<Finding>,
    ) {
        for process_run in &self.history.process_runs {
            let is_relevant = |a: &&&Attempt| {
                let is_within = a.sent_ms >= process_run.from_ms
                    && process_run.exited_ms.is_none_or(|exited| a.ended_ms <= exited);
                a.instance == process_run.instance && is_within
            };
            let served = attempts
                .iter()
                .filter(is_relevant)
                .filter(|a| matches!(a.result, AttemptResult::Answered { status: 200, .. }));
            let Some(first_ms) = served.map(|a| a.ended_ms).min() else { continue };
            for attempt in attempts.iter().filter(is_relevant) {
                let is_unknown = matches!(attempt.result, AttemptResult::Answered { status: 404, .. });
                let is_later = attempt.sent_ms > first_ms + self.bounds.rollback_ms;
                if is_unknown && is_later && route.removed_ms.is_none_or(|at| attempt.ended_ms < at) {
                    let detail = format!(
                        "{}: 404 at instance {} after it had served {}",
                        attempt.id, process_run.instance, route.prefix
                    );
                    report(findings, Invariant::RoutesNotReverted, detail);
                }
            }
        }
    }

    /// Checks that requests that reached an undisturbed worker were answered, unless the instance was killed
    /// or disturbed.
    fn check_unanswered(&self, findings: &mut Vec<Finding>) {
        let mut unanswered = HashMap::<usize, Vec<&Attempt>>::default();
        for attempt in
            self.history.attempts.iter().filter(|a| matches!(a.result, AttemptResult::NoResponse(_)))
        {
            let arrivals = self.arrivals(attempt);
            let is_worker_undisturbed =
                |a: &&Arrival| self.is_worker_undisturbed(&a.worker, attempt.sent_ms, attempt.ended_ms);
            // A planned shutdown is no excuse: the instance answers requests that it read before its exit.
            let is_killed = self.history.process_runs.iter().any(|r| {
                let is_within =
                    |at: u64| at <= attempt.ended_ms + SLACK_MS && at + SLACK_MS >= attempt.sent_ms;
                r.instance == attempt.instance && r.term_ms.is_none() && r.exited_ms.is_some_and(is_within)
            });
            let (from_ms, to_ms) = (attempt.sent_ms.saturating_sub(self.bounds.settle_ms), attempt.ended_ms);
            let is_disturbed = self.history.disturbances.iter().any(|d| {
                d.scope == Scope::Instance(attempt.instance) && d.from_ms <= to_ms && d.to_ms >= from_ms
            });
            if arrivals.iter().any(is_worker_undisturbed) && !is_killed && !is_disturbed {
                unanswered.entry(attempt.instance).or_default().push(attempt);
            }
        }
        for (instance, attempts) in unanswered {
            if attempts.len() > TOLERATED_COUNT {
                let ids = attempts.iter().map(|a| a.id.as_str()).collect::<Vec<_>>().join(" ");
                report(
                    findings,
                    Invariant::SentIsAnswered,
                    format!(
                        "{} requests reached workers and were not answered by instance {instance}: {ids}",
                        attempts.len()
                    ),
                );
            }
        }
    }

    /// Checks that the retries of each window stay within the budget. The budget follows from the number of
    /// requests in the same window, or in one that starts half a window or a whole window earlier, whichever
    /// is largest.
    fn check_budget(&self, findings: &mut Vec<Finding>) {
        let bounds = self.bounds;
        let mut requests = self.history.attempts.iter().map(|a| a.sent_ms).collect::<Vec<_>>();
        requests.sort_unstable();
        let mut retries = self
            .arrivals
            .values()
            .flat_map(|arrivals| {
                let mut at = arrivals.iter().map(|a| a.at_ms).collect::<Vec<_>>();
                at.sort_unstable();
                at.into_iter().skip(1)
            })
            .collect::<Vec<_>>();
        retries.sort_unstable();
        let count = |times: &[u64], from: u64| {
            let to = from + bounds.repeat_window_ms;
            times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
        };
        for from_ms in retries.iter().copied() {
            let retry_count = count(&retries, from_ms);
            let shifts_ms = [0, bounds.repeat_window_ms / 2, bounds.repeat_window_ms];
            let request_count = shifts_ms
                .map(|shift_ms| count(&requests, from_ms.saturating_sub(shift_ms)))
                .into_iter()
                .max()
                .unwrap_or(0);
            let allowed = bounds.repeat_ratio * request_count as f64 + bounds.repeat_extra;
            if retry_count as f64 > allowed {
                let detail = format!(
                    "{retry_count} retries for {request_count} requests from {from_ms} ms, {allowed:.0} allowed"
                );
                return report(findings, Invariant::RetryBudget, detail);
            }
        }
    }

    /// Checks that workers get no more requests than the rate limits that they state, once these have been in
    /// force for [`Bounds::settle_ms`].
    fn check_rate_limits(&self, findings: &mut Vec<Finding>) {
        let attempts = self.history.attempts.iter().map(|a| (a.id.as_str(), a)).collect::<HashMap<_, _>>();
        for limit in &self.history.rate_limits {
            let is_within =
                |a: &&Arrival| a.worker == limit.worker && (limit.from_ms..limit.to_ms).contains(&a.at_ms);
            let arrivals = self.history.arrivals.iter().filter(is_within);
            let sent = arrivals.filter_map(|a| Some((a, attempts.get(a.id.as_str())?.instance)));
            let sent = sent.collect::<Vec<_>>();
            let applied_ms = limit.from_ms + self.bounds.settle_ms;
            let counted = sent.iter().filter(|(a, instance)| {
                a.at_ms >= applied_ms && self.must_keep_limit(*instance, a.at_ms, &sent)
            });
            let mut times_ms = counted.map(|(a, _)| a.at_ms).collect::<Vec<_>>();
            times_ms.sort_unstable();
            let allowed = self.allowed_by(limit);
            for (first, from_ms) in times_ms.iter().enumerate() {
                let count =
                    times_ms.partition_point(|at| *at < from_ms + self.bounds.limit_window_ms) - first;
                if count as f64 > allowed {
                    let (worker, limit) = (&limit.worker, limit.limit_per_s);
                    let detail = format!(
                        "{count} requests from {from_ms} ms at {worker}, limit {limit} a second, {allowed:.0} allowed"
                    );
                    report(findings, Invariant::RateLimit, detail);
                    break;
                }
            }
        }
    }

    fn allowed_by(&self, limit: &RateLimitPeriod) -> f64 {
        let window_s = self.bounds.limit_window_ms as f64 / 1_000.0;
        self.bounds.limit_ratio * limit.limit_per_s * window_s + self.bounds.limit_extra
    }

    /// Returns whether an instance must keep a worker's rate limit at `at_ms`: one of its requests `sent` to the
    /// worker under the limit has ended long enough before, and it was neither restarted nor disturbed since
    /// [`Bounds::settle_ms`] before.
    fn must_keep_limit(&self, instance: usize, at_ms: u64, sent: &[(&Arrival, usize)]) -> bool {
        let runs = self.history.process_runs.iter().filter(|r| r.instance == instance && r.from_ms <= at_ms);
        let started_ms = runs.map(|r| r.from_ms).max().unwrap_or(0);
        let told = sent.iter().filter(|(a, other)| *other == instance && a.at_ms >= started_ms);
        let is_told = told.filter_map(|(a, _)| a.ended_ms).any(|ended_ms| ended_ms + SLACK_MS <= at_ms);
        let from_ms = at_ms.saturating_sub(self.bounds.settle_ms);
        let is_disturbed = self
            .history
            .disturbances
            .iter()
            .any(|d| d.scope == Scope::Instance(instance) && d.from_ms <= at_ms && d.to_ms >= from_ms);
        is_told && !is_disturbed && started_ms <= from_ms
    }

    /// Checks that requests which end workers reach hardly any, some time after they have ended the third one, by
    /// instances in touch.
    fn check_fatal_requests(&self, findings: &mut Vec<Finding>) {
        let mut fatal = BTreeMap::<&str, Vec<(&Arrival, usize)>>::new();
        for attempt in self.history.attempts.iter().filter(|a| a.request_line.contains(FATAL_MARKER)) {
            let request = attempt.request_line.split('?').next().unwrap_or_default();
            let runs = self.arrivals(attempt).iter().filter(|a| a.was_run);
            fatal.entry(request).or_default().extend(runs.map(|a| (*a, attempt.instance)));
        }
        for (request, runs) in fatal {
            let end_of = |run: &Arrival| {
                let end = self.history.worker_ends.iter().find(|end| end.worker == run.worker);
                end.filter(|_| run.ended_ms.is_some()).map(|end| end.at_ms)
            };
            let mut ends_ms = runs.iter().filter_map(|(run, _)| end_of(run)).collect::<Vec<_>>();
            ends_ms.sort_unstable();
            let Some(last_ms) = self.bounds.fatal_ends.checked_sub(1).and_then(|n| ends_ms.get(n)) else {
                continue;
            };
            let settled_ms = last_ms + self.bounds.settle_ms;
            let is_late = |(run, instance): &&(&Arrival, usize)| {
                run.at_ms > settled_ms && self.is_undisturbed(*instance, run.at_ms, run.at_ms)
            };
            let late = runs.iter().filter(is_late).count();
            if late > self.bounds.fatal_sends {
                let detail = format!(
                    "{request} reached workers {late} times after {settled_ms} ms, {} ended in all",
                    ends_ms.len()
                );
                report(findings, Invariant::FatalNotSentOn, detail);
            }
        }
    }

    /// Checks that few requests reach workers after their callers left, and that at most a quarter of those
    /// that arrived before keep running.
    fn check_cancellation(&self, findings: &mut Vec<Finding>) {
        let (mut late_arrivals, mut arrivals_before, mut kept_running) = (0, 0, 0);
        for attempt in self
            .history
            .attempts
            .iter()
            .filter(|a| a.result == AttemptResult::CallerLeft && a.kind == AttemptKind::Idempotent)
        {
            let limit_ms = attempt.ended_ms + SLACK_MS;
            if !self.is_undisturbed(attempt.instance, attempt.sent_ms, limit_ms) {
                continue;
            }
            for arrival in self
                .arrivals(attempt)
                .iter()
                .filter(|a| self.is_worker_undisturbed(&a.worker, a.at_ms, limit_ms))
            {
                late_arrivals += usize::from(arrival.at_ms > limit_ms);
                arrivals_before += usize::from(arrival.was_run && arrival.at_ms <= limit_ms);
                kept_running +=
                    usize::from(arrival.was_run && arrival.ended_ms.is_none_or(|at| at > limit_ms));
            }
        }
        if late_arrivals > TOLERATED_COUNT {
            report(
                findings,
                Invariant::CancelledWhenCallerLeaves,
                format!("{late_arrivals} requests reached workers long after their callers left"),
            );
        }
        if kept_running > TOLERATED_COUNT && kept_running * 4 > arrivals_before {
            report(
                findings,
                Invariant::CancelledWhenCallerLeaves,
                format!("{kept_running} of {arrivals_before} requests kept running after their callers left"),
            );
        }
    }

    fn check_processes(&self, findings: &mut Vec<Finding>) {
        for process_run in &self.history.process_runs {
            let instance = process_run.instance;
            if process_run.is_crash {
                report(findings, Invariant::NoCrash, format!("instance {instance} exited without a signal"));
            }
            if process_run.peak_resident_bytes > self.bounds.memory_bytes {
                let detail = format!("instance {instance} used {} bytes", process_run.peak_resident_bytes);
                report(findings, Invariant::MemoryBounded, detail);
            }
            let Some(term_ms) = process_run.term_ms else { continue };
            // A process that is paused meanwhile can't exit in time.
            let is_disturbed = self.history.disturbances.iter().any(|d| {
                d.scope == Scope::Instance(instance)
                    && d.to_ms >= term_ms
                    && d.from_ms <= term_ms + self.bounds.grace_ms
            });
            if !is_disturbed
                && process_run.exited_ms.is_none_or(|exited| exited > term_ms + self.bounds.grace_ms)
            {
                report(
                    findings,
                    Invariant::LeavesInTime,
                    format!("instance {instance} had not exited {} ms after SIGTERM", self.bounds.grace_ms),
                );
            }
        }
    }

    /// Checks that a minimum share of the requests to permanent routes is served after the last disturbance.
    /// Checks requests that came to instances some time after these were cut off from all workers, with no other
    /// trouble than that of workers.
    fn check_worker_cuts(&self, findings: &mut Vec<Finding>) {
        let cuts = &self.history.worker_cuts;
        let is_cut = |a: &Attempt, settle_ms: u64| {
            let overlaps =
                |c: &&super::history::WorkerCut| c.from_ms + settle_ms <= a.sent_ms && a.sent_ms < c.to_ms;
            cuts.iter().filter(overlaps).any(|c| c.instances.contains(&a.instance))
        };
        for cut in cuts {
            let is_calm = |a: &&&Attempt| {
                (cut.from_ms + self.bounds.settle_ms..cut.to_ms).contains(&a.sent_ms)
                    && a.result != AttemptResult::CallerLeft
                    && self.is_undisturbed(a.instance, a.sent_ms, a.ended_ms)
                    && !a.request_line.contains(FATAL_MARKER)
                    && !self.is_of_temporary_route(a)
            };
            let calm = self.history.attempts.iter().collect::<Vec<_>>();
            let calm = calm.iter().filter(is_calm).copied();
            let (cut_off, others) = calm.partition::<Vec<_>, _>(|a| cut.instances.contains(&a.instance));
            let others = others.into_iter().filter(|a| !is_cut(a, 0)).collect::<Vec<_>>();
            let cut_off =
                cut_off.into_iter().filter(|a| is_cut(a, self.bounds.settle_ms)).collect::<Vec<_>>();
            let served = |attempts: &[&Attempt]| {
                let is_served =
                    |a: &&&Attempt| matches!(a.result, AttemptResult::Answered { status: 200, .. });
                attempts.iter().filter(is_served).count()
            };
            let (served_cut_off, served_others) = (served(&cut_off), served(&others));
            let failed = cut_off.len() - served_cut_off;
            let all = self.history.attempts.len();
            let share = |served: usize, of: usize| served as f64 / of.max(1) as f64;
            if !others.is_empty()
                && failed > TOLERATED_CUT_OFF_COUNT + all / 50
                && share(served_cut_off, cut_off.len())
                    < MIN_CUT_OFF_SHARE * share(served_others, others.len())
            {
                report(
                    findings,
                    Invariant::ServesWhileCutOff,
                    format!(
                        "cut off from workers from {} to {} ms: {served_cut_off} of {} requests served, elsewhere \
                         {served_others} of {}",
                        cut.from_ms,
                        cut.to_ms,
                        cut_off.len(),
                        others.len()
                    ),
                );
            }
        }
    }

    fn check_recovery(&self, findings: &mut Vec<Finding>) {
        let from_ms = self.history.undisturbed_from_ms + self.bounds.settle_ms;
        let is_due = |a: &&Attempt| {
            a.sent_ms >= from_ms && a.result != AttemptResult::CallerLeft && !self.is_of_temporary_route(a)
        };
        let due = self.history.attempts.iter().filter(is_due).collect::<Vec<_>>();
        let served =
            due.iter().filter(|a| matches!(a.result, AttemptResult::Answered { status: 200, .. })).count();
        if due.is_empty() || (served as f64) < MIN_SERVED_SHARE * due.len() as f64 {
            report(
                findings,
                Invariant::ServesAfterDisturbances,
                format!("{served} of {} requests served after the last disturbance", due.len()),
            );
        }
    }
}
