//! Rows and objects that keep the plan in the platform's service.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Plan;
use crate::{
    error::{Error, ErrorKind, Result},
    store::{Platform, ReadError, Row, RowKey},
    units::{ChangeId, PlanVersion},
};

/// Row that names the version in force; its conditional write is the commit point.
pub const HEAD_ROW: &str = "plan/current";

/// Prefix of the rows that tell which version a change id made.
pub const CHANGE_ROW_PREFIX: &str = "plan/change/";

/// Prefix of the objects that hold large plans.
pub const BODY_OBJECT_PREFIX: &str = "plan/";

/// Longest plan kept in the head row, in bytes; every poll reads that row.
pub const MAX_INLINE_BYTES: usize = 4_096;

/// Where the plan of a head row is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanBody {
    /// In the row.
    Inline(Box<Plan>),
    /// In the object store under this name.
    Object(String),
}

/// Value of the row [`HEAD_ROW`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanHead {
    /// Version in force.
    pub version: PlanVersion,
    /// Change that made it.
    pub change_id: ChangeId,
    /// The plan itself.
    pub body: PlanBody,
}

/// Value of a row under [`CHANGE_ROW_PREFIX`], written in the transaction that made the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Version that the change made.
    pub version: PlanVersion,
    /// Digest of the submitted sheet's plan.
    pub digest: String,
    /// Submission that made it; a repeated one has another token.
    pub token: u64,
}

/// Key of the head row.
pub fn head_key() -> RowKey {
    RowKey(HEAD_ROW.to_owned())
}

/// Key of a change's row.
pub fn change_key(change_id: &ChangeId) -> RowKey {
    RowKey(format!("{CHANGE_ROW_PREFIX}{change_id}"))
}

/// Returns a digest of what a sheet states, whatever version it gets.
pub fn digest(plan: &Plan) -> String {
    let json = serde_json::to_vec(plan).unwrap_or_default();
    let bytes = Sha256::digest(&json);
    let half = bytes.first_chunk::<16>().copied().unwrap_or_default();
    format!("{:032x}", u128::from_be_bytes(half))
}

/// Encodes a row's value.
///
/// # Errors
///
/// [`ErrorKind::Sheet`] when the value has no JSON form.
pub fn to_value(value: &impl Serialize) -> Result<Bytes> {
    let json = serde_json::to_vec(value);
    json.map(Bytes::from)
        .map_err(|e| Error::new(ErrorKind::Sheet, format!("the plan can't be written as JSON: {e}")))
}

/// Decodes a row's value.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnreachable`] when the row holds something else.
pub fn from_row<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T> {
    serde_json::from_slice(&row.value)
        .map_err(|e| Error::new(ErrorKind::PlatformUnreachable, format!("row {} is malformed: {e}", row.key)))
}

/// Reads the plan that a head names.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnreachable`] when the object can't be read or holds another plan.
pub async fn read_plan_body(platform: &Platform, head: &PlanHead) -> Result<Plan> {
    let name = match &head.body {
        PlanBody::Inline(plan) => return Ok((**plan).clone()),
        PlanBody::Object(name) => name,
    };
    let unreadable =
        |reason: String| Error::new(ErrorKind::PlatformUnreachable, format!("plan object {name}: {reason}"));
    let object =
        (platform.get_object)(name.clone()).await.map_err(|e: ReadError| unreadable(e.to_string()))?;
    let object = object.ok_or_else(|| unreadable("absent".to_owned()))?;
    let plan = serde_json::from_slice::<Plan>(&object.content).map_err(|e| unreadable(e.to_string()))?;
    if plan.version != head.version {
        return Err(unreadable(format!("has version {} in place of {}", plan.version, head.version)));
    }
    Ok(plan)
}
