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
const SUSPECT_DIVISOR: u32 = 4;

/// Longest stale_connection of a reused connection.
const MAX_SUSPECT_DELAY: Duration = Duration::from_millis(500);

/// A reused connection is good enough when the average answer takes less than this part of the stale_connection.
const FAST_ROUTE_DIVISOR: u32 = 4;

/// Weight of one answer in the average time is one over this.
const AVERAGE_WEIGHT_DIVISOR: u32 = 8;

/// Returns how long a reused connection may be silent after a request.
pub fn suspect_after(remaining: Duration) -> Duration {
    (remaining / SUSPECT_DIVISOR).min(MAX_SUSPECT_DELAY)
}

/// Chooses a connection for an idempotent request by the average time of its route.
pub fn reuse_policy(average: Duration, remaining: Duration) -> ReusePolicy {
    if average < suspect_after(remaining) / FAST_ROUTE_DIVISOR {
        ReusePolicy::AnyIdle
    } else {
        ReusePolicy::NewOnly
    }
}

/// Usual time from a request to the head of its answer, by route.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    average: Mutex<HashMap<ServiceName, HashMap<RouteKey, Duration>>>,
}

impl ResponseTimes {
    /// Takes the time of one answer into the average of its route.
    pub fn record(&self, service: &ServiceName, route: RouteKey, took: Duration) {
        let mut average = self.average.lock().unwrap_or_else(PoisonError::into_inner);
        if !average.contains_key(service) {
            average.insert(service.clone(), HashMap::default());
        }
        let Some(routes) = average.get_mut(service) else { return };
        let known = routes.entry(route).or_insert(took);
        *known = (*known * (AVERAGE_WEIGHT_DIVISOR - 1) + took) / AVERAGE_WEIGHT_DIVISOR;
    }

    /// Returns the average time of a route, zero when it is not known.
    pub fn average(&self, service: &ServiceName, route: RouteKey) -> Duration {
        let average = self.average.lock().unwrap_or_else(PoisonError::into_inner);
        average.get(service).and_then(|routes| routes.get(&route)).copied().unwrap_or_default()
    }
}
