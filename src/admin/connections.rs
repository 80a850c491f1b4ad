//! `GET /connections`: connections of callers, requests in progress and connections to targets.

use serde::{Deserialize, Serialize};

use crate::{
    kernel::Kernel,
    observe::request_id::RequestId,
    units::{ServiceName, TargetId},
};

/// Maximum number of requests in progress that are listed; only the oldest ones are.
const MAX_LISTED_REQUESTS: usize = 200;

/// Reply to `GET /connections`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConnectionsView {
    /// Number of open connections from callers.
    pub callers: usize,
    /// Number of requests in progress.
    pub requests: usize,
    /// Oldest requests in progress, oldest first; at most 200.
    pub oldest_requests: Vec<RequestView>,
    /// Connections to each target of the plan in force.
    pub targets: Vec<TargetConnectionsView>,
}

/// One request in progress.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestView {
    /// Identifier that this run generates for the request, also if the caller sent its own.
    pub request_id: String,
    /// Service of the request.
    pub service: ServiceName,
    /// Kind of the request according to its route, which decides whether it may be sent more than once.
    pub kind: String,
    /// Time since the arrival of the request head, in milliseconds.
    pub age_ms: u64,
}

/// Connections of this instance to one target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetConnectionsView {
    /// Target identifier.
    pub target: TargetId,
    /// Number of connections from this instance that are open to the target.
    pub open: usize,
    /// Maximum number of connections that the target accepts from all instances together.
    pub max_connections: u32,
}

/// Returns the current connections and requests in progress.
pub fn list_connections(kernel: &Kernel) -> ConnectionsView {
    let now = kernel.clock.now();
    let plan = kernel.plan.current();
    let targets = plan.services.iter().flat_map(|s| &s.targets);
    let requests = kernel.requests_in_progress();
    let oldest = requests.iter().take(MAX_LISTED_REQUESTS);
    ConnectionsView {
        callers: kernel.caller_connection_count(),
        requests: kernel.request_count(),
        oldest_requests: oldest
            .map(|request| RequestView {
                request_id: RequestId::for_call(kernel.run_id, request.call).to_string(),
                service: request.service.clone(),
                kind: request.kind.to_string(),
                age_ms: u64::try_from(request.age(now).as_millis()).unwrap_or(u64::MAX),
            })
            .collect(),
        targets: targets
            .map(|target| TargetConnectionsView {
                target: target.id.clone(),
                open: kernel.connections.open_count(target.address),
                max_connections: target.max_connections,
            })
            .collect(),
    }
}
