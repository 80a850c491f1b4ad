//! Accepting a change: one conditional write under the next version, settled by reading back.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Plan;
use crate::{
    error::{Error, ErrorKind, Result},
    platform::{Condition, Platform, ReadError, Row, RowChange, RowKey, RowWrite, WriteResult},
    units::{ChangeId, PlanVersion},
};

/// Row whose value is the plan in force; its conditional write is the commit point.
pub const PLAN_ROW: &str = "plan/current";

/// Tries to settle a write whose reply was lost.
const READ_BACK_TRIES: u32 = 10;

/// Pause between two tries to read back.
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);

/// A change that was committed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// Version that the change has.
    pub version: PlanVersion,
    /// True when an earlier submission of the same change id made the version.
    pub repeated: bool,
}

/// Key of the row that keeps the plan in force.
pub fn plan_row_key() -> RowKey {
    RowKey(PLAN_ROW.to_owned())
}

/// Reads the plan from its row.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnreachable`] when the row does not hold a plan.
pub fn decode(row: &Row) -> Result<Plan> {
    serde_json::from_slice(&row.value).map_err(|e| {
        Error::new(ErrorKind::PlatformUnreachable, format!("row {} holds no plan: {e}", row.key))
    })
}

fn unreachable(e: ReadError) -> Error {
    Error::new(ErrorKind::PlatformUnreachable, format!("reading the plan: {e}"))
}

/// Commits `plan` under the version after the one in the table.
///
/// `expected` is the version the operator saw, if stated; another one in the table is a conflict.
///
/// # Errors
///
/// [`ErrorKind::PlanConflict`] when another change won, [`ErrorKind::PlatformUnreachable`] when nothing was
/// written, [`ErrorKind::PlanUnknown`] when the store did not tell within the tries.
pub async fn commit(
    platform: &Platform,
    mut plan: Plan,
    change_id: ChangeId,
    expected: Option<PlanVersion>,
) -> Result<Committed> {
    let current = (platform.get)(plan_row_key()).await.map_err(unreachable)?;
    let (condition, in_force) = match &current {
        Some(row) => (Condition::VersionIs(row.version), decode(row)?),
        None => (Condition::Absent, Plan::default()),
    };
    if in_force.change_id.as_ref() == Some(&change_id) {
        return Ok(Committed { version: in_force.version, repeated: true });
    }
    if expected.is_some_and(|e| e != in_force.version) {
        return Err(conflict(&in_force));
    }
    plan.version = in_force.version.next();
    plan.change_id = Some(change_id.clone());
    let value = serde_json::to_vec(&plan)
        .map_err(|e| Error::new(ErrorKind::Sheet, format!("the plan can't be written as JSON: {e}")))?;
    let write = RowWrite { key: plan_row_key(), condition, change: RowChange::Put(Bytes::from(value)) };
    let mut result = (platform.write)(vec![write.clone()]).await;
    for _ in 0..READ_BACK_TRIES {
        if result != WriteResult::Refused {
            break;
        }
        tokio::time::sleep(READ_BACK_PAUSE).await;
        result = (platform.write)(vec![write.clone()]).await;
    }
    match result {
        WriteResult::TookEffect(_) => Ok(Committed { version: plan.version, repeated: false }),
        WriteResult::Conflict(_) => read_winner(platform, &change_id).await,
        WriteResult::Refused => Err(Error::new(
            ErrorKind::PlatformUnreachable,
            "the store refused the write; nothing was changed",
        )),
        WriteResult::Unknown => settle(platform, plan.version, &change_id).await,
    }
}

fn conflict(winner: &Plan) -> Error {
    let by = winner.change_id.as_ref().map(ToString::to_string).unwrap_or_default();
    Error::new(
        ErrorKind::PlanConflict,
        format!("version {} by change {by} was accepted first", winner.version),
    )
}

async fn read_winner(platform: &Platform, change_id: &ChangeId) -> Result<Committed> {
    let row = (platform.get)(plan_row_key()).await.map_err(unreachable)?;
    let winner = row.as_ref().map(decode).transpose()?.unwrap_or_default();
    if winner.change_id.as_ref() == Some(change_id) {
        return Ok(Committed { version: winner.version, repeated: true });
    }
    Err(conflict(&winner))
}

async fn settle(platform: &Platform, version: PlanVersion, change_id: &ChangeId) -> Result<Committed> {
    for _ in 0..READ_BACK_TRIES {
        tokio::time::sleep(READ_BACK_PAUSE).await;
        let Ok(Some(row)) = (platform.get)(plan_row_key()).await else {
            continue;
        };
        let found = decode(&row)?;
        if found.change_id.as_ref() == Some(change_id) {
            return Ok(Committed { version: found.version, repeated: false });
        }
        if found.version >= version {
            return Err(conflict(&found));
        }
    }
    let message = format!("the store did not tell whether change {change_id} took effect; submit it again");
    Err(Error::new(ErrorKind::PlanUnknown, message))
}
