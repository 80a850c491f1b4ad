//! Directory of targets as registered in the deployment's store, kept usable through outages of the store.
//!
//! A target's entry may expire during an outage of the store although the target is alive; the target
//! registers again shortly after the store is back. Such a target is kept for a grace period. A target that
//! had announced its shutdown is not.

use std::{net::SocketAddr, time::Duration};

use crate::{
    collections::{HashMap, HashSet},
    units::{DataCentre, MonoTime, ServiceName, TargetId},
};

/// Time after the end of a store outage within which expired entries may be registered again.
///
/// The platform states about two seconds.
const STORE_RETURN_GRACE: Duration = Duration::from_secs(2);

/// Directory entry of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Name of the target.
    pub id: TargetId,
    /// Service whose requests it answers.
    pub service: ServiceName,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
    /// Number of requests it processes at once.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// Remaining time for which the target is slow after its start, as of the entry.
    pub warm_up: Duration,
    /// Start time of its process in milliseconds since the Unix epoch, if it states one; distinguishes two
    /// processes under the same name.
    pub started_unix_ms: Option<u64>,
}

/// One row of the directory's table.
#[derive(Debug, Clone)]
pub struct DirectoryRow {
    /// Key of the row in the store's table.
    pub key: String,
    /// Version of the row; rises with each change.
    pub version: u64,
    /// Target that the row describes; `None` if the row was removed or is not usable.
    pub listing: Option<Listing>,
}

/// Change of the set of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A target is new, or a known name has another process or address.
    Added(Listing),
    /// The entry of a known target changed.
    Updated(Listing),
    /// A target was removed.
    Removed(TargetId),
}

#[derive(Debug)]
struct Entry {
    version: u64,
    listing: Listing,
    /// Set while the row is missing and may still be registered again.
    expires_at: Option<MonoTime>,
}

/// The directory as last read from the store.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<String, Entry>,
    /// Highest version at which all rows were read.
    version: u64,
    /// Whether the last access to the store failed.
    is_store_unreachable: bool,
    /// Time by which entries that expired during the outage must be registered again.
    grace_until: MonoTime,
}

impl Directory {
    /// Records that the store does not answer.
    pub fn store_lost(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Records that the store answers; starts the grace period if it did not before.
    pub fn store_answered(&mut self, now: MonoTime) {
        if std::mem::take(&mut self.is_store_unreachable) {
            self.grace_until = now + STORE_RETURN_GRACE;
        }
    }

    /// Applies changed rows.
    pub fn apply(&mut self, now: MonoTime, rows: Vec<DirectoryRow>) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        for row in rows {
            self.apply_row(now, row, &mut changes);
        }
        changes
    }

    /// Applies a reading of all rows at one version. Rows missing from it were removed, unless they are
    /// newer than the reading.
    pub fn replace(&mut self, now: MonoTime, rows: Vec<DirectoryRow>, version: u64) -> Vec<DirectoryChange> {
        if version < self.version {
            return Vec::new();
        }
        self.version = version;
        let present = rows.iter().map(|r| r.key.clone()).collect::<HashSet<_>>();
        let missing = self.entries.iter().filter(|(key, e)| !present.contains(*key) && e.version <= version);
        let missing = missing.map(|(key, _)| DirectoryRow { key: key.clone(), version, listing: None });
        let missing = missing.collect::<Vec<_>>();
        let mut changes = self.apply(now, rows);
        changes.extend(self.apply(now, missing));
        changes
    }

    /// Removes the targets whose grace period is over.
    pub fn expire(&mut self, now: MonoTime) -> Vec<DirectoryChange> {
        let expired = |_: &String, e: &mut Entry| e.expires_at.is_some_and(|at| at <= now);
        self.entries.extract_if(expired).map(|(_, e)| DirectoryChange::Removed(e.listing.id)).collect()
    }

    /// Returns when [`Directory::expire`] is due next.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.entries.values().filter_map(|e| e.expires_at).min()
    }

    /// Returns the entries of all usable targets.
    pub fn listings(&self) -> impl Iterator<Item = &Listing> {
        self.entries.values().map(|e| &e.listing)
    }

    fn apply_row(&mut self, now: MonoTime, row: DirectoryRow, changes: &mut Vec<DirectoryChange>) {
        let Some(listing) = row.listing else {
            self.remove(now, &row.key, row.version, changes);
            return;
        };
        let known = self.entries.get(&row.key);
        if known.is_some_and(|e| e.version > row.version) {
            return;
        }
        let change = match known {
            Some(e) if is_same_run(&e.listing, &listing) => {
                (e.listing != listing).then(|| DirectoryChange::Updated(listing.clone()))
            }
            Some(e) => {
                changes.push(DirectoryChange::Removed(e.listing.id.clone()));
                Some(DirectoryChange::Added(listing.clone()))
            }
            None => Some(DirectoryChange::Added(listing.clone())),
        };
        changes.extend(change);
        self.entries.insert(row.key, Entry { version: row.version, listing, expires_at: None });
    }

    fn remove(&mut self, now: MonoTime, key: &str, version: u64, changes: &mut Vec<DirectoryChange>) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.version <= version) else { return };
        entry.version = version;
        if now < self.grace_until && !entry.listing.draining {
            entry.expires_at.get_or_insert(self.grace_until);
            return;
        }
        if let Some(entry) = self.entries.remove(key) {
            changes.push(DirectoryChange::Removed(entry.listing.id));
        }
    }
}

fn is_same_run(a: &Listing, b: &Listing) -> bool {
    a.id == b.id && a.address == b.address && a.service == b.service && a.started_unix_ms == b.started_unix_ms
}
