//! What goes into a claim and what comes out.

use super::row::{ClaimRow, ClaimToken, Fingerprint, RowVersion, StoredAnswer};
use crate::{error::ErrorKind, units::MonoTime};

/// What must hold of the row for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowCondition {
    /// There is no row.
    Absent,
    /// The row has this version.
    VersionIs(RowVersion),
}

/// One conditional write of the key's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// What must hold.
    pub condition: RowCondition,
    /// New content.
    pub row: ClaimRow,
}

/// What is known of a write after it was tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and gave this version.
    TookEffect(RowVersion),
    /// The condition did not hold.
    Conflict,
    /// Nothing was written and nothing will be.
    Refused,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// The row as read, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRow {
    /// Version.
    pub version: RowVersion,
    /// Content.
    pub row: ClaimRow,
}

/// The table could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the claim's row could not be read")]
pub struct ReadFailed;

/// How the one send ended, as evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target answered; the answer can be stored.
    Answered(StoredAnswer),
    /// Provably nothing reached a target.
    Unsent(ErrorKind),
    /// It may have reached a target.
    MaybeSent(ErrorKind),
}

/// Something that happened to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The call wants to run.
    Start,
    /// Reply to the last [`Action::Write`].
    WriteFinished(WriteOutcome),
    /// Reply to the last [`Action::Read`].
    ReadFinished(Result<Option<VersionedRow>, ReadFailed>),
    /// The send ended.
    SendFinished(SendOutcome),
    /// The caller left.
    CallerDisconnected,
    /// Another claim on this instance has settled the row.
    RowSettled,
    /// Time passed; sent at the latest at [`Claim::next_wake`](super::Claim::next_wake).
    Tick,
}

/// What the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The target's answer to this call.
    Forward,
    /// It ran before; this was the answer.
    Stored(StoredAnswer),
    /// This error.
    Error(ErrorKind),
}

/// What the edge must do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the row and report [`Event::WriteOutcome`].
    Write(ClaimWrite),
    /// Read the row and report [`Event::Read`].
    Read,
    /// Send the request, once, unless the deadline has passed by then; report [`Event::SendEnded`].
    Send,
    /// Answer the caller; exactly once for each claim, or never if the caller left first.
    Reply(Reply),
    /// Nothing is left to do.
    Finish,
}

/// What a claim is made from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSpec {
    /// Never used before.
    pub token: ClaimToken,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Point by which the send must have begun.
    pub deadline: MonoTime,
    /// Whether the caller says that it sent this key before.
    pub repeated: bool,
    /// Hour of the table's count.
    pub written_hour: u64,
}
