//! Division of all targets' slots among the instances. An instance prefers its own share, so that instances
//! with stale counts of each other's requests seldom choose the same slot.
//!
//! Every instance computes the same division from the configuration plan alone. A quota is only a
//! preference: an instance that needs more takes slots that look free, so no slot is lost while an instance
//! is down.

use super::TargetIndex;
use crate::{plan::TargetSpec, units::DataCentre};

/// Position of an instance among those that share the targets.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InstancePosition {
    /// Data centres of all instances in the plan, in its order.
    pub data_centres: Vec<DataCentre>,
    /// Index of this instance in that order; `None` if the plan does not list it.
    pub own_index: Option<usize>,
}

/// Number of slots at one target that an instance prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Quota {
    /// Slots for any call.
    pub slots: u32,
    /// Those among `slots` that long calls may take.
    pub long_call_slots: u32,
}

/// Divides all slots among all instances, preferably within the same data centre, and returns the quotas of
/// the instance at `position`.
pub fn divide(position: &InstancePosition, targets: &[TargetSpec]) -> Vec<(TargetIndex, Quota)> {
    let Some(own) = position.own_index.filter(|own| *own < position.data_centres.len()) else {
        return Vec::new();
    };
    let total = targets.iter().map(|t| t.slots as usize).sum::<usize>();
    let instances = position.data_centres.len();
    let mut remaining = (0..instances).map(|i| share_of(total, instances, i)).collect::<Vec<_>>();
    let mut quotas =
        targets.iter().enumerate().map(|(i, _)| (TargetIndex(i), Quota::default())).collect::<Vec<_>>();
    let mut unassigned = Vec::new();
    let mut next = 0;
    // The first slots of all targets are assigned before the second ones, so that an instance's quota is
    // spread over many targets.
    let highest = targets.iter().map(|t| t.slots).max().unwrap_or(0);
    for slot in 0..highest {
        for (index, target) in targets.iter().enumerate().filter(|(_, t)| slot < t.slots) {
            let near = |i: &usize| position.data_centres[*i] == target.data_centre && remaining[*i] > 0;
            let found = (0..instances).map(|i| (next + i) % instances).find(near);
            match found {
                Some(owner) => {
                    remaining[owner] -= 1;
                    next = owner + 1;
                    grant_slot(&mut quotas[index].1, owner == own, slot, target.slots);
                }
                None => unassigned.push((index, slot)),
            }
        }
    }
    for (index, slot) in unassigned {
        let Some(owner) = (0..instances).map(|i| (next + i) % instances).find(|i| remaining[*i] > 0) else {
            break;
        };
        remaining[owner] -= 1;
        next = owner + 1;
        grant_slot(&mut quotas[index].1, owner == own, slot, targets[index].slots);
    }
    quotas.retain(|(_, quota)| quota.slots > 0);
    quotas
}

fn grant_slot(quota: &mut Quota, is_own: bool, slot: u32, slots: u32) {
    quota.slots += u32::from(is_own);
    quota.long_call_slots += u32::from(is_own && allows_long_calls(slot, slots));
}

/// Returns whether long calls may take a slot: the last slot of a target is kept for short calls, unless it
/// is the only one.
fn allows_long_calls(slot: u32, slots: u32) -> bool {
    slots == 1 || slot + 1 < slots
}

fn share_of(total: usize, instances: usize, instance: usize) -> usize {
    total * (instance + 1) / instances - total * instance / instances
}
