//! Shared state of one instance: tables, plug-ins and shutdown phase.
//!
//! Lock order across the tables: members, control state, pool table, one pool, one connection list. No lock
//! is held across an await.

pub mod clock;
pub mod in_progress;
pub mod mailbox;
pub mod pools;
pub mod registry;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::sync::watch;

use self::{
    clock::Clock,
    in_progress::{
        CallerConnectionGuard, InProgressTable, RegisteredRequest, RequestGuard, RequestInProgress,
    },
    pools::PoolTable,
};
use crate::{
    claims::Claims,
    decide::Event,
    error::{Error, ErrorKind, Result},
    membership::Members,
    observe::{
        Observer,
        rollup::RunKey,
        store_calls::{StoreCallMetrics, with_call_metrics},
        tally::Tally,
        unix_s,
    },
    peer::{frame::DrainNotice, state::ControlState},
    plan::{
        Plan,
        active_plan::ActivePlan,
        intentions::{DrainChange, DrainTracker, must_leave},
    },
    proxy::{connection::Connections, stale_connection::ResponseTimes},
    settings::Config,
    store::{Platform, guard::GuardedPlatform, rate_limit::Purpose},
    units::{CallId, InstanceId, MonoTime, RunId, TargetId},
};

/// Shutdown phase of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The instance accepts requests and reports itself ready.
    Serving,
    /// The instance still accepts requests but reports itself not ready.
    Leaving,
    /// The instance answers new requests with the outcome `not-run`.
    Refusing,
    /// The instance accepts no more connections, and ends the calls in progress.
    Ending,
}

/// State shared by all tasks of one instance.
#[derive(Debug)]
pub struct Kernel {
    /// Settings that the instance was started with.
    pub config: Config,
    /// Monotonic clock of this process.
    pub clock: Clock,
    /// Random identifier of this run of the instance.
    pub run_id: RunId,
    /// Rate-limited access to the platform's tables, objects and instance list; the source of views for each
    /// purpose.
    pub store: GuardedPlatform,
    /// View of `store` that uses the share of calls reserved for the plan and the instance list.
    pub platform: Platform,
    /// Active plan: the newest one that this instance knows, by which it handles requests.
    pub plan: ActivePlan,
    /// Table of the other instances that this one knows.
    pub members: Members,
    /// Target pools, one for each service of the active plan.
    pub pools: PoolTable,
    /// Open connections to targets.
    pub connections: Connections,
    /// Average time from sending a request to the response head, for each route.
    pub response_times: ResponseTimes,
    /// Claims of at-most-once requests.
    pub claims: Claims,
    /// Counts of ended calls, for the report.
    pub tally: Tally,
    /// Metrics and roll-ups of this instance.
    pub observer: Observer,
    /// State shared by the peer links and the plan poller.
    pub control: ControlState,
    /// When this run started, in seconds since the Unix epoch.
    started_unix_s: u64,
    /// Time until which the plan counts as current, in microseconds of `clock`; 0 until it is first
    /// confirmed.
    valid_until_us: AtomicU64,
    /// Only advances, never goes back.
    phase: watch::Sender<Phase>,
    in_progress: Arc<InProgressTable>,
    last_call: AtomicU64,
}

