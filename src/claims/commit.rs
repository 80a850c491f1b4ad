//! Group commit: combines conditional writes of single rows into fewer write calls to the table service.
//!
//! Each idempotency key has its own row, so groups of different instances contend for a row only while
//! callers use the same key at several instances. A write call is atomic: if the conditions of some rows
//! fail, nothing is written, these rows are reported as conflicts and the remaining rows are written by
//! another call.
//!
//! While fewer than [`CommitSettings::max_in_flight`] calls are in flight, a group is sent after at most
//! [`CommitSettings::batch_delay`]; otherwise rows wait for a call to end, so groups grow with the load.
//! Calls are paced once the instance has used most of its share of the write budget, so that no row has to
//! wait for the budget's next window.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};

use super::pacer::Pacer;

use crate::{
    collections::HashSet,
    decide::claim::{RowVersion, WriteOutcome},
    plan::Priority,
    store::{DriverFn, RowChange, RowKey, RowWrite, WriteResult},
};

/// Limits of group commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitSettings {
    /// Maximum number of rows in one call; 1 disables grouping.
    pub max_rows: usize,
    /// Maximum sum of the row values in one call, in bytes. A single larger row is sent by itself.
    pub max_bytes: usize,
    /// Maximum number of concurrent calls, including calls that wait for the instance's write budget.
    pub max_in_flight: usize,
    /// Time that a group waits for more rows while another call is in flight. A group is sent without this
    /// delay if no call is in flight.
    pub batch_delay: Duration,
}

impl Default for CommitSettings {
    fn default() -> Self {
        Self { max_rows: 64, max_bytes: 256 << 10, max_in_flight: 2, batch_delay: Duration::from_millis(2) }
    }
}

/// Request to write one row.
#[derive(Debug)]
pub struct WriteRequest {
    /// Row, condition and change.
    pub write: RowWrite,
    /// Priority of the call that the row belongs to; rows of a higher priority are sent first.
    pub priority: Priority,
    /// Time after which the write is refused instead of sent; absent for writes that never expire.
    pub expires_at: Option<Instant>,
}

/// Number of write calls and written rows since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommitCounts {
    /// Number of write calls.
    pub calls: u64,
    /// Number of rows in these calls; a row that is retried counts again.
    pub rows: u64,
}

/// Row write in the queue, with the sender for its result.
#[derive(Debug)]
struct Queued {
    request: WriteRequest,
    result_sender: oneshot::Sender<WriteOutcome>,
}

#[derive(Debug, Default)]
struct Queue {
    /// Writes that are not in a call yet, in order of arrival for each priority.
    waiting: BTreeMap<Priority, VecDeque<Queued>>,
    /// Number of calls that are in flight or wait to be sent.
    calls: usize,
    pacer: Pacer,
}

struct Shared {
    write: DriverFn<Vec<RowWrite>, WriteResult>,
    settings: CommitSettings,
    queue: Mutex<Queue>,
    calls: AtomicU64,
    rows: AtomicU64,
}

/// Queue of this instance's row writes. Clones share one queue.
#[derive(Clone)]
pub struct GroupCommit {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for GroupCommit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GroupCommit").field("settings", &self.shared.settings).finish_non_exhaustive()
    }
}

