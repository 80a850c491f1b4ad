//! Measures claims, the stored rows that keep an at-most-once request from being executed twice: their writes
//! and latency with and without group commit, the latency that they add to a call, the outcomes of calls
//! around an outage of the platform, and the cost of one claim.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{client, submit::AcceptedChange},
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

/// Time until the deadline of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a request to the platform without a response counts as failed.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper bound of the latency histogram, in microseconds; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Number of sequential claims whose mean cost is measured.
const COST_CLAIMS: u32 = 50_000;

/// Measurement to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
enum Part {
    /// Write calls and claim latency with and without group commit.
    Grouping,
    /// Latency that a claim adds to a call through an instance.
    Added,
    /// Outcomes of calls before, during and after an outage of the platform.
    Outage,
    /// Time and stored bytes of one claim, with an in-memory store.
    Cost,
}

/// Measure claims under load and during an outage of the platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "claim-load")]
pub struct Args {
    /// measurement to run: grouping, added, outage or cost
    #[argh(positional)]
    part: Part,
    /// instances that claim at once in the grouping measurement
    #[argh(option, default = "18")]
    instances: usize,
    /// seconds of each run of grouping and added
    #[argh(option, default = "10")]
    for_s: u64,
}

/// Runs one measurement and prints its results.
///
/// # Errors
///
/// If a stand-in or an instance can't be started.
pub async fn run(args: &Args) -> Result<()> {
    match args.part {
        Part::Grouping => compare_group_commit(args).await,
        Part::Added => measure_added_latency(args).await,
        Part::Outage => measure_outages().await,
        Part::Cost => {
            measure_cost().await;
            Ok(())
        }
    }
}

fn unavailable(e: &impl ToString) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}

fn claim_request(clock: Clock, number: u64) -> ClaimRequest {
    ClaimRequest {
        service: "mietkasse".parse::<ServiceName>().expect("the name is valid"),
        key: format!("rent-{number}"),
        fingerprint: Fingerprint(
            "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08".to_owned(),
        ),
        priority: Priority::Critical,
        deadline: clock.now() + CLAIM_TIMEOUT,
        repeated: false,
    }
}

fn target_response() -> BufferedAnswer {
    let body = Bytes::from_static(b"{\"booked\":true,\"reference\":\"2026-12-08-17\"}");
    BufferedAnswer { status: 200, content_type: Some("application/json".to_owned()), body }
}

/// Acquires a claim and records a response in it; returns the time until it was acquired, or `None` if it was
/// not.
async fn claim_and_record(claims: Arc<Claims>, clock: Clock, number: u64) -> Option<Duration> {
    let requested_at = Instant::now();
    let (settled, wait_for_settled) = tokio::sync::oneshot::channel::<()>();
    let result = claims.claim(claim_request(clock, number), settled).await;
    let ClaimResult::Acquired(mut permit) = result else { return None };
    let latency = requested_at.elapsed();
    if !permit.begin() {
        return None;
    }
    permit.end(SendResult::Answered(target_response()));
    // The claim drops the sender once its row is settled.
    let _settled = wait_for_settled.await;
    Some(latency)
}

async fn compare_group_commit(args: &Args) -> Result<()> {
    println!(
        "| limit counts | group commit | claims/s sent | acquired | p50 ms | p99 ms | until all settled | write calls/s | rows/call | 429/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for count_rows in [false, true] {
        for grouped in [true, false] {
            for rate in [50, 120, 250, 680] {
                measure_group_commit(args, count_rows, grouped, rate).await?;
            }
        }
    }
    Ok(())
}

async fn measure_group_commit(args: &Args, count_rows: bool, grouped: bool, rate: u64) -> Result<()> {
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
    let latencies = join_all(calls).await.into_iter().map(|l| l.ok().flatten()).collect::<Vec<_>>();
    let (took_s, after) = (started.elapsed().as_secs_f64(), platform.counts());
    let writes = after.writes - before.writes;
    let acquired = latencies.iter().flatten().count();
    println!(
        "| {} | {} | {rate} | {:.1}% | {:.1} | {:.1} | {took_s:.1} s | {:.0} | {:.1} | {:.1} |",
        if count_rows { "rows" } else { "calls" },
        if grouped { "yes" } else { "no" },
        100.0 * acquired as f64 / latencies.len() as f64,
        quantile_ms(&latencies, 0.5),
        quantile_ms(&latencies, 0.99),
        writes as f64 / took_s,
        2.0 * acquired as f64 / writes as f64,
        (after.throttled - before.throttled) as f64 / took_s,
    );
    Ok(())
}

