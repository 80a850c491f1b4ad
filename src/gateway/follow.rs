//! Follows the store: the routing table, the directory of targets, and the instances that share the budgets.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::sleep;

use super::{
    Gateway,
    surroundings::{DecodedRouting, FollowFrom, RowPut, StoreError, Table, TableRow, TableRows},
};
use crate::decide::{
    directory::{Change, DirectoryRow},
    repeat_budget::RepeatAllowance,
};

/// Time for which the store may hold back an answer while nothing changes.
const FOLLOW_WAIT: Duration = Duration::from_secs(20);

/// Time for which changes gather before they are asked for again, well within the 2 s in which they must be in force.
const GATHER: Duration = Duration::from_millis(250);

/// Pause after the first call that failed; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two calls to a store that fails them: each is paid for, and a return must be noticed soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Time between two counts of the instances.
const COUNT_PERIOD: Duration = Duration::from_secs(30);

/// Time after the start at which the instances are first counted; all of a deployment start within a second.
const FIRST_COUNT: Duration = Duration::from_secs(3);

/// Part of the allowance that is spent, for instances that were not yet counted.
const ALLOWANCE_PART: f64 = 0.8;

/// Runs all of it until dropped.
pub async fn run(gateway: Arc<Gateway>) {
    tokio::join!(
        follow(&gateway, Table::Routing, take_routing),
        follow(&gateway, Table::Targets, take_targets),
        expire_targets(&gateway),
        count_instances(&gateway),
    );
}

/// Pauses between calls that fail.
struct Backoff {
    pause: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { pause: FIRST_PAUSE }
    }

    async fn wait(&mut self) {
        sleep(self.pause.mul_f64(rand::random_range(0.75..1.25))).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

/// What was read of a table: all of it, or changes.
enum Taken {
    All(TableRows),
    Changed(TableRows),
}

/// Follows one table until dropped.
async fn follow(gateway: &Gateway, table: Table, take: fn(&Gateway, Taken)) {
    let mut known = None;
    let mut backoff = Backoff::new();
    let mut is_lost = false;
    loop {
        let read = match known {
            None => (gateway.place.read)(table).await.map(Taken::All),
            Some(version) => {
                let from = FollowFrom { table, version, wait: FOLLOW_WAIT };
                (gateway.place.follow)(from).await.map(Taken::Changed)
            }
        };
        gateway.metrics.store_call(read.as_ref().map_or_else(StoreError::label, |_| "answered"));
        match read {
            Ok(taken) => {
                if std::mem::take(&mut is_lost) {
                    log::info!("event=store-regained table={table}");
                }
                gateway.fleet().directory.store_answered(gateway.now());
                backoff = Backoff::new();
                let (Taken::All(rows) | Taken::Changed(rows)) = &taken;
                let has_rows = !rows.rows.is_empty();
                known = Some(rows.version);
                take(gateway, taken);
                if has_rows {
                    sleep(GATHER).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!("event=history-gone table={table}");
                known = None;
            }
            Err(e) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!("event=store-lost table={table} error={:?}", e.to_string());
                }
                gateway.fleet().directory.store_lost();
                backoff.wait().await;
            }
        }
    }
}

fn take_routing(gateway: &Gateway, taken: Taken) {
    let (Taken::All(rows) | Taken::Changed(rows)) = taken;
    for row in rows.rows.iter().filter(|r| r.key == gateway.place.routing_key) {
        let Some(value) = &row.value else { continue };
        match (gateway.place.decode_routing)(value) {
            Ok(DecodedRouting { spec, faults }) => {
                for fault in faults {
                    log::warn!("event=routing-fault version={} error={fault:?}", spec.version);
                }
                gateway.offer_routing(spec);
            }
            Err(e) => log::error!("event=routing-unreadable row_version={} error={e:?}", row.version),
        }
    }
}

fn take_targets(gateway: &Gateway, taken: Taken) {
    let now = gateway.now();
    let decode = |rows: Vec<TableRow>| rows.into_iter().map(|row| listing(gateway, row)).collect();
    let mut fleet = gateway.fleet();
    let changes = match taken {
        Taken::All(rows) => fleet.directory.replace(now, decode(rows.rows), rows.version),
        Taken::Changed(rows) => fleet.directory.apply(now, decode(rows.rows)),
    };
    fleet.follow(&changes);
    drop(fleet);
    log_changes(&changes);
    gateway.set_has_targets();
    gateway.news.notify_waiters();
}

fn listing(gateway: &Gateway, row: TableRow) -> DirectoryRow {
    let decoded = row.value.map(|value| (gateway.place.decode_listing)(&row.key, &value));
    let listing = match decoded {
        Some(Ok(listing)) => Some(listing),
        Some(Err(e)) => {
            log::warn!("event=listing-unreadable key={:?} version={} error={e:?}", row.key, row.version);
            None
        }
        None => None,
    };
    DirectoryRow { key: row.key, version: row.version, listing }
}

fn log_changes(changes: &[Change]) {
    for change in changes {
        match change {
            Change::Added(l) => log::info!(
                "event=target-added target={} service={} address={} data_centre={} draining={}",
                l.id,
                l.service,
                l.address,
                l.data_centre,
                l.draining
            ),
            Change::Updated(l) => {
                log::info!(
                    "event=target-updated target={} service={} draining={}",
                    l.id,
                    l.service,
                    l.draining
                );
            }
            Change::Removed(id) => log::info!("event=target-removed target={id}"),
        }
    }
}

/// Removes targets whose entries did not come back.
async fn expire_targets(gateway: &Gateway) {
    loop {
        let due = gateway.fleet().directory.next_expiry();
        let news = gateway.news.notified();
        match due {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(gateway.clock.instant(at)) => {}
                () = news => {}
            },
            None => news.await,
        }
        let mut fleet = gateway.fleet();
        let changes = fleet.directory.expire(gateway.now());
        fleet.follow(&changes);
        drop(fleet);
        log_changes(&changes);
    }
}

/// Registers this instance and counts all of them from time to time.
async fn count_instances(gateway: &Gateway) {
    let value = Bytes::from(format!("{{\"run\":\"{}\"}}", gateway.run_id));
    let row = RowPut { table: Table::Instances, key: gateway.config.instance.to_string(), value };
    let mut backoff = Backoff::new();
    while let Err(e) = (gateway.place.put)(row.clone()).await {
        log::debug!("event=register-failed error={:?}", e.to_string());
        backoff.wait().await;
    }
    sleep(FIRST_COUNT).await;
    loop {
        match (gateway.place.read)(Table::Instances).await {
            Ok(rows) => {
                let instances = rows.rows.iter().filter(|r| r.value.is_some()).count().max(1);
                gateway.set_instances(instances as u64);
                set_allowance(gateway);
                log::info!("event=instances-counted instances={instances}");
                sleep(COUNT_PERIOD).await;
            }
            Err(e) => {
                log::debug!("event=count-failed error={:?}", e.to_string());
                backoff.wait().await;
            }
        }
    }
}

/// Gives this instance its share of what may be repeated and probed.
fn set_allowance(gateway: &Gateway) {
    let config = &gateway.config;
    let Some(instances) = gateway.instances() else { return };
    let allowance = RepeatAllowance {
        ratio: config.repeat_ratio * ALLOWANCE_PART,
        extra: config.repeat_extra * ALLOWANCE_PART / instances as f64,
        window: Duration::from_secs_f64(config.repeat_window_s),
    };
    let probes = config.probes_per_target_per_s * ALLOWANCE_PART / instances as f64;
    let mut fleet = gateway.fleet();
    fleet.set_allowance(allowance);
    fleet.set_probes(probes);
}
