//! Content of a claim's row, and the identifiers that tie a claim to its holder and its request.

use std::{fmt, str::FromStr};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::units::RunId;

/// Unique identifier of a claim: the run of the instance process and a number within that run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimToken {
    /// Run of the instance that made the claim; never reused.
    pub run: RunId,
    /// Number of the claim within the run; never reused.
    pub number: u64,
}

impl fmt::Display for ClaimToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.run, self.number)
    }
}

/// Error for text that is not a valid token.
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

/// Digest of a request's method, path and body; a repeated key with a different digest is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, From, Serialize, Deserialize)]
pub struct Fingerprint(pub String);

/// Version of a row; no two writes to the table yield the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, From)]
pub struct RowVersion(pub u64);

/// Body of a stored response; a row can only hold text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// Body that is valid UTF-8, unchanged.
    Text(String),
    /// Any other body, with two hexadecimal digits per byte.
    Hex(String),
    /// Name of the object in the object store that holds a body too large for a row.
    Object(String),
}

/// Response stored for repeated calls with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header; `None` if there was none.
    pub content_type: Option<String>,
    /// Response body.
    pub body: StoredBody,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send the request, or may have sent it.
    Open,
    /// The request ran, with this response.
    Done(StoredAnswer),
    /// The request did not run and will not run under the row's token; any call may claim the row.
    Released,
    /// The request was sent and no response came; only an operator can find out whether it ran.
    Unsettled,
}

/// Content of a claim's row.
///
/// A row is changed in place and deleted only by the retention sweep. As long as it exists, an insert that
/// the table applies late fails because of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Token of the claim that last wrote the row.
    pub token: ClaimToken,
    /// Digest of that claim's request.
    pub fingerprint: Fingerprint,
    /// State of that claim.
    pub state: ClaimState,
    /// Hour as counted in the table at the time of the claim, for retention.
    pub written_hour: u64,
}

impl ClaimRow {
    /// Returns whether `token` holds the row and may have sent the request.
    pub fn is_open_for(&self, token: ClaimToken) -> bool {
        self.token == token && self.state == ClaimState::Open
    }
}
