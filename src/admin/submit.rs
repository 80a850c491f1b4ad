//! A submitted sheet: checked, committed, then awaited on the live instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::{
    error::{Error, ErrorKind, Result},
    kernel::Kernel,
    observe::unix_s,
    plan::{
        Plan,
        accept::{Submission, SubmissionOutcome},
        commit, diff, poll,
        record::{self, PlanHead},
        sheet::{self, SheetFault},
    },
    units::{ChangeId, InstanceId, PlanVersion},
};

/// Lines of a difference that an operator who lost a race is told.
const TOLD_LINES: usize = 20;

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
    /// Instances that the platform lists and that were never heard from here.
    #[serde(default)]
    pub unheard: Vec<InstanceId>,
}

/// Joins the faults of a sheet into one error.
pub fn sheet_error(faults: &[SheetFault]) -> Error {
    let lines = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
    Error::new(ErrorKind::Sheet, format!("the sheet has {} faults: {}", faults.len(), lines.join("; ")))
}

/// Checks and commits a sheet, then waits until the live instances have it in force.
///
/// `base` is the version that the operator's change builds on, if stated; another one is a conflict.
///
/// # Errors
///
/// [`ErrorKind::Sheet`] naming every fault, [`ErrorKind::PlanConflict`] when another change won,
/// [`ErrorKind::PlatformUnreachable`] when nothing was written, [`ErrorKind::PlanUnknown`] when the store
/// did not tell in time.
pub async fn submit(
    kernel: &Kernel,
    sheet: &[u8],
    change_id: ChangeId,
    base: Option<PlanVersion>,
) -> Result<Accepted> {
    let plan = sheet::parse(sheet).map_err(|faults| sheet_error(&faults))?;
    let changes = diff::describe(&kernel.plan.current(), &plan);
    let token = rand::random();
    let submission =
        Submission { plan, change_id: change_id.clone(), base, token, submitted_unix_s: unix_s() };
    if !poll::refresh_instance_list(kernel).await {
        // Without the list this instance might not know whom to wait for.
        let message = "the instance list could not be read; this submission changed nothing";
        return Err(Error::new(ErrorKind::PlatformUnreachable, message));
    }
    let began = kernel.clock.now();
    let deadline = began + Duration::from_millis(kernel.config.confirm_timeout_ms);
    let (verdict, plan) = commit::commit(&kernel.platform, kernel.clock, submission, deadline).await?;
    let (version, repeated) = judge(kernel, verdict, &plan, &change_id).await?;
    if !repeated {
        kernel.control.set_accepted_here(version);
        kernel.adopt_plan(plan);
        kernel.control.freshness_tracker().confirm_version(began, version);
        poll::update_freshness(kernel);
    }
    log::info!("event=plan-committed version={version} change={change_id} repeated={repeated}");
    let without = wait_in_force(kernel, version).await;
    let unheard = kernel.members.lock().never_heard_from(kernel.clock.now());
    log::info!("event=plan-accepted version={version} change={change_id} without={}", without.len());
    Ok(Accepted { version, repeated, changes, without, unheard })
}

async fn judge(
    kernel: &Kernel,
    verdict: SubmissionOutcome,
    plan: &Plan,
    change_id: &ChangeId,
) -> Result<(PlanVersion, bool)> {
    let (kind, message) = match verdict {
        SubmissionOutcome::Committed { version, repeated } => return Ok((version, repeated)),
        SubmissionOutcome::Conflict(winner) => {
            (ErrorKind::PlanConflict, describe_winner(kernel, winner.as_ref(), plan).await)
        }
        SubmissionOutcome::ChangeIdReused(version) => (
            ErrorKind::BadRequest,
            format!("change-id: {change_id} made version {version} with another sheet; take a new id"),
        ),
        SubmissionOutcome::NothingWritten => (
            ErrorKind::PlatformUnreachable,
            format!(
                "the store could not be reached or refused the write; this submission changed nothing, but \
                 an earlier one of {change_id} without an answer may have: if there was one, submit it again"
            ),
        ),
        SubmissionOutcome::Unknown => (
            ErrorKind::PlanUnknown,
            format!("the store did not tell whether change {change_id} took effect; submit it again"),
        ),
        SubmissionOutcome::Unencodable(reason) => (ErrorKind::Sheet, reason),
    };
    Err(Error::new(kind, message))
}

/// Names the winner and what the lost change differs in from it.
async fn describe_winner(kernel: &Kernel, winner: Option<&PlanHead>, lost: &Plan) -> String {
    let Some(winner) = winner else {
        return "another change was accepted first; nothing of this one was".to_owned();
    };
    let first = format!("version {} by change {} was accepted first", winner.version, winner.change_id);
    let Ok(plan) = record::read_plan_body(&kernel.platform, winner).await else {
        return first;
    };
    kernel.adopt_plan(plan.clone());
    let mut lines = diff::describe(&plan, lost);
    let more = lines.len().saturating_sub(TOLD_LINES);
    lines.truncate(TOLD_LINES);
    if more > 0 {
        lines.push(format!("and {more} more"));
    }
    format!("{first}; this sheet differs from it in: {}", lines.join("; "))
}

async fn wait_in_force(kernel: &Kernel, version: PlanVersion) -> Vec<InstanceId> {
    let deadline = Instant::now() + Duration::from_millis(kernel.config.confirm_timeout_ms);
    loop {
        let mut without = kernel.members.lock().without_version(version, kernel.clock.now());
        if kernel.plan.version() < version {
            without.push(kernel.config.instance.clone());
        }
        if without.is_empty() || Instant::now() >= deadline {
            return without;
        }
        sleep(CONFIRM_PERIOD).await;
    }
}
