//! Cost and speed of the control plane: bytes, processor time and memory per node, and plans raced by operators.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{PlanStatus, SentBytes, client, submit::Accepted},
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

/// Operators that race.
const OPERATORS: usize = 3;

/// Time for which the store is up, then down, in turns.
const STORE_UP: Duration = Duration::from_secs(3);
const STORE_DOWN: Duration = Duration::from_secs(1);

/// Budgets of control bytes a second with and without room for load counts.
const BUDGET: u32 = 21_000;
const LEAST_BUDGET: u32 = 1_000;

/// Pause before a case is measured.
const SETTLE: Duration = Duration::from_secs(2);

/// Longest wait for all instances to hear each other.
const MESH_LIMIT: Duration = Duration::from_secs(30);

/// Targets of one service of a made-up plan.
const TARGETS_PER_SERVICE: usize = 8;

/// Time that a target works on a request, in microseconds.
const WORK_US: u64 = 5_000;

/// Measure the control plane with instances as processes on loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Args {
    /// instances of the raced changes
    #[argh(option, default = "18")]
    instances: usize,
    /// changes that the operators bring in, together
    #[argh(option, default = "30")]
    changes: usize,
    /// milliseconds between an operator's changes
    #[argh(option, default = "1000")]
    pause_ms: u64,
    /// seconds for which each case of cost is measured
    #[argh(option, default = "5")]
    measure_s: u64,
    /// calls a second to each instance while load counts are measured
    #[argh(option, default = "100")]
    calls_per_s: u64,
    /// leave out the cases of cost
    #[argh(switch)]
    no_cost: bool,
}

/// Runs the measurement; fails when a property of the plan was broken.
///
/// # Errors
///
/// When a stand-in or an instance can't be started, or a plan was lost, doubled or taken back.
pub async fn run(args: &Args) -> Result<()> {
    let mut ended = signal(SignalKind::terminate()).map_err(|e| unavailable(&e))?;
    // Returning drops the instances, which ends their processes.
    tokio::select! {
        result = measure(args) => result,
        _ = tokio::signal::ctrl_c() => Ok(()),
        _ = ended.recv() => Ok(()),
    }
}

async fn measure(args: &Args) -> Result<()> {
    race(args).await?;
    if args.no_cost {
        return Ok(());
    }
    println!("per node: bytes/s by purpose, processor as a share of a core, resident memory");
    println!(
        "instances targets budget calls/s   urgent heartbeat    loads      sum rounds/s  processor   memory"
    );
    for instances in [6, 12, 18] {
        for targets in [32, 128, 500] {
            measure_cost(args, instances, targets).await?;
        }
    }
    Ok(())
}

/// Instances and the platform they use.
struct Stage {
    platform: PlatformStandIn,
    instances: Vec<InstanceProcess>,
}

impl Stage {
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
        // Starting waits on the instance, which needs the platform that this runtime serves.
        let instances = tokio::task::block_in_place(|| (0..count).map(start).collect::<Result<Vec<_>>>())?;
        let stage = Self { platform, instances };
        stage.wait_mesh().await?;
        Ok(stage)
    }

    async fn wait_mesh(&self) -> Result<()> {
        let started = Instant::now();
        let others = self.instances.len() - 1;
        while started.elapsed() < MESH_LIMIT {
            let statuses = self.statuses().await?;
            if statuses.iter().all(|s| s.members.iter().filter(|m| m.live).count() == others) {
                return Ok(());
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(Error::new(ErrorKind::AdminUnreachable, "the instances do not all hear each other"))
    }

    async fn statuses(&self) -> Result<Vec<PlanStatus>> {
        let asked = self.instances.iter().map(|i| status(i.admin));
        join_all(asked).await.into_iter().collect()
    }
}

async fn status(admin: SocketAddr) -> Result<PlanStatus> {
    client::call(Method::GET, admin, "/plan/status", None, Bytes::new()).await
}

async fn submit(admin: SocketAddr, change_id: &str, base: PlanVersion, sheet: String) -> Result<Accepted> {
    let path = format!("/plan/submit?change-id={change_id}&base={base}");
    client::call(Method::POST, admin, &path, None, Bytes::from(sheet)).await
}

fn unavailable(e: &std::io::Error) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}

/// Writes a sheet of services with targets at these addresses.
fn sheet_of(addresses: &[SocketAddr], drained: Option<usize>) -> String {
    let mut sheet = "[services]\nname\n".to_owned();
    let services = addresses.len().div_ceil(TARGETS_PER_SERVICE);
    for service in 0..services {
        push(&mut sheet, format_args!("service-{service:02}"));
    }
    sheet.push_str("[targets]\nservice,id,address,data_centre,slots,max_connections\n");
    for (n, address) in addresses.iter().enumerate() {
        let service = n / TARGETS_PER_SERVICE;
        push(&mut sheet, format_args!("service-{service:02},target-{n:03},{address},dc-{},6,250", n % 3));
    }
    sheet.push_str("[routes]\nservice,method,path_prefix,kind\n");
    for service in 0..services {
        push(&mut sheet, format_args!("service-{service:02},GET,/service-{service:02},idempotent"));
    }
    if let Some(n) = drained {
        push(&mut sheet, format_args!("[intentions]\nat,action,subject\nnow,drain,target-{n:03}"));
    }
    sheet
}

