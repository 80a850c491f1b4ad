//! Circuit breaker towards the platform: fails fast during an outage and returns by jittered trials.
//!
//! One request at a time is the trial. The pause before a trial doubles up to a limit and is drawn at random
//! between half and the whole of it, so that instances that saw the same outage don't return together.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::units::MonoTime;

/// Failures in a row after which the breaker opens.
const FAILURES_TO_OPEN: u32 = 5;

/// Pause before the first trial.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause before a trial.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Time after which a trial without a result no longer blocks the next one.
const TRIAL_LIMIT: Duration = Duration::from_secs(5);

/// What the breaker lets through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Everything; counts failures in a row.
    Closed { failures: u32 },
    /// Nothing before the time.
    Open { until: MonoTime, pause: Duration },
    /// One trial, which must end before the time.
    HalfOpen { until: MonoTime, pause: Duration },
}

/// How a request to the platform went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// It answered.
    Answered,
    /// It refused, or no connection could be opened.
    Inconclusive,
    /// It did not answer in time, or the connection failed.
    Unanswered,
}

/// Circuit breaker of one instance towards the platform.
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
    /// Creates a closed breaker whose pauses follow `seed`.
    pub fn new(seed: u64) -> Self {
        Self { state: State::Closed { failures: 0 }, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns whether a request may be sent now; when it may, its result must be recorded.
    pub fn admit(&mut self, now: MonoTime) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, pause } | State::HalfOpen { until, pause } if now >= until => {
                self.state = State::HalfOpen { until: now + TRIAL_LIMIT, pause };
                true
            }
            State::Open { .. } | State::HalfOpen { .. } => false,
        }
    }

    /// Takes the result of an admitted request.
    pub fn record(&mut self, health: CallResult, now: MonoTime) {
        self.state = match (self.state, health) {
            (_, CallResult::Answered) => State::Closed { failures: 0 },
            (State::HalfOpen { pause, .. }, CallResult::Inconclusive) => self.open(now, pause),
            (state, CallResult::Inconclusive) => state,
            (State::Closed { failures }, CallResult::Unanswered) if failures + 1 < FAILURES_TO_OPEN => {
                State::Closed { failures: failures + 1 }
            }
            (State::Closed { .. }, CallResult::Unanswered) => self.open(now, FIRST_PAUSE),
            (State::HalfOpen { pause, .. }, CallResult::Unanswered) => {
                self.open(now, (pause * 2).min(LONGEST_PAUSE))
            }
            // A request admitted before the breaker opened.
            (open @ State::Open { .. }, CallResult::Unanswered) => open,
        };
    }

    /// Returns whether requests are held back.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    fn open(&mut self, now: MonoTime, pause: Duration) -> State {
        let drawn = pause.mul_f64(self.rng.random_range(0.5..=1.0));
        State::Open { until: now + drawn, pause }
    }
}
