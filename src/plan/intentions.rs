//! State machine that decides which targets are draining, from the plan's intentions and from drain notices.
//!
//! An intention is a scheduled operation in the plan, such as draining a target or returning it to service.
//! Of the due intentions of a target only the latest applies, and it is applied once. A drain notice states
//! that an answer of a target declared it as draining. A return cancels the earlier notices of the target; a
//! later notice drains the target again.

use super::{IntendedAction, Intention, Plan};
use crate::{
    collections::HashMap,
    peer::frame::DrainNotice,
    units::{InstanceId, PlanVersion, TargetId},
};

/// Start or end of a target's draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainChange {
    /// Target that starts or stops draining.
    pub target: TargetId,
    /// Whether the target drains from now on.
    pub draining: bool,
}

/// Intention and drain notice of one target.
#[derive(Debug, Clone, Copy, Default)]
struct TargetState {
    /// Latest due intention: its time in seconds since the Unix epoch, and whether it drains the target.
    intended: Option<(u64, bool)>,
    /// Time of the latest applied return in seconds since the Unix epoch, 0 for none; never decreases.
    last_return_unix_s: u64,
    /// Whether a drain notice arrived after that return.
    has_notice: bool,
    /// State in the latest reported change; false before the first.
    reported: bool,
}

impl TargetState {
    fn draining(&self) -> bool {
        self.has_notice || self.intended.is_some_and(|(_, drains)| drains)
    }
}

/// Draining state of all targets.
///
/// ```
/// use arbutusshelf::plan::{IntendedAction, Intention, Plan, intentions::DrainTracker};
///
/// let target = "hallenplan-01".parse()?;
/// let drain = Intention { at_unix_s: 100, action: IntendedAction::Drain(target) };
/// let plan = Plan { version: 1.into(), intentions: vec![drain], ..Plan::default() };
/// let mut tracker = DrainTracker::default();
/// assert!(tracker.apply_plan(&plan, 99).is_empty());
/// assert!(tracker.apply_plan(&plan, 100)[0].draining);
/// assert!(tracker.apply_plan(&plan, 101).is_empty());
/// # Ok::<(), arbutusshelf::units::NameError>(())
/// ```
#[derive(Debug, Default)]
pub struct DrainTracker {
    targets: HashMap<TargetId, TargetState>,
    /// Version of the plan that was applied last.
    version: PlanVersion,
}

impl DrainTracker {
    /// Applies the intentions of `plan` that have become due and returns the changes, sorted by target.
    ///
    /// After a change of the plan version the result contains every draining target, so that the pools of the
    /// new plan drain them too.
    pub fn apply_plan(&mut self, plan: &Plan, now_unix_s: u64) -> Vec<DrainChange> {
        let is_new_plan = plan.version != self.version;
        self.version = plan.version;
        let due = latest_due(plan, now_unix_s);
        for (target, intended) in &due {
            self.targets.entry(target.clone()).or_default().set_intended(Some(*intended));
        }
        let withdrawn = self.targets.iter_mut().filter(|(target, _)| !due.contains_key(*target));
        withdrawn.for_each(|(_, state)| state.set_intended(None));
        let mut changes = Vec::new();
        for (target, state) in &mut self.targets {
            changes.extend(state.report(target, is_new_plan));
        }
        changes.sort_by(|a, b| a.target.cmp(&b.target));
        changes
    }

    /// Records a drain notice from a target's answer or from a peer; returns the change, if any.
    ///
    /// A notice from before the target's latest return is ignored.
    pub fn on_drain_notice(&mut self, notice: &DrainNotice) -> Option<DrainChange> {
        let state = self.targets.entry(notice.target.clone()).or_default();
        if notice.after_return_unix_s < state.last_return_unix_s {
            return None;
        }
        state.has_notice = true;
        state.report(&notice.target, false)
    }

    /// Returns the time of a target's latest applied return in seconds since the Unix epoch, 0 for none.
    pub fn last_return_unix_s(&self, target: &TargetId) -> u64 {
        self.targets.get(target).map_or(0, |s| s.last_return_unix_s)
    }
}

impl TargetState {
    fn set_intended(&mut self, intended: Option<(u64, bool)>) {
        if self.intended == intended {
            return;
        }
        self.intended = intended;
        if let Some((at, false)) = intended {
            self.last_return_unix_s = self.last_return_unix_s.max(at);
            self.has_notice = false;
        }
    }

    /// Returns the draining state if it changed since the previous report, or if `repeat` is set and the
    /// target drains.
    fn report(&mut self, target: &TargetId, repeat: bool) -> Option<DrainChange> {
        let draining = self.draining();
        let has_changed = draining != self.reported || (repeat && draining);
        self.reported = draining;
        has_changed.then(|| DrainChange { target: target.clone(), draining })
    }
}

/// Returns whether an intention is due by this instance's clock, or was due when the plan was accepted.
fn is_due(plan: &Plan, intention: &Intention, now_unix_s: u64) -> bool {
    intention.at_unix_s <= now_unix_s.max(plan.accepted_unix_s)
}

/// Returns the latest due intention of each target: its time and whether it drains the target.
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

/// Returns whether the plan requires `instance`, which started at `started_unix_s`, to leave.
///
/// An intention from before the start applied to an earlier process of the same instance name.
pub fn must_leave(plan: &Plan, instance: &InstanceId, started_unix_s: u64, now_unix_s: u64) -> bool {
    plan.intentions.iter().any(|i| {
        let leaves = matches!(&i.action, IntendedAction::Leave(id) if id == instance);
        leaves && i.at_unix_s >= started_unix_s && is_due(plan, i, now_unix_s)
    })
}
