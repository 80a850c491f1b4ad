//! Checks the promises of the users' rules on a history; pure.

use std::fmt;

use arbutusshelf::collections::HashMap;

use super::history::{Arrival, Attempt, Boot, End, History, Kind, Scope};

/// Bounds of the promises, from the users' settings.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time without disturbance after which bounds of time hold.
    pub contact_ms: u64,
    /// Time after which a draining worker gets nothing more.
    pub drain_ms: u64,
    /// Time after which a new table of routes is in force.
    pub apply_ms: u64,
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
pub enum Promise {
    /// A request that may not be repeated runs once at most.
    Twice,
    /// What is told as not run has not run.
    Refused,
    /// A success is the worker's own, whole answer to this request.
    Mixed,
    /// Workers run what was sent, unchanged.
    Unasked,
    /// Draining workers get nothing more.
    Drain,
    /// New routes come into force, removed ones end.
    Config,
    /// No instance goes back to an older table.
    Regress,
    /// Each request is answered by its deadline.
    Deadline,
    /// A request that was passed on is answered.
    Lost,
    /// Repeats keep to the budget.
    Budget,
    /// Work for callers that left is cancelled.
    Gone,
    /// An instance that is told to leave is gone in time.
    Leave,
    /// No process ends by itself.
    Crash,
    /// After all disturbances requests are served.
    Recover,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Promise.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.what)
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

fn find(findings: &mut Vec<Finding>, promise: Promise, what: String) {
    findings.push(Finding { promise, what });
}

