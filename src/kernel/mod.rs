//! The kernel: shared tables, plug-ins and the state of this instance.
//!
//! Lock order across the tables: members, control state, services, one pool, one connection list. No lock
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
    in_progress::{CallerConnection, InProgress, InProgressTable, NamedRequest, RequestInProgress},
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
        store_calls::{StoreCalls, counted},
        tally::Tally,
        unix_s,
    },
    peer::{frame::DrainNotice, state::ControlState},
    plan::{
        Plan,
        intentions::{DrainChange, Intentions, must_leave},
        keeper::PlanInForce,
    },
    proxy::{connection::Connections, silence::HeadTimes},
    settings::Config,
    store::{Platform, guard::GuardedPlatform, rate_limit::Purpose},
    units::{CallId, InstanceId, MonoTime, RunId, TargetId},
};

/// How far an instance has come on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes requests and is ready.
    Serving,
    /// It takes requests and is not ready.
    Leaving,
    /// It answers new requests with not-run.
    Refusing,
}

/// Everything that the workers of one instance share.
#[derive(Debug)]
pub struct Kernel {
    /// Settings.
    pub config: Config,
    /// Clock of this process.
    pub clock: Clock,
    /// Identifier of this run.
    pub run_id: RunId,
    /// The platform's service behind this instance's shares.
    pub store: GuardedPlatform,
    /// The platform's service as seen for the plan and the list.
    pub platform: Platform,
    /// Plan in force.
    pub plan: PlanInForce,
    /// Other instances as seen from here.
    pub members: Members,
    /// Pools of the plan in force.
    pub pools: PoolTable,
    /// Connections to targets.
    pub connections: Connections,
    /// Usual times to the head of an answer.
    pub head_times: HeadTimes,
    /// Claims of at-most-once requests.
    pub claims: Claims,
    /// Counts for the report.
    pub tally: Tally,
    /// What this instance sees of itself.
    pub observer: Observer,
    /// What the links and the following of the plan share.
    pub control: ControlState,
    /// When this run started, in seconds since the Unix epoch.
    started_unix_s: u64,
    /// Time until which the plan counts as current, in microseconds of the clock; 0 before it first does.
    current_until_us: AtomicU64,
    /// Only rises.
    phase: watch::Sender<Phase>,
    in_progress: Arc<InProgressTable>,
    last_call: AtomicU64,
}

impl Kernel {
    /// Creates the kernel of one instance.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Settings`] when the settings name an unknown platform driver.
    pub fn open(config: Config) -> Result<Arc<Self>> {
        let driver = registry::platform_driver(&config.platform_driver).ok_or_else(|| {
            let known = registry::PLATFORM_DRIVERS.iter().map(|d| d.name).collect::<Vec<_>>().join(" or ");
            let message = format!("platform_driver: expected {known}, found {:?}", config.platform_driver);
            Error::new(ErrorKind::Settings, message)
        })?;
        let clock = Clock::start();
        let run_id = RunId::from(rand::random::<u64>());
        let cut_off_after = Duration::from_millis(config.cut_off_after_ms);
        let store_calls = Arc::new(StoreCalls::default());
        let driver = counted((driver.open)(&config)?, &store_calls);
        let store = GuardedPlatform::new(driver, clock, run_id.into());
        let run = RunKey { instance: config.instance.clone(), run_id };
        Ok(Arc::new(Self {
            clock,
            run_id,
            plan: PlanInForce::default(),
            members: Members::new(config.instance.clone(), run_id),
            control: ControlState::new(run_id.into(), cut_off_after, clock.now()),
            started_unix_s: unix_s(),
            pools: PoolTable::new(clock, config.instance.clone(), config.data_centre.clone(), run_id.into()),
            connections: Connections::default(),
            head_times: HeadTimes::default(),
            claims: Claims::new(store.for_purpose(Purpose::Claim), run_id, clock),
            tally: Tally::default(),
            observer: Observer::new(run, store_calls),
            current_until_us: AtomicU64::new(0),
            phase: watch::Sender::new(Phase::Serving),
            in_progress: Arc::default(),
            last_call: AtomicU64::new(0),
            platform: store.for_purpose(Purpose::Plan),
            store,
            config,
        }))
    }

