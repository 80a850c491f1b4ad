//! Retry budget of one service over a sliding window, for instances that don't coordinate. A repeat is a
//! retry or a hedge.
//!
//! Each instance may repeat a fixed share of its own requests, and gets an equal part of a fixed allowance.
//! The total over all instances then stays within the deployment's budget in every window, however little
//! the instances know of each other.

use std::{collections::VecDeque, time::Duration};

use crate::units::MonoTime;

/// Number of buckets into which the window is divided; requests and repeats are counted per bucket.
const BUCKETS: u32 = 20;

/// Repeats that one instance may send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatAllowance {
    /// Repeats allowed for each request within the window.
    pub ratio: f64,
    /// Further repeats allowed in each window, for this instance.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Start time; a multiple of the bucket length that applied when it was created.
    start_us: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one instance to one service.
#[derive(Debug)]
pub struct RepeatBudget {
    allowance: RepeatAllowance,
    /// Oldest first; none is older than the window plus one bucket.
    buckets: VecDeque<Bucket>,
}

impl RepeatBudget {
    /// Creates a budget with no requests and no repeats.
    pub fn new(allowance: RepeatAllowance) -> Self {
        Self { allowance, buckets: VecDeque::new() }
    }

    /// Changes the allowance; the counts are kept.
    pub fn set_allowance(&mut self, allowance: RepeatAllowance) {
        self.allowance = allowance;
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one repeat from the budget; returns whether there was one.
    pub fn try_spend(&mut self, now: MonoTime) -> bool {
        let allowed = self.available(now) >= 1.0;
        if allowed {
            self.current_bucket(now).repeats += 1;
        }
        allowed
    }

    /// Returns the number of repeats that may be made now; less than 1 means none.
    pub fn available(&mut self, now: MonoTime) -> f64 {
        self.current_bucket(now);
        // For buckets that may lie partly outside the window, repeats are counted and requests are not, so
        // that the result is never too high.
        let length_us = self.bucket_length_us();
        let newest_us = self.buckets.back().map_or(0, |b| b.start_us);
        let start_us = (newest_us + length_us).saturating_sub(length_us * u64::from(BUCKETS));
        let inside = self.buckets.iter().filter(|b| b.start_us >= start_us);
        let requests = inside.map(|b| b.requests).sum::<u32>();
        let repeats = self.buckets.iter().map(|b| b.repeats).sum::<u32>();
        f64::from(requests) * self.allowance.ratio + self.allowance.extra - f64::from(repeats)
    }

    fn current_bucket(&mut self, now: MonoTime) -> &mut Bucket {
        let length_us = self.bucket_length_us();
        let window_us = length_us * u64::from(BUCKETS);
        let start_us = now.as_micros() / length_us * length_us;
        while self.buckets.front().is_some_and(|b| b.start_us + window_us < start_us) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.start_us < start_us) {
            self.buckets.push_back(Bucket { start_us, requests: 0, repeats: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn bucket_length_us(&self) -> u64 {
        u64::try_from((self.allowance.window / BUCKETS).as_micros()).unwrap_or(u64::MAX).max(1)
    }
}
