//! At most once: one claim per idempotency key in the table service before the one send.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    error::ErrorKind,
    platform::{Condition, Platform, RowChange, RowKey, RowWrite, WriteResult},
    units::{RunId, ServiceName},
};

/// Pause between two tries to read, record or release.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Tries to write a claim that the store refuses.
const CLAIM_TRIES: u32 = 20;

/// Tries to read a claim back before the caller is told that nothing ran.
const READ_BACK_TRIES: u32 = 3;

/// Tries to record an answer before the row stays open.
const RECORD_TRIES: u32 = 100;

/// Content of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Unique to one try to claim.
    pub token: String,
    /// Digest of method, path and body; a repeated key with another one is refused.
    pub fingerprint: String,
    /// The answer, once the request ran.
    pub stored: Option<StoredAnswer>,
}

/// An answer kept for repeated calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, if there was one.
    pub content_type: Option<String>,
    /// Body, as bytes.
    pub body: Vec<u8>,
}

/// A claim that this instance holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    key: RowKey,
    version: u64,
    row: ClaimRow,
}

/// What came of a try to claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// Send the request, once.
    Won(Held),
    /// It ran before; this was the answer.
    Stored(StoredAnswer),
    /// Do not send; tell the caller this.
    Refused(ErrorKind),
}

/// Takes, records and releases claims.
#[derive(Debug, Clone)]
pub struct Claims {
    platform: Platform,
    run_id: RunId,
}

impl Claims {
    /// Creates claims over a table.
    pub fn new(platform: Platform, run_id: RunId) -> Self {
        Self { platform, run_id }
    }

    /// Tries to claim `key` of a service.
    pub async fn claim(&self, service: &ServiceName, key: &str, fingerprint: String) -> ClaimResult {
        let token = format!("{}-{:016x}", self.run_id, rand::random::<u64>());
        let row = ClaimRow { token, fingerprint, stored: None };
        let key = RowKey(format!("claim/{service}/{key}"));
        let write = RowWrite { key: key.clone(), condition: Condition::Absent, change: put(&row) };
        let mut result = (self.platform.write)(vec![write.clone()]).await;
        for _ in 0..CLAIM_TRIES {
            if result != WriteResult::Refused {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            result = (self.platform.write)(vec![write.clone()]).await;
        }
        match result {
            WriteResult::TookEffect(versions) => {
                ClaimResult::Won(Held { key, version: versions.first().copied().unwrap_or(0), row })
            }
            WriteResult::Conflict(_) => self.read_winner(key, row).await,
            WriteResult::Refused => ClaimResult::Refused(ErrorKind::StoreUnavailable),
            WriteResult::Unknown => self.settle(key, row).await,
        }
    }

    async fn read_winner(&self, key: RowKey, own: ClaimRow) -> ClaimResult {
        let Ok(Some(found)) = (self.platform.get)(key.clone()).await else {
            return ClaimResult::Refused(ErrorKind::StoreUnavailable);
        };
        let Ok(row) = serde_json::from_slice::<ClaimRow>(&found.value) else {
            return ClaimResult::Refused(ErrorKind::KeyUnsettled);
        };
        if row.token == own.token {
            return ClaimResult::Won(Held { key, version: found.version, row });
        }
        if row.fingerprint != own.fingerprint {
            return ClaimResult::Refused(ErrorKind::KeyReused);
        }
        row.stored.map_or(ClaimResult::Refused(ErrorKind::KeyUnsettled), ClaimResult::Stored)
    }

    /// Reads back a claim whose reply was lost; gives it up and releases it when that fails.
    async fn settle(&self, key: RowKey, own: ClaimRow) -> ClaimResult {
        for _ in 0..READ_BACK_TRIES {
            if let Ok(Some(_)) = (self.platform.get)(key.clone()).await {
                return self.read_winner(key, own).await;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        // Never sent under this token from here on, so the row may be deleted whenever it shows up.
        tokio::spawn(release(self.platform.clone(), key, own.token));
        ClaimResult::Refused(ErrorKind::StoreUnavailable)
    }

    /// Records the answer of a held claim; the row stays open when the store does not take it.
    pub async fn record(&self, held: Held, answer: StoredAnswer) {
        let row = ClaimRow { stored: Some(answer), ..held.row };
        for _ in 0..RECORD_TRIES {
            let condition = Condition::VersionIs(held.version);
            let write = RowWrite { key: held.key.clone(), condition, change: put(&row) };
            match (self.platform.write)(vec![write]).await {
                WriteResult::TookEffect(_) | WriteResult::Conflict(_) => return,
                WriteResult::Refused | WriteResult::Unknown => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Releases a held claim whose request provably did not run.
    pub fn release(&self, held: Held) {
        tokio::spawn(release(self.platform.clone(), held.key, held.row.token));
    }
}

fn put(row: &ClaimRow) -> RowChange {
    RowChange::Put(serde_json::to_vec(row).map(Bytes::from).unwrap_or_default())
}

/// Deletes the row of `token` when it shows up.
async fn release(platform: Platform, key: RowKey, token: String) {
    for _ in 0..RECORD_TRIES {
        if let Ok(Some(found)) = (platform.get)(key.clone()).await {
            let of_token =
                serde_json::from_slice::<ClaimRow>(&found.value).is_ok_and(|row| row.token == token);
            if !of_token {
                return;
            }
            let condition = Condition::VersionIs(found.version);
            let write = RowWrite { key: key.clone(), condition, change: RowChange::Delete };
            if matches!((platform.write)(vec![write]).await, WriteResult::TookEffect(_)) {
                return;
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    log::warn!("event=claim-not-released key={}", crate::logging::escape::Hidden(&key.0));
}
