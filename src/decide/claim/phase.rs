//! Phases of a claim.

use super::row::{ClaimState, RowVersion};
use crate::units::MonoTime;

/// What the claim is doing; at most one table operation is in progress at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// Trying to claim the row.
    Claiming,
    /// Waiting: another claim has kept the row open in this version, at least since this time.
    Waiting(RowVersion, MonoTime),
    /// Holding the row; the request may be sent.
    Sending,
    /// Holding the row and writing its final state.
    Settling(ClaimState),
    /// Will never send the request; making sure that no claim under its token stays in the table or appears
    /// later.
    Releasing,
    Finished,
}

/// Operation on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Write the row as open under this claim's token.
    Claim,
    /// Write the row's final state.
    Settle,
    Read,
}

/// What the claim has learned about its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyKnowledge {
    /// Nothing so far.
    Nothing,
    /// When the row was read, no request with the key had run.
    Free,
    /// A request with the key may have run.
    MayHaveRun,
}
