//! Metrics of a gateway in the OpenMetrics text format.
//!
//! Label values come from fixed lists and from the services of the routing table, so their number is bounded.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
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

use super::{
    Gateway,
    platform_adapter::StoreError,
    request_log::{RepeatCause, SendOutcome},
};
use crate::{
    decide::unconfirmed_ends::ProcessState,
    error::{Error, ErrorKind, Result},
    logging,
    observe::snapshot::resident_bytes,
    plan::RequestKind,
    proxy::connection::{ConnectFailure, Connection},
    units::ServiceName,
};

/// Upper bound of the first histogram bucket of request times; each further bound doubles, up to 4 s.
const FIRST_BUCKET_BOUND_S: f64 = 0.004;
const BUCKET_COUNT: u16 = 11;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    kind: String,
    result: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SendLabels {
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LostSendLabels {
    process: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RepeatLabels {
    cause: String,
    within_budget: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    result: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    table: String,
    result: String,
}

type TimeFamily = Family<ServiceLabels, Histogram, fn() -> Histogram>;

/// Counters, histograms and gauges of one gateway instance.
#[derive(Debug)]
pub struct Metrics {
    requests: Family<RequestLabels, Counter>,
    request_times: TimeFamily,
    sends: Family<SendLabels, Counter>,
    sends_lost: Family<LostSendLabels, Counter>,
    sends_to_limited: Counter,
    repeats: Family<RepeatLabels, Counter>,
    probes: Family<ResultLabels, Counter>,
    connections: Family<ResultLabels, Counter>,
    forwards: Family<SendLabels, Counter>,
    store_calls: Family<StoreCallLabels, Counter>,
    store_restored: Counter,
    dropped_log_lines: Counter,
    routing_invalid: Counter,
    routing_version: Gauge,
    routing_unread: Gauge,
    targets: Gauge,
    targets_limited: Gauge,
    suspects: Gauge,
    quarantined: Gauge,
    instances: Gauge,
    paths_closed: Gauge,
    ready: Gauge,
    in_progress: Gauge,
    resident_bytes: Gauge,
    registry: Mutex<Registry>,
}

impl Default for Metrics {
    fn default() -> Self {
        let times: fn() -> Histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_BOUND_S, 2.0, BUCKET_COUNT));
        let metrics = Self {
            requests: Family::default(),
            request_times: Family::new_with_constructor(times),
            sends: Family::default(),
            sends_lost: Family::default(),
            sends_to_limited: Counter::default(),
            repeats: Family::default(),
            probes: Family::default(),
            connections: Family::default(),
            forwards: Family::default(),
            store_calls: Family::default(),
            store_restored: Counter::default(),
            dropped_log_lines: Counter::default(),
            routing_invalid: Counter::default(),
            routing_version: Gauge::default(),
            routing_unread: Gauge::default(),
            targets: Gauge::default(),
            targets_limited: Gauge::default(),
            suspects: Gauge::default(),
            quarantined: Gauge::default(),
            instances: Gauge::default(),
            paths_closed: Gauge::default(),
            ready: Gauge::default(),
            in_progress: Gauge::default(),
            resident_bytes: Gauge::default(),
            registry: Mutex::new(Registry::with_prefix("arbutusshelf_gateway")),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut r = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        r.register("requests", "Ended requests", self.requests.clone());
        r.register_with_unit("request", "Time to the end", Unit::Seconds, self.request_times.clone());
        r.register("sends", "Ended sends to targets", self.sends.clone());
        r.register("sends_lost", "Sends without an answer, by state of the process", self.sends_lost.clone());
        r.register("sends_to_limited", "Sends to targets with a rate limit", self.sends_to_limited.clone());
        r.register("forwards", "Ended offers of calls to other instances", self.forwards.clone());
        r.register("paths_closed", "Services to whose targets there is no path", self.paths_closed.clone());
        r.register("repeats", "Sends after the first, wanted or made", self.repeats.clone());
        r.register("probes", "Ended probes", self.probes.clone());
        r.register("connections", "Connections to targets that were wanted", self.connections.clone());
        r.register("store_calls", "Calls of the store", self.store_calls.clone());
        r.register("store_restored", "Returns of the store from an older copy", self.store_restored.clone());
        r.register("log_lines_left_out", "Log lines left out", self.dropped_log_lines.clone());
        r.register("routing_invalid", "Invalid routing tables that were read", self.routing_invalid.clone());
        r.register("routing_version", "Version of the routing table", self.routing_version.clone());
        r.register_with_unit(
            "routing_unread",
            "Time for which the routing table could not be read from the store",
            Unit::Seconds,
            self.routing_unread.clone(),
        );
        r.register("targets", "Targets listed", self.targets.clone());
        r.register("targets_limited", "Targets with a rate limit", self.targets_limited.clone());
        r.register("suspects", "Request digests under which targets have ended", self.suspects.clone());
        r.register("quarantined", "Request digests in quarantine", self.quarantined.clone());
        r.register("instances", "Instances that share the budgets", self.instances.clone());
        r.register("ready", "1 while callers should be sent here", self.ready.clone());
        r.register("requests_in_progress", "Requests in progress", self.in_progress.clone());
        r.register_with_unit("resident", "Memory of the process", Unit::Bytes, self.resident_bytes.clone());
    }

    /// Counts a request that ended from its caller's point of view; `took` is the time since its arrival.
    pub fn record_request(&self, service: &ServiceName, kind: RequestKind, result: String, took: Duration) {
        let name = service.to_string();
        self.request_times
            .get_or_create(&ServiceLabels { service: name.clone() })
            .observe(took.as_secs_f64());
        let labels = RequestLabels { service: name, kind: kind.to_string(), result };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a send that ended.
    pub fn record_send(&self, outcome: SendOutcome) {
        self.sends.get_or_create(&SendLabels { outcome: outcome.to_string() }).inc();
    }

    /// Counts a lost send by what was found out of the target's process.
    pub fn record_lost_send(&self, process: ProcessState) {
        self.sends_lost.get_or_create(&LostSendLabels { process: process.to_string() }).inc();
    }

    /// Counts a send to a target that states a rate limit.
    pub fn record_send_to_limited(&self) {
        self.sends_to_limited.inc();
    }

    /// Counts a repeated send that was attempted, whether the repeat budget allowed it or not.
    pub fn record_repeat(&self, cause: RepeatCause, within_budget: bool) {
        let labels = RepeatLabels { cause: cause.to_string(), within_budget: within_budget.to_string() };
        self.repeats.get_or_create(&labels).inc();
    }

    /// Counts a probe that ended.
    pub fn record_probe(&self, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.probes.get_or_create(&ResultLabels { result: result.to_owned() }).inc();
    }

    /// Counts a connection for a request or a probe that was opened or taken from the idle ones, or that could not
    /// be had.
    pub fn record_connection(&self, connection: &Result<Connection, ConnectFailure>) {
        let result = match connection {
            Ok(connection) if connection.is_reused() => "reused".to_owned(),
            Ok(_) => "opened".to_owned(),
            Err(failure) => failure.to_string(),
        };
        self.connections.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts an offer of a call to another instance that ended.
    pub fn record_forward(&self, outcome: SendOutcome) {
        self.forwards.get_or_create(&SendLabels { outcome: outcome.to_string() }).inc();
    }

    /// Counts a call to the store for a table.
    pub fn record_store_call<T>(&self, table: &str, result: &Result<T, StoreError>) {
        let result = result.as_ref().map_or_else(StoreError::label, |_| "answered").to_owned();
        self.store_calls.get_or_create(&StoreCallLabels { table: table.to_owned(), result }).inc();
    }

    /// Counts a routing table that was read and is not used because it is invalid.
    pub fn record_invalid_routing(&self) {
        self.routing_invalid.inc();
    }

    /// Counts a return of the store from an older copy.
    pub fn record_store_restored(&self) {
        self.store_restored.inc();
    }

    /// Adds the log lines that were dropped since the last invocation.
    pub fn record_dropped_log_lines(&self) {
        self.dropped_log_lines.inc_by(logging::take_dropped());
    }

    /// Updates the gauges and encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] if encoding fails.
    pub fn encode(&self, gateway: &Gateway) -> Result<String> {
        self.record_dropped_log_lines();
        let version = gateway.routing().map_or(0, |table| u64::from(table.version));
        self.routing_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let unread =
            gateway.replica().status.routing_unread_since.map(|at| gateway.now().since(at).as_secs());
        self.routing_unread.set(i64::try_from(unread.unwrap_or(0)).unwrap_or(i64::MAX));
        let (targets, limited) = {
            let service_pools = gateway.service_pools();
            (service_pools.directory.listings().count(), service_pools.limited_count())
        };
        self.targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
        self.targets_limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
        let (suspects, quarantined) = {
            let table = gateway.suspects();
            (table.len(), table.quarantined_count(gateway.now()))
        };
        self.suspects.set(i64::try_from(suspects).unwrap_or(i64::MAX));
        self.quarantined.set(i64::try_from(quarantined).unwrap_or(i64::MAX));
        self.instances.set(gateway.instance_count().map_or(0, |n| i64::try_from(n).unwrap_or(i64::MAX)));
        let closed = gateway.target_paths().closed().len();
        self.paths_closed.set(i64::try_from(closed).unwrap_or(i64::MAX));
        self.ready.set(i64::from(gateway.check_ready().is_ok()));
        self.in_progress.set(i64::try_from(gateway.in_progress().request_count()).unwrap_or(i64::MAX));
        self.resident_bytes.set(i64::try_from(resident_bytes()).unwrap_or(i64::MAX));
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        text::encode(&mut text, &registry)
            .map_err(|e| Error::new(ErrorKind::File, format!("metrics: {e}")))?;
        Ok(text)
    }
}
