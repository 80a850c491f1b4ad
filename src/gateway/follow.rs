//! Keeps the routing table and the directory of targets current, from the store or from another instance.
//!
//! Every call to the store costs money, and all instances read the same rows. So only the first reachable
//! seed (in the order of the seed addresses) reads the store, and the other instances replicate its rows.
//! This is an optimization only: an instance whose seed is not current in time follows another seed or reads
//! the store itself.

use std::{convert::Infallible, future::pending, net::SocketAddr, sync::Arc, time::Duration};

use derive_more::Display;
use futures::{
    future::join_all,
    stream::{FuturesOrdered, FuturesUnordered, StreamExt},
};
use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use super::{
    Gateway,
    apply::{apply_update, log_changes, record_store_heard},
    backoff::{Backoff, JITTER},
    budget_shares::count_instances,
    peer_paths,
    platform_adapter::{ChangesRequest, StoreError, Table},
    replica::{TableUpdate, UpdateResult},
    replication_client::{self, StoreAccess},
    seed_links::SeedLinks,
    seeds, suspect_store,
};
use crate::units::MonoTime;

/// Time for which the store may delay a response while nothing changes. Each response also confirms that the
/// reader's replica is current, so this must be short enough for followers to notice within
/// [`MAX_CURRENT_AGE`] that it no longer is.
const FOLLOW_WAIT: Duration = Duration::from_millis(600);

/// Longest time assumed between a change in the store and the arrival of the response that reports it.
const MAX_STORE_DELAY: Duration = Duration::from_millis(300);

/// Pause after a response with changes, so that further changes arrive in one batch. Changes must be in force
/// within 2 s.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(200);

/// Time over which instances that lost their seed spread before they read the store. A later seed that takes
/// over is current by then, and they follow it instead.
const TAKEOVER_SPREAD: Duration = Duration::from_millis(200);

/// Age up to which a replica counts as current: the longest time between two confirmations if the store
/// responds a hundred times slower than usual.
pub const MAX_CURRENT_AGE: Duration = Duration::from_millis(1_500);

/// Age up to which a seed considers the replica of an earlier seed current. Shorter than [`MAX_CURRENT_AGE`],
/// so that the seed has taken over by the time the other instances look for a current one.
pub const SEED_MAX_CURRENT_AGE: Duration = Duration::from_millis(1_200);

/// Mean pause after an attempt to follow a seed has failed although the seed was current, or could not be
/// reached.
const SEED_RETRY_PERIOD: Duration = Duration::from_secs(1);

/// Time to wait for the seeds to come up when the whole deployment starts for the first time, before callers
/// arrive.
const FIRST_START_SEED_WAIT: Duration = Duration::from_secs(2);

/// Time to wait for the seeds at any other start. Callers are waiting then, and two store calls cost less
/// than failing their requests.
const RESTART_SEED_WAIT: Duration = Duration::from_millis(60);

/// Time for which the first routing table from the store is held back until all seeds have answered. Callers are
/// waiting then, and a seed without power never answers.
const SEED_ROUTING_WAIT: Duration = Duration::from_millis(80);

/// Pause between two attempts to reach a seed at the start.
const SEED_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Time after which an instance looks for another source if the seed that it follows has lost the store. A call of the
/// seed that failed by itself succeeds again within it.
const SOURCE_CHECK_DELAY: Duration = Duration::from_millis(300);

/// Time for which a seed must have been followed to be tried again at once after it is lost.
const MIN_STABLE_FOLLOW: Duration = Duration::from_secs(5);

/// Runs all tasks of this module until dropped.
pub async fn run(gateway: Arc<Gateway>) {
    tokio::join!(
        follow(&gateway),
        read_at_start(&gateway),
        ask_seeds_for_routing(&gateway),
        expire_targets(&gateway),
        count_instances(&gateway),
        peer_paths::run(&gateway),
        suspect_store::write(&gateway),
        suspect_store::limit_start_wait(&gateway)
    );
}

/// Follows a seed while one is current, and the store otherwise; starts over when the configured seeds
/// change.
async fn follow(gateway: &Gateway) {
    let mut seed_wait = start_seed_wait(gateway);
    loop {
        let seeds = seeds_to_follow(gateway);
        tokio::select! {
            never = follow_with_seeds(gateway, &seeds, seed_wait) => match never {},
            () = wait_for_other_seeds(gateway, &seeds) => seed_wait = Duration::ZERO,
        }
    }
}

