//! Settings file in JSON; a check reports all faults at once, each with the path of its field.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use log::LevelFilter;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::{
    error::{Error, ErrorKind, Result},
    units::{DataCentre, InstanceId},
};

/// Validated settings of one instance.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this instance, unique in the deployment.
    pub instance: InstanceId,

    /// Data centre in which this instance runs; it prefers targets in the same one.
    pub data_centre: DataCentre,

    /// Address on which callers are accepted; they connect through the platform's balancer.
    pub callers_address: SocketAddr,

    /// Address on which operators are accepted; must be a loopback address unless `admin_token` is set.
    pub admin_address: SocketAddr,

    /// Address on which links from other instances are accepted.
    pub peers_address: SocketAddr,

    /// Addresses of other instances to contact at the start, in case the platform's instance list can't be
    /// read.
    pub peer_seeds: Vec<SocketAddr>,

    /// Name of the platform driver, such as `embedded` or `http`.
    pub platform_driver: String,

    /// Address of the platform's service; required by the `http` driver.
    pub platform_address: Option<SocketAddr>,

    /// Timeout of one request to the platform, in milliseconds.
    pub platform_timeout_ms: u64,

    /// Bearer token that admin requests must carry; `None` to require no token.
    pub admin_token: Option<String>,

    /// Largest request head accepted from a caller, in bytes.
    pub max_head_bytes: usize,

    /// Largest request body accepted from a caller, in bytes; long bodies are streamed to the target.
    pub max_body_bytes: usize,

    /// Timeout for receiving a request head from a caller, in milliseconds.
    pub head_timeout_ms: u64,

    /// Longest time that a body transfer may make no progress, in milliseconds.
    pub progress_timeout_ms: u64,

    /// Time that the platform's balancer takes to stop sending callers to an instance that is shutting down,
    /// in milliseconds.
    pub balancer_lag_ms: u64,

    /// Time after which requests are refused unless the store, or a majority of the known instances, confirms
    /// that the plan is current, in milliseconds.
    pub cut_off_after_ms: u64,

    /// Longest time that `plan submit` waits until all live instances have the plan in force, in
    /// milliseconds.
    pub confirm_timeout_ms: u64,

    /// Number of worker threads; 0 for one for each processor.
    pub workers: usize,

    /// Log lines a second allowed for each pair of module and event, in the long run.
    pub log_lines_per_s: u64,

    /// Least severe level that is logged.
    pub log_level: LevelFilter,

    /// Log levels of single modules, by module path such as `arbutusshelf::proxy`.
    pub log_levels: BTreeMap<String, LevelFilter>,
}

