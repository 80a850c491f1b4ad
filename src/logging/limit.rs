//! Limits the lines of each module and event, and counts what it holds back.
//!
//! Pure: time is passed in. Memory is bounded by `MAX_EVENTS`.

use std::time::Duration;

use crate::{collections::HashMap, units::MonoTime};

/// Module and event pairs told apart; further ones share one limit.
const MAX_EVENTS: usize = 256;

/// Longest event name told apart, in bytes.
const MAX_EVENT_BYTES: usize = 64;

/// Lines that may come at once, in seconds of the rate.
const BURST_S: f64 = 2.0;

/// Silence after which a flood has ended.
const FLOOD_END: Duration = Duration::from_secs(1);

/// Time between two counts of what a flood that goes on lost.
const FLOOD_REPORT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    module: String,
    event: String,
}

#[derive(Debug)]
struct Bucket {
    /// Lines that may pass now.
    lines: f64,
    filled_at: MonoTime,
    /// Lines held back since the last report.
    dropped: u64,
    /// When the first of these was held back.
    dropped_since: MonoTime,
    /// When the last line came, passed or not.
    last: MonoTime,
}

/// Lines of one module and event that were held back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedLines {
    /// Module.
    pub module: String,
    /// Event.
    pub event: String,
    /// Lines.
    pub lines: u64,
}

/// Token buckets by module and event.
#[derive(Debug)]
pub struct Limiter {
    lines_per_s: f64,
    buckets: HashMap<Key, Bucket>,
    dropped_total: u64,
}

impl Limiter {
    /// Creates a limiter that lets a number of lines a second through for each module and event.
    pub fn new(lines_per_s: u64) -> Self {
        Self { lines_per_s: lines_per_s as f64, buckets: HashMap::default(), dropped_total: 0 }
    }

    /// Takes a line and returns whether it may be written.
    pub fn admit(&mut self, now: MonoTime, module: &str, event: &str) -> bool {
        let burst = self.lines_per_s * BURST_S;
        let key = self.key(module, event);
        let bucket = self.buckets.entry(key).or_insert(Bucket {
            lines: burst,
            filled_at: now,
            dropped: 0,
            dropped_since: now,
            last: now,
        });
        let filled = bucket.lines + now.since(bucket.filled_at).as_secs_f64() * self.lines_per_s;
        bucket.lines = filled.min(burst);
        bucket.filled_at = now;
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

    /// Returns what to report now: floods that ended, and those that have gone on for long.
    pub fn take_due_reports(&mut self, now: MonoTime) -> Vec<DroppedLines> {
        let mut due = Vec::new();
        for (key, bucket) in self.buckets.iter_mut().filter(|(_, b)| b.dropped > 0) {
            let ended = now.since(bucket.last) >= FLOOD_END;
            if ended || now.since(bucket.dropped_since) >= FLOOD_REPORT {
                let lines = std::mem::take(&mut bucket.dropped);
                due.push(DroppedLines { module: key.module.clone(), event: key.event.clone(), lines });
            }
        }
        due.sort_by(|a, b| (&a.module, &a.event).cmp(&(&b.module, &b.event)));
        due
    }

    /// Returns the lines held back since the last time this was asked.
    pub fn take_dropped_total(&mut self) -> u64 {
        std::mem::take(&mut self.dropped_total)
    }

    /// Returns how many pairs of module and event are told apart now.
    pub fn tracked_pairs(&self) -> usize {
        self.buckets.len()
    }
}
