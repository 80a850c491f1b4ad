//! Keeps the requests under which targets have ended in the store.
//!
//! The store outlasts a restart of all instances, and it connects instances that have no link to each other. So each
//! instance writes the ends that it has seen, unless an answer clears them shortly after, and each instance that reads
//! the store by itself reads them.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::{
    Gateway,
    backoff::{Backoff, JITTER},
    identity::IdentityKey,
    platform_adapter::{RowChanges, StoreError, TableRow, TableRows},
    suspects,
};
use crate::{
    decide::suspects::{EndCount, SuspectRecord, SuspectTable},
    kernel::clock::unix_ms,
    store_position::StorePosition,
    units::RequestDigest,
};

/// Key of the row that holds the key of the hashes.
const IDENTITY_KEY_ROW: &str = "identity-key";

/// Value of the metric label `table` for calls of this module.
const SUSPECTS_LABEL: &str = "suspects";

/// Time between an end and its record in the store. Most requests are answered by another target meanwhile, and need
/// no record.
const STORE_DELAY: Duration = Duration::from_millis(250);

/// Time for which the store may delay its response while nothing changes. A connection that falls silent must be given
/// up within the 3 s in which all instances must know of an end.
const FOLLOW_WAIT: Duration = Duration::from_secs(2);

/// Longest time for which an instance that has just started waits for the suspects once it could serve requests. Far
/// more than a reading takes; requests wait meanwhile.
pub const START_WAIT: Duration = Duration::from_millis(500);

/// Time between two checks whether a store that was lost is back.
const STORE_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Time between two looks for what is too old.
const EXPIRY_PERIOD: Duration = Duration::from_mins(1);

/// Most rows in one call; the platform allows 100.
const MAX_ROWS_PER_CALL: usize = 100;

/// Value of a row.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct StoredSuspect {
    /// Number of answers that have cleared the count of ends.
    generation: u32,
    /// Targets that have ended under the request in succession since then.
    ends: u8,
    /// Time of the last change, in milliseconds since the Unix epoch.
    changed_unix_ms: u64,
}

/// Writes what this instance has seen, whenever there is something, and forgets what is too old; runs until dropped.
pub async fn write(gateway: &Gateway) {
    let mut changes = gateway.watch_suspects();
    loop {
        if timeout(EXPIRY_PERIOD, changes.changed()).await.is_err() {
            expire(gateway).await;
            continue;
        }
        sleep(STORE_DELAY).await;
        changes.mark_unchanged();
        if !gateway.identity_key().is_shared {
            // Nobody else could compare the hashes. Sharing the key is a change, too.
            continue;
        }
        let mut pauses = Backoff::for_follower(gateway.estimate_instance_count());
        while let Err(e) = write_unstored(gateway).await {
            log::info!("event=suspects-not-stored error={:?}", e.to_string());
            sleep(pauses.next_pause(Duration::ZERO, rand::random_range(JITTER))).await;
            while gateway.replica().status.is_store_lost {
                sleep(STORE_CHECK_PERIOD).await;
            }
        }
    }
}

async fn write_unstored(gateway: &Gateway) -> Result<(), StoreError> {
    loop {
        let records = gateway.suspects().unstored(gateway.now(), MAX_ROWS_PER_CALL);
        if records.is_empty() {
            return Ok(());
        }
        let put = records.iter().map(|record| (record.digest.to_string(), encode(record))).collect();
        change_rows(gateway, RowChanges { put, ..RowChanges::default() }).await?;
        gateway.suspects().record_stored(&records);
    }
}

async fn change_rows(gateway: &Gateway, changes: RowChanges) -> Result<(), StoreError> {
    let result = (gateway.platform.change_suspects)(changes).await;
    gateway.metrics.record_store_call(SUSPECTS_LABEL, &result);
    result
}

/// Reads what is stored once, for an instance that has just started and reaches no seed yet.
pub async fn read_at_start(gateway: &Gateway) {
    let read = read_once(gateway, None).await;
    gateway.metrics.record_store_call(SUSPECTS_LABEL, &read);
    if let Err(e) = read {
        log::info!("event=suspects-not-read error={:?}", e.to_string());
    }
}

/// Ends the wait for the suspects a while after routes and targets are known.
pub async fn limit_start_wait(gateway: &Gateway) {
    gateway.wait_until(|| gateway.are_routes_and_targets_known()).await;
    if timeout(START_WAIT, gateway.wait_for_suspects()).await.is_err() {
        log::warn!("event=suspects-unknown waited_ms={}", START_WAIT.as_millis());
        gateway.mark_suspects_known();
    }
}

/// Reads what is stored, and each change of it, until dropped.
pub async fn read(gateway: &Gateway) {
    let mut position = None;
    let mut pauses = Backoff::for_follower(gateway.estimate_instance_count());
    loop {
        wait_for_store(gateway).await;
        let asked_at = gateway.now();
        let read = read_once(gateway, position).await;
        gateway.metrics.record_store_call(SUSPECTS_LABEL, &read);
        position = match read {
            Ok(read_at) => read_at,
            Err(e) => {
                if e != StoreError::HistoryGone {
                    log::info!("event=suspects-not-read error={:?}", e.to_string());
                }
                None
            }
        };
        if position.is_none() {
            let took = gateway.now().since(asked_at);
            sleep(pauses.next_pause(took, rand::random_range(JITTER))).await;
        }
    }
}