impl Config {
    /// Returns the platform timeout as a duration.
    pub fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform_timeout_ms)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] if the file can't be read, [`ErrorKind::Settings`] with all faults of its content.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read(path)
            .map_err(|e| Error::new(ErrorKind::File, format!("settings file {}: {e}", path.display())))?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Settings`] with all faults, each with the path of its field.
    pub fn parse(text: &[u8]) -> Result<Self> {
        let value = serde_json::from_slice::<Value>(text)
            .map_err(|e| Error::new(ErrorKind::Settings, format!("settings are not JSON: {e}")))?;
        let Value::Object(fields) = value else {
            return Err(Error::new(ErrorKind::Settings, "settings must be one JSON object"));
        };
        let mut reader = Reader { fields, ..Reader::default() };
        let config = read_config(&mut reader);
        reader.reject_unknown();
        match config {
            Some(config) if reader.faults.is_empty() => Ok(config),
            _ => Err(Error::new(ErrorKind::Settings, reader.faults.join("; "))),
        }
    }
}

/// Field of a settings file; a test compares the fields with the settings page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsField {
    /// Name of the field.
    pub name: String,
    /// Whether the field must be present.
    pub required: bool,
    /// Range and default; `None` if the field is not a number.
    pub number: Option<NumberRange>,
}

/// Range and default of a numeric field in a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NumberRange {
    /// Smallest allowed value.
    pub min: u64,
    /// Largest allowed value.
    pub max: u64,
    /// Value if the field is absent.
    pub default: u64,
}

/// Returns every field of a settings file, in the order in which they are read.
pub fn fields() -> Vec<SettingsField> {
    let mut reader = Reader::default();
    // Reading an empty object declares every field.
    let _incomplete = read_config(&mut reader);
    reader.declared
}

/// Reads fields from a JSON object, and collects their declarations and all faults.
#[derive(Default)]
struct Reader {
    /// Fields of the file that have not been read yet.
    fields: Map<String, Value>,
    faults: Vec<String>,
    /// All fields that were read, present or not.
    declared: Vec<SettingsField>,
}

impl Reader {
    fn declare(&mut self, name: &str, required: bool, number: Option<NumberRange>) {
        self.declared.push(SettingsField { name: name.to_owned(), required, number });
    }

    fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        self.declare(name, false, None);
        self.take(name)
    }

    fn take<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.fields.remove(name)?;
        if value.is_null() {
            return None;
        }
        match serde_json::from_value(value) {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.faults.push(format!("{name}: {e}"));
                None
            }
        }
    }

    fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        self.declare(name, true, None);
        if self.fields.get(name).is_none_or(Value::is_null) {
            self.fields.remove(name);
            self.faults.push(format!("{name}: required"));
            return None;
        }
        self.take(name)
    }

    fn ranged(&mut self, name: &str, default: u64, range: std::ops::RangeInclusive<u64>) -> u64 {
        self.declare(name, false, Some(NumberRange { min: *range.start(), max: *range.end(), default }));
        let value = self.take(name).unwrap_or(default);
        if !range.contains(&value) {
            self.faults.push(format!("{name}: expected {} to {}, got {value}", range.start(), range.end()));
        }
        value
    }

    fn level(&mut self, name: &str) -> Option<LevelFilter> {
        let text = self.optional::<String>(name)?;
        self.parse_level(name, &text)
    }

    fn parse_level(&mut self, name: &str, text: &str) -> Option<LevelFilter> {
        let level = text.parse().ok();
        if level.is_none() {
            self.faults
                .push(format!("{name}: expected off, error, warn, info, debug or trace, got {text:?}"));
        }
        level
    }

    fn levels(&mut self, name: &str) -> BTreeMap<String, LevelFilter> {
        let texts = self.optional::<BTreeMap<String, String>>(name).unwrap_or_default();
        let mut levels = BTreeMap::new();
        for (module, text) in texts {
            if let Some(level) = self.parse_level(&format!("{name}.{module}"), &text) {
                levels.insert(module, level);
            }
        }
        levels
    }

    fn reject_unknown(&mut self) {
        self.faults.extend(self.fields.keys().map(|name| format!("{name}: unknown field")));
    }
}

fn read_config(reader: &mut Reader) -> Option<Config> {
    let instance = reader.required("instance");
    let data_centre = reader.required("data_centre");
    let callers_address = reader.required("callers_address");
    let admin_address = reader.required::<SocketAddr>("admin_address");
    let peers_address = reader.required("peers_address");
    let peer_seeds = reader.optional("peer_seeds").unwrap_or_default();
    let platform_driver = reader.optional("platform_driver").unwrap_or_else(|| "embedded".to_owned());
    let platform_address = reader.optional("platform_address");
    if platform_driver == "http" && platform_address.is_none() {
        reader.faults.push("platform_address: required by the http driver".to_owned());
    }
    let admin_token = reader.optional::<String>("admin_token");
    if admin_token.is_none() && admin_address.is_some_and(|a| !a.ip().is_loopback()) {
        reader.faults.push("admin_token: required unless admin_address is a loopback address".to_owned());
    }
    let max_head_bytes = reader.ranged("max_head_bytes", 16_384, 8_192..=1_048_576) as usize;
    let max_body_bytes = reader.ranged("max_body_bytes", 1_073_741_824, 0..=1_099_511_627_776) as usize;
    let platform_timeout_ms = reader.ranged("platform_timeout_ms", 500, 10..=60_000);
    let head_timeout_ms = reader.ranged("head_timeout_ms", 10_000, 100..=600_000);
    let progress_timeout_ms = reader.ranged("progress_timeout_ms", 5_000, 100..=600_000);
    let balancer_lag_ms = reader.ranged("balancer_lag_ms", 2_000, 0..=60_000);
    let cut_off_after_ms = reader.ranged("cut_off_after_ms", 30_000, 1_000..=3_600_000);
    let confirm_timeout_ms = reader.ranged("confirm_timeout_ms", 5_000, 100..=60_000);
    let workers = reader.ranged("workers", 0, 0..=256) as usize;
    let log_lines_per_s = reader.ranged("log_lines_per_s", 10, 1..=100_000);
    let log_level = reader.level("log_level").unwrap_or(LevelFilter::Info);
    let log_levels = reader.levels("log_levels");
    Some(Config {
        instance: instance?,
        data_centre: data_centre?,
        callers_address: callers_address?,
        admin_address: admin_address?,
        peers_address: peers_address?,
        peer_seeds,
        platform_driver,
        platform_address,
        platform_timeout_ms,
        admin_token,
        max_head_bytes,
        max_body_bytes,
        head_timeout_ms,
        progress_timeout_ms,
        balancer_lag_ms,
        cut_off_after_ms,
        confirm_timeout_ms,
        workers,
        log_lines_per_s,
        log_level,
        log_levels,
    })
}
