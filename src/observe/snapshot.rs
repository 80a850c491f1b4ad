//! Collects the state of the instance for the gauges of the metrics page.

use std::fs;

use super::metrics::{PeerGauges, QueueGauges, Snapshot, TargetGauges};
use crate::{
    decide::pool::{Pool, TargetState, TargetView},
    kernel::Kernel,
    plan::Plan,
    units::{MonoTime, ServiceName},
};

/// Returns the current state.
pub fn take(kernel: &Kernel) -> Snapshot {
    let now = kernel.clock.now();
    let plan = kernel.plan.current();
    let instance_share = 1.0 / f64::from(plan.budgets.max_instances);
    let pools = kernel.pools.all();
    let state = kernel.observer.state();
    let plan_age_s = state.plan_in_force_since.elapsed().as_secs_f64();
    let (rollup_bytes, rollup_backlog) =
        (state.roll_ups.kept_bytes(), state.roll_ups.pending_minute_count() as u64);
    drop(state);
    Snapshot {
        targets: pools
            .iter()
            .flat_map(|(name, pool)| pool.inspect(|p| target_gauges(name, p, now)))
            .collect(),
        queues: pools.iter().map(|(name, pool)| pool.inspect(|p| queue_gauges(name, p))).collect(),
        plan_version: plan.version.into(),
        plan_age_s,
        ready: kernel.check_readiness().is_ok(),
        in_progress: kernel.request_count() as u64,
        peers: peer_gauges(kernel),
        probe_budget_per_s: probe_budget_per_s(&plan) * instance_share,
        store_write_share_per_s: f64::from(plan.budgets.store_writes_per_s) * instance_share,
        store_read_share_per_s: f64::from(plan.budgets.store_reads_per_s) * instance_share,
        control_budget_bytes_per_s: u64::from(plan.budgets.control_bytes_per_s),
        resident_bytes: resident_bytes(),
        rollup_bytes,
        rollup_backlog,
    }
}

fn probe_budget_per_s(plan: &Plan) -> f64 {
    let targets = plan.services.iter().map(|s| s.targets.len()).sum::<usize>();
    plan.budgets.probes_per_target_per_s * targets as f64
}

fn target_gauges(service: &ServiceName, pool: &Pool, now: MonoTime) -> Vec<TargetGauges> {
    let gauges = |view: TargetView| TargetGauges {
        service: service.to_string(),
        target: view.id.to_string(),
        in_flight: view.own_in_flight,
        limit: view.limit as u32,
        ejected: view.state == TargetState::Ejected,
        draining: view.state == TargetState::Draining,
    };
    pool.explain(now).into_iter().map(gauges).collect()
}

fn queue_gauges(service: &ServiceName, pool: &Pool) -> QueueGauges {
    QueueGauges { service: service.to_string(), waiting: pool.waiting() as u64 }
}

/// Size of a memory page on the processors of the deployments.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory of this process from `/proc/self/statm`, in bytes; 0 if that file cannot
/// be read.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn peer_gauges(kernel: &Kernel) -> PeerGauges {
    let mut gauges = PeerGauges::default();
    for member in kernel.members.view(kernel.clock.now()) {
        match (member.live, member.leaving) {
            (true, false) => gauges.live += 1,
            (true, true) => gauges.leaving += 1,
            (false, _) => gauges.silent += 1,
        }
    }
    gauges
}
