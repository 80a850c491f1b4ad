//! One service's pool of targets: which call goes where, when, and whether.
//!
//! Driven by [`Event`]s in time order; each adds the [`Action`]s that must be carried out.
//!
//! ```
//! use arbutusshelf::{
//!     decide::{
//!         Action, Attempt, AttemptEnd, Call, Event, RouteKey,
//!         pool::{Pool, PoolSettings},
//!     },
//!     plan::{Priority, RequestKind, sheet},
//!     units::{CallId, MonoTime},
//! };
//! use std::time::Duration;
//!
//! let plan = sheet::parse(include_bytes!("../../examples/kremsau.csv")).unwrap();
//! let settings = PoolSettings::of(&plan, &"kremsau-01".parse().unwrap(), "ost-a".parse().unwrap(), 7);
//! let mut pool = Pool::new(plan.service("hallenplan").unwrap(), &settings);
//! let now = MonoTime::from(0);
//! let call = Call {
//!     id: CallId::from(1),
//!     route: RouteKey(0),
//!     kind: RequestKind::Idempotent,
//!     priority: Priority::Normal,
//!     deadline: now + Duration::from_secs(1),
//!     prior_attempts: 0,
//! };
//! let mut actions = Vec::new();
//! pool.handle(now, Event::Arrived(call), &mut actions);
//! assert!(matches!(actions[..], [Action::Send { .. }]));
//!
//! let (call, attempt) = (CallId::from(1), Attempt(0));
//! let end = AttemptEnd::Answered;
//! pool.handle(now + Duration::from_millis(5), Event::Ended { call, attempt, end }, &mut actions);
//! assert_eq!(pool.own_in_flight().sum::<u32>(), 0);
//! ```

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};

use super::{
    Action, Attempt, AttemptEnd, Call, Event, LoadReport, RouteKey, TargetIndex,
    choice::{Candidates, View, Wish},
    duration::Durations,
    estimate::{Group, PeerCounts},
    health::{Health, Standing},
    probe::ProbeSchedule,
    queue::{Class, Queue, longest_wait},
    quota::{self, Position},
    retry::{self, MAX_SENDS, Repeat, RetryBudget},
    target::{Drain, Target},
    timer::{Due, Timer, Timers},
};
use crate::{
    collections::HashMap,
    error::ErrorKind,
    plan::{Plan, RequestKind, ServiceSpec, TargetSpec},
    units::{CallId, DataCentre, InstanceId, MonoTime, TargetId},
};

/// Largest part of a pool that may be ejected at once.
const MOST_EJECTED: f64 = 0.34;

/// Least time between two looks at all targets.
const SWEEP_PERIOD: Duration = Duration::from_millis(50);

/// Time without a short call after which a long one may take a target's last slot.
const SHORT_QUIET: Duration = Duration::from_secs(1);

/// Part of a short call's usual time that it waits for a slot that looks free.
const PATIENCE_DIVISOR: u32 = 4;

/// Times a long call's usual time that it may wait while the queue stands.
const LONG_WAIT_FACTOR: u32 = 2;

/// Weight of the latest send in the mean time a slot is held.
const HOLD_WEIGHT: f64 = 0.02;

/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a pool needs besides the service's part of the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Data centre of this instance; near targets go first.
    pub data_centre: DataCentre,
    /// Where this instance stands among those of the plan.
    pub position: Position,
    /// Most instances that may run at once.
    pub max_instances: u32,
    /// Probes a second a target may receive from all instances together.
    pub probes_per_target_per_s: f64,
    /// Seed of the generator for random candidates.
    pub seed: u64,
}

impl PoolSettings {
    /// Returns the settings of an instance under a plan.
    pub fn of(plan: &Plan, instance: &InstanceId, data_centre: DataCentre, seed: u64) -> Self {
        let position = Position {
            data_centres: plan.instances.iter().map(|i| i.data_centre.clone()).collect(),
            own: plan.instances.iter().position(|i| i.id == *instance),
        };
        Self {
            data_centre,
            position,
            max_instances: plan.budgets.max_instances,
            probes_per_target_per_s: plan.budgets.probes_per_target_per_s,
            seed,
        }
    }
}

/// What became of probes, retries and hedges since the pool was created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolCounters {
    /// Probes sent.
    pub probes: u64,
    /// Sends after one that failed, was refused or was not sent.
    pub retries: u64,
    /// Sends beside one that was late.
    pub hedges: u64,
    /// Targets ejected.
    pub ejections: u64,
    /// Calls refused before they were sent.
    pub refusals: u64,
}

