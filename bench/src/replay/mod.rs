//! Discrete-event simulation that replays a trace in virtual time. Instances decide with the product's code,
//! while targets and network latency are simulated.

pub mod policy;
pub mod stats;
pub mod target;

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    time::Duration,
};

use arbutusshelf::{
    decide::{
        Action, Attempt, AttemptEnd, Call, Event, PeerLoad, RouteKey, TargetIndex,
        pool::{Pool, PoolSettings},
        quota::InstancePosition,
    },
    error::{ErrorKind, Outcome},
    peer::{
        frame::{Frame, Loads, encode},
        loads::LoadSender,
    },
    plan::{Plan, Priority, RequestKind, ServiceSpec},
    units::{CallId, DataCentre, InstanceId, MonoTime, TargetId},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::{
    policy::{Balancer, BaselineBalancer, Policy},
    stats::{FreeSlotTimeline, ReplayStats, WorkStart},
    target::{AttemptIndex, SimulatedTarget},
};
use crate::{
    deployment::Deployment,
    trace::{Disturbance, PeakPeriod, Trace, TraceCall},
};

/// One-way latency between an instance and a target in the same data centre, in microseconds.
const NEAR_LATENCY_US: u64 = 100;

/// Time that a failing target takes to answer 500, in microseconds.
const FAIL_LATENCY_US: u64 = 100;

/// Time from sending a probe to receiving its response, in microseconds.
const PROBE_LATENCY_US: u64 = 6_000;

/// Time after the last arrival at which a replay ends, in microseconds. Longer than every deadline.
const TAIL_US: u64 = 6_000_000;

/// Multiple of the median work of its service above which a call counts as long.
const LONG_FACTOR: u64 = 10;

/// Parameters of a replay.
#[derive(Debug, Clone)]
pub struct ReplaySettings {
    /// Deployment whose plan defines services, targets and routes.
    pub deployment: Deployment,
    /// Number of instances. Each call goes to a random one.
    pub instances: usize,
    /// How instances choose targets.
    pub policy: Policy,
    /// Seed of all random choices.
    pub seed: u64,
    /// Share of a service's capacity that demand takes in the trace's peak period. The trace is scaled to
    /// reach this share at the most loaded service; `None` leaves the trace unscaled.
    pub load: Option<f64>,
    /// Mean age of the in-flight counts that instances have of each other; 0 disables the exchange of counts.
    pub count_age: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// A call reaches its instance.
    CallArrived(usize),
    /// An attempt reaches its target.
    AttemptAtTarget(AttemptIndex),
    /// A target finishes the work of an attempt.
    WorkFinished(AttemptIndex),
    /// The end of an attempt reaches its instance.
    AttemptEnded(AttemptIndex, SimulatedEnd),
    /// A cancellation reaches the target of the attempt.
    CancelAtTarget(AttemptIndex),
    /// The deadline of the attempt's call.
    Deadline(AttemptIndex),
    /// A timer of the pool of one service at one instance.
    Tick { instance: usize, service: usize },
    /// An instance reads its in-flight counts and sends them to its peers.
    SampleCounts { instance: usize },
    /// The update with this index in [`Replay::counts`] reaches an instance.
    DeliverCounts { index: usize, to: usize },
    /// The response to a probe reaches its instance.
    ProbeAnswered { instance: usize, service: usize, target: usize },
    /// A disturbance begins or ends, which changes the set of slots that count as free.
    DisturbanceChanged { service: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEnd {
    Answered,
    /// The target answered 500.
    Failed,
    /// The target refused the connection.
    Unsent,
    TimedOut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    InTransit,
    Queued,
    Running,
    /// The attempt has left the target or will never reach it.
    LeftTarget,
}

/// An attempt of a call, sent to a target.
#[derive(Debug)]
struct SentAttempt {
    /// Index of the call in [`Replay::calls`].
    call: usize,
    attempt: Attempt,
    target: usize,
    state: AttemptState,
    /// Whether the instance no longer waits for the attempt.
    closed: bool,
}

/// A call of the trace and what became of it.
#[derive(Debug)]
pub struct ReplayCall {
    /// Index of its service in the plan.
    pub service: usize,
    instance: usize,
    /// Arrival at the instance, in microseconds since the start of the trace.
    pub arrived_us: u64,
    /// Time that an undisturbed target works on it, in microseconds.
    pub work_us: u64,
    /// Whether its work exceeds `LONG_FACTOR` times the median work of its service.
    pub is_long: bool,
    /// Kind that its route has in the plan.
    pub kind: RequestKind,
    /// Priority that its route has in the plan.
    pub priority: Priority,
    route: RouteKey,
    /// Time at which the first target started to work on it, less the latency to that target, in
    /// microseconds.
    pub started_us: Option<u64>,
    /// Number of attempts that a target started to work on.
    pub runs: u32,
    /// Time in microseconds and kind of the reply; `None` until the caller has one.
    pub replied: Option<(u64, Reply)>,
    attempts: Vec<AttemptIndex>,
}

/// The reply that a caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// A complete response with a status below 500.
    Useful,
    /// A response of the target with status 500; under [`Policy::Omniscient`] also any other failure of the
    /// attempt.
    Failed,
    /// An error response of the instance.
    Refused(ErrorKind),
}

impl Reply {
    /// Returns the outcome that the reply states: whether the call ran.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Useful | Self::Failed => Outcome::Ran,
            Self::Refused(kind) => kind.answer().outcome,
        }
    }
}

