//! At-most-once calls while the store, the targets and the connections to targets are faulty at the same
//! time.

mod counts;
mod keyed_request;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{client, submit::AcceptedChange},
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
    counts::{KeyRecord, record_response},
    keyed_request::KeyedRequest,
};
use crate::{
    client::Caller,
    deployment::{ANY_PORT, Deployment, InProcessInstance, TargetStandIns},
    platform::{Faults, PlatformStandIn},
    relay::{LinkFault, Relay},
};

/// Time after which the set of injected faults is replaced.
const FAULT_PERIOD: Duration = Duration::from_millis(300);

/// Time within which the row of every key must be settled after the faults have ended.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Time within which the plan must be in force at all instances.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of consecutive calls with one key while faults are injected.
const MAX_ATTEMPTS: u32 = 3;

/// Share of keys whose first call is sent to two instances concurrently.
const CONCURRENT_SHARE: f64 = 0.3;

/// Run at-most-once calls under all faults at once and check the guarantees against the targets' logs.
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "fault-run")]
pub struct Args {
    /// number of idempotency keys; each is sent up to six times
    #[argh(option, default = "10000")]
    pub calls: usize,
    /// seed of keys and faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// number of instances
    #[argh(option, default = "4")]
    pub instances: usize,
    /// number of concurrent callers
    #[argh(option, default = "96")]
    pub callers: usize,
}

/// Runs the fault run and prints its counts.
///
/// # Errors
///
/// When a stand-in or an instance can't be started.
pub async fn run(args: &Args) -> Result<Counts> {
    let started = Instant::now();
    let test_bed = Arc::new(TestBed::start(args).await?);
    let faults = tokio::spawn(Arc::clone(&test_bed).inject_faults(args.seed));
    let workers = (0..args.callers).map(|n| tokio::spawn(Arc::clone(&test_bed).run_caller(n as u64)));
    join_all(workers).await;
    test_bed.callers_done.store(true, Ordering::Release);
    faults.await.map_err(|e| unavailable(&e))?;
    println!("calls under faults took {:.1} s", started.elapsed().as_secs_f64());
    let settle_started = Instant::now();
    test_bed.settle(args.callers).await;
    println!("settling took {:.1} s", settle_started.elapsed().as_secs_f64());
    let counts = test_bed.count();
    println!("{counts:#?}");
    println!("platform {:?}", test_bed.platform.counts());
    println!("violated guarantees: {:?}", counts.violations());
    Ok(counts)
}

fn unavailable(e: &impl ToString) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}

/// The deployment of a fault run, and what it has recorded so far.
struct TestBed {
    args: Args,
    platform: PlatformStandIn,
    targets: TargetStandIns,
    relays: Vec<Relay>,
    instances: Vec<InProcessInstance>,
    caller: Caller,
    next_key: AtomicUsize,
    records: Mutex<Vec<KeyRecord>>,
    callers_done: AtomicBool,
}

