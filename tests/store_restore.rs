//! The store comes back from an older copy: versions go back and are given out again, and rows are as they
//! were some seconds before. Without a network.

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

fn at(ms: u64) -> MonoTime {
    MonoTime::from(ms * 1_000)
}

fn position(era: u64, version: u64) -> StorePosition {
    StorePosition { era: era.into(), version }
}

fn listing(sequence: u64, draining: bool) -> Listing {
    Listing {
        id: "a".parse().expect("a name"),
        service: "plan".parse().expect("a name"),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "ost-a".parse().expect("a name"),
        slots: 3,
        draining,
        warm_up: Duration::ZERO,
        started_unix_ms: Some(1),
        sequence,
    }
}

fn row(position: StorePosition, listing: Option<Listing>) -> DirectoryRow {
    DirectoryRow { key: "a".to_owned(), position, listing }
}

fn takes_requests(directory: &Directory) -> bool {
    directory.listings().any(|l| !l.draining)
}

#[test]
fn a_draining_target_is_not_used_again_because_the_copy_lists_it_as_ready() {
    let mut directory = Directory::default();
    directory.replace(at(0), vec![row(position(1, 40), Some(listing(7, false)))], position(1, 40));
    directory.apply(at(1), vec![row(position(1, 55), Some(listing(9, true)))]);
    let ready_in_copy = row(position(2, 40), Some(listing(7, false)));
    assert!(directory.replace(at(2), vec![ready_in_copy], position(2, 41)).is_empty());
    assert!(!takes_requests(&directory));
    // Its own later entries count again.
    directory.apply(at(3), vec![row(position(2, 43), Some(listing(10, true)))]);
    assert!(!takes_requests(&directory));
    let restarted = Listing { started_unix_ms: Some(2), ..listing(1, false) };
    directory.apply(at(4), vec![row(position(2, 44), Some(restarted))]);
    assert!(takes_requests(&directory));
}

#[test]
fn a_removed_target_is_not_used_again_until_it_has_written_its_entry_anew() {
    let mut directory = Directory::default();
    directory.replace(at(0), vec![row(position(1, 40), Some(listing(7, false)))], position(1, 40));
    directory.apply(at(1), vec![row(position(1, 55), None)]);
    directory.replace(at(2), vec![row(position(2, 40), Some(listing(7, false)))], position(2, 41));
    directory.replace(at(3), vec![row(position(3, 40), Some(listing(7, false)))], position(3, 42));
    assert!(!takes_requests(&directory));
    directory.apply(at(4), vec![row(position(3, 43), Some(listing(8, false)))]);
    assert!(takes_requests(&directory));
}

#[test]
fn a_target_that_the_copy_does_not_list_is_kept_while_it_may_register_again() {
    let mut directory = Directory::default();
    directory.replace(at(0), Vec::new(), position(1, 40));
    directory.apply(at(1), vec![row(position(1, 55), Some(listing(1, false)))]);
    assert!(directory.replace(at(10_000), Vec::new(), position(2, 41)).is_empty());
    assert!(directory.expire(at(11_999)).is_empty());
    assert!(takes_requests(&directory));
    assert_eq!(directory.expire(at(12_000)), [DirectoryChange::Removed("a".parse().expect("a name"))]);
}

#[test]
fn a_new_target_is_known_although_versions_have_gone_back() {
    let mut directory = Directory::default();
    directory.replace(at(0), Vec::new(), position(1, 90));
    directory.replace(at(1), vec![row(position(2, 60), Some(listing(1, false)))], position(2, 60));
    assert!(takes_requests(&directory));
}

fn table_row(key: &str, position: StorePosition, value: &'static str) -> TableRow {
    TableRow { key: key.to_owned(), position, value: Some(value.into()) }
}

fn snapshot(position: StorePosition, value: &'static str) -> TableUpdate {
    TableUpdate::Snapshot(TableRows { rows: vec![table_row("a", position, value)], position })
}

