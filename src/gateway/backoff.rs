//! Back-off between calls to a store that is failing.
//!
//! Every call to the store costs money, failed ones too. Seeds retry often, so that they notice soon that the
//! store is back, and pass its rows on to the other instances. The others retry rarely, for the case that
//! they reach the store while the seeds do not.

use std::time::Duration;

/// Pause of a seed after the first failed call; doubles up to [`MAX_SEED_PAUSE`].
const FIRST_SEED_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause of a seed: a store that is back must be noticed within one to two seconds.
const MAX_SEED_PAUSE: Duration = Duration::from_millis(800);

/// Store calls per second that all instances other than the seeds make together: at most a tenth of the
/// deployment's request rate.
const FOLLOWER_CALLS_PER_S: f64 = 25.0;

/// Back-off state of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates the exponential back-off of a seed.
    pub fn for_seed() -> Self {
        Self { next: FIRST_SEED_PAUSE, max: MAX_SEED_PAUSE }
    }

    /// Creates the back-off of an instance that is not a seed: a constant pause that grows with the number of
    /// `instances`.
    pub fn for_follower(instances: u32) -> Self {
        let share = Duration::from_secs_f64(f64::from(instances) / FOLLOWER_CALLS_PER_S);
        let max = share.max(MAX_SEED_PAUSE);
        Self { next: max, max }
    }

    /// Returns the longest pause, before jitter.
    pub fn max_pause(&self) -> Duration {
        self.max
    }

    /// Returns the next pause multiplied by `jitter`, and advances the back-off.
    pub fn next_pause(&mut self, jitter: f64) -> Duration {
        let pause = self.next.mul_f64(jitter);
        self.next = (self.next * 2).min(self.max);
        pause
    }
}
