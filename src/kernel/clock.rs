//! Monotonic clock of the process, and the time of day.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::units::MonoTime;

/// Returns the time of day in milliseconds since the Unix epoch, or 0 if the clock reads less.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

/// Monotonic clock whose origin is the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock's origin.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + self.origin.elapsed()
    }

    /// Converts `time` to an instant of the async runtime's clock.
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.origin + time.since(MonoTime::default())
    }
}
