//! Claims under load: writes and added time with and without group commit, cost of one claim, and what an
//! outage of the store leaves.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{client, submit::Accepted},
    claims::{BufferedAnswer, ClaimRequest, ClaimResult, Claims, SendResult, commit::CommitSettings},
    decide::claim::Fingerprint,
    error::{Error, ErrorKind, Result},
    kernel::clock::Clock,
    plan::{Budgets, Priority},
    proxy::headers::IDEMPOTENCY_KEY,
    store::{embedded, guard::GuardedPlatform, http, rate_limit::Purpose},
    units::ServiceName,
};
use argh::FromArgs;
use bytes::Bytes;
use derive_more::{Display, FromStr};
use futures::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::time::{interval, sleep};

use crate::{
    client::Caller,
    deployment::{ANY_PORT, Deployment, InProcessInstance, TargetStandIns},
    platform::{Faults, PlatformStandIn},
};

/// Time a claim may take.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time after which a request to the platform counts as lost.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait told apart, in microseconds.
const MAX_WAIT_US: u64 = 60_000_000;

/// Claims made one after the other to measure the cost of one.
const COST_CLAIMS: u32 = 50_000;

/// What to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
enum Part {
    /// Writes and added time with and without grouping.
    Grouping,
    /// Time added to a call on the whole path.
    Added,
    /// Success around an outage of the store.
    Outage,
    /// Processor time and bytes of one claim.
    Cost,
}

/// Measure claims under load and during an outage of the store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "claim-load")]
pub struct Args {
    /// grouping, added, outage or cost
    #[argh(positional)]
    part: Part,
    /// instances of the grouping part
    #[argh(option, default = "18")]
    instances: usize,
    /// seconds of each measurement
    #[argh(option, default = "10")]
    for_s: u64,
}

/// Runs one part and prints its table.
///
/// # Errors
///
/// When a stand-in or an instance can't be started.
pub async fn run(args: &Args) -> Result<()> {
    match args.part {
        Part::Grouping => grouping(args).await,
        Part::Added => added(args).await,
        Part::Outage => outage().await,
        Part::Cost => {
            cost().await;
            Ok(())
        }
    }
}

fn unavailable(e: &impl ToString) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}

fn request(clock: Clock, number: u64) -> ClaimRequest {
    ClaimRequest {
        service: "mietkasse".parse::<ServiceName>().expect("the name is valid"),
        key: format!("rent-{number}"),
        fingerprint: Fingerprint(
            "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08".to_owned(),
        ),
        priority: Priority::Critical,
        deadline: clock.now() + DEADLINE,
        repeated: false,
    }
}

fn answer() -> BufferedAnswer {
    let body = Bytes::from_static(b"{\"booked\":true,\"reference\":\"2026-12-08-17\"}");
    BufferedAnswer { status: 200, content_type: Some("application/json".to_owned()), body }
}

/// Claims and records once; returns the time to win, or `None` without a win.
async fn claim_and_record(claims: Arc<Claims>, clock: Clock, number: u64) -> Option<Duration> {
    let asked_at = Instant::now();
    let (settled, until_settled) = tokio::sync::oneshot::channel::<()>();
    let result = claims.claim(request(clock, number), settled).await;
    let ClaimResult::Acquired(mut held) = result else { return None };
    let waited = asked_at.elapsed();
    if !held.begin() {
        return None;
    }
    held.end(SendResult::Answered(answer()));
    // The sender is dropped once the row is settled.
    let _settled = until_settled.await;
    Some(waited)
}

async fn grouping(args: &Args) -> Result<()> {
    println!(
        "| counted | grouped | claims/s offered | won | p50 ms | p99 ms | until all settled | write calls/s | rows/call | 429/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for count_rows in [false, true] {
        for grouped in [true, false] {
            for rate in [50, 120, 250, 680] {
                measure_grouping(args, count_rows, grouped, rate).await?;
            }
        }
    }
    Ok(())
}

