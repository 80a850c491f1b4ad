//! Statistics of a replay.

use serde::{Deserialize, Serialize};

use super::{Replay, ReplayCall, Reply};
use arbutusshelf::{
    error::Outcome,
    plan::{Priority, RequestKind},
};

/// Statistics of one replay, or the medians of several.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplayStats {
    /// Name of the policy.
    pub policy: String,
    /// Seed of the replay; 0 for medians.
    pub seed: u64,
    /// Number of calls in the trace.
    pub calls: u64,
    /// Number of calls whose reply stated the outcome `ran`.
    pub ran: u64,
    /// Number of calls whose reply stated the outcome `not-run`.
    pub not_run: u64,
    /// Number of calls whose reply stated the outcome `unknown`, or that had no reply.
    pub unknown: u64,
    /// Median latency of useful responses ([`Reply::Useful`]).
    pub p50_ms: f64,
    /// 99th percentile of the latency of useful responses.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of useful responses.
    pub p999_ms: f64,
    /// Head-of-line blocking: 99th percentile over short calls of the time that each waited after a slot that
    /// it could have used was free, or was given to a call that arrived later and has no higher priority.
    pub hol_p99_ms: f64,
    /// Goodput in the peak period: calls with a useful response within the objective, divided by the number
    /// of calls that the capacity of all targets allows.
    pub crest_goodput: f64,
    /// Share of the at-most-once calls of the peak period that had a useful response.
    pub at_most_once_success: f64,
    /// Maximum number of probes to all targets within one second.
    pub probes_per_s: f64,
    /// Maximum number of probes to all targets that the plan allows in one second.
    pub probe_budget_per_s: f64,
    /// Maximum number of probes that one target received within one second.
    pub target_probes_per_s: f64,
    /// Mean number of bytes per second that an instance sent to its peers.
    pub control_bytes_per_s: f64,
    /// Number of calls that are not idempotent and ran more than once.
    pub double_runs: u64,
    /// Attempts that ran at a target, divided by calls that ran; above 1 because of retries and hedged
    /// requests.
    pub runs_per_call: f64,
    /// Median work of calls that are not long.
    pub short_median_ms: f64,
}

/// Start of a target's work on an attempt.
#[derive(Debug, Clone, Copy)]
pub struct WorkStart {
    /// Time of the start, in microseconds.
    pub at_us: u64,
    /// Arrival of the call, in microseconds.
    pub arrived_us: u64,
    /// Priority of the call.
    pub priority: Priority,
}

/// Periods in which at least one slot of an undisturbed target of a service was free.
#[derive(Debug, Clone, Default)]
pub struct FreeSlotTimeline {
    /// Starts and ends of the periods, alternating, beginning with a start.
    edges_us: Vec<u64>,
}

impl FreeSlotTimeline {
    /// Records whether a slot is free from now on.
    pub fn record(&mut self, now_us: u64, free: bool) {
        let was_free = !self.edges_us.len().is_multiple_of(2);
        if free != was_free {
            self.edges_us.push(now_us);
        }
    }

    /// Returns the first time at or after `from_us` at which a slot was free, [`u64::MAX`] if there is none.
    fn first_free(&self, from_us: u64) -> u64 {
        let next = self.edges_us.partition_point(|edge| *edge <= from_us);
        if !next.is_multiple_of(2) {
            return from_us;
        }
        self.edges_us.get(next).copied().unwrap_or(u64::MAX)
    }
}

/// Computes the statistics of a replay that has ended.
pub fn collect(replay: &Replay) -> ReplayStats {
    let calls = &replay.calls;
    let outcome = |expected: Outcome| {
        calls
            .iter()
            .filter(|c| c.replied.map_or(Outcome::Unknown, |(_, reply)| reply.outcome()) == expected)
            .count() as u64
    };
    let mut latencies = calls.iter().filter_map(useful_latency_us).collect::<Vec<_>>();
    latencies.sort_unstable();
    let mut hol = calls.iter().filter(|c| !c.is_long).map(|c| blocked_us(replay, c)).collect::<Vec<_>>();
    hol.sort_unstable();
    let mut short = calls.iter().filter(|c| !c.is_long).map(|c| c.work_us).collect::<Vec<_>>();
    short.sort_unstable();
    let targets = replay.plan.services.iter().map(|s| s.targets.len()).sum::<usize>();
    let length_s = replay.end_us as f64 / 1e6;
    let ran_once = calls.iter().filter(|c| c.runs > 0).count().max(1);
    let is_double_run = |c: &&ReplayCall| c.kind != RequestKind::Idempotent && c.runs > 1;
    ReplayStats {
        policy: replay.settings.policy.to_string(),
        seed: replay.settings.seed,
        calls: calls.len() as u64,
        ran: outcome(Outcome::Ran),
        not_run: outcome(Outcome::NotRun),
        unknown: outcome(Outcome::Unknown),
        p50_ms: quantile_ms(&latencies, 0.5),
        p99_ms: quantile_ms(&latencies, 0.99),
        p999_ms: quantile_ms(&latencies, 0.999),
        hol_p99_ms: quantile_ms(&hol, 0.99),
        crest_goodput: crest_goodput(replay),
        at_most_once_success: at_most_once_success(replay),
        probes_per_s: max_per_second(replay.probe_times_us.iter().map(|p| p.0)),
        probe_budget_per_s: replay.plan.budgets.probes_per_target_per_s * targets as f64,
        target_probes_per_s: max_per_second_at_a_target(replay),
        control_bytes_per_s: replay.control_bytes as f64 / length_s / replay.settings.instances as f64,
        double_runs: calls.iter().filter(is_double_run).count() as u64,
        runs_per_call: calls.iter().map(|c| f64::from(c.runs)).sum::<f64>() / ran_once as f64,
        short_median_ms: quantile_ms(&short, 0.5),
    }
}

