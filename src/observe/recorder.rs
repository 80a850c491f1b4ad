//! Records the roll-ups of this run: counts calls by minute, merges minutes into hours and schedules the
//! uploads.
//!
//! The code does no input or output and takes the wall clock as an argument. Memory is bounded by
//! [`KEPT_MINUTES`] and [`KEPT_HOURS`].

use std::collections::VecDeque;

use bytes::Bytes;

use super::{
    counts::{DurationHistogram, ServiceCounts},
    rollup::{
        Annotation, AnnotationKind, ControlCost, Crest, Histograms, HourRollUp, MINUTES_PER_HOUR,
        MinuteRollUp, RunKey, SECONDS_PER_MINUTE, ServiceHour, ServiceMinute, UnixHour, UnixMinute, encode,
        hour_name, minute_name,
    },
    tally::CompletedCall,
};
use crate::{
    collections::HashMap,
    plan::{IntendedAction, Plan},
    store::WriteResult,
    units::ServiceName,
};

/// Number of closed minutes kept in memory: the current hour and the one before.
pub const KEPT_MINUTES: usize = 120;

/// Maximum number of hours kept in memory while the store accepts no uploads: two days.
pub const KEPT_HOURS: usize = 48;

/// Fraction of this instance's share of store writes that roll-ups may use.
pub const UPLOAD_WRITE_SHARE: f64 = 0.05;

/// Time until the next upload after a write that was refused or had an unknown result, in seconds.
const RETRY_PAUSE_S: u64 = 10;

/// Maximum number of annotations of one minute; further ones are dropped.
const MAX_ANNOTATIONS_PER_MINUTE: usize = 64;

/// Assumed duration of a crest from the time that the plan announces, in seconds.
const PLANNED_CREST_S: u64 = 3_600;

/// Demand of a crest minute, as a multiple of the recent mean.
const CREST_DEMAND_FACTOR: f64 = 2.0;

/// Minimum number of calls in a minute that counts as a crest by demand.
const CREST_MIN_CALLS: u64 = 60;

/// Weight of the latest minute in the moving mean of demand, which covers about the last half hour.
const DEMAND_MEAN_WEIGHT: f64 = 1.0 / 15.0;

/// Minute that is being counted.
#[derive(Debug)]
struct CurrentMinute {
    minute: UnixMinute,
    services: HashMap<ServiceName, ServiceCounts>,
    annotations: Vec<Annotation>,
    /// Cost counters at the start of the minute.
    cost_at_start: ControlCost,
}

/// Object that is due for upload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upload {
    /// Object name; a repeated upload of the same roll-up has the same name.
    pub name: String,
    /// Encoded roll-up.
    pub content: Bytes,
    period: RollUpPeriod,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RollUpPeriod {
    Minute(UnixMinute),
    Hour(UnixHour),
}

/// Roll-ups of one run, in memory until they are uploaded or dropped.
#[derive(Debug)]
pub struct RollUpRecorder {
    run: RunKey,
    first_minute: Option<UnixMinute>,
    current: Option<CurrentMinute>,
    /// Closed minutes with histograms, oldest first; at most [`KEPT_MINUTES`].
    closed: VecDeque<MinuteRollUp>,
    /// Encoded sizes of the entries of `closed`, in bytes.
    closed_bytes: VecDeque<u64>,
    /// Closed minutes whose upload the store has not confirmed; each is in `closed`.
    pending_minutes: VecDeque<UnixMinute>,
    /// Closed hours whose upload the store has not confirmed; at most [`KEPT_HOURS`].
    pending_hours: VecDeque<HourRollUp>,
    /// Exponentially weighted moving mean of calls per minute.
    mean_demand: HashMap<ServiceName, f64>,
    next_upload_s: u64,
    dropped_minutes: u64,
}

