//! Merges roll-ups so that each minute of each run counts once.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    counts::DurationHistogram,
    rollup::{
        Annotation, CauseCount, ControlCost, Histograms, HourRollUp, MinuteRollUp, RunKey, ServiceMinute,
        UnixHour, UnixMinute,
    },
    window::{ObjectiveCounts, Window},
};
use crate::{collections::HashMap, units::ServiceName};

/// Seconds within which two instances' marks of the same event are one.
const SAME_ANNOTATION_S: u64 = 120;

/// Sums of one service over one window.
#[derive(Debug, Default)]
pub struct ServiceTotals {
    causes: BTreeMap<(String, String), u64>,
    objective_counts: ObjectiveCounts,
    /// Judged calls of crest minutes.
    pub crest: ObjectiveCounts,
    /// Minutes in which the plan expected a crest.
    pub planned_crest_minutes: u64,
    /// Minutes in which demand made one.
    pub demand_crest_minutes: u64,
    /// Time to the head of the answer.
    pub latency: DurationHistogram,
    /// Time in the queue.
    pub queue_wait: DurationHistogram,
    /// Time behind long requests.
    pub head_of_line: DurationHistogram,
    /// Time to the head of the answer in crest minutes.
    pub crest_latency: DurationHistogram,
}

impl ServiceTotals {
    /// Returns all calls.
    pub fn calls(&self) -> u64 {
        self.causes.values().sum()
    }

    /// Returns the calls that count against the objective.
    pub fn objective_counts(&self) -> ObjectiveCounts {
        self.objective_counts
    }

    /// Returns the calls by outcome and cause, sorted.
    pub fn causes(&self) -> Vec<CauseCount> {
        let count = |((outcome, cause), calls): (&(String, String), &u64)| CauseCount {
            outcome: outcome.clone(),
            cause: cause.clone(),
            calls: *calls,
        };
        self.causes.iter().map(count).collect()
    }

    fn add_counts(&mut self, minute: &ServiceMinute) {
        for count in &minute.causes {
            *self.causes.entry((count.outcome.clone(), count.cause.clone())).or_default() += count.calls;
        }
        self.objective_counts.eligible += minute.eligible;
        self.objective_counts.useful += minute.useful;
        if minute.crest.any() {
            self.crest.eligible += minute.eligible;
            self.crest.useful += minute.useful;
        }
        self.planned_crest_minutes += u64::from(minute.crest.planned);
        self.demand_crest_minutes += u64::from(minute.crest.by_demand);
    }

    fn add_times(&mut self, histograms: &Histograms) {
        self.latency.add(&histograms.latency_us);
        self.queue_wait.add(&histograms.queue_wait_us);
        self.head_of_line.add(&histograms.head_of_line_us);
    }
}

/// Sums of all services over one window.
#[derive(Debug, Default)]
pub struct WindowTotals {
    /// Services.
    pub services: HashMap<ServiceName, ServiceTotals>,
    /// What measuring cost.
    pub cost: ControlCost,
    /// Minutes of all runs that were added.
    pub instance_minutes: u64,
    /// Minutes of which any run is known.
    pub minutes_seen: u64,
}

/// Roll-ups by minute and run; an object that came several times is there once.
#[derive(Debug)]
pub struct RollUpIndex<'a> {
    minutes: BTreeMap<(UnixMinute, &'a RunKey), &'a MinuteRollUp>,
    hours: BTreeMap<(UnixHour, &'a RunKey), &'a HourRollUp>,
}

impl<'a> RollUpIndex<'a> {
    /// Sorts the roll-ups; one with histograms goes before the same minute without.
    pub fn new(minutes: &'a [MinuteRollUp], hours: &'a [HourRollUp]) -> Self {
        let hours_by_run = hours.iter().map(|h| ((h.hour, &h.run), h)).collect();
        let mut by_run = BTreeMap::new();
        for minute in hours.iter().flat_map(|h| &h.minutes) {
            by_run.insert((minute.minute, &minute.run), minute);
        }
        for minute in minutes {
            let kept = by_run.entry((minute.minute, &minute.run)).or_insert(minute);
            // The open minute of this instance may have been read before it closed.
            if calls(minute) >= calls(kept) {
                *kept = minute;
            }
        }
        Self { minutes: by_run, hours: hours_by_run }
    }

    /// Returns the minutes of a window up to and with `now`, sorted.
    pub fn minutes(&self, window: Window, now: UnixMinute) -> impl Iterator<Item = &'a MinuteRollUp> + '_ {
        let first = UnixMinute(now.0.saturating_sub(window.minutes() - 1));
        self.minutes.values().copied().filter(move |m| (first..=now).contains(&m.minute))
    }

    /// Sums a window.
    ///
    /// Counts are by the minute. Histograms of the windows above an hour are by the hour where an hour's
    /// roll-up is known.
    pub fn totals(&self, window: Window, now: UnixMinute) -> WindowTotals {
        let mut sums = WindowTotals::default();
        let mut seen = BTreeSet::new();
        let mut hours = BTreeSet::new();
        for minute in self.minutes(window, now) {
            seen.insert(minute.minute);
            sums.instance_minutes += 1;
            sums.cost = sums.cost.plus(minute.cost);
            let key = (minute.minute.hour(), &minute.run);
            let by_hour = window > Window::Hour && self.hours.contains_key(&key);
            if by_hour {
                hours.insert(key);
            }
            for service in &minute.services {
                let sum = sums.services.entry(service.service.clone()).or_default();
                sum.add_counts(service);
                if !by_hour {
                    add_minute_times(sum, service);
                }
            }
        }
        for hour in hours.into_iter().filter_map(|key| self.hours.get(&key)) {
            for service in &hour.services {
                let sum = sums.services.entry(service.service.clone()).or_default();
                sum.add_times(&service.histograms);
                sum.crest_latency.add(&service.crest_latency_us);
            }
        }
        sums.minutes_seen = seen.len() as u64;
        sums
    }

    /// Returns the roll-up of the hour that a minute belongs to.
    pub fn hour_of(&self, minute: &'a MinuteRollUp) -> Option<&'a HourRollUp> {
        self.hours.get(&(minute.minute.hour(), &minute.run)).copied()
    }

    /// Returns what happened within the last day; one event that several instances saw is one mark.
    pub fn annotations(&self, now: UnixMinute) -> Vec<Annotation> {
        let mut all = self.minutes(Window::Day, now).flat_map(|m| m.annotations.clone()).collect::<Vec<_>>();
        all.sort();
        let mut kept = Vec::<Annotation>::new();
        for annotation in all {
            let same = |k: &Annotation| {
                k.kind == annotation.kind
                    && k.subject == annotation.subject
                    && annotation.unix_s - k.unix_s <= SAME_ANNOTATION_S
            };
            if !kept.iter().rev().any(same) {
                kept.push(annotation);
            }
        }
        kept
    }
}

fn calls(minute: &MinuteRollUp) -> (u64, bool) {
    let calls = minute.services.iter().flat_map(|s| &s.causes).map(|c| c.calls).sum();
    (calls, minute.services.iter().any(|s| s.histograms.is_some()))
}

fn add_minute_times(sum: &mut ServiceTotals, service: &ServiceMinute) {
    let Some(histograms) = &service.histograms else {
        return;
    };
    sum.add_times(histograms);
    if service.crest.any() {
        sum.crest_latency.add(&histograms.latency_us);
    }
}
