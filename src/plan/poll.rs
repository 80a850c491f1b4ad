//! Follows the platform: reads the plan and the instance list, registers this run, and passes time on.

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
    membership::table::Change,
    observe::unix_s,
    peer::{budget::OVERHEAD_BYTES, loads::REFRESH_PERIOD, state::LoadSample},
    store::ListedInstance,
    units::{InstanceId, MonoTime, PlanVersion, ServiceName},
};

/// Time between two judgements of standing, members and intentions.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Time between two writes of this run's line in the list while nothing changes.
const REGISTER_PERIOD: Duration = Duration::from_secs(5);

/// Time after which a failed registration is tried again.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// Least time between two rounds of load counts to all peers.
const LOADS_PERIOD: Duration = Duration::from_millis(5);

/// Bytes of a loads frame without its counts: length, tag, version, time, number of counts.
const LOADS_HEAD_BYTES: usize = 4 + 1 + 3 + 9 + 3;

/// Bytes of one count with both numbers below 251.
const COUNT_BYTES: usize = 2;

/// Runs all of it until dropped.
pub async fn run(kernel: Arc<Kernel>) {
    tokio::join!(tick(&kernel), poll(&kernel), register(&kernel), sample_loads(&kernel));
}

async fn tick(kernel: &Kernel) {
    let mut period = interval(TICK_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut standing = Freshness::Starting;
    loop {
        period.tick().await;
        tick_members(kernel);
        let now_standing = update_freshness(kernel);
        if now_standing != standing {
            log::info!("event=standing was={standing} is={now_standing} version={}", kernel.plan.version());
            standing = now_standing;
        }
        kernel.apply_intentions(unix_s());
    }
}

fn tick_members(kernel: &Kernel) {
    let changes = kernel.members.lock().tick(kernel.clock.now());
    for change in changes {
        match change {
            Change::Live(instance, run) => log::info!("event=peer-live peer={instance} run={run}"),
            Change::Silent(instance, run) => {
                log::warn!("event=peer-silent peer={instance} run={run}");
                forget_unless_live(kernel, &instance);
            }
            Change::Removed(instance, run) => {
                log::info!("event=peer-removed peer={instance} run={run}");
                kernel.control.take_owed(run);
            }
        }
    }
}

/// Another run of the same name may have taken the silent one's place.
fn forget_unless_live(kernel: &Kernel, instance: &InstanceId) {
    let now = kernel.clock.now();
    let replaced = kernel.members.lock().all().any(|m| m.instance == *instance && m.is_live(now));
    if !replaced {
        kernel.forget_loads(instance);
    }
}

/// Judges the standing now rather than at the next tick.
pub fn update_freshness(kernel: &Kernel) -> Freshness {
    let now = kernel.clock.now();
    let version = kernel.plan.version();
    let table = kernel.members.lock();
    let headcount = table.headcount(now);
    let vouched = table.all().any(|m| m.is_live(now) && m.said.current && m.said.plan_version == version);
    drop(table);
    let mut follower = kernel.control.follower();
    let standing = follower.tick(now, headcount, vouched);
    kernel.set_plan_current_until(follower.current_until());
    standing
}

async fn poll(kernel: &Kernel) {
    loop {
        let due = kernel.control.follower().next_poll();
        sleep_until(kernel.clock.instant(due)).await;
        let began = kernel.clock.now();
        let (read, _) = tokio::join!(read_plan(kernel), refresh_instance_list(kernel));
        let now = kernel.clock.now();
        kernel.control.follower().on_poll_finished(began, now, read);
        kernel.observer.note_store(read.is_some());
        update_freshness(kernel);
    }
}

/// Reads the instance list; returns whether it could be read.
pub async fn refresh_instance_list(kernel: &Kernel) -> bool {
    let Ok(list) = (kernel.platform.list_instances)(()).await else {
        return false;
    };
    let told_to_leave = kernel.members.lock().listed(kernel.clock.now(), &list);
    if told_to_leave {
        kernel.leave();
    }
    true
}

/// Reads the head row and, if it names a newer version, the plan; returns the version in the row.
async fn read_plan(kernel: &Kernel) -> Option<PlanVersion> {
    let row = (kernel.platform.get)(head_key()).await.ok()?;
    let Some(row) = row else {
        return Some(PlanVersion::default());
    };
    match take_head(kernel, &row).await {
        Ok(version) => Some(version),
        Err(e) => {
            log::error!("event=plan-unreadable error={:?}", e.message);
            None
        }
    }
}

async fn take_head(kernel: &Kernel, row: &crate::store::Row) -> Result<PlanVersion> {
    let head = from_row::<PlanHead>(row)?;
    if head.version > kernel.plan.version() {
        kernel.offer_plan(record::read_plan_body(&kernel.platform, &head).await?);
    }
    Ok(head.version)
}

async fn register(kernel: &Kernel) {
    let mut urgent = kernel.control.watch_urgent();
    loop {
        let leaving = kernel.is_leaving();
        let line = ListedInstance {
            id: kernel.config.instance.clone(),
            run_id: kernel.run_id,
            data_centre: kernel.config.data_centre.clone(),
            peer_address: kernel.config.peers_address,
            caller_address: kernel.config.callers_address,
            leaving,
        };
        let registered = (kernel.platform.register)(line).await;
        if let Err(e) = &registered {
            log::debug!("event=register-failed error={:?}", e.to_string());
        }
        let pause = if registered.is_ok() { REGISTER_PERIOD } else { REGISTER_RETRY };
        let jitter = rand::random_range(0.75..1.25);
        let due = sleep(pause.mul_f64(jitter));
        let began_leaving =
            async { while kernel.is_leaving() == leaving && urgent.changed().await.is_ok() {} };
        tokio::select! {
            () = due => {}
            () = began_leaving => {}
        }
    }
}

/// Publishes load counts as often as the byte budget allows a round to all peers.
async fn sample_loads(kernel: &Kernel) {
    let mut period = interval(LOADS_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = LoadSample::default();
    loop {
        period.tick().await;
        let now = kernel.clock.now();
        if !affords_round(kernel, now, 1) {
            continue;
        }
        let sample = take_sample(kernel, now);
        let changed = count_changes(&last, &sample);
        let refresh = now.since(last.taken_at) >= REFRESH_PERIOD && sample.in_flight.iter().any(|n| *n > 0);
        if (changed > 0 || refresh) && affords_round(kernel, now, changed) {
            last = sample.clone();
            kernel.control.publish_loads(sample);
        }
    }
}

fn affords_round(kernel: &Kernel, now: MonoTime, counts: usize) -> bool {
    let peers = kernel.members.lock().all().filter(|m| m.is_live(now)).count();
    let bytes = peers * (OVERHEAD_BYTES + LOADS_HEAD_BYTES + counts * COUNT_BYTES);
    kernel.control.budget().affords(now, bytes)
}

fn count_changes(last: &LoadSample, sample: &LoadSample) -> usize {
    if last.plan_version != sample.plan_version {
        return sample.in_flight.len();
    }
    last.in_flight.iter().zip(&sample.in_flight).filter(|(a, b)| a != b).count()
}

fn take_sample(kernel: &Kernel, now: MonoTime) -> LoadSample {
    let plan = kernel.plan.current();
    let cells = kernel.pools.all().into_iter().collect::<HashMap<ServiceName, _>>();
    let mut in_flight = Vec::new();
    for service in &plan.services {
        let counts = cells.get(&service.name).map(|cell| cell.inspect(|p| p.own_in_flight().collect()));
        let mut counts = counts.unwrap_or_else(Vec::new);
        // A pool may follow the plan a moment later than this reads it.
        counts.resize(service.targets.len(), 0);
        in_flight.extend(counts);
    }
    LoadSample { plan_version: plan.version, in_flight, taken_at: now }
}
