//! Metrics of this instance in the OpenMetrics text format.
//!
//! The number of label sets is bounded: labels are services and targets of the plan in force, or enum values.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicI64, AtomicU64},
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

use super::{store_calls::StoreCallMetrics, tally::CompletedCall};
use crate::{
    collections::{HashMap, HashSet},
    error::{Error, ErrorKind, Outcome, Result},
    plan::{Plan, RequestKind},
    units::ServiceName,
};

/// Service label of calls that match no service of the plan.
const UNKNOWN_SERVICE_LABEL: &str = "none";

/// Upper bound of the first bucket of time histograms, in seconds.
const FIRST_BUCKET_S: f64 = 0.000_25;

/// Number of buckets of time histograms; each bound is twice the previous one, up to 131 s.
const BUCKET_COUNT: u16 = 20;

/// Labels of counted calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    service: String,
    kind: String,
    outcome: String,
    cause: String,
}

/// Label of one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Labels of one target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TargetLabels {
    service: String,
    target: String,
}

/// Label of a peer's state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

type HistogramFamily = Family<ServiceLabels, Histogram, fn() -> Histogram>;
type FloatGauge = Gauge<f64, AtomicU64>;

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

fn histogram_family() -> HistogramFamily {
    Family::new_with_constructor(time_histogram as fn() -> Histogram)
}

/// Values of the gauges of one target.
#[derive(Debug, Clone)]
pub struct TargetGauges {
    /// Service label.
    pub service: String,
    /// Target label.
    pub target: String,
    /// Requests of this instance in flight at the target.
    pub in_flight: u32,
    /// Maximum number of requests of all instances that the target may hold now, rounded down.
    pub limit: u32,
    /// Whether the target is ejected because of failures.
    pub ejected: bool,
    /// Whether the target is draining.
    pub draining: bool,
}

/// Value of the queue gauge of one service.
#[derive(Debug, Clone)]
pub struct QueueGauges {
    /// Service label.
    pub service: String,
    /// Number of calls in the queue.
    pub waiting: u64,
}

/// Values of all gauges, collected at each scrape.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Gauges of each target of the plan in force.
    pub targets: Vec<TargetGauges>,
    /// Queue gauge of each service of the plan in force.
    pub queues: Vec<QueueGauges>,
    /// Version of the plan in force.
    pub plan_version: u64,
    /// Time since the plan came into force at this instance, in seconds.
    pub plan_age_s: f64,
    /// Whether the instance passes its readiness check.
    pub ready: bool,
    /// Number of requests in progress.
    pub in_progress: u64,
    /// Number of peers in each state.
    pub peers: PeerGauges,
    /// Health probes per second that this instance may send to all targets together.
    pub probe_budget_per_s: f64,
    /// Store writes per second that this instance may make.
    pub store_write_share_per_s: f64,
    /// Store reads per second that this instance may make.
    pub store_read_share_per_s: f64,
    /// Bytes per second that this instance may send to peers.
    pub control_budget_bytes_per_s: u64,
    /// Resident memory of the process, in bytes.
    pub resident_bytes: u64,
    /// Encoded size of the minute roll-ups in memory, in bytes.
    pub rollup_bytes: u64,
    /// Number of minute roll-ups whose upload the store has not confirmed.
    pub rollup_backlog: u64,
}

/// Number of peers in each state.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerGauges {
    /// Peers heard from recently that are not leaving.
    pub live: u64,
    /// Peers heard from recently that are leaving.
    pub leaving: u64,
    /// Peers not heard from recently.
    pub silent: u64,
}

/// All metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    latency: HistogramFamily,
    queue_wait: HistogramFamily,
    head_of_line: HistogramFamily,
    target_in_flight: Family<TargetLabels, Gauge>,
    target_limit: Family<TargetLabels, Gauge>,
    target_ejected: Family<TargetLabels, Gauge>,
    target_draining: Family<TargetLabels, Gauge>,
    queue_calls: Family<ServiceLabels, Gauge>,
    plan_version: Gauge<i64, AtomicI64>,
    plan_age: FloatGauge,
    ready: Gauge,
    in_progress: Gauge,
    peers: Family<StateLabels, Gauge>,
    probe_budget: FloatGauge,
    store_write_share: FloatGauge,
    store_read_share: FloatGauge,
    control_budget: Gauge,
    resident_bytes: Gauge,
    rollup_bytes: Gauge,
    rollup_backlog: Gauge,
    /// Number of minute roll-ups dropped because the memory limit was reached.
    pub rollup_dropped: Counter,
    /// Number of completed calls that were not counted because their buffer was full.
    pub calls_uncounted: Counter,
    /// Number of log lines dropped by the rate limit.
    pub log_lines_dropped: Counter,
    /// Number of health probes sent to targets.
    pub probes: Counter,
    /// Number of bytes sent to peers.
    pub control_bytes: Counter,
    /// Label sets of `calls`, so that those of services that are no longer in the plan can be removed.
    call_labels: Mutex<HashSet<CallLabels>>,
}

