//! Other instances as seen from here: who is live, who is leaving, which plan they have in force.
//!
//! Nothing that must always hold depends on this view; it only makes things faster.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use self::table::MemberTable;
use crate::units::{InstanceId, MonoTime, PlanVersion, RunId};

pub mod links;
pub mod table;

/// What operators see of a member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberView {
    /// Name.
    pub instance: InstanceId,
    /// Run.
    pub run_id: String,
    /// Whether it was heard from lately.
    pub live: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Version in force there.
    pub plan_version: PlanVersion,
}

/// Shared table of other instances.
#[derive(Debug)]
pub struct Members {
    table: Mutex<MemberTable>,
}

impl Members {
    /// Creates the empty table of an instance.
    pub fn new(own: InstanceId, own_run: RunId) -> Self {
        Self { table: Mutex::new(MemberTable::new(own, own_run)) }
    }

    /// Locks the table; held for one step and never across an await.
    pub fn lock(&self) -> MutexGuard<'_, MemberTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what operators see, sorted by name.
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
