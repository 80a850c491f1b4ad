//! Everything a gateway knows of the targets: the directory, a pool and a budget of repeats for each service.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};

use super::{
    directory::{Change, Directory},
    probed::{Ask, Pick, ProbedPool, Reading, SendEnd},
    repeat_budget::{RepeatAllowance, RepeatBudget},
    turns::{Capacity, Turns},
    waiting::{Place, WaitingLine},
};
use crate::{
    collections::HashMap,
    units::{DataCentre, MonoTime, ServiceName, TargetId},
};

/// One service's pool and budget.
#[derive(Debug)]
struct Service {
    pool: ProbedPool,
    budget: RepeatBudget,
    waiting: WaitingLine,
    turns: Turns,
}

/// Targets and budgets of all services.
#[derive(Debug)]
pub struct Fleet {
    /// The directory as last read.
    pub directory: Directory,
    data_centre: DataCentre,
    seed: u64,
    /// Services that had a target or a request; kept, since their number is bounded by the operators.
    services: HashMap<ServiceName, Service>,
    allowance: RepeatAllowance,
    /// Set once the number of instances is known.
    probes_per_target_per_s: Option<f64>,
}

impl Fleet {
    /// Creates a fleet without targets, whose services may not repeat until an allowance is set.
    pub fn new(data_centre: DataCentre, seed: u64) -> Self {
        let allowance = RepeatAllowance { ratio: 0.0, extra: 0.0, window: Duration::from_secs(1) };
        Self {
            directory: Directory::default(),
            data_centre,
            seed,
            services: HashMap::default(),
            allowance,
            probes_per_target_per_s: None,
        }
    }

    /// Sets what may be repeated to each service.
    pub fn set_allowance(&mut self, allowance: RepeatAllowance) {
        self.allowance = allowance;
        for service in self.services.values_mut() {
            service.budget.set_allowance(allowance);
        }
    }

    /// Lets the pools follow changes of the directory.
    pub fn follow(&mut self, now: MonoTime, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Added(listing) | Change::Updated(listing) => {
                    self.service(&listing.service).pool.follow(now, change);
                }
                Change::Removed(_) => {
                    self.services.values_mut().for_each(|s| s.pool.follow(now, change));
                }
            }
        }
    }

    /// Notes a caller's request to a service.
    pub fn request(&mut self, now: MonoTime, service: &ServiceName) {
        self.service(service).budget.request(now);
    }

    /// Spends one repeat to a service if its budget allows it.
    pub fn spend_repeat(&mut self, now: MonoTime, service: &ServiceName) -> bool {
        self.service(service).budget.spend(now)
    }

    /// Lets a call wait for a target of a service.
    pub fn enter(&mut self, service: &ServiceName, priority: u32, arrived: MonoTime) -> Place {
        self.service(service).waiting.enter(priority, arrived)
    }

    /// Takes a call out of those that wait; returns whether others still do.
    pub fn leave(&mut self, service: &ServiceName, place: Place) -> bool {
        let waiting = &mut self.service(service).waiting;
        waiting.leave(place);
        !waiting.is_empty()
    }

    /// Returns how many waiting calls go before one, or all of them for one that has no place.
    pub fn ahead_of(&mut self, service: &ServiceName, place: Option<Place>) -> usize {
        let waiting = &self.service(service).waiting;
        place.map_or(waiting.len(), |place| waiting.ahead_of(place))
    }

    /// Returns the time after which a caller that is refused now comes back.
    pub fn turn(&mut self, now: MonoTime, service: &ServiceName, instances: u32) -> Duration {
        let service = self.service(service);
        let capacity = Capacity { slots: service.pool.slots(), usual: service.pool.usual_time(), instances };
        service.turns.next(now, &capacity, service.waiting.len())
    }

    /// Returns whether a service has a target that takes requests.
    pub fn has_target(&mut self, service: &ServiceName) -> bool {
        self.service(service).pool.has_target()
    }

    /// Chooses a target of a service for a call, or what to do first.
    pub fn pick(&mut self, now: MonoTime, service: &ServiceName, ask: &Ask) -> Pick {
        self.service(service).pool.pick(now, ask)
    }

    /// Notes that a probe starts; returns the mark to give with its result, or `None` when one is under way.
    pub fn probing(&mut self, service: &ServiceName, target: &TargetId) -> Option<u64> {
        self.service(service).pool.probing(target)
    }

    /// Takes the result of a probe.
    pub fn probed(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        mark: u64,
        reading: Option<Reading>,
    ) {
        self.service(service).pool.probed(now, target, mark, reading);
    }

    /// Takes a reading that came with an answer.
    pub fn read(&mut self, now: MonoTime, service: &ServiceName, target: &TargetId, reading: Reading) {
        self.service(service).pool.read(now, target, reading);
    }

    /// Sets how many probes a second one target may get from this instance.
    pub fn set_probes(&mut self, per_target_per_s: f64) {
        self.probes_per_target_per_s = Some(per_target_per_s);
        for service in self.services.values_mut() {
            service.pool.set_probes(per_target_per_s);
        }
    }

    /// Returns the usual time from a send to a service to the end of its answer.
    pub fn usual_time(&mut self, service: &ServiceName) -> Duration {
        self.service(service).pool.usual_time()
    }

    /// Notes how long a send took that was answered.
    pub fn took(&mut self, service: &ServiceName, time: Duration, took_last_slot: bool) {
        self.service(service).pool.took(time, took_last_slot);
    }

    /// Notes the end of a send.
    pub fn ended(&mut self, now: MonoTime, service: &ServiceName, target: &TargetId, end: SendEnd) {
        self.service(service).pool.ended(now, target, end);
    }

    /// Returns a target's latest reading with its age.
    pub fn reading(
        &self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
    ) -> Option<(Reading, Duration)> {
        self.services.get(service)?.pool.reading(now, target)
    }

    fn service(&mut self, name: &ServiceName) -> &mut Service {
        let (allowance, data_centre, seed) = (self.allowance, &self.data_centre, &mut self.seed);
        let probes_per_target_per_s = self.probes_per_target_per_s;
        self.services.entry(name.clone()).or_insert_with(|| {
            *seed = seed.wrapping_add(1);
            let mut pool = ProbedPool::new(data_centre.clone(), SmallRng::seed_from_u64(*seed));
            if let Some(rate) = probes_per_target_per_s {
                pool.set_probes(rate);
            }
            Service {
                pool,
                budget: RepeatBudget::new(allowance),
                waiting: WaitingLine::default(),
                turns: Turns::default(),
            }
        })
    }
}
