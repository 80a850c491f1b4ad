//! The interface between a gateway and the platform it runs on: the store to follow, and the headers of
//! requests.
//!
//! The adapter is a struct of functions and names, so that another platform can be supported without a change
//! here.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use hyper::header::{HeaderName, HeaderValue};

use crate::{
    decide::{directory::Listing, probed_target::LoadReading},
    routing::{RoutingSpec, RoutingVersion},
    store::DriverFn,
    store_position::StorePosition,
    units::PerSecond,
};

/// The tables of the store that a gateway follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum Table {
    /// The routing table, a single row.
    Routing,
    /// The directory of targets, one row per target.
    Targets,
}

/// One row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// Key of the row, unique within the table.
    pub key: String,
    /// Position of the row's last change. Its era is that of the response which contained the row.
    pub position: StorePosition,
    /// Content; `None` if the row was removed or its transfer encoding is invalid.
    pub value: Option<Bytes>,
}

/// Rows of a table and the position of the store at which they were read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRows {
    /// All rows of the table, or those that changed.
    pub rows: Vec<TableRow>,
    /// Position from which to ask for further changes; of the same era as all rows.
    pub position: StorePosition,
}

impl TableRows {
    /// Returns the latest of the rows with this key. Changes that were missed come with each of their versions.
    pub fn latest(&self, key: &str) -> Option<&TableRow> {
        self.rows.iter().filter(|row| row.key == key).max_by_key(|row| row.position)
    }

    /// Returns the contents of the rows with this key, the latest first.
    pub fn newest_first(&self, key: &str) -> Vec<&TableRow> {
        let mut rows =
            self.rows.iter().filter(|row| row.key == key && row.value.is_some()).collect::<Vec<_>>();
        rows.sort_by_key(|row| std::cmp::Reverse(row.position));
        rows
    }
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store rejected the call because of a rate limit.
    #[error("the store rejected the call: rate limit exceeded")]
    Throttled,
    /// The store no longer keeps all changes since the requested version.
    #[error("the store no longer keeps all changes since the requested version")]
    HistoryGone,
    /// The store answered with an error or in an unexpected format; the text says which.
    #[error("unexpected response of the store: {0}")]
    Unexpected(String),
    /// The body of the response broke off, did not arrive within the timeout, or was too large.
    #[error("incomplete response of the store, {received_bytes} bytes received")]
    Incomplete {
        /// What had arrived of the body.
        received_bytes: usize,
    },
    /// The store could not be reached or did not answer within the timeout.
    #[error("the store did not answer or could not be reached")]
    NoResponse,
}

impl StoreError {
    /// Returns the value of the metric label `result` for this error.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Throttled => "throttled",
            Self::HistoryGone => "history-gone",
            Self::Unexpected(_) => "unexpected",
            Self::Incomplete { .. } => "incomplete",
            Self::NoResponse => "silent",
        }
    }
}

/// Changes of rows that instances write; all of them or none take effect.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RowChanges {
    /// Rows to write, by key.
    pub put: Vec<(String, Bytes)>,
    /// Keys of rows to remove.
    pub remove: Vec<String>,
    /// Key of a row that must not exist before.
    pub if_absent: Option<String>,
}

/// A request for the changes of a table (long poll).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangesRequest {
    /// Table whose changes are requested.
    pub table: Table,
    /// Position up to which the changes are already known.
    pub after: StorePosition,
    /// Time for which the store may delay its response while nothing changes.
    pub wait: Duration,
}

/// A valid routing table.
#[derive(Debug, Clone)]
pub struct DecodedRouting {
    /// Its contents.
    pub spec: RoutingSpec,
    /// One message for each value that this release does not know, and what is assumed instead.
    pub unknown: Vec<String>,
}

/// Why a routing table is not used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRouting {
    /// Its version, if that could be read.
    pub version: Option<RoutingVersion>,
    /// One message for each fault; at least one.
    pub faults: Vec<String>,
}

/// Header names that the platform's callers and targets use.
#[derive(Debug, Clone)]
pub struct CallHeaders {
    /// Identifier that the caller gives its request; the response repeats it.
    pub request_id: HeaderName,
    /// Time for which the caller waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Id of the target that a request is meant for; any other target rejects the request.
    pub expected_target: HeaderName,
    /// Id of the target that answers a probe.
    pub target_id: HeaderName,
    /// Load of the target at the time of its response.
    pub load: HeaderName,
    /// Requests per second that the target takes from all instances together; absent if it states no limit.
    pub rate_limit: HeaderName,
    /// States in any response of a target whether that target leaves.
    pub leaving: HeaderName,
    /// Present in a response if the target did not execute the request.
    pub not_run: HeaderName,
    /// Proof that a response was made by the target rather than by something on the way to it.
    pub authenticity_proof: HeaderName,
}

/// How a gateway uses the platform it runs on.
#[derive(Clone)]
pub struct PlatformAdapter {
    /// Reads all rows of a table.
    pub read_table: DriverFn<Table, Result<TableRows, StoreError>>,
    /// Waits for changes of a table; returns no rows if nothing changes within the requested wait.
    pub wait_for_changes: DriverFn<ChangesRequest, Result<TableRows, StoreError>>,
    /// Reads all rows of the table in which the instances keep requests that end targets.
    pub read_suspects: DriverFn<(), Result<TableRows, StoreError>>,
    /// Waits for changes of that table since a position, for at most a time.
    pub wait_for_suspects: DriverFn<(StorePosition, Duration), Result<TableRows, StoreError>>,
    /// Changes rows of that table.
    pub change_suspects: DriverFn<RowChanges, Result<(), StoreError>>,
    /// Number of heartbeats of a target after which its entry lapses if it writes none.
    pub lease_heartbeats: u32,
    /// Key of the row in [`Table::Routing`] that holds the routing table.
    pub routing_key: &'static str,
    /// Decodes the routing table. One with a fault anywhere is invalid as a whole.
    pub decode_routing: fn(&[u8]) -> Result<DecodedRouting, InvalidRouting>,
    /// Decodes a row of the target directory from its key and value.
    pub decode_listing: fn(&str, &[u8]) -> Result<Listing, String>,
    /// Header names that the platform's callers and targets use.
    pub headers: CallHeaders,
    /// Decodes the value of the load header; `None` if it is malformed.
    pub decode_load: fn(&HeaderValue) -> Option<LoadReading>,
    /// Decodes the value of the rate limit header; `None` if it is malformed.
    pub decode_rate_limit: fn(&HeaderValue) -> Option<PerSecond>,
    /// Returns whether a value of the leaving header states that the target leaves.
    pub decode_leaving: fn(&HeaderValue) -> bool,
    /// Decodes the pause that a target asks for with `Retry-After`; `None` if the value asks for none.
    pub decode_pause: fn(&HeaderValue) -> Option<Duration>,
}

impl std::fmt::Debug for PlatformAdapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformAdapter").field("headers", &self.headers).finish_non_exhaustive()
    }
}
