//! One target of a probed pool: its latest reading, this instance's sends to it, and how it has failed lately.

use std::time::Duration;

use super::{directory::Listing, rate_limit::TargetRateLimit};
use crate::units::MonoTime;

/// Maximum age of a reading that allows a send without another probe.
pub(super) const FRESH_AGE: Duration = Duration::from_millis(12);

/// Maximum age of a reading that is used at all; machines change their speed about as often.
const USABLE_AGE: Duration = Duration::from_millis(150);

/// Maximum slowdown of a machine that counts as running at normal speed.
const MAX_NORMAL_SLOWDOWN: f64 = 1.5;

/// Slowdown assumed for a target without a usable reading: the mean over normal and slow machines.
const ASSUMED_SLOWDOWN: f64 = 2.0;

/// Share of a target's slots up to which late calls may use it.
const SPARE_SLOT_FILL: f64 = 0.5;

/// Maximum part of a target's rank in the probe order that is random but fixed for each instance and target.
/// An instance thereby returns to the same targets while its connections to them are open, and other
/// instances prefer other targets.
const ORDER_AFFINITY: f64 = 0.6;

/// Addition to the rank in the probe order of targets in other data centres, since traffic between data
/// centres is paid for.
const ORDER_REMOTE_OFFSET: f64 = 1.2;

/// Cost of sending to another data centre, as a share of one request's usual time.
const REMOTE_COST: f64 = 0.3;

/// Time in which the penalty of a target halves, in seconds.
const PENALTY_HALF_LIFE_S: f64 = 1.5;

/// Maximum penalty of a target.
const MAX_PENALTY: f64 = 4.0;

/// Penalty from which a target counts as suspect and is not used by calls that can still be in time.
const SUSPECT_PENALTY: f64 = 0.7;

/// Expected extra time for each unit of penalty, in multiples of a request's usual time.
const PENALTY_COST: f64 = 2.0;

/// Age up to which a send may not have reached its target yet.
const JUST_SENT_AGE: Duration = Duration::from_millis(3);

/// Load that a target reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReading {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests that wait for a slot there.
    pub waiting: u32,
    /// Number of requests that it can process at once.
    pub slots: u32,
    /// Factor by which work on its machine takes longer than usual at the moment; 1 is normal.
    pub slowdown: f64,
}

/// What the end of an attempt says about the health of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// The target sent a complete response that is not an error.
    Answered,
    /// The target refused the request without processing it.
    Refused,
    /// The target could not be reached, returned an error, or sent an incomplete or unexpected response.
    Failed,
    /// The target had not responded when the attempt was given up.
    Silent,
    /// The attempt ended for a reason that says nothing about the target.
    Neutral,
}

#[derive(Debug)]
pub(super) struct ProbedTarget {
    pub(super) listing: Listing,
    is_near: bool,
    /// Random position of the target in this instance's probe order, from 0 to 1.
    affinity: f64,
    /// Time until which it is slow after its start.
    pub(super) cold_until: MonoTime,
    pub(super) reading: Option<(LoadReading, MonoTime)>,
    pub(super) rate_limit: TargetRateLimit,
    /// This instance's attempts in progress.
    pub(super) own_in_flight: u32,
    /// This instance's attempts since the target was added.
    pub(super) sent: u64,
    /// This instance's attempts that the latest reading does not include.
    sent_since: u32,
    last_sent_at: MonoTime,
    pub(super) is_probing: bool,
    penalty: f64,
    penalty_updated_at: MonoTime,
}

impl ProbedTarget {
    pub(super) fn new(listing: Listing, is_near: bool, affinity: f64) -> Self {
        Self {
            listing,
            is_near,
            affinity,
            cold_until: MonoTime::default(),
            reading: None,
            // Any phase will do, as long as it differs between instances and targets.
            rate_limit: TargetRateLimit::new(affinity),
            own_in_flight: 0,
            sent: 0,
            sent_since: 0,
            last_sent_at: MonoTime::default(),
            is_probing: false,
            penalty: 0.0,
            penalty_updated_at: MonoTime::default(),
        }
    }

    /// Returns the fixed part of the target's rank in the probe order; lower ranks are probed first.
    pub(super) fn order_offset(&self) -> f64 {
        self.affinity * ORDER_AFFINITY + if self.is_near { 0.0 } else { ORDER_REMOTE_OFFSET }
    }

