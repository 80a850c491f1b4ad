//! What an instance that shuts down still takes: only work that can end before its process does.

use std::time::Duration;

use crate::units::MonoTime;

/// Time within which the ingress notices that an instance is not ready: two readiness checks one second apart, and
/// their responses.
const INGRESS_DELAY: Duration = Duration::from_millis(2_300);

/// Share of the grace period after which calls in progress are ended.
const CALLS_SHARE: f64 = 0.9;

/// Share of the grace period after which the process ends, whatever is in progress. The rest is for its exit.
const PROCESS_SHARE: f64 = 0.92;

/// A call is sent to a target while this many times its usual duration remain until calls are ended.
const ANSWER_MARGIN: f64 = 3.0;

/// Times of a graceful shutdown, in the order in which they come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Time from which requests are refused. Until then, the ingress sends requests because it does not know of the
    /// shutdown yet.
    pub refuse_at: MonoTime,
    /// Time at which calls in progress are ended.
    pub calls_end_at: MonoTime,
    /// Time at which the process ends.
    pub process_ends_at: MonoTime,
}

impl ShutdownTimes {
    /// Returns the times of a shutdown that starts at `now` and may take `grace`.
    pub fn new(now: MonoTime, grace: Duration) -> Self {
        Self {
            refuse_at: now + INGRESS_DELAY.min(grace / 2),
            calls_end_at: now + grace.mul_f64(CALLS_SHARE),
            process_ends_at: now + grace.mul_f64(PROCESS_SHARE),
        }
    }

    /// Returns whether requests are taken at `now`.
    ///
    /// The ingress may send callers here until the process ends, for want of other instances. A request that is cut off
    /// with the process may have been executed; one that is refused can be sent again. All are refused from one moment
    /// on, also those that would end in time: the sooner nothing is in progress, the sooner another process takes this
    /// one's place.
    pub fn takes_requests(&self, now: MonoTime) -> bool {
        now < self.refuse_at
    }

    /// Returns the time until which a call with this deadline may be sent to a target, which usually answers within
    /// `usual_time`. One that is sent later would probably be cut off.
    pub fn send_until(&self, deadline: MonoTime, usual_time: Duration) -> MonoTime {
        if deadline <= self.calls_end_at {
            return deadline;
        }
        self.calls_end_at.checked_sub(usual_time.mul_f64(ANSWER_MARGIN)).unwrap_or_default()
    }
}
