//! Commands that replay traces, generate them, and compare all policies on all of them.

use std::{fs, path::PathBuf, process::ExitCode, time::Duration};

use arbutusshelf::error::{Error, ErrorKind, Result};
use argh::FromArgs;

use crate::{
    deployment::Deployment,
    generate,
    replay::{self, ReplaySettings, policy::Policy, stats::ReplayStats},
    trace::Trace,
};

/// Seeds of an experiment.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Lines of docs/MEASUREMENTS.md between which the table stands.
const TABLE_START: &str = "<!-- experiment: start -->";
const TABLE_END: &str = "<!-- experiment: end -->";

/// Replay a trace in virtual time against fake targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayCommand {
    /// trace file
    #[argh(positional)]
    trace: PathBuf,
    /// kremsau or magnolia
    #[argh(option, default = "Deployment::Magnolia")]
    deployment: Deployment,
    /// instances that share the calls
    #[argh(option, default = "15")]
    instances: usize,
    /// random, round-robin, least-own, product or omniscient
    #[argh(option, default = "Policy::Product")]
    policy: Policy,
    /// seed of everything random
    #[argh(option, default = "1")]
    seed: u64,
    /// share of the pool's capacity that demand takes in the crest; the trace as it is if absent
    #[argh(option)]
    load: Option<f64>,
    /// mean age of peers' counts in milliseconds, 0 for none
    #[argh(option, default = "5.0")]
    count_age_ms: f64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl ReplayCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when the trace can't be read.
    pub fn run(self) -> Result<ExitCode> {
        let trace = Trace::load(&self.trace)?;
        let settings = ReplaySettings {
            deployment: self.deployment,
            instances: self.instances,
            policy: self.policy,
            seed: self.seed,
            load: self.load,
            count_age: Duration::from_secs_f64(self.count_age_ms / 1e3),
        };
        let stats = replay::run(&trace, &settings);
        if self.json {
            let text = serde_json::to_string(&stats)
                .map_err(|e| Error::new(ErrorKind::File, format!("figures: {e}")))?;
            println!("{text}");
        } else {
            println!("{HEADER}\n{}", row(&stats));
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Write a named trace to standard output.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "generate")]
pub struct GenerateCommand {
    /// quiet, milonga, recital, noisy, fast-failure or cold-starts
    #[argh(positional)]
    name: String,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
    /// calls a second, before demand rises
    #[argh(option, default = "500.0")]
    calls_per_s: f64,
    /// length in seconds
    #[argh(option, default = "4.0")]
    length_s: f64,
}

impl GenerateCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] for an unknown name.
    pub fn run(self) -> Result<ExitCode> {
        let trace = generate::generate(&self.name, self.seed, self.calls_per_s, self.length_s)?;
        print!("{}", trace.to_text());
        Ok(ExitCode::SUCCESS)
    }
}

/// Replay all policies on all traces and write the table of docs/MEASUREMENTS.md.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentCommand {
    /// directory of the traces
    #[argh(option, default = "PathBuf::from(\"bench/traces\")")]
    traces: PathBuf,
    /// page whose table is replaced; printed if absent
    #[argh(option)]
    write: Option<PathBuf>,
    /// only this trace
    #[argh(option)]
    only: Option<String>,
    /// only this policy
    #[argh(option)]
    policy: Option<Policy>,
}

/// One case of an experiment: a trace at a load with counts of an age.
#[derive(Debug, Clone)]
struct Case {
    trace: &'static str,
    deployment: Deployment,
    instances: usize,
    load: f64,
    count_age_ms: u64,
}

const HEADER: &str = "| policy | p50 ms | p99 ms | p99.9 ms | hol p99 ms | crest | once | not-run | unknown | runs/call | \
     probes/s | control B/s | double |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|";

fn row(f: &ReplayStats) -> String {
    let part = |n: u64| n as f64 / f.calls.max(1) as f64 * 100.0;
    format!(
        "| {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.3} | {:.3} | {:.2}% | {:.2}% | {:.3} | {:.0} | {:.0} | {} |",
        f.policy,
        f.p50_ms,
        f.p99_ms,
        f.p999_ms,
        f.hol_p99_ms,
        f.crest_goodput,
        f.at_most_once_success,
        part(f.not_run),
        part(f.unknown),
        f.runs_per_call,
        f.probes_per_s,
        f.control_bytes_per_s,
        f.double_runs
    )
}

