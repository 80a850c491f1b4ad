//! The kernel: shared tables, plug-ins and the state of this instance.
//!
//! Lock order across the tables: members, services, one pool, one connection list. No lock is held across an
//! await.

pub mod clock;
pub mod in_progress;
pub mod pools;
pub mod registry;

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use tokio::sync::watch;

use self::{
    clock::Clock,
    in_progress::{CallerConnection, InProgress, InProgressTable, NamedRequest, RequestInProgress},
    pools::PoolTable,
};
use crate::{
    claims::Claims,
    error::{Error, ErrorKind, Result},
    membership::Members,
    observe::{
        Observer,
        rollup::RunKey,
        store_calls::{StoreCalls, counted},
        tally::Tally,
    },
    plan::{IntendedAction, Plan, keeper::PlanInForce},
    platform::{Platform, guard::GuardedPlatform, share::Purpose},
    proxy::{connection::Connections, silence::HeadTimes},
    settings::Config,
    units::{CallId, RunId},
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
    /// Whether the platform or a peer confirmed the plan recently enough to serve on.
    plan_current: AtomicBool,
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
        let store_calls = Arc::new(StoreCalls::default());
        let driver = counted((driver.open)(&config)?, &store_calls);
        let store = GuardedPlatform::new(driver, clock, run_id.into());
        let run = RunKey { instance: config.instance.clone(), run_id };
        Ok(Arc::new(Self {
            clock,
            run_id,
            plan: PlanInForce::default(),
            members: Members::default(),
            pools: PoolTable::new(clock, config.data_centre.clone(), run_id.into()),
            connections: Connections::default(),
            head_times: HeadTimes::default(),
            claims: Claims::new(store.view(Purpose::Claim), run_id),
            tally: Tally::default(),
            observer: Observer::new(run, store_calls),
            plan_current: AtomicBool::new(false),
            phase: watch::Sender::new(Phase::Serving),
            in_progress: Arc::default(),
            last_call: AtomicU64::new(0),
            platform: store.view(Purpose::Plan),
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
        if self.plan.version() == 0.into() {
            return Err(ErrorKind::NoPlan);
        }
        if !self.plan_current.load(Ordering::Acquire) {
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
        if !self.plan.offer(plan) {
            return false;
        }
        let plan = self.plan.current();
        self.pools.apply(&plan);
        self.store.follow(&plan.budgets);
        log::info!("event=plan-in-force version={version}");
        true
    }

    /// Carries out the intentions of the plan in force whose time has come.
    pub fn apply_intentions(&self, now_unix_s: u64) {
        let plan = self.plan.current();
        for intention in plan.intentions.iter().filter(|i| i.at_unix_s <= now_unix_s) {
            match &intention.action {
                IntendedAction::Leave(instance) if *instance == self.config.instance => self.leave(),
                IntendedAction::Drain(target) => self.pools.set_draining(target, true),
                IntendedAction::Return(target) => self.pools.set_draining(target, false),
                IntendedAction::Leave(_) | IntendedAction::Crest(..) => {}
            }
        }
    }

    /// Records whether the plan is known to be current.
    pub fn set_plan_current(&self, current: bool) {
        self.plan_current.store(current, Ordering::Release);
    }

    /// Starts leaving; later calls change nothing.
    pub fn leave(&self) {
        if self.advance(Phase::Leaving) {
            log::info!("event=leaving run={}", self.run_id);
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
