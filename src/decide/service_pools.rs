//! Decision state of all services of a gateway: the directory of targets and, for each service, a pool, a
//! retry budget and the waiting calls.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};

use super::{
    directory::{Directory, DirectoryChange, EntryLease, Listing},
    probed_pool::{Choice, ChoiceRequest, ProbedPool},
    probed_target::{HealthSignal, LoadReading},
    rate_limit::{RateLimitChange, RateLimitStatement},
    repeat_budget::{RepeatAllowance, RepeatBudget},
    retry_pacing::{RetryAfterPacer, ServiceCapacity},
    wait_queue::{QueuePosition, WaitQueue},
};
use crate::{
    collections::HashMap,
    units::{DataCentre, MonoTime, PerSecond, ServiceName, TargetId},
};

/// State of one service.
#[derive(Debug)]
struct Service {
    pool: ProbedPool,
    repeat_budget: RepeatBudget,
    wait_queue: WaitQueue,
    retry_pacer: RetryAfterPacer,
}

/// State of all services.
#[derive(Debug)]
pub struct ServicePools {
    /// The directory of targets as last read from the store.
    pub directory: Directory,
    data_centre: DataCentre,
    seed: u64,
    /// Services that have had a target or a request. Entries are never removed, since operators bound their
    /// number.
    services: HashMap<ServiceName, Service>,
    allowance: RepeatAllowance,
    /// `None` until the number of instances is known.
    probes_per_target_per_s: Option<f64>,
    /// Number of instances that share the targets' rate limits; `None` while unknown.
    instances: Option<u64>,
    /// Number of changes of rate limits so far.
    rate_limit_revision: u64,
}

impl ServicePools {
    /// Creates the state without targets, which keep their entries by `lease`. Nothing may be retried until an
    /// allowance is set.
    pub fn new(data_centre: DataCentre, lease: EntryLease, seed: u64) -> Self {
        let allowance = RepeatAllowance { ratio: 0.0, extra: 0.0, window: Duration::from_secs(1) };
        Self {
            directory: Directory::new(lease),
            data_centre,
            seed,
            services: HashMap::default(),
            allowance,
            probes_per_target_per_s: None,
            instances: None,
            rate_limit_revision: 0,
        }
    }

    /// Sets how many repeated requests (retries and hedges) this instance may send to each service.
    pub fn set_allowance(&mut self, allowance: RepeatAllowance) {
        self.allowance = allowance;
        for service in self.services.values_mut() {
            service.repeat_budget.set_allowance(allowance);
        }
    }

    /// Applies changes of the directory to the pools.
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

    /// Records a caller's request to a service, which adds to its retry budget.
    pub fn record_request(&mut self, now: MonoTime, service: &ServiceName) {
        self.service(service).repeat_budget.record_request(now);
    }

    /// Takes one repeat from a service's retry budget; returns whether there was one.
    pub fn try_spend_repeat(&mut self, now: MonoTime, service: &ServiceName) -> bool {
        self.service(service).repeat_budget.try_spend(now)
    }

    /// Adds a call to those that wait for a target of a service.
    pub fn join_queue(&mut self, service: &ServiceName, priority: u32, arrived: MonoTime) -> QueuePosition {
        self.service(service).wait_queue.join(priority, arrived)
    }

    /// Removes a call from those that wait; returns whether others still wait.
    pub fn leave_queue(&mut self, service: &ServiceName, position: QueuePosition) -> bool {
        let wait_queue = &mut self.service(service).wait_queue;
        wait_queue.leave(position);
        !wait_queue.is_empty()
    }

    /// Returns the number of waiting calls that are served before the one at `position`, or of all waiting
    /// calls if `position` is `None`.
    pub fn ahead_of(&mut self, service: &ServiceName, position: Option<QueuePosition>) -> usize {
        let wait_queue = &self.service(service).wait_queue;
        position.map_or(wait_queue.len(), |position| wait_queue.ahead_of(position))
    }

    /// Returns the `Retry-After` time for a caller that is refused now.
    pub fn retry_after(&mut self, now: MonoTime, service: &ServiceName, instances: u32) -> Duration {
        let service = self.service(service);
        let capacity = ServiceCapacity { rate: service.pool.capacity(), instances };
        let paced = service.retry_pacer.next_retry_after(now, &capacity, service.wait_queue.len());
        service.pool.pause_left(now).map_or(paced, |left| left.max(paced))
    }

    /// Records that a target wants no requests from this instance for a time. Returns whether that is longer than
    /// what it has asked for before.
    pub fn record_pause(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        pause: Duration,
    ) -> bool {
        self.service(service).pool.record_pause(now, target, pause)
    }

    /// Returns whether a target takes requests: it is listed, not draining, and has not asked for a pause.
    pub fn takes_requests(&self, now: MonoTime, listing: &Listing) -> bool {
        let service = self.services.get(&listing.service);
        service.is_some_and(|service| service.pool.takes_requests(now, &listing.id))
    }

    /// Returns whether a service has a target that takes requests.
    pub fn has_target(&mut self, service: &ServiceName) -> bool {
        self.service(service).pool.has_target()
    }

    /// Chooses a target of a service for a call, or the step that must come first.
    pub fn choose_target(&mut self, now: MonoTime, service: &ServiceName, request: &ChoiceRequest) -> Choice {
        self.service(service).pool.choose_target(now, request)
    }

