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
    places: BTreeSet<QueuePosition>,
    entered: u64,
}

impl WaitQueue {
    /// Lets a call wait.
    pub fn join(&mut self, priority: u32, arrived: MonoTime) -> QueuePosition {
        self.entered += 1;
        let place = QueuePosition { priority, arrived, number: self.entered };
        self.places.insert(place);
        place
    }

    /// Takes a call out.
    pub fn leave(&mut self, place: QueuePosition) {
        self.places.remove(&place);
    }

    /// Returns how many calls go before one.
    pub fn ahead_of(&self, place: QueuePosition) -> usize {
        self.places.range(..place).count()
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