/// Waits until the store has answered this instance.
async fn wait_for_store(gateway: &Gateway) {
    let mut changes = gateway.watch_replica();
    loop {
        let status = gateway.replica().status;
        if status.answered_since.is_some() && !status.is_store_lost {
            return;
        }
        // The sender lives as long as the gateway, so waiting can't fail.
        let _closed = changes.changed().await;
    }
}

/// Reads the changes since a position, or everything. Returns the position of the reading, or `None` if everything
/// must be read again.
async fn read_once(
    gateway: &Gateway,
    position: Option<StorePosition>,
) -> Result<Option<StorePosition>, StoreError> {
    let Some(after) = position else {
        let rows = (gateway.platform.read_suspects)(()).await?;
        let position = rows.position;
        let obsolete = apply(gateway, &rows);
        gateway.mark_suspects_known();
        remove(gateway, &obsolete).await?;
        let stored = rows.rows.iter().filter(|row| row.value.is_some());
        let stored = stored.filter_map(|row| row.key.parse().ok()).collect::<BTreeSet<RequestDigest>>();
        gateway.suspects().record_missing_in_store(|digest| !stored.contains(&digest));
        gateway.notify_suspect_change(false);
        let has_key = rows.rows.iter().any(|row| row.key == IDENTITY_KEY_ROW && row.value.is_some());
        if !has_key {
            store_key(gateway).await?;
        }
        return Ok(Some(position));
    };
    let rows = (gateway.platform.wait_for_suspects)((after, FOLLOW_WAIT)).await?;
    if rows.position.era != after.era {
        // The store has come back from an older copy.
        return Ok(None);
    }
    apply(gateway, &rows);
    Ok(Some(rows.position))
}

/// Applies rows, and returns the digests of those that are too old.
fn apply(gateway: &Gateway, rows: &TableRows) -> Vec<RequestDigest> {
    if let Some(row) = rows.latest(IDENTITY_KEY_ROW) {
        match row.value.as_deref().map(<[u8; IdentityKey::BYTES]>::try_from) {
            Some(Ok(key)) => gateway.share_identity_key(key.into()),
            Some(Err(_)) => log::warn!("event=identity-key-unreadable position={}", row.position),
            None => {}
        }
    }
    let now = gateway.now();
    let records = rows.rows.iter().filter_map(decode);
    let (obsolete, records) = records.partition::<Vec<_>, _>(SuspectTable::is_obsolete);
    let changes = {
        let mut suspects = gateway.suspects();
        records.iter().filter_map(|record| suspects.merge_stored(now, record)).collect::<Vec<_>>()
    };
    suspects::announce(gateway, &changes, "store");
    obsolete.iter().map(|record| record.digest).collect()
}

/// Stores the key of the hashes that this instance uses. Fails if another instance was first; its key is read
/// with the next reading then.
async fn store_key(gateway: &Gateway) -> Result<(), StoreError> {
    let key = gateway.identity_key().key;
    let put = vec![(IDENTITY_KEY_ROW.to_owned(), Bytes::copy_from_slice(&<[u8; _]>::from(key)))];
    let if_absent = Some(IDENTITY_KEY_ROW.to_owned());
    change_rows(gateway, RowChanges { put, if_absent, ..RowChanges::default() }).await?;
    gateway.share_identity_key(key);
    Ok(())
}

/// Forgets what is too old; an instance that reads the store by itself removes it there, too.
async fn expire(gateway: &Gateway) {
    let obsolete = gateway.suspects().expire(gateway.now());
    if gateway.replica().status.distance > 0 {
        return;
    }
    if let Err(e) = remove(gateway, &obsolete).await {
        // The next reading of all rows finds those that are left.
        log::info!("event=suspects-not-removed error={:?}", e.to_string());
    }
}

async fn remove(gateway: &Gateway, obsolete: &[RequestDigest]) -> Result<(), StoreError> {
    for digests in obsolete.chunks(MAX_ROWS_PER_CALL) {
        let remove = digests.iter().map(ToString::to_string).collect();
        change_rows(gateway, RowChanges { remove, ..RowChanges::default() }).await?;
    }
    Ok(())
}

fn encode(record: &SuspectRecord) -> Bytes {
    let SuspectRecord { count: EndCount { generation, ends }, age, .. } = record;
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let changed_unix_ms = unix_ms().saturating_sub(age_ms);
    let stored = StoredSuspect { generation: *generation, ends: *ends, changed_unix_ms };
    // Writing numbers as JSON never fails.
    Bytes::from(serde_json::to_vec(&stored).unwrap_or_default())
}

/// Decodes a row; `None` if it is removed or of another kind.
fn decode(row: &TableRow) -> Option<SuspectRecord> {
    let digest = row.key.parse().ok()?;
    match serde_json::from_slice::<StoredSuspect>(row.value.as_ref()?) {
        Ok(StoredSuspect { generation, ends, changed_unix_ms }) => {
            let age = Duration::from_millis(unix_ms().saturating_sub(changed_unix_ms));
            Some(SuspectRecord { digest, count: EndCount { generation, ends }, age })
        }
        Err(e) => {
            log::warn!("event=suspect-unreadable key={:?} error={:?}", row.key, e.to_string());
            None
        }
    }
}
