//! Calls of one instance that wait for a target of one service, in the order in which they are served.
//!
//! More urgent routes go first, and earlier calls among those of one urgency. Calls that have waited in vain for as long as
//! it is of use give up their place, so that serving the oldest first does not make all of them late.

use std::collections::BTreeSet;

use crate::units::MonoTime;

/// Place of one call; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Priority of the route; 0 goes first.
    priority: u32,
    arrived: MonoTime,
    number: u64,
}

/// Calls that wait.
#[derive(Debug, Default)]
pub struct WaitQueue {
    positions: BTreeSet<QueuePosition>,
    joined: u64,
}

impl WaitQueue {
    /// Lets a call wait.
    pub fn join(&mut self, priority: u32, arrived: MonoTime) -> QueuePosition {
        self.joined += 1;
        let position = QueuePosition { priority, arrived, number: self.joined };
        self.positions.insert(position);
        position
    }

    /// Takes a call out.
    pub fn leave(&mut self, position: QueuePosition) {
        self.positions.remove(&position);
    }

    /// Returns how many calls go before one.
    pub fn ahead_of(&self, position: QueuePosition) -> usize {
        self.positions.range(..position).count()
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
