//! An instance on a platform where targets register themselves and operators write routes to the store.
//!
//! Nothing is kept on the instance: routes and targets are followed in the store, and load is asked of the targets.
//! Instances are equal and need not hear each other.

pub mod backoff;
pub mod call;
pub mod config;
pub mod exchange;
pub mod follow;
pub mod known_instances;
pub mod listen;
pub mod metrics;
pub mod platform_adapter;
pub mod probe;
pub mod ready;
pub mod reload;
pub mod replica;
pub mod replication_client;
pub mod replication_server;
pub mod request_log;
pub mod response;
pub mod seeds;
pub mod serve;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{Notify, watch};

use self::{
    config::Config, known_instances::KnownInstances, metrics::Metrics, platform_adapter::PlatformAdapter,
    replica::StoreReplica, request_log::RequestLogLimiter,
};
use crate::{
    decide::fleet::Fleet,
    error::{Error, ErrorKind, Result},
    kernel::{
        Phase,
        clock::Clock,
        in_progress::{InProgress, InProgressTable},
        registry,
    },
    proxy::connection::Connections,
    routing::{RoutingSpec, RoutingTable},
    units::{MonoTime, RunId},
};

/// Instances assumed to share the targets while their number is not known.
const DEFAULT_INSTANCE_COUNT: u32 = 32;

/// Everything that the tasks of one gateway share.
///
/// The locks of the fleet, the mirror and the roster are taken alone and not held across an await.
#[derive(Debug)]
pub struct Gateway {
    /// Clock of this process.
    pub clock: Clock,
    /// Identifier of this run.
    pub run_id: RunId,
    /// The place it runs in.
    pub platform: PlatformAdapter,
    /// Connections to targets.
    pub connections: Connections,
    /// Metrics.
    pub metrics: Metrics,
    /// Decides which requests are logged.
    pub request_log_limiter: RequestLogLimiter,
    /// Notified when something became known of a target.
    pub state_changed: Notify,
    config: ArcSwap<Config>,
    /// Notified when other settings are in force.
    config_changed: Notify,
    routing: ArcSwapOption<RoutingTable>,
    fleet: Mutex<Fleet>,
    replica: Mutex<StoreReplica>,
    known_instances: Mutex<KnownInstances>,
    /// Raised when followers may have to be told something.
    replica_changed: watch::Sender<u64>,
    has_targets: watch::Sender<bool>,
    /// Instances that share the budgets; 0 until it is known.
    instances: AtomicU64,
    /// Only advances.
    phase: watch::Sender<Phase>,
    in_progress: Arc<InProgressTable>,
}

impl Gateway {
    /// Creates the state of one gateway.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Settings`] when the settings name an unknown place.
    pub fn open(config: Config) -> Result<Arc<Self>> {
        let place = registry::place(&config.place).ok_or_else(|| {
            let known = registry::PLACES.iter().map(|p| p.name).collect::<Vec<_>>().join(" or ");
            Error::new(ErrorKind::Settings, format!("place: expected {known}, found {:?}", config.place))
        })?;
        let platform = (place.open)(&config);
        let seed = rand::random::<u64>();
        Ok(Arc::new(Self {
            clock: Clock::start(),
            run_id: RunId::from(seed),
            platform,
            connections: Connections::default(),
            metrics: Metrics::default(),
            request_log_limiter: RequestLogLimiter::default(),
            state_changed: Notify::new(),
            routing: ArcSwapOption::empty(),
            fleet: Mutex::new(Fleet::new(config.data_centre.clone(), seed)),
            replica: Mutex::default(),
            known_instances: Mutex::new(KnownInstances::new(config.instance.clone())),
            replica_changed: watch::Sender::new(0),
            has_targets: watch::Sender::new(false),
            instances: AtomicU64::new(0),
            phase: watch::Sender::new(Phase::Serving),
            in_progress: Arc::default(),
            config: ArcSwap::from_pointee(config),
            config_changed: Notify::new(),
        }))
    }

    /// Returns the settings in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Puts other settings in force.
    pub fn set_config(&self, config: Config) {
        self.config.store(Arc::new(config));
        self.config_changed.notify_waiters();
    }

    /// Returns what is notified when other settings are in force.
    pub fn config_changed(&self) -> &Notify {
        &self.config_changed
    }

