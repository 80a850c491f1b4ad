//! Explores every order of writes, restores, reads, frames and restarts up to a depth: one target that drains
//! and leaves, one operator, a store that is restored up to twice, an instance that reads the store and one
//! that follows it. Answers of the store and frames may arrive after a restore.

use std::time::Duration;

use arbutusshelf::{
    decide::directory::{Directory, DirectoryChange, DirectoryRow, Listing},
    gateway::{
        platform_adapter::{Table, TableRow, TableRows},
        replica::{StoreReplica, TableUpdate, UpdateResult},
    },
    routing::RoutingVersion,
    store_position::StorePosition,
    units::MonoTime,
};

/// Number of events in each order that is explored.
const DEPTH: usize = 7;

/// Key of the only row of each table.
const KEY: &str = "a";

/// Time at which targets that did not register again must be gone; all else happens at time 0.
const AFTER_GRACE_MS: u64 = 2_000;

/// Entries that the target writes one after the other: two as ready, one as draining, then its removal.
const LAST_ENTRY: u8 = 4;
const DRAINING_ENTRY: u8 = 3;

/// Content of the store: each table's only row, as its content and the version of its last change.
#[derive(Debug, Clone, Copy, Default)]
struct Content {
    version: u64,
    entry: (u8, u64),
    routing: (u8, u64),
}

#[derive(Debug, Clone, Copy, Default)]
struct Store {
    era: u64,
    content: Content,
    copy: Content,
    /// What the target and the operator wrote last; they write it again after a restore.
    last_entry: u8,
    last_routing: u8,
}

impl Store {
    fn position(&self, version: u64) -> StorePosition {
        StorePosition { era: self.era.into(), version }
    }

    fn write_entry(&mut self, entry: u8) {
        self.content.version += 1;
        self.content.entry = (entry, self.content.version);
        self.last_entry = entry;
    }

    fn write_routing(&mut self, routing: u8) {
        self.content.version += 1;
        self.content.routing = (routing, self.content.version);
        self.last_routing = routing;
    }

