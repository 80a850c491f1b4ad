//! Metrics of this instance in the OpenMetrics text format.
//!
//! Label sets are bounded: services and targets of the plan in force, and closed lists of kinds.

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

/// Service in the place of one that the plan does not know.
const NO_SERVICE: &str = "none";

/// Bounds of time histograms: 0.25 ms and doublings up to 131 s.
const FIRST_BOUND_S: f64 = 0.000_25;
const BOUNDS: u16 = 20;

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

type TimeFamily = Family<ServiceLabels, Histogram, fn() -> Histogram>;
type FloatGauge = Gauge<f64, AtomicU64>;

fn times() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BOUND_S, 2.0, BOUNDS))
}

fn time_family() -> TimeFamily {
    Family::new_with_constructor(times as fn() -> Histogram)
}

/// State of one target for the gauges.
#[derive(Debug, Clone)]
pub struct TargetGauges {
    /// Service.
    pub service: String,
    /// Target.
    pub target: String,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Requests that this instance lets in flight there at once.
    pub limit: u32,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it drains.
    pub draining: bool,
}

/// State of one service's queue for the gauges.
#[derive(Debug, Clone)]
pub struct QueueGauges {
    /// Service.
    pub service: String,
    /// Calls that wait.
    pub waiting: u64,
}

/// State of the instance that is read at each scrape.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Targets of the plan in force.
    pub targets: Vec<TargetGauges>,
    /// Queues of the plan in force.
    pub queues: Vec<QueueGauges>,
    /// Version of the plan in force.
    pub plan_version: u64,
    /// Time since the plan came into force here, in seconds.
    pub plan_age_s: f64,
    /// Whether the instance is ready.
    pub ready: bool,
    /// Requests in progress.
    pub in_progress: u64,
    /// Peers that are live, silent and leaving.
    pub peers: PeerGauges,
    /// Probes a second that this instance may send to all targets.
    pub probe_budget_per_s: f64,
    /// Store writes a second that this instance may make.
    pub store_write_share_per_s: f64,
    /// Store reads a second that this instance may make.
    pub store_read_share_per_s: f64,
    /// Bytes a second that this instance may send to peers.
    pub control_budget_bytes_per_s: u64,
    /// Memory of the process, in bytes.
    pub resident_bytes: u64,
    /// Bytes of roll-ups kept.
    pub rollup_bytes: u64,
    /// Minutes of roll-ups that wait for the store.
    pub rollup_backlog: u64,
}

/// Peers by state.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerGauges {
    /// Heard from lately and staying.
    pub live: u64,
    /// Heard from lately and leaving.
    pub leaving: u64,
    /// Not heard from lately.
    pub silent: u64,
}

/// All metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    latency: TimeFamily,
    queue_wait: TimeFamily,
    head_of_line: TimeFamily,
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
    /// Minutes of roll-ups given up for lack of room.
    pub rollup_dropped: Counter,
    /// Ends of calls that could not be counted for lack of room.
    pub calls_uncounted: Counter,
    /// Log lines held back by the limit.
    pub log_lines_dropped: Counter,
    /// Probes sent to targets.
    pub probes: Counter,
    /// Bytes sent to peers.
    pub control_bytes: Counter,
    /// Label sets of `calls`, to drop those of services that left the plan.
    known: Mutex<HashSet<CallLabels>>,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new(store: &StoreCallMetrics) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("arbutusshelf"),
            calls: Family::default(),
            latency: time_family(),
            queue_wait: time_family(),
            head_of_line: time_family(),
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
            known: Mutex::default(),
        };
        metrics.register_calls();
        metrics.register_targets();
        metrics.register_instance();
        metrics.register_budgets(store);
        metrics.register_observing();
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

    fn register_observing(&mut self) {
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

    /// Counts ends of calls.
    pub fn count(&self, ends: &[CompletedCall]) {
        type Key<'a> = (Option<&'a ServiceName>, RequestKind, Outcome, Option<ErrorKind>);
        let mut calls = HashMap::<Key<'_>, u64>::default();
        let mut times = HashMap::<&ServiceName, [Histogram; 3]>::default();
        for end in ends {
            *calls.entry((end.service.as_ref(), end.kind, end.outcome, end.cause)).or_default() += 1;
            let Some(service) = &end.service else { continue };
            let [latency, queue_wait, head_of_line] =
                times.entry(service).or_insert_with(|| self.times_of(service));
            if end.outcome != Outcome::NotRun {
                latency.observe(end.latency.as_secs_f64());
            }
            queue_wait.observe(end.queue_wait.as_secs_f64());
            head_of_line.observe(end.head_of_line.as_secs_f64());
        }
        for ((service, kind, outcome, cause), count) in calls {
            self.count_calls(service, kind, outcome, cause, count);
        }
    }

    fn times_of(&self, service: &ServiceName) -> [Histogram; 3] {
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
            service: service.map_or_else(|| NO_SERVICE.to_owned(), ToString::to_string),
            kind: kind.to_string(),
            outcome: outcome.to_string(),
            cause: cause.map(|c| c.to_string()).unwrap_or_default(),
        };
        self.calls.get_or_create(&labels).inc_by(count);
        self.known.lock().unwrap_or_else(PoisonError::into_inner).insert(labels);
    }

    /// Forgets services that are not in the plan.
    pub fn retain_services_of(&self, plan: &Plan) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|labels| {
            let keep = labels.service == NO_SERVICE || plan.service(&labels.service).is_some();
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

    /// Writes all metrics as OpenMetrics text.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when the text can't be built.
    pub fn encode(&self, snapshot: &Snapshot) -> Result<String> {
        self.set(snapshot);
        let mut page = String::new();
        text::encode(&mut page, &self.registry)
            .map_err(|e| Error::new(ErrorKind::File, format!("metrics: {e}")))?;
        Ok(page)
    }

    fn set(&self, snapshot: &Snapshot) {
        self.set_targets(&snapshot.targets);
        self.queue_calls.clear();
        for queue in &snapshot.queues {
            let labels = ServiceLabels { service: queue.service.clone() };
            self.queue_calls.get_or_create(&labels).set(signed(queue.waiting));
        }
        self.plan_version.set(signed(snapshot.plan_version));
        self.plan_age.set(snapshot.plan_age_s);
        self.ready.set(i64::from(snapshot.ready));
        self.in_progress.set(signed(snapshot.in_progress));
        let peers = snapshot.peers;
        for (state, count) in [("live", peers.live), ("leaving", peers.leaving), ("silent", peers.silent)] {
            self.peers.get_or_create(&StateLabels { state }).set(signed(count));
        }
        self.probe_budget.set(snapshot.probe_budget_per_s);
        self.store_write_share.set(snapshot.store_write_share_per_s);
        self.store_read_share.set(snapshot.store_read_share_per_s);
        self.control_budget.set(signed(snapshot.control_budget_bytes_per_s));
        self.resident_bytes.set(signed(snapshot.resident_bytes));
        self.rollup_bytes.set(signed(snapshot.rollup_bytes));
        self.rollup_backlog.set(signed(snapshot.rollup_backlog));
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

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
