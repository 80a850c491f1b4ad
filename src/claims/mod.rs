//! At-most-once requests: acquires claims on idempotency keys in the table service.
//!
//! A claim is a table row that gives one call the exclusive right to send the request with an idempotency
//! key. The state machine of a claim is [`crate::decide::claim`]; this module performs its input and output.
//! The row writes of all claims share group commits ([`commit`]), and a periodic sweep removes settled rows
//! after their retention period ([`sweep`]).
//!
//! Locks: at most one of the watched keys, the commit queue and the hour counter is locked at a time, and no
//! lock is held across an await.

pub mod answer;
pub mod commit;
mod drive;
pub mod hour_counter;
mod pacer;
pub mod sweep;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use sha2::{Digest, Sha256};
use tokio::sync::{Notify, mpsc, oneshot};

pub use self::answer::BufferedAnswer;
use self::{
    commit::{CommitCounts, CommitSettings, GroupCommit},
    drive::{ClaimDriver, ClaimDriverSpec, ClaimInput},
    hour_counter::HourCounterCache,
};
use crate::{
    collections::HashMap,
    decide::claim::{ClaimSpec, ClaimToken, Fingerprint, StoredAnswer},
    error::ErrorKind,
    kernel::clock::Clock,
    plan::{Budgets, Priority},
    store::{Platform, RowKey},
    units::{MonoTime, RunId, ServiceName},
};

/// Maximum number of calls that wait for their claim on this instance. Only calls of critical priority may
/// use all of it.
const MAX_WAITING: usize = 2_048;

/// Number of waiting calls from which on calls below critical priority are refused.
const MAX_WAITING_NON_CRITICAL: usize = MAX_WAITING / 2;

/// Fraction of the instance's share of the write budget at which write calls are paced. The rest absorbs
/// bursts, retries and writes reserved for other purposes.
const PACED_FRACTION: f64 = 0.75;

/// Delay before a failed read of the hour counter is retried.
const HOUR_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Request of a caller that may be sent to a target at most once.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Service of the request; keys of different services are independent.
    pub service: ServiceName,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Digest of method, path and body, which detects a key that is reused for another request.
    pub fingerprint: Fingerprint,
    /// Priority of the call, which orders its row writes.
    pub priority: Priority,
    /// Time by which the send to a target must have begun.
    pub deadline: MonoTime,
    /// Whether the caller states that it has sent this key before.
    pub repeated: bool,
}

/// How the send to a target ended, as reported by the holder of the [`SendPermit`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// The target sent a complete answer.
    Answered(BufferedAnswer),
    /// No part of the request reached a target.
    Unsent(ErrorKind),
    /// The request may have reached a target, but there is no complete answer.
    MaybeSent(ErrorKind),
}

/// Result of [`Claims::claim`].
#[derive(Debug)]
pub enum ClaimResult {
    /// The claim is acquired; the request may be sent once.
    Acquired(SendPermit),
    /// The request was executed earlier; this is its stored answer.
    Stored(StoredAnswer),
    /// The request must not be sent; the caller gets this error.
    Refused(ErrorKind),
}

/// Permission to send one request once.
///
/// A permit that is dropped without [`SendPermit::end`] is reported as unsent if [`SendPermit::begin`] did
/// not return true, and as possibly sent otherwise.
#[derive(Debug)]
pub struct SendPermit {
    inputs: mpsc::UnboundedSender<ClaimInput>,
    clock: Clock,
    deadline: MonoTime,
    begun: bool,
    ended: bool,
}

impl SendPermit {
    fn new(inputs: mpsc::UnboundedSender<ClaimInput>, clock: Clock, deadline: MonoTime) -> Self {
        Self { inputs, clock, deadline, begun: false, ended: false }
    }

    /// Marks the send as begun unless the deadline has passed; returns whether the request may be sent.
    ///
    /// Call it immediately before the send.
    pub fn begin(&mut self) -> bool {
        self.begun = self.clock.now() < self.deadline;
        self.begun
    }

