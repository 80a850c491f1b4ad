//! Frames that instances exchange.

use std::net::SocketAddr;

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