fn push(sheet: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing into a string can't fail.
    let _written = writeln!(sheet, "{line}");
}

/// One accepted change as its operator saw it.
struct Raced {
    version: PlanVersion,
    told_after: Duration,
    conflicts: usize,
    retries: usize,
}

async fn race(args: &Args) -> Result<()> {
    let stage = Stage::start(args.instances).await?;
    let nowhere = (0..47).map(|n| SocketAddr::from(([127, 0, 0, 1], 21_000 + n))).collect::<Vec<_>>();
    submit(stage.instances[0].admin, "first", PlanVersion::default(), sheet_of(&nowhere, None)).await?;
    let (raced, ()) = tokio::select! {
        raced = operate_all(args, &stage, &nowhere) => (raced, ()),
        never = toggle_store(&stage.platform) => match never {},
    };
    let raced = raced?;
    stage.platform.set_faults(Faults::default());
    sleep(Duration::from_secs(3)).await;
    report_race(args, &stage, &raced).await
}

async fn toggle_store(platform: &PlatformStandIn) -> std::convert::Infallible {
    loop {
        sleep(STORE_UP).await;
        platform.set_faults(Faults { down: true, ..Faults::default() });
        sleep(STORE_DOWN).await;
        platform.set_faults(Faults { lose_write_replies: 0.3, ..Faults::default() });
    }
}

async fn operate_all(args: &Args, stage: &Stage, addresses: &[SocketAddr]) -> Result<Vec<Raced>> {
    let operators = (0..OPERATORS).map(|operator| async move {
        let mut raced = Vec::new();
        for change in (operator..args.changes).step_by(OPERATORS) {
            let admin = stage.instances[(change * 7 + operator) % stage.instances.len()].admin;
            let sheet = sheet_of(addresses, Some(change % addresses.len()));
            raced.push(bring_in(admin, &format!("change-{operator}-{change}"), sheet).await?);
            sleep(Duration::from_millis(args.pause_ms)).await;
        }
        Ok::<_, Error>(raced)
    });
    Ok(join_all(operators).await.into_iter().collect::<Result<Vec<_>>>()?.into_iter().flatten().collect())
}

