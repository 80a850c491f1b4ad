//! The deployment of a soak: stand-ins of the store and the workers, relays that inject connection faults,
//! instances as processes, and the operator's actions.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
    time::{Duration, Instant},
};

use arbutusshelf::error::{Error, ErrorKind, Result};
use futures::future::join_all;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::{
    callers::{CallerContext, FATAL_MARKER, run_fatal_caller},
    checker::Bounds,
    history::{
        Arrival, Disturbance, Drain, History, ProcessRun, RateLimitPeriod, Scope, WorkerCut, WorkerEnd,
    },
    instance::{Addresses, Launch, Process},
    schedule::{Action, SoakSize, Step},
};
use crate::{
    caller_cuts::{CallerCut, CallerCuts},
    client::Caller,
    deployment::ANY_PORT,
    endless::{EndlessPart, EndlessTarget},
    relay::{LinkFault, Relay},
    rows::{RowStoreFault, RowStoreStandIn},
    worker::{WorkerMode, WorkerRequest, WorkerStandIn},
};

/// Maximum number of peer seeds, the instances that read the store for the others, as on the users' platform.
const MAX_SEEDS: usize = 3;

/// Ports of an instance for callers, readiness checks, metrics and peers.
const PORTS: [u16; 4] = [8_126, 8_125, 9_464, 8_122];

/// Port of an instance for requests that other instances forward.
const FORWARD_PORT: u16 = 8_121;

/// Time that a worker takes for a request.
const REQUEST_TIME: Duration = Duration::from_millis(25);

/// Time that a worker on a slow machine takes for a request.
const SLOW_REQUEST_TIME: Duration = Duration::from_millis(125);

/// Time within which all instances must be ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of a process or of readiness.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Memory of the smallest instances on the users' platform, in bytes.
const SMALLEST_MEMORY_BYTES: u64 = 160_000_000;

/// Time after which a worker that has ended is back under another id, and its entry is gone, in milliseconds.
const WORKER_RETURN_MS: u64 = 1_500;

/// Longest time that requests ran that end with their worker, in milliseconds.
const RUNNING_REQUEST_MS: u64 = 200;

/// Time between the exit of an instance and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// Time for which a draining worker still serves requests, as on the users' platform.
const DRAINED_SERVE_TIME: Duration = Duration::from_millis(2_600);

/// Time after which another worker reuses the address of a removed one, as on the users' platform.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);

/// Time for which the store is away when it is restored from a copy.
const RESTORE_OUTAGE: Duration = Duration::from_millis(300);

/// Time after a restore in which operators and workers have written again what was lost.
const REWRITE_DELAY: Duration = Duration::from_secs(1);

/// Returns the limits that follow from the users' settings, with additional retries for each instance.
pub fn bounds(instances: usize) -> Bounds {
    Bounds {
        settle_ms: 3_000,
        drain_ms: 2_000,
        route_apply_ms: 2_000,
        rollback_ms: 250,
        grace_ms: 6_000,
        repeat_ratio: 0.2,
        repeat_extra: 4.0 * instances as f64,
        repeat_window_ms: 10_000,
        limit_window_ms: 4_000,
        limit_ratio: 1.5,
        limit_extra: 5.0,
        fatal_ends: 3,
        fatal_sends: 3,
        memory_bytes: SMALLEST_MEMORY_BYTES,
    }
}

#[derive(Debug)]
struct Instance {
    addresses: Addresses,
    launch: Launch,
    process: Option<Process>,
    /// Whether [`Cluster::restart`] is at work, so that an exit is not a crash.
    is_restarting: bool,
}

/// Relays in front of one instance, for callers and for peers, and the relay between it and the store.
#[derive(Debug)]
struct Relays {
    callers: Relay,
    peers: Relay,
    store: Relay,
}

