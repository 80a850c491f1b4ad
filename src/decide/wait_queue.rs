//! Order in which the calls of one instance wait for a target of one service.
//!
//! Calls of routes with higher priority come first, and earlier calls among those of equal priority. A call
//! that has waited in vain for as long as it can be useful gives up its position, so that serving the oldest
//! first does not make all calls late.

use std::collections::BTreeSet;

use crate::units::MonoTime;

/// Position of one call in the queue; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Priority of the route; lower numbers are served first.
    priority: u32,
    arrived: MonoTime,
    /// Number of the call in the order of joining; makes positions unique.
    number: u64,
}

/// Positions of the waiting calls.
#[derive(Debug, Default)]
pub struct WaitQueue {
    positions: BTreeSet<QueuePosition>,
    joined: u64,
}

impl WaitQueue {
    /// Adds a call and returns its position.
    pub fn join(&mut self, priority: u32, arrived: MonoTime) -> QueuePosition {
        self.joined += 1;
        let position = QueuePosition { priority, arrived, number: self.joined };
        self.positions.insert(position);
        position
    }

    /// Removes a call.
    pub fn leave(&mut self, position: QueuePosition) {
        self.positions.remove(&position);
    }

    /// Returns the number of calls that are served before the one at `position`.
    pub fn ahead_of(&self, position: QueuePosition) -> usize {
        self.positions.range(..position).count()
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
