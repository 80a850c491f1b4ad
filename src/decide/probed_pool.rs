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
const FRESH: Duration = Duration::from_millis(12);

/// Age up to which a reading says more than nothing; machines change about as often.
const TELLING: Duration = Duration::from_millis(150);

/// Age up to which a reading shows that probes are answered.
const READ_LATELY: Duration = Duration::from_secs(1);

/// Slowdown up to which a machine counts as calm.
const CALM_PACE: f64 = 1.5;

/// Slowdown assumed of a target without a telling reading: the mean over calm and slow machines.
const UNKNOWN_PACE: f64 = 2.0;

/// Part of the choices in which a target that has just started ranks like the others: a few requests warm it up.
const COLD_SHARE: f64 = 0.3;

/// How far it goes back in the order of probes otherwise: behind those without a reading.
const RANK_COLD: f64 = 2.0;

/// Part of the slots up to which a target does not slow down by its own load.
const EASY_FILL: f64 = 0.8;

/// Part of a target's slots up to which calls that are late take one.
const SPARE_FILL: f64 = 0.5;

/// Times the usual time from which on targets count as slowed by their own load.
const SLOWED: f64 = 1.25;

/// Seconds of probes that may be saved up for a crest.
const PROBES_SAVED_S: f64 = 20.0;

/// Probes a second and target that are assumed to be allowed while the number of instances is not known.
const ASSUMED_PROBES_PER_S: f64 = 4.0;

/// Slowdown of a target whose slots are nearly all taken.
const FULL_PACE: f64 = 1.7;

/// Targets probed at once in the first round of a choice.
const FIRST_PROBES: usize = 2;

/// Targets probed at once in later rounds.
const MORE_PROBES: usize = 3;

/// Random part of the order in which targets are probed, so that instances do not all ask the same ones.
const RANK_JITTER: f64 = 0.3;

/// Part of the order in which targets are probed that is this instance's own and stays: it comes back to the same
/// targets while their connections are open, and other instances to others.
const RANK_HABIT: f64 = 0.6;

/// The same for targets in other data centres: bytes on the way there are paid for.
const RANK_FAR: f64 = 0.3;

/// Load that the way to another data centre stands for, in parts of one request's time.
const FAR_COST: f64 = 0.02;

/// Time in which what is held against a target halves.
const FAULT_HALF_LIFE_S: f64 = 1.5;

/// Most that is held against a target.
const MOST_FAULT: f64 = 4.0;

/// Fault from which a target counts as suspicious.
const SUSPICIOUS_FAULT: f64 = 0.7;

/// Time in requests that one unit of fault stands for.
const FAULT_COST: f64 = 2.0;

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
    habit: f64,
    /// Until when it is slow after its start.
    cold_until: MonoTime,
    reading: Option<(LoadReading, MonoTime)>,
    /// Own sends in progress.
    own: u32,
    /// Own sends since the start.
    sent: u64,
    /// Own sends that the reading does not include.
    sent_since: u32,
    last_sent_at: MonoTime,
    is_probed: bool,
    fault: f64,
    fault_at: MonoTime,
}

impl Target {
    fn new(listing: Listing, is_near: bool, habit: f64) -> Self {
        Self {
            listing,
            is_near,
            habit,
            cold_until: MonoTime::default(),
            reading: None,
            own: 0,
            sent: 0,
            sent_since: 0,
            last_sent_at: MonoTime::default(),
            is_probed: false,
            fault: 0.0,
            fault_at: MonoTime::default(),
        }
    }

    /// Returns its place in the order in which this instance probes, all else being equal.
    fn habit(&self) -> f64 {
        self.habit * RANK_HABIT + if self.is_near { 0.0 } else { RANK_FAR }
    }

    fn fault(&self, now: MonoTime) -> f64 {
        let halvings = now.since(self.fault_at).as_secs_f64() / FAULT_HALF_LIFE_S;
        self.fault * (-halvings).exp2()
    }

    fn add_fault(&mut self, now: MonoTime, amount: f64) {
        self.fault = (self.fault(now) + amount).clamp(0.0, MOST_FAULT);
        self.fault_at = now;
    }

    fn age(&self, now: MonoTime) -> Option<Duration> {
        self.reading.map(|(_, at)| now.since(at))
    }

    /// Returns how many times its usual time a request sent now would take.
    fn expected(&self, now: MonoTime) -> f64 {
        let told = self.reading.filter(|(_, at)| now.since(*at) <= TELLING).map(|(reading, _)| reading);
        let slots = f64::from(told.map_or(self.listing.slots, |r| r.slots).max(1));
        let (slowdown, held) = match told {
            Some(r) => (r.slowdown, f64::from(r.running + r.waiting + self.sent_since)),
            None => (UNKNOWN_PACE, f64::from(self.own)),
        };
        let fill = if has_easy_room(held, slots) { 1.0 } else { FULL_PACE };
        let queue = (held + 1.0 - slots).max(0.0) / slots;
        let way = if self.is_near { 0.0 } else { FAR_COST };
        slowdown * (fill + queue) + way + self.fault(now) * FAULT_COST
    }

