//! Retention of settled rows, measured in hours that the table itself counts.
//!
//! The table holds one counter. Any instance increments it after seeing the same version for a whole hour of
//! its own monotonic clock. The count therefore never advances faster than the fastest of these clocks,
//! whatever the wall clocks show, and stands still while no instance is running.

use std::time::Duration;

use super::{ClaimRow, ClaimState, RowVersion};
use crate::units::MonoTime;

/// Hours for which settled rows are kept beyond the retention configured in the plan.
///
/// Covers instances that write rows with an old reading of the counter.
pub const RETENTION_MARGIN_H: u64 = 24;

const HOUR: Duration = Duration::from_hours(1);

/// Observes the table's hour counter and decides when to increment it.
#[derive(Debug, Clone, Copy, Default)]
pub struct HourCounter {
    hour: u64,
    /// Version last seen, with the time at which it was first seen; `None` before the first reading.
    seen: Option<(Option<RowVersion>, MonoTime)>,
}

impl HourCounter {
    /// Returns the highest count read so far.
    pub fn hour(&self) -> u64 {
        self.hour
    }

    /// Processes a reading of the counter. Once an hour has passed since `version` was first seen, returns
    /// the count to write on condition that the row still has that version.
    pub fn observe(&mut self, now: MonoTime, hour: u64, version: Option<RowVersion>) -> Option<u64> {
        self.hour = self.hour.max(hour);
        match self.seen {
            Some((seen, since)) if seen == version => (now.since(since) >= HOUR).then(|| hour + 1),
            _ => {
                self.seen = Some((version, now));
                None
            }
        }
    }
}

/// Returns whether a row may be deleted.
///
/// An open row never expires: its holder may be paused for any length of time and send the request when it
/// resumes.
pub fn is_expired(row: &ClaimRow, hour: u64, retention_h: u32) -> bool {
    let kept_until = row.written_hour.saturating_add(u64::from(retention_h) + RETENTION_MARGIN_H);
    match row.state {
        ClaimState::Open | ClaimState::Unsettled => false,
        ClaimState::Done(_) | ClaimState::Released => hour > kept_until,
    }
}
