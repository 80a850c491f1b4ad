//! Learns from answers and ends, and decides whether a call is sent again.

use super::{Active, Pool, Send};
use crate::{
    decide::{
        Action, Attempt, AttemptEnd, LoadReport, RouteKey, TargetIndex,
        health::HealthState,
        retry::{self, MAX_ATTEMPTS, RetryPermission},
    },
    units::{CallId, MonoTime},
};

/// Largest part of a pool that may be ejected at once.
const MOST_EJECTED: f64 = 0.34;

/// Weight of the latest send in the mean time a slot is held.
const HOLD_WEIGHT: f64 = 0.02;

impl Pool {
    pub(super) fn began(&mut self, now: MonoTime, id: CallId, attempt: Attempt, report: LoadReport) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        let Some(send) = active.sends.get_mut(attempt.0 as usize) else { return };
        send.began = true;
        let (target, route) = (send.target, active.call.route);
        self.durations.record_begin(route, now.since(send.sent_at));
        self.targets[target.0].read_at = now;
        self.targets[target.0].drain.by_report = report.draining;
        self.candidates.update_preferred(&mut self.targets, target);
    }

    pub(super) fn ended(
        &mut self,
        now: MonoTime,
        id: CallId,
        attempt: Attempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        let Some(send) = active.sends.get_mut(attempt.0 as usize).filter(|s| s.open) else { return };
        send.open = false;
        let (send, route) = (*send, active.call.route);
        self.release(send);
        self.learn(now, route, send, end);
        self.after_end(now, id, attempt, end, actions);
    }

    pub(super) fn release(&mut self, send: Send) {
        let target = &mut self.targets[send.target.0];
        target.own -= 1;
        target.own_long -= u32::from(send.is_long);
        self.candidates.update_preferred(&mut self.targets, send.target);
        self.freed = Some(send.target);
    }

    pub(super) fn learn(&mut self, now: MonoTime, route: RouteKey, send: Send, end: AttemptEnd) {
        let took = now.since(send.sent_at);
        let target = &mut self.targets[send.target.0];
        match end {
            AttemptEnd::Answered => {
                let ratio = took.as_secs_f64() / self.durations.hold(route).as_secs_f64();
                target.answered(now, ratio / self.mean_ratio);
                self.mean_ratio += HOLD_WEIGHT * (ratio - self.mean_ratio);
                self.durations.record_hold(route, took);
                self.mean_hold_s += HOLD_WEIGHT * (took.as_secs_f64() - self.mean_hold_s);
                self.mean_square_hold += HOLD_WEIGHT * (took.as_secs_f64().powi(2) - self.mean_square_hold);
                self.peers.slot_hold_s = self.mean_square_hold / self.mean_hold_s;
            }
            AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Unsent | AttemptEnd::TimedOut => {
                let is_certain = end == AttemptEnd::Unsent;
                if target.health.failed(now, is_certain) {
                    self.eject(now, send.target);
                }
            }
            AttemptEnd::Refused | AttemptEnd::Cancelled => {}
        }
    }

    pub(super) fn eject(&mut self, now: MonoTime, index: TargetIndex) {
        let out = |t: &&TargetIndex| !matches!(self.targets[t.0].health.state(), HealthState::InService);
        let already = self.by_plan.iter().filter(out).filter(|t| **t != index).count();
        let most = (self.by_plan.len() as f64 * MOST_EJECTED) as usize;
        if already >= most {
            return;
        }
        self.targets[index.0].health.eject(now);
        self.candidates.trials.retain(|trial| *trial != index);
        self.counters.ejections += 1;
        self.sweep_at = Some(now);
    }

    pub(super) fn after_end(
        &mut self,
        now: MonoTime,
        id: CallId,
        attempt: Attempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        if end == AttemptEnd::Answered {
            active.done = true;
            let open = active.sends.iter().enumerate().filter(|(_, s)| s.open);
            actions.extend(open.map(|(i, _)| Action::Cancel { call: id, attempt: Attempt(i as u32) }));
        }
        if retry::severity(end) >= active.worst.map_or(0, |(_, worst)| retry::severity(worst)) {
            active.worst = Some((attempt, end));
        }
        if active.has_open_send() {
            return;
        }
        let repeat = retry::permission_after(&active.call, end);
        let may_repeat = !active.done && active.sends.len() < MAX_ATTEMPTS && now < active.call.deadline;
        if may_repeat && self.may_spend(repeat) {
            self.counters.retries += 1;
            if !self.send_to_chosen(now, id, true, actions) {
                self.enqueue(now, id, true);
            }
            return;
        }
        let Some(over) = self.calls.remove(&id).filter(|a| !a.done) else { return };
        let (attempt, end) = over.worst.unwrap_or((attempt, end));
        actions.extend(Action::final_for(id, attempt, end));
    }

    pub(super) fn may_spend(&mut self, repeat: RetryPermission) -> bool {
        match repeat {
            RetryPermission::Free => true,
            RetryPermission::Budgeted => self.budget.spend(),
            RetryPermission::Never => false,
        }
    }

    pub(super) fn closed(&mut self, id: CallId) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        active.done = true;
        if std::mem::take(&mut active.waiting) {
            let class = active.class;
            self.queue.left(class);
        }
        if !self.calls.get(&id).is_some_and(Active::has_open_send) {
            self.calls.remove(&id);
        }
    }

    pub(super) fn probed(&mut self, now: MonoTime, index: TargetIndex, report: Option<LoadReport>) {
        let Some(target) = self.targets.get_mut(index.0) else { return };
        target.probes.ended();
        match report {
            Some(report) => {
                target.read_at = now;
                target.drain.by_report = report.draining;
                self.candidates.update_preferred(&mut self.targets, index);
            }
            None => {
                if target.health.failed(now, false) {
                    self.eject(now, index);
                }
            }
        }
    }
}
