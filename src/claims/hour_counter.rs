//! The table's count of hours, read now and then and raised when it is due.

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

/// Age beyond which a reading no longer dates a new row; far below the margin of the retention.
const MAX_AGE: Duration = Duration::from_hours(1);

/// Key of the row that holds the count.
pub fn hour_counter_key() -> RowKey {
    RowKey("claim-hours".to_owned())
}

/// Last reading of the count.
#[derive(Debug)]
pub struct HourCounterCache {
    clock: Clock,
    reading: Mutex<Option<(HourCounter, MonoTime)>>,
}

impl HourCounterCache {
    /// Creates hours that have not been read.
    pub fn new(clock: Clock) -> Self {
        Self { clock, reading: Mutex::new(None) }
    }

    /// Returns the count, if it was read lately.
    pub fn current(&self) -> Option<u64> {
        let reading = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        reading.filter(|(_, at)| self.clock.now().since(*at) < MAX_AGE).map(|(count, _)| count.hour())
    }

    /// Reads the count and raises it when an hour has passed here.
    ///
    /// # Errors
    ///
    /// The error of the read; the last reading stays.
    pub async fn refresh(&self, platform: &Platform) -> Result<u64, ReadError> {
        let row = (platform.get)(hour_counter_key()).await?;
        let version = row.as_ref().map(|r| RowVersion(r.version));
        let hour = row.and_then(|r| std::str::from_utf8(&r.value).ok()?.parse().ok()).unwrap_or(0);
        let raised = self.observe(hour, version);
        if let Some(raised) = raised {
            let condition = version.map_or(Condition::Absent, |v| Condition::VersionIs(v.0));
            let change = RowChange::Put(Bytes::from(raised.to_string()));
            // Whoever raises it first wins; the others read it.
            let _any = (platform.write)(vec![RowWrite { key: hour_counter_key(), condition, change }]).await;
        }
        Ok(hour)
    }

    fn observe(&self, hour: u64, version: Option<RowVersion>) -> Option<u64> {
        let now = self.clock.now();
        let mut reading = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        let (count, at) = reading.get_or_insert((HourCounter::default(), now));
        *at = now;
        count.observe(now, hour, version)
    }
}
