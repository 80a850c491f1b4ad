//! At-most-once calls under faults of the store, the targets and their connections at once.

mod charge;
mod counts;

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
    units::ServiceName,
};
use argh::FromArgs;
use bytes::Bytes;
use futures::future::join_all;
use hyper::Method;
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use self::counts::Counts;
use self::{
    charge::Charge,
    counts::{KeyLog, note},
};
use crate::{
    client::Caller,
    deployment::{ANY_PORT, Deployment, InProcessInstance, TargetStandIns},
    platform::{Faults, PlatformStandIn},
    relay::{LinkFault, Relay},
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

struct Stage {
    args: Args,
    platform: PlatformStandIn,
    targets: TargetStandIns,
    relays: Vec<Relay>,
    instances: Vec<InProcessInstance>,
    caller: Caller,
    next_key: AtomicUsize,
    logs: Mutex<Vec<KeyLog>>,
    ended: AtomicBool,
}

impl Stage {
    async fn start(args: &Args) -> Result<Self> {
        let platform = PlatformStandIn::start(ANY_PORT, args.seed).await.map_err(|e| unavailable(&e))?;
        let mut targets = TargetStandIns::start(Deployment::Kremsau).await.map_err(|e| unavailable(&e))?;
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
            instances.push(InProcessInstance::start(id, data_centre, platform.server.address).await?);
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
        let in_force = |i: &InProcessInstance| i.kernel.check_admission().is_ok();
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
        let ran_before = self.targets.executions_of_key(&key) > 0;
        let result = self.caller.send(request).await;
        let ran_now = self.targets.executions_of_key(&key) > 0;
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
        let row = self.platform.with_store(|store| store.get(&row_key(&service, &charge.key())))?;
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
            let runs = self.targets.executions_of_key(&charge.key());
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
        0 => LinkFault::Down,
        1 => LinkFault::CloseBeforeResponse,
        2 => LinkFault::CloseMidResponse,
        3 => LinkFault::HoldResponses,
        _ => LinkFault::None,
    }
}
