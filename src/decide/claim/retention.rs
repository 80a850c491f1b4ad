//! How long settled rows are kept, counted by the table itself.
//!
//! The table holds one counter. Any instance raises it by one after it has seen the same version for a whole
//! hour of its own monotonic clock. So the count never runs faster than the fastest clock, whatever the
//! clocks show, and stands still while nobody is there to raise it.

use std::time::Duration;

use super::{ClaimRow, ClaimState, RowVersion};
use crate::units::MonoTime;

/// Hours that settled rows are kept beyond the retention stated in the plan.
///
/// Covers writers whose last reading of the count is old.
pub const RETENTION_MARGIN_H: u64 = 24;

const HOUR: Duration = Duration::from_hours(1);

/// Watches the table's count of hours.
#[derive(Debug, Clone, Copy, Default)]
pub struct HourCounter {
    hour: u64,
    /// Version last seen with the time at which it was first seen; `None` before the first reading.
    seen: Option<(Option<RowVersion>, MonoTime)>,
}

impl HourCounter {
    /// Returns the last count read.
    pub fn hour(&self) -> u64 {
        self.hour
    }

    /// Takes a reading; returns the count to write, under the version read, when an hour has passed.
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

/// Returns whether a row may be removed.
///
/// An open row never is: its holder may be paused for any time and send when it wakes.
pub fn is_expired(row: &ClaimRow, hour: u64, retention_h: u32) -> bool {
    let kept_until = row.written_hour.saturating_add(u64::from(retention_h) + RETENTION_MARGIN_H);
    match row.state {
        ClaimState::Open | ClaimState::Unsettled => false,
        ClaimState::Done(_) | ClaimState::Released => hour > kept_until,
    }
}
