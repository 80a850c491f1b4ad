//! Budget of repeated sends to one service over a sliding window, shared by instances that do not talk.
//!
//! Each instance may repeat a part of its own requests, and has an equal share of a fixed allowance. The sum over
//! all instances then keeps to the budget of the deployment in every window, whatever each of them sees of the others.

use std::{collections::VecDeque, time::Duration};

use crate::units::MonoTime;

/// Parts into which the window is divided; counts are kept for each.
const PARTS: u32 = 20;

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
struct Part {
    /// Start; a multiple of the length that parts had then.
    from_us: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one instance to one service.
#[derive(Debug)]
pub struct RepeatBudget {
    allowance: RepeatAllowance,
    /// Latest last; none older than the window and one part.
    parts: VecDeque<Part>,
}

impl RepeatBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(allowance: RepeatAllowance) -> Self {
        Self { allowance, parts: VecDeque::new() }
    }

    /// Changes what may be spent.
    pub fn set_allowance(&mut self, allowance: RepeatAllowance) {
        self.allowance = allowance;
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: MonoTime) {
        self.part(now).requests += 1;
    }

    /// Spends one repeat if the budget allows it.
    pub fn try_spend(&mut self, now: MonoTime) -> bool {
        let may = self.available(now) >= 1.0;
        if may {
            self.part(now).repeats += 1;
        }
        may
    }

    /// Returns the repeats that may be made now.
    pub fn available(&mut self, now: MonoTime) -> f64 {
        self.part(now);
        // Parts that may lie partly outside the window: their repeats count and their requests do not.
        let length_us = self.part_length_us();
        let newest_us = self.parts.back().map_or(0, |p| p.from_us);
        let from_us = (newest_us + length_us).saturating_sub(length_us * u64::from(PARTS));
        let inside = self.parts.iter().filter(|p| p.from_us >= from_us);
        let requests = inside.map(|p| p.requests).sum::<u32>();
        let repeats = self.parts.iter().map(|p| p.repeats).sum::<u32>();
        f64::from(requests) * self.allowance.ratio + self.allowance.extra - f64::from(repeats)
    }

    fn part(&mut self, now: MonoTime) -> &mut Part {
        let length_us = self.part_length_us();
        let window_us = length_us * u64::from(PARTS);
        let from_us = now.as_micros() / length_us * length_us;
        while self.parts.front().is_some_and(|p| p.from_us + window_us < from_us) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| p.from_us < from_us) {
            self.parts.push_back(Part { from_us, requests: 0, repeats: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn part_length_us(&self) -> u64 {
        u64::try_from((self.allowance.window / PARTS).as_micros()).unwrap_or(u64::MAX).max(1)
    }
}
