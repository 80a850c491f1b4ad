//! Periodic tasks of the control plane: polls the plan and the instance list, registers this instance, ticks
//! the state machines of membership and plan, and samples load counts for the peers.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until};

use super::{
    freshness::Freshness,
    record::{self, PlanHead, from_row, head_key},
};
use crate::{
    collections::HashMap,
    error::Result,
    kernel::Kernel,
    membership::table::MemberChange,
    observe::unix_s,
    peer::{budget::OVERHEAD_BYTES, loads::REFRESH_PERIOD, state::LoadSample},
    store::ListedInstance,
    units::{InstanceId, MonoTime, PlanVersion, ServiceName},
};

/// Time between two ticks of membership, plan freshness and intentions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two registrations of this instance in the instance list while nothing changes.
const REGISTER_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Shortest time between two load samples that are sent to all peers.
const LOADS_INTERVAL: Duration = Duration::from_millis(5);

/// Size of a loads frame without its counts, in bytes: length, tag, version, time, number of counts.
const LOADS_HEADER_BYTES: usize = 4 + 1 + 3 + 9 + 3;

/// Size in bytes of one encoded count whose two numbers are less than 251.
const COUNT_BYTES: usize = 2;

/// Runs the periodic tasks until the future is dropped.
pub async fn run(kernel: Arc<Kernel>) {
    tokio::join!(tick(&kernel), poll(&kernel), register(&kernel), sample_loads(&kernel));
}

async fn tick(kernel: &Kernel) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut previous = Freshness::Starting;
    loop {
        ticks.tick().await;
        tick_members(kernel);
        let freshness = update_freshness(kernel);
        if freshness != previous {
            log::info!("event=standing was={previous} is={freshness} version={}", kernel.plan.version());
            previous = freshness;
        }
        kernel.apply_intentions(unix_s());
    }
}

fn tick_members(kernel: &Kernel) {
    let changes = kernel.members.lock().tick(kernel.clock.now());
    for change in changes {
        match change {
            MemberChange::Live(instance, run) => log::info!("event=peer-live peer={instance} run={run}"),
            MemberChange::Silent(instance, run) => {
                log::warn!("event=peer-silent peer={instance} run={run}");
                drop_loads_unless_live(kernel, &instance);
            }
            MemberChange::Removed(instance, run) => {
                log::info!("event=peer-removed peer={instance} run={run}");
                kernel.control.take_pending(run);
            }
        }
    }
}

/// Drops the load counts of an instance, unless another process with the same instance name is live.
fn drop_loads_unless_live(kernel: &Kernel, instance: &InstanceId) {
    let now = kernel.clock.now();
    let replaced = kernel.members.lock().all().any(|m| m.instance == *instance && m.is_live(now));
    if !replaced {
        kernel.drop_peer_loads(instance);
    }
}

/// Updates and returns the plan's freshness now instead of at the next tick.
pub fn update_freshness(kernel: &Kernel) -> Freshness {
    let now = kernel.clock.now();
    let version = kernel.plan.version();
    let table = kernel.members.lock();
    let member_count = table.member_count(now);
    let peer_is_current = table
        .all()
        .any(|m| m.is_live(now) && m.last_heartbeat.current && m.last_heartbeat.plan_version == version);
    drop(table);
    let mut tracker = kernel.control.freshness_tracker();
    let freshness = tracker.tick(now, member_count, peer_is_current);
    kernel.set_plan_valid_until(tracker.current_until());
    freshness
}

/// Reads the plan and the instance list whenever the freshness tracker makes a read due.
async fn poll(kernel: &Kernel) {
    loop {
        let due = kernel.control.freshness_tracker().next_poll();
        sleep_until(kernel.clock.instant(due)).await;
        let began = kernel.clock.now();
        let (read, _) = tokio::join!(read_plan(kernel), refresh_instance_list(kernel));
        let now = kernel.clock.now();
        kernel.control.freshness_tracker().on_poll_finished(began, now, read);
        kernel.observer.set_store_reachable(read.is_some());
        update_freshness(kernel);
    }
}

/// Reads the instance list and updates membership; returns whether the list could be read.
///
/// Starts leaving if the list states that this instance leaves.
pub async fn refresh_instance_list(kernel: &Kernel) -> bool {
    let Ok(list) = (kernel.platform.list_instances)(()).await else {
        return false;
    };
    let must_leave = kernel.members.lock().update_from_list(kernel.clock.now(), &list);
    if must_leave {
        kernel.leave();
    }
    true
}

