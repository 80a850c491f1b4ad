//! Dispatch of calls to targets: on arrival, from the queue, and when timers are due.

use std::time::Duration;

use super::{ActiveCall, AttemptState, Pool};
use crate::{
    collections::HashMap,
    decide::{
        Action, Attempt, TargetIndex,
        choice::{ChoiceContext, ChoiceCriteria},
        health::HealthState,
        queue::QueueClass,
        retry::MAX_ATTEMPTS,
        timer::{Timer, TimerKind},
    },
    error::ErrorKind,
    plan::RequestKind,
    units::{CallId, MonoTime},
};

/// Minimum time between two scans of all targets for due probes and ended ejections, unless a target is
/// ejected in between.
const MIN_SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// A long call may take a target's last slot only if no short call has arrived for this long.
const SHORT_CALL_IDLE_TIME: Duration = Duration::from_secs(1);

impl Pool {
    pub(super) fn run_timers(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop(now) {
            let Some(active) = self.calls.get(&timer.call) else { continue };
            if !is_current(&self.calls, &timer) {
                continue;
            }
            match timer.kind {
                TimerKind::Deadline => self.give_up(timer.call, ErrorKind::DeadlineUnreachable, actions),
                TimerKind::MaxWait => self.on_max_wait(now, timer.call, actions),
                TimerKind::Overcommit => {
                    let class = active.class;
                    if self.send_overcommitted(now, timer.call, actions) {
                        self.queue.record_departure(class);
                    } else {
                        self.timers.set(now + self.overcommit_delay(), timer.call, TimerKind::Overcommit);
                    }
                }
                TimerKind::LateAttempt(attempt) => self.on_late(now, timer.call, attempt, actions),
            }
        }
    }

    /// Refuses a call that has waited for its maximum time if the queue is standing; otherwise checks again
    /// at the time at which the queue becomes standing.
    pub(super) fn on_max_wait(&mut self, now: MonoTime, id: CallId, actions: &mut Vec<Action>) {
        if self.queue.is_standing(now) {
            self.give_up(id, ErrorKind::Overloaded, actions);
        } else if let Some(at) = self.queue.standing_at() {
            self.timers.set(at, id, TimerKind::MaxWait);
        }
    }

    /// Handles an attempt that has taken longer than nearly all of its route: the target may be slow, and a
    /// hedge may be faster.
    pub(super) fn on_late(&mut self, now: MonoTime, id: CallId, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(active) = self.calls.get(&id) else { return };
        let state = active.attempts[attempt.0 as usize];
        let may_hedge = active.call.kind == RequestKind::Idempotent
            && active.call.prior_attempts == 0
            && active.attempts.len() < 2
            && self.queue.is_empty();
        let usual = self.durations.time_to_response(active.call.route);
        let ratio = now.since(state.sent_at).as_secs_f64() / usual.as_secs_f64();
        self.targets[state.target.0].health.record_late(now, ratio / self.mean_time_ratio);
        if !may_hedge {
            return;
        }
        if let Some(target) = self.choose(now, id, false, false)
            && self.retry_budget.try_spend()
        {
            self.counters.hedges += 1;
            self.send(now, id, target, actions);
        }
    }

    /// Scans all targets for ejections that have ended and probes that are due.
    pub(super) fn scan_targets(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.next_scan_at.is_none_or(|at| at > now) {
            return;
        }
        self.peer_counts.remove_silent_peers(now);
        let mut next = None;
        for index in self.plan_order.clone() {
            let target = &mut self.targets[index.0];
            if target.health.start_due_trial(now) {
                self.candidates.trials.push(index);
            }
            if target.probe_schedule.due(target.heard_at).is_some_and(|at| at <= now) {
                target.probe_schedule.record_start(now);
                self.counters.probes += 1;
                actions.push(Action::Probe(index));
            }
            let returns = match target.health.state() {
                HealthState::Ejected(until) => Some(until),
                HealthState::InService | HealthState::Trial(_) => None,
            };
            next = [next, returns, target.probe_schedule.due(target.heard_at)].into_iter().flatten().min();
        }
        let targets = &self.targets;
        self.candidates
            .trials
            .retain(|trial| matches!(targets[trial.0].health.state(), HealthState::Trial(_)));
        self.next_scan_at = next.map(|at| at.max(now + MIN_SCAN_INTERVAL));
    }

