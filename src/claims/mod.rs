//! At most once: drives the claims of this instance's callers over the table service.
//!
//! The rules are those of [`crate::decide::claim`]; this is the edge. Writes of all claims are committed in
//! groups ([`commit`]); settled rows are removed by a sweep after their retention ([`sweep`]).
//!
//! Lock order: one of the watched keys, the commit queue and the hours at a time; no lock is held across an
//! await.

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
    drive::{Drive, DriveSpec, Input},
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

/// Calls of an instance that may wait for their claim; bookings and charges may take all of it.
const MAX_WAITING: usize = 2_048;

/// Calls of lower priority that may wait.
const MAX_WAITING_OTHERS: usize = MAX_WAITING / 2;

/// Part of the instance's share of writes at which calls are spaced; the rest absorbs bursts, retries and what
/// other purposes have reserved.
const PACED_PART: f64 = 0.75;

/// Pause before the count of hours is read again.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// One call that wants to run at most once.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Service, which scopes the key.
    pub service: ServiceName,
    /// `Idempotency-Key`.
    pub key: String,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Who goes first.
    pub priority: Priority,
    /// Point by which the send must have begun.
    pub deadline: MonoTime,
    /// Whether the caller says that it sent this key before.
    pub repeated: bool,
}

/// How the one send ended, as evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// The target answered whole.
    Answered(BufferedAnswer),
    /// Provably nothing reached a target.
    Unsent(ErrorKind),
    /// It may have reached a target.
    MaybeSent(ErrorKind),
}

/// What came of a try to claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// Send the request, once.
    Acquired(SendPermit),
    /// It ran before; this was the answer.
    Stored(StoredAnswer),
    /// Do not send; tell the caller this.
    Refused(ErrorKind),
}

/// The right to send one request once.
///
/// Dropped without an end, it counts as unsent before [`SendPermit::begin`] and as maybe sent after it.
#[derive(Debug)]
pub struct SendPermit {
    sender: mpsc::UnboundedSender<Input>,
    clock: Clock,
    deadline: MonoTime,
    begun: bool,
    ended: bool,
}

impl SendPermit {
    fn new(sender: mpsc::UnboundedSender<Input>, clock: Clock, deadline: MonoTime) -> Self {
        Self { sender, clock, deadline, begun: false, ended: false }
    }

    /// Returns whether there is still time to send; call it right before the send.
    pub fn begin(&mut self) -> bool {
        self.begun = self.clock.now() < self.deadline;
        self.begun
    }

    /// Records how the send ended; the row is written in the background.
    pub fn end(mut self, end: SendResult) {
        self.report(end);
    }

