//! Table of target pools: runs each service's load-balancing decisions and delivers the resulting actions to
//! calls.
//!
//! Lock order: the table, then one pool. No lock is held across an await, and no two pools are locked at
//! once.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak},
    time::Duration,
};

use tokio::sync::{Notify, mpsc};

use super::{
    clock::Clock,
    mailbox::{DirectiveReceiver, Mailbox},
};
use crate::{
    collections::HashMap,
    decide::{
        Action, Attempt, AttemptEnd, Call, Event, TargetIndex,
        pool::{Pool, PoolSettings},
    },
    error::ErrorKind,
    observe::choices::{ChoiceView, RecentChoices},
    plan::{Plan, ServiceSpec, TargetSpec},
    units::{CallId, DataCentre, InstanceId, MonoTime, RunId, ServiceName, TargetId},
};

/// Instruction from a pool to one call.
#[derive(Debug, Clone)]
pub enum Directive {
    /// Send the request to a target.
    Send {
        /// Number of the attempt within the call.
        attempt: Attempt,
        /// Target to send to.
        target: TargetSpec,
    },
    /// Return the response of a failed attempt to the caller.
    Deliver {
        /// Number of the failed attempt within the call.
        attempt: Attempt,
    },
    /// Answer the caller with an error.
    Refuse {
        /// Error to answer with.
        kind: ErrorKind,
        /// Time after which a retry by the caller may succeed; `None` for the default of `kind`, if it has
        /// one.
        retry_after: Option<Duration>,
    },
    /// Cancel an attempt.
    Cancel {
        /// Number of the attempt within the call.
        attempt: Attempt,
    },
}

/// A probe of a target that a pool requests.
#[derive(Debug)]
pub struct ProbeRequest {
    /// Pool to which the result is reported.
    pub service_pool: Arc<ServicePool>,
    /// Position of the target in its pool.
    pub target: TargetIndex,
    /// Target to probe, with its address.
    pub spec: TargetSpec,
}

#[derive(Debug)]
struct PoolState {
    pool: Pool,
    /// Calls that still accept directives.
    calls: HashMap<CallId, Mailbox>,
    /// Buffer reused across events to avoid allocation; empty between events.
    actions: Vec<Action>,
    /// Recent target selections, for operators.
    choices: RecentChoices,
}

/// A service's pool, with its calls and its timer.
#[derive(Debug)]
pub struct ServicePool {
    clock: Clock,
    state: Mutex<PoolState>,
    /// Notified when the pool's next wake-up time may have changed.
    timer_reset: Notify,
    probes: mpsc::UnboundedSender<ProbeRequest>,
    /// Reference for probe requests, which report their results to this pool.
    weak_self: Weak<Self>,
}