    /// Reports how the send ended; the claim's row is written in the background.
    pub fn end(mut self, end: SendResult) {
        self.report(end);
    }

    fn report(&mut self, end: SendResult) {
        if !self.ended {
            self.ended = true;
            // The receiver exists: a claim does not finish before its permit has reported the end.
            let _received = self.inputs.send(ClaimInput::SendEnded(end));
        }
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        self.report(if self.begun {
            SendResult::MaybeSent(ErrorKind::ConnectionLost)
        } else {
            SendResult::Unsent(ErrorKind::Unsent)
        });
    }
}

/// State shared by the claims of one instance.
#[derive(Debug)]
struct Shared {
    platform: Platform,
    commit: GroupCommit,
    clock: Clock,
    hour_counter: HourCounterCache,
    /// For each key the number of this instance's running claims on it, and the notification that one of them
    /// has finished.
    watched: Mutex<HashMap<RowKey, (usize, Arc<Notify>)>>,
    /// Number of calls that wait for their claim.
    waiting: AtomicUsize,
}

impl Shared {
    /// Registers a claim on a key; the returned notification fires when another claim on the key finishes.
    fn watch(&self, key: &RowKey) -> Arc<Notify> {
        let mut watched = self.watched.lock().unwrap_or_else(PoisonError::into_inner);
        let (count, notify) = watched.entry(key.clone()).or_default();
        *count += 1;
        Arc::clone(notify)
    }

    /// Removes a finished claim on a key and notifies the key's other claims.
    fn unwatch(&self, key: &RowKey) {
        let mut watched = self.watched.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((count, notify)) = watched.get_mut(key) {
            *count -= 1;
            notify.notify_waiters();
            if *count == 0 {
                watched.remove(key);
            }
        }
    }
}

/// Acquires the claims of one instance.
#[derive(Debug)]
pub struct Claims {
    shared: Arc<Shared>,
    run_id: RunId,
    /// Number of the latest claim; part of the claim's token.
    last_claim: AtomicU64,
}

/// Reports to a claim that its caller no longer waits. The claim ignores this once it has sent its result.
struct CallerGuard {
    inputs: mpsc::UnboundedSender<ClaimInput>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        // The send fails if the claim has finished.
        let _claim_finished = self.inputs.send(ClaimInput::CallerDisconnected);
    }
}