/// What changes in the course of a soak.
#[derive(Debug)]
pub(super) struct State {
    instances: Vec<Instance>,
    workers: Vec<WorkerStandIn>,
    /// Workers that were drained, kept for the requests that they received.
    retired_workers: Vec<WorkerStandIn>,
    pub(super) history: History,
    pub(super) manifest_version: u32,
    /// Routes besides those that are used.
    pub(super) padding_routes: usize,
    /// Number of the last worker or added route.
    pub(super) next_number: usize,
}

/// A running deployment with its operator.
#[derive(Debug)]
pub struct Cluster {
    /// State that all callers share.
    pub callers: Arc<CallerContext>,
    pub(super) store: RowStoreStandIn,
    relays: Vec<Relays>,
    caller_cuts: CallerCuts,
    /// Callers of requests that end workers; they go on until the end of the soak.
    fatal_callers: Mutex<JoinSet<()>>,
    /// Held while the store has a version that must not be used: if all instances lost power then, none could know better.
    pub(super) invalid_manifest: tokio::sync::Mutex<()>,
    state: Mutex<State>,
}

fn unavailable(e: &std::io::Error) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}

/// Returns an address on a host of this soak. Each instance has an IP address of its own, as on the users'
/// platform. IP addresses are derived from the process id, so that concurrent soaks use different ones.
///
/// The fixed ports are below the range of outgoing connections, so that they stay free while an instance is
/// down.
fn address(host: usize, port: u16) -> SocketAddr {
    let process_id = std::process::id();
    let [_, _, high, low] = process_id.to_be_bytes();
    (Ipv4Addr::new(127, 100 + high % 100, low, u8::try_from(host + 1).unwrap_or(u8::MAX)), port).into()
}

/// Starts a relay at an address that an earlier soak of this process may not have released yet: the task of its relay
/// ends some time after it was dropped.
async fn start_relay(address: SocketAddr, target: SocketAddr) -> std::io::Result<Relay> {
    let until = Instant::now() + START_TIMEOUT;
    loop {
        match Relay::start_at(address, target).await {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                tokio::time::sleep(POLL_PERIOD).await;
            }
            started => return started,
        }
    }
}

