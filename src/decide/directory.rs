//! Targets as the deployment's directory lists them, through outages of the store that holds it.
//!
//! A target's entry may lapse while the store is away although the target lives, and comes back shortly after the
//! store does. Such a target is kept for a while; one that said it was leaving is not.

use std::{net::SocketAddr, time::Duration};

use crate::{
    collections::{HashMap, HashSet},
    units::{DataCentre, MonoTime, ServiceName, TargetId},
};

/// Time after the store's return for which lapsed entries may still come back.
///
/// Source: the platform states about two seconds.
const STORE_RETURN_GRACE: Duration = Duration::from_secs(2);

/// One target as listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Target.
    pub id: TargetId,
    /// Service it answers for.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Time for which it stays slow after its start, as of the listing.
    pub warm_up: Duration,
    /// Start of its process in milliseconds since the Unix epoch, if it says so; tells two runs under one id apart.
    pub started_unix_ms: Option<u64>,
}

/// One row of the directory.
#[derive(Debug, Clone)]
pub struct DirectoryRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row; rises with each change.
    pub version: u64,
    /// The target; `None` when the row was removed or names no usable target.
    pub listing: Option<Listing>,
}

/// What became known of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// It is new, or another run or address under a known id.
    Added(Listing),
    /// Its listing changed.
    Updated(Listing),
    /// It is gone.
    Removed(TargetId),
}

#[derive(Debug)]
struct Entry {
    version: u64,
    listing: Listing,
    /// Set while the entry is missing and may still come back.
    expires_at: Option<MonoTime>,
}

/// The directory as last read.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<String, Entry>,
    /// Newest version that a reading of all rows was made at.
    version: u64,
    /// Whether the store has not answered since some time.
    is_store_unreachable: bool,
    /// When entries that lapsed meanwhile must be back.
    grace_until: MonoTime,
}

impl Directory {
    /// Notes that the store does not answer.
    pub fn store_lost(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Notes that the store answers.
    pub fn store_answered(&mut self, now: MonoTime) {
        if std::mem::take(&mut self.is_store_unreachable) {
            self.grace_until = now + STORE_RETURN_GRACE;
        }
    }

    /// Takes rows that changed.
    pub fn apply(&mut self, now: MonoTime, rows: Vec<DirectoryRow>) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        for row in rows {
            self.apply_row(now, row, &mut changes);
        }
        changes
    }

    /// Takes all rows as of one version; rows that are missing were removed, unless the reading is older than they are.
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

    /// Removes entries that did not come back in time.
    pub fn expire(&mut self, now: MonoTime) -> Vec<DirectoryChange> {
        let expired = |_: &String, e: &mut Entry| e.expires_at.is_some_and(|at| at <= now);
        self.entries.extract_if(expired).map(|(_, e)| DirectoryChange::Removed(e.listing.id)).collect()
    }

    /// Returns when [`Directory::expire`] is next due.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.entries.values().filter_map(|e| e.expires_at).min()
    }

    /// Returns the listings that may be used.
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