/// Counts one call as waiting for its claim until dropped.
struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Claims {
    /// Creates the claims of the process run `run_id`, with default group commit settings.
    pub fn new(platform: Platform, run_id: RunId, clock: Clock) -> Self {
        Self::with_settings(platform, run_id, clock, CommitSettings::default())
    }

    /// Creates the claims of the process run `run_id`, with the given group commit settings.
    pub fn with_settings(platform: Platform, run_id: RunId, clock: Clock, settings: CommitSettings) -> Self {
        let shared = Shared {
            commit: GroupCommit::new(Arc::clone(&platform.write), settings),
            hour_counter: HourCounterCache::new(clock),
            platform,
            clock,
            watched: Mutex::default(),
            waiting: AtomicUsize::new(0),
        };
        Self { shared: Arc::new(shared), run_id, last_claim: AtomicU64::new(0) }
    }

    /// Sets the pacing of writes from the budgets of a new plan.
    pub fn apply_budgets(&self, budgets: &Budgets) {
        let share_per_s = f64::from(budgets.store_writes_per_s) / f64::from(budgets.max_instances.max(1));
        self.shared.commit.set_rate(share_per_s * PACED_FRACTION);
    }

    /// Acquires the claim on a key, or returns why the request must not be sent.
    ///
    /// `guard` is dropped when the claim has finished with its row, which may be long after the result. It
    /// can count the request as in progress, so that the instance does not shut down before.
    ///
    /// Dropping the future means that the caller disconnected: the request is not sent unless the claim had
    /// been acquired before.
    pub async fn claim(&self, request: ClaimRequest, guard: impl Send + 'static) -> ClaimResult {
        let Some(_waiting) = self.admit(request.priority) else {
            return ClaimResult::Refused(not_claimed(&request, ErrorKind::Overloaded));
        };
        let Some(written_hour) = self.current_hour(request.deadline).await else {
            return ClaimResult::Refused(not_claimed(&request, ErrorKind::StoreUnavailable));
        };
        let (result_sender, result) = oneshot::channel();
        let number = self.last_claim.fetch_add(1, Ordering::Relaxed) + 1;
        let claim = ClaimSpec {
            token: ClaimToken { run: self.run_id, number },
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            repeated: request.repeated,
            written_hour,
        };
        let key = row_key(&request.service, &request.key);
        let spec = ClaimDriverSpec { claim, key, priority: request.priority, result_sender };
        let (driver, inputs) = ClaimDriver::new(Arc::clone(&self.shared), spec);
        let _caller = CallerGuard { inputs };
        tokio::spawn(async move {
            driver.run().await;
            drop(guard);
        });
        // The sender is dropped without a result only if the claim's task panics. Nothing was sent then, but
        // the row may be open.
        result.await.unwrap_or(ClaimResult::Refused(ErrorKind::KeyUnsettled))
    }

    /// Loads the complete body of a stored answer, from the object store if it is not in the row.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::KeyUnsettled`] if the body cannot be read by the deadline. The request was executed, but
    /// its status cannot be sent without the body.
    pub async fn fetch(&self, stored: StoredAnswer, deadline: MonoTime) -> Result<BufferedAnswer, ErrorKind> {
        let deadline = self.shared.clock.instant(deadline);
        let fetched = answer::fetch(&self.shared.platform, stored);
        let fetched = tokio::time::timeout_at(deadline, fetched).await;
        fetched.ok().flatten().ok_or(ErrorKind::KeyUnsettled)
    }

    /// Returns the number of write calls and rows since the start of the process.
    pub fn commit_counts(&self) -> CommitCounts {
        self.shared.commit.counts()
    }

    /// Counts a call as waiting; `None` if too many calls of its priority wait already.
    fn admit(&self, priority: Priority) -> Option<WaitingGuard<'_>> {
        let limit = if priority == Priority::Critical { MAX_WAITING } else { MAX_WAITING_NON_CRITICAL };
        let waiting = WaitingGuard(&self.shared.waiting);
        let before = self.shared.waiting.fetch_add(1, Ordering::AcqRel);
        (before < limit).then_some(waiting)
    }

    /// Returns the value of the hour counter. If the cached reading is too old, reads it again until the
    /// deadline; `None` if no read succeeds by then.
    async fn current_hour(&self, deadline: MonoTime) -> Option<u64> {
        loop {
            if let Some(hour) = self.shared.hour_counter.current() {
                return Some(hour);
            }
            if self.shared.clock.now() >= deadline {
                return None;
            }
            let read = self.shared.hour_counter.refresh(&self.shared.platform);
            if !matches!(tokio::time::timeout_at(self.shared.clock.instant(deadline), read).await, Ok(Ok(_)))
            {
                tokio::time::sleep(HOUR_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the error for a request whose row was not read.
///
/// A repeated key may have been executed before, which only its row can rule out, so the caller must not be
/// told that the request did not run.
fn not_claimed(request: &ClaimRequest, kind: ErrorKind) -> ErrorKind {
    if request.repeated { ErrorKind::KeyUnsettled } else { kind }
}

/// Length of the bucket in a row key, in hexadecimal digits of the idempotency key's digest. Buckets divide
/// the rows of a service into parts that the sweep scans one at a time.
const BUCKET_DIGITS: usize = 4;

/// Returns the key of the row that contains the claim on the idempotency key `key` of a service.
pub fn row_key(service: &ServiceName, key: &str) -> RowKey {
    let digest = answer::hex(&Sha256::digest(key.as_bytes())[..BUCKET_DIGITS / 2]);
    RowKey(format!("{}{key}", bucket_prefix(service, &digest)))
}

fn bucket_prefix(service: &ServiceName, bucket: &str) -> String {
    format!("claim/{service}/{bucket}/")
}
