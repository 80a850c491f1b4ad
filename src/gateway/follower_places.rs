//! Places of the followers of one instance, from which the phases of their permits follow.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Fractional part of the golden ratio. Its successive multiples spread evenly over the fractions.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

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
    /// Returns the phase of this follower, from 0 to 1; 0 is that of the instance itself. The phases of any run of
    /// successive numbers are spread evenly, so that they need not change when further followers come.
    pub fn phase(&self) -> f64 {
        (f64::from(self.number) * GOLDEN_FRACTION).fract()
    }
}

impl Drop for FollowerPlace {
    fn drop(&mut self) {
        self.places.lock().remove(&self.number);
    }
}
