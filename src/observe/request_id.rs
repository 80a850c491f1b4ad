//! Request identifier, which is written to the log, sent to the target and returned to the caller.

use std::{fmt, sync::Arc};

use crate::units::{CallId, RunId};

/// Permitted lengths of an identifier sent by the caller, in bytes.
const CALLER_ID_BYTES: std::ops::RangeInclusive<usize> = 8..=64;

/// Identifier of one request.
///
/// Invariant: contains only letters, digits, `-`, `_` and `.`, so it needs no quotes in a log line or header.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Uses the identifier sent by the caller if it is well-formed; otherwise generates one from run and
    /// call.
    pub fn new(from_caller: Option<&[u8]>, run_id: RunId, call: CallId) -> Self {
        let valid_id =
            from_caller.and_then(|bytes| std::str::from_utf8(bytes).ok()).filter(|text| is_well_formed(text));
        match valid_id {
            Some(text) => Self(Arc::from(text)),
            None => Self::for_call(run_id, call),
        }
    }

    /// Generates the identifier of a call whose caller sent none.
    pub fn for_call(run_id: RunId, call: CallId) -> Self {
        Self(Arc::from(format!("{run_id}-{call}")))
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Parses the call from an identifier that this run generated; none for any other identifier.
    pub fn parse_call(run_id: RunId, text: &str) -> Option<CallId> {
        let (run, call) = text.split_once('-')?;
        let of_this_run = run.parse::<RunId>().ok()? == run_id;
        of_this_run.then(|| call.parse().ok()).flatten()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// Returns whether an identifier sent by a caller is accepted: 8 to 64 letters, digits, `-`, `_` and `.`.
pub fn is_well_formed(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    CALLER_ID_BYTES.contains(&text.len()) && text.bytes().all(allowed)
}
