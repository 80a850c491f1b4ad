//! What callers were told in a fault run, and which promises that breaks.

use derive_more::AddAssign;

use super::charge::Charge;
use crate::client::CompleteResponse;

/// What was counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, AddAssign)]
pub struct Counts {
    /// Calls sent.
    pub calls: u64,
    /// Calls told ran.
    pub ran: u64,
    /// Of these, answers that were stored.
    pub stored: u64,
    /// Calls told not-run.
    pub not_run: u64,
    /// Calls told unknown.
    pub unknown: u64,
    /// Calls that got no whole answer.
    pub no_answer: u64,
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Answers not-run to a call whose key had run before the call began.
    pub not_run_after_run: u64,
    /// Keys that ran and whose every call was told not-run.
    pub not_run_only: u64,
    /// Answers not-run to a call beside which another call of the key, begun before its end, ran.
    pub not_run_beside_run: u64,
    /// Keys told ran with a success that never ran.
    pub ran_without_run: u64,
    /// Answers told ran with a body that is not the target's.
    pub wrong_bodies: u64,
    /// Keys whose row is open after the limit.
    pub open_keys: u64,
    /// Keys whose last call, after the faults, was told nothing final.
    pub unsettled_calls: u64,
    /// Keys whose row says that they were sent without an answer.
    pub unsettled_rows: u64,
    /// Keys that ran.
    pub keys_run: u64,
}

impl Counts {
    /// Returns the names of the promises that were broken.
    pub fn broken(&self) -> Vec<&'static str> {
        let promises = [
            ("double runs", self.double_runs),
            ("not-run for a key that had run", self.not_run_after_run),
            ("not-run alone for a key that ran", self.not_run_only),
            ("ran for a key that did not run", self.ran_without_run),
            ("wrong bodies", self.wrong_bodies),
            ("open keys", self.open_keys),
            ("keys without a final answer", self.unsettled_calls),
        ];
        promises.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
    }
}

/// One key with what its calls were told.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyLog {
    /// Calls told ran.
    pub ran: u64,
    pub not_run: u64,
    pub others: u64,
    /// Whether a call was passed a success of the target.
    pub succeeded: bool,
    pub counts: Counts,
    /// Whether the call after the faults was told ran or that the key is unsettled for good.
    pub last_outcome: String,
}

pub(super) fn note(log: &mut KeyLog, charge: &Charge, received: &CompleteResponse) {
    match received.outcome() {
        "ran" => {
            log.ran += 1;
            log.counts.ran += 1;
            log.counts.stored += u64::from(received.headers.contains_key("arbutusshelf-stored"));
            let is_answer = received.status == 200;
            log.succeeded |= is_answer;
            log.counts.wrong_bodies += u64::from(is_answer && received.body != charge.expected());
        }
        "not-run" => {
            log.not_run += 1;
            log.counts.not_run += 1;
        }
        _ => {
            log.others += 1;
            log.counts.unknown += 1;
        }
    }
}
