//! Queue of calls that wait in the instance, ordered by priority and length, and the rules for refusing
//! them.

use std::{collections::VecDeque, time::Duration};

use crate::{
    plan::Priority,
    units::{CallId, MonoTime},
};

/// Number of classes: four priorities times two lengths.
const CLASSES: usize = 8;

/// Time for which the queue must have been non-empty before it counts as standing and waiting calls are
/// refused.
const STANDING_QUEUE_AFTER: Duration = Duration::from_millis(100);

/// Maximum wait of a normal-priority call in a standing queue, as a share of the service's latency
/// objective.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Priority and length of a call; lower classes are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueClass(usize);

impl QueueClass {
    /// Returns the class of a call: within one priority, short calls are served before long ones.
    pub fn new(priority: Priority, is_long: bool) -> Self {
        Self(priority as usize * 2 + usize::from(is_long))
    }

    /// Returns whether the calls of this class are long.
    pub fn is_long(self) -> bool {
        self.0 % 2 == 1
    }

    /// Returns all classes in the order in which they are served.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..CLASSES).map(Self)
    }
}

/// Returns how long a call may wait in a standing queue, or `None` if it may wait until its deadline.
pub fn max_wait(priority: Priority, objective: Duration) -> Option<Duration> {
    let factor = match priority {
        Priority::Critical => return None,
        Priority::High => 4.0,
        Priority::Normal => 1.0,
        Priority::Low => 0.5,
    };
    Some(objective.mul_f64(MAX_WAIT_SHARE * factor))
}

/// Queue of one service's waiting calls.
#[derive(Debug, Default)]
pub struct CallQueue {
    /// Calls in order, by class. May contain calls that no longer wait; these are removed when they reach an
    /// end of the queue.
    classes: [VecDeque<CallId>; CLASSES],
    /// Number of calls that still wait, by class.
    waiting: [usize; CLASSES],
    /// Time since which the queue has never been empty.
    standing_since: Option<MonoTime>,
}

impl CallQueue {
    /// Adds a call at the back, or at the front if it waits for a retry.
    pub fn push(&mut self, now: MonoTime, class: QueueClass, call: CallId, at_front: bool) {
        let calls = &mut self.classes[class.0];
        if at_front {
            calls.push_front(call);
        } else {
            calls.push_back(call);
        }
        self.waiting[class.0] += 1;
        self.standing_since.get_or_insert(now);
    }

    /// Returns the first call of a class for which `waits` holds, and removes those before it.
    pub fn front(&mut self, class: QueueClass, waits: impl Fn(CallId) -> bool) -> Option<CallId> {
        let calls = &mut self.classes[class.0];
        while let Some(&call) = calls.front() {
            if waits(call) {
                return Some(call);
            }
            calls.pop_front();
        }
        None
    }

    /// Returns the last call of a class for which `waits` holds, and removes those after it.
    pub fn back(&mut self, class: QueueClass, waits: impl Fn(CallId) -> bool) -> Option<CallId> {
        let calls = &mut self.classes[class.0];
        while let Some(&call) = calls.back() {
            if waits(call) {
                return Some(call);
            }
            calls.pop_back();
        }
        None
    }

    /// Removes the first call of a class.
    pub fn pop_front(&mut self, class: QueueClass) {
        if self.classes[class.0].pop_front().is_some() {
            self.record_departure(class);
        }
    }

    /// Records that a call of a class no longer waits; its entry is removed later.
    pub fn record_departure(&mut self, class: QueueClass) {
        self.waiting[class.0] -= 1;
        if self.is_empty() {
            self.standing_since = None;
        }
    }

    /// Returns the number of calls that still wait.
    pub fn len(&self) -> usize {
        self.waiting.iter().sum()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(|n| *n == 0)
    }

    /// Returns the number of calls that are served before a new one of a class.
    pub fn ahead_of(&self, class: QueueClass) -> usize {
        self.waiting[..=class.0].iter().sum()
    }

    /// Returns the number of waiting calls of a class.
    pub fn waiting(&self, class: QueueClass) -> usize {
        self.waiting[class.0]
    }

    /// Returns when the queue becomes standing if it does not empty before; `None` if it is empty.
    pub fn standing_at(&self) -> Option<MonoTime> {
        self.standing_since.map(|since| since + STANDING_QUEUE_AFTER)
    }

    /// Returns whether the queue is standing: it has been non-empty for too long to be a short burst.
    pub fn is_standing(&self, now: MonoTime) -> bool {
        self.standing_at().is_some_and(|at| at <= now)
    }
}
