//! Hedging: when a request that is in progress at one target is also sent to a second one.
//!
//! A machine that was fast when the request was sent may slow down while it works on it; its target reports
//! that when probed. Or the request takes much longer than usual there for a reason that no reading shows; a
//! second target usually answers it in the usual time.

use std::time::Duration;

use super::probed_target::LoadReading;
use crate::units::MonoTime;

/// Number of checks within the latency objective.
const CHECKS_PER_OBJECTIVE: u32 = 6;

/// Minimum share of the usual time that a request is expected to still need, however long it has been in
/// progress.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// The remaining work must be expected to take at least this many times the usual time for a second target
/// to be faster.
const MIN_GAIN: f64 = 1.1;

/// A request counts as overdue at its target after this many times the usual time.
pub const OVERDUE_RATIO: f64 = 2.0;

/// One request in progress.
#[derive(Debug, Clone, Copy)]
pub struct InFlightRequest {
    /// When the caller's request arrived.
    pub arrived: MonoTime,
    /// When the first attempt was sent.
    pub sent: MonoTime,
    /// Latency objective: the time after `arrived` within which a response is of full use.
    pub objective: Duration,
    /// Median time from sending a request to its response.
    pub usual_time: Duration,
    /// Time after `sent` from which the request is overdue; `None` while no usual time has been learned.
    pub overdue_after: Option<Duration>,
}

/// What to do about a request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send the request to a second target now.
    SendNow,
    /// Check again at this time.
    CheckAgainAt(MonoTime),
}

/// Decides from the target's latest load reading; `reading` is `None` if there is no fresh one.
pub fn decide(now: MonoTime, request: &InFlightRequest, reading: Option<LoadReading>) -> HedgeDecision {
    let useful_until = request.arrived + request.objective;
    if now >= useful_until {
        // The response is late for whatever reason; a second target guards against having none at all.
        return HedgeDecision::SendNow;
    }
    let elapsed_s = now.since(request.sent).as_secs_f64();
    let usual_s = request.usual_time.as_secs_f64();
    let remaining_s = (usual_s - elapsed_s).max(usual_s * MIN_REMAINING_SHARE);
    let is_slow = reading.is_some_and(|r| remaining_s * r.slowdown > usual_s * MIN_GAIN);
    let overdue_at = request.overdue_after.map(|after| request.sent + after);
    let is_overdue = overdue_at.is_some_and(|at| now >= at);
    if (is_slow || is_overdue) && now + request.usual_time <= useful_until {
        return HedgeDecision::SendNow;
    }
    let next_check = (now + request.objective / CHECKS_PER_OBJECTIVE).min(useful_until);
    HedgeDecision::CheckAgainAt(overdue_at.filter(|at| *at > now).map_or(next_check, |at| at.min(next_check)))
}