impl Cluster {
    /// Starts all parts and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// When a part can't be started or an instance is not ready in time.
    pub async fn start(binaries: Vec<PathBuf>, directory: PathBuf, size: &SoakSize) -> Result<Self> {
        let io = |e: std::io::Error| unavailable(&e);
        let store = RowStoreStandIn::start().await.map_err(io)?;
        // The reachable seed with the lowest address reads the store, and an instance knows itself by its own
        // address but the others by the addresses of their relays. Since the addresses of relays and
        // instances alternate, all instances sort the seeds in the same order.
        let mut relays = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..size.instances {
            let (relay_host, instance_host) = (2 * number, 2 * number + 1);
            let [callers, ready, metrics, peers] = PORTS.map(|port| address(instance_host, port));
            relays.push(Relays {
                callers: Relay::start(callers).await.map_err(io)?,
                peers: start_relay(address(relay_host, peers.port()), peers).await.map_err(io)?,
                store: Relay::start(store.server.address).await.map_err(io)?,
            });
            addresses.push(Addresses { callers, ready, metrics, peers });
        }
        let seed_addresses = relays.iter().take(MAX_SEEDS).map(|r| r.peers.address).collect::<Vec<_>>();
        let context = CallerContext {
            start: Instant::now(),
            instance_addresses: relays.iter().map(|r| r.callers.address).collect(),
            route_prefixes: Mutex::default(),
            attempts: Mutex::default(),
            until_ms: AtomicU64::new(u64::MAX),
        };
        let instances = addresses.iter().enumerate().map(|(number, addresses)| {
            let mut seeds = seed_addresses.clone();
            if let Some(own) = seeds.get_mut(number) {
                *own = addresses.peers;
            }
            let name = format!("gateway-{number}");
            let settings = settings(&name, addresses, &seeds, relays[number].store.address, relays.len());
            let launch = Launch { binaries: binaries.clone(), settings, directory: directory.clone(), name };
            Instance { addresses: *addresses, launch, process: None, is_restarting: false }
        });
        let state = State {
            instances: instances.collect(),
            workers: Vec::new(),
            retired_workers: Vec::new(),
            history: History::default(),
            manifest_version: 0,
            padding_routes: size.routes,
            next_number: 0,
        };
        let cluster = Self {
            callers: Arc::new(context),
            store,
            relays,
            caller_cuts: CallerCuts::default(),
            fatal_callers: Mutex::default(),
            invalid_manifest: tokio::sync::Mutex::default(),
            state: Mutex::new(state),
        };
        cluster.write_manifest();
        for _ in 0..size.workers {
            let worker = cluster.start_worker(ANY_PORT).await?;
            cluster.lock().workers.push(worker);
        }
        for number in 0..cluster.relays.len() {
            cluster.start_instance(number, true)?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.callers.now_ms()
    }

    async fn start_worker(&self, address: SocketAddr) -> Result<WorkerStandIn> {
        let id = {
            let mut state = self.lock();
            state.next_number += 1;
            format!("i-{}", state.next_number)
        };
        let worker = WorkerStandIn::start_at(&id, address).await.map_err(|e| unavailable(&e))?;
        worker.set_service_time(REQUEST_TIME);
        worker.set_fatal_marker(FATAL_MARKER);
        worker.set_caller_cuts(&self.caller_cuts);
        self.store.put_json("servers", &id, &server_row(worker.address, "ready"));
        Ok(worker)
    }

    fn start_instance(&self, number: usize, is_first: bool) -> Result<()> {
        let from_ms = self.now_ms();
        let mut state = self.lock();
        let instance = &mut state.instances[number];
        instance.launch.settings["first_start"] = json!(is_first);
        instance.process = Some(Process::start(&instance.launch)?);
        let process_run = ProcessRun {
            instance: number,
            from_ms,
            term_ms: None,
            exited_ms: None,
            is_crash: false,
            peak_resident_bytes: 0,
        };
        state.history.process_runs.push(process_run);
        Ok(())
    }

    async fn wait_ready(&self) -> Result<()> {
        let ready = self.lock().instances.iter().map(|i| i.addresses.ready).collect::<Vec<_>>();
        let caller = Caller::default();
        let until = Instant::now() + START_TIMEOUT;
        for address in ready {
            while !caller.get(address, "/ready").await.is_ok_and(|r| r.status == 200) {
                if Instant::now() > until {
                    return Err(Error::new(
                        ErrorKind::AddressUnavailable,
                        format!("{address} was not ready in time"),
                    ));
                }
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Runs one step of the schedule until its end.
    ///
    /// # Errors
    ///
    /// When a process or a worker can't be started.
    pub async fn run_step(&self, step: Step) -> Result<()> {
        let length = Duration::from_millis(step.for_ms);
        match step.action {
            Action::Restart(number) => self.restart(number, Signal::TERM).await?,
            Action::Kill(number) => self.restart(number, Signal::KILL).await?,
            Action::Pause(number) => {
                self.disturb(Scope::Instance(number), "pause", length, |is_active| {
                    self.signal(number, if is_active { Signal::STOP } else { Signal::CONT });
                })
                .await;
            }
            Action::Reload(number) => {
                self.signal(number, Signal::HUP);
            }
            Action::StoreLink(number, fault) => {
                self.disturb(Scope::Instance(number), "store link", length, |is_active| {
                    self.relays[number].store.set_fault(if is_active { fault } else { LinkFault::None });
                })
                .await;
            }
            Action::CallerLink(number, fault) => {
                self.disturb(Scope::Instance(number), "caller link", length, |is_active| {
                    self.relays[number].callers.set_fault(if is_active { fault } else { LinkFault::None });
                })
                .await;
            }
            Action::PeerLink(number, fault) => {
                // Not recorded as a disturbance: the invariants must hold without what peers send to each
                // other.
                self.relays[number].peers.set_fault(fault);
                tokio::time::sleep(length).await;
                self.relays[number].peers.set_fault(LinkFault::None);
            }
            Action::Store(fault) => {
                self.disturb(Scope::Store, "store", length, |is_active| {
                    self.store.set_fault(if is_active { fault } else { RowStoreFault::None });
                })
                .await;
            }
            Action::ForgetHistory => {
                self.store.forget_history();
            }
            Action::RestoreStore => {
                self.restore_store(length).await;
            }
            Action::AddRoute => self.add_route_and_ask().await,
            Action::RemoveRoute => self.remove_route().await,
            Action::RouteStorm => self.add_routes_in_series().await,
            Action::GrowManifest => self.grow_manifest().await,
            Action::InvalidManifest(fault) => self.write_invalid_manifest(fault, length).await,
            Action::PowerLoss(delay_ms) => self.lose_power(Duration::from_millis(delay_ms)).await?,
            Action::Worker(number, mode) => {
                self.disturb_worker(number, "worker", length, |worker, is_active| {
                    worker.set_mode(if is_active { mode } else { WorkerMode::Serve });
                })
                .await;
            }
            Action::SlowWorker(number) => {
                self.disturb_worker(number, "slow worker", length, |worker, is_active| {
                    worker.set_service_time(if is_active { SLOW_REQUEST_TIME } else { REQUEST_TIME });
                    worker.set_reported_pace_percent(if is_active { 500 } else { 100 });
                })
                .await;
            }
            Action::LimitWorker(number, millis_per_s) => {
                self.limit_worker(number, f64::from(millis_per_s) / 1_000.0, length).await;
            }
            Action::FatalRequest(kind) => {
                let caller = run_fatal_caller(Arc::clone(&self.callers), kind, step.at_ms);
                self.fatal_callers.lock().unwrap_or_else(PoisonError::into_inner).spawn(caller);
            }
            Action::EndlessWorker(part) => self.add_endless_worker(part, length).await?,
            Action::CutFromWorkers(first, count, cut) => {
                self.cut_from_workers(first, count, cut, length).await;
            }
            Action::Drain(number) => self.drain(number).await?,
        }
        Ok(())
    }

    /// Cuts `count` instances off from all workers. This is no disturbance: the invariants must hold meanwhile.
    async fn cut_from_workers(&self, first: usize, count: usize, cut: CallerCut, length: Duration) {
        let total = self.relays.len();
        let instances = (first..first + count).map(|number| number % total).collect::<Vec<_>>();
        let source = |number: &usize| self.lock().instances[*number].addresses.callers.ip();
        let sources = instances.iter().map(source).collect::<Vec<_>>();
        let number = {
            let from_ms = self.now_ms();
            let mut state = self.lock();
            state.history.worker_cuts.push(WorkerCut { instances, from_ms, to_ms: u64::MAX });
            state.history.worker_cuts.len() - 1
        };
        let set = |cut| {
            for source in &sources {
                self.caller_cuts.set(*source, cut);
            }
        };
        set(Some(cut));
        tokio::time::sleep(length).await;
        set(None);
        let to_ms = self.now_ms();
        self.lock().history.worker_cuts[number].to_ms = to_ms;
    }

    /// Restores the store from a copy of age `age`; what was lost is written again shortly after.
    async fn restore_store(&self, age: Duration) {
        let copy = self.store.copy();
        tokio::time::sleep(age).await;
        let lost = Mutex::default();
        self.disturb(Scope::Store, "store restore", RESTORE_OUTAGE, |is_active| {
            if is_active {
                self.store.set_fault(RowStoreFault::Down);
            } else {
                *lost.lock().unwrap_or_else(PoisonError::into_inner) = self.store.restore(copy.clone());
                self.store.set_fault(RowStoreFault::None);
            }
        })
        .await;
        self.disturb(Scope::Store, "store restore", REWRITE_DELAY, |is_active| {
            if !is_active {
                self.store.write_again(&lost.lock().unwrap_or_else(PoisonError::into_inner));
            }
        })
        .await;
    }

    /// Activates a fault for a time and records the period as a disturbance.
    async fn disturb(&self, scope: Scope, name: &'static str, length: Duration, set_active: impl Fn(bool)) {
        let from_ms = self.now_ms();
        // Until the fault ends, the recorded period is open and excuses all that follows.
        let number = {
            let mut state = self.lock();
            state.history.disturbances.push(Disturbance { scope, name, from_ms, to_ms: u64::MAX });
            state.history.disturbances.len() - 1
        };
        set_active(true);
        tokio::time::sleep(length).await;
        set_active(false);
        let to_ms = self.now_ms();
        self.lock().history.disturbances[number].to_ms = to_ms;
    }

    async fn disturb_worker(
        &self,
        number: usize,
        name: &'static str,
        length: Duration,
        set_active: impl Fn(&WorkerStandIn, bool),
    ) {
        let id = self.lock().workers[number].id.clone();
        let set_active = |is_active| {
            let state = self.lock();
            // The worker may have been drained and replaced meanwhile.
            let mut all = state.workers.iter().chain(&state.retired_workers);
            if let Some(worker) = all.find(|w| w.id == id) {
                set_active(worker, is_active);
            }
        };
        self.disturb(Scope::Worker(id.clone()), name, length, set_active).await;
    }

    /// Makes a worker state a rate limit for a time, unless it states one already.
    async fn limit_worker(&self, number: usize, limit_per_s: f64, length: Duration) {
        let id = {
            let state = self.lock();
            let worker = &state.workers[number];
            if worker.rate_limit_per_s().is_some() {
                return;
            }
            worker.set_rate_limit_per_s(Some(limit_per_s));
            worker.id.clone()
        };
        let from_ms = self.now_ms();
        tokio::time::sleep(length).await;
        let to_ms = self.now_ms();
        let mut state = self.lock();
        // The worker may have been drained and replaced meanwhile.
        if let Some(worker) = state.workers.iter().chain(&state.retired_workers).find(|w| w.id == id) {
            worker.set_rate_limit_per_s(None);
        }
        state.history.rate_limits.push(RateLimitPeriod { worker: id, limit_per_s, from_ms, to_ms });
    }

    /// Adds a worker that sends bytes without end, for a time. What it gets is not recorded.
    async fn add_endless_worker(&self, part: EndlessPart, length: Duration) -> Result<()> {
        let id = {
            let mut state = self.lock();
            state.next_number += 1;
            format!("endless-{}", state.next_number)
        };
        let worker = EndlessTarget::start(&id, part).await.map_err(|e| unavailable(&e))?;
        self.store.put_json("servers", &id, &server_row(worker.address, "ready"));
        tokio::time::sleep(length).await;
        self.store.put_json("servers", &id, &server_row(worker.address, "draining"));
        tokio::time::sleep(DRAINED_SERVE_TIME).await;
        self.store.remove("servers", &id);
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(process) = &mut self.lock().instances[number].process {
            process.signal(signal);
        }
    }

    /// Sends a process a signal and starts the instance again once the process has exited.
    async fn restart(&self, number: usize, signal: Signal) -> Result<()> {
        if std::mem::replace(&mut self.lock().instances[number].is_restarting, true) {
            return Ok(());
        }
        let now_ms = self.now_ms();
        if signal == Signal::TERM
            && let Some(process_run) =
                self.lock().history.process_runs.iter_mut().rfind(|r| r.instance == number)
        {
            process_run.term_ms = Some(now_ms);
        }
        self.signal(number, signal);
        let grace_ms = bounds(1).grace_ms + 1_000;
        while !self.has_exited(number) {
            if self.now_ms() > now_ms + grace_ms {
                self.signal(number, Signal::KILL);
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        self.record_exit(number, false);
        tokio::time::sleep(RESTART_DELAY).await;
        let started = self.start_instance(number, false);
        self.lock().instances[number].is_restarting = false;
        started
    }

    fn has_exited(&self, number: usize) -> bool {
        self.lock().instances[number].process.as_mut().is_none_or(Process::has_exited)
    }

    fn record_exit(&self, number: usize, is_crash: bool) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.instances[number].process = None;
        if let Some(process_run) = state.history.process_runs.iter_mut().rfind(|r| r.instance == number) {
            process_run.exited_ms = Some(now_ms);
            process_run.is_crash = is_crash;
        }
    }

    /// Kills all instances at once, `delay` after a change of the routes, and starts them again.
    async fn lose_power(&self, delay: Duration) -> Result<()> {
        let valid = self.invalid_manifest.lock().await;
        let route = self.add_route();
        tokio::time::sleep(delay).await;
        let restarts = (0..self.relays.len()).map(|number| self.restart(number, Signal::KILL));
        for restarted in join_all(restarts).await {
            restarted?;
        }
        drop(valid);
        self.ask_for_added(&[route]).await;
        Ok(())
    }

    /// Restarts processes that exited without a signal, and records them as crashes, and the memory of all; never returns without an
    /// error.
    ///
    /// # Errors
    ///
    /// When a process can't be started.
    pub async fn restart_crashed(&self) -> Result<()> {
        loop {
            for number in 0..self.relays.len() {
                let is_running = {
                    let instance = &self.lock().instances[number];
                    !instance.is_restarting && instance.process.is_some()
                };
                if is_running && self.has_exited(number) {
                    self.record_exit(number, true);
                    self.start_instance(number, false)?;
                }
                self.record_memory(number);
            }
            self.replace_ended_workers().await?;
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Records the workers that have ended under a request, and replaces each a while later by one with another id.
    async fn replace_ended_workers(&self) -> Result<()> {
        let now_ms = self.now_ms();
        let returning = {
            let mut state = self.lock();
            let ended = state.workers.iter().filter(|w| w.has_ended()).map(|w| w.id.clone());
            for worker in ended.collect::<Vec<_>>() {
                if state.history.worker_ends.iter().all(|end| end.worker != worker) {
                    let scope = Scope::Worker(worker.clone());
                    let name = "worker end";
                    let from_ms = now_ms.saturating_sub(RUNNING_REQUEST_MS);
                    state.history.disturbances.push(Disturbance { scope, name, from_ms, to_ms: u64::MAX });
                    state.history.worker_ends.push(WorkerEnd { worker, at_ms: now_ms });
                }
            }
            let is_due = |id: &str| {
                let end = state.history.worker_ends.iter().find(|end| end.worker == id);
                end.is_some_and(|end| now_ms >= end.at_ms + WORKER_RETURN_MS)
            };
            state.workers.iter().filter(|w| is_due(&w.id)).map(|w| w.id.clone()).collect::<Vec<_>>()
        };
        for id in returning {
            self.store.remove("servers", &id);
            let new = self.start_worker(ANY_PORT).await?;
            let mut state = self.lock();
            if let Some(index) = state.workers.iter().position(|w| w.id == id) {
                let old = std::mem::replace(&mut state.workers[index], new);
                state.retired_workers.push(old);
            }
        }
        Ok(())
    }

    /// Records the memory that an instance uses if it is more than before.
    fn record_memory(&self, number: usize) {
        let mut state = self.lock();
        let process = state.instances[number].process.as_ref();
        let Some(bytes) = process.and_then(Process::resident_bytes) else { return };
        if let Some(process_run) = state.history.process_runs.iter_mut().rfind(|r| r.instance == number) {
            process_run.peak_resident_bytes = process_run.peak_resident_bytes.max(bytes);
        }
    }

    /// Replaces a worker, marks it as draining, removes it later, and then starts another worker at its
    /// address.
    async fn drain(&self, number: usize) -> Result<()> {
        let (id, address) = {
            let state = self.lock();
            (state.workers[number].id.clone(), state.workers[number].address)
        };
        let new = self.start_worker(ANY_PORT).await?;
        let old = std::mem::replace(&mut self.lock().workers[number], new);
        self.store.put_json("servers", &id, &server_row(address, "draining"));
        let acked_ms = self.now_ms();
        {
            let mut state = self.lock();
            state.history.drains.push(Drain { worker: id.clone(), acked_ms });
            state.retired_workers.push(old);
        }
        tokio::time::sleep(DRAINED_SERVE_TIME).await;
        self.store.remove("servers", &id);
        if let Some(worker) = self.lock().retired_workers.iter().find(|w| w.id == id) {
            worker.stop_accepting();
        }
        tokio::time::sleep(ADDRESS_REUSE).await;
        // Something else may use the address by now.
        if let Ok(worker) = self.start_worker(address).await {
            self.lock().workers.push(worker);
        }
        Ok(())
    }

    /// Kills all processes and returns the history.
    pub fn finish(self, undisturbed_from_ms: u64) -> History {
        let start = self.callers.start;
        drop(self.fatal_callers);
        let mut state = self.state.into_inner().unwrap_or_else(PoisonError::into_inner);
        state.instances.clear();
        let mut history = state.history;
        history.undisturbed_from_ms = undisturbed_from_ms;
        history.attempts =
            std::mem::take(&mut *self.callers.attempts.lock().unwrap_or_else(PoisonError::into_inner));
        for worker in state.workers.iter().chain(&state.retired_workers) {
            // Connections on which it would never answer would stay open.
            worker.end();
            let executed = worker.executed_requests().into_iter().map(|request| (request, true));
            let all = executed.chain(worker.refused_requests().into_iter().map(|request| (request, false)));
            history
                .arrivals
                .extend(all.map(|(request, was_run)| to_arrival(&worker.id, request, was_run, start)));
        }
        history
    }
}

fn to_arrival(worker: &str, request: WorkerRequest, was_run: bool, start: Instant) -> Arrival {
    let ms = |at: Instant| u64::try_from(at.duration_since(start).as_millis()).unwrap_or(u64::MAX);
    let request_line = request.head.lines().next().unwrap_or_default();
    Arrival {
        id: request.header("x-attempt-id").unwrap_or_default().to_owned(),
        worker: worker.to_owned(),
        request_line: request_line.trim_end_matches(" HTTP/1.1").to_owned(),
        at_ms: ms(request.received_at),
        ended_ms: request.ended_at.map(ms),
        body: request.body,
        was_run,
    }
}

fn settings(name: &str, own: &Addresses, seeds: &[SocketAddr], store: SocketAddr, instances: usize) -> Value {
    let bounds = bounds(instances);
    json!({
        "instance": name,
        "data_centre": "ost-a",
        "callers_address": own.callers,
        "ready_address": own.ready,
        "metrics_address": own.metrics,
        "peers_address": own.peers,
        "forward_address": SocketAddr::new(own.peers.ip(), FORWARD_PORT),
        "targets_source": own.peers.ip(),
        "peer_seeds": seeds,
        "place": "stadtwerke",
        "store_address": store,
        "grace_s": bounds.grace_ms as f64 / 1_000.0,
        "repeat_ratio": bounds.repeat_ratio,
        "repeat_window_s": bounds.repeat_window_ms as f64 / 1_000.0,
        "repeat_extra": bounds.repeat_extra,
        "probes_per_target_per_s": 60.0,
        "log_lines_per_s": 1_000,
    })
}

fn server_row(address: SocketAddr, state: &str) -> Value {
    json!({
        "address": address,
        "info": {"service": "plan", "version": "v1", "zone": "ost-a", "slots": 3},
        "status": {"state": state, "seq": 1, "warmupLeftS": 0},
        "born": 1_780_000_000_000_u64,
    })
}