/// Why a target gets calls or does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum TargetState {
    /// It takes calls up to its limit.
    InService,
    /// It takes calls up to a limit that rises with each answer.
    WarmingUp,
    /// It answers slowly and takes fewer.
    Slow,
    /// It gets nothing for a while.
    Ejected,
    /// It gets one idempotent call at a time.
    Trial,
    /// It takes no new calls.
    Draining,
}

/// What a choice goes by for one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Target.
    pub id: TargetId,
    /// Own sends in progress.
    pub own: u32,
    /// Those of long routes.
    pub own_long: u32,
    /// Sends of peers as last reported.
    pub peers: u32,
    /// Slots that this instance prefers.
    pub preferred: u32,
    /// Requests of all instances that it may hold now.
    pub limit: f64,
    /// Time of recent answers over what their routes take.
    pub pace: f64,
    /// Whether it is in this instance's data centre.
    pub is_near: bool,
    /// Why it gets calls or does not.
    pub state: TargetState,
}

#[derive(Debug, Clone, Copy)]
struct Send {
    target: TargetIndex,
    sent_at: MonoTime,
    open: bool,
    began: bool,
    is_long: bool,
}

#[derive(Debug)]
struct Active {
    call: Call,
    class: Class,
    arrived_at: MonoTime,
    /// Waits in the queue.
    waiting: bool,
    /// Has had its final action or its answer.
    done: bool,
    /// At most [`MAX_SENDS`].
    sends: Vec<Send>,
    /// The end that says most of what may have run, of the sends that ended without an answer.
    worst: Option<(Attempt, AttemptEnd)>,
}

impl Active {
    fn has_open_send(&self) -> bool {
        self.sends.iter().any(|s| s.open)
    }
}

/// State of one service's pool as seen from this instance.
#[derive(Debug)]
pub struct Pool {
    spec: ServiceSpec,
    settings: PoolSettings,
    /// Indexes stay valid while a send to the target is in progress.
    targets: Vec<Target>,
    /// Indexes in the order of the plan.
    by_plan: Vec<TargetIndex>,
    by_id: HashMap<TargetId, TargetIndex>,
    candidates: Candidates,
    peers: PeerCounts,
    durations: Durations,
    budget: RetryBudget,
    queue: Queue,
    timers: Timers,
    /// Every call that waits or has a send in progress.
    calls: HashMap<CallId, Active>,
    /// Slots over which this instance's waiting calls are served.
    parallel: f64,
    mean_hold_s: f64,
    /// Mean square of the same, in seconds squared.
    mean_square_hold: f64,
    /// Mean over the pool of the time of a send over what its route takes.
    mean_ratio: f64,
    short_arrived_at: MonoTime,
    sweep_at: Option<MonoTime>,
    /// Target whose slot the event at hand made free.
    freed: Option<TargetIndex>,
    counters: PoolCounters,
    rng: SmallRng,
}

impl Pool {
    /// Creates a pool with nothing in flight.
    pub fn new(spec: &ServiceSpec, settings: &PoolSettings) -> Self {
        let mut pool = Self {
            spec: spec.clone(),
            settings: settings.clone(),
            targets: Vec::new(),
            by_plan: Vec::new(),
            by_id: HashMap::default(),
            candidates: Candidates::default(),
            peers: PeerCounts::default(),
            durations: Durations::default(),
            budget: RetryBudget::new(spec.retry_budget),
            queue: Queue::default(),
            timers: Timers::default(),
            calls: HashMap::default(),
            parallel: 1.0,
            mean_hold_s: 0.005,
            mean_square_hold: 0.000_05,
            mean_ratio: 1.0,
            short_arrived_at: MonoTime::default(),
            sweep_at: Some(MonoTime::default()),
            freed: None,
            counters: PoolCounters::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
        };
        pool.place_targets();
        pool
    }

    /// Follows a changed plan; sends in progress and what is known of targets that stay are kept.
    pub fn reconfigure(&mut self, spec: &ServiceSpec, settings: &PoolSettings) {
        self.spec = spec.clone();
        self.settings = settings.clone();
        self.budget.set_ratio(spec.retry_budget);
        self.place_targets();
        self.sweep_at = Some(MonoTime::default());
    }

    fn place_targets(&mut self) {
        for target in &mut self.targets {
            target.in_plan = false;
        }
        let specs = self.spec.targets.clone();
        self.by_plan = specs.iter().map(|spec| self.place_target(spec)).collect();
        for index in 0..self.targets.len() {
            if !self.targets[index].in_plan {
                self.by_id.remove(&self.targets[index].spec.id);
                self.peers.clear_target(TargetIndex(index));
            }
        }
        self.divide_slots(&specs);
        self.list_candidates();
    }