/// Reads the head row and activates its plan if the version is newer; returns the version in the row.
///
/// Returns version 0 if the row does not exist, and `None` if the row or the plan cannot be read.
async fn read_plan(kernel: &Kernel) -> Option<PlanVersion> {
    let row = (kernel.platform.get)(head_key()).await.ok()?;
    let Some(row) = row else {
        return Some(PlanVersion::default());
    };
    match activate_head(kernel, &row).await {
        Ok(version) => Some(version),
        Err(e) => {
            log::error!("event=plan-unreadable error={:?}", e.message);
            None
        }
    }
}

async fn activate_head(kernel: &Kernel, row: &crate::store::Row) -> Result<PlanVersion> {
    let head = from_row::<PlanHead>(row)?;
    if head.version > kernel.plan.version() {
        kernel.adopt_plan(record::read_plan_body(&kernel.platform, &head).await?);
    }
    Ok(head.version)
}

/// Registers this instance in the platform's instance list periodically, and at once when it starts leaving.
async fn register(kernel: &Kernel) {
    let mut urgent = kernel.control.watch_urgent();
    loop {
        let leaving = kernel.is_leaving();
        let entry = ListedInstance {
            id: kernel.config.instance.clone(),
            run_id: kernel.run_id,
            data_centre: kernel.config.data_centre.clone(),
            peer_address: kernel.config.peers_address,
            caller_address: kernel.config.callers_address,
            leaving,
        };
        let registered = (kernel.platform.register)(entry).await;
        if let Err(e) = &registered {
            log::debug!("event=register-failed error={:?}", e.to_string());
        }
        let delay = if registered.is_ok() { REGISTER_INTERVAL } else { REGISTER_RETRY_DELAY };
        let jitter = rand::random_range(0.75..1.25);
        let due = sleep(delay.mul_f64(jitter));
        let began_leaving =
            async { while kernel.is_leaving() == leaving && urgent.changed().await.is_ok() {} };
        tokio::select! {
            () = due => {}
            () = began_leaving => {}
        }
    }
}

/// Publishes changed load counts as often as the byte budget permits sending them to all peers.
async fn sample_loads(kernel: &Kernel) {
    let mut ticks = interval(LOADS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = LoadSample::default();
    loop {
        ticks.tick().await;
        let now = kernel.clock.now();
        if !can_send_to_all_peers(kernel, now, 1) {
            continue;
        }
        let sample = take_sample(kernel, now);
        let changed = count_changes(&last, &sample);
        let refresh = now.since(last.taken_at) >= REFRESH_PERIOD && sample.in_flight.iter().any(|n| *n > 0);
        if (changed > 0 || refresh) && can_send_to_all_peers(kernel, now, changed) {
            last = sample.clone();
            kernel.control.publish_loads(sample);
        }
    }
}

/// Returns whether the byte budget permits sending `counts` load counts to every live peer.
fn can_send_to_all_peers(kernel: &Kernel, now: MonoTime, counts: usize) -> bool {
    let peers = kernel.members.lock().all().filter(|m| m.is_live(now)).count();
    let bytes = peers * (OVERHEAD_BYTES + LOADS_HEADER_BYTES + counts * COUNT_BYTES);
    kernel.control.budget().allows(now, bytes)
}

/// Returns the number of targets whose load count changed; all of them after a change of the plan version.
fn count_changes(last: &LoadSample, sample: &LoadSample) -> usize {
    if last.plan_version != sample.plan_version {
        return sample.in_flight.len();
    }
    last.in_flight.iter().zip(&sample.in_flight).filter(|(a, b)| a != b).count()
}

/// Returns this instance's numbers of requests in flight, in the order of the plan's targets.
fn take_sample(kernel: &Kernel, now: MonoTime) -> LoadSample {
    let plan = kernel.plan.current();
    let pools = kernel.pools.all().into_iter().collect::<HashMap<ServiceName, _>>();
    let mut in_flight = Vec::new();
    for service in &plan.services {
        let counts = pools.get(&service.name).map(|pool| pool.inspect(|p| p.own_in_flight().collect()));
        let mut counts = counts.unwrap_or_else(Vec::new);
        // The pool may have the targets of another plan version for a moment after a change of the plan.
        counts.resize(service.targets.len(), 0);
        in_flight.extend(counts);
    }
    LoadSample { plan_version: plan.version, in_flight, taken_at: now }
}
