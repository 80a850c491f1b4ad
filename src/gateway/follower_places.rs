//! Places of the followers of one instance, from which the phases of their permits follow.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Numbers in use, from 1; 0 is this instance itself.
#[derive(Debug, Default)]
pub struct FollowerPlaces {
    numbers: Mutex<BTreeSet<u32>>,
}

impl FollowerPlaces {
    /// Takes the lowest free number for a follower.
    pub fn take(self: &Arc<Self>) -> FollowerPlace {
        let mut numbers = self.lock();
        let number = (1..=u32::MAX).find(|number| !numbers.contains(number)).unwrap_or(u32::MAX);
        numbers.insert(number);
        drop(numbers);
        FollowerPlace { places: Arc::clone(self), number }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.numbers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of one follower; free again when dropped.
#[derive(Debug)]
pub struct FollowerPlace {
    places: Arc<FollowerPlaces>,
    number: u32,
}

impl FollowerPlace {
    /// Returns the place among this instance and its followers, which are spread evenly from 0 to 1.
    pub fn share(&self) -> f64 {
        let highest = self.places.lock().last().copied().unwrap_or(self.number);
        f64::from(self.number) / (f64::from(highest) + 1.0)
    }
}

impl Drop for FollowerPlace {
    fn drop(&mut self) {
        self.places.lock().remove(&self.number);
    }
}
