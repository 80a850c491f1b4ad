//! State of one target in a pool: counts, limit and health.

use super::{
    health::{Health, HealthState},
    probe::ProbeSchedule,
    quota::Quota,
};
use crate::{plan::TargetSpec, units::MonoTime};

/// Number of slots by which each answer raises the limit of a target in slow start.
const SLOW_START_SLOTS_PER_ANSWER: f64 = 0.5;

/// Sources that say whether a target is draining, that is, takes no new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DrainSources {
    /// Announced by the configuration, an operator or a peer.
    pub announced: bool,
    /// Stated by the target in its latest load report.
    pub reported: bool,
}

/// State of one target.
#[derive(Debug)]
pub struct Target {
    /// Configuration of the target.
    pub spec: TargetSpec,
    /// Whether it is in this instance's data centre.
    pub is_near: bool,
    /// Whether the current plan lists it. False while attempts from an earlier plan are in progress, or
    /// while its index is unused.
    pub in_plan: bool,
    /// Whether it is draining, by source.
    pub drain: DrainSources,
    /// This instance's attempts in progress.
    pub own_in_flight: u32,
    /// Those among `own_in_flight` whose route is long.
    pub own_long_in_flight: u32,
    /// Slots that this instance prefers.
    pub quota: Quota,
    /// Ejection state and slowdown.
    pub health: Health,
    /// Limit in slots during slow start after an ejection; `None` if all slots may be used.
    pub slow_start_limit: Option<f64>,
    /// When the target was last heard from, by a response or a probe.
    pub heard_at: MonoTime,
    /// Schedule of its probes.
    pub probe_schedule: ProbeSchedule,
    /// Index in the list of targets with a free preferred slot; `None` if it is not in the list.
    pub preferred_index: Option<usize>,
}

impl Target {
    /// Returns whether the target takes no new calls.
    pub fn is_draining(&self) -> bool {
        self.drain.announced || self.drain.reported
    }

    /// Returns the number of requests of all instances that the target may hold now.
    pub fn limit(&self, now: MonoTime) -> f64 {
        if self.is_draining() || !self.in_plan {
            return 0.0;
        }
        match self.health.state() {
            HealthState::Ejected(_) => 0.0,
            HealthState::Trial(_) => 1.0,
            HealthState::InService => {
                let slots = f64::from(self.spec.slots);
                let warm = self.slow_start_limit.map_or(slots, |limit| limit.min(slots));
                (warm / self.health.slowdown(now)).max(1.0)
            }
        }
    }

    /// Records an answer that took `ratio` times the usual time of its route.
    pub fn record_answer(&mut self, now: MonoTime, ratio: f64) {
        let was_trial = matches!(self.health.state(), HealthState::Trial(_));
        self.health.record_answer(now, ratio);
        if was_trial && self.health.state() == HealthState::InService {
            self.slow_start_limit = Some(1.0);
        }
        self.slow_start_limit = self
            .slow_start_limit
            .map(|limit| limit + SLOW_START_SLOTS_PER_ANSWER)
            .filter(|limit| *limit < f64::from(self.spec.slots));
    }

    /// Returns whether a slot that this instance prefers is free.
    pub fn has_free_preferred_slot(&self) -> bool {
        self.in_plan && !self.is_draining() && self.own_in_flight < self.quota.slots
    }
}
