//! Commits a submitted plan: performs the steps of [`Acceptance`] on the platform's table service and object
//! store.

use super::{
    Plan,
    accept::{Acceptance, Event, PlanRows, Step, Submission, SubmissionOutcome},
    record::{change_key, from_row, head_key},
};
use crate::{
    error::Result,
    kernel::clock::Clock,
    store::{ObjectCondition, Platform, RowKey},
    units::{ChangeId, MonoTime},
};

/// Commits a submission; returns the outcome and the plan with its version.
///
/// # Errors
///
/// [`crate::error::ErrorKind::PlatformUnreachable`] if a row is malformed.
pub async fn commit(
    platform: &Platform,
    clock: Clock,
    submission: Submission,
    deadline: MonoTime,
) -> Result<(SubmissionOutcome, Plan)> {
    let change_id = submission.change_id.clone();
    let mut acceptance = Acceptance::new(submission, deadline);
    let mut step = acceptance.start();
    loop {
        let event = match step {
            Step::Read => Event::Read(read_rows(platform, &change_id).await?),
            Step::PutBody { name, content } => {
                Event::BodyPut((platform.put_object)((name, content, ObjectCondition::Absent)).await)
            }
            Step::CheckBody(name) => {
                let found = (platform.get_object)(name).await;
                Event::BodyChecked(found.ok().map(|object| object.is_some()))
            }
            Step::Write(writes) => Event::Wrote((platform.write)(writes).await),
            Step::Pause(pause) => {
                tokio::time::sleep(pause).await;
                Event::Paused
            }
            Step::Done(outcome) => return Ok((outcome, acceptance.plan().clone())),
        };
        step = acceptance.handle(clock.now(), event);
    }
}

/// Reads the head row and the row of the change id, in this order; `None` if the store did not answer.
async fn read_rows(platform: &Platform, change_id: &ChangeId) -> Result<Option<PlanRows>> {
    let read = |key: RowKey| (platform.get)(key);
    let Ok(head) = read(head_key()).await else { return Ok(None) };
    let Ok(change) = read(change_key(change_id)).await else { return Ok(None) };
    let change = change.as_ref().map(from_row).transpose()?;
    let head = head.map(|row| from_row(&row).map(|head| (head, row.version))).transpose()?;
    Ok(Some(PlanRows { head, change }))
}
