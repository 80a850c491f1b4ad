//! Settings of a gateway: JSON, checked as a whole.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use log::LevelFilter;
use serde::Deserialize;

use crate::{
    error::{Error, ErrorKind, Result},
    units::{DataCentre, InstanceId},
};

/// Settings of one gateway instance, checked.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of this instance, unique in the deployment.
    pub instance: InstanceId,

    /// Data centre this instance runs in; near targets go first.
    pub data_centre: DataCentre,

    /// Where callers connect.
    pub callers_address: SocketAddr,

    /// Where the entry asks whether this instance is ready.
    pub ready_address: SocketAddr,

    /// Where operators read metrics.
    pub metrics_address: SocketAddr,

    /// Where other instances connect.
    pub peers_address: SocketAddr,

    /// Addresses of instances that others follow rather than the store; the lowest one that lives reads the store.
    #[serde(default)]
    pub peer_seeds: Vec<SocketAddr>,

    /// Whether the whole deployment starts for the first time, so that no callers wait.
    #[serde(default)]
    pub first_start: bool,

    /// Place by name, which decides the form of everything read from the store and of the calls' headers.
    pub place: String,

    /// Address of the store.
    pub store_address: SocketAddr,

    /// Time from the signal to leave to the end of the process at the latest, in seconds.
    pub grace_s: f64,

    /// Repeated sends that a service may get for each request to it.
    pub repeat_ratio: f64,

    /// Window over which repeated sends are counted, in seconds.
    pub repeat_window_s: f64,

    /// Repeated sends that a service may get in a window besides, from all instances together.
    pub repeat_extra: f64,

    /// Probes that a target may get, from all instances together.
    pub probes_per_target_per_s: f64,

    /// Lines a second that each module and event may log, in the long run.
    #[serde(default = "default_log_lines_per_s")]
    pub log_lines_per_s: u64,

    /// Least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: LevelFilter,
}

fn default_log_lines_per_s() -> u64 {
    20
}

fn default_log_level() -> LevelFilter {
    LevelFilter::Info
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when the file can't be read, [`ErrorKind::Settings`] for its faults.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read(path)
            .map_err(|e| Error::new(ErrorKind::File, format!("settings file {}: {e}", path.display())))?;
        Self::parse(&text)
    }

    /// Parses and checks settings text.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Settings`] naming a field that is missing, unknown or malformed, or every number out of range.
    pub fn parse(text: &[u8]) -> Result<Self> {
        let config = serde_json::from_slice::<Self>(text)
            .map_err(|e| Error::new(ErrorKind::Settings, format!("settings: {e}")))?;
        let numbers = [
            ("grace_s", config.grace_s, 0.1..=3_600.0),
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

    /// Returns these settings with what can't change while the process runs taken from others.
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
            // Only read at the start.
            first_start: own.first_start,
            ..running.clone()
        }
    }

    /// Returns the time from the signal to leave to the end of the process at the latest.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
