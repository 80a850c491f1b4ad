//! Stand-in of the platform's HTTP service: a table, an object store and an instance list that may lag, with
//! injected faults.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arbutusshelf::store::{
    ListedInstance, ObjectCondition, RowChange, RowKey, RowWrite, WriteResult,
    embedded::Store,
    wire::{ConflictReply, TOOK_EFFECT, WireRow, WriteReply, WriteRequest},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::http::{
    ConnectionAborted, Server, StandInResponse, full_response, json_response, percent_decode,
    query_parameter, serve,
};

/// Faults that the stand-in injects; set by `POST /faults` or [`PlatformStandIn::set_faults`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every request is dropped: its connection is closed without a response, and it has no effect.
    pub down: bool,
    /// Delay before every request is handled, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes that take effect but whose connection is closed without a response, 0.0 to 1.0.
    pub lose_write_replies: f64,
    /// Share of writes that are refused with 503 and have no effect, 0.0 to 1.0.
    pub refuse_writes: f64,
    /// Share of writes whose connection is closed at once and that take effect after `delay_ms`, 0.0 to 1.0.
    pub delay_writes: f64,
    /// Time after which a write of the share `delay_writes` takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes that are applied twice; the response is that of the second time, 0.0 to 1.0.
    pub double_writes: f64,
    /// Whether later changes of the instance list stay invisible.
    pub stale_list: bool,
    /// Time after which a change of the instance list becomes visible, in milliseconds.
    pub list_lag_ms: u64,
    /// Whether each row of a write call counts towards `max_writes_per_s`, instead of the call as one.
    pub count_rows: bool,
    /// Maximum number of writes accepted in any second; further ones get 429.
    pub max_writes_per_s: usize,
    /// Maximum number of reads accepted in any second; further ones get 429.
    pub max_reads_per_s: usize,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 0,
            lose_write_replies: 0.0,
            refuse_writes: 0.0,
            delay_writes: 0.0,
            delay_ms: 1_000,
            double_writes: 0.0,
            stale_list: false,
            list_lag_ms: 0,
            count_rows: false,
            max_writes_per_s: 400,
            max_reads_per_s: 2_000,
        }
    }
}

/// Number of requests received since the start, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All requests but `POST /faults`, including those dropped while [`Faults::down`] is set.
    pub arrived: u64,
    /// Write requests, including those refused with 429; dropped ones are not counted.
    pub writes: u64,
    /// Read requests, including those refused with 429; dropped ones are not counted.
    pub reads: u64,
    /// Requests refused with 429.
    pub throttled: u64,
}

#[derive(Debug)]
struct State {
    store: Store,
    faults: Faults,
    counts: Counts,
    rng: SmallRng,
    recent_writes: VecDeque<Instant>,
    recent_reads: VecDeque<Instant>,
    /// Versions of the instance list with the time at which each was created, oldest first.
    list_history: VecDeque<(Instant, Vec<ListedInstance>)>,
}

