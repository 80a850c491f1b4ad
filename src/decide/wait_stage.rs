//! How particular a call is about its target, as its time runs out.
//!
//! While a service has more calls than it can answer in time, calls that are late already must not take the slots of
//! those that can still be in time: a service that serves the oldest first answers everyone late.

use std::time::Duration;

use crate::units::MonoTime;

/// Part of the objective that a call waits for a calm target. All calls wait as long while there are too many, so it
/// must leave time for the answer.
const FREE_SLOT_WAIT_SHARE: f64 = 0.45;

/// Least part of the objective that a call waits for a calm target.
const MIN_FREE_SLOT_WAIT_SHARE: f64 = 0.125;

/// Part of the objective after which the last slots of a target are taken.
const HEADROOM_WAIT_SHARE: f64 = 0.0625;

/// Times the usual time of an answer that must be left within the objective for a calm target to be waited for.
const ANSWER_MARGIN: f64 = 1.5;

/// Part of its time until which a late call waits for a spare slot: more than half is left to its caller to try elsewhere.
const SPARE_SLOT_DEADLINE_SHARE: f64 = 0.4;

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
        let headroom_until = since + part(HEADROOM_WAIT_SHARE);
        let answer = self.usual_time.mul_f64(ANSWER_MARGIN);
        let free_slot_wait = part(FREE_SLOT_WAIT_SHARE).min(self.objective.saturating_sub(answer));
        let free_slot_until = (self.arrived + free_slot_wait).max(since + part(MIN_FREE_SLOT_WAIT_SHARE));
        let spare_slot_until =
            self.arrived + self.deadline.since(self.arrived).mul_f64(SPARE_SLOT_DEADLINE_SHARE);
        let spare_slot_until = spare_slot_until.max(free_slot_until);
        if now < headroom_until.min(free_slot_until) {
            (WaitStage::Headroom, headroom_until.min(free_slot_until))
        } else if now < free_slot_until {
            (WaitStage::FreeSlot, free_slot_until)
        } else if now < spare_slot_until {
            (WaitStage::SpareSlot, spare_slot_until)
        } else {
            (WaitStage::Expired, self.deadline)
        }
    }
}
