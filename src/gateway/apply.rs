//! Applies updates of the store's tables to the replica, the routing table and the directory of targets.

use super::{
    Gateway,
    platform_adapter::{DecodedRouting, InvalidRouting, Table, TableRow, TableRows},
    replica::{TableUpdate, UpdateResult},
    suspects::confirm_ends,
};
use crate::{
    decide::directory::{DirectoryChange, DirectoryRow, StoreAbsence},
    routing::RoutingSpec,
    units::MonoTime,
};

/// Applies an update of a table, from the store or from another instance.
pub fn apply_update(gateway: &Gateway, table: Table, update: TableUpdate) -> UpdateResult {
    let result = match table {
        Table::Routing => apply_routing(gateway, update),
        Table::Targets => apply_targets(gateway, update),
    };
    gateway.notify_followers();
    result
}

/// Applies an update to the replica of a table.
fn apply_to_replica(gateway: &Gateway, table: Table, update: &TableUpdate) -> UpdateResult {
    let mut replica = gateway.replica();
    let (known_era, era) = (replica.era(), update.rows().position.era);
    let result = replica.apply(table, update);
    let is_restored = era > known_era && gateway.are_routes_and_targets_known();
    if is_restored {
        replica.status.answered_since = Some(gateway.now());
    }
    drop(replica);
    if is_restored {
        log::warn!("event=store-restored table={table} era={era} was={known_era}");
        gateway.metrics.record_store_restored();
    }
    if result != UpdateResult::Applied {
        log::info!("event=update-not-applied table={table} result={result} era={era} known_era={known_era}");
    }
    result
}

/// Applies an update of the routing table. Routing tables are ordered by their own version, whatever the
/// position of the store from which they were read.
fn apply_routing(gateway: &Gateway, mut update: TableUpdate) -> UpdateResult {
    let key = gateway.platform.routing_key;
    let valid = update
        .rows()
        .newest_first(key)
        .into_iter()
        .find_map(|row| Some((decode_routing(gateway, row)?, row)));
    let (received, spec) = match valid {
        Some((spec, row)) => (Some((spec.version, row.clone())), Some(spec)),
        None => (None, None),
    };
    let kept = gateway.replica().keep_newest_routing(key, received, &mut update);
    if let Some(kept) = kept {
        let received = spec.as_ref().map_or_else(|| "none".to_owned(), |spec| spec.version.to_string());
        log::warn!(
            "event=routing-kept version={kept} received={received} position={}",
            update.rows().position
        );
    }
    let result = apply_to_replica(gateway, Table::Routing, &update);
    if let Some(spec) = spec {
        gateway.apply_routing_if_newer(spec);
    }
    result
}

fn decode_routing(gateway: &Gateway, row: &TableRow) -> Option<RoutingSpec> {
    match (gateway.platform.decode_routing)(row.value.as_ref()?) {
        Ok(DecodedRouting { spec, unknown }) => {
            for unknown in unknown {
                log::info!("event=routing-value-unknown version={} value={unknown:?}", spec.version);
            }
            Some(spec)
        }
        Err(InvalidRouting { version, faults }) => {
            let version = version.map_or_else(|| "none".to_owned(), |version| version.to_string());
            let in_force =
                gateway.routing().map_or_else(|| "none".to_owned(), |table| table.version.to_string());
            log::error!(
                "event=routing-invalid version={version} in_force={in_force} row_position={} faults={} first={:?}",
                row.position,
                faults.len(),
                faults.first().map_or("", String::as_str)
            );
            gateway.metrics.record_invalid_routing();
            None
        }
    }
}

fn apply_targets(gateway: &Gateway, mut update: TableUpdate) -> UpdateResult {
    let decode = |row: &TableRow| decode_row(gateway, row.clone());
    let decoded = update.rows().rows.iter().map(decode).collect::<Vec<_>>();
    drop_known_removed(gateway, &decoded, &mut update);
    let result = apply_to_replica(gateway, Table::Targets, &update);
    if result != UpdateResult::Applied {
        return result;
    }
    let now = gateway.now();
    let mut service_pools = gateway.service_pools();
    let changes = match update {
        TableUpdate::Snapshot(TableRows { position, .. }) => {
            service_pools.directory.replace(now, decoded, position)
        }
        TableUpdate::Delta(_) => service_pools.directory.apply(now, decoded),
    };
    service_pools.apply_changes(now, &changes);
    drop(service_pools);
    log_changes(&changes);
    confirm_ends(gateway, &changes);
    gateway.mark_targets_known();
    gateway.state_changed.notify_waiters();
    UpdateResult::Applied
}

/// Drops rows whose targets are known to have left, so that they are not passed on to instances that don't know it. The
/// directory of this instance doesn't use them anyway.
fn drop_known_removed(gateway: &Gateway, decoded: &[DirectoryRow], update: &mut TableUpdate) {
    let service_pools = gateway.service_pools();
    let is_known_removed = |row: &DirectoryRow| service_pools.directory.is_known_removed(row);
    match update {
        TableUpdate::Snapshot(all) => {
            let mut decoded = decoded.iter();
            all.rows.retain(|_| !decoded.next().is_some_and(is_known_removed));
        }
        TableUpdate::Delta(changed) => {
            for (row, _) in changed.rows.iter_mut().zip(decoded).filter(|(_, row)| is_known_removed(row)) {
                row.value = None;
            }
        }
    }
}

fn decode_row(gateway: &Gateway, row: TableRow) -> DirectoryRow {
    let decoded = row.value.map(|value| (gateway.platform.decode_listing)(&row.key, &value));
    let listing = match decoded {
        Some(Ok(listing)) => Some(listing),
        Some(Err(e)) => {
            log::warn!("event=listing-unreadable key={:?} position={} error={e:?}", row.key, row.position);
            None
        }
        None => None,
    };
    DirectoryRow { key: row.key, position: row.position, listing }
}

/// Records that the store has answered some instance since `since`, and logs for how long it was not heard if it was not.
pub fn record_store_heard(gateway: &Gateway, since: MonoTime) {
    let absence = gateway.service_pools().directory.store_answered(since);
    if let Some(StoreAbsence { length, held }) = absence {
        log::info!("event=store-heard unheard_ms={} removals_held={held}", length.as_millis());
    }
}

/// Logs changes of the set of targets.
pub fn log_changes(changes: &[DirectoryChange]) {
    for change in changes {
        match change {
            DirectoryChange::Added(l) => log::info!(
                "event=target-added target={} service={} address={} data_centre={} draining={}",
                l.id,
                l.service,
                l.address,
                l.data_centre,
                l.draining
            ),
            DirectoryChange::Updated(l) => {
                log::info!(
                    "event=target-updated target={} service={} draining={}",
                    l.id,
                    l.service,
                    l.draining
                );
            }
            DirectoryChange::Removed(id) => log::info!("event=target-removed target={id}"),
        }
    }
}