/// In-flight counts that an instance sent to its peers.
#[derive(Debug)]
struct CountsUpdate {
    /// Instance that sent the update.
    from: usize,
    taken_us: u64,
    /// Index of the service, target, and number of requests in flight.
    loads: Vec<(usize, TargetId, u32)>,
}

/// A replay in progress.
#[derive(Debug)]
pub struct Replay {
    settings: ReplaySettings,
    plan: Plan,
    now_us: u64,
    /// Time in microseconds, number that keeps simultaneous events in order, and event.
    events: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    next_event_number: u64,
    calls: Vec<ReplayCall>,
    attempts: Vec<SentAttempt>,
    /// Targets by service, in the order of the plan.
    targets: Vec<Vec<SimulatedTarget>>,
    /// Balancers by instance and service.
    balancers: Vec<Vec<Balancer>>,
    /// Time of the next scheduled tick, by instance and service.
    next_ticks_us: Vec<Vec<Option<u64>>>,
    instance_names: Vec<InstanceId>,
    data_centres: Vec<DataCentre>,
    /// Waiting calls of [`Policy::Omniscient`] in the order of priority and arrival, by service.
    omniscient_queues: Vec<BTreeSet<(Priority, u64, usize)>>,
    counts: Vec<CountsUpdate>,
    load_senders: Vec<LoadSender>,
    /// Bytes that all instances sent to their peers.
    control_bytes: u64,
    /// Time, service and target of each probe.
    probe_times_us: Vec<(u64, usize, usize)>,
    /// Starts of work by service, sorted by time.
    work_starts: Vec<Vec<WorkStart>>,
    /// Free slots by service.
    free_slots: Vec<FreeSlotTimeline>,
    peak_period: PeakPeriod,
    end_us: u64,
    actions: Vec<Action>,
}

/// Replays a trace and returns its statistics.
pub fn run(trace: &Trace, settings: &ReplaySettings) -> ReplayStats {
    let plan = settings.deployment.plan();
    let mut trace = settings.deployment.adapt_trace(trace);
    if let Some(load) = settings.load {
        let slots = |s: &ServiceSpec| (s.name.to_string(), s.targets.iter().map(|t| t.slots).sum());
        let unscaled_load = trace.peak_utilization(&plan.services.iter().map(slots).collect());
        trace = trace.scaled(load / unscaled_load, settings.seed);
    }
    let mut replay = Replay::new(&trace, settings.clone(), plan);
    replay.run();
    stats::collect(&replay)
}

