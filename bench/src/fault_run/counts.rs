//! Counts of the responses that callers received in a fault run, and the guarantees that they violate.

use derive_more::AddAssign;

use super::keyed_request::KeyedRequest;
use crate::client::CompleteResponse;

/// Counts of a fault run. A run is a request's execution at a target, which the target logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, AddAssign)]
pub struct Counts {
    /// Calls that were sent.
    pub calls: u64,
    /// Calls whose response stated the outcome `ran`.
    pub ran: u64,
    /// Calls of these that received a stored response.
    pub stored: u64,
    /// Calls whose response stated the outcome `not-run`.
    pub not_run: u64,
    /// Calls whose response stated another outcome.
    pub unknown: u64,
    /// Calls that received no complete response.
    pub no_answer: u64,
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Responses `not-run` to calls whose key had run before the call was sent.
    pub not_run_after_run: u64,
    /// Keys that ran although all responses stated `not-run`.
    pub not_run_only: u64,
    /// Responses `not-run` to calls during which the key ran, through a concurrent call with the same key.
    pub not_run_beside_run: u64,
    /// Keys that never ran although a response stated `ran` with status 200.
    pub ran_without_run: u64,
    /// Responses `ran` with status 200 whose body is not the target's.
    pub wrong_bodies: u64,
    /// Keys whose row in the store is still open after `SETTLE_TIMEOUT`.
    pub open_keys: u64,
    /// Keys whose last call, after the faults, had no final response.
    pub unsettled_calls: u64,
    /// Keys whose row states that the request was sent and that its response is not known.
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
            ("keys without a final response", self.unsettled_calls),
        ];
        guarantees.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
    }
}

/// Responses to the calls with one key.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyRecord {
    /// Responses that stated `ran`.
    pub ran: u64,
    /// Responses that stated `not-run`.
    pub not_run: u64,
    /// Responses that stated another outcome.
    pub others: u64,
    /// Whether a response was a success (status 200).
    pub succeeded: bool,
    /// Counts of the calls with this key.
    pub counts: Counts,
    /// Outcome of the latest response, or its cause if that is `key-unsettled`; empty if there was no
    /// response.
    pub last_outcome: String,
}

/// Adds a response to the record of its key.
pub(super) fn record_response(record: &mut KeyRecord, request: &KeyedRequest, received: &CompleteResponse) {
    match received.outcome() {
        "ran" => {
            record.ran += 1;
            record.counts.ran += 1;
            record.counts.stored += u64::from(received.headers.contains_key("arbutusshelf-stored"));
            let is_success = received.status == 200;
            record.succeeded |= is_success;
            record.counts.wrong_bodies += u64::from(is_success && received.body != request.expected_body());
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
