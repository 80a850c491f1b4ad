//! Calls that wait in the instance, by priority and length, and when they are given up on.

use std::{collections::VecDeque, time::Duration};

use crate::{
    plan::Priority,
    units::{CallId, MonoTime},
};

/// Priorities times two lengths.
const CLASSES: usize = 8;

/// Time for which calls must have waited without a pause before waiting ones are shed.
const STANDING_QUEUE_AFTER: Duration = Duration::from_millis(100);

/// Part of the service's objective that a call may wait while the queue stands.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Priority and length of a call; lower numbers go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueClass(usize);

impl QueueClass {
    /// Returns the class of a call: within one priority, short calls pass long ones.
    pub fn new(priority: Priority, is_long: bool) -> Self {
        Self(priority as usize * 2 + usize::from(is_long))
    }

    /// Returns whether its calls are long.
    pub fn is_long(self) -> bool {
        self.0 % 2 == 1
    }

    /// All classes in the order in which they are served.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..CLASSES).map(Self)
    }
}

/// Returns how long a call may wait while the queue stands, or `None` for up to its deadline.
pub fn max_wait(priority: Priority, objective: Duration) -> Option<Duration> {
    let factor = match priority {
        Priority::Critical => return None,
        Priority::High => 4.0,
        Priority::Normal => 1.0,
        Priority::Low => 0.5,
    };
    Some(objective.mul_f64(MAX_WAIT_SHARE * factor))
}

/// Waiting calls of one service.
#[derive(Debug, Default)]
pub struct CallQueue {
    /// May hold calls that no longer wait; they are dropped when they come to the front.
    classes: [VecDeque<CallId>; CLASSES],
    /// Calls that do wait, by class.
    waiting: [usize; CLASSES],
    /// Since when some call has waited at every moment.
    standing_since: Option<MonoTime>,
}

impl CallQueue {
    /// Adds a call at the end, or at the front when it waited before.
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

    /// Returns the first call of a class for which `waits` holds, dropping those before it.
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

    /// Returns the last call of a class for which `waits` holds, dropping those after it.
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

    /// Takes the front call of a class out.
    pub fn pop_front(&mut self, class: QueueClass) {
        if self.classes[class.0].pop_front().is_some() {
            self.record_departure(class);
        }
    }

    /// Notes that a call of a class waits no longer; its place is dropped later.
    pub fn record_departure(&mut self, class: QueueClass) {
        self.waiting[class.0] -= 1;
        if self.is_empty() {
            self.standing_since = None;
        }
    }

    /// Returns the number of calls that wait.
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

    /// Returns when the queue counts as standing if it does not empty before.
    pub fn standing_at(&self) -> Option<MonoTime> {
        self.standing_since.map(|since| since + STANDING_QUEUE_AFTER)
    }

    /// Returns whether calls have waited without a pause for so long that this is no short burst.
    pub fn is_standing(&self, now: MonoTime) -> bool {
        self.standing_at().is_some_and(|at| at <= now)
    }
}
