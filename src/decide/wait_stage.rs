//! Stages of a call's wait for a target: as its time runs out, the call accepts other slots.
//!
//! While a service has more calls than it can answer in time, calls that are already late must not take the
//! slots of those that can still be in time. A service that serves the oldest calls first would answer all
//! of them late.

use std::time::Duration;

use crate::units::MonoTime;

/// Share of the latency objective for which a call waits for a free slot at a target of normal speed. Under
/// overload all calls wait that long, so the rest of the objective must suffice for the response.
const FAST_SLOT_WAIT_SHARE: f64 = 0.45;

/// Minimum share of the latency objective for which a call waits for such a slot.
const MIN_FAST_SLOT_WAIT_SHARE: f64 = 0.125;

/// Share of the latency objective for which a hedge waits for such a slot: its first send may still be answered.
const HEDGE_WAIT_SHARE: f64 = 0.0625;

/// A call waits for a free slot only as long as this many times the usual duration of a request remain of
/// the objective.
const ANSWER_MARGIN: f64 = 1.5;

/// Share of the time until its deadline for which a late call waits for a spare slot; leaves more than half
/// of it to the caller to try elsewhere.
const SPARE_SLOT_DEADLINE_SHARE: f64 = 0.4;

/// Which slots a call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitStage {
    /// A free slot at a target of normal speed.
    FastSlot,
    /// Only a slot that calls still in time don't need, since this call can hardly be in time.
    SpareSlot,
    /// None, since longer waiting would only take slots from others. The call is refused, unless no target
    /// has reported its load lately.
    Expired,
}

/// Times that decide the stages of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallTimes {
    /// When the caller's request arrived.
    pub arrived: MonoTime,
    /// Time by which the caller must have its response.
    pub deadline: MonoTime,
    /// Latency objective: the time after `arrived` within which a response is of full use.
    pub objective: Duration,
    /// Median time from sending a request to its response.
    pub usual_time: Duration,
}

impl CallTimes {
    /// Returns until when a hedge whose choice of a target began at `since` waits for a fast slot.
    pub fn hedge_until(&self, since: MonoTime) -> MonoTime {
        since + self.objective.mul_f64(HEDGE_WAIT_SHARE)
    }

    /// Returns the time after which a call whose choice of a target began at `since` is not sent any more.
    pub fn give_up_at(&self, since: MonoTime) -> MonoTime {
        let spare_slot_until =
            self.arrived + self.deadline.since(self.arrived).mul_f64(SPARE_SLOT_DEADLINE_SHARE);
        spare_slot_until.max(self.fast_slot_until(since))
    }

    /// Returns the stage of a call whose choice of a target began at `since`, and when that stage ends.
    pub fn stage(&self, now: MonoTime, since: MonoTime) -> (WaitStage, MonoTime) {
        let fast_slot_until = self.fast_slot_until(since);
        let spare_slot_until = self.give_up_at(since);
        if now < fast_slot_until {
            (WaitStage::FastSlot, fast_slot_until)
        } else if now < spare_slot_until {
            (WaitStage::SpareSlot, spare_slot_until)
        } else {
            (WaitStage::Expired, self.deadline)
        }
    }

    fn fast_slot_until(&self, since: MonoTime) -> MonoTime {
        let share = |share: f64| self.objective.mul_f64(share);
        let answer = self.usual_time.mul_f64(ANSWER_MARGIN);
        let fast_slot_wait = share(FAST_SLOT_WAIT_SHARE).min(self.objective.saturating_sub(answer));
        (self.arrived + fast_slot_wait).max(since + share(MIN_FAST_SLOT_WAIT_SHARE))
    }
}
