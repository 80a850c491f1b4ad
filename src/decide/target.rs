//! One target as a pool sees it: counts, limit, health.

use super::{
    health::{Health, HealthState},
    probe::ProbeSchedule,
    quota::Quota,
};
use crate::{plan::TargetSpec, units::MonoTime};

/// Slots by which each answer raises the limit of a target that has just returned.
const SLOW_START_SLOTS_PER_ANSWER: f64 = 0.5;

/// Who says that a target takes no new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DrainSources {
    /// A sign from plan, list or peers.
    pub announced: bool,
    /// Its own latest report.
    pub reported: bool,
}

/// State of one target.
#[derive(Debug)]
pub struct Target {
    /// What the plan states.
    pub spec: TargetSpec,
    /// Whether it is in this instance's data centre.
    pub is_near: bool,
    /// Whether the plan in force has it; false only while sends of an earlier plan are in progress or its place
    /// is free.
    pub in_plan: bool,
    /// Who says that it takes no new calls.
    pub drain: DrainSources,
    /// Own sends in progress.
    pub own_in_flight: u32,
    /// Those among `own` whose route is long.
    pub own_long_in_flight: u32,
    /// Slots that this instance prefers.
    pub quota: Quota,
    /// Ejection and pace.
    pub health: Health,
    /// Limit while it warms up; `None` for all slots.
    pub slow_start_limit: Option<f64>,
    /// Latest answer, report or count.
    pub heard_at: MonoTime,
    /// Its probes.
    pub probe_schedule: ProbeSchedule,
    /// Place in the list of targets with a free preferred slot.
    pub preferred_index: Option<usize>,
}

impl Target {
    /// Returns whether it takes no new calls.
    pub fn is_draining(&self) -> bool {
        self.drain.announced || self.drain.reported
    }

    /// Returns how many requests of all instances it may hold now.
    pub fn limit(&self, now: MonoTime) -> f64 {
        if self.is_draining() || !self.in_plan {
            return 0.0;
        }
        match self.health.state() {
            HealthState::Ejected(_) => 0.0,
            HealthState::Trial(_) => 1.0,
            HealthState::InService => {
                let slots = f64::from(self.spec.slots);
                let warm =
                    self.slow_start_limit.map_or(slots, |slow_start_limit| slow_start_limit.min(slots));
                (warm / self.health.slowdown(now)).max(1.0)
            }
        }
    }

    /// Notes an answer that took `ratio` times what its route takes.
    pub fn record_answer(&mut self, now: MonoTime, ratio: f64) {
        let was_trial = matches!(self.health.state(), HealthState::Trial(_));
        self.health.record_answer(now, ratio);
        if was_trial && self.health.state() == HealthState::InService {
            self.slow_start_limit = Some(1.0);
        }
        self.slow_start_limit = self
            .slow_start_limit
            .map(|r| r + SLOW_START_SLOTS_PER_ANSWER)
            .filter(|r| *r < f64::from(self.spec.slots));
    }

    /// Returns whether a preferred slot is free.
    pub fn has_free_preferred_slot(&self) -> bool {
        self.in_plan && !self.is_draining() && self.own_in_flight < self.quota.slots
    }
}
