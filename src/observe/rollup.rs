//! Roll-ups of minutes and hours as they lie in the object store.
//!
//! Names hold the minute or hour, the instance and its run, so one that is uploaded twice or late lands on
//! itself and counts once. Content is one format byte and then bincode.

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::{Display, FromStr};
use hdrhistogram::{
    Histogram,
    serialization::{Deserializer, Serializer, V2Serializer},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::units::{InstanceId, RunId, ServiceName};

/// Seconds of a minute.
pub const SECONDS_PER_MINUTE: u64 = 60;

/// Minutes of an hour.
pub const MINUTES_PER_HOUR: u64 = 60;

/// Format of the content; another one is not read.
const FORMAT: u8 = 1;

/// Largest object that is decoded, in bytes.
const MAX_OBJECT_BYTES: usize = 16 << 20;

/// Minutes since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, Serialize, Deserialize,
)]
pub struct UnixMinute(pub u64);

impl UnixMinute {
    /// Returns the minute that holds a second.
    pub fn from_unix_s(unix_s: u64) -> Self {
        Self(unix_s / SECONDS_PER_MINUTE)
    }

    /// Returns the first second of the minute.
    pub fn start_s(self) -> u64 {
        self.0 * SECONDS_PER_MINUTE
    }

    /// Returns the hour that holds the minute.
    pub fn hour(self) -> UnixHour {
        UnixHour(self.0 / MINUTES_PER_HOUR)
    }
}

/// Hours since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, Serialize, Deserialize,
)]
pub struct UnixHour(pub u64);

/// One run of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{instance}/{run_id}")]
pub struct RunKey {
    /// Instance.
    pub instance: InstanceId,
    /// Run.
    pub run_id: RunId,
}

/// Histogram in hdrhistogram's V2 encoding; empty bytes stand for no values.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PackedHistogram(pub Vec<u8>);

impl PackedHistogram {
    /// Packs a histogram.
    pub fn pack(histogram: &Histogram<u64>) -> Self {
        let mut bytes = Vec::new();
        if !histogram.is_empty() {
            // Writing to memory fails only for histograms beyond the encoding's size, which times are not.
            let _written = V2Serializer::new().serialize(histogram, &mut bytes);
        }
        Self(bytes)
    }

    /// Unpacks the histogram; none when it is empty or unreadable.
    pub fn unpack(&self) -> Option<Histogram<u64>> {
        if self.0.is_empty() {
            return None;
        }
        Deserializer::new().deserialize(&mut self.0.as_slice()).ok()
    }
}

/// Calls with one outcome and cause.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CauseCount {
    /// Outcome.
    pub outcome: String,
    /// Cause, empty when the target answered.
    pub cause: String,
    /// Calls.
    pub calls: u64,
}

/// Histograms of one service, in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Histograms {
    /// Time to the head of the answer.
    pub latency_us: PackedHistogram,
    /// Time in the queue.
    pub queue_wait_us: PackedHistogram,
    /// Time behind long requests.
    pub head_of_line_us: PackedHistogram,
}

/// Whether a minute is part of a crest, and who says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Crest {
    /// The plan expects one.
    pub planned: bool,
    /// Demand was well above its recent mean.
    pub by_demand: bool,
}

impl Crest {
    /// Returns whether anyone says so.
    pub fn any(self) -> bool {
        self.planned || self.by_demand
    }
}

/// One service in one minute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceMinute {
    /// Service.
    pub service: ServiceName,
    /// Calls by outcome and cause, sorted.
    pub causes: Vec<CauseCount>,
    /// Calls that count against the objective; those that only the caller can put right do not.
    #[serde(rename = "judged")]
    pub eligible: u64,
    /// Useful ones of these.
    pub useful: u64,
    /// Whether the minute is part of a crest.
    pub crest: Crest,
    /// Histograms; absent within an hour's roll-up, which has them merged.
    pub histograms: Option<Histograms>,
}

/// What measuring and coordination cost in one minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ControlCost {
    /// Probes sent to targets.
    pub probes: u64,
    /// Bytes sent to peers.
    pub control_bytes: u64,
    /// Reads of the platform's store.
    pub store_reads: u64,
    /// Writes to the platform's store.
    pub store_writes: u64,
}

impl ControlCost {
    /// Returns the cost since an earlier reading of the same counters.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            probes: self.probes.saturating_sub(earlier.probes),
            control_bytes: self.control_bytes.saturating_sub(earlier.control_bytes),
            store_reads: self.store_reads.saturating_sub(earlier.store_reads),
            store_writes: self.store_writes.saturating_sub(earlier.store_writes),
        }
    }

    /// Adds another cost.
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

