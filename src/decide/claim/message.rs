//! Inputs and outputs of a claim's state machine.

use super::row::{ClaimRow, ClaimToken, Fingerprint, RowVersion, StoredAnswer};
use crate::{error::ErrorKind, units::MonoTime};

/// Condition under which a write of the row takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowCondition {
    /// The row does not exist.
    Absent,
    /// The row exists in this version.
    VersionIs(RowVersion),
}

/// Conditional write of the idempotency key's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Condition under which the write takes effect.
    pub condition: RowCondition,
    /// New content of the row.
    pub row: ClaimRow,
}

/// Result of a write, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect, and the row now has this version.
    TookEffect(RowVersion),
    /// The condition did not hold.
    Conflict,
    /// Nothing was written, and nothing will be.
    Refused,
    /// The write may have taken effect already, or may do so later.
    Unknown,
}

/// Content of a row with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRow {
    /// Version in which the row was read.
    pub version: RowVersion,
    /// Content of the row.
    pub row: ClaimRow,
}

/// Error for a row that could not be read from the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the claim's row could not be read")]
pub struct ReadFailed;

/// How the only attempt to send the request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target sent a response, which can be stored.
    Answered(StoredAnswer),
    /// It is certain that nothing reached a target.
    Unsent(ErrorKind),
    /// The request may have reached a target.
    MaybeSent(ErrorKind),
}

/// Input of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The call arrived; claim its key.
    Start,
    /// Result of the last [`Action::Write`].
    WriteFinished(WriteOutcome),
    /// Result of the last [`Action::Read`].
    ReadFinished(Result<Option<VersionedRow>, ReadFailed>),
    /// The attempt to send the request ended.
    SendFinished(SendOutcome),
    /// The caller disconnected.
    CallerDisconnected,
    /// Another claim on this instance has brought the row to its final state.
    RowSettled,
    /// Time has passed; due no later than [`Claim::next_wake`](super::Claim::next_wake).
    Tick,
}

/// Reply to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Forward the response that the target sent to this call.
    Forward,
    /// Send this stored response, since the request ran before.
    Stored(StoredAnswer),
    /// Send this error.
    Error(ErrorKind),
}

/// Output of a claim, to be carried out by the I/O layer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the row and report [`Event::WriteFinished`].
    Write(ClaimWrite),
    /// Read the row and report [`Event::ReadFinished`].
    Read,
    /// Send the request, once, unless the deadline passes first; report [`Event::SendFinished`].
    Send,
    /// Reply to the caller; given exactly once for each claim, or never if the caller disconnects first.
    Reply(Reply),
    /// The claim is finished.
    Finish,
}

/// Parameters of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSpec {
    /// Identifies this claim; never used before.
    pub token: ClaimToken,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Time by which sending must have begun.
    pub deadline: MonoTime,
    /// Whether the caller states that it has sent this key before.
    pub repeated: bool,
    /// Current hour as counted in the table, for the retention of the row.
    pub written_hour: u64,
}
