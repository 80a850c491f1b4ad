//! Detection of reused connections that no longer deliver responses.
//!
//! Seen from here, a connection that has silently died looks like a slow target. An idempotent request on a
//! reused connection is therefore reported as lost after a fraction of its remaining time, so that the pool
//! can retry it on a new connection. The first attempt continues to wait for its response until another
//! attempt gets one. Routes whose responses usually take a large part of that fraction get a new connection
//! from the start.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use super::connection::ReusePolicy;
use crate::{collections::HashMap, decide::RouteKey, units::ServiceName};

/// A reused connection is suspected after the call's remaining time divided by this.
const SUSPECT_DIVISOR: u32 = 4;

/// Upper limit of the time after which a reused connection is suspected.
const MAX_SUSPECT_DELAY: Duration = Duration::from_millis(500);

/// A connection is reused only if the route's average response time is below the suspect time divided by
/// this.
const FAST_ROUTE_DIVISOR: u32 = 4;

/// Divisor of the exponential moving average: a new sample has a weight of one over this.
const AVERAGE_WEIGHT_DIVISOR: u32 = 8;

/// Returns the time without a response after which a reused connection is suspected to be dead.
pub fn suspect_after(remaining: Duration) -> Duration {
    (remaining / SUSPECT_DIVISOR).min(MAX_SUSPECT_DELAY)
}

/// Chooses between reused and new connections for an idempotent request, by its route's average response
/// time.
pub fn reuse_policy(average: Duration, remaining: Duration) -> ReusePolicy {
    if average < suspect_after(remaining) / FAST_ROUTE_DIVISOR {
        ReusePolicy::AnyIdle
    } else {
        ReusePolicy::NewOnly
    }
}

/// Average time from sending a request to the response head, for each route.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    averages: Mutex<HashMap<ServiceName, HashMap<RouteKey, Duration>>>,
}

impl ResponseTimes {
    /// Adds one response time to the average of its route.
    pub fn record(&self, service: &ServiceName, route: RouteKey, took: Duration) {
        let mut averages = self.averages.lock().unwrap_or_else(PoisonError::into_inner);
        if !averages.contains_key(service) {
            averages.insert(service.clone(), HashMap::default());
        }
        let Some(routes) = averages.get_mut(service) else { return };
        let average = routes.entry(route).or_insert(took);
        *average = (*average * (AVERAGE_WEIGHT_DIVISOR - 1) + took) / AVERAGE_WEIGHT_DIVISOR;
    }

    /// Returns the average response time of a route; zero if none has been recorded.
    pub fn average(&self, service: &ServiceName, route: RouteKey) -> Duration {
        let averages = self.averages.lock().unwrap_or_else(PoisonError::into_inner);
        averages.get(service).and_then(|routes| routes.get(&route)).copied().unwrap_or_default()
    }
}
