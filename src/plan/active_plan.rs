//! The plan in force on this instance: the version only rises.

use std::sync::Arc;

use tokio::sync::watch;

use super::Plan;
use crate::units::PlanVersion;

/// Holds the plan in force and publishes each rise.
#[derive(Debug)]
pub struct ActivePlan {
    /// Invariant: the version of the value never falls.
    published: watch::Sender<Arc<Plan>>,
}

impl Default for ActivePlan {
    fn default() -> Self {
        Self { published: watch::Sender::new(Arc::new(Plan::default())) }
    }
}

impl ActivePlan {
    /// Puts `plan` in force if its version is higher than that in force; returns whether it was.
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

    /// Returns the plan in force.
    pub fn current(&self) -> Arc<Plan> {
        Arc::clone(&self.published.borrow())
    }

    /// Returns the version in force, 0 when there is no plan yet.
    pub fn version(&self) -> PlanVersion {
        self.published.borrow().version
    }

    /// Returns a receiver that sees every rise.
    pub fn watch(&self) -> watch::Receiver<Arc<Plan>> {
        self.published.subscribe()
    }
}
