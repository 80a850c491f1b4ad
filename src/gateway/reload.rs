//! Reloads the settings file while the process runs.

use std::{path::Path, time::Duration};

use tokio::{signal::unix::Signal, time::sleep};

use super::{Gateway, config::Config};

/// Time between two checks of the settings file, which may also change without a signal.
const CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Applies the settings file whenever it differs from what was read last; checks on SIGHUP and periodically.
/// Runs until dropped.
pub async fn run(gateway: &Gateway, path: &Path, mut last_read: Config, mut hangup: Signal) {
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(CHECK_PERIOD) => false,
        };
        match Config::load(path) {
            Ok(config) if config != last_read => {
                reload(gateway, &last_read, &config);
                last_read = config;
            }
            Ok(_) if is_signalled => log::info!("event=reload changed=false"),
            Ok(_) => {}
            Err(e) if is_signalled => log::error!("event=reload-failed error={:?}", e.to_string()),
            // The file may be half written; the next check or a signal reports a lasting error.
            Err(e) => log::debug!("event=settings-unreadable error={:?}", e.to_string()),
        }
    }
}

/// Applies the settings that can change without a restart.
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
