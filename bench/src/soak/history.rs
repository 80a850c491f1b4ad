//! Record of what callers, workers and the operator observed during a soak, in milliseconds since its start.

/// Whether a worker may run a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The request may run repeatedly.
    Idempotent,
    /// The request must not run twice.
    AtMostOnce,
}

/// How an attempt ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// The caller received a complete response.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the response has the header `X-Response-Seal`, which only workers set.
        is_sealed: bool,
        /// Whether the body is the one that workers send for this attempt's id.
        is_own_body: bool,
    },
    /// The caller received no complete response, for the reason given.
    NoResponse(String),
    /// The caller closed the connection before the response was complete.
    CallerLeft,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Value of `X-Attempt-Id`, unique in the soak.
    pub id: String,
    /// Whether a worker may run it more than once.
    pub kind: AttemptKind,
    /// Number of the instance that it was sent to.
    pub instance: usize,
    /// Method and path, separated by a space.
    pub request_line: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Time at which it was sent.
    pub sent_ms: u64,
    /// Timeout of its route.
    pub timeout_ms: u64,
    /// Time at which it ended.
    pub ended_ms: u64,
    /// How it ended.
    pub result: AttemptResult,
}

/// One request that reached a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the attempt that the request belongs to.
    pub id: String,
    /// Id of the worker.
    pub worker: String,
    /// Method and path, separated by a space.
    pub request_line: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Time at which it arrived.
    pub at_ms: u64,
    /// Whether the worker ran it; `false` if the worker refused it.
    pub was_run: bool,
    /// Time at which the worker stopped working on it; `None` if it was refused or never ended.
    pub ended_ms: Option<u64>,
}

/// The part of the deployment that a disturbance affects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// The process of an instance, or its connections to callers and the store.
    Instance(usize),
    /// The store.
    Store,
    /// The worker with this id.
    Worker(String),
}

/// A period in which a fault was injected.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// What the fault affects.
    pub scope: Scope,
    /// Name in `history.txt`.
    pub name: &'static str,
    /// Start of the fault.
    pub from_ms: u64,
    /// End of the fault; [`u64::MAX`] while it lasts.
    pub to_ms: u64,
}

/// A worker that the operator marked as draining.
#[derive(Debug, Clone)]
pub struct Drain {
    /// Id of the worker.
    pub worker: String,
    /// Time at which the store had accepted the worker's new state.
    pub acked_ms: u64,
}

/// A period in which a worker stated a rate limit.
#[derive(Debug, Clone)]
pub struct RateLimitPeriod {
    /// Id of the worker.
    pub worker: String,
    /// Requests per second that it took from all instances together.
    pub limit_per_s: f64,
    /// Time from which on it stated the limit.
    pub from_ms: u64,
    /// Time from which on it stated none.
    pub to_ms: u64,
}

/// A worker that ended under a request.
#[derive(Debug, Clone)]
pub struct WorkerEnd {
    /// Id of the worker.
    pub worker: String,
    /// Time at which it was seen to have ended.
    pub at_ms: u64,
}

/// A period in which instances were cut off from all workers.
#[derive(Debug, Clone)]
pub struct WorkerCut {
    /// Numbers of the instances.
    pub instances: Vec<usize>,
    /// Start of the cut.
    pub from_ms: u64,
    /// End of the cut; [`u64::MAX`] while it lasts.
    pub to_ms: u64,
}

/// A route that was added during the soak, and possibly removed.
#[derive(Debug, Clone)]
pub struct RouteLifetime {
    /// Prefix of its paths.
    pub prefix: String,
    /// Time at which the store had accepted the manifest with the route.
    pub added_ms: u64,
    /// Time at which the store had accepted the manifest without the route.
    pub removed_ms: Option<u64>,
}

/// One process of an instance, from its start to its exit.
#[derive(Debug, Clone)]
pub struct ProcessRun {
    /// Number of the instance.
    pub instance: usize,
    /// Time at which it was started.
    pub from_ms: u64,
    /// Time at which it was sent SIGTERM.
    pub term_ms: Option<u64>,
    /// Time at which it had exited.
    pub exited_ms: Option<u64>,
    /// Whether it exited without a signal from the soak.
    pub is_crash: bool,
    /// Most memory that it was seen to use.
    pub peak_resident_bytes: u64,
}

/// Everything that was observed during a soak.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Requests that callers sent.
    pub attempts: Vec<Attempt>,
    /// Requests that workers received.
    pub arrivals: Vec<Arrival>,
    /// Injected faults.
    pub disturbances: Vec<Disturbance>,
    /// Workers that were drained.
    pub drains: Vec<Drain>,
    /// Rate limits that workers stated.
    pub rate_limits: Vec<RateLimitPeriod>,
    /// Workers that ended under a request.
    pub worker_ends: Vec<WorkerEnd>,
    /// Cuts between instances and all workers.
    pub worker_cuts: Vec<WorkerCut>,
    /// Routes that were added during the soak.
    pub routes: Vec<RouteLifetime>,
    /// Prefixes of routes that only versions of the manifest have which must not be used.
    pub invalid_prefixes: Vec<String>,
    /// Processes of instances, in the order of their starts.
    pub process_runs: Vec<ProcessRun>,
    /// Time from which on no fault was injected any more.
    pub undisturbed_from_ms: u64,
}