impl Replay {
    fn new(trace: &Trace, settings: ReplaySettings, plan: Plan) -> Self {
        let instance_specs = (0..settings.instances).map(|i| &plan.instances[i % plan.instances.len()]);
        let data_centres = instance_specs.map(|i| i.data_centre.clone()).collect::<Vec<_>>();
        let instance_names =
            (0..settings.instances).filter_map(|i| format!("instance-{i:02}").parse().ok()).collect();
        let services = plan.services.len();
        let balancers = (0..settings.instances)
            .map(|i| plan.services.iter().map(|s| balancer(&settings, &plan, s, &data_centres, i)).collect())
            .collect::<Vec<Vec<_>>>();
        let targets =
            plan.services.iter().map(|s| s.targets.iter().map(|t| SimulatedTarget::new(t.slots)).collect());
        let mut replay = Self {
            now_us: 0,
            events: BinaryHeap::new(),
            next_event_number: 0,
            calls: Vec::with_capacity(trace.calls.len()),
            attempts: Vec::with_capacity(trace.calls.len()),
            targets: targets.collect(),
            next_ticks_us: vec![vec![None; services]; settings.instances],
            balancers,
            instance_names,
            data_centres,
            omniscient_queues: vec![BTreeSet::new(); services],
            counts: Vec::new(),
            load_senders: (0..settings.instances).map(|_| LoadSender::default()).collect(),
            control_bytes: 0,
            probe_times_us: Vec::new(),
            work_starts: vec![Vec::new(); services],
            free_slots: vec![FreeSlotTimeline::default(); services],
            peak_period: trace.peak_period(),
            end_us: trace.end_us(),
            actions: Vec::new(),
            settings,
            plan,
        };
        replay.schedule_trace(trace);
        replay
    }

    /// Schedules the calls and disturbances of a trace, and the first exchange of counts.
    fn schedule_trace(&mut self, trace: &Trace) {
        for d in &trace.disturbances {
            let Some(service) = self.plan.services.iter().position(|s| s.name.as_str() == d.service) else {
                continue;
            };
            let size = self.targets[service].len();
            self.targets[service][d.target % size].disturb(d.time_us, d.for_us, d.disturbance);
            self.schedule(d.time_us, ScheduledEvent::DisturbanceChanged { service });
            self.schedule(d.time_us + d.for_us, ScheduledEvent::DisturbanceChanged { service });
        }
        let mut rng = SmallRng::seed_from_u64(self.settings.seed ^ 0x5eed);
        for call in &trace.calls {
            let instance = rng.random_range(0..self.settings.instances);
            self.add_call(call, instance);
        }
        self.mark_long_calls();
        if self.settings.policy == Policy::Product && !self.settings.count_age.is_zero() {
            for instance in 0..self.settings.instances {
                let phase = rng.random_range(0..self.settings.count_age.as_micros() as u64);
                self.schedule(phase, ScheduledEvent::SampleCounts { instance });
            }
        }
    }

    fn add_call(&mut self, call: &TraceCall, instance: usize) {
        let Some(service) = self.plan.services.iter().position(|s| s.name.as_str() == call.service) else {
            return;
        };
        let spec = &self.plan.services[service];
        let route = spec.route(&call.method, &call.path);
        let position = route.and_then(|r| spec.routes.iter().position(|other| other == r));
        let index = self.calls.len();
        self.calls.push(ReplayCall {
            service,
            instance,
            arrived_us: call.time_us,
            work_us: call.work_us,
            is_long: false,
            kind: route.map_or(RequestKind::Unstated, |r| r.kind),
            priority: route.map_or(Priority::Normal, |r| r.priority),
            route: position.map_or(RouteKey::UNLISTED, |p| RouteKey(p as u32)),
            started_us: None,
            runs: 0,
            replied: None,
            attempts: Vec::new(),
        });
        self.schedule(call.time_us, ScheduledEvent::CallArrived(index));
    }

