//! Follows the store: the routing table and the directory of targets, from the store itself or from another instance.
//!
//! A call of the store has its price, and what all instances read is the same. So the first instance in the order of the
//! seeds that lives reads the store, and the others follow it. Nothing rests on that: an instance that hears nothing
//! current in time follows another seed or reads for itself.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use futures::stream::{FuturesOrdered, StreamExt};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use super::{
    Gateway,
    backoff::Backoff,
    platform_adapter::{ChangesRequest, DecodedRouting, StoreError, Table, TableRow, TableRows},
    replica::TableUpdate,
    replication_client, seeds,
};
use crate::{
    decide::{
        directory::{Change, DirectoryRow},
        repeat_budget::RepeatAllowance,
    },
    units::MonoTime,
};

/// Time for which the store may hold back an answer while nothing changes: it is also the time after which the reader's
/// copy is confirmed again, so that others notice within their bounds when it no longer is.
const FOLLOW_WAIT: Duration = Duration::from_millis(600);

/// Longest time assumed between a change and the answer that tells of it.
const LONGEST_WAY: Duration = Duration::from_millis(300);

/// Time for which changes gather before they are asked for again, well within the 2 s in which they must be in force.
const GATHER: Duration = Duration::from_millis(200);

/// Time over which instances that lost their seed spread before they read the store: a later seed that takes over is
/// current by then.
const TAKEOVER_SPREAD: Duration = Duration::from_millis(200);

/// Age from which a copy no longer counts as current: the longest time between two confirmations of a reader whose store
/// answers a hundred times slower than usual.
pub const MAX_CURRENT_AGE: Duration = Duration::from_millis(1_500);

/// The same for a seed that follows an earlier one: it goes first, so that the others find it current.
pub const SEED_MAX_CURRENT_AGE: Duration = Duration::from_millis(1_200);

/// Time after which an instance that reads the store looks again for one to follow.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Time that the seeds are given to come up when a deployment starts for the first time, before callers arrive.
const FIRST_START_PATIENCE: Duration = Duration::from_secs(2);

/// The same at any other start: callers wait, and two calls of the store are cheaper than their requests.
const RESTART_PATIENCE: Duration = Duration::from_millis(60);

/// Pause between two tries to reach a seed at the start.
const START_PAUSE: Duration = Duration::from_millis(30);

/// Time after the start at which the number of instances is trusted; all of a deployment start within a second.
const COUNT_AFTER: Duration = Duration::from_secs(3);

/// Time for which a seed must have been followed for it to be tried again at once when it is lost.
const LASTING: Duration = Duration::from_secs(5);

/// Time between two looks at the number of instances.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Part of the allowance that is spent, for instances that were not yet counted.
const ALLOWANCE_PART: f64 = 0.8;

/// Part of the probes that are spent in the long run; besides, some seconds of them are saved up.
const PROBES_PART: f64 = 0.6;

/// Runs all of it until dropped.
pub async fn run(gateway: Arc<Gateway>) {
    tokio::join!(
        follow(&gateway),
        read_at_start(&gateway),
        expire_targets(&gateway),
        count_instances(&gateway)
    );
}

/// Follows a seed while one is current, and the store otherwise; starts anew with other seeds.
async fn follow(gateway: &Gateway) {
    let mut patience = start_patience(gateway);
    loop {
        let seeds = earlier_seeds(gateway);
        tokio::select! {
            never = follow_these(gateway, &seeds, patience) => match never {},
            () = wait_other_seeds(gateway, &seeds) => patience = Duration::ZERO,
        }
    }
}

async fn wait_other_seeds(gateway: &Gateway, seeds: &[SocketAddr]) {
    loop {
        let mut changed = Box::pin(gateway.config_changed().notified());
        // Registered before the look, so that no change is missed.
        changed.as_mut().enable();
        if earlier_seeds(gateway) != seeds {
            return;
        }
        changed.await;
    }
}

