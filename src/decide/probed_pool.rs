//! Pool of one service's targets that report their load when probed, and the choice among them.
//!
//! Targets share machines with other processes, and a machine may slow down several times over for a
//! fraction of a second. Counts of this instance's own requests don't show that. A target is therefore
//! probed at the moment of choice unless a recent reading exists: a probe takes a millisecond or two,
//! whereas a request on a slow machine loses hundreds.

mod limited;
mod pauses;

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

use self::pauses::Pauses;
use super::{
    directory::{DirectoryChange, Listing},
    duration::DurationHistogram,
    hedge::OVERDUE_RATIO,
    probe_budget::ProbeBudget,
    probed_target::{FRESH_AGE, HealthSignal, LoadReading, ProbedTarget},
    rate_limit::LapsedRateLimits,
    wait_stage::WaitStage,
};
use crate::{
    collections::HashMap,
    units::{DataCentre, MonoTime, PerSecond, TargetId},
};

/// Maximum age of a reading that proves that probes of the service are answered.
const PROBES_WORKING_AGE: Duration = Duration::from_secs(1);

/// Share of choices in which a target that has just started ranks like any other; a few requests warm it up.
const COLD_TARGET_SHARE: f64 = 0.3;

/// Addition to the rank in the probe order of a target that has just started, in all other choices: it ranks
/// behind targets without a reading.
const ORDER_COLD_OFFSET: f64 = 2.0;

/// Rounds of probes after which a call without a free slot shows that the service is short of them.
const SHORTAGE_PROBE_ROUNDS: u32 = 2;

/// Time for which the service counts as short of slots after that.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(1);

/// Number of targets probed at once in the first round of a choice.
const FIRST_ROUND_PROBES: usize = 2;

/// Number of targets probed at once in later rounds.
const LATER_ROUND_PROBES: usize = 3;

/// Maximum random part of a target's rank in the probe order, so that instances don't all probe the same
/// targets.
const ORDER_JITTER: f64 = 0.3;

/// Longest pause that a target can ask for.
const MAX_PAUSE: Duration = Duration::from_hours(24);

/// Part of a pause by which it is extended at most.
const PAUSE_SPREAD: f64 = 0.1;

/// Longest time by which a pause is extended.
const MAX_PAUSE_SPREAD: Duration = Duration::from_millis(500);

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
    /// Time after which the call is not sent any more.
    pub give_up_at: MonoTime,
}

/// Targets of one service, with their readings.
#[derive(Debug)]
pub struct ProbedPool {
    data_centre: DataCentre,
    targets: HashMap<TargetId, ProbedTarget>,
    /// Durations of answered attempts.
    answer_times: DurationHistogram,
    /// Latest time at which a call found no free slot at the targets that it had probed.
    short_of_slots_at: Option<MonoTime>,
    probe_budget: ProbeBudget,
    /// Number of instances that share the targets' rate limits; `None` while unknown.
    instances: Option<u64>,
    lapsed_rate_limits: LapsedRateLimits,
    pauses: Pauses,
    rng: SmallRng,
}

impl ProbedPool {
    /// Creates a pool without targets, for an instance in `data_centre`.
    pub fn new(data_centre: DataCentre, rng: SmallRng) -> Self {
        Self {
            data_centre,
            targets: HashMap::default(),
            answer_times: DurationHistogram::default(),
            short_of_slots_at: None,
            probe_budget: ProbeBudget::default(),
            instances: None,
            lapsed_rate_limits: LapsedRateLimits::default(),
            pauses: Pauses::default(),
            rng,
        }
    }

    /// Sets the maximum rate of probes from this instance to one target, in probes per second.
    pub fn set_probe_rate(&mut self, per_target_per_s: f64) {
        self.probe_budget.set_rate(per_target_per_s);
    }

    /// Returns the median time from sending a request to the end of its response.
    pub fn usual_time(&self) -> Duration {
        self.answer_times.median()
    }

    /// Returns the time after which a request is overdue at its target; `None` while too few durations are known,
    /// and while calls have to wait for slots, which a second send would take from them.
    pub fn overdue_time(&self, now: MonoTime) -> Option<Duration> {
        let is_short = self.short_of_slots_at.is_some_and(|at| now.since(at) < SHORTAGE_MEMORY);
        let is_known = self.answer_times.has_enough_samples() && !is_short;
        is_known.then(|| self.answer_times.median().mul_f64(OVERDUE_RATIO))
    }