    fn answer(&self, table: Table, after: Option<StorePosition>) -> Option<TableUpdate> {
        let (value, version) = match table {
            Table::Routing => self.content.routing,
            Table::Targets => self.content.entry,
        };
        let is_removed = value == 0 || (table == Table::Targets && value == LAST_ENTRY);
        let value = (!is_removed).then(|| vec![value].into());
        let row = TableRow { key: KEY.to_owned(), position: self.position(version), value };
        let position = self.position(self.content.version);
        match after {
            // The store answers 410, so the reader asks for the whole table.
            Some(after) if after.version > self.content.version => None,
            Some(after) if version > after.version => {
                Some(TableUpdate::Delta(TableRows { rows: vec![row], position }))
            }
            Some(_) => Some(TableUpdate::Delta(TableRows { rows: Vec::new(), position })),
            None => {
                let rows = if row.value.is_some() { vec![row] } else { Vec::new() };
                Some(TableUpdate::Snapshot(TableRows { rows, position }))
            }
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Instance {
    replica: StoreReplica,
    directory: Directory,
    routing_in_force: u8,
    /// Whether it knows that the target is draining or has left; the target never comes back.
    knows_leaving: bool,
}

impl Instance {
    fn apply(&mut self, table: Table, mut update: TableUpdate) -> Result<(), String> {
        if table == Table::Routing {
            let row = update.rows().latest(KEY).filter(|r| r.value.is_some()).cloned();
            let received = row.map(|row| (RoutingVersion::from(u64::from(content(&row))), row));
            let version = received.as_ref().map_or(0, |(_, row)| content(row));
            self.replica.keep_newest_routing(KEY, received, &mut update);
            let result = self.replica.apply(table, &update);
            self.routing_in_force = self.routing_in_force.max(version);
            let passed_on = self.replica.update_since(table, None);
            let passed_on = passed_on.and_then(|u| u.rows().rows.first().map(content));
            if result == UpdateResult::Applied && passed_on.unwrap_or(0) != self.routing_in_force {
                return Err(format!("passes on routing {passed_on:?}, in force {}", self.routing_in_force));
            }
            return Ok(());
        }
        if self.replica.apply(table, &update) != UpdateResult::Applied {
            return Ok(());
        }
        let now = MonoTime::from(0);
        let rows = update.rows().rows.iter().map(|row| DirectoryRow {
            key: row.key.clone(),
            position: row.position,
            listing: row.value.as_ref().map(|_| listing(content(row))),
        });
        let rows = rows.collect::<Vec<_>>();
        self.knows_leaving |= rows.iter().any(|r| r.listing.as_ref().is_some_and(|l| l.draining));
        let changes = match update {
            TableUpdate::Snapshot(all) => self.directory.replace(now, rows, all.position),
            TableUpdate::Delta(_) => self.directory.apply(now, rows),
        };
        self.knows_leaving |= changes.iter().any(|c| matches!(c, DirectoryChange::Removed(_)));
        if self.knows_leaving && self.directory.listings().any(|l| !l.draining) {
            return Err("a target that was known as draining or gone takes requests again".to_owned());
        }
        Ok(())
    }
}

fn content(row: &TableRow) -> u8 {
    row.value.as_ref().map_or(0, |value| value[0])
}

fn listing(entry: u8) -> Listing {
    Listing {
        id: KEY.parse().expect("a name"),
        service: "plan".parse().expect("a name"),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "ost-a".parse().expect("a name"),
        slots: 3,
        draining: entry >= DRAINING_ENTRY,
        warm_up: Duration::ZERO,
        started_unix_ms: Some(1),
        sequence: u64::from(entry),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    WriteEntry,
    WriteRouting,
    Copy,
    Restore,
    /// The store answers the reader's request for a table; the answer is on its way.
    Answer(Table),
    DeliverAnswer,
    SendFrame(Table),
    DeliverFrame,
    /// The reader starts anew, and asks the follower for its routing table before it uses the store's.
    RestartReader,
}

const EVENTS: [Event; 11] = [
    Event::WriteEntry,
    Event::WriteRouting,
    Event::Copy,
    Event::Restore,
    Event::Answer(Table::Routing),
    Event::Answer(Table::Targets),
    Event::DeliverAnswer,
    Event::SendFrame(Table::Routing),
    Event::SendFrame(Table::Targets),
    Event::DeliverFrame,
    Event::RestartReader,
];

#[derive(Debug, Clone, Default)]
struct World {
    store: Store,
    reader: Instance,
    follower: Instance,
    answer: Option<(Table, TableUpdate)>,
    frame: Option<(Table, TableUpdate)>,
}

impl World {
    /// Applies an event; returns whether it was possible.
    fn apply(&mut self, event: Event) -> Result<bool, String> {
        match event {
            Event::WriteEntry if self.store.last_entry < LAST_ENTRY => {
                self.store.write_entry(self.store.last_entry + 1);
            }
            Event::WriteRouting if self.store.last_routing < 3 => {
                self.store.write_routing(self.store.last_routing + 1);
            }
            Event::Copy if self.store.copy.version < self.store.content.version => {
                self.store.copy = self.store.content;
            }
            Event::Restore if self.store.era < 2 && self.store.copy.version < self.store.content.version => {
                self.store.content = self.store.copy;
                self.store.era += 1;
            }
            Event::Answer(table) if self.answer.is_none() => {
                let position = self.reader.replica.position(table);
                self.answer = self.store.answer(table, position).map(|update| (table, update));
                if self.answer.is_none() {
                    self.reader.replica.require_snapshot(table);
                    self.answer = self.store.answer(table, None).map(|update| (table, update));
                }
            }
            Event::DeliverAnswer if self.answer.is_some() => {
                if let Some((table, update)) = self.answer.take() {
                    self.reader.apply(table, update)?;
                }
            }
            Event::SendFrame(table) if self.frame.is_none() => {
                let known = self.follower.replica.position(table);
                let Some(update) = self.reader.replica.update_since(table, known) else { return Ok(false) };
                self.frame = Some((table, update));
            }
            Event::DeliverFrame if self.frame.is_some() => {
                if let Some((table, update)) = self.frame.take() {
                    self.follower.apply(table, update)?;
                }
            }
            Event::RestartReader if self.reader.routing_in_force > 0 => {
                self.reader = Instance::default();
                self.answer = None;
                if let Some(update) = self.follower.replica.update_since(Table::Routing, None) {
                    self.reader.apply(Table::Routing, update)?;
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Lets the target and the operator write again, and all reads and frames arrive; both instances must then
    /// agree with the store.
    fn settle(&mut self) -> Result<(), String> {
        self.store.write_entry(self.store.last_entry);
        self.store.write_routing(self.store.last_routing);
        for _ in 0..4 {
            for table in [Table::Routing, Table::Targets] {
                for event in [
                    Event::DeliverAnswer,
                    Event::Answer(table),
                    Event::DeliverAnswer,
                    Event::DeliverFrame,
                    Event::SendFrame(table),
                    Event::DeliverFrame,
                ] {
                    self.apply(event)?;
                }
            }
        }
        let entry = self.store.last_entry;
        for instance in [&mut self.reader, &mut self.follower] {
            instance.directory.expire(MonoTime::from(AFTER_GRACE_MS * 1_000));
            let takes_requests = instance.directory.listings().any(|l| !l.draining);
            if takes_requests != (1..DRAINING_ENTRY).contains(&entry) {
                return Err(format!("entry {entry}, takes requests: {takes_requests}"));
            }
            if instance.routing_in_force != self.store.last_routing {
                return Err(format!(
                    "routing {}, in force {}",
                    self.store.last_routing, instance.routing_in_force
                ));
            }
        }
        Ok(())
    }
}

/// Explores all continuations of a state; returns the number of states.
fn explore(world: &World, order: &mut Vec<Event>) -> u64 {
    let mut settled = world.clone();
    if let Err(e) = settled.settle() {
        panic!("{e}, after {order:?} and settling: {settled:#?}");
    }
    if order.len() == DEPTH {
        return 1;
    }
    let mut states = 1;
    for event in EVENTS {
        let mut next = world.clone();
        order.push(event);
        match next.apply(event) {
            Ok(true) => states += explore(&next, order),
            Ok(false) => {}
            Err(e) => panic!("{e}, after {order:?}: {next:#?}"),
        }
        order.pop();
    }
    states
}

#[test]
fn no_order_of_restores_brings_back_what_was_known_as_gone() {
    // The exploration starts with a ready target and a routing table that both instances know, and a copy of
    // the store that contains both.
    let mut world = World::default();
    world.store.write_entry(DRAINING_ENTRY - 1);
    world.store.write_routing(1);
    world.settle().expect("a calm start");
    world.apply(Event::Copy).expect("a copy");
    let states = explore(&world, &mut Vec::new());
    println!("states visited: {states}");
    assert!(states > 10_000, "explored only {states} states");
}
