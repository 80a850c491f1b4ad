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
    number: u64,
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
    pub fn request(&mut self, now: MonoTime) {
        self.part(now).requests += 1;
    }

    /// Spends one repeat if the budget allows it.
    pub fn spend(&mut self, now: MonoTime) -> bool {
        let may = self.left(now) >= 1.0;
        if may {
            self.part(now).repeats += 1;
        }
        may
    }

    /// Returns the repeats that may be made now.
    pub fn left(&mut self, now: MonoTime) -> f64 {
        self.part(now);
        // The oldest part may lie partly outside the window: its repeats count and its requests do not.
        let oldest = self.parts.front().map_or(0, |p| p.number);
        let newest = self.parts.back().map_or(0, |p| p.number);
        let is_full = newest - oldest >= u64::from(PARTS);
        let requests = self.parts.iter().skip(usize::from(is_full)).map(|p| p.requests).sum::<u32>();
        let repeats = self.parts.iter().map(|p| p.repeats).sum::<u32>();
        f64::from(requests) * self.allowance.ratio + self.allowance.extra - f64::from(repeats)
    }

    fn part(&mut self, now: MonoTime) -> &mut Part {
        let length_us = (self.allowance.window / PARTS).as_micros().max(1);
        let number = (u128::from(now.as_micros()) / length_us) as u64;
        while self.parts.front().is_some_and(|p| p.number + u64::from(PARTS) < number) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| p.number < number) {
            self.parts.push_back(Part { number, requests: 0, repeats: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