    fn penalty(&self, now: MonoTime) -> f64 {
        let halvings = now.since(self.penalty_updated_at).as_secs_f64() / PENALTY_HALF_LIFE_S;
        self.penalty * (-halvings).exp2()
    }

    pub(super) fn add_penalty(&mut self, now: MonoTime, amount: f64) {
        self.penalty = (self.penalty(now) + amount).clamp(0.0, MAX_PENALTY);
        self.penalty_updated_at = now;
    }

    pub(super) fn forget_failures(&mut self) {
        self.penalty = 0.0;
    }

    pub(super) fn reading_age(&self, now: MonoTime) -> Option<Duration> {
        self.reading.map(|(_, at)| now.since(at))
    }

    /// Returns the expected duration of a request sent now, in multiples of its usual time.
    pub(super) fn expected_time(&self, now: MonoTime) -> f64 {
        let known = self.reading.filter(|(_, at)| now.since(*at) <= USABLE_AGE).map(|(reading, _)| reading);
        let slots = f64::from(known.map_or(self.listing.slots, |r| r.slots).max(1));
        let (slowdown, held) = match known {
            Some(r) => (r.slowdown, f64::from(r.running + r.waiting + self.sent_since)),
            None => (ASSUMED_SLOWDOWN, f64::from(self.own_in_flight)),
        };
        let queue = (held + 1.0 - slots).max(0.0) / slots;
        let remote_cost = if self.is_near { 0.0 } else { REMOTE_COST };
        slowdown * (1.0 + queue) + remote_cost + self.penalty(now) * PENALTY_COST
    }

    /// Returns whether the target states a rate limit.
    pub(super) fn is_limited(&self) -> bool {
        self.rate_limit.limit().is_some()
    }

    /// Returns whether a request would be processed at once and at normal speed.
    pub(super) fn has_fast_slot(&self, now: MonoTime) -> bool {
        let Some((reading, at)) = self.reading else { return false };
        let held = f64::from(reading.running + reading.waiting + self.sent_since);
        now.since(at) <= FRESH_AGE
            && reading.slowdown <= MAX_NORMAL_SLOWDOWN
            && held + 1.0 <= f64::from(reading.slots)
            && self.penalty(now) < SUSPECT_PENALTY
    }

    /// Returns whether the target has a free slot that calls still in time don't need.
    ///
    /// On a slow machine a late call would occupy the slot for several times as long, even after the machine
    /// is back to normal speed.
    pub(super) fn has_spare_slot(&self, now: MonoTime) -> bool {
        let Some((reading, at)) = self.reading else { return false };
        let held = f64::from(reading.running + reading.waiting + self.sent_since);
        now.since(at) <= USABLE_AGE
            && (held == 0.0 || held + 1.0 <= f64::from(reading.slots) * SPARE_SLOT_FILL)
    }

    /// Records the result of a probe that started when `marker` attempts had been sent; `reading` is `None` if it
    /// failed.
    pub(super) fn finish_probe(&mut self, now: MonoTime, marker: u64, reading: Option<LoadReading>) {
        self.is_probing = false;
        let Some(reading) = reading else {
            self.reading = None;
            self.add_penalty(now, 1.0);
            return;
        };
        let running = reading.running.max(self.own_in_flight);
        self.reading = Some((LoadReading { running, ..reading }, now));
        self.sent_since = u32::try_from(self.sent - marker).unwrap_or(u32::MAX);
    }

    /// Records a reading that came with a response.
    pub(super) fn record_reading(&mut self, now: MonoTime, reading: LoadReading) {
        self.reading = Some((reading, now));
        // A request sent this recently had probably not arrived yet when the target took the reading.
        let just_sent = now.since(self.last_sent_at) < JUST_SENT_AGE;
        self.sent_since = u32::from(just_sent);
    }

    /// Records an attempt that is sent now.
    pub(super) fn start_send(&mut self, now: MonoTime) {
        self.own_in_flight += 1;
        self.sent += 1;
        self.sent_since += 1;
        self.last_sent_at = now;
    }

    /// Records the end of an attempt.
    pub(super) fn record_end(&mut self, now: MonoTime, end: HealthSignal) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        match end {
            HealthSignal::Answered => self.add_penalty(now, -0.5),
            HealthSignal::Refused => self.add_penalty(now, 0.5),
            HealthSignal::Failed | HealthSignal::Silent => self.add_penalty(now, 1.0),
            HealthSignal::Neutral => {}
        }
    }
}