    fn report(&mut self, end: SendResult) {
        if !self.ended {
            self.ended = true;
            // The claim outlives every holder.
            let _received = self.sender.send(Input::RunEnded(end));
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
    hours: HourCounterCache,
    /// Keys with claims on this instance, with their number, notified when one of them ends.
    watched: Mutex<HashMap<RowKey, (usize, Arc<Notify>)>>,
    waiting: AtomicUsize,
}

impl Shared {
    fn watch(&self, key: &RowKey) -> Arc<Notify> {
        let mut watched = self.watched.lock().unwrap_or_else(PoisonError::into_inner);
        let (count, notify) = watched.entry(key.clone()).or_default();
        *count += 1;
        Arc::clone(notify)
    }

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

/// Claims of one instance.
#[derive(Debug)]
pub struct Claims {
    shared: Arc<Shared>,
    run_id: RunId,
    last_claim: AtomicU64,
}

/// Tells a claim that its caller left, unless the caller got its answer.
struct CallerGuard {
    sender: mpsc::UnboundedSender<Input>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        // A claim that has finished no longer listens.
        let _finished = self.sender.send(Input::CallerGone);
    }
}

/// One call among those that wait.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Claims {
    /// Creates claims over a table.
    pub fn new(platform: Platform, run_id: RunId, clock: Clock) -> Self {
        Self::with_settings(platform, run_id, clock, CommitSettings::default())
    }

    /// Creates claims whose writes are grouped as stated.
    pub fn with_settings(platform: Platform, run_id: RunId, clock: Clock, settings: CommitSettings) -> Self {
        let shared = Shared {
            commit: GroupCommit::new(Arc::clone(&platform.write), settings),
            hours: HourCounterCache::new(clock),
            platform,
            clock,
            watched: Mutex::default(),
            waiting: AtomicUsize::new(0),
        };
        Self { shared: Arc::new(shared), run_id, last_claim: AtomicU64::new(0) }
    }

    /// Follows the budgets of a new plan.
    pub fn apply_budgets(&self, budgets: &Budgets) {
        let share_per_s = f64::from(budgets.store_writes_per_s) / f64::from(budgets.max_instances.max(1));
        self.shared.commit.set_rate(share_per_s * PACED_PART);
    }

    /// Claims a key; `work` is kept until the key's row is settled.
    ///
    /// Dropping the future means that the caller left: nothing is sent unless the claim was won before.
    pub async fn claim(&self, request: ClaimRequest, work: impl Send + 'static) -> ClaimResult {
        let Some(_waiting) = self.enter(request.priority) else {
            return ClaimResult::Refused(not_claimed(&request, ErrorKind::Overloaded));
        };
        let Some(written_hour) = self.hour(request.deadline).await else {
            return ClaimResult::Refused(not_claimed(&request, ErrorKind::StoreUnavailable));
        };
        let (verdict, decided) = oneshot::channel();
        let number = self.last_claim.fetch_add(1, Ordering::Relaxed) + 1;
        let claim = ClaimSpec {
            token: ClaimToken { run: self.run_id, number },
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            repeated: request.repeated,
            written_hour,
        };
        let key = row_key(&request.service, &request.key);
        let spec = DriveSpec { claim, key, priority: request.priority, verdict };
        let (drive, sender) = Drive::new(Arc::clone(&self.shared), spec);
        let _caller = CallerGuard { sender };
        tokio::spawn(async move {
            drive.run().await;
            drop(work);
        });
        // Only a panic of the claim drops the verdict; nothing was sent then, and its row tells of it.
        decided.await.unwrap_or(ClaimResult::Refused(ErrorKind::KeyUnsettled))
    }

    /// Reads a stored answer whole, from the object store if need be.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::KeyUnsettled`] when it can't be read by the deadline: it ran, but not even its status can
    /// be told without its body.
    pub async fn fetch(&self, stored: StoredAnswer, deadline: MonoTime) -> Result<BufferedAnswer, ErrorKind> {
        let deadline = self.shared.clock.instant(deadline);
        let fetched = answer::fetch(&self.shared.platform, stored);
        let fetched = tokio::time::timeout_at(deadline, fetched).await;
        fetched.ok().flatten().ok_or(ErrorKind::KeyUnsettled)
    }

    /// Returns write calls and rows since the start.
    pub fn commit_counts(&self) -> CommitCounts {
        self.shared.commit.counts()
    }

    fn enter(&self, priority: Priority) -> Option<Waiting<'_>> {
        let limit = if priority == Priority::Critical { MAX_WAITING } else { MAX_WAITING_OTHERS };
        let waiting = Waiting(&self.shared.waiting);
        let before = self.shared.waiting.fetch_add(1, Ordering::AcqRel);
        (before < limit).then_some(waiting)
    }

    /// Returns the table's count of hours, read again until the deadline if the last reading is old.
    async fn hour(&self, deadline: MonoTime) -> Option<u64> {
        loop {
            if let Some(hour) = self.shared.hours.current() {
                return Some(hour);
            }
            if self.shared.clock.now() >= deadline {
                return None;
            }
            let read = self.shared.hours.refresh(&self.shared.platform);
            if !matches!(tokio::time::timeout_at(self.shared.clock.instant(deadline), read).await, Ok(Ok(_)))
            {
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// A repeated key may have run before, which only its row tells.
fn not_claimed(request: &ClaimRequest, kind: ErrorKind) -> ErrorKind {
    if request.repeated { ErrorKind::KeyUnsettled } else { kind }
}

/// Bits of a key's digest that spread the rows of a service over buckets, as hexadecimal digits.
const BUCKET_DIGITS: usize = 4;

/// Returns the key of the row that holds the claim on `key`.
pub fn row_key(service: &ServiceName, key: &str) -> RowKey {
    let digest = answer::hex(&Sha256::digest(key.as_bytes())[..BUCKET_DIGITS / 2]);
    RowKey(format!("{}{key}", bucket_prefix(service, &digest)))
}

fn bucket_prefix(service: &ServiceName, bucket: &str) -> String {
    format!("claim/{service}/{bucket}/")
}
