//! Targets of one service that tell their load when probed, and the choice among them.
//!
//! Targets share machines with others, and a machine may slow down several times over for a fraction of a second.
//! Counts of own requests do not show that, so a target is probed at the moment of choice unless a reading is fresh
//! enough: a probe takes a millisecond or two, a request on a slow machine loses hundreds.

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

/// Age up to which a reading decides without another probe.
const FRESH_AGE: Duration = Duration::from_millis(12);

/// Age up to which a reading says more than nothing; machines change about as often.
const USABLE_AGE: Duration = Duration::from_millis(150);

/// Age up to which a reading shows that probes are answered.
const PROBES_WORKING_AGE: Duration = Duration::from_secs(1);

/// Slowdown up to which a machine counts as calm.
const MAX_NORMAL_SLOWDOWN: f64 = 1.5;

/// Slowdown assumed of a target without a telling reading: the mean over calm and slow machines.
const ASSUMED_SLOWDOWN: f64 = 2.0;

/// Part of the choices in which a target that has just started ranks like the others: a few requests warm it up.
const COLD_TARGET_SHARE: f64 = 0.3;

/// How far it goes back in the order of probes otherwise: behind those without a reading.
const COLD_TARGET_PENALTY: f64 = 2.0;

/// Part of the slots up to which a target does not slow down by its own load.
const HEADROOM_FILL: f64 = 0.8;

/// Part of a target's slots up to which calls that are late take one.
const SPARE_SLOT_FILL: f64 = 0.5;

/// Times the usual time from which on targets count as slowed by their own load.
const FULL_SLOWDOWN_RATIO: f64 = 1.25;

/// Seconds of probes that may be saved up for a crest.
const PROBE_BURST_S: f64 = 20.0;

/// Probes a second and target that are assumed to be allowed while the number of instances is not known.
const ASSUMED_PROBES_PER_S: f64 = 4.0;

/// Slowdown of a target whose slots are nearly all taken.
const ASSUMED_FULL_SLOWDOWN: f64 = 1.7;

/// Targets probed at once in the first round of a choice.
const FIRST_ROUND_PROBES: usize = 2;

/// Targets probed at once in later rounds.
const LATER_ROUND_PROBES: usize = 3;

/// Random part of the order in which targets are probed, so that instances do not all ask the same ones.
const ORDER_JITTER: f64 = 0.3;

/// Part of the order in which targets are probed that is this instance's own and stays: it comes back to the same
/// targets while their connections are open, and other instances to others.
const ORDER_AFFINITY: f64 = 0.6;

/// The same for targets in other data centres: bytes on the way there are paid for.
const ORDER_REMOTE_PENALTY: f64 = 0.3;

/// Load that the way to another data centre stands for, in parts of one request's time.
const REMOTE_COST: f64 = 0.02;

/// Time in which what is held against a target halves.
const PENALTY_HALF_LIFE_S: f64 = 1.5;

/// Most that is held against a target.
const MAX_PENALTY: f64 = 4.0;

/// Fault from which a target counts as suspicious.
const SUSPECT_PENALTY: f64 = 0.7;

/// Time in requests that one unit of fault stands for.
const PENALTY_COST: f64 = 2.0;

/// What a target said of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReading {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests it can work on at once.
    pub slots: u32,
    /// Times longer than usual that work takes on its machine at the moment.
    pub slowdown: f64,
}

/// How a send to a target went, as far as it says something of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// A good answer.
    Answered,
    /// It refused the request without running it.
    Refused,
    /// It failed the request, broke off or sent something else.
    Failed,
    /// It was still silent when the send was given up.
    Silent,
    /// The send ended for another reason.
    Neutral,
}

#[derive(Debug)]
struct Target {
    listing: Listing,
    is_near: bool,
    /// Place in this instance's own order, from 0 to 1.
    affinity: f64,
    /// Until when it is slow after its start.
    cold_until: MonoTime,
    reading: Option<(LoadReading, MonoTime)>,
    /// Own sends in progress.
    own_in_flight: u32,
    /// Own sends since the start.
    sent: u64,
    /// Own sends that the reading does not include.
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

