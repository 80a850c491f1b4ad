//! Requests and caller connections that a graceful shutdown waits for.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use derive_more::Display;
use tokio::sync::Notify;

use crate::{
    collections::HashMap,
    plan::RequestKind,
    units::{CallId, MonoTime, ServiceName},
};

/// One request in progress, as a log line names it.
#[derive(Debug, Clone, Display)]
#[display("call={call} service={service} kind={kind}")]
pub struct RequestInProgress {
    /// Number of the call.
    pub call: CallId,
    /// Service.
    pub service: ServiceName,
    /// Whether and how often it may be sent.
    pub kind: RequestKind,
    /// When its head arrived.
    pub arrived: MonoTime,
}

impl RequestInProgress {
    /// Returns how long it has been in progress.
    pub fn age(&self, now: MonoTime) -> Duration {
        now.since(self.arrived)
    }
}

/// Counts of what is in progress, and the names of the requests.
#[derive(Debug, Default)]
pub struct InProgressTable {
    requests: AtomicUsize,
    connections: AtomicUsize,
    registered: Mutex<HashMap<CallId, RequestInProgress>>,
    /// Notified when a count falls to zero.
    idle: Notify,
}

impl InProgressTable {
    /// Counts a request until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { table: Arc::clone(self) }
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn track_connection(self: &Arc<Self>) -> CallerConnectionGuard {
        self.connections.fetch_add(1, Ordering::AcqRel);
        CallerConnectionGuard { table: Arc::clone(self) }
    }

    /// Names a request until the last clone of the guard is dropped.
    pub fn register(self: &Arc<Self>, request: RequestInProgress) -> RegisteredRequest {
        let call = request.call;
        self.registered.lock().unwrap_or_else(PoisonError::into_inner).insert(call, request);
        RegisteredRequest(Arc::new(Registration { table: Arc::clone(self), call }))
    }

    /// Returns the number of requests in progress.
    pub fn request_count(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Returns the number of callers' connections.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns the registered requests, the oldest first.
    pub fn registered(&self) -> Vec<RequestInProgress> {
        let registered = self.registered.lock().unwrap_or_else(PoisonError::into_inner);
        let mut requests = registered.values().cloned().collect::<Vec<_>>();
        requests.sort_by_key(|r| r.call);
        requests
    }

    /// Waits until no request is in progress and no caller is connected; for one waiter.
    pub async fn wait_idle(&self) {
        while self.request_count() > 0 || self.connection_count() > 0 {
            self.idle.notified().await;
        }
    }

    fn decrement(&self, count: &AtomicUsize) {
        if count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.idle.notify_one();
        }
    }
}

/// One request in progress.
#[derive(Debug)]
pub struct RequestGuard {
    table: Arc<InProgressTable>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.table.decrement(&self.table.requests);
    }
}

/// One caller's connection; an answer may still be in its buffers when the request has ended.
#[derive(Debug)]
pub struct CallerConnectionGuard {
    table: Arc<InProgressTable>,
}

impl Drop for CallerConnectionGuard {
    fn drop(&mut self) {
        self.table.decrement(&self.table.connections);
    }
}

/// Keeps a request registered while it is in progress.
#[derive(Debug, Clone)]
pub struct RegisteredRequest(#[expect(dead_code, reason = "held for its drop")] Arc<Registration>);

#[derive(Debug)]
struct Registration {
    table: Arc<InProgressTable>,
    call: CallId,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.table.registered.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.call);
    }
}