    /// Records the start of a probe. Returns a marker to pass to [`finish_probe`](Self::finish_probe), or
    /// `None` if a probe of the target is already in flight.
    pub fn start_probe(&mut self, service: &ServiceName, target: &TargetId) -> Option<u64> {
        self.service(service).pool.start_probe(target)
    }

    /// Records the result of a probe; `None` if it failed.
    pub fn finish_probe(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        marker: u64,
        reading: Option<LoadReading>,
    ) {
        self.service(service).pool.finish_probe(now, target, marker, reading);
    }

    /// Records a load reading that came with a response.
    pub fn record_reading(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        reading: LoadReading,
    ) {
        self.service(service).pool.record_reading(now, target, reading);
    }

    /// Sets the number of instances that share the targets' rate limits; `None` while unknown.
    pub fn set_instances(&mut self, now: MonoTime, instances: Option<u64>) {
        self.instances = instances;
        for service in self.services.values_mut() {
            service.pool.set_instances(now, instances);
        }
    }

    /// Records the rate limit that a response of a target states, `None` for no limit. Returns the change if it is
    /// one.
    pub fn record_rate_limit(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        target: &TargetId,
        limit: Option<PerSecond>,
    ) -> Option<RateLimitChange> {
        let revision = self.rate_limit_revision + 1;
        let change = self.service(service).pool.record_rate_limit(now, target, limit, revision);
        self.rate_limit_revision += u64::from(change.is_some());
        change
    }

    /// Records what another instance knows of a target's rate limit. Returns the change if it is one.
    pub fn merge_rate_limit(
        &mut self,
        now: MonoTime,
        statement: &RateLimitStatement,
    ) -> Option<RateLimitChange> {
        let revision = self.rate_limit_revision + 1;
        let mut pools = self.services.values_mut().map(|service| &mut service.pool);
        let change = pools.find_map(|pool| pool.merge_rate_limit(now, statement, revision));
        self.rate_limit_revision += u64::from(change.is_some());
        change
    }

    /// Returns the number of changes of rate limits so far.
    pub fn rate_limit_revision(&self) -> u64 {
        self.rate_limit_revision
    }

    /// Returns what is known of all targets whose limit changed after `revision`, and of those with a limit if
    /// `with_unchanged` is set. `place` is the receiver's place among all that get phases from this instance,
    /// from 0 to 1.
    pub fn rate_limit_statements(
        &self,
        now: MonoTime,
        revision: u64,
        with_unchanged: bool,
        place: Option<f64>,
    ) -> Vec<RateLimitStatement> {
        let pools = self.services.values().map(|service| &service.pool);
        pools.flat_map(|pool| pool.rate_limit_statements(now, revision, with_unchanged, place)).collect()
    }

    /// Returns the rate limit that a target states.
    pub fn rate_limit(&self, service: &ServiceName, target: &TargetId) -> Option<PerSecond> {
        self.services.get(service)?.pool.rate_limit(target)
    }

    /// Returns the number of targets that state a rate limit.
    pub fn limited_count(&self) -> usize {
        self.services.values().map(|s| s.pool.limited_count()).sum()
    }

    /// Sets the maximum rate of probes from this instance to one target, in probes per second.
    pub fn set_probe_rate(&mut self, per_target_per_s: f64) {
        self.probes_per_target_per_s = Some(per_target_per_s);
        for service in self.services.values_mut() {
            service.pool.set_probe_rate(per_target_per_s);
        }
    }

    /// Returns the median time from sending a request to a service to the end of its response.
    pub fn usual_time(&mut self, service: &ServiceName) -> Duration {
        self.service(service).pool.usual_time()
    }

    /// Returns the time after which a request to a service is overdue at its target, or `None` while too few
    /// durations are known.
    pub fn overdue_time(&mut self, now: MonoTime, service: &ServiceName) -> Option<Duration> {
        self.service(service).pool.overdue_time(now)
    }

    /// Forgets the failures of all targets of a service, which were not theirs.
    pub fn forget_failures(&mut self, service: &ServiceName) {
        self.service(service).pool.forget_failures();
    }

    /// Records the duration of an attempt that was answered.
    pub fn record_duration(&mut self, service: &ServiceName, time: Duration) {
        self.service(service).pool.record_duration(time);
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: MonoTime, service: &ServiceName, target: &TargetId, end: HealthSignal) {
        self.service(service).pool.record_end(now, target, end);
    }

    /// Returns the latest load reading of a target and its age.
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
        let (probes_per_target_per_s, instances) = (self.probes_per_target_per_s, self.instances);
        self.services.entry(name.clone()).or_insert_with(|| {
            *seed = seed.wrapping_add(1);
            let mut pool = ProbedPool::new(data_centre.clone(), SmallRng::seed_from_u64(*seed));
            if let Some(rate) = probes_per_target_per_s {
                pool.set_probe_rate(rate);
            }
            pool.set_instances(MonoTime::default(), instances);
            Service {
                pool,
                repeat_budget: RepeatBudget::new(allowance),
                wait_queue: WaitQueue::default(),
                retry_pacer: RetryAfterPacer::default(),
            }
        })
    }
}
