//! Group commit: conditional writes of single rows, several in one write call.
//!
//! Every claim has a row of its own, so groups of different instances meet on a row only when their callers
//! use one key at once. A call takes effect whole or not at all: rows whose conditions fail are told so and
//! the rest is tried again.
//!
//! While fewer than [`CommitSettings::max_in_flight`] calls are in progress, a group leaves after at most
//! [`CommitSettings::batch_delay`]; otherwise rows wait for the next one, so groups grow with the load. Calls are
//! spaced once the instance has spent most of its share, so that no row waits for a whole window to pass.

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

/// How rows are grouped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitSettings {
    /// Rows of one call; 1 turns grouping off.
    pub max_rows: usize,
    /// Bytes of values in one call, unless one row alone is larger.
    pub max_bytes: usize,
    /// Calls in progress at once, waiting for the instance's share included.
    pub max_in_flight: usize,
    /// Time that a group waits for more rows while another call is in progress.
    pub batch_delay: Duration,
}

impl Default for CommitSettings {
    fn default() -> Self {
        Self { max_rows: 64, max_bytes: 256 << 10, max_in_flight: 2, batch_delay: Duration::from_millis(2) }
    }
}

/// One row to write.
#[derive(Debug)]
pub struct WriteRequest {
    /// What to write.
    pub write: RowWrite,
    /// Who goes first.
    pub priority: Priority,
    /// Time after which the write is refused instead of sent.
    pub expires_at: Option<Instant>,
}

/// Write calls and rows since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommitCounts {
    /// Write calls.
    pub calls: u64,
    /// Rows in them; a row that is tried again counts again.
    pub rows: u64,
}

#[derive(Debug)]
struct Queued {
    entry: WriteRequest,
    reply: oneshot::Sender<WriteOutcome>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeMap<Priority, VecDeque<Queued>>,
    /// Calls in progress or about to be.
    calls: usize,
    pace: Pacer,
}

struct Shared {
    write: DriverFn<Vec<RowWrite>, WriteResult>,
    settings: CommitSettings,
    queue: Mutex<Queue>,
    calls: AtomicU64,
    rows: AtomicU64,
}

/// Queue of row writes of one instance.
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
    /// Creates an empty queue before a driver's write function.
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

    /// Returns the calls and rows counted.
    pub fn counts(&self) -> CommitCounts {
        CommitCounts {
            calls: self.shared.calls.load(Ordering::Relaxed),
            rows: self.shared.rows.load(Ordering::Relaxed),
        }
    }

    /// Spaces calls for a rate; without one they are not spaced.
    pub fn set_rate(&self, calls_per_s: f64) {
        self.lock().pace.set_rate(calls_per_s);
    }

    /// Writes one row; a write whose future is dropped before it was sent is not sent.
    pub async fn write(&self, entry: WriteRequest) -> WriteOutcome {
        let (reply, replied) = oneshot::channel();
        let queued = Queued { entry, reply };
        let priority = queued.entry.priority;
        self.lock().waiting.entry(priority).or_default().push_back(queued);
        self.start_calls();
        replied.await.unwrap_or(WriteOutcome::Unknown)
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.shared.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a call if rows wait and one more may be in progress.
    fn start_calls(&self) {
        let mut queue = self.lock();
        let waiting = queue.waiting.values().any(|q| !q.is_empty());
        if waiting && queue.calls < self.shared.settings.max_in_flight {
            let batch_delay =
                if queue.calls == 0 { Duration::ZERO } else { self.shared.settings.batch_delay };
            let batch_delay = batch_delay.max(queue.pace.reserve(Instant::now()));
            queue.calls += 1;
            tokio::spawn(self.clone().call(batch_delay));
        }
    }

    async fn call(self, batch_delay: Duration) {
        if !batch_delay.is_zero() {
            tokio::time::sleep(batch_delay).await;
        }
        let mut group = self.take_group();
        while !group.is_empty() {
            let result = self.write_group(&group).await;
            group = reply(group, result);
        }
        self.lock().calls -= 1;
        self.start_calls();
    }

    async fn write_group(&self, group: &[Queued]) -> WriteResult {
        let writes = group.iter().map(|q| q.entry.write.clone()).collect::<Vec<_>>();
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        self.shared.rows.fetch_add(writes.len() as u64, Ordering::Relaxed);
        (self.shared.write)(writes).await
    }

    /// Takes rows by priority, each key once.
    fn take_group(&self) -> Vec<Queued> {
        let settings = self.shared.settings;
        let now = Instant::now();
        let mut queue = self.lock();
        let mut group = Group::default();
        for waiting in queue.waiting.values_mut() {
            let mut left = VecDeque::new();
            while let Some(queued) = waiting.pop_front() {
                if queued.reply.is_closed() {
                    continue;
                }
                if queued.entry.expires_at.is_some_and(|at| at <= now) {
                    tell(queued, WriteOutcome::Refused);
                } else if let Some(refused) = group.add(queued, settings) {
                    left.push_back(refused);
                    if group.rows.len() >= settings.max_rows {
                        break;
                    }
                }
            }
            left.append(waiting);
            *waiting = left;
        }
        group.rows
    }
}

#[derive(Default)]
struct Group {
    rows: Vec<Queued>,
    keys: HashSet<RowKey>,
    bytes: usize,
}

impl Group {
    /// Adds a row, or gives it back when the group is full or has its key already.
    fn add(&mut self, queued: Queued, settings: CommitSettings) -> Option<Queued> {
        let write = &queued.entry.write;
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

/// Tells each row its result; returns the rows to try again.
fn reply(group: Vec<Queued>, result: WriteResult) -> Vec<Queued> {
    match result {
        WriteResult::TookEffect(versions) => {
            let versions = versions.into_iter().map(|v| WriteOutcome::TookEffect(RowVersion(v)));
            let told = versions.chain(std::iter::repeat(WriteOutcome::Unknown));
            for (queued, result) in group.into_iter().zip(told) {
                tell(queued, result);
            }
            Vec::new()
        }
        WriteResult::Conflict(keys) => reply_conflict(group, &keys),
        WriteResult::Refused => tell_all(group, WriteOutcome::Refused),
        WriteResult::Unknown => tell_all(group, WriteOutcome::Unknown),
    }
}

/// Nothing was written; the rows that the table did not name are tried again.
fn reply_conflict(group: Vec<Queued>, keys: &[RowKey]) -> Vec<Queued> {
    let named = |q: &Queued| keys.contains(&q.entry.write.key);
    let (failed, rest) = group.into_iter().partition::<Vec<_>, _>(named);
    if failed.is_empty() {
        return tell_all(rest, WriteOutcome::Refused);
    }
    tell_all(failed, WriteOutcome::Conflict);
    rest
}

fn tell_all(group: Vec<Queued>, result: WriteOutcome) -> Vec<Queued> {
    for queued in group {
        tell(queued, result);
    }
    Vec::new()
}

fn tell(queued: Queued, result: WriteOutcome) {
    // A claim that ended meanwhile no longer listens.
    let _ended = queued.reply.send(result);
}
