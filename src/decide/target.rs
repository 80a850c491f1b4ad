//! One target as a pool sees it: counts, limit, health.

use super::{
    health::{Health, HealthState},
    probe::ProbeSchedule,
    quota::Quota,
};
use crate::{plan::TargetSpec, units::MonoTime};

/// Slots by which each answer raises the limit of a target that has just returned.
const RAMP_PER_ANSWER: f64 = 0.5;

/// Who says that a target takes no new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Drain {
    /// A sign from plan, list or peers.
    pub by_sign: bool,
    /// Its own latest report.
    pub by_report: bool,
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
    pub drain: Drain,
    /// Own sends in progress.
    pub own: u32,
    /// Those among `own` whose route is long.
    pub own_long: u32,
    /// Slots that this instance prefers.
    pub quota: Quota,
    /// Ejection and pace.
    pub health: Health,
    /// Limit while it warms up; `None` for all slots.
    pub ramp: Option<f64>,
    /// Latest answer, report or count.
    pub read_at: MonoTime,
    /// Its probes.
    pub probes: ProbeSchedule,
    /// Place in the list of targets with a free preferred slot.
    pub free_place: Option<usize>,
}

impl Target {
    /// Returns whether it takes no new calls.
    pub fn is_draining(&self) -> bool {
        self.drain.by_sign || self.drain.by_report
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
                let warm = self.ramp.map_or(slots, |ramp| ramp.min(slots));
                (warm / self.health.pace(now)).max(1.0)
            }
        }
    }

    /// Notes an answer that took `ratio` times what its route takes.
    pub fn answered(&mut self, now: MonoTime, ratio: f64) {
        let was_trial = matches!(self.health.state(), HealthState::Trial(_));
        self.health.answered(now, ratio);
        if was_trial && self.health.state() == HealthState::InService {
            self.ramp = Some(1.0);
        }
        self.ramp = self.ramp.map(|r| r + RAMP_PER_ANSWER).filter(|r| *r < f64::from(self.spec.slots));
    }

    /// Returns whether a preferred slot is free.
    pub fn has_free_quota(&self) -> bool {
        self.in_plan && !self.is_draining() && self.own < self.quota.slots
    }
}
