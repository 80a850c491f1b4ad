//! Counts of the replies that callers received in a fault run, and the guarantees that they violate.

use derive_more::AddAssign;

use super::keyed_request::KeyedRequest;
use crate::client::CompleteResponse;

/// Counts of a fault run. A run is a request's execution at a target, which the target logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, AddAssign)]
pub struct Counts {
    /// Calls that were sent.
    pub calls: u64,
    /// Calls whose reply stated the outcome `ran`.
    pub ran: u64,
    /// Calls of these whose reply was a stored answer.
    pub stored: u64,
    /// Calls whose reply stated the outcome `not-run`.
    pub not_run: u64,
    /// Calls whose reply stated another outcome.
    pub unknown: u64,
    /// Calls that received no complete answer.
    pub no_answer: u64,
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Replies `not-run` to calls whose key had run before the call was sent.
    pub not_run_after_run: u64,
    /// Keys that ran although all replies stated `not-run`.
    pub not_run_only: u64,
    /// Replies `not-run` to calls during which the key ran, through a concurrent call with the same key.
    pub not_run_beside_run: u64,
    /// Keys that never ran although a reply stated `ran` with status 200.
    pub ran_without_run: u64,
    /// Replies `ran` with status 200 whose body is not the target's.
    pub wrong_bodies: u64,
    /// Keys whose row in the store is still open after `SETTLE_TIMEOUT`.
    pub open_keys: u64,
    /// Keys whose last call, after the faults, had no final reply.
    pub unsettled_calls: u64,
    /// Keys whose row states that the request was sent and that its answer is not known.
    pub unsettled_rows: u64,
    /// Keys that ran.
    pub keys_run: u64,
}

impl Counts {
    /// Returns the names of the violated guarantees.
    pub fn violations(&self) -> Vec<&'static str> {
        let guarantees = [
            ("double runs", self.double_runs),
            ("not-run for a key that had run", self.not_run_after_run),
            ("only not-run for a key that ran", self.not_run_only),
            ("ran for a key that did not run", self.ran_without_run),
            ("wrong bodies", self.wrong_bodies),
            ("open keys", self.open_keys),
            ("keys without a final answer", self.unsettled_calls),
        ];
        guarantees.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
    }
}

/// Replies to the calls with one key.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyRecord {
    /// Replies that stated `ran`.
    pub ran: u64,
    /// Replies that stated `not-run`.
    pub not_run: u64,
    /// Replies that stated another outcome.
    pub others: u64,
    /// Whether a reply was a successful answer of the target.
    pub succeeded: bool,
    /// Counts of the calls with this key.
    pub counts: Counts,
    /// Outcome of the latest reply, or its cause if that is `key-unsettled`; empty if there was no answer.
    pub last_outcome: String,
}

/// Adds a reply to the record of its key.
pub(super) fn record_reply(record: &mut KeyRecord, request: &KeyedRequest, received: &CompleteResponse) {
    match received.outcome() {
        "ran" => {
            record.ran += 1;
            record.counts.ran += 1;
            record.counts.stored += u64::from(received.headers.contains_key("arbutusshelf-stored"));
            let is_answer = received.status == 200;
            record.succeeded |= is_answer;
            record.counts.wrong_bodies += u64::from(is_answer && received.body != request.expected_body());
        }
        "not-run" => {
            record.not_run += 1;
            record.counts.not_run += 1;
        }
        _ => {
            record.others += 1;
            record.counts.unknown += 1;
        }
    }
}