    /// Returns the number for a new call.
    pub fn next_call(&self) -> CallId {
        CallId::from(self.last_call.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns why new requests are refused, if they are.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Leaving`], [`ErrorKind::NoPlan`] or [`ErrorKind::CutOff`].
    pub fn admit(&self) -> Result<(), ErrorKind> {
        if *self.phase.borrow() == Phase::Refusing {
            return Err(ErrorKind::Leaving);
        }
        let current_until_us = self.current_until_us.load(Ordering::Acquire);
        if self.plan.version() == 0.into() || current_until_us == 0 {
            return Err(ErrorKind::NoPlan);
        }
        if self.clock.now().as_micros() >= current_until_us {
            return Err(ErrorKind::CutOff);
        }
        Ok(())
    }

    /// Returns why the balancer should send nothing here, if it should not.
    ///
    /// # Errors
    ///
    /// As [`Kernel::admit`], and [`ErrorKind::Leaving`] from the first moment of leaving.
    pub fn ready(&self) -> Result<(), ErrorKind> {
        if self.is_leaving() { Err(ErrorKind::Leaving) } else { self.admit() }
    }

    /// Puts a plan in force if it is newer; returns whether it was.
    pub fn offer_plan(&self, plan: Plan) -> bool {
        let version = plan.version;
        // Held to the end, so that plans, intentions and signs reach the pools in one order.
        let mut intentions = self.control.intentions();
        if version <= self.plan.version() {
            return false;
        }
        self.pools.apply(&plan);
        self.control.follower().rose(version);
        self.control.budget().set_rate(self.clock.now(), plan.budgets.control_bytes_per_s);
        self.store.set_budgets(&plan.budgets);
        self.claims.follow(&plan.budgets);
        self.plan.offer(plan);
        self.carry_out(&mut intentions, unix_s());
        log::info!("event=plan-in-force version={version}");
        true
    }

    /// Carries out the intentions of the plan in force whose time has come.
    pub fn apply_intentions(&self, now_unix_s: u64) {
        self.carry_out(&mut self.control.intentions(), now_unix_s);
    }

    fn carry_out(&self, intentions: &mut Intentions, now_unix_s: u64) {
        let plan = self.plan.current();
        if must_leave(&plan, &self.config.instance, self.started_unix_s, now_unix_s) {
            self.leave();
        }
        let changes = intentions.follow(&plan, now_unix_s);
        if changes.is_empty() {
            return;
        }
        self.control.remove_outdated_drain_notices(intentions);
        for change in &changes {
            self.set_draining(change);
        }
    }

    fn set_draining(&self, change: &DrainChange) {
        self.pools.set_draining(&change.target, change.draining);
    }

    /// Takes a target's word that it drains, from one of its answers.
    pub fn target_said_draining(&self, target: &TargetId) {
        let after_return_unix_s = self.control.intentions().returned_unix_s(target);
        let sign = DrainNotice { target: target.clone(), after_return_unix_s };
        if self.sign_draining(&sign) {
            log::info!("event=target-draining target={target} source=answer");
        }
    }

    /// Takes a sign of draining and passes it on; returns whether it was news.
    pub fn sign_draining(&self, sign: &DrainNotice) -> bool {
        let mut intentions = self.control.intentions();
        let Some(change) = intentions.sign(sign) else {
            return false;
        };
        self.set_draining(&change);
        self.control.add_drain_notice(sign.clone());
        true
    }

    /// Tells every pool that a peer's counts no longer apply.
    pub fn forget_loads(&self, peer: &InstanceId) {
        for (_, cell) in self.pools.all() {
            cell.handle(Event::PeerGone(peer.clone()));
        }
    }

    /// Records until when the plan counts as current if nothing more is heard; `None` for not at all.
    pub fn set_plan_current_until(&self, until: Option<MonoTime>) {
        let before_us = self.current_until_us.load(Ordering::Acquire);
        let now_us = self.clock.now().as_micros();
        let until_us = until.map_or(before_us.min(now_us), MonoTime::as_micros);
        self.current_until_us.store(until_us, Ordering::Release);
    }

    /// Starts leaving; later calls change nothing.
    pub fn leave(&self) {
        if self.advance(Phase::Leaving) {
            log::info!("event=leaving run={}", self.run_id);
            self.control.wake_links();
        }
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Waits until this instance is leaving.
    pub async fn wait_leaving(&self) {
        self.wait_phase(Phase::Leaving).await;
    }

    /// Refuses new requests from now on.
    pub fn refuse_new(&self) {
        self.advance(Phase::Refusing);
    }

    /// Waits until new requests are refused.
    pub async fn wait_refusing(&self) {
        self.wait_phase(Phase::Refusing).await;
    }

    fn advance(&self, to: Phase) -> bool {
        self.phase.send_if_modified(|phase| {
            let rises = *phase < to;
            *phase = to.max(*phase);
            rises
        })
    }

    async fn wait_phase(&self, least: Phase) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the kernel, so waiting can't fail.
        let _closed = phase.wait_for(|phase| *phase >= least).await;
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn enter(&self) -> InProgress {
        self.in_progress.enter()
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn connect(&self) -> CallerConnection {
        self.in_progress.connect()
    }

    /// Names a request in progress until the last clone of the guard is dropped.
    pub fn name_request(&self, request: RequestInProgress) -> NamedRequest {
        self.in_progress.name(request)
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.requests()
    }

    /// Returns the number of callers' connections.
    pub fn caller_connections(&self) -> usize {
        self.in_progress.connections()
    }

    /// Returns the requests in progress by name, the oldest first.
    pub fn requests_in_progress(&self) -> Vec<RequestInProgress> {
        self.in_progress.named()
    }

    /// Waits until no request is in progress and no caller is connected; for one waiter.
    pub async fn wait_idle(&self) {
        self.in_progress.wait_idle().await;
    }
}
