//! HTTP and JSON contract of the platform's service, shared by the `http` driver and the simulated platform
//! in `bench`.
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
//! A 429 or 503 with `X-Took-Effect: no` states that nothing was written. After any other failure of a write,
//! and after a lost reply, its effect is unknown. Keys, prefixes and names are percent-encoded in the URL.

use serde::{Deserialize, Serialize};

use super::{Condition, RowKey};

/// Header by which the platform states that a failed write took no effect.
pub const TOOK_EFFECT: &str = "x-took-effect";

/// Row on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    /// Key of the row.
    pub key: RowKey,
    /// Value, which must be UTF-8 text.
    pub value: String,
    /// Version of the row, never 0.
    pub version: u64,
}

/// Conditional write on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWrite {
    /// Key of the row.
    pub key: RowKey,
    /// Condition under which the write takes effect.
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

/// Body of the 200 reply to `POST /table/write`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReply {
    /// New versions in the order of the writes, 0 for a deleted row.
    pub versions: Vec<u64>,
}

/// Body of the 409 reply to `POST /table/write`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictReply {
    /// Keys of the rows that did not meet their conditions.
    pub conflicts: Vec<RowKey>,
}
