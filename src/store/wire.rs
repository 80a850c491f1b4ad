//! The platform's HTTP + JSON contract, shared by the `http` driver and the stand-in.
//!
//! | request | body | answer |
//! |---|---|---|
//! | `GET /table/row?key=K` | | 200 [`WireRow`], 404 |
//! | `GET /table/scan?prefix=P` | | 200 list of [`WireRow`] |
//! | `POST /table/write` | [`WriteRequest`] | 200 [`WriteReply`], 409 [`ConflictReply`] |
//! | `GET /objects/NAME` | | 200 with `ETag`, 404 |
//! | `PUT /objects/NAME` | content; `If-Match` or `If-None-Match: *` | 200 with `ETag`, 412 |
//! | `GET /objects?prefix=P` | | 200 list of names |
//! | `GET /instances` | | 200 list of [`ListedInstance`](super::ListedInstance) |
//! | `PUT /instances` | [`ListedInstance`](super::ListedInstance) | 200 |
//!
//! 429 and 503 with `X-Took-Effect: no` state that nothing was written. Any other failure of a write,
//! and a lost reply, leave it unknown. Keys, prefixes and names are percent-encoded in the URL.

use serde::{Deserialize, Serialize};

use super::{Condition, RowKey};

/// Header by which the platform states that a failed write took no effect.
pub const TOOK_EFFECT: &str = "x-took-effect";

/// A row on the wire; values are text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    /// Key.
    pub key: RowKey,
    /// Value as UTF-8 text.
    pub value: String,
    /// Version.
    pub version: u64,
}

/// A write on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWrite {
    /// Key.
    pub key: RowKey,
    /// Condition.
    pub condition: Condition,
    /// New value, or `null` to delete the row.
    pub value: Option<String>,
}

/// Body of `POST /table/write`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteRequest {
    /// Writes that take effect together or not at all.
    pub writes: Vec<WireWrite>,
}

/// Answer to a write that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReply {
    /// New versions in the order of the writes, 0 for a deleted row.
    pub versions: Vec<u64>,
}

/// Answer to a write that met a conflict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictReply {
    /// Keys of the rows that did not meet their conditions.
    pub conflicts: Vec<RowKey>,
}
