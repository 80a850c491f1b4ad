//! Frames that instances exchange.

use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::units::{DataCentre, InstanceId, PlanVersion, RunId, TargetId};

/// Version of the protocol that a hello states.
pub const PROTOCOL_VERSION: u32 = 1;

/// One message between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame in each direction.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        protocol_version: u32,
        /// Sender.
        instance: InstanceId,
        /// Sender's run.
        run_id: RunId,
        /// Sender's data centre.
        data_centre: DataCentre,
        /// Where the sender takes links.
        peer_address: SocketAddr,
    },
    /// Sign of life.
    Heartbeat {
        /// Version in force at the sender.
        plan_version: PlanVersion,
        /// Whether the sender is leaving.
        leaving: bool,
    },
    /// Asks for the plan if it is newer than this version.
    PlanWanted {
        /// Version in force at the sender.
        newer_than: PlanVersion,
    },
    /// A whole plan as JSON.
    Plan {
        /// Version of the plan.
        version: PlanVersion,
        /// The plan as JSON text.
        json: Vec<u8>,
    },
    /// Requests in flight at targets since the last frame, only those that changed.
    Loads {
        /// Microseconds on the sender's clock, to tell the age of counts relative to each other.
        sent_at_us: u64,
        /// Changed counts.
        counts: Vec<LoadCount>,
    },
    /// A sign that a target drains or has returned.
    TargetDraining {
        /// Target.
        target: TargetId,
        /// True for draining.
        draining: bool,
    },
}

/// One count of a [`Frame::Loads`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Target.
    pub target: TargetId,
    /// Requests the sender has in flight there.
    pub in_flight: u32,
}

/// Largest frame taken from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Length of the prefix that gives a frame's size.
const PREFIX_BYTES: usize = 4;

/// Why a link must be closed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The prefix states more than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The content is not a frame.
    #[error("malformed frame: {0}")]
    Malformed(String),
}

/// Encodes a frame with its length prefix.
pub fn encode(frame: &Frame) -> Bytes {
    let mut bytes = vec![0; PREFIX_BYTES];
    // Writing into a vector fails only for types that serde can't represent; frames have none.
    let content = bincode::serde::encode_to_vec(frame, bincode::config::standard()).unwrap_or_default();
    bytes.extend_from_slice(&content);
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    bytes[..PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    Bytes::from(bytes)
}

/// Turns received bytes into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Received and not yet decoded; at most one frame and one chunk long.
    buffer: BytesMut,
}

impl Decoder {
    /// Takes received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the next whole frame, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the link must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(length));
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let content = self.buffer.split_to(length);
        let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
        match bincode::serde::decode_from_slice::<Frame, _>(&content, config) {
            Ok((frame, read)) if read == length => Ok(Some(frame)),
            Ok((_, read)) => Err(FrameError::Malformed(format!("{} bytes too many", length - read))),
            Err(e) => Err(FrameError::Malformed(e.to_string())),
        }
    }
}