    /// Returns its place in the order in which this instance probes, all else being equal.
    fn order_offset(&self) -> f64 {
        self.affinity * ORDER_AFFINITY + if self.is_near { 0.0 } else { ORDER_REMOTE_PENALTY }
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

    /// Returns how many times its usual time a request sent now would take.
    fn expected_time(&self, now: MonoTime) -> f64 {
        let known = self.reading.filter(|(_, at)| now.since(*at) <= USABLE_AGE).map(|(reading, _)| reading);
        let slots = f64::from(known.map_or(self.listing.slots, |r| r.slots).max(1));
        let (slowdown, held) = match known {
            Some(r) => (r.slowdown, f64::from(r.running + r.waiting + self.sent_since)),
            None => (ASSUMED_SLOWDOWN, f64::from(self.own_in_flight)),
        };
        let fill = if has_headroom(held, slots) { 1.0 } else { ASSUMED_FULL_SLOWDOWN };
        let queue = (held + 1.0 - slots).max(0.0) / slots;
        let remote_cost = if self.is_near { 0.0 } else { REMOTE_COST };
        slowdown * (fill + queue) + remote_cost + self.penalty(now) * PENALTY_COST
    }

    /// Returns whether a request would be served at once, and at the usual speed unless `may_fill` the last slots.
    fn has_fast_slot(&self, now: MonoTime, may_fill: bool) -> bool {
        let Some((reading, at)) = self.reading else { return false };
        let held = f64::from(reading.running + reading.waiting + self.sent_since);
        let has_room = has_room(held, f64::from(reading.slots), may_fill);
        now.since(at) <= FRESH_AGE
            && reading.slowdown <= MAX_NORMAL_SLOWDOWN
            && has_room
            && self.penalty(now) < SUSPECT_PENALTY
    }

    /// Returns whether it has a free slot that calls in time will have no use for.
    ///
    /// On a slow machine a late call stays for several times as long, and keeps its slot when the machine is calm again.
    fn has_spare_slot(&self, now: MonoTime) -> bool {
        let Some((reading, at)) = self.reading else { return false };
        let held = f64::from(reading.running + reading.waiting + self.sent_since);
        now.since(at) <= USABLE_AGE
            && (held == 0.0 || held + 1.0 <= f64::from(reading.slots) * SPARE_SLOT_FILL)
    }
}

/// Returns whether a target that holds some requests takes one more without slowing down.
fn has_headroom(held: f64, slots: f64) -> bool {
    held == 0.0 || held + 1.0 <= slots * HEADROOM_FILL
}

fn has_room(held: f64, slots: f64, may_fill: bool) -> bool {
    has_headroom(held, slots) || (may_fill && held + 1.0 <= slots)
}

/// Probes that may be sent, saved up over a while.
#[derive(Debug)]
struct ProbeBudget {
    /// Probes a second that one target may get from this instance.
    per_target_per_s: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl ProbeBudget {
    /// Takes up to `wanted` probes.
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

/// What a call should do to find its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send to this target.
    Send {
        /// Target.
        listing: Listing,
        /// Whether the call takes one of its last slots.
        takes_last_slot: bool,
    },
    /// Probe these targets, then ask again once one has answered.
    Probe(Vec<Listing>),
    /// Ask again when something is known, at the latest after this time.
    Wait(Duration),
    /// No target may take the call.
    NoTarget,
}

/// What a call asks.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Targets that have or had this call.
    pub excluded: &'a [TargetId],
    /// Rounds of probes that were made for this choice.
    pub probe_rounds: u32,
    /// How particular the call is.
    pub stage: WaitStage,
    /// Waiting calls that go before this one.
    pub calls_ahead: usize,
}

/// Targets of one service.
#[derive(Debug)]
pub struct ProbedPool {
    data_centre: DataCentre,
    targets: HashMap<TargetId, Target>,
    /// Times of answered sends to targets with room to spare.
    headroom_times: DurationHistogram,
    /// Times of answered sends that took one of the last slots.
    last_slot_times: DurationHistogram,
    probe_budget: ProbeBudget,
    rng: SmallRng,
}

impl ProbedPool {
    /// Creates a pool without targets for an instance in a data centre.
    pub fn new(data_centre: DataCentre, rng: SmallRng) -> Self {
        let probe_budget = ProbeBudget {
            per_target_per_s: ASSUMED_PROBES_PER_S,
            tokens: f64::INFINITY,
            refilled_at: MonoTime::default(),
        };
        Self {
            data_centre,
            targets: HashMap::default(),
            headroom_times: DurationHistogram::default(),
            last_slot_times: DurationHistogram::default(),
            probe_budget,
            rng,
        }
    }

