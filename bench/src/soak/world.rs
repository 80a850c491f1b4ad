//! The deployment of a soak: stand-ins of the store and workers, relays, gateways as processes, and an operator.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use arbutusshelf::error::{Error, ErrorKind, Result};
use rustix::process::Signal;
use serde_json::{Value, json};

use super::{
    callers::{HOST, Shared, TIMEOUT_MS},
    checker::Bounds,
    history::{Arrival, Boot, Disturbance, Drain, History, RouteLife, Scope},
    instance::{Addresses, Launch, Process},
    plan::{Action, Step},
};
use crate::{
    client::Caller,
    deployment::ANY_PORT,
    relay::{LinkFault, Relay},
    rows::{RowStoreFault, RowStoreStandIn},
    worker::{WorkerMode, WorkerRequest, WorkerStandIn},
};

/// Instances that others may follow, as on the users' platform.
const MOST_SEEDS: usize = 3;

/// Ports of an instance for callers, readiness, metrics and peers.
const PORTS: [u16; 4] = [8_126, 8_125, 9_464, 8_122];

/// Usual time of a request at a worker.
const WORK: Duration = Duration::from_millis(25);

/// Time of a request on a slow machine.
const SLOW_WORK: Duration = Duration::from_millis(125);

/// Longest wait for the instances to be ready at the start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Time between two looks at a process or at readiness.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Time for which a killed instance stays down.
const DOWN: Duration = Duration::from_millis(400);

/// Time for which a worker that drained still serves, as on the users' platform.
const SERVES_ON: Duration = Duration::from_millis(2_600);

/// Time after which an address is given to another worker, as on the users' platform.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);

/// Time for which a removed route is still called.
const CALLED_ON: Duration = Duration::from_secs(5);

/// Returns the bounds of the users' settings, with the repeats that a small deployment may spend besides.
pub fn bounds(instances: usize) -> Bounds {
    Bounds {
        contact_ms: 3_000,
        drain_ms: 2_000,
        apply_ms: 2_000,
        rollback_ms: 250,
        grace_ms: 6_000,
        repeat_ratio: 0.2,
        repeat_extra: 4.0 * instances as f64,
        repeat_window_ms: 10_000,
    }
}

#[derive(Debug)]
struct Instance {
    addresses: Addresses,
    launch: Launch,
    process: Option<Process>,
    is_busy: bool,
}

/// Relays in front of one instance, and between it and the store.
#[derive(Debug)]
struct Links {
    callers: Relay,
    peers: Relay,
    store: Relay,
}

#[derive(Debug)]
struct State {
    instances: Vec<Instance>,
    workers: Vec<WorkerStandIn>,
    /// Workers that have left, with what they ran.
    left: Vec<WorkerStandIn>,
    history: History,
    manifest_version: u32,
    next_number: usize,
}

/// The deployment.
#[derive(Debug)]
pub struct World {
    /// What callers share.
    pub callers: Arc<Shared>,
    store: RowStoreStandIn,
    links: Vec<Links>,
    state: Mutex<State>,
}

fn unavailable(e: &std::io::Error) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}

/// Returns an address of one of this soak's hosts: each instance has its own, as on the users' platform.
///
/// Ports below those that the system gives to outgoing connections stay free while an instance is down.
fn address(host: usize, port: u16) -> SocketAddr {
    let run = std::process::id();
    let [_, _, high, low] = run.to_be_bytes();
    (Ipv4Addr::new(127, 100 + high % 100, low, u8::try_from(host + 1).unwrap_or(u8::MAX)), port).into()
}

