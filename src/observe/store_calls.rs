//! Counts and times the calls that this instance makes to the platform's service.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use futures::future::FutureExt;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
};
use tokio::time::Instant;

use crate::store::{DriverFn, Platform, ReadError, WriteResult};

/// Labels of the call counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Name of the operation, such as `get` or `put-object`.
    pub operation: &'static str,
    /// Result of the call, such as `ok` or `throttled`.
    pub result: &'static str,
}

/// Label of the call time histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OperationLabels {
    /// Name of the operation, such as `get` or `put-object`.
    pub operation: &'static str,
}

/// Metrics of the calls to the platform's service.
#[derive(Debug)]
pub struct StoreCallMetrics {
    /// Number of calls for each operation and result.
    pub calls: Family<StoreCallLabels, Counter>,
    /// Time until the result of a call, in seconds, for each operation.
    pub seconds: Family<OperationLabels, Histogram>,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Default for StoreCallMetrics {
    fn default() -> Self {
        Self {
            calls: Family::default(),
            seconds: Family::new_with_constructor(|| Histogram::new(exponential_buckets(0.000_5, 2.0, 14))),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        }
    }
}

impl StoreCallMetrics {
    /// Returns the number of completed read calls since the start.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of completed write and registration calls since the start.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }
}

/// Wraps each operation of the platform so that its calls are counted and timed.
pub fn with_call_metrics(platform: Platform, calls: &Arc<StoreCallMetrics>) -> Platform {
    Platform {
        name: platform.name,
        get: count_read(calls, "get", platform.get),
        scan: count_read(calls, "scan", platform.scan),
        write: count_write(calls, "write", platform.write),
        get_object: count_read(calls, "get-object", platform.get_object),
        put_object: count_write(calls, "put-object", platform.put_object),
        list_objects: count_read(calls, "list-objects", platform.list_objects),
        list_instances: count_read(calls, "list-instances", platform.list_instances),
        register: count_registration(calls, platform.register),
    }
}

fn count_read<In: 'static, Out: 'static>(
    calls: &Arc<StoreCallMetrics>,
    operation: &'static str,
    driver_call: DriverFn<In, Result<Out, ReadError>>,
) -> DriverFn<In, Result<Out, ReadError>> {
    count_and_time(calls, operation, driver_call, read_result_label, |calls| &calls.reads)
}

fn count_write<In: 'static>(
    calls: &Arc<StoreCallMetrics>,
    operation: &'static str,
    driver_call: DriverFn<In, WriteResult>,
) -> DriverFn<In, WriteResult> {
    count_and_time(calls, operation, driver_call, write_result_label, |calls| &calls.writes)
}

fn count_registration<In: 'static>(
    calls: &Arc<StoreCallMetrics>,
    driver_call: DriverFn<In, Result<(), ReadError>>,
) -> DriverFn<In, Result<(), ReadError>> {
    count_and_time(calls, "register", driver_call, read_result_label, |calls| &calls.writes)
}

fn count_and_time<In: 'static, Out: 'static>(
    calls: &Arc<StoreCallMetrics>,
    operation: &'static str,
    driver_call: DriverFn<In, Out>,
    result_label: fn(&Out) -> &'static str,
    total_calls: fn(&StoreCallMetrics) -> &AtomicU64,
) -> DriverFn<In, Out> {
    let calls = Arc::clone(calls);
    Arc::new(move |input| {
        let calls = Arc::clone(&calls);
        let started = Instant::now();
        let response = driver_call(input);
        async move {
            let result = response.await;
            total_calls(&calls).fetch_add(1, Ordering::Relaxed);
            calls.calls.get_or_create(&StoreCallLabels { operation, result: result_label(&result) }).inc();
            let seconds = calls.seconds.get_or_create(&OperationLabels { operation });
            seconds.observe(started.elapsed().as_secs_f64());
            drop(seconds);
            result
        }
        .boxed()
    })
}

fn read_result_label<Out>(result: &Result<Out, ReadError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(ReadError::Throttled) => "throttled",
        Err(ReadError::Unavailable) => "unavailable",
    }
}

fn write_result_label(result: &WriteResult) -> &'static str {
    match result {
        WriteResult::TookEffect(_) => "ok",
        WriteResult::Conflict(_) => "conflict",
        WriteResult::Refused => "refused",
        WriteResult::Unknown => "unknown",
    }
}