    /// Sets how many probes a second one target may get from this instance.
    pub fn set_probe_rate(&mut self, per_target_per_s: f64) {
        self.probe_budget.per_target_per_s = per_target_per_s;
    }

    /// Returns the usual time from a send to the end of its answer.
    pub fn usual_time(&self) -> Duration {
        self.headroom_times.median()
    }

    /// Returns whether targets work much slower when nearly all of their slots are taken.
    ///
    /// A request in the last slot then delays those in the others, too.
    fn slows_when_full(&self) -> bool {
        let are_learned =
            self.headroom_times.has_enough_samples() && self.last_slot_times.has_enough_samples();
        are_learned
            && self.last_slot_times.median() > self.headroom_times.median().mul_f64(FULL_SLOWDOWN_RATIO)
    }

    /// Follows a change of the directory.
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

    /// Returns the requests that targets work on at once, leaving ones aside.
    pub fn slots(&self) -> u32 {
        let taking = self.targets.values().filter(|t| !t.listing.draining);
        taking.map(|t| t.reading.map_or(t.listing.slots, |(r, _)| r.slots)).sum()
    }

    /// Chooses a target for a call, or what to do first.
    pub fn choose_target(&mut self, now: MonoTime, request: &ChoiceRequest) -> Choice {
        let may_fill = !self.slows_when_full();
        let may = |t: &Target| match request.stage {
            WaitStage::Headroom => t.has_fast_slot(now, false),
            WaitStage::FreeSlot => t.has_fast_slot(now, may_fill),
            WaitStage::SpareSlot => t.has_spare_slot(now),
            WaitStage::Expired => false,
        };
        match self.best_target(now, request, may) {
            Some((best, count)) if count > request.calls_ahead => return self.start_send(now, &best),
            Some(_) => return Choice::Wait(FRESH_AGE / 2),
            None => {}
        }
        if request.stage == WaitStage::Expired {
            return self.choose_unread(now, request);
        }
        self.choose_probes(now, request)
    }

    /// Takes the end of a probe; no reading means that it was not answered well.
    pub fn finish_probe(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        sent_at_start: u64,
        reading: Option<LoadReading>,
    ) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.is_probing = false;
        let Some(reading) = reading else {
            target.reading = None;
            target.add_penalty(now, 1.0);
            return;
        };
        let running = reading.running.max(target.own_in_flight);
        target.reading = Some((LoadReading { running, ..reading }, now));
        target.sent_since = u32::try_from(target.sent - sent_at_start).unwrap_or(u32::MAX);
    }

    /// Notes that a probe starts; returns the mark to give with its result, or `None` when one is under way.
    pub fn start_probe(&mut self, id: &TargetId) -> Option<u64> {
        let target = self.targets.get_mut(id)?;
        (!std::mem::replace(&mut target.is_probing, true)).then_some(target.sent)
    }

