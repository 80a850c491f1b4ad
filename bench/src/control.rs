//! Measures the control plane: how fast plan changes that operators submit concurrently come in force, and
//! the bytes, CPU time and memory that it costs each instance.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{PlanStatus, SentBytes, client, submit::AcceptedChange},
    error::{Error, ErrorKind, Result},
    units::PlanVersion,
};
use argh::FromArgs;
use bytes::Bytes;
use futures::future::join_all;
use hyper::Method;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{
    client::Caller,
    deployment::ANY_PORT,
    platform::{Faults, PlatformStandIn},
    process::{InstanceProcess, InstanceProcessSettings, ResourceUsage},
    target::TargetStandIn,
};

/// Number of operators that submit changes concurrently.
const OPERATORS: usize = 3;

/// Time for which the platform is reachable, and then unreachable, in turns.
const PLATFORM_UP_TIME: Duration = Duration::from_secs(3);
const PLATFORM_DOWN_TIME: Duration = Duration::from_secs(1);

/// Budgets of control traffic with and without room for load counts, in bytes per second.
const BUDGET: u32 = 21_000;
const MIN_BUDGET: u32 = 1_000;

/// Time between a plan change and the measurement that follows it.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time within which every instance must see all others as live.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of targets of each service in a generated plan.
const TARGETS_PER_SERVICE: usize = 8;

/// Service time of a request, in microseconds.
const WORK_US: u64 = 5_000;

/// Measure the control plane with instances as processes on loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Args {
    /// instances while operators submit changes
    #[argh(option, default = "18")]
    instances: usize,
    /// changes that all operators submit, together
    #[argh(option, default = "30")]
    changes: usize,
    /// milliseconds that an operator waits between two changes
    #[argh(option, default = "1000")]
    pause_ms: u64,
    /// seconds for which the cost of each case is measured
    #[argh(option, default = "5")]
    measure_s: u64,
    /// calls a second to each instance while load counts are measured
    #[argh(option, default = "100")]
    calls_per_s: u64,
    /// do not measure the cost
    #[argh(switch)]
    no_cost: bool,
}

/// Runs the measurement and prints its results; ends early on SIGINT and SIGTERM.
///
/// # Errors
///
/// If a stand-in or an instance can't be started, or if a plan version was lost, assigned twice or reverted.
pub async fn run(args: &Args) -> Result<()> {
    let mut terminated = signal(SignalKind::terminate()).map_err(|e| unavailable(&e))?;
    // Returning drops the instances, which ends their processes.
    tokio::select! {
        result = measure(args) => result,
        _ = tokio::signal::ctrl_c() => Ok(()),
        _ = terminated.recv() => Ok(()),
    }
}

async fn measure(args: &Args) -> Result<()> {
    run_concurrent_changes(args).await?;
    if args.no_cost {
        return Ok(());
    }
    println!("per instance: bytes/s by purpose, CPU time as a share of one core, resident memory");
    println!(
        "instances targets budget calls/s   urgent heartbeat    loads      sum rounds/s   CPU time   memory"
    );
    for instances in [6, 12, 18] {
        for targets in [32, 128, 500] {
            measure_cost(args, instances, targets).await?;
        }
    }
    Ok(())
}

/// Instances that run as processes, and the platform that they use.
struct Cluster {
    platform: PlatformStandIn,
    instances: Vec<InstanceProcess>,
}

impl Cluster {
    async fn start(count: usize) -> Result<Self> {
        let platform = PlatformStandIn::start(ANY_PORT, 1).await.map_err(|e| unavailable(&e))?;
        let start = |n: usize| {
            InstanceProcess::start(&InstanceProcessSettings {
                instance: format!("node-{n:02}"),
                data_centre: format!("dc-{}", n % 3),
                platform_address: platform.server.address,
                worker_threads: 2,
            })
        };
        // The start blocks until the instance has used the platform, which this runtime serves.
        let instances = tokio::task::block_in_place(|| (0..count).map(start).collect::<Result<Vec<_>>>())?;
        let cluster = Self { platform, instances };
        cluster.wait_until_connected().await?;
        Ok(cluster)
    }

