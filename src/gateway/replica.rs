//! A replica of the store's tables that this instance follows, kept to pass them on to other instances.
//!
//! Does no I/O and reads no clock.

use std::collections::VecDeque;

use bytes::Bytes;
use derive_more::Display;

use super::platform_adapter::{Table, TableRow, TableRows};
use crate::{
    collections::HashMap,
    routing::RoutingVersion,
    store_position::{StoreEra, StorePosition},
    units::MonoTime,
};

/// Changed rows that are kept per table to bring followers with an older position up to date. Followers whose
/// position is older than the kept changes get a snapshot.
const MAX_RECENT_ROWS: usize = 512;

/// New content of a table, from the store or from another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableUpdate {
    /// All rows of the table.
    Snapshot(TableRows),
    /// The rows that changed after the position that the receiver has.
    Delta(TableRows),
}

impl TableUpdate {
    /// Returns the rows and their position.
    pub fn rows(&self) -> &TableRows {
        let (Self::Snapshot(rows) | Self::Delta(rows)) = self;
        rows
    }

    fn rows_mut(&mut self) -> &mut TableRows {
        let (Self::Snapshot(rows) | Self::Delta(rows)) = self;
        rows
    }
}

/// What a replica did with an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum UpdateResult {
    /// It contains the update now.
    Applied,
    /// The update was read from the store before what the replica contains, and was dropped.
    Outdated,
    /// The update only has the latest changes of an era of which the replica has no snapshot, and was
    /// dropped. The table must be read as a whole.
    SnapshotNeeded,
}

/// How current the replica is, and over how many instances it came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaStatus {
    /// Latest time at which the store is known to have had no newer row; `None` before the first update.
    pub confirmed_at: Option<MonoTime>,
    /// Whether the store does not answer the instance that reads it.
    pub is_store_lost: bool,
    /// Start of the first of the calls for the routing table that have failed at that instance since the last one that
    /// succeeded; `None` if the latest one succeeded.
    pub routing_unread_since: Option<MonoTime>,
    /// Time since which the store has answered that instance, as far as it knows; `None` while unknown.
    pub answered_since: Option<MonoTime>,
    /// Number of instances between this one and the store; 0 if this instance reads the store itself.
    pub distance: u8,
}

impl ReplicaStatus {
    /// Returns whether the store does not answer that instance about one of the tables.
    pub fn is_any_table_lost(&self) -> bool {
        self.is_store_lost || self.routing_unread_since.is_some()
    }
}

/// Replica of one table.
#[derive(Debug, Clone, Default)]
struct TableReplica {
    /// Position that the rows correspond to; `None` before the first update.
    position: Option<StorePosition>,
    /// Whether the changes since `position` can't be had, so that the next update must be a snapshot.
    needs_snapshot: bool,
    rows: HashMap<String, TableRow>,
    /// The latest changes, oldest first.
    recent: VecDeque<TableRow>,
    /// `recent` holds every change after this position.
    recent_from: StorePosition,
}

impl TableReplica {
    fn apply(&mut self, table: Table, update: &TableUpdate) -> UpdateResult {
        match update {
            TableUpdate::Snapshot(all) => {
                if self.position.is_some_and(|known| known > all.position) {
                    return UpdateResult::Outdated;
                }
                self.rows = all.rows.iter().map(|r| (r.key.clone(), r.clone())).collect();
                self.recent.clear();
                self.recent_from = all.position;
                self.position = Some(all.position);
                self.needs_snapshot = false;
            }
            TableUpdate::Delta(changed) => {
                let has_era = self.position.is_some_and(|known| known.era == changed.position.era);
                if !has_era || self.needs_snapshot {
                    self.needs_snapshot = true;
                    return UpdateResult::SnapshotNeeded;
                }
                for row in &changed.rows {
                    self.apply_row(table, row);
                }
                self.position = self.position.max(Some(changed.position));
            }
        }
        UpdateResult::Applied
    }

    fn apply_row(&mut self, table: Table, row: &TableRow) {
        if self.rows.get(&row.key).is_some_and(|known| known.position >= row.position) {
            return;
        }
        if row.value.is_some() {
            self.rows.insert(row.key.clone(), row.clone());
        } else {
            self.rows.remove(&row.key);
        }
        // A routing table is large, and none that a later one has replaced is of use. What a target said before its row
        // was removed is.
        if table == Table::Routing {
            self.recent.retain(|earlier| earlier.key != row.key);
        }
        self.recent.push_back(row.clone());
        while self.recent.len() > MAX_RECENT_ROWS {
            let dropped = self.recent.pop_front();
            self.recent_from = dropped.map_or(self.recent_from, |r| self.recent_from.max(r.position));
        }
    }

