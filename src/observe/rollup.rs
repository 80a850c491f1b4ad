//! Roll-ups of minutes and hours, and their names and encoding in the object store.
//!
//! An object's name contains the minute or hour, the instance and its run, so a roll-up that is uploaded
//! twice or late has the same name and counts once. The content is a format byte followed by the bincode
//! encoding.

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::{Display, FromStr};
use hdrhistogram::{
    Histogram,
    serialization::{Deserializer, Serializer, V2Serializer},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::units::{InstanceId, RunId, ServiceName};

/// Length of a minute, the shorter period of roll-ups, in seconds.
pub const SECONDS_PER_MINUTE: u64 = 60;

/// Length of an hour, the longer period of roll-ups, in minutes.
pub const MINUTES_PER_HOUR: u64 = 60;

/// Format version in the first byte of an object; objects with another version are not decoded.
const FORMAT_VERSION: u8 = 1;

/// Largest object that is decoded, in bytes.
const MAX_OBJECT_BYTES: usize = 16 << 20;

/// Minutes since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, Serialize, Deserialize,
)]
pub struct UnixMinute(pub u64);

impl UnixMinute {
    /// Returns the minute that contains a time in seconds since the Unix epoch.
    pub fn from_unix_s(unix_s: u64) -> Self {
        Self(unix_s / SECONDS_PER_MINUTE)
    }

    /// Returns the first second of the minute, in seconds since the Unix epoch.
    pub fn start_s(self) -> u64 {
        self.0 * SECONDS_PER_MINUTE
    }

    /// Returns the hour that contains the minute.
    pub fn hour(self) -> UnixHour {
        UnixHour(self.0 / MINUTES_PER_HOUR)
    }
}

/// Hours since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, Serialize, Deserialize,
)]
pub struct UnixHour(pub u64);

/// Identifies one run of an instance, from process start to exit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{instance}/{run_id}")]
pub struct RunKey {
    /// Instance name, which stays the same across runs.
    pub instance: InstanceId,
    /// Random identifier of the run.
    pub run_id: RunId,
}

/// Histogram in the V2 encoding of `hdrhistogram`; zero bytes mean that there are no values.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PackedHistogram(pub Vec<u8>);

impl PackedHistogram {
    /// Encodes a histogram.
    pub fn pack(histogram: &Histogram<u64>) -> Self {
        let mut bytes = Vec::new();
        if !histogram.is_empty() {
            // Writing to memory fails only for histograms beyond the size limit of the encoding, which
            // duration histograms do not reach.
            let _written = V2Serializer::new().serialize(histogram, &mut bytes);
        }
        Self(bytes)
    }

    /// Decodes the histogram; returns none if it is empty or unreadable.
    pub fn unpack(&self) -> Option<Histogram<u64>> {
        if self.0.is_empty() {
            return None;
        }
        Deserializer::new().deserialize(&mut self.0.as_slice()).ok()
    }
}

/// Number of calls with one outcome and cause.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CauseCount {
    /// Outcome as reported to the caller.
    pub outcome: String,
    /// Cause of the failure; empty if a target answered.
    pub cause: String,
    /// Number of calls.
    pub calls: u64,
}

/// Duration histograms of the eligible calls of one service, in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Histograms {
    /// Time to the response head; without calls that were not run.
    pub latency_us: PackedHistogram,
    /// Time in the queue.
    pub queue_wait_us: PackedHistogram,
    /// Time in the queue behind long requests (head-of-line blocking).
    pub head_of_line_us: PackedHistogram,
}

/// Whether a minute belongs to a crest, which is a peak of demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Crest {
    /// The plan announced a crest for this minute.
    pub planned: bool,
    /// The number of calls was far above its recent mean.
    pub by_demand: bool,
}

impl Crest {
    /// Returns whether the minute belongs to a crest for either reason.
    pub fn any(self) -> bool {
        self.planned || self.by_demand
    }
}

/// Counts and histograms of one service in one minute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceMinute {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of calls for each outcome and cause, sorted.
    pub causes: Vec<CauseCount>,
    /// Number of calls that count against the objective: all but those that failed by a fault of the caller.
    #[serde(rename = "judged")]
    pub eligible: u64,
    /// Number of eligible calls that met the objective.
    pub useful: u64,
    /// Whether the minute belongs to a peak of demand for this service.
    pub crest: Crest,
    /// Histograms of the minute; absent in an hour's roll-up, which contains them merged.
    pub histograms: Option<Histograms>,
}

/// Cost of measuring and coordination, as counted by this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ControlCost {
    /// Health probes sent to targets.
    pub probes: u64,
    /// Bytes sent to peers.
    pub control_bytes: u64,
    /// Read calls to the platform's store.
    pub store_reads: u64,
    /// Write calls to the platform's store.
    pub store_writes: u64,
}

