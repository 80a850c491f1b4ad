//! Routes of a deployment whose targets come and go: which service answers a request, and within which limits.
//!
//! A table is immutable and replaced as a whole; the version in force on an instance only rises.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use derive_more::{Display, From, Into};

use crate::{collections::HashMap, plan::RequestKind, units::ServiceName};

/// Version of a routing table; rises with each change, in uneven steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, Into)]
#[display("{_0:08x}")]
pub struct RoutingVersion(u64);

/// Part of a route's requests that one service gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service.
    pub service: ServiceName,
    /// Share relative to the other parts; 0 gets nothing.
    pub weight: u32,
}

/// What requests of one host and path prefix may do and where they go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name for logs and metrics.
    pub name: String,
    /// Host as callers name it, without port.
    pub host: String,
    /// Start of the paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// Longest time a caller is kept waiting for the answer.
    pub timeout: Duration,
    /// Time within which an answer is of full use to its caller.
    pub objective: Duration,
    /// Rank among routes of one service; 0 goes first.
    pub priority: u32,
    /// Targets that one request may be sent to.
    pub max_attempts: u32,
    /// Services that share the requests; never empty, and not all of weight 0.
    pub backends: Vec<Backend>,
}

/// A route in force.
#[derive(Debug)]
pub struct Route {
    /// What operators state.
    pub spec: RouteSpec,
    /// Sum of the weights.
    weights: u64,
    /// Position in a low-discrepancy sequence, as a fraction of 2^64.
    position: AtomicU64,
}

/// The golden ratio's fraction of 2^64: successive multiples spread evenly over any number of parts.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

impl Route {
    fn new(spec: RouteSpec, seed: u64) -> Self {
        let weights = spec.backends.iter().map(|b| u64::from(b.weight)).sum();
        Self { spec, weights, position: AtomicU64::new(seed) }
    }

    /// Chooses the service for the next request, so that shares follow the weights closely.
    pub fn next_service(&self) -> &ServiceName {
        let position = self.position.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut left = (u128::from(position) * u128::from(self.weights)) >> 64;
        for backend in &self.spec.backends {
            if left < u128::from(backend.weight) {
                return &backend.service;
            }
            left -= u128::from(backend.weight);
        }
        &self.spec.backends[0].service
    }
}

/// What operators state of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Path at which its targets tell their health.
    pub health_path: String,
    /// Connections that one target takes from all callers together.
    pub max_connections: u32,
}

/// What a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Time for a request head to arrive.
    pub head_timeout: Duration,
    /// Time a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// Everything that a routing table is made of.
#[derive(Debug, Clone)]
pub struct RoutingSpec {
    /// Version.
    pub version: RoutingVersion,
    /// Routes in any order.
    pub routes: Vec<RouteSpec>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceLimits>,
    /// Limits towards callers.
    pub limits: CallerLimits,
}

/// A routing table in force.
#[derive(Debug)]
pub struct RoutingTable {
    /// Version.
    pub version: RoutingVersion,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceLimits>,
    /// Limits towards callers.
    pub limits: CallerLimits,
    /// By host; the longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// Number of routes.
    routes: usize,
}

impl RoutingTable {
    /// Builds a table; `seed` sets where the split of each route begins.
    pub fn new(spec: RoutingSpec, seed: u64) -> Self {
        let routes = spec.routes.len();
        let mut by_host = HashMap::<String, Vec<Arc<Route>>>::default();
        for (position, route) in spec.routes.into_iter().enumerate() {
            let start = seed.wrapping_mul(GOLDEN_STEP).wrapping_add((position as u64) << 32);
            by_host.entry(route.host.clone()).or_default().push(Arc::new(Route::new(route, start)));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.spec.prefix.len()));
            routes.shrink_to_fit();
        }
        Self { version: spec.version, services: spec.services, limits: spec.limits, by_host, routes }
    }

    /// Finds the route of the longest prefix for a host, with or without port, and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.spec.prefix))
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }
}
