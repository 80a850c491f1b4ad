//! Pool of one service's targets that report their load when probed, and the choice among them.
//!
//! Targets share machines with other processes, and a machine may slow down several times over for a
//! fraction of a second. Counts of this instance's own requests don't show that. A target is therefore
//! probed at the moment of choice unless a recent reading exists: a probe takes a millisecond or two,
//! whereas a request on a slow machine loses hundreds.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

use super::{
    directory::{DirectoryChange, Listing},
    duration::DurationHistogram,
    wait_stage::WaitStage,
};
use crate::{
    collections::HashMap,
    units::{DataCentre, MonoTime, TargetId},
};

/// Maximum age of a reading that allows a send without another probe.
const FRESH_AGE: Duration = Duration::from_millis(12);

/// Maximum age of a reading that is used at all; machines change their speed about as often.
const USABLE_AGE: Duration = Duration::from_millis(150);

/// Maximum age of a reading that proves that probes of the service are answered.
const PROBES_WORKING_AGE: Duration = Duration::from_secs(1);

/// Maximum slowdown of a machine that counts as running at normal speed.
const MAX_NORMAL_SLOWDOWN: f64 = 1.5;

/// Slowdown assumed for a target without a usable reading: the mean over normal and slow machines.
const ASSUMED_SLOWDOWN: f64 = 2.0;

/// Share of choices in which a target that has just started ranks like any other; a few requests warm it up.
const COLD_TARGET_SHARE: f64 = 0.3;

/// Addition to the rank in the probe order of a target that has just started, in all other choices: it ranks
/// behind targets without a reading.
const ORDER_COLD_OFFSET: f64 = 2.0;

/// Share of a target's slots up to which late calls may use it.
const SPARE_SLOT_FILL: f64 = 0.5;

/// Capacity of the probe budget in seconds of its rate; allows a burst of probes at peak load.
const PROBE_BURST_S: f64 = 20.0;

/// Probes per second and target that are assumed to be allowed while the number of instances is unknown.
const ASSUMED_PROBES_PER_S: f64 = 4.0;

/// Number of targets probed at once in the first round of a choice.
const FIRST_ROUND_PROBES: usize = 2;

/// Number of targets probed at once in later rounds.
const LATER_ROUND_PROBES: usize = 3;

/// Maximum random part of a target's rank in the probe order, so that instances don't all probe the same
/// targets.
const ORDER_JITTER: f64 = 0.3;

/// Maximum part of a target's rank in the probe order that is random but fixed for each instance and target.
/// An instance thereby returns to the same targets while its connections to them are open, and other
/// instances prefer other targets.
const ORDER_AFFINITY: f64 = 0.6;

/// Addition to the rank in the probe order of targets in other data centres, since traffic between data
/// centres is paid for.
const ORDER_REMOTE_OFFSET: f64 = 0.3;

/// Cost of sending to another data centre, as a share of one request's usual time.
const REMOTE_COST: f64 = 0.02;

/// Time in which the penalty of a target halves, in seconds.
const PENALTY_HALF_LIFE_S: f64 = 1.5;

/// Maximum penalty of a target.
const MAX_PENALTY: f64 = 4.0;

/// Penalty from which a target counts as suspect and is not used by calls that can still be in time.
const SUSPECT_PENALTY: f64 = 0.7;

/// Expected extra time for each unit of penalty, in multiples of a request's usual time.
const PENALTY_COST: f64 = 2.0;

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
struct Target {
    listing: Listing,
    is_near: bool,
    /// Random position of the target in this instance's probe order, from 0 to 1.
    affinity: f64,
    /// Time until which it is slow after its start.
    cold_until: MonoTime,
    reading: Option<(LoadReading, MonoTime)>,
    /// This instance's attempts in progress.
    own_in_flight: u32,
    /// This instance's attempts since the target was added.
    sent: u64,
    /// This instance's attempts that the latest reading does not include.
    sent_since: u32,
    last_sent_at: MonoTime,
    is_probing: bool,
    penalty: f64,
    penalty_updated_at: MonoTime,
}