/// Kind of a mark.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum AnnotationKind {
    /// A plan came into force.
    PlanInForce,
    /// A target was drained or taken back.
    Drain,
    /// An instance started.
    Started,
    /// An instance began to leave.
    Leaving,
    /// The platform's store stopped answering.
    StoreLost,
    /// The platform's store answers again.
    StoreBack,
}

/// Something that happened at a point in time and may explain the figures.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Annotation {
    /// When, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// What.
    pub kind: AnnotationKind,
    /// Version, target or instance.
    pub subject: String,
}

/// Everything of one run of an instance in one minute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinuteRollUp {
    /// Minute.
    pub minute: UnixMinute,
    /// Run.
    pub run: RunKey,
    /// First minute of the run; minutes from there on that are missing are gaps.
    pub first_minute: UnixMinute,
    /// Whether the run ended in this minute on its own will.
    pub last: bool,
    /// Services with calls, sorted by name.
    pub services: Vec<ServiceMinute>,
    /// What happened.
    #[serde(rename = "marks")]
    pub annotations: Vec<Annotation>,
    /// What measuring cost.
    pub cost: ControlCost,
}

/// Histograms of one service in one hour.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHour {
    /// Service.
    pub service: ServiceName,
    /// Histograms of all minutes.
    pub histograms: Histograms,
    /// Time to the head of the answer in crest minutes only.
    pub crest_latency_us: PackedHistogram,
}

/// Everything of one run of an instance in one hour: counts by minute, histograms by hour.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HourRollUp {
    /// Hour.
    pub hour: UnixHour,
    /// Run.
    pub run: RunKey,
    /// Minutes without histograms, sorted.
    pub minutes: Vec<MinuteRollUp>,
    /// Histograms, sorted by service.
    pub services: Vec<ServiceHour>,
}

/// Returns the start of the names of an hour's minute objects.
pub fn minutes_prefix(hour: UnixHour) -> String {
    format!("rollup/minute/{hour}/")
}

/// Returns the start of the names of an hour's hour objects.
pub fn hours_prefix(hour: UnixHour) -> String {
    format!("rollup/hour/{hour}/")
}

/// Returns the name of a minute's object.
pub fn minute_name(minute: UnixMinute, run: &RunKey) -> String {
    format!("{}{minute}/{run}", minutes_prefix(minute.hour()))
}

/// Returns the name of an hour's object.
pub fn hour_name(hour: UnixHour, run: &RunKey) -> String {
    format!("{}{run}", hours_prefix(hour))
}

/// Reads minute and run from the name of a minute's object.
pub fn parse_minute_name(name: &str) -> Option<(UnixMinute, RunKey)> {
    let rest = name.strip_prefix("rollup/minute/")?;
    let (_hour, rest) = rest.split_once('/')?;
    let (minute, run) = rest.split_once('/')?;
    Some((minute.parse().ok()?, parse_run(run)?))
}

/// Reads hour and run from the name of an hour's object.
pub fn parse_hour_name(name: &str) -> Option<(UnixHour, RunKey)> {
    let (hour, run) = name.strip_prefix("rollup/hour/")?.split_once('/')?;
    Some((hour.parse().ok()?, parse_run(run)?))
}

fn parse_run(text: &str) -> Option<RunKey> {
    let (instance, run_id) = text.split_once('/')?;
    Some(RunKey { instance: instance.parse().ok()?, run_id: run_id.parse().ok()? })
}

/// Encodes a roll-up.
///
/// # Panics
///
/// Never: roll-ups hold only types that bincode encodes.
pub fn encode(roll_up: &impl Serialize) -> Bytes {
    let mut content = BytesMut::new();
    content.put_u8(FORMAT);
    let config = bincode::config::standard();
    let body = bincode::serde::encode_to_vec(roll_up, config).expect("roll-ups hold only encodable types");
    content.put_slice(&body);
    content.freeze()
}

/// Decodes a roll-up; none when it has another format or is damaged.
pub fn decode<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    let (&format, body) = content.split_first()?;
    if format != FORMAT {
        return None;
    }
    let config = bincode::config::standard().with_limit::<MAX_OBJECT_BYTES>();
    let (roll_up, _read) = bincode::serde::decode_from_slice(body, config).ok()?;
    Some(roll_up)
}
