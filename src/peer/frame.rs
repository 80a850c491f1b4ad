//! Frames that instances exchange: a length prefix, a type tag and a bincode body.
//!
//! The tag is outside the body, so that a receiver can skip frame types that it does not know.

use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::patch::{Digest, Patch};
use crate::{
    store_position::StoreEra,
    units::{DataCentre, InstanceId, PlanVersion, RequestDigest, RunId, ServiceName, TargetId},
};

/// Version of the peer protocol; an instance closes links whose hello states another one.
pub const PROTOCOL_VERSION: u32 = 3;

/// First frame on a link: identifies the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol_version: u32,
    /// Name of the sender.
    pub instance: InstanceId,
    /// Identifier of the sender's process; a restarted instance has another one.
    pub run_id: RunId,
    /// Data centre in which the sender runs.
    pub data_centre: DataCentre,
    /// Address on which the sender accepts links.
    pub peer_address: SocketAddr,
}

/// Periodic liveness message with the state of the plan at the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number of this heartbeat to this receiver, from 1.
    pub number: u64,
    /// Sequence number of the last heartbeat that the sender got from this receiver, 0 for none.
    pub echo: u64,
    /// Version of the plan that is active at the sender.
    pub plan_version: PlanVersion,
    /// Milliseconds since the store was last known to hold no version newer than `plan_version`; `None` if
    /// never.
    pub confirmed_age_ms: Option<u32>,
    /// Whether the sender regards its plan as current, so that it accepts requests under it.
    pub current: bool,
    /// Whether the sender is shutting down.
    pub leaving: bool,
}

/// Numbers of requests in flight at targets, limited to those that changed since the last such frame of the
/// link.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Loads {
    /// Plan version whose list of targets `counts` refers to by position.
    pub plan_version: PlanVersion,
    /// Time of sending in microseconds on the sender's clock; comparable only between frames of one link.
    pub sent_at_us: u64,
    /// Changed counts, in the order of the plan's targets.
    pub counts: Vec<LoadCount>,
}

/// Number of requests in flight at one target, part of [`Loads`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Number of targets in the plan between the previous entry and this one.
    pub skipped: u32,
    /// Requests that the sender has in flight at this target.
    pub in_flight: u32,
}

/// Notice that a target is draining, as an answer of that target stated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainNotice {
    /// Target that is draining.
    pub target: TargetId,
    /// Time of the operator's last `return` of this target before the notice, in seconds since the Unix
    /// epoch; 0 for none. A later `return` makes the notice outdated.
    pub after_return_unix_s: u64,
}

/// Asks an instance to pass on its copy of the store's tables and later changes to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSubscription {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol_version: u32,
    /// Name of the sender.
    pub instance: InstanceId,
    /// Version of the routing table at the sender; `None` if it has none.
    pub routing: Option<u64>,
    /// Version of the directory of targets at the sender; `None` if it has none.
    pub targets: Option<u64>,
    /// Whether the sender wants rows, rather than only how current the receiver's copy is.
    pub wants_rows: bool,
    /// Instances that the sender knows of, including itself.
    pub instances: Vec<InstanceId>,
}

/// Periodic liveness message that states how current the sender's copy of the store is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoreState {
    /// Milliseconds since the copy was last known to match the store; `None` before the first read.
    pub confirmed_age_ms: Option<u32>,
    /// Whether the instance that reads the store, directly or for the sender, gets no answer from it.
    pub is_store_lost: bool,
    /// Number of instances between the sender and the store.
    pub distance: u8,
    /// Number of instances that the sender knows of, including itself; 0 while unknown.
    pub instances: u32,
}

/// Rows of one table of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRows {
    /// Whether the rows belong to the directory of targets rather than to the routing table.
    pub of_targets: bool,
    /// Whether `rows` is the whole table rather than only the changed rows.
    pub is_all: bool,
    /// Version of the table at which the rows were read.
    pub version: u64,
    /// Whether the table is too large to pass on, so that the receiver must read it from the store.
    pub must_read: bool,
    /// Rows; empty if `must_read` is set.
    pub rows: Vec<StoreRow>,
}

/// One row of [`StoreRows`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Key of the row in the store.
    pub key: String,
    /// Version of the row in the store.
    pub version: u64,
    /// Value; `None` if the row was removed or can't be parsed.
    pub value: Option<Bytes>,
}

/// A row of the routing table, described by what it has in common with the one before on the link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRowPatch {
    /// Whether the row is the whole table rather than only what has changed.
    pub is_all: bool,
    /// Version of the table at which the row was read.
    pub version: u64,
    /// Key of the row in the store.
    pub key: String,
    /// Version of the row in the store.
    pub row_version: u64,
    /// The value.
    pub patch: Patch,
}

