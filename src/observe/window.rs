//! Windows of the burn report, and the alarms over them.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::plan::Objective;

/// Smallest error budget that burn is worked out against, as a share of calls.
const MIN_BUDGET: f64 = 1e-6;

/// Calls that must have failed the objective in the long window before an alarm is raised.
const MIN_NOT_USEFUL: u64 = 10;

/// Share of the whole budget that may be spent in an hour before the fast alarm is raised.
const FAST_SPENT: f64 = 0.02;

/// Share of the whole budget that may be spent in a day before the slow alarm is raised.
const SLOW_SPENT: f64 = 0.1;

/// A span of time up to now.
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

/// An alarm; both windows must burn too fast, so that it ends soon after the cause does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Alarm {
    /// The budget goes within days: act now. Judged over 1 h and 5 min.
    FastBurn,
    /// The budget will not last: act today. Judged over 1 day and 6 h.
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

    /// Returns the burn from which on the alarm is raised; never below 1.
    pub fn threshold(self, objective: &Objective) -> f64 {
        let window_minutes = f64::from(objective.window_days) * Window::Day.minutes() as f64;
        let long_minutes = self.windows().0.minutes() as f64;
        let spent = match self {
            Self::FastBurn => FAST_SPENT,
            Self::SlowBurn => SLOW_SPENT,
        };
        (spent * window_minutes / long_minutes).max(1.0)
    }
}

/// Calls of one window against the objective.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ObjectiveCounts {
    /// Calls that count against the objective.
    pub eligible: u64,
    /// Useful ones.
    pub useful: u64,
}

impl ObjectiveCounts {
    /// Returns the share of useful calls, 1 when there were none.
    pub fn useful_share(self) -> f64 {
        if self.eligible == 0 { 1.0 } else { self.useful as f64 / self.eligible as f64 }
    }

    /// Returns the calls that were not useful.
    pub fn not_useful(self) -> u64 {
        self.eligible.saturating_sub(self.useful)
    }

    /// Returns the speed at which the error budget is spent; 1 spends it exactly within the window.
    pub fn burn(self, objective: &Objective) -> f64 {
        (1.0 - self.useful_share()) / (1.0 - objective.useful_share).max(MIN_BUDGET)
    }
}

/// Returns the alarms that are raised.
pub fn alarms(objective: &Objective, counts: impl Fn(Window) -> ObjectiveCounts) -> Vec<Alarm> {
    let raised = |alarm: &Alarm| {
        let threshold = alarm.threshold(objective);
        let (long, short) = alarm.windows();
        let burns = |window| counts(window).burn(objective) >= threshold;
        counts(long).not_useful() >= MIN_NOT_USEFUL && burns(long) && burns(short)
    };
    Alarm::ALL.into_iter().filter(raised).collect()
}
