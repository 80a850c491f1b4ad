//! Content of a claim's row, and the names that tie a claim to its holder and its request.

use std::{fmt, str::FromStr};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::units::RunId;

/// Unique to one claim: the run of the instance and a number within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimToken {
    /// Run of the holder; never reused.
    pub run: RunId,
    /// Number of the claim within the run; never reused.
    pub number: u64,
}

impl fmt::Display for ClaimToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.run, self.number)
    }
}

/// Error for text that is not a token.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a token: expected two hexadecimal numbers joined by '-'")]
pub struct ClaimTokenError(String);

impl FromStr for ClaimToken {
    type Err = ClaimTokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once('-').and_then(|(run, number)| {
            Some(Self { run: run.parse().ok()?, number: u64::from_str_radix(number, 16).ok()? })
        });
        parts.ok_or_else(|| ClaimTokenError(text.to_owned()))
    }
}

impl TryFrom<String> for ClaimToken {
    type Error = ClaimTokenError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ClaimToken> for String {
    fn from(token: ClaimToken) -> Self {
        token.to_string()
    }
}

/// Digest of method, path and body; a repeated key with another one is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, From, Serialize, Deserialize)]
pub struct Fingerprint(pub String);

/// Version of a row; no two writes of the table give the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, From)]
pub struct RowVersion(pub u64);

/// Body of a stored answer; a row holds text only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// UTF-8, as it was.
    Text(String),
    /// Any other bytes, two hexadecimal digits each.
    Hex(String),
    /// Name in the object store of a body that is too large for a row.
    Object(String),
}

/// An answer kept for repeated calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, if there was one.
    pub content_type: Option<String>,
    /// Body.
    pub body: StoredBody,
}

/// How far a claim has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send, or may have sent.
    Open,
    /// It ran; this was the answer.
    Done(StoredAnswer),
    /// Nothing ran and nothing will under the row's token; anyone may claim the row.
    Released,
    /// It was sent and no answer came; only an operator can tell whether it ran.
    Unsettled,
}

/// Content of a claim's row.
///
/// A row is changed in place and removed only by the retention sweep: as long as it exists, an insert that
/// the table applies late finds it and fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Claim that wrote the row last.
    pub token: ClaimToken,
    /// Request of that claim.
    pub fingerprint: Fingerprint,
    /// How far it has come.
    pub state: ClaimState,
    /// Hour of the table's own count, for retention.
    pub written_hour: u64,
}

impl ClaimRow {
    /// Returns whether `token` holds the row and may have sent.
    pub fn is_open_for(&self, token: ClaimToken) -> bool {
        self.token == token && self.state == ClaimState::Open
    }
}
