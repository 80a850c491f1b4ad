//! Health of one target, from its responses (passive health checks): ejection, return by trial, and slowdown
//! relative to the usual durations of its routes.

use std::time::Duration;

use crate::units::MonoTime;

/// Number of consecutive failures that eject a target.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection; it doubles with each further one until the target has recovered.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(200);

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Number of consecutive answers that end a trial.
const ANSWERS_TO_END_TRIAL: u32 = 3;

/// Time after a failure for which a target counts as loaded. Otherwise a target that fails fast would look
/// idle and attract calls.
const FAILURE_PENALTY_TIME: Duration = Duration::from_millis(20);

/// Weight of the latest response in the moving average of the slowdown.
const SLOWDOWN_EWMA_WEIGHT: f64 = 0.25;

/// Time in which the slowdown moves halfway back to 1 when no response arrives, in seconds.
const SLOWDOWN_HALF_LIFE_S: f64 = 0.03;

/// Maximum slowdown that a single response contributes.
const MAX_SLOWDOWN: f64 = 20.0;

/// Slowdown up to which a target counts as undisturbed; durations of single calls vary as much.
const NORMAL_SLOWDOWN: f64 = 2.5;

/// Whether a target takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// It takes calls.
    InService,
    /// It receives no calls until this time (open circuit breaker).
    Ejected(MonoTime),
    /// It receives one idempotent call at a time (half-open circuit breaker); holds the number of answers
    /// since the trial began.
    Trial(u32),
}

/// Health of one target.
#[derive(Debug, Clone)]
pub struct Health {
    state: HealthState,
    failures_in_a_row: u32,
    /// Number of ejections since the target last recovered.
    ejections: u32,
    failed_at: Option<MonoTime>,
    /// Duration of recent responses relative to the medians of their routes, as a moving average; 1 is
    /// normal.
    slowdown: f64,
    slowdown_updated_at: MonoTime,
}

impl Health {
    /// Creates the health of a target that is assumed to work.
    pub fn in_service() -> Self {
        Self {
            state: HealthState::InService,
            failures_in_a_row: 0,
            ejections: 0,
            failed_at: None,
            slowdown: 1.0,
            slowdown_updated_at: MonoTime::default(),
        }
    }

    /// Returns whether the target takes calls.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Records an answer that took `ratio` times the usual time of its route.
    pub fn record_answer(&mut self, now: MonoTime, ratio: f64) {
        self.failures_in_a_row = 0;
        let slowdown = self.unfiltered_slowdown(now);
        self.slowdown = slowdown + SLOWDOWN_EWMA_WEIGHT * (ratio.min(MAX_SLOWDOWN) - slowdown);
        self.slowdown_updated_at = now;
        if let HealthState::Trial(answers) = self.state {
            self.state = HealthState::Trial(answers + 1);
            if answers + 1 >= ANSWERS_TO_END_TRIAL {
                self.state = HealthState::InService;
                self.ejections = 0;
            }
        }
    }

    /// Records that an attempt has taken `ratio` times the usual time of its route and has no response yet.
    pub fn record_late(&mut self, now: MonoTime, ratio: f64) {
        let slowdown = self.unfiltered_slowdown(now);
        self.slowdown = slowdown + SLOWDOWN_EWMA_WEIGHT * (ratio.min(MAX_SLOWDOWN) - slowdown).max(0.0);
        self.slowdown_updated_at = now;
    }

    /// Records a failure and returns whether the target should be ejected; `is_certain` means that one
    /// failure is enough.
    pub fn record_failure(&mut self, now: MonoTime, is_certain: bool) -> bool {
        self.failures_in_a_row += 1;
        self.failed_at = Some(now);
        let in_trial = matches!(self.state, HealthState::Trial(_));
        is_certain || in_trial || self.failures_in_a_row >= FAILURES_TO_EJECT
    }

    /// Ejects the target, unless it is ejected already.
    pub fn eject(&mut self, now: MonoTime) {
        if matches!(self.state, HealthState::Ejected(_)) {
            return;
        }
        let time = BASE_EJECTION_TIME * 2_u32.saturating_pow(self.ejections.min(10));
        self.state = HealthState::Ejected(now + time.min(MAX_EJECTION_TIME));
        self.ejections += 1;
    }

    /// Starts the trial of an ejected target whose ejection has ended; returns whether it did.
    pub fn start_due_trial(&mut self, now: MonoTime) -> bool {
        match self.state {
            HealthState::Ejected(until) if until <= now => {
                self.state = HealthState::Trial(0);
                self.failures_in_a_row = 0;
                true
            }
            HealthState::Ejected(_) | HealthState::InService | HealthState::Trial(_) => false,
        }
    }

    /// Returns the moving average of the slowdown at `now`, including variation that counts as normal.
    fn unfiltered_slowdown(&self, now: MonoTime) -> f64 {
        let halvings = now.since(self.slowdown_updated_at).as_secs_f64() / SLOWDOWN_HALF_LIFE_S;
        1.0 + (self.slowdown - 1.0) * (-halvings).exp2()
    }

    /// Returns by which factor the target is slower than normal; 1 as long as the variation is that of
    /// single calls.
    pub fn slowdown(&self, now: MonoTime) -> f64 {
        let slowdown = self.unfiltered_slowdown(now);
        if slowdown < NORMAL_SLOWDOWN { 1.0 } else { slowdown }
    }

    /// Returns whether the target failed within the last few milliseconds.
    pub fn failed_recently(&self, now: MonoTime) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < FAILURE_PENALTY_TIME)
    }
}