impl Kernel {
    /// Creates the state of one instance.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Settings`] when the settings name an unknown platform driver.
    pub fn open(config: Config) -> Result<Arc<Self>> {
        let driver = registry::find_platform_driver(&config.platform_driver).ok_or_else(|| {
            let known = registry::PLATFORM_DRIVERS.iter().map(|d| d.name).collect::<Vec<_>>().join(" or ");
            let message = format!("platform_driver: expected {known}, found {:?}", config.platform_driver);
            Error::new(ErrorKind::Settings, message)
        })?;
        let clock = Clock::start();
        let run_id = RunId::from(rand::random::<u64>());
        let cut_off_after = Duration::from_millis(config.cut_off_after_ms);
        let store_calls = Arc::new(StoreCallMetrics::default());
        let driver = with_call_metrics((driver.open)(&config)?, &store_calls);
        let store = GuardedPlatform::new(driver, clock, run_id.into());
        let run = RunKey { instance: config.instance.clone(), run_id };
        Ok(Arc::new(Self {
            clock,
            run_id,
            plan: ActivePlan::default(),
            members: Members::new(config.instance.clone(), run_id),
            control: ControlState::new(run_id.into(), cut_off_after, clock.now()),
            started_unix_s: unix_s(),
            pools: PoolTable::new(clock, config.instance.clone(), config.data_centre.clone(), run_id.into()),
            connections: Connections::default(),
            response_times: ResponseTimes::default(),
            claims: Claims::new(store.for_purpose(Purpose::Claim), run_id, clock),
            tally: Tally::default(),
            observer: Observer::new(run, store_calls),
            valid_until_us: AtomicU64::new(0),
            phase: watch::Sender::new(Phase::Serving),
            in_progress: Arc::default(),
            last_call: AtomicU64::new(0),
            platform: store.for_purpose(Purpose::Plan),
            store,
            config,
        }))
    }

