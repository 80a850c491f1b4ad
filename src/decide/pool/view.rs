//! State of a pool's targets, as shown to operators and in metrics.

use super::Pool;
use crate::{
    decide::{TargetIndex, health::HealthState},
    units::{MonoTime, TargetId},
};

/// State of a target with respect to new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum TargetState {
    /// It takes calls up to its full limit.
    InService,
    /// It has returned from ejection; its limit rises with each answered call (slow start).
    WarmingUp,
    /// It answers slowly, so its limit is reduced.
    Slow,
    /// It failed and receives no calls for a limited time (open circuit breaker).
    Ejected,
    /// It receives one idempotent call at a time to find out whether it works again (half-open circuit
    /// breaker).
    Trial,
    /// It is being taken out of service and receives no new calls.
    Draining,
}

/// Figures that the choice of a target is based on, for one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Name of the target.
    pub id: TargetId,
    /// Requests of this instance in flight there.
    pub own_in_flight: u32,
    /// Those among `own_in_flight` whose route is long.
    pub own_long_in_flight: u32,
    /// Requests of peer instances in flight there, as last reported by them.
    pub peers_in_flight: u32,
    /// Number of its slots that this instance prefers.
    pub preferred_slots: u32,
    /// Maximum number of requests of all instances that it may hold now.
    pub limit: f64,
    /// Duration of its recent responses relative to the medians of their routes; 1 is normal.
    pub slowdown: f64,
    /// Whether it is in this instance's data centre.
    pub is_near: bool,
    /// Whether and how it takes calls.
    pub state: TargetState,
}

impl Pool {
    /// Returns the figures for each target, in the order of the plan.
    pub fn explain(&self, now: MonoTime) -> Vec<TargetView> {
        self.plan_order.iter().map(|index| self.view(now, *index)).collect()
    }

    fn view(&self, now: MonoTime, index: TargetIndex) -> TargetView {
        let target = &self.targets[index.0];
        let slowdown = target.health.slowdown(now);
        let state = match target.health.state() {
            _ if target.is_draining() => TargetState::Draining,
            HealthState::Ejected(_) => TargetState::Ejected,
            HealthState::Trial(_) => TargetState::Trial,
            HealthState::InService if target.slow_start_limit.is_some() => TargetState::WarmingUp,
            HealthState::InService if slowdown > 1.0 => TargetState::Slow,
            HealthState::InService => TargetState::InService,
        };
        TargetView {
            id: target.spec.id.clone(),
            own_in_flight: target.own_in_flight,
            own_long_in_flight: target.own_long_in_flight,
            peers_in_flight: self.peer_counts.in_flight_at(index),
            preferred_slots: target.quota.slots,
            limit: target.limit(now),
            slowdown,
            is_near: target.is_near,
            state,
        }
    }
}