    fn place_target(&mut self, spec: &TargetSpec) -> TargetIndex {
        let is_near = spec.data_centre == self.settings.data_centre;
        // A target that moved to another address is another target: its sends in progress end at the old one.
        let known = self.by_id.get(&spec.id).copied();
        let known = known.filter(|index| self.targets[index.0].spec.address == spec.address);
        if let Some(index) = known {
            let target = &mut self.targets[index.0];
            target.spec = spec.clone();
            target.is_near = is_near;
            target.in_plan = true;
            return index;
        }
        let target = Target {
            spec: spec.clone(),
            is_near,
            in_plan: true,
            drain: Drain::default(),
            own: 0,
            own_long: 0,
            quota: quota::Quota::default(),
            health: Health::in_service(),
            ramp: None,
            read_at: MonoTime::default(),
            probes: ProbeSchedule::default(),
            free_place: None,
        };
        let free = self.targets.iter().position(|t| !t.in_plan && t.own == 0 && self.is_unlisted(&t.spec.id));
        let index = TargetIndex(free.unwrap_or(self.targets.len()));
        if free.is_some() {
            self.targets[index.0] = target;
        } else {
            self.targets.push(target);
        }
        self.by_id.insert(spec.id.clone(), index);
        index
    }

    /// Returns whether the plan in force has no target of this name, so that its place may be reused.
    fn is_unlisted(&self, id: &TargetId) -> bool {
        !self.spec.targets.iter().any(|t| t.id == *id)
    }

    fn divide_slots(&mut self, specs: &[TargetSpec]) {
        for target in &mut self.targets {
            target.quota = quota::Quota::default();
        }
        for (position, quota) in quota::divide(&self.settings.position, specs) {
            let index = self.by_plan[position.0];
            self.targets[index.0].quota = quota;
        }
        let own = self.targets.iter().map(|t| t.quota.all).sum::<u32>();
        let all = specs.iter().map(|t| t.slots).sum::<u32>();
        let share = f64::from(all) / f64::from(self.settings.max_instances.max(1));
        let group = |t: &Target| if t.is_near { Group::Near } else { Group::Far };
        let slots = |wanted: Group| {
            let of_group = self.targets.iter().filter(|t| t.in_plan && group(t) == wanted);
            of_group.map(|t| f64::from(t.spec.slots)).sum::<f64>()
        };
        let slots = [slots(Group::Near), slots(Group::Far)];
        self.peers.set_groups(self.targets.iter().map(group).collect(), slots);
        self.parallel = if own > 0 { f64::from(own) } else { share.max(1.0) };
    }

    fn list_candidates(&mut self) {
        self.candidates = Candidates::default();
        let (max_instances, rate) = (self.settings.max_instances, self.settings.probes_per_target_per_s);
        for (position, index) in self.by_plan.clone().into_iter().enumerate() {
            let place = TargetIndex(position);
            let schedule = ProbeSchedule::new(&self.settings.position, max_instances, place, rate);
            let target = &mut self.targets[index.0];
            target.probes = schedule.after(&target.probes);
            let list = if target.is_near { &mut self.candidates.near } else { &mut self.candidates.far };
            list.push(index);
            if matches!(target.health.standing(), Standing::Trial(_)) {
                self.candidates.trials.push(index);
            }
        }
        for index in 0..self.targets.len() {
            self.targets[index].free_place = None;
            self.candidates.update_preferred(&mut self.targets, TargetIndex(index));
        }
    }

    /// Returns the service's part of the plan that this pool follows.
    pub fn spec(&self) -> &ServiceSpec {
        &self.spec
    }

    /// Returns the settings that this pool follows.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Returns what the plan states of a target that a send names.
    ///
    /// # Panics
    ///
    /// When the index is not from an action of this pool.
    pub fn target(&self, index: TargetIndex) -> &TargetSpec {
        &self.targets[index.0].spec
    }

