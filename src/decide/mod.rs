//! Load-balancing decisions as pure state machines: events with their times go in, actions come out.
//!
//! Nothing here reads a clock, a socket or thread-local randomness, takes a lock or writes a log. Every
//! decision can therefore be replayed exactly from a recorded trace, and the module can be used without the
//! daemon.

pub mod choice;
pub mod claim;
pub mod directory;
pub mod duration;
pub mod health;
pub mod hedge;
pub mod peer_counts;
pub mod peer_paths;
pub mod pool;
pub mod probe;
mod probe_budget;
pub mod probed_pool;
pub mod probed_target;
pub mod queue;
pub mod quota;
pub mod rate_limit;
pub mod rate_share;
pub mod repeat_budget;
pub mod retry;
pub mod retry_pacing;
pub mod service_pools;
pub mod shutdown;
pub mod suspects;
pub mod target;
pub mod target_paths;
pub mod target_response;
pub mod timer;
pub mod unconfirmed_ends;
pub mod wait_queue;
pub mod wait_stage;

use std::time::Duration;

use crate::{
    error::ErrorKind,
    plan::{Priority, RequestKind},
    units::{CallId, InstanceId, MonoTime, TargetId},
};

/// Index of a target in its [`Pool`](pool::Pool). A changed plan may give the index to another target
/// once no attempt at the old one is in progress.
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

/// A caller's request as known when it arrives at the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Unique within one run of the instance process.
    pub id: CallId,
    /// Route of the service that the request matches; durations are learned per route.
    pub route: RouteKey,
    /// Whether the request may be sent more than once.
    pub kind: RequestKind,
    /// Decides which calls are served first and refused last when the service is overloaded.
    pub priority: Priority,
    /// Time by which the response must have begun.
    pub deadline: MonoTime,
    /// Attempts made for the same request before this call, by instances or callers further up the chain; the
    /// request's attempt header states them. 0 for an original request.
    pub prior_attempts: u32,
}

/// Identifies a route by its position in the service's list of routes.
///
/// [`RouteKey::UNLISTED`] stands for all requests that match no route of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u32);

impl RouteKey {
    /// Requests that match no route of the plan.
    pub const UNLISTED: Self = Self(u32::MAX);
}

/// Number of an attempt within one call, from 0. An attempt is one sending of the call to one target.
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

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target sent a complete response with a status below 500.
    Answered,
    /// The target sent a response with a status of 500 or above; the I/O layer holds it until an action says
    /// what to do with it.
    Failed,
    /// The target refused the request, and the plan (`refusal_means_not_run` of the service) says that a
    /// refused request has not run.
    Refused,
    /// Nothing of the request was sent.
    Unsent,
    /// The request may have been sent, and the connection then broke, stalled or was closed.
    Lost,
    /// The request was sent, and no response began before the deadline.
    TimedOut,
    /// The instance cancelled the attempt, or the caller disconnected.
    Cancelled,
}

/// Load that a target reports with a response or a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests that the target has running and queued; `None` if it does not report them.
    pub in_flight: Option<u32>,
    /// Whether the target reports that it is draining.
    pub draining: bool,
}

/// Number of requests that one peer instance has in flight at one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// Target that the count is about.
    pub target: TargetId,
    /// Requests in flight from that peer only.
    pub in_flight: u32,
    /// Time since the peer counted them.
    pub age: Duration,
}

/// Input of a [`Pool`](pool::Pool).
#[derive(Debug, Clone)]
pub enum Event {
    /// A call arrived and should be sent to a target.
    CallArrived(Call),
    /// The head of a response arrived; its body is still being received.
    ResponseStarted {
        /// Call that the attempt belongs to.
        call: CallId,
        /// Attempt that received the response.
        attempt: Attempt,
        /// Load that the response reports.
        report: LoadReport,
    },
    /// An attempt ended and no longer occupies a slot at its target.
    AttemptEnded {
        /// Call that the attempt belongs to.
        call: CallId,
        /// Attempt that ended.
        attempt: Attempt,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The caller disconnected or has received its whole response; the call needs no further attempt.
    CallClosed(CallId),
    /// A peer instance reported its in-flight counts.
    PeerLoads {
        /// Peer that sent the counts.
        peer: InstanceId,
        /// Counts that the peer reports now; its earlier counts for other targets still apply.
        loads: Vec<PeerLoad>,
    },
    /// A peer instance left or failed; its counts no longer apply.
    PeerGone(InstanceId),
    /// The plan, a response of the target or a notice from a peer states that a target starts or stops
    /// draining.
    DrainChanged {
        /// Target concerned.
        target: TargetId,
        /// True when the target takes no new requests, false when it takes them again.
        draining: bool,
    },
    /// A probe ended.
    ProbeEnded {
        /// Target that was probed.
        target: TargetIndex,
        /// Load that the target reported; `None` if the probe failed.
        report: Option<LoadReport>,
    },
    /// Time has passed; due no later than [`pool::Pool::next_wake`].
    Tick,
}

/// Output of a [`Pool`](pool::Pool), to be carried out by the I/O layer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the call to a target.
    Send {
        /// Call to send.
        call: CallId,
        /// Number of this attempt.
        attempt: Attempt,
        /// Target to send it to.
        target: TargetIndex,
    },
    /// Forward the error response of a failed attempt to the caller.
    Deliver {
        /// Call to answer.
        call: CallId,
        /// Attempt whose response is forwarded.
        attempt: Attempt,
    },
    /// Answer the call with an error: nothing of it was sent, or all its attempts have ended.
    ///
    /// If the I/O layer holds the response of a failed attempt, it forwards that instead.
    Refuse {
        /// Call to answer.
        call: CallId,
        /// Cause that the caller is told.
        kind: ErrorKind,
        /// Time after which the caller may retry; `None` for the default delay of `kind`, if it has one.
        retry_after: Option<Duration>,
    },
    /// Abort an attempt whose response is no longer needed.
    Cancel {
        /// Call that the attempt belongs to.
        call: CallId,
        /// Attempt to abort.
        attempt: Attempt,
    },
    /// Probe a target for its load.
    Probe(TargetIndex),
}

impl Action {
    /// Returns the action that ends a call whose last attempt ended with `end`, or `None` when the I/O layer
    /// needs none: the response is already on its way, or nobody waits for one.
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
