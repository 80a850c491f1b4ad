//! Pool of one service's targets, as listed in the plan: decides which call is sent to which target,
//! which call waits, and which one is refused.
//!
//! The pool is driven by [`Event`]s in time order; each call of [`Pool::handle`] adds the [`Action`]s to
//! carry out.
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
//! pool.handle(now, Event::CallArrived(call), &mut actions);
//! assert!(matches!(actions[..], [Action::Send { .. }]));
//!
//! let (call, attempt) = (CallId::from(1), Attempt(0));
//! let end = AttemptEnd::Answered;
//! pool.handle(now + Duration::from_millis(5), Event::AttemptEnded { call, attempt, end }, &mut actions);
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

/// Settings of a pool besides its service's entry in the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Data centre of this instance; targets in it ("near" targets) are preferred.
    pub data_centre: DataCentre,
    /// Position of this instance among the instances of the plan; decides which slots it prefers and which
    /// targets it probes.
    pub position: InstancePosition,
    /// Maximum number of instances that may run at once.
    pub max_instances: u32,
    /// Maximum rate of probes to one target, from all instances together, in probes per second.
    pub probes_per_target_per_s: f64,
    /// Seed of the generator that draws random candidate targets.
    pub seed: u64,
}

impl PoolSettings {
    /// Derives the settings of an instance from the plan.
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

/// Event counts since the pool was created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolCounters {
    /// Probes sent to targets.
    pub probes: u64,
    /// Further attempts after one that failed, was refused or was not sent.
    pub retries: u64,
    /// Second attempts started while a first one was slow to respond.
    pub hedges: u64,
    /// Times a target was ejected for failures.
    pub ejections: u64,
    /// Calls refused without an attempt.
    pub refusals: u64,
}

#[derive(Debug, Clone, Copy)]
struct AttemptState {
    target: TargetIndex,
    sent_at: MonoTime,
    is_open: bool,
    has_response: bool,
    is_long: bool,
}

#[derive(Debug)]
struct ActiveCall {
    call: Call,
    class: QueueClass,
    arrived_at: MonoTime,
    /// Whether the call waits in the queue.
    is_waiting: bool,
    /// Whether the call needs no further attempt: its response is complete, or its caller has disconnected.
    is_done: bool,
    /// All attempts so far, at most [`MAX_ATTEMPTS`](super::retry::MAX_ATTEMPTS).
    attempts: Vec<AttemptState>,
    /// Of the attempts that ended without a response, the one with the highest
    /// [`severity`](super::retry::severity); it decides which error the caller is told.
    most_severe: Option<(Attempt, AttemptEnd)>,
}

impl ActiveCall {
    fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.is_open)
    }
}

/// State of one service's pool as seen by this instance.
#[derive(Debug)]
pub struct Pool {
    spec: ServiceSpec,
    settings: PoolSettings,
    /// An index stays valid while an attempt at the target is in progress.
    targets: Vec<Target>,
    /// Targets of the current plan, in its order.
    plan_order: Vec<TargetIndex>,
    by_id: HashMap<TargetId, TargetIndex>,
    candidates: Candidates,
    peer_counts: PeerCounts,
    durations: Durations,
    retry_budget: RetryBudget,
    queue: CallQueue,
    timers: TimerQueue,
    /// Calls that wait or have an attempt in progress.
    calls: HashMap<CallId, ActiveCall>,
    /// Number of slots that serve this instance's waiting calls; used to predict waiting times.
    usable_slots: f64,
    mean_slot_time_s: f64,
    /// Mean of the squared slot times, in seconds squared.
    mean_square_slot_time_s2: f64,
    /// Mean over all targets of an attempt's slot time relative to the median of its route.
    mean_time_ratio: f64,
    last_short_call_at: MonoTime,
    next_scan_at: Option<MonoTime>,
    /// Target whose slot the current event has freed.
    freed_target: Option<TargetIndex>,
    counters: PoolCounters,
    rng: SmallRng,
}

impl Pool {
    /// Creates a pool without calls in flight.
    pub fn new(spec: &ServiceSpec, settings: &PoolSettings) -> Self {
        let mut pool = Self {
            spec: spec.clone(),
            settings: settings.clone(),
            targets: Vec::new(),
            plan_order: Vec::new(),
            by_id: HashMap::default(),
            candidates: Candidates::default(),
            peer_counts: PeerCounts::default(),
            durations: Durations::default(),
            retry_budget: RetryBudget::new(spec.retry_budget),
            queue: CallQueue::default(),
            timers: TimerQueue::default(),
            calls: HashMap::default(),
            usable_slots: 1.0,
            mean_slot_time_s: 0.005,
            mean_square_slot_time_s2: 0.000_05,
            mean_time_ratio: 1.0,
            last_short_call_at: MonoTime::default(),
            next_scan_at: Some(MonoTime::default()),
            freed_target: None,
            counters: PoolCounters::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
        };
        pool.place_targets();
        pool
    }

    /// Returns the service's entry in the plan that the pool currently follows.
    pub fn spec(&self) -> &ServiceSpec {
        &self.spec
    }

    /// Returns the settings that the pool currently follows.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Returns the plan's entry for a target that an action names.
    ///
    /// # Panics
    ///
    /// If the index does not come from an action of this pool.
    pub fn target(&self, index: TargetIndex) -> &TargetSpec {
        &self.targets[index.0].spec
    }

    /// Returns the number of this instance's requests in flight at each target, in the order of the plan.
    pub fn own_in_flight(&self) -> impl Iterator<Item = u32> + '_ {
        self.plan_order.iter().map(|index| self.targets[index.0].own_in_flight)
    }

    /// Returns the number of calls that wait in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the event counts since the pool was created.
    pub fn counters(&self) -> PoolCounters {
        self.counters
    }

    /// Returns the time by which [`Event::Tick`] must be sent; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<MonoTime> {
        match (self.timers.next_at(), self.next_scan_at) {
            (Some(timer), Some(scan)) => Some(timer.min(scan)),
            (timer, scan) => timer.or(scan),
        }
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::CallArrived(call) => self.on_arrival(now, call, actions),
            Event::ResponseStarted { call, attempt, report } => self.on_response(now, call, attempt, report),
            Event::AttemptEnded { call, attempt, end } => self.on_end(now, call, attempt, end, actions),
            Event::CallClosed(call) => self.on_close(call),
            Event::PeerLoads { peer, loads } => {
                let by_id = &self.by_id;
                self.peer_counts.record(now, &peer, &loads, |load| by_id.get(&load.target).copied());
            }
            Event::PeerGone(peer) => self.peer_counts.remove_peer(&peer),
            Event::DrainChanged { target, draining } => {
                if let Some(&index) = self.by_id.get(&target) {
                    // An announced return to service also overrides what the target itself reported earlier.
                    self.targets[index.0].drain = DrainSources { announced: draining, reported: false };
                    self.candidates.update_preferred(&mut self.targets, index);
                }
            }
            Event::ProbeEnded { target, report } => self.on_probe_end(now, target, report),
            Event::Tick => {}
        }
        self.run_timers(now, actions);
        self.scan_targets(now, actions);
        self.dispatch(now, actions);
        self.freed_target = None;
        let calls = &self.calls;
        self.timers.drop_stale(|timer| dispatch::is_current(calls, timer));
    }
}
