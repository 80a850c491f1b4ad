//! Simulated targets in virtual time, with slots, a queue, disturbances and delayed load reports.

use std::collections::VecDeque;

use arbutusshelf::decide::LoadReport;

use crate::trace::Disturbance;

/// Minimum age of the count in a load report, in microseconds.
const REPORT_LAG_US: u64 = 20_000;

/// Index of an attempt among all attempts of a replay.
pub type AttemptIndex = usize;

#[derive(Debug, Clone, Copy)]
struct DisturbanceSpan {
    from_us: u64,
    to_us: u64,
    disturbance: Disturbance,
}

/// One simulated target.
#[derive(Debug)]
pub struct SimulatedTarget {
    /// Number of requests that it works on concurrently.
    pub slots: usize,
    /// Attempts that occupy a slot; at most `slots`.
    pub running: Vec<AttemptIndex>,
    /// Attempts that wait for a slot at this target.
    pub queue: VecDeque<AttemptIndex>,
    /// Disturbances, sorted by start.
    spans: Vec<DisturbanceSpan>,
    /// Counts at the start of the previous and of the current lag period.
    sampled_counts: [u32; 2],
    sampled_at_us: u64,
}

impl SimulatedTarget {
    /// Creates an idle target.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: Vec::new(),
            queue: VecDeque::new(),
            spans: Vec::new(),
            sampled_counts: [0; 2],
            sampled_at_us: 0,
        }
    }

    /// Adds a disturbance. Disturbances must be added in the order of their starts.
    pub fn disturb(&mut self, from_us: u64, for_us: u64, disturbance: Disturbance) {
        self.spans.push(DisturbanceSpan { from_us, to_us: from_us + for_us, disturbance });
    }

    /// Returns the disturbance of the target at a point in time.
    pub fn disturbance(&self, now_us: u64) -> Option<Disturbance> {
        let span = self.spans.iter().find(|s| (s.from_us..s.to_us).contains(&now_us))?;
        Some(span.disturbance)
    }

    /// Returns whether the target works at full speed.
    pub fn is_undisturbed(&self, now_us: u64) -> bool {
        self.disturbance(now_us).is_none()
    }

    /// Returns whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots
    }

    /// Returns the time at which work that starts at `start_us` is done, given all slowdowns meanwhile.
    pub fn finish_us(&self, start_us: u64, work_us: u64) -> u64 {
        let mut now_us = start_us as f64;
        let mut remaining_us = work_us as f64;
        for span in &self.spans {
            let Disturbance::Slow(factor) = span.disturbance else { continue };
            if (span.to_us as f64) <= now_us {
                continue;
            }
            let before = (span.from_us as f64 - now_us).max(0.0);
            if remaining_us <= before {
                break;
            }
            remaining_us -= before;
            now_us += before;
            let within = span.to_us as f64 - now_us;
            if remaining_us * factor <= within {
                return (now_us + remaining_us * factor) as u64;
            }
            remaining_us -= within / factor;
            now_us = span.to_us as f64;
        }
        (now_us + remaining_us) as u64
    }

    /// Returns the target's load report, whose count lags behind by at least `REPORT_LAG_US`.
    pub fn report(&mut self, now_us: u64) -> LoadReport {
        let count = (self.running.len() + self.queue.len()) as u32;
        if now_us >= self.sampled_at_us + REPORT_LAG_US {
            self.sampled_counts = [self.sampled_counts[1], count];
            self.sampled_at_us = now_us;
        }
        LoadReport { in_flight: Some(self.sampled_counts[0]), draining: false }
    }
}