    /// Returns the position if the replica can be continued from it in `era`.
    fn position_in(&self, era: StoreEra) -> Option<StorePosition> {
        self.position.filter(|known| known.era == era && !self.needs_snapshot)
    }

    fn update_since(&self, known: Option<StorePosition>, era: StoreEra) -> Option<TableUpdate> {
        let position = self.position_in(era)?;
        match known {
            Some(known) if known >= position => None,
            Some(known) if known >= self.recent_from => {
                let rows = self.recent.iter().filter(|r| r.position > known).cloned().collect();
                Some(TableUpdate::Delta(TableRows { rows, position }))
            }
            _ => {
                let rows = self.rows.values().cloned().collect();
                Some(TableUpdate::Snapshot(TableRows { rows, position }))
            }
        }
    }
}

/// Replicas of all tables that this instance follows.
#[derive(Debug, Clone, Default)]
pub struct StoreReplica {
    /// How current the replicas are.
    pub status: ReplicaStatus,
    /// Latest era of the store that any update came from; nothing of an earlier era is applied any more.
    era: StoreEra,
    /// The newest routing table that was received, and its content in the store.
    newest_routing: Option<(RoutingVersion, TableRow)>,
    routing: TableReplica,
    targets: TableReplica,
}

impl StoreReplica {
    /// Applies an update to the replica of a table.
    pub fn apply(&mut self, table: Table, update: &TableUpdate) -> UpdateResult {
        let era = update.rows().position.era;
        if era < self.era {
            return UpdateResult::Outdated;
        }
        self.era = era;
        self.table_mut(table).apply(table, update)
    }

    /// Leaves the newest known routing table as the only one in an update, also if that has an older, an invalid or no
    /// routing table. So neither this instance nor its followers go back to an older one when the store does.
    /// `received` is the newest valid routing table in the update with its version. Returns the version that was put
    /// in for another table.
    pub fn keep_newest_routing(
        &mut self,
        key: &str,
        received: Option<(RoutingVersion, TableRow)>,
        update: &mut TableUpdate,
    ) -> Option<RoutingVersion> {
        let version =
            |known: &Option<(RoutingVersion, TableRow)>| known.as_ref().map(|(version, _)| *version);
        if version(&received) >= version(&self.newest_routing) {
            self.newest_routing = received.or(self.newest_routing.take());
        }
        let (version, newest) = self.newest_routing.as_ref()?;
        let latest = update.rows().latest(key);
        if latest.is_none() && matches!(update, TableUpdate::Delta(_)) {
            return None;
        }
        let latest = latest.filter(|row| row.value == newest.value).map(|row| row.position);
        let TableRows { rows, position } = update.rows_mut();
        rows.retain(|r| r.key != key);
        rows.push(TableRow { position: latest.unwrap_or(*position), ..newest.clone() });
        latest.is_none().then_some(*version)
    }

    /// Returns the latest era of the store that is known.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the position of a table's replica; `None` if the table must be read as a whole.
    pub fn position(&self, table: Table) -> Option<StorePosition> {
        self.table(table).position_in(self.era)
    }

    /// Returns the value of a row.
    pub fn value(&self, table: Table, key: &str) -> Option<Bytes> {
        self.table(table).rows.get(key).and_then(|row| row.value.clone())
    }

    /// Records that the changes of a table since its position can't be had any more.
    pub fn require_snapshot(&mut self, table: Table) {
        self.table_mut(table).needs_snapshot = true;
    }

    /// Returns the update for a follower that has position `known` of a table, or `None` if it is up to date
    /// or this replica is not.
    pub fn update_since(&self, table: Table, known: Option<StorePosition>) -> Option<TableUpdate> {
        self.table(table).update_since(known, self.era)
    }

    fn table(&self, table: Table) -> &TableReplica {
        match table {
            Table::Routing => &self.routing,
            Table::Targets => &self.targets,
        }
    }

    fn table_mut(&mut self, table: Table) -> &mut TableReplica {
        match table {
            Table::Routing => &mut self.routing,
            Table::Targets => &mut self.targets,
        }
    }
}
