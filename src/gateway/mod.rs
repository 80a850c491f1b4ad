//! The gateway: a load balancer instance for platforms whose store holds both the target registry and the
//! routes.
//!
//! An instance keeps no state on disk. It replicates routes and targets from the store and probes targets for
//! their load. To save store calls, instances replicate from *seeds*: instances whose addresses are listed in
//! the setting `peer_seeds`. Instances also work without contact to each other.

pub mod apply;
pub mod attempt;
pub mod backoff;
pub mod budget_shares;
pub mod call;
pub mod call_context;
pub mod caller_stream;
pub mod config;
pub mod exchange;
pub mod follow;
pub mod follower_places;
pub mod forward;
pub mod identity;
pub mod known_instances;
pub mod listen;
pub mod metrics;
pub mod passed_body;
pub mod path_check;
pub mod peer_paths;
pub mod platform_adapter;
pub mod probe;
pub mod rate_limits;
pub mod ready;
pub mod reload;
pub mod replica;
pub mod replication_client;
pub mod replication_server;
pub mod request_log;
pub mod response;
pub mod routing_patches;
pub mod seed_links;
pub mod seeds;
pub mod serve;
pub mod suspect_store;
pub mod suspects;
pub mod table_reads;
pub mod target_end;
pub mod target_statements;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{Notify, watch};

use self::{
    config::Config,
    follower_places::FollowerPlaces,
    identity::{IdentityKey, KeyInUse},
    known_instances::KnownInstances,
    metrics::Metrics,
    platform_adapter::{PlatformAdapter, Table},
    replica::StoreReplica,
    request_log::RequestLogLimiter,
    routing_patches::{RoutingBase, RoutingPatches},
};
use crate::{
    decide::{
        directory::EntryLease, peer_paths::PeerPaths, service_pools::ServicePools, shutdown::ShutdownTimes,
        suspects::SuspectTable, target_paths::TargetPaths, unconfirmed_ends::UnconfirmedEnds,
    },
    error::{Error, ErrorKind, Result},
    kernel::{
        Phase,
        clock::Clock,
        in_progress::{InProgressTable, RequestGuard},
        registry,
    },
    proxy::connection::Connections,
    routing::{RoutingSpec, RoutingTable},
    units::{MonoTime, RunId},
};

/// Number of instances assumed to share the targets until it is known.
const DEFAULT_INSTANCE_COUNT: u32 = 32;

/// State that all tasks of one gateway instance share.
///
/// A task holds at most one of the locks of `service_pools`, `replica`, `known_instances`, `suspects`,
/// `unconfirmed_ends`, `target_paths` and `peer_paths` at a time, and none across an await.
#[derive(Debug)]
pub struct Gateway {
    /// Clock of this process.
    pub clock: Clock,
    /// Random identifier of this run of the process.
    pub run_id: RunId,
    /// Access to the platform's store, formats and headers.
    pub platform: PlatformAdapter,
    /// Start time of this process in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Connections to targets.
    pub connections: Connections,
    /// Connections to other instances that carry forwarded calls.
    pub peer_connections: Connections,
    /// Metrics.
    pub metrics: Metrics,
    /// Limits how many requests are logged.
    pub request_log_limiter: RequestLogLimiter,
    /// Notified when the routing table or what is known of a target changes, or a queued call has left its
    /// queue.
    pub state_changed: Notify,
    config: ArcSwap<Config>,
    /// Notified when the settings change.
    config_changed: Notify,
    routing: ArcSwapOption<RoutingTable>,
    service_pools: Mutex<ServicePools>,
    replica: Mutex<StoreReplica>,
    known_instances: Mutex<KnownInstances>,
    /// Incremented when the replica or its status changes, so that followers may need an update.
    replica_changed: watch::Sender<u64>,
    /// Patches of the routing table for the instances that follow this one.
    pub routing_patches: RoutingPatches,
    /// Places of the instances that follow this one.
    pub follower_places: Arc<FollowerPlaces>,
    /// Incremented when a target's rate limit changes, so that other instances may need to hear of it.
    rate_limits_changed: watch::Sender<u64>,
    suspects: Mutex<SuspectTable>,
    unconfirmed_ends: Mutex<UnconfirmedEnds>,
    /// Incremented when what is known of suspects changes, so that other instances may need to hear of it.
    suspects_changed: watch::Sender<u64>,
    /// Notified when a request is quarantined from now on.
    quarantine_started: Notify,
    /// Key of the hashes that identify requests; one of this instance's own until the shared one is known.
    identity_key: ArcSwap<KeyInUse>,
    target_paths: Mutex<TargetPaths>,
    peer_paths: Mutex<PeerPaths>,
    /// Incremented when what is known of instances' paths changes, so that other instances may need to hear of it.
    paths_changed: watch::Sender<u64>,
    targets_known: watch::Sender<bool>,
    /// Whether the suspects have been read or received, or are no longer waited for.
    suspects_known: watch::Sender<bool>,
    /// Whether the routing tables of the seeds have been received or are no longer waited for.
    seed_routing_known: watch::Sender<bool>,
    /// Number of instances that share the budgets; 0 until it is known.
    instance_count: AtomicU64,
    /// Shutdown phase; it only advances.
    phase: watch::Sender<Phase>,
    /// Times of the shutdown; set before the phase advances.
    shutdown_times: OnceLock<ShutdownTimes>,
    in_progress: Arc<InProgressTable>,
}

