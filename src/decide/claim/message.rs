//! What goes into a claim and what comes out.

use super::row::{ClaimRow, Fingerprint, StoredAnswer, Token, Version};
use crate::{error::ErrorKind, units::MonoTime};

/// What must hold of the row for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowCondition {
    /// There is no row.
    Absent,
    /// The row has this version.
    VersionIs(Version),
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
pub enum Wrote {
    /// It took effect and gave this version.
    TookEffect(Version),
    /// The condition did not hold.
    Conflict,
    /// Nothing was written and nothing will be.
    Refused,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// The row as read, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundRow {
    /// Version.
    pub version: Version,
    /// Content.
    pub row: ClaimRow,
}

/// The table could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the claim's row could not be read")]
pub struct NotRead;

/// How the one send ended, as evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendEnd {
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
    Wrote(Wrote),
    /// Reply to the last [`Action::Read`].
    Read(Result<Option<FoundRow>, NotRead>),
    /// The send ended.
    SendEnded(SendEnd),
    /// The caller left.
    CallerGone,
    /// Another claim on this instance has settled the row.
    Wake,
    /// Time passed; sent at the latest at [`Claim::next_wake`](super::Claim::next_wake).
    Tick,
}

/// What the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The target's answer to this call.
    PassOn,
    /// It ran before; this was the answer.
    Stored(StoredAnswer),
    /// This error.
    Refused(ErrorKind),
}

/// What the edge must do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the row and report [`Event::Wrote`].
    Write(ClaimWrite),
    /// Read the row and report [`Event::Read`].
    Read,
    /// Send the request, once, unless the deadline has passed by then; report [`Event::SendEnded`].
    Send,
    /// Answer the caller; exactly once for each claim, or never if the caller left first.
    Answer(Verdict),
    /// Nothing is left to do.
    Finish,
}

/// What a claim is made from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSpec {
    /// Never used before.
    pub token: Token,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Point by which the send must have begun.
    pub deadline: MonoTime,
    /// Whether the caller says that it sent this key before.
    pub repeated: bool,
    /// Hour of the table's count.
    pub written_hour: u64,
}
