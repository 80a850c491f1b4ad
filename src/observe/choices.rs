//! The most recent choices of targets, which `GET /explain` shows with the load that each was based on.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use super::request_id::RequestId;
use crate::{
    decide::{Attempt, TargetIndex, pool::Pool},
    units::{CallId, MonoTime, RunId, ServiceName, TargetId},
};

/// Number of choices kept per service.
pub const MAX_CHOICES: usize = 128;

/// Number of request identifiers from callers that are kept.
const MAX_CALLER_IDS: usize = 1_024;

/// One choice, with the requests that this instance had in flight at each target right after it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Choice {
    at: MonoTime,
    call: CallId,
    attempt: Attempt,
    target: TargetId,
    in_flight: Vec<u32>,
}

/// Most recent choices of one pool; protected by the pool's lock.
#[derive(Debug, Default)]
pub struct RecentChoices {
    /// Oldest first. Invariant: at most [`MAX_CHOICES`] entries.
    entries: VecDeque<Choice>,
}

impl RecentChoices {
    /// Adds a choice; removes the oldest one if [`MAX_CHOICES`] are kept.
    pub fn record(&mut self, at: MonoTime, call: CallId, attempt: Attempt, target: TargetIndex, pool: &Pool) {
        // Reuses the list of the removed entry, so that a full ring allocates no list.
        let full = self.entries.len() == MAX_CHOICES;
        let oldest = if full { self.entries.pop_front() } else { None };
        let mut in_flight = oldest.map(|c| c.in_flight).unwrap_or_default();
        in_flight.clear();
        in_flight.extend(pool.own_in_flight());
        let target = pool.target(target).id.clone();
        self.entries.push_back(Choice { at, call, attempt, target, in_flight });
    }

    /// Returns the choices, latest first; `call_filter` limits them to those of one call.
    pub fn view(
        &self,
        pool: &Pool,
        now: MonoTime,
        run_id: RunId,
        call_filter: Option<CallId>,
    ) -> Vec<ChoiceView> {
        let matching =
            self.entries.iter().rev().filter(|c| call_filter.is_none_or(|call_filter| call_filter == c.call));
        matching.map(|choice| view(choice, pool, now, run_id)).collect()
    }
}

/// Load of one target right after a choice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateView {
    /// Target identifier.
    pub target: TargetId,
    /// Requests of this instance in flight at the target, including the one that the choice sends.
    pub in_flight: u32,
    /// Number of slots of the target in the plan.
    pub slots: u32,
    /// Whether the call was sent to this target.
    pub chosen: bool,
}

/// One choice in the reply to `GET /explain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChoiceView {
    /// Identifier that this run generates for the call, also if the caller sent its own.
    pub request_id: String,
    /// Service of the call.
    pub service: ServiceName,
    /// Time since the choice, in milliseconds.
    pub age_ms: u64,
    /// Number of the call's attempt, from 0.
    pub attempt: u32,
    /// Reason of the attempt and the load of the targets, as a sentence for operators.
    pub reason: String,
    /// All targets of the service, with their load right after the choice.
    pub candidates: Vec<CandidateView>,
}

fn view(choice: &Choice, pool: &Pool, now: MonoTime, run_id: RunId) -> ChoiceView {
    let specs = pool.spec().targets.iter().zip(&choice.in_flight);
    let candidate = |(spec, in_flight): (&crate::plan::TargetSpec, &u32)| CandidateView {
        target: spec.id.clone(),
        in_flight: *in_flight,
        slots: spec.slots,
        chosen: spec.id == choice.target,
    };
    let candidates = specs.map(candidate).collect::<Vec<_>>();
    ChoiceView {
        request_id: RequestId::for_call(run_id, choice.call).to_string(),
        service: pool.spec().name.clone(),
        age_ms: u64::try_from(now.since(choice.at).as_millis()).unwrap_or(u64::MAX),
        attempt: choice.attempt.0,
        reason: reason(choice, &candidates),
        candidates,
    }
}

fn reason(choice: &Choice, candidates: &[CandidateView]) -> String {
    let Some(chosen) = candidates.iter().find(|c| c.chosen) else {
        return "the target is no longer in the plan".to_owned();
    };
    // The count of the chosen target already includes this call.
    let before = chosen.in_flight.saturating_sub(1);
    let others = candidates.iter().filter(|c| !c.chosen);
    let (free, full) = others.partition::<Vec<_>, _>(|c| c.in_flight < c.slots);
    let why = match choice.attempt.0 {
        0 => "first send",
        _ => "repeated send after an earlier one ended or was slow",
    };
    format!(
        "{why}: {} had {before} of {} slots used from here; of the other targets {} had a free slot and {} had none",
        chosen.target,
        chosen.slots,
        free.len(),
        full.len()
    )
}

/// Recent calls by the request identifiers that their callers sent.
#[derive(Debug, Default)]
pub struct CallerRequestIds {
    /// Oldest first. Invariant: at most [`MAX_CALLER_IDS`] entries.
    entries: Mutex<VecDeque<(String, CallId)>>,
}

impl CallerRequestIds {
    /// Adds the identifier of a call; removes the oldest one if the list is full.
    pub fn record(&self, request_id: &str, call: CallId) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() == MAX_CALLER_IDS {
            entries.pop_front();
        }
        entries.push_back((request_id.to_owned(), call));
    }

    /// Returns the latest call with this identifier, if it is still kept.
    pub fn find(&self, request_id: &str) -> Option<CallId> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.iter().rev().find(|(id, _)| id == request_id).map(|(_, call)| *call)
    }
}
