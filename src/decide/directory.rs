//! Directory of targets as registered in the deployment's store, kept usable through outages of the store.
//!
//! A target's entry may expire during an outage of the store although the target is alive; the target
//! registers again shortly after the store is back. Such a target is kept for a grace period. A target that
//! had announced its shutdown is not.
//!
//! The store may also come back from an older copy. What a target last said of itself then counts more than
//! what the copy says of it: its start time and its sequence number tell which one is later. So a target that
//! was draining or had left is not used again because the copy still lists it.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;

use crate::{
    collections::{HashMap, HashSet},
    store_position::StorePosition,
    units::{DataCentre, MonoTime, ServiceName, TargetId},
};

/// Time after the end of a store outage within which expired entries may be registered again.
///
/// The platform states about two seconds.
pub const STORE_RETURN_GRACE: Duration = Duration::from_secs(2);

/// Share of the shortest time in which an entry can lapse from which on an absence of the store counts as one that may
/// have let it lapse: heartbeats come early at times, and the absence began after the store was heard last.
const LAPSE_MARGIN: f64 = 0.8;

/// Time for which a removed target is remembered. A copy of the store that still lists it is only some seconds
/// old.
const REMOVED_RETENTION: Duration = Duration::from_mins(2);

/// Time for which it is remembered that a target leaves, once it is not listed any more: far longer than an entry is
/// away that lapses and returns.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

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
    /// Number that the target raises with each entry that it writes, from its start on.
    pub sequence: u64,
}

impl Listing {
    /// Returns the order of the entries that targets of this name have written.
    fn written_order(&self) -> WrittenOrder {
        (self.started_unix_ms, self.sequence)
    }
}

/// Start time and sequence number of an entry. The entries of one name are ordered by the process that wrote
/// them first: a restarted target counts anew.
type WrittenOrder = (Option<u64>, u64);

/// One row of the directory's table.
#[derive(Debug, Clone)]
pub struct DirectoryRow {
    /// Key of the row in the store's table.
    pub key: String,
    /// Position of the row's last change in the store's history.
    pub position: StorePosition,
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

#[derive(Debug, Clone)]
struct Entry {
    position: StorePosition,
    listing: Listing,
    /// Set while the row is missing and may still be registered again.
    expires_at: Option<MonoTime>,
}

/// A target whose row was removed.
#[derive(Debug, Clone)]
struct RemovedTarget {
    /// Position of the removal.
    position: StorePosition,
    written: WrittenOrder,
    removed_at: MonoTime,
}

/// How targets keep their entries in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EntryLease {
    /// Time between two heartbeats, with each of which a target writes its entry.
    pub heartbeat: Duration,
    /// Number of heartbeats after which the entry lapses if the target writes none.
    pub length_heartbeats: u32,
}

impl EntryLease {
    /// Returns the shortest absence of the store in which an entry can lapse. The last heartbeat before the absence may
    /// have been nearly one earlier.
    pub fn min_lapse_time(&self) -> Duration {
        self.heartbeat.mul_f64(LAPSE_MARGIN) * self.length_heartbeats.saturating_sub(1)
    }
}

/// Which removals are held back after an absence of the store, for [`STORE_RETURN_GRACE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
#[display(rename_all = "kebab-case")]
pub enum HeldRemovals {
    /// None: no heartbeat was missed.
    #[default]
    None,
    /// Those that would leave less than half of a service's targets: no entry should have lapsed yet, but so many
    /// targets hardly leave at once.
    Many,
    /// All: any entry may have lapsed.
    All,
}

/// A time for which the store was not heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAbsence {
    /// How long it lasted.
    pub length: Duration,
    /// Which removals are held back after it.
    pub held: HeldRemovals,
}

/// The directory as last read from the store.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: HashMap<String, Entry>,
    /// Targets that were removed within [`REMOVED_RETENTION`], by the key of their row.
    removed: HashMap<String, RemovedTarget>,
    /// Runs of targets that have stated in a response that they leave, by the key of their row, and when they were
    /// listed last.
    leaving: HashMap<String, (Listing, MonoTime)>,
    /// Latest position at which all rows were read; `None` before the first reading.
    position: Option<StorePosition>,
    /// Time since which the store was not heard, if the last access to it failed.
    unheard_since: Option<MonoTime>,
    lease: EntryLease,
    /// Which removals are held back until `grace_until`.
    held: HeldRemovals,
    /// Time by which entries that expired during the outage must be registered again.
    grace_until: MonoTime,
    /// Number of targets of each service that were removed in the present grace period.
    removed_in_grace: HashMap<ServiceName, usize>,
}

