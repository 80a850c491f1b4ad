//! When refused callers may come back: one after the other, as fast as the service can serve what this instance sends it.
//!
//! All that are refused at a crest would otherwise return together, and be refused together.

use std::time::Duration;

use crate::units::MonoTime;

/// Least time until a caller comes back, about that of one short request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time until a caller comes back: what a request of a few seconds can spare.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a service serves, as far as this instance can tell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCapacity {
    /// Requests that its targets work on at once.
    pub slots: u32,
    /// Usual time of one request.
    pub usual_time: Duration,
    /// Instances that share the slots.
    pub instances: u32,
}

/// Turns of the callers of one service that this instance refused.
#[derive(Debug, Default)]
pub struct RetryAfterPacer {
    last: MonoTime,
}

impl RetryAfterPacer {
    /// Returns the time after which a caller that is refused now comes back; so many calls wait already.
    pub fn next_retry_after(
        &mut self,
        now: MonoTime,
        capacity: &ServiceCapacity,
        waiting: usize,
    ) -> Duration {
        let instances = f64::from(capacity.instances.max(1));
        let interval = capacity.usual_time.mul_f64(instances / f64::from(capacity.slots.max(1)));
        let after_waiting = now + interval.mul_f64(waiting as f64);
        let at = (self.last.max(after_waiting) + interval).max(now + MIN_RETRY_AFTER);
        let after = at.since(now).min(MAX_RETRY_AFTER);
        self.last = now + after;
        after
    }
}
