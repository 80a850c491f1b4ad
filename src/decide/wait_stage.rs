//! How particular a call is about its target, as its time runs out.
//!
//! While a service has more calls than it can answer in time, calls that are late already must not take the slots of
//! those that can still be in time: a service that serves the oldest first answers everyone late.

use std::time::Duration;

use crate::units::MonoTime;

/// Part of the objective that a call waits for a calm target. All calls wait as long while there are too many, so it
/// must leave time for the answer.
const CALM_PART: f64 = 0.45;

/// Least part of the objective that a call waits for a calm target.
const LEAST_CALM_PART: f64 = 0.125;

/// Part of the objective after which the last slots of a target are taken.
const FILL_PART: f64 = 0.0625;

/// Times the usual time of an answer that must be left within the objective for a calm target to be waited for.
const ANSWER_MARGIN: f64 = 1.5;

/// Part of its time until which a late call waits for a spare slot: more than half is left to its caller to try elsewhere.
const SPARE_PART: f64 = 0.4;

/// How particular a call is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitStage {
    /// It takes a calm target with room to spare.
    Headroom,
    /// It takes a calm target with a free slot.
    FreeSlot,
    /// It can hardly be in time: it takes a slot that calls in time have no use for.
    SpareSlot,
    /// It is refused: waiting longer only takes slots from others.
    Expired,
}

/// What decides on the stages of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallTimes {
    /// When the caller's request arrived.
    pub arrived: MonoTime,
    /// When the caller must have its answer.
    pub deadline: MonoTime,
    /// Time after `arrived` within which the answer is of full use.
    pub objective: Duration,
    /// Usual time from a send to its answer.
    pub usual_time: Duration,
}

impl CallTimes {
    /// Returns the stage of a call whose choice began at `since`, and when it ends.
    pub fn stage(&self, now: MonoTime, since: MonoTime) -> (WaitStage, MonoTime) {
        let part = |part: f64| self.objective.mul_f64(part);
        let fill_from = since + part(FILL_PART);
        let answer = self.usual_time.mul_f64(ANSWER_MARGIN);
        let patience = part(CALM_PART).min(self.objective.saturating_sub(answer));
        let calm_until = (self.arrived + patience).max(since + part(LEAST_CALM_PART));
        let spare_until = self.arrived + self.deadline.since(self.arrived).mul_f64(SPARE_PART);
        let spare_until = spare_until.max(calm_until);
        if now < fill_from.min(calm_until) {
            (WaitStage::Headroom, fill_from.min(calm_until))
        } else if now < calm_until {
            (WaitStage::FreeSlot, calm_until)
        } else if now < spare_until {
            (WaitStage::SpareSlot, spare_until)
        } else {
            (WaitStage::Expired, self.deadline)
        }
    }
}
