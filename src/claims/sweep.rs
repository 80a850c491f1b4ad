//! Removes settled rows after their retention, a bucket of keys at a time.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::join_all;

use super::{Claims, bucket_prefix, commit::Entry, drive::decode};
use crate::{
    decide::claim::{ClaimState, FoundRow, StoredBody, is_expired},
    kernel::Kernel,
    plan::Priority,
    platform::{Condition, ObjectCondition, RowChange, RowKey, RowWrite},
    units::ServiceName,
};

/// Time between two buckets.
const BUCKET_PERIOD: Duration = Duration::from_secs(1);

/// Buckets between two readings of the count of hours.
const BUCKETS_PER_READING: u32 = 60;

/// Most rows removed from one bucket in one pass.
const MAX_REMOVED: usize = 64;

/// Number of buckets of one service.
const BUCKETS: u32 = 1 << 16;

/// Sweeps bucket after bucket from a random one on; runs until dropped.
pub async fn run(kernel: Arc<Kernel>) {
    let mut bucket = rand::random::<u32>() % BUCKETS;
    loop {
        tokio::time::sleep(BUCKET_PERIOD).await;
        if bucket.is_multiple_of(BUCKETS_PER_READING) || kernel.claims.hour_is_old() {
            kernel.claims.refresh_hour().await;
        }
        for service in &kernel.plan.current().services {
            kernel.claims.sweep_bucket(&service.name, service.retention_h, bucket).await;
        }
        bucket = (bucket + 1) % BUCKETS;
    }
}

impl Claims {
    fn hour_is_old(&self) -> bool {
        self.shared.hours.current().is_none()
    }

    /// Reads the table's count of hours and raises it when due.
    pub async fn refresh_hour(&self) {
        if let Err(e) = self.shared.hours.refresh(&self.shared.platform).await {
            log::debug!("event=claim-hours-not-read error={:?}", e.to_string());
        }
    }

    /// Removes expired rows of one bucket; returns how many.
    pub async fn sweep_bucket(&self, service: &ServiceName, retention_h: u32, bucket: u32) -> usize {
        let Some(hour) = self.shared.hours.current() else { return 0 };
        let prefix = bucket_prefix(service, &format!("{bucket:04x}"));
        let Ok(rows) = (self.shared.platform.scan)(prefix).await else { return 0 };
        let found = rows.into_iter().filter_map(|r| Some((decode(&r).ok()?, r.key)));
        let expired = found.filter(|(f, _)| is_expired(&f.row, hour, retention_h)).take(MAX_REMOVED);
        let removed = join_all(expired.map(|(found, key)| self.remove(found, key))).await;
        removed.into_iter().filter(|removed| *removed).count()
    }

    async fn remove(&self, found: FoundRow, key: RowKey) -> bool {
        let condition = Condition::VersionIs(found.version.0);
        let write = RowWrite { key, condition, change: RowChange::Delete };
        let entry = Entry { write, priority: Priority::Low, expires_at: None };
        let result = self.shared.commit.write(entry).await;
        let removed = matches!(result, crate::decide::claim::Wrote::TookEffect(_));
        if let ClaimState::Done(answer) = found.row.state
            && let (true, StoredBody::Object(name)) = (removed, answer.body)
        {
            // The object store removes nothing, so the body is emptied; a failure leaves the bytes behind.
            let _best_effort =
                (self.shared.platform.put_object)((name, Bytes::new(), ObjectCondition::Any)).await;
        }
        removed
    }
}
