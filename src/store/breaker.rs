//! Circuit breaker for requests to the platform: fails fast during an outage and probes for its end.
//!
//! While half-open, one request at a time is let through as a probe. The pause before a probe doubles up to a
//! limit and is shortened by a random factor between 0.5 and 1, so that instances that saw the same outage
//! don't all return at the same time.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::units::MonoTime;

/// Number of unanswered requests in a row after which the breaker opens.
const FAILURE_THRESHOLD: u32 = 5;

/// Longest pause before the first probe.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause before any probe.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Time after which a probe without a result no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of the breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Lets all requests through; counts unanswered ones in a row.
    Closed { failures: u32 },
    /// Lets nothing through until `until`; `pause` is the pause before jitter.
    Open { until: MonoTime, pause: Duration },
    /// One probe is under way; another is let through at `until` if this one has no result by then.
    HalfOpen { until: MonoTime, pause: Duration },
}

/// Result of a request to the platform, as far as it shows whether the platform works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The platform answered.
    Answered,
    /// The platform refused a write, or no connection could be opened.
    Inconclusive,
    /// The platform did not answer in time, or the connection failed.
    Unanswered,
}

/// Circuit breaker of one instance for its requests to the platform.
///
/// ```
/// use arbutusshelf::{
///     store::breaker::{CircuitBreaker, CallResult},
///     units::MonoTime,
/// };
///
/// let now = MonoTime::default();
/// let mut breaker = CircuitBreaker::new(1);
/// while breaker.admit(now) {
///     breaker.record(CallResult::Unanswered, now);
/// }
/// assert!(!breaker.admit(now));
/// ```
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    state: State,
    rng: SmallRng,
}

impl CircuitBreaker {
    /// Creates a closed breaker; `seed` seeds the jitter of its pauses.
    pub fn new(seed: u64) -> Self {
        Self { state: State::Closed { failures: 0 }, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns whether a request may be sent now; if so, its result must be passed to [`Self::record`].
    pub fn admit(&mut self, now: MonoTime) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, pause } | State::HalfOpen { until, pause } if now >= until => {
                self.state = State::HalfOpen { until: now + PROBE_TIMEOUT, pause };
                true
            }
            State::Open { .. } | State::HalfOpen { .. } => false,
        }
    }

    /// Records the result of an admitted request.
    pub fn record(&mut self, result: CallResult, now: MonoTime) {
        self.state = match (self.state, result) {
            (_, CallResult::Answered) => State::Closed { failures: 0 },
            (State::HalfOpen { pause, .. }, CallResult::Inconclusive) => self.open(now, pause),
            (state, CallResult::Inconclusive) => state,
            (State::Closed { failures }, CallResult::Unanswered) if failures + 1 < FAILURE_THRESHOLD => {
                State::Closed { failures: failures + 1 }
            }
            (State::Closed { .. }, CallResult::Unanswered) => self.open(now, FIRST_PAUSE),
            (State::HalfOpen { pause, .. }, CallResult::Unanswered) => {
                self.open(now, (pause * 2).min(MAX_PAUSE))
            }
            // The request was admitted before the breaker opened.
            (open @ State::Open { .. }, CallResult::Unanswered) => open,
        };
    }

    /// Returns whether the breaker is open or half-open.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    fn open(&mut self, now: MonoTime, pause: Duration) -> State {
        let jittered = pause.mul_f64(self.rng.random_range(0.5..=1.0));
        State::Open { until: now + jittered, pause }
    }
}
