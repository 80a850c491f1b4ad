//! Decisions as pure state machines: time and seeds go in, actions come out.
//!
//! Nothing here reads a clock, a socket, a lock, a log or a thread-local generator, so every decision is
//! replayed exactly from a trace and can be embedded without the daemon.

pub mod choice;
pub mod claim;
pub mod directory;
pub mod duration;
pub mod health;
pub mod hedge;
pub mod peer_counts;
pub mod pool;
pub mod probe;
pub mod probed_pool;
pub mod queue;
pub mod quota;
pub mod repeat_budget;
pub mod retry;
pub mod retry_pacing;
pub mod service_pools;
pub mod target;
pub mod timer;
pub mod wait_queue;
pub mod wait_stage;

use std::time::Duration;

use crate::{
    error::ErrorKind,
    plan::{Priority, RequestKind},
    units::{CallId, InstanceId, MonoTime, TargetId},
};

/// Position of a target in its pool; valid until the plan changes the pool.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
)]
pub struct TargetIndex(pub usize);

/// What is known of a call when it arrives at the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Number within this run of the instance.
    pub id: CallId,
    /// Identifies the route in this service's plan; calls of one route have like durations.
    pub route: RouteKey,
    /// Whether and how often it may be sent.
    pub kind: RequestKind,
    /// Who goes first at the crest.
    pub priority: Priority,
    /// Point by which an answer must begin.
    pub deadline: MonoTime,
    /// Sends before this one along the chain of calls, from the attempt mark; 0 for a first send.
    pub prior_attempts: u32,
}

/// Identifies a route for learning: its position in the service's route list.
///
/// `RouteKey::UNLISTED` stands for all requests that no route of the plan matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u32);

impl RouteKey {
    /// Requests that no route of the plan matches.
    pub const UNLISTED: Self = Self(u32::MAX);
}

/// Number of a send within one call, from 0.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
)]
pub struct Attempt(pub u32);

/// How one send ended, as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer with a status below 500 was passed on or taken.
    Answered,
    /// An answer with a status of 500 or above; the edge holds it until it is told what to do.
    Failed,
    /// The target refused under a contract of the plan; nothing ran.
    Refused,
    /// The request was handed back unsent.
    Unsent,
    /// It may have been sent and the connection broke, went silent or was cut.
    Lost,
    /// It was sent and no answer began before the deadline.
    TimedOut,
    /// The instance cancelled it, or the caller left.
    Cancelled,
}

/// What a target says of itself on an answer or a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests it holds, running and queued, if it says so.
    pub in_flight: Option<u32>,
    /// Whether it says that it is draining.
    pub draining: bool,
}

/// One peer's count of its own requests at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// Target.
    pub target: TargetId,
    /// Requests the peer has in flight there.
    pub in_flight: u32,
    /// Time since the peer took the count.
    pub age: Duration,
}

/// Something that happened to a pool.
#[derive(Debug, Clone)]
pub enum Event {
    /// A call wants to be sent.
    CallArrived(Call),
    /// The head of an answer came for a send that goes on.
    ResponseStarted {
        /// Call.
        call: CallId,
        /// Which of its sends.
        attempt: Attempt,
        /// What the target said of itself.
        report: LoadReport,
    },
    /// A send ended and its slot is free.
    AttemptEnded {
        /// Call.
        call: CallId,
        /// Which of its sends.
        attempt: Attempt,
        /// How.
        end: AttemptEnd,
    },
    /// The caller left or its answer is complete; nothing more is wanted for the call.
    CallClosed(CallId),
    /// A peer's counts arrived.
    PeerLoads {
        /// Peer.
        peer: InstanceId,
        /// Its counts.
        loads: Vec<PeerLoad>,
    },
    /// A peer is gone; its counts no longer apply.
    PeerGone(InstanceId),
    /// A sign of draining or returning from plan, list, answer or peer.
    DrainChanged {
        /// Target.
        target: TargetId,
        /// True for draining, false for returned.
        draining: bool,
    },
    /// A probe was answered, or failed when the report is absent.
    ProbeEnded {
        /// Target.
        target: TargetIndex,
        /// Report, if it answered.
        report: Option<LoadReport>,
    },
    /// Time passed; sent at the latest at [`pool::Pool::next_wake`].
    Tick,
}

/// What the edge must do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the call to a target.
    Send {
        /// Call.
        call: CallId,
        /// Which of its sends.
        attempt: Attempt,
        /// Target.
        target: TargetIndex,
    },
    /// Pass on the answer that a failed send left with the edge.
    Deliver {
        /// Call.
        call: CallId,
        /// Which of its sends.
        attempt: Attempt,
    },
    /// Answer the call with an error; nothing of it was sent, or all its sends ended.
    ///
    /// An edge that holds the answer of a failed send passes that on instead.
    Refuse {
        /// Call.
        call: CallId,
        /// Why.
        kind: ErrorKind,
        /// When asking again can help.
        retry_after: Option<Duration>,
    },
    /// Abandon a send whose answer is no longer needed.
    Cancel {
        /// Call.
        call: CallId,
        /// Which of its sends.
        attempt: Attempt,
    },
    /// Probe a target.
    Probe(TargetIndex),
}

impl Action {
    /// Returns the final action for a call whose last send ended so, or `None` when the edge has its answer.
    pub fn final_for(call: CallId, attempt: Attempt, end: AttemptEnd) -> Option<Self> {
        let kind = match end {
            AttemptEnd::Answered | AttemptEnd::Cancelled => return None,
            AttemptEnd::Failed => return Some(Self::Deliver { call, attempt }),
            AttemptEnd::TimedOut => ErrorKind::AnswerTimeout,
            AttemptEnd::Refused => ErrorKind::TargetRefused,
            AttemptEnd::Unsent => ErrorKind::Unsent,
            AttemptEnd::Lost => ErrorKind::ConnectionLost,
        };
        let retry_after = kind.answer().retry_after_s.map(|s| Duration::from_secs(u64::from(s)));
        Some(Self::Refuse { call, kind, retry_after })
    }
}