impl GroupCommit {
    /// Creates an empty queue that writes through the store driver's function `write`.
    pub fn new(write: DriverFn<Vec<RowWrite>, WriteResult>, settings: CommitSettings) -> Self {
        let shared = Shared {
            write,
            settings,
            queue: Mutex::default(),
            calls: AtomicU64::new(0),
            rows: AtomicU64::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the number of calls and rows so far.
    pub fn counts(&self) -> CommitCounts {
        CommitCounts {
            calls: self.shared.calls.load(Ordering::Relaxed),
            rows: self.shared.rows.load(Ordering::Relaxed),
        }
    }

    /// Limits write calls to a rate in calls per second; 0 removes the limit, as does never calling this.
    pub fn set_rate(&self, calls_per_s: f64) {
        self.lock().pacer.set_rate(calls_per_s);
    }

    /// Writes one row and returns its result. A write whose future is dropped while it is queued is not sent.
    pub async fn write(&self, request: WriteRequest) -> WriteOutcome {
        let (result_sender, result) = oneshot::channel();
        let queued = Queued { request, result_sender };
        let priority = queued.request.priority;
        self.lock().waiting.entry(priority).or_default().push_back(queued);
        self.start_calls();
        result.await.unwrap_or(WriteOutcome::Unknown)
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.shared.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a write call if rows are queued and the limit of concurrent calls permits another one.
    fn start_calls(&self) {
        let mut queue = self.lock();
        let waiting = queue.waiting.values().any(|q| !q.is_empty());
        if waiting && queue.calls < self.shared.settings.max_in_flight {
            let batch_delay =
                if queue.calls == 0 { Duration::ZERO } else { self.shared.settings.batch_delay };
            let batch_delay = batch_delay.max(queue.pacer.reserve(Instant::now()));
            queue.calls += 1;
            tokio::spawn(self.clone().run_call(batch_delay));
        }
    }

    /// Sends one group after a delay, and the rows to retry after a conflict, until every row has its result.
    async fn run_call(self, batch_delay: Duration) {
        if !batch_delay.is_zero() {
            tokio::time::sleep(batch_delay).await;
        }
        let mut group = self.take_group();
        while !group.is_empty() {
            let result = self.write_group(&group).await;
            group = complete_group(group, result);
        }
        self.lock().calls -= 1;
        self.start_calls();
    }

    async fn write_group(&self, group: &[Queued]) -> WriteResult {
        let writes = group.iter().map(|q| q.request.write.clone()).collect::<Vec<_>>();
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        self.shared.rows.fetch_add(writes.len() as u64, Ordering::Relaxed);
        (self.shared.write)(writes).await
    }

    /// Removes the rows of the next call from the queue, highest priority first and at most one for each key.
    ///
    /// Drops writes whose futures are gone and refuses expired ones.
    fn take_group(&self) -> Vec<Queued> {
        let settings = self.shared.settings;
        let now = Instant::now();
        let mut queue = self.lock();
        let mut group = Group::default();
        for waiting in queue.waiting.values_mut() {
            let mut remaining = VecDeque::new();
            while let Some(queued) = waiting.pop_front() {
                if queued.result_sender.is_closed() {
                    continue;
                }
                if queued.request.expires_at.is_some_and(|at| at <= now) {
                    complete(queued, WriteOutcome::Refused);
                } else if let Some(rejected) = group.add(queued, settings) {
                    remaining.push_back(rejected);
                    if group.rows.len() >= settings.max_rows {
                        break;
                    }
                }
            }
            remaining.append(waiting);
            *waiting = remaining;
        }
        group.rows
    }
}

/// Rows of one write call.
#[derive(Default)]
struct Group {
    rows: Vec<Queued>,
    keys: HashSet<RowKey>,
    /// Sum of the values' sizes.
    bytes: usize,
}

impl Group {
    /// Adds a row; returns it if the group is full or already contains the row's key.
    fn add(&mut self, queued: Queued, settings: CommitSettings) -> Option<Queued> {
        let write = &queued.request.write;
        let bytes = match &write.change {
            RowChange::Put(value) => value.len(),
            RowChange::Delete => 0,
        };
        let full = self.rows.len() >= settings.max_rows
            || (!self.rows.is_empty() && self.bytes + bytes > settings.max_bytes);
        if full || !self.keys.insert(write.key.clone()) {
            return Some(queued);
        }
        self.bytes += bytes;
        self.rows.push(queued);
        None
    }
}

/// Sends each row its result and returns the rows that must be retried.
fn complete_group(group: Vec<Queued>, result: WriteResult) -> Vec<Queued> {
    match result {
        WriteResult::TookEffect(versions) => {
            let versions = versions.into_iter().map(|v| WriteOutcome::TookEffect(RowVersion(v)));
            let results = versions.chain(std::iter::repeat(WriteOutcome::Unknown));
            for (queued, result) in group.into_iter().zip(results) {
                complete(queued, result);
            }
            Vec::new()
        }
        WriteResult::Conflict(keys) => complete_conflicts(group, &keys),
        WriteResult::Refused => complete_all(group, WriteOutcome::Refused),
        WriteResult::Unknown => complete_all(group, WriteOutcome::Unknown),
    }
}

/// Handles a call that wrote nothing because the conditions of the rows `keys` failed: reports a conflict to
/// these rows and returns the others for a retry.
///
/// If `keys` contains no row of the group, all rows are reported as refused.
fn complete_conflicts(group: Vec<Queued>, keys: &[RowKey]) -> Vec<Queued> {
    let named = |q: &Queued| keys.contains(&q.request.write.key);
    let (failed, rest) = group.into_iter().partition::<Vec<_>, _>(named);
    if failed.is_empty() {
        return complete_all(rest, WriteOutcome::Refused);
    }
    complete_all(failed, WriteOutcome::Conflict);
    rest
}

/// Sends one result to all rows; returns an empty list, as there is nothing to retry.
fn complete_all(group: Vec<Queued>, result: WriteOutcome) -> Vec<Queued> {
    for queued in group {
        complete(queued, result);
    }
    Vec::new()
}

fn complete(queued: Queued, result: WriteOutcome) {
    // The send fails if the claim has ended and dropped its receiver; nobody needs the result then.
    let _receiver_dropped = queued.result_sender.send(result);
}
