//! Rate limiter for this instance's reads and writes at the platform, with a reserve for each purpose.
//!
//! Each instance may use only its fixed fraction of the plan's budgets, however many others are live, so that
//! the sum over all instances always stays within the budgets. Within an instance, each purpose has a reserve
//! that no other purpose can use; the rest is first come, first served.

use std::{collections::VecDeque, time::Duration};

use derive_more::Display;

use crate::{plan::Budgets, units::MonoTime};

/// Purpose of a read or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum Purpose {
    /// Claims of at-most-once requests, and their stored results.
    Claim,
    /// Plan and instance list.
    Plan,
    /// Roll-ups for the error budget report.
    Report,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 3] = [Self::Claim, Self::Plan, Self::Report];

    /// Fraction of the instance's rate that only this purpose may use; the fractions sum to less than 1.
    const fn reserve(self) -> f64 {
        match self {
            Self::Claim => 0.6,
            Self::Plan => 0.15,
            Self::Report => 0.05,
        }
    }
}

/// Whether a request to the platform reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum Access {
    /// Reads rows, objects or the instance list.
    Read,
    /// Writes rows, objects or the instance list.
    Write,
}

/// Sliding-window limiter for either the reads or the writes of one instance.
///
/// A request is admitted while the window has room beyond what other purposes have reserved and not used.
#[derive(Debug, Clone)]
struct Window {
    /// Largest number of requests in any window.
    limit: usize,
    /// Length of the window: one second, or longer if the rate is below one a second.
    span: Duration,
    /// Requests in the current window, oldest first; never more than the limit was when they were admitted.
    sent: VecDeque<(MonoTime, Purpose)>,
}

impl Window {
    fn new(rate_per_s: f64) -> Self {
        let mut window = Self { limit: 0, span: Duration::ZERO, sent: VecDeque::new() };
        window.set_rate(rate_per_s);
        window
    }

    fn set_rate(&mut self, rate_per_s: f64) {
        self.limit = (rate_per_s as usize).max(1);
        self.span = Duration::from_secs_f64(1.0 / rate_per_s.clamp(MIN_RATE_PER_S, 1.0));
    }

    fn reserve(&self, purpose: Purpose) -> usize {
        (self.limit as f64 * purpose.reserve()) as usize
    }

    fn used(&self, purpose: Purpose) -> usize {
        self.sent.iter().filter(|(_, p)| *p == purpose).count()
    }

    fn acquire(&mut self, purpose: Purpose, now: MonoTime) -> Result<(), Duration> {
        while self.sent.front().is_some_and(|(at, _)| now.since(*at) >= self.span) {
            self.sent.pop_front();
        }
        let others = Purpose::ALL.into_iter().filter(|p| *p != purpose);
        let reserved = others.map(|p| self.reserve(p).saturating_sub(self.used(p))).sum::<usize>();
        if self.sent.len() + reserved < self.limit {
            self.sent.push_back((now, purpose));
            return Ok(());
        }
        let oldest = self.sent.front().map_or(now, |(at, _)| *at);
        Err((oldest + self.span).since(now).max(MIN_WAIT))
    }
}

/// Smallest rate, in requests a second; lower rates are raised to it.
const MIN_RATE_PER_S: f64 = 0.001;

/// Shortest wait before another attempt, so that a waiter never spins.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Limits the rates of reads and writes that one instance sends to the platform.
///
/// ```
/// use arbutusshelf::{
///     plan::Budgets,
///     store::rate_limit::{Access, Purpose, StoreRateLimiter},
///     units::MonoTime,
/// };
///
/// let budgets = Budgets { store_writes_per_s: 36, max_instances: 18, ..Budgets::default() };
/// let mut limiter = StoreRateLimiter::new(&budgets);
/// let now = MonoTime::default();
/// let admitted = (0..10).filter(|_| limiter.acquire(Purpose::Claim, Access::Write, now).is_ok()).count();
/// assert_eq!(admitted, 2);
/// ```
#[derive(Debug, Clone)]
pub struct StoreRateLimiter {
    reads: Window,
    writes: Window,
}

impl StoreRateLimiter {
    /// Creates a limiter for the plan's budgets.
    pub fn new(budgets: &Budgets) -> Self {
        let (reads_per_s, writes_per_s) = rates(budgets);
        Self { reads: Window::new(reads_per_s), writes: Window::new(writes_per_s) }
    }

    /// Sets the rates to the budgets of a new plan; requests already counted stay counted.
    pub fn set_budgets(&mut self, budgets: &Budgets) {
        let (reads_per_s, writes_per_s) = rates(budgets);
        self.reads.set_rate(reads_per_s);
        self.writes.set_rate(writes_per_s);
    }

    /// Admits and counts one read or write.
    ///
    /// # Errors
    ///
    /// Time to wait before another attempt; nothing is counted.
    pub fn acquire(&mut self, purpose: Purpose, access: Access, now: MonoTime) -> Result<(), Duration> {
        let window = match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        };
        window.acquire(purpose, now)
    }
}

/// Returns this instance's reads and writes a second: the budgets divided by the largest number of instances.
fn rates(budgets: &Budgets) -> (f64, f64) {
    let instances = f64::from(budgets.max_instances.max(1));
    (f64::from(budgets.store_reads_per_s) / instances, f64::from(budgets.store_writes_per_s) / instances)
}
