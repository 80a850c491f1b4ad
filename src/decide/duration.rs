//! Durations learned per route: quantiles from a histogram that forgets.

use std::time::Duration;

use super::RouteKey;
use crate::collections::HashMap;

/// Buckets of a histogram; each is a quarter of a doubling wide, so the last begins at about 18 minutes.
const BUCKETS: usize = 120;

/// Buckets for each doubling of the duration.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Weight in a histogram at which all of it is halved, so that a change of a route shows within as many calls.
const HALVING_WEIGHT: u32 = 512;

/// Samples between two updates of the cached quantiles.
const QUANTILE_UPDATE_INTERVAL: u32 = 16;

/// Samples from which on quantiles are trusted.
const MIN_SAMPLES: u32 = 8;

/// Times the shortest route's median from which on a route counts as long.
const LONG_FACTOR: f64 = 5.0;

/// Duration assumed while nothing is learned.
const DEFAULT_DURATION: Duration = Duration::from_millis(5);

/// Quantile past which a send is late.
const LATE_QUANTILE: f64 = 0.97;

/// Histogram of durations that forgets by halving.
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
    /// Learns one duration.
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

    /// Returns whether enough was learned.
    pub fn has_enough_samples(&self) -> bool {
        self.total >= MIN_SAMPLES
    }

    /// Returns the median as of the latest samples.
    pub fn median(&self) -> Duration {
        self.median
    }

    /// Returns the upper end of the bucket that holds a quantile.
    fn quantile(&self, quantile: f64) -> Duration {
        let mut left = f64::from(self.total) * quantile;
        for (bucket, weight) in self.weights.iter().enumerate() {
            left -= f64::from(*weight);
            if left <= 0.0 && *weight > 0 {
                let us = ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
                return Duration::from_micros(us as u64);
            }
        }
        DEFAULT_DURATION
    }
}

/// What is known of one route.
#[derive(Debug, Clone, Default)]
struct RouteDurations {
    /// From the send to the start of the answer.
    time_to_response: DurationHistogram,
    /// From the send to the end of the answer; a slot is held as long.
    slot_time: DurationHistogram,
    is_long: bool,
}

/// Durations of all routes of a service.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    routes: HashMap<RouteKey, RouteDurations>,
    /// Median of the shortest learned route.
    shortest_median: Option<Duration>,
}

impl Durations {
    /// Learns the time from a send to the start of its answer.
    pub fn record_time_to_response(&mut self, route: RouteKey, duration: Duration) {
        self.routes.entry(route).or_default().time_to_response.record(duration);
    }

    /// Learns the time for which a send held its slot.
    pub fn record_slot_time(&mut self, route: RouteKey, duration: Duration) {
        let learned = self.routes.entry(route).or_default();
        let before = learned.slot_time.median;
        learned.slot_time.record(duration);
        if learned.slot_time.median != before {
            self.update_long_routes();
        }
    }

    fn update_long_routes(&mut self) {
        let learned = |r: &&RouteDurations| r.slot_time.has_enough_samples();
        self.shortest_median = self.routes.values().filter(learned).map(|r| r.slot_time.median).min();
        let Some(shortest_median) = self.shortest_median else { return };
        for route in self.routes.values_mut() {
            route.is_long = route.slot_time.has_enough_samples()
                && route.slot_time.median > shortest_median.mul_f64(LONG_FACTOR);
        }
    }

    /// Returns whether calls of a route hold a slot many times longer than the shortest route's.
    pub fn is_long(&self, route: RouteKey) -> bool {
        self.routes.get(&route).is_some_and(|r| r.is_long)
    }

    /// Returns the median time for which a route's sends hold a slot.
    pub fn slot_time(&self, route: RouteKey) -> Duration {
        self.routes.get(&route).map_or(DEFAULT_DURATION, |r| r.slot_time.median)
    }

    /// Returns the median time to the start of a route's answers.
    pub fn time_to_response(&self, route: RouteKey) -> Duration {
        self.routes.get(&route).map_or(DEFAULT_DURATION, |r| r.time_to_response.median)
    }

    /// Returns the time past which a send of a route is late, once it is learned.
    pub fn late_threshold(&self, route: RouteKey) -> Option<Duration> {
        let learned = self.routes.get(&route)?;
        learned.time_to_response.has_enough_samples().then_some(learned.time_to_response.late_threshold)
    }

    /// Returns the median of the shortest route.
    pub fn shortest_median(&self) -> Duration {
        self.shortest_median.unwrap_or(DEFAULT_DURATION)
    }
}
