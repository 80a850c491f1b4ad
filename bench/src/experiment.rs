//! Commands that replay a trace, generate a trace, and compare all policies on all traces.

use std::{fs, path::PathBuf, process::ExitCode, time::Duration};

use arbutusshelf::error::{Error, ErrorKind, Result};
use argh::FromArgs;

use crate::{
    deployment::Deployment,
    generate,
    replay::{self, ReplaySettings, policy::Policy, stats::ReplayStats},
    trace::Trace,
};

/// Seeds of the replays whose medians a table shows.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Lines of docs/MEASUREMENTS.md between which the tables are written.
const TABLE_START: &str = "<!-- experiment: start -->";
const TABLE_END: &str = "<!-- experiment: end -->";

/// Replay a trace in virtual time against simulated targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayCommand {
    /// trace file
    #[argh(positional)]
    trace: PathBuf,
    /// kremsau or magnolia
    #[argh(option, default = "Deployment::Magnolia")]
    deployment: Deployment,
    /// number of instances that share the calls
    #[argh(option, default = "15")]
    instances: usize,
    /// random, round-robin, least-own, product or omniscient
    #[argh(option, default = "Policy::Product")]
    policy: Policy,
    /// seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// share of a service's capacity that demand takes in the peak period; the trace is not scaled if absent
    #[argh(option)]
    load: Option<f64>,
    /// mean age of peers' in-flight counts in milliseconds, 0 to exchange none
    #[argh(option, default = "5.0")]
    count_age_ms: f64,
    /// print the statistics as JSON
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
                .map_err(|e| Error::new(ErrorKind::File, format!("statistics: {e}")))?;
            println!("{text}");
        } else {
            println!("{TABLE_HEADER}\n{}", table_row(&stats));
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
    /// calls per second before demand rises
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

/// Replay all policies on all traces and write the tables of docs/MEASUREMENTS.md.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentCommand {
    /// directory of the traces
    #[argh(option, default = "PathBuf::from(\"bench/traces\")")]
    traces: PathBuf,
    /// page whose tables are replaced; the tables are printed if absent
    #[argh(option)]
    write: Option<PathBuf>,
    /// replay only this trace
    #[argh(option)]
    only: Option<String>,
    /// replay only this policy
    #[argh(option)]
    policy: Option<Policy>,
}

/// One table of the experiment: a trace, the deployment and load it is replayed at, and the age of peers'
/// counts.
#[derive(Debug, Clone)]
struct Case {
    trace: &'static str,
    deployment: Deployment,
    instances: usize,
    load: f64,
    count_age_ms: u64,
}

const TABLE_HEADER: &str = "| policy | p50 ms | p99 ms | p99.9 ms | hol p99 ms | crest | once | not-run | unknown | runs/call | \
     probes/s | control B/s | double |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|";

fn table_row(stats: &ReplayStats) -> String {
    let percent = |n: u64| n as f64 / stats.calls.max(1) as f64 * 100.0;
    format!(
        "| {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.3} | {:.3} | {:.2}% | {:.2}% | {:.3} | {:.0} | {:.0} | {} |",
        stats.policy,
        stats.p50_ms,
        stats.p99_ms,
        stats.p999_ms,
        stats.hol_p99_ms,
        stats.crest_goodput,
        stats.at_most_once_success,
        percent(stats.not_run),
        percent(stats.unknown),
        stats.runs_per_call,
        stats.probes_per_s,
        stats.control_bytes_per_s,
        stats.double_runs
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
            "\n{} at {}, {} instances, load {}, counts {} ms old\n\n{TABLE_HEADER}\n",
            case.trace, case.deployment, case.instances, case.load, case.count_age_ms
        );
        for policy in Policy::ALL.into_iter().filter(|p| self.policy.is_none_or(|only| only == *p)) {
            text += &table_row(&run_seeds(&trace, case, policy));
            text += "\n";
        }
        Ok(text)
    }
}

/// Replays a case with each seed, in parallel, and returns the median of each value.
fn run_seeds(trace: &Trace, case: &Case, policy: Policy) -> ReplayStats {
    let settings = |seed| ReplaySettings {
        deployment: case.deployment,
        instances: case.instances,
        policy,
        seed,
        load: Some(case.load),
        count_age: Duration::from_millis(case.count_age_ms),
    };
    let runs = std::thread::scope(|scope| {
        let threads = SEEDS.map(|seed| scope.spawn(move || replay::run(trace, &settings(seed))));
        threads.map(|t| t.join().expect("a replay does not panic"))
    });
    medians(&runs)
}

/// Returns the median of each value, and the maximum of those that must not exceed a limit in any run.
fn medians(runs: &[ReplayStats; 5]) -> ReplayStats {
    let median_of = |value: fn(&ReplayStats) -> f64| {
        let mut values = runs.each_ref().map(value);
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let maximum_of = |value: fn(&ReplayStats) -> f64| runs.iter().map(value).fold(0.0, f64::max);
    ReplayStats {
        policy: runs[0].policy.clone(),
        seed: 0,
        calls: median_of(|stats| stats.calls as f64) as u64,
        ran: median_of(|stats| stats.ran as f64) as u64,
        not_run: median_of(|stats| stats.not_run as f64) as u64,
        unknown: median_of(|stats| stats.unknown as f64) as u64,
        p50_ms: median_of(|stats| stats.p50_ms),
        p99_ms: median_of(|stats| stats.p99_ms),
        p999_ms: median_of(|stats| stats.p999_ms),
        hol_p99_ms: median_of(|stats| stats.hol_p99_ms),
        crest_goodput: median_of(|stats| stats.crest_goodput),
        at_most_once_success: median_of(|stats| stats.at_most_once_success),
        probes_per_s: maximum_of(|stats| stats.probes_per_s),
        probe_budget_per_s: runs[0].probe_budget_per_s,
        target_probes_per_s: maximum_of(|stats| stats.target_probes_per_s),
        control_bytes_per_s: median_of(|stats| stats.control_bytes_per_s),
        double_runs: runs.iter().map(|stats| stats.double_runs).max().unwrap_or(0),
        runs_per_call: median_of(|stats| stats.runs_per_call),
        short_median_ms: median_of(|stats| stats.short_median_ms),
    }
}

fn replace_table(page: &PathBuf, table: &str) -> Result<()> {
    let file_error = |detail: String| Error::new(ErrorKind::File, format!("{}: {detail}", page.display()));
    let text = fs::read_to_string(page).map_err(|e| file_error(e.to_string()))?;
    let marks = text.find(TABLE_START).zip(text.find(TABLE_END));
    let (start, end) = marks.ok_or_else(|| file_error(format!("no lines {TABLE_START} and {TABLE_END}")))?;
    let head = &text[..start + TABLE_START.len()];
    fs::write(page, format!("{head}\n{table}\n{}", &text[end..])).map_err(|e| file_error(e.to_string()))
}
