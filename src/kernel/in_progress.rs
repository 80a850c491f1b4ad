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
    named: Mutex<HashMap<CallId, RequestInProgress>>,
    /// Notified when a count falls to zero.
    idle: Notify,
}

impl InProgressTable {
    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgress {
        self.requests.fetch_add(1, Ordering::AcqRel);
        InProgress { table: Arc::clone(self) }
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn connect(self: &Arc<Self>) -> CallerConnection {
        self.connections.fetch_add(1, Ordering::AcqRel);
        CallerConnection { table: Arc::clone(self) }
    }

    /// Names a request until the last clone of the guard is dropped.
    pub fn name(self: &Arc<Self>, request: RequestInProgress) -> NamedRequest {
        let call = request.call;
        self.named.lock().unwrap_or_else(PoisonError::into_inner).insert(call, request);
        NamedRequest(Arc::new(Name { table: Arc::clone(self), call }))
    }

    /// Returns the number of requests in progress.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Returns the number of callers' connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns the named requests, the oldest first.
    pub fn named(&self) -> Vec<RequestInProgress> {
        let named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let mut requests = named.values().cloned().collect::<Vec<_>>();
        requests.sort_by_key(|r| r.call);
        requests
    }

    /// Waits until no request is in progress and no caller is connected; for one waiter.
    pub async fn wait_idle(&self) {
        while self.requests() > 0 || self.connections() > 0 {
            self.idle.notified().await;
        }
    }

    fn leave(&self, count: &AtomicUsize) {
        if count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.idle.notify_one();
        }
    }
}

/// One request in progress.
#[derive(Debug)]
pub struct InProgress {
    table: Arc<InProgressTable>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.table.leave(&self.table.requests);
    }
}

/// One caller's connection; an answer may still be in its buffers when the request has ended.
#[derive(Debug)]
pub struct CallerConnection {
    table: Arc<InProgressTable>,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.table.leave(&self.table.connections);
    }
}

/// Keeps a request named while it is in progress.
#[derive(Debug, Clone)]
pub struct NamedRequest(#[expect(dead_code, reason = "held for its drop")] Arc<Name>);

#[derive(Debug)]
struct Name {
    table: Arc<InProgressTable>,
    call: CallId,
}

impl Drop for Name {
    fn drop(&mut self) {
        self.table.named.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.call);
    }
}
