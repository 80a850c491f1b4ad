//! Windows of the burn report, and the burn-rate alarms over them.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::plan::Objective;

/// Minimum error budget for the burn rate, as a share of calls; it avoids a division by zero for an objective
/// of 100%.
const MIN_ERROR_BUDGET: f64 = 1e-6;

/// Number of calls that must miss the objective in the long window before an alarm is raised, so that a few
/// failures raise none.
const MIN_FAILED_CALLS: u64 = 10;

/// Share of the whole error budget that may be spent in one hour before [`Alarm::FastBurn`] is raised.
const FAST_BURN_SPENT_SHARE: f64 = 0.02;

/// Share of the whole error budget that may be spent in one day before [`Alarm::SlowBurn`] is raised.
const SLOW_BURN_SPENT_SHARE: f64 = 0.1;

/// Time span of the report that ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, Serialize, Deserialize)]
pub enum Window {
    /// 5 minutes.
    #[display("5m")]
    #[serde(rename = "5m")]
    FiveMinutes,
    /// 1 hour.
    #[display("1h")]
    #[serde(rename = "1h")]
    Hour,
    /// 6 hours.
    #[display("6h")]
    #[serde(rename = "6h")]
    SixHours,
    /// 1 day.
    #[display("1d")]
    #[serde(rename = "1d")]
    Day,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [Self::FiveMinutes, Self::Hour, Self::SixHours, Self::Day];

    /// Returns the length in minutes.
    pub const fn minutes(self) -> u64 {
        match self {
            Self::FiveMinutes => 5,
            Self::Hour => 60,
            Self::SixHours => 360,
            Self::Day => 1_440,
        }
    }
}

/// Burn-rate alarm. The burn rate of both a long and a short window must reach the threshold; the short
/// window ends the alarm soon after its cause ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Alarm {
    /// The error budget will be spent within days: act now. Based on the last 1 h and 5 min.
    FastBurn,
    /// The error budget will be spent before its window ends: act today. Based on the last day and 6 h.
    SlowBurn,
}

impl Alarm {
    /// All alarms, the most urgent first.
    pub const ALL: [Self; 2] = [Self::FastBurn, Self::SlowBurn];

    /// Returns the long and the short window.
    pub const fn windows(self) -> (Window, Window) {
        match self {
            Self::FastBurn => (Window::Hour, Window::FiveMinutes),
            Self::SlowBurn => (Window::Day, Window::SixHours),
        }
    }

    /// Returns the burn rate from which on the alarm is raised; at least 1.
    pub fn threshold(self, objective: &Objective) -> f64 {
        let compliance_minutes = f64::from(objective.window_days) * Window::Day.minutes() as f64;
        let long_window_minutes = self.windows().0.minutes() as f64;
        let spent = match self {
            Self::FastBurn => FAST_BURN_SPENT_SHARE,
            Self::SlowBurn => SLOW_BURN_SPENT_SHARE,
        };
        (spent * compliance_minutes / long_window_minutes).max(1.0)
    }
}

/// Calls of one window, counted against the objective.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ObjectiveCounts {
    /// Number of calls that count against the objective.
    pub eligible: u64,
    /// Number of eligible calls that met the objective.
    pub useful: u64,
}

impl ObjectiveCounts {
    /// Returns the share of eligible calls that met the objective; 1 if there were none.
    pub fn useful_share(self) -> f64 {
        if self.eligible == 0 { 1.0 } else { self.useful as f64 / self.eligible as f64 }
    }

    /// Returns the number of eligible calls that missed the objective.
    pub fn failed(self) -> u64 {
        self.eligible.saturating_sub(self.useful)
    }

    /// Returns the burn rate: 1 spends the error budget exactly within the compliance window of the
    /// objective.
    pub fn burn(self, objective: &Objective) -> f64 {
        (1.0 - self.useful_share()) / (1.0 - objective.useful_share).max(MIN_ERROR_BUDGET)
    }
}

/// Returns the alarms that are raised, given the counts of each window.
pub fn raised_alarms(objective: &Objective, counts: impl Fn(Window) -> ObjectiveCounts) -> Vec<Alarm> {
    let raised = |alarm: &Alarm| {
        let threshold = alarm.threshold(objective);
        let (long, short) = alarm.windows();
        let burns_too_fast = |window| counts(window).burn(objective) >= threshold;
        counts(long).failed() >= MIN_FAILED_CALLS && burns_too_fast(long) && burns_too_fast(short)
    };
    Alarm::ALL.into_iter().filter(raised).collect()
}