async fn wait_for_other_seeds(gateway: &Gateway, seeds: &[SocketAddr]) {
    loop {
        let mut changed = Box::pin(gateway.config_changed().notified());
        // Registered before the settings are read, so that no change is missed.
        changed.as_mut().enable();
        if seeds_to_follow(gateway) != seeds {
            return;
        }
        changed.await;
    }
}

async fn follow_with_seeds(gateway: &Gateway, seeds: &[SocketAddr], seed_wait: Duration) -> Infallible {
    wait_for_seeds(gateway, seeds, seed_wait).await;
    loop {
        let end = follow_seeds(gateway, seeds).await;
        let may_wait = end == SeedsEnd::NoneCurrent && !gateway.is_seed();
        if may_wait && has_later_seed_taken_over(gateway, seeds).await {
            continue;
        }
        log::info!("event=source source=store");
        gateway.replica().status.distance = 0;
        let links = SeedLinks::default();
        tokio::select! {
            () = read_store(gateway, &links) => {}
            () = wait_for_current_seed(gateway, seeds, &links) => {}
        }
    }
}

/// Gives a later seed time to take over, and returns whether one is current after that.
///
/// The checks have a time limit, because seeds that do not answer must not delay changes beyond the 2 s in
/// which they must be in force.
async fn has_later_seed_taken_over(gateway: &Gateway, seeds: &[SocketAddr]) -> bool {
    let wait = TAKEOVER_SPREAD.mul_f64(rand::random_range(0.5..1.0));
    sleep(wait / 2).await;
    let seed = first_current_seed(gateway, seeds, StoreAccess::Any);
    timeout(wait / 2, seed).await.is_ok_and(|seed| seed.is_some())
}

/// Waits until one of the seeds becomes current; forever if `seeds` is empty.
///
/// A link to each seed stays open, so that the end of a store outage is known here as soon as it is there.
async fn wait_for_current_seed(gateway: &Gateway, seeds: &[SocketAddr], links: &SeedLinks) {
    let wait = |address: SocketAddr| async move {
        while let Err(e) = replication_client::wait_until_current(gateway, address, links).await {
            log::debug!("event=source-unusable source={address} error={:?}", e.to_string());
            sleep(SEED_RETRY_PERIOD.mul_f64(rand::random_range(0.75..1.5))).await;
            let access = replication_client::needed_access(gateway);
            if replication_client::check(gateway, address, access).await.is_ok() {
                return;
            }
        }
    };
    let mut waits = seeds.iter().copied().map(wait).collect::<FuturesUnordered<_>>();
    if waits.next().await.is_none() {
        pending::<()>().await;
    }
}

/// Returns the first seed that is current. All seeds are checked at once, so that the timeouts of
/// unresponsive ones do not add up.
async fn first_current_seed(
    gateway: &Gateway,
    seeds: &[SocketAddr],
    access: StoreAccess,
) -> Option<SocketAddr> {
    let checks = seeds.iter().map(|address| async move {
        let checked = replication_client::check(gateway, *address, access).await;
        if let Err(e) = &checked {
            log::debug!("event=source-unusable source={address} error={:?}", e.to_string());
        }
        checked.is_ok().then_some(*address)
    });
    let mut checks = checks.collect::<FuturesOrdered<_>>();
    while let Some(seed) = checks.next().await {
        if seed.is_some() {
            return seed;
        }
    }
    None
}

/// Returns the addresses of all seeds but this instance itself.
fn other_seeds(gateway: &Gateway) -> Vec<SocketAddr> {
    let config = gateway.config();
    config.peer_seeds.iter().copied().filter(|seed| *seed != config.peers_address).collect()
}

fn seeds_to_follow(gateway: &Gateway) -> Vec<SocketAddr> {
    let config = gateway.config();
    seeds::follow_order(&config.peer_seeds, config.peers_address, &config.instance)
}

/// Reads from the store the tables and the suspects that no seed has delivered within the start-up wait: when all
/// instances restart, the seeds may be down, too.
async fn read_at_start(gateway: &Gateway) {
    sleep(start_seed_wait(gateway)).await;
    let read = |table: Table| async move {
        if gateway.replica().position(table).is_none()
            && let Err(e) = read_from_store(gateway, table).await
        {
            log::info!("event=read-at-start table={table} error={:?}", e.to_string());
        }
    };
    let suspects = async {
        if !gateway.are_suspects_known() {
            suspect_store::read_at_start(gateway).await;
        }
    };
    tokio::join!(read(Table::Routing), read(Table::Targets), suspects);
}

