//! Slots that each instance prefers, so that instances with stale counts seldom meet at one slot.
//!
//! Every instance computes the same division of all slots from the plan alone. A quota is a preference: an
//! instance that needs more takes slots that look free, so none is lost when an instance is down.

use super::TargetIndex;
use crate::{plan::TargetSpec, units::DataCentre};

/// Where an instance stands among those that share the targets.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InstancePosition {
    /// Data centres of all instances of the plan, in its order.
    pub data_centres: Vec<DataCentre>,
    /// Place of this instance in that order; `None` for one that the plan does not name.
    pub own_index: Option<usize>,
}

/// Slots of one target that an instance prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Quota {
    /// Slots for any call.
    pub slots: u32,
    /// Slots among them that long calls may take.
    pub long_call_slots: u32,
}

/// Divides all slots among all instances, near ones first, and returns the quotas of one instance.
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
    // Lower slots of all targets go first, so that each instance's quota is spread over many targets.
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

/// The last slot of a target is kept for short calls, unless it is the only one.
fn allows_long_calls(slot: u32, slots: u32) -> bool {
    slots == 1 || slot + 1 < slots
}

fn share_of(total: usize, instances: usize, instance: usize) -> usize {
    total * (instance + 1) / instances - total * instance / instances
}
