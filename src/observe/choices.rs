//! The latest choices of targets, kept to answer why a call went where it went.

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

/// Choices kept of one service.
pub const KEPT_CHOICES: usize = 128;

/// Identifiers of callers' own kept.
const KEPT_NAMES: usize = 1_024;

/// One choice, with what this instance had in flight at each target right after it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Choice {
    at: MonoTime,
    call: CallId,
    attempt: Attempt,
    target: TargetId,
    in_flight: Vec<u32>,
}

/// Latest choices of one pool; lives under the pool's lock.
#[derive(Debug, Default)]
pub struct RecentChoices {
    /// Invariant: at most [`KEPT_CHOICES`], oldest first.
    kept: VecDeque<Choice>,
}

impl RecentChoices {
    /// Keeps a choice in place of the oldest one.
    pub fn record(&mut self, at: MonoTime, call: CallId, attempt: Attempt, target: TargetIndex, pool: &Pool) {
        // The oldest entry's list is used again, so a full ring allocates nothing.
        let full = self.kept.len() == KEPT_CHOICES;
        let oldest = if full { self.kept.pop_front() } else { None };
        let mut in_flight = oldest.map(|c| c.in_flight).unwrap_or_default();
        in_flight.clear();
        in_flight.extend(pool.own_in_flight());
        let target = pool.target(target).id.clone();
        self.kept.push_back(Choice { at, call, attempt, target, in_flight });
    }

    /// Returns the choices as operators see them, latest first; `of` asks for those of one call.
    pub fn view(&self, pool: &Pool, now: MonoTime, run_id: RunId, of: Option<CallId>) -> Vec<ChoiceView> {
        let wanted = self.kept.iter().rev().filter(|c| of.is_none_or(|of| of == c.call));
        wanted.map(|choice| view(choice, pool, now, run_id)).collect()
    }
}

/// One target as it stood at a choice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateView {
    /// Target.
    pub target: TargetId,
    /// Requests of this instance in flight there, right after the choice.
    pub in_flight: u32,
    /// Slots.
    pub slots: u32,
    /// Whether the call went there.
    pub chosen: bool,
}

/// One choice as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChoiceView {
    /// Identifier of the request, unless the caller gave its own.
    pub request_id: String,
    /// Service.
    pub service: ServiceName,
    /// Time since the choice, in milliseconds.
    pub age_ms: u64,
    /// Which of the call's sends, from 0.
    pub attempt: u32,
    /// Why, in words.
    pub reason: String,
    /// All targets as they stood.
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
    // The chosen target's count has this call in it already.
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

/// Calls by the identifiers that callers gave them.
#[derive(Debug, Default)]
pub struct CallerRequestIds {
    /// Invariant: at most [`KEPT_NAMES`], oldest first.
    kept: Mutex<VecDeque<(String, CallId)>>,
}

impl CallerRequestIds {
    /// Keeps the name of a call in place of the oldest one.
    pub fn record(&self, name: &str, call: CallId) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() == KEPT_NAMES {
            kept.pop_front();
        }
        kept.push_back((name.to_owned(), call));
    }

    /// Finds the latest call of a name.
    pub fn find(&self, name: &str) -> Option<CallId> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.iter().rev().find(|(kept, _)| kept == name).map(|(_, call)| *call)
    }
}