/// Reads all rows of a table from the store and applies them.
///
/// # Errors
///
/// A [`StoreError`] if the call fails; the replica stays as it is.
pub async fn read_from_store(gateway: &Gateway, table: Table) -> Result<(), StoreError> {
    let snapshot = read_snapshot(gateway, table).await;
    gateway.metrics.record_store_call(&table.to_string(), &snapshot);
    apply_update(gateway, table, snapshot?);
    Ok(())
}

/// Reads all rows of a table from the store.
///
/// The store may have come back from a copy that contains an older routing table than the one in force. Before
/// the first routing table from the store is used, the seeds are therefore asked for theirs.
async fn read_snapshot(gateway: &Gateway, table: Table) -> Result<TableUpdate, StoreError> {
    let read = (gateway.platform.read_table)(table);
    let wait = async {
        if table == Table::Routing {
            gateway.wait_for_seed_routing().await;
        }
    };
    let (read, ()) = tokio::join!(read, wait);
    read.map(TableUpdate::Snapshot)
}

/// Asks all seeds for their routing tables when this instance starts, unless the whole deployment does so for
/// the first time. Applies each that comes, whether its seed is current or not.
async fn ask_seeds_for_routing(gateway: &Gateway) {
    if !gateway.config().first_start {
        let asked = other_seeds(gateway).into_iter().map(|address| async move {
            match replication_client::fetch_routing(gateway, address).await {
                Ok(Some(update)) => {
                    apply_update(gateway, Table::Routing, update);
                }
                Ok(None) => {}
                Err(e) => {
                    log::debug!("event=seed-routing-failed source={address} error={:?}", e.to_string());
                }
            }
        });
        let mut asked = join_all(asked);
        if timeout(SEED_ROUTING_WAIT, &mut asked).await.is_err() {
            // A later answer is still applied, but callers don't wait for it.
            gateway.end_wait_for_seed_routing();
            asked.await;
        }
    }
    gateway.end_wait_for_seed_routing();
}

fn start_seed_wait(gateway: &Gateway) -> Duration {
    if gateway.config().first_start { FIRST_START_SEED_WAIT } else { RESTART_SEED_WAIT }
}

/// Gives the seeds up to `seed_wait` to come up, and follows them as they do.
async fn wait_for_seeds(gateway: &Gateway, seeds: &[SocketAddr], seed_wait: Duration) {
    let until = gateway.now() + seed_wait;
    while !seeds.is_empty() && gateway.now() < until {
        follow_seeds(gateway, seeds).await;
        sleep(SEED_RETRY_PAUSE).await;
    }
}

/// Why an instance stops to follow seeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SeedsEnd {
    /// None is current.
    NoneCurrent,
    /// Those that are current have lost the store, and it answers this instance.
    StoreAnswers,
}

/// Follows one seed after another; returns when no seed is current, or the store is the better source.
async fn follow_seeds(gateway: &Gateway, seeds: &[SocketAddr]) -> SeedsEnd {
    let (mut candidates, mut access) = (seeds.to_vec(), StoreAccess::Any);
    while let Some(address) = first_current_seed(gateway, &candidates, access).await {
        let started = gateway.now();
        let better = tokio::select! {
            ended = replication_client::follow(gateway, address) => {
                if let Err(ended) = ended {
                    let level = if ended.was_current { log::Level::Info } else { log::Level::Debug };
                    log::log!(level, "event=source-lost source={address} error={:?}", ended.reason);
                }
                None
            }
            better = wait_for_better_source(gateway, seeds, address) => Some(better),
        };
        if let Some(better) = better {
            log::info!("event=source-lost source={address} error=\"store lost\" better={better}");
        }
        match better {
            Some(BetterSource::Store) => return SeedsEnd::StoreAnswers,
            Some(BetterSource::Seed) => access = StoreAccess::BothTables,
            None if gateway.now().since(started) > MIN_STABLE_FOLLOW => {
                (candidates, access) = (seeds.to_vec(), StoreAccess::Any);
                continue;
            }
            None => {}
        }
        // A seed that is lost again and again would keep this instance from the other seeds and from the
        // store.
        candidates.retain(|seed| *seed != address);
    }
    SeedsEnd::NoneCurrent
}

/// A source that reads both tables of the store, while the followed seed has lost one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
enum BetterSource {
    /// Another seed.
    Seed,
    /// The store itself.
    Store,
}

