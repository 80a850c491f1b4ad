//! Health of one target: ejection, return by trial, and pace relative to what its routes take.

use std::time::Duration;

use crate::units::MonoTime;

/// Failures in a row that eject a target.
const EJECT_AFTER: u32 = 3;

/// Time of a first ejection; doubles with each that follows before the target has recovered.
const FIRST_EJECTION: Duration = Duration::from_millis(200);

/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(5);

/// Answers in a row that end a trial.
const TRIAL_ANSWERS: u32 = 3;

/// Time after a failure for which a target counts as loaded, so that failing fast does not attract calls.
const FAILURE_PENALTY: Duration = Duration::from_millis(20);

/// Weight of the latest answer in the pace.
const PACE_WEIGHT: f64 = 0.25;

/// Time in which the pace halves its distance to 1 when no answers come.
const PACE_HALF_LIFE_S: f64 = 0.03;

/// Slowest pace told apart.
const SLOWEST_PACE: f64 = 20.0;

/// Pace up to which a target counts as undisturbed; single calls vary as much.
const NORMAL_PACE: f64 = 2.5;

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
    pace: f64,
    paced_at: MonoTime,
}

impl Health {
    /// Creates the health of a target that is known to serve.
    pub fn in_service() -> Self {
        Self {
            state: HealthState::InService,
            failures_in_a_row: 0,
            ejections: 0,
            failed_at: None,
            pace: 1.0,
            paced_at: MonoTime::default(),
        }
    }

    /// Returns whether the target takes calls.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Notes an answer that took `ratio` times what its route takes.
    pub fn answered(&mut self, now: MonoTime, ratio: f64) {
        self.failures_in_a_row = 0;
        let pace = self.raw_pace(now);
        self.pace = pace + PACE_WEIGHT * (ratio.min(SLOWEST_PACE) - pace);
        self.paced_at = now;
        if let HealthState::Trial(answers) = self.state {
            self.state = HealthState::Trial(answers + 1);
            if answers + 1 >= TRIAL_ANSWERS {
                self.state = HealthState::InService;
                self.ejections = 0;
            }
        }
    }

    /// Notes a send that has taken `ratio` times what its route takes and has no answer yet.
    pub fn late(&mut self, now: MonoTime, ratio: f64) {
        let pace = self.raw_pace(now);
        self.pace = pace + PACE_WEIGHT * (ratio.min(SLOWEST_PACE) - pace).max(0.0);
        self.paced_at = now;
    }

    /// Notes a failure and returns whether the target should be ejected for it.
    pub fn failed(&mut self, now: MonoTime, is_certain: bool) -> bool {
        self.failures_in_a_row += 1;
        self.failed_at = Some(now);
        let in_trial = matches!(self.state, HealthState::Trial(_));
        is_certain || in_trial || self.failures_in_a_row >= EJECT_AFTER
    }

    /// Ejects the target.
    pub fn eject(&mut self, now: MonoTime) {
        if matches!(self.state, HealthState::Ejected(_)) {
            return;
        }
        let time = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(10));
        self.state = HealthState::Ejected(now + time.min(LONGEST_EJECTION));
        self.ejections += 1;
    }

    /// Lets an ejected target return by trial when its time has come.
    pub fn refresh(&mut self, now: MonoTime) -> bool {
        match self.state {
            HealthState::Ejected(until) if until <= now => {
                self.state = HealthState::Trial(0);
                self.failures_in_a_row = 0;
                true
            }
            HealthState::Ejected(_) | HealthState::InService | HealthState::Trial(_) => false,
        }
    }

    fn raw_pace(&self, now: MonoTime) -> f64 {
        let halvings = now.since(self.paced_at).as_secs_f64() / PACE_HALF_LIFE_S;
        1.0 + (self.pace - 1.0) * (-halvings).exp2()
    }

    /// Returns how many times slower than normal the target is, 1 while it varies as calls do.
    pub fn pace(&self, now: MonoTime) -> f64 {
        let pace = self.raw_pace(now);
        if pace < NORMAL_PACE { 1.0 } else { pace }
    }

    /// Returns whether the target failed within the last moments.
    pub fn failed_lately(&self, now: MonoTime) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < FAILURE_PENALTY)
    }
}
