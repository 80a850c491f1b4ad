//! Rules for which failed attempts may be followed by another one, and the retry budget.

use super::{AttemptEnd, Call};
use crate::plan::RequestKind;

/// Maximum number of attempts for one call, retries and hedges included.
pub const MAX_ATTEMPTS: usize = 3;

/// Maximum number of retries that may be saved up: enough to cover a short fault, but not a long one.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Budget of retries and hedges of one service, as a share of its first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    /// Retries that may be made now; at most [`MAX_SAVED_RETRIES`].
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget that grows by `ratio` with each first attempt.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, saved: (ratio * MAX_SAVED_RETRIES).min(MAX_SAVED_RETRIES) }
    }

    /// Changes the ratio; saved retries are kept.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Records a first attempt. A call that is itself a retry adds nothing to the budget.
    pub fn record_first_attempt(&mut self, call: &Call) {
        if call.prior_attempts == 0 {
            self.saved = (self.saved + self.ratio).min(MAX_SAVED_RETRIES);
        }
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Whether another attempt may follow when a call's only open attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPermission {
    /// Another attempt is allowed and costs no budget, since nothing ran and the target was not burdened.
    Free,
    /// Another attempt is allowed within the budget.
    Budgeted,
    /// No other attempt is allowed.
    Never,
}

/// Returns whether a call may be sent again after an attempt ended with `end`.
///
/// A call that is already a retry by a caller further up the chain is only repeated if it was not sent. In a
/// chain of calls a failure is thus retried at one level and not at each, which would multiply the load.
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

/// Returns how strongly the end of an attempt without a response suggests that the request ran, from 0 to 4.
/// The most severe end of a call's attempts decides which error the caller is told.
pub fn severity(end: AttemptEnd) -> u8 {
    match end {
        AttemptEnd::Answered | AttemptEnd::Cancelled => 0,
        AttemptEnd::Unsent => 1,
        AttemptEnd::Refused => 2,
        AttemptEnd::Lost | AttemptEnd::TimedOut => 3,
        AttemptEnd::Failed => 4,
    }
}
