//! A copy of what is followed in the store, kept so that other instances can be told of it.
//!
//! Pure: time is passed in.

use std::collections::VecDeque;

use super::surroundings::{Table, TableRow, TableRows};
use crate::{collections::HashMap, units::MonoTime};

/// Changed rows that are kept for those who know an earlier version; others are told everything.
const MAX_RECENT_ROWS: usize = 512;

/// What was read of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reading {
    /// All rows.
    All(TableRows),
    /// Rows that changed after the version that was known.
    Changed(TableRows),
}

/// How current the copy is, and how it came here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Standing {
    /// When the store is known to have had nothing newer; `None` before the first reading.
    pub confirmed_at: Option<MonoTime>,
    /// Whether the store does not answer the one who reads it.
    pub is_store_lost: bool,
    /// Instances between this one and the store.
    pub distance: u8,
}

/// Copy of one table.
#[derive(Debug, Default)]
struct Copy {
    /// Version of the store that the copy is of; `None` before the first reading.
    version: Option<u64>,
    rows: HashMap<String, TableRow>,
    /// Rows that changed lately, the oldest first.
    recent: VecDeque<TableRow>,
    /// Every change after this version is among the recent rows.
    recent_from: u64,
}

impl Copy {
    fn take(&mut self, reading: &Reading) {
        match reading {
            Reading::All(all) => {
                if self.version.is_some_and(|known| known > all.version) {
                    return;
                }
                self.rows = all.rows.iter().map(|r| (r.key.clone(), r.clone())).collect();
                self.recent.clear();
                self.recent_from = all.version;
                self.version = Some(all.version);
            }
            Reading::Changed(changed) => {
                for row in &changed.rows {
                    self.take_row(row);
                }
                self.version = self.version.max(Some(changed.version));
            }
        }
    }

    fn take_row(&mut self, row: &TableRow) {
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

    fn since(&self, known: Option<u64>) -> Option<Reading> {
        let version = self.version?;
        match known {
            Some(known) if known >= version => None,
            Some(known) if known >= self.recent_from => {
                let rows = self.recent.iter().filter(|r| r.version > known).cloned().collect();
                Some(Reading::Changed(TableRows { rows, version }))
            }
            _ => {
                let rows = self.rows.values().cloned().collect();
                Some(Reading::All(TableRows { rows, version }))
            }
        }
    }
}

/// Copies of all tables that are followed.
#[derive(Debug, Default)]
pub struct Mirror {
    /// How current they are.
    pub standing: Standing,
    routing: Copy,
    targets: Copy,
}

impl Mirror {
    /// Takes what was read of a table.
    pub fn take(&mut self, table: Table, reading: &Reading) {
        match table {
            Table::Routing => self.routing.take(reading),
            Table::Targets => self.targets.take(reading),
        }
    }

    /// Returns the version that is known of a table.
    pub fn version(&self, table: Table) -> Option<u64> {
        self.copy(table).version
    }

    /// Forgets the version of a table, so that all of it is read again.
    pub fn forget_version(&mut self, table: Table) {
        match table {
            Table::Routing => self.routing.version = None,
            Table::Targets => self.targets.version = None,
        }
    }

    /// Returns what someone who knows a version of a table has to be told, if anything.
    pub fn since(&self, table: Table, known: Option<u64>) -> Option<Reading> {
        self.copy(table).since(known)
    }

    fn copy(&self, table: Table) -> &Copy {
        match table {
            Table::Routing => &self.routing,
            Table::Targets => &self.targets,
        }
    }
}