/// Submits a change until it is accepted, on top of whatever is in force.
async fn bring_in(admin: SocketAddr, change_id: &str, sheet: String) -> Result<Raced> {
    let started = Instant::now();
    let (mut conflicts, mut retries) = (0, 0);
    loop {
        let base = status(admin).await?.version;
        match submit(admin, change_id, base, sheet.clone()).await {
            Ok(accepted) => {
                let told_after = started.elapsed();
                return Ok(Raced { version: accepted.version, told_after, conflicts, retries });
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

/// Versions as the instances logged them.
#[derive(Default)]
struct Logged {
    /// When each version was committed.
    committed_ms: BTreeMap<u64, u64>,
    /// When each version, or a higher one, came in force at each instance.
    in_force: Vec<Vec<(u64, u64)>>,
}

fn read_logs(stage: &Stage) -> Logged {
    let version = |e: &crate::process::LogEvent| e.value("version").and_then(|v| v.parse::<u64>().ok());
    let mut logged = Logged::default();
    for instance in &stage.instances {
        for event in instance.events("plan-committed").iter().filter(|e| e.value("repeated") == Some("false"))
        {
            logged.committed_ms.extend(version(event).map(|v| (v, event.at_ms)));
        }
        let rises = instance.events("plan-in-force");
        logged.in_force.push(rises.iter().filter_map(|e| Some((version(e)?, e.at_ms))).collect());
    }
    logged
}

impl Logged {
    /// Returns the milliseconds from each commit until the version or a higher one was in force, per instance.
    fn delays_ms(&self) -> Vec<u64> {
        let mut delays = Vec::new();
        for (version, committed_ms) in &self.committed_ms {
            for rises in &self.in_force {
                let at = rises.iter().find(|(v, _)| v >= version).map_or(u64::MAX, |(_, at)| *at);
                delays.push(at.saturating_sub(*committed_ms));
            }
        }
        delays.sort_unstable();
        delays
    }

    fn reversions(&self) -> usize {
        self.in_force.iter().map(|rises| rises.windows(2).filter(|w| w[1].0 <= w[0].0).count()).sum()
    }
}

async fn report_race(args: &Args, stage: &Stage, raced: &[Raced]) -> Result<()> {
    let logged = read_logs(stage);
    let delays = logged.delays_ms();
    let statuses = stage.statuses().await?;
    let expected = PlanVersion::from(args.changes as u64 + 1);
    let behind = statuses.iter().filter(|s| s.version != expected).count();
    let mut versions = raced.iter().map(|r| r.version).collect::<Vec<_>>();
    versions.sort_unstable();
    versions.dedup();
    let doubled = raced.len() - versions.len();
    let conflicts = raced.iter().map(|r| r.conflicts).sum::<usize>();
    let retries = raced.iter().map(|r| r.retries).sum::<usize>();
    let mut told = raced.iter().map(|r| r.told_after.as_millis() as u64).collect::<Vec<_>>();
    told.sort_unstable();
    println!(
        "{} instances, {} changes by {OPERATORS} operators, {conflicts} conflicts, {retries} retries",
        args.instances,
        raced.len()
    );
    println!("from commit to in force, per instance and version: {}", quantiles(&delays));
    println!("from first submit to told accepted: {}", quantiles(&told));
    println!("reversions {}, doubled versions {doubled}, behind at the end {behind}", logged.reversions());
    let broken = logged.reversions() + doubled + behind;
    if broken > 0 {
        return Err(Error::new(ErrorKind::PlanConflict, "a plan was lost, doubled or taken back"));
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

/// What all instances together had used at one time.
struct Reading {
    sent: Vec<SentBytes>,
    usage: Vec<ResourceUsage>,
    at: Instant,
}

async fn read(stage: &Stage) -> Result<Reading> {
    let sent = stage.statuses().await?.iter().map(|s| s.sent).collect();
    let usage = stage.instances.iter().filter_map(InstanceProcess::usage).collect();
    Ok(Reading { sent, usage, at: Instant::now() })
}

async fn measure_cost(args: &Args, instances: usize, targets: usize) -> Result<()> {
    let stage = Stage::start(instances).await?;
    let starts = join_all((0..targets).map(|_| TargetStandIn::start(ANY_PORT, 6))).await;
    let stand_ins = starts.into_iter().collect::<std::io::Result<Vec<_>>>().map_err(|e| unavailable(&e))?;
    let addresses = stand_ins.iter().map(|t| t.server.address).collect::<Vec<_>>();
    let first = sheet_of(&addresses, None);
    let accepted = submit(stage.instances[0].admin, "first", PlanVersion::default(), first).await?;
    let measure = Duration::from_secs(args.measure_s);
    // The least budget leaves nothing for load counts, so the difference to the next case is their cost.
    let cases = [(BUDGET, 0), (LEAST_BUDGET, args.calls_per_s), (BUDGET, args.calls_per_s)];
    let mut version = accepted.version;
    for (budget, calls_per_s) in cases {
        let sheet =
            format!("{}[budgets]\nname,value\ncontrol_bytes_per_s,{budget}\n", sheet_of(&addresses, None));
        let change_id = format!("budget-{budget}-{calls_per_s}");
        version = submit(stage.instances[0].admin, &change_id, version, sheet).await?.version;
        // Let the plan's own bytes pass.
        sleep(SETTLE).await;
        let before = read(&stage).await?;
        tokio::select! {
            () = sleep(measure) => {}
            () = call_all(&stage, targets, calls_per_s) => {}
        }
        let after = read(&stage).await?;
        let case = Case { instances, targets, budget, calls_per_s };
        print_cost(&case, &before, &after);
    }
    Ok(())
}

async fn call_all(stage: &Stage, targets: usize, calls_per_s: u64) {
    if calls_per_s == 0 {
        return std::future::pending().await;
    }
    let caller = Caller::default();
    let services = targets.div_ceil(TARGETS_PER_SERVICE);
    let mut period = tokio::time::interval(Duration::from_secs(1).div_f64(calls_per_s as f64));
    let mut number = 0_usize;
    loop {
        period.tick().await;
        for instance in &stage.instances {
            number += 1;
            let path = format!("/service-{:02}/x?work_us={WORK_US}", number % services);
            let (caller, address) = (caller.clone(), instance.callers);
            tokio::spawn(async move { caller.get(address, &path).await });
        }
    }
}

/// One case of cost.
struct Case {
    instances: usize,
    targets: usize,
    /// Bytes a second that the plan allows.
    budget: u32,
    calls_per_s: u64,
}

fn print_cost(case: &Case, before: &Reading, after: &Reading) {
    let Case { instances, targets, budget, calls_per_s } = *case;
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let per_node = |read: fn(&SentBytes) -> u64| {
        let sum = |r: &Reading| r.sent.iter().map(read).sum::<u64>();
        (sum(after) - sum(before)) as f64 / instances as f64 / seconds
    };
    let urgent = per_node(|s| s.urgent_bytes);
    let heartbeat = per_node(|s| s.heartbeat_bytes);
    let loads = per_node(|s| s.loads_bytes);
    let rounds = per_node(|s| s.loads_frames) / (instances - 1) as f64;
    let processor = |r: &Reading| r.usage.iter().map(|u| u.cpu_time).sum::<Duration>().as_secs_f64();
    let share = (processor(after) - processor(before)) / instances as f64 / seconds;
    let resident = after.usage.iter().map(|u| u.resident_bytes).sum::<u64>() as f64 / instances as f64;
    println!(
        "{instances:9} {targets:7} {budget:6} {calls_per_s:7} {urgent:8.0} {heartbeat:9.0} {loads:8.0} {:8.0} {rounds:8.1} {:9.2}% {:5.1} MB",
        urgent + heartbeat + loads,
        share * 100.0,
        resident / 1e6
    );
}
