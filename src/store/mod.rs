//! Interface to the platform's services: conditional table of rows, object store and instance list.
//!
//! A driver is a struct of closures, so that tests can replace it by a fake without sockets.

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

/// Row of the table service, as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique in the table.
    pub key: RowKey,
    /// Value; the `http` driver requires UTF-8 text.
    pub value: Bytes,
    /// Version; changes with every write of the row and is never 0.
    pub version: u64,
}

/// Condition on a row under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    VersionIs(u64),
}

/// Change that a write makes to a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowChange {
    /// Sets the value.
    Put(Bytes),
    /// Removes the row.
    Delete,
}

/// Conditional write of one row; the writes of one call take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// Condition under which the write takes effect.
    pub condition: Condition,
    /// Change to make.
    pub change: RowChange,
}

/// What is known about the effect of a write; every driver must map its replies to one of these four cases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// All writes took effect; holds the new versions in the order of the writes, 0 for a deleted row.
    TookEffect(Vec<u64>),
    /// Nothing was written; holds the keys of the rows that did not meet their conditions.
    Conflict(Vec<RowKey>),
    /// Nothing was written and nothing will be; a later attempt may succeed.
    Refused,
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// Reason why a read failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The rate of reads was too high for the platform or for this instance's rate limit.
    #[error("the platform refused the read for its rate")]
    Throttled,
    /// The platform could not be reached or failed, or the circuit breaker is open.
    #[error("the platform could not be reached")]
    Unavailable,
}

/// Object of the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Bytes of the object.
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
    /// The write is unconditional.
    Any,
}

/// Entry of the platform's instance list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance; the list has one entry for each name.
    pub id: InstanceId,
    /// Process (run) of the instance that registered the entry.
    pub run_id: RunId,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Address on which it accepts links from other instances.
    pub peer_address: SocketAddr,
    /// Address on which it accepts callers.
    pub caller_address: SocketAddr,
    /// Whether the platform marks the instance as leaving; the instance then shuts down.
    pub leaving: bool,
}

/// Asynchronous function of a driver.
pub type DriverFn<In, Out> = Arc<dyn Fn(In) -> BoxFuture<'static, Out> + Send + Sync>;

/// Driver of the platform's services.
#[derive(Clone)]
pub struct Platform {
    /// Name of the driver, shown in logs.
    pub name: &'static str,
    /// Reads a row.
    pub get: DriverFn<RowKey, Result<Option<Row>, ReadError>>,
    /// Reads all rows whose keys start with the given prefix.
    pub scan: DriverFn<String, Result<Vec<Row>, ReadError>>,
    /// Applies conditional writes, all or none.
    pub write: DriverFn<Vec<RowWrite>, WriteResult>,
    /// Reads an object by name.
    pub get_object: DriverFn<String, Result<Option<Object>, ReadError>>,
    /// Writes an object under a condition; the lists in the result are empty.
    pub put_object: DriverFn<(String, Bytes, ObjectCondition), WriteResult>,
    /// Reads the names of the objects that start with the given prefix.
    pub list_objects: DriverFn<String, Result<Vec<String>, ReadError>>,
    /// Reads the instance list, which may be out of date.
    pub list_instances: DriverFn<(), Result<Vec<ListedInstance>, ReadError>>,
    /// Adds an instance to the list, replacing an entry of the same name.
    pub register: DriverFn<ListedInstance, Result<(), ReadError>>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").field("name", &self.name).finish_non_exhaustive()
    }
}
