//! Minutes of this run: counted, closed, kept for a while and handed out for upload.
//!
//! Pure: the wall clock is passed in. Memory is bounded by [`KEPT_MINUTES`] and [`KEPT_HOURS`].

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

/// Closed minutes kept in memory: the running hour and the one before.
pub const KEPT_MINUTES: usize = 120;

/// Hours kept in memory while the store takes none: two days.
pub const KEPT_HOURS: usize = 48;

/// Part of this instance's share of store writes that roll-ups may use.
pub const WRITE_SHARE: f64 = 0.05;

/// Pause after a write that the store did not take, in seconds.
const RETRY_PAUSE_S: u64 = 10;

/// Marks kept for one minute; further ones are dropped.
const MAX_ANNOTATIONS: usize = 64;

/// Time for which an expected crest lasts from its intention on, in seconds.
const PLANNED_CREST_S: u64 = 3_600;

/// Demand above its recent mean that makes a crest.
const CREST_FACTOR: f64 = 2.0;

/// Calls in a minute below which demand makes no crest.
const CREST_MIN_CALLS: u64 = 60;

/// Weight of the latest minute in the mean of demand; about the last half hour counts.
const DEMAND_WEIGHT: f64 = 1.0 / 15.0;

/// A minute that is being counted.
#[derive(Debug)]
struct OpenMinute {
    minute: UnixMinute,
    services: HashMap<ServiceName, ServiceCounts>,
    annotations: Vec<Annotation>,
    /// Counters when the minute began.
    cost_before: ControlCost,
}

/// One object to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upload {
    /// Name; the same content always has the same one.
    pub name: String,
    /// Content.
    pub content: Bytes,
    unit: Unit,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unit {
    Minute(UnixMinute),
    Hour(UnixHour),
}

/// Roll-ups of one run.
#[derive(Debug)]
pub struct RollUpRecorder {
    run: RunKey,
    first_minute: Option<UnixMinute>,
    open: Option<OpenMinute>,
    /// Closed minutes with histograms, oldest first; at most [`KEPT_MINUTES`].
    closed: VecDeque<MinuteRollUp>,
    /// Sizes of `closed` as encoded, in bytes.
    closed_bytes: VecDeque<u64>,
    /// Closed minutes whose upload is not confirmed; each is in `closed`.
    pending_minutes: VecDeque<UnixMinute>,
    /// Closed hours whose upload is not confirmed; at most [`KEPT_HOURS`].
    pending_hours: VecDeque<HourRollUp>,
    /// Exponentially weighted mean of calls a minute.
    demand: HashMap<ServiceName, f64>,
    next_upload_s: u64,
    dropped: u64,
}

impl RollUpRecorder {
    /// Starts with nothing counted.
    pub fn new(run: RunKey) -> Self {
        Self {
            run,
            first_minute: None,
            open: None,
            closed: VecDeque::new(),
            closed_bytes: VecDeque::new(),
            pending_minutes: VecDeque::new(),
            pending_hours: VecDeque::new(),
            demand: HashMap::default(),
            next_upload_s: 0,
            dropped: 0,
        }
    }

    /// Moves to the minute of `now_unix_s`; a clock that goes backwards stays in the minute it was in.
    pub fn advance(&mut self, now_unix_s: u64, plan: &Plan, cost: ControlCost) {
        let minute = UnixMinute::from_unix_s(now_unix_s);
        match &self.open {
            Some(open) if open.minute >= minute => return,
            Some(open) => {
                let hour_ends = open.minute.hour() != minute.hour();
                self.close(plan, cost, false);
                if hour_ends {
                    self.close_hour();
                }
            }
            None => {
                self.first_minute = Some(minute);
            }
        }
        self.open = Some(OpenMinute {
            minute,
            services: HashMap::default(),
            annotations: Vec::new(),
            cost_before: cost,
        });
    }

