//! The latest choices of targets, kept to answer why a call went where it went.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::{
    collections::HashMap,
    units::{ServiceName, TargetId},
};

/// Choices kept of one service.
const KEPT_CHOICES: usize = 128;

/// One choice: a call's attempt went to a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Identifier of the request.
    pub request_id: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Which of the call's sends, from 0.
    pub attempt: u32,
    /// Where it went.
    pub target: TargetId,
    /// Time the call had waited by then, in milliseconds.
    pub waited_ms: f64,
    /// Why, in words.
    pub reason: String,
}

/// Latest choices by service.
#[derive(Debug, Default)]
pub struct Choices {
    /// Invariant: each list holds at most [`KEPT_CHOICES`], oldest first.
    by_service: Mutex<HashMap<ServiceName, VecDeque<Choice>>>,
}

impl Choices {
    /// Keeps a choice in place of the oldest one.
    pub fn note(&self, service: &ServiceName, choice: Choice) {
        let mut by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        if !by_service.contains_key(service) {
            by_service.insert(service.clone(), VecDeque::with_capacity(KEPT_CHOICES));
        }
        let Some(kept) = by_service.get_mut(service) else {
            return;
        };
        if kept.len() == KEPT_CHOICES {
            kept.pop_front();
        }
        kept.push_back(choice);
    }

    /// Returns the kept choices of a service, latest first.
    pub fn of_service(&self, service: &ServiceName) -> Vec<Choice> {
        let by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        by_service.get(service).into_iter().flat_map(|kept| kept.iter().rev().cloned()).collect()
    }

    /// Returns the choices for one request, in the order of its sends.
    pub fn of_request(&self, request_id: &str) -> Vec<Choice> {
        let by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        let all = by_service.values().flatten();
        all.filter(|c| c.request_id == request_id).cloned().collect()
    }

    /// Forgets services that are no longer in the plan.
    pub fn retain(&self, keep: impl Fn(&ServiceName) -> bool) {
        let mut by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        by_service.retain(|service, _| keep(service));
    }
}
