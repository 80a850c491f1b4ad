//! Counts of calls by service, outcome and cause since the start of the run.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;

use crate::{
    collections::HashMap,
    error::{ErrorKind, Outcome},
    units::ServiceName,
};

/// Longest latency told apart, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// How one call ended, for the counts.
#[derive(Debug, Clone)]
pub struct CallEnd {
    /// Service.
    pub service: ServiceName,
    /// What the caller was told.
    pub outcome: Outcome,
    /// Why, unless the target answered.
    pub cause: Option<ErrorKind>,
    /// Whether the answer was a useful one (a status below 500, in time for the objective).
    pub useful: bool,
    /// Time from the request's arrival to the head of the answer.
    pub latency: Duration,
}

/// Counts of one service.
#[derive(Debug)]
pub struct ServiceCounts {
    /// Calls by outcome and cause.
    pub by_cause: HashMap<(Outcome, Option<ErrorKind>), u64>,
    /// Useful calls.
    pub useful: u64,
    /// Time to the head of the answer, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl ServiceCounts {
    fn new() -> Self {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, 2).expect("bounds are constant and valid");
        Self { by_cause: HashMap::default(), useful: 0, latency_us }
    }
}

/// Counts of all services.
#[derive(Debug, Default)]
pub struct Tally {
    services: Mutex<HashMap<ServiceName, ServiceCounts>>,
}

impl Tally {
    /// Counts a call.
    pub fn record(&self, end: CallEnd) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = services.entry(end.service).or_insert_with(ServiceCounts::new);
        *counts.by_cause.entry((end.outcome, end.cause)).or_default() += 1;
        counts.useful += u64::from(end.useful);
        counts.latency_us.saturating_record(u64::try_from(end.latency.as_micros()).unwrap_or(u64::MAX));
    }

    /// Runs `read` on the counts of every service.
    pub fn inspect<T>(&self, read: impl FnOnce(&HashMap<ServiceName, ServiceCounts>) -> T) -> T {
        read(&self.services.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
