//! Instances that share the budgets, as far as this one has heard of them.
//!
//! Pure: time is passed in. Too low a count lets the deployment exceed its budgets, so every name counts that was heard of
//! lately, whether its instance can be reached or not.

use std::time::Duration;

use crate::{
    collections::HashMap,
    units::{InstanceId, MonoTime},
};

/// Time for which an instance counts after it was last heard of: longer than restarts and cuts of the network last.
const MEMORY: Duration = Duration::from_mins(10);

/// Instances that are known by name, and the number that others have told.
#[derive(Debug)]
pub struct KnownInstances {
    /// When each instance was last heard of, this one aside.
    heard_at: HashMap<InstanceId, MonoTime>,
    own: InstanceId,
    /// Largest number told by another instance, and when.
    told: (u32, MonoTime),
    /// Rises with each name that was not known.
    revision: u64,
}

impl KnownInstances {
    /// Creates the roster of an instance that has heard of no other.
    pub fn new(own: InstanceId) -> Self {
        Self { heard_at: HashMap::default(), own, told: (0, MonoTime::default()), revision: 0 }
    }

    /// Notes that these instances were heard of.
    pub fn add(&mut self, now: MonoTime, instances: impl IntoIterator<Item = InstanceId>) {
        for instance in instances {
            if instance != self.own && self.heard_at.insert(instance, now).is_none() {
                self.revision += 1;
            }
        }
    }

    /// Takes the number of instances that another one counts.
    pub fn record_reported_count(&mut self, now: MonoTime, instances: u32) {
        let (told, at) = self.told;
        if instances >= told || now.since(at) > MEMORY {
            self.told = (instances, now);
        }
    }

    /// Returns the number of instances that share the budgets; 0 while no other was heard of.
    pub fn count(&mut self, now: MonoTime) -> u32 {
        self.heard_at.retain(|_, at| now.since(*at) <= MEMORY);
        let named = u32::try_from(self.heard_at.len()).unwrap_or(u32::MAX);
        let (told, at) = self.told;
        let told = if now.since(at) <= MEMORY { told } else { 0 };
        if named == 0 { told } else { told.max(named.saturating_add(1)) }
    }

    /// Returns the names that are known, with the own one.
    pub fn names(&self) -> Vec<InstanceId> {
        self.heard_at.keys().chain([&self.own]).cloned().collect()
    }

    /// Returns a number that changes when a name was added.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
