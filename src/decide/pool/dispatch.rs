//! Sends calls to chosen targets, at once, from the queue, and when timers are due.

use std::time::Duration;

use super::{Active, Pool, Send};
use crate::{
    collections::HashMap,
    decide::{
        Action, Attempt, TargetIndex,
        choice::{View, Wish},
        health::HealthState,
        queue::Class,
        retry::MAX_ATTEMPTS,
        timer::{Due, Timer},
    },
    error::ErrorKind,
    plan::RequestKind,
    units::{CallId, MonoTime},
};

/// Least time between two looks at all targets.
const SWEEP_PERIOD: Duration = Duration::from_millis(50);

/// Time without a short call after which a long one may take a target's last slot.
const SHORT_QUIET: Duration = Duration::from_secs(1);

impl Pool {
    pub(super) fn run_timers(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop(now) {
            let Some(active) = self.calls.get(&timer.call) else { continue };
            if !applies(&self.calls, &timer) {
                continue;
            }
            match timer.due {
                Due::Deadline => self.give_up(timer.call, ErrorKind::DeadlineUnreachable, actions),
                Due::Wait => self.waited(now, timer.call, actions),
                Due::Patience => {
                    let class = active.class;
                    if self.send_anywhere(now, timer.call, actions) {
                        self.queue.left(class);
                    } else {
                        self.timers.set(now + self.patience(), timer.call, Due::Patience);
                    }
                }
                Due::Late(attempt) => self.late(now, timer.call, attempt, actions),
            }
        }
    }

    /// A call has waited as long as it may in a standing queue.
    pub(super) fn waited(&mut self, now: MonoTime, id: CallId, actions: &mut Vec<Action>) {
        if self.queue.stands(now) {
            self.give_up(id, ErrorKind::Overloaded, actions);
        } else if let Some(at) = self.queue.stands_at() {
            self.timers.set(at, id, Due::Wait);
        }
    }

    /// A send has taken longer than nearly all of its route: its target may be slow, and a hedge may help.
    pub(super) fn late(&mut self, now: MonoTime, id: CallId, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(active) = self.calls.get(&id) else { return };
        let send = active.sends[attempt.0 as usize];
        let may_hedge = active.call.kind == RequestKind::Idempotent
            && active.call.prior_attempts == 0
            && active.sends.len() < 2
            && self.queue.is_empty();
        let usual = self.durations.begin(active.call.route);
        let ratio = now.since(send.sent_at).as_secs_f64() / usual.as_secs_f64();
        self.targets[send.target.0].health.late(now, ratio / self.mean_ratio);
        if !may_hedge {
            return;
        }
        if let Some(target) = self.choose(now, id, false, false)
            && self.budget.spend()
        {
            self.counters.hedges += 1;
            self.send(now, id, target, actions);
        }
    }

    /// Looks at all targets when one may return or be due for a probe.
    pub(super) fn sweep(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.sweep_at.is_none_or(|at| at > now) {
            return;
        }
        self.peers.forget_silent(now);
        let mut next = None;
        for index in self.by_plan.clone() {
            let target = &mut self.targets[index.0];
            if target.health.refresh(now) {
                self.candidates.trials.push(index);
            }
            if target.probes.due(target.read_at).is_some_and(|at| at <= now) {
                target.probes.sent(now);
                self.counters.probes += 1;
                actions.push(Action::Probe(index));
            }
            let returns = match target.health.state() {
                HealthState::Ejected(until) => Some(until),
                HealthState::InService | HealthState::Trial(_) => None,
            };
            next = [next, returns, target.probes.due(target.read_at)].into_iter().flatten().min();
        }
        let targets = &self.targets;
        self.candidates
            .trials
            .retain(|trial| matches!(targets[trial.0].health.state(), HealthState::Trial(_)));
        self.sweep_at = next.map(|at| at.max(now + SWEEP_PERIOD));
    }

    /// Sends waiting calls in the order of their classes until none finds a target.
    pub(super) fn dispatch(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        for class in Class::all() {
            while self.queue.waiting(class) > 0 {
                let calls = &self.calls;
                let waits = |id| calls.get(&id).is_some_and(|a| a.waiting);
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

    pub(super) fn send_anywhere(&mut self, now: MonoTime, id: CallId, actions: &mut Vec<Action>) -> bool {
        let Some(target) = self.choose(now, id, true, false) else { return false };
        self.send(now, id, target, actions);
        true
    }

    pub(super) fn choose(
        &mut self,
        now: MonoTime,
        id: CallId,
        any: bool,
        may_try: bool,
    ) -> Option<TargetIndex> {
        let active = self.calls.get(&id)?;
        let mut tried = [TargetIndex(usize::MAX); MAX_ATTEMPTS];
        for (place, send) in tried.iter_mut().zip(&active.sends) {
            *place = send.target;
        }
        let keeps_slot = active.class.is_long() && now.since(self.short_arrived_at) < SHORT_QUIET;
        let is_plain = active.call.kind == RequestKind::Idempotent && !active.class.is_long();
        let wish = Wish {
            is_long: keeps_slot,
            may_try: may_try && is_plain,
            any,
            freed: self.freed,
            without: &tried,
        };
        let repeats = !active.sends.is_empty() && !active.has_open_send();
        let view = View { now, targets: &self.targets, peers: &self.peers, candidates: &self.candidates };
        let chosen = view.choose(&wish, &mut self.rng);
        if chosen.is_some() || !repeats || self.serves_without(&tried) {
            return chosen;
        }
        view.choose(&Wish { without: &[], ..wish }, &mut self.rng)
    }

    /// Returns whether a target other than those named takes calls.
    pub(super) fn serves_without(&self, tried: &[TargetIndex]) -> bool {
        let serves = |index: &TargetIndex| {
            let target = &self.targets[index.0];
            matches!(target.health.state(), HealthState::InService) && !target.is_draining()
        };
        self.by_plan.iter().filter(|index| !tried.contains(index)).any(serves)
    }

    pub(super) fn send(&mut self, now: MonoTime, id: CallId, index: TargetIndex, actions: &mut Vec<Action>) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        let attempt = Attempt(active.sends.len() as u32);
        if attempt.0 == 0 {
            self.budget.earn(&active.call);
        }
        let is_long = active.class.is_long();
        active.waiting = false;
        active.sends.push(Send { target: index, sent_at: now, open: true, began: false, is_long });
        let target = &mut self.targets[index.0];
        target.own += 1;
        target.own_long += u32::from(is_long);
        self.candidates.update_preferred(&mut self.targets, index);
        if let Some(late) = self.durations.late(active.call.route) {
            self.timers.set(now + late, id, Due::Late(attempt));
        }
        actions.push(Action::Send { call: id, attempt, target: index });
    }
}

/// Returns whether a timer still stands for something.
pub(super) fn applies(calls: &HashMap<CallId, Active>, timer: &Timer) -> bool {
    let Some(active) = calls.get(&timer.call) else { return false };
    match timer.due {
        Due::Deadline | Due::Wait | Due::Patience => active.waiting,
        Due::Late(attempt) => {
            !active.done && active.sends.get(attempt.0 as usize).is_some_and(|s| s.open && !s.began)
        }
    }
}