    /// Counts ends of calls in the open minute.
    pub fn count_calls<'a>(&mut self, ends: impl IntoIterator<Item = &'a CompletedCall>) {
        let Some(open) = &mut self.open else { return };
        for end in ends {
            let Some(service) = &end.service else { continue };
            match open.services.get_mut(service) {
                Some(counts) => counts.record(end),
                None => open.services.entry(service.clone()).or_default().record(end),
            }
        }
    }

    /// Notes that something happened in the open minute.
    pub fn annotate(&mut self, unix_s: u64, kind: AnnotationKind, subject: String) {
        if let Some(open) = self.open.as_mut().filter(|o| o.annotations.len() < MAX_ANNOTATIONS) {
            open.annotations.push(Annotation { unix_s, kind, subject });
        }
    }

    /// Closes the open minute and its hour for good; nothing is counted after that.
    pub fn finish(&mut self, plan: &Plan, cost: ControlCost) {
        if self.open.is_some() {
            self.close(plan, cost, true);
            self.close_hour();
        }
    }

    fn close(&mut self, plan: &Plan, cost: ControlCost, last: bool) {
        let Some(open) = self.open.take() else { return };
        let roll_up = self.roll_up(&open, plan, cost, last);
        for (service, counts) in &open.services {
            let calls = counts.calls() as f64;
            let mean = self.demand.entry(service.clone()).or_insert(calls);
            *mean += (calls - *mean) * DEMAND_WEIGHT;
        }
        self.demand.retain(|service, mean| {
            let idle = !open.services.contains_key(service);
            if idle {
                *mean *= 1.0 - DEMAND_WEIGHT;
            }
            !idle || *mean >= 1.0
        });
        self.pending_minutes.push_back(roll_up.minute);
        self.closed_bytes.push_back(encode(&roll_up).len() as u64);
        self.closed.push_back(roll_up);
        if self.closed.len() > KEPT_MINUTES {
            self.closed_bytes.pop_front();
            let evicted = self.closed.pop_front().map(|m| m.minute);
            self.drop_pending(evicted);
        }
    }

    /// Gives up the upload of a minute that is no longer kept; its hour still has the counts.
    fn drop_pending(&mut self, evicted: Option<UnixMinute>) {
        let before = self.pending_minutes.len();
        self.pending_minutes.retain(|m| Some(*m) != evicted);
        self.dropped += (before - self.pending_minutes.len()) as u64;
    }

    fn roll_up(&self, open: &OpenMinute, plan: &Plan, cost: ControlCost, last: bool) -> MinuteRollUp {
        let service = |(name, counts): (&ServiceName, &ServiceCounts)| ServiceMinute {
            service: name.clone(),
            causes: counts.causes(),
            eligible: counts.eligible,
            useful: counts.useful,
            crest: self.crest(plan, open.minute, name, counts),
            histograms: Some(counts.histograms()),
        };
        let mut services = open.services.iter().map(service).collect::<Vec<_>>();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        MinuteRollUp {
            minute: open.minute,
            run: self.run.clone(),
            first_minute: self.first_minute.unwrap_or(open.minute),
            last,
            services,
            annotations: open.annotations.clone(),
            cost: cost.since(open.cost_before),
        }
    }

    fn crest(&self, plan: &Plan, minute: UnixMinute, service: &ServiceName, counts: &ServiceCounts) -> Crest {
        let calls = counts.calls();
        let mean = self.demand.get(service).copied();
        let by_demand =
            calls >= CREST_MIN_CALLS && mean.is_some_and(|mean| calls as f64 >= mean * CREST_FACTOR);
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
            self.dropped += MINUTES_PER_HOUR;
        }
    }

    /// Returns the next object to write, if one is due; hours go first, then minutes from the oldest.
    pub fn next_upload(&mut self, now_unix_s: u64) -> Option<Upload> {
        if now_unix_s < self.next_upload_s {
            return None;
        }
        self.skip_covered(UnixMinute::from_unix_s(now_unix_s));
        if let Some(hour) = self.pending_hours.front() {
            let name = hour_name(hour.hour, &self.run);
            return Some(Upload { name, content: encode(hour), unit: Unit::Hour(hour.hour) });
        }
        let minute = *self.pending_minutes.front()?;
        let roll_up = self.closed.iter().find(|m| m.minute == minute)?;
        let name = minute_name(minute, &self.run);
        Some(Upload { name, content: encode(roll_up), unit: Unit::Minute(minute) })
    }

    /// Makes the next upload due at once.
    pub fn make_next_upload_due(&mut self) {
        self.next_upload_s = 0;
    }

    /// Skips minutes that no reader asks for any more because their hour's object has been written.
    fn skip_covered(&mut self, now: UnixMinute) {
        let running = self.open.as_ref().map(|o| o.minute.hour());
        let pending_hours = &self.pending_hours;
        self.pending_minutes.retain(|minute| {
            let hour = minute.hour();
            let written = Some(hour) != running && pending_hours.iter().all(|h| h.hour != hour);
            !(written && minute.0 + MINUTES_PER_HOUR < now.0)
        });
    }

    /// Takes the result of a write; `writes_per_s` is this instance's share of store writes.
    ///
    /// A conflict means that the object is there: an earlier write whose reply was lost.
    pub fn record_upload(
        &mut self,
        upload: &Upload,
        result: &WriteResult,
        now_unix_s: u64,
        writes_per_s: f64,
    ) {
        match result {
            WriteResult::TookEffect(_) | WriteResult::Conflict(_) => {
                match upload.unit {
                    Unit::Minute(minute) => self.pending_minutes.retain(|m| *m != minute),
                    Unit::Hour(hour) => self.pending_hours.retain(|h| h.hour != hour),
                }
                self.next_upload_s = now_unix_s + upload_period_s(writes_per_s);
            }
            WriteResult::Refused | WriteResult::Unknown => self.next_upload_s = now_unix_s + RETRY_PAUSE_S,
        }
    }

    /// Returns the closed minutes in memory and the open one as it stands.
    pub fn minutes(&self, plan: &Plan, cost: ControlCost) -> Vec<MinuteRollUp> {
        let open = self.open.as_ref().map(|open| self.roll_up(open, plan, cost, false));
        self.closed.iter().cloned().chain(open).collect()
    }

    /// Returns the hours in memory that the store has not confirmed.
    pub fn hours(&self) -> Vec<HourRollUp> {
        self.pending_hours.iter().cloned().collect()
    }

    /// Returns how many closed minutes wait for their upload.
    pub fn pending_minute_count(&self) -> usize {
        self.pending_minutes.len()
    }

    /// Returns how many minutes were given up for lack of room since the start.
    pub fn dropped_minutes(&self) -> u64 {
        self.dropped
    }

    /// Returns the size of the closed minutes kept, as encoded, in bytes.
    pub fn kept_bytes(&self) -> u64 {
        self.closed_bytes.iter().sum()
    }
}

