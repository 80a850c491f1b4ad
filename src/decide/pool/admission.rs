//! Takes calls in: refuses early, waits in the queue, and gives up.

use std::time::Duration;

use super::{Active, Pool};
use crate::{
    decide::{
        Action, Call,
        queue::{Class, longest_wait},
        timer::Due,
    },
    error::ErrorKind,
    units::{CallId, MonoTime},
};

/// Part of a short call's usual time that it waits for a slot that looks free.
const PATIENCE_DIVISOR: u32 = 4;

/// Times a long call's usual time that it may wait while the queue stands.
const LONG_WAIT_FACTOR: u32 = 2;

/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Pool {
    pub(super) fn arrived(&mut self, now: MonoTime, call: Call, actions: &mut Vec<Action>) {
        let is_long = self.durations.is_long(call.route);
        if !is_long {
            self.short_arrived_at = now;
        }
        let class = Class::new(call.priority, is_long);
        if let Some(kind) = self.refusal(now, &call, class) {
            let wait = self.predicted_wait(class);
            self.refuse(call.id, kind, wait, actions);
            return;
        }
        if self.queue.len() >= self.spec.queue_limit as usize && !self.make_room(class, actions) {
            self.refuse(call.id, ErrorKind::Overloaded, self.predicted_wait(class), actions);
            return;
        }
        let id = call.id;
        let active = Active {
            call,
            class,
            arrived_at: now,
            waiting: false,
            done: false,
            sends: Vec::with_capacity(1),
            worst: None,
        };
        self.calls.insert(id, active);
        if !self.queue.is_empty() || !self.send_to_chosen(now, id, false, actions) {
            self.enqueue(now, id, false);
        }
    }

    /// Returns why a call should be refused before it waits.
    pub(super) fn refusal(&self, now: MonoTime, call: &Call, class: Class) -> Option<ErrorKind> {
        if self.by_plan.iter().all(|index| self.targets[index.0].is_draining()) {
            return Some(ErrorKind::NoTarget);
        }
        let wait = self.predicted_wait(class);
        if now + wait + self.durations.begin(call.route) / 2 > call.deadline {
            return Some(ErrorKind::DeadlineUnreachable);
        }
        let longest = self.longest_wait(call)?;
        (self.queue.stands(now) && wait > longest).then_some(ErrorKind::Overloaded)
    }

    pub(super) fn longest_wait(&self, call: &Call) -> Option<Duration> {
        let objective = Duration::from_millis(self.spec.objective.latency_ms);
        let longest = longest_wait(call.priority, objective)?;
        if !self.durations.is_long(call.route) {
            return Some(longest);
        }
        Some(longest.max(self.durations.hold(call.route) * LONG_WAIT_FACTOR))
    }

    pub(super) fn predicted_wait(&self, class: Class) -> Duration {
        let ahead = self.queue.ahead_of(class) as f64;
        Duration::from_secs_f64(ahead * self.mean_hold_s / self.parallel)
    }

    /// Refuses the last waiting call of a lower class; returns whether there was one.
    pub(super) fn make_room(&mut self, class: Class, actions: &mut Vec<Action>) -> bool {
        for lower in Class::all().rev().take_while(|other| *other > class) {
            let calls = &self.calls;
            let waits = |id| calls.get(&id).is_some_and(|a| a.waiting);
            if let Some(id) = self.queue.back(lower, waits) {
                self.give_up(id, ErrorKind::Overloaded, actions);
                return true;
            }
        }
        false
    }

    pub(super) fn enqueue(&mut self, now: MonoTime, id: CallId, at_front: bool) {
        let longest = self.calls.get(&id).and_then(|a| self.longest_wait(&a.call));
        let Some(active) = self.calls.get_mut(&id) else { return };
        active.waiting = true;
        let (class, deadline, arrived_at) = (active.class, active.call.deadline, active.arrived_at);
        self.queue.push(now, class, id, at_front);
        self.timers.set(deadline, id, Due::Deadline);
        if let Some(longest) = longest {
            self.timers.set(arrived_at + longest, id, Due::Wait);
        }
        if !class.is_long() {
            self.timers.set(now + self.patience(), id, Due::Patience);
        }
    }

    /// Time after which a short call goes to a target that looks full: counts may be wrong by then.
    pub(super) fn patience(&self) -> Duration {
        self.durations.short() / PATIENCE_DIVISOR
    }

    pub(super) fn refuse(
        &mut self,
        call: CallId,
        kind: ErrorKind,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.counters.refusals += 1;
        let retry_after = kind.answer().retry_after_s.map(|_| wait.max(LEAST_RETRY_AFTER));
        actions.push(Action::Refuse { call, kind, retry_after });
    }

    /// Answers a waiting call with an error.
    pub(super) fn give_up(&mut self, id: CallId, kind: ErrorKind, actions: &mut Vec<Action>) {
        let Some(active) = self.calls.remove(&id) else { return };
        let wait = self.predicted_wait(active.class);
        self.queue.left(active.class);
        // A call that was sent before is told what became of that: it may have run.
        let of_sends = active.worst.and_then(|(attempt, end)| Action::final_for(id, attempt, end));
        match of_sends {
            Some(action) => actions.push(action),
            None => self.refuse(id, kind, wait, actions),
        }
    }
}
