//! Replay of a trace in virtual time: the real decisions against small fake targets.

pub mod figures;
pub mod policy;
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
    figures::{Figures, FreeSlots, Start},
    policy::{Chooser, PlainChooser, Policy},
    target::{FakeTarget, SendNumber},
};
use crate::{
    deployment::Deployment,
    trace::{Crest, Disturbance, Trace, TraceCall},
};

/// One way between an instance and a target of its data centre.
const NEAR_LATENCY_US: u64 = 100;

/// Time a failing target takes to answer 500.
const FAIL_LATENCY_US: u64 = 100;

/// Time a target takes to answer a probe.
const PROBE_LATENCY_US: u64 = 6_000;

/// Time after the last arrival at which a replay ends, longer than every deadline.
const TAIL_US: u64 = 6_000_000;

/// Work from which a call counts as long, as a multiple of its service's median.
const LONG_FACTOR: u64 = 10;

/// What to replay and how.
#[derive(Debug, Clone)]
pub struct ReplaySettings {
    /// Deployment whose plan applies.
    pub deployment: Deployment,
    /// Instances that share the calls at random.
    pub instances: usize,
    /// Policy.
    pub policy: Policy,
    /// Seed of everything random.
    pub seed: u64,
    /// Share of the pool's capacity that demand takes in the crest; `None` for the trace as it is.
    pub load: Option<f64>,
    /// Mean age at which a peer's counts are in use; 0 for no counts from peers.
    pub count_age: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    AtTarget(SendNumber),
    Finish(SendNumber),
    Ended(SendNumber, EndKind),
    CancelAtTarget(SendNumber),
    Deadline(SendNumber),
    Tick {
        instance: usize,
        service: usize,
    },
    TakeCounts {
        instance: usize,
    },
    Counts {
        number: usize,
        to: usize,
    },
    ProbeAnswered {
        instance: usize,
        service: usize,
        target: usize,
    },
    /// A disturbance began or ended, so other slots count as free.
    Disturbed {
        service: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EndKind {
    Answered,
    Failed,
    Unsent,
    TimedOut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendState {
    OnTheWay,
    Queued,
    Running,
    /// Left the target or never reached it.
    Gone,
}

#[derive(Debug)]
struct Send {
    call: usize,
    attempt: Attempt,
    target: usize,
    state: SendState,
    /// The instance no longer waits for it.
    closed: bool,
}

/// One call as the replay sees it.
#[derive(Debug)]
pub struct Replayed {
    /// Position of its service in the plan.
    pub service: usize,
    instance: usize,
    /// Arrival in microseconds.
    pub arrived_us: u64,
    /// Work in microseconds.
    pub work_us: u64,
    /// Whether it is long for its service.
    pub is_long: bool,
    /// What the plan states.
    pub kind: RequestKind,
    /// What the plan states.
    pub priority: Priority,
    route: RouteKey,
    /// When its first send began to run, less the way there.
    pub started_us: Option<u64>,
    /// Sends that began to run.
    pub runs: u32,
    /// When the caller had its answer and which.
    pub done: Option<(u64, Told)>,
    sends: Vec<SendNumber>,
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// A whole answer below 500.
    Useful,
    /// The target's 500.
    Failed,
    /// An error of the instance.
    Refused(ErrorKind),
}

impl Told {
    /// Returns the outcome.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Useful | Self::Failed => Outcome::Ran,
            Self::Refused(kind) => kind.answer().outcome,
        }
    }
}

#[derive(Debug)]
struct Counts {
    from: usize,
    taken_us: u64,
    loads: Vec<(usize, TargetId, u32)>,
}

/// A replay in progress.
#[derive(Debug)]
pub struct Replay {
    settings: ReplaySettings,
    plan: Plan,
    now_us: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    next_step: u64,
    calls: Vec<Replayed>,
    sends: Vec<Send>,
    targets: Vec<Vec<FakeTarget>>,
    choosers: Vec<Vec<Chooser>>,
    wakes: Vec<Vec<Option<u64>>>,
    instance_names: Vec<InstanceId>,
    data_centres: Vec<DataCentre>,
    /// Calls that wait in the one queue of the perfect policy, by service.
    perfect_queues: Vec<BTreeSet<(Priority, u64, usize)>>,
    counts: Vec<Counts>,
    senders: Vec<LoadSender>,
    control_bytes: u64,
    probe_times_us: Vec<(u64, usize, usize)>,
    starts: Vec<Vec<Start>>,
    free_slots: Vec<FreeSlots>,
    crest: Crest,
    end_us: u64,
    actions: Vec<Action>,
}

/// Runs a trace to its end.
pub fn run(trace: &Trace, settings: &ReplaySettings) -> Figures {
    let plan = settings.deployment.plan();
    let mut trace = settings.deployment.adapt_trace(trace);
    if let Some(load) = settings.load {
        let slots = |s: &ServiceSpec| (s.name.to_string(), s.targets.iter().map(|t| t.slots).sum());
        let natural = trace.demand(&plan.services.iter().map(slots).collect());
        trace = trace.scaled(load / natural, settings.seed);
    }
    let mut replay = Replay::new(&trace, settings.clone(), plan);
    replay.run();
    figures::collect(&replay)
}

impl Replay {
    fn new(trace: &Trace, settings: ReplaySettings, plan: Plan) -> Self {
        let instance_specs = (0..settings.instances).map(|i| &plan.instances[i % plan.instances.len()]);
        let data_centres = instance_specs.map(|i| i.data_centre.clone()).collect::<Vec<_>>();
        let instance_names =
            (0..settings.instances).filter_map(|i| format!("instance-{i:02}").parse().ok()).collect();
        let services = plan.services.len();
        let choosers = (0..settings.instances)
            .map(|i| plan.services.iter().map(|s| chooser(&settings, &plan, s, &data_centres, i)).collect())
            .collect::<Vec<Vec<_>>>();
        let targets =
            plan.services.iter().map(|s| s.targets.iter().map(|t| FakeTarget::new(t.slots)).collect());
        let mut replay = Self {
            now_us: 0,
            steps: BinaryHeap::new(),
            next_step: 0,
            calls: Vec::with_capacity(trace.calls.len()),
            sends: Vec::with_capacity(trace.calls.len()),
            targets: targets.collect(),
            wakes: vec![vec![None; services]; settings.instances],
            choosers,
            instance_names,
            data_centres,
            perfect_queues: vec![BTreeSet::new(); services],
            counts: Vec::new(),
            senders: (0..settings.instances).map(|_| LoadSender::default()).collect(),
            control_bytes: 0,
            probe_times_us: Vec::new(),
            starts: vec![Vec::new(); services],
            free_slots: vec![FreeSlots::default(); services],
            crest: trace.crest(),
            end_us: trace.end_us(),
            actions: Vec::new(),
            settings,
            plan,
        };
        replay.load(trace);
        replay
    }