    fn mark_long_calls(&mut self) {
        for service in 0..self.plan.services.len() {
            let mut work = self.calls.iter().filter(|c| c.service == service).map(|c| c.work_us);
            let mut work = work.by_ref().collect::<Vec<_>>();
            work.sort_unstable();
            let Some(&median) = work.get(work.len() / 2) else { continue };
            for call in self.calls.iter_mut().filter(|c| c.service == service) {
                call.is_long = call.work_us > median * LONG_FACTOR;
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: ScheduledEvent) {
        self.events.push(Reverse((at_us, self.next_event_number, event)));
        self.next_event_number += 1;
    }

    fn run(&mut self) {
        let last_event_us = self.end_us + TAIL_US;
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > last_event_us {
                return;
            }
            self.now_us = at_us;
            self.process(event);
        }
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::CallArrived(call) => self.call_arrives(call),
            ScheduledEvent::AttemptAtTarget(attempt) => self.attempt_reaches_target(attempt),
            ScheduledEvent::WorkFinished(attempt) => self.finish_work(attempt),
            ScheduledEvent::AttemptEnded(attempt, kind) => self.attempt_ended(attempt, kind),
            ScheduledEvent::CancelAtTarget(attempt) => self.cancel_at_target(attempt),
            ScheduledEvent::Deadline(attempt) => self.deadline_passed(attempt),
            ScheduledEvent::Tick { instance, service } => self.tick(instance, service),
            ScheduledEvent::SampleCounts { instance } => self.sample_counts(instance),
            ScheduledEvent::DeliverCounts { index, to } => self.deliver_counts(index, to),
            ScheduledEvent::ProbeAnswered { instance, service, target } => {
                let report = Some(self.targets[service][target].report(self.now_us));
                self.handle_event(
                    instance,
                    service,
                    Event::ProbeEnded { target: TargetIndex(target), report },
                );
            }
            ScheduledEvent::DisturbanceChanged { service } => {
                self.record_free_slots(service);
                self.dispatch_omniscient(service);
            }
        }
    }

    fn call_arrives(&mut self, index: usize) {
        let call = &self.calls[index];
        let (instance, service) = (call.instance, call.service);
        if self.settings.policy == Policy::Omniscient {
            self.omniscient_queues[service].insert((call.priority, self.now_us, index));
            self.dispatch_omniscient(service);
            return;
        }
        let event = Event::CallArrived(Call {
            id: CallId::from(index as u64),
            route: call.route,
            kind: call.kind,
            priority: call.priority,
            deadline: MonoTime::from(self.deadline_us(index)),
            prior_attempts: 0,
        });
        self.handle_event(instance, service, event);
    }

    fn deadline_us(&self, call: usize) -> u64 {
        let call = &self.calls[call];
        call.arrived_us + self.plan.services[call.service].deadline_ms * 1_000
    }

