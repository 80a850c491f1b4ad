//! Times at which a pool looks at a call again.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::Attempt;
use crate::units::{CallId, MonoTime};

/// What is due for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// Its deadline, while it waits.
    Deadline,
    /// Its longest wait in a standing queue.
    Wait,
    /// It may go to a target that looks full.
    Patience,
    /// A send is late.
    Late(Attempt),
}

/// One entry of the timers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    /// When.
    pub at: MonoTime,
    /// Call.
    pub call: CallId,
    /// What.
    pub due: Due,
}

/// Timers in time order; entries of calls that are over stay until they come to the top.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
}

impl Timers {
    /// Adds a timer.
    pub fn set(&mut self, at: MonoTime, call: CallId, due: Due) {
        self.heap.push(Reverse(Timer { at, call, due }));
    }

    /// Takes out the first timer that is due.
    pub fn pop(&mut self, now: MonoTime) -> Option<Timer> {
        let first = self.heap.peek().filter(|Reverse(timer)| timer.at <= now);
        first.is_some().then(|| self.heap.pop().map(|Reverse(timer)| timer)).flatten()
    }

    /// Drops entries from the top until one applies.
    pub fn drop_stale(&mut self, applies: impl Fn(&Timer) -> bool) {
        while self.heap.peek().is_some_and(|Reverse(timer)| !applies(timer)) {
            self.heap.pop();
        }
    }

    /// Returns the earliest time.
    pub fn next(&self) -> Option<MonoTime> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }
}
