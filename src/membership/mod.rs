//! Membership: which other instances are live or shutting down, and which plan is active on each.
//!
//! Correctness never depends on this view, which may be out of date; it only makes decisions faster.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use self::table::MemberTable;
use crate::units::{InstanceId, MonoTime, PlanVersion, RunId};

pub mod links;
pub mod table;

/// Member as reported by the admin interface.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Identifier of its process.
    pub run_id: String,
    /// Whether it answered a heartbeat within [`table::SUSPECT_AFTER`].
    pub live: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Version of the plan that is active there, as far as known here.
    pub plan_version: PlanVersion,
}

/// Table of other instances, shared between tasks.
#[derive(Debug)]
pub struct Members {
    table: Mutex<MemberTable>,
}

impl Members {
    /// Creates the empty table of an instance.
    pub fn new(own: InstanceId, own_run: RunId) -> Self {
        Self { table: Mutex::new(MemberTable::new(own, own_run)) }
    }

    /// Locks the table; hold the lock for one step only and never across an await.
    pub fn lock(&self) -> MutexGuard<'_, MemberTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all members for the admin interface, sorted by name.
    pub fn view(&self, now: MonoTime) -> Vec<MemberView> {
        let table = self.lock();
        let view = |m: &table::Member| MemberView {
            instance: m.instance.clone(),
            run_id: m.run_id.to_string(),
            live: m.is_live(now),
            leaving: m.leaving,
            plan_version: m.last_heartbeat.plan_version,
        };
        let mut views = table.all().map(view).collect::<Vec<_>>();
        views.sort_by(|a, b| (&a.instance, &a.run_id).cmp(&(&b.instance, &b.run_id)));
        views
    }
}
