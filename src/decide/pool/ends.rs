//! Handling of responses and ended attempts: updates statistics and decides whether a call is sent again.

use super::{ActiveCall, AttemptState, Pool};
use crate::{
    decide::{
        Action, Attempt, AttemptEnd, LoadReport, RouteKey, TargetIndex,
        health::HealthState,
        retry::{self, MAX_ATTEMPTS, RetryPermission},
    },
    units::{CallId, MonoTime},
};

/// Maximum share of a pool's targets that may be ejected or on trial at once.
const MAX_EJECTED_SHARE: f64 = 0.34;

/// Weight of the latest attempt in the moving averages of slot times.
const SLOT_TIME_EWMA_WEIGHT: f64 = 0.02;

impl Pool {
    pub(super) fn on_response(&mut self, now: MonoTime, id: CallId, attempt: Attempt, report: LoadReport) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        let Some(state) = active.attempts.get_mut(attempt.0 as usize) else { return };
        state.has_response = true;
        let (target, route) = (state.target, active.call.route);
        self.durations.record_time_to_response(route, now.since(state.sent_at));
        self.targets[target.0].heard_at = now;
        self.targets[target.0].drain.reported = report.draining;
        self.candidates.update_preferred(&mut self.targets, target);
    }

    pub(super) fn on_end(
        &mut self,
        now: MonoTime,
        id: CallId,
        attempt: Attempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        let Some(state) = active.attempts.get_mut(attempt.0 as usize).filter(|a| a.is_open) else { return };
        state.is_open = false;
        let (state, route) = (*state, active.call.route);
        self.release_slot(state);
        self.record_attempt_end(now, route, state, end);
        self.retry_or_finish(now, id, attempt, end, actions);
    }

    pub(super) fn release_slot(&mut self, state: AttemptState) {
        let target = &mut self.targets[state.target.0];
        target.own_in_flight -= 1;
        target.own_long_in_flight -= u32::from(state.is_long);
        self.candidates.update_preferred(&mut self.targets, state.target);
        self.freed_target = Some(state.target);
    }

    pub(super) fn record_attempt_end(
        &mut self,
        now: MonoTime,
        route: RouteKey,
        state: AttemptState,
        end: AttemptEnd,
    ) {
        let took = now.since(state.sent_at);
        let target = &mut self.targets[state.target.0];
        match end {
            AttemptEnd::Answered => {
                let ratio = took.as_secs_f64() / self.durations.slot_time(route).as_secs_f64();
                target.record_answer(now, ratio / self.mean_time_ratio);
                self.mean_time_ratio += SLOT_TIME_EWMA_WEIGHT * (ratio - self.mean_time_ratio);
                self.durations.record_slot_time(route, took);
                self.mean_slot_time_s += SLOT_TIME_EWMA_WEIGHT * (took.as_secs_f64() - self.mean_slot_time_s);
                self.mean_square_slot_time_s2 +=
                    SLOT_TIME_EWMA_WEIGHT * (took.as_secs_f64().powi(2) - self.mean_square_slot_time_s2);
                self.peer_counts.slot_hold_s = self.mean_square_slot_time_s2 / self.mean_slot_time_s;
            }
            AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Unsent | AttemptEnd::TimedOut => {
                let is_certain = end == AttemptEnd::Unsent;
                if target.health.record_failure(now, is_certain) {
                    self.eject(now, state.target);
                }
            }
            AttemptEnd::Refused | AttemptEnd::Cancelled => {}
        }
    }

    /// Ejects a target, unless too many other targets of the pool are already out of service.
    pub(super) fn eject(&mut self, now: MonoTime, index: TargetIndex) {
        let is_out = |t: &&TargetIndex| !matches!(self.targets[t.0].health.state(), HealthState::InService);
        let out_of_service = self.plan_order.iter().filter(is_out).filter(|t| **t != index).count();
        let max_ejected = (self.plan_order.len() as f64 * MAX_EJECTED_SHARE) as usize;
        if out_of_service >= max_ejected {
            return;
        }
        self.targets[index.0].health.eject(now);
        self.candidates.trials.retain(|trial| *trial != index);
        self.counters.ejections += 1;
        self.next_scan_at = Some(now);
    }

    /// Decides after the end of an attempt whether the call is sent again, waits for another open attempt, or
    /// ends.
    pub(super) fn retry_or_finish(
        &mut self,
        now: MonoTime,
        id: CallId,
        attempt: Attempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        if end == AttemptEnd::Answered {
            active.is_done = true;
            let open = active.attempts.iter().enumerate().filter(|(_, a)| a.is_open);
            actions.extend(open.map(|(i, _)| Action::Cancel { call: id, attempt: Attempt(i as u32) }));
        }
        if retry::severity(end)
            >= active.most_severe.map_or(0, |(_, most_severe)| retry::severity(most_severe))
        {
            active.most_severe = Some((attempt, end));
        }
        if active.has_open_attempt() {
            return;
        }
        let permission = retry::permission_after(&active.call, end);
        let may_retry = !active.is_done && active.attempts.len() < MAX_ATTEMPTS && now < active.call.deadline;
        if may_retry && self.is_retry_allowed(permission) {
            self.counters.retries += 1;
            if !self.send_to_chosen(now, id, true, actions) {
                self.enqueue(now, id, true);
            }
            return;
        }
        let Some(finished) = self.calls.remove(&id).filter(|a| !a.is_done) else { return };
        let (attempt, end) = finished.most_severe.unwrap_or((attempt, end));
        actions.extend(Action::final_for(id, attempt, end));
    }

    pub(super) fn is_retry_allowed(&mut self, permission: RetryPermission) -> bool {
        match permission {
            RetryPermission::Free => true,
            RetryPermission::Budgeted => self.retry_budget.try_spend(),
            RetryPermission::Never => false,
        }
    }

    pub(super) fn on_close(&mut self, id: CallId) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        active.is_done = true;
        if std::mem::take(&mut active.is_waiting) {
            let class = active.class;
            self.queue.record_departure(class);
        }
        if !self.calls.get(&id).is_some_and(ActiveCall::has_open_attempt) {
            self.calls.remove(&id);
        }
    }

    pub(super) fn on_probe_end(&mut self, now: MonoTime, index: TargetIndex, report: Option<LoadReport>) {
        let Some(target) = self.targets.get_mut(index.0) else { return };
        target.probe_schedule.record_end();
        match report {
            Some(report) => {
                target.heard_at = now;
                target.drain.reported = report.draining;
                self.candidates.update_preferred(&mut self.targets, index);
            }
            None => {
                if target.health.record_failure(now, false) {
                    self.eject(now, index);
                }
            }
        }
    }
}
