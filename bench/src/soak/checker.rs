//! Checks the promises of the users' rules on a history; pure.

use std::fmt;

use arbutusshelf::collections::HashMap;

use super::history::{Arrival, Attempt, AttemptKind, AttemptResult, History, ProcessRun, Scope};

/// Bounds of the promises, from the users' settings.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time without disturbance after which bounds of time hold.
    pub settle_ms: u64,
    /// Time after which a draining worker gets nothing more.
    pub drain_ms: u64,
    /// Time after which a new table of routes is in force.
    pub route_apply_ms: u64,
    /// Time for which an older table may still show after a newer one.
    pub rollback_ms: u64,
    /// Longest time from the signal to leave to the end.
    pub grace_ms: u64,
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// Repeats in a window besides.
    pub repeat_extra: f64,
    /// Length of the window.
    pub repeat_window_ms: u64,
}

/// Time that an answer, a cancellation or a worker's end may take beyond its bound.
const SLACK_MS: u64 = 500;

/// Requests that one rule lets pass before it counts as broken.
const A_FEW: usize = 3;

/// Part of the calm requests that must be served.
const RECOVERED_PART: f64 = 0.25;

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that may not be repeated runs once at most.
    RunsAtMostOnce,
    /// What is told as not run has not run.
    RefusedNotRun,
    /// A success is the worker's own, whole answer to this request.
    OwnCompleteAnswer,
    /// Workers run what was sent, unchanged.
    RunsAsSent,
    /// Draining workers get nothing more.
    NoRequestAfterDrain,
    /// New routes come into force, removed ones end.
    RoutesApplied,
    /// No instance goes back to an older table.
    RoutesNotReverted,
    /// Each request is answered by its deadline.
    AnsweredByDeadline,
    /// A request that was passed on is answered.
    SentIsAnswered,
    /// Repeats keep to the budget.
    RetryBudget,
    /// Work for callers that left is cancelled.
    CancelledWhenCallerLeaves,
    /// An instance that is told to leave is gone in time.
    LeavesInTime,
    /// No process ends by itself.
    NoCrash,
    /// After all disturbances requests are served.
    ServesAfterDisturbances,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Promise.
    pub invariant: Invariant,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// A history with its arrivals by attempt.
struct Case<'a> {
    history: &'a History,
    bounds: &'a Bounds,
    arrivals: HashMap<&'a str, Vec<&'a Arrival>>,
}

/// Returns every broken promise.
pub fn check(history: &History, bounds: &Bounds) -> Vec<Finding> {
    let mut arrivals = HashMap::<&str, Vec<&Arrival>>::default();
    for arrival in &history.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    let case = Case { history, bounds, arrivals };
    let mut findings = Vec::new();
    for attempt in &history.attempts {
        case.check_attempt(attempt, &mut findings);
    }
    case.check_unasked(&mut findings);
    case.check_drains(&mut findings);
    case.check_routes(&mut findings);
    case.check_lost(&mut findings);
    case.check_budget(&mut findings);
    case.check_gone(&mut findings);
    case.check_boots(&mut findings);
    case.check_recovery(&mut findings);
    findings
}

fn report(findings: &mut Vec<Finding>, invariant: Invariant, detail: String) {
    findings.push(Finding { invariant, detail });
}

