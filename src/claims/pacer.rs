//! Pacing of write calls by a token bucket that returns how long each call must wait.

use std::time::Duration;

use tokio::time::Instant;

/// Capacity of the bucket: calls that may start without a wait after an idle period.
const BURST: f64 = 4.0;

/// Token bucket whose tokens can be reserved in advance.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pacer {
    /// Rate in calls per second; 0 disables pacing.
    rate_per_s: f64,
    /// Available tokens, at most [`BURST`]; negative while calls wait for reserved tokens.
    tokens: f64,
    /// Time of the latest refill; `None` before the first reservation.
    refilled_at: Option<Instant>,
}

impl Pacer {
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s.max(0.0);
    }

    /// Reserves a token for a call and returns the delay until the call may start.
    pub fn reserve(&mut self, now: Instant) -> Duration {
        if self.rate_per_s == 0.0 {
            return Duration::ZERO;
        }
        let since_refill = self.refilled_at.map(|at| now.duration_since(at).as_secs_f64());
        let refill = since_refill.map_or(BURST, |s| s * self.rate_per_s);
        self.refilled_at = Some(now);
        self.tokens = BURST.min(self.tokens + refill) - 1.0;
        Duration::from_secs_f64((-self.tokens).max(0.0) / self.rate_per_s)
    }
}