impl RollUpRecorder {
    /// Creates a recorder without any counts.
    pub fn new(run: RunKey) -> Self {
        Self {
            run,
            first_minute: None,
            current: None,
            closed: VecDeque::new(),
            closed_bytes: VecDeque::new(),
            pending_minutes: VecDeque::new(),
            pending_hours: VecDeque::new(),
            mean_demand: HashMap::default(),
            next_upload_s: 0,
            dropped_minutes: 0,
        }
    }

    /// Closes the current minute if `now_unix_s` is in a later one; if the clock was set back, continues the
    /// current minute.
    pub fn advance(&mut self, now_unix_s: u64, plan: &Plan, cost: ControlCost) {
        let minute = UnixMinute::from_unix_s(now_unix_s);
        match &self.current {
            Some(current) if current.minute >= minute => return,
            Some(current) => {
                let hour_ends = current.minute.hour() != minute.hour();
                self.close(plan, cost, false);
                if hour_ends {
                    self.close_hour();
                }
            }
            None => {
                self.first_minute = Some(minute);
            }
        }
        self.current = Some(CurrentMinute {
            minute,
            services: HashMap::default(),
            annotations: Vec::new(),
            cost_at_start: cost,
        });
    }

    /// Counts completed calls in the current minute; calls without a service are left out.
    pub fn count_calls<'a>(&mut self, calls: impl IntoIterator<Item = &'a CompletedCall>) {
        let Some(current) = &mut self.current else { return };
        for call in calls {
            let Some(service) = &call.service else { continue };
            match current.services.get_mut(service) {
                Some(counts) => counts.record(call),
                None => current.services.entry(service.clone()).or_default().record(call),
            }
        }
    }

    /// Adds an annotation to the current minute.
    pub fn annotate(&mut self, unix_s: u64, kind: AnnotationKind, subject: String) {
        if let Some(current) =
            self.current.as_mut().filter(|c| c.annotations.len() < MAX_ANNOTATIONS_PER_MINUTE)
        {
            current.annotations.push(Annotation { unix_s, kind, subject });
        }
    }

    /// Closes the current minute and hour at shutdown; nothing is counted after that.
    pub fn finish(&mut self, plan: &Plan, cost: ControlCost) {
        if self.current.is_some() {
            self.close(plan, cost, true);
            self.close_hour();
        }
    }

    fn close(&mut self, plan: &Plan, cost: ControlCost, last: bool) {
        let Some(current) = self.current.take() else { return };
        let roll_up = self.build_roll_up(&current, plan, cost, last);
        for (service, counts) in &current.services {
            let calls = counts.calls() as f64;
            let mean = self.mean_demand.entry(service.clone()).or_insert(calls);
            *mean += (calls - *mean) * DEMAND_MEAN_WEIGHT;
        }
        self.mean_demand.retain(|service, mean| {
            let idle = !current.services.contains_key(service);
            if idle {
                *mean *= 1.0 - DEMAND_MEAN_WEIGHT;
            }
            !idle || *mean >= 1.0
        });
        self.pending_minutes.push_back(roll_up.minute);
        self.closed_bytes.push_back(encode(&roll_up).len() as u64);
        self.closed.push_back(roll_up);
        if self.closed.len() > KEPT_MINUTES {
            self.closed_bytes.pop_front();
            let evicted = self.closed.pop_front().map(|m| m.minute);
            self.drop_pending_upload(evicted);
        }
    }

    /// Drops the pending upload of a minute that is no longer kept; the roll-up of its hour still contains
    /// the counts.
    fn drop_pending_upload(&mut self, evicted: Option<UnixMinute>) {
        let before = self.pending_minutes.len();
        self.pending_minutes.retain(|m| Some(*m) != evicted);
        self.dropped_minutes += (before - self.pending_minutes.len()) as u64;
    }

    fn build_roll_up(
        &self,
        current: &CurrentMinute,
        plan: &Plan,
        cost: ControlCost,
        last: bool,
    ) -> MinuteRollUp {
        let service = |(name, counts): (&ServiceName, &ServiceCounts)| ServiceMinute {
            service: name.clone(),
            causes: counts.causes(),
            eligible: counts.eligible,
            useful: counts.useful,
            crest: self.detect_crest(plan, current.minute, name, counts),
            histograms: Some(counts.histograms()),
        };
        let mut services = current.services.iter().map(service).collect::<Vec<_>>();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        MinuteRollUp {
            minute: current.minute,
            run: self.run.clone(),
            first_minute: self.first_minute.unwrap_or(current.minute),
            last,
            services,
            annotations: current.annotations.clone(),
            cost: cost.since(current.cost_at_start),
        }
    }

    fn detect_crest(
        &self,
        plan: &Plan,
        minute: UnixMinute,
        service: &ServiceName,
        counts: &ServiceCounts,
    ) -> Crest {
        let calls = counts.calls();
        let mean = self.mean_demand.get(service).copied();
        let by_demand =
            calls >= CREST_MIN_CALLS && mean.is_some_and(|mean| calls as f64 >= mean * CREST_DEMAND_FACTOR);
        Crest { planned: is_crest_planned(plan, minute, service), by_demand }
    }

    fn close_hour(&mut self) {
        let Some(hour) = self.closed.back().map(|m| m.minute.hour()) else {
            return;
        };
        let minutes = self.closed.iter().filter(|m| m.minute.hour() == hour).collect::<Vec<_>>();
        self.pending_hours.push_back(merge_hour(hour, &self.run, &minutes));
        if self.pending_hours.len() > KEPT_HOURS {
            self.pending_hours.pop_front();
            self.dropped_minutes += MINUTES_PER_HOUR;
        }
    }

    /// Returns the next object to upload, if one is due: hours first, then minutes, each from the oldest.
    pub fn next_upload(&mut self, now_unix_s: u64) -> Option<Upload> {
        if now_unix_s < self.next_upload_s {
            return None;
        }
        self.skip_superseded_minutes(UnixMinute::from_unix_s(now_unix_s));
        if let Some(hour) = self.pending_hours.front() {
            let name = hour_name(hour.hour, &self.run);
            return Some(Upload { name, content: encode(hour), period: RollUpPeriod::Hour(hour.hour) });
        }
        let minute = *self.pending_minutes.front()?;
        let roll_up = self.closed.iter().find(|m| m.minute == minute)?;
        let name = minute_name(minute, &self.run);
        Some(Upload { name, content: encode(roll_up), period: RollUpPeriod::Minute(minute) })
    }

    /// Makes the next upload due at once.
    pub fn make_next_upload_due(&mut self) {
        self.next_upload_s = 0;
    }

    /// Removes pending minutes that no reader needs any more: their hour has been uploaded, and they are more
    /// than an hour old.
    fn skip_superseded_minutes(&mut self, now: UnixMinute) {
        let current_hour = self.current.as_ref().map(|c| c.minute.hour());
        let pending_hours = &self.pending_hours;
        self.pending_minutes.retain(|minute| {
            let hour = minute.hour();
            let hour_uploaded = Some(hour) != current_hour && pending_hours.iter().all(|h| h.hour != hour);
            !(hour_uploaded && minute.0 + MINUTES_PER_HOUR < now.0)
        });
    }

    /// Handles the result of an upload; `writes_per_s` is this instance's share of store writes.
    ///
    /// A conflict means that the store already contains the object, from an earlier upload whose reply was
    /// lost.
    pub fn record_upload(
        &mut self,
        upload: &Upload,
        result: &WriteResult,
        now_unix_s: u64,
        writes_per_s: f64,
    ) {
        match result {
            WriteResult::TookEffect(_) | WriteResult::Conflict(_) => {
                match upload.period {
                    RollUpPeriod::Minute(minute) => self.pending_minutes.retain(|m| *m != minute),
                    RollUpPeriod::Hour(hour) => self.pending_hours.retain(|h| h.hour != hour),
                }
                self.next_upload_s = now_unix_s + upload_period_s(writes_per_s);
            }
            WriteResult::Refused | WriteResult::Unknown => self.next_upload_s = now_unix_s + RETRY_PAUSE_S,
        }
    }

    /// Returns the closed minutes in memory and the current one as counted so far.
    pub fn minutes(&self, plan: &Plan, cost: ControlCost) -> Vec<MinuteRollUp> {
        let current = self.current.as_ref().map(|current| self.build_roll_up(current, plan, cost, false));
        self.closed.iter().cloned().chain(current).collect()
    }

    /// Returns the closed hours whose upload the store has not confirmed.
    pub fn hours(&self) -> Vec<HourRollUp> {
        self.pending_hours.iter().cloned().collect()
    }

    /// Returns the number of closed minutes whose upload the store has not confirmed.
    pub fn pending_minute_count(&self) -> usize {
        self.pending_minutes.len()
    }

    /// Returns the number of minutes dropped since the start because the memory limit was reached.
    pub fn dropped_minutes(&self) -> u64 {
        self.dropped_minutes
    }

    /// Returns the encoded size of the closed minutes in memory, in bytes.
    pub fn kept_bytes(&self) -> u64 {
        self.closed_bytes.iter().sum()
    }
}