    /// Waits until every instance sees all others as live.
    async fn wait_until_connected(&self) -> Result<()> {
        let started = Instant::now();
        let peer_count = self.instances.len() - 1;
        while started.elapsed() < MEMBERSHIP_TIMEOUT {
            let statuses = self.statuses().await?;
            if statuses.iter().all(|s| s.members.iter().filter(|m| m.live).count() == peer_count) {
                return Ok(());
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(Error::new(ErrorKind::AdminUnreachable, "not all instances see each other as live after 30 s"))
    }

    async fn statuses(&self) -> Result<Vec<PlanStatus>> {
        let requests = self.instances.iter().map(|i| status(i.admin));
        join_all(requests).await.into_iter().collect()
    }
}

async fn status(admin: SocketAddr) -> Result<PlanStatus> {
    client::send_request(Method::GET, admin, "/plan/status", None, Bytes::new()).await
}

async fn submit(
    admin: SocketAddr,
    change_id: &str,
    base: PlanVersion,
    sheet: String,
) -> Result<AcceptedChange> {
    let path = format!("/plan/submit?change-id={change_id}&base={base}");
    client::send_request(Method::POST, admin, &path, None, Bytes::from(sheet)).await
}

fn unavailable(e: &std::io::Error) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}

/// Generates a plan sheet of services with targets at these addresses, and drains the target with the index
/// `drained`.
fn generate_sheet(addresses: &[SocketAddr], drained: Option<usize>) -> String {
    let mut sheet = "[services]\nname\n".to_owned();
    let services = addresses.len().div_ceil(TARGETS_PER_SERVICE);
    for service in 0..services {
        push_line(&mut sheet, format_args!("service-{service:02}"));
    }
    sheet.push_str("[targets]\nservice,id,address,data_centre,slots,max_connections\n");
    for (n, address) in addresses.iter().enumerate() {
        let service = n / TARGETS_PER_SERVICE;
        push_line(
            &mut sheet,
            format_args!("service-{service:02},target-{n:03},{address},dc-{},6,250", n % 3),
        );
    }
    sheet.push_str("[routes]\nservice,method,path_prefix,kind\n");
    for service in 0..services {
        push_line(&mut sheet, format_args!("service-{service:02},GET,/service-{service:02},idempotent"));
    }
    if let Some(n) = drained {
        push_line(&mut sheet, format_args!("[intentions]\nat,action,subject\nnow,drain,target-{n:03}"));
    }
    sheet
}

fn push_line(sheet: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _written = writeln!(sheet, "{line}");
}

/// One accepted change, as its operator observed it.
struct SubmittedChange {
    version: PlanVersion,
    /// Time from the first submission to the response that it was accepted.
    latency: Duration,
    /// Submissions refused because another change came first.
    conflicts: usize,
    /// Submissions repeated because the platform was unreachable or the outcome unknown.
    retries: usize,
}

async fn run_concurrent_changes(args: &Args) -> Result<()> {
    let cluster = Cluster::start(args.instances).await?;
    let unused_addresses =
        (0..47).map(|n| SocketAddr::from(([127, 0, 0, 1], 21_000 + n))).collect::<Vec<_>>();
    submit(
        cluster.instances[0].admin,
        "first",
        PlanVersion::default(),
        generate_sheet(&unused_addresses, None),
    )
    .await?;
    let (changes, ()) = tokio::select! {
        changes = submit_changes(args, &cluster, &unused_addresses) => (changes, ()),
        never = toggle_platform(&cluster.platform) => match never {},
    };
    let changes = changes?;
    cluster.platform.set_faults(Faults::default());
    sleep(Duration::from_secs(3)).await;
    report_changes(args, &cluster, &changes).await
}

/// Makes the platform unreachable in turns; after the first time it also loses 30 % of the write replies
/// while reachable.
async fn toggle_platform(platform: &PlatformStandIn) -> std::convert::Infallible {
    loop {
        sleep(PLATFORM_UP_TIME).await;
        platform.set_faults(Faults { down: true, ..Faults::default() });
        sleep(PLATFORM_DOWN_TIME).await;
        platform.set_faults(Faults { lose_write_replies: 0.3, ..Faults::default() });
    }
}

async fn submit_changes(
    args: &Args,
    cluster: &Cluster,
    addresses: &[SocketAddr],
) -> Result<Vec<SubmittedChange>> {
    let operators = (0..OPERATORS).map(|operator| async move {
        let mut accepted = Vec::new();
        for change in (operator..args.changes).step_by(OPERATORS) {
            let admin = cluster.instances[(change * 7 + operator) % cluster.instances.len()].admin;
            let sheet = generate_sheet(addresses, Some(change % addresses.len()));
            accepted.push(submit_until_accepted(admin, &format!("change-{operator}-{change}"), sheet).await?);
            sleep(Duration::from_millis(args.pause_ms)).await;
        }
        Ok::<_, Error>(accepted)
    });
    Ok(join_all(operators).await.into_iter().collect::<Result<Vec<_>>>()?.into_iter().flatten().collect())
}

/// Submits a change again until it is accepted, each time based on the version in force.
async fn submit_until_accepted(admin: SocketAddr, change_id: &str, sheet: String) -> Result<SubmittedChange> {
    let started = Instant::now();
    let (mut conflicts, mut retries) = (0, 0);
    loop {
        let base = status(admin).await?.version;
        match submit(admin, change_id, base, sheet.clone()).await {
            Ok(accepted) => {
                let latency = started.elapsed();
                return Ok(SubmittedChange { version: accepted.version, latency, conflicts, retries });
            }
            Err(e) if e.kind == ErrorKind::PlanConflict => conflicts += 1,
            Err(e) if matches!(e.kind, ErrorKind::PlatformUnreachable | ErrorKind::PlanUnknown) => {
                retries += 1;
            }
            Err(e) => return Err(e),
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Plan versions that the instances logged.
#[derive(Default)]
struct LoggedVersions {
    /// Time at which each version was committed, in milliseconds.
    committed_ms: BTreeMap<u64, u64>,
    /// For each instance the versions in the order in which they came in force, with the time in
    /// milliseconds.
    in_force: Vec<Vec<(u64, u64)>>,
}

fn read_logs(cluster: &Cluster) -> LoggedVersions {
    let version = |e: &crate::process::LogEvent| e.value("version").and_then(|v| v.parse::<u64>().ok());
    let mut logged = LoggedVersions::default();
    for instance in &cluster.instances {
        for event in instance.events("plan-committed").iter().filter(|e| e.value("repeated") == Some("false"))
        {
            logged.committed_ms.extend(version(event).map(|v| (v, event.at_ms)));
        }
        let changes = instance.events("plan-in-force");
        logged.in_force.push(changes.iter().filter_map(|e| Some((version(e)?, e.at_ms))).collect());
    }
    logged
}

impl LoggedVersions {
    /// Returns the milliseconds from each commit until the version or a higher one was in force, for each
    /// version and instance, sorted.
    fn delays_ms(&self) -> Vec<u64> {
        let mut delays = Vec::new();
        for (version, committed_ms) in &self.committed_ms {
            for changes in &self.in_force {
                let at = changes.iter().find(|(v, _)| v >= version).map_or(u64::MAX, |(_, at)| *at);
                delays.push(at.saturating_sub(*committed_ms));
            }
        }
        delays.sort_unstable();
        delays
    }

    /// Returns how often an instance put a version in force that was not higher than the one before.
    fn reversion_count(&self) -> usize {
        self.in_force.iter().map(|changes| changes.windows(2).filter(|w| w[1].0 <= w[0].0).count()).sum()
    }
}

async fn report_changes(args: &Args, cluster: &Cluster, changes: &[SubmittedChange]) -> Result<()> {
    let logged = read_logs(cluster);
    let delays = logged.delays_ms();
    let statuses = cluster.statuses().await?;
    let expected = PlanVersion::from(args.changes as u64 + 1);
    let behind = statuses.iter().filter(|s| s.version != expected).count();
    let mut versions = changes.iter().map(|c| c.version).collect::<Vec<_>>();
    versions.sort_unstable();
    versions.dedup();
    let duplicates = changes.len() - versions.len();
    let conflicts = changes.iter().map(|c| c.conflicts).sum::<usize>();
    let retries = changes.iter().map(|c| c.retries).sum::<usize>();
    let mut latencies = changes.iter().map(|c| c.latency.as_millis() as u64).collect::<Vec<_>>();
    latencies.sort_unstable();
    println!(
        "{} instances, {} changes by {OPERATORS} operators, {conflicts} conflicts, {retries} retries",
        args.instances,
        changes.len()
    );
    println!("from commit to in force, for each instance and version: {}", quantiles(&delays));
    println!("from first submission to accepted: {}", quantiles(&latencies));
    println!(
        "reversions {}, versions assigned twice {duplicates}, instances behind at the end {behind}",
        logged.reversion_count()
    );
    let violations = logged.reversion_count() + duplicates + behind;
    if violations > 0 {
        return Err(Error::new(
            ErrorKind::PlanConflict,
            "a plan version was lost, assigned twice or reverted",
        ));
    }
    Ok(())
}

fn quantiles(sorted_ms: &[u64]) -> String {
    let at = |q: f64| {
        let index = ((sorted_ms.len() as f64 * q).ceil() as usize).clamp(1, sorted_ms.len().max(1)) - 1;
        sorted_ms.get(index).copied().unwrap_or(0)
    };
    format!("p50 {} ms, p99 {} ms, max {} ms", at(0.5), at(0.99), at(1.0))
}

/// Cumulative bytes sent and resources used by all instances at one time.
struct Snapshot {
    sent: Vec<SentBytes>,
    usage: Vec<ResourceUsage>,
    at: Instant,
}

async fn take_snapshot(cluster: &Cluster) -> Result<Snapshot> {
    let sent = cluster.statuses().await?.iter().map(|s| s.sent).collect();
    let usage = cluster.instances.iter().filter_map(InstanceProcess::usage).collect();
    Ok(Snapshot { sent, usage, at: Instant::now() })
}

async fn measure_cost(args: &Args, instances: usize, targets: usize) -> Result<()> {
    let cluster = Cluster::start(instances).await?;
    let starts = join_all((0..targets).map(|_| TargetStandIn::start(ANY_PORT, 6))).await;
    let stand_ins = starts.into_iter().collect::<std::io::Result<Vec<_>>>().map_err(|e| unavailable(&e))?;
    let addresses = stand_ins.iter().map(|t| t.server.address).collect::<Vec<_>>();
    let first = generate_sheet(&addresses, None);
    let accepted = submit(cluster.instances[0].admin, "first", PlanVersion::default(), first).await?;
    let measure = Duration::from_secs(args.measure_s);
    // The minimum budget leaves no room for load counts, so the difference to the next case is the cost of
    // load counts.
    let cases = [(BUDGET, 0), (MIN_BUDGET, args.calls_per_s), (BUDGET, args.calls_per_s)];
    let mut version = accepted.version;
    for (budget, calls_per_s) in cases {
        let sheet = format!(
            "{}[budgets]\nname,value\ncontrol_bytes_per_s,{budget}\n",
            generate_sheet(&addresses, None)
        );
        let change_id = format!("budget-{budget}-{calls_per_s}");
        version = submit(cluster.instances[0].admin, &change_id, version, sheet).await?.version;
        // Keeps the bytes that distribute the plan out of the measurement.
        sleep(SETTLE_TIME).await;
        let before = take_snapshot(&cluster).await?;
        tokio::select! {
            () = sleep(measure) => {}
            () = call_all(&cluster, targets, calls_per_s) => {}
        }
        let after = take_snapshot(&cluster).await?;
        let case = CostCase { instances, targets, budget, calls_per_s };
        print_cost(&case, &before, &after);
    }
    Ok(())
}

/// Calls every instance at this rate without waiting for responses, until dropped.
async fn call_all(cluster: &Cluster, targets: usize, calls_per_s: u64) {
    if calls_per_s == 0 {
        return std::future::pending().await;
    }
    let caller = Caller::default();
    let services = targets.div_ceil(TARGETS_PER_SERVICE);
    let mut period = tokio::time::interval(Duration::from_secs(1).div_f64(calls_per_s as f64));
    let mut number = 0_usize;
    loop {
        period.tick().await;
        for instance in &cluster.instances {
            number += 1;
            let path = format!("/service-{:02}/x?work_us={WORK_US}", number % services);
            let (caller, address) = (caller.clone(), instance.callers);
            tokio::spawn(async move { caller.get(address, &path).await });
        }
    }
}

/// One case whose cost is measured.
struct CostCase {
    instances: usize,
    targets: usize,
    /// Control traffic that the plan allows each instance, in bytes per second.
    budget: u32,
    calls_per_s: u64,
}

fn print_cost(case: &CostCase, before: &Snapshot, after: &Snapshot) {
    let CostCase { instances, targets, budget, calls_per_s } = *case;
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let per_instance = |read: fn(&SentBytes) -> u64| {
        let sum = |s: &Snapshot| s.sent.iter().map(read).sum::<u64>();
        (sum(after) - sum(before)) as f64 / instances as f64 / seconds
    };
    let urgent = per_instance(|s| s.urgent_bytes);
    let heartbeat = per_instance(|s| s.heartbeat_bytes);
    let loads = per_instance(|s| s.loads_bytes);
    let rounds = per_instance(|s| s.loads_frames) / (instances - 1) as f64;
    let cpu_time = |s: &Snapshot| s.usage.iter().map(|u| u.cpu_time).sum::<Duration>().as_secs_f64();
    let share = (cpu_time(after) - cpu_time(before)) / instances as f64 / seconds;
    let resident = after.usage.iter().map(|u| u.resident_bytes).sum::<u64>() as f64 / instances as f64;
    println!(
        "{instances:9} {targets:7} {budget:6} {calls_per_s:7} {urgent:8.0} {heartbeat:9.0} {loads:8.0} {:8.0} {rounds:8.1} {:9.2}% {:5.1} MB",
        urgent + heartbeat + loads,
        share * 100.0,
        resident / 1e6
    );
}
