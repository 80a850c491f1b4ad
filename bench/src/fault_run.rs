//! At-most-once calls under faults of the store, the targets and their connections at once.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{client, submit::Accepted},
    claims::row_key,
    decide::claim::{ClaimRow, ClaimState},
    error::{Error, ErrorKind, Result},
    proxy::headers::{ATTEMPT, IDEMPOTENCY_KEY},
    units::ServiceName,
};
use argh::FromArgs;
use bytes::Bytes;
use derive_more::AddAssign;
use futures::future::join_all;
use http_body_util::Full;
use hyper::{Method, Request};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    client::{Caller, Received},
    deployment::{ANY_PORT, Deployment, LocalInstance, Targets},
    platform::{Faults, PlatformStandIn},
    relay::{LinkFault, Relay},
    target::content,
};

/// Time for which one set of faults is in force.
const FAULT_PERIOD: Duration = Duration::from_millis(300);

/// Time within which every key must settle once all faults have ended.
const SETTLE_LIMIT: Duration = Duration::from_mins(1);

/// Time within which the instances must have the plan in force.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Calls with one key, one after the other, while faults go on.
const TRIES: u32 = 3;

/// Share of keys whose first call is sent to two instances at once.
const SHARE_AT_ONCE: f64 = 0.3;

/// Bytes of the larger answers; beyond what a row holds.
const LARGE_BYTES: usize = 40_000;

/// Run at-most-once calls under all faults at once and check the promises by the targets' logs.
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "fault-run")]
pub struct Args {
    /// idempotency keys; each is sent up to six times
    #[argh(option, default = "10000")]
    pub calls: usize,
    /// seed of keys and faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// instances
    #[argh(option, default = "4")]
    pub instances: usize,
    /// callers at once
    #[argh(option, default = "96")]
    pub callers: usize,
}

/// What was counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, AddAssign)]
pub struct Counts {
    /// Calls sent.
    pub calls: u64,
    /// Calls told ran.
    pub ran: u64,
    /// Of these, answers that were stored.
    pub stored: u64,
    /// Calls told not-run.
    pub not_run: u64,
    /// Calls told unknown.
    pub unknown: u64,
    /// Calls that got no whole answer.
    pub no_answer: u64,
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Answers not-run to a call whose key had run before the call began.
    pub not_run_after_run: u64,
    /// Keys that ran and whose every call was told not-run.
    pub not_run_only: u64,
    /// Answers not-run to a call beside which another call of the key, begun before its end, ran.
    pub not_run_beside_run: u64,
    /// Keys told ran with a success that never ran.
    pub ran_without_run: u64,
    /// Answers told ran with a body that is not the target's.
    pub wrong_bodies: u64,
    /// Keys whose row is open after the limit.
    pub open_keys: u64,
    /// Keys whose last call, after the faults, was told nothing final.
    pub unsettled_calls: u64,
    /// Keys whose row says that they were sent without an answer.
    pub unsettled_rows: u64,
    /// Keys that ran.
    pub keys_run: u64,
}

impl Counts {
    /// Returns the names of the promises that were broken.
    pub fn broken(&self) -> Vec<&'static str> {
        let promises = [
            ("double runs", self.double_runs),
            ("not-run for a key that had run", self.not_run_after_run),
            ("not-run alone for a key that ran", self.not_run_only),
            ("ran for a key that did not run", self.ran_without_run),
            ("wrong bodies", self.wrong_bodies),
            ("open keys", self.open_keys),
            ("keys without a final answer", self.unsettled_calls),
        ];
        promises.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
    }
}

/// Runs the experiment and prints its counts.
///
/// # Errors
///
/// When a stand-in or an instance can't be started.
pub async fn run(args: &Args) -> Result<Counts> {
    let started = Instant::now();
    let stage = Arc::new(Stage::start(args).await?);
    let faults = tokio::spawn(Arc::clone(&stage).run_faults(args.seed));
    let workers = (0..args.callers).map(|n| tokio::spawn(Arc::clone(&stage).run_caller(n as u64)));
    join_all(workers).await;
    stage.ended.store(true, Ordering::Release);
    faults.await.map_err(|e| unavailable(&e))?;
    println!("calls under faults took {:.1} s", started.elapsed().as_secs_f64());
    let settle_started = Instant::now();
    stage.settle(args.callers).await;
    println!("settling took {:.1} s", settle_started.elapsed().as_secs_f64());
    let counts = stage.count();
    println!("{counts:#?}");
    println!("platform {:?}", stage.platform.counts());
    println!("broken promises: {:?}", counts.broken());
    Ok(counts)
}

