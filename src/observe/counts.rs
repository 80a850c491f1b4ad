//! Call counts and latency histograms of one service.

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

/// Significant decimal digits of histogram values; two give an error of at most 1%.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Longest time that a histogram distinguishes, in microseconds: one hour.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Histogram of durations in microseconds; it grows with the range of its values.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is constant and valid"))
    }
}

impl DurationHistogram {
    /// Adds one duration; a duration above one hour counts as one hour.
    pub fn record(&mut self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US).min(MAX_TIME_US);
        // An auto-resizing histogram accepts every value up to the limit.
        let _fits = self.0.record(us);
    }

    /// Adds the values of an encoded histogram; an unreadable one adds nothing.
    pub fn add(&mut self, encoded: &PackedHistogram) {
        if let Some(other) = encoded.unpack() {
            let _fits = self.0.add(other);
        }
    }

    /// Returns the duration that a share of all values does not exceed, in milliseconds; none if there are no
    /// values.
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(quantile) as f64 / 1_000.0)
    }

    /// Encodes the histogram for the object store.
    pub fn pack(&self) -> PackedHistogram {
        PackedHistogram::pack(&self.0)
    }
}

/// Counts and histograms of one service in one minute.
#[derive(Debug, Clone, Default)]
pub struct ServiceCounts {
    by_cause: HashMap<(Outcome, Option<ErrorKind>), u64>,
    /// Number of calls that count against the objective: all but those that failed by a fault of the caller.
    pub eligible: u64,
    /// Number of eligible calls that met the objective.
    pub useful: u64,
    /// Time to the response head of eligible calls. Calls that were not run are left out, since fast refusals
    /// would make the latency look better than it is.
    pub latency: DurationHistogram,
    /// Time in the queue, of eligible calls.
    pub queue_wait: DurationHistogram,
    /// Time in the queue behind long requests (head-of-line blocking), of eligible calls.
    pub head_of_line: DurationHistogram,
}

impl ServiceCounts {
    /// Counts a completed call.
    pub fn record(&mut self, call: &CompletedCall) {
        *self.by_cause.entry((call.outcome, call.cause)).or_default() += 1;
        if call.cause.is_some_and(is_caller_error) {
            return;
        }
        self.eligible += 1;
        self.useful += u64::from(call.useful);
        if call.outcome != Outcome::NotRun {
            self.latency.record(call.latency);
        }
        self.queue_wait.record(call.queue_wait);
        self.head_of_line.record(call.head_of_line);
    }

    /// Returns the number of all calls, eligible or not.
    pub fn calls(&self) -> u64 {
        self.by_cause.values().sum()
    }

    /// Returns the number of calls for each outcome and cause, sorted.
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

    /// Encodes the histograms for the object store.
    pub fn histograms(&self) -> Histograms {
        Histograms {
            latency_us: self.latency.pack(),
            queue_wait_us: self.queue_wait.pack(),
            head_of_line_us: self.head_of_line.pack(),
        }
    }
}

/// Returns whether only the caller can correct a failure, so that it says nothing about the service.
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
