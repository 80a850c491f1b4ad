//! What a gateway needs of the place it runs in: a store to follow, and the headers that calls carry.
//!
//! Plain functions and names, so that a place is added without a change here.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use hyper::header::{HeaderName, HeaderValue};

use crate::{
    decide::{directory::Listing, probed_pool::LoadReading},
    routing::RoutingSpec,
    store::DriverFn,
};

/// What is followed in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum Table {
    /// The routing table, one row.
    Routing,
    /// The directory of targets, a row each.
    Targets,
}

/// One row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// Key.
    pub key: String,
    /// Version; rises with each change of any row.
    pub version: u64,
    /// Value; `None` when the row was removed, or when it could not be decoded from the store's own form.
    pub value: Option<Bytes>,
}

/// Rows with the version of the store that they were read at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRows {
    /// Rows: all of a table, or those that changed.
    pub rows: Vec<TableRow>,
    /// Version to follow from.
    pub version: u64,
}

/// Why the store gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// It refused the call for its rate.
    #[error("the store refused the call for its rate")]
    Throttled,
    /// Changes since the version asked for are no longer kept.
    #[error("the store no longer has the changes asked for")]
    HistoryGone,
    /// It answered with an error or in an unexpected form.
    #[error("unexpected answer of the store: {0}")]
    Unexpected(String),
    /// It could not be reached or did not answer in time.
    #[error("the store did not answer")]
    NoResponse,
}

impl StoreError {
    /// Returns the kind of error as metrics name it.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Throttled => "throttled",
            Self::HistoryGone => "history-gone",
            Self::Unexpected(_) => "unexpected",
            Self::NoResponse => "silent",
        }
    }
}

/// A question for the changes of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangesRequest {
    /// Table.
    pub table: Table,
    /// Version that is known.
    pub version: u64,
    /// Time for which the store may hold the answer back while nothing changes.
    pub wait: Duration,
}

/// A routing table as decoded.
#[derive(Debug, Clone)]
pub struct DecodedRouting {
    /// What could be read.
    pub spec: RoutingSpec,
    /// What was left out, and why.
    pub faults: Vec<String>,
}

/// Headers that calls carry.
#[derive(Debug, Clone)]
pub struct CallHeaders {
    /// Identifier of a caller's request; repeated in its answer.
    pub request_id: HeaderName,
    /// Time the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Target that is meant; any other refuses the request.
    pub expected_target: HeaderName,
    /// Target that answers a probe.
    pub target_id: HeaderName,
    /// Load of the target that answers.
    pub load: HeaderName,
    /// Present when the target did not run the request.
    pub not_run: HeaderName,
    /// Proof that an answer is a target's own.
    pub proof: HeaderName,
}

/// The place a gateway runs in.
#[derive(Clone)]
pub struct PlatformAdapter {
    /// Reads all rows of a table.
    pub read_table: DriverFn<Table, Result<TableRows, StoreError>>,
    /// Waits for changes of a table.
    pub wait_for_changes: DriverFn<ChangesRequest, Result<TableRows, StoreError>>,
    /// Key of the row that holds the routing table.
    pub routing_key: &'static str,
    /// Decodes the routing table, or says why it can't be read as a whole.
    pub decode_routing: fn(&[u8]) -> Result<DecodedRouting, String>,
    /// Decodes a row of the directory, given its key.
    pub decode_listing: fn(&str, &[u8]) -> Result<Listing, String>,
    /// Headers that calls carry.
    pub headers: CallHeaders,
    /// Decodes a target's load.
    pub decode_load: fn(&HeaderValue) -> Option<LoadReading>,
}

impl std::fmt::Debug for PlatformAdapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformAdapter").field("headers", &self.headers).finish_non_exhaustive()
    }
}