impl ServicePool {
    fn new(clock: Clock, pool: Pool, probes: mpsc::UnboundedSender<ProbeRequest>) -> Arc<Self> {
        let state = PoolState {
            pool,
            calls: HashMap::default(),
            actions: Vec::new(),
            choices: RecentChoices::default(),
        };
        let state = Mutex::new(state);
        Arc::new_cyclic(|weak_self| Self {
            clock,
            state,
            timer_reset: Notify::new(),
            probes,
            weak_self: Weak::clone(weak_self),
        })
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a call to the pool and returns the receiver of its directives.
    pub fn start_call(&self, call: Call) -> DirectiveReceiver {
        let mailbox = Mailbox::default();
        let receiver = mailbox.receiver();
        let mut state = self.lock();
        state.calls.insert(call.id, mailbox);
        self.step(&mut state, Event::CallArrived(call));
        receiver
    }

    /// Passes an event to the pool and delivers the resulting actions.
    pub fn handle(&self, event: Event) {
        self.step(&mut self.lock(), event);
    }

    /// Removes a call from the pool; it receives no more directives.
    pub fn end_call(&self, call: CallId) {
        let mut state = self.lock();
        state.calls.remove(&call);
        self.step(&mut state, Event::CallClosed(call));
    }

    /// Runs `read` on the pool while its lock is held.
    pub fn inspect<T>(&self, read: impl FnOnce(&Pool) -> T) -> T {
        read(&self.lock().pool)
    }

    /// Returns recent target selections, the latest first; `of` restricts them to one call.
    pub fn choices(&self, run_id: RunId, of: Option<CallId>) -> Vec<ChoiceView> {
        let state = self.lock();
        state.choices.view(&state.pool, self.clock.now(), run_id, of)
    }

    fn step(&self, state: &mut PoolState, event: Event) {
        let PoolState { pool, calls, actions, choices } = state;
        let now = self.clock.now();
        let wake_before = pool.next_wake();
        pool.handle(now, event, actions);
        while let Some(orphaned) =
            dispatch_actions(pool, choices, calls, actions, now, |target| self.request_probe(pool, target))
        {
            pool.handle(now, orphaned, actions);
        }
        let is_earlier = match (pool.next_wake(), wake_before) {
            (Some(after), Some(before)) => after < before,
            (after, before) => after.is_some() && before.is_none(),
        };
        if is_earlier {
            self.timer_reset.notify_one();
        }
    }

    fn request_probe(&self, pool: &Pool, target: TargetIndex) {
        let Some(service_pool) = self.weak_self.upgrade() else { return };
        // The send fails only if no task sends probes, as in tests that do not serve; the request is then
        // dropped.
        let _unserved =
            self.probes.send(ProbeRequest { service_pool, target, spec: pool.target(target).clone() });
    }

    /// Applies a changed plan to the pool; calls in progress continue.
    fn reconfigure(&self, service: &ServiceSpec, settings: &PoolSettings) {
        let mut state = self.lock();
        state.pool.reconfigure(service, settings);
        self.step(&mut state, Event::Tick);
        self.timer_reset.notify_one();
    }

    /// Sends [`Event::Tick`] to the pool whenever one is due; never returns.
    pub async fn run_timer(&self) {
        loop {
            let wake = self.inspect(Pool::next_wake);
            let due = async {
                match wake {
                    Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => self.handle(Event::Tick),
                () = self.timer_reset.notified() => {}
            }
        }
    }
}

/// Delivers actions to their calls until an attempt is assigned to a call that has already closed.
///
/// Returns the event that ends such an attempt and so frees its slot; later actions remain in `actions`.
fn dispatch_actions(
    pool: &Pool,
    choices: &mut RecentChoices,
    calls: &HashMap<CallId, Mailbox>,
    actions: &mut Vec<Action>,
    now: MonoTime,
    request_probe: impl Fn(TargetIndex),
) -> Option<Event> {
    let mut orphaned = None;
    actions.retain(|action| {
        if orphaned.is_some() {
            return true;
        }
        if let Action::Send { call, attempt, target } = *action {
            choices.record(now, call, attempt, target, pool);
            if !calls.contains_key(&call) {
                orphaned = Some(Event::AttemptEnded { call, attempt, end: AttemptEnd::Cancelled });
                return false;
            }
        }
        if let Action::Probe(target) = *action {
            request_probe(target);
        }
        deliver(pool, calls, action);
        false
    });
    orphaned
}

fn deliver(pool: &Pool, calls: &HashMap<CallId, Mailbox>, action: &Action) {
    let target = |index: TargetIndex| pool.target(index).clone();
    let (call, directive) = match *action {
        Action::Send { call, attempt, target: index } => {
            (call, Directive::Send { attempt, target: target(index) })
        }
        Action::Deliver { call, attempt } => (call, Directive::Deliver { attempt }),
        Action::Refuse { call, kind, retry_after } => (call, Directive::Refuse { kind, retry_after }),
        Action::Cancel { call, attempt } => (call, Directive::Cancel { attempt }),
        Action::Probe(_) => return,
    };
    if let Some(mailbox) = calls.get(&call) {
        mailbox.push(directive);
    }
}

#[derive(Debug)]
struct PoolEntry {
    service_pool: Arc<ServicePool>,
    timer: tokio::task::AbortHandle,
}

impl Drop for PoolEntry {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

/// Target pools of all services in the active plan.
#[derive(Debug)]
pub struct PoolTable {
    clock: Clock,
    instance: InstanceId,
    data_centre: DataCentre,
    /// Seed of the random choices that pools make.
    seed: u64,
    entries: RwLock<HashMap<ServiceName, PoolEntry>>,
    probes: mpsc::UnboundedSender<ProbeRequest>,
    /// Present until the task that sends probes has taken it.
    probe_requests: Mutex<Option<mpsc::UnboundedReceiver<ProbeRequest>>>,
}

impl PoolTable {
    /// Creates an empty table.
    pub fn new(clock: Clock, instance: InstanceId, data_centre: DataCentre, seed: u64) -> Self {
        let (probes, probe_requests) = mpsc::unbounded_channel();
        let probe_requests = Mutex::new(Some(probe_requests));
        Self { clock, instance, data_centre, seed, entries: RwLock::default(), probes, probe_requests }
    }

    /// Returns the receiver of probe requests; `None` after the first call.
    pub fn take_probe_requests(&self) -> Option<mpsc::UnboundedReceiver<ProbeRequest>> {
        self.probe_requests.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Returns the pool of a service.
    pub fn find(&self, service: &ServiceName) -> Option<Arc<ServicePool>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(service).map(|e| Arc::clone(&e.service_pool))
    }

    /// Returns all pools with the names of their services.
    pub fn all(&self) -> Vec<(ServiceName, Arc<ServicePool>)> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.iter().map(|(name, e)| (name.clone(), Arc::clone(&e.service_pool))).collect()
    }

    /// Sets whether a target is draining, in every pool that contains it.
    pub fn set_draining(&self, target: &TargetId, draining: bool) {
        for (_, service_pool) in self.all() {
            let has_target = service_pool.inspect(|p| p.spec().targets.iter().any(|t| t.id == *target));
            if has_target {
                service_pool.handle(Event::DrainChanged { target: target.clone(), draining });
            }
        }
    }

    /// Applies a plan: adds, reconfigures and removes pools; calls in progress continue.
    ///
    /// Must be called within the async runtime.
    pub fn apply(&self, plan: &Plan) {
        let settings = PoolSettings::of(plan, &self.instance, self.data_centre.clone(), self.seed);
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|name, _| plan.service(name.as_str()).is_some());
        for service in &plan.services {
            match entries.get(&service.name) {
                Some(entry) => {
                    let differs = |pool: &Pool| pool.spec() != service || *pool.settings() != settings;
                    if entry.service_pool.inspect(differs) {
                        entry.service_pool.reconfigure(service, &settings);
                    }
                }
                None => {
                    entries.insert(service.name.clone(), self.start_pool(service, &settings));
                }
            }
        }
    }

    fn start_pool(&self, service: &ServiceSpec, settings: &PoolSettings) -> PoolEntry {
        let service_pool = ServicePool::new(self.clock, Pool::new(service, settings), self.probes.clone());
        let timed_pool = Arc::clone(&service_pool);
        let timer = tokio::spawn(async move { timed_pool.run_timer().await }).abort_handle();
        PoolEntry { service_pool, timer }
    }
}
