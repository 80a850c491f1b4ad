//! A submitted sheet: checked, committed, then awaited on the live instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::{
    error::{Error, ErrorKind, Result},
    kernel::Kernel,
    plan::{
        Plan,
        accept::{self, Committed},
        difference,
        sheet::{self, SheetFault},
    },
    units::{ChangeId, InstanceId, PlanVersion},
};

/// Pause between two looks at the members.
const CONFIRM_PERIOD: Duration = Duration::from_millis(20);

/// What an operator is told about an accepted change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Accepted {
    /// Version of the change.
    pub version: PlanVersion,
    /// True when the same change id had been accepted before.
    pub repeated: bool,
    /// What differs from the plan before, one line an entry.
    pub changes: Vec<String>,
    /// Live instances that did not have the version in force in time; empty when it is in force everywhere.
    pub without: Vec<InstanceId>,
}

/// Joins the faults of a sheet into one error.
pub fn sheet_error(faults: &[SheetFault]) -> Error {
    let lines = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
    Error::new(ErrorKind::Sheet, format!("the sheet has {} faults: {}", faults.len(), lines.join("; ")))
}

/// Checks and commits a sheet, then waits until the live instances have it in force.
///
/// # Errors
///
/// [`ErrorKind::Sheet`] naming every fault, otherwise as [`accept::commit`].
pub async fn submit(kernel: &Kernel, sheet: &[u8], change_id: ChangeId) -> Result<Accepted> {
    let plan = sheet::parse(sheet).map_err(|faults| sheet_error(&faults))?;
    let before = kernel.plan.current();
    let changes = difference::describe(&before, &plan);
    let Committed { version, repeated } =
        accept::commit(&kernel.platform, plan.clone(), change_id.clone(), None).await?;
    if !repeated {
        kernel.offer_plan(Plan { version, change_id: Some(change_id.clone()), ..plan });
    }
    log::info!("event=plan-accepted version={version} change={change_id} repeated={repeated}");
    let without = wait_in_force(kernel, version).await;
    Ok(Accepted { version, repeated, changes, without })
}

async fn wait_in_force(kernel: &Kernel, version: PlanVersion) -> Vec<InstanceId> {
    let deadline = Instant::now() + Duration::from_millis(kernel.config.confirm_timeout_ms);
    loop {
        let without = kernel.members.without(version, kernel.clock.now());
        if without.is_empty() || Instant::now() >= deadline {
            return without;
        }
        sleep(CONFIRM_PERIOD).await;
    }
}
