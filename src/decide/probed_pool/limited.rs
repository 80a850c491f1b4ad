//! Targets of a pool that state a rate limit: they get calls only by this instance's permits, and no probes.
//!
//! Such a target is in trouble. It gets calls that no other target can take now, and is not probed, since it
//! counts probes as requests.

use super::{Choice, ChoiceRequest, ProbedPool};
use crate::{
    decide::{
        directory::Listing,
        probed_target::ProbedTarget,
        rate_limit::{RateLimitChange, RateLimitStatement},
    },
    units::{MonoTime, PerSecond, TargetId},
};

impl ProbedPool {
    /// Sets the number of instances that share the rate limits; `None` while unknown.
    pub fn set_instances(&mut self, now: MonoTime, instances: Option<u64>) {
        self.instances = instances;
        for target in self.targets.values_mut() {
            target.rate_limit.set_instances(now, instances);
        }
    }

    /// Records the rate limit that a response of a target states, `None` for no limit. `revision` numbers the
    /// change if it is one.
    pub fn record_rate_limit(
        &mut self,
        now: MonoTime,
        id: &TargetId,
        limit: Option<PerSecond>,
        revision: u64,
    ) -> Option<RateLimitChange> {
        self.targets.get_mut(id)?.rate_limit.record(now, limit, self.instances, revision)
    }

    /// Records what another instance knows of a target's rate limit. Does nothing if the target is unknown, or
    /// another process has its name now.
    pub fn merge_rate_limit(
        &mut self,
        now: MonoTime,
        statement: &RateLimitStatement,
        revision: u64,
    ) -> Option<RateLimitChange> {
        let target = self.targets.get_mut(&statement.target)?;
        let is_same_run = target.listing.started_unix_ms == statement.started_unix_ms;
        is_same_run.then(|| target.rate_limit.merge(now, statement, self.instances, revision)).flatten()
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
        let is_wanted = |target: &&ProbedTarget| {
            target.rate_limit.revision() > revision || (with_unchanged && target.is_limited())
        };
        let statement = |target: &ProbedTarget| {
            let Listing { id, started_unix_ms, .. } = &target.listing;
            target.rate_limit.statement(now, id, *started_unix_ms, place)
        };
        self.targets.values().filter(is_wanted).map(statement).collect()
    }

    /// Returns the rate limit that a target states.
    pub fn rate_limit(&self, id: &TargetId) -> Option<PerSecond> {
        self.targets.get(id)?.rate_limit.limit()
    }

    /// Returns the number of targets that state a rate limit.
    pub fn limited_count(&self) -> usize {
        self.targets.values().filter(|t| t.is_limited()).count()
    }

    /// Chooses a target with a rate limit and a permit, unless the calls ahead need all permits. `free_targets`
    /// other targets take calls, too.
    pub(super) fn choose_permitted(
        &mut self,
        now: MonoTime,
        request: &ChoiceRequest,
        free_targets: usize,
    ) -> Option<Choice> {
        let permits_of = |target: &ProbedTarget| match target.rate_limit.share() {
            Some(share) if target.own_in_flight < target.listing.slots => share.available(now) as usize,
            _ => 0,
        };
        let eligible =
            self.targets.values().filter(|t| self.is_eligible(now, t, request) && permits_of(t) > 0);
        let eligible = eligible.collect::<Vec<_>>();
        let permits = eligible.iter().map(|t| permits_of(t)).sum::<usize>();
        if free_targets + permits <= request.calls_ahead {
            return None;
        }
        let best = eligible.iter().min_by(|a, b| a.expected_time(now).total_cmp(&b.expected_time(now)))?;
        let id = best.listing.id.clone();
        let has_permit = self.targets.get_mut(&id)?.rate_limit.take_permit(now);
        has_permit.then(|| self.start_send(now, &id))
    }

    /// Returns the next step of a call whose eligible targets all have a rate limit: to wait for a permit, or to
    /// give up at once if none comes in time. Returns `None` if there is no such target.
    pub(super) fn wait_for_permit(&self, now: MonoTime, request: &ChoiceRequest) -> Option<Choice> {
        let eligible = self.targets.values().filter(|t| self.is_eligible(now, t, request));
        let shares = eligible.filter_map(|t| t.rate_limit.share()).collect::<Vec<_>>();
        if shares.is_empty() {
            return None;
        }
        let rate = shares.iter().map(|share| f64::from(share.rate())).sum::<f64>();
        let Some(first) = shares.iter().filter_map(|share| share.next_at(now)).min() else {
            return Some(Choice::NoTarget);
        };
        let ready = shares.iter().map(|share| share.available(now) as usize).sum::<usize>();
        let calls_between = request.calls_ahead.saturating_sub(ready) as f64;
        let wait_s = first.since(now).as_secs_f64() + calls_between / rate;
        let is_in_time = wait_s <= request.give_up_at.since(now).as_secs_f64();
        Some(if is_in_time { Choice::Wait(first.since(now)) } else { Choice::NoTarget })
    }
}
