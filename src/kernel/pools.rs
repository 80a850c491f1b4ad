//! The table of pools: runs the decisions of each service and hands actions to the calls they concern.
//!
//! Lock order: the table of services, then one cell. No lock is held across an await or while a second cell
//! is locked.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak},
    time::Duration,
};

use tokio::sync::{Notify, mpsc};

use super::{
    clock::Clock,
    mailbox::{Directives, Mailbox},
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
    /// Answer with an error.
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
    pub cell: Arc<ServicePool>,
    /// Target as the pool names it.
    pub target: TargetIndex,
    /// Where it listens.
    pub spec: TargetSpec,
}

#[derive(Debug)]
struct CellState {
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
    state: Mutex<CellState>,
    /// Notified when the pool's next wake may have moved.
    rewake: Notify,
    probes: mpsc::UnboundedSender<ProbeRequest>,
    own: Weak<Self>,
}

impl ServicePool {
    fn new(clock: Clock, pool: Pool, probes: mpsc::UnboundedSender<ProbeRequest>) -> Arc<Self> {
        let state = CellState {
            pool,
            calls: HashMap::default(),
            actions: Vec::new(),
            choices: ChoiceRing::default(),
        };
        let state = Mutex::new(state);
        Arc::new_cyclic(|own| Self { clock, state, rewake: Notify::new(), probes, own: Weak::clone(own) })
    }

    fn lock(&self) -> MutexGuard<'_, CellState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings a call in and returns where its directives arrive.
    pub fn begin(&self, call: Call) -> Directives {
        let mailbox = Mailbox::default();
        let directives = mailbox.directives();
        let mut state = self.lock();
        state.calls.insert(call.id, mailbox);
        self.step(&mut state, Event::CallArrived(call));
        directives
    }

    /// Takes an event and carries its actions to the calls.
    pub fn handle(&self, event: Event) {
        self.step(&mut self.lock(), event);
    }

    /// Ends a call: no more directives reach it.
    pub fn close(&self, call: CallId) {
        let mut state = self.lock();
        state.calls.remove(&call);
        self.step(&mut state, Event::CallClosed(call));
    }

    /// Runs `read` on the pool under the cell's lock.
    pub fn inspect<T>(&self, read: impl FnOnce(&Pool) -> T) -> T {
        read(&self.lock().pool)
    }

    /// Returns the latest choices of targets, latest first; `of` asks for those of one call.
    pub fn choices(&self, run_id: RunId, of: Option<CallId>) -> Vec<ChoiceView> {
        let state = self.lock();
        state.choices.view(&state.pool, self.clock.now(), run_id, of)
    }

    fn step(&self, state: &mut CellState, event: Event) {
        let CellState { pool, calls, actions, choices } = state;
        let now = self.clock.now();
        let wake_before = pool.next_wake();
        pool.handle(now, event, actions);
        while let Some(unheard) =
            carry_out(pool, choices, calls, actions, now, |target| self.request_probe(pool, target))
        {
            pool.handle(now, unheard, actions);
        }
        let is_earlier = match (pool.next_wake(), wake_before) {
            (Some(after), Some(before)) => after < before,
            (after, before) => after.is_some() && before.is_none(),
        };
        if is_earlier {
            self.rewake.notify_one();
        }
    }

    fn request_probe(&self, pool: &Pool, target: TargetIndex) {
        let Some(cell) = self.own.upgrade() else { return };
        // Without a prober, as in a kernel that is not served, the order is dropped.
        let _unserved = self.probes.send(ProbeRequest { cell, target, spec: pool.target(target).clone() });
    }

    /// Lets the pool follow a changed plan; calls in progress go on.
    fn reconfigure(&self, service: &ServiceSpec, settings: &PoolSettings) {
        let mut state = self.lock();
        state.pool.reconfigure(service, settings);
        self.step(&mut state, Event::Tick);
        self.rewake.notify_one();
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
                () = self.rewake.notified() => {}
            }
        }
    }
}

/// Hands actions to their calls; a send for a call that has closed ends at once, so that its slot is free.
///
/// Returns the end of such a send, and leaves the actions after it.
fn carry_out(
    pool: &Pool,
    choices: &mut ChoiceRing,
    calls: &HashMap<CallId, Mailbox>,
    actions: &mut Vec<Action>,
    now: MonoTime,
    request_probe: impl Fn(TargetIndex),
) -> Option<Event> {
    let mut unheard = None;
    actions.retain(|action| {
        if unheard.is_some() {
            return true;
        }
        if let Action::Send { call, attempt, target } = *action {
            choices.note(now, call, attempt, target, pool);
            if !calls.contains_key(&call) {
                unheard = Some(Event::AttemptEnded { call, attempt, end: AttemptEnd::Cancelled });
                return false;
            }
        }
        if let Action::Probe(target) = *action {
            request_probe(target);
        }
        deliver(pool, calls, action);
        false
    });
    unheard
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
struct Entry {
    cell: Arc<ServicePool>,
    timer: tokio::task::AbortHandle,
}

impl Drop for Entry {
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
    entries: RwLock<HashMap<ServiceName, Entry>>,
    probes: mpsc::UnboundedSender<ProbeRequest>,
    /// Until it is taken by the one prober.
    orders: Mutex<Option<mpsc::UnboundedReceiver<ProbeRequest>>>,
}

impl PoolTable {
    /// Creates an empty table.
    pub fn new(clock: Clock, instance: InstanceId, data_centre: DataCentre, seed: u64) -> Self {
        let (probes, orders) = mpsc::unbounded_channel();
        let orders = Mutex::new(Some(orders));
        Self { clock, instance, data_centre, seed, entries: RwLock::default(), probes, orders }
    }

    /// Takes the probes that pools order; `None` after the first time.
    pub fn take_probe_requests(&self) -> Option<mpsc::UnboundedReceiver<ProbeRequest>> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Finds the pool of a service.
    pub fn find(&self, service: &ServiceName) -> Option<Arc<ServicePool>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(service).map(|e| Arc::clone(&e.cell))
    }

    /// Returns all pools with their services.
    pub fn all(&self) -> Vec<(ServiceName, Arc<ServicePool>)> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.iter().map(|(name, e)| (name.clone(), Arc::clone(&e.cell))).collect()
    }

    /// Carries a sign of draining to the pool that has the target.
    pub fn set_draining(&self, target: &TargetId, draining: bool) {
        for (_, cell) in self.all() {
            let has_target = cell.inspect(|p| p.spec().targets.iter().any(|t| t.id == *target));
            if has_target {
                cell.handle(Event::DrainChanged { target: target.clone(), draining });
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
                    if entry.cell.inspect(differs) {
                        entry.cell.reconfigure(service, &settings);
                    }
                }
                None => {
                    entries.insert(service.name.clone(), self.open(service, &settings));
                }
            }
        }
    }

    fn open(&self, service: &ServiceSpec, settings: &PoolSettings) -> Entry {
        let cell = ServicePool::new(self.clock, Pool::new(service, settings), self.probes.clone());
        let own = Arc::clone(&cell);
        let timer = tokio::spawn(async move { own.run_timer().await }).abort_handle();
        Entry { cell, timer }
    }
}
