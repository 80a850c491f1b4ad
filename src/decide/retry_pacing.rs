//! Pacing of retries after refusals: refused callers are told to come back one after the other, as fast as
//! the service can process what this instance sends it.
//!
//! All callers refused at a load peak would otherwise return at the same time and be refused again.

use std::time::Duration;

use crate::units::{MonoTime, PerSecond};

/// Minimum `Retry-After`, about the duration of one short request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum `Retry-After`: the delay that a request with a deadline of a few seconds can afford.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Estimated capacity of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCapacity {
    /// Requests that its targets process per second.
    pub rate: PerSecond,
    /// Number of instances that share the targets.
    pub instances: u32,
}

/// Return times of the callers of one service that this instance has refused.
#[derive(Debug, Default)]
pub struct RetryAfterPacer {
    last: MonoTime,
}

impl RetryAfterPacer {
    /// Returns the `Retry-After` for a caller that is refused now, while `waiting` calls wait and will be
    /// served first.
    pub fn next_retry_after(
        &mut self,
        now: MonoTime,
        capacity: &ServiceCapacity,
        waiting: usize,
    ) -> Duration {
        let instances = f64::from(capacity.instances.max(1));
        let interval = Duration::try_from_secs_f64(instances / f64::from(capacity.rate));
        let interval = interval.map_or(MAX_RETRY_AFTER, |interval| interval.min(MAX_RETRY_AFTER));
        let after_waiting = now + interval.mul_f64(waiting as f64);
        let at = (self.last.max(after_waiting) + interval).max(now + MIN_RETRY_AFTER);
        let after = at.since(now).min(MAX_RETRY_AFTER);
        self.last = now + after;
        after
    }
}