/// Returns whether the plan announces a crest of the service that includes the minute.
fn is_crest_planned(plan: &Plan, minute: UnixMinute, service: &ServiceName) -> bool {
    let start_s = minute.start_s();
    plan.intentions.iter().any(|i| {
        let overlaps = i.at_unix_s < start_s + SECONDS_PER_MINUTE && start_s < i.at_unix_s + PLANNED_CREST_S;
        overlaps && matches!(&i.action, IntendedAction::Crest(name, _) if name == service)
    })
}

/// Returns the time between two uploads that keeps them within their share of store writes, in seconds.
pub fn upload_period_s(writes_per_s: f64) -> u64 {
    let rate = (writes_per_s * UPLOAD_WRITE_SHARE).max(f64::MIN_POSITIVE);
    (1.0 / rate).ceil().clamp(1.0, 3_600.0) as u64
}

#[derive(Default)]
struct HourHistograms {
    latency: DurationHistogram,
    queue_wait: DurationHistogram,
    head_of_line: DurationHistogram,
    crest_latency: DurationHistogram,
}

fn merge_hour(hour: UnixHour, run: &RunKey, minutes: &[&MinuteRollUp]) -> HourRollUp {
    let mut merged = HashMap::<ServiceName, HourHistograms>::default();
    for service in minutes.iter().flat_map(|m| &m.services) {
        let Some(histograms) = &service.histograms else {
            continue;
        };
        let merged_histograms = merged.entry(service.service.clone()).or_default();
        merged_histograms.latency.add(&histograms.latency_us);
        merged_histograms.queue_wait.add(&histograms.queue_wait_us);
        merged_histograms.head_of_line.add(&histograms.head_of_line_us);
        if service.crest.any() {
            merged_histograms.crest_latency.add(&histograms.latency_us);
        }
    }
    let pack = |(service, merged_histograms): (ServiceName, HourHistograms)| ServiceHour {
        service,
        histograms: Histograms {
            latency_us: merged_histograms.latency.pack(),
            queue_wait_us: merged_histograms.queue_wait.pack(),
            head_of_line_us: merged_histograms.head_of_line.pack(),
        },
        crest_latency_us: merged_histograms.crest_latency.pack(),
    };
    let mut services = merged.into_iter().map(pack).collect::<Vec<_>>();
    services.sort_by(|a, b| a.service.cmp(&b.service));
    let minutes = minutes.iter().map(|m| without_histograms(m)).collect();
    HourRollUp { hour, run: run.clone(), minutes, services }
}

fn without_histograms(minute: &MinuteRollUp) -> MinuteRollUp {
    let services = minute.services.iter().map(|s| ServiceMinute { histograms: None, ..s.clone() });
    MinuteRollUp { services: services.collect(), ..minute.clone() }
}