impl Metrics {
    /// Creates and registers all metrics; `store` holds those of calls to the platform.
    pub fn new(store: &StoreCallMetrics) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("arbutusshelf"),
            calls: Family::default(),
            latency: histogram_family(),
            queue_wait: histogram_family(),
            head_of_line: histogram_family(),
            target_in_flight: Family::default(),
            target_limit: Family::default(),
            target_ejected: Family::default(),
            target_draining: Family::default(),
            queue_calls: Family::default(),
            plan_version: Gauge::default(),
            plan_age: FloatGauge::default(),
            ready: Gauge::default(),
            in_progress: Gauge::default(),
            peers: Family::default(),
            probe_budget: FloatGauge::default(),
            store_write_share: FloatGauge::default(),
            store_read_share: FloatGauge::default(),
            control_budget: Gauge::default(),
            resident_bytes: Gauge::default(),
            rollup_bytes: Gauge::default(),
            rollup_backlog: Gauge::default(),
            rollup_dropped: Counter::default(),
            calls_uncounted: Counter::default(),
            log_lines_dropped: Counter::default(),
            probes: Counter::default(),
            control_bytes: Counter::default(),
            call_labels: Mutex::default(),
        };
        metrics.register_calls();
        metrics.register_targets();
        metrics.register_instance();
        metrics.register_budgets(store);
        metrics.register_observability();
        metrics
    }

    fn register_calls(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Ended calls by service, kind, outcome and cause", self.calls.clone());
        let seconds = || Unit::Seconds;
        let (latency, queue_wait) = (self.latency.clone(), self.queue_wait.clone());
        registry.register_with_unit("call_latency", "Time to the head of the answer", seconds(), latency);
        registry.register_with_unit("queue_wait", "Time in the queue", seconds(), queue_wait);
        let head_of_line = self.head_of_line.clone();
        registry.register_with_unit(
            "head_of_line_wait",
            "Time behind long requests",
            seconds(),
            head_of_line,
        );
        registry.register("queue_calls", "Calls that wait in the queue", self.queue_calls.clone());
    }

    fn register_targets(&mut self) {
        let registry = &mut self.registry;
        let in_flight = self.target_in_flight.clone();
        registry.register("target_in_flight", "Requests of this instance at the target", in_flight);
        registry.register("target_limit", "Requests let in flight there at once", self.target_limit.clone());
        registry.register("target_ejected", "1 while the target is ejected", self.target_ejected.clone());
        registry.register("target_draining", "1 while the target drains", self.target_draining.clone());
    }

    fn register_instance(&mut self) {
        let registry = &mut self.registry;
        registry.register("plan_version", "Version of the plan in force", self.plan_version.clone());
        let age = self.plan_age.clone();
        registry.register_with_unit("plan_age", "Time since the plan came into force", Unit::Seconds, age);
        registry.register("ready", "1 while the instance is ready", self.ready.clone());
        registry.register("requests_in_progress", "Requests in progress", self.in_progress.clone());
        registry.register("peers", "Peers by state", self.peers.clone());
    }

    fn register_budgets(&mut self, store: &StoreCallMetrics) {
        let registry = &mut self.registry;
        registry.register("probes", "Probes sent to targets", self.probes.clone());
        let budget = self.probe_budget.clone();
        registry.register("probe_budget_per_second", "Probes a second that may be sent", budget);
        registry.register_with_unit(
            "control",
            "Bytes sent to peers",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
        let budget = self.control_budget.clone();
        registry.register("control_budget_bytes_per_second", "Bytes a second that may go to peers", budget);
        registry.register(
            "store_calls",
            "Calls of the platform by operation and result",
            store.calls.clone(),
        );
        let seconds = store.seconds.clone();
        registry.register_with_unit("store_call", "Time of a call of the platform", Unit::Seconds, seconds);
        let writes = self.store_write_share.clone();
        registry.register("store_write_share_per_second", "Store writes a second that may be made", writes);
        let reads = self.store_read_share.clone();
        registry.register("store_read_share_per_second", "Store reads a second that may be made", reads);
    }

    fn register_observability(&mut self) {
        let registry = &mut self.registry;
        let bytes = self.resident_bytes.clone();
        registry.register_with_unit("process_resident", "Memory of the process", Unit::Bytes, bytes);
        let bytes = self.rollup_bytes.clone();
        registry.register_with_unit("rollup_kept", "Bytes of roll-ups in memory", Unit::Bytes, bytes);
        let backlog = self.rollup_backlog.clone();
        registry.register("rollup_backlog_minutes", "Minutes of roll-ups that wait for the store", backlog);
        let dropped = self.rollup_dropped.clone();
        registry.register("rollup_dropped_minutes", "Minutes of roll-ups given up", dropped);
        let uncounted = self.calls_uncounted.clone();
        registry.register("calls_uncounted", "Ended calls that were not counted", uncounted);
        let lines = self.log_lines_dropped.clone();
        registry.register("log_lines_dropped", "Log lines held back by the limit", lines);
    }

    /// Adds completed calls to the counters and histograms.
    pub fn count(&self, completed_calls: &[CompletedCall]) {
        type CountKey<'a> = (Option<&'a ServiceName>, RequestKind, Outcome, Option<ErrorKind>);
        let mut calls = HashMap::<CountKey<'_>, u64>::default();
        let mut histograms = HashMap::<&ServiceName, [Histogram; 3]>::default();
        for call in completed_calls {
            *calls.entry((call.service.as_ref(), call.kind, call.outcome, call.cause)).or_default() += 1;
            let Some(service) = &call.service else { continue };
            let [latency, queue_wait, head_of_line] =
                histograms.entry(service).or_insert_with(|| self.histograms_of(service));
            if call.outcome != Outcome::NotRun {
                latency.observe(call.latency.as_secs_f64());
            }
            queue_wait.observe(call.queue_wait.as_secs_f64());
            head_of_line.observe(call.head_of_line.as_secs_f64());
        }
        for ((service, kind, outcome, cause), count) in calls {
            self.count_calls(service, kind, outcome, cause, count);
        }
    }

    fn histograms_of(&self, service: &ServiceName) -> [Histogram; 3] {
        let labels = ServiceLabels { service: service.to_string() };
        [&self.latency, &self.queue_wait, &self.head_of_line]
            .map(|family| family.get_or_create_owned(&labels))
    }

    fn count_calls(
        &self,
        service: Option<&ServiceName>,
        kind: RequestKind,
        outcome: Outcome,
        cause: Option<ErrorKind>,
        count: u64,
    ) {
        let labels = CallLabels {
            service: service.map_or_else(|| UNKNOWN_SERVICE_LABEL.to_owned(), ToString::to_string),
            kind: kind.to_string(),
            outcome: outcome.to_string(),
            cause: cause.map(|c| c.to_string()).unwrap_or_default(),
        };
        self.calls.get_or_create(&labels).inc_by(count);
        self.call_labels.lock().unwrap_or_else(PoisonError::into_inner).insert(labels);
    }

    /// Removes the metrics of services that are not in the plan.
    pub fn retain_services_of(&self, plan: &Plan) {
        let mut call_labels = self.call_labels.lock().unwrap_or_else(PoisonError::into_inner);
        call_labels.retain(|labels| {
            let keep = labels.service == UNKNOWN_SERVICE_LABEL || plan.service(&labels.service).is_some();
            if !keep {
                self.calls.remove(labels);
                let service = ServiceLabels { service: labels.service.clone() };
                for family in [&self.latency, &self.queue_wait, &self.head_of_line] {
                    family.remove(&service);
                }
            }
            keep
        });
    }

    /// Returns all metrics in the OpenMetrics text format, with the gauges set from `snapshot`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when the text cannot be encoded.
    pub fn encode(&self, snapshot: &Snapshot) -> Result<String> {
        self.set_gauges(snapshot);
        let mut page = String::new();
        text::encode(&mut page, &self.registry)
            .map_err(|e| Error::new(ErrorKind::File, format!("metrics: {e}")))?;
        Ok(page)
    }

    fn set_gauges(&self, snapshot: &Snapshot) {
        self.set_targets(&snapshot.targets);
        self.queue_calls.clear();
        for queue in &snapshot.queues {
            let labels = ServiceLabels { service: queue.service.clone() };
            self.queue_calls.get_or_create(&labels).set(to_i64(queue.waiting));
        }
        self.plan_version.set(to_i64(snapshot.plan_version));
        self.plan_age.set(snapshot.plan_age_s);
        self.ready.set(i64::from(snapshot.ready));
        self.in_progress.set(to_i64(snapshot.in_progress));
        let peers = snapshot.peers;
        for (state, count) in [("live", peers.live), ("leaving", peers.leaving), ("silent", peers.silent)] {
            self.peers.get_or_create(&StateLabels { state }).set(to_i64(count));
        }
        self.probe_budget.set(snapshot.probe_budget_per_s);
        self.store_write_share.set(snapshot.store_write_share_per_s);
        self.store_read_share.set(snapshot.store_read_share_per_s);
        self.control_budget.set(to_i64(snapshot.control_budget_bytes_per_s));
        self.resident_bytes.set(to_i64(snapshot.resident_bytes));
        self.rollup_bytes.set(to_i64(snapshot.rollup_bytes));
        self.rollup_backlog.set(to_i64(snapshot.rollup_backlog));
    }

    fn set_targets(&self, targets: &[TargetGauges]) {
        let families =
            [&self.target_in_flight, &self.target_limit, &self.target_ejected, &self.target_draining];
        for family in families {
            family.clear();
        }
        for target in targets {
            let labels = TargetLabels { service: target.service.clone(), target: target.target.clone() };
            let values = [
                i64::from(target.in_flight),
                i64::from(target.limit),
                i64::from(target.ejected),
                i64::from(target.draining),
            ];
            for (family, value) in families.into_iter().zip(values) {
                family.get_or_create(&labels).set(value);
            }
        }
    }
}

fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
