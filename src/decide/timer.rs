//! Timers of a pool's calls.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::Attempt;
use crate::units::{CallId, MonoTime};

/// What happens when a timer of a call expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// The deadline of a waiting call has come.
    Deadline,
    /// The call has waited for as long as it may in a standing queue.
    MaxWait,
    /// The call may be sent to a target that looks full.
    Overcommit,
    /// An attempt has no response yet, although nearly all of its route's attempts would have one by now.
    LateAttempt(Attempt),
}

/// One timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    /// When it expires.
    pub at: MonoTime,
    /// Call that it belongs to.
    pub call: CallId,
    /// What happens then.
    pub kind: TimerKind,
}

/// Timers ordered by time. A timer of a finished call is removed only when it comes first.
#[derive(Debug, Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<Timer>>,
}

impl TimerQueue {
    /// Adds a timer.
    pub fn set(&mut self, at: MonoTime, call: CallId, kind: TimerKind) {
        self.heap.push(Reverse(Timer { at, call, kind }));
    }

    /// Removes and returns the first timer if it has expired.
    pub fn pop(&mut self, now: MonoTime) -> Option<Timer> {
        let first = self.heap.peek().filter(|Reverse(timer)| timer.at <= now);
        first.is_some().then(|| self.heap.pop().map(|Reverse(timer)| timer)).flatten()
    }

    /// Removes timers from the front until one is current.
    pub fn drop_stale(&mut self, is_current: impl Fn(&Timer) -> bool) {
        while self.heap.peek().is_some_and(|Reverse(timer)| !is_current(timer)) {
            self.heap.pop();
        }
    }

    /// Returns when the first timer expires.
    pub fn next_at(&self) -> Option<MonoTime> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }
}