impl TestBed {
    async fn start(args: &Args) -> Result<Self> {
        let platform = PlatformStandIn::start(ANY_PORT, args.seed).await.map_err(|e| unavailable(&e))?;
        let mut targets = TargetStandIns::start(Deployment::Kremsau).await.map_err(|e| unavailable(&e))?;
        let mut relays = Vec::new();
        for (_, target) in &targets.stand_ins {
            let relay = Relay::start(target.server.address).await.map_err(|e| unavailable(&e))?;
            let (direct, relayed) = (format!(",{},", target.server.address), format!(",{},", relay.address));
            targets.sheet = targets.sheet.replace(&direct, &relayed);
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
        let test_bed = Self {
            args: args.clone(),
            platform,
            targets,
            relays,
            instances,
            caller: Caller::default(),
            next_key: AtomicUsize::new(0),
            records: Mutex::new(vec![KeyRecord::default(); args.calls]),
            callers_done: AtomicBool::new(false),
        };
        test_bed.submit_plan().await?;
        Ok(test_bed)
    }

    /// Submits the plan and waits until it is in force at all instances.
    async fn submit_plan(&self) -> Result<()> {
        let started = Instant::now();
        let sheet = Bytes::from(self.targets.sheet.clone());
        let admin = self.instances[0].admin();
        let path = "/plan/submit?change-id=fault-run";
        client::send_request::<AcceptedChange>(Method::POST, admin, path, None, sheet).await?;
        let in_force = |i: &InProcessInstance| i.kernel.check_admission().is_ok();
        while !self.instances.iter().all(in_force) && started.elapsed() < READY_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Replaces the faults of the store, the targets and the connections at random until all callers are
    /// done.
    async fn inject_faults(self: Arc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.callers_done.load(Ordering::Acquire) {
            self.platform.set_faults(random_store_faults(&mut rng));
            for (relay, (_, target)) in self.relays.iter().zip(&self.targets.stand_ins) {
                relay.set_fault(random_link_fault(&mut rng));
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
            let request = KeyedRequest::new(key, self.args.seed);
            self.send_key(&request, &mut rng).await;
        }
    }

    /// Sends the request until a response states `ran`, at most [`MAX_ATTEMPTS`] times.
    async fn send_key(&self, request: &KeyedRequest, rng: &mut SmallRng) {
        for attempt in 0..MAX_ATTEMPTS {
            let first = rng.random_range(0..self.instances.len());
            let concurrent = attempt == 0 && rng.random_bool(CONCURRENT_SHARE);
            let other = (first + 1) % self.instances.len();
            let outcome = if concurrent {
                let both = [self.call(request, first, 0), self.call(request, other, 1)];
                join_all(both).await.into_iter().max().unwrap_or_default()
            } else {
                self.call(request, first, attempt).await
            };
            if outcome == "ran" {
                return;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
        }
    }

    fn update_record(&self, key: usize, update: impl FnOnce(&mut KeyRecord)) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        update(&mut records[key]);
    }

    /// Sends one call and returns the outcome of its response, which is empty if there was no response.
    async fn call(&self, request: &KeyedRequest, instance: usize, attempt: u32) -> String {
        let Some(http_request) = request.http_request(&self.instances[instance], attempt) else {
            return String::new();
        };
        let key = request.key();
        let ran_before = self.targets.executions_of_key(&key) > 0;
        let result = self.caller.send(http_request).await;
        let ran_now = self.targets.executions_of_key(&key) > 0;
        let outcome = result.as_ref().map(|r| r.outcome().to_owned()).unwrap_or_default();
        self.update_record(request.number, |record| {
            record.counts.calls += 1;
            match &result {
                Ok(received) => record_response(record, request, received),
                Err(_) => record.counts.no_answer += 1,
            }
            let not_run = outcome == "not-run";
            record.counts.not_run_after_run += u64::from(not_run && ran_before);
            record.counts.not_run_beside_run += u64::from(not_run && ran_now && !ran_before);
            record.last_outcome = match &result {
                Ok(r) if r.cause() == "key-unsettled" => r.cause().to_owned(),
                _ => outcome.clone(),
            };
        });
        outcome
    }

    /// Waits until no row is open, and sends every request again without faults.
    async fn settle(self: &Arc<Self>, callers: usize) {
        let started = Instant::now();
        while self.open_keys() > 0 && started.elapsed() < SETTLE_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let next = Arc::new(AtomicUsize::new(0));
        let workers = (0..callers).map(|_| {
            let (test_bed, next) = (Arc::clone(self), Arc::clone(&next));
            tokio::spawn(async move {
                loop {
                    let key = next.fetch_add(1, Ordering::Relaxed);
                    if key >= test_bed.args.calls {
                        return;
                    }
                    let request = KeyedRequest::new(key, test_bed.args.seed);
                    test_bed.call_until_final(&request, started).await;
                }
            })
        });
        join_all(workers).await;
        while self.open_keys() > 0 && started.elapsed() < SETTLE_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Sends a request until the response is not `not-run`, or until [`SETTLE_TIMEOUT`] has passed.
    async fn call_until_final(&self, request: &KeyedRequest, started: Instant) {
        let instance = request.number % self.instances.len();
        while self.call(request, instance, MAX_ATTEMPTS).await == "not-run"
            && started.elapsed() < SETTLE_TIMEOUT
        {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns the state in the key's row; `None` if the store has no readable row.
    fn claim_state(&self, request: &KeyedRequest) -> Option<ClaimState> {
        let service = request.service.parse::<ServiceName>().ok()?;
        let row = self.platform.with_store(|store| store.get(&row_key(&service, &request.key())))?;
        serde_json::from_slice::<ClaimRow>(&row.value).ok().map(|r| r.state)
    }

    fn open_keys(&self) -> usize {
        let requests = (0..self.args.calls).map(|n| KeyedRequest::new(n, self.args.seed));
        requests.filter(|r| self.claim_state(r) == Some(ClaimState::Open)).count()
    }

    fn count(&self) -> Counts {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sum = Counts::default();
        for (number, record) in records.iter().enumerate() {
            let request = KeyedRequest::new(number, self.args.seed);
            let runs = self.targets.executions_of_key(&request.key());
            let claim_state = self.claim_state(&request);
            sum += record.counts;
            sum.keys_run += u64::from(runs > 0);
            sum.double_runs += u64::from(runs > 1);
            sum.not_run_only += u64::from(runs > 0 && record.not_run > 0 && record.ran + record.others == 0);
            sum.ran_without_run += u64::from(runs == 0 && record.succeeded);
            sum.open_keys += u64::from(claim_state == Some(ClaimState::Open));
            sum.unsettled_rows += u64::from(claim_state == Some(ClaimState::Unsettled));
            sum.unsettled_calls +=
                u64::from(!matches!(record.last_outcome.as_str(), "ran" | "key-unsettled"));
        }
        sum
    }
}

fn random_store_faults(rng: &mut SmallRng) -> Faults {
    let mut share = |probability: f64, share: f64| if rng.random_bool(probability) { share } else { 0.0 };
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

fn random_link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..20) {
        0 => LinkFault::Down,
        1 => LinkFault::CloseBeforeResponse,
        2 => LinkFault::CloseMidResponse,
        3 => LinkFault::HoldResponses,
        _ => LinkFault::None,
    }
}
