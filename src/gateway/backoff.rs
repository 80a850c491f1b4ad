//! Pauses between calls to a store that fails them.
//!
//! Each call is paid for, also one that fails. Seeds ask often, so that the return is noticed soon, and tell the others of
//! it; those ask only in case that they reach a store which the seeds don't.

use std::time::Duration;

/// Pause of a seed after the first call that failed; doubles up to [`MAX_SEED_PAUSE`].
const FIRST_SEED_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause of a seed, within the second or two in which a return must be noticed.
const MAX_SEED_PAUSE: Duration = Duration::from_millis(800);

/// Calls a second that all instances but the seeds make together: a tenth or less of a deployment's requests.
const FOLLOWER_CALLS_PER_S: f64 = 25.0;

/// Pauses of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates the pauses of an instance that others follow.
    pub fn for_seed() -> Self {
        Self { next: FIRST_SEED_PAUSE, max: MAX_SEED_PAUSE }
    }

    /// Creates the pauses of one of so many other instances.
    pub fn for_follower(instances: u32) -> Self {
        let share = Duration::from_secs_f64(f64::from(instances) / FOLLOWER_CALLS_PER_S);
        let max = share.max(MAX_SEED_PAUSE);
        Self { next: max, max }
    }

    /// Returns the longest pause.
    pub fn max_pause(&self) -> Duration {
        self.max
    }

    /// Returns the next pause, so many times as long as usual.
    pub fn next_pause(&mut self, jitter: f64) -> Duration {
        let pause = self.next.mul_f64(jitter);
        self.next = (self.next * 2).min(self.max);
        pause
    }
}
