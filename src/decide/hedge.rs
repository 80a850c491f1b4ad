//! When a request that is in progress at one target is sent to a second one.
//!
//! A machine that was calm when the request was sent may slow down while it works on it, and its target tells so when
//! it is probed. A request that takes long on a calm machine is a long request: a second target would take as long.

use std::time::Duration;

use super::probed_pool::LoadReading;
use crate::units::MonoTime;

/// Looks at the target within the objective.
const CHECKS_PER_OBJECTIVE: u32 = 6;

/// Part of the usual time that a request is expected to need at least, however long it has been in progress.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// Times the usual time that the rest must be expected to take for a second target to be faster.
const MIN_GAIN: f64 = 1.1;

/// One request in progress.
#[derive(Debug, Clone, Copy)]
pub struct InFlightRequest {
    /// When the caller's request arrived.
    pub arrived: MonoTime,
    /// When it was sent.
    pub sent: MonoTime,
    /// Time after `arrived` within which the answer is of full use.
    pub objective: Duration,
    /// Usual time from a send to its answer.
    pub usual_time: Duration,
}

/// What to do about a request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send it to a second target now.
    SendNow,
    /// Look again then.
    CheckAgainAt(MonoTime),
}

/// Decides by the target's latest reading, if it is fresh.
pub fn decide(now: MonoTime, request: &InFlightRequest, reading: Option<LoadReading>) -> HedgeDecision {
    let useful_until = request.arrived + request.objective;
    if now >= useful_until {
        // Whatever holds it up, the answer is late; a second target guards against none at all.
        return HedgeDecision::SendNow;
    }
    let elapsed_s = now.since(request.sent).as_secs_f64();
    let usual_s = request.usual_time.as_secs_f64();
    let remaining_s = (usual_s - elapsed_s).max(usual_s * MIN_REMAINING_SHARE);
    let is_slow = reading.is_some_and(|r| remaining_s * r.slowdown > usual_s * MIN_GAIN);
    if is_slow && now + request.usual_time <= useful_until {
        return HedgeDecision::SendNow;
    }
    HedgeDecision::CheckAgainAt((now + request.objective / CHECKS_PER_OBJECTIVE).min(useful_until))
}
