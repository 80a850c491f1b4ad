//! Admission of calls: immediate refusal, waiting in the queue, and giving up on waiting calls.

use std::time::Duration;

use super::{ActiveCall, Pool};
use crate::{
    decide::{
        Action, Call,
        queue::{QueueClass, max_wait},
        timer::TimerKind,
    },
    error::ErrorKind,
    units::{CallId, MonoTime},
};

/// Divisor of the shortest route's median duration; the quotient is the time after which a waiting short call
/// may go to a target that looks full.
const OVERCOMMIT_DELAY_DIVISOR: u32 = 4;

/// Wait in a standing queue that is always allowed for a long call, as a multiple of its route's median slot
/// time.
const LONG_CALL_WAIT_FACTOR: u32 = 2;

/// Minimum `Retry-After` of a refused call.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Pool {
    pub(super) fn on_arrival(&mut self, now: MonoTime, call: Call, actions: &mut Vec<Action>) {
        let is_long = self.durations.is_long(call.route);
        if !is_long {
            self.last_short_call_at = now;
        }
        let class = QueueClass::new(call.priority, is_long);
        if let Some(kind) = self.refusal_reason(now, &call, class) {
            let wait = self.predicted_wait(class);
            self.refuse(call.id, kind, wait, actions);
            return;
        }
        if self.queue.len() >= self.spec.queue_limit as usize && !self.evict_lower_class(class, actions) {
            self.refuse(call.id, ErrorKind::Overloaded, self.predicted_wait(class), actions);
            return;
        }
        let id = call.id;
        let active = ActiveCall {
            call,
            class,
            arrived_at: now,
            is_waiting: false,
            is_done: false,
            attempts: Vec::with_capacity(1),
            most_severe: None,
        };
        self.calls.insert(id, active);
        if !self.queue.is_empty() || !self.send_to_chosen(now, id, false, actions) {
            self.enqueue(now, id, false);
        }
    }

    /// Returns why a call must be refused on arrival, or `None` if it may be sent or wait.
    pub(super) fn refusal_reason(&self, now: MonoTime, call: &Call, class: QueueClass) -> Option<ErrorKind> {
        if self.plan_order.iter().all(|index| self.targets[index.0].is_draining()) {
            return Some(ErrorKind::NoTarget);
        }
        let wait = self.predicted_wait(class);
        if now + wait + self.durations.time_to_response(call.route) / 2 > call.deadline {
            return Some(ErrorKind::DeadlineUnreachable);
        }
        let max_wait = self.max_wait(call)?;
        (self.queue.is_standing(now) && wait > max_wait).then_some(ErrorKind::Overloaded)
    }

    /// Returns how long a call may wait in a standing queue, or `None` if it may wait until its deadline.
    pub(super) fn max_wait(&self, call: &Call) -> Option<Duration> {
        let objective = Duration::from_millis(self.spec.objective.latency_ms);
        let max_wait = max_wait(call.priority, objective)?;
        if !self.durations.is_long(call.route) {
            return Some(max_wait);
        }
        Some(max_wait.max(self.durations.slot_time(call.route) * LONG_CALL_WAIT_FACTOR))
    }

    /// Predicts how long a new call of a class would wait, from the calls ahead of it and the mean slot time.
    pub(super) fn predicted_wait(&self, class: QueueClass) -> Duration {
        let ahead = self.queue.ahead_of(class) as f64;
        Duration::from_secs_f64(ahead * self.mean_slot_time_s / self.usable_slots)
    }

    /// Refuses the last waiting call of a lower class to make room in the queue; returns whether there was
    /// one.
    pub(super) fn evict_lower_class(&mut self, class: QueueClass, actions: &mut Vec<Action>) -> bool {
        for lower in QueueClass::all().rev().take_while(|other| *other > class) {
            let calls = &self.calls;
            let waits = |id| calls.get(&id).is_some_and(|a| a.is_waiting);
            if let Some(id) = self.queue.back(lower, waits) {
                self.give_up(id, ErrorKind::Overloaded, actions);
                return true;
            }
        }
        false
    }

    pub(super) fn enqueue(&mut self, now: MonoTime, id: CallId, at_front: bool) {
        let max_wait = self.calls.get(&id).and_then(|a| self.max_wait(&a.call));
        let Some(active) = self.calls.get_mut(&id) else { return };
        active.is_waiting = true;
        let (class, deadline, arrived_at) = (active.class, active.call.deadline, active.arrived_at);
        self.queue.push(now, class, id, at_front);
        self.timers.set(deadline, id, TimerKind::Deadline);
        if let Some(max_wait) = max_wait {
            self.timers.set(arrived_at + max_wait, id, TimerKind::MaxWait);
        }
        if !class.is_long() {
            self.timers.set(now + self.overcommit_delay(), id, TimerKind::Overcommit);
        }
    }

    /// Returns the time after which a waiting short call is sent to a target that looks full, since the
    /// counts that make it look full may be outdated.
    pub(super) fn overcommit_delay(&self) -> Duration {
        self.durations.shortest_median() / OVERCOMMIT_DELAY_DIVISOR
    }

    pub(super) fn refuse(
        &mut self,
        call: CallId,
        kind: ErrorKind,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.counters.refusals += 1;
        let retry_after = kind.answer().retry_after_s.map(|_| wait.max(MIN_RETRY_AFTER));
        actions.push(Action::Refuse { call, kind, retry_after });
    }

    /// Ends a waiting call with an error.
    pub(super) fn give_up(&mut self, id: CallId, kind: ErrorKind, actions: &mut Vec<Action>) {
        let Some(active) = self.calls.remove(&id) else { return };
        let wait = self.predicted_wait(active.class);
        self.queue.record_departure(active.class);
        // An earlier attempt may have run, so the caller must be told how that one ended.
        let attempt_error = active.most_severe.and_then(|(attempt, end)| Action::final_for(id, attempt, end));
        match attempt_error {
            Some(action) => actions.push(action),
            None => self.refuse(id, kind, wait, actions),
        }
    }
}
