//! The process's monotonic clock.

use tokio::time::Instant;

use crate::units::MonoTime;

/// Clock whose origin is the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + self.origin.elapsed()
    }

    /// Returns the instant of the runtime's clock that `time` stands for.
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.origin + time.since(MonoTime::default())
    }
}
