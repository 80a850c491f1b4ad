//! State that the links of one instance share: the trackers of plan freshness and draining targets, drain
//! notices, the byte budget and wake-ups.

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

/// Number of this instance's requests in flight at each target of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadSample {
    /// Plan version whose list of targets `in_flight` refers to by position.
    pub plan_version: PlanVersion,
    /// Requests in flight, in the order of the plan's targets.
    pub in_flight: Vec<u32>,
    /// When the counts were read.
    pub taken_at: MonoTime,
}

/// Frames that the link to one peer has to send next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PendingFrames {
    /// Whether to send the plan, because the peer requested it.
    pub send_plan: bool,
    /// Whether to request the plan from the peer, because the peer has a newer one.
    pub request_plan: bool,
}

/// State of the control plane, shared by the tasks of one instance.
///
/// Each lock is held for one step and never across an await. Lock order: members, drain tracker, any one of
/// the others, the pool table.
#[derive(Debug)]
pub struct ControlState {
    freshness_tracker: Mutex<FreshnessTracker>,
    drain_tracker: Mutex<DrainTracker>,
    drain_notices: Mutex<DrainNotices>,
    budget: Mutex<ByteBudget>,
    pending: Mutex<HashMap<RunId, PendingFrames>>,
    /// Latest plan sent as JSON, so that each version is encoded once.
    plan_json: Mutex<(PlanVersion, Bytes)>,
    /// Highest plan version that an operator submitted through this instance.
    accepted_here: AtomicU64,
    /// Counter that changes whenever links have something urgent to send.
    urgent: watch::Sender<u64>,
    loads: watch::Sender<Arc<LoadSample>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlState {
    /// Creates the state of a starting instance.
    ///
    /// `seed` seeds the random poll times; `cut_off_after` is how long a plan stays current without
    /// confirmation.
    pub fn new(seed: u64, cut_off_after: Duration, now: MonoTime) -> Self {
        let rate = Budgets::default().control_bytes_per_s;
        Self {
            freshness_tracker: Mutex::new(FreshnessTracker::new(seed, cut_off_after, now)),
            drain_tracker: Mutex::default(),
            drain_notices: Mutex::default(),
            budget: Mutex::new(ByteBudget::new(now, rate)),
            pending: Mutex::default(),
            plan_json: Mutex::default(),
            accepted_here: AtomicU64::new(0),
            urgent: watch::Sender::new(0),
            loads: watch::Sender::default(),
        }
    }

    /// Locks the tracker of whether the active plan is current.
    pub fn freshness_tracker(&self) -> MutexGuard<'_, FreshnessTracker> {
        lock(&self.freshness_tracker)
    }

    /// Locks the tracker of which targets are draining.
    pub fn drain_tracker(&self) -> MutexGuard<'_, DrainTracker> {
        lock(&self.drain_tracker)
    }

    /// Locks the byte budget for traffic to peers.
    pub fn budget(&self) -> MutexGuard<'_, ByteBudget> {
        lock(&self.budget)
    }

    /// Wakes every link to send its pending frames and drain notices.
    pub fn wake_links(&self) {
        self.urgent.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that changes on every [`ControlState::wake_links`].
    pub fn watch_urgent(&self) -> watch::Receiver<u64> {
        self.urgent.subscribe()
    }

    /// Publishes new load counts, which wakes the links.
    pub fn publish_loads(&self, sample: LoadSample) {
        self.loads.send_replace(Arc::new(sample));
    }

    /// Returns a receiver that changes with every published sample of load counts.
    pub fn watch_loads(&self) -> watch::Receiver<Arc<LoadSample>> {
        self.loads.subscribe()
    }

    /// Returns the latest published load counts.
    pub fn latest_loads(&self) -> Arc<LoadSample> {
        Arc::clone(&self.loads.borrow())
    }

    /// Adds a drain notice and sends it to all peers; returns whether it is newer than the known one.
    pub fn add_drain_notice(&self, notice: DrainNotice) -> bool {
        let is_new = lock(&self.drain_notices).add(notice);
        if is_new {
            self.wake_links();
        }
        is_new
    }

    /// Returns the drain notices after sequence number `seen`, and the number to pass on the next call.
    pub fn drain_notices_after(&self, seen: u64) -> (Vec<DrainNotice>, u64) {
        lock(&self.drain_notices).newer_than(seen)
    }

    /// Removes the drain notices that are older than the operator's latest `return` of their target.
    pub fn remove_outdated_drain_notices(&self, tracker: &DrainTracker) {
        let outdated =
            |notice: &DrainNotice| notice.after_return_unix_s < tracker.last_return_unix_s(&notice.target);
        lock(&self.drain_notices).remove_if(outdated);
    }

    /// Changes what the link to `run` has to send, and wakes the links.
    pub fn update_pending(&self, run: RunId, update: impl FnOnce(&mut PendingFrames)) {
        update(lock(&self.pending).entry(run).or_default());
        self.wake_links();
    }

    /// Removes and returns what the link to `run` has to send.
    pub fn take_pending(&self, run: RunId) -> PendingFrames {
        lock(&self.pending).remove(&run).unwrap_or_default()
    }

    /// Records that this instance accepted a plan version, so that it sends the plan to every peer unasked.
    pub fn set_accepted_here(&self, version: PlanVersion) {
        self.accepted_here.fetch_max(version.into(), Ordering::AcqRel);
        self.wake_links();
    }

    /// Returns the highest plan version that this instance accepted from an operator, 0 for none.
    pub fn accepted_here(&self) -> PlanVersion {
        self.accepted_here.load(Ordering::Acquire).into()
    }

    /// Returns a plan as JSON, cached until another version is asked for.
    pub fn plan_json(&self, plan: &Plan) -> Bytes {
        let mut cached = lock(&self.plan_json);
        if cached.0 != plan.version {
            // Every plan can be represented as JSON, so encoding can't fail.
            let json = serde_json::to_vec(plan).unwrap_or_default();
            *cached = (plan.version, Bytes::from(json));
        }
        cached.1.clone()
    }
}