/// Returns once the followed seed has lost a table of the store and another source reads both. The store may turn some
/// instances away, seeds among them, and serve the others.
///
/// A loss of both tables ends with the age of the replica before it is checked again, so that an outage of the whole
/// store costs one call of each instance. Nothing else ends a loss of the routing table alone.
async fn wait_for_better_source(
    gateway: &Gateway,
    seeds: &[SocketAddr],
    followed: SocketAddr,
) -> BetterSource {
    let others = seeds.iter().copied().filter(|seed| *seed != followed).collect::<Vec<_>>();
    let mut changes = gateway.watch_replica();
    loop {
        wait_for_store_state(gateway, &mut changes, true).await;
        sleep(SOURCE_CHECK_DELAY.mul_f64(rand::random_range(JITTER))).await;
        if gateway.replica().status.is_any_table_lost() {
            if first_current_seed(gateway, &others, StoreAccess::BothTables).await.is_some() {
                return BetterSource::Seed;
            }
            if does_store_answer(gateway).await {
                return BetterSource::Store;
            }
        }
        let next_check = backoff(gateway).max_interval().max(MAX_CURRENT_AGE);
        let regained = wait_for_store_state(gateway, &mut changes, false);
        let _regained_or_due = timeout(next_check.mul_f64(rand::random_range(JITTER)), regained).await;
    }
}

/// Waits until the instance that reads the store, directly or for this one, has lost one of its tables or none.
async fn wait_for_store_state(gateway: &Gateway, changes: &mut watch::Receiver<u64>, is_lost: bool) {
    loop {
        changes.mark_unchanged();
        if gateway.replica().status.is_any_table_lost() == is_lost {
            return;
        }
        // The sender lives as long as the gateway, so waiting can't fail.
        let _closed = changes.changed().await;
    }
}

/// Returns whether the store answers this instance now about both tables.
async fn does_store_answer(gateway: &Gateway) -> bool {
    // One after the other: a store that is away gets one call.
    is_table_readable(gateway, Table::Targets).await && is_table_readable(gateway, Table::Routing).await
}

async fn is_table_readable(gateway: &Gateway, table: Table) -> bool {
    let Some(after) = gateway.replica().position(table) else {
        return read_from_store(gateway, table).await.is_ok();
    };
    let request = ChangesRequest { table, after, wait: Duration::ZERO };
    let answer = (gateway.platform.wait_for_changes)(request).await;
    gateway.metrics.record_store_call(&table.to_string(), &answer);
    // Whoever reads the table next reads it as a whole if the changes can't be had.
    matches!(answer, Ok(_) | Err(StoreError::HistoryGone | StoreError::Incomplete { .. }))
}

/// Reads both tables and the suspects from the store until dropped.
///
/// The routing table is read once the target table's first response arrives or the longest pause has passed,
/// so that a failing store gets calls for one table only at first.
async fn read_store(gateway: &Gateway, links: &SeedLinks) {
    let answered = Notify::new();
    let routing = async {
        let _answered_or_timeout = timeout(backoff(gateway).max_interval(), answered.notified()).await;
        read_table(gateway, Table::Routing, links, &Notify::new()).await;
    };
    let targets = read_table(gateway, Table::Targets, links, &answered);
    tokio::join!(targets, routing, suspect_store::read(gateway));
}

fn backoff(gateway: &Gateway) -> Backoff {
    if gateway.is_seed() {
        Backoff::for_seed()
    } else {
        Backoff::for_follower(gateway.estimate_instance_count())
    }
}