/// A running stand-in of the platform; stops when dropped.
#[derive(Debug)]
pub struct PlatformStandIn {
    /// Its HTTP server.
    pub server: Server,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformStandIn {
    /// Starts a stand-in whose random faults are drawn from `seed`.
    ///
    /// # Errors
    ///
    /// The I/O error of binding the address.
    pub async fn start(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let state = State {
            store: Store::default(),
            faults: Faults::default(),
            counts: Counts::default(),
            rng: SmallRng::seed_from_u64(seed),
            recent_writes: VecDeque::new(),
            recent_reads: VecDeque::new(),
            list_history: VecDeque::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let shared = Arc::clone(&state);
        let server = serve(address, move |request| handle(Arc::clone(&shared), request)).await?;
        Ok(Self { server, state })
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns how many requests were received since the start.
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }

    /// Calls `work` with the locked store, to read or change its content directly.
    pub fn with_store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        work(&mut lock(&self.state).store)
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<StandInResponse, ConnectionAborted> {
    if request.uri().path() == "/faults" {
        return set_faults(&state, request).await;
    }
    lock(&state).counts.arrived += 1;
    let faults = lock(&state).faults.clone();
    if faults.down {
        return Err(ConnectionAborted);
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    let is_write = request.method() != Method::GET;
    if !admit_request(&state, is_write) {
        return Ok(refuse_without_effect(StatusCode::TOO_MANY_REQUESTS));
    }
    if is_write && draw_fault(&state, faults.refuse_writes) {
        return Ok(refuse_without_effect(StatusCode::SERVICE_UNAVAILABLE));
    }
    let lose_reply = is_write && draw_fault(&state, faults.lose_write_replies);
    let response = route(&state, request).await?;
    if lose_reply { Err(ConnectionAborted) } else { Ok(response) }
}

async fn set_faults(
    state: &Mutex<State>,
    request: Request<Incoming>,
) -> Result<StandInResponse, ConnectionAborted> {
    let faults = read_json::<Faults>(request).await?;
    lock(state).faults = faults;
    Ok(full_response(StatusCode::OK, ""))
}

fn admit_request(state: &Mutex<State>, is_write: bool) -> bool {
    let mut state = lock(state);
    let State { faults, counts, recent_writes, recent_reads, .. } = &mut *state;
    let (recent, limit, received) = if is_write {
        (recent_writes, faults.max_writes_per_s, &mut counts.writes)
    } else {
        (recent_reads, faults.max_reads_per_s, &mut counts.reads)
    };
    *received += 1;
    let now = Instant::now();
    while recent.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
        recent.pop_front();
    }
    if recent.len() >= limit {
        counts.throttled += 1;
        return false;
    }
    recent.push_back(now);
    true
}

fn refuse_without_effect(status: StatusCode) -> StandInResponse {
    let mut response = full_response(status, "");
    response.headers_mut().insert(TOOK_EFFECT, HeaderValue::from_static("no"));
    response
}

async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, ConnectionAborted> {
    let body = request.into_body().collect().await.map_err(|_aborted| ConnectionAborted)?.to_bytes();
    serde_json::from_slice(&body).map_err(|_malformed| ConnectionAborted)
}

async fn route(
    state: &Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<StandInResponse, ConnectionAborted> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/table/row") => Ok(get_row(state, &request)),
        (Method::GET, "/table/scan") => {
            let rows = lock(state).store.scan(&query_parameter(&request, "prefix").unwrap_or_default());
            let rows = rows.into_iter().map(|r| wire_row(r.key, &r.value, r.version)).collect::<Vec<_>>();
            Ok(json_response(StatusCode::OK, &rows))
        }
        (Method::POST, "/table/write") => write_rows(state, request).await,
        (Method::GET, "/objects") => {
            let names =
                lock(state).store.list_objects(&query_parameter(&request, "prefix").unwrap_or_default());
            Ok(json_response(StatusCode::OK, &names))
        }
        (Method::GET, "/instances") => Ok(json_response(StatusCode::OK, &visible_instances(state))),
        (Method::PUT, "/instances") => {
            let instance = read_json::<ListedInstance>(request).await?;
            register(state, instance);
            Ok(full_response(StatusCode::OK, ""))
        }
        (method, path) => match path.strip_prefix("/objects/").map(percent_decode) {
            Some(name) if method == Method::GET => Ok(get_object(state, &name)),
            Some(name) if method == Method::PUT => put_object(state, &name, request).await,
            _ => Ok(full_response(StatusCode::NOT_FOUND, "")),
        },
    }
}

fn wire_row(key: RowKey, value: &Bytes, version: u64) -> WireRow {
    WireRow { key, value: String::from_utf8_lossy(value).into_owned(), version }
}

fn get_row(state: &Mutex<State>, request: &Request<Incoming>) -> StandInResponse {
    let key = RowKey(query_parameter(request, "key").unwrap_or_default());
    match lock(state).store.get(&key) {
        Some(row) => json_response(StatusCode::OK, &wire_row(row.key, &row.value, row.version)),
        None => full_response(StatusCode::NOT_FOUND, ""),
    }
}

async fn write_rows(
    state: &Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<StandInResponse, ConnectionAborted> {
    let request = read_json::<WriteRequest>(request).await?;
    let row_write = |w: arbutusshelf::store::wire::WireWrite| RowWrite {
        key: w.key,
        condition: w.condition,
        change: w.value.map_or(RowChange::Delete, |v| RowChange::Put(Bytes::from(v))),
    };
    let writes = request.writes.into_iter().map(row_write).collect::<Vec<_>>();
    if !admit_additional_rows(state, writes.len().saturating_sub(1)) {
        return Ok(refuse_without_effect(StatusCode::TOO_MANY_REQUESTS));
    }
    let Faults { delay_writes, delay_ms, double_writes, .. } = lock(state).faults;
    if draw_fault(state, delay_writes) {
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            lock(&state).store.write(&writes);
        });
        return Err(ConnectionAborted);
    }
    if draw_fault(state, double_writes) {
        lock(state).store.write(&writes);
    }
    Ok(match lock(state).store.write(&writes) {
        WriteResult::TookEffect(versions) => json_response(StatusCode::OK, &WriteReply { versions }),
        WriteResult::Conflict(conflicts) => json_response(StatusCode::CONFLICT, &ConflictReply { conflicts }),
        WriteResult::Refused | WriteResult::Unknown => refuse_without_effect(StatusCode::SERVICE_UNAVAILABLE),
    })
}

/// Counts the rows of a call after the first towards the write limit if [`Faults::count_rows`] is set;
/// returns whether the limit allows them.
fn admit_additional_rows(state: &Mutex<State>, rows: usize) -> bool {
    let mut state = lock(state);
    if !state.faults.count_rows {
        return true;
    }
    if state.recent_writes.len() + rows > state.faults.max_writes_per_s {
        state.counts.throttled += 1;
        return false;
    }
    let now = Instant::now();
    state.recent_writes.extend(std::iter::repeat_n(now, rows));
    true
}

fn draw_fault(state: &Mutex<State>, share: f64) -> bool {
    share > 0.0 && lock(state).rng.random_bool(share)
}

fn get_object(state: &Mutex<State>, name: &str) -> StandInResponse {
    let Some(object) = lock(state).store.get_object(name) else {
        return full_response(StatusCode::NOT_FOUND, "");
    };
    let mut response = full_response(StatusCode::OK, object.content);
    if let Ok(etag) = HeaderValue::from_str(&object.etag) {
        response.headers_mut().insert(header::ETAG, etag);
    }
    response
}

async fn put_object(
    state: &Mutex<State>,
    name: &str,
    request: Request<Incoming>,
) -> Result<StandInResponse, ConnectionAborted> {
    let header_text = |name| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let condition = match (header_text(header::IF_MATCH), header_text(header::IF_NONE_MATCH)) {
        (Some(etag), _) => ObjectCondition::Match(etag),
        (None, Some(_)) => ObjectCondition::Absent,
        (None, None) => ObjectCondition::Any,
    };
    let content = request.into_body().collect().await.map_err(|_aborted| ConnectionAborted)?.to_bytes();
    Ok(match lock(state).store.put_object(name, content, &condition) {
        WriteResult::TookEffect(_) => full_response(StatusCode::OK, ""),
        _ => full_response(StatusCode::PRECONDITION_FAILED, ""),
    })
}

fn register(state: &Mutex<State>, instance: ListedInstance) {
    let mut state = lock(state);
    let unchanged = state.store.instances().contains(&instance);
    state.store.register(instance);
    if !unchanged {
        let list = state.store.instances();
        state.list_history.push_back((Instant::now(), list));
    }
}

/// Returns the newest instance list that is at least [`Faults::list_lag_ms`] old.
fn visible_instances(state: &Mutex<State>) -> Vec<ListedInstance> {
    let mut state = lock(state);
    let lag = Duration::from_millis(state.faults.list_lag_ms);
    if !state.faults.stale_list {
        while state.list_history.len() > 1 && state.list_history[1].0.elapsed() >= lag {
            state.list_history.pop_front();
        }
    }
    let visible = state.list_history.front().filter(|(at, _)| at.elapsed() >= lag);
    visible.map(|(_, list)| list.clone()).unwrap_or_default()
}
