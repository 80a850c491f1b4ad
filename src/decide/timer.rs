//! Times at which a pool looks at a call again.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::Attempt;
use crate::units::{CallId, MonoTime};

/// What is due for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// Its deadline, while it waits.
    Deadline,
    /// Its longest wait in a standing queue.
    MaxWait,
    /// It may go to a target that looks full.
    Overcommit,
    /// A send is late.
    LateAttempt(Attempt),
}

/// One entry of the timers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    /// When.
    pub at: MonoTime,
    /// Call.
    pub call: CallId,
    /// What.
    pub kind: TimerKind,
}

/// Timers in time order; entries of calls that are over stay until they come to the top.
#[derive(Debug, Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<Timer>>,
}

impl TimerQueue {
    /// Adds a timer.
    pub fn set(&mut self, at: MonoTime, call: CallId, kind: TimerKind) {
        self.heap.push(Reverse(Timer { at, call, kind }));
    }

    /// Takes out the first timer that is due.
    pub fn pop(&mut self, now: MonoTime) -> Option<Timer> {
        let first = self.heap.peek().filter(|Reverse(timer)| timer.at <= now);
        first.is_some().then(|| self.heap.pop().map(|Reverse(timer)| timer)).flatten()
    }

    /// Drops entries from the top until one applies.
    pub fn drop_stale(&mut self, is_current: impl Fn(&Timer) -> bool) {
        while self.heap.peek().is_some_and(|Reverse(timer)| !is_current(timer)) {
            self.heap.pop();
        }
    }

    /// Returns the earliest time.
    pub fn next_at(&self) -> Option<MonoTime> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }
}