impl ControlCost {
    /// Returns the difference to an earlier reading of the same counters.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            probes: self.probes.saturating_sub(earlier.probes),
            control_bytes: self.control_bytes.saturating_sub(earlier.control_bytes),
            store_reads: self.store_reads.saturating_sub(earlier.store_reads),
            store_writes: self.store_writes.saturating_sub(earlier.store_writes),
        }
    }

    /// Returns the sum of both costs.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            probes: self.probes + other.probes,
            control_bytes: self.control_bytes + other.control_bytes,
            store_reads: self.store_reads + other.store_reads,
            store_writes: self.store_writes + other.store_writes,
        }
    }
}

/// Kind of an annotated event.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum AnnotationKind {
    /// A plan came into force; the subject is its version.
    PlanInForce,
    /// A target was drained or returned to service; the subject is the target.
    Drain,
    /// An instance started; the subject is the instance.
    Started,
    /// An instance began to shut down; the subject is the instance.
    Leaving,
    /// The platform's store stopped answering.
    StoreLost,
    /// The platform's store answers again.
    StoreBack,
}

/// Event at a point in time that may explain the figures of the report.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Annotation {
    /// Time of the event, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Kind of the event.
    pub kind: AnnotationKind,
    /// Plan version, target or instance that the event concerns, depending on `kind`; may be empty.
    pub subject: String,
}

/// Roll-up of one run of an instance in one minute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinuteRollUp {
    /// Minute that the roll-up covers.
    pub minute: UnixMinute,
    /// Run that counted the calls.
    pub run: RunKey,
    /// First minute of the run; any later minute without a roll-up is a gap.
    pub first_minute: UnixMinute,
    /// Whether the run shut down in this minute.
    pub last: bool,
    /// Services with calls, sorted by name.
    pub services: Vec<ServiceMinute>,
    /// Events in this minute.
    #[serde(rename = "marks")]
    pub annotations: Vec<Annotation>,
    /// Cost of measuring and coordination in this minute.
    pub cost: ControlCost,
}

/// Histograms of one service in one hour.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHour {
    /// Name of the service.
    pub service: ServiceName,
    /// Merged histograms of all minutes of the hour.
    pub histograms: Histograms,
    /// Time to the response head in crest minutes only.
    pub crest_latency_us: PackedHistogram,
}

/// Roll-up of one run of an instance in one hour: counts for each minute, histograms for the whole hour.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HourRollUp {
    /// Hour that the roll-up covers.
    pub hour: UnixHour,
    /// Run that counted the calls.
    pub run: RunKey,
    /// Minutes of the hour, without histograms, sorted.
    pub minutes: Vec<MinuteRollUp>,
    /// Histograms of the hour, sorted by service.
    pub services: Vec<ServiceHour>,
}

/// Returns the name prefix of all minute objects of an hour.
pub fn minutes_prefix(hour: UnixHour) -> String {
    format!("rollup/minute/{hour}/")
}

/// Returns the name prefix of all hour objects of an hour.
pub fn hours_prefix(hour: UnixHour) -> String {
    format!("rollup/hour/{hour}/")
}

/// Returns the object name of a minute roll-up.
pub fn minute_name(minute: UnixMinute, run: &RunKey) -> String {
    format!("{}{minute}/{run}", minutes_prefix(minute.hour()))
}

/// Returns the object name of an hour roll-up.
pub fn hour_name(hour: UnixHour, run: &RunKey) -> String {
    format!("{}{run}", hours_prefix(hour))
}

/// Parses minute and run from the object name of a minute roll-up.
pub fn parse_minute_name(name: &str) -> Option<(UnixMinute, RunKey)> {
    let rest = name.strip_prefix("rollup/minute/")?;
    let (_hour, rest) = rest.split_once('/')?;
    let (minute, run) = rest.split_once('/')?;
    Some((minute.parse().ok()?, parse_run(run)?))
}

/// Parses hour and run from the object name of an hour roll-up.
pub fn parse_hour_name(name: &str) -> Option<(UnixHour, RunKey)> {
    let (hour, run) = name.strip_prefix("rollup/hour/")?.split_once('/')?;
    Some((hour.parse().ok()?, parse_run(run)?))
}

fn parse_run(text: &str) -> Option<RunKey> {
    let (instance, run_id) = text.split_once('/')?;
    Some(RunKey { instance: instance.parse().ok()?, run_id: run_id.parse().ok()? })
}

/// Encodes a roll-up as the content of an object.
///
/// # Panics
///
/// Never: roll-ups hold only types that bincode encodes.
pub fn encode(roll_up: &impl Serialize) -> Bytes {
    let mut content = BytesMut::new();
    content.put_u8(FORMAT_VERSION);
    let config = bincode::config::standard();
    let body = bincode::serde::encode_to_vec(roll_up, config).expect("roll-ups hold only encodable types");
    content.put_slice(&body);
    content.freeze()
}

/// Decodes a roll-up; returns none if the content has another format or is damaged.
pub fn decode<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    let (&format, body) = content.split_first()?;
    if format != FORMAT_VERSION {
        return None;
    }
    let config = bincode::config::standard().with_limit::<MAX_OBJECT_BYTES>();
    let (roll_up, _read) = bincode::serde::decode_from_slice(body, config).ok()?;
    Some(roll_up)
}
