//! Which ends of a send may be followed by another, and the budget for it.

use super::{AttemptEnd, Call};
use crate::plan::RequestKind;

/// Sends of one call at most, retries and hedges included.
pub const MAX_ATTEMPTS: usize = 3;

/// Repeats that may be saved up, so that a short fault is covered and a long one is not.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Budget of retries and hedges of one service: a part of its first sends.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    /// Repeats that may be made now; at most [`MAX_SAVED_RETRIES`].
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget that grows by `ratio` with each first send.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, saved: (ratio * MAX_SAVED_RETRIES).min(MAX_SAVED_RETRIES) }
    }

    /// Changes the ratio and keeps what is saved.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Notes a first send; a call that is itself a repeat earns nothing.
    pub fn earn(&mut self, call: &Call) {
        if call.prior_attempts == 0 {
            self.saved = (self.saved + self.ratio).min(MAX_SAVED_RETRIES);
        }
    }

    /// Spends one repeat if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// What may follow the end of a call's only open send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPermission {
    /// Nothing ran and the target took no work: another send costs no budget.
    Free,
    /// Another send within the budget.
    Budgeted,
    /// No other send.
    Never,
}

/// Returns whether a call may be sent again after an end.
///
/// A call that is a repeat of a caller further up is repeated only if it was not sent: in a chain of calls,
/// one level repeats a failure, not each.
pub fn permission_after(call: &Call, end: AttemptEnd) -> RetryPermission {
    let is_first = call.prior_attempts == 0;
    match end {
        AttemptEnd::Unsent => RetryPermission::Free,
        AttemptEnd::Refused if is_first => RetryPermission::Budgeted,
        AttemptEnd::Failed | AttemptEnd::Lost if is_first && call.kind == RequestKind::Idempotent => {
            RetryPermission::Budgeted
        }
        _ => RetryPermission::Never,
    }
}

/// Returns how much an end without an answer says of what may have run; the most decides what the caller is told.
pub fn severity(end: AttemptEnd) -> u8 {
    match end {
        AttemptEnd::Answered | AttemptEnd::Cancelled => 0,
        AttemptEnd::Unsent => 1,
        AttemptEnd::Refused => 2,
        AttemptEnd::Lost | AttemptEnd::TimedOut => 3,
        AttemptEnd::Failed => 4,
    }
}