/// What the sender knows of one target's rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitEntry {
    /// Target that stated it.
    pub target: TargetId,
    /// Start time of the target's process in milliseconds since the Unix epoch, if it states one.
    pub started_unix_ms: Option<u64>,
    /// Millionths of a request per second from all instances together; `None` if the target takes any number.
    pub limit_micros_per_s: Option<u64>,
    /// Number of changes that led to this limit; of two entries, the one with more is later.
    pub version: u64,
    /// Phase of the receiver's permits for the target, in millionths; only from an instance to its followers.
    pub phase_micros: Option<u32>,
}

/// What the sender knows of one request under which targets have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Keyed hash that identifies the request.
    pub digest: RequestDigest,
    /// Number of answers that have cleared the count of ends.
    pub generation: u32,
    /// Targets that have ended under it in succession since then.
    pub ends: u8,
    /// Milliseconds since the count has changed.
    pub age_ms: u32,
}

/// What an instance states of its paths to targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathEntry {
    /// The instance, not necessarily the sender.
    pub instance: InstanceId,
    /// Start time of its process in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Number of statements that this process had made before; of two entries, the one with more is later.
    pub version: u32,
    /// Address on which it takes requests from other instances.
    pub address: SocketAddr,
    /// Whether it takes any.
    pub is_accepting: bool,
    /// Services to whose targets it has no path.
    pub closed: Vec<ServiceName>,
}

/// Message between two instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// Identification of the sender; first frame of a link.
    Hello(Hello),
    /// Liveness and state of the plan at the sender.
    Heartbeat(Heartbeat),
    /// Request for the receiver's plan if it is newer than this version.
    PlanRequest(PlanVersion),
    /// Whole plan as JSON text.
    Plan(Bytes),
    /// Changed numbers of requests in flight.
    Loads(Loads),
    /// Notice that a target is draining.
    DrainNotice(DrainNotice),
    /// Subscription to the receiver's copy of the store.
    StoreSubscription(StoreSubscription),
    /// Instances that a subscriber knows of, including itself; updates the list in its subscription.
    KnownInstances(Vec<InstanceId>),
    /// Liveness and age of the sender's copy of the store.
    StoreState(StoreState),
    /// Rows of one table of the store.
    StoreRows(StoreRows),
    /// Era of the store to which all later versions on this link belong; 0 until the first such frame. A frame
    /// of its own, so that instances which don't know it skip it.
    StoreEra(StoreEra),
    /// Time in milliseconds for which the store has answered the instance that reads it. Precedes the state that
    /// it belongs to; instances that don't know it skip it.
    StoreAnsweredFor(u32),
    /// Time in milliseconds for which the instance that reads the store has not been able to read the routing table;
    /// `None` if it is. Precedes the state that it belongs to; instances that don't know it skip it.
    RoutingUnreadFor(Option<u32>),
    /// Digest of the sender's routing table; `None` if it has none. Precedes a subscription and states that the sender
    /// takes patches; instances that don't know it skip it, and send whole rows.
    KnownRouting(Option<Digest>),
    /// The routing table, if the receiver takes patches.
    RoutingRowPatch(RoutingRowPatch),
    /// Rate limits that targets stated. Instances that don't know it skip it.
    RateLimits(Vec<RateLimitEntry>),
    /// Key of the hashes that identify requests. Instances that don't know it skip it.
    IdentityKey([u8; 16]),
    /// Requests under which targets have ended. Instances that don't know it skip it.
    Suspects(Vec<SuspectEntry>),
    /// Paths of instances to targets. Instances that don't know it skip it.
    Paths(Vec<PathEntry>),
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
const TAG_STORE_ERA: u8 = 11;
const TAG_STORE_ANSWERED_FOR: u8 = 12;
const TAG_RATE_LIMITS: u8 = 13;
const TAG_IDENTITY_KEY: u8 = 14;
const TAG_SUSPECTS: u8 = 15;
const TAG_PATHS: u8 = 16;
const TAG_ROUTING_UNREAD_FOR: u8 = 17;
const TAG_KNOWN_ROUTING: u8 = 18;
const TAG_ROUTING_ROW_PATCH: u8 = 19;

/// Largest frame accepted from a peer, tag and body, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Largest frame of any type other than plans, store rows and their patches, tag and body, in bytes.
pub const MAX_SMALL_FRAME_BYTES: usize = 64 << 10;

/// Length of the prefix that holds a frame's size, in bytes.
const PREFIX_BYTES: usize = 4;