async fn follow_these(gateway: &Gateway, seeds: &[SocketAddr], patience: Duration) -> Infallible {
    wait_for_seeds(gateway, seeds, patience).await;
    loop {
        follow_seeds(gateway, seeds).await;
        if !gateway.is_seed() && has_successor(gateway, seeds).await {
            continue;
        }
        log::info!("event=source source=store");
        gateway.replica().status.distance = 0;
        tokio::select! {
            () = read_store(gateway) => {}
            () = wait_current(gateway, seeds) => {}
        }
    }
}

/// Gives a later seed a moment to take over, and returns whether one is current then.
///
/// Seeds that don't answer must not hold this up: what the store has must be in force within its bound.
async fn has_successor(gateway: &Gateway, seeds: &[SocketAddr]) -> bool {
    let patience = TAKEOVER_SPREAD.mul_f64(rand::random_range(0.5..1.0));
    sleep(patience / 2).await;
    timeout(patience / 2, first_current(gateway, seeds)).await.is_ok_and(|seed| seed.is_some())
}

/// Waits until one of the seeds is current; forever when there are none.
async fn wait_current(gateway: &Gateway, seeds: &[SocketAddr]) {
    loop {
        sleep(LOOK_PERIOD.mul_f64(rand::random_range(0.75..1.5))).await;
        if first_current(gateway, seeds).await.is_some() {
            return;
        }
    }
}

/// Returns the first of the seeds that is current; all are looked at at once, so that silent ones cost their time once.
async fn first_current(gateway: &Gateway, seeds: &[SocketAddr]) -> Option<SocketAddr> {
    let looks = seeds.iter().map(|address| async move {
        let looked = replication_client::check(gateway, *address).await;
        if let Err(e) = &looked {
            log::debug!("event=source-unusable source={address} error={:?}", e.to_string());
        }
        looked.is_ok().then_some(*address)
    });
    let mut looks = looks.collect::<FuturesOrdered<_>>();
    while let Some(look) = looks.next().await {
        if look.is_some() {
            return look;
        }
    }
    None
}

fn earlier_seeds(gateway: &Gateway) -> Vec<SocketAddr> {
    let config = gateway.config();
    seeds::follow_order(&config.peer_seeds, config.peers_address, &config.instance)
}

/// Reads the store once if the seeds have not told what is in it by then: at a restart they may be gone, too.
async fn read_at_start(gateway: &Gateway) {
    sleep(start_patience(gateway)).await;
    let read = |table: Table| async move {
        if gateway.replica().version(table).is_none()
            && let Err(e) = read_from_store(gateway, table).await
        {
            log::info!("event=read-at-start table={table} error={:?}", e.to_string());
        }
    };
    tokio::join!(read(Table::Routing), read(Table::Targets));
}

/// Reads all rows of a table from the store.
///
/// # Errors
///
/// Why the store gave nothing.
pub async fn read_from_store(gateway: &Gateway, table: Table) -> Result<(), StoreError> {
    let read = (gateway.platform.read_table)(table).await;
    gateway.metrics.record_store_call(read.as_ref().map_or_else(StoreError::label, |_| "answered"));
    apply_update(gateway, table, TableUpdate::Snapshot(read?));
    Ok(())
}

fn start_patience(gateway: &Gateway) -> Duration {
    if gateway.config().first_start { FIRST_START_PATIENCE } else { RESTART_PATIENCE }
}

/// Gives the seeds a moment to come up, and follows them meanwhile.
async fn wait_for_seeds(gateway: &Gateway, seeds: &[SocketAddr], patience: Duration) {
    let until = gateway.now() + patience;
    while !seeds.is_empty() && gateway.now() < until {
        follow_seeds(gateway, seeds).await;
        sleep(START_PAUSE).await;
    }
}

