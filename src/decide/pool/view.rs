//! What a pool tells of its targets and why.

use super::Pool;
use crate::{
    decide::{TargetIndex, health::HealthState},
    units::{MonoTime, TargetId},
};

/// Why a target gets calls or does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum TargetState {
    /// It takes calls up to its limit.
    InService,
    /// It takes calls up to a limit that rises with each answer.
    WarmingUp,
    /// It answers slowly and takes fewer.
    Slow,
    /// It gets nothing for a while.
    Ejected,
    /// It gets one idempotent call at a time.
    Trial,
    /// It takes no new calls.
    Draining,
}

/// What a choice goes by for one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Target.
    pub id: TargetId,
    /// Own sends in progress.
    pub own_in_flight: u32,
    /// Those of long routes.
    pub own_long_in_flight: u32,
    /// Sends of peers as last reported.
    pub peers_in_flight: u32,
    /// Slots that this instance prefers.
    pub preferred_slots: u32,
    /// Requests of all instances that it may hold now.
    pub limit: f64,
    /// Time of recent answers over what their routes take.
    pub slowdown: f64,
    /// Whether it is in this instance's data centre.
    pub is_near: bool,
    /// Why it gets calls or does not.
    pub state: TargetState,
}

impl Pool {
    /// Returns what a choice goes by for each target, in the order of the plan.
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
            peers_in_flight: self.peers.in_flight_at(index),
            preferred_slots: target.quota.slots,
            limit: target.limit(now),
            slowdown,
            is_near: target.is_near,
            state,
        }
    }
}
