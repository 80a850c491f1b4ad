//! Monotonic clock of the process.

use tokio::time::Instant;

use crate::units::MonoTime;

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
