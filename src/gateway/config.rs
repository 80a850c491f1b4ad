//! Settings of a gateway instance, read from a JSON file.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use log::LevelFilter;
use serde::Deserialize;

use crate::{
    error::{Error, ErrorKind, Result},
    units::{DataCentre, InstanceId},
};

/// Validated settings of one gateway instance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of this instance, unique in the deployment.
    pub instance: InstanceId,

    /// Data centre that this instance runs in; targets in the same data centre are preferred.
    pub data_centre: DataCentre,

    /// Address on which callers connect.
    pub callers_address: SocketAddr,

    /// Address on which the ingress checks whether this instance is ready.
    pub ready_address: SocketAddr,

    /// Address on which metrics are read.
    pub metrics_address: SocketAddr,

    /// Address on which other instances connect.
    pub peers_address: SocketAddr,

    /// Address on which other instances forward requests that they can't send to a target themselves. By default,
    /// this instance takes none.
    #[serde(default)]
    pub forward_address: Option<SocketAddr>,

    /// Address of this host from which connections to targets are opened; the operating system chooses one by
    /// default.
    #[serde(default)]
    pub targets_source: Option<IpAddr>,

    /// Peer addresses of the seeds. The reachable seed with the lowest address reads the store, and the other
    /// instances replicate its rows. Empty if this instance reads the store itself.
    #[serde(default)]
    pub peer_seeds: Vec<SocketAddr>,

    /// Whether the whole deployment starts for the first time, so that no callers are waiting yet.
    #[serde(default)]
    pub first_start: bool,

    /// Name of the platform this instance runs on. It decides the format of everything in the store and the
    /// headers of requests.
    pub place: String,

    /// Address of the store.
    pub store_address: SocketAddr,

    /// Grace period: longest time from the shutdown signal to the exit of the process, in seconds.
    pub grace_s: f64,

    /// Time between two heartbeats of a target in the store, in seconds. An entry lapses after several missed ones.
    #[serde(default = "default_target_heartbeat_s")]
    pub target_heartbeat_s: f64,

    /// Part of the repeat budget that grows with the load: repeated sends (retries and hedges) per request to
    /// a service.
    pub repeat_ratio: f64,

    /// Sliding window over which requests and repeated sends are counted, in seconds.
    pub repeat_window_s: f64,

    /// Fixed part of the repeat budget: repeated sends to a service per window, from all instances together.
    pub repeat_extra: f64,

    /// Probes per second that a target may get, from all instances together.
    pub probes_per_target_per_s: f64,

    /// Log lines per second for each module and event, in the long run; further lines are dropped and
    /// counted.
    #[serde(default = "default_log_lines_per_s")]
    pub log_lines_per_s: u64,

    /// Lowest severity that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: LevelFilter,
}

fn default_log_lines_per_s() -> u64 {
    20
}

fn default_target_heartbeat_s() -> f64 {
    1.5
}

fn default_log_level() -> LevelFilter {
    LevelFilter::Info
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] if the file can't be read, [`ErrorKind::Settings`] if its content is invalid.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read(path)
            .map_err(|e| Error::new(ErrorKind::File, format!("settings file {}: {e}", path.display())))?;
        Self::parse(&text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Settings`] that names the first missing, unknown or malformed field, or else every number
    /// out of range.
    pub fn parse(text: &[u8]) -> Result<Self> {
        let config = serde_json::from_slice::<Self>(text)
            .map_err(|e| Error::new(ErrorKind::Settings, format!("settings: {e}")))?;
        let numbers = [
            ("grace_s", config.grace_s, 0.1..=3_600.0),
            ("target_heartbeat_s", config.target_heartbeat_s, 0.1..=3_600.0),
            ("repeat_ratio", config.repeat_ratio, 0.0..=10.0),
            ("repeat_window_s", config.repeat_window_s, 0.1..=3_600.0),
            ("repeat_extra", config.repeat_extra, 0.0..=1e6),
            ("probes_per_target_per_s", config.probes_per_target_per_s, 0.0..=1e6),
        ];
        let faults = numbers.iter().filter(|(_, value, range)| !range.contains(value));
        let faults = faults.map(|(name, value, range)| {
            format!("{name}: expected {} to {}, got {value}", range.start(), range.end())
        });
        let faults = faults.collect::<Vec<_>>();
        if faults.is_empty() {
            return Ok(config);
        }
        Err(Error::new(ErrorKind::Settings, faults.join("; ")))
    }

    /// Returns these settings, but with the fields that can't change without a restart taken from `running`.
    #[must_use]
    pub fn with_fixed_fields_of(&self, running: &Self) -> Self {
        let own = self.clone();
        Self {
            peer_seeds: own.peer_seeds,
            grace_s: own.grace_s,
            repeat_ratio: own.repeat_ratio,
            repeat_window_s: own.repeat_window_s,
            repeat_extra: own.repeat_extra,
            probes_per_target_per_s: own.probes_per_target_per_s,
            // Read only at the start, so a change has no effect and needs no warning.
            first_start: own.first_start,
            ..running.clone()
        }
    }

    /// Returns the longest time from the shutdown signal to the exit of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the time between two heartbeats of a target in the store.
    pub fn target_heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.target_heartbeat_s)
    }
}