impl Directory {
    /// Creates an empty directory of targets that keep their entries by `lease`.
    pub fn new(lease: EntryLease) -> Self {
        Self { lease, ..Self::default() }
    }

    /// Records that a target has stated in a response that it leaves. It stays draining, whatever its entry says, until
    /// another run has its name. Returns the change if it was not draining.
    pub fn record_leaving(&mut self, now: MonoTime, id: &TargetId) -> Option<DirectoryChange> {
        let entry = self.entries.get_mut(id.as_str())?;
        let was_draining = std::mem::replace(&mut entry.listing.draining, true);
        let listing = entry.listing.clone();
        self.leaving.insert(id.as_str().to_owned(), (listing.clone(), now));
        (!was_draining).then_some(DirectoryChange::Updated(listing))
    }

    /// Records that the store does not answer, and was heard last at `heard_at`. A later time of the same absence
    /// changes nothing.
    pub fn store_lost(&mut self, heard_at: MonoTime) {
        self.unheard_since.get_or_insert(heard_at);
    }

    /// Records that the store answers again, and that it has answered some instance since `since`. Starts the
    /// grace period if it was away for so long that an entry can have lapsed, and ends an earlier one sooner if the
    /// store was back sooner than was known. Returns for how long the store was not heard, if it was not.
    pub fn store_answered(&mut self, since: MonoTime) -> Option<StoreAbsence> {
        let until = since + STORE_RETURN_GRACE;
        let absence = self.unheard_since.take().map(|heard_at| {
            let length = since.since(heard_at);
            StoreAbsence { length, held: self.held_after(length) }
        });
        if let Some(StoreAbsence { held, .. }) = absence.filter(|absence| absence.held != HeldRemovals::None)
        {
            self.start_grace(until, held);
        }
        self.grace_until = self.grace_until.min(until);
        for entry in self.entries.values_mut() {
            entry.expires_at = entry.expires_at.map(|at| at.min(until));
        }
        absence
    }

