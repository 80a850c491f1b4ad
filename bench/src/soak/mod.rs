//! Randomized soak test: instances run as processes against stand-ins of the store and of targets (the
//! workers), while a schedule that is derived from a seed injects faults.
//!
//! Afterwards [`checker`] verifies the invariants on what callers and workers observed.

pub mod callers;
pub mod checker;
pub mod cluster;
pub mod history;
pub mod instance;
mod routes;
pub mod schedule;

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use arbutusshelf::error::{Error, ErrorKind, Result};
use argh::FromArgs;
use futures::{StreamExt, stream::FuturesUnordered};

use self::{
    checker::{Finding, RouteAnswers},
    cluster::Cluster,
    history::{AttemptResult, History},
    schedule::SoakSize,
};

/// Time without disturbances at the end, in which instances must serve requests again, in milliseconds.
const RECOVERY_MS: u64 = 7_000;

/// Time that callers' last requests have to end.
const LAST_REQUESTS_TIME: Duration = Duration::from_millis(2_500);

/// Upper limit of the time that one step takes, in milliseconds; a drain takes longest.
const LONGEST_STEP_MS: u64 = 9_000;

/// Run a deployment under randomized disturbances and check its invariants.
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Args {
    /// seed of the schedule; the first seed if --seeds is given
    #[argh(option)]
    pub seed: u64,
    /// number of consecutive seeds to run, one after the other
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// minutes with disturbances for each seed
    #[argh(option, default = "0.3")]
    pub minutes: f64,
    /// number of instances
    #[argh(option, default = "5")]
    pub instances: usize,
    /// number of workers
    #[argh(option, default = "8")]
    pub workers: usize,
    /// number of concurrent callers
    #[argh(option, default = "16")]
    pub callers: usize,
    /// number of routes besides those that are used; with some, the manifest changes in storms, grows, is invalid at
    /// times, and all instances lose power after a change
    #[argh(option, default = "0")]
    pub routes: usize,
    /// directory for logs; the logs of seeds without findings are removed
    #[argh(option, default = "std::env::temp_dir().join(\"arbutusshelf-soak\")")]
    pub logs: PathBuf,
    /// executable of the load balancer, by default the one next to this executable; if given more than once, each
    /// process starts at random as one of them, as builds do side by side in an upgrade
    #[argh(option)]
    pub binary: Vec<PathBuf>,
}

/// Runs all seeds, prints a summary line and the findings of each, and returns all findings.
///
/// # Errors
///
/// When a part of the deployment can't be started, or a log can't be written or removed.
pub async fn run(args: &Args) -> Result<Vec<Finding>> {
    let mut all = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let (history, findings) = run_seed(args, seed).await?;
        println!("{}", summary(seed, &history, &findings, args.instances));
        for finding in &findings {
            println!("  {finding}");
        }
        all.extend(findings);
    }
    Ok(all)
}

fn summary(seed: u64, history: &History, findings: &[Finding], instances: usize) -> String {
    let answered = |is: fn(u16) -> bool| {
        let ends = history.attempts.iter().map(|a| &a.result);
        ends.filter(|e| matches!(e, AttemptResult::Answered { status, .. } if is(*status))).count()
    };
    let lost = history.attempts.iter().filter(|a| matches!(a.result, AttemptResult::NoResponse(_))).count();
    let (drains, routes, limits) = (history.drains.len(), history.routes.len(), history.rate_limits.len());
    let worker_ends = history.worker_ends.len();
    let stops = history.process_runs.iter().filter(|r| r.exited_ms.is_some()).count();
    let peak_mb = history.process_runs.iter().map(|r| r.peak_resident_bytes).max().unwrap_or(0) / 1_000_000;
    let RouteAnswers { all: asked, counted } = checker::route_answers(history, &cluster::bounds(instances));
    format!(
        "seed={seed} findings={} requests={} served={} refused={} unknown={} lost={lost} disturbances={} stops={stops} \
         drains={drains} routes={routes} limits={limits} worker_ends={worker_ends} route_answers={asked} counted={counted} peak_mb={peak_mb} \
         descriptors={}",
        findings.len(),
        history.attempts.len(),
        answered(|s| s == 200),
        answered(|s| s == 429 || s == 503),
        answered(|s| s == 502 || s == 504),
        history.disturbances.len(),
        open_descriptors(),
    )
}

/// Returns the number of descriptors that this process has open; those of a seed are closed after it.
fn open_descriptors() -> usize {
    fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}

async fn run_seed(args: &Args, seed: u64) -> Result<(History, Vec<Finding>)> {
    let directory = args.logs.join(format!("seed-{seed}"));
    let file_error = |e: std::io::Error| Error::new(ErrorKind::File, format!("{}: {e}", directory.display()));
    if directory.exists() {
        fs::remove_dir_all(&directory).map_err(file_error)?;
    }
    fs::create_dir_all(&directory).map_err(file_error)?;
    let binaries = if args.binary.is_empty() {
        vec![std::env::current_exe().map_err(file_error)?.with_file_name("arbutusshelf")]
    } else {
        args.binary.clone()
    };
    let disturbed_ms = (args.minutes * 60_000.0) as u64;
    let size =
        SoakSize { instances: args.instances, workers: args.workers, disturbed_ms, routes: args.routes };
    let cluster = Cluster::start(binaries, directory.clone(), &size).await?;
    let start_ms = cluster.callers.now_ms();
    let undisturbed_from_ms = start_ms + disturbed_ms + LONGEST_STEP_MS;
    cluster.callers.until_ms.store(undisturbed_from_ms + RECOVERY_MS, Ordering::Release);
    let callers = (0..args.callers)
        .map(|number| tokio::spawn(callers::run_caller(Arc::clone(&cluster.callers), number, seed)));
    let callers = callers.collect::<Vec<_>>();
    let steps = schedule::generate_schedule(seed, &size).into_iter().map(|step| {
        let cluster = &cluster;
        async move {
            tokio::time::sleep(Duration::from_millis(step.at_ms)).await;
            cluster.run_step(step).await
        }
    });
    let run_steps = async {
        let mut steps = steps.collect::<FuturesUnordered<_>>();
        while let Some(done) = steps.next().await {
            done?;
        }
        let remaining_ms = (undisturbed_from_ms + RECOVERY_MS).saturating_sub(cluster.callers.now_ms());
        tokio::time::sleep(Duration::from_millis(remaining_ms) + LAST_REQUESTS_TIME).await;
        Ok(())
    };
    tokio::select! {
        done = run_steps => done?,
        ended = cluster.restart_crashed() => ended?,
    }
    for caller in callers {
        caller.abort();
    }
    let history = cluster.finish(undisturbed_from_ms);
    let findings = checker::check(&history, &cluster::bounds(args.instances));
    if findings.is_empty() {
        fs::remove_dir_all(&directory).map_err(file_error)?;
    } else {
        fs::write(directory.join("history.txt"), format!("{history:#?}")).map_err(file_error)?;
    }
    Ok((history, findings))
}
