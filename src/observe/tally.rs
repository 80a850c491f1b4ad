//! Buffer of completed calls between the request path and the roll-ups.
//!
//! To keep the request path fast, it only appends to one of a few shards; the calls are counted when the
//! buffer is drained.

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

/// Number of shards; enough that worker threads rarely contend for the lock of one.
const SHARDS: usize = 8;

/// Maximum number of calls in a shard; further ones are dropped, and only their number is kept.
const SHARD_CAPACITY: usize = 16_384;

/// Result and times of one completed or refused call.
#[derive(Debug, Clone)]
pub struct CompletedCall {
    /// Service of the call; none if the request matched no service.
    pub service: Option<ServiceName>,
    /// Kind of the request according to its route.
    pub kind: RequestKind,
    /// Whether the target ran the request, as reported to the caller.
    pub outcome: Outcome,
    /// Cause of the failure; none if a target answered.
    pub cause: Option<ErrorKind>,
    /// Whether the response counts as good for the objective: status below 500, and begun in time.
    pub useful: bool,
    /// Time from the arrival of the request to the response head.
    pub latency: Duration,
    /// Part of `latency` that the call spent waiting in the instance's queue.
    pub queue_wait: Duration,
    /// Part of `queue_wait` during which long requests occupied slots that the call could have used.
    pub head_of_line: Duration,
}

#[derive(Debug, Default)]
#[repr(align(128))]
struct Shard(Mutex<Vec<CompletedCall>>);

/// Completed calls that have not been counted yet.
#[derive(Debug)]
pub struct Tally {
    shards: [Shard; SHARDS],
    next_shard: AtomicUsize,
    /// Number of calls dropped because their shard was full.
    dropped: AtomicU64,
}

impl Default for Tally {
    fn default() -> Self {
        Self { shards: Default::default(), next_shard: AtomicUsize::new(0), dropped: AtomicU64::new(0) }
    }
}

impl Tally {
    /// Appends a completed call, or drops it if its shard is full.
    pub fn record(&self, call: CompletedCall) {
        let shard = &self.shards[self.next_shard.fetch_add(1, Ordering::Relaxed) % SHARDS];
        let mut calls = shard.0.lock().unwrap_or_else(PoisonError::into_inner);
        if calls.len() < SHARD_CAPACITY {
            calls.push(call);
            return;
        }
        drop(calls);
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes and returns all calls recorded since the last drain.
    pub fn drain(&self) -> Vec<CompletedCall> {
        let mut drained = Vec::new();
        for shard in &self.shards {
            let mut calls = shard.0.lock().unwrap_or_else(PoisonError::into_inner);
            let capacity = calls.len();
            let shard_calls = mem::replace(&mut *calls, Vec::with_capacity(capacity));
            drop(calls);
            drained.extend(shard_calls);
        }
        drained
    }

    /// Returns the number of calls dropped since the start because their shard was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
