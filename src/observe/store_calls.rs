//! Counts the calls of the platform's service by operation and result.

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

/// Operation and result of a call of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Operation.
    pub operation: &'static str,
    /// Result.
    pub result: &'static str,
}

/// Operation of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OperationLabels {
    /// Operation.
    pub operation: &'static str,
}

/// Counters of calls of the platform's service.
#[derive(Debug)]
pub struct StoreCallMetrics {
    /// Calls by operation and result.
    pub calls: Family<StoreCallLabels, Counter>,
    /// Time of a call, in seconds.
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
    /// Returns the reads since the start.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the writes since the start.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }
}

/// Returns the platform with every call counted.
pub fn with_call_metrics(platform: Platform, calls: &Arc<StoreCallMetrics>) -> Platform {
    Platform {
        name: platform.name,
        get: read(calls, "get", platform.get),
        scan: read(calls, "scan", platform.scan),
        write: write(calls, "write", platform.write),
        get_object: read(calls, "get-object", platform.get_object),
        put_object: write(calls, "put-object", platform.put_object),
        list_objects: read(calls, "list-objects", platform.list_objects),
        list_instances: read(calls, "list-instances", platform.list_instances),
        register: registration(calls, platform.register),
    }
}

fn read<In: 'static, Out: 'static>(
    calls: &Arc<StoreCallMetrics>,
    operation: &'static str,
    inner: DriverFn<In, Result<Out, ReadError>>,
) -> DriverFn<In, Result<Out, ReadError>> {
    timed(calls, operation, inner, read_result, |calls| &calls.reads)
}

fn write<In: 'static>(
    calls: &Arc<StoreCallMetrics>,
    operation: &'static str,
    inner: DriverFn<In, WriteResult>,
) -> DriverFn<In, WriteResult> {
    timed(calls, operation, inner, write_result, |calls| &calls.writes)
}

fn registration<In: 'static>(
    calls: &Arc<StoreCallMetrics>,
    inner: DriverFn<In, Result<(), ReadError>>,
) -> DriverFn<In, Result<(), ReadError>> {
    timed(calls, "register", inner, read_result, |calls| &calls.writes)
}

fn timed<In: 'static, Out: 'static>(
    calls: &Arc<StoreCallMetrics>,
    operation: &'static str,
    inner: DriverFn<In, Out>,
    name: fn(&Out) -> &'static str,
    total: fn(&StoreCallMetrics) -> &AtomicU64,
) -> DriverFn<In, Out> {
    let calls = Arc::clone(calls);
    Arc::new(move |input| {
        let calls = Arc::clone(&calls);
        let started = Instant::now();
        let call = inner(input);
        async move {
            let result = call.await;
            total(&calls).fetch_add(1, Ordering::Relaxed);
            calls.calls.get_or_create(&StoreCallLabels { operation, result: name(&result) }).inc();
            let seconds = calls.seconds.get_or_create(&OperationLabels { operation });
            seconds.observe(started.elapsed().as_secs_f64());
            drop(seconds);
            result
        }
        .boxed()
    })
}

fn read_result<Out>(result: &Result<Out, ReadError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(ReadError::Throttled) => "throttled",
        Err(ReadError::Unavailable) => "unavailable",
    }
}

fn write_result(result: &WriteResult) -> &'static str {
    match result {
        WriteResult::TookEffect(_) => "ok",
        WriteResult::Conflict(_) => "conflict",
        WriteResult::Refused => "refused",
        WriteResult::Unknown => "unknown",
    }
}