#[test]
fn changes_of_a_later_era_need_the_whole_table_and_those_of_an_earlier_one_are_dropped() {
    let mut replica = StoreReplica::default();
    replica.apply(Table::Targets, &snapshot(position(1, 50), "old"));
    let delta = TableUpdate::Delta(TableRows { rows: Vec::new(), position: position(2, 60) });
    assert_eq!(replica.apply(Table::Targets, &delta), UpdateResult::SnapshotNeeded);
    assert_eq!(replica.position(Table::Targets), None);
    // Nothing is passed on until the table has been read again.
    assert_eq!(replica.update_since(Table::Targets, None), None);
    assert_eq!(replica.apply(Table::Targets, &snapshot(position(2, 50), "new")), UpdateResult::Applied);
    assert_eq!(replica.apply(Table::Targets, &snapshot(position(1, 99), "late")), UpdateResult::Outdated);
    let known_of_earlier_era = Some(position(1, 70));
    assert_eq!(
        replica.update_since(Table::Targets, known_of_earlier_era),
        Some(snapshot(position(2, 50), "new"))
    );
}

#[test]
fn a_restore_seen_in_one_table_makes_the_other_one_be_read_again() {
    let mut replica = StoreReplica::default();
    replica.apply(Table::Routing, &snapshot(position(1, 50), "routing"));
    replica.apply(Table::Targets, &snapshot(position(2, 20), "targets"));
    assert_eq!(replica.position(Table::Routing), None);
}

// Guards against a replica that keeps every version of a large routing table: hundreds of them are more than the memory of
// a small machine, and a follower with an old position would get all of them.
#[test]
fn only_the_latest_routing_table_is_kept_and_passed_on() {
    let mut replica = StoreReplica::default();
    replica.apply(Table::Routing, &snapshot(position(1, 1), "v1"));
    for version in 2..=600 {
        let rows =
            vec![table_row("a", position(1, version), "later"), table_row("b", position(1, 2), "other")];
        let delta = TableUpdate::Delta(TableRows { rows, position: position(1, version) });
        assert_eq!(replica.apply(Table::Routing, &delta), UpdateResult::Applied);
    }
    let update = replica.update_since(Table::Routing, Some(position(1, 1))).expect("there are changes");
    let expected = vec![table_row("b", position(1, 2), "other"), table_row("a", position(1, 600), "later")];
    assert_eq!(update, TableUpdate::Delta(TableRows { rows: expected, position: position(1, 600) }));
    assert_eq!(replica.update_since(Table::Routing, Some(position(1, 600))), None);
}

fn routing_version(version: u64) -> RoutingVersion {
    RoutingVersion::from(version)
}

/// Applies a routing table as the instance does; `version` is that of the table in the update.
fn apply_routing(replica: &mut StoreReplica, version: Option<u64>, mut update: TableUpdate) -> Option<u64> {
    let row = update.rows().latest("a").cloned();
    let received = version.map(routing_version).zip(row);
    let kept = replica.keep_newest_routing("a", received, &mut update);
    replica.apply(Table::Routing, &update);
    kept.map(u64::from)
}

#[test]
fn the_newest_routing_table_is_passed_on_although_the_store_has_an_older_one() {
    let mut replica = StoreReplica::default();
    assert_eq!(apply_routing(&mut replica, Some(12), snapshot(position(1, 50), "v12")), None);
    let empty = TableUpdate::Snapshot(TableRows { rows: Vec::new(), position: position(3, 2) });
    let unreadable = snapshot(position(4, 2), "{");
    let restored = [(Some(7), snapshot(position(2, 31), "v7")), (None, empty), (None, unreadable)];
    for (version, update) in restored {
        let position = update.rows().position;
        assert_eq!(apply_routing(&mut replica, version, update), Some(12));
        assert_eq!(replica.update_since(Table::Routing, None), Some(snapshot(position, "v12")));
    }
    assert_eq!(apply_routing(&mut replica, Some(13), snapshot(position(5, 1), "v13")), None);
    assert_eq!(replica.update_since(Table::Routing, None), Some(snapshot(position(5, 1), "v13")));
}