impl World {
    /// Starts everything and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Why a part did not start.
    pub async fn start(
        binary: PathBuf,
        directory: PathBuf,
        instances: usize,
        workers: usize,
    ) -> Result<Self> {
        let io = |e: std::io::Error| unavailable(&e);
        let store = RowStoreStandIn::start().await.map_err(io)?;
        // Seeds are sorted by address. An instance knows itself by its own address and the others by their relays', so
        // relays and instances alternate.
        let mut links = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..instances {
            let (relay, own) = (2 * number, 2 * number + 1);
            let [callers, ready, metrics, peers] = PORTS.map(|port| address(own, port));
            links.push(Links {
                callers: Relay::start(callers).await.map_err(io)?,
                peers: Relay::start_at(address(relay, peers.port()), peers).await.map_err(io)?,
                store: Relay::start(store.server.address).await.map_err(io)?,
            });
            addresses.push(Addresses { callers, ready, metrics, peers });
        }
        let relays = links.iter().take(MOST_SEEDS).map(|l| l.peers.address).collect::<Vec<_>>();
        let shared = Shared {
            start: Instant::now(),
            instances: links.iter().map(|l| l.callers.address).collect(),
            prefixes: Mutex::default(),
            attempts: Mutex::default(),
        };
        let instances = addresses.iter().enumerate().map(|(number, addresses)| {
            let mut seeds = relays.clone();
            if let Some(own) = seeds.get_mut(number) {
                *own = addresses.peers;
            }
            let name = format!("gateway-{number}");
            let settings = settings(&name, addresses, &seeds, links[number].store.address, links.len());
            let launch = Launch { binary: binary.clone(), settings, directory: directory.clone(), name };
            Instance { addresses: *addresses, launch, process: None, is_busy: false }
        });
        let state = State {
            instances: instances.collect(),
            workers: Vec::new(),
            left: Vec::new(),
            history: History::default(),
            manifest_version: 0,
            next_number: 0,
        };
        let world = Self { callers: Arc::new(shared), store, links, state: Mutex::new(state) };
        world.put_manifest();
        for _ in 0..workers {
            let worker = world.new_worker(ANY_PORT).await?;
            world.lock().workers.push(worker);
        }
        for number in 0..world.links.len() {
            world.boot(number, true)?;
        }
        world.wait_ready().await?;
        Ok(world)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.callers.now_ms()
    }

    async fn new_worker(&self, address: SocketAddr) -> Result<WorkerStandIn> {
        let id = {
            let mut state = self.lock();
            state.next_number += 1;
            format!("i-{}", state.next_number)
        };
        let worker = WorkerStandIn::start_at(&id, address).await.map_err(|e| unavailable(&e))?;
        worker.set_service_time(WORK);
        self.store.put_json("servers", &id, &entry(worker.address, "ready"));
        Ok(worker)
    }

    fn boot(&self, number: usize, is_first: bool) -> Result<()> {
        let from_ms = self.now_ms();
        let mut state = self.lock();
        let instance = &mut state.instances[number];
        instance.launch.settings["first_start"] = json!(is_first);
        instance.process = Some(Process::start(&instance.launch)?);
        let boot = Boot { instance: number, from_ms, term_ms: None, gone_ms: None, is_crash: false };
        state.history.boots.push(boot);
        Ok(())
    }

