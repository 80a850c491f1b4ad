//! Stand-in of the users' store, which the gateway mode reads: rows in tables with one version counter, and a
//! long-poll feed of the changes of a table.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, body::Incoming, header::HOST};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::http::{
    ConnectionAborted, Server, StandInResponse, full_response, json_response, query_parameter, serve,
};

/// How the store handles every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RowStoreFault {
    /// Responds normally.
    #[default]
    None,
    /// Closes the connection without a response.
    Down,
    /// Responds with 429.
    Throttled,
    /// Responds with 200 and a body that is not JSON.
    InvalidJson,
}

/// Header of all responses: rises by one with each restore from a copy.
const ERA_HEADER: &str = "store-era";

/// Time for which a feed still has versions that a later one has replaced, as on the users' platform.
const HISTORY: Duration = Duration::from_secs(20);

/// A version of a row that a later one has replaced.
#[derive(Debug)]
struct ReplacedRow {
    table: String,
    key: String,
    row: StoredRow,
    replaced_at: Instant,
}

#[derive(Debug, Clone)]
struct StoredRow {
    /// Value, or `None` if the row was removed.
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Present and removed rows by table and key.
    rows: BTreeMap<(String, String), StoredRow>,
    /// Earlier versions of the rows, oldest first.
    replaced: VecDeque<ReplacedRow>,
    version: u64,
    /// Version up to which the history of changes is lost; a feed from an older version gets 410.
    compacted_version: u64,
    fault: RowStoreFault,
    /// Time by which responses about each of these tables are delayed.
    delays: BTreeMap<String, Duration>,
    /// Time by which responses about one table are delayed for those who name a host in their requests.
    host_delays: BTreeMap<(String, String), Duration>,
    request_count: u64,
    /// Number of restores from a copy.
    era: u64,
}

impl State {
    fn put(&mut self, table: String, key: String, row: StoredRow) {
        let now = Instant::now();
        while self.replaced.front().is_some_and(|old| now.duration_since(old.replaced_at) > HISTORY) {
            self.replaced.pop_front();
        }
        if let Some(old) = self.rows.insert((table.clone(), key.clone()), row) {
            self.replaced.push_back(ReplacedRow { table, key, row: old, replaced_at: now });
        }
    }
}

/// Copy of a store's content, which [`RowStoreStandIn::restore`] puts back.
#[derive(Debug, Clone)]
pub struct RowStoreCopy {
    rows: BTreeMap<(String, String), StoredRow>,
    version: u64,
}

/// Changes that a restore has lost.
#[derive(Debug, Clone, Default)]
pub struct LostRows {
    /// Changed rows by table and key.
    rows: BTreeMap<(String, String), StoredRow>,
    /// Version of the store right after the restore.
    restored_version: u64,
}

impl LostRows {
    /// Returns the changes without those of a table.
    #[must_use]
    pub fn without_table(mut self, table: &str) -> Self {
        self.rows.retain(|(changed, _), _| changed != table);
        self
    }
}

/// A running stand-in of the store; stops when dropped.
#[derive(Debug)]
pub struct RowStoreStandIn {
    /// Its HTTP server.
    pub server: Server,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RowStoreStandIn {
    /// Starts an empty store on a loopback port that the system chooses.
    ///
    /// # Errors
    ///
    /// The I/O error of binding the address.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let changed = watch::Sender::new(0);
        let (shared, updates) = (Arc::clone(&state), changed.clone());
        let address = ([127, 0, 0, 1], 0).into();
        let server =
            serve(address, move |request| handle(Arc::clone(&shared), updates.clone(), request)).await?;
        Ok(Self { server, state, changed })
    }

    /// Writes a JSON value into a row of a table.
    pub fn put_json(&self, table: &str, key: &str, value: &Value) {
        self.write_row(table, key, Some(value.to_string().into_bytes()));
    }

