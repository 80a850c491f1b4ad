//! Links to seeds that an instance keeps open while it reads the store itself, and its pauses between failed calls.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use tokio::time::{Instant, sleep};

/// Longest pause between two failed calls of an instance that has no link to a seed, before jitter. Nobody else tells
/// it that the store is back, and it must have what has changed 3 s after that.
pub const MAX_PAUSE_WITHOUT_SEED: Duration = Duration::from_millis(1_200);

/// Number of seeds that send their states to this instance.
#[derive(Debug, Default)]
pub struct SeedLinks(AtomicUsize);

impl SeedLinks {
    /// Counts a link until the guard is dropped.
    pub fn track(&self) -> SeedLink<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        SeedLink(self)
    }

    /// Pauses for `length` between two failed calls. A seed tells at once when the store is back; without a link to one
    /// the pause ends sooner. `jitter` multiplies that limit.
    pub async fn pause(&self, length: Duration, jitter: f64) {
        let until = Instant::now() + length;
        loop {
            let rest = until.saturating_duration_since(Instant::now());
            sleep(rest.min(MAX_PAUSE_WITHOUT_SEED.mul_f64(jitter))).await;
            if Instant::now() >= until || self.0.load(Ordering::Relaxed) == 0 {
                return;
            }
        }
    }
}

/// A link to a seed that is open while this is kept.
#[derive(Debug)]
pub struct SeedLink<'a>(&'a SeedLinks);

impl Drop for SeedLink<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
