//! The table of pools: runs the decisions of each service and hands actions to the calls they concern.
//!
//! Lock order: the table of services, then one service_pool. No lock is held across an await or while a second service_pool
//! is locked.

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
    observe::choices::{ChoiceRing, ChoiceView},
    plan::{Plan, ServiceSpec, TargetSpec},
    units::{CallId, DataCentre, InstanceId, MonoTime, RunId, ServiceName, TargetId},
};

/// What one call must do next.
#[derive(Debug, Clone)]
pub enum Directive {
    /// Send the request to a target.
    Send {
        /// Which of the call's sends.
        attempt: Attempt,
        /// Where.
        target: TargetSpec,
    },
    /// Pass on the answer of a failed send.
    Deliver {
        /// Which of the call's sends.
        attempt: Attempt,
    },
    /// CallerResponse with an error.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// When asking again can help.
        retry_after: Option<Duration>,
    },
    /// Abandon a send.
    Cancel {
        /// Which of the call's sends.
        attempt: Attempt,
    },
}

/// A probe that a pool wants sent.
#[derive(Debug)]
pub struct ProbeRequest {
    /// Pool that is told of the result.
    pub service_pool: Arc<ServicePool>,
    /// Target as the pool names it.
    pub target: TargetIndex,
    /// Where it listens.
    pub spec: TargetSpec,
}

#[derive(Debug)]
struct PoolState {
    pool: Pool,
    /// Calls that wait for directives; a call that closed is absent.
    calls: HashMap<CallId, Mailbox>,
    /// Reused between events to spare allocations; empty between two events.
    actions: Vec<Action>,
    choices: ChoiceRing,
}

/// One service's pool with the calls it decides on.
#[derive(Debug)]
pub struct ServicePool {
    clock: Clock,
    state: Mutex<PoolState>,
    /// Notified when the pool's next wake may have moved.
    timer_reset: Notify,
    probes: mpsc::UnboundedSender<ProbeRequest>,
    weak_self: Weak<Self>,
}

impl ServicePool {
    fn new(clock: Clock, pool: Pool, probes: mpsc::UnboundedSender<ProbeRequest>) -> Arc<Self> {
        let state = PoolState {
            pool,
            calls: HashMap::default(),
            actions: Vec::new(),
            choices: ChoiceRing::default(),
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

    /// Brings a call in and returns where its directives arrive.
    pub fn start_call(&self, call: Call) -> DirectiveReceiver {
        let mailbox = Mailbox::default();
        let receiver = mailbox.receiver();
        let mut state = self.lock();
        state.calls.insert(call.id, mailbox);
        self.step(&mut state, Event::Arrived(call));
        receiver
    }

    /// Takes an event and carries its actions to the calls.
    pub fn handle(&self, event: Event) {
        self.step(&mut self.lock(), event);
    }

    /// Ends a call: no more directives reach it.
    pub fn end_call(&self, call: CallId) {
        let mut state = self.lock();
        state.calls.remove(&call);
        self.step(&mut state, Event::Closed(call));
    }

    /// Runs `read` on the pool under the service_pool's lock.
    pub fn inspect<T>(&self, read: impl FnOnce(&Pool) -> T) -> T {
        read(&self.lock().pool)
    }

    /// Returns the latest choices of targets, latest first; `of` asks for those of one call.
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
        // Without a prober, as in a kernel that is not served, the order is dropped.
        let _unserved =
            self.probes.send(ProbeRequest { service_pool, target, spec: pool.target(target).clone() });
    }

    /// Lets the pool follow a changed plan; calls in progress go on.
    fn reconfigure(&self, service: &ServiceSpec, settings: &PoolSettings) {
        let mut state = self.lock();
        state.pool.reconfigure(service, settings);
        self.step(&mut state, Event::Tick);
        self.timer_reset.notify_one();
    }

    /// Sends ticks when they are due; runs until dropped.
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

/// Hands actions to their calls; a send for a call that has closed ends at once, so that its slot is free.
///
/// Returns the end of such a send, and leaves the actions after it.
fn dispatch_actions(
    pool: &Pool,
    choices: &mut ChoiceRing,
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
            choices.note(now, call, attempt, target, pool);
            if !calls.contains_key(&call) {
                orphaned = Some(Event::Ended { call, attempt, end: AttemptEnd::Cancelled });
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

/// All pools of the plan in force.
#[derive(Debug)]
pub struct PoolTable {
    clock: Clock,
    instance: InstanceId,
    data_centre: DataCentre,
    seed: u64,
    entries: RwLock<HashMap<ServiceName, PoolEntry>>,
    probes: mpsc::UnboundedSender<ProbeRequest>,
    /// Until it is taken by the one prober.
    probe_requests: Mutex<Option<mpsc::UnboundedReceiver<ProbeRequest>>>,
}

impl PoolTable {
    /// Creates an empty table.
    pub fn new(clock: Clock, instance: InstanceId, data_centre: DataCentre, seed: u64) -> Self {
        let (probes, probe_requests) = mpsc::unbounded_channel();
        let probe_requests = Mutex::new(Some(probe_requests));
        Self { clock, instance, data_centre, seed, entries: RwLock::default(), probes, probe_requests }
    }

    /// Takes the probes that pools order; `None` after the first time.
    pub fn take_probe_requests(&self) -> Option<mpsc::UnboundedReceiver<ProbeRequest>> {
        self.probe_requests.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Finds the pool of a service.
    pub fn find(&self, service: &ServiceName) -> Option<Arc<ServicePool>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(service).map(|e| Arc::clone(&e.service_pool))
    }

    /// Returns all pools with their services.
    pub fn all(&self) -> Vec<(ServiceName, Arc<ServicePool>)> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.iter().map(|(name, e)| (name.clone(), Arc::clone(&e.service_pool))).collect()
    }

    /// Carries a sign of draining to the pool that has the target.
    pub fn set_draining(&self, target: &TargetId, draining: bool) {
        for (_, service_pool) in self.all() {
            let has_target = service_pool.inspect(|p| p.spec().targets.iter().any(|t| t.id == *target));
            if has_target {
                service_pool.handle(Event::Draining { target: target.clone(), draining });
            }
        }
    }

    /// Follows a plan: pools take over what changed, and calls in progress go on.
    ///
    /// Must be called inside the runtime.
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
        let weak_self = Arc::clone(&service_pool);
        let timer = tokio::spawn(async move { weak_self.run_timer().await }).abort_handle();
        PoolEntry { service_pool, timer }
    }
}