    /// Writes bytes into a row of a table.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.write_row(table, key, Some(value.to_vec()));
    }

    /// Removes a row of a table.
    pub fn remove(&self, table: &str, key: &str) {
        self.write_row(table, key, None);
    }

    /// Drops the history of changes, so that a feed from an earlier version gets 410 and its reader must
    /// reload the table.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state);
        state.compacted_version = state.version;
    }

    /// Copies the present content.
    pub fn copy(&self) -> RowStoreCopy {
        let state = lock(&self.state);
        RowStoreCopy { rows: state.rows.clone(), version: state.version }
    }

    /// Puts an earlier content back: all later changes are lost, and their versions are given out again. Returns
    /// the changes that were lost.
    pub fn restore(&self, copy: RowStoreCopy) -> LostRows {
        let mut state = lock(&self.state);
        let rows = std::mem::replace(&mut state.rows, copy.rows);
        let is_lost = |row: &StoredRow| row.version > copy.version;
        let lost = rows.into_iter().filter(|(_, row)| is_lost(row)).collect();
        let lost = LostRows { rows: lost, restored_version: copy.version };
        state.replaced.clear();
        state.version = copy.version;
        state.compacted_version = state.compacted_version.min(copy.version);
        state.era += 1;
        drop(state);
        // Wakes the long polls, so that they notice the new era.
        self.changed.send_replace(0);
        lost
    }

    /// Writes lost changes again, except to rows that have been written since the restore.
    pub fn write_again(&self, lost: &LostRows) {
        for ((table, key), row) in &lost.rows {
            let written = lock(&self.state).rows.get(&(table.clone(), key.clone())).map(|row| row.version);
            if written.is_none_or(|version| version <= lost.restored_version) {
                self.write_row(table, key, row.value.clone());
            }
        }
    }

    /// Sets how every request is handled from now on.
    pub fn set_fault(&self, fault: RowStoreFault) {
        lock(&self.state).fault = fault;
    }

    /// Delays the responses about one table from now on.
    pub fn set_delay(&self, table: &str, delay: Duration) {
        lock(&self.state).delays.insert(table.to_owned(), delay);
    }

    /// Delays the responses about one table for those who reach the store at `address`, a relay's for example.
    pub fn set_delay_at(&self, address: SocketAddr, table: &str, delay: Duration) {
        lock(&self.state).host_delays.insert((address.to_string(), table.to_owned()), delay);
    }

    /// Returns the number of requests received since the start.
    pub fn request_count(&self) -> u64 {
        lock(&self.state).request_count
    }

    fn write_row(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        state.put(table.to_owned(), key.to_owned(), StoredRow { value, version });
        drop(state);
        self.changed.send_replace(version);
    }
}

/// Handles a request, and states the era in the response.
async fn handle(
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    request: Request<Incoming>,
) -> Result<StandInResponse, ConnectionAborted> {
    let mut response = respond(&state, &changed, request).await?;
    let era = lock(&state).era;
    response.headers_mut().insert(ERA_HEADER, era.into());
    Ok(response)
}

