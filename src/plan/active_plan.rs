//! The active plan of this instance, called the plan in force in log lines and by the command line. Its
//! version never decreases.

use std::sync::Arc;

use tokio::sync::watch;

use super::Plan;
use crate::units::PlanVersion;

/// Holds the active plan and notifies watchers when a newer one replaces it.
#[derive(Debug)]
pub struct ActivePlan {
    /// Invariant: the version of the value never decreases.
    published: watch::Sender<Arc<Plan>>,
}

impl Default for ActivePlan {
    fn default() -> Self {
        Self { published: watch::Sender::new(Arc::new(Plan::default())) }
    }
}

impl ActivePlan {
    /// Replaces the active plan by `plan` if the version of `plan` is higher; returns whether it did.
    pub fn install_if_newer(&self, plan: Plan) -> bool {
        let plan = Arc::new(plan);
        self.published.send_if_modified(|current| {
            let newer = plan.version > current.version;
            if newer {
                *current = Arc::clone(&plan);
            }
            newer
        })
    }

    /// Returns the active plan; the empty plan of version 0 before the first one.
    pub fn current(&self) -> Arc<Plan> {
        Arc::clone(&self.published.borrow())
    }

    /// Returns the version of the active plan, 0 before the first one.
    pub fn version(&self) -> PlanVersion {
        self.published.borrow().version
    }

    /// Returns a receiver that is notified whenever the active plan is replaced.
    pub fn watch(&self) -> watch::Receiver<Arc<Plan>> {
        self.published.subscribe()
    }
}