    /// Passes an event to a balancer and applies the resulting actions.
    fn handle_event(&mut self, instance: usize, service: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = MonoTime::from(self.now_us);
        self.balancers[instance][service].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(instance, service, &action);
        }
        self.actions = actions;
        self.schedule_tick(instance, service);
    }

    /// Schedules a tick if the balancer needs one before the next scheduled one.
    fn schedule_tick(&mut self, instance: usize, service: usize) {
        let tick_us = self.balancers[instance][service].next_wake().map(|t| t.as_micros().max(self.now_us));
        let earlier = |at: &u64| self.next_ticks_us[instance][service].is_none_or(|set| *at < set);
        if let Some(at_us) = tick_us.filter(earlier) {
            self.next_ticks_us[instance][service] = Some(at_us);
            self.schedule(at_us, ScheduledEvent::Tick { instance, service });
        }
    }

    fn tick(&mut self, instance: usize, service: usize) {
        if self.next_ticks_us[instance][service] == Some(self.now_us) {
            self.next_ticks_us[instance][service] = None;
            self.handle_event(instance, service, Event::Tick);
        }
    }

    fn apply_action(&mut self, instance: usize, service: usize, action: &Action) {
        match *action {
            Action::Send { call, attempt, target } => self.send(u64::from(call) as usize, attempt, target.0),
            Action::Deliver { call, .. } => self.reply(u64::from(call) as usize, Reply::Failed),
            Action::Refuse { call, kind, .. } => self.reply(u64::from(call) as usize, Reply::Refused(kind)),
            Action::Cancel { call, attempt } => self.cancel(u64::from(call) as usize, attempt),
            Action::Probe(target) => {
                self.probe_times_us.push((self.now_us, service, target.0));
                let at_us = self.now_us + PROBE_LATENCY_US;
                self.schedule(at_us, ScheduledEvent::ProbeAnswered { instance, service, target: target.0 });
            }
        }
    }

    /// Returns the one-way latency between an instance and a target.
    fn latency_us(&self, instance: usize, service: usize, target: usize) -> u64 {
        let is_near = self.data_centres[instance] == self.plan.services[service].targets[target].data_centre;
        if is_near { NEAR_LATENCY_US } else { self.settings.deployment.cross_data_centre_latency_us() }
    }

    /// Returns the one-way latency between the instance and the target of an attempt.
    fn attempt_latency_us(&self, attempt: AttemptIndex) -> u64 {
        let attempt = &self.attempts[attempt];
        let call = &self.calls[attempt.call];
        self.latency_us(call.instance, call.service, attempt.target)
    }

    fn send(&mut self, call: usize, attempt: Attempt, target: usize) {
        let index = self.attempts.len();
        self.attempts.push(SentAttempt {
            call,
            attempt,
            target,
            state: AttemptState::InTransit,
            closed: false,
        });
        self.calls[call].attempts.push(index);
        self.schedule(self.now_us + self.attempt_latency_us(index), ScheduledEvent::AttemptAtTarget(index));
        self.schedule(self.deadline_us(call), ScheduledEvent::Deadline(index));
    }

    fn attempt_reaches_target(&mut self, index: AttemptIndex) {
        if self.attempts[index].state != AttemptState::InTransit {
            return;
        }
        let (service, target) = (self.calls[self.attempts[index].call].service, self.attempts[index].target);
        let back_us = self.now_us + self.attempt_latency_us(index);
        match self.targets[service][target].disturbance(self.now_us) {
            Some(Disturbance::Failing) => {
                self.attempts[index].state = AttemptState::LeftTarget;
                self.calls[self.attempts[index].call].runs += 1;
                self.schedule(
                    back_us + FAIL_LATENCY_US,
                    ScheduledEvent::AttemptEnded(index, SimulatedEnd::Failed),
                );
            }
            Some(Disturbance::Down) => {
                self.attempts[index].state = AttemptState::LeftTarget;
                self.schedule(back_us, ScheduledEvent::AttemptEnded(index, SimulatedEnd::Unsent));
            }
            Some(Disturbance::Slow(_)) | None => {
                self.attempts[index].state = AttemptState::Queued;
                self.targets[service][target].queue.push_back(index);
                self.start_queued(service, target);
            }
        }
    }

    /// Starts queued attempts in the free slots of a target.
    fn start_queued(&mut self, service: usize, target: usize) {
        let now_us = self.now_us;
        let simulated_target = &mut self.targets[service][target];
        while simulated_target.has_free_slot() {
            let Some(index) = simulated_target.queue.pop_front() else { break };
            simulated_target.running.push(index);
            let finish_us = simulated_target.finish_us(now_us, self.calls[self.attempts[index].call].work_us);
            self.attempts[index].state = AttemptState::Running;
            let latency_us = {
                let call = &self.calls[self.attempts[index].call];
                let is_near = self.data_centres[call.instance]
                    == self.plan.services[service].targets[target].data_centre;
                if is_near {
                    NEAR_LATENCY_US
                } else {
                    self.settings.deployment.cross_data_centre_latency_us()
                }
            };
            let call = &mut self.calls[self.attempts[index].call];
            call.runs += 1;
            call.started_us.get_or_insert(now_us.saturating_sub(latency_us));
            self.work_starts[service].push(WorkStart {
                at_us: now_us,
                arrived_us: call.arrived_us,
                priority: call.priority,
            });
            self.events.push(Reverse((
                finish_us,
                self.next_event_number,
                ScheduledEvent::WorkFinished(index),
            )));
            self.next_event_number += 1;
        }
        self.record_free_slots(service);
    }

    fn record_free_slots(&mut self, service: usize) {
        let now_us = self.now_us;
        let free = self.targets[service].iter().any(|t| t.has_free_slot() && t.is_undisturbed(now_us));
        self.free_slots[service].record(now_us, free);
    }

    /// Removes an attempt from its target and gives the freed slot to a waiting one.
    fn leave_target(&mut self, index: AttemptIndex) {
        let (service, target) = (self.calls[self.attempts[index].call].service, self.attempts[index].target);
        self.attempts[index].state = AttemptState::LeftTarget;
        let simulated_target = &mut self.targets[service][target];
        simulated_target.running.retain(|running| *running != index);
        simulated_target.queue.retain(|queued| *queued != index);
        self.start_queued(service, target);
        if self.settings.policy == Policy::Omniscient {
            self.dispatch_omniscient(service);
        }
    }

    fn finish_work(&mut self, index: AttemptIndex) {
        if self.attempts[index].state != AttemptState::Running {
            return;
        }
        let (service, target) = (self.calls[self.attempts[index].call].service, self.attempts[index].target);
        let failing = matches!(
            self.targets[service][target].disturbance(self.now_us),
            Some(Disturbance::Failing | Disturbance::Down)
        );
        let kind = if failing { SimulatedEnd::Failed } else { SimulatedEnd::Answered };
        self.leave_target(index);
        self.schedule(
            self.now_us + self.attempt_latency_us(index),
            ScheduledEvent::AttemptEnded(index, kind),
        );
    }

    fn attempt_ended(&mut self, index: AttemptIndex, kind: SimulatedEnd) {
        if std::mem::replace(&mut self.attempts[index].closed, true) {
            return;
        }
        let (call, attempt) = (self.attempts[index].call, self.attempts[index].attempt);
        let (instance, service) = (self.calls[call].instance, self.calls[call].service);
        if kind == SimulatedEnd::Answered {
            self.reply(call, Reply::Useful);
        }
        if self.settings.policy == Policy::Omniscient {
            if kind != SimulatedEnd::Answered {
                self.reply(call, Reply::Failed);
            }
            return;
        }
        let id = CallId::from(call as u64);
        if matches!(kind, SimulatedEnd::Answered | SimulatedEnd::Failed) {
            let report = self.targets[service][self.attempts[index].target].report(self.now_us);
            self.handle_event(instance, service, Event::ResponseStarted { call: id, attempt, report });
        }
        let end = match kind {
            SimulatedEnd::Answered => AttemptEnd::Answered,
            SimulatedEnd::Failed => AttemptEnd::Failed,
            SimulatedEnd::Unsent => AttemptEnd::Unsent,
            SimulatedEnd::TimedOut => AttemptEnd::TimedOut,
        };
        self.handle_event(instance, service, Event::AttemptEnded { call: id, attempt, end });
        if kind == SimulatedEnd::Answered {
            self.close_call(call);
        }
    }

    /// Cancels the open attempts of a call whose caller has its reply.
    fn close_call(&mut self, call: usize) {
        let open = |n: &AttemptIndex| !self.attempts[*n].closed;
        let open = self.calls[call].attempts.iter().copied().filter(open).collect::<Vec<_>>();
        for index in open {
            self.cancel_attempt(index);
        }
        let (instance, service) = (self.calls[call].instance, self.calls[call].service);
        self.handle_event(instance, service, Event::CallClosed(CallId::from(call as u64)));
    }

    /// Cancels an attempt of a call unless it has ended.
    fn cancel(&mut self, call: usize, attempt: Attempt) {
        let of_attempt = |n: &AttemptIndex| self.attempts[*n].attempt == attempt && !self.attempts[*n].closed;
        let found = self.calls[call].attempts.iter().copied().find(of_attempt);
        if let Some(index) = found {
            self.cancel_attempt(index);
        }
    }

    /// Cancels an attempt. The instance knows at once, the target after the one-way latency.
    fn cancel_attempt(&mut self, index: AttemptIndex) {
        self.attempts[index].closed = true;
        let call = self.attempts[index].call;
        let (instance, service) = (self.calls[call].instance, self.calls[call].service);
        self.schedule(self.now_us + self.attempt_latency_us(index), ScheduledEvent::CancelAtTarget(index));
        let (id, attempt) = (CallId::from(call as u64), self.attempts[index].attempt);
        let mut actions = Vec::new();
        let end = AttemptEnd::Cancelled;
        let event = Event::AttemptEnded { call: id, attempt, end };
        self.balancers[instance][service].handle(MonoTime::from(self.now_us), event, &mut actions);
        for action in actions {
            self.apply_action(instance, service, &action);
        }
        self.schedule_tick(instance, service);
    }

    fn cancel_at_target(&mut self, index: AttemptIndex) {
        match self.attempts[index].state {
            AttemptState::LeftTarget => {}
            AttemptState::InTransit => self.attempts[index].state = AttemptState::LeftTarget,
            AttemptState::Queued | AttemptState::Running => self.leave_target(index),
        }
    }

    fn deadline_passed(&mut self, index: AttemptIndex) {
        if self.attempts[index].closed {
            return;
        }
        self.schedule(self.now_us + self.attempt_latency_us(index), ScheduledEvent::CancelAtTarget(index));
        self.attempt_ended(index, SimulatedEnd::TimedOut);
    }

    /// Records the reply to a caller unless it already has one.
    fn reply(&mut self, call: usize, reply: Reply) {
        let now_us = self.now_us;
        self.calls[call].replied.get_or_insert((now_us, reply));
    }

    /// Sends waiting calls of [`Policy::Omniscient`] to free targets, and refuses those past their deadline.
    fn dispatch_omniscient(&mut self, service: usize) {
        while let Some(&key) = self.omniscient_queues[service].first() {
            let call = key.2;
            if self.deadline_us(call) <= self.now_us {
                self.omniscient_queues[service].pop_first();
                self.reply(call, Reply::Refused(ErrorKind::DeadlineUnreachable));
                continue;
            }
            let Some(target) = self.find_free_target(service, self.calls[call].instance) else { return };
            self.omniscient_queues[service].pop_first();
            let index = self.attempts.len();
            self.attempts.push(SentAttempt {
                call,
                attempt: Attempt(0),
                target,
                state: AttemptState::Queued,
                closed: false,
            });
            self.calls[call].attempts.push(index);
            // The attempt occupies the slot without latency, so that no second call is sent to the same slot.
            self.targets[service][target].queue.push_back(index);
            self.start_queued(service, target);
        }
    }

    /// Returns the undisturbed target with a free slot that has the lowest latency to the instance; among
    /// equals, the one with the fewest running requests.
    fn find_free_target(&self, service: usize, instance: usize) -> Option<usize> {
        let usable = |t: &usize| {
            let target = &self.targets[service][*t];
            target.has_free_slot() && target.is_undisturbed(self.now_us)
        };
        let free = (0..self.targets[service].len()).filter(usable);
        free.min_by_key(|t| (self.latency_us(instance, service, *t), self.targets[service][*t].running.len()))
    }

    /// Sends an instance's in-flight counts to its peers and schedules the next update.
    fn sample_counts(&mut self, instance: usize) {
        let mut in_flight = Vec::new();
        for balancer in &self.balancers[instance] {
            if let Balancer::Product(pool) = balancer {
                in_flight.extend(pool.own_in_flight());
            }
        }
        let age_us = self.settings.count_age.as_micros() as u64;
        if self.now_us < self.end_us {
            self.schedule(self.now_us + age_us, ScheduledEvent::SampleCounts { instance });
        }
        let now = MonoTime::from(self.now_us);
        let Some(frame) = self.load_senders[instance].next_update(self.plan.version, &in_flight, now) else {
            return;
        };
        let changed = self.resolve_counts(&frame);
        let peers = self.settings.instances as u64 - 1;
        self.control_bytes += encode(&Frame::Loads(frame)).len() as u64 * peers;
        let index = self.counts.len();
        self.counts.push(CountsUpdate { from: instance, taken_us: self.now_us, loads: changed });
        for to in (0..self.settings.instances).filter(|to| *to != instance) {
            self.schedule(self.now_us + age_us / 2, ScheduledEvent::DeliverCounts { index, to });
        }
    }

    /// Returns service, target and count of each entry of a frame, whose entries give the number of targets
    /// of the plan that they skip.
    fn resolve_counts(&self, frame: &Loads) -> Vec<(usize, TargetId, u32)> {
        let services = self.plan.services.iter().enumerate();
        let targets = services.flat_map(|(s, spec)| spec.targets.iter().map(move |t| (s, &t.id)));
        let targets = targets.collect::<Vec<_>>();
        let mut next = 0;
        let mut resolved = Vec::with_capacity(frame.counts.len());
        for count in &frame.counts {
            let (service, id) = targets[next + count.skipped as usize];
            resolved.push((service, id.clone(), count.in_flight));
            next += count.skipped as usize + 1;
        }
        resolved
    }

    fn deliver_counts(&mut self, index: usize, to: usize) {
        let counts = &self.counts[index];
        let age = Duration::from_micros(self.now_us - counts.taken_us);
        let peer = self.instance_names[counts.from].clone();
        let mut by_service = vec![Vec::new(); self.plan.services.len()];
        for (service, target, in_flight) in &counts.loads {
            by_service[*service].push(PeerLoad { target: target.clone(), in_flight: *in_flight, age });
        }
        for (service, loads) in by_service.into_iter().enumerate().filter(|(_, loads)| !loads.is_empty()) {
            self.handle_event(to, service, Event::PeerLoads { peer: peer.clone(), loads });
        }
    }
}

/// Creates the balancer of a service at an instance.
fn balancer(
    settings: &ReplaySettings,
    plan: &Plan,
    spec: &ServiceSpec,
    data_centres: &[DataCentre],
    instance: usize,
) -> Balancer {
    let seed = settings.seed.wrapping_mul(1_000_003).wrapping_add(instance as u64);
    if settings.policy != Policy::Product {
        return Balancer::Baseline(BaselineBalancer::new(settings.policy, spec.targets.len(), seed));
    }
    let position = InstancePosition { data_centres: data_centres.to_vec(), own_index: Some(instance) };
    let settings = PoolSettings {
        data_centre: data_centres[instance].clone(),
        position,
        max_instances: plan.budgets.max_instances,
        probes_per_target_per_s: plan.budgets.probes_per_target_per_s,
        seed,
    };
    Balancer::Product(Box::new(Pool::new(spec, &settings)))
}