    /// Applies a change of the directory.
    pub fn apply_change(&mut self, now: MonoTime, change: &DirectoryChange) {
        match change {
            DirectoryChange::Added(listing) => {
                let is_near = listing.data_centre == self.data_centre;
                let mut target = ProbedTarget::new(listing.clone(), is_near, self.rng.random());
                target.cold_until = now + listing.warm_up;
                if let Some(rate_limit) = self.lapsed_rate_limits.take(listing) {
                    target.rate_limit = rate_limit;
                    target.rate_limit.set_instances(now, self.instances);
                }
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
                if let Some(removed) = self.targets.remove(id) {
                    self.lapsed_rate_limits.keep(now, &removed.listing, removed.rate_limit);
                }
            }
        }
    }

    /// Records that a target wants no requests from this instance for a time. Returns whether that is longer than
    /// what it has asked for before.
    pub fn record_pause(&mut self, now: MonoTime, id: &TargetId, pause: Duration) -> bool {
        let Some(target) = self.targets.get(id) else { return false };
        // Instances that were told at the same moment don't return at the same moment.
        let spread = pause.mul_f64(PAUSE_SPREAD).min(MAX_PAUSE_SPREAD);
        let until = now + pause.min(MAX_PAUSE) + spread.mul_f64(self.rng.random());
        !pause.is_zero() && self.pauses.record(now, &target.listing, until)
    }

    /// Returns whether a target is known, not draining, and has not asked for a pause.
    pub fn takes_requests(&self, now: MonoTime, id: &TargetId) -> bool {
        self.targets.get(id).is_some_and(|t| !t.listing.draining && !self.pauses.is_paused(now, &t.listing))
    }

    /// Returns the time until the first pause ends, if all targets that are not draining have asked for one.
    pub fn pause_left(&self, now: MonoTime) -> Option<Duration> {
        let taking = self.targets.values().filter(|t| !t.listing.draining);
        let mut first = None;
        for target in taking {
            let until = self.pauses.paused_until(now, &target.listing)?;
            first = Some(first.map_or(until, |first: MonoTime| first.min(until)));
        }
        Some(first?.since(now))
    }

    /// Returns whether any target takes requests.
    pub fn has_target(&self) -> bool {
        self.targets.values().any(|t| !t.listing.draining)
    }

    /// Returns the number of requests per second that all targets which are not draining can process.
    pub fn capacity(&self) -> PerSecond {
        let usual_s = self.usual_time().as_secs_f64();
        let capacity_of = |target: &ProbedTarget| {
            let slots = target.reading.map_or(target.listing.slots, |(reading, _)| reading.slots);
            let processed_per_s = f64::from(slots) / usual_s;
            target.rate_limit.limit().map_or(processed_per_s, |limit| f64::from(limit).min(processed_per_s))
        };
        let taking = self.targets.values().filter(|t| !t.listing.draining);
        PerSecond::from(taking.map(capacity_of).sum::<f64>())
    }

    /// Chooses a target for a call, or the step that must come first.
    pub fn choose_target(&mut self, now: MonoTime, request: &ChoiceRequest) -> Choice {
        if let Some(left) = self.pause_left(now) {
            let is_in_time = now + left < request.give_up_at;
            return if is_in_time { Choice::Wait(left) } else { Choice::NoTarget };
        }
        let is_acceptable = |t: &ProbedTarget| match request.stage {
            WaitStage::FastSlot => t.has_fast_slot(now),
            WaitStage::SpareSlot => t.has_spare_slot(now),
            WaitStage::Expired => false,
        };
        let best = self.best_target(now, request, is_acceptable);
        let free_targets = best.as_ref().map_or(0, |(_, count)| *count);
        if let Some((best, count)) = best
            && count > request.calls_ahead
        {
            return self.start_send(now, &best);
        }
        let has_unlimited =
            self.targets.values().any(|t| self.is_eligible(now, t, request) && !t.is_limited());
        // Another target may turn out to have a free slot when it is probed.
        let may_probe = has_unlimited && free_targets == 0 && request.stage != WaitStage::Expired;
        let first_round = (may_probe && request.probe_rounds == 0).then(|| self.choose_probes(now, request));
        if let Some(Choice::Probe(_)) = first_round {
            return first_round.unwrap_or(Choice::NoTarget);
        }
        if let Some(send) = self.choose_permitted(now, request, free_targets) {
            return send;
        }
        if !has_unlimited && let Some(next) = self.wait_for_permit(now, request) {
            return next;
        }
        if free_targets > 0 {
            return Choice::Wait(FRESH_AGE / 2);
        }
        if request.probe_rounds > SHORTAGE_PROBE_ROUNDS {
            self.short_of_slots_at = Some(now);
        }
        if request.stage == WaitStage::Expired {
            return self.choose_unread(now, request);
        }
        first_round.unwrap_or_else(|| self.choose_probes(now, request))
    }

