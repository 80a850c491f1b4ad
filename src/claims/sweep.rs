//! Removes settled rows after their retention, a bucket of keys at a time.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::join_all;

use super::{Claims, bucket_prefix, commit::WriteRequest, drive::decode};
use crate::{
    decide::claim::{ClaimState, StoredBody, VersionedRow, is_expired},
    kernel::Kernel,
    plan::{Plan, Priority, RequestKind, ServiceSpec},
    store::{Condition, ObjectCondition, RowChange, RowKey, RowWrite},
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

/// Which bucket of which service is next.
///
/// One bucket is read at a time whatever the number of services, so that reads don't grow with them; each instance
/// begins at its own bucket. A service whose plan has no at-most-once route is passed over, and its rows stay.
///
/// ```
/// use arbutusshelf::{claims::sweep::SweepOrder, plan::sheet};
///
/// let plan = sheet::parse(include_bytes!("../../examples/kremsau.csv")).unwrap();
/// let mut order = SweepOrder::from_bucket(7);
/// let names = (0..3).map(|_| order.next(&plan).unwrap().0.name.to_string()).collect::<Vec<_>>();
/// assert_eq!(names, ["mietkasse", "paarbuch", "mietkasse"]);
/// ```
#[derive(Debug)]
pub struct SweepOrder {
    /// Below [`BUCKETS`].
    bucket: u32,
    /// Place of the next service among those with at-most-once routes.
    place: usize,
}

impl SweepOrder {
    /// Begins at a bucket.
    pub fn from_bucket(bucket: u32) -> Self {
        Self { bucket: bucket % BUCKETS, place: 0 }
    }

    /// Returns the next service and bucket, or `None` when no service has claims.
    pub fn next<'a>(&mut self, plan: &'a Plan) -> Option<(&'a ServiceSpec, u32)> {
        let has_claims = |s: &&ServiceSpec| s.routes.iter().any(|r| r.kind == RequestKind::AtMostOnce);
        let services = plan.services.iter().filter(has_claims).collect::<Vec<_>>();
        if self.place >= services.len() {
            self.place = 0;
            self.bucket = (self.bucket + 1) % BUCKETS;
        }
        let service = services.get(self.place)?;
        self.place += 1;
        Some((*service, self.bucket))
    }
}

/// Sweeps bucket after bucket from a random one on; runs until dropped.
pub async fn run(kernel: Arc<Kernel>) {
    let mut order = SweepOrder::from_bucket(rand::random::<u32>());
    let mut until_reading = 0;
    loop {
        tokio::time::sleep(BUCKET_PERIOD).await;
        if until_reading == 0 || kernel.claims.hour_is_old() {
            kernel.claims.refresh_hour().await;
            until_reading = BUCKETS_PER_READING;
        }
        until_reading -= 1;
        let plan = kernel.plan.current();
        if let Some((service, bucket)) = order.next(&plan) {
            kernel.claims.sweep_bucket(&service.name, service.retention_h, bucket).await;
        }
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

    async fn remove(&self, found: VersionedRow, key: RowKey) -> bool {
        let condition = Condition::VersionIs(found.version.0);
        let write = RowWrite { key, condition, change: RowChange::Delete };
        let entry = WriteRequest { write, priority: Priority::Low, expires_at: None };
        let result = self.shared.commit.write(entry).await;
        let removed = matches!(result, crate::decide::claim::WriteOutcome::TookEffect(_));
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
