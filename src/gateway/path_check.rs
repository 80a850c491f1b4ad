//! Checks whether this instance has a path to its targets, when several of them have failed.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use rand::seq::SliceRandom;
use tokio::time::{sleep, timeout};

use super::{Gateway, peer_paths, probe};
use crate::{
    collections::{HashMap, HashSet},
    decide::{directory::Listing, target_paths::PathChange},
    units::{MonoTime, ServiceName},
};

/// Time after which a target that is checked counts as not reached: the time limit of a probe, and as much again for
/// a pause of this process.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Most targets that are checked of the service whose targets have failed.
const SUSPECTED_SAMPLE: usize = 32;

/// Targets that are checked of each other service.
const OTHER_SAMPLE: usize = 3;

/// Most targets of other services that are checked at once.
const MAX_OTHER_SAMPLE: usize = 24;

/// Time between two checks of the services whose path is closed.
const RECHECK_PERIOD: Duration = Duration::from_millis(100);

/// Most targets of each such service that are checked each time.
const RECHECK_SAMPLE: usize = 4;

/// Most targets that are checked each time.
const MAX_RECHECK_SAMPLE: usize = 16;

/// Other targets that are checked before a target counts as ended.
const WITNESSES: usize = 4;

/// Records a failure at a target that may be one of the path to it, and checks the paths if there are several.
pub fn report_failure(gateway: &Arc<Gateway>, listing: &Listing) {
    let service = &listing.service;
    let targets = gateway.service_pools().directory.listings().filter(|l| l.service == *service).count();
    if gateway.target_paths().record_failure(gateway.now(), service, &listing.id, targets) {
        let (gateway, service) = (Arc::clone(gateway), service.clone());
        tokio::spawn(async move { check(&gateway, &service).await });
    }
}

/// Returns whether another target than this one has been reached since `since`, or is reached now. If none is, the
/// failures at this one show nothing of it.
pub async fn is_other_reached(gateway: &Gateway, target: &Listing, since: MonoTime) -> bool {
    if gateway.target_paths().has_reached_other(&target.id, since) {
        return true;
    }
    let mut listings = shuffled_listings(gateway);
    listings.retain(|listing| listing.id != target.id);
    // Those of the same service first.
    listings.sort_by_key(|listing| listing.service != target.service);
    let (same, others) = listings.split_at(listings.partition_point(|l| l.service == target.service));
    let witnesses = same.iter().take(WITNESSES).chain(others.iter().take(WITNESSES));
    let witnesses = witnesses.cloned().collect::<Vec<_>>();
    // With no other target, there is nothing to compare with.
    witnesses.is_empty() || reach_all(gateway, witnesses).await.iter().any(|(_, is_reached)| *is_reached)
}

/// Checks targets of all services, those of `suspected` first.
async fn check(gateway: &Arc<Gateway>, suspected: &ServiceName) {
    let listings = shuffled_listings(gateway);
    let services = listings.iter().map(|listing| listing.service.clone()).collect::<HashSet<_>>();
    let mut sample = sample(&listings, OTHER_SAMPLE, |service| service != suspected);
    sample.truncate(MAX_OTHER_SAMPLE);
    sample.extend(self::sample(&listings, SUSPECTED_SAMPLE, |service| service == suspected));
    let reached = reach_all(gateway, sample).await;
    let checked = by_service(&reached);
    let changes = gateway.target_paths().finish_check(gateway.now(), &checked, &services);
    apply_changes(gateway, &changes, reached.len());
}

/// Checks the services whose path is closed, until all are open.
async fn recheck(gateway: Arc<Gateway>) {
    loop {
        let Some(closed) = gateway.target_paths().next_recheck() else { return };
        let listings = shuffled_listings(&gateway);
        let mut sample = sample(&listings, RECHECK_SAMPLE, |service| closed.contains(service));
        sample.truncate(MAX_RECHECK_SAMPLE);
        let reached = reach_all(&gateway, sample).await;
        let mut checked = by_service(&reached);
        // A service without targets is refused for that reason.
        let has_target = |service: &&ServiceName| listings.iter().any(|l| l.service == **service);
        checked.extend(closed.iter().filter(|service| !has_target(service)).map(|s| (s.clone(), true)));
        let changes = gateway.target_paths().finish_recheck(gateway.now(), &checked);
        apply_changes(&gateway, &changes, reached.len());
        if changes.is_empty() {
            sleep(RECHECK_PERIOD).await;
        }
    }
}

/// Returns the targets that take requests, in random order.
fn shuffled_listings(gateway: &Gateway) -> Vec<Listing> {
    let now = gateway.now();
    let mut listings = {
        let service_pools = gateway.service_pools();
        let listings = service_pools.directory.listings().filter(|l| service_pools.takes_requests(now, l));
        listings.cloned().collect::<Vec<_>>()
    };
    listings.shuffle(&mut rand::rng());
    listings
}

/// Returns up to `per_service` targets of each service for which `is_wanted` holds.
fn sample(
    listings: &[Listing],
    per_service: usize,
    is_wanted: impl Fn(&ServiceName) -> bool,
) -> Vec<Listing> {
    let mut taken = HashMap::<&ServiceName, usize>::default();
    let wanted = listings.iter().filter(|listing| {
        let taken = taken.entry(&listing.service).or_default();
        *taken += 1;
        *taken <= per_service && is_wanted(&listing.service)
    });
    wanted.cloned().collect()
}

/// Asks targets for a response on a new connection, and returns which ones have given one.
async fn reach_all(gateway: &Gateway, listings: Vec<Listing>) -> Vec<(Listing, bool)> {
    let checks = listings.into_iter().map(|listing| async move {
        let is_reached = timeout(CHECK_TIMEOUT, probe::reach(gateway, &listing)).await.unwrap_or(false);
        if is_reached {
            let now = gateway.now();
            gateway.target_paths().record_response(now, &listing.service, &listing.id, true);
        }
        (listing, is_reached)
    });
    join_all(checks).await
}

fn by_service(reached: &[(Listing, bool)]) -> Vec<(ServiceName, bool)> {
    let mut services = HashMap::<&ServiceName, bool>::default();
    for (listing, is_reached) in reached {
        *services.entry(&listing.service).or_default() |= *is_reached;
    }
    services.into_iter().map(|(service, is_reached)| (service.clone(), is_reached)).collect()
}

fn apply_changes(gateway: &Arc<Gateway>, changes: &[PathChange], checked: usize) {
    if changes.is_empty() {
        return;
    }
    let mut is_any_closed = false;
    for PathChange { service, is_open, closed_for } in changes {
        if *is_open {
            let closed_ms = closed_for.as_millis();
            log::info!("event=path-open service={service} closed_ms={closed_ms} targets_checked={checked}");
            gateway.service_pools().forget_failures(service);
        } else {
            is_any_closed = true;
            let has_peer = gateway.peer_paths().has_path(gateway.now(), service);
            log::warn!("event=path-closed service={service} targets_checked={checked} peer_known={has_peer}");
        }
    }
    peer_paths::state_own(gateway);
    gateway.state_changed.notify_waiters();
    if is_any_closed && gateway.target_paths().start_rechecks() {
        tokio::spawn(recheck(Arc::clone(gateway)));
    }
}
