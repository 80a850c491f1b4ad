//! The plan: what operators state for the day, immutable once accepted.
//!
//! A plan is shared as `Arc<Plan>` and published through one watch channel. The version in force on an
//! instance only rises.

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

/// Everything operators state: instances, services, pools, request kinds, budgets and intentions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Version; 0 only for the empty plan before the first accepted one.
    pub version: PlanVersion,
    /// The operator's id of the change that made this version.
    pub change_id: Option<ChangeId>,
    /// When it was submitted, in seconds since the Unix epoch; 0 before that.
    #[serde(default)]
    pub accepted_unix_s: u64,
    /// Limits and budgets that hold for the whole deployment.
    pub budgets: Budgets,
    /// Entry instances, sorted by id, ids unique.
    pub instances: Vec<InstanceSpec>,
    /// Services, sorted by name, names unique.
    pub services: Vec<ServiceSpec>,
    /// Intentions for the day, sorted by time.
    pub intentions: Vec<Intention>,
}

impl Plan {
    /// Sets the time of acceptance, which is what `now` in the sheet means.
    pub fn set_accepted_at(&mut self, unix_s: u64) {
        self.accepted_unix_s = unix_s;
        for intention in self.intentions.iter_mut().filter(|i| i.at_unix_s == 0) {
            intention.at_unix_s = unix_s;
        }
        self.intentions.sort_by_key(|i| i.at_unix_s);
    }

    /// Returns all targets with their services, in the order of the plan.
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

/// Limits and budgets of the whole deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// Most instances that may run at once; shares are this part of a budget, so they hold at any membership.
    pub max_instances: u32,
    /// Probes each target may receive in a second from all instances together.
    pub probes_per_target_per_s: f64,
    /// Writes a second that the table service and the object store take from all instances.
    pub store_writes_per_s: u32,
    /// Reads a second that the table service and the object store take from all instances.
    pub store_reads_per_s: u32,
    /// Bytes a second that one instance may send to its peers.
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

/// One entry instance named in the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// Name.
    pub id: InstanceId,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
}

/// One service with its pool of targets and its routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name; calls whose first path segment equals it belong to this service.
    pub name: ServiceName,
    /// Time a call may take when the caller states none, until its answer begins, in milliseconds.
    pub deadline_ms: u64,
    /// Extra sends (retries and hedges) as a share of first sends, 0.0 to 1.0.
    pub retry_budget: f64,
    /// Calls that may wait in one instance.
    pub queue_limit: u32,
    /// Hours for which the result of an at-most-once request is kept.
    pub retention_h: u32,
    /// Whether 503 with `Retry-After` from a target states that nothing ran.
    pub refusal_means_not_run: bool,
    /// Objective that the burn report measures against.
    pub objective: Objective,
    /// Targets, sorted by id, ids unique in the deployment.
    pub targets: Vec<TargetSpec>,
    /// Routes in sheet order; the longest matching prefix applies.
    pub routes: Vec<RouteSpec>,
}

impl ServiceSpec {
    /// Finds the route for a method and path; `None` means kind unstated and normal priority.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteSpec> {
        self.routes
            .iter()
            .filter(|r| r.method == method && path.starts_with(&r.path_prefix))
            .max_by_key(|r| r.path_prefix.len())
    }
}

/// Share of calls that must be answered usefully within a bound.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of calls that must be useful, 0.0 to 1.0.
    pub useful_share: f64,
    /// Time within which an answer must begin to count as useful, in milliseconds.
    pub latency_ms: u64,
    /// Days over which the share is judged.
    pub window_days: u32,
}

impl Default for Objective {
    fn default() -> Self {
        Self { useful_share: 0.999, latency_ms: 100, window_days: 28 }
    }
}

/// One target of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name.
    pub id: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
    /// Requests it works on at once, at least 1.
    pub slots: u32,
    /// Connections it accepts from all instances together.
    pub max_connections: u32,
}

/// Whether and how often a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum RequestKind {
    /// May be retried, hedged and resumed.
    Idempotent,
    /// Runs at most once per `Idempotency-Key`, guarded by a claim in the table service.
    AtMostOnce,
    /// Sent once, without a claim.
    #[default]
    Unstated,
}

/// Who goes first when not all calls can be served; lower values go first.
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
    /// Charges, bookings and confirmations.
    Critical,
    /// Rental holds and the like.
    High,
    /// Ordinary calls.
    #[default]
    Normal,
    /// First to be shed.
    Low,
}

/// Kind and priority of the requests with one method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path, from the leading slash.
    pub path_prefix: String,
    /// Whether and how often a request may be sent.
    pub kind: RequestKind,
    /// Who goes first at the crest.
    pub priority: Priority,
}

/// Something operators intend for the day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intention {
    /// When it starts, in seconds since the Unix epoch; 0 for at once.
    pub at_unix_s: u64,
    /// What is intended.
    pub action: IntendedAction,
}

/// What an intention does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum IntendedAction {
    /// The instance leaves.
    Leave(InstanceId),
    /// The target takes no new requests.
    Drain(TargetId),
    /// The target takes requests again.
    Return(TargetId),
    /// Demand of a service is expected to rise by a factor.
    Crest(ServiceName, f64),
}
