//! Cache of the hour counter in the table, by which claim rows are dated.
//!
//! Every instance reads the counter periodically and increments it according to [`HourCounter`].

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;

use crate::{
    decide::claim::{HourCounter, RowVersion},
    kernel::clock::Clock,
    store::{Condition, Platform, ReadError, RowChange, RowKey, RowWrite},
    units::MonoTime,
};

/// Maximum age of a reading that may date a new row. Must stay far below the margin that is added to the
/// retention period of rows.
const MAX_READING_AGE: Duration = Duration::from_hours(1);

/// Returns the key of the row that contains the counter.
pub fn hour_counter_key() -> RowKey {
    RowKey("claim-hours".to_owned())
}

/// Latest reading of the hour counter.
#[derive(Debug)]
pub struct HourCounterCache {
    clock: Clock,
    /// Counter as read last, and when it was read.
    reading: Mutex<Option<(HourCounter, MonoTime)>>,
}

impl HourCounterCache {
    /// Creates a cache without a reading.
    pub fn new(clock: Clock) -> Self {
        Self { clock, reading: Mutex::new(None) }
    }

    /// Returns the counter's value; `None` if the latest reading is too old or there is none.
    pub fn current(&self) -> Option<u64> {
        let reading = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        reading
            .filter(|(_, at)| self.clock.now().since(*at) < MAX_READING_AGE)
            .map(|(counter, _)| counter.hour())
    }

    /// Reads the counter, and increments it if this instance has seen it unchanged for an hour. Returns the
    /// value that was read.
    ///
    /// # Errors
    ///
    /// Returns the error of the read; the cached reading stays.
    pub async fn refresh(&self, platform: &Platform) -> Result<u64, ReadError> {
        let row = (platform.get)(hour_counter_key()).await?;
        let version = row.as_ref().map(|r| RowVersion(r.version));
        let hour = row.and_then(|r| std::str::from_utf8(&r.value).ok()?.parse().ok()).unwrap_or(0);
        let next_hour = self.observe(hour, version);
        if let Some(next_hour) = next_hour {
            let condition = version.map_or(Condition::Absent, |v| Condition::VersionIs(v.0));
            let change = RowChange::Put(Bytes::from(next_hour.to_string()));
            // If another instance has incremented the counter first, this write fails and the next read
            // returns the new value.
            let _ignored =
                (platform.write)(vec![RowWrite { key: hour_counter_key(), condition, change }]).await;
        }
        Ok(hour)
    }

    /// Records a reading; returns the value to write if the counter is due for an increment.
    fn observe(&self, hour: u64, version: Option<RowVersion>) -> Option<u64> {
        let now = self.clock.now();
        let mut reading = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        let (counter, at) = reading.get_or_insert((HourCounter::default(), now));
        *at = now;
        counter.observe(now, hour, version)
    }
}