    /// Records the result of a probe; `reading` is `None` if it failed. `marker` is the value that
    /// [`start_probe`](Self::start_probe) returned.
    pub fn finish_probe(&mut self, now: MonoTime, id: &TargetId, marker: u64, reading: Option<LoadReading>) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.finish_probe(now, marker, reading);
    }

    /// Records the start of a probe. Returns a marker to pass to [`finish_probe`](Self::finish_probe), or
    /// `None` if a probe of the target is already in flight or the target states a rate limit.
    pub fn start_probe(&mut self, id: &TargetId) -> Option<u64> {
        let target = self.targets.get_mut(id).filter(|t| !t.is_limited())?;
        (!std::mem::replace(&mut target.is_probing, true)).then_some(target.sent)
    }

    /// Records a load reading that came with a response.
    pub fn record_reading(&mut self, now: MonoTime, id: &TargetId, reading: LoadReading) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.record_reading(now, reading);
    }

    /// Records the duration of an attempt that was answered.
    pub fn record_duration(&mut self, time: Duration) {
        self.answer_times.record(time);
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: MonoTime, id: &TargetId, end: HealthSignal) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.record_end(now, end);
    }

    /// Forgets the failures of all targets, which were not theirs.
    pub fn forget_failures(&mut self) {
        self.targets.values_mut().for_each(ProbedTarget::forget_failures);
    }

    /// Returns the latest load reading of a target and its age.
    pub fn latest_reading(&self, now: MonoTime, id: &TargetId) -> Option<(LoadReading, Duration)> {
        self.targets.get(id)?.reading.map(|(reading, at)| (reading, now.since(at)))
    }

    /// Returns the target with the lowest expected time among the eligible ones without a rate limit, and their
    /// number.
    fn best_target(
        &self,
        now: MonoTime,
        request: &ChoiceRequest,
        is_acceptable: impl Fn(&ProbedTarget) -> bool,
    ) -> Option<(TargetId, usize)> {
        let is_open =
            |t: &&ProbedTarget| self.is_eligible(now, t, request) && !t.is_limited() && is_acceptable(t);
        let eligible = self.targets.values().filter(is_open).collect::<Vec<_>>();
        let best = eligible.iter().min_by(|a, b| a.expected_time(now).total_cmp(&b.expected_time(now)))?;
        Some((best.listing.id.clone(), eligible.len()))
    }

    /// Chooses the targets to probe next, within the probe budget.
    fn choose_probes(&mut self, now: MonoTime, request: &ChoiceRequest) -> Choice {
        let is_open = |t: &&ProbedTarget| self.is_eligible(now, t, request) && !t.is_limited();
        let eligible = self.targets.values().filter(is_open).collect::<Vec<_>>();
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
        let was_read_recently =
            |t: &ProbedTarget| t.reading_age(now).is_some_and(|age| age <= PROBES_WORKING_AGE);
        if self.targets.values().any(was_read_recently) {
            return Choice::NoTarget;
        }
        let best = self.best_target(now, request, |t| t.own_in_flight < t.listing.slots);
        best.map_or(Choice::NoTarget, |(id, _count)| self.start_send(now, &id))
    }

    /// Records a send to a target and returns it as the choice.
    fn start_send(&mut self, now: MonoTime, id: &TargetId) -> Choice {
        let Some(target) = self.targets.get_mut(id) else { return Choice::NoTarget };
        target.start_send(now);
        Choice::Send(target.listing.clone())
    }

    fn is_eligible(&self, now: MonoTime, target: &ProbedTarget, request: &ChoiceRequest) -> bool {
        let Listing { id, draining, .. } = &target.listing;
        !draining && !request.excluded.contains(id) && !self.pauses.is_paused(now, &target.listing)
    }
}
