//! The instances that share the budgets, as far as this instance knows them.
//!
//! If the count were too low, the deployment would exceed its budgets. So every instance counts that was
//! mentioned within `RETENTION`, whether it is reachable or not. Does no I/O; callers pass the current time.

use std::time::Duration;

use crate::{
    collections::HashMap,
    units::{InstanceId, MonoTime},
};

/// Time for which an instance counts after it was last mentioned: longer than restarts and network partitions
/// last.
const RETENTION: Duration = Duration::from_mins(10);

/// Instances known by name, and the number of instances that others report.
#[derive(Debug)]
pub struct KnownInstances {
    /// When each instance was last mentioned, without this one.
    last_mentioned: HashMap<InstanceId, MonoTime>,
    own: InstanceId,
    /// Largest number of instances that another instance reported, and when.
    reported: (u32, MonoTime),
    /// Number of times that a new name was added.
    revision: u64,
}

impl KnownInstances {
    /// Creates the table of the instance `own`, which knows no other yet.
    pub fn new(own: InstanceId) -> Self {
        Self { last_mentioned: HashMap::default(), own, reported: (0, MonoTime::default()), revision: 0 }
    }

    /// Records that `instances` were mentioned at `now`.
    pub fn add(&mut self, now: MonoTime, instances: impl IntoIterator<Item = InstanceId>) {
        for instance in instances {
            if instance != self.own && self.last_mentioned.insert(instance, now).is_none() {
                self.revision += 1;
            }
        }
    }

    /// Records how many instances another instance counts, including itself.
    pub fn record_reported_count(&mut self, now: MonoTime, instances: u32) {
        let (reported, at) = self.reported;
        if instances >= reported || now.since(at) > RETENTION {
            self.reported = (instances, now);
        }
    }

    /// Returns the number of instances that share the budgets, including this one; 0 while nothing is known
    /// of other instances.
    pub fn count(&mut self, now: MonoTime) -> u32 {
        self.last_mentioned.retain(|_, at| now.since(*at) <= RETENTION);
        let named = u32::try_from(self.last_mentioned.len()).unwrap_or(u32::MAX);
        let (reported, at) = self.reported;
        let reported = if now.since(at) <= RETENTION { reported } else { 0 };
        if named == 0 { reported } else { reported.max(named.saturating_add(1)) }
    }

    /// Returns all known names, including this instance's own.
    pub fn names(&self) -> Vec<InstanceId> {
        self.last_mentioned.keys().chain([&self.own]).cloned().collect()
    }

    /// Returns a number that changes whenever a new name is added.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
