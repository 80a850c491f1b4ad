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
    Trial { until: MonoTime, pause: Duration },
}

/// How a request to the platform went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answered.
    Answered,
    /// It refused, or no connection could be opened.
    Unclear,
    /// It did not answer in time, or the connection failed.
    Silent,
}

/// Circuit breaker of one instance towards the platform.
///
/// ```
/// use arbutusshelf::{
///     store::breaker::{Breaker, Health},
///     units::MonoTime,
/// };
///
/// let now = MonoTime::default();
/// let mut breaker = Breaker::new(1);
/// while breaker.admit(now) {
///     breaker.record(Health::Silent, now);
/// }
/// assert!(!breaker.admit(now));
/// ```
#[derive(Debug, Clone)]
pub struct Breaker {
    state: State,
    rng: SmallRng,
}

impl Breaker {
    /// Creates a closed breaker whose pauses follow `seed`.
    pub fn new(seed: u64) -> Self {
        Self { state: State::Closed { failures: 0 }, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns whether a request may be sent now; when it may, its result must be recorded.
    pub fn admit(&mut self, now: MonoTime) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, pause } | State::Trial { until, pause } if now >= until => {
                self.state = State::Trial { until: now + TRIAL_LIMIT, pause };
                true
            }
            State::Open { .. } | State::Trial { .. } => false,
        }
    }

    /// Takes the result of an admitted request.
    pub fn record(&mut self, health: Health, now: MonoTime) {
        self.state = match (self.state, health) {
            (_, Health::Answered) => State::Closed { failures: 0 },
            (State::Trial { pause, .. }, Health::Unclear) => self.open(now, pause),
            (state, Health::Unclear) => state,
            (State::Closed { failures }, Health::Silent) if failures + 1 < FAILURES_TO_OPEN => {
                State::Closed { failures: failures + 1 }
            }
            (State::Closed { .. }, Health::Silent) => self.open(now, FIRST_PAUSE),
            (State::Trial { pause, .. }, Health::Silent) => self.open(now, (pause * 2).min(LONGEST_PAUSE)),
            // A request admitted before the breaker opened.
            (open @ State::Open { .. }, Health::Silent) => open,
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
