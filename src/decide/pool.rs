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

mod admission;
mod dispatch;
mod ends;
mod layout;
mod view;

use rand::{SeedableRng, rngs::SmallRng};

pub use self::view::{TargetState, TargetView};
use super::{
    Action, Attempt, AttemptEnd, Call, Event, TargetIndex,
    choice::Candidates,
    duration::Durations,
    peer_counts::PeerCounts,
    queue::{CallQueue, QueueClass},
    quota::InstancePosition,
    retry::RetryBudget,
    target::{DrainSources, Target},
    timer::TimerQueue,
};
use crate::{
    collections::HashMap,
    plan::{Plan, ServiceSpec, TargetSpec},
    units::{CallId, DataCentre, InstanceId, MonoTime, TargetId},
};

/// What a pool needs besides the service's part of the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Data centre of this instance; near targets go first.
    pub data_centre: DataCentre,
    /// Where this instance stands among those of the plan.
    pub position: InstancePosition,
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
        let position = InstancePosition {
            data_centres: plan.instances.iter().map(|i| i.data_centre.clone()).collect(),
            own_index: plan.instances.iter().position(|i| i.id == *instance),
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

#[derive(Debug, Clone, Copy)]
struct AttemptState {
    target: TargetIndex,
    sent_at: MonoTime,
    open: bool,
    began: bool,
    is_long: bool,
}

#[derive(Debug)]
struct ActiveCall {
    call: Call,
    class: QueueClass,
    arrived_at: MonoTime,
    /// Waits in the queue.
    waiting: bool,
    /// Has had its final action or its answer.
    done: bool,
    /// At most [`MAX_ATTEMPTS`].
    sends: Vec<AttemptState>,
    /// The end that says most of what may have run, of the sends that ended without an answer.
    most_severe: Option<(Attempt, AttemptEnd)>,
}

impl ActiveCall {
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
    plan_order: Vec<TargetIndex>,
    by_id: HashMap<TargetId, TargetIndex>,
    candidates: Candidates,
    peers: PeerCounts,
    durations: Durations,
    retry_budget: RetryBudget,
    queue: CallQueue,
    timers: TimerQueue,
    /// Every call that waits or has a send in progress.
    calls: HashMap<CallId, ActiveCall>,
    /// Slots over which this instance's waiting calls are served.
    usable_slots: f64,
    mean_slot_time_s: f64,
    /// Mean square of the same, in seconds squared.
    mean_square_slot_time: f64,
    /// Mean over the pool of the time of a send over what its route takes.
    mean_time_ratio: f64,
    last_short_call_at: MonoTime,
    next_sweep_at: Option<MonoTime>,
    /// Target whose slot the event at hand made free.
    freed_target: Option<TargetIndex>,
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
            plan_order: Vec::new(),
            by_id: HashMap::default(),
            candidates: Candidates::default(),
            peers: PeerCounts::default(),
            durations: Durations::default(),
            retry_budget: RetryBudget::new(spec.retry_budget),
            queue: CallQueue::default(),
            timers: TimerQueue::default(),
            calls: HashMap::default(),
            usable_slots: 1.0,
            mean_slot_time_s: 0.005,
            mean_square_slot_time: 0.000_05,
            mean_time_ratio: 1.0,
            last_short_call_at: MonoTime::default(),
            next_sweep_at: Some(MonoTime::default()),
            freed_target: None,
            counters: PoolCounters::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
        };
        pool.place_targets();
        pool
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
        self.plan_order.iter().map(|index| self.targets[index.0].own_in_flight)
    }

    /// Returns the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns counts since the pool was created.
    pub fn counters(&self) -> PoolCounters {
        self.counters
    }

    /// Returns when [`Event::Tick`] is due at the latest, if ever.
    pub fn next_wake(&self) -> Option<MonoTime> {
        match (self.timers.next_at(), self.next_sweep_at) {
            (Some(timer), Some(sweep)) => Some(timer.min(sweep)),
            (timer, sweep) => timer.or(sweep),
        }
    }

    /// Takes one event and adds the actions that follow from it.
    pub fn handle(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::CallArrived(call) => self.on_arrival(now, call, actions),
            Event::ResponseStarted { call, attempt, report } => self.on_response(now, call, attempt, report),
            Event::AttemptEnded { call, attempt, end } => self.on_end(now, call, attempt, end, actions),
            Event::CallClosed(call) => self.on_close(call),
            Event::PeerLoads { peer, loads } => {
                let by_id = &self.by_id;
                self.peers.record(now, &peer, &loads, |load| by_id.get(&load.target).copied());
            }
            Event::PeerGone(peer) => self.peers.remove_peer(&peer),
            Event::DrainChanged { target, draining } => {
                if let Some(&index) = self.by_id.get(&target) {
                    // An operator's return also takes back what the target said before.
                    self.targets[index.0].drain = DrainSources { announced: draining, reported: false };
                    self.candidates.update_preferred(&mut self.targets, index);
                }
            }
            Event::ProbeEnded { target, report } => self.on_probe_end(now, target, report),
            Event::Tick => {}
        }
        self.run_timers(now, actions);
        self.sweep_targets(now, actions);
        self.dispatch(now, actions);
        self.freed_target = None;
        let calls = &self.calls;
        self.timers.drop_stale(|timer| dispatch::is_current(calls, timer));
    }
}