    /// Returns the time since the start.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Returns the point `span` ago, or the start.
    pub fn now_minus(&self, span: Duration) -> MonoTime {
        self.now().checked_sub(span).unwrap_or_default()
    }

    /// Returns the routing table in force, if one is known.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.load_full()
    }

    /// Puts a routing table in force if it is newer; returns whether it was.
    pub fn apply_routing_if_newer(&self, spec: RoutingSpec) -> bool {
        let before = self.routing().map(|table| table.version);
        if before.is_some_and(|version| version >= spec.version) {
            return false;
        }
        let table = RoutingTable::new(spec, u64::from(self.run_id));
        let was = before.unwrap_or_default();
        log::info!("event=routing-in-force version={} was={was} routes={}", table.version, table.len());
        self.routing.store(Some(Arc::new(table)));
        self.state_changed.notify_waiters();
        true
    }

    /// Locks what is known of the targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the copy of the store.
    pub fn replica(&self) -> MutexGuard<'_, StoreReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets followers look whether they have to be told something.
    pub fn notify_followers(&self) {
        self.replica_changed.send_modify(|n| *n += 1);
    }

    /// Returns what changes when followers may have to be told something.
    pub fn watch_replica(&self) -> watch::Receiver<u64> {
        self.replica_changed.subscribe()
    }

    /// Returns whether others may follow this instance.
    pub fn is_seed(&self) -> bool {
        let config = self.config();
        config.peer_seeds.is_empty() || config.peer_seeds.contains(&config.peers_address)
    }

    /// Locks what is known of the other instances.
    pub fn known_instances(&self) -> MutexGuard<'_, KnownInstances> {
        self.known_instances.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many instances there are as far as this one can tell, 0 when it can't.
    pub fn estimate_instance_count(&self) -> u32 {
        let alone = u32::from(self.config().peer_seeds.is_empty());
        self.known_instances().count(self.now()).max(alone)
    }

    /// Notes that the directory has been read.
    pub fn mark_targets_known(&self) {
        self.has_targets.send_replace(true);
    }

    /// Notes how many instances share the budgets.
    pub fn set_instance_count(&self, instances: u64) {
        self.instances.store(instances, Ordering::Release);
    }

    /// Returns how many instances share the budgets, at least 1, or `None` while it is not known.
    pub fn instance_count(&self) -> Option<u64> {
        Some(self.instances.load(Ordering::Acquire)).filter(|n| *n > 0)
    }

    /// Returns how many instances share the targets, assumed while it is not known.
    pub fn instance_count_or_default(&self) -> u32 {
        self.instance_count().map_or(DEFAULT_INSTANCE_COUNT, |n| u32::try_from(n).unwrap_or(u32::MAX))
    }

    /// Returns why callers should not be sent here, if they should not.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Leaving`] or [`ErrorKind::NoPlan`].
    pub fn check_ready(&self) -> Result<(), ErrorKind> {
        if self.is_leaving() {
            return Err(ErrorKind::Leaving);
        }
        if self.routing.load().is_none() || !*self.has_targets.borrow() {
            return Err(ErrorKind::NoPlan);
        }
        Ok(())
    }

    /// Waits until routes and targets are known.
    pub async fn wait_ready(&self) {
        loop {
            let mut changed = Box::pin(self.state_changed.notified());
            // Registered before the look, so that no news is missed.
            changed.as_mut().enable();
            if self.check_ready().is_ok() {
                return;
            }
            changed.await;
        }
    }

    /// Starts leaving; later calls change nothing.
    pub fn start_leaving(&self) {
        self.advance(Phase::Leaving);
    }

    /// Ends idle connections of callers from now on.
    pub fn start_refusing(&self) {
        self.advance(Phase::Refusing);
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Waits until this instance has come so far on its way out.
    pub async fn wait_phase(&self, least: Phase) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway, so waiting can't fail.
        let _closed = phase.wait_for(|phase| *phase >= least).await;
    }

    /// Returns the count of what is in progress.
    pub fn in_progress(&self) -> &Arc<InProgressTable> {
        &self.in_progress
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn track_request(&self) -> InProgress {
        self.in_progress.enter()
    }

    fn advance(&self, to: Phase) {
        self.phase.send_if_modified(|phase| {
            let advances = *phase < to;
            *phase = to.max(*phase);
            advances
        });
    }
}
