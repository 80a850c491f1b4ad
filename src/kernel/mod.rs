//! The kernel: shared tables, plug-ins and the state of this instance.
//!
//! Lock order across the tables: members, services, one pool, one connection list. No lock is held across an
//! await.

pub mod clock;
pub mod pools;
pub mod registry;

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use tokio::sync::{Notify, watch};

use self::{clock::Clock, pools::PoolTable};
use crate::{
    claims::Claims,
    error::{Error, ErrorKind, Result},
    membership::Members,
    observe::tally::Tally,
    plan::{IntendedAction, Plan, keeper::PlanInForce},
    platform::Platform,
    proxy::connection::Connections,
    settings::Config,
    units::{CallId, RunId},
};

/// Everything that the workers of one instance share.
#[derive(Debug)]
pub struct Kernel {
    /// Settings.
    pub config: Config,
    /// Clock of this process.
    pub clock: Clock,
    /// Identifier of this run.
    pub run_id: RunId,
    /// The platform's service.
    pub platform: Platform,
    /// Plan in force.
    pub plan: PlanInForce,
    /// Other instances as seen from here.
    pub members: Members,
    /// Pools of the plan in force.
    pub pools: PoolTable,
    /// Connections to targets.
    pub connections: Connections,
    /// Claims of at-most-once requests.
    pub claims: Claims,
    /// Counts for the report.
    pub tally: Tally,
    /// Whether the platform or a peer confirmed the plan recently enough to serve on.
    plan_current: AtomicBool,
    leaving: AtomicBool,
    /// True once new requests are refused; never false again.
    refusing: watch::Sender<bool>,
    left: Notify,
    in_progress: AtomicUsize,
    idle: Notify,
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
        let platform = (driver.open)(&config)?;
        let clock = Clock::start();
        let run_id = RunId::from(rand::random::<u64>());
        Ok(Arc::new(Self {
            clock,
            run_id,
            plan: PlanInForce::default(),
            members: Members::default(),
            pools: PoolTable::new(clock, config.instance.clone(), config.data_centre.clone(), run_id.into()),
            connections: Connections::default(),
            claims: Claims::new(platform.clone(), run_id),
            tally: Tally::default(),
            plan_current: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            refusing: watch::Sender::new(false),
            left: Notify::new(),
            in_progress: AtomicUsize::new(0),
            idle: Notify::new(),
            last_call: AtomicU64::new(0),
            platform,
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
        if *self.refusing.borrow() {
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
        if !self.leaving.swap(true, Ordering::AcqRel) {
            log::info!("event=leaving run={}", self.run_id);
            self.left.notify_one();
        }
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Waits until this instance is leaving; for one waiter.
    pub async fn wait_leaving(&self) {
        self.left.notified().await;
    }

    /// Refuses new requests from now on.
    pub fn refuse_new(&self) {
        self.refusing.send_replace(true);
    }

    /// Waits until new requests are refused.
    pub async fn wait_refusing(&self) {
        // The sender lives as long as the kernel, so waiting can't fail.
        let mut refusing = self.refusing.subscribe();
        let _closed = refusing.wait_for(|refusing| *refusing).await;
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgress { kernel: Arc::clone(self) }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Waits until no request is in progress; for one waiter.
    pub async fn wait_idle(&self) {
        while self.in_progress() > 0 {
            self.idle.notified().await;
        }
    }
}

/// One request in progress.
#[derive(Debug)]
pub struct InProgress {
    kernel: Arc<Kernel>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if self.kernel.in_progress.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.kernel.idle.notify_one();
        }
    }
}
