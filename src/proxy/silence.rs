//! When a reused connection counts as silent for good.
//!
//! A connection that lost its way between the two ends looks like a slow target. An idempotent request on a
//! reused connection is reported as lost after a fraction of its remaining time, so that the pool may send it
//! again, on a new connection; the silent one is still listened to until another answers. Routes whose answers
//! usually take a good part of that time get a new connection from the start.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use super::connection::ReusePolicy;
use crate::{collections::HashMap, decide::RouteKey, units::ServiceName};

/// Part of a call's remaining time that a reused connection may be silent.
const SILENT_PART: u32 = 4;

/// Longest silence of a reused connection.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// A reused connection is good enough when the usual answer takes less than this part of the silence.
const USUAL_PART: u32 = 4;

/// Weight of one answer in the usual time is one over this.
const LEARNING_PART: u32 = 8;

/// Returns how long a reused connection may be silent after a request.
pub fn limit(remaining: Duration) -> Duration {
    (remaining / SILENT_PART).min(MAX_SILENCE)
}

/// Chooses a connection for an idempotent request by the usual time of its route.
pub fn freshness(usual: Duration, remaining: Duration) -> ReusePolicy {
    if usual < limit(remaining) / USUAL_PART { ReusePolicy::AnyIdle } else { ReusePolicy::NewOnly }
}

/// Usual time from a request to the head of its answer, by route.
#[derive(Debug, Default)]
pub struct HeadTimes {
    usual: Mutex<HashMap<ServiceName, HashMap<RouteKey, Duration>>>,
}

impl HeadTimes {
    /// Takes the time of one answer into the average of its route.
    pub fn learn(&self, service: &ServiceName, route: RouteKey, took: Duration) {
        let mut usual = self.usual.lock().unwrap_or_else(PoisonError::into_inner);
        if !usual.contains_key(service) {
            usual.insert(service.clone(), HashMap::default());
        }
        let Some(routes) = usual.get_mut(service) else { return };
        let known = routes.entry(route).or_insert(took);
        *known = (*known * (LEARNING_PART - 1) + took) / LEARNING_PART;
    }

    /// Returns the usual time of a route, zero when it is not known.
    pub fn usual(&self, service: &ServiceName, route: RouteKey) -> Duration {
        let usual = self.usual.lock().unwrap_or_else(PoisonError::into_inner);
        usual.get(service).and_then(|routes| routes.get(&route)).copied().unwrap_or_default()
    }
}