    fn load(&mut self, trace: &Trace) {
        for d in &trace.disturbances {
            let Some(service) = self.plan.services.iter().position(|s| s.name.as_str() == d.service) else {
                continue;
            };
            let size = self.targets[service].len();
            self.targets[service][d.target % size].disturb(d.time_us, d.for_us, d.disturbance);
            self.schedule(d.time_us, Step::Disturbed { service });
            self.schedule(d.time_us + d.for_us, Step::Disturbed { service });
        }
        let mut rng = SmallRng::seed_from_u64(self.settings.seed ^ 0x5eed);
        for call in &trace.calls {
            let instance = rng.random_range(0..self.settings.instances);
            self.add_call(call, instance);
        }
        self.mark_long();
        if self.settings.policy == Policy::Product && !self.settings.count_age.is_zero() {
            for instance in 0..self.settings.instances {
                let phase = rng.random_range(0..self.settings.count_age.as_micros() as u64);
                self.schedule(phase, Step::TakeCounts { instance });
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
        let number = self.calls.len();
        self.calls.push(Replayed {
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
            done: None,
            sends: Vec::new(),
        });
        self.schedule(call.time_us, Step::Arrive(number));
    }

    fn mark_long(&mut self) {
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

    fn schedule(&mut self, at_us: u64, step: Step) {
        self.steps.push(Reverse((at_us, self.next_step, step)));
        self.next_step += 1;
    }

    fn run(&mut self) {
        let limit_us = self.end_us + TAIL_US;
        while let Some(Reverse((at_us, _, step))) = self.steps.pop() {
            if at_us > limit_us {
                return;
            }
            self.now_us = at_us;
            self.take(step);
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive(call) => self.arrive(call),
            Step::AtTarget(send) => self.at_target(send),
            Step::Finish(send) => self.finish(send),
            Step::Ended(send, kind) => self.ended(send, kind),
            Step::CancelAtTarget(send) => self.cancel_at_target(send),
            Step::Deadline(send) => self.deadline(send),
            Step::Tick { instance, service } => self.tick(instance, service),
            Step::TakeCounts { instance } => self.take_counts(instance),
            Step::Counts { number, to } => self.deliver_counts(number, to),
            Step::ProbeAnswered { instance, service, target } => {
                let report = Some(self.targets[service][target].report(self.now_us));
                self.decide(instance, service, Event::ProbeEnded { target: TargetIndex(target), report });
            }
            Step::Disturbed { service } => {
                self.note_free(service);
                self.dispatch_perfect(service);
            }
        }
    }

    fn arrive(&mut self, number: usize) {
        let call = &self.calls[number];
        let (instance, service) = (call.instance, call.service);
        if self.settings.policy == Policy::Omniscient {
            self.perfect_queues[service].insert((call.priority, self.now_us, number));
            self.dispatch_perfect(service);
            return;
        }
        let event = Event::CallArrived(Call {
            id: CallId::from(number as u64),
            route: call.route,
            kind: call.kind,
            priority: call.priority,
            deadline: MonoTime::from(self.deadline_us(number)),
            prior_attempts: 0,
        });
        self.decide(instance, service, event);
    }

    fn deadline_us(&self, call: usize) -> u64 {
        let call = &self.calls[call];
        call.arrived_us + self.plan.services[call.service].deadline_ms * 1_000
    }

    fn decide(&mut self, instance: usize, service: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = MonoTime::from(self.now_us);
        self.choosers[instance][service].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(instance, service, &action);
        }
        self.actions = actions;
        self.wake(instance, service);
    }

    fn wake(&mut self, instance: usize, service: usize) {
        let wake = self.choosers[instance][service].next_wake().map(|t| t.as_micros().max(self.now_us));
        let earlier = |at: &u64| self.wakes[instance][service].is_none_or(|set| *at < set);
        if let Some(at_us) = wake.filter(earlier) {
            self.wakes[instance][service] = Some(at_us);
            self.schedule(at_us, Step::Tick { instance, service });
        }
    }

    fn tick(&mut self, instance: usize, service: usize) {
        if self.wakes[instance][service] == Some(self.now_us) {
            self.wakes[instance][service] = None;
            self.decide(instance, service, Event::Tick);
        }
    }

    fn carry_out(&mut self, instance: usize, service: usize, action: &Action) {
        match *action {
            Action::Send { call, attempt, target } => self.send(u64::from(call) as usize, attempt, target.0),
            Action::Deliver { call, .. } => self.tell(u64::from(call) as usize, Told::Failed),
            Action::Refuse { call, kind, .. } => self.tell(u64::from(call) as usize, Told::Refused(kind)),
            Action::Cancel { call, attempt } => self.cancel(u64::from(call) as usize, attempt),
            Action::Probe(target) => {
                self.probe_times_us.push((self.now_us, service, target.0));
                let at_us = self.now_us + PROBE_LATENCY_US;
                self.schedule(at_us, Step::ProbeAnswered { instance, service, target: target.0 });
            }
        }
    }

    fn latency_us(&self, instance: usize, service: usize, target: usize) -> u64 {
        let near = self.data_centres[instance] == self.plan.services[service].targets[target].data_centre;
        if near { NEAR_LATENCY_US } else { self.settings.deployment.cross_data_centre_latency_us() }
    }

    fn send_latency_us(&self, send: SendNumber) -> u64 {
        let send = &self.sends[send];
        let call = &self.calls[send.call];
        self.latency_us(call.instance, call.service, send.target)
    }

    fn send(&mut self, call: usize, attempt: Attempt, target: usize) {
        let number = self.sends.len();
        self.sends.push(Send { call, attempt, target, state: SendState::OnTheWay, closed: false });
        self.calls[call].sends.push(number);
        self.schedule(self.now_us + self.send_latency_us(number), Step::AtTarget(number));
        self.schedule(self.deadline_us(call), Step::Deadline(number));
    }

    fn at_target(&mut self, number: SendNumber) {
        if self.sends[number].state != SendState::OnTheWay {
            return;
        }
        let (service, target) = (self.calls[self.sends[number].call].service, self.sends[number].target);
        let back_us = self.now_us + self.send_latency_us(number);
        match self.targets[service][target].disturbance(self.now_us) {
            Some(Disturbance::Failing) => {
                self.sends[number].state = SendState::Gone;
                self.calls[self.sends[number].call].runs += 1;
                self.schedule(back_us + FAIL_LATENCY_US, Step::Ended(number, EndKind::Failed));
            }
            Some(Disturbance::Down) => {
                self.sends[number].state = SendState::Gone;
                self.schedule(back_us, Step::Ended(number, EndKind::Unsent));
            }
            Some(Disturbance::Slow(_)) | None => {
                self.sends[number].state = SendState::Queued;
                self.targets[service][target].queue.push_back(number);
                self.start_queued(service, target);
            }
        }
    }

    fn start_queued(&mut self, service: usize, target: usize) {
        let now_us = self.now_us;
        let fake = &mut self.targets[service][target];
        while fake.has_free_slot() {
            let Some(number) = fake.queue.pop_front() else { break };
            fake.running.push(number);
            let finish_us = fake.finish_us(now_us, self.calls[self.sends[number].call].work_us);
            self.sends[number].state = SendState::Running;
            let latency_us = {
                let call = &self.calls[self.sends[number].call];
                let near = self.data_centres[call.instance]
                    == self.plan.services[service].targets[target].data_centre;
                if near { NEAR_LATENCY_US } else { self.settings.deployment.cross_data_centre_latency_us() }
            };
            let call = &mut self.calls[self.sends[number].call];
            call.runs += 1;
            call.started_us.get_or_insert(now_us.saturating_sub(latency_us));
            self.starts[service].push(Start {
                at_us: now_us,
                arrived_us: call.arrived_us,
                priority: call.priority,
            });
            self.steps.push(Reverse((finish_us, self.next_step, Step::Finish(number))));
            self.next_step += 1;
        }
        self.note_free(service);
    }

    fn note_free(&mut self, service: usize) {
        let now_us = self.now_us;
        let free = self.targets[service].iter().any(|t| t.has_free_slot() && t.is_undisturbed(now_us));
        self.free_slots[service].note(now_us, free);
    }

    fn leave_target(&mut self, number: SendNumber) {
        let (service, target) = (self.calls[self.sends[number].call].service, self.sends[number].target);
        self.sends[number].state = SendState::Gone;
        let fake = &mut self.targets[service][target];
        fake.running.retain(|running| *running != number);
        fake.queue.retain(|queued| *queued != number);
        self.start_queued(service, target);
        if self.settings.policy == Policy::Omniscient {
            self.dispatch_perfect(service);
        }
    }

    fn finish(&mut self, number: SendNumber) {
        if self.sends[number].state != SendState::Running {
            return;
        }
        let (service, target) = (self.calls[self.sends[number].call].service, self.sends[number].target);
        let failing = matches!(
            self.targets[service][target].disturbance(self.now_us),
            Some(Disturbance::Failing | Disturbance::Down)
        );
        let kind = if failing { EndKind::Failed } else { EndKind::Answered };
        self.leave_target(number);
        self.schedule(self.now_us + self.send_latency_us(number), Step::Ended(number, kind));
    }

    fn ended(&mut self, number: SendNumber, kind: EndKind) {
        if std::mem::replace(&mut self.sends[number].closed, true) {
            return;
        }
        let (call, attempt) = (self.sends[number].call, self.sends[number].attempt);
        let (instance, service) = (self.calls[call].instance, self.calls[call].service);
        if kind == EndKind::Answered {
            self.tell(call, Told::Useful);
        }
        if self.settings.policy == Policy::Omniscient {
            if kind != EndKind::Answered {
                self.tell(call, Told::Failed);
            }
            return;
        }
        let id = CallId::from(call as u64);
        if matches!(kind, EndKind::Answered | EndKind::Failed) {
            let report = self.targets[service][self.sends[number].target].report(self.now_us);
            self.decide(instance, service, Event::ResponseStarted { call: id, attempt, report });
        }
        let end = match kind {
            EndKind::Answered => AttemptEnd::Answered,
            EndKind::Failed => AttemptEnd::Failed,
            EndKind::Unsent => AttemptEnd::Unsent,
            EndKind::TimedOut => AttemptEnd::TimedOut,
        };
        self.decide(instance, service, Event::AttemptEnded { call: id, attempt, end });
        if kind == EndKind::Answered {
            self.close(call);
        }
    }

    /// The caller has its answer: what still runs for it is cancelled.
    fn close(&mut self, call: usize) {
        let open = |n: &SendNumber| !self.sends[*n].closed;
        let open = self.calls[call].sends.iter().copied().filter(open).collect::<Vec<_>>();
        for number in open {
            self.abandon(number);
        }
        let (instance, service) = (self.calls[call].instance, self.calls[call].service);
        self.decide(instance, service, Event::CallClosed(CallId::from(call as u64)));
    }

    fn cancel(&mut self, call: usize, attempt: Attempt) {
        let of_attempt = |n: &SendNumber| self.sends[*n].attempt == attempt && !self.sends[*n].closed;
        let found = self.calls[call].sends.iter().copied().find(of_attempt);
        if let Some(number) = found {
            self.abandon(number);
        }
    }

    /// Cancels a send: the instance learns of the end at once, the target after the way there.
    fn abandon(&mut self, number: SendNumber) {
        self.sends[number].closed = true;
        let call = self.sends[number].call;
        let (instance, service) = (self.calls[call].instance, self.calls[call].service);
        self.schedule(self.now_us + self.send_latency_us(number), Step::CancelAtTarget(number));
        let (id, attempt) = (CallId::from(call as u64), self.sends[number].attempt);
        let mut actions = Vec::new();
        let end = AttemptEnd::Cancelled;
        let event = Event::AttemptEnded { call: id, attempt, end };
        self.choosers[instance][service].handle(MonoTime::from(self.now_us), event, &mut actions);
        for action in actions {
            self.carry_out(instance, service, &action);
        }
        self.wake(instance, service);
    }

    fn cancel_at_target(&mut self, number: SendNumber) {
        match self.sends[number].state {
            SendState::Gone => {}
            SendState::OnTheWay => self.sends[number].state = SendState::Gone,
            SendState::Queued | SendState::Running => self.leave_target(number),
        }
    }

    fn deadline(&mut self, number: SendNumber) {
        if self.sends[number].closed {
            return;
        }
        self.schedule(self.now_us + self.send_latency_us(number), Step::CancelAtTarget(number));
        self.ended(number, EndKind::TimedOut);
    }

    fn tell(&mut self, call: usize, told: Told) {
        let now_us = self.now_us;
        self.calls[call].done.get_or_insert((now_us, told));
    }

    fn dispatch_perfect(&mut self, service: usize) {
        while let Some(&key) = self.perfect_queues[service].first() {
            let call = key.2;
            if self.deadline_us(call) <= self.now_us {
                self.perfect_queues[service].pop_first();
                self.tell(call, Told::Refused(ErrorKind::DeadlineUnreachable));
                continue;
            }
            let Some(target) = self.find_perfect(service, self.calls[call].instance) else { return };
            self.perfect_queues[service].pop_first();
            let number = self.sends.len();
            self.sends.push(Send {
                call,
                attempt: Attempt(0),
                target,
                state: SendState::Queued,
                closed: false,
            });
            self.calls[call].sends.push(number);
            // The slot is taken at once, so that the one queue never sends two calls to it.
            self.targets[service][target].queue.push_back(number);
            self.start_queued(service, target);
        }
    }

    fn find_perfect(&self, service: usize, instance: usize) -> Option<usize> {
        let usable = |t: &usize| {
            let target = &self.targets[service][*t];
            target.has_free_slot() && target.is_undisturbed(self.now_us)
        };
        let free = (0..self.targets[service].len()).filter(usable);
        free.min_by_key(|t| (self.latency_us(instance, service, *t), self.targets[service][*t].running.len()))
    }

    fn take_counts(&mut self, instance: usize) {
        let mut in_flight = Vec::new();
        for chooser in &self.choosers[instance] {
            if let Chooser::Product(pool) = chooser {
                in_flight.extend(pool.own_in_flight());
            }
        }
        let age_us = self.settings.count_age.as_micros() as u64;
        if self.now_us < self.end_us {
            self.schedule(self.now_us + age_us, Step::TakeCounts { instance });
        }
        let now = MonoTime::from(self.now_us);
        let Some(frame) = self.senders[instance].next_update(self.plan.version, &in_flight, now) else {
            return;
        };
        let changed = self.name_counts(&frame);
        let peers = self.settings.instances as u64 - 1;
        self.control_bytes += encode(&Frame::Loads(frame)).len() as u64 * peers;
        let number = self.counts.len();
        self.counts.push(Counts { from: instance, taken_us: self.now_us, loads: changed });
        for to in (0..self.settings.instances).filter(|to| *to != instance) {
            self.schedule(self.now_us + age_us / 2, Step::Counts { number, to });
        }
    }

    /// Finds service and target of each count of a frame, which counts through all targets of the plan.
    fn name_counts(&self, frame: &Loads) -> Vec<(usize, TargetId, u32)> {
        let services = self.plan.services.iter().enumerate();
        let targets = services.flat_map(|(s, spec)| spec.targets.iter().map(move |t| (s, &t.id)));
        let targets = targets.collect::<Vec<_>>();
        let mut next = 0;
        let mut named = Vec::with_capacity(frame.counts.len());
        for count in &frame.counts {
            let (service, id) = targets[next + count.skipped as usize];
            named.push((service, id.clone(), count.in_flight));
            next += count.skipped as usize + 1;
        }
        named
    }

    fn deliver_counts(&mut self, number: usize, to: usize) {
        let counts = &self.counts[number];
        let age = Duration::from_micros(self.now_us - counts.taken_us);
        let peer = self.instance_names[counts.from].clone();
        let mut by_service = vec![Vec::new(); self.plan.services.len()];
        for (service, target, in_flight) in &counts.loads {
            by_service[*service].push(PeerLoad { target: target.clone(), in_flight: *in_flight, age });
        }
        for (service, loads) in by_service.into_iter().enumerate().filter(|(_, loads)| !loads.is_empty()) {
            self.decide(to, service, Event::PeerLoads { peer: peer.clone(), loads });
        }
    }
}

fn chooser(
    settings: &ReplaySettings,
    plan: &Plan,
    spec: &ServiceSpec,
    data_centres: &[DataCentre],
    instance: usize,
) -> Chooser {
    let seed = settings.seed.wrapping_mul(1_000_003).wrapping_add(instance as u64);
    if settings.policy != Policy::Product {
        return Chooser::Plain(PlainChooser::new(settings.policy, spec.targets.len(), seed));
    }
    let position = InstancePosition { data_centres: data_centres.to_vec(), own_index: Some(instance) };
    let settings = PoolSettings {
        data_centre: data_centres[instance].clone(),
        position,
        max_instances: plan.budgets.max_instances,
        probes_per_target_per_s: plan.budgets.probes_per_target_per_s,
        seed,
    };
    Chooser::Product(Box::new(Pool::new(spec, &settings)))
}
