//! Which minutes of each run are known, and which are missing, so that the report shows gaps in its data.

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

/// Time that the upload of a roll-up may take before the run counts as lost, in minutes.
const UPLOAD_LAG_MINUTES: u64 = 2;

/// Consecutive missing minutes of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// First missing minute.
    pub from: UnixMinute,
    /// Last missing minute.
    pub to: UnixMinute,
}

/// State of a run, derived from its roll-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// Its latest roll-up is recent.
    Reporting,
    /// Its last roll-up says that it shut down.
    Left,
    /// Its roll-ups ended without a shutdown; what it did after the last one is unknown.
    Lost,
    /// The platform lists it, but it has no roll-up.
    Missing,
}

/// Known and missing minutes of one run within the last day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCoverage {
    /// Instance of the run.
    pub instance: InstanceId,
    /// Identifier of the run, which is one process lifetime of the instance.
    pub run_id: RunId,
    /// State of the run now.
    pub state: RunState,
    /// Number of minutes with a roll-up.
    pub minutes: u64,
    /// Latest minute with a roll-up; none without any.
    pub latest: Option<UnixMinute>,
    /// Missing minutes between the start of the run, or of the day, and its latest roll-up.
    pub gaps: Vec<Gap>,
}

#[derive(Debug)]
struct RunMinutes {
    latest: UnixMinute,
    minutes: u64,
    left: bool,
    gaps: Vec<Gap>,
}

/// Returns the coverage of each run with roll-ups or in the instance list, sorted by instance and run.
pub fn by_run(index: &RollUpIndex<'_>, listed: &[ListedInstance], now: UnixMinute) -> Vec<RunCoverage> {
    let mut runs = BTreeMap::<RunKey, RunMinutes>::new();
    let window_start = UnixMinute(now.0.saturating_sub(Window::Day.minutes() - 1));
    for minute in index.minutes(Window::Day, now) {
        let first = minute.first_minute.max(window_start);
        let run_minutes = runs.entry(minute.run.clone()).or_insert_with(|| RunMinutes {
            latest: UnixMinute(first.0.saturating_sub(1)),
            minutes: 0,
            left: false,
            gaps: Vec::new(),
        });
        if minute.minute.0 > run_minutes.latest.0 + 1 {
            let gap = Gap { from: UnixMinute(run_minutes.latest.0 + 1), to: UnixMinute(minute.minute.0 - 1) };
            run_minutes.gaps.push(gap);
        }
        run_minutes.latest = minute.minute;
        run_minutes.minutes += 1;
        run_minutes.left |= minute.last;
    }
    let mut coverage =
        runs.into_iter().map(|(run, run_minutes)| coverage(run, run_minutes, now)).collect::<Vec<_>>();
    let has_roll_up =
        |listed_run: &ListedInstance, all: &[RunCoverage]| all.iter().any(|c| c.run_id == listed_run.run_id);
    for listed_run in listed {
        if !has_roll_up(listed_run, &coverage) {
            coverage.push(missing_run(listed_run));
        }
    }
    coverage.sort_by(|a, b| (&a.instance, a.run_id).cmp(&(&b.instance, b.run_id)));
    coverage
}

fn coverage(run: RunKey, run_minutes: RunMinutes, now: UnixMinute) -> RunCoverage {
    let recent = run_minutes.latest.0 + UPLOAD_LAG_MINUTES >= now.0;
    let state = match (run_minutes.left, recent) {
        (true, _) => RunState::Left,
        (false, true) => RunState::Reporting,
        (false, false) => RunState::Lost,
    };
    RunCoverage {
        instance: run.instance,
        run_id: run.run_id,
        state,
        minutes: run_minutes.minutes,
        latest: Some(run_minutes.latest),
        gaps: run_minutes.gaps,
    }
}

fn missing_run(listed_run: &ListedInstance) -> RunCoverage {
    RunCoverage {
        instance: listed_run.id.clone(),
        run_id: listed_run.run_id,
        state: RunState::Missing,
        minutes: 0,
        latest: None,
        gaps: Vec::new(),
    }
}
