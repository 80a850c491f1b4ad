//! Choice of a target: one with a free preferred slot if there is any, else the least loaded of a few random
//! candidates.

use std::time::Duration;

use rand::{rngs::SmallRng, seq::index};

use super::{
    TargetIndex,
    health::HealthState,
    peer_counts::{Locality, PeerCounts},
    target::Target,
};
use crate::units::MonoTime;

/// Number of targets with a free preferred slot that are compared for one call.
const PREFERRED_CANDIDATES: usize = 4;

/// Number of requests by which a target may seem to exceed its limit and still have its preferred slot
/// taken. Peers that took the slot because of stale counts free it within the time of one short call.
const PREFERRED_MARGIN: f64 = 1.0;

/// Extra load counted for a target in another data centre, as a share of all its slots.
const FAR_LOAD: f64 = 0.25;

/// Extra load counted for a target that failed recently, as a share of all its slots.
const FAILURE_LOAD: f64 = 1.0;

/// Requirements of one call on its target.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceCriteria<'a> {
    /// Whether one slot of the target must stay free for short calls.
    pub reserve_short_slot: bool,
    /// Whether the call may go to a target that is on trial after an ejection.
    pub allow_trial: bool,
    /// Whether a target that looks full is acceptable, as long as it holds less than twice its slots.
    pub allow_overcommit: bool,
    /// Target whose slot has just been freed; preferred over all others.
    pub freed_target: Option<TargetIndex>,
    /// Targets that have or had an attempt of this call.
    pub excluded: &'a [TargetIndex],
}

/// Lists of targets that candidates are drawn from.
#[derive(Debug, Default)]
pub struct Candidates {
    /// Targets with a free preferred slot, in no order.
    pub preferred: Vec<TargetIndex>,
    /// Targets in this instance's data centre.
    pub near: Vec<TargetIndex>,
    /// Targets in other data centres.
    pub far: Vec<TargetIndex>,
    /// Targets on trial after an ejection.
    pub trials: Vec<TargetIndex>,
}

impl Candidates {
    /// Adds a target to the list of free preferred slots, or removes it, depending on its counts.
    pub fn update_preferred(&mut self, targets: &mut [Target], index: TargetIndex) {
        let target = &mut targets[index.0];
        match (target.has_free_preferred_slot(), target.preferred_index) {
            (true, None) => {
                target.preferred_index = Some(self.preferred.len());
                self.preferred.push(index);
            }
            (false, Some(position)) => {
                target.preferred_index = None;
                self.preferred.swap_remove(position);
                if let Some(moved) = self.preferred.get(position) {
                    targets[moved.0].preferred_index = Some(position);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}

/// State that a choice is based on.
#[derive(Debug)]
pub struct ChoiceContext<'a> {
    /// Time of the choice.
    pub now: MonoTime,
    /// All targets, by index.
    pub targets: &'a [Target],
    /// Requests of peer instances at the targets.
    pub peer_counts: &'a PeerCounts,
    /// Lists that candidates are drawn from.
    pub candidates: &'a Candidates,
}

impl ChoiceContext<'_> {
    /// Returns the target for a call, or `None` if the call has to wait.
    pub fn choose(&self, criteria: &ChoiceCriteria, rng: &mut SmallRng) -> Option<TargetIndex> {
        if criteria.allow_trial
            && let Some(trial) = self.free_trial_target()
        {
            return Some(trial);
        }
        if let Some(freed) = criteria
            .freed_target
            .filter(|freed| self.load(*freed, criteria, self.is_preferred(*freed)).is_some())
        {
            return Some(freed);
        }
        let preferred =
            self.least_loaded(&self.candidates.preferred, PREFERRED_CANDIDATES, criteria, true, rng);
        if let Some((_, index)) = preferred {
            return Some(index);
        }
        let count = candidate_count(self.peer_counts.age());
        let near = self.least_loaded(&self.candidates.near, count, criteria, false, rng);
        if near.is_some() && !criteria.allow_overcommit {
            return near.map(|(_, index)| index);
        }
        let far = self.least_loaded(&self.candidates.far, count, criteria, false, rng);
        let far = far.map(|(load, index)| (load + FAR_LOAD, index));
        near.into_iter().chain(far).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, index)| index)
    }

