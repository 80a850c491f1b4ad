//! Removes settled claim rows after their retention period, one bucket of keys at a time.

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

/// Time between the sweeps of two buckets.
const BUCKET_INTERVAL: Duration = Duration::from_secs(1);

/// Number of buckets swept between two reads of the hour counter.
const BUCKETS_PER_COUNTER_READ: u32 = 60;

/// Maximum number of rows removed from a bucket in one pass.
const MAX_REMOVED_PER_PASS: usize = 64;

/// Number of buckets of each service.
const BUCKET_COUNT: u32 = 1 << 16;

/// Order in which the buckets of all services are swept.
///
/// One bucket is swept at a time, so the read rate does not grow with the number of services. Each instance
/// starts at a random bucket. Services without an at-most-once route in the plan are skipped, and their rows
/// stay.
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
    /// Current bucket, less than [`BUCKET_COUNT`].
    bucket: u32,
    /// Index of the next service among the services with at-most-once routes.
    service_index: usize,
}

impl SweepOrder {
    /// Starts at a bucket; a number beyond the last bucket wraps around.
    pub fn from_bucket(bucket: u32) -> Self {
        Self { bucket: bucket % BUCKET_COUNT, service_index: 0 }
    }

    /// Returns the next service and bucket; `None` if no service of the plan has at-most-once routes.
    pub fn next<'a>(&mut self, plan: &'a Plan) -> Option<(&'a ServiceSpec, u32)> {
        let has_claims = |s: &&ServiceSpec| s.routes.iter().any(|r| r.kind == RequestKind::AtMostOnce);
        let services = plan.services.iter().filter(has_claims).collect::<Vec<_>>();
        if self.service_index >= services.len() {
            self.service_index = 0;
            self.bucket = (self.bucket + 1) % BUCKET_COUNT;
        }
        let service = services.get(self.service_index)?;
        self.service_index += 1;
        Some((*service, self.bucket))
    }
}

/// Sweeps buckets one after another, starting at a random one, until the future is dropped.
pub async fn run(kernel: Arc<Kernel>) {
    let mut order = SweepOrder::from_bucket(rand::random::<u32>());
    let mut buckets_until_read = 0;
    loop {
        tokio::time::sleep(BUCKET_INTERVAL).await;
        if buckets_until_read == 0 || kernel.claims.hour_counter_is_stale() {
            kernel.claims.refresh_hour_counter().await;
            buckets_until_read = BUCKETS_PER_COUNTER_READ;
        }
        buckets_until_read -= 1;
        let plan = kernel.plan.current();
        if let Some((service, bucket)) = order.next(&plan) {
            kernel.claims.sweep_bucket(&service.name, service.retention_h, bucket).await;
        }
    }
}

impl Claims {
    fn hour_counter_is_stale(&self) -> bool {
        self.shared.hour_counter.current().is_none()
    }

    /// Reads the hour counter and increments it when it is due. A failed read is only logged.
    pub async fn refresh_hour_counter(&self) {
        if let Err(e) = self.shared.hour_counter.refresh(&self.shared.platform).await {
            log::debug!("event=claim-hours-not-read error={:?}", e.to_string());
        }
    }

    /// Removes rows of one bucket whose retention period, in hours, has passed; returns the number of removed
    /// rows.
    ///
    /// Removes nothing if the hour counter is not known or the bucket cannot be read.
    pub async fn sweep_bucket(&self, service: &ServiceName, retention_h: u32, bucket: u32) -> usize {
        let Some(hour) = self.shared.hour_counter.current() else { return 0 };
        let prefix = bucket_prefix(service, &format!("{bucket:04x}"));
        let Ok(rows) = (self.shared.platform.scan)(prefix).await else { return 0 };
        let found = rows.into_iter().filter_map(|r| Some((decode(&r).ok()?, r.key)));
        let expired = found.filter(|(f, _)| is_expired(&f.row, hour, retention_h)).take(MAX_REMOVED_PER_PASS);
        let removed = join_all(expired.map(|(found, key)| self.remove(found, key))).await;
        removed.into_iter().filter(|removed| *removed).count()
    }

    /// Removes a row that is unchanged since it was read, and empties the object that it refers to; returns
    /// whether the row was removed.
    async fn remove(&self, found: VersionedRow, key: RowKey) -> bool {
        let condition = Condition::VersionIs(found.version.0);
        let write = RowWrite { key, condition, change: RowChange::Delete };
        let request = WriteRequest { write, priority: Priority::Low, expires_at: None };
        let result = self.shared.commit.write(request).await;
        let removed = matches!(result, crate::decide::claim::WriteOutcome::TookEffect(_));
        if let ClaimState::Done(answer) = found.row.state
            && let (true, StoredBody::Object(name)) = (removed, answer.body)
        {
            // The object store cannot delete objects, so the object is overwritten with an empty one. If that
            // fails, the old body stays.
            let _best_effort =
                (self.shared.platform.put_object)((name, Bytes::new(), ObjectCondition::Any)).await;
        }
        removed
    }
}
