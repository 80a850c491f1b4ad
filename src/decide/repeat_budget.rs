//! Budget of repeated sends to one service over a sliding window, shared by instances that do not talk.
//!
//! Each instance may repeat a part of its own requests, and has an equal share of a fixed allowance. The sum over
//! all instances then keeps to the budget of the deployment in every window, whatever each of them sees of the others.

use std::{collections::VecDeque, time::Duration};

use crate::units::MonoTime;

/// Parts into which the window is divided; counts are kept for each.
const BUCKETS: u32 = 20;

/// What one instance may spend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatAllowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window besides, for this instance.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Start; a multiple of the length that parts had then.
    start_us: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one instance to one service.
#[derive(Debug)]
pub struct RepeatBudget {
    allowance: RepeatAllowance,
    /// Latest last; none older than the window and one part.
    buckets: VecDeque<Bucket>,
}

impl RepeatBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(allowance: RepeatAllowance) -> Self {
        Self { allowance, buckets: VecDeque::new() }
    }

    /// Changes what may be spent.
    pub fn set_allowance(&mut self, allowance: RepeatAllowance) {
        self.allowance = allowance;
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: MonoTime) {
        self.current_bucket(now).requests += 1;
    }

    /// Spends one repeat if the budget allows it.
    pub fn try_spend(&mut self, now: MonoTime) -> bool {
        let allowed = self.available(now) >= 1.0;
        if allowed {
            self.current_bucket(now).repeats += 1;
        }
        allowed
    }

    /// Returns the repeats that may be made now.
    pub fn available(&mut self, now: MonoTime) -> f64 {
        self.current_bucket(now);
        // Parts that may lie partly outside the window: their repeats count and their requests do not.
        let length_us = self.bucket_length_us();
        let newest_us = self.buckets.back().map_or(0, |p| p.start_us);
        let start_us = (newest_us + length_us).saturating_sub(length_us * u64::from(BUCKETS));
        let inside = self.buckets.iter().filter(|p| p.start_us >= start_us);
        let requests = inside.map(|p| p.requests).sum::<u32>();
        let repeats = self.buckets.iter().map(|p| p.repeats).sum::<u32>();
        f64::from(requests) * self.allowance.ratio + self.allowance.extra - f64::from(repeats)
    }

    fn current_bucket(&mut self, now: MonoTime) -> &mut Bucket {
        let length_us = self.bucket_length_us();
        let window_us = length_us * u64::from(BUCKETS);
        let start_us = now.as_micros() / length_us * length_us;
        while self.buckets.front().is_some_and(|p| p.start_us + window_us < start_us) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|p| p.start_us < start_us) {
            self.buckets.push_back(Bucket { start_us, requests: 0, repeats: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn bucket_length_us(&self) -> u64 {
        u64::try_from((self.allowance.window / BUCKETS).as_micros()).unwrap_or(u64::MAX).max(1)
    }
}