async fn measure_grouping(args: &Args, count_rows: bool, grouped: bool, rate: u64) -> Result<()> {
    let platform = PlatformStandIn::start(ANY_PORT, 1).await.map_err(|e| unavailable(&e))?;
    platform.set_faults(Faults { count_rows, ..Faults::default() });
    let settings = if grouped {
        CommitSettings::default()
    } else {
        CommitSettings {
            max_rows: 1,
            max_in_flight: 64,
            batch_delay: Duration::ZERO,
            ..CommitSettings::default()
        }
    };
    let clock = Clock::start();
    let instances = (0..args.instances as u64).map(|n| {
        let store = GuardedPlatform::new(http::driver(platform.server.address, PLATFORM_TIMEOUT), clock, n);
        store.set_budgets(&Budgets::default());
        let claims = Claims::with_settings(store.for_purpose(Purpose::Claim), n.into(), clock, settings);
        if grouped {
            claims.apply_budgets(&Budgets::default());
        }
        Arc::new(claims)
    });
    let instances = instances.collect::<Vec<_>>();
    join_all(instances.iter().map(|i| i.refresh_hour_counter())).await;
    let before = platform.counts();
    let started = Instant::now();
    let mut ticks = interval(Duration::from_secs(1) / rate as u32);
    let mut calls = Vec::new();
    for number in 0..rate * args.for_s {
        ticks.tick().await;
        let claims = Arc::clone(&instances[number as usize % instances.len()]);
        calls.push(tokio::spawn(claim_and_record(claims, clock, number)));
    }
    let waits = join_all(calls).await.into_iter().map(|w| w.ok().flatten()).collect::<Vec<_>>();
    let (took_s, after) = (started.elapsed().as_secs_f64(), platform.counts());
    let writes = after.writes - before.writes;
    let won = waits.iter().flatten().count();
    println!(
        "| {} | {} | {rate} | {:.1}% | {:.1} | {:.1} | {took_s:.1} s | {:.0} | {:.1} | {:.1} |",
        if count_rows { "rows" } else { "calls" },
        if grouped { "yes" } else { "no" },
        100.0 * won as f64 / waits.len() as f64,
        quantile_ms(&waits, 0.5),
        quantile_ms(&waits, 0.99),
        writes as f64 / took_s,
        2.0 * won as f64 / writes as f64,
        (after.throttled - before.throttled) as f64 / took_s,
    );
    Ok(())
}

