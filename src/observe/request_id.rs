//! The identifier that follows a request through the logs, to the target and back to the caller.

use std::{fmt, sync::Arc};

use crate::units::{CallId, RunId};

/// Lengths of a caller's own identifier that are taken over, in bytes.
const OWN_BYTES: std::ops::RangeInclusive<usize> = 8..=64;

/// Identifier of one request.
///
/// Invariant: letters, digits, `-`, `_` and `.` only, so it needs no quotes in a log or a header.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Takes a caller's own identifier over if it is well-formed, and makes one otherwise.
    pub fn new(given: Option<&[u8]>, run_id: RunId, call: CallId) -> Self {
        let own = given.and_then(|bytes| std::str::from_utf8(bytes).ok()).filter(|text| is_well_formed(text));
        match own {
            Some(text) => Self(Arc::from(text)),
            None => Self::for_call(run_id, call),
        }
    }

    /// Makes the identifier of a call whose caller gave none.
    pub fn for_call(run_id: RunId, call: CallId) -> Self {
        Self(Arc::from(format!("{run_id}-{call}")))
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Reads the call from an identifier that this run made.
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

/// Returns whether a caller's own identifier is taken over: 8 to 64 letters, digits, `-`, `_` and `.`.
pub fn is_well_formed(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    OWN_BYTES.contains(&text.len()) && text.bytes().all(allowed)
}