fn unavailable(e: &impl ToString) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}

/// One key with what its calls were told.
#[derive(Debug, Clone, Default)]
struct KeyLog {
    /// Calls told ran.
    ran: u64,
    not_run: u64,
    others: u64,
    /// Whether a call was passed a success of the target.
    succeeded: bool,
    counts: Counts,
    /// Whether the call after the faults was told ran or that the key is unsettled for good.
    last_outcome: String,
}

struct Stage {
    args: Args,
    platform: PlatformStandIn,
    targets: Targets,
    relays: Vec<Relay>,
    instances: Vec<LocalInstance>,
    caller: Caller,
    next_key: AtomicUsize,
    logs: Mutex<Vec<KeyLog>>,
    ended: AtomicBool,
}

/// One at-most-once request.
struct Charge {
    service: &'static str,
    number: usize,
    path: String,
    body_bytes: Option<usize>,
}

impl Charge {
    fn new(number: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ (number as u64) << 20);
        let service = if rng.random_bool(0.5) { "mietkasse" } else { "paarbuch" };
        let route = if service == "mietkasse" { "charges" } else { "confirmations" };
        let body_bytes = match rng.random_range(0..10) {
            0 => Some(LARGE_BYTES),
            1..=3 => Some(rng.random_range(1..2_000)),
            _ => None,
        };
        let query = body_bytes.map_or_else(String::new, |n| format!("&bytes={n}"));
        let work_us = rng.random_range(200..4_000);
        let path = format!("/{service}/{route}/{number}?work_us={work_us}{query}");
        Self { service, number, path, body_bytes }
    }

    fn key(&self) -> String {
        format!("key-{}", self.number)
    }

    fn expected(&self) -> Bytes {
        let path = self.path.split('?').next().unwrap_or_default();
        match self.body_bytes {
            Some(size) => content(path, size),
            None => Bytes::from(format!("\"{path}\"")),
        }
    }

    fn request(&self, instance: &LocalInstance, attempt: u32) -> Option<Request<Full<Bytes>>> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", instance.callers(), self.path))
            .header(IDEMPOTENCY_KEY, self.key());
        let request = if attempt > 0 { request.header(ATTEMPT, attempt) } else { request };
        request.body(Full::new(Bytes::from(format!("{{\"amount\":{}}}", self.number)))).ok()
    }
}

impl Stage {
    async fn start(args: &Args) -> Result<Self> {
        let platform = PlatformStandIn::start(ANY_PORT, args.seed).await.map_err(|e| unavailable(&e))?;
        let mut targets = Targets::start(Deployment::Kremsau).await.map_err(|e| unavailable(&e))?;
        let mut relays = Vec::new();
        for (_, target) in &targets.stand_ins {
            let relay = Relay::start(target.server.address).await.map_err(|e| unavailable(&e))?;
            let (own, relayed) = (format!(",{},", target.server.address), format!(",{},", relay.address));
            targets.sheet = targets.sheet.replace(&own, &relayed);
            relays.push(relay);
        }
        targets.sheet = targets
            .sheet
            .replace("max_instances,18", &format!("max_instances,{}", args.instances))
            .replace("mietkasse,5000,0.1,100,720,0,", "mietkasse,2000,0.1,300,720,1,")
            .replace("paarbuch,5000,0.1,100,720,0,", "paarbuch,2000,0.1,300,720,0,");
        let plan = Deployment::Kremsau.plan();
        let mut instances = Vec::new();
        for spec in plan.instances.iter().take(args.instances) {
            let (id, data_centre) = (spec.id.as_str(), spec.data_centre.as_str());
            instances.push(LocalInstance::start(id, data_centre, platform.server.address).await?);
        }
        let stage = Self {
            args: args.clone(),
            platform,
            targets,
            relays,
            instances,
            caller: Caller::default(),
            next_key: AtomicUsize::new(0),
            logs: Mutex::new(vec![KeyLog::default(); args.calls]),
            ended: AtomicBool::new(false),
        };
        stage.submit().await?;
        Ok(stage)
    }

