//! Burn rate and latency of a service over time, for the plot.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    counts::DurationHistogram,
    merge::RollUpIndex,
    rollup::{MinuteRollUp, SECONDS_PER_MINUTE, UnixHour, UnixMinute},
    window::{ObjectiveCounts, Window},
};
use crate::{plan::Objective, units::ServiceName};

/// Span from which on the series has coarse steps instead of one step per minute, in minutes.
const COARSE_SPAN_MINUTES: u64 = 120;

/// Step of longer series, in minutes.
const COARSE_STEP_MINUTES: u64 = 5;

/// One step of the time series.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SeriesPoint {
    /// Start of the step, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Length of the step, in seconds.
    pub step_s: u64,
    /// Number of calls that count against the objective.
    #[serde(rename = "judged")]
    pub eligible: u64,
    /// Burn rate of the step; 1.0 spends the error budget exactly within the objective's window.
    pub burn: f64,
    /// 99th percentile of the time to the response head, in milliseconds; that of the whole hour if only the
    /// hour's roll-up has a histogram, absent without a histogram.
    pub p99_ms: Option<f64>,
}

#[derive(Default)]
struct Step {
    objective_counts: ObjectiveCounts,
    latency: DurationHistogram,
}

impl Step {
    /// Returns the step's own percentile, or that of its hour if the step has no histogram.
    fn p99_ms(&self, hours: &BTreeMap<UnixHour, f64>, hour: UnixHour) -> Option<f64> {
        let step_p99 = self.latency.quantile_ms(0.99);
        step_p99.or_else(|| if self.objective_counts.eligible > 0 { hours.get(&hour).copied() } else { None })
    }
}

/// Builds the time series of a service's last day; steps without any roll-up are absent.
pub fn build_series(
    index: &RollUpIndex<'_>,
    name: &ServiceName,
    objective: &Objective,
    now: UnixMinute,
) -> Vec<SeriesPoint> {
    let Some(first) = index.minutes(Window::Day, now).next() else {
        return Vec::new();
    };
    let by_minute = now.0 - first.minute.0 < COARSE_SPAN_MINUTES;
    let step_minutes = if by_minute { 1 } else { COARSE_STEP_MINUTES };
    let mut steps = BTreeMap::<u64, Step>::new();
    for minute in index.minutes(Window::Day, now) {
        let start = minute.minute.0 / step_minutes * step_minutes;
        let step = steps.entry(start).or_default();
        add_minute(step, minute, name);
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

fn add_minute(step: &mut Step, minute: &MinuteRollUp, name: &ServiceName) {
    for service in minute.services.iter().filter(|s| s.service == *name) {
        step.objective_counts.eligible += service.eligible;
        step.objective_counts.useful += service.useful;
        if let Some(histograms) = &service.histograms {
            step.latency.add(&histograms.latency_us);
        }
    }
}

/// Returns the 99th percentile of each hour over all runs that have a roll-up of that hour.
fn p99_by_hour(index: &RollUpIndex<'_>, name: &ServiceName, now: UnixMinute) -> BTreeMap<UnixHour, f64> {
    let mut latency_by_hour = BTreeMap::<UnixHour, DurationHistogram>::new();
    let mut seen_hours = BTreeSet::new();
    let hours = index.minutes(Window::Day, now).filter_map(|minute| index.hour_roll_up(minute));
    for hour in hours.filter(|h| seen_hours.insert((h.hour, &h.run))) {
        for service in hour.services.iter().filter(|s| s.service == *name) {
            latency_by_hour.entry(hour.hour).or_default().add(&service.histograms.latency_us);
        }
    }
    latency_by_hour
        .into_iter()
        .filter_map(|(hour, latency)| Some((hour, latency.quantile_ms(0.99)?)))
        .collect()
}
