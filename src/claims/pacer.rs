//! Spacing of write calls: a token bucket that hands out waits.

use std::time::Duration;

use tokio::time::Instant;

/// Calls that may start at once after a pause.
const BURST: f64 = 4.0;

/// Token bucket whose tokens can be reserved before they exist.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pacer {
    /// Calls a second; 0 for no spacing.
    rate_per_s: f64,
    /// At most [`BURST`]; negative while calls wait for their token.
    tokens: f64,
    filled_at: Option<Instant>,
}

impl Pacer {
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s.max(0.0);
    }

    /// Reserves a call and returns the time until it may start.
    pub fn reserve(&mut self, now: Instant) -> Duration {
        if self.rate_per_s == 0.0 {
            return Duration::ZERO;
        }
        let since_filled = self.filled_at.map(|at| now.duration_since(at).as_secs_f64());
        let gained = since_filled.map_or(BURST, |s| s * self.rate_per_s);
        self.filled_at = Some(now);
        self.tokens = BURST.min(self.tokens + gained) - 1.0;
        Duration::from_secs_f64((-self.tokens).max(0.0) / self.rate_per_s)
    }
}
