//! A copy of what is followed in the store, kept so that other instances can be told of it.
//!
//! Pure: time is passed in.

use std::collections::VecDeque;

use super::platform_adapter::{Table, TableRow, TableRows};
use crate::{collections::HashMap, units::MonoTime};

/// Changed rows that are kept for those who know an earlier version; others are told everything.
const MAX_RECENT_ROWS: usize = 512;

/// What was read of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableUpdate {
    /// All rows.
    Snapshot(TableRows),
    /// Rows that changed after the version that was known.
    Delta(TableRows),
}

/// How current the copy is, and how it came here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaStatus {
    /// When the store is known to have had nothing newer; `None` before the first reading.
    pub confirmed_at: Option<MonoTime>,
    /// Whether the store does not answer the one who reads it.
    pub is_store_lost: bool,
    /// Instances between this one and the store.
    pub distance: u8,
}

/// Copy of one table.
#[derive(Debug, Default)]
struct TableReplica {
    /// Version of the store that the copy is of; `None` before the first reading.
    version: Option<u64>,
    rows: HashMap<String, TableRow>,
    /// Rows that changed lately, the oldest first.
    recent: VecDeque<TableRow>,
    /// Every change after this version is among the recent rows.
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

/// Copies of all tables that are followed.
#[derive(Debug, Default)]
pub struct StoreReplica {
    /// How current they are.
    pub status: ReplicaStatus,
    routing: TableReplica,
    targets: TableReplica,
}

impl StoreReplica {
    /// Takes what was read of a table.
    pub fn apply(&mut self, table: Table, update: &TableUpdate) {
        match table {
            Table::Routing => self.routing.apply(update),
            Table::Targets => self.targets.apply(update),
        }
    }

    /// Returns the version that is known of a table.
    pub fn version(&self, table: Table) -> Option<u64> {
        self.table(table).version
    }

    /// Forgets the version of a table, so that all of it is read again.
    pub fn forget_version(&mut self, table: Table) {
        match table {
            Table::Routing => self.routing.version = None,
            Table::Targets => self.targets.version = None,
        }
    }

    /// Returns what someone who knows a version of a table has to be told, if anything.
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
