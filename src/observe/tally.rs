//! Ends of calls on their way from the call path to the roll-ups.
//!
//! The call path only appends to one of a few buffers; counting happens when the buffers are drained.

use std::{
    mem,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::{
    error::{ErrorKind, Outcome},
    plan::RequestKind,
    units::ServiceName,
};

/// Buffers; workers rarely meet on the same one.
const SHARDS: usize = 8;

/// Ends that one buffer holds between two drains; further ones are only counted as lost.
const SHARD_CAPACITY: usize = 16_384;

/// How one call ended, for the counts.
#[derive(Debug, Clone)]
pub struct CompletedCall {
    /// Service; none when the request matched no service.
    pub service: Option<ServiceName>,
    /// Kind of request.
    pub kind: RequestKind,
    /// What the caller was told.
    pub outcome: Outcome,
    /// Why, unless the target answered.
    pub cause: Option<ErrorKind>,
    /// Whether the answer was a useful one (a status below 500, in time for the objective).
    pub useful: bool,
    /// Time from the request's arrival to the head of the answer.
    pub latency: Duration,
    /// Part of it spent waiting in the instance's queue.
    pub queue_wait: Duration,
    /// Part of the queue wait during which long requests held slots that the call could have had.
    pub head_of_line: Duration,
}

#[derive(Debug, Default)]
#[repr(align(128))]
struct Shard(Mutex<Vec<CompletedCall>>);

/// Ends of calls that have not been counted yet.
#[derive(Debug)]
pub struct Tally {
    shards: [Shard; SHARDS],
    next: AtomicUsize,
    /// Ends that found their buffer full.
    dropped: AtomicU64,
}

impl Default for Tally {
    fn default() -> Self {
        Self { shards: Default::default(), next: AtomicUsize::new(0), dropped: AtomicU64::new(0) }
    }
}

impl Tally {
    /// Appends the end of a call.
    pub fn record(&self, end: CompletedCall) {
        let shard = &self.shards[self.next.fetch_add(1, Ordering::Relaxed) % SHARDS];
        let mut ends = shard.0.lock().unwrap_or_else(PoisonError::into_inner);
        if ends.len() < SHARD_CAPACITY {
            ends.push(end);
            return;
        }
        drop(ends);
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes all ends recorded since the last drain.
    pub fn drain(&self) -> Vec<CompletedCall> {
        let mut drained = Vec::new();
        for shard in &self.shards {
            let mut ends = shard.0.lock().unwrap_or_else(PoisonError::into_inner);
            let room = ends.len();
            let taken = mem::replace(&mut *ends, Vec::with_capacity(room));
            drop(ends);
            drained.extend(taken);
        }
        drained
    }

    /// Returns how many ends were lost to full buffers since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