    fn is_preferred(&self, index: TargetIndex) -> bool {
        self.targets[index.0].preferred_index.is_some()
    }

    fn free_trial_target(&self) -> Option<TargetIndex> {
        let free = |index: &&TargetIndex| {
            let target = &self.targets[index.0];
            matches!(target.health.state(), HealthState::Trial(_))
                && !target.is_draining()
                && target.own_in_flight == 0
        };
        self.candidates.trials.iter().find(free).copied()
    }

    fn least_loaded(
        &self,
        list: &[TargetIndex],
        count: usize,
        criteria: &ChoiceCriteria,
        is_preferred: bool,
        rng: &mut SmallRng,
    ) -> Option<(f64, TargetIndex)> {
        let loads = draw(list, count, rng)
            .filter_map(|index| Some((self.load(index, criteria, is_preferred)?, index)));
        loads.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Returns how far peers' counts are too stale to keep a call from a preferred slot, from 0 to 1.
    fn staleness_allowance(&self) -> f64 {
        (1.0 - self.peer_counts.confidence()).powi(2)
    }

    /// Returns the estimated number of long calls at a target: this instance's own, and requests of peers
    /// that have stayed for long.
    fn long_calls_at(&self, index: TargetIndex) -> f64 {
        f64::from(self.targets[index.0].own_long_in_flight) + self.peer_counts.long_lived_at(self.now, index)
    }

    /// Returns the load of a target relative to its limit, or `None` if the call may not go there.
    fn load(&self, index: TargetIndex, criteria: &ChoiceCriteria, is_preferred: bool) -> Option<f64> {
        let target = &self.targets[index.0];
        let limit = target.limit(self.now);
        if limit <= 0.0 || criteria.excluded.contains(&index) {
            return None;
        }
        if !matches!(target.health.state(), HealthState::InService) {
            return None;
        }
        let locality = if target.is_near { Locality::Near } else { Locality::Far };
        let peers_in_flight = self.peer_counts.expected_at(index, target.spec.slots, locality);
        let held = f64::from(target.own_in_flight) + peers_in_flight;
        if criteria.reserve_short_slot
            && is_preferred
            && target.own_long_in_flight >= target.quota.long_call_slots
        {
            return None;
        }
        if criteria.reserve_short_slot
            && self.long_calls_at(index) + 1.0 > f64::from(target.spec.slots.max(2) - 1)
        {
            return None;
        }
        let max_held = match (criteria.allow_overcommit, is_preferred) {
            (true, _) => 2.0 * f64::from(target.spec.slots),
            (false, true) => limit + PREFERRED_MARGIN + self.staleness_allowance() * limit,
            (false, false) if criteria.reserve_short_slot && limit > 1.0 => limit - 1.0,
            (false, false) => limit,
        };
        if held + 1.0 > max_held {
            return None;
        }
        let failure_load = if target.health.failed_recently(self.now) { FAILURE_LOAD } else { 0.0 };
        Some(held / limit + failure_load)
    }
}

/// Draws up to `count` different candidates, in random order.
pub fn draw<'a>(
    list: &'a [TargetIndex],
    count: usize,
    rng: &mut SmallRng,
) -> impl Iterator<Item = TargetIndex> + use<'a> {
    index::sample(rng, list.len(), count.min(list.len())).into_iter().map(|i| list[i])
}

/// Returns how many candidates are compared. Fewer are compared as peers' counts get older: by old counts
/// the same target is least loaded for every instance, and all of them would choose it.
pub fn candidate_count(age: Option<Duration>) -> usize {
    match age.map(|age| age.as_micros()) {
        Some(..=2_000) => 6,
        Some(..=8_000) => 4,
        Some(..=30_000) => 3,
        Some(_) | None => 2,
    }
}
