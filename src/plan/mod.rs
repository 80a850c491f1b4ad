//! The plan: the configuration of the deployment that operators submit, immutable once accepted.
//!
//! Operators write a plan as a CSV sheet ([`sheet`]) and submit it to any instance, which commits it to the
//! platform's table service ([`accept`]). Every instance polls the table ([`poll`]) and activates newer
//! versions; the version of the active plan ([`active_plan`]) never decreases.

use std::net::SocketAddr;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::units::{ChangeId, DataCentre, InstanceId, PlanVersion, ServiceName, TargetId};

pub mod accept;
pub mod active_plan;
pub mod commit;
pub mod diff;
pub mod freshness;
pub mod intentions;
pub mod poll;
pub mod record;
pub mod sheet;
pub mod utc;

/// Configuration of the deployment: instances, services with their targets and routes, budgets and
/// intentions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Version, set when the plan is accepted; 0 only for the empty plan before the first accepted one.
    pub version: PlanVersion,
    /// Id that the operator gave to the change that created this version; absent before the plan is accepted.
    pub change_id: Option<ChangeId>,
    /// Time of the submission, in seconds since the Unix epoch; 0 before the plan is submitted.
    #[serde(default)]
    pub accepted_unix_s: u64,
    /// Limits that apply to the whole deployment.
    pub budgets: Budgets,
    /// Instances of the load balancer, sorted by id; ids are unique.
    pub instances: Vec<InstanceSpec>,
    /// Services, sorted by name; names are unique.
    pub services: Vec<ServiceSpec>,
    /// Scheduled operations, sorted by time.
    pub intentions: Vec<Intention>,
}

impl Plan {
    /// Sets the time of acceptance, also as the time of intentions with `now` in the sheet, and sorts the
    /// intentions by time.
    pub fn set_accepted_at(&mut self, unix_s: u64) {
        self.accepted_unix_s = unix_s;
        for intention in self.intentions.iter_mut().filter(|i| i.at_unix_s == 0) {
            intention.at_unix_s = unix_s;
        }
        self.intentions.sort_by_key(|i| i.at_unix_s);
    }

    /// Returns all targets with their services, sorted by service and target.
    pub fn targets(&self) -> impl Iterator<Item = (&ServiceSpec, &TargetSpec)> {
        self.services.iter().flat_map(|s| s.targets.iter().map(move |t| (s, t)))
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        let index = self.services.binary_search_by(|s| s.name.as_str().cmp(name)).ok()?;
        self.services.get(index)
    }

    /// Finds the service whose name is the first segment of `path`.
    pub fn service_for_path(&self, path: &str) -> Option<&ServiceSpec> {
        let segment = path.strip_prefix('/')?.split('/').next()?;
        self.service(segment)
    }
}

/// Limits that apply to the whole deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// Maximum number of instances that run at once. Each instance may use a budget divided by this number,
    /// so the budgets hold whichever instances are running.
    pub max_instances: u32,
    /// Health probes per second that a target may receive from all instances together.
    pub probes_per_target_per_s: f64,
    /// Writes per second that all instances together may send to the table service and the object store.
    pub store_writes_per_s: u32,
    /// Reads per second that all instances together may send to the table service and the object store.
    pub store_reads_per_s: u32,
    /// Bytes per second that one instance may send to its peers.
    pub control_bytes_per_s: u32,
}

impl Default for Budgets {
    fn default() -> Self {
        Self {
            max_instances: 18,
            probes_per_target_per_s: 10.0,
            store_writes_per_s: 400,
            store_reads_per_s: 2_000,
            control_bytes_per_s: 21_000,
        }
    }
}

/// One instance of the load balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// Unique name of the instance.
    pub id: InstanceId,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
}

/// One service with its targets and routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service, which is the first path segment of its requests.
    pub name: ServiceName,
    /// Time in milliseconds within which the answer must begin; a request can only state a shorter one.
    pub deadline_ms: u64,
    /// Maximum number of retries and hedges as a fraction of first attempts, 0.0 to 1.0.
    pub retry_budget: f64,
    /// Maximum number of calls that wait for a target on one instance.
    pub queue_limit: u32,
    /// Hours for which the answers of at-most-once requests are stored.
    pub retention_h: u32,
    /// Whether status 503 with a `Retry-After` header from a target means that the target did not execute the
    /// request.
    pub refusal_means_not_run: bool,
    /// Service level objective, against which the error budget burn is reported.
    pub objective: Objective,
    /// Targets, sorted by id; ids are unique in the deployment.
    pub targets: Vec<TargetSpec>,
    /// Routes in the order of the sheet; the route with the longest matching path prefix applies.
    pub routes: Vec<RouteSpec>,
}

impl ServiceSpec {
    /// Finds the route for a method and path. Requests without a route have the kind
    /// [`RequestKind::Unstated`] and [`Priority::Normal`].
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteSpec> {
        self.routes
            .iter()
            .filter(|r| r.method == method && path.starts_with(&r.path_prefix))
            .max_by_key(|r| r.path_prefix.len())
    }
}

/// Service level objective: the fraction of calls that must get a useful answer in time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Fraction of calls that must be useful, 0.0 to 1.0.
    pub useful_share: f64,
    /// Time in milliseconds within which the answer of a useful call must begin.
    pub latency_ms: u64,
    /// Length of the compliance window in days.
    pub window_days: u32,
}

impl Default for Objective {
    fn default() -> Self {
        Self { useful_share: 0.999, latency_ms: 100, window_days: 28 }
    }
}

/// One target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name of the target, unique in the deployment.
    pub id: TargetId,
    /// Address at which the target accepts connections.
    pub address: SocketAddr,
    /// Data centre that the target runs in.
    pub data_centre: DataCentre,
    /// Number of requests that the target processes concurrently, at least 1.
    pub slots: u32,
    /// Maximum number of connections that the target accepts from all instances together.
    pub max_connections: u32,
}

/// How often a request may be sent to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum RequestKind {
    /// The request may be retried and hedged, and its transfer resumed.
    Idempotent,
    /// The request runs at most once for each `Idempotency-Key`, guarded by a claim in the table service.
    AtMostOnce,
    /// The request is sent once, without a claim.
    #[default]
    Unstated,
}

/// Order in which calls are served under overload; lower values are served first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    Serialize,
    Deserialize,
    Default,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Priority {
    /// Most important calls, such as charges, bookings and confirmations.
    Critical,
    /// Important calls, such as rental holds.
    High,
    /// Ordinary calls.
    #[default]
    Normal,
    /// Calls that are shed first.
    Low,
}

/// Kind and priority of the requests with one method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix with its leading slash; begins with the name of the service.
    pub path_prefix: String,
    /// How often a request may be sent to targets.
    pub kind: RequestKind,
    /// Priority of the requests under overload.
    pub priority: Priority,
}

/// An operation that operators schedule in the plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intention {
    /// Time of the operation, in seconds since the Unix epoch; 0 stands for the time of acceptance.
    pub at_unix_s: u64,
    /// Operation to perform.
    pub action: IntendedAction,
}

/// Operation of an [`Intention`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum IntendedAction {
    /// The instance stops accepting calls and leaves the deployment.
    Leave(InstanceId),
    /// The target gets no new requests.
    Drain(TargetId),
    /// The target gets requests again.
    Return(TargetId),
    /// The demand of the service is expected to peak at this multiple of its usual level.
    Crest(ServiceName, f64),
}