async fn respond(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    request: Request<Incoming>,
) -> Result<StandInResponse, ConnectionAborted> {
    let fault = {
        let mut state = lock(state);
        state.request_count += 1;
        state.fault
    };
    match fault {
        RowStoreFault::None => {}
        RowStoreFault::Down => return Err(ConnectionAborted),
        RowStoreFault::Throttled => return Ok(full_response(StatusCode::TOO_MANY_REQUESTS, "")),
        RowStoreFault::InvalidJson => return Ok(full_response(StatusCode::OK, "<html>")),
    }
    if request.uri().path() == "/rows-tx" {
        return write_rows(state, changed, request).await;
    }
    let mut updates = changed.subscribe();
    let table = query_parameter(&request, "table").unwrap_or_default();
    delay_response(state, [table.as_str()]).await;
    let host = request.headers().get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host_delay = lock(state).host_delays.get(&(host.to_owned(), table.clone())).copied();
    tokio::time::sleep(host_delay.unwrap_or_default()).await;
    if request.uri().path() == "/rows-get" {
        let from = query_parameter(&request, "from").unwrap_or_default();
        return Ok(json_response(StatusCode::OK, &table_json(&lock(state), &table, &from)));
    }
    let number =
        |name: &str| query_parameter(&request, name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
    let has_change =
        |state: &State| state.rows.iter().any(|((t, _), row)| *t == table && row.version > after);
    let wait_for_change = async {
        while !has_change(&lock(state)) && lock(state).version >= after && updates.changed().await.is_ok() {}
    };
    // If nothing changes in time, the response has no rows.
    let _changed_or_timeout = tokio::time::timeout(wait, wait_for_change).await;
    let state = lock(state);
    if state.fault == RowStoreFault::Down {
        return Err(ConnectionAborted);
    }
    if after < state.compacted_version || after > state.version {
        return Ok(full_response(StatusCode::GONE, ""));
    }
    Ok(json_response(StatusCode::OK, &changes_json(&state, &table, after)))
}

/// Waits for the longest delay that is set for one of `tables`.
async fn delay_response(state: &Mutex<State>, tables: impl IntoIterator<Item = &str>) {
    let delay = {
        let state = lock(state);
        tables.into_iter().filter_map(|table| state.delays.get(table).copied()).max()
    };
    tokio::time::sleep(delay.unwrap_or_default()).await;
}

/// Rows that a transaction names.
#[derive(Deserialize)]
struct Transaction {
    /// Rows with the version that each must have; 0 for one that must not exist.
    precondition: Vec<TransactionRow>,
    #[serde(rename = "putRows")]
    put_rows: Vec<TransactionRow>,
    remove: Vec<TransactionRow>,
}

#[derive(Deserialize)]
struct TransactionRow {
    table: String,
    key: String,
    /// Content in Base64, of rows to write.
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
}

/// Carries out a transaction of an instance.
async fn write_rows(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    request: Request<Incoming>,
) -> Result<StandInResponse, ConnectionAborted> {
    let body = request.into_body().collect().await.map_err(|_broken| ConnectionAborted)?.to_bytes();
    let Ok(transaction) = serde_json::from_slice::<Transaction>(&body) else {
        return Ok(full_response(StatusCode::BAD_REQUEST, ""));
    };
    let rows = transaction.put_rows.iter().chain(&transaction.remove);
    if rows.clone().any(|row| ["op", "servers"].contains(&row.table.as_str())) {
        return Ok(full_response(StatusCode::FORBIDDEN, ""));
    }
    delay_response(state, rows.map(|row| row.table.as_str())).await;
    let mut state = lock(state);
    let version_of = |row: &TransactionRow| {
        let stored = state.rows.get(&(row.table.clone(), row.key.clone()));
        stored.filter(|stored| stored.value.is_some()).map_or(0, |stored| stored.version)
    };
    if transaction.precondition.iter().any(|row| version_of(row) != row.ver) {
        return Ok(json_response(StatusCode::PRECONDITION_FAILED, &json!({"rows": []})));
    }
    state.version += 1;
    let version = state.version;
    for row in transaction.put_rows {
        let Ok(value) = BASE64_STANDARD.decode(row.value) else {
            return Ok(full_response(StatusCode::BAD_REQUEST, ""));
        };
        state.put(row.table, row.key, StoredRow { value: Some(value), version });
    }
    for row in transaction.remove {
        state.put(row.table, row.key, StoredRow { value: None, version });
    }
    drop(state);
    changed.send_replace(version);
    Ok(json_response(StatusCode::OK, &json!({"ver": version, "nowS": 0.0})))
}

/// Returns the present rows of a table from a key on.
fn table_json(state: &State, table: &str, from: &str) -> Value {
    let rows =
        state.rows.iter().filter(|((t, key), row)| t == table && key.as_str() >= from && row.value.is_some());
    rows_json(state, table, rows.map(|((_, key), row)| (key, row)).collect())
}

/// Returns all versions of a table's rows after a version of the store.
fn changes_json(state: &State, table: &str, after: u64) -> Value {
    let replaced = state.replaced.iter().filter(|old| old.table == table).map(|old| (&old.key, &old.row));
    let present = state.rows.iter().filter(|((t, _), _)| t == table).map(|((_, key), row)| (key, row));
    rows_json(state, table, replaced.chain(present).filter(|(_, row)| row.version > after).collect())
}

fn rows_json(state: &State, table: &str, mut rows: Vec<(&String, &StoredRow)>) -> Value {
    rows.sort_by_key(|(_, row)| row.version);
    let row = |(key, row): &(&String, &StoredRow)| match &row.value {
        Some(value) => {
            json!({"table": table, "part": "", "key": key, "value": BASE64_STANDARD.encode(value), "ver": row.version})
        }
        None => json!({"table": table, "part": "", "key": key, "ver": row.version, "removed": true}),
    };
    let rows = rows.iter().map(row).collect::<Vec<_>>();
    json!({"rows": rows, "hasMore": false, "ver": state.version, "nowS": 0.0})
}