    async fn wait_ready(&self) -> Result<()> {
        let ready = self.lock().instances.iter().map(|i| i.addresses.ready).collect::<Vec<_>>();
        let caller = Caller::default();
        let until = Instant::now() + START_LIMIT;
        for address in ready {
            while !caller.get(address, "/ready").await.is_ok_and(|r| r.status == 200) {
                if Instant::now() > until {
                    return Err(Error::new(
                        ErrorKind::AddressUnavailable,
                        format!("{address} did not get ready"),
                    ));
                }
                tokio::time::sleep(LOOK_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Carries out one step, with its end.
    ///
    /// # Errors
    ///
    /// Why a process or worker could not be started.
    pub async fn carry_out(&self, step: Step) -> Result<()> {
        let length = Duration::from_millis(step.for_ms);
        match step.action {
            Action::Restart(number) => self.restart(number, Signal::TERM).await,
            Action::Kill(number) => self.restart(number, Signal::KILL).await,
            Action::Pause(number) => {
                self.disturb(Scope::Instance(number), "pause", length, |on| {
                    self.signal(number, if on { Signal::STOP } else { Signal::CONT });
                })
                .await;
                Ok(())
            }
            Action::Reload(number) => {
                self.signal(number, Signal::HUP);
                Ok(())
            }
            Action::StoreLink(number, fault) => {
                self.disturb(Scope::Instance(number), "store link", length, |on| {
                    self.links[number].store.set_fault(if on { fault } else { LinkFault::None });
                })
                .await;
                Ok(())
            }
            Action::CallerLink(number, fault) => {
                self.disturb(Scope::Instance(number), "caller link", length, |on| {
                    self.links[number].callers.set_fault(if on { fault } else { LinkFault::None });
                })
                .await;
                Ok(())
            }
            Action::PeerLink(number, fault) => {
                // No excuse for anyone: what others pass on is a help only.
                self.links[number].peers.set_fault(fault);
                tokio::time::sleep(length).await;
                self.links[number].peers.set_fault(LinkFault::None);
                Ok(())
            }
            Action::Store(fault) => {
                self.disturb(Scope::Store, "store", length, |on| {
                    self.store.set_fault(if on { fault } else { RowStoreFault::None });
                })
                .await;
                Ok(())
            }
            Action::ForgetHistory => {
                self.store.forget_history();
                Ok(())
            }
            Action::Worker(number, mode) => {
                self.disturb_worker(number, "worker", length, |worker, on| {
                    worker.set_mode(if on { mode } else { WorkerMode::Serve });
                })
                .await;
                Ok(())
            }
            Action::SlowWorker(number) => {
                self.disturb_worker(number, "slow worker", length, |worker, on| {
                    worker.set_service_time(if on { SLOW_WORK } else { WORK });
                    worker.set_reported_pace_percent(if on { 500 } else { 100 });
                })
                .await;
                Ok(())
            }
            Action::Drain(number) => self.drain(number).await,
            Action::AddRoute => {
                self.add_route();
                Ok(())
            }
            Action::RemoveRoute => {
                self.remove_route().await;
                Ok(())
            }
        }
    }

    /// Turns something on and off again, and notes the time between.
    async fn disturb(&self, scope: Scope, name: &'static str, length: Duration, turn: impl Fn(bool)) {
        let from_ms = self.now_ms();
        // An end that never comes would excuse everything after it, as it should.
        let number = {
            let mut state = self.lock();
            state.history.disturbances.push(Disturbance { scope, name, from_ms, to_ms: u64::MAX });
            state.history.disturbances.len() - 1
        };
        turn(true);
        tokio::time::sleep(length).await;
        turn(false);
        let to_ms = self.now_ms();
        self.lock().history.disturbances[number].to_ms = to_ms;
    }

    async fn disturb_worker(
        &self,
        number: usize,
        name: &'static str,
        length: Duration,
        turn: impl Fn(&WorkerStandIn, bool),
    ) {
        let id = self.lock().workers[number].id.clone();
        let turn = |on| {
            let state = self.lock();
            // It may have left meanwhile, and its place have been taken.
            let mut all = state.workers.iter().chain(&state.left);
            if let Some(worker) = all.find(|w| w.id == id) {
                turn(worker, on);
            }
        };
        self.disturb(Scope::Worker(id.clone()), name, length, turn).await;
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(process) = &mut self.lock().instances[number].process {
            process.signal(signal);
        }
    }

    /// Ends a process by a signal and starts it again once it is gone.
    async fn restart(&self, number: usize, signal: Signal) -> Result<()> {
        if std::mem::replace(&mut self.lock().instances[number].is_busy, true) {
            return Ok(());
        }
        let now_ms = self.now_ms();
        if signal == Signal::TERM
            && let Some(boot) = self.lock().history.boots.iter_mut().rfind(|b| b.instance == number)
        {
            boot.term_ms = Some(now_ms);
        }
        self.signal(number, signal);
        let grace_ms = bounds(1).grace_ms + 1_000;
        while !self.has_ended(number) {
            if self.now_ms() > now_ms + grace_ms {
                self.signal(number, Signal::KILL);
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
        self.note_gone(number, false);
        tokio::time::sleep(DOWN).await;
        let booted = self.boot(number, false);
        self.lock().instances[number].is_busy = false;
        booted
    }

    fn has_ended(&self, number: usize) -> bool {
        self.lock().instances[number].process.as_mut().is_none_or(Process::has_ended)
    }

    fn note_gone(&self, number: usize, is_crash: bool) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.instances[number].process = None;
        if let Some(boot) = state.history.boots.iter_mut().rfind(|b| b.instance == number) {
            boot.gone_ms = Some(now_ms);
            boot.is_crash = is_crash;
        }
    }

    /// Looks for processes that ended by themselves, and starts them again; runs until dropped.
    ///
    /// # Errors
    ///
    /// Why a process could not be started.
    pub async fn watch(&self) -> Result<()> {
        loop {
            for number in 0..self.links.len() {
                let is_running = {
                    let instance = &self.lock().instances[number];
                    !instance.is_busy && instance.process.is_some()
                };
                if is_running && self.has_ended(number) {
                    self.note_gone(number, true);
                    self.boot(number, false)?;
                }
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }

    async fn drain(&self, number: usize) -> Result<()> {
        let (id, address) = {
            let state = self.lock();
            (state.workers[number].id.clone(), state.workers[number].address)
        };
        let new = self.new_worker(ANY_PORT).await?;
        let old = std::mem::replace(&mut self.lock().workers[number], new);
        self.store.put_json("servers", &id, &entry(address, "draining"));
        let acked_ms = self.now_ms();
        {
            let mut state = self.lock();
            state.history.drains.push(Drain { worker: id.clone(), acked_ms });
            state.left.push(old);
        }
        tokio::time::sleep(SERVES_ON).await;
        self.store.remove("servers", &id);
        if let Some(worker) = self.lock().left.iter().find(|w| w.id == id) {
            worker.stop_accepting();
        }
        tokio::time::sleep(ADDRESS_REUSE).await;
        // The address may be taken by something else by now.
        if let Ok(worker) = self.new_worker(address).await {
            self.lock().workers.push(worker);
        }
        Ok(())
    }

    fn add_route(&self) {
        let prefix = {
            let mut state = self.lock();
            state.next_number += 1;
            format!("/route-{}/", state.next_number)
        };
        // In the list before it is in force, so that the first calls come early.
        let life = RouteLife { prefix: prefix.clone(), added_ms: u64::MAX / 2, removed_ms: None };
        let place = {
            let mut state = self.lock();
            state.history.routes.push(life);
            state.history.routes.len() - 1
        };
        self.put_manifest();
        let added_ms = self.now_ms();
        self.lock().history.routes[place].added_ms = added_ms;
        self.callers.prefixes.lock().unwrap_or_else(PoisonError::into_inner).push(prefix);
    }

    async fn remove_route(&self) {
        let place = self.lock().history.routes.iter().position(|r| r.removed_ms.is_none());
        let Some(place) = place else { return };
        let (before_ms, prefix) = (self.now_ms(), self.lock().history.routes[place].prefix.clone());
        self.lock().history.routes[place].removed_ms = Some(before_ms);
        self.put_manifest();
        let removed_ms = self.now_ms();
        self.lock().history.routes[place].removed_ms = Some(removed_ms);
        tokio::time::sleep(CALLED_ON).await;
        self.callers.prefixes.lock().unwrap_or_else(PoisonError::into_inner).retain(|p| *p != prefix);
    }

    /// Writes the manifest with all routes that live.
    fn put_manifest(&self) {
        let mut state = self.lock();
        state.manifest_version += 1;
        let live = state.history.routes.iter().filter(|r| r.removed_ms.is_none());
        let mut resources =
            vec![route("read", "/read/", "idempotent"), route("charge", "/charge/", "non_idempotent")];
        resources.extend(live.map(|r| route(r.prefix.trim_matches('/'), &r.prefix, "idempotent")));
        resources.push(json!({"resourceKind": "services", "metadata": {"name": "plan"}, "spec": {
            "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false,
        }}));
        resources.push(json!({"resourceKind": "limits", "metadata": {}, "spec": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3, "idleTimeoutS": 15,
        }}));
        let version = format!("{:08x}", state.manifest_version);
        // Written under the lock: versions reach the store in their order.
        self.store.put_json("op", "config", &json!({"version": version, "resources": resources}));
    }

    /// Ends all processes and returns what was seen.
    pub fn finish(self, calm_ms: u64) -> History {
        let start = self.callers.start;
        let mut state = self.state.into_inner().unwrap_or_else(PoisonError::into_inner);
        state.instances.clear();
        let mut history = state.history;
        history.calm_ms = calm_ms;
        history.attempts =
            std::mem::take(&mut *self.callers.attempts.lock().unwrap_or_else(PoisonError::into_inner));
        for worker in state.workers.iter().chain(&state.left) {
            let runs = worker.executed_requests().into_iter().map(|run| (run, true));
            let all = runs.chain(worker.refused_requests().into_iter().map(|run| (run, false)));
            history.arrivals.extend(all.map(|(run, is_run)| arrival(&worker.id, run, is_run, start)));
        }
        history
    }
}

fn arrival(worker: &str, run: WorkerRequest, is_run: bool, start: Instant) -> Arrival {
    let ms = |at: Instant| u64::try_from(at.duration_since(start).as_millis()).unwrap_or(u64::MAX);
    let line = run.head.lines().next().unwrap_or_default();
    Arrival {
        id: run.header("x-attempt-id").unwrap_or_default().to_owned(),
        worker: worker.to_owned(),
        line: line.trim_end_matches(" HTTP/1.1").to_owned(),
        at_ms: ms(run.received_at),
        ended_ms: run.ended_at.map(ms),
        body: run.body,
        is_run,
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

fn route(name: &str, prefix: &str, kind: &str) -> Value {
    json!({"resourceKind": "routes", "metadata": {"name": name}, "spec": {
        "host": HOST, "prefix": prefix, "kind": kind, "service": "plan", "priority": 1,
        "timeoutS": TIMEOUT_MS as f64 / 1_000.0, "objectiveS": 0.3, "maxAttempts": 2,
    }})
}

fn entry(address: SocketAddr, state: &str) -> Value {
    json!({
        "address": address,
        "info": {"service": "plan", "version": "v1", "zone": "ost-a", "slots": 3},
        "status": {"state": state, "seq": 1, "warmupLeftS": 0},
        "born": 1_780_000_000_000_u64,
    })
}
