//! Tells operators what is open: callers' connections, requests in progress, connections to targets.

use serde::{Deserialize, Serialize};

use crate::{
    kernel::Kernel,
    observe::request_id::RequestId,
    units::{ServiceName, TargetId},
};

/// Requests in progress that are listed, the oldest first.
const LISTED_REQUESTS: usize = 200;

/// Answer of `GET /connections`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConnectionsView {
    /// Connections of callers.
    pub callers: usize,
    /// Requests in progress.
    pub requests: usize,
    /// The oldest requests in progress.
    pub oldest_requests: Vec<RequestView>,
    /// Targets of the plan in force.
    pub targets: Vec<TargetConnectionsView>,
}

/// One request in progress.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestView {
    /// Identifier that this instance gave it.
    pub request_id: String,
    /// Service.
    pub service: ServiceName,
    /// Whether and how often it may be sent.
    pub kind: String,
    /// Time since its head arrived, in milliseconds.
    pub age_ms: u64,
}

/// Connections of this instance to one target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetConnectionsView {
    /// Target.
    pub target: TargetId,
    /// Connections open to it.
    pub open: usize,
    /// Connections that it takes from all instances together.
    pub max_connections: u32,
}

/// Reads what is open now.
pub fn list_connections(kernel: &Kernel) -> ConnectionsView {
    let now = kernel.clock.now();
    let plan = kernel.plan.current();
    let targets = plan.services.iter().flat_map(|s| &s.targets);
    let requests = kernel.requests_in_progress();
    let oldest = requests.iter().take(LISTED_REQUESTS);
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