fn quantile_ms(latencies: &[Option<Duration>], quantile: f64) -> f64 {
    let mut histogram =
        Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("bounds are constant and valid");
    for latency in latencies.iter().flatten() {
        histogram.saturating_record(latency.as_micros() as u64);
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

async fn measure_cost() {
    let store = embedded::SharedStore::default();
    let clock = Clock::start();
    let claims = Arc::new(Claims::new(embedded::driver(&store), 1.into(), clock));
    claims.refresh_hour_counter().await;
    let started = Instant::now();
    for number in 0..u64::from(COST_CLAIMS) {
        claim_and_record(Arc::clone(&claims), clock, number).await;
    }
    let per_claim = started.elapsed() / COST_CLAIMS;
    let rows = store.lock().map(|s| s.scan("claim/")).unwrap_or_default();
    let bytes = rows.iter().map(|r| r.key.0.len() + r.value.len()).sum::<usize>() / rows.len().max(1);
    let counts = claims.commit_counts();
    println!("claim and recorded response: {:.1} us each, in sequence", per_claim.as_secs_f64() * 1e6);
    println!("settled row with its key: {bytes} bytes");
    println!("rows written per claim: {:.2}", counts.rows as f64 / f64::from(COST_CLAIMS));
}

/// Platform, targets and instances in this process, with a client that calls them.
struct Cluster {
    platform: PlatformStandIn,
    targets: TargetStandIns,
    instances: Vec<InProcessInstance>,
    caller: Caller,
}

/// Result of one call through an instance.
struct CallResult {
    /// Outcome header; `none` without a complete response.
    outcome: String,
    /// Cause header; empty if there is none.
    cause: String,
    latency: Duration,
    /// Time from the start of the measurement to the call.
    started_after: Duration,
}

impl Cluster {
    async fn start(instances: usize) -> Result<Arc<Self>> {
        let platform = PlatformStandIn::start(ANY_PORT, 1).await.map_err(|e| unavailable(&e))?;
        let mut targets = TargetStandIns::start(Deployment::Kremsau).await.map_err(|e| unavailable(&e))?;
        targets.sheet = targets.sheet.replace("max_instances,18", &format!("max_instances,{instances}"));
        // Adds a route to the same targets whose calls need no claim, for comparison.
        targets.sheet = targets.sheet.replace(
            "mietkasse,GET,/mietkasse,idempotent,normal",
            "mietkasse,GET,/mietkasse,idempotent,normal\nmietkasse,POST,/mietkasse/quotes,unstated,critical",
        );
        let mut started = Vec::new();
        for spec in Deployment::Kremsau.plan().instances.iter().take(instances) {
            let (id, data_centre) = (spec.id.as_str(), spec.data_centre.as_str());
            started.push(InProcessInstance::start(id, data_centre, platform.server.address).await?);
        }
        let cluster = Arc::new(Self { platform, targets, instances: started, caller: Caller::default() });
        let (admin, sheet) = (cluster.instances[0].admin(), Bytes::from(cluster.targets.sheet.clone()));
        client::send_request::<AcceptedChange>(
            Method::POST,
            admin,
            "/plan/submit?change-id=claim-load",
            None,
            sheet,
        )
        .await?;
        while !cluster.instances.iter().all(|i| i.kernel.check_admission().is_ok()) {
            sleep(Duration::from_millis(10)).await;
        }
        // Makes each instance read the hour counter and open its first connections before anything is
        // measured.
        join_all((0..instances as u64).map(|n| cluster.call("/mietkasse/charges", n, Duration::ZERO))).await;
        Ok(cluster)
    }

    async fn call(&self, path: &str, number: u64, started_after: Duration) -> CallResult {
        let address = self.instances[number as usize % self.instances.len()].callers();
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}?work_us=1000"))
            .header(IDEMPOTENCY_KEY, format!("load-{number}-{}", started_after.as_nanos()))
            .body(Full::new(Bytes::from_static(b"{}")));
        let requested_at = Instant::now();
        let received = match request {
            Ok(request) => self.caller.send(request).await.ok(),
            Err(_) => None,
        };
        let outcome = received.as_ref().map_or("none", |r| r.outcome()).to_owned();
        let cause = received.as_ref().map_or("", |r| r.cause()).to_owned();
        CallResult { outcome, cause, latency: requested_at.elapsed(), started_after }
    }

    /// Sends calls at a constant rate without waiting for earlier ones to end, and returns all results.
    async fn load(self: &Arc<Self>, path: &'static str, rate: u32, duration: Duration) -> Vec<CallResult> {
        let started = Instant::now();
        let mut ticks = interval(Duration::from_secs(1) / rate);
        let mut calls = Vec::new();
        for number in 0..u64::from(rate) * duration.as_secs() {
            ticks.tick().await;
            let cluster = Arc::clone(self);
            let started_after = started.elapsed();
            calls.push(tokio::spawn(async move { cluster.call(path, number, started_after).await }));
        }
        join_all(calls).await.into_iter().filter_map(std::result::Result::ok).collect()
    }
}

async fn measure_added_latency(args: &Args) -> Result<()> {
    println!("| platform delay | route | calls | ran | p50 ms | p99 ms |");
    println!("|---|---|---|---|---|---|");
    let cluster = Cluster::start(1).await?;
    for slow_ms in [0, 5] {
        cluster.platform.set_faults(Faults { slow_ms, ..Faults::default() });
        for (name, path) in [("no claim", "/mietkasse/quotes"), ("at most once", "/mietkasse/charges")] {
            let results = cluster.load(path, 50, Duration::from_secs(args.for_s)).await;
            let latencies = results.iter().map(|r| Some(r.latency)).collect::<Vec<_>>();
            let ran = results.iter().filter(|r| r.outcome == "ran").count();
            let (p50, p99) = (quantile_ms(&latencies, 0.5), quantile_ms(&latencies, 0.99));
            println!("| {slow_ms} ms | {name} | {} | {ran} | {p50:.2} | {p99:.2} |", results.len());
        }
    }
    Ok(())
}

async fn measure_outages() -> Result<()> {
    println!("| outage | started | calls | ran | not-run | unknown | no answer | p50 ms | p99 ms | causes |");
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for outage_s in [2, 10] {
        let cluster = Cluster::start(3).await?;
        let (outage_start, duration) = (Duration::from_secs(4), Duration::from_secs(12 + outage_s));
        let outage_end = outage_start + Duration::from_secs(outage_s);
        let faults = {
            let cluster = Arc::clone(&cluster);
            tokio::spawn(async move {
                sleep(outage_start).await;
                cluster.platform.set_faults(Faults { down: true, ..Faults::default() });
                sleep(Duration::from_secs(outage_s)).await;
                cluster.platform.set_faults(Faults::default());
            })
        };
        let results = cluster.load("/mietkasse/charges", 30, duration).await;
        faults.await.map_err(|e| unavailable(&e))?;
        for (name, range) in [
            ("before", Duration::ZERO..outage_start),
            ("during", outage_start..outage_end),
            ("after", outage_end..duration),
        ] {
            let of_phase = results.iter().filter(|r| range.contains(&r.started_after)).collect::<Vec<_>>();
            print_phase(outage_s, name, &of_phase);
        }
    }
    Ok(())
}

fn print_phase(outage_s: u64, name: &str, results: &[&CallResult]) {
    let count = |outcome: &str| results.iter().filter(|r| r.outcome == outcome).count();
    let latencies = results.iter().map(|r| Some(r.latency)).collect::<Vec<_>>();
    let mut causes = results.iter().map(|r| r.cause.as_str()).filter(|c| !c.is_empty()).collect::<Vec<_>>();
    causes.sort_unstable();
    causes.dedup();
    println!(
        "| {outage_s} s | {name} | {} | {:.1}% | {:.1}% | {:.1}% | {} | {:.1} | {:.1} | {} |",
        results.len(),
        100.0 * count("ran") as f64 / results.len() as f64,
        100.0 * count("not-run") as f64 / results.len() as f64,
        100.0 * count("unknown") as f64 / results.len() as f64,
        count("none"),
        quantile_ms(&latencies, 0.5),
        quantile_ms(&latencies, 0.99),
        causes.join(", ")
    );
}