    /// Returns whether a request would be served at once, and at the usual speed unless `may_fill` the last slots.
    fn is_calm(&self, now: MonoTime, may_fill: bool) -> bool {
        let Some((reading, at)) = self.reading else { return false };
        let held = f64::from(reading.running + reading.waiting + self.sent_since);
        let has_room = has_room(held, f64::from(reading.slots), may_fill);
        now.since(at) <= FRESH
            && reading.slowdown <= CALM_PACE
            && has_room
            && self.fault(now) < SUSPICIOUS_FAULT
    }

    /// Returns whether it has a free slot that calls in time will have no use for.
    ///
    /// On a slow machine a late call stays for several times as long, and keeps its slot when the machine is calm again.
    fn has_spare_slot(&self, now: MonoTime) -> bool {
        let Some((reading, at)) = self.reading else { return false };
        let held = f64::from(reading.running + reading.waiting + self.sent_since);
        now.since(at) <= TELLING && (held == 0.0 || held + 1.0 <= f64::from(reading.slots) * SPARE_FILL)
    }
}

/// Returns whether a target that holds some requests takes one more without slowing down.
fn has_easy_room(held: f64, slots: f64) -> bool {
    held == 0.0 || held + 1.0 <= slots * EASY_FILL
}

fn has_room(held: f64, slots: f64, may_fill: bool) -> bool {
    has_easy_room(held, slots) || (may_fill && held + 1.0 <= slots)
}

/// Probes that may be sent, saved up over a while.
#[derive(Debug)]
struct ProbeBudget {
    /// Probes a second that one target may get from this instance.
    per_target_per_s: f64,
    saved: f64,
    filled_at: MonoTime,
}

impl ProbeBudget {
    /// Takes up to `wanted` probes.
    fn take(&mut self, now: MonoTime, targets: usize, wanted: usize) -> usize {
        let per_s = self.per_target_per_s * targets as f64;
        let filled = self.saved + now.since(self.filled_at).as_secs_f64() * per_s;
        self.saved = filled.min(per_s * PROBES_SAVED_S);
        self.filled_at = now;
        let taken = wanted.min(self.saved as usize);
        self.saved -= taken as f64;
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
    easy_times: DurationHistogram,
    /// Times of answered sends that took one of the last slots.
    full_times: DurationHistogram,
    probe_budget: ProbeBudget,
    rng: SmallRng,
}

impl ProbedPool {
    /// Creates a pool without targets for an instance in a data centre.
    pub fn new(data_centre: DataCentre, rng: SmallRng) -> Self {
        let probe_budget = ProbeBudget {
            per_target_per_s: ASSUMED_PROBES_PER_S,
            saved: f64::INFINITY,
            filled_at: MonoTime::default(),
        };
        Self {
            data_centre,
            targets: HashMap::default(),
            easy_times: DurationHistogram::default(),
            full_times: DurationHistogram::default(),
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
        self.easy_times.median()
    }

    /// Returns whether targets work much slower when nearly all of their slots are taken.
    ///
    /// A request in the last slot then delays those in the others, too.
    fn slows_when_full(&self) -> bool {
        let is_learned = self.easy_times.has_enough_samples() && self.full_times.has_enough_samples();
        is_learned && self.full_times.median() > self.easy_times.median().mul_f64(SLOWED)
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
    pub fn choose_target(&mut self, now: MonoTime, ask: &ChoiceRequest) -> Choice {
        let may_fill = !self.slows_when_full();
        let may = |t: &Target| match ask.stage {
            WaitStage::Headroom => t.is_calm(now, false),
            WaitStage::FreeSlot => t.is_calm(now, may_fill),
            WaitStage::SpareSlot => t.has_spare_slot(now),
            WaitStage::Expired => false,
        };
        match self.best(now, ask, may) {
            Some((best, candidates)) if candidates > ask.calls_ahead => return self.send_to(now, &best),
            Some(_) => return Choice::Wait(FRESH / 2),
            None => {}
        }
        if ask.stage == WaitStage::Expired {
            return self.pick_unread(now, ask);
        }
        self.probes(now, ask)
    }

    /// Takes the end of a probe; no reading means that it was not answered well.
    pub fn finish_probe(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        sent_before: u64,
        reading: Option<LoadReading>,
    ) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.is_probed = false;
        let Some(reading) = reading else {
            target.reading = None;
            target.add_fault(now, 1.0);
            return;
        };
        let running = reading.running.max(target.own);
        target.reading = Some((LoadReading { running, ..reading }, now));
        target.sent_since = u32::try_from(target.sent - sent_before).unwrap_or(u32::MAX);
    }

    /// Notes that a probe starts; returns the mark to give with its result, or `None` when one is under way.
    pub fn start_probe(&mut self, id: &TargetId) -> Option<u64> {
        let target = self.targets.get_mut(id)?;
        (!std::mem::replace(&mut target.is_probed, true)).then_some(target.sent)
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
        let times = if took_last_slot { &mut self.full_times } else { &mut self.easy_times };
        times.record(time);
    }

    /// Notes the end of a send.
    pub fn record_end(&mut self, now: MonoTime, id: &TargetId, end: HealthSignal) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.own = target.own.saturating_sub(1);
        match end {
            HealthSignal::Answered => target.add_fault(now, -0.5),
            HealthSignal::Refused => target.add_fault(now, 0.5),
            HealthSignal::Failed | HealthSignal::Silent => target.add_fault(now, 1.0),
            HealthSignal::Neutral => {}
        }
    }

