//! Burn and latency of a service over time, for the plot.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    counts::Times,
    merge::Index,
    rollup::{MINUTE_S, MinuteRollUp, UnixMinute},
    window::{Judged, Window},
};
use crate::{collections::HashSet, plan::Objective, units::ServiceName};

/// Longest span that is shown minute by minute, in minutes.
const FINE_SPAN_MINUTES: u64 = 120;

/// Step of longer spans, in minutes.
const COARSE_STEP_MINUTES: u64 = 5;

/// One point of the plot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Start of the step, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Length of the step, in seconds.
    pub step_s: u64,
    /// Calls that count against the objective.
    pub judged: u64,
    /// Burn of the step.
    pub burn: f64,
    /// 99th percentile of the time to the head of the answer, in milliseconds; by the hour where an hour's
    /// roll-up is all that is known.
    pub p99_ms: Option<f64>,
}

#[derive(Default)]
struct Step {
    judged: Judged,
    latency: Times,
}

/// Makes the points of a service's last day; steps without any roll-up are absent.
pub fn of_service(
    index: &Index<'_>,
    name: &ServiceName,
    objective: &Objective,
    now: UnixMinute,
) -> Vec<Point> {
    let Some(first) = index.minutes(Window::Day, now).next() else {
        return Vec::new();
    };
    let fine = now.0 - first.minute.0 < FINE_SPAN_MINUTES;
    let step_minutes = if fine { 1 } else { COARSE_STEP_MINUTES };
    let mut steps = BTreeMap::<u64, Step>::new();
    let mut hours = HashSet::default();
    for minute in index.minutes(Window::Day, now) {
        let start = minute.minute.0 / step_minutes * step_minutes;
        let step = steps.entry(start).or_default();
        add(step, minute, name);
        if let Some(hour) = index.hour_of(minute)
            && hours.insert((start, hour.hour, &hour.run))
        {
            add_hour(step, minute, index, name);
        }
    }
    let point = |(start, step): (u64, Step)| Point {
        unix_s: start * MINUTE_S,
        step_s: step_minutes * MINUTE_S,
        judged: step.judged.calls,
        burn: step.judged.burn(objective),
        p99_ms: step.latency.quantile_ms(0.99),
    };
    steps.into_iter().map(point).collect()
}

fn add(step: &mut Step, minute: &MinuteRollUp, name: &ServiceName) {
    for service in minute.services.iter().filter(|s| s.service == *name) {
        step.judged.calls += service.judged;
        step.judged.useful += service.useful;
        if let Some(histograms) = &service.histograms {
            step.latency.add(&histograms.latency_us);
        }
    }
}

/// Adds the hour's latencies to a step that has no finer ones.
fn add_hour(step: &mut Step, minute: &MinuteRollUp, index: &Index<'_>, name: &ServiceName) {
    let finer = minute.services.iter().any(|s| s.service == *name && s.histograms.is_some());
    if finer {
        return;
    }
    let hour = index.hour_of(minute).into_iter().flat_map(|h| &h.services);
    for service in hour.filter(|s| s.service == *name) {
        step.latency.add(&service.histograms.latency_us);
    }
}
