//! Takes changed settings while the process runs.

use std::{path::Path, time::Duration};

use tokio::{signal::unix::Signal, time::sleep};

use super::{Gateway, config::Config};

/// Time between two looks at the settings file, which may change without a signal.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Puts the settings file in force whenever it differs from what was read last; runs until dropped.
pub async fn run(gateway: &Gateway, path: &Path, mut last_read: Config, mut hangup: Signal) {
    loop {
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(LOOK_PERIOD) => false,
        };
        match Config::load(path) {
            Ok(config) if config != last_read => {
                reload(gateway, &last_read, &config);
                last_read = config;
            }
            Ok(_) if is_asked => log::info!("event=reload changed=false"),
            Ok(_) => {}
            Err(e) if is_asked => log::error!("event=reload-failed error={:?}", e.to_string()),
            // It may be half written; the next look or the signal tells.
            Err(e) => log::debug!("event=settings-unreadable error={:?}", e.to_string()),
        }
    }
}

/// Puts settings in force as far as that is possible without a restart.
fn reload(gateway: &Gateway, before: &Config, config: &Config) {
    if config.with_fixed_fields_of(before) != *config {
        log::warn!("event=reload-partial reason=\"addresses, names, place and log settings need a restart\"");
    }
    let after = config.with_fixed_fields_of(&gateway.config());
    log::info!(
        "event=reload changed=true peer_seeds={:?} grace_s={} repeat_ratio={} repeat_window_s={} repeat_extra={} \
         probes_per_target_per_s={}",
        after.peer_seeds,
        after.grace_s,
        after.repeat_ratio,
        after.repeat_window_s,
        after.repeat_extra,
        after.probes_per_target_per_s
    );
    gateway.set_config(after);
}