/// Follows one seed after the other while one is current; returns when none is.
async fn follow_seeds(gateway: &Gateway, seeds: &[SocketAddr]) {
    let mut open = seeds.to_vec();
    while let Some(address) = first_current(gateway, &open).await {
        let began = gateway.now();
        if let Err(ended) = replication_client::follow(gateway, address).await {
            let level = if ended.was_current { log::Level::Info } else { log::Level::Debug };
            log::log!(level, "event=source-lost source={address} error={:?}", ended.reason);
        }
        if gateway.now().since(began) > LASTING {
            open = seeds.to_vec();
        } else {
            // One that is lost again and again would keep this instance from the next and from the store.
            open.retain(|seed| *seed != address);
        }
    }
}

/// Reads the store until dropped.
///
/// A store that fails is asked for one table only.
async fn read_store(gateway: &Gateway) {
    let answered = Notify::new();
    let routing = async {
        let _answered_or_timeout = timeout(backoff(gateway).max_pause(), answered.notified()).await;
        read_table(gateway, Table::Routing, &Notify::new()).await;
    };
    tokio::join!(read_table(gateway, Table::Targets, &answered), routing);
}

fn backoff(gateway: &Gateway) -> Backoff {
    if gateway.is_seed() {
        Backoff::for_seed()
    } else {
        Backoff::for_follower(gateway.estimate_instance_count())
    }
}

async fn read_table(gateway: &Gateway, table: Table, answered: &Notify) {
    let mut pauses = backoff(gateway);
    // The first answer comes at once, so that followers soon know this instance to be current.
    let mut wait = Duration::ZERO;
    loop {
        let known = gateway.replica().version(table);
        let asked_at = gateway.now();
        let read = match known {
            None => (gateway.platform.read_table)(table).await.map(TableUpdate::Snapshot),
            Some(version) => {
                let from = ChangesRequest { table, version, wait };
                (gateway.platform.wait_for_changes)(from).await.map(TableUpdate::Delta)
            }
        };
        gateway.metrics.record_store_call(read.as_ref().map_or_else(StoreError::label, |_| "answered"));
        match read {
            Ok(update) => {
                pauses = backoff(gateway);
                answered.notify_one();
                let (TableUpdate::Snapshot(rows) | TableUpdate::Delta(rows)) = &update;
                let has_rows = !rows.rows.is_empty();
                confirm(gateway, table, confirmed_at(gateway.now(), asked_at, has_rows, wait));
                wait = FOLLOW_WAIT;
                apply_update(gateway, table, update);
                if has_rows {
                    sleep(GATHER).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!("event=history-gone table={table}");
                gateway.replica().forget_version(table);
            }
            Err(e) => {
                lose(gateway, table, &e);
                wait = Duration::ZERO;
                sleep(pauses.next_pause(rand::random_range(0.75..1.25))).await;
            }
        }
    }
}

/// Returns when the store had nothing newer than an answer that comes now.
///
/// The store holds an answer back until something changes, or for the wait: what an answer took beyond that is the way.
fn confirmed_at(now: MonoTime, asked_at: MonoTime, has_rows: bool, wait: Duration) -> MonoTime {
    let took = now.since(asked_at);
    let way = if has_rows { took.min(LONGEST_WAY) } else { took.saturating_sub(wait) };
    now.checked_sub(way).unwrap_or_default()
}

fn confirm(gateway: &Gateway, table: Table, at: MonoTime) {
    let mut replica = gateway.replica();
    let status = &mut replica.status;
    if table == Table::Targets {
        status.confirmed_at = status.confirmed_at.max(Some(at));
        if std::mem::take(&mut status.is_store_lost) {
            log::info!("event=store-regained table={table}");
        }
    }
    drop(replica);
    gateway.fleet().directory.store_answered(gateway.now());
    gateway.notify_followers();
}

fn lose(gateway: &Gateway, table: Table, error: &StoreError) {
    let mut replica = gateway.replica();
    if !std::mem::replace(&mut replica.status.is_store_lost, true) {
        log::warn!("event=store-lost table={table} error={:?}", error.to_string());
    }
    drop(replica);
    gateway.fleet().directory.store_lost();
    gateway.notify_followers();
}

/// Takes what was read of a table, from the store or from another instance.
pub fn apply_update(gateway: &Gateway, table: Table, update: TableUpdate) {
    gateway.replica().apply(table, &update);
    match table {
        Table::Routing => apply_routing(gateway, &update),
        Table::Targets => apply_targets(gateway, update),
    }
    gateway.notify_followers();
}

fn apply_routing(gateway: &Gateway, update: &TableUpdate) {
    let (TableUpdate::Snapshot(rows) | TableUpdate::Delta(rows)) = update;
    for row in rows.rows.iter().filter(|r| r.key == gateway.platform.routing_key) {
        let Some(value) = &row.value else { continue };
        match (gateway.platform.decode_routing)(value) {
            Ok(DecodedRouting { spec, faults }) => {
                for fault in faults {
                    log::warn!("event=routing-fault version={} error={fault:?}", spec.version);
                }
                gateway.apply_routing_if_newer(spec);
            }
            Err(e) => log::error!("event=routing-unreadable row_version={} error={e:?}", row.version),
        }
    }
}

fn apply_targets(gateway: &Gateway, update: TableUpdate) {
    let now = gateway.now();
    let decode = |rows: Vec<TableRow>| rows.into_iter().map(|row| listing(gateway, row)).collect();
    let mut fleet = gateway.fleet();
    let changes = match update {
        TableUpdate::Snapshot(TableRows { rows, version }) => {
            fleet.directory.replace(now, decode(rows), version)
        }
        TableUpdate::Delta(TableRows { rows, .. }) => fleet.directory.apply(now, decode(rows)),
    };
    fleet.follow(now, &changes);
    drop(fleet);
    log_changes(&changes);
    gateway.mark_targets_known();
    gateway.state_changed.notify_waiters();
}

fn listing(gateway: &Gateway, row: TableRow) -> DirectoryRow {
    let decoded = row.value.map(|value| (gateway.platform.decode_listing)(&row.key, &value));
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
        let changed = gateway.state_changed.notified();
        match due {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(gateway.clock.instant(at)) => {}
                () = changed => {}
            },
            None => changed.await,
        }
        let mut fleet = gateway.fleet();
        let now = gateway.now();
        let changes = fleet.directory.expire(now);
        fleet.follow(now, &changes);
        drop(fleet);
        log_changes(&changes);
    }
}

