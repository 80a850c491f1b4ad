//! Health of one target: ejection, return by trial, and pace relative to what its routes take.

use std::time::Duration;

use crate::units::MonoTime;

/// Failures in a row that eject a target.
const FAILURES_TO_EJECT: u32 = 3;

/// Time of a first ejection; doubles with each that follows before the target has recovered.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(200);

/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Answers in a row that end a trial.
const ANSWERS_TO_END_TRIAL: u32 = 3;

/// Time after a failure for which a target counts as loaded, so that failing fast does not attract calls.
const FAILURE_PENALTY_TIME: Duration = Duration::from_millis(20);

/// Weight of the latest answer in the pace.
const SLOWDOWN_EWMA_WEIGHT: f64 = 0.25;

/// Time in which the pace halves its distance to 1 when no answers come.
const SLOWDOWN_HALF_LIFE_S: f64 = 0.03;

/// Slowest pace told apart.
const MAX_SLOWDOWN: f64 = 20.0;

/// Pace up to which a target counts as undisturbed; single calls vary as much.
const NORMAL_SLOWDOWN: f64 = 2.5;

/// Whether a target takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// It does.
    InService,
    /// Nothing is sent until this time.
    Ejected(MonoTime),
    /// One idempotent call at a time is sent; the count is of answers that came since.
    Trial(u32),
}

/// What is known of a target's health.
#[derive(Debug, Clone)]
pub struct Health {
    state: HealthState,
    failures_in_a_row: u32,
    /// Ejections since the target last recovered.
    ejections: u32,
    failed_at: Option<MonoTime>,
    /// Time of recent answers over what their routes take; 1 is normal.
    slowdown: f64,
    slowdown_updated_at: MonoTime,
}

impl Health {
    /// Creates the health of a target that is known to serve.
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

    /// Notes an answer that took `ratio` times what its route takes.
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

    /// Notes a send that has taken `ratio` times what its route takes and has no answer yet.
    pub fn record_late(&mut self, now: MonoTime, ratio: f64) {
        let slowdown = self.unfiltered_slowdown(now);
        self.slowdown = slowdown + SLOWDOWN_EWMA_WEIGHT * (ratio.min(MAX_SLOWDOWN) - slowdown).max(0.0);
        self.slowdown_updated_at = now;
    }

    /// Notes a failure and returns whether the target should be ejected for it.
    pub fn record_failure(&mut self, now: MonoTime, is_certain: bool) -> bool {
        self.failures_in_a_row += 1;
        self.failed_at = Some(now);
        let in_trial = matches!(self.state, HealthState::Trial(_));
        is_certain || in_trial || self.failures_in_a_row >= FAILURES_TO_EJECT
    }

    /// Ejects the target.
    pub fn eject(&mut self, now: MonoTime) {
        if matches!(self.state, HealthState::Ejected(_)) {
            return;
        }
        let time = BASE_EJECTION_TIME * 2_u32.saturating_pow(self.ejections.min(10));
        self.state = HealthState::Ejected(now + time.min(MAX_EJECTION_TIME));
        self.ejections += 1;
    }

    /// Lets an ejected target return by trial when its time has come.
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

    fn unfiltered_slowdown(&self, now: MonoTime) -> f64 {
        let halvings = now.since(self.slowdown_updated_at).as_secs_f64() / SLOWDOWN_HALF_LIFE_S;
        1.0 + (self.slowdown - 1.0) * (-halvings).exp2()
    }

    /// Returns how many times slower than normal the target is, 1 while it varies as calls do.
    pub fn slowdown(&self, now: MonoTime) -> f64 {
        let slowdown = self.unfiltered_slowdown(now);
        if slowdown < NORMAL_SLOWDOWN { 1.0 } else { slowdown }
    }

    /// Returns whether the target failed within the last moments.
    pub fn failed_recently(&self, now: MonoTime) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < FAILURE_PENALTY_TIME)
    }
}