/// Fault in received bytes after which the link must be closed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length prefix exceeds the limit of the frame's type.
    #[error("frame of {bytes} bytes and type {tag} exceeds {limit}")]
    TooLarge {
        /// Size stated by the prefix.
        bytes: usize,
        /// Type tag.
        tag: u8,
        /// Largest size for this type, in bytes.
        limit: usize,
    },
    /// The frame has no type tag.
    #[error("frame without type tag")]
    Empty,
    /// The body can't be decoded as the type that the tag states.
    #[error("malformed frame of type {tag}: {reason}")]
    Malformed {
        /// Type tag.
        tag: u8,
        /// Why decoding failed.
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
        Frame::DrainNotice(notice) => (TAG_DRAIN_NOTICE, to_bytes(notice)),
        Frame::StoreSubscription(subscription) => (TAG_STORE_SUBSCRIPTION, to_bytes(subscription)),
        Frame::KnownInstances(instances) => (TAG_KNOWN_INSTANCES, to_bytes(instances)),
        Frame::StoreState(state) => (TAG_STORE_STATE, to_bytes(state)),
        Frame::StoreRows(rows) => (TAG_STORE_ROWS, to_bytes(rows)),
        Frame::StoreEra(era) => (TAG_STORE_ERA, to_bytes(era)),
        Frame::StoreAnsweredFor(ms) => (TAG_STORE_ANSWERED_FOR, to_bytes(ms)),
        Frame::RateLimits(entries) => (TAG_RATE_LIMITS, to_bytes(entries)),
        Frame::IdentityKey(key) => (TAG_IDENTITY_KEY, to_bytes(key)),
        Frame::Suspects(entries) => (TAG_SUSPECTS, to_bytes(entries)),
        Frame::Paths(entries) => (TAG_PATHS, to_bytes(entries)),
        Frame::RoutingUnreadFor(ms) => (TAG_ROUTING_UNREAD_FOR, to_bytes(ms)),
        Frame::KnownRouting(digest) => (TAG_KNOWN_ROUTING, to_bytes(digest)),
        Frame::RoutingRowPatch(patch) => (TAG_ROUTING_ROW_PATCH, to_bytes(patch)),
    };
    encode_raw(tag, &body)
}

/// Adds a length prefix and a type tag, known or not, to a body.
pub fn encode_raw(tag: u8, body: &[u8]) -> Bytes {
    let length = u32::try_from(1 + body.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + 1 + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.push(tag);
    bytes.extend_from_slice(body);
    Bytes::from(bytes)
}

fn to_bytes(body: &impl Serialize) -> Vec<u8> {
    // Writing into a vector fails only for types that bincode can't represent; no body has such a type.
    bincode::serde::encode_to_vec(body, bincode::config::standard()).unwrap_or_default()
}

/// Decodes a stream of received bytes into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Bytes not yet decoded; at most one frame and one chunk long.
    buffer: BytesMut,
    /// Number of frames of unknown types that were skipped.
    skipped: u64,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the number of frames of unknown types that were skipped.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the next complete frame of a known type, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not valid frames; the link must then be closed.
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
        let limit = max_frame_bytes(tag);
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

/// Decodes a body; returns `None` for an unknown type.
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
        TAG_STORE_ROWS => Frame::StoreRows(from_bytes_limited::<_, MAX_FRAME_BYTES>(tag, &body)?),
        TAG_STORE_ERA => Frame::StoreEra(from_bytes(tag, &body)?),
        TAG_STORE_ANSWERED_FOR => Frame::StoreAnsweredFor(from_bytes(tag, &body)?),
        TAG_RATE_LIMITS => Frame::RateLimits(from_bytes(tag, &body)?),
        TAG_IDENTITY_KEY => Frame::IdentityKey(from_bytes(tag, &body)?),
        TAG_SUSPECTS => Frame::Suspects(from_bytes(tag, &body)?),
        TAG_PATHS => Frame::Paths(from_bytes(tag, &body)?),
        TAG_ROUTING_UNREAD_FOR => Frame::RoutingUnreadFor(from_bytes(tag, &body)?),
        TAG_KNOWN_ROUTING => Frame::KnownRouting(from_bytes(tag, &body)?),
        TAG_ROUTING_ROW_PATCH => {
            Frame::RoutingRowPatch(from_bytes_limited::<_, MAX_FRAME_BYTES>(tag, &body)?)
        }
        _ => return Ok(None),
    }))
}

fn max_frame_bytes(tag: u8) -> usize {
    let is_large = matches!(tag, TAG_PLAN | TAG_STORE_ROWS | TAG_ROUTING_ROW_PATCH);
    if is_large { MAX_FRAME_BYTES } else { MAX_SMALL_FRAME_BYTES }
}

fn from_bytes<T: DeserializeOwned>(tag: u8, body: &[u8]) -> Result<T, FrameError> {
    from_bytes_limited::<T, MAX_SMALL_FRAME_BYTES>(tag, body)
}

/// Decodes a whole body; fails if it claims to hold more than `LIMIT` bytes, so that a forged length can't
/// cause a large allocation.
fn from_bytes_limited<T: DeserializeOwned, const LIMIT: usize>(
    tag: u8,
    body: &[u8],
) -> Result<T, FrameError> {
    let malformed = |reason: String| FrameError::Malformed { tag, reason };
    let config = bincode::config::standard().with_limit::<LIMIT>();
    match bincode::serde::decode_from_slice(body, config) {
        Ok((value, read)) if read == body.len() => Ok(value),
        Ok((_, read)) => Err(malformed(format!("{} bytes too many", body.len() - read))),
        Err(e) => Err(malformed(e.to_string())),
    }
}