impl Target {
    fn new(listing: Listing, is_near: bool, affinity: f64) -> Self {
        Self {
            listing,
            is_near,
            affinity,
            cold_until: MonoTime::default(),
            reading: None,
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
    fn order_offset(&self) -> f64 {
        self.affinity * ORDER_AFFINITY + if self.is_near { 0.0 } else { ORDER_REMOTE_OFFSET }
    }

    fn penalty(&self, now: MonoTime) -> f64 {
        let halvings = now.since(self.penalty_updated_at).as_secs_f64() / PENALTY_HALF_LIFE_S;
        self.penalty * (-halvings).exp2()
    }

    fn add_penalty(&mut self, now: MonoTime, amount: f64) {
        self.penalty = (self.penalty(now) + amount).clamp(0.0, MAX_PENALTY);
        self.penalty_updated_at = now;
    }

    fn reading_age(&self, now: MonoTime) -> Option<Duration> {
        self.reading.map(|(_, at)| now.since(at))
    }

    /// Returns the expected duration of a request sent now, in multiples of its usual time.
    fn expected_time(&self, now: MonoTime) -> f64 {
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

    /// Returns whether a request would be processed at once and at normal speed.
    fn has_fast_slot(&self, now: MonoTime) -> bool {
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
    fn has_spare_slot(&self, now: MonoTime) -> bool {
        let Some((reading, at)) = self.reading else { return false };
        let held = f64::from(reading.running + reading.waiting + self.sent_since);
        now.since(at) <= USABLE_AGE
            && (held == 0.0 || held + 1.0 <= f64::from(reading.slots) * SPARE_SLOT_FILL)
    }
}

/// Token bucket of probes.
#[derive(Debug)]
struct ProbeBudget {
    /// Maximum rate of probes from this instance to one target, in probes per second.
    per_target_per_s: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl ProbeBudget {
    /// Takes up to `wanted` tokens and returns how many were taken.
    fn take(&mut self, now: MonoTime, targets: usize, wanted: usize) -> usize {
        let per_s = self.per_target_per_s * targets as f64;
        let filled = self.tokens + now.since(self.refilled_at).as_secs_f64() * per_s;
        self.tokens = filled.min(per_s * PROBE_BURST_S);
        self.refilled_at = now;
        let taken = wanted.min(self.tokens as usize);
        self.tokens -= taken as f64;
        taken
    }
}

/// Next step towards a target for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the call to this target.
    Send(Listing),
    /// Probe these targets, and choose again once one of them has answered.
    Probe(Vec<Listing>),
    /// Choose again when more is known, and no later than after this time.
    Wait(Duration),
    /// No target may take the call.
    NoTarget,
}

/// State of one call that the choice of its target depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Targets that have or had an attempt of this call.
    pub excluded: &'a [TargetId],
    /// Rounds of probes made so far for this choice.
    pub probe_rounds: u32,
    /// Which slots the call may take at the present stage of its waiting time.
    pub stage: WaitStage,
    /// Number of waiting calls that are served before this one.
    pub calls_ahead: usize,
}

/// Targets of one service, with their readings.
#[derive(Debug)]
pub struct ProbedPool {
    data_centre: DataCentre,
    targets: HashMap<TargetId, Target>,
    /// Durations of answered attempts.
    answer_times: DurationHistogram,
    probe_budget: ProbeBudget,
    rng: SmallRng,
}

impl ProbedPool {
    /// Creates a pool without targets, for an instance in `data_centre`.
    pub fn new(data_centre: DataCentre, rng: SmallRng) -> Self {
        let probe_budget = ProbeBudget {
            per_target_per_s: ASSUMED_PROBES_PER_S,
            tokens: f64::INFINITY,
            refilled_at: MonoTime::default(),
        };
        Self {
            data_centre,
            targets: HashMap::default(),
            answer_times: DurationHistogram::default(),
            probe_budget,
            rng,
        }
    }

    /// Sets the maximum rate of probes from this instance to one target, in probes per second.
    pub fn set_probe_rate(&mut self, per_target_per_s: f64) {
        self.probe_budget.per_target_per_s = per_target_per_s;
    }

    /// Returns the median time from sending a request to the end of its response.
    pub fn usual_time(&self) -> Duration {
        self.answer_times.median()
    }

    /// Applies a change of the directory.
    pub fn apply_change(&mut self, now: MonoTime, change: &DirectoryChange) {
        match change {
            DirectoryChange::Added(listing) => {
                let is_near = listing.data_centre == self.data_centre;
                let mut target = Target::new(listing.clone(), is_near, self.rng.random());
                target.cold_until = now + listing.warm_up;
                self.targets.insert(listing.id.clone(), target);
            }
            DirectoryChange::Updated(listing) => {
                if let Some(target) = self.targets.get_mut(&listing.id) {
                    if target.listing.warm_up != listing.warm_up {
                        target.cold_until = now + listing.warm_up;
                    }
                    target.listing = listing.clone();
                }
            }
            DirectoryChange::Removed(id) => {
                self.targets.remove(id);
            }
        }
    }

    /// Returns whether any target takes requests.
    pub fn has_target(&self) -> bool {
        self.targets.values().any(|t| !t.listing.draining)
    }

    /// Returns the total number of slots of all targets that are not draining.
    pub fn slots(&self) -> u32 {
        let taking = self.targets.values().filter(|t| !t.listing.draining);
        taking.map(|t| t.reading.map_or(t.listing.slots, |(r, _)| r.slots)).sum()
    }

    /// Chooses a target for a call, or the step that must come first.
    pub fn choose_target(&mut self, now: MonoTime, request: &ChoiceRequest) -> Choice {
        let is_acceptable = |t: &Target| match request.stage {
            WaitStage::FastSlot => t.has_fast_slot(now),
            WaitStage::SpareSlot => t.has_spare_slot(now),
            WaitStage::Expired => false,
        };
        match self.best_target(now, request, is_acceptable) {
            Some((best, count)) if count > request.calls_ahead => return self.start_send(now, &best),
            Some(_) => return Choice::Wait(FRESH_AGE / 2),
            None => {}
        }
        if request.stage == WaitStage::Expired {
            return self.choose_unread(now, request);
        }
        self.choose_probes(now, request)
    }

    /// Records the result of a probe; `reading` is `None` if it failed. `marker` is the value that
    /// [`start_probe`](Self::start_probe) returned.
    pub fn finish_probe(&mut self, now: MonoTime, id: &TargetId, marker: u64, reading: Option<LoadReading>) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.is_probing = false;
        let Some(reading) = reading else {
            target.reading = None;
            target.add_penalty(now, 1.0);
            return;
        };
        let running = reading.running.max(target.own_in_flight);
        target.reading = Some((LoadReading { running, ..reading }, now));
        target.sent_since = u32::try_from(target.sent - marker).unwrap_or(u32::MAX);
    }

    /// Records the start of a probe. Returns a marker to pass to [`finish_probe`](Self::finish_probe), or
    /// `None` if a probe of the target is already in flight.
    pub fn start_probe(&mut self, id: &TargetId) -> Option<u64> {
        let target = self.targets.get_mut(id)?;
        (!std::mem::replace(&mut target.is_probing, true)).then_some(target.sent)
    }

    /// Records a load reading that came with a response.
    pub fn record_reading(&mut self, now: MonoTime, id: &TargetId, reading: LoadReading) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.reading = Some((reading, now));
        // A request sent this recently had probably not arrived yet when the target took the reading.
        let just_sent = now.since(target.last_sent_at) < Duration::from_millis(3);
        target.sent_since = u32::from(just_sent);
    }

    /// Records the duration of an attempt that was answered.
    pub fn record_duration(&mut self, time: Duration) {
        self.answer_times.record(time);
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: MonoTime, id: &TargetId, end: HealthSignal) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.own_in_flight = target.own_in_flight.saturating_sub(1);
        match end {
            HealthSignal::Answered => target.add_penalty(now, -0.5),
            HealthSignal::Refused => target.add_penalty(now, 0.5),
            HealthSignal::Failed | HealthSignal::Silent => target.add_penalty(now, 1.0),
            HealthSignal::Neutral => {}
        }
    }

