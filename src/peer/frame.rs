//! Frames that instances exchange: a length, a type tag and a bincode body.
//!
//! The tag stands outside the body, so that a receiver skips types it does not know.

use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::units::{DataCentre, InstanceId, PlanVersion, RunId, TargetId};

/// Version of the protocol that a hello states.
pub const PROTOCOL_VERSION: u32 = 3;

/// First frame of a link: who sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol_version: u32,
    /// Sender.
    pub instance: InstanceId,
    /// Sender's run.
    pub run_id: RunId,
    /// Sender's data centre.
    pub data_centre: DataCentre,
    /// Where the sender takes links.
    pub peer_address: SocketAddr,
}

/// Sign of life with what the sender knows of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of this heartbeat on the way to this receiver; rises by one, from 1.
    pub number: u64,
    /// Number of the last heartbeat that the sender took from this receiver, 0 for none.
    pub echo: u64,
    /// Version in force at the sender.
    pub plan_version: PlanVersion,
    /// Milliseconds since the store is known to have had no higher version than that in force.
    pub confirmed_age_ms: Option<u32>,
    /// Whether the sender knows its plan to be current.
    pub current: bool,
    /// Whether the sender is leaving.
    pub leaving: bool,
}

/// Requests in flight at targets, only those that changed since the last such frame of the link.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Loads {
    /// Plan whose list of targets the entries count through.
    pub plan_version: PlanVersion,
    /// Microseconds on the sender's clock, to tell the delay of frames relative to each other.
    pub sent_at_us: u64,
    /// Changed counts in the order of the plan's targets.
    pub counts: Vec<LoadCount>,
}

/// One count of [`Loads`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Targets of the plan skipped since the last entry.
    pub skipped: u32,
    /// Requests the sender has in flight there.
    pub in_flight: u32,
}

/// A sign that a target drains, learned from an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainNotice {
    /// Target.
    pub target: TargetId,
    /// Time of the operator's return that the sign is newer than, in seconds since the Unix epoch, 0 for none.
    pub after_return_unix_s: u64,
}

/// Asks an instance to pass on what it follows in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSubscription {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol_version: u32,
    /// Sender.
    pub instance: InstanceId,
    /// Version of the routing table's row that the sender knows.
    pub routing: Option<u64>,
    /// Version of the directory of targets that the sender knows.
    pub targets: Option<u64>,
    /// Whether rows are wanted, rather than only how current the receiver is.
    pub wants_rows: bool,
    /// Instances that the sender has heard of, with itself.
    pub instances: Vec<InstanceId>,
}

/// Sign of life with how current the sender's copy of the store is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoreState {
    /// Milliseconds since the store is known to have had nothing newer; `None` before a first reading.
    pub confirmed_age_ms: Option<u32>,
    /// Whether the store does not answer the one who reads it.
    pub is_store_lost: bool,
    /// Instances between the sender and the store.
    pub distance: u8,
    /// Instances that the sender counts, with itself; 0 while that is not known.
    pub instances: u32,
}

/// Rows of one table of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRows {
    /// Whether they are of the directory of targets rather than of the routing table.
    pub of_targets: bool,
    /// Whether they are all rows rather than those that changed.
    pub is_all: bool,
    /// Version of the store that they were read at.
    pub version: u64,
    /// Whether the rows are too many to be passed on: the receiver reads the table from the store.
    pub must_read: bool,
    /// Rows; none when the table must be read.
    pub rows: Vec<StoreRow>,
}

/// One row of [`StoreRows`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
    /// Value; `None` when the row was removed or can't be read.
    pub value: Option<Bytes>,
}

/// One message between two instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// First frame of a link.
    Hello(Hello),
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// Asks for the plan if the one in force at the receiver is newer than this version.
    PlanRequest(PlanVersion),
    /// A whole plan as JSON text.
    Plan(Bytes),
    /// Requests in flight.
    Loads(Loads),
    /// A target drains.
    DrainNotice(DrainNotice),
    /// Asks for the store's rows.
    StoreSubscription(StoreSubscription),
    /// Instances that the sender has heard of, with itself, some time after its question.
    KnownInstances(Vec<InstanceId>),
    /// How current the sender's copy of the store is.
    StoreState(StoreState),
    /// Rows of the store.
    StoreRows(StoreRows),
}

const TAG_HELLO: u8 = 1;
const TAG_HEARTBEAT: u8 = 2;
const TAG_PLAN_REQUEST: u8 = 3;
const TAG_PLAN: u8 = 4;
const TAG_LOADS: u8 = 5;
const TAG_DRAIN_NOTICE: u8 = 6;
const TAG_STORE_SUBSCRIPTION: u8 = 7;
const TAG_STORE_STATE: u8 = 8;
const TAG_STORE_ROWS: u8 = 9;
const TAG_KNOWN_INSTANCES: u8 = 10;

/// Largest frame taken from a peer, tag and body, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Largest frame of any type but a plan and the store's rows, in bytes.
pub const MAX_SMALL_FRAME_BYTES: usize = 64 << 10;

/// Length of the prefix that gives a frame's size.
const PREFIX_BYTES: usize = 4;

/// Why a link must be closed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The prefix states more than the type may have.
    #[error("frame of {bytes} bytes and type {tag} exceeds {limit}")]
    TooLarge {
        /// Stated size.
        bytes: usize,
        /// Type tag.
        tag: u8,
        /// Most bytes of this type.
        limit: usize,
    },
    /// The frame has no type tag.
    #[error("frame without type tag")]
    Empty,
    /// The body is not that of its type.
    #[error("malformed frame of type {tag}: {reason}")]
    Malformed {
        /// Type tag.
        tag: u8,
        /// What was wrong.
        reason: String,
    },
}