    /// Sends waiting calls in the order of their classes. Stops when a short call finds no target; a long
    /// call that finds none holds back only its own class.
    pub(super) fn dispatch(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        for class in QueueClass::all() {
            while self.queue.waiting(class) > 0 {
                let calls = &self.calls;
                let waits = |id| calls.get(&id).is_some_and(|a| a.is_waiting);
                let Some(id) = self.queue.front(class, waits) else { break };
                if !self.send_to_chosen(now, id, false, actions) {
                    if class.is_long() {
                        break;
                    }
                    return;
                }
                self.queue.pop_front(class);
            }
        }
    }

    pub(super) fn send_to_chosen(
        &mut self,
        now: MonoTime,
        id: CallId,
        is_retry: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(target) = self.choose(now, id, false, !is_retry) else { return false };
        self.send(now, id, target, actions);
        true
    }

    pub(super) fn send_overcommitted(
        &mut self,
        now: MonoTime,
        id: CallId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(target) = self.choose(now, id, true, false) else { return false };
        self.send(now, id, target, actions);
        true
    }

    pub(super) fn choose(
        &mut self,
        now: MonoTime,
        id: CallId,
        allow_overcommit: bool,
        allow_trial: bool,
    ) -> Option<TargetIndex> {
        let active = self.calls.get(&id)?;
        let mut tried = [TargetIndex(usize::MAX); MAX_ATTEMPTS];
        for (entry, state) in tried.iter_mut().zip(&active.attempts) {
            *entry = state.target;
        }
        let reserve = active.class.is_long() && now.since(self.last_short_call_at) < SHORT_CALL_IDLE_TIME;
        let is_short_idempotent = active.call.kind == RequestKind::Idempotent && !active.class.is_long();
        let criteria = ChoiceCriteria {
            reserve_short_slot: reserve,
            allow_trial: allow_trial && is_short_idempotent,
            allow_overcommit,
            freed_target: self.freed_target,
            excluded: &tried,
        };
        let is_retry = !active.attempts.is_empty() && !active.has_open_attempt();
        let context = ChoiceContext {
            now,
            targets: &self.targets,
            peer_counts: &self.peer_counts,
            candidates: &self.candidates,
        };
        let chosen = context.choose(&criteria, &mut self.rng);
        // A retry may return to a target that had the call before if no other target is in service.
        if chosen.is_some() || !is_retry || self.has_other_target_in_service(&tried) {
            return chosen;
        }
        context.choose(&ChoiceCriteria { excluded: &[], ..criteria }, &mut self.rng)
    }

    /// Returns whether a target outside `tried` is in service.
    pub(super) fn has_other_target_in_service(&self, tried: &[TargetIndex]) -> bool {
        let is_in_service = |index: &TargetIndex| {
            let target = &self.targets[index.0];
            matches!(target.health.state(), HealthState::InService) && !target.is_draining()
        };
        self.plan_order.iter().filter(|index| !tried.contains(index)).any(is_in_service)
    }

    pub(super) fn send(&mut self, now: MonoTime, id: CallId, index: TargetIndex, actions: &mut Vec<Action>) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        let attempt = Attempt(active.attempts.len() as u32);
        if attempt.0 == 0 {
            self.retry_budget.record_first_attempt(&active.call);
        }
        let is_long = active.class.is_long();
        active.is_waiting = false;
        active.attempts.push(AttemptState {
            target: index,
            sent_at: now,
            is_open: true,
            has_response: false,
            is_long,
        });
        let target = &mut self.targets[index.0];
        target.own_in_flight += 1;
        target.own_long_in_flight += u32::from(is_long);
        self.candidates.update_preferred(&mut self.targets, index);
        if let Some(late) = self.durations.late_threshold(active.call.route) {
            self.timers.set(now + late, id, TimerKind::LateAttempt(attempt));
        }
        actions.push(Action::Send { call: id, attempt, target: index });
    }
}

/// Returns whether the event that a timer waits for can still happen.
pub(super) fn is_current(calls: &HashMap<CallId, ActiveCall>, timer: &Timer) -> bool {
    let Some(active) = calls.get(&timer.call) else { return false };
    match timer.kind {
        TimerKind::Deadline | TimerKind::MaxWait | TimerKind::Overcommit => active.is_waiting,
        TimerKind::LateAttempt(attempt) => {
            !active.is_done
                && active.attempts.get(attempt.0 as usize).is_some_and(|a| a.is_open && !a.has_response)
        }
    }
}
