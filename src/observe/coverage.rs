//! What is known and what is missing of each run: gaps are shown as gaps.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    merge::RollUpIndex,
    rollup::{RunKey, UnixMinute},
    window::Window,
};
use crate::{
    store::ListedInstance,
    units::{InstanceId, RunId},
};

/// Minutes that a roll-up may take to arrive before it counts as missing.
const UPLOAD_LAG_MINUTES: u64 = 2;

/// Minutes of one run that are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// First missing minute.
    pub from: UnixMinute,
    /// Last missing minute.
    pub to: UnixMinute,
}

/// State of a run as its roll-ups tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// Its latest roll-up is recent.
    Reporting,
    /// It left and said so.
    Left,
    /// It stopped without saying so; what came after its last roll-up is unknown.
    Lost,
    /// The platform lists it and no roll-up of it is known.
    Missing,
}

/// What is known of one run within the last day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCoverage {
    /// Instance.
    pub instance: InstanceId,
    /// Run.
    pub run_id: RunId,
    /// State.
    pub state: RunState,
    /// Minutes known.
    pub minutes: u64,
    /// Latest minute known.
    pub latest: Option<UnixMinute>,
    /// Missing minutes between its first and its latest.
    pub gaps: Vec<Gap>,
}

#[derive(Debug)]
struct Seen {
    latest: UnixMinute,
    minutes: u64,
    left: bool,
    gaps: Vec<Gap>,
}

/// Works out what is known of each run, sorted by instance.
pub fn by_run(index: &RollUpIndex<'_>, listed: &[ListedInstance], now: UnixMinute) -> Vec<RunCoverage> {
    let mut runs = BTreeMap::<RunKey, Seen>::new();
    let window_start = UnixMinute(now.0.saturating_sub(Window::Day.minutes() - 1));
    for minute in index.minutes(Window::Day, now) {
        let first = minute.first_minute.max(window_start);
        let seen = runs.entry(minute.run.clone()).or_insert_with(|| Seen {
            latest: UnixMinute(first.0.saturating_sub(1)),
            minutes: 0,
            left: false,
            gaps: Vec::new(),
        });
        if minute.minute.0 > seen.latest.0 + 1 {
            let gap = Gap { from: UnixMinute(seen.latest.0 + 1), to: UnixMinute(minute.minute.0 - 1) };
            seen.gaps.push(gap);
        }
        seen.latest = minute.minute;
        seen.minutes += 1;
        seen.left |= minute.last;
    }
    let mut coverage = runs.into_iter().map(|(run, seen)| coverage(run, seen, now)).collect::<Vec<_>>();
    let known = |line: &ListedInstance, all: &[RunCoverage]| all.iter().any(|c| c.run_id == line.run_id);
    for line in listed {
        if !known(line, &coverage) {
            coverage.push(missing(line));
        }
    }
    coverage.sort_by(|a, b| (&a.instance, a.run_id).cmp(&(&b.instance, b.run_id)));
    coverage
}

fn coverage(run: RunKey, seen: Seen, now: UnixMinute) -> RunCoverage {
    let recent = seen.latest.0 + UPLOAD_LAG_MINUTES >= now.0;
    let state = match (seen.left, recent) {
        (true, _) => RunState::Left,
        (false, true) => RunState::Reporting,
        (false, false) => RunState::Lost,
    };
    RunCoverage {
        instance: run.instance,
        run_id: run.run_id,
        state,
        minutes: seen.minutes,
        latest: Some(seen.latest),
        gaps: seen.gaps,
    }
}

fn missing(line: &ListedInstance) -> RunCoverage {
    RunCoverage {
        instance: line.id.clone(),
        run_id: line.run_id,
        state: RunState::Missing,
        minutes: 0,
        latest: None,
        gaps: Vec::new(),
    }
}
