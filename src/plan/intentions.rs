//! DrainTracker of the day and signs of draining as a pure state machine: what holds now.
//!
//! Of all due intentions for a target the latest one holds, and it is carried out once. A return ends the
//! draining that answers told of before it; an answer after it starts draining anew.

use super::{IntendedAction, Intention, Plan};
use crate::{
    collections::HashMap,
    peer::frame::TargetSign,
    units::{InstanceId, PlanVersion, TargetId},
};

/// A target that begins or ends draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainChange {
    /// Target.
    pub target: TargetId,
    /// True for draining.
    pub draining: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct TargetState {
    /// Latest due intention: its time and whether it drains.
    intended: Option<(u64, bool)>,
    /// Time of the latest return that was carried out, 0 for none; never falls.
    last_return_unix_s: u64,
    /// Whether an answer told of draining after that return.
    signed: bool,
    /// What was last given out.
    told: bool,
}

impl TargetState {
    fn draining(&self) -> bool {
        self.signed || self.intended.is_some_and(|(_, drains)| drains)
    }
}

/// What is intended and signed of each target.
///
/// ```
/// use arbutusshelf::plan::{IntendedAction, Intention, Plan, intentions::DrainTracker};
///
/// let target = "hallenplan-01".parse()?;
/// let drain = Intention { at_unix_s: 100, action: IntendedAction::Drain(target) };
/// let plan = Plan { version: 1.into(), intentions: vec![drain], ..Plan::default() };
/// let mut intentions = DrainTracker::default();
/// assert!(intentions.apply_plan(&plan, 99).is_empty());
/// assert!(intentions.apply_plan(&plan, 100)[0].draining);
/// assert!(intentions.apply_plan(&plan, 101).is_empty());
/// # Ok::<(), arbutusshelf::units::NameError>(())
/// ```
#[derive(Debug, Default)]
pub struct DrainTracker {
    targets: HashMap<TargetId, TargetState>,
    version: PlanVersion,
}

impl DrainTracker {
    /// Carries out what has become due; a new plan's pools are told of every draining target again.
    pub fn apply_plan(&mut self, plan: &Plan, now_unix_s: u64) -> Vec<DrainChange> {
        let renewed = plan.version != self.version;
        self.version = plan.version;
        let due = latest_due(plan, now_unix_s);
        for (target, intended) in &due {
            self.targets.entry(target.clone()).or_default().intend(Some(*intended));
        }
        let withdrawn = self.targets.iter_mut().filter(|(target, _)| !due.contains_key(*target));
        withdrawn.for_each(|(_, state)| state.intend(None));
        let mut changes = Vec::new();
        for (target, state) in &mut self.targets {
            changes.extend(state.tell(target, renewed));
        }
        changes.sort_by(|a, b| a.target.cmp(&b.target));
        changes
    }

    /// Takes a sign from an answer or a peer; one from before the latest return counts for nothing.
    pub fn on_drain_sign(&mut self, sign: &TargetSign) -> Option<DrainChange> {
        let state = self.targets.entry(sign.target.clone()).or_default();
        if sign.after_return_unix_s < state.last_return_unix_s {
            return None;
        }
        state.signed = true;
        state.tell(&sign.target, false)
    }

    /// Returns the time of the latest return of a target that was carried out, 0 for none.
    pub fn last_return_unix_s(&self, target: &TargetId) -> u64 {
        self.targets.get(target).map_or(0, |s| s.last_return_unix_s)
    }
}

impl TargetState {
    fn intend(&mut self, intended: Option<(u64, bool)>) {
        if self.intended == intended {
            return;
        }
        self.intended = intended;
        if let Some((at, false)) = intended {
            self.last_return_unix_s = self.last_return_unix_s.max(at);
            self.signed = false;
        }
    }

    fn tell(&mut self, target: &TargetId, again: bool) -> Option<DrainChange> {
        let draining = self.draining();
        let news = draining != self.told || (again && draining);
        self.told = draining;
        news.then(|| DrainChange { target: target.clone(), draining })
    }
}

/// An intention is due by this clock, or at once if its time had come when the plan was accepted.
fn is_due(plan: &Plan, intention: &Intention, now_unix_s: u64) -> bool {
    intention.at_unix_s <= now_unix_s.max(plan.accepted_unix_s)
}

fn latest_due(plan: &Plan, now_unix_s: u64) -> HashMap<TargetId, (u64, bool)> {
    let mut latest = HashMap::default();
    for intention in plan.intentions.iter().filter(|i| is_due(plan, i, now_unix_s)) {
        let (target, drains) = match &intention.action {
            IntendedAction::Drain(target) => (target, true),
            IntendedAction::Return(target) => (target, false),
            IntendedAction::Leave(_) | IntendedAction::Crest(..) => continue,
        };
        latest.insert(target.clone(), (intention.at_unix_s, drains));
    }
    latest
}

/// Returns whether a run of `instance` that started at `started_unix_s` must leave.
///
/// An intention from before the start was meant for an earlier run of the same name.
pub fn must_leave(plan: &Plan, instance: &InstanceId, started_unix_s: u64, now_unix_s: u64) -> bool {
    plan.intentions.iter().any(|i| {
        let leaves = matches!(&i.action, IntendedAction::Leave(id) if id == instance);
        leaves && i.at_unix_s >= started_unix_s && is_due(plan, i, now_unix_s)
    })
}