/// Returns the value at a quantile of sorted microseconds, in milliseconds.
fn quantile_ms(sorted_us: &[u64], quantile: f64) -> f64 {
    let index = (sorted_us.len() as f64 * quantile) as usize;
    let value = sorted_us.get(index.min(sorted_us.len().saturating_sub(1)));
    value.map_or(0.0, |us| *us as f64 / 1e3)
}

fn useful_latency_us(call: &ReplayCall) -> Option<u64> {
    match call.replied? {
        (at_us, Reply::Useful) => Some(at_us - call.arrived_us),
        (_, Reply::Failed | Reply::Refused(_)) => None,
    }
}

/// Returns the time until a useful response started: the latency of a short call, and that of a long call
/// without its work, which is assumed to be the transfer.
fn time_to_start_us(call: &ReplayCall) -> Option<u64> {
    let whole_us = useful_latency_us(call)?;
    Some(if call.is_long { whole_us.saturating_sub(call.work_us) } else { whole_us })
}

/// Returns the time that a call waited after a slot that it could have used was free, or was given to a call
/// that arrived later and has no higher priority.
fn blocked_us(replay: &Replay, call: &ReplayCall) -> u64 {
    let Some(started_us) = call.started_us else { return 0 };
    let free_us = replay.free_slots[call.service].first_free(call.arrived_us);
    let work_starts = &replay.work_starts[call.service];
    let first = work_starts.partition_point(|s| s.at_us < call.arrived_us);
    let overtaking = work_starts[first..]
        .iter()
        .take_while(|s| s.at_us < started_us)
        .find(|s| s.arrived_us > call.arrived_us && s.priority >= call.priority);
    let overtaken_us = overtaking.map_or(u64::MAX, |s| s.at_us);
    started_us.saturating_sub(free_us.min(overtaken_us))
}

fn crest_goodput(replay: &Replay) -> f64 {
    let mut useful = 0.0;
    let mut allowed = 0.0;
    for (service, spec) in replay.plan.services.iter().enumerate() {
        let in_peak_period =
            |c: &&ReplayCall| c.service == service && replay.peak_period.contains(c.arrived_us);
        let calls = replay.calls.iter().filter(in_peak_period).collect::<Vec<_>>();
        if calls.is_empty() {
            continue;
        }
        let mean_work_s = calls.iter().map(|c| c.work_us as f64).sum::<f64>() / calls.len() as f64 / 1e6;
        let slots = spec.targets.iter().map(|t| f64::from(t.slots)).sum::<f64>();
        let capacity = slots * replay.peak_period.length_s() / mean_work_s;
        let within_us = spec.objective.latency_ms * 1_000;
        let in_time = |c: &&&ReplayCall| time_to_start_us(c).is_some_and(|us| us <= within_us);
        let allowed_here = capacity.min(calls.len() as f64);
        useful += (calls.iter().filter(in_time).count() as f64).min(allowed_here);
        allowed += allowed_here;
    }
    if allowed == 0.0 { 1.0 } else { useful / allowed }
}

fn at_most_once_success(replay: &Replay) -> f64 {
    let expected =
        |c: &&ReplayCall| c.kind == RequestKind::AtMostOnce && replay.peak_period.contains(c.arrived_us);
    let calls = replay.calls.iter().filter(expected).collect::<Vec<_>>();
    let successes = calls.iter().filter(|c| useful_latency_us(c).is_some()).count();
    if calls.is_empty() { 1.0 } else { successes as f64 / calls.len() as f64 }
}

/// Returns the maximum number of points of a sorted sequence within any one second.
fn max_per_second(times_us: impl Iterator<Item = u64>) -> f64 {
    let times = times_us.collect::<Vec<_>>();
    let within = |i: usize| times.partition_point(|t| *t < times[i] + 1_000_000) - i;
    (0..times.len()).map(within).max().unwrap_or(0) as f64
}

fn max_per_second_at_a_target(replay: &Replay) -> f64 {
    let mut highest = 0.0_f64;
    for (service, spec) in replay.plan.services.iter().enumerate() {
        for target in 0..spec.targets.len() {
            let of_target = replay.probe_times_us.iter().filter(|p| (p.1, p.2) == (service, target));
            highest = highest.max(max_per_second(of_target.map(|p| p.0)));
        }
    }
    highest
}
