//! Back-off between calls to a store that is failing.
//!
//! Every call to the store costs money, failed ones too. Seeds retry often, so that they notice soon that the
//! store is back, and pass its rows on to the other instances. The others retry rarely, for the case that
//! they reach the store while the seeds do not.

use std::{ops::Range, time::Duration};

/// Time between the starts of a seed's first two failed calls; doubles up to [`MAX_SEED_INTERVAL`].
const FIRST_SEED_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between the starts of a seed's calls, before jitter. A store that is back must be noticed so soon
/// that its changes are in force everywhere within two seconds, and that targets which are missing two seconds
/// after that are removed within three.
const MAX_SEED_INTERVAL: Duration = Duration::from_millis(600);

/// Range of the factor by which intervals are multiplied, so that instances don't call at the same moments.
pub const JITTER: Range<f64> = 0.75..1.25;

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
        Self { next: FIRST_SEED_INTERVAL, max: MAX_SEED_INTERVAL }
    }

    /// Creates the back-off of an instance that is not a seed: a constant interval that grows with the number of
    /// `instances`.
    pub fn for_follower(instances: u32) -> Self {
        let share = Duration::from_secs_f64(f64::from(instances) / FOLLOWER_CALLS_PER_S);
        let max = share.max(MAX_SEED_INTERVAL);
        Self { next: max, max }
    }

    /// Returns the longest interval, before jitter.
    pub fn max_interval(&self) -> Duration {
        self.max
    }

    /// Returns the pause after a failed call that took `took`, and advances the back-off. `jitter` multiplies the
    /// interval.
    pub fn next_pause(&mut self, took: Duration, jitter: f64) -> Duration {
        let interval = self.next.mul_f64(jitter);
        self.next = (self.next * 2).min(self.max);
        interval.saturating_sub(took)
    }
}
