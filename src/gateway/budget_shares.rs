//! Keeps this instance's share of the repeat and probe budgets and of targets' rate limits in line with the number of instances.

use std::time::Duration;

use tokio::time::sleep;

use super::Gateway;
use crate::decide::repeat_budget::RepeatAllowance;

/// Time after the start from which the count of instances is used. All instances of a deployment start within
/// a second.
const COUNT_AFTER: Duration = Duration::from_secs(3);

/// Time between two updates of the count of instances.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Part of the repeat budget that is used; the rest is a reserve for instances that are not counted yet.
const REPEAT_BUDGET_PART: f64 = 0.8;

/// Part of the probe budget that is used in the long run; the rest covers bursts, which may use saved-up
/// probes of several seconds.
const PROBE_BUDGET_PART: f64 = 0.6;

/// Keeps this instance's share of the budgets in line with the number of instances.
pub async fn count_instances(gateway: &Gateway) {
    // The part of the repeat budget that is proportional to this instance's requests does not depend on the
    // count.
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
        // Set again each time, so that changed settings take effect, too.
        sleep(COUNT_PERIOD).await;
    }
}

/// Sets this instance's share of the repeat and probe budgets and of targets' rate limits.
fn set_shares(gateway: &Gateway, instances: u64) {
    set_allowance(gateway, Some(instances));
    let probes = gateway.config().probes_per_target_per_s * PROBE_BUDGET_PART / instances as f64;
    let mut service_pools = gateway.service_pools();
    service_pools.set_probe_rate(probes);
    service_pools.set_instances(gateway.now(), Some(instances));
}

/// Sets the repeat budget: a part of this instance's requests and, once the number of instances is known, its
/// share of the fixed allowance.
fn set_allowance(gateway: &Gateway, instances: Option<u64>) {
    let config = gateway.config();
    gateway.service_pools().set_allowance(RepeatAllowance {
        ratio: config.repeat_ratio * REPEAT_BUDGET_PART,
        extra: instances.map_or(0.0, |n| config.repeat_extra * REPEAT_BUDGET_PART / n as f64),
        window: Duration::from_secs_f64(config.repeat_window_s),
    });
}
