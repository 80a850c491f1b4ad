//! Settings file: JSON, checked as a whole, every fault named with its path.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use log::LevelFilter;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::{
    error::{Error, ErrorKind, Result},
    units::{DataCentre, InstanceId},
};

/// Settings of one instance, checked.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this instance, unique in the deployment.
    pub instance: InstanceId,

    /// Data centre this instance runs in; near targets go first.
    pub data_centre: DataCentre,

    /// Where callers connect (through the platform's balancer).
    pub callers_address: SocketAddr,

    /// Where operators connect; a loopback address unless `admin_token` is set.
    pub admin_address: SocketAddr,

    /// Where other instances connect.
    pub peers_address: SocketAddr,

    /// Addresses of other instances to greet at the start, for when the platform's list can't be read.
    pub peer_seeds: Vec<SocketAddr>,

    /// Platform driver by name, `embedded` or `http`.
    pub platform_driver: String,

    /// Address of the platform's service; required by the `http` driver.
    pub platform_address: Option<SocketAddr>,

    /// Time after which one request to the platform counts as lost, in milliseconds.
    pub platform_timeout_ms: u64,

    /// Bearer token that admin requests must carry; none means no token is asked for.
    pub admin_token: Option<String>,

    /// Largest request head from a caller, in bytes.
    pub max_head_bytes: usize,

    /// Largest request body from a caller, in bytes; long ones are passed on as they arrive.
    pub max_body_bytes: usize,

    /// Time a caller may take to send a request head, in milliseconds.
    pub head_timeout_ms: u64,

    /// Time a transfer may go without progress, in milliseconds.
    pub progress_timeout_ms: u64,

    /// Time the platform's balancer takes to notice that this instance is leaving, in milliseconds.
    pub balancer_lag_ms: u64,

    /// Time without store and without any peer after which requests are refused, in milliseconds.
    pub cut_off_after_ms: u64,

    /// Time `plan submit` waits for live instances to have a plan in force, in milliseconds.
    pub confirm_timeout_ms: u64,

    /// Threads of the worker pool; 0 for one a processor.
    pub workers: usize,

    /// Lines a second that each module and event may log, in the long run.
    pub log_lines_per_s: u64,

    /// Least severe level that is logged.
    pub log_level: LevelFilter,

    /// Levels of single modules, by module path such as `arbutusshelf::proxy`.
    pub log_levels: BTreeMap<String, LevelFilter>,
}

impl Config {
    /// Returns the platform timeout as a duration.
    pub fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform_timeout_ms)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when the file can't be read, [`ErrorKind::Settings`] naming every fault.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read(path)
            .map_err(|e| Error::new(ErrorKind::File, format!("settings file {}: {e}", path.display())))?;
        Self::parse(&text)
    }

    /// Parses and checks settings text.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Settings`] naming every fault with its path.
    pub fn parse(text: &[u8]) -> Result<Self> {
        let value = serde_json::from_slice::<Value>(text)
            .map_err(|e| Error::new(ErrorKind::Settings, format!("settings are not JSON: {e}")))?;
        let Value::Object(fields) = value else {
            return Err(Error::new(ErrorKind::Settings, "settings must be one JSON object"));
        };
        let mut reader = Reader { fields, ..Reader::default() };
        let config = read_config(&mut reader);
        reader.refuse_unknown();
        match config {
            Some(config) if reader.faults.is_empty() => Ok(config),
            _ => Err(Error::new(ErrorKind::Settings, reader.faults.join("; "))),
        }
    }
}

/// One field of a settings file, as the reader takes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsField {
    /// Name.
    pub name: String,
    /// Whether it must be present.
    pub required: bool,
    /// Least and greatest value and the value when absent, of numbers.
    pub number: Option<NumberRange>,
}

/// Range of a number in a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NumberRange {
    /// Least value.
    pub min: u64,
    /// Greatest value.
    pub max: u64,
    /// Value when the field is absent.
    pub default: u64,
}

/// Returns every field of a settings file, in the order in which they are read.
pub fn fields() -> Vec<SettingsField> {
    let mut reader = Reader::default();
    // Reading an empty object asks for every field.
    let _incomplete = read_config(&mut reader);
    reader.asked
}

/// Takes fields out of an object and collects faults.
#[derive(Default)]
struct Reader {
    fields: Map<String, Value>,
    faults: Vec<String>,
    /// Fields that were asked for.
    asked: Vec<SettingsField>,
}

impl Reader {
    fn ask(&mut self, name: &str, required: bool, number: Option<NumberRange>) {
        self.asked.push(SettingsField { name: name.to_owned(), required, number });
    }

    fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        self.ask(name, false, None);
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
        self.ask(name, true, None);
        if self.fields.get(name).is_none_or(Value::is_null) {
            self.fields.remove(name);
            self.faults.push(format!("{name}: required"));
            return None;
        }
        self.take(name)
    }

    fn ranged(&mut self, name: &str, default: u64, range: std::ops::RangeInclusive<u64>) -> u64 {
        self.ask(name, false, Some(NumberRange { min: *range.start(), max: *range.end(), default }));
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

    fn refuse_unknown(&mut self) {
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
