//! Burn and latency of a service over time, for the plot.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    counts::DurationHistogram,
    merge::RollUpIndex,
    rollup::{MinuteRollUp, SECONDS_PER_MINUTE, UnixHour, UnixMinute},
    window::{ObjectiveCounts, Window},
};
use crate::{plan::Objective, units::ServiceName};

/// Longest span that is shown minute by minute, in minutes.
const FINE_SPAN_MINUTES: u64 = 120;

/// Step of longer spans, in minutes.
const COARSE_STEP_MINUTES: u64 = 5;

/// One point of the plot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SeriesPoint {
    /// Start of the step, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Length of the step, in seconds.
    pub step_s: u64,
    /// Calls that count against the objective.
    #[serde(rename = "judged")]
    pub eligible: u64,
    /// Burn of the step.
    pub burn: f64,
    /// 99th percentile of the time to the head of the answer, in milliseconds; by the hour where an hour's
    /// roll-up is all that is known.
    pub p99_ms: Option<f64>,
}

#[derive(Default)]
struct Step {
    objective_counts: ObjectiveCounts,
    latency: DurationHistogram,
}

impl Step {
    /// Returns the step's own percentile, or that of its hour when no finer one is known.
    fn p99_ms(&self, hours: &BTreeMap<UnixHour, f64>, hour: UnixHour) -> Option<f64> {
        let own = self.latency.quantile_ms(0.99);
        own.or_else(|| if self.objective_counts.eligible > 0 { hours.get(&hour).copied() } else { None })
    }
}

/// Makes the points of a service's last day; steps without any roll-up are absent.
pub fn build_series(
    index: &RollUpIndex<'_>,
    name: &ServiceName,
    objective: &Objective,
    now: UnixMinute,
) -> Vec<SeriesPoint> {
    let Some(first) = index.minutes(Window::Day, now).next() else {
        return Vec::new();
    };
    let fine = now.0 - first.minute.0 < FINE_SPAN_MINUTES;
    let step_minutes = if fine { 1 } else { COARSE_STEP_MINUTES };
    let mut steps = BTreeMap::<u64, Step>::new();
    for minute in index.minutes(Window::Day, now) {
        let start = minute.minute.0 / step_minutes * step_minutes;
        let step = steps.entry(start).or_default();
        add(step, minute, name);
    }
    let hours = p99_by_hour(index, name, now);
    let point = |(start, step): (u64, Step)| SeriesPoint {
        unix_s: start * SECONDS_PER_MINUTE,
        step_s: step_minutes * SECONDS_PER_MINUTE,
        eligible: step.objective_counts.eligible,
        burn: step.objective_counts.burn(objective),
        p99_ms: step.p99_ms(&hours, UnixMinute(start).hour()),
    };
    steps.into_iter().map(point).collect()
}

fn add(step: &mut Step, minute: &MinuteRollUp, name: &ServiceName) {
    for service in minute.services.iter().filter(|s| s.service == *name) {
        step.objective_counts.eligible += service.eligible;
        step.objective_counts.useful += service.useful;
        if let Some(histograms) = &service.histograms {
            step.latency.add(&histograms.latency_us);
        }
    }
}

/// Returns the 99th percentile of each hour for which hour roll-ups are known, over all runs.
fn p99_by_hour(index: &RollUpIndex<'_>, name: &ServiceName, now: UnixMinute) -> BTreeMap<UnixHour, f64> {
    let mut merged = BTreeMap::<UnixHour, DurationHistogram>::new();
    let mut added = BTreeSet::new();
    let hours = index.minutes(Window::Day, now).filter_map(|minute| index.hour_of(minute));
    for hour in hours.filter(|h| added.insert((h.hour, &h.run))) {
        for service in hour.services.iter().filter(|s| s.service == *name) {
            merged.entry(hour.hour).or_default().add(&service.histograms.latency_us);
        }
    }
    merged.into_iter().filter_map(|(hour, times)| Some((hour, times.quantile_ms(0.99)?))).collect()
}