    /// Returns a new call number, unique within this run.
    pub fn next_call(&self) -> CallId {
        CallId::from(self.last_call.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Checks whether new requests are accepted.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Leaving`], [`ErrorKind::NoPlan`] or [`ErrorKind::CutOff`].
    pub fn check_admission(&self) -> Result<(), ErrorKind> {
        if *self.phase.borrow() >= Phase::Refusing {
            return Err(ErrorKind::Leaving);
        }
        let valid_until_us = self.valid_until_us.load(Ordering::Acquire);
        if self.plan.version() == 0.into() || valid_until_us == 0 {
            return Err(ErrorKind::NoPlan);
        }
        if self.clock.now().as_micros() >= valid_until_us {
            return Err(ErrorKind::CutOff);
        }
        Ok(())
    }

    /// Checks whether the load balancer in front of the instances should route requests here.
    ///
    /// # Errors
    ///
    /// Those of [`Kernel::check_admission`], and [`ErrorKind::Leaving`] from the start of shutdown.
    pub fn check_readiness(&self) -> Result<(), ErrorKind> {
        if self.is_leaving() { Err(ErrorKind::Leaving) } else { self.check_admission() }
    }

    /// Applies a plan if it is newer than the active one; returns whether it was.
    pub fn adopt_plan(&self, plan: Plan) -> bool {
        let version = plan.version;
        // Locked until the end, so that plans, intentions and drain notices reach the pools in a single
        // order.
        let mut drain_tracker = self.control.drain_tracker();
        if version <= self.plan.version() {
            return false;
        }
        self.pools.apply(&plan);
        self.control.freshness_tracker().set_version(version);
        self.control.budget().set_rate(self.clock.now(), plan.budgets.control_bytes_per_s);
        self.store.set_budgets(&plan.budgets);
        self.claims.apply_budgets(&plan.budgets);
        self.plan.install_if_newer(plan);
        self.apply_due_intentions(&mut drain_tracker, unix_s());
        log::info!("event=plan-in-force version={version}");
        true
    }

    /// Applies the active plan's intentions (scheduled drains, returns and departures) that are due at
    /// `now_unix_s`, in seconds since the Unix epoch.
    pub fn apply_intentions(&self, now_unix_s: u64) {
        self.apply_due_intentions(&mut self.control.drain_tracker(), now_unix_s);
    }

    fn apply_due_intentions(&self, drain_tracker: &mut DrainTracker, now_unix_s: u64) {
        let plan = self.plan.current();
        if must_leave(&plan, &self.config.instance, self.started_unix_s, now_unix_s) {
            self.leave();
        }
        let changes = drain_tracker.apply_plan(&plan, now_unix_s);
        if changes.is_empty() {
            return;
        }
        self.control.remove_outdated_drain_notices(drain_tracker);
        for change in &changes {
            self.set_draining(change);
        }
    }

    fn set_draining(&self, change: &DrainChange) {
        self.pools.set_draining(&change.target, change.draining);
    }

    /// Handles a target's response that states that the target is draining.
    pub fn report_target_draining(&self, target: &TargetId) {
        let after_return_unix_s = self.control.drain_tracker().last_return_unix_s(target);
        let notice = DrainNotice { target: target.clone(), after_return_unix_s };
        if self.apply_drain_notice(&notice) {
            log::info!("event=target-draining target={target} source=answer");
        }
    }

    /// Applies a drain notice and queues it for the peers; returns whether it changed anything.
    pub fn apply_drain_notice(&self, notice: &DrainNotice) -> bool {
        let mut drain_tracker = self.control.drain_tracker();
        let Some(change) = drain_tracker.on_drain_notice(notice) else {
            return false;
        };
        self.set_draining(&change);
        self.control.add_drain_notice(notice.clone());
        true
    }

    /// Tells every pool to discard a peer's in-flight counts.
    pub fn drop_peer_loads(&self, peer: &InstanceId) {
        for (_, pool) in self.pools.all() {
            pool.handle(Event::PeerGone(peer.clone()));
        }
    }

    /// Sets the time until which the plan counts as current unless it is confirmed again; `None` makes it
    /// out of date now.
    pub fn set_plan_valid_until(&self, until: Option<MonoTime>) {
        let before_us = self.valid_until_us.load(Ordering::Acquire);
        let now_us = self.clock.now().as_micros();
        let until_us = until.map_or(before_us.min(now_us), MonoTime::as_micros);
        self.valid_until_us.store(until_us, Ordering::Release);
    }

    /// Starts the shutdown; further calls have no effect.
    pub fn leave(&self) {
        if self.advance(Phase::Leaving) {
            log::info!("event=leaving run={}", self.run_id);
            self.control.wake_links();
        }
    }

    /// Returns whether shutdown has started.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Waits until shutdown has started.
    pub async fn wait_leaving(&self) {
        self.wait_phase(Phase::Leaving).await;
    }

    /// Refuses new requests from now on.
    pub fn refuse_new_requests(&self) {
        self.advance(Phase::Refusing);
    }

    /// Waits until new requests are refused.
    pub async fn wait_refusing(&self) {
        self.wait_phase(Phase::Refusing).await;
    }

    fn advance(&self, to: Phase) -> bool {
        self.phase.send_if_modified(|phase| {
            let advances = *phase < to;
            *phase = to.max(*phase);
            advances
        })
    }

    async fn wait_phase(&self, awaited: Phase) {
        let mut phase = self.phase.subscribe();
        // Never fails: the sender lives as long as `self`.
        let _closed = phase.wait_for(|phase| *phase >= awaited).await;
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track_request(&self) -> RequestGuard {
        self.in_progress.track_request()
    }

    /// Counts a caller's connection as open until the returned guard is dropped.
    pub fn track_connection(&self) -> CallerConnectionGuard {
        self.in_progress.track_connection()
    }

    /// Lists a request as in progress until the last clone of the returned guard is dropped.
    pub fn register_request(&self, request: RequestInProgress) -> RegisteredRequest {
        self.in_progress.register(request)
    }

    /// Returns the number of requests in progress.
    pub fn request_count(&self) -> usize {
        self.in_progress.request_count()
    }

    /// Returns the number of open caller connections.
    pub fn caller_connection_count(&self) -> usize {
        self.in_progress.connection_count()
    }

    /// Returns the listed requests in progress, the oldest first.
    pub fn requests_in_progress(&self) -> Vec<RequestInProgress> {
        self.in_progress.registered()
    }

    /// Waits until no request is in progress and no caller is connected. Only one task may wait at a time.
    pub async fn wait_idle(&self) {
        self.in_progress.wait_idle().await;
    }
}
