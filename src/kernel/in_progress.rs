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

/// One request in progress; `Display` gives the form used in log lines.
#[derive(Debug, Clone, Display)]
#[display("call={call} service={service} kind={kind}")]
pub struct RequestInProgress {
    /// Number of the call within this run.
    pub call: CallId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Whether, and how often, the request may be sent to a target.
    pub kind: RequestKind,
    /// When the request's head arrived.
    pub arrived: MonoTime,
}

impl RequestInProgress {
    /// Returns the time since the request's head arrived.
    pub fn age(&self, now: MonoTime) -> Duration {
        now.since(self.arrived)
    }
}

/// Counts of requests and caller connections in progress, and a list of the requests for operators.
#[derive(Debug, Default)]
pub struct InProgressTable {
    requests: AtomicUsize,
    connections: AtomicUsize,
    registered: Mutex<HashMap<CallId, RequestInProgress>>,
    /// Notified when either count falls to zero.
    idle: Notify,
}

impl InProgressTable {
    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { table: Arc::clone(self) }
    }

    /// Counts a caller's connection as open until the returned guard is dropped.
    pub fn track_connection(self: &Arc<Self>) -> CallerConnectionGuard {
        self.connections.fetch_add(1, Ordering::AcqRel);
        CallerConnectionGuard { table: Arc::clone(self) }
    }

    /// Lists a request until the last clone of the returned guard is dropped.
    pub fn register(self: &Arc<Self>, request: RequestInProgress) -> RegisteredRequest {
        let call = request.call;
        self.registered.lock().unwrap_or_else(PoisonError::into_inner).insert(call, request);
        RegisteredRequest(Arc::new(Registration { table: Arc::clone(self), call }))
    }

    /// Returns the number of requests in progress.
    pub fn request_count(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Returns the number of open caller connections.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns the listed requests, the oldest first.
    pub fn registered(&self) -> Vec<RequestInProgress> {
        let registered = self.registered.lock().unwrap_or_else(PoisonError::into_inner);
        let mut requests = registered.values().cloned().collect::<Vec<_>>();
        requests.sort_by_key(|r| r.call);
        requests
    }

    /// Waits until no request is in progress. Only one task may wait at a time, for this or for
    /// [`wait_idle`](Self::wait_idle).
    pub async fn wait_requests_ended(&self) {
        while self.request_count() > 0 {
            self.idle.notified().await;
        }
    }

    /// Waits until no request is in progress and no caller is connected. Only one task may wait at a time.
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

/// Counts one request as in progress while it exists.
#[derive(Debug)]
pub struct RequestGuard {
    table: Arc<InProgressTable>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.table.decrement(&self.table.requests);
    }
}

/// Counts one caller connection while it exists.
///
/// Connections are counted apart from requests because response bytes may remain in their buffers after the
/// request has ended.
#[derive(Debug)]
pub struct CallerConnectionGuard {
    table: Arc<InProgressTable>,
}

impl Drop for CallerConnectionGuard {
    fn drop(&mut self) {
        self.table.decrement(&self.table.connections);
    }
}

/// Keeps a request listed in the [`InProgressTable`] while any clone exists.
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
