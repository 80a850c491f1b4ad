//! The platform's table service, object store and instance list, as the decisions see them.
//!
//! A driver is a plain struct of closures, so that tests put a fake in its place without sockets.

use std::{fmt, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use derive_more::Display;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::units::{DataCentre, InstanceId, RunId};

pub mod breaker;
pub mod embedded;
pub mod guard;
pub mod http;
pub mod rate_limit;
pub mod wire;

/// Key of a row in the table service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub struct RowKey(pub String);

/// One row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: RowKey,
    /// Value.
    pub value: Bytes,
    /// Version; changes with every write of the row, never 0.
    pub version: u64,
}

/// What must hold of a row for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    VersionIs(u64),
}

/// What a write does to a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowChange {
    /// Sets the value.
    Put(Bytes),
    /// Removes the row.
    Delete,
}

/// One conditional write; several in one call take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// What must hold for the write to take effect.
    pub condition: Condition,
    /// What to do.
    pub change: RowChange,
}

/// What is known about a write after it was tried; there is no fifth case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// All rows were written; their new versions in the order of the writes.
    TookEffect(Vec<u64>),
    /// Nothing was written because these rows did not meet their conditions.
    Conflict(Vec<RowKey>),
    /// Nothing was written and nothing will be; asking later can help.
    Refused,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// Why a read gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The platform refused the read for its rate.
    #[error("the platform refused the read for its rate")]
    Throttled,
    /// The platform could not be reached or failed.
    #[error("the platform could not be reached")]
    Unavailable,
}

/// One object of the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Content.
    pub content: Bytes,
    /// Entity tag for conditional writes.
    pub etag: String,
}

/// Condition of a write to the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectCondition {
    /// The object does not exist.
    Absent,
    /// The object has this entity tag.
    Match(String),
    /// None.
    Any,
}

/// One line of the platform's lagging instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub id: InstanceId,
    /// Run that registered itself.
    pub run_id: RunId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether the platform counts it as leaving.
    pub leaving: bool,
}

/// A function of a driver.
pub type DriverFn<In, Out> = Arc<dyn Fn(In) -> BoxFuture<'static, Out> + Send + Sync>;

/// The platform's service behind plain functions.
#[derive(Clone)]
pub struct Platform {
    /// Name for logs.
    pub name: &'static str,
    /// Reads a row.
    pub get: DriverFn<RowKey, Result<Option<Row>, ReadError>>,
    /// Reads all rows whose keys start with the text.
    pub scan: DriverFn<String, Result<Vec<Row>, ReadError>>,
    /// Writes rows under conditions, all or none.
    pub write: DriverFn<Vec<RowWrite>, WriteResult>,
    /// Reads an object by name.
    pub get_object: DriverFn<String, Result<Option<Object>, ReadError>>,
    /// Writes an object; the result's rows are empty.
    pub put_object: DriverFn<(String, Bytes, ObjectCondition), WriteResult>,
    /// Lists the names of objects that start with the text.
    pub list_objects: DriverFn<String, Result<Vec<String>, ReadError>>,
    /// Reads the lagging list.
    pub list_instances: DriverFn<(), Result<Vec<ListedInstance>, ReadError>>,
    /// Registers this instance in the list, or updates its line.
    pub register: DriverFn<ListedInstance, Result<(), ReadError>>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").field("name", &self.name).finish_non_exhaustive()
    }
}