fn quantile_ms(waits: &[Option<Duration>], quantile: f64) -> f64 {
    let mut histogram =
        Histogram::<u64>::new_with_max(MAX_WAIT_US, 3).expect("bounds are constant and valid");
    for wait in waits.iter().flatten() {
        histogram.saturating_record(wait.as_micros() as u64);
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

async fn cost() {
    let store = embedded::SharedStore::default();
    let clock = Clock::start();
    let claims = Arc::new(Claims::new(embedded::driver(&store), 1.into(), clock));
    claims.refresh_hour_counter().await;
    let started = Instant::now();
    for number in 0..u64::from(COST_CLAIMS) {
        claim_and_record(Arc::clone(&claims), clock, number).await;
    }
    let each = started.elapsed() / COST_CLAIMS;
    let rows = store.lock().map(|s| s.scan("claim/")).unwrap_or_default();
    let bytes = rows.iter().map(|r| r.key.0.len() + r.value.len()).sum::<usize>() / rows.len().max(1);
    let counts = claims.commit_counts();
    println!("claim and result: {:.1} us on one task after the other", each.as_secs_f64() * 1e6);
    println!("settled row with key: {bytes} bytes");
    println!("rows written a claim: {:.2}", counts.rows as f64 / f64::from(COST_CLAIMS));
}

/// Whole path: instances, targets and platform.
struct Stage {
    platform: PlatformStandIn,
    targets: TargetStandIns,
    instances: Vec<InProcessInstance>,
    caller: Caller,
}

/// What one call on the whole path was told, and after how long.
struct Told {
    outcome: String,
    cause: String,
    waited: Duration,
    /// Time from the start of the measurement to the call.
    asked: Duration,
}

impl Stage {
    async fn start(instances: usize) -> Result<Arc<Self>> {
        let platform = PlatformStandIn::start(ANY_PORT, 1).await.map_err(|e| unavailable(&e))?;
        let mut targets = TargetStandIns::start(Deployment::Kremsau).await.map_err(|e| unavailable(&e))?;
        targets.sheet = targets.sheet.replace("max_instances,18", &format!("max_instances,{instances}"));
        // The same targets without a claim, to compare with.
        targets.sheet = targets.sheet.replace(
            "mietkasse,GET,/mietkasse,idempotent,normal",
            "mietkasse,GET,/mietkasse,idempotent,normal\nmietkasse,POST,/mietkasse/quotes,unstated,critical",
        );
        let mut started = Vec::new();
        for spec in Deployment::Kremsau.plan().instances.iter().take(instances) {
            let (id, data_centre) = (spec.id.as_str(), spec.data_centre.as_str());
            started.push(InProcessInstance::start(id, data_centre, platform.server.address).await?);
        }
        let stage = Arc::new(Self { platform, targets, instances: started, caller: Caller::default() });
        let (admin, sheet) = (stage.instances[0].admin(), Bytes::from(stage.targets.sheet.clone()));
        client::call::<Accepted>(Method::POST, admin, "/plan/submit?change-id=claim-load", None, sheet)
            .await?;
        while !stage.instances.iter().all(|i| i.kernel.check_admission().is_ok()) {
            sleep(Duration::from_millis(10)).await;
        }
        // Each instance has read the count of hours and opened its first connections.
        join_all((0..instances as u64).map(|n| stage.call("/mietkasse/charges", n, Duration::ZERO))).await;
        Ok(stage)
    }

    async fn call(&self, path: &str, number: u64, asked: Duration) -> Told {
        let address = self.instances[number as usize % self.instances.len()].callers();
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}?work_us=1000"))
            .header(IDEMPOTENCY_KEY, format!("load-{number}-{}", asked.as_nanos()))
            .body(Full::new(Bytes::from_static(b"{}")));
        let asked_at = Instant::now();
        let received = match request {
            Ok(request) => self.caller.send(request).await.ok(),
            Err(_) => None,
        };
        let outcome = received.as_ref().map_or("none", |r| r.outcome()).to_owned();
        let cause = received.as_ref().map_or("", |r| r.cause()).to_owned();
        Told { outcome, cause, waited: asked_at.elapsed(), asked }
    }

    /// Calls at a steady rate, whatever becomes of earlier calls.
    async fn load(self: &Arc<Self>, path: &'static str, rate: u32, span: Duration) -> Vec<Told> {
        let started = Instant::now();
        let mut ticks = interval(Duration::from_secs(1) / rate);
        let mut calls = Vec::new();
        for number in 0..u64::from(rate) * span.as_secs() {
            ticks.tick().await;
            let stage = Arc::clone(self);
            let asked = started.elapsed();
            calls.push(tokio::spawn(async move { stage.call(path, number, asked).await }));
        }
        join_all(calls).await.into_iter().filter_map(std::result::Result::ok).collect()
    }
}

async fn added(args: &Args) -> Result<()> {
    println!("| store answers after | route | calls | ran | p50 ms | p99 ms |");
    println!("|---|---|---|---|---|---|");
    let stage = Stage::start(1).await?;
    for slow_ms in [0, 5] {
        stage.platform.set_faults(Faults { slow_ms, ..Faults::default() });
        for (name, path) in [("no claim", "/mietkasse/quotes"), ("at most once", "/mietkasse/charges")] {
            let told = stage.load(path, 50, Duration::from_secs(args.for_s)).await;
            let waits = told.iter().map(|t| Some(t.waited)).collect::<Vec<_>>();
            let ran = told.iter().filter(|t| t.outcome == "ran").count();
            let (p50, p99) = (quantile_ms(&waits, 0.5), quantile_ms(&waits, 0.99));
            println!("| {slow_ms} ms | {name} | {} | {ran} | {p50:.2} | {p99:.2} |", told.len());
        }
    }
    Ok(())
}

async fn outage() -> Result<()> {
    println!(
        "| outage | calls begun | calls | ran | not-run | unknown | no answer | p50 ms | p99 ms | causes |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for outage_s in [2, 10] {
        let stage = Stage::start(3).await?;
        let (from, span) = (Duration::from_secs(4), Duration::from_secs(12 + outage_s));
        let until = from + Duration::from_secs(outage_s);
        let faults = {
            let stage = Arc::clone(&stage);
            tokio::spawn(async move {
                sleep(from).await;
                stage.platform.set_faults(Faults { down: true, ..Faults::default() });
                sleep(Duration::from_secs(outage_s)).await;
                stage.platform.set_faults(Faults::default());
            })
        };
        let told = stage.load("/mietkasse/charges", 30, span).await;
        faults.await.map_err(|e| unavailable(&e))?;
        for (name, range) in
            [("before", Duration::ZERO..from), ("during", from..until), ("after", until..span)]
        {
            let of_phase = told.iter().filter(|t| range.contains(&t.asked)).collect::<Vec<_>>();
            print_phase(outage_s, name, &of_phase);
        }
    }
    Ok(())
}

fn print_phase(outage_s: u64, name: &str, told: &[&Told]) {
    let count = |outcome: &str| told.iter().filter(|t| t.outcome == outcome).count();
    let waits = told.iter().map(|t| Some(t.waited)).collect::<Vec<_>>();
    let mut causes = told.iter().map(|t| t.cause.as_str()).filter(|c| !c.is_empty()).collect::<Vec<_>>();
    causes.sort_unstable();
    causes.dedup();
    println!(
        "| {outage_s} s | {name} | {} | {:.1}% | {:.1}% | {:.1}% | {} | {:.1} | {:.1} | {} |",
        told.len(),
        100.0 * count("ran") as f64 / told.len() as f64,
        100.0 * count("not-run") as f64 / told.len() as f64,
        100.0 * count("unknown") as f64 / told.len() as f64,
        count("none"),
        quantile_ms(&waits, 0.5),
        quantile_ms(&waits, 0.99),
        causes.join(", ")
    );
}