/// Keeps this instance's share of the budgets to the number of instances.
async fn count_instances(gateway: &Gateway) {
    // What requests themselves allow depends on no count.
    set_allowance(gateway, None);
    sleep(COUNT_AFTER).await;
    let mut known = 0;
    loop {
        let instances = u64::from(gateway.estimate_instance_count());
        if instances != known && instances > 0 {
            log::info!("event=instances-counted instances={instances} was={known}");
            known = instances;
            gateway.set_instance_count(instances);
        }
        if known > 0 {
            set_shares(gateway, known);
        }
        // Changed settings count from the next look on, too.
        sleep(COUNT_PERIOD).await;
    }
}

/// Gives this instance its share of what may be repeated and probed.
fn set_shares(gateway: &Gateway, instances: u64) {
    set_allowance(gateway, Some(instances));
    let probes = gateway.config().probes_per_target_per_s * PROBES_PART / instances as f64;
    gateway.fleet().set_probes(probes);
}

/// Lets this instance repeat a part of its requests, and its share of what is allowed besides once that is known.
fn set_allowance(gateway: &Gateway, instances: Option<u64>) {
    let config = gateway.config();
    gateway.fleet().set_allowance(RepeatAllowance {
        ratio: config.repeat_ratio * ALLOWANCE_PART,
        extra: instances.map_or(0.0, |n| config.repeat_extra * ALLOWANCE_PART / n as f64),
        window: Duration::from_secs_f64(config.repeat_window_s),
    });
}