/// Encodes a frame with its length prefix.
pub fn encode(frame: &Frame) -> Bytes {
    let (tag, body) = match frame {
        Frame::Hello(hello) => (TAG_HELLO, to_bytes(hello)),
        Frame::Heartbeat(heartbeat) => (TAG_HEARTBEAT, to_bytes(heartbeat)),
        Frame::PlanRequest(version) => (TAG_PLAN_REQUEST, to_bytes(version)),
        Frame::Plan(json) => (TAG_PLAN, json.to_vec()),
        Frame::Loads(loads) => (TAG_LOADS, to_bytes(loads)),
        Frame::DrainNotice(sign) => (TAG_DRAIN_NOTICE, to_bytes(sign)),
        Frame::StoreSubscription(ask) => (TAG_STORE_SUBSCRIPTION, to_bytes(ask)),
        Frame::KnownInstances(instances) => (TAG_KNOWN_INSTANCES, to_bytes(instances)),
        Frame::StoreState(state) => (TAG_STORE_STATE, to_bytes(state)),
        Frame::StoreRows(rows) => (TAG_STORE_ROWS, to_bytes(rows)),
    };
    encode_raw(tag, &body)
}

/// Encodes a body under any type tag.
pub fn encode_raw(tag: u8, body: &[u8]) -> Bytes {
    let length = u32::try_from(1 + body.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + 1 + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.push(tag);
    bytes.extend_from_slice(body);
    Bytes::from(bytes)
}

fn to_bytes(body: &impl Serialize) -> Vec<u8> {
    // Writing into a vector fails only for types that serde can't represent; bodies have none.
    bincode::serde::encode_to_vec(body, bincode::config::standard()).unwrap_or_default()
}

/// Turns received bytes into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Received and not yet decoded; at most one frame and one chunk long.
    buffer: BytesMut,
    /// Frames of unknown types that were skipped.
    skipped: u64,
}

impl Decoder {
    /// Takes received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns how many frames of unknown types were skipped.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the next whole frame of a known type, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the link must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            let Some((tag, body)) = self.next_raw()? else {
                return Ok(None);
            };
            match decode(tag, body)? {
                Some(frame) => return Ok(Some(frame)),
                None => self.skipped += 1,
            }
        }
    }

    fn next_raw(&mut self) -> Result<Option<(u8, Bytes)>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*prefix) as usize;
        if bytes == 0 {
            return Err(FrameError::Empty);
        }
        let Some(&tag) = self.buffer.get(PREFIX_BYTES) else {
            return Ok(None);
        };
        let limit = largest(tag);
        if bytes > limit {
            return Err(FrameError::TooLarge { bytes, tag, limit });
        }
        if self.buffer.len() < PREFIX_BYTES + bytes {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES + 1);
        Ok(Some((tag, self.buffer.split_to(bytes - 1).freeze())))
    }
}

/// Decodes a body; `None` for an unknown type.
fn decode(tag: u8, body: Bytes) -> Result<Option<Frame>, FrameError> {
    Ok(Some(match tag {
        TAG_HELLO => Frame::Hello(from_bytes(tag, &body)?),
        TAG_HEARTBEAT => Frame::Heartbeat(from_bytes(tag, &body)?),
        TAG_PLAN_REQUEST => Frame::PlanRequest(from_bytes(tag, &body)?),
        TAG_PLAN => Frame::Plan(body),
        TAG_LOADS => Frame::Loads(from_bytes(tag, &body)?),
        TAG_DRAIN_NOTICE => Frame::DrainNotice(from_bytes(tag, &body)?),
        TAG_STORE_SUBSCRIPTION => Frame::StoreSubscription(from_bytes(tag, &body)?),
        TAG_KNOWN_INSTANCES => Frame::KnownInstances(from_bytes(tag, &body)?),
        TAG_STORE_STATE => Frame::StoreState(from_bytes(tag, &body)?),
        TAG_STORE_ROWS => Frame::StoreRows(from_bytes_within::<_, MAX_FRAME_BYTES>(tag, &body)?),
        _ => return Ok(None),
    }))
}

/// Returns the largest size of a type of frame.
fn largest(tag: u8) -> usize {
    if matches!(tag, TAG_PLAN | TAG_STORE_ROWS) { MAX_FRAME_BYTES } else { MAX_SMALL_FRAME_BYTES }
}

fn from_bytes<T: DeserializeOwned>(tag: u8, body: &[u8]) -> Result<T, FrameError> {
    from_bytes_within::<T, MAX_SMALL_FRAME_BYTES>(tag, body)
}

/// Decodes a body that claims to hold at most `LIMIT` bytes.
fn from_bytes_within<T: DeserializeOwned, const LIMIT: usize>(tag: u8, body: &[u8]) -> Result<T, FrameError> {
    let malformed = |reason: String| FrameError::Malformed { tag, reason };
    let config = bincode::config::standard().with_limit::<LIMIT>();
    match bincode::serde::decode_from_slice(body, config) {
        Ok((value, read)) if read == body.len() => Ok(value),
        Ok((_, read)) => Err(malformed(format!("{} bytes too many", body.len() - read))),
        Err(e) => Err(malformed(e.to_string())),
    }
}
