//! One service's pool of targets: which call goes where, when, and whether.
//!
//! Driven by [`Event`]s in time order; each adds the [`Action`]s that must be carried out.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Action, Attempt, AttemptEnd, Call, Event, TargetIndex};
use crate::{
    collections::HashMap,
    error::ErrorKind,
    plan::{RequestKind, ServiceSpec},
    units::{CallId, DataCentre, MonoTime},
};

/// What a pool needs besides the service's part of the plan.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Data centre of this instance; near targets go first.
    pub data_centre: DataCentre,
    /// Part of every shared budget that this instance may spend: one over the plan's most instances.
    pub share: f64,
    /// Probes a second a target may receive from all instances together.
    pub probes_per_target_per_s: f64,
    /// Seed of the generator for random candidates.
    pub seed: u64,
}

#[derive(Debug)]
struct Target {
    slots: u32,
    in_flight: u32,
    draining: bool,
}

#[derive(Debug)]
struct Active {
    call: Call,
    sends: Vec<TargetIndex>,
}

/// State of one service's pool as seen from this instance.
#[derive(Debug)]
pub struct Pool {
    spec: ServiceSpec,
    targets: Vec<Target>,
    queue: VecDeque<CallId>,
    /// Every call that is queued or has a send in progress.
    calls: HashMap<CallId, Active>,
    rng: SmallRng,
}

impl Pool {
    /// Creates a pool with nothing in flight.
    pub fn new(spec: &ServiceSpec, settings: &PoolSettings) -> Self {
        let targets = spec.targets.iter().map(|t| Target { slots: t.slots, in_flight: 0, draining: false });
        Self {
            targets: targets.collect(),
            spec: spec.clone(),
            queue: VecDeque::new(),
            calls: HashMap::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
        }
    }

    /// Returns the service's part of the plan that this pool follows.
    pub fn spec(&self) -> &ServiceSpec {
        &self.spec
    }

    /// Returns this instance's requests in flight at each target, in the order of the plan.
    pub fn own_in_flight(&self) -> impl Iterator<Item = u32> + '_ {
        self.targets.iter().map(|t| t.in_flight)
    }

    /// Returns when [`Event::Tick`] is due at the latest, if ever.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.queue.iter().filter_map(|id| self.calls.get(id)).map(|a| a.call.deadline).min()
    }

    /// Takes one event and adds the actions that follow from it.
    pub fn handle(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(call) => self.arrived(call, actions),
            Event::Ended { call, attempt, end } => self.ended(call, attempt, end, actions),
            Event::Closed(call) => self.closed(call),
            Event::Draining { target, draining } => self.set_draining(&target, draining),
            Event::AnswerBegan { .. }
            | Event::PeerLoads { .. }
            | Event::PeerGone(_)
            | Event::Probed { .. }
            | Event::Tick => {}
        }
        self.expire(now, actions);
        self.dispatch(actions);
    }

    fn arrived(&mut self, call: Call, actions: &mut Vec<Action>) {
        let id = call.id;
        if self.queue.len() >= self.spec.queue_limit as usize {
            actions.push(refuse(id, ErrorKind::Overloaded));
            return;
        }
        self.calls.insert(id, Active { call, sends: Vec::new() });
        self.queue.push_back(id);
    }

    fn ended(&mut self, id: CallId, attempt: Attempt, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(active) = self.calls.get(&id) else { return };
        let Some(&target) = active.sends.get(attempt.0 as usize) else {
            return;
        };
        self.targets[target.0].in_flight -= 1;
        let may_repeat = match end {
            AttemptEnd::Unsent | AttemptEnd::Refused => true,
            AttemptEnd::Failed | AttemptEnd::Lost => active.call.kind == RequestKind::Idempotent,
            AttemptEnd::Answered | AttemptEnd::TimedOut | AttemptEnd::Cancelled => false,
        };
        if may_repeat && active.sends.len() < 2 {
            self.queue.push_front(id);
            return;
        }
        self.calls.remove(&id);
        let kind = match end {
            AttemptEnd::Answered | AttemptEnd::Cancelled => return,
            AttemptEnd::Failed => {
                actions.push(Action::Deliver { call: id, attempt });
                return;
            }
            AttemptEnd::TimedOut => ErrorKind::AnswerTimeout,
            AttemptEnd::Refused => ErrorKind::TargetRefused,
            AttemptEnd::Unsent => ErrorKind::Unsent,
            AttemptEnd::Lost => ErrorKind::ConnectionLost,
        };
        actions.push(refuse(id, kind));
    }

    fn closed(&mut self, id: CallId) {
        self.queue.retain(|queued| *queued != id);
    }

    fn set_draining(&mut self, target: &crate::units::TargetId, draining: bool) {
        let Some(index) = self.spec.targets.iter().position(|t| t.id == *target) else {
            return;
        };
        self.targets[index].draining = draining;
    }

    fn expire(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let calls = &mut self.calls;
        self.queue.retain(|id| {
            let expired = calls.get(id).is_none_or(|a| a.call.deadline <= now);
            if expired {
                calls.remove(id);
                actions.push(refuse(*id, ErrorKind::DeadlineUnreachable));
            }
            !expired
        });
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some(&id) = self.queue.front() {
            let Some(target) = self.choose() else { return };
            self.queue.pop_front();
            let Some(active) = self.calls.get_mut(&id) else {
                continue;
            };
            let attempt = Attempt(active.sends.len() as u32);
            active.sends.push(target);
            self.targets[target.0].in_flight += 1;
            actions.push(Action::Send { call: id, attempt, target });
        }
    }

    fn choose(&mut self) -> Option<TargetIndex> {
        let free = |t: &Target| !t.draining && t.in_flight < t.slots;
        let open = (0..self.targets.len()).filter(|&i| free(&self.targets[i])).collect::<Vec<_>>();
        if open.is_empty() {
            return None;
        }
        let first = open[self.rng.random_range(0..open.len())];
        let second = open[self.rng.random_range(0..open.len())];
        let load = |i: usize| f64::from(self.targets[i].in_flight) / f64::from(self.targets[i].slots);
        Some(TargetIndex(if load(second) < load(first) { second } else { first }))
    }
}

fn refuse(call: CallId, kind: ErrorKind) -> Action {
    let retry_after = kind.answer().retry_after_s.map(|s| Duration::from_secs(u64::from(s)));
    Action::Refuse { call, kind, retry_after }
}
