//! Merges roll-ups from several sources so that each minute of each run counts once.

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

/// Maximum distance between annotations of different instances that count as the same event, in seconds.
const SAME_EVENT_S: u64 = 120;

/// Totals of one service over one window.
#[derive(Debug, Default)]
pub struct ServiceTotals {
    causes: BTreeMap<(String, String), u64>,
    objective_counts: ObjectiveCounts,
    /// Eligible calls in crest minutes, which are minutes of peak demand.
    pub crest: ObjectiveCounts,
    /// Minutes in which the plan announced a crest, summed over all runs.
    pub planned_crest_minutes: u64,
    /// Minutes that count as a crest by their measured demand, summed over all runs.
    pub demand_crest_minutes: u64,
    /// Time to the response head.
    pub latency: DurationHistogram,
    /// Time in the queue.
    pub queue_wait: DurationHistogram,
    /// Time in the queue behind long requests (head-of-line blocking).
    pub head_of_line: DurationHistogram,
    /// Time to the response head in crest minutes.
    pub crest_latency: DurationHistogram,
}

impl ServiceTotals {
    /// Returns the number of all calls, eligible or not.
    pub fn calls(&self) -> u64 {
        self.causes.values().sum()
    }

    /// Returns the calls counted against the objective.
    pub fn objective_counts(&self) -> ObjectiveCounts {
        self.objective_counts
    }

    /// Returns the number of calls for each outcome and cause, sorted.
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

    fn add_histograms(&mut self, histograms: &Histograms) {
        self.latency.add(&histograms.latency_us);
        self.queue_wait.add(&histograms.queue_wait_us);
        self.head_of_line.add(&histograms.head_of_line_us);
    }
}

/// Totals of all services over one window.
#[derive(Debug, Default)]
pub struct WindowTotals {
    /// Totals of each service with calls in the window.
    pub services: HashMap<ServiceName, ServiceTotals>,
    /// Cost of measuring and coordination, summed over all runs.
    pub cost: ControlCost,
    /// Number of minutes with a roll-up, summed over all runs.
    pub instance_minutes: u64,
    /// Number of minutes in which at least one run has a roll-up.
    pub covered_minutes: u64,
}

/// Roll-ups by minute and run; duplicates are removed.
#[derive(Debug)]
pub struct RollUpIndex<'a> {
    minutes: BTreeMap<(UnixMinute, &'a RunKey), &'a MinuteRollUp>,
    hours: BTreeMap<(UnixHour, &'a RunKey), &'a HourRollUp>,
}

impl<'a> RollUpIndex<'a> {
    /// Indexes the roll-ups. Of several roll-ups of one minute, keeps the one with the most calls, or with
    /// histograms if their calls are equal.
    pub fn new(minutes: &'a [MinuteRollUp], hours: &'a [HourRollUp]) -> Self {
        let hours_by_run = hours.iter().map(|h| ((h.hour, &h.run), h)).collect();
        let mut minutes_by_run = BTreeMap::new();
        for minute in hours.iter().flat_map(|h| &h.minutes) {
            minutes_by_run.insert((minute.minute, &minute.run), minute);
        }
        for minute in minutes {
            let kept = minutes_by_run.entry((minute.minute, &minute.run)).or_insert(minute);
            // The current minute of this instance may have been read before it was closed, with fewer calls.
            if completeness(minute) >= completeness(kept) {
                *kept = minute;
            }
        }
        Self { minutes: minutes_by_run, hours: hours_by_run }
    }

    /// Returns the minutes of the window that ends with `now`, inclusive, sorted.
    pub fn minutes(&self, window: Window, now: UnixMinute) -> impl Iterator<Item = &'a MinuteRollUp> + '_ {
        let first = UnixMinute(now.0.saturating_sub(window.minutes() - 1));
        self.minutes.values().copied().filter(move |m| (first..=now).contains(&m.minute))
    }

    /// Returns the totals of a window.
    ///
    /// Counts are summed by minute. For windows longer than an hour, histograms come from the hour's roll-up
    /// where there is one, so they may contain minutes of that hour before the window.
    pub fn totals(&self, window: Window, now: UnixMinute) -> WindowTotals {
        let mut totals = WindowTotals::default();
        let mut seen_minutes = BTreeSet::new();
        let mut whole_hours = BTreeSet::new();
        for minute in self.minutes(window, now) {
            seen_minutes.insert(minute.minute);
            totals.instance_minutes += 1;
            totals.cost = totals.cost.plus(minute.cost);
            let key = (minute.minute.hour(), &minute.run);
            let by_hour = window > Window::Hour && self.hours.contains_key(&key);
            if by_hour {
                whole_hours.insert(key);
            }
            for service in &minute.services {
                let service_totals = totals.services.entry(service.service.clone()).or_default();
                service_totals.add_counts(service);
                if !by_hour {
                    add_minute_histograms(service_totals, service);
                }
            }
        }
        for hour in whole_hours.into_iter().filter_map(|key| self.hours.get(&key)) {
            for service in &hour.services {
                let service_totals = totals.services.entry(service.service.clone()).or_default();
                service_totals.add_histograms(&service.histograms);
                service_totals.crest_latency.add(&service.crest_latency_us);
            }
        }
        totals.covered_minutes = seen_minutes.len() as u64;
        totals
    }

    /// Returns the hour roll-up of the same run that contains the minute, if there is one.
    pub fn hour_roll_up(&self, minute: &'a MinuteRollUp) -> Option<&'a HourRollUp> {
        self.hours.get(&(minute.minute.hour(), &minute.run)).copied()
    }

    /// Returns the annotations of the last day, without duplicates of an event that several instances
    /// observed.
    pub fn annotations(&self, now: UnixMinute) -> Vec<Annotation> {
        let mut all = self.minutes(Window::Day, now).flat_map(|m| m.annotations.clone()).collect::<Vec<_>>();
        all.sort();
        let mut kept = Vec::<Annotation>::new();
        for annotation in all {
            let is_same_event = |k: &Annotation| {
                k.kind == annotation.kind
                    && k.subject == annotation.subject
                    && annotation.unix_s - k.unix_s <= SAME_EVENT_S
            };
            if !kept.iter().rev().any(is_same_event) {
                kept.push(annotation);
            }
        }
        kept
    }
}

fn completeness(minute: &MinuteRollUp) -> (u64, bool) {
    let calls = minute.services.iter().flat_map(|s| &s.causes).map(|c| c.calls).sum();
    (calls, minute.services.iter().any(|s| s.histograms.is_some()))
}

fn add_minute_histograms(totals: &mut ServiceTotals, service: &ServiceMinute) {
    let Some(histograms) = &service.histograms else {
        return;
    };
    totals.add_histograms(histograms);
    if service.crest.any() {
        totals.crest_latency.add(&histograms.latency_us);
    }
}
