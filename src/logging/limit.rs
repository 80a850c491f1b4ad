//! Rate limiter for log lines with one token bucket for each pair of module and event; counts dropped lines.
//!
//! The caller passes in the time. `MAX_EVENTS` bounds the memory.

use std::time::Duration;

use crate::{collections::HashMap, units::MonoTime};

/// Largest number of pairs of module and event with a bucket of their own; further pairs share one bucket.
const MAX_EVENTS: usize = 256;

/// Longest event name, in bytes; longer names are cut and may then share a bucket.
const MAX_EVENT_BYTES: usize = 64;

/// Size of a bucket: the largest burst, in seconds of the rate.
const BURST_S: f64 = 2.0;

/// Time without a line after which a flood counts as over.
const FLOOD_END_AFTER: Duration = Duration::from_secs(1);

/// Time between two reports of dropped lines during a flood that goes on.
const FLOOD_REPORT_PERIOD: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    module: String,
    event: String,
}

#[derive(Debug)]
struct Bucket {
    /// Number of lines that may be written now.
    lines: f64,
    refilled_at: MonoTime,
    /// Lines dropped since the last report.
    dropped: u64,
    /// When the first of these was dropped.
    dropped_since: MonoTime,
    /// When the last line arrived, written or dropped.
    last: MonoTime,
}

/// Report of dropped lines of one module and event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedLines {
    /// Module path, or `other` for pairs beyond `MAX_EVENTS`.
    pub module: String,
    /// Value of `event=`, empty if the lines had none.
    pub event: String,
    /// Number of lines dropped since the last report.
    pub lines: u64,
}

/// Token buckets, one for each pair of module and event.
#[derive(Debug)]
pub struct Limiter {
    lines_per_s: f64,
    buckets: HashMap<Key, Bucket>,
    dropped_total: u64,
}

impl Limiter {
    /// Creates a limiter that admits `lines_per_s` lines a second for each pair of module and event.
    pub fn new(lines_per_s: u64) -> Self {
        Self { lines_per_s: lines_per_s as f64, buckets: HashMap::default(), dropped_total: 0 }
    }

    /// Counts a line and returns whether it may be written.
    pub fn admit(&mut self, now: MonoTime, module: &str, event: &str) -> bool {
        let burst = self.lines_per_s * BURST_S;
        let key = self.key(module, event);
        let bucket = self.buckets.entry(key).or_insert(Bucket {
            lines: burst,
            refilled_at: now,
            dropped: 0,
            dropped_since: now,
            last: now,
        });
        let refilled = bucket.lines + now.since(bucket.refilled_at).as_secs_f64() * self.lines_per_s;
        bucket.lines = refilled.min(burst);
        bucket.refilled_at = now;
        bucket.last = now;
        if bucket.lines >= 1.0 {
            bucket.lines -= 1.0;
            return true;
        }
        if bucket.dropped == 0 {
            bucket.dropped_since = now;
        }
        bucket.dropped += 1;
        self.dropped_total += 1;
        false
    }

    fn key(&self, module: &str, event: &str) -> Key {
        let short = event.char_indices().take_while(|(at, c)| at + c.len_utf8() <= MAX_EVENT_BYTES);
        let key = Key { module: module.to_owned(), event: short.map(|(_, c)| c).collect() };
        if self.buckets.len() < MAX_EVENTS || self.buckets.contains_key(&key) {
            return key;
        }
        Key { module: "other".to_owned(), event: String::new() }
    }

    /// Returns and resets the counts that are due: those of floods that are over or have gone on for
    /// `FLOOD_REPORT_PERIOD`.
    pub fn take_due_reports(&mut self, now: MonoTime) -> Vec<DroppedLines> {
        let mut due = Vec::new();
        for (key, bucket) in self.buckets.iter_mut().filter(|(_, b)| b.dropped > 0) {
            let is_over = now.since(bucket.last) >= FLOOD_END_AFTER;
            if is_over || now.since(bucket.dropped_since) >= FLOOD_REPORT_PERIOD {
                let lines = std::mem::take(&mut bucket.dropped);
                due.push(DroppedLines { module: key.module.clone(), event: key.event.clone(), lines });
            }
        }
        due.sort_by(|a, b| (&a.module, &a.event).cmp(&(&b.module, &b.event)));
        due
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped_total(&mut self) -> u64 {
        std::mem::take(&mut self.dropped_total)
    }

    /// Returns the number of buckets, including the shared one.
    pub fn tracked_pairs(&self) -> usize {
        self.buckets.len()
    }
}
