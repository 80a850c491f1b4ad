//! Durations learned per route: quantiles from histograms in which old samples lose weight.

use std::time::Duration;

use super::RouteKey;
use crate::collections::HashMap;

/// Number of buckets of a histogram. Each spans a quarter of a doubling, so the last one begins at about 18
/// minutes.
const BUCKETS: usize = 120;

/// Number of buckets for each doubling of the duration.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Total weight at which all weights are halved, so that a change of a route's durations shows within about
/// as many calls.
const HALVING_WEIGHT: u32 = 512;

/// Number of samples between two updates of the cached quantiles.
const QUANTILE_UPDATE_INTERVAL: u32 = 16;

/// Number of samples from which quantiles are used.
const MIN_SAMPLES: u32 = 8;

/// A route is long if its median is more than this many times that of the shortest route.
const LONG_FACTOR: f64 = 5.0;

/// Duration assumed before anything is learned.
const DEFAULT_DURATION: Duration = Duration::from_millis(5);

/// Quantile of response times beyond which an attempt counts as late.
const LATE_QUANTILE: f64 = 0.97;

/// Histogram of durations whose weights are halved from time to time, so that recent samples dominate.
#[derive(Debug, Clone)]
pub struct DurationHistogram {
    weights: [u32; BUCKETS],
    /// Sum of `weights`.
    total: u32,
    median: Duration,
    late_threshold: Duration,
}

impl Default for DurationHistogram {
    fn default() -> Self {
        Self {
            weights: [0; BUCKETS],
            total: 0,
            median: DEFAULT_DURATION,
            late_threshold: DEFAULT_DURATION * 10,
        }
    }
}

impl DurationHistogram {
    /// Adds one sample.
    pub fn record(&mut self, duration: Duration) {
        let us = duration.as_micros().max(1) as f64;
        let bucket = (us.log2() * BUCKETS_PER_DOUBLING) as usize;
        self.weights[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HALVING_WEIGHT {
            self.weights.iter_mut().for_each(|w| *w /= 2);
            self.total = self.weights.iter().sum();
        }
        if self.total.is_multiple_of(QUANTILE_UPDATE_INTERVAL) || self.total == MIN_SAMPLES {
            self.median = self.quantile(0.5);
            self.late_threshold = self.quantile(LATE_QUANTILE);
        }
    }

    /// Returns whether there are enough samples to use the quantiles.
    pub fn has_enough_samples(&self) -> bool {
        self.total >= MIN_SAMPLES
    }

    /// Returns the median, which is updated every few samples.
    pub fn median(&self) -> Duration {
        self.median
    }

    /// Returns the upper bound of the bucket that contains a quantile.
    fn quantile(&self, quantile: f64) -> Duration {
        let mut remaining = f64::from(self.total) * quantile;
        for (bucket, weight) in self.weights.iter().enumerate() {
            remaining -= f64::from(*weight);
            if remaining <= 0.0 && *weight > 0 {
                let us = ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
                return Duration::from_micros(us as u64);
            }
        }
        DEFAULT_DURATION
    }
}

/// Durations of one route.
#[derive(Debug, Clone, Default)]
struct RouteDurations {
    /// Time from sending a request to the start of its response.
    time_to_response: DurationHistogram,
    /// Time from sending a request to the end of its response, for which it occupies a slot at the target.
    slot_time: DurationHistogram,
    is_long: bool,
}

/// Durations of all routes of a service.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    routes: HashMap<RouteKey, RouteDurations>,
    /// Median slot time of the shortest route with enough samples.
    shortest_median: Option<Duration>,
}

impl Durations {
    /// Records the time from sending a request to the start of its response.
    pub fn record_time_to_response(&mut self, route: RouteKey, duration: Duration) {
        self.routes.entry(route).or_default().time_to_response.record(duration);
    }

    /// Records the time for which an attempt occupied its slot.
    pub fn record_slot_time(&mut self, route: RouteKey, duration: Duration) {
        let durations = self.routes.entry(route).or_default();
        let before = durations.slot_time.median;
        durations.slot_time.record(duration);
        if durations.slot_time.median != before {
            self.update_long_routes();
        }
    }

    /// Recomputes the shortest route's median and which routes are long compared with it.
    fn update_long_routes(&mut self) {
        let has_samples = |r: &&RouteDurations| r.slot_time.has_enough_samples();
        self.shortest_median = self.routes.values().filter(has_samples).map(|r| r.slot_time.median).min();
        let Some(shortest_median) = self.shortest_median else { return };
        for route in self.routes.values_mut() {
            route.is_long = route.slot_time.has_enough_samples()
                && route.slot_time.median > shortest_median.mul_f64(LONG_FACTOR);
        }
    }

    /// Returns whether calls of a route occupy a slot for many times longer than those of the shortest
    /// route.
    pub fn is_long(&self, route: RouteKey) -> bool {
        self.routes.get(&route).is_some_and(|r| r.is_long)
    }

    /// Returns the median time for which a route's attempts occupy a slot.
    pub fn slot_time(&self, route: RouteKey) -> Duration {
        self.routes.get(&route).map_or(DEFAULT_DURATION, |r| r.slot_time.median)
    }

    /// Returns the median time from sending a request of a route to the start of its response.
    pub fn time_to_response(&self, route: RouteKey) -> Duration {
        self.routes.get(&route).map_or(DEFAULT_DURATION, |r| r.time_to_response.median)
    }

    /// Returns the time after which an attempt of a route counts as late, or `None` before enough samples
    /// are known.
    pub fn late_threshold(&self, route: RouteKey) -> Option<Duration> {
        let durations = self.routes.get(&route)?;
        durations.time_to_response.has_enough_samples().then_some(durations.time_to_response.late_threshold)
    }

    /// Returns the median slot time of the shortest route.
    pub fn shortest_median(&self) -> Duration {
        self.shortest_median.unwrap_or(DEFAULT_DURATION)
    }
}
