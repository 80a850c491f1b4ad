//! Byte budget for the traffic that one instance sends to its peers, with priorities.

use std::time::Duration;

use crate::units::MonoTime;

/// Bytes on the wire beyond the frames of one send: h2 frame header, TCP header with timestamps, IP header.
pub const OVERHEAD_BYTES: usize = 9 + 32 + 20;

/// Time over which unused budget accumulates: the bucket holds this much time's refill.
const BURST: Duration = Duration::from_millis(100);

/// Fraction of the configured rate at which the bucket refills.
///
/// The remaining 5 % leave room for one burst and one round of load counts to 19 peers, so that the rate
/// holds over any ten seconds.
const REFILL_FRACTION: f64 = 0.95;

/// Largest debt, in time of refill: the longest time for which urgent traffic can hold back load counts.
const DEBT_LIMIT: Duration = Duration::from_secs(2);

/// Class of traffic between instances, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum TrafficClass {
    /// Shutdown notices, drain notices and plans: sent at once, even if the budget goes into debt.
    Urgent,
    /// Heartbeats and hellos: small and periodic, so always sent.
    Heartbeat,
    /// Load counts: sent only while budget is left.
    Loads,
}

/// Token bucket of bytes that may go into debt for urgent traffic; load counts wait until the debt is repaid.
///
/// ```
/// use arbutusshelf::{peer::budget::{ByteBudget, TrafficClass}, units::MonoTime};
///
/// let mut budget = ByteBudget::new(MonoTime::from(0), 1_000);
/// budget.record_sent(MonoTime::from(0), TrafficClass::Urgent, 1_000);
/// assert!(!budget.allows(MonoTime::from(100_000), 10), "the plan used up the budget");
/// assert!(budget.allows(MonoTime::from(1_500_000), 10));
/// ```
#[derive(Debug)]
pub struct ByteBudget {
    /// Refill rate: the configured rate times [`REFILL_FRACTION`].
    bytes_per_s: f64,
    /// Bytes that may be sent now; negative while in debt.
    ///
    /// Each refill limits it to the refill of [`BURST`], and a debt to the refill of [`DEBT_LIMIT`].
    tokens: f64,
    updated: MonoTime,
    /// Bytes sent, by traffic class.
    bytes_sent: [u64; 3],
    /// Number of sends, by traffic class.
    send_counts: [u64; 3],
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(now: MonoTime, bytes_per_s: u32) -> Self {
        let bytes_per_s = f64::from(bytes_per_s) * REFILL_FRACTION;
        Self {
            bytes_per_s,
            tokens: bytes_per_s * BURST.as_secs_f64(),
            updated: now,
            bytes_sent: [0; 3],
            send_counts: [0; 3],
        }
    }

    /// Sets the rate to the one in a new plan.
    pub fn set_rate(&mut self, now: MonoTime, bytes_per_s: u32) {
        self.refill(now);
        self.bytes_per_s = f64::from(bytes_per_s) * REFILL_FRACTION;
    }

    fn refill(&mut self, now: MonoTime) {
        let refilled = now.since(self.updated).as_secs_f64() * self.bytes_per_s;
        let max = self.bytes_per_s * BURST.as_secs_f64();
        let min = -self.bytes_per_s * DEBT_LIMIT.as_secs_f64();
        self.tokens = (self.tokens + refilled).clamp(min, max);
        self.updated = self.updated.max(now);
    }

    /// Returns whether `bytes` of load counts may be sent now.
    ///
    /// A full bucket allows any size, so that a message larger than the bucket is not held back forever.
    pub fn allows(&mut self, now: MonoTime, bytes: usize) -> bool {
        self.refill(now);
        self.tokens >= (bytes as f64).min(self.bytes_per_s * BURST.as_secs_f64())
    }

    /// Records a send of `bytes`, which may take the budget into debt.
    pub fn record_sent(&mut self, now: MonoTime, class: TrafficClass, bytes: usize) {
        self.refill(now);
        self.tokens -= bytes as f64;
        self.bytes_sent[class as usize] += bytes as u64;
        self.send_counts[class as usize] += 1;
    }

    /// Returns the number of sends in a traffic class since the start.
    pub fn send_count(&self, class: TrafficClass) -> u64 {
        self.send_counts[class as usize]
    }

    /// Returns the bytes sent in a traffic class since the start.
    pub fn bytes_sent(&self, class: TrafficClass) -> u64 {
        self.bytes_sent[class as usize]
    }
}
