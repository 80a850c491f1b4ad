//! Figures of a replay.

use serde::{Deserialize, Serialize};

use super::{Replay, ReplayCall, Reply};
use arbutusshelf::{
    error::Outcome,
    plan::{Priority, RequestKind},
};

/// What one replay gave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplayStats {
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Calls of the trace.
    pub calls: u64,
    /// Calls whose caller was told `ran`.
    pub ran: u64,
    /// Calls whose caller was told `not-run`.
    pub not_run: u64,
    /// Calls whose caller was told `unknown` or nothing.
    pub unknown: u64,
    /// Median time to a useful answer.
    pub p50_ms: f64,
    /// 99th percentile of the time to a useful answer.
    pub p99_ms: f64,
    /// 99.9th percentile of the time to a useful answer.
    pub p999_ms: f64,
    /// 99th percentile, over short calls, of the time each waited after a slot that it could have used was free
    /// or was given to a call that came later and is not of higher priority.
    pub hol_p99_ms: f64,
    /// Useful answers in time over what perfect capacity allows, for calls that arrived in the crest.
    pub crest_goodput: f64,
    /// Part of the at-most-once calls of the crest that had a useful answer before the deadline.
    pub at_most_once_success: f64,
    /// Most probes to all targets in one second.
    pub probes_per_s: f64,
    /// Most probes that all targets may receive in a second.
    pub probe_budget_per_s: f64,
    /// Most probes that one target received in one second.
    pub target_probes_per_s: f64,
    /// Bytes a second that one instance sent to its peers on average.
    pub control_bytes_per_s: f64,
    /// Calls that are not idempotent and ran more than once.
    pub double_runs: u64,
    /// Runs at targets over calls that ran; above 1 by retries and hedges.
    pub runs_per_call: f64,
    /// Median work of short calls.
    pub short_median_ms: f64,
}

/// When work began to run.
#[derive(Debug, Clone, Copy)]
pub struct WorkStart {
    /// Time in microseconds.
    pub at_us: u64,
    /// Arrival of the call.
    pub arrived_us: u64,
    /// Priority of the call.
    pub priority: Priority,
}

/// Times at which an undisturbed slot became free or the last one was taken.
#[derive(Debug, Clone, Default)]
pub struct FreeSlotTimeline {
    /// Starts and ends of free time, in turn, beginning with a start.
    edges_us: Vec<u64>,
}

impl FreeSlotTimeline {
    /// Notes whether a slot is free from now on.
    pub fn record(&mut self, now_us: u64, free: bool) {
        let was_free = !self.edges_us.len().is_multiple_of(2);
        if free != was_free {
            self.edges_us.push(now_us);
        }
    }

    /// Returns the first time from `from_us` on at which a slot was free.
    fn first_free(&self, from_us: u64) -> u64 {
        let next = self.edges_us.partition_point(|edge| *edge <= from_us);
        if !next.is_multiple_of(2) {
            return from_us;
        }
        self.edges_us.get(next).copied().unwrap_or(u64::MAX)
    }
}

/// Computes the figures of a replay that has ended.
pub fn collect(replay: &Replay) -> ReplayStats {
    let calls = &replay.calls;
    let outcome = |wanted: Outcome| {
        calls
            .iter()
            .filter(|c| c.replied.map_or(Outcome::Unknown, |(_, reply)| reply.outcome()) == wanted)
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
    let double = |c: &&ReplayCall| c.kind != RequestKind::Idempotent && c.runs > 1;
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
        double_runs: calls.iter().filter(double).count() as u64,
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

/// Time until an answer began: a short call's whole time, a long one's without the transfer.
fn time_to_start_us(call: &ReplayCall) -> Option<u64> {
    let whole_us = useful_latency_us(call)?;
    Some(if call.is_long { whole_us.saturating_sub(call.work_us) } else { whole_us })
}

/// Time a call waited after a slot that it could have used was free or went to a later one.
fn blocked_us(replay: &Replay, call: &ReplayCall) -> u64 {
    let Some(started_us) = call.started_us else { return 0 };
    let free_us = replay.free_slots[call.service].first_free(call.arrived_us);
    let work_starts = &replay.work_starts[call.service];
    let first = work_starts.partition_point(|s| s.at_us < call.arrived_us);
    let passed = work_starts[first..]
        .iter()
        .take_while(|s| s.at_us < started_us)
        .find(|s| s.arrived_us > call.arrived_us && s.priority >= call.priority);
    let passed_us = passed.map_or(u64::MAX, |s| s.at_us);
    started_us.saturating_sub(free_us.min(passed_us))
}

fn crest_goodput(replay: &Replay) -> f64 {
    let mut useful = 0.0;
    let mut allowed = 0.0;
    for (service, spec) in replay.plan.services.iter().enumerate() {
        let in_crest = |c: &&ReplayCall| c.service == service && replay.peak_period.contains(c.arrived_us);
        let calls = replay.calls.iter().filter(in_crest).collect::<Vec<_>>();
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
    let wanted =
        |c: &&ReplayCall| c.kind == RequestKind::AtMostOnce && replay.peak_period.contains(c.arrived_us);
    let calls = replay.calls.iter().filter(wanted).collect::<Vec<_>>();
    let good = calls.iter().filter(|c| useful_latency_us(c).is_some()).count();
    if calls.is_empty() { 1.0 } else { good as f64 / calls.len() as f64 }
}

/// Most points of a sorted sequence within any one second.
fn max_per_second(times_us: impl Iterator<Item = u64>) -> f64 {
    let times = times_us.collect::<Vec<_>>();
    let within = |i: usize| times.partition_point(|t| *t < times[i] + 1_000_000) - i;
    (0..times.len()).map(within).max().unwrap_or(0) as f64
}

fn max_per_second_at_a_target(replay: &Replay) -> f64 {
    let mut most = 0.0_f64;
    for (service, spec) in replay.plan.services.iter().enumerate() {
        for target in 0..spec.targets.len() {
            let of_target = replay.probe_times_us.iter().filter(|p| (p.1, p.2) == (service, target));
            most = most.max(max_per_second(of_target.map(|p| p.0)));
        }
    }
    most
}