    /// Takes a reading that came with an answer.
    pub fn record_reading(&mut self, now: MonoTime, id: &TargetId, reading: LoadReading) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.reading = Some((reading, now));
        let just_sent = now.since(target.last_sent_at) < Duration::from_millis(3);
        target.sent_since = u32::from(just_sent);
    }

    /// Notes how long a send took that was answered.
    pub fn record_duration(&mut self, time: Duration, took_last_slot: bool) {
        let times = if took_last_slot { &mut self.last_slot_times } else { &mut self.headroom_times };
        times.record(time);
    }

    /// Notes the end of a send.
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

    /// Returns the target's latest reading with its age.
    pub fn latest_reading(&self, now: MonoTime, id: &TargetId) -> Option<(LoadReading, Duration)> {
        self.targets.get(id)?.reading.map(|(reading, at)| (reading, now.since(at)))
    }

    /// Returns the best target for a call, and how many there are.
    fn best_target(
        &self,
        now: MonoTime,
        request: &ChoiceRequest,
        may: impl Fn(&Target) -> bool,
    ) -> Option<(TargetId, usize)> {
        let eligible =
            self.targets.values().filter(|t| is_eligible(t, request) && may(t)).collect::<Vec<_>>();
        let best = eligible.iter().min_by(|a, b| a.expected_time(now).total_cmp(&b.expected_time(now)))?;
        Some((best.listing.id.clone(), eligible.len()))
    }

    fn choose_probes(&mut self, now: MonoTime, request: &ChoiceRequest) -> Choice {
        let eligible = self.targets.values().filter(|t| is_eligible(t, request)).collect::<Vec<_>>();
        if eligible.is_empty() {
            return Choice::NoTarget;
        }
        let in_flight = eligible.iter().filter(|t| t.is_probing).count();
        let wanted = if request.probe_rounds == 0 { FIRST_ROUND_PROBES } else { LATER_ROUND_PROBES };
        let rng = &mut self.rng;
        let mut open = eligible
            .into_iter()
            .filter(|t| !t.is_probing && t.reading_age(now).is_none_or(|age| age > FRESH_AGE))
            .map(|t| {
                let is_skipped = now < t.cold_until && !rng.random_bool(COLD_TARGET_SHARE);
                let cold = if is_skipped { COLD_TARGET_PENALTY } else { 0.0 };
                (t.expected_time(now) + t.order_offset() + cold + rng.random_range(0.0..ORDER_JITTER), t)
            })
            .collect::<Vec<_>>();
        open.sort_by(|a, b| a.0.total_cmp(&b.0));
        let wanted = wanted.saturating_sub(in_flight).min(open.len());
        let allowed = self.probe_budget.take(now, self.targets.len(), wanted);
        let probes = open.into_iter().take(allowed).map(|(_, t)| t.listing.clone()).collect::<Vec<_>>();
        if !probes.is_empty() {
            return Choice::Probe(probes);
        }
        Choice::Wait(FRESH_AGE / 2)
    }

    /// Chooses without readings when none could be had, so that a service whose probes fail is still served.
    fn choose_unread(&mut self, now: MonoTime, request: &ChoiceRequest) -> Choice {
        let was_read_recently = |t: &Target| t.reading_age(now).is_some_and(|age| age <= PROBES_WORKING_AGE);
        if self.targets.values().any(was_read_recently) {
            return Choice::NoTarget;
        }
        let best = self.best_target(now, request, |t| t.own_in_flight < t.listing.slots);
        best.map_or(Choice::NoTarget, |(id, _candidates)| self.start_send(now, &id))
    }

    fn start_send(&mut self, now: MonoTime, id: &TargetId) -> Choice {
        let Some(target) = self.targets.get_mut(id) else { return Choice::NoTarget };
        let known = target.reading.map(|(r, _)| (f64::from(r.running + r.waiting), f64::from(r.slots)));
        let takes_last_slot =
            known.is_some_and(|(held, slots)| !has_headroom(held + f64::from(target.sent_since), slots));
        target.own_in_flight += 1;
        target.sent += 1;
        target.sent_since += 1;
        target.last_sent_at = now;
        Choice::Send { listing: target.listing.clone(), takes_last_slot }
    }
}

fn is_eligible(target: &Target, request: &ChoiceRequest) -> bool {
    !target.listing.draining && !request.excluded.contains(&target.listing.id)
}
