//! What the head of a target's response means for the caller of the request.

use std::ops::RangeInclusive;

use crate::plan::RequestKind;

/// Statuses by which callers conclude that a request was not executed and will not be.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Statuses of final responses. Those of 1xx end no request, and others are invalid (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// What the head of a response says of the request's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Meaning {
    /// The response can be forwarded.
    Final,
    /// The request was not executed.
    NotRun,
    /// The status promises that the request was not executed, and nothing else does. Its caller would send a request
    /// again that may be executed only once.
    UnconfirmedRefusal,
    /// The status is not that of a final response.
    InvalidStatus,
}

/// Returns whether a final response may have `status`.
pub fn is_final(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Returns the meaning of a response with `status` to a request of `kind`. `states_not_run` says whether the response
/// states by other means than its status that the request was not executed.
pub fn interpret(kind: RequestKind, status: u16, states_not_run: bool) -> Meaning {
    let may_be_repeated = kind == RequestKind::Idempotent;
    if !is_final(status) {
        Meaning::InvalidStatus
    } else if states_not_run {
        Meaning::NotRun
    } else if !may_be_repeated && NOT_RUN_STATUSES.contains(&status) {
        Meaning::UnconfirmedRefusal
    } else {
        Meaning::Final
    }
}
