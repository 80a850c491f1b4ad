//! Everything a gateway knows of the targets: the directory, a pool and a budget of repeats for each service.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};

use super::{
    directory::{Directory, DirectoryChange},
    probed_pool::{Choice, ChoiceRequest, HealthSignal, LoadReading, ProbedPool},
    repeat_budget::{RepeatAllowance, RepeatBudget},
    retry_pacing::{RetryAfterPacer, ServiceCapacity},
    wait_queue::{QueuePosition, WaitQueue},
};
use crate::{
    collections::HashMap,
    units::{DataCentre, MonoTime, ServiceName, TargetId},
};

/// One service's pool and budget.
#[derive(Debug)]
struct Service {
    pool: ProbedPool,
    repeat_budget: RepeatBudget,
    wait_queue: WaitQueue,
    retry_pacer: RetryAfterPacer,
}

/// Targets and budgets of all services.
#[derive(Debug)]
pub struct ServicePools {
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

impl ServicePools {
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
            service.repeat_budget.set_allowance(allowance);
        }
    }

    /// Lets the pools follow changes of the directory.
    pub fn apply_changes(&mut self, now: MonoTime, changes: &[DirectoryChange]) {
        for change in changes {
            match change {
                DirectoryChange::Added(listing) | DirectoryChange::Updated(listing) => {
                    self.service(&listing.service).pool.apply_change(now, change);
                }
                DirectoryChange::Removed(_) => {
                    self.services.values_mut().for_each(|s| s.pool.apply_change(now, change));
                }
            }
        }
    }

    /// Notes a caller's request to a service.
    pub fn record_request(&mut self, now: MonoTime, service: &ServiceName) {
        self.service(service).repeat_budget.record_request(now);
    }

    /// Spends one repeat to a service if its budget allows it.
    pub fn try_spend_repeat(&mut self, now: MonoTime, service: &ServiceName) -> bool {
        self.service(service).repeat_budget.try_spend(now)
    }

    /// Lets a call wait for a target of a service.
    pub fn join_queue(&mut self, service: &ServiceName, priority: u32, arrived: MonoTime) -> QueuePosition {
        self.service(service).wait_queue.join(priority, arrived)
    }

    /// Takes a call out of those that wait; returns whether others still do.
    pub fn leave_queue(&mut self, service: &ServiceName, position: QueuePosition) -> bool {
        let wait_queue = &mut self.service(service).wait_queue;
        wait_queue.leave(position);
        !wait_queue.is_empty()
    }

    /// Returns how many waiting calls go before one, or all of them for one that has no place.
    pub fn ahead_of(&mut self, service: &ServiceName, position: Option<QueuePosition>) -> usize {
        let wait_queue = &self.service(service).wait_queue;
        position.map_or(wait_queue.len(), |position| wait_queue.ahead_of(position))
    }

    /// Returns the time after which a caller that is refused now comes back.
    pub fn retry_after(&mut self, now: MonoTime, service: &ServiceName, instances: u32) -> Duration {
        let service = self.service(service);
        let capacity =
            ServiceCapacity { slots: service.pool.slots(), usual_time: service.pool.usual_time(), instances };
        service.retry_pacer.next_retry_after(now, &capacity, service.wait_queue.len())
    }

    /// Returns whether a service has a target that takes requests.
    pub fn has_target(&mut self, service: &ServiceName) -> bool {
        self.service(service).pool.has_target()
    }

    /// Chooses a target of a service for a call, or what to do first.
    pub fn choose_target(&mut self, now: MonoTime, service: &ServiceName, request: &ChoiceRequest) -> Choice {
        self.service(service).pool.choose_target(now, request)
    }

    /// Notes that a probe starts; returns the mark to give with its result, or `None` when one is under way.
    pub fn start_probe(&mut self, service: &ServiceName, target: &TargetId) -> Option<u64> {
        self.service(service).pool.start_probe(target)
    }

    /// Takes the result of a probe.
    pub fn finish_probe(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        mark: u64,
        reading: Option<LoadReading>,
    ) {
        self.service(service).pool.finish_probe(now, target, mark, reading);
    }

    /// Takes a reading that came with an answer.
    pub fn record_reading(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        reading: LoadReading,
    ) {
        self.service(service).pool.record_reading(now, target, reading);
    }

    /// Sets how many probes a second one target may get from this instance.
    pub fn set_probe_rate(&mut self, per_target_per_s: f64) {
        self.probes_per_target_per_s = Some(per_target_per_s);
        for service in self.services.values_mut() {
            service.pool.set_probe_rate(per_target_per_s);
        }
    }

    /// Returns the usual time from a send to a service to the end of its answer.
    pub fn usual_time(&mut self, service: &ServiceName) -> Duration {
        self.service(service).pool.usual_time()
    }

    /// Notes how long a send took that was answered.
    pub fn record_duration(&mut self, service: &ServiceName, time: Duration, took_last_slot: bool) {
        self.service(service).pool.record_duration(time, took_last_slot);
    }

    /// Notes the end of a send.
    pub fn record_end(&mut self, now: MonoTime, service: &ServiceName, target: &TargetId, end: HealthSignal) {
        self.service(service).pool.record_end(now, target, end);
    }

    /// Returns a target's latest reading with its age.
    pub fn latest_reading(
        &self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
    ) -> Option<(LoadReading, Duration)> {
        self.services.get(service)?.pool.latest_reading(now, target)
    }

    fn service(&mut self, name: &ServiceName) -> &mut Service {
        let (allowance, data_centre, seed) = (self.allowance, &self.data_centre, &mut self.seed);
        let probes_per_target_per_s = self.probes_per_target_per_s;
        self.services.entry(name.clone()).or_insert_with(|| {
            *seed = seed.wrapping_add(1);
            let mut pool = ProbedPool::new(data_centre.clone(), SmallRng::seed_from_u64(*seed));
            if let Some(rate) = probes_per_target_per_s {
                pool.set_probe_rate(rate);
            }
            Service {
                pool,
                repeat_budget: RepeatBudget::new(allowance),
                wait_queue: WaitQueue::default(),
                retry_pacer: RetryAfterPacer::default(),
            }
        })
    }
}
