//! What the links of one instance share: standing of the plan, intentions, signs, budget and wake-ups.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::watch;

use super::{budget::ByteBudget, drain_notices::DrainNotices, frame::DrainNotice};
use crate::{
    collections::HashMap,
    plan::{Budgets, Plan, freshness::FreshnessTracker, intentions::DrainTracker},
    units::{MonoTime, PlanVersion, RunId},
};

/// This instance's requests in flight at all targets of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadSample {
    /// Plan whose list of targets the counts follow.
    pub plan_version: PlanVersion,
    /// Counts in the order of the plan.
    pub in_flight: Vec<u32>,
    /// When they were taken.
    pub taken_at: MonoTime,
}

/// What a link still owes its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PendingFrames {
    /// The peer asked for the plan.
    pub send_plan: bool,
    /// The peer has a newer plan and is asked for it.
    pub request_plan: bool,
}

/// State of the control plane that the edges share; each lock is held for one step.
///
/// Lock order: members, intentions, any one of the others, the table of services.
#[derive(Debug)]
pub struct ControlState {
    follower: Mutex<FreshnessTracker>,
    intentions: Mutex<DrainTracker>,
    signs: Mutex<DrainNotices>,
    budget: Mutex<ByteBudget>,
    pending: Mutex<HashMap<RunId, PendingFrames>>,
    /// Plan in force as JSON, encoded once a version.
    plan_json: Mutex<(PlanVersion, Bytes)>,
    /// Highest version that was accepted through this instance.
    accepted_here: AtomicU64,
    /// Changes whenever the links have something urgent to send.
    urgent: watch::Sender<u64>,
    loads: watch::Sender<Arc<LoadSample>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlState {
    /// Creates the state of a starting instance.
    pub fn new(seed: u64, cut_off_after: Duration, now: MonoTime) -> Self {
        let rate = Budgets::default().control_bytes_per_s;
        Self {
            follower: Mutex::new(FreshnessTracker::new(seed, cut_off_after, now)),
            intentions: Mutex::default(),
            signs: Mutex::default(),
            budget: Mutex::new(ByteBudget::new(now, rate)),
            pending: Mutex::default(),
            plan_json: Mutex::default(),
            accepted_here: AtomicU64::new(0),
            urgent: watch::Sender::new(0),
            loads: watch::Sender::default(),
        }
    }

    /// Locks the follower.
    pub fn follower(&self) -> MutexGuard<'_, FreshnessTracker> {
        lock(&self.follower)
    }

    /// Locks the intentions.
    pub fn intentions(&self) -> MutexGuard<'_, DrainTracker> {
        lock(&self.intentions)
    }

    /// Locks the byte budget.
    pub fn budget(&self) -> MutexGuard<'_, ByteBudget> {
        lock(&self.budget)
    }

    /// Wakes every link to send what is urgent.
    pub fn wake_links(&self) {
        self.urgent.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that sees every [`ControlState::wake_links`].
    pub fn watch_urgent(&self) -> watch::Receiver<u64> {
        self.urgent.subscribe()
    }

    /// Publishes load counts to the links.
    pub fn publish_loads(&self, sample: LoadSample) {
        self.loads.send_replace(Arc::new(sample));
    }

    /// Returns a receiver that sees the latest load counts.
    pub fn watch_loads(&self) -> watch::Receiver<Arc<LoadSample>> {
        self.loads.subscribe()
    }

    /// Returns the latest load counts.
    pub fn latest_loads(&self) -> Arc<LoadSample> {
        Arc::clone(&self.loads.borrow())
    }

    /// Passes on a sign of draining; returns whether it was news.
    pub fn add_drain_notice(&self, sign: DrainNotice) -> bool {
        let news = lock(&self.signs).add(sign);
        if news {
            self.wake_links();
        }
        news
    }

    /// Returns the signs after number `seen` and the number to ask with next.
    pub fn drain_notices_after(&self, seen: u64) -> (Vec<DrainNotice>, u64) {
        lock(&self.signs).newer_than(seen)
    }

    /// Drops the signs from before the latest return of their targets.
    pub fn remove_outdated_drain_notices(&self, intentions: &DrainTracker) {
        let outdated =
            |sign: &DrainNotice| sign.after_return_unix_s < intentions.last_return_unix_s(&sign.target);
        lock(&self.signs).remove_if(outdated);
    }

    /// Notes what a link owes its peer and wakes it.
    pub fn update_pending(&self, run: RunId, note: impl FnOnce(&mut PendingFrames)) {
        note(lock(&self.pending).entry(run).or_default());
        self.wake_links();
    }

    /// Takes what a link owes its peer.
    pub fn take_pending(&self, run: RunId) -> PendingFrames {
        lock(&self.pending).remove(&run).unwrap_or_default()
    }

    /// Notes that this instance accepted a version and so sends it to every peer.
    pub fn set_accepted_here(&self, version: PlanVersion) {
        self.accepted_here.fetch_max(version.into(), Ordering::AcqRel);
        self.wake_links();
    }

    /// Returns the highest version that was accepted through this instance.
    pub fn accepted_here(&self) -> PlanVersion {
        self.accepted_here.load(Ordering::Acquire).into()
    }

    /// Returns a plan as JSON.
    pub fn plan_json(&self, plan: &Plan) -> Bytes {
        let mut kept = lock(&self.plan_json);
        if kept.0 != plan.version {
            // A plan was JSON before it was a plan, so encoding can't fail.
            let json = serde_json::to_vec(plan).unwrap_or_default();
            *kept = (plan.version, Bytes::from(json));
        }
        kept.1.clone()
    }
}