impl Gateway {
    /// Creates the state of one gateway instance.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Settings`] if the settings name an unknown platform.
    pub fn open(config: Config) -> Result<Arc<Self>> {
        let driver = registry::find_environment_driver(&config.place).ok_or_else(|| {
            let known = registry::ENVIRONMENT_DRIVERS.iter().map(|d| d.name).collect::<Vec<_>>().join(" or ");
            Error::new(ErrorKind::Settings, format!("place: expected {known}, found {:?}", config.place))
        })?;
        let platform = (driver.open)(&config);
        let lease =
            EntryLease { heartbeat: config.target_heartbeat(), length_heartbeats: platform.lease_heartbeats };
        let seed = rand::random::<u64>();
        Ok(Arc::new(Self {
            clock: Clock::start(),
            run_id: RunId::from(seed),
            platform,
            started_unix_ms: unix_ms(),
            peer_connections: Connections::closed_by_reset(),
            connections: Connections::from_source(config.targets_source),
            metrics: Metrics::default(),
            request_log_limiter: RequestLogLimiter::default(),
            state_changed: Notify::new(),
            routing: ArcSwapOption::empty(),
            service_pools: Mutex::new(ServicePools::new(config.data_centre.clone(), lease, seed)),
            replica: Mutex::default(),
            known_instances: Mutex::new(KnownInstances::new(config.instance.clone())),
            replica_changed: watch::Sender::new(0),
            routing_patches: RoutingPatches::default(),
            follower_places: Arc::default(),
            rate_limits_changed: watch::Sender::new(0),
            suspects: Mutex::default(),
            unconfirmed_ends: Mutex::default(),
            suspects_changed: watch::Sender::new(0),
            quarantine_started: Notify::new(),
            identity_key: ArcSwap::from_pointee(KeyInUse { key: IdentityKey::random(), is_shared: false }),
            target_paths: Mutex::default(),
            peer_paths: Mutex::new(PeerPaths::new(config.instance.clone())),
            paths_changed: watch::Sender::new(0),
            targets_known: watch::Sender::new(false),
            suspects_known: watch::Sender::new(false),
            seed_routing_known: watch::Sender::new(false),
            instance_count: AtomicU64::new(0),
            phase: watch::Sender::new(Phase::Serving),
            shutdown_times: OnceLock::new(),
            in_progress: Arc::default(),
            config: ArcSwap::from_pointee(config),
            config_changed: Notify::new(),
        }))
    }

