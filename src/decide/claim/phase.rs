//! Where a claim stands.

use super::row::{ClaimState, RowVersion};
use crate::units::MonoTime;

/// What the machine is doing; at most one operation on the table is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// Wants the row.
    Claiming,
    /// Another claim has had the row open, at this version, at least since this time.
    Waiting(RowVersion, MonoTime),
    /// Holds the row; the request may be sent.
    Sending,
    /// Holds the row and brings it to its last state.
    Settling(ClaimState),
    /// Never sends again; makes sure that no claim of its token stays or comes back.
    Releasing,
    Finished,
}

/// Operation on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Write the row open under the own token.
    Claim,
    /// Write the row's last state.
    Settle,
    Read,
}

/// What the claim has learned of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyKnowledge {
    /// Nothing yet.
    Nothing,
    /// No request with the key had run when the row was read.
    Free,
    /// A request with the key may have run.
    MayHaveRun,
}