    /// Returns the latest load reading of a target and its age.
    pub fn latest_reading(&self, now: MonoTime, id: &TargetId) -> Option<(LoadReading, Duration)> {
        self.targets.get(id)?.reading.map(|(reading, at)| (reading, now.since(at)))
    }

    /// Returns the eligible target with the lowest expected time, and the number of eligible targets.
    fn best_target(
        &self,
        now: MonoTime,
        request: &ChoiceRequest,
        is_acceptable: impl Fn(&Target) -> bool,
    ) -> Option<(TargetId, usize)> {
        let eligible =
            self.targets.values().filter(|t| is_eligible(t, request) && is_acceptable(t)).collect::<Vec<_>>();
        let best = eligible.iter().min_by(|a, b| a.expected_time(now).total_cmp(&b.expected_time(now)))?;
        Some((best.listing.id.clone(), eligible.len()))
    }

    /// Chooses the targets to probe next, within the probe budget.
    fn choose_probes(&mut self, now: MonoTime, request: &ChoiceRequest) -> Choice {
        let eligible = self.targets.values().filter(|t| is_eligible(t, request)).collect::<Vec<_>>();
        if eligible.is_empty() {
            return Choice::NoTarget;
        }
        let in_flight = eligible.iter().filter(|t| t.is_probing).count();
        let wanted = if request.probe_rounds == 0 { FIRST_ROUND_PROBES } else { LATER_ROUND_PROBES };
        let rng = &mut self.rng;
        let mut stale = eligible
            .into_iter()
            .filter(|t| !t.is_probing && t.reading_age(now).is_none_or(|age| age > FRESH_AGE))
            .map(|t| {
                let is_demoted = now < t.cold_until && !rng.random_bool(COLD_TARGET_SHARE);
                let cold = if is_demoted { ORDER_COLD_OFFSET } else { 0.0 };
                (t.expected_time(now) + t.order_offset() + cold + rng.random_range(0.0..ORDER_JITTER), t)
            })
            .collect::<Vec<_>>();
        stale.sort_by(|a, b| a.0.total_cmp(&b.0));
        let wanted = wanted.saturating_sub(in_flight).min(stale.len());
        let allowed = self.probe_budget.take(now, self.targets.len(), wanted);
        let probes = stale.into_iter().take(allowed).map(|(_, t)| t.listing.clone()).collect::<Vec<_>>();
        if !probes.is_empty() {
            return Choice::Probe(probes);
        }
        Choice::Wait(FRESH_AGE / 2)
    }

    /// Chooses a target without readings if the service has had none lately, so that a service whose probes
    /// all fail is still served.
    fn choose_unread(&mut self, now: MonoTime, request: &ChoiceRequest) -> Choice {
        let was_read_recently = |t: &Target| t.reading_age(now).is_some_and(|age| age <= PROBES_WORKING_AGE);
        if self.targets.values().any(was_read_recently) {
            return Choice::NoTarget;
        }
        let best = self.best_target(now, request, |t| t.own_in_flight < t.listing.slots);
        best.map_or(Choice::NoTarget, |(id, _count)| self.start_send(now, &id))
    }

    /// Records a send to a target and returns it as the choice.
    fn start_send(&mut self, now: MonoTime, id: &TargetId) -> Choice {
        let Some(target) = self.targets.get_mut(id) else { return Choice::NoTarget };
        target.own_in_flight += 1;
        target.sent += 1;
        target.sent_since += 1;
        target.last_sent_at = now;
        Choice::Send(target.listing.clone())
    }
}

fn is_eligible(target: &Target, request: &ChoiceRequest) -> bool {
    !target.listing.draining && !request.excluded.contains(&target.listing.id)
}
