//! Bytes that one instance may send to its peers, with priorities.

use std::time::Duration;

use crate::units::MonoTime;

/// Bytes on the wire around the frames of one send: h2 frame head, TCP and IP heads with timestamps.
pub const OVERHEAD_BYTES: usize = 9 + 32 + 20;

/// Time over which unspent budget gathers.
const BURST: Duration = Duration::from_millis(100);

/// Part of the rate that refills the bucket; with the rest, a burst and a round of load counts to 19 peers
/// stay within the rate over ten seconds.
const REFILL_SHARE: f64 = 0.95;

/// Longest time for which spending ahead holds back what comes after.
const DEBT_LIMIT: Duration = Duration::from_secs(2);

/// What bytes are spent for, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum TrafficClass {
    /// Leaving, draining and plans: sent at once, also ahead of the budget.
    Urgent,
    /// Heartbeats and hellos: few and at fixed times, so always sent.
    Heartbeat,
    /// Load counts: sent only from budget that is left.
    Loads,
}

/// Token bucket of bytes; urgent spending goes ahead and load counts wait until it is made up for.
///
/// ```
/// use arbutusshelf::{peer::budget::{ByteBudget, TrafficClass}, units::MonoTime};
///
/// let mut budget = ByteBudget::new(MonoTime::from(0), 1_000);
/// budget.record_sent(MonoTime::from(0), TrafficClass::Urgent, 1_000);
/// assert!(!budget.allows(MonoTime::from(100_000), 10), "the plan's bytes come first");
/// assert!(budget.allows(MonoTime::from(1_500_000), 10));
/// ```
#[derive(Debug)]
pub struct ByteBudget {
    /// Refilled a second: the rate times [`REFILL_SHARE`].
    bytes_per_s: f64,
    /// Invariant: between minus [`DEBT_LIMIT`] and plus [`BURST`] at the rate.
    tokens: f64,
    updated: MonoTime,
    spent: [u64; 3],
    sends: [u64; 3],
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(now: MonoTime, bytes_per_s: u32) -> Self {
        let bytes_per_s = f64::from(bytes_per_s) * REFILL_SHARE;
        Self {
            bytes_per_s,
            tokens: bytes_per_s * BURST.as_secs_f64(),
            updated: now,
            spent: [0; 3],
            sends: [0; 3],
        }
    }

    /// Changes the rate, as the plan states it.
    pub fn set_rate(&mut self, now: MonoTime, bytes_per_s: u32) {
        self.refill(now);
        self.bytes_per_s = f64::from(bytes_per_s) * REFILL_SHARE;
    }

    fn refill(&mut self, now: MonoTime) {
        let gained = now.since(self.updated).as_secs_f64() * self.bytes_per_s;
        let most = self.bytes_per_s * BURST.as_secs_f64();
        let least = -self.bytes_per_s * DEBT_LIMIT.as_secs_f64();
        self.tokens = (self.tokens + gained).clamp(least, most);
        self.updated = self.updated.max(now);
    }

    /// Returns whether `bytes` for load counts may be spent now: they are there, or the bucket is full.
    pub fn allows(&mut self, now: MonoTime, bytes: usize) -> bool {
        self.refill(now);
        self.tokens >= (bytes as f64).min(self.bytes_per_s * BURST.as_secs_f64())
    }

    /// Spends bytes that were sent.
    pub fn record_sent(&mut self, now: MonoTime, purpose: TrafficClass, bytes: usize) {
        self.refill(now);
        self.tokens -= bytes as f64;
        self.spent[purpose as usize] += bytes as u64;
        self.sends[purpose as usize] += 1;
    }

    /// Returns how often bytes were sent for a purpose since the start.
    pub fn send_count(&self, purpose: TrafficClass) -> u64 {
        self.sends[purpose as usize]
    }

    /// Returns the bytes spent for a purpose since the start.
    pub fn bytes_sent(&self, purpose: TrafficClass) -> u64 {
        self.spent[purpose as usize]
    }
}
