//! Counts and histograms of one service.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::{
    rollup::{CauseCount, Histograms, PackedHistogram},
    tally::CompletedCall,
};
use crate::{
    collections::HashMap,
    error::{ErrorKind, Outcome},
};

/// Decimal digits that histograms keep; two place a value within 1%.
const DIGITS: u8 = 2;

/// Longest time told apart, in microseconds: one hour.
const MAX_US: u64 = 3_600_000_000;

/// Histogram of times in microseconds; grows with the values it holds.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(Histogram::new(DIGITS).expect("the number of digits is constant and valid"))
    }
}

impl DurationHistogram {
    /// Adds one time; times above an hour count as an hour.
    pub fn record(&mut self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(MAX_US).min(MAX_US);
        // A growing histogram takes every value up to the limit.
        let _fits = self.0.record(us);
    }

    /// Adds a packed histogram; one that can't be read adds nothing.
    pub fn add(&mut self, packed: &PackedHistogram) {
        if let Some(other) = packed.unpack() {
            let _fits = self.0.add(other);
        }
    }

    /// Returns the time that a share of all values does not exceed, in milliseconds; none when empty.
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(quantile) as f64 / 1_000.0)
    }

    /// Packs the histogram for the object store.
    pub fn pack(&self) -> PackedHistogram {
        PackedHistogram::pack(&self.0)
    }
}

/// Counts of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceCounts {
    by_cause: HashMap<(Outcome, Option<ErrorKind>), u64>,
    /// Calls that count against the objective.
    pub eligible: u64,
    /// Useful ones of these.
    pub useful: u64,
    /// Time to the head of the answer, of judged calls that were sent: quick refusals would flatter it.
    pub latency: DurationHistogram,
    /// Time in the queue, of judged calls.
    pub queue_wait: DurationHistogram,
    /// Time behind long requests, of judged calls.
    pub head_of_line: DurationHistogram,
}

impl ServiceCounts {
    /// Counts the end of a call.
    pub fn record(&mut self, end: &CompletedCall) {
        *self.by_cause.entry((end.outcome, end.cause)).or_default() += 1;
        if end.cause.is_some_and(is_caller_error) {
            return;
        }
        self.eligible += 1;
        self.useful += u64::from(end.useful);
        if end.outcome != Outcome::NotRun {
            self.latency.record(end.latency);
        }
        self.queue_wait.record(end.queue_wait);
        self.head_of_line.record(end.head_of_line);
    }

    /// Returns all calls.
    pub fn calls(&self) -> u64 {
        self.by_cause.values().sum()
    }

    /// Returns the counts by outcome and cause, sorted.
    pub fn causes(&self) -> Vec<CauseCount> {
        let count = |(&(outcome, cause), &calls): (&(Outcome, Option<ErrorKind>), &u64)| CauseCount {
            outcome: outcome.to_string(),
            cause: cause.map(|c| c.to_string()).unwrap_or_default(),
            calls,
        };
        let mut causes = self.by_cause.iter().map(count).collect::<Vec<_>>();
        causes.sort();
        causes
    }

    /// Packs the histograms.
    pub fn histograms(&self) -> Histograms {
        Histograms {
            latency_us: self.latency.pack(),
            queue_wait_us: self.queue_wait.pack(),
            head_of_line_us: self.head_of_line.pack(),
        }
    }
}

/// Returns whether the caller alone can put a failure right, so that it says nothing about the service.
pub fn is_caller_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::BadRequest
            | ErrorKind::HeadTooLarge
            | ErrorKind::BodyTooLarge
            | ErrorKind::BodyIncomplete
            | ErrorKind::UnknownService
            | ErrorKind::KeyMissing
            | ErrorKind::KeyReused
    )
}