impl Case<'_> {
    fn arrivals(&self, attempt: &Attempt) -> &[&Arrival] {
        self.arrivals.get(attempt.id.as_str()).map_or(&[], Vec::as_slice)
    }

    /// Returns whether bounds of time hold for an instance from one time to another.
    fn in_touch(&self, instance: usize, from_ms: u64, to_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(self.bounds.settle_ms);
        let disturbs = |scope: &Scope| *scope == Scope::Instance(instance) || *scope == Scope::Store;
        let is_disturbed = |d: &super::history::Disturbance| d.from_ms <= to_ms && d.to_ms >= from_ms;
        let restarts = |b: &ProcessRun| {
            let end_ms = b.term_ms.or(b.exited_ms);
            b.instance == instance
                && ((from_ms..=to_ms).contains(&b.from_ms)
                    || end_ms.is_some_and(|at| at <= to_ms && at >= from_ms))
        };
        let history = self.history;
        !history.disturbances.iter().any(|d| disturbs(&d.scope) && is_disturbed(d))
            && !history.process_runs.iter().any(restarts)
    }

    fn is_sound(&self, worker: &str, from_ms: u64, to_ms: u64) -> bool {
        let touches = |d: &super::history::Disturbance| d.from_ms <= to_ms && d.to_ms >= from_ms;
        let is_of = |d: &super::history::Disturbance| matches!(&d.scope, Scope::Worker(w) if w == worker);
        !self.history.disturbances.iter().any(|d| is_of(d) && touches(d))
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
                    "{id} got {status}: sealed {is_sealed}, own body {is_own_body}, ran {runs} times"
                );
                report(findings, Invariant::OwnCompleteAnswer, detail);
            }
        }
        let due_ms = attempt.sent_ms + attempt.timeout_ms + SLACK_MS;
        let is_late = attempt.result != AttemptResult::CallerLeft && attempt.ended_ms > due_ms;
        if is_late && self.in_touch(attempt.instance, attempt.sent_ms, due_ms) {
            let took_ms = attempt.ended_ms - attempt.sent_ms;
            report(
                findings,
                Invariant::AnsweredByDeadline,
                format!("{id} ended after {took_ms} ms: {:?}", attempt.result),
            );
        }
    }

    fn check_unasked(&self, findings: &mut Vec<Finding>) {
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
                if arrival.was_run && self.in_touch(attempt.instance, drain.acked_ms, arrival.at_ms) {
                    let after_ms = arrival.at_ms - drain.acked_ms;
                    let (worker, instance) = (&arrival.worker, attempt.instance);
                    let detail = format!(
                        "{} reached {worker} {after_ms} ms after its drain, by {instance}",
                        attempt.id
                    );
                    report(findings, Invariant::NoRequestAfterDrain, detail);
                }
            }
        }
    }

    fn check_routes(&self, findings: &mut Vec<Finding>) {
        for route in &self.history.routes {
            let start = format!("GET {}", route.prefix);
            let attempts = self.history.attempts.iter().filter(|a| a.request_line.starts_with(&start));
            for attempt in attempts.clone() {
                let AttemptResult::Answered { status, .. } = attempt.result else { continue };
                let applied_ms = route.added_ms + self.bounds.route_apply_ms;
                let is_live =
                    attempt.sent_ms > applied_ms && route.removed_ms.is_none_or(|at| attempt.ended_ms < at);
                if is_live
                    && status == 404
                    && self.in_touch(attempt.instance, route.added_ms, attempt.sent_ms)
                {
                    let after_ms = attempt.sent_ms - route.added_ms;
                    let detail =
                        format!("{}: 404 {after_ms} ms after {} was added", attempt.id, route.prefix);
                    report(findings, Invariant::RoutesApplied, detail);
                }
                let Some(removed_ms) = route.removed_ms else { continue };
                let is_over = attempt.sent_ms > removed_ms + self.bounds.route_apply_ms;
                if is_over && status == 200 && self.in_touch(attempt.instance, removed_ms, attempt.sent_ms) {
                    let after_ms = attempt.sent_ms - removed_ms;
                    let detail =
                        format!("{}: served {after_ms} ms after {} was removed", attempt.id, route.prefix);
                    report(findings, Invariant::RoutesApplied, detail);
                }
            }
            self.check_regress(route, &attempts.collect::<Vec<_>>(), findings);
        }
    }

    /// Within one boot, a route that was served is not unknown later while it lives.
    fn check_regress(
        &self,
        route: &super::history::RouteLifetime,
        attempts: &[&Attempt],
        findings: &mut Vec<Finding>,
    ) {
        for process_run in &self.history.process_runs {
            let is_of = |a: &&&Attempt| {
                let is_within = a.sent_ms >= process_run.from_ms
                    && process_run.exited_ms.is_none_or(|exited| a.ended_ms <= exited);
                a.instance == process_run.instance && is_within
            };
            let served = attempts
                .iter()
                .filter(is_of)
                .filter(|a| matches!(a.result, AttemptResult::Answered { status: 200, .. }));
            let Some(first_ms) = served.map(|a| a.ended_ms).min() else { continue };
            for attempt in attempts.iter().filter(is_of) {
                let is_unknown = matches!(attempt.result, AttemptResult::Answered { status: 404, .. });
                let is_later = attempt.sent_ms > first_ms + self.bounds.rollback_ms;
                if is_unknown && is_later && route.removed_ms.is_none_or(|at| attempt.ended_ms < at) {
                    let detail = format!(
                        "{}: 404 at {} after {} was served there",
                        attempt.id, process_run.instance, route.prefix
                    );
                    report(findings, Invariant::RoutesNotReverted, detail);
                }
            }
        }
    }

    fn check_lost(&self, findings: &mut Vec<Finding>) {
        let mut lost = HashMap::<usize, Vec<&Attempt>>::default();
        for attempt in self.history.attempts.iter().filter(|a| matches!(a.result, AttemptResult::NoAnswer(_)))
        {
            let arrivals = self.arrivals(attempt);
            let is_sound = |a: &&Arrival| self.is_sound(&a.worker, attempt.sent_ms, attempt.ended_ms);
            // Planned stops are no excuse: what was read before the end is answered.
            let is_stopped_hard = self.history.process_runs.iter().any(|b| {
                let is_within =
                    |at: u64| at <= attempt.ended_ms + SLACK_MS && at + SLACK_MS >= attempt.sent_ms;
                b.instance == attempt.instance && b.term_ms.is_none() && b.exited_ms.is_some_and(is_within)
            });
            let (from_ms, to_ms) = (attempt.sent_ms.saturating_sub(self.bounds.settle_ms), attempt.ended_ms);
            let is_disturbed = self.history.disturbances.iter().any(|d| {
                d.scope == Scope::Instance(attempt.instance) && d.from_ms <= to_ms && d.to_ms >= from_ms
            });
            if arrivals.iter().any(is_sound) && !is_stopped_hard && !is_disturbed {
                lost.entry(attempt.instance).or_default().push(attempt);
            }
        }
        for (instance, attempts) in lost {
            if attempts.len() > A_FEW {
                let ids = attempts.iter().map(|a| a.id.as_str()).collect::<Vec<_>>().join(" ");
                report(
                    findings,
                    Invariant::SentIsAnswered,
                    format!("{} passed on and not answered by {instance}: {ids}", attempts.len()),
                );
            }
        }
    }

    fn check_budget(&self, findings: &mut Vec<Finding>) {
        let bounds = self.bounds;
        let mut requests = self.history.attempts.iter().map(|a| a.sent_ms).collect::<Vec<_>>();
        requests.sort_unstable();
        let mut repeats = self
            .arrivals
            .values()
            .flat_map(|arrivals| {
                let mut at = arrivals.iter().map(|a| a.at_ms).collect::<Vec<_>>();
                at.sort_unstable();
                at.into_iter().skip(1)
            })
            .collect::<Vec<_>>();
        repeats.sort_unstable();
        let count = |times: &[u64], from: u64| {
            let to = from + bounds.repeat_window_ms;
            times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
        };
        for from_ms in repeats.iter().copied() {
            let spent = count(&repeats, from_ms);
            let before = [0, bounds.repeat_window_ms / 2, bounds.repeat_window_ms];
            let asked =
                before.map(|by| count(&requests, from_ms.saturating_sub(by))).into_iter().max().unwrap_or(0);
            let allowed = bounds.repeat_ratio * asked as f64 + bounds.repeat_extra;
            if spent as f64 > allowed {
                let detail =
                    format!("{spent} repeats for {asked} requests from {from_ms} ms, {allowed:.0} allowed");
                return report(findings, Invariant::RetryBudget, detail);
            }
        }
    }

    fn check_gone(&self, findings: &mut Vec<Finding>) {
        let (mut came, mut lasted, mut ran_on) = (0, 0, 0);
        for attempt in self
            .history
            .attempts
            .iter()
            .filter(|a| a.result == AttemptResult::CallerLeft && a.kind == AttemptKind::Idempotent)
        {
            let late_ms = attempt.ended_ms + SLACK_MS;
            if !self.in_touch(attempt.instance, attempt.sent_ms, late_ms) {
                continue;
            }
            for arrival in
                self.arrivals(attempt).iter().filter(|a| self.is_sound(&a.worker, a.at_ms, late_ms))
            {
                came += usize::from(arrival.at_ms > late_ms);
                lasted += usize::from(arrival.was_run && arrival.at_ms <= late_ms);
                ran_on += usize::from(arrival.was_run && arrival.ended_ms.is_none_or(|at| at > late_ms));
            }
        }
        if came > A_FEW {
            report(
                findings,
                Invariant::CancelledWhenCallerLeaves,
                format!("{came} requests came to workers long after their callers left"),
            );
        }
        if ran_on > A_FEW && ran_on * 4 > lasted {
            report(
                findings,
                Invariant::CancelledWhenCallerLeaves,
                format!("{ran_on} of {lasted} requests ran on after their callers left"),
            );
        }
    }

    fn check_boots(&self, findings: &mut Vec<Finding>) {
        for process_run in &self.history.process_runs {
            let instance = process_run.instance;
            if process_run.is_crash {
                report(findings, Invariant::NoCrash, format!("{instance} ended by itself"));
            }
            let Some(term_ms) = process_run.term_ms else { continue };
            // A process that is paused meanwhile can't keep the time.
            let is_held = self.history.disturbances.iter().any(|d| {
                d.scope == Scope::Instance(instance)
                    && d.to_ms >= term_ms
                    && d.from_ms <= term_ms + self.bounds.grace_ms
            });
            if !is_held && process_run.exited_ms.is_none_or(|exited| exited > term_ms + self.bounds.grace_ms)
            {
                report(
                    findings,
                    Invariant::LeavesInTime,
                    format!("{instance} was not gone {} ms after the signal", self.bounds.grace_ms),
                );
            }
        }
    }

    fn check_recovery(&self, findings: &mut Vec<Finding>) {
        let from_ms = self.history.undisturbed_from_ms + self.bounds.settle_ms;
        let is_due = |a: &&Attempt| {
            let is_route = self.history.routes.iter().any(|r| a.request_line.contains(&r.prefix));
            a.sent_ms >= from_ms && a.result != AttemptResult::CallerLeft && !is_route
        };
        let late = self.history.attempts.iter().filter(is_due).collect::<Vec<_>>();
        let served =
            late.iter().filter(|a| matches!(a.result, AttemptResult::Answered { status: 200, .. })).count();
        if late.is_empty() || (served as f64) < RECOVERED_PART * late.len() as f64 {
            report(
                findings,
                Invariant::ServesAfterDisturbances,
                format!("{served} of {} requests served in the calm at the end", late.len()),
            );
        }
    }
}