async fn read_table(gateway: &Gateway, table: Table, links: &SeedLinks, answered: &Notify) {
    let mut pauses = backoff(gateway);
    // The first response comes without delay, so that followers soon see that this instance is current.
    let mut wait = Duration::ZERO;
    loop {
        let known = gateway.replica().position(table);
        let asked_at = gateway.now();
        let read = match known {
            None => read_snapshot(gateway, table).await,
            Some(after) => {
                let from = ChangesRequest { table, after, wait };
                (gateway.platform.wait_for_changes)(from).await.map(TableUpdate::Delta)
            }
        };
        gateway.metrics.record_store_call(&table.to_string(), &read);
        match read {
            Ok(update) => {
                pauses = backoff(gateway);
                answered.notify_one();
                let has_rows = !update.rows().rows.is_empty();
                let confirmed_at = confirmed_at(gateway.now(), asked_at, has_rows, wait);
                // The grace period for missing rows starts before the rows are applied.
                record_store_answered(gateway, table);
                match apply_update(gateway, table, update) {
                    UpdateResult::Applied => record_confirmation(gateway, table, confirmed_at),
                    // The next request reads the whole table, or asks for changes in the later era.
                    UpdateResult::SnapshotNeeded | UpdateResult::Outdated => continue,
                }
                wait = FOLLOW_WAIT;
                if has_rows {
                    sleep(CHANGE_BATCH_DELAY).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!("event=history-gone table={table}");
                gateway.replica().require_snapshot(table);
            }
            Err(e @ StoreError::Incomplete { .. }) if known.is_some() => {
                // The next response with changes would have these again, and more. The whole table is smaller
                // if it has large rows.
                record_store_lost(gateway, table, asked_at, &e);
                gateway.replica().require_snapshot(table);
            }
            Err(e) => {
                record_store_lost(gateway, table, asked_at, &e);
                wait = Duration::ZERO;
                let took = gateway.now().since(asked_at);
                let pause = pauses.next_pause(took, rand::random_range(JITTER));
                links.pause(pause, rand::random_range(JITTER)).await;
            }
        }
    }
}

/// Returns the latest time at which the store is known to have had nothing newer than a response that arrives
/// at `now`.
///
/// The store delays a response until a row changes, or for `wait`. What a response without rows took beyond
/// `wait` counts as network delay; for a response with rows, the delay is assumed to be at most
/// [`MAX_STORE_DELAY`].
fn confirmed_at(now: MonoTime, asked_at: MonoTime, has_rows: bool, wait: Duration) -> MonoTime {
    let took = now.since(asked_at);
    let delay = if has_rows { took.min(MAX_STORE_DELAY) } else { took.saturating_sub(wait) };
    now.checked_sub(delay).unwrap_or_default()
}

/// Records that a table could be read. The target table alone says whether the store is lost: the grace period
/// after its return is for rows of that table, and both tables are read at the same rate.
fn record_store_answered(gateway: &Gateway, table: Table) {
    let now = gateway.now();
    let mut replica = gateway.replica();
    let status = &mut replica.status;
    if table == Table::Routing {
        if let Some(since) = status.routing_unread_since.take() {
            let unread_ms = now.since(since).as_millis();
            log::info!("event=store-regained table={table} unread_ms={unread_ms}");
            drop(replica);
            gateway.notify_followers();
        }
        return;
    }
    if std::mem::take(&mut status.is_store_lost) {
        log::info!("event=store-regained table={table}");
        status.answered_since = Some(now);
    }
    let answered_since = *status.answered_since.get_or_insert(now);
    drop(replica);
    record_store_heard(gateway, answered_since);
}

fn record_confirmation(gateway: &Gateway, table: Table, at: MonoTime) {
    if table == Table::Targets {
        let status = &mut gateway.replica().status;
        status.confirmed_at = status.confirmed_at.max(Some(at));
    }
    gateway.notify_followers();
}

/// Records that a call for a table that began at `asked_at` has failed.
fn record_store_lost(gateway: &Gateway, table: Table, asked_at: MonoTime, error: &StoreError) {
    let mut replica = gateway.replica();
    let status = &mut replica.status;
    let was_lost = match table {
        Table::Routing => {
            let was_lost = status.routing_unread_since.is_some();
            status.routing_unread_since.get_or_insert(asked_at);
            was_lost
        }
        Table::Targets => std::mem::replace(&mut status.is_store_lost, true),
    };
    let level = if was_lost { log::Level::Debug } else { log::Level::Warn };
    log::log!(level, "event=store-lost table={table} error={:?}", error.to_string());
    if table == Table::Routing {
        drop(replica);
        gateway.notify_followers();
        return;
    }
    let heard_at = replica.status.confirmed_at.unwrap_or_default();
    drop(replica);
    gateway.service_pools().directory.store_lost(heard_at);
    gateway.notify_followers();
}

/// Removes targets whose directory rows were removed and did not reappear in time.
async fn expire_targets(gateway: &Gateway) {
    loop {
        let due = gateway.service_pools().directory.next_expiry();
        let notified = gateway.state_changed.notified();
        match due {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(gateway.clock.instant(at)) => {}
                () = notified => {}
            },
            None => notified.await,
        }
        let mut service_pools = gateway.service_pools();
        let now = gateway.now();
        let changes = service_pools.directory.expire(now);
        service_pools.apply_changes(now, &changes);
        drop(service_pools);
        log_changes(&changes);
    }
}