    /// Applies changed rows.
    pub fn apply(&mut self, now: MonoTime, rows: Vec<DirectoryRow>) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        for row in rows {
            self.apply_row(now, row, &mut changes);
        }
        changes
    }

    /// Applies a reading of all rows at one position. Rows missing from it were removed, unless they are
    /// newer than the reading. If the store has come back from an older copy, they may be registered again.
    pub fn replace(
        &mut self,
        now: MonoTime,
        rows: Vec<DirectoryRow>,
        position: StorePosition,
    ) -> Vec<DirectoryChange> {
        if self.position.is_some_and(|known| position < known) {
            return Vec::new();
        }
        if self.position.is_some_and(|known| position.era > known.era) {
            self.start_grace(now + STORE_RETURN_GRACE, HeldRemovals::All);
        }
        self.position = Some(position);
        let present = rows.iter().map(|r| r.key.clone()).collect::<HashSet<_>>();
        let missing =
            self.entries.iter().filter(|(key, e)| !present.contains(*key) && e.position <= position);
        let missing = missing.map(|(key, _)| DirectoryRow { key: key.clone(), position, listing: None });
        let missing = missing.collect::<Vec<_>>();
        let mut changes = self.apply(now, rows);
        changes.extend(self.apply(now, missing));
        changes
    }

    /// Returns whether a row lists a target that has been removed and has not written the row since: the store came back
    /// from an older copy.
    pub fn is_known_removed(&self, row: &DirectoryRow) -> bool {
        let listing = row.listing.as_ref();
        listing.is_some_and(|listing| self.was_removed_after(&row.key, row.position, listing))
    }

    /// Removes the targets whose grace period is over.
    pub fn expire(&mut self, now: MonoTime) -> Vec<DirectoryChange> {
        let is_expired = |e: &Entry| e.expires_at.is_some_and(|at| at <= now);
        let expired = self.entries.iter().filter(|(_, e)| is_expired(e)).map(|(key, _)| key.clone());
        let expired = expired.collect::<Vec<_>>();
        expired.into_iter().filter_map(|key| self.forget(now, &key)).collect()
    }

    /// Returns when [`Directory::expire`] is due next.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.entries.values().filter_map(|e| e.expires_at).min()
    }

    /// Returns the entry of a usable target.
    pub fn get(&self, id: &TargetId) -> Option<&Listing> {
        self.entries.get(id.as_str()).map(|entry| &entry.listing)
    }

    /// Returns the entries of all usable targets.
    pub fn listings(&self) -> impl Iterator<Item = &Listing> {
        self.entries.values().map(|e| &e.listing)
    }

    fn apply_row(&mut self, now: MonoTime, row: DirectoryRow, changes: &mut Vec<DirectoryChange>) {
        let Some(mut listing) = row.listing else {
            self.remove(now, &row.key, row.position, changes);
            return;
        };
        match self.leaving.get_mut(&row.key) {
            Some((leaving, listed_at)) if is_same_run(leaving, &listing) => {
                listing.draining = true;
                *listed_at = now;
            }
            _ => {}
        }
        if self.was_removed_after(&row.key, row.position, &listing) {
            return;
        }
        let known = self.entries.get_mut(&row.key);
        if known.as_ref().is_some_and(|e| e.position > row.position) {
            return;
        }
        if let Some(e) = known
            && e.position.era < row.position.era
            && e.listing.written_order() >= listing.written_order()
        {
            // The row is from an older copy of the store; what the target said later still holds.
            e.position = row.position;
            e.expires_at = None;
            return;
        }
        let known = self.entries.get(&row.key);
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
        self.removed.remove(&row.key);
        if !listing.draining {
            // Another run has the name.
            self.leaving.remove(&row.key);
        }
        self.entries.insert(row.key, Entry { position: row.position, listing, expires_at: None });
    }

    /// Returns whether the target of a row was removed in an earlier era of the store and has not written the
    /// row since.
    fn was_removed_after(&self, key: &str, position: StorePosition, listing: &Listing) -> bool {
        self.removed.get(key).is_some_and(|removed| {
            removed.position.era < position.era && removed.written >= listing.written_order()
        })
    }

    fn remove(
        &mut self,
        now: MonoTime,
        key: &str,
        position: StorePosition,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let Some(entry) = self.entries.get(key).filter(|e| e.position <= position) else { return };
        let is_held =
            now < self.grace_until && !entry.listing.draining && self.is_held(&entry.listing.service);
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.position = position;
        if is_held {
            entry.expires_at.get_or_insert(self.grace_until);
            return;
        }
        *self.removed_in_grace.entry(entry.listing.service.clone()).or_default() += 1;
        changes.extend(self.forget(now, key));
    }

    fn held_after(&self, absence: Duration) -> HeldRemovals {
        if absence >= self.lease.min_lapse_time() {
            HeldRemovals::All
        } else if absence >= self.lease.heartbeat {
            HeldRemovals::Many
        } else {
            HeldRemovals::None
        }
    }

    fn start_grace(&mut self, until: MonoTime, held: HeldRemovals) {
        self.grace_until = until;
        self.held = held;
        self.removed_in_grace.clear();
    }

    /// Returns whether the removal of a further target of a service is held back in the grace period.
    fn is_held(&self, service: &ServiceName) -> bool {
        match self.held {
            HeldRemovals::None => false,
            HeldRemovals::All => true,
            HeldRemovals::Many => {
                let removed = self.removed_in_grace.get(service).copied().unwrap_or_default();
                let is_usable = |e: &&Entry| e.listing.service == *service && !e.listing.draining;
                let listed = self.entries.values().filter(is_usable).count();
                (removed + 1) * 2 > listed + removed
            }
        }
    }

    /// Removes a target and remembers until when its entries were known.
    fn forget(&mut self, now: MonoTime, key: &str) -> Option<DirectoryChange> {
        let Entry { position, listing, .. } = self.entries.remove(key)?;
        self.removed.retain(|_, removed| now.since(removed.removed_at) < REMOVED_RETENTION);
        let entries = &self.entries;
        self.leaving.retain(|key, (_, at)| entries.contains_key(key) || now.since(*at) < LEAVING_RETENTION);
        if let Some((_, listed_at)) = self.leaving.get_mut(key) {
            *listed_at = now;
        }
        let removed = RemovedTarget { position, written: listing.written_order(), removed_at: now };
        self.removed.insert(key.to_owned(), removed);
        Some(DirectoryChange::Removed(listing.id))
    }
}

fn is_same_run(a: &Listing, b: &Listing) -> bool {
    a.id == b.id && a.address == b.address && a.service == b.service && a.started_unix_ms == b.started_unix_ms
}