    /// Returns the settings in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Replaces the settings in force.
    pub fn set_config(&self, config: Config) {
        self.config.store(Arc::new(config));
        self.config_changed.notify_waiters();
    }

    /// Returns the handle that is notified when the settings change.
    pub fn config_changed(&self) -> &Notify {
        &self.config_changed
    }

    /// Returns the current time on this process's monotonic clock.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Returns the time `span` ago, at the earliest the start of the process.
    pub fn now_minus(&self, span: Duration) -> MonoTime {
        self.now().checked_sub(span).unwrap_or_default()
    }

    /// Returns the routing table in force, or `None` until one has been received.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.load_full()
    }

    /// Puts a routing table in force if its version is higher than the current one; returns whether it was.
    pub fn apply_routing_if_newer(&self, spec: RoutingSpec) -> bool {
        let before = self.routing().map(|table| table.version);
        if before.is_some_and(|version| version >= spec.version) {
            return false;
        }
        let table = RoutingTable::new(spec, u64::from(self.run_id));
        let old_version = before.unwrap_or_default();
        log::info!(
            "event=routing-in-force version={} was={old_version} routes={}",
            table.version,
            table.len()
        );
        self.routing.store(Some(Arc::new(table)));
        self.state_changed.notify_waiters();
        true
    }

    /// Locks the state of the targets and budgets.
    pub fn service_pools(&self) -> MutexGuard<'_, ServicePools> {
        self.service_pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the replica of the store's tables.
    pub fn replica(&self) -> MutexGuard<'_, StoreReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the links to followers check whether they have to send an update.
    pub fn notify_followers(&self) {
        self.replica_changed.send_modify(|n| *n += 1);
    }

    /// Returns the routing table that this instance would pass on.
    pub fn routing_base(&self) -> Option<RoutingBase> {
        let value = self.replica().value(Table::Routing, self.platform.routing_key)?;
        Some(self.routing_patches.base(value))
    }

    /// Returns a receiver that changes when followers may need an update.
    pub fn watch_replica(&self) -> watch::Receiver<u64> {
        self.replica_changed.subscribe()
    }

    /// Makes the links to other instances check whether they have to send changed rate limits.
    pub fn notify_rate_limit_change(&self) {
        self.rate_limits_changed.send_modify(|n| *n += 1);
    }

    /// Returns a receiver that changes when other instances may need to hear of changed rate limits.
    pub fn watch_rate_limits(&self) -> watch::Receiver<u64> {
        self.rate_limits_changed.subscribe()
    }

    /// Locks the table of requests under which targets have ended.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the lost sends whose targets may have ended.
    pub fn unconfirmed_ends(&self) -> MutexGuard<'_, UnconfirmedEnds> {
        self.unconfirmed_ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the links to other instances check whether they have to send changed suspects, and the calls in
    /// progress whether they are quarantined now.
    pub fn notify_suspect_change(&self, starts_quarantine: bool) {
        self.suspects_changed.send_modify(|n| *n += 1);
        if starts_quarantine {
            self.quarantine_started.notify_waiters();
        }
    }

    /// Returns a receiver that changes when other instances may need to hear of changed suspects.
    pub fn watch_suspects(&self) -> watch::Receiver<u64> {
        self.suspects_changed.subscribe()
    }

    /// Returns the handle that is notified when a request is quarantined from now on.
    pub fn quarantine_started(&self) -> &Notify {
        &self.quarantine_started
    }

    /// Locks what is known of this instance's paths to targets.
    pub fn target_paths(&self) -> MutexGuard<'_, TargetPaths> {
        self.target_paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what instances state of their paths to targets.
    pub fn peer_paths(&self) -> MutexGuard<'_, PeerPaths> {
        self.peer_paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the links to other instances check whether they have to send changed statements of paths.
    pub fn notify_path_change(&self) {
        self.paths_changed.send_modify(|n| *n += 1);
    }

    /// Returns a receiver that changes when other instances may need to hear of changed paths.
    pub fn watch_paths(&self) -> watch::Receiver<u64> {
        self.paths_changed.subscribe()
    }

    /// Returns whether this instance has no path to any target, and knows no other instance that has.
    pub fn is_cut_off(&self) -> bool {
        let closed = self.target_paths().closed();
        if closed.is_empty() {
            return false;
        }
        let is_open = self.service_pools().directory.listings().any(|l| !closed.contains(&l.service));
        let now = self.now();
        let peer_paths = self.peer_paths();
        !is_open && !closed.iter().any(|service| peer_paths.has_path(now, service))
    }

    /// Returns the key of the hashes that identify requests.
    pub fn identity_key(&self) -> KeyInUse {
        **self.identity_key.load()
    }

    /// Sets the key of the hashes that identify requests to one that others have, too. What is known under another
    /// key can't be compared any more and is forgotten.
    pub fn share_identity_key(&self, key: IdentityKey) {
        let previous = self.identity_key.swap(Arc::new(KeyInUse { key, is_shared: true }));
        if previous.key == key && previous.is_shared {
            return;
        }
        if previous.key != key {
            let was_shared = previous.is_shared;
            let mut suspects = self.suspects();
            let level = if was_shared { log::Level::Warn } else { log::Level::Info };
            log::log!(
                level,
                "event=identity-key-changed was_shared={was_shared} forgotten={}",
                suspects.len()
            );
            suspects.clear();
        }
        self.notify_suspect_change(false);
    }

    /// Returns whether other instances may follow this one.
    pub fn is_seed(&self) -> bool {
        let config = self.config();
        config.peer_seeds.is_empty() || config.peer_seeds.contains(&config.peers_address)
    }

    /// Locks the table of known instances.
    pub fn known_instances(&self) -> MutexGuard<'_, KnownInstances> {
        self.known_instances.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of instances as far as this one knows. While it knows of no other, returns 1 if no
    /// seeds are configured, since it may then be the only instance, and 0 otherwise.
    pub fn estimate_instance_count(&self) -> u32 {
        let min_count = u32::from(self.config().peer_seeds.is_empty());
        self.known_instances().count(self.now()).max(min_count)
    }

    /// Records that the target directory has been received.
    pub fn mark_targets_known(&self) {
        self.targets_known.send_replace(true);
    }

    /// Returns whether the suspects are known, or no longer waited for.
    pub fn are_suspects_known(&self) -> bool {
        *self.suspects_known.borrow()
    }

    /// Records that the suspects have been read or received, or are no longer waited for.
    pub fn mark_suspects_known(&self) {
        if !self.suspects_known.send_replace(true) {
            self.state_changed.notify_waiters();
        }
    }

    /// Waits until the suspects are known.
    pub async fn wait_for_suspects(&self) {
        let mut known = self.suspects_known.subscribe();
        // The sender lives as long as the gateway, so waiting can't fail.
        let _closed = known.wait_for(|known| *known).await;
    }

    /// Waits until the seeds have been asked for their routing tables.
    pub async fn wait_for_seed_routing(&self) {
        let mut known = self.seed_routing_known.subscribe();
        // The sender lives as long as the gateway, so waiting can't fail.
        let _closed = known.wait_for(|known| *known).await;
    }

    /// Ends the wait for the routing tables of the seeds.
    pub fn end_wait_for_seed_routing(&self) {
        self.seed_routing_known.send_replace(true);
    }

    /// Sets the number of instances that share the budgets.
    pub fn set_instance_count(&self, instances: u64) {
        self.instance_count.store(instances, Ordering::Release);
    }

    /// Returns the number of instances that share the budgets, at least 1, or `None` until it is known.
    pub fn instance_count(&self) -> Option<u64> {
        Some(self.instance_count.load(Ordering::Acquire)).filter(|n| *n > 0)
    }

    /// Returns the number of instances that share the targets. Until it is known, returns a default, or the number
    /// heard of so far if that is higher.
    pub fn instance_count_or_default(&self) -> u32 {
        let counted = self.instance_count().map(|n| u32::try_from(n).unwrap_or(u32::MAX));
        counted.unwrap_or_else(|| DEFAULT_INSTANCE_COUNT.max(self.estimate_instance_count()))
    }

    /// Checks whether this instance is ready, that is, whether the ingress should send callers to it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Leaving`] during shutdown, [`ErrorKind::NoPlan`] until routes, targets and suspects are known,
    /// [`ErrorKind::NoPath`] while it could serve nothing.
    pub fn check_ready(&self) -> Result<(), ErrorKind> {
        if self.is_leaving() {
            return Err(ErrorKind::Leaving);
        }
        if !self.are_routes_and_targets_known() || !self.are_suspects_known() {
            return Err(ErrorKind::NoPlan);
        }
        if self.is_cut_off() {
            return Err(ErrorKind::NoPath);
        }
        Ok(())
    }

    /// Returns whether this instance could serve requests, as far as routes and targets go.
    pub fn are_routes_and_targets_known(&self) -> bool {
        self.routing.load().is_some() && *self.targets_known.borrow()
    }

    /// Waits until routes, targets and suspects are known.
    pub async fn wait_ready(&self) {
        self.wait_until(|| self.check_ready().is_ok()).await;
    }

    /// Waits until `is_reached`, which depends on the state that `state_changed` announces.
    pub async fn wait_until(&self, is_reached: impl Fn() -> bool) {
        loop {
            let mut changed = Box::pin(self.state_changed.notified());
            // Registered before the check, so that no change is missed.
            changed.as_mut().enable();
            if is_reached() {
                return;
            }
            changed.await;
        }
    }

    /// Starts the shutdown: the instance is no longer ready but still serves requests. Returns the times of the
    /// shutdown; later invocations only do that.
    pub fn start_leaving(&self) -> ShutdownTimes {
        let times =
            *self.shutdown_times.get_or_init(|| ShutdownTimes::new(self.now(), self.config().grace()));
        self.advance(Phase::Leaving);
        // Queued calls may have to be refused earlier now.
        self.state_changed.notify_waiters();
        times
    }

    /// Starts the phase of the shutdown in which callers' idle connections are closed, and requests are refused.
    pub fn start_refusing(&self) {
        self.advance(Phase::Refusing);
    }

    /// Starts the last phase of the shutdown, in which no connections are accepted and calls in progress are ended.
    pub fn start_ending(&self) {
        self.advance(Phase::Ending);
    }

    /// Returns the times of the shutdown, or `None` if there is none in progress.
    pub fn shutdown_times(&self) -> Option<&ShutdownTimes> {
        self.shutdown_times.get()
    }

    /// Returns whether requests are taken now.
    pub fn takes_requests(&self) -> bool {
        self.shutdown_times().is_none_or(|times| times.takes_requests(self.now()))
    }

    /// Returns whether another instance takes requests of callers, as far as is known.
    pub fn is_any_other_accepting(&self) -> bool {
        let has_unheard = self.config().forward_address.is_none() && self.estimate_instance_count() > 1;
        has_unheard || self.peer_paths().is_any_accepting(self.now())
    }

    /// Returns whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Waits until the shutdown has reached a phase.
    pub async fn wait_phase(&self, min_phase: Phase) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway, so waiting can't fail.
        let _closed = phase.wait_for(|phase| *phase >= min_phase).await;
    }

    /// Returns the table of requests and caller connections in progress.
    pub fn in_progress(&self) -> &Arc<InProgressTable> {
        &self.in_progress
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn track_request(&self) -> RequestGuard {
        self.in_progress.track_request()
    }

    fn advance(&self, to: Phase) {
        self.phase.send_if_modified(|phase| {
            let advances = *phase < to;
            *phase = to.max(*phase);
            advances
        });
    }
}

/// Returns the time of day; 0 if the clock is set to a time before the epoch.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
