//! Functions that the request path calls to log and count refused requests and to measure queue waits.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use hyper::http::request::Parts;

use super::{request_id::RequestId, tally::CompletedCall};
use crate::{
    error::ErrorKind,
    kernel::Kernel,
    logging::Quoted,
    plan::RequestKind,
    units::{CallId, MonoTime, ServiceName},
};

/// Assigns the request identifier of a call; one that the caller sent is kept, so that `GET /explain` finds
/// the call by it.
pub fn assign_request_id(kernel: &Kernel, from_caller: Option<&[u8]>, call: CallId) -> RequestId {
    let id = RequestId::new(from_caller, kernel.run_id, call);
    let is_from_caller = from_caller.is_some_and(|from_caller| from_caller == id.as_str().as_bytes());
    if is_from_caller {
        kernel.observer.caller_request_ids.record(id.as_str(), call);
    }
    id
}

/// Logs and counts a request that was refused before a call was created for it.
pub fn record_early_refusal(kernel: &Kernel, head: &Parts, cause: ErrorKind) {
    let path = head.uri.path();
    log::info!(
        "event=request-refused cause={cause} method={} path={}",
        Quoted(head.method.as_str()),
        Quoted(path)
    );
    let plan = kernel.plan.current();
    let service = plan.service_for_path(path);
    let route = service.and_then(|s| s.route(head.method.as_str(), path));
    kernel.tally.record(CompletedCall {
        service: service.map(|s| s.name.clone()),
        kind: route.map_or(RequestKind::Unstated, |r| r.kind),
        outcome: cause.answer().outcome,
        cause: Some(cause),
        useful: false,
        latency: Duration::ZERO,
        queue_wait: Duration::ZERO,
        head_of_line: Duration::ZERO,
    });
}

/// Logs a call that ends without a complete response of a target.
pub fn log_refusal(request: &RequestId, service: &ServiceName, cause: ErrorKind) {
    let outcome = cause.answer().outcome;
    log::info!("event=call-refused request={request} service={service} outcome={outcome} cause={cause}");
}

/// Time at which a call was first sent to a target, if it was.
#[derive(Debug, Default)]
pub struct FirstSend {
    /// Microseconds on the monotonic clock of the process; 0 until the first send.
    at_us: AtomicU64,
}

impl FirstSend {
    /// Records a send; later ones have no effect.
    pub fn record(&self, now: MonoTime) {
        let at_us = now.as_micros().max(1);
        let _earlier = self.at_us.compare_exchange(0, at_us, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Returns the time from `arrived` to the first send, or to `now` for a call that was never sent.
    pub fn queue_wait(&self, arrived: MonoTime, now: MonoTime) -> Duration {
        match self.at_us.load(Ordering::Relaxed) {
            0 => now.since(arrived),
            at_us => MonoTime::from(at_us).since(arrived),
        }
    }
}
