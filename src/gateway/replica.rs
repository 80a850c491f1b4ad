//! A replica of the store's tables that this instance follows, kept to pass them on to other instances.
//!
//! Does no I/O and reads no clock.

use std::collections::VecDeque;

use super::platform_adapter::{Table, TableRow, TableRows};
use crate::{collections::HashMap, units::MonoTime};

/// Changed rows that are kept per table to bring followers with an older version up to date. Followers whose
/// version is older than the kept changes get a snapshot.
const MAX_RECENT_ROWS: usize = 512;

/// New content of a table, from the store or from another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableUpdate {
    /// All rows of the table.
    Snapshot(TableRows),
    /// The rows that changed after the version that the receiver has.
    Delta(TableRows),
}

/// How current the replica is, and over how many instances it came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaStatus {
    /// Latest time at which the store is known to have had no newer row; `None` before the first update.
    pub confirmed_at: Option<MonoTime>,
    /// Whether the store does not answer the instance that reads it.
    pub is_store_lost: bool,
    /// Number of instances between this one and the store; 0 if this instance reads the store itself.
    pub distance: u8,
}

/// Replica of one table.
#[derive(Debug, Default)]
struct TableReplica {
    /// Store version that the rows correspond to; `None` before the first update.
    version: Option<u64>,
    rows: HashMap<String, TableRow>,
    /// The latest changes, oldest first.
    recent: VecDeque<TableRow>,
    /// `recent` holds every change after this version.
    recent_from: u64,
}

impl TableReplica {
    fn apply(&mut self, update: &TableUpdate) {
        match update {
            TableUpdate::Snapshot(all) => {
                if self.version.is_some_and(|known| known > all.version) {
                    return;
                }
                self.rows = all.rows.iter().map(|r| (r.key.clone(), r.clone())).collect();
                self.recent.clear();
                self.recent_from = all.version;
                self.version = Some(all.version);
            }
            TableUpdate::Delta(changed) => {
                for row in &changed.rows {
                    self.apply_row(row);
                }
                self.version = self.version.max(Some(changed.version));
            }
        }
    }

    fn apply_row(&mut self, row: &TableRow) {
        if self.rows.get(&row.key).is_some_and(|known| known.version >= row.version) {
            return;
        }
        if row.value.is_some() {
            self.rows.insert(row.key.clone(), row.clone());
        } else {
            self.rows.remove(&row.key);
        }
        self.recent.push_back(row.clone());
        while self.recent.len() > MAX_RECENT_ROWS {
            let dropped = self.recent.pop_front();
            self.recent_from = dropped.map_or(self.recent_from, |r| self.recent_from.max(r.version));
        }
    }

    fn update_since(&self, known: Option<u64>) -> Option<TableUpdate> {
        let version = self.version?;
        match known {
            Some(known) if known >= version => None,
            Some(known) if known >= self.recent_from => {
                let rows = self.recent.iter().filter(|r| r.version > known).cloned().collect();
                Some(TableUpdate::Delta(TableRows { rows, version }))
            }
            _ => {
                let rows = self.rows.values().cloned().collect();
                Some(TableUpdate::Snapshot(TableRows { rows, version }))
            }
        }
    }
}

/// Replicas of all tables that this instance follows.
#[derive(Debug, Default)]
pub struct StoreReplica {
    /// How current the replicas are.
    pub status: ReplicaStatus,
    routing: TableReplica,
    targets: TableReplica,
}

impl StoreReplica {
    /// Applies an update to the replica of a table.
    pub fn apply(&mut self, table: Table, update: &TableUpdate) {
        match table {
            Table::Routing => self.routing.apply(update),
            Table::Targets => self.targets.apply(update),
        }
    }

    /// Returns the store version of a table's replica; `None` before the first update.
    pub fn version(&self, table: Table) -> Option<u64> {
        self.table(table).version
    }

    /// Forgets the version of a table, so that the whole table is read again.
    pub fn forget_version(&mut self, table: Table) {
        match table {
            Table::Routing => self.routing.version = None,
            Table::Targets => self.targets.version = None,
        }
    }

    /// Returns the update for a follower that has version `known` of a table, or `None` if it is up to date.
    pub fn update_since(&self, table: Table, known: Option<u64>) -> Option<TableUpdate> {
        self.table(table).update_since(known)
    }

    fn table(&self, table: Table) -> &TableReplica {
        match table {
            Table::Routing => &self.routing,
            Table::Targets => &self.targets,
        }
    }
}
