//! Table rows and objects in which the platform stores the plan.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Plan;
use crate::{
    error::{Error, ErrorKind, Result},
    store::{Platform, ReadError, Row, RowKey},
    units::{ChangeId, PlanVersion},
};

/// Key of the head row, which states the current version; its conditional write commits a new plan.
pub const HEAD_ROW: &str = "plan/current";

/// Key prefix of the rows that record which version each change id created.
pub const CHANGE_ROW_PREFIX: &str = "plan/change/";

/// Name prefix of the objects that contain plans too large for the head row.
pub const BODY_OBJECT_PREFIX: &str = "plan/";

/// Largest plan that is stored in the head row, in bytes of JSON. The limit keeps the row small because every
/// poll reads it.
pub const MAX_INLINE_BYTES: usize = 4_096;

/// Location of the plan that a head row refers to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanBody {
    /// The plan is in the row itself.
    Inline(Box<Plan>),
    /// The plan is in the object with this name.
    Object(String),
}

/// Content of the head row ([`HEAD_ROW`]).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanHead {
    /// Current version of the plan.
    pub version: PlanVersion,
    /// Id of the change that created the version.
    pub change_id: ChangeId,
    /// Location of the plan.
    pub body: PlanBody,
}

/// Content of a row under [`CHANGE_ROW_PREFIX`], written in the transaction that commits the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Version that the change created.
    pub version: PlanVersion,
    /// Digest of the plan as submitted.
    pub digest: String,
    /// Token of the submission that created the version; a repeated submission has another one.
    pub token: u64,
}

/// Returns the key of the head row.
pub fn head_key() -> RowKey {
    RowKey(HEAD_ROW.to_owned())
}

/// Returns the key of the row that records a change id.
pub fn change_key(change_id: &ChangeId) -> RowKey {
    RowKey(format!("{CHANGE_ROW_PREFIX}{change_id}"))
}

/// Returns a digest of a submitted plan, by which a repeated change id is checked for the same content.
///
/// Must be called before the plan gets its version.
pub fn digest(plan: &Plan) -> String {
    let json = serde_json::to_vec(plan).unwrap_or_default();
    let bytes = Sha256::digest(&json);
    let half = bytes.first_chunk::<16>().copied().unwrap_or_default();
    format!("{:032x}", u128::from_be_bytes(half))
}

/// Encodes the content of a row or object as JSON.
///
/// # Errors
///
/// [`ErrorKind::Sheet`] if the value cannot be encoded as JSON.
pub fn to_value(value: &impl Serialize) -> Result<Bytes> {
    let json = serde_json::to_vec(value);
    json.map(Bytes::from)
        .map_err(|e| Error::new(ErrorKind::Sheet, format!("the plan can't be written as JSON: {e}")))
}

/// Decodes the content of a row.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnreachable`] if the content is malformed.
pub fn from_row<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T> {
    serde_json::from_slice(&row.value)
        .map_err(|e| Error::new(ErrorKind::PlatformUnreachable, format!("row {} is malformed: {e}", row.key)))
}

/// Reads the plan that a head row refers to.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnreachable`] if the object cannot be read or contains another version.
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