/// Returns whether the plan expects a crest of a service in a minute.
fn is_crest_planned(plan: &Plan, minute: UnixMinute, service: &ServiceName) -> bool {
    let start_s = minute.start_s();
    plan.intentions.iter().any(|i| {
        let now = i.at_unix_s < start_s + SECONDS_PER_MINUTE && start_s < i.at_unix_s + PLANNED_CREST_S;
        now && matches!(&i.action, IntendedAction::Crest(name, _) if name == service)
    })
}

/// Returns the seconds between two writes, so that they stay within their share.
pub fn upload_period_s(writes_per_s: f64) -> u64 {
    let rate = (writes_per_s * WRITE_SHARE).max(f64::MIN_POSITIVE);
    (1.0 / rate).ceil().clamp(1.0, 3_600.0) as u64
}

#[derive(Default)]
struct HourTimes {
    latency: DurationHistogram,
    queue_wait: DurationHistogram,
    head_of_line: DurationHistogram,
    crest_latency: DurationHistogram,
}

fn merge_hour(hour: UnixHour, run: &RunKey, minutes: &[&MinuteRollUp]) -> HourRollUp {
    let mut merged = HashMap::<ServiceName, HourTimes>::default();
    for service in minutes.iter().flat_map(|m| &m.services) {
        let Some(histograms) = &service.histograms else {
            continue;
        };
        let times = merged.entry(service.service.clone()).or_default();
        times.latency.add(&histograms.latency_us);
        times.queue_wait.add(&histograms.queue_wait_us);
        times.head_of_line.add(&histograms.head_of_line_us);
        if service.crest.any() {
            times.crest_latency.add(&histograms.latency_us);
        }
    }
    let pack = |(service, times): (ServiceName, HourTimes)| ServiceHour {
        service,
        histograms: Histograms {
            latency_us: times.latency.pack(),
            queue_wait_us: times.queue_wait.pack(),
            head_of_line_us: times.head_of_line.pack(),
        },
        crest_latency_us: times.crest_latency.pack(),
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
