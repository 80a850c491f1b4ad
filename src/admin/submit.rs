//! `POST /plan/submit`: checks a plan sheet, commits it and waits until it is in force on all live instances.

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

/// Maximum number of differences listed in the error of a submission that lost against a concurrent one.
const MAX_CONFLICT_LINES: usize = 20;

/// Time between two checks which instances have the new version in force.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reply to an accepted submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Plan version that the change created.
    pub version: PlanVersion,
    /// Whether the same change identifier had already been accepted; nothing was changed then.
    pub repeated: bool,
    /// Differences from the plan in force at this instance, one line per entry.
    pub changes: Vec<String>,
    /// Live instances that did not report the version as in force within the confirmation timeout; empty if
    /// it is in force on all.
    #[serde(rename = "without")]
    pub not_in_force_on: Vec<InstanceId>,
    /// Instances that the platform has listed for some time but that have never sent this instance a message.
    #[serde(default)]
    #[serde(rename = "unheard")]
    pub never_heard_from: Vec<InstanceId>,
}

/// Returns one error that lists all faults of a sheet.
pub fn sheet_faults_error(faults: &[SheetFault]) -> Error {
    let lines = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
    Error::new(ErrorKind::Sheet, format!("the sheet has {} faults: {}", faults.len(), lines.join("; ")))
}

/// Checks and commits a sheet, then waits until the live instances have it in force.
///
/// `base` is the plan version on which the change is based, if the operator states one; the change is a
/// conflict if the platform's store has another current version.
///
/// # Errors
///
/// [`ErrorKind::Sheet`] with all faults of the sheet, [`ErrorKind::PlanConflict`] if another change was
/// accepted first, [`ErrorKind::BadRequest`] if the change identifier was used for another sheet,
/// [`ErrorKind::PlatformUnreachable`] if nothing was written, [`ErrorKind::PlanUnknown`] if the store did not
/// report in time whether the change took effect.
pub async fn submit(
    kernel: &Kernel,
    sheet: &[u8],
    change_id: ChangeId,
    base: Option<PlanVersion>,
) -> Result<AcceptedChange> {
    let plan = sheet::parse(sheet).map_err(|faults| sheet_faults_error(&faults))?;
    let changes = diff::describe(&kernel.plan.current(), &plan);
    let token = rand::random();
    let submission =
        Submission { plan, change_id: change_id.clone(), base, token, submitted_unix_s: unix_s() };
    if !poll::refresh_instance_list(kernel).await {
        // Without the list, this instance might not know all instances that it must wait for.
        let message = "the instance list could not be read; this submission changed nothing";
        return Err(Error::new(ErrorKind::PlatformUnreachable, message));
    }
    let started = kernel.clock.now();
    let deadline = started + Duration::from_millis(kernel.config.confirm_timeout_ms);
    let (outcome, plan) = commit::commit(&kernel.platform, kernel.clock, submission, deadline).await?;
    let (version, repeated) = check_outcome(kernel, outcome, &plan, &change_id).await?;
    if !repeated {
        kernel.control.set_accepted_here(version);
        kernel.adopt_plan(plan);
        kernel.control.freshness_tracker().confirm_version(started, version);
        poll::update_freshness(kernel);
    }
    log::info!("event=plan-committed version={version} change={change_id} repeated={repeated}");
    let not_in_force_on = wait_in_force(kernel, version).await;
    let never_heard_from = kernel.members.lock().never_heard_from(kernel.clock.now());
    log::info!("event=plan-accepted version={version} change={change_id} without={}", not_in_force_on.len());
    Ok(AcceptedChange { version, repeated, changes, not_in_force_on, never_heard_from })
}

async fn check_outcome(
    kernel: &Kernel,
    outcome: SubmissionOutcome,
    plan: &Plan,
    change_id: &ChangeId,
) -> Result<(PlanVersion, bool)> {
    let (kind, message) = match outcome {
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

/// Describes the change that was accepted first and how the rejected one differs from it.
async fn describe_winner(kernel: &Kernel, winner: Option<&PlanHead>, rejected: &Plan) -> String {
    let Some(winner) = winner else {
        return "another change was accepted first; nothing of this one was".to_owned();
    };
    let summary = format!("version {} by change {} was accepted first", winner.version, winner.change_id);
    let Ok(plan) = record::read_plan_body(&kernel.platform, winner).await else {
        return summary;
    };
    kernel.adopt_plan(plan.clone());
    let mut lines = diff::describe(&plan, rejected);
    let omitted = lines.len().saturating_sub(MAX_CONFLICT_LINES);
    lines.truncate(MAX_CONFLICT_LINES);
    if omitted > 0 {
        lines.push(format!("and {omitted} more"));
    }
    format!("{summary}; this sheet differs from it in: {}", lines.join("; "))
}

async fn wait_in_force(kernel: &Kernel, version: PlanVersion) -> Vec<InstanceId> {
    let deadline = Instant::now() + Duration::from_millis(kernel.config.confirm_timeout_ms);
    loop {
        let mut not_in_force_on = kernel.members.lock().without_version(version, kernel.clock.now());
        if kernel.plan.version() < version {
            not_in_force_on.push(kernel.config.instance.clone());
        }
        if not_in_force_on.is_empty() || Instant::now() >= deadline {
            return not_in_force_on;
        }
        sleep(CONFIRM_POLL_INTERVAL).await;
    }
}