    async fn submit(&self) -> Result<()> {
        let started = Instant::now();
        let sheet = Bytes::from(self.targets.sheet.clone());
        let admin = self.instances[0].admin();
        let path = "/plan/submit?change-id=fault-run";
        client::call::<Accepted>(Method::POST, admin, path, None, sheet).await?;
        let in_force = |i: &LocalInstance| i.kernel.admit().is_ok();
        while !self.instances.iter().all(in_force) && started.elapsed() < READY_LIMIT {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    async fn run_faults(self: Arc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.ended.load(Ordering::Acquire) {
            self.platform.set_faults(store_faults(&mut rng));
            for (relay, (_, target)) in self.relays.iter().zip(&self.targets.stand_ins) {
                relay.set_fault(link_fault(&mut rng));
                let (sheds, fails) = (rng.random_bool(0.1), rng.random_bool(0.05));
                let slowdown = if rng.random_bool(0.1) { 100.0 } else { 1.0 };
                target.set_behaviour(|b| {
                    b.shed = sheds;
                    b.fail_fast = fails;
                    b.slowdown = slowdown;
                });
            }
            tokio::time::sleep(FAULT_PERIOD).await;
        }
        self.end_faults();
    }

    fn end_faults(&self) {
        self.platform.set_faults(Faults::default());
        for (relay, (_, target)) in self.relays.iter().zip(&self.targets.stand_ins) {
            relay.set_fault(LinkFault::None);
            target.set_behaviour(|b| *b = super::target::Behaviour::default());
        }
    }

    async fn run_caller(self: Arc<Self>, number: u64) {
        let mut rng = SmallRng::seed_from_u64(self.args.seed.rotate_left(32) ^ number);
        loop {
            let key = self.next_key.fetch_add(1, Ordering::Relaxed);
            if key >= self.args.calls {
                return;
            }
            let charge = Charge::new(key, self.args.seed);
            self.charge(&charge, &mut rng).await;
        }
    }

    /// Sends one key until it is told ran, a few times at most.
    async fn charge(&self, charge: &Charge, rng: &mut SmallRng) {
        for attempt in 0..TRIES {
            let first = rng.random_range(0..self.instances.len());
            let at_once = attempt == 0 && rng.random_bool(SHARE_AT_ONCE);
            let other = (first + 1) % self.instances.len();
            let outcome = if at_once {
                let both = [self.call(charge, first, 0), self.call(charge, other, 1)];
                join_all(both).await.into_iter().max().unwrap_or_default()
            } else {
                self.call(charge, first, attempt).await
            };
            if outcome == "ran" {
                return;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
        }
    }

    fn log(&self, key: usize, note: impl FnOnce(&mut KeyLog)) {
        let mut logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        note(&mut logs[key]);
    }

    /// Sends one call and returns its outcome, empty without an answer.
    async fn call(&self, charge: &Charge, instance: usize, attempt: u32) -> String {
        let Some(request) = charge.request(&self.instances[instance], attempt) else {
            return String::new();
        };
        let key = charge.key();
        let ran_before = self.targets.runs_of(&key) > 0;
        let result = self.caller.send(request).await;
        let ran_now = self.targets.runs_of(&key) > 0;
        let outcome = result.as_ref().map(|r| r.outcome().to_owned()).unwrap_or_default();
        self.log(charge.number, |log| {
            log.counts.calls += 1;
            match &result {
                Ok(received) => note(log, charge, received),
                Err(_) => log.counts.no_answer += 1,
            }
            let not_run = outcome == "not-run";
            log.counts.not_run_after_run += u64::from(not_run && ran_before);
            log.counts.not_run_beside_run += u64::from(not_run && ran_now && !ran_before);
            log.last_outcome = match &result {
                Ok(r) if r.cause() == "key-unsettled" => r.cause().to_owned(),
                _ => outcome.clone(),
            };
        });
        outcome
    }

    /// Sends every key once more without faults, and waits until no row is open.
    async fn settle(self: &Arc<Self>, callers: usize) {
        let started = Instant::now();
        while self.open_keys() > 0 && started.elapsed() < SETTLE_LIMIT {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let next = Arc::new(AtomicUsize::new(0));
        let workers = (0..callers).map(|_| {
            let (stage, next) = (Arc::clone(self), Arc::clone(&next));
            tokio::spawn(async move {
                loop {
                    let key = next.fetch_add(1, Ordering::Relaxed);
                    if key >= stage.args.calls {
                        return;
                    }
                    let charge = Charge::new(key, stage.args.seed);
                    stage.call_until_final(&charge, started).await;
                }
            })
        });
        join_all(workers).await;
        while self.open_keys() > 0 && started.elapsed() < SETTLE_LIMIT {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    async fn call_until_final(&self, charge: &Charge, started: Instant) {
        let instance = charge.number % self.instances.len();
        while self.call(charge, instance, TRIES).await == "not-run" && started.elapsed() < SETTLE_LIMIT {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn state(&self, charge: &Charge) -> Option<ClaimState> {
        let service = charge.service.parse::<ServiceName>().ok()?;
        let row = self.platform.inspect(|store| store.get(&row_key(&service, &charge.key())))?;
        serde_json::from_slice::<ClaimRow>(&row.value).ok().map(|r| r.state)
    }

    fn open_keys(&self) -> usize {
        let charges = (0..self.args.calls).map(|n| Charge::new(n, self.args.seed));
        charges.filter(|c| self.state(c) == Some(ClaimState::Open)).count()
    }

    fn count(&self) -> Counts {
        let logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sum = Counts::default();
        for (number, log) in logs.iter().enumerate() {
            let charge = Charge::new(number, self.args.seed);
            let runs = self.targets.runs_of(&charge.key());
            let state = self.state(&charge);
            sum += log.counts;
            sum.keys_run += u64::from(runs > 0);
            sum.double_runs += u64::from(runs > 1);
            sum.not_run_only += u64::from(runs > 0 && log.not_run > 0 && log.ran + log.others == 0);
            sum.ran_without_run += u64::from(runs == 0 && log.succeeded);
            sum.open_keys += u64::from(state == Some(ClaimState::Open));
            sum.unsettled_rows += u64::from(state == Some(ClaimState::Unsettled));
            sum.unsettled_calls += u64::from(!matches!(log.last_outcome.as_str(), "ran" | "key-unsettled"));
        }
        sum
    }
}

fn note(log: &mut KeyLog, charge: &Charge, received: &Received) {
    match received.outcome() {
        "ran" => {
            log.ran += 1;
            log.counts.ran += 1;
            log.counts.stored += u64::from(received.headers.contains_key("arbutusshelf-stored"));
            let is_answer = received.status == 200;
            log.succeeded |= is_answer;
            log.counts.wrong_bodies += u64::from(is_answer && received.body != charge.expected());
        }
        "not-run" => {
            log.not_run += 1;
            log.counts.not_run += 1;
        }
        _ => {
            log.others += 1;
            log.counts.unknown += 1;
        }
    }
}

fn store_faults(rng: &mut SmallRng) -> Faults {
    let mut share = |likely: f64, share: f64| if rng.random_bool(likely) { share } else { 0.0 };
    let (lost, refused) = (share(0.4, 0.3), share(0.3, 0.3));
    let (delayed, doubled) = (share(0.4, 0.3), share(0.3, 0.3));
    Faults {
        down: rng.random_bool(0.15),
        slow_ms: if rng.random_bool(0.2) { rng.random_range(10..700) } else { 0 },
        lose_write_replies: lost,
        refuse_writes: refused,
        delay_writes: delayed,
        delay_ms: rng.random_range(100..4_000),
        double_writes: doubled,
        max_writes_per_s: if rng.random_bool(0.2) { 50 } else { 400 },
        ..Faults::default()
    }
}

fn link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..20) {
        0 => LinkFault::Killed,
        1 => LinkFault::CutBeforeAnswer,
        2 => LinkFault::CutInAnswer,
        3 => LinkFault::Hold,
        _ => LinkFault::None,
    }
}