    /// Returns this instance's requests in flight at each target, in the order of the plan.
    pub fn own_in_flight(&self) -> impl Iterator<Item = u32> + '_ {
        self.by_plan.iter().map(|index| self.targets[index.0].own)
    }

    /// Returns the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns counts since the pool was created.
    pub fn counters(&self) -> PoolCounters {
        self.counters
    }

    /// Returns what a choice goes by for each target, in the order of the plan.
    pub fn explain(&self, now: MonoTime) -> Vec<TargetView> {
        self.by_plan.iter().map(|index| self.view(now, *index)).collect()
    }

    fn view(&self, now: MonoTime, index: TargetIndex) -> TargetView {
        let target = &self.targets[index.0];
        let pace = target.health.pace(now);
        let state = match target.health.standing() {
            _ if target.is_draining() => TargetState::Draining,
            Standing::Ejected(_) => TargetState::Ejected,
            Standing::Trial(_) => TargetState::Trial,
            Standing::InService if target.ramp.is_some() => TargetState::WarmingUp,
            Standing::InService if pace > 1.0 => TargetState::Slow,
            Standing::InService => TargetState::InService,
        };
        TargetView {
            id: target.spec.id.clone(),
            own: target.own,
            own_long: target.own_long,
            peers: self.peers.at(index),
            preferred: target.quota.all,
            limit: target.limit(now),
            pace,
            is_near: target.is_near,
            state,
        }
    }

    /// Returns when [`Event::Tick`] is due at the latest, if ever.
    pub fn next_wake(&self) -> Option<MonoTime> {
        match (self.timers.next(), self.sweep_at) {
            (Some(timer), Some(sweep)) => Some(timer.min(sweep)),
            (timer, sweep) => timer.or(sweep),
        }
    }

    /// Takes one event and adds the actions that follow from it.
    pub fn handle(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(call) => self.arrived(now, call, actions),
            Event::AnswerBegan { call, attempt, report } => self.began(now, call, attempt, report),
            Event::Ended { call, attempt, end } => self.ended(now, call, attempt, end, actions),
            Event::Closed(call) => self.closed(call),
            Event::PeerLoads { peer, loads } => {
                let by_id = &self.by_id;
                self.peers.take(now, &peer, &loads, |load| by_id.get(&load.target).copied());
            }
            Event::PeerGone(peer) => self.peers.forget(&peer),
            Event::Draining { target, draining } => {
                if let Some(&index) = self.by_id.get(&target) {
                    // An operator's return also takes back what the target said before.
                    self.targets[index.0].drain = Drain { by_sign: draining, by_report: false };
                    self.candidates.update_preferred(&mut self.targets, index);
                }
            }
            Event::Probed { target, report } => self.probed(now, target, report),
            Event::Tick => {}
        }
        self.run_timers(now, actions);
        self.sweep(now, actions);
        self.dispatch(now, actions);
        self.freed = None;
        let calls = &self.calls;
        self.timers.drop_stale(|timer| applies(calls, timer));
    }

    fn arrived(&mut self, now: MonoTime, call: Call, actions: &mut Vec<Action>) {
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
    fn refusal(&self, now: MonoTime, call: &Call, class: Class) -> Option<ErrorKind> {
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

    fn longest_wait(&self, call: &Call) -> Option<Duration> {
        let objective = Duration::from_millis(self.spec.objective.latency_ms);
        let longest = longest_wait(call.priority, objective)?;
        if !self.durations.is_long(call.route) {
            return Some(longest);
        }
        Some(longest.max(self.durations.hold(call.route) * LONG_WAIT_FACTOR))
    }

    fn predicted_wait(&self, class: Class) -> Duration {
        let ahead = self.queue.ahead_of(class) as f64;
        Duration::from_secs_f64(ahead * self.mean_hold_s / self.parallel)
    }

    /// Refuses the last waiting call of a lower class; returns whether there was one.
    fn make_room(&mut self, class: Class, actions: &mut Vec<Action>) -> bool {
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

    fn enqueue(&mut self, now: MonoTime, id: CallId, at_front: bool) {
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
    fn patience(&self) -> Duration {
        self.durations.short() / PATIENCE_DIVISOR
    }

    fn refuse(&mut self, call: CallId, kind: ErrorKind, wait: Duration, actions: &mut Vec<Action>) {
        self.counters.refusals += 1;
        let retry_after = kind.answer().retry_after_s.map(|_| wait.max(LEAST_RETRY_AFTER));
        actions.push(Action::Refuse { call, kind, retry_after });
    }

    /// Answers a waiting call with an error.
    fn give_up(&mut self, id: CallId, kind: ErrorKind, actions: &mut Vec<Action>) {
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

    fn began(&mut self, now: MonoTime, id: CallId, attempt: Attempt, report: LoadReport) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        let Some(send) = active.sends.get_mut(attempt.0 as usize) else { return };
        send.began = true;
        let (target, route) = (send.target, active.call.route);
        self.durations.record_begin(route, now.since(send.sent_at));
        self.targets[target.0].read_at = now;
        self.targets[target.0].drain.by_report = report.draining;
        self.candidates.update_preferred(&mut self.targets, target);
    }

    fn ended(
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

    fn release(&mut self, send: Send) {
        let target = &mut self.targets[send.target.0];
        target.own -= 1;
        target.own_long -= u32::from(send.is_long);
        self.candidates.update_preferred(&mut self.targets, send.target);
        self.freed = Some(send.target);
    }

    fn learn(&mut self, now: MonoTime, route: RouteKey, send: Send, end: AttemptEnd) {
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

    fn eject(&mut self, now: MonoTime, index: TargetIndex) {
        let out = |t: &&TargetIndex| !matches!(self.targets[t.0].health.standing(), Standing::InService);
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

    fn after_end(
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
        if retry::weight(end) >= active.worst.map_or(0, |(_, worst)| retry::weight(worst)) {
            active.worst = Some((attempt, end));
        }
        if active.has_open_send() {
            return;
        }
        let repeat = retry::after(&active.call, end);
        let may_repeat = !active.done && active.sends.len() < MAX_SENDS && now < active.call.deadline;
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

    fn may_spend(&mut self, repeat: Repeat) -> bool {
        match repeat {
            Repeat::Free => true,
            Repeat::Budgeted => self.budget.spend(),
            Repeat::Never => false,
        }
    }

    fn closed(&mut self, id: CallId) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        active.done = true;
        if std::mem::take(&mut active.waiting) {
            let class = active.class;
            self.queue.left(class);
        }
        if !active_has_open_send(&self.calls, id) {
            self.calls.remove(&id);
        }
    }

    fn probed(&mut self, now: MonoTime, index: TargetIndex, report: Option<LoadReport>) {
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

    fn run_timers(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
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
    fn waited(&mut self, now: MonoTime, id: CallId, actions: &mut Vec<Action>) {
        if self.queue.stands(now) {
            self.give_up(id, ErrorKind::Overloaded, actions);
        } else if let Some(at) = self.queue.stands_at() {
            self.timers.set(at, id, Due::Wait);
        }
    }

    /// A send has taken longer than nearly all of its route: its target may be slow, and a hedge may help.
    fn late(&mut self, now: MonoTime, id: CallId, attempt: Attempt, actions: &mut Vec<Action>) {
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
    fn sweep(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
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
            let returns = match target.health.standing() {
                Standing::Ejected(until) => Some(until),
                Standing::InService | Standing::Trial(_) => None,
            };
            next = [next, returns, target.probes.due(target.read_at)].into_iter().flatten().min();
        }
        let targets = &self.targets;
        self.candidates
            .trials
            .retain(|trial| matches!(targets[trial.0].health.standing(), Standing::Trial(_)));
        self.sweep_at = next.map(|at| at.max(now + SWEEP_PERIOD));
    }

    /// Sends waiting calls in the order of their classes until none finds a target.
    fn dispatch(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
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

    fn send_to_chosen(
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

    fn send_anywhere(&mut self, now: MonoTime, id: CallId, actions: &mut Vec<Action>) -> bool {
        let Some(target) = self.choose(now, id, true, false) else { return false };
        self.send(now, id, target, actions);
        true
    }

    fn choose(&mut self, now: MonoTime, id: CallId, any: bool, may_try: bool) -> Option<TargetIndex> {
        let active = self.calls.get(&id)?;
        let mut tried = [TargetIndex(usize::MAX); MAX_SENDS];
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
    fn serves_without(&self, tried: &[TargetIndex]) -> bool {
        let serves = |index: &TargetIndex| {
            let target = &self.targets[index.0];
            matches!(target.health.standing(), Standing::InService) && !target.is_draining()
        };
        self.by_plan.iter().filter(|index| !tried.contains(index)).any(serves)
    }

    fn send(&mut self, now: MonoTime, id: CallId, index: TargetIndex, actions: &mut Vec<Action>) {
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
fn applies(calls: &HashMap<CallId, Active>, timer: &Timer) -> bool {
    let Some(active) = calls.get(&timer.call) else { return false };
    match timer.due {
        Due::Deadline | Due::Wait | Due::Patience => active.waiting,
        Due::Late(attempt) => {
            !active.done && active.sends.get(attempt.0 as usize).is_some_and(|s| s.open && !s.began)
        }
    }
}

fn active_has_open_send(calls: &HashMap<CallId, Active>, id: CallId) -> bool {
    calls.get(&id).is_some_and(Active::has_open_send)
}