fn cases() -> Vec<Case> {
    let magnolia = |trace, load, count_age_ms| Case {
        trace,
        deployment: Deployment::Magnolia,
        instances: 15,
        load,
        count_age_ms,
    };
    let kremsau =
        |trace, load| Case { deployment: Deployment::Kremsau, instances: 13, ..magnolia(trace, load, 5) };
    let mut cases = vec![magnolia("quiet", 0.5, 5)];
    for load in [0.7, 0.85, 0.95] {
        cases.extend([1, 5, 20].map(|age_ms| magnolia("noisy", load, age_ms)));
    }
    cases.extend([kremsau("noisy", 0.85), kremsau("milonga", 0.85), kremsau("milonga", 2.0)]);
    cases.extend([0.85, 2.0].map(|load| magnolia("recital", load, 5)));
    cases.extend([magnolia("fast-failure", 0.7, 5), magnolia("cold-starts", 0.7, 5)]);
    cases
}

impl ExperimentCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when a trace or the page can't be read or written.
    pub fn run(self) -> Result<ExitCode> {
        let mut text = String::new();
        for case in cases() {
            if self.only.as_ref().is_some_and(|only| only != case.trace) {
                continue;
            }
            text += &self.run_case(&case)?;
        }
        match &self.write {
            Some(page) => replace_table(page, &text)?,
            None => print!("{text}"),
        }
        Ok(ExitCode::SUCCESS)
    }

    fn run_case(&self, case: &Case) -> Result<String> {
        let trace = Trace::load(&self.traces.join(format!("{}.jsonl", case.trace)))?;
        let mut text = format!(
            "\n{} at {}, {} instances, load {}, counts {} ms old\n\n{HEADER}\n",
            case.trace, case.deployment, case.instances, case.load, case.count_age_ms
        );
        for policy in Policy::ALL.into_iter().filter(|p| self.policy.is_none_or(|only| only == *p)) {
            text += &row(&run_seeds(&trace, case, policy));
            text += "\n";
        }
        Ok(text)
    }
}

/// Replays five seeds at a time in threads and returns the median of each figure.
fn run_seeds(trace: &Trace, case: &Case, policy: Policy) -> ReplayStats {
    let settings = |seed| ReplaySettings {
        deployment: case.deployment,
        instances: case.instances,
        policy,
        seed,
        load: Some(case.load),
        count_age: Duration::from_millis(case.count_age_ms),
    };
    let all = std::thread::scope(|scope| {
        let threads = SEEDS.map(|seed| scope.spawn(move || replay::run(trace, &settings(seed))));
        threads.map(|t| t.join().expect("a replay does not panic"))
    });
    median(&all)
}

/// Returns the median of each figure; counts that must be 0 are the highest.
fn median(all: &[ReplayStats; 5]) -> ReplayStats {
    let middle = |figure: fn(&ReplayStats) -> f64| {
        let mut values = all.each_ref().map(figure);
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let highest = |figure: fn(&ReplayStats) -> f64| all.iter().map(figure).fold(0.0, f64::max);
    ReplayStats {
        policy: all[0].policy.clone(),
        seed: 0,
        calls: middle(|f| f.calls as f64) as u64,
        ran: middle(|f| f.ran as f64) as u64,
        not_run: middle(|f| f.not_run as f64) as u64,
        unknown: middle(|f| f.unknown as f64) as u64,
        p50_ms: middle(|f| f.p50_ms),
        p99_ms: middle(|f| f.p99_ms),
        p999_ms: middle(|f| f.p999_ms),
        hol_p99_ms: middle(|f| f.hol_p99_ms),
        crest_goodput: middle(|f| f.crest_goodput),
        at_most_once_success: middle(|f| f.at_most_once_success),
        probes_per_s: highest(|f| f.probes_per_s),
        probe_budget_per_s: all[0].probe_budget_per_s,
        target_probes_per_s: highest(|f| f.target_probes_per_s),
        control_bytes_per_s: middle(|f| f.control_bytes_per_s),
        double_runs: all.iter().map(|f| f.double_runs).max().unwrap_or(0),
        runs_per_call: middle(|f| f.runs_per_call),
        short_median_ms: middle(|f| f.short_median_ms),
    }
}

fn replace_table(page: &PathBuf, table: &str) -> Result<()> {
    let fault = |what: String| Error::new(ErrorKind::File, format!("{}: {what}", page.display()));
    let text = fs::read_to_string(page).map_err(|e| fault(e.to_string()))?;
    let marks = text.find(TABLE_START).zip(text.find(TABLE_END));
    let (start, end) = marks.ok_or_else(|| fault(format!("no lines {TABLE_START} and {TABLE_END}")))?;
    let head = &text[..start + TABLE_START.len()];
    fs::write(page, format!("{head}\n{table}\n{}", &text[end..])).map_err(|e| fault(e.to_string()))
}