impl Case<'_> {
    fn arrivals(&self, attempt: &Attempt) -> &[&Arrival] {
        self.arrivals.get(attempt.id.as_str()).map_or(&[], Vec::as_slice)
    }

    /// Returns whether bounds of time hold for an instance from one time to another.
    fn in_touch(&self, instance: usize, from_ms: u64, to_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(self.bounds.contact_ms);
        let disturbs = |scope: &Scope| *scope == Scope::Instance(instance) || *scope == Scope::Store;
        let is_disturbed = |d: &super::history::Disturbance| d.from_ms <= to_ms && d.to_ms >= from_ms;
        let restarts = |b: &Boot| {
            let end_ms = b.term_ms.or(b.gone_ms);
            b.instance == instance
                && ((from_ms..=to_ms).contains(&b.from_ms)
                    || end_ms.is_some_and(|at| at <= to_ms && at >= from_ms))
        };
        let history = self.history;
        !history.disturbances.iter().any(|d| disturbs(&d.scope) && is_disturbed(d))
            && !history.boots.iter().any(restarts)
    }

    fn is_sound(&self, worker: &str, from_ms: u64, to_ms: u64) -> bool {
        let touches = |d: &super::history::Disturbance| d.from_ms <= to_ms && d.to_ms >= from_ms;
        let is_of = |d: &super::history::Disturbance| matches!(&d.scope, Scope::Worker(w) if w == worker);
        !self.history.disturbances.iter().any(|d| is_of(d) && touches(d))
    }

    fn check_attempt(&self, attempt: &Attempt, findings: &mut Vec<Finding>) {
        let runs = self.arrivals(attempt).iter().filter(|a| a.is_run).count();
        let id = &attempt.id;
        if attempt.kind == Kind::AtMostOnce && runs > 1 {
            find(findings, Promise::Twice, format!("{id} ran {runs} times"));
        }
        if let End::Answered { status, is_sealed, is_own } = attempt.end {
            if attempt.kind == Kind::AtMostOnce && [408, 421, 429, 503].contains(&status) && runs > 0 {
                find(findings, Promise::Refused, format!("{id} was answered {status} and ran"));
            }
            if (200..300).contains(&status) && !(is_sealed && is_own && runs > 0) {
                let what =
                    format!("{id} got {status}: sealed {is_sealed}, own body {is_own}, ran {runs} times");
                find(findings, Promise::Mixed, what);
            }
        }
        let due_ms = attempt.sent_ms + attempt.timeout_ms + SLACK_MS;
        let is_late = attempt.end != End::Left && attempt.ended_ms > due_ms;
        if is_late && self.in_touch(attempt.instance, attempt.sent_ms, due_ms) {
            let took_ms = attempt.ended_ms - attempt.sent_ms;
            find(findings, Promise::Deadline, format!("{id} ended after {took_ms} ms: {:?}", attempt.end));
        }
    }

    fn check_unasked(&self, findings: &mut Vec<Finding>) {
        let attempts = self.history.attempts.iter().map(|a| (a.id.as_str(), a)).collect::<HashMap<_, _>>();
        for arrival in self.history.arrivals.iter().filter(|a| a.is_run) {
            let attempt = attempts.get(arrival.id.as_str());
            if attempt.is_none_or(|a| a.line != arrival.line || a.body != arrival.body) {
                let what = format!("{} ran {:?} for id {:?}", arrival.worker, arrival.line, arrival.id);
                find(findings, Promise::Unasked, what);
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
                if arrival.is_run && self.in_touch(attempt.instance, drain.acked_ms, arrival.at_ms) {
                    let after_ms = arrival.at_ms - drain.acked_ms;
                    let (worker, instance) = (&arrival.worker, attempt.instance);
                    let what = format!(
                        "{} reached {worker} {after_ms} ms after its drain, by {instance}",
                        attempt.id
                    );
                    find(findings, Promise::Drain, what);
                }
            }
        }
    }

    fn check_routes(&self, findings: &mut Vec<Finding>) {
        for route in &self.history.routes {
            let start = format!("GET {}", route.prefix);
            let attempts = self.history.attempts.iter().filter(|a| a.line.starts_with(&start));
            for attempt in attempts.clone() {
                let End::Answered { status, .. } = attempt.end else { continue };
                let applied_ms = route.added_ms + self.bounds.apply_ms;
                let is_live =
                    attempt.sent_ms > applied_ms && route.removed_ms.is_none_or(|at| attempt.ended_ms < at);
                if is_live
                    && status == 404
                    && self.in_touch(attempt.instance, route.added_ms, attempt.sent_ms)
                {
                    let after_ms = attempt.sent_ms - route.added_ms;
                    let what = format!("{}: 404 {after_ms} ms after {} was added", attempt.id, route.prefix);
                    find(findings, Promise::Config, what);
                }
                let Some(removed_ms) = route.removed_ms else { continue };
                let is_over = attempt.sent_ms > removed_ms + self.bounds.apply_ms;
                if is_over && status == 200 && self.in_touch(attempt.instance, removed_ms, attempt.sent_ms) {
                    let after_ms = attempt.sent_ms - removed_ms;
                    let what =
                        format!("{}: served {after_ms} ms after {} was removed", attempt.id, route.prefix);
                    find(findings, Promise::Config, what);
                }
            }
            self.check_regress(route, &attempts.collect::<Vec<_>>(), findings);
        }
    }

    /// Within one boot, a route that was served is not unknown later while it lives.
    fn check_regress(
        &self,
        route: &super::history::RouteLife,
        attempts: &[&Attempt],
        findings: &mut Vec<Finding>,
    ) {
        for boot in &self.history.boots {
            let is_of = |a: &&&Attempt| {
                let is_within =
                    a.sent_ms >= boot.from_ms && boot.gone_ms.is_none_or(|gone| a.ended_ms <= gone);
                a.instance == boot.instance && is_within
            };
            let served =
                attempts.iter().filter(is_of).filter(|a| matches!(a.end, End::Answered { status: 200, .. }));
            let Some(first_ms) = served.map(|a| a.ended_ms).min() else { continue };
            for attempt in attempts.iter().filter(is_of) {
                let is_unknown = matches!(attempt.end, End::Answered { status: 404, .. });
                let is_later = attempt.sent_ms > first_ms + self.bounds.rollback_ms;
                if is_unknown && is_later && route.removed_ms.is_none_or(|at| attempt.ended_ms < at) {
                    let what = format!(
                        "{}: 404 at {} after {} was served there",
                        attempt.id, boot.instance, route.prefix
                    );
                    find(findings, Promise::Regress, what);
                }
            }
        }
    }

    fn check_lost(&self, findings: &mut Vec<Finding>) {
        let mut lost = HashMap::<usize, Vec<&Attempt>>::default();
        for attempt in self.history.attempts.iter().filter(|a| matches!(a.end, End::Lost(_))) {
            let arrivals = self.arrivals(attempt);
            let is_sound = |a: &&Arrival| self.is_sound(&a.worker, attempt.sent_ms, attempt.ended_ms);
            // Planned stops are no excuse: what was read before the end is answered.
            let is_stopped_hard = self.history.boots.iter().any(|b| {
                let is_within =
                    |at: u64| at <= attempt.ended_ms + SLACK_MS && at + SLACK_MS >= attempt.sent_ms;
                b.instance == attempt.instance && b.term_ms.is_none() && b.gone_ms.is_some_and(is_within)
            });
            let (from_ms, to_ms) = (attempt.sent_ms.saturating_sub(self.bounds.contact_ms), attempt.ended_ms);
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
                find(
                    findings,
                    Promise::Lost,
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
                let what =
                    format!("{spent} repeats for {asked} requests from {from_ms} ms, {allowed:.0} allowed");
                return find(findings, Promise::Budget, what);
            }
        }
    }

    fn check_gone(&self, findings: &mut Vec<Finding>) {
        let (mut came, mut lasted, mut ran_on) = (0, 0, 0);
        for attempt in
            self.history.attempts.iter().filter(|a| a.end == End::Left && a.kind == Kind::Idempotent)
        {
            let late_ms = attempt.ended_ms + SLACK_MS;
            if !self.in_touch(attempt.instance, attempt.sent_ms, late_ms) {
                continue;
            }
            for arrival in
                self.arrivals(attempt).iter().filter(|a| self.is_sound(&a.worker, a.at_ms, late_ms))
            {
                came += usize::from(arrival.at_ms > late_ms);
                lasted += usize::from(arrival.is_run && arrival.at_ms <= late_ms);
                ran_on += usize::from(arrival.is_run && arrival.ended_ms.is_none_or(|at| at > late_ms));
            }
        }
        if came > A_FEW {
            find(
                findings,
                Promise::Gone,
                format!("{came} requests came to workers long after their callers left"),
            );
        }
        if ran_on > A_FEW && ran_on * 4 > lasted {
            find(
                findings,
                Promise::Gone,
                format!("{ran_on} of {lasted} requests ran on after their callers left"),
            );
        }
    }

    fn check_boots(&self, findings: &mut Vec<Finding>) {
        for boot in &self.history.boots {
            let instance = boot.instance;
            if boot.is_crash {
                find(findings, Promise::Crash, format!("{instance} ended by itself"));
            }
            let Some(term_ms) = boot.term_ms else { continue };
            // A process that is paused meanwhile can't keep the time.
            let is_held = self.history.disturbances.iter().any(|d| {
                d.scope == Scope::Instance(instance)
                    && d.to_ms >= term_ms
                    && d.from_ms <= term_ms + self.bounds.grace_ms
            });
            if !is_held && boot.gone_ms.is_none_or(|gone| gone > term_ms + self.bounds.grace_ms) {
                find(
                    findings,
                    Promise::Leave,
                    format!("{instance} was not gone {} ms after the signal", self.bounds.grace_ms),
                );
            }
        }
    }

    fn check_recovery(&self, findings: &mut Vec<Finding>) {
        let from_ms = self.history.calm_ms + self.bounds.contact_ms;
        let is_due = |a: &&Attempt| {
            let is_route = self.history.routes.iter().any(|r| a.line.contains(&r.prefix));
            a.sent_ms >= from_ms && a.end != End::Left && !is_route
        };
        let late = self.history.attempts.iter().filter(is_due).collect::<Vec<_>>();
        let served = late.iter().filter(|a| matches!(a.end, End::Answered { status: 200, .. })).count();
        if late.is_empty() || (served as f64) < RECOVERED_PART * late.len() as f64 {
            find(
                findings,
                Promise::Recover,
                format!("{served} of {} requests served in the calm at the end", late.len()),
            );
        }
    }
}
