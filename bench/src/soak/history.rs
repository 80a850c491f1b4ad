//! What callers, workers and the operator saw during a soak, in milliseconds since its start.

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// It may.
    Idempotent,
    /// It may not.
    AtMostOnce,
}

/// How an attempt ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// With an answer.
    Answered {
        /// Status.
        status: u16,
        /// Whether it has the worker's seal.
        is_sealed: bool,
        /// Whether its body is the one that workers give for this attempt.
        is_own_body: bool,
    },
    /// Without a whole answer.
    NoAnswer(String),
    /// The caller left before.
    CallerLeft,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its id, unique in the soak.
    pub id: String,
    /// Whether it may run more than once.
    pub kind: AttemptKind,
    /// Instance that it was sent to.
    pub instance: usize,
    /// Method and path.
    pub request_line: String,
    /// Body.
    pub body: Vec<u8>,
    /// When it was sent.
    pub sent_ms: u64,
    /// Longest time that its route keeps it waiting.
    pub timeout_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How.
    pub result: AttemptResult,
}

/// One request that reached a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the attempt.
    pub id: String,
    /// Worker.
    pub worker: String,
    /// Method and path.
    pub request_line: String,
    /// Body.
    pub body: Vec<u8>,
    /// When it arrived.
    pub at_ms: u64,
    /// Whether the worker ran it, rather than refused it.
    pub was_run: bool,
    /// When work on it ended.
    pub ended_ms: Option<u64>,
}

/// What a disturbance is of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// The process of an instance, or its links to callers and the store.
    Instance(usize),
    /// The store.
    Store,
    /// A worker.
    Worker(String),
}

/// One disturbance.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// What it is of.
    pub scope: Scope,
    /// Its name in the report.
    pub name: &'static str,
    /// When it began.
    pub from_ms: u64,
    /// When all was as before.
    pub to_ms: u64,
}

/// A worker that the operator let drain.
#[derive(Debug, Clone)]
pub struct Drain {
    /// Worker.
    pub worker: String,
    /// When the store had taken it.
    pub acked_ms: u64,
}

/// A route that was added, and perhaps removed again.
#[derive(Debug, Clone)]
pub struct RouteLifetime {
    /// Start of its paths.
    pub prefix: String,
    /// When the store had taken it.
    pub added_ms: u64,
    /// When the store had taken its removal.
    pub removed_ms: Option<u64>,
}

/// One run of an instance's process.
#[derive(Debug, Clone)]
pub struct ProcessRun {
    /// Instance.
    pub instance: usize,
    /// When it was started.
    pub from_ms: u64,
    /// When it was told to leave, if it was.
    pub term_ms: Option<u64>,
    /// When it was gone.
    pub exited_ms: Option<u64>,
    /// Whether it ended by itself.
    pub is_crash: bool,
}

/// All of it.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Requests of callers.
    pub attempts: Vec<Attempt>,
    /// Requests at workers.
    pub arrivals: Vec<Arrival>,
    /// Disturbances.
    pub disturbances: Vec<Disturbance>,
    /// Drains.
    pub drains: Vec<Drain>,
    /// Routes that came and went.
    pub routes: Vec<RouteLifetime>,
    /// Runs of processes.
    pub process_runs: Vec<ProcessRun>,
    /// From when on nothing was disturbed any more.
    pub undisturbed_from_ms: u64,
}
