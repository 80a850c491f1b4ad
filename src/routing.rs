//! Routing table of a deployment whose targets register themselves: which service answers a request, and
//! within which limits.
//!
//! A table is immutable and replaced as a whole. An instance only ever replaces it by one of a higher
//! version.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use derive_more::{Display, From, Into};

use crate::{collections::HashMap, plan::RequestKind, units::ServiceName};

/// Version of a routing table; rises with each change, by more than one at times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, Into)]
#[display("{_0:08x}")]
pub struct RoutingVersion(u64);

/// One of the services that share the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that answers the requests.
    pub service: ServiceName,
    /// Weight relative to the other services of the route; 0 receives no requests.
    pub weight: u32,
}

/// Configuration of one route: the requests it matches, where they go and within which limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name in logs and metrics.
    pub name: String,
    /// Host name that requests must carry, without port.
    pub host: String,
    /// Prefix of the request path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be sent more than once.
    pub kind: RequestKind,
    /// Maximum time until the caller has its response; callers may ask for less.
    pub timeout: Duration,
    /// Latency objective: a response that takes longer is of less use to the caller.
    pub objective: Duration,
    /// Priority among routes of one service; lower numbers are served first.
    pub priority: u32,
    /// Maximum number of attempts for one request, retries and hedges included; attempts of which nothing was
    /// sent don't count.
    pub max_attempts: u32,
    /// Services that share the requests; never empty, and at least one has a weight above 0.
    pub backends: Vec<Backend>,
}

/// A route of the current routing table, with the state of its traffic split.
#[derive(Debug)]
pub struct Route {
    /// Configuration of the route.
    pub spec: RouteSpec,
    /// Sum of the backends' weights.
    weights: u64,
    /// Current position in a low-discrepancy sequence, as a fraction of 2^64.
    position: AtomicU64,
}

/// Fractional part of the golden ratio, times 2^64. Successive multiples spread evenly over any number of
/// intervals.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

impl Route {
    fn new(spec: RouteSpec, seed: u64) -> Self {
        let weights = spec.backends.iter().map(|b| u64::from(b.weight)).sum();
        Self { spec, weights, position: AtomicU64::new(seed) }
    }

    /// Chooses the service for the next request, so that even short runs of requests follow the weights
    /// closely.
    pub fn next_service(&self) -> &ServiceName {
        let position = self.position.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut remaining = (u128::from(position) * u128::from(self.weights)) >> 64;
        for backend in &self.spec.backends {
            if remaining < u128::from(backend.weight) {
                return &backend.service;
            }
            remaining -= u128::from(backend.weight);
        }
        &self.spec.backends[0].service
    }
}

/// Returns a host without its port.
pub fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _port)| name)
}

/// Configuration of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Path of the health check at its targets.
    pub health_path: String,
    /// Maximum number of connections to one target, from all instances together.
    pub max_connections: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for a request head to arrive.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// Contents of a routing table, before it is indexed.
#[derive(Debug, Clone)]
pub struct RoutingSpec {
    /// Version of the configuration.
    pub version: RoutingVersion,
    /// Routes in any order.
    pub routes: Vec<RouteSpec>,
    /// Limits of each service.
    pub services: HashMap<ServiceName, ServiceLimits>,
    /// Limits on callers of all routes.
    pub limits: CallerLimits,
}

/// An immutable routing table, indexed for lookups.
#[derive(Debug)]
pub struct RoutingTable {
    /// Version of the configuration that the table was built from.
    pub version: RoutingVersion,
    /// Limits of each service.
    pub services: HashMap<ServiceName, ServiceLimits>,
    /// Limits on callers of all routes.
    pub limits: CallerLimits,
    /// Longest timeout of a route; zero if there is none.
    pub longest_timeout: Duration,
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// Number of routes over all hosts.
    routes: usize,
}

impl RoutingTable {
    /// Builds the table; `seed` sets where each route's traffic split starts, so that instances don't all
    /// start at the same backend.
    pub fn new(spec: RoutingSpec, seed: u64) -> Self {
        let routes = spec.routes.len();
        let longest_timeout = spec.routes.iter().map(|r| r.timeout).max().unwrap_or_default();
        let mut by_host = HashMap::<String, Vec<Arc<Route>>>::default();
        for (position, route) in spec.routes.into_iter().enumerate() {
            let start = seed.wrapping_mul(GOLDEN_STEP).wrapping_add((position as u64) << 32);
            by_host.entry(route.host.clone()).or_default().push(Arc::new(Route::new(route, start)));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.spec.prefix.len()));
            routes.shrink_to_fit();
        }
        let RoutingSpec { version, services, limits, .. } = spec;
        Self { version, services, limits, longest_timeout, by_host, routes }
    }

    /// Returns the route with the longest matching prefix for a host (with or without port) and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.spec.prefix))
    }

    /// Returns the number of routes over all hosts.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Returns whether the table has no route.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }
}