    /// Returns the target's latest reading with its age.
    pub fn latest_reading(&self, now: MonoTime, id: &TargetId) -> Option<(LoadReading, Duration)> {
        self.targets.get(id)?.reading.map(|(reading, at)| (reading, now.since(at)))
    }

    /// Returns the best target for a call, and how many there are.
    fn best(
        &self,
        now: MonoTime,
        ask: &ChoiceRequest,
        may: impl Fn(&Target) -> bool,
    ) -> Option<(TargetId, usize)> {
        let eligible = self.targets.values().filter(|t| is_eligible(t, ask) && may(t)).collect::<Vec<_>>();
        let best = eligible.iter().min_by(|a, b| a.expected(now).total_cmp(&b.expected(now)))?;
        Some((best.listing.id.clone(), eligible.len()))
    }

    fn probes(&mut self, now: MonoTime, ask: &ChoiceRequest) -> Choice {
        let eligible = self.targets.values().filter(|t| is_eligible(t, ask)).collect::<Vec<_>>();
        if eligible.is_empty() {
            return Choice::NoTarget;
        }
        let under_way = eligible.iter().filter(|t| t.is_probed).count();
        let wanted = if ask.probe_rounds == 0 { FIRST_PROBES } else { MORE_PROBES };
        let rng = &mut self.rng;
        let mut open = eligible
            .into_iter()
            .filter(|t| !t.is_probed && t.age(now).is_none_or(|age| age > FRESH))
            .map(|t| {
                let is_spared = now < t.cold_until && !rng.random_bool(COLD_SHARE);
                let cold = if is_spared { RANK_COLD } else { 0.0 };
                (t.expected(now) + t.habit() + cold + rng.random_range(0.0..RANK_JITTER), t)
            })
            .collect::<Vec<_>>();
        open.sort_by(|a, b| a.0.total_cmp(&b.0));
        let wanted = wanted.saturating_sub(under_way).min(open.len());
        let allowed = self.probe_budget.take(now, self.targets.len(), wanted);
        let probes = open.into_iter().take(allowed).map(|(_, t)| t.listing.clone()).collect::<Vec<_>>();
        if !probes.is_empty() {
            return Choice::Probe(probes);
        }
        Choice::Wait(FRESH / 2)
    }

    /// Chooses without readings when none could be had, so that a service whose probes fail is still served.
    fn pick_unread(&mut self, now: MonoTime, ask: &ChoiceRequest) -> Choice {
        let is_read = |t: &Target| t.age(now).is_some_and(|age| age <= READ_LATELY);
        if self.targets.values().any(is_read) {
            return Choice::NoTarget;
        }
        let best = self.best(now, ask, |t| t.own < t.listing.slots);
        best.map_or(Choice::NoTarget, |(id, _candidates)| self.send_to(now, &id))
    }

    fn send_to(&mut self, now: MonoTime, id: &TargetId) -> Choice {
        let Some(target) = self.targets.get_mut(id) else { return Choice::NoTarget };
        let told = target.reading.map(|(r, _)| (f64::from(r.running + r.waiting), f64::from(r.slots)));
        let takes_last_slot =
            told.is_some_and(|(held, slots)| !has_easy_room(held + f64::from(target.sent_since), slots));
        target.own += 1;
        target.sent += 1;
        target.sent_since += 1;
        target.last_sent_at = now;
        Choice::Send { listing: target.listing.clone(), takes_last_slot }
    }
}

fn is_eligible(target: &Target, ask: &ChoiceRequest) -> bool {
    !target.listing.draining && !ask.excluded.contains(&target.listing.id)
}
