//! This instance's share of the platform's reads and writes, split by purpose.
//!
//! Each instance spends at most its part of the plan's budgets, whoever else is live, so the sum holds at any
//! membership. Within an instance every purpose has a reserve that no other purpose can spend; what is not
//! reserved goes to whoever asks first.

use std::{collections::VecDeque, time::Duration};

use derive_more::Display;

use crate::{plan::Budgets, units::MonoTime};

/// What a read or write is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "kebab-case")]
pub enum Purpose {
    /// Claims of at-most-once requests and their results.
    Claim,
    /// The plan and the instance list.
    Plan,
    /// Roll-ups of the burn report.
    Report,
}

impl Purpose {
    /// Every purpose.
    pub const ALL: [Self; 3] = [Self::Claim, Self::Plan, Self::Report];

    /// Part of the instance's share that only this purpose may spend; the parts sum to less than 1.
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
    /// Reads rows, objects or the list.
    Read,
    /// Writes rows, objects or the list.
    Write,
}

/// Reads or writes of one instance in a sliding window.
///
/// A request is let through while the window has room beyond what other purposes have reserved and not spent.
#[derive(Debug, Clone)]
struct Window {
    /// Requests that fit in any span of time as long as the window.
    limit: usize,
    /// Length of the window: one second, or longer where the share is below one a second.
    span: Duration,
    /// Requests of the last span, oldest first; never more than the limit was when they were sent.
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

    fn spent(&self, purpose: Purpose) -> usize {
        self.sent.iter().filter(|(_, p)| *p == purpose).count()
    }

    fn acquire(&mut self, purpose: Purpose, now: MonoTime) -> Result<(), Duration> {
        while self.sent.front().is_some_and(|(at, _)| now.since(*at) >= self.span) {
            self.sent.pop_front();
        }
        let others = Purpose::ALL.into_iter().filter(|p| *p != purpose);
        let kept_free = others.map(|p| self.reserve(p).saturating_sub(self.spent(p))).sum::<usize>();
        if self.sent.len() + kept_free < self.limit {
            self.sent.push_back((now, purpose));
            return Ok(());
        }
        let oldest = self.sent.front().map_or(now, |(at, _)| *at);
        Err((oldest + self.span).since(now).max(SHORTEST_WAIT))
    }
}

/// Least rate a share can have; a lower one counts as this.
const MIN_RATE_PER_S: f64 = 0.001;

/// Shortest wait before asking again, so that a waiter never spins.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// StoreRateLimiter of one instance.
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
/// let spent = (0..10).filter(|_| limiter.acquire(Purpose::Claim, Access::Write, now).is_ok()).count();
/// assert_eq!(spent, 2);
/// ```
#[derive(Debug, Clone)]
pub struct StoreRateLimiter {
    reads: Window,
    writes: Window,
}

impl StoreRateLimiter {
    /// Creates unspent shares from the plan's budgets.
    pub fn new(budgets: &Budgets) -> Self {
        let (reads_per_s, writes_per_s) = rates(budgets);
        Self { reads: Window::new(reads_per_s), writes: Window::new(writes_per_s) }
    }

    /// Follows the budgets of a new plan.
    pub fn set_budgets(&mut self, budgets: &Budgets) {
        let (reads_per_s, writes_per_s) = rates(budgets);
        self.reads.set_rate(reads_per_s);
        self.writes.set_rate(writes_per_s);
    }

    /// Spends one read or write.
    ///
    /// # Errors
    ///
    /// The time after which to ask again; nothing is spent.
    pub fn acquire(&mut self, purpose: Purpose, access: Access, now: MonoTime) -> Result<(), Duration> {
        let window = match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        };
        window.acquire(purpose, now)
    }
}

fn rates(budgets: &Budgets) -> (f64, f64) {
    let instances = f64::from(budgets.max_instances.max(1));
    (f64::from(budgets.store_reads_per_s) / instances, f64::from(budgets.store_writes_per_s) / instances)
}
