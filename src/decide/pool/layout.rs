//! Applies the plan to a pool: which targets it has, and which of their slots this instance prefers.

use super::{Pool, PoolSettings};
use crate::{
    decide::{
        TargetIndex,
        choice::Candidates,
        health::{Health, HealthState},
        peer_counts::Locality,
        probe::ProbeSchedule,
        quota,
        target::{DrainSources, Target},
    },
    plan::{ServiceSpec, TargetSpec},
    units::{MonoTime, TargetId},
};

impl Pool {
    /// Applies a changed plan. Attempts in progress go on, and targets that stay keep their statistics.
    pub fn reconfigure(&mut self, spec: &ServiceSpec, settings: &PoolSettings) {
        self.spec = spec.clone();
        self.settings = settings.clone();
        self.retry_budget.set_ratio(spec.retry_budget);
        self.place_targets();
        self.next_scan_at = Some(MonoTime::default());
    }

    pub(super) fn place_targets(&mut self) {
        for target in &mut self.targets {
            target.in_plan = false;
        }
        let specs = self.spec.targets.clone();
        self.plan_order = specs.iter().map(|spec| self.place_target(spec)).collect();
        for index in 0..self.targets.len() {
            if !self.targets[index].in_plan {
                self.by_id.remove(&self.targets[index].spec.id);
                self.peer_counts.clear_target(TargetIndex(index));
            }
        }
        self.divide_slots(&specs);
        self.list_candidates();
    }

    /// Returns the index of a target of the plan; a new target gets an unused index.
    pub(super) fn place_target(&mut self, spec: &TargetSpec) -> TargetIndex {
        let is_near = spec.data_centre == self.settings.data_centre;
        // A target with a new address counts as a new target: attempts in progress end at the old one.
        let known = self.by_id.get(&spec.id).copied();
        let known = known.filter(|index| self.targets[index.0].spec.address == spec.address);
        if let Some(index) = known {
            let target = &mut self.targets[index.0];
            target.spec = spec.clone();
            target.is_near = is_near;
            target.in_plan = true;
            return index;
        }
        let target = Target {
            spec: spec.clone(),
            is_near,
            in_plan: true,
            drain: DrainSources::default(),
            own_in_flight: 0,
            own_long_in_flight: 0,
            quota: quota::Quota::default(),
            health: Health::in_service(),
            slow_start_limit: None,
            heard_at: MonoTime::default(),
            probe_schedule: ProbeSchedule::default(),
            preferred_index: None,
        };
        let free = self
            .targets
            .iter()
            .position(|t| !t.in_plan && t.own_in_flight == 0 && self.is_unlisted(&t.spec.id));
        let index = TargetIndex(free.unwrap_or(self.targets.len()));
        if free.is_some() {
            self.targets[index.0] = target;
        } else {
            self.targets.push(target);
        }
        self.by_id.insert(spec.id.clone(), index);
        index
    }

    /// Returns whether the plan has no target of this name, so that its index may be reused.
    pub(super) fn is_unlisted(&self, id: &TargetId) -> bool {
        !self.spec.targets.iter().any(|t| t.id == *id)
    }

    /// Computes the slots that this instance prefers and the total slots of near and far targets.
    pub(super) fn divide_slots(&mut self, specs: &[TargetSpec]) {
        for target in &mut self.targets {
            target.quota = quota::Quota::default();
        }
        for (position, quota) in quota::divide(&self.settings.position, specs) {
            let index = self.plan_order[position.0];
            self.targets[index.0].quota = quota;
        }
        let preferred_slots = self.targets.iter().map(|t| t.quota.slots).sum::<u32>();
        let total_slots = specs.iter().map(|t| t.slots).sum::<u32>();
        let fair_share = f64::from(total_slots) / f64::from(self.settings.max_instances.max(1));
        let locality = |t: &Target| if t.is_near { Locality::Near } else { Locality::Far };
        let slots = |wanted: Locality| {
            let of_locality = self.targets.iter().filter(|t| t.in_plan && locality(t) == wanted);
            of_locality.map(|t| f64::from(t.spec.slots)).sum::<f64>()
        };
        let slots = [slots(Locality::Near), slots(Locality::Far)];
        self.peer_counts.set_localities(self.targets.iter().map(locality).collect(), slots);
        self.usable_slots =
            if preferred_slots > 0 { f64::from(preferred_slots) } else { fair_share.max(1.0) };
    }

    pub(super) fn list_candidates(&mut self) {
        self.candidates = Candidates::default();
        let (max_instances, rate) = (self.settings.max_instances, self.settings.probes_per_target_per_s);
        for (position, index) in self.plan_order.clone().into_iter().enumerate() {
            let plan_index = TargetIndex(position);
            let schedule = ProbeSchedule::new(&self.settings.position, max_instances, plan_index, rate);
            let target = &mut self.targets[index.0];
            target.probe_schedule = schedule.carry_over(&target.probe_schedule);
            let list = if target.is_near { &mut self.candidates.near } else { &mut self.candidates.far };
            list.push(index);
            if matches!(target.health.state(), HealthState::Trial(_)) {
                self.candidates.trials.push(index);
            }
        }
        for index in 0..self.targets.len() {
            self.targets[index].preferred_index = None;
            self.candidates.update_preferred(&mut self.targets, TargetIndex(index));
        }
    }
}
