//! The rate limit that a target states in its responses, as this instance knows it.
//!
//! An instance hears of a limit by its own responses and by other instances, and each keeps to its share. A
//! limit lasts until a later response has none.

use std::time::Duration;

use super::{directory::Listing, rate_share::RateShare};
use crate::{
    collections::HashMap,
    units::{MonoTime, PerSecond, TargetId},
};

/// Lowest rate at which a target gets requests from all instances together. Only a response tells that a limit
/// has ended, so a target whose limit is zero must get one now and then.
const MIN_RATE_PER_S: f64 = 0.1;

/// Time for which the limit of a removed target is kept. The entry of a live target may lapse and come back.
const LAPSED_RETENTION: Duration = Duration::from_mins(2);

/// What an instance knows of a target's limit, as passed on between instances.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimitStatement {
    /// Target that stated it.
    pub target: TargetId,
    /// Start time of the target's process, if it states one; tells it from another process of the same name.
    pub started_unix_ms: Option<u64>,
    /// Requests per second from all instances together; `None` if the target takes any number.
    pub limit: Option<PerSecond>,
    /// Number of changes that led to this limit. An instance whose response has another limit than it knows raises
    /// the number, so that of two statements the one with more changes is the later one.
    pub version: u64,
    /// Phase of the receiver's permits, from 0 to 1; `None` if the sender doesn't assign phases.
    pub phase: Option<f64>,
}

/// A change of what is known of a target's limit. The limit itself may be the same with a later version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitChange {
    /// The limit now.
    pub limit: Option<PerSecond>,
    /// The limit before.
    pub previous: Option<PerSecond>,
}

/// Limit of one target, and this instance's permits.
#[derive(Debug)]
pub(super) struct TargetRateLimit {
    limit: Option<PerSecond>,
    /// Version of `limit`; 0 before the first limit.
    version: u64,
    /// Present while there is a limit.
    share: Option<RateShare>,
    /// Number of the latest change among those of all targets at this instance; 0 if there was none.
    revision: u64,
    /// Phase of the permits until another instance assigns one.
    initial_phase: f64,
    /// Whether another instance has assigned a phase since the limit began.
    has_assigned_phase: bool,
}

impl TargetRateLimit {
    pub(super) fn new(initial_phase: f64) -> Self {
        Self { limit: None, version: 0, share: None, revision: 0, initial_phase, has_assigned_phase: false }
    }

    pub(super) fn limit(&self) -> Option<PerSecond> {
        self.limit
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn share(&self) -> Option<&RateShare> {
        self.share.as_ref()
    }

    /// Records what a response to this instance stated. `instances` share the limit; `None` while unknown.
    pub(super) fn record(
        &mut self,
        now: MonoTime,
        limit: Option<PerSecond>,
        instances: Option<u64>,
        revision: u64,
    ) -> Option<RateLimitChange> {
        if self.limit == limit {
            return None;
        }
        self.version = self.version.saturating_add(1);
        Some(self.set(now, limit, instances, revision))
    }

    /// Records what another instance knows, unless this one knows something later. Of two limits with equally many
    /// changes, the stricter one counts.
    pub(super) fn merge(
        &mut self,
        now: MonoTime,
        statement: &RateLimitStatement,
        instances: Option<u64>,
        revision: u64,
    ) -> Option<RateLimitChange> {
        let is_stricter = statement.limit.is_some_and(|new| self.limit.is_none_or(|known| new < known));
        let is_later = statement.version > self.version;
        let mut change = None;
        if is_later || (statement.version == self.version && is_stricter) {
            self.version = statement.version;
            change = Some(self.set(now, statement.limit, instances, revision));
        }
        if let (Some(share), Some(phase)) = (&mut self.share, statement.phase) {
            if std::mem::replace(&mut self.has_assigned_phase, true) {
                share.align(now, phase);
            } else {
                *share = RateShare::new(now, share.rate(), phase);
            }
        }
        change
    }

    /// Sets the number of instances that share the limit.
    pub(super) fn set_instances(&mut self, now: MonoTime, instances: Option<u64>) {
        if let (Some(limit), Some(share)) = (self.limit, &mut self.share) {
            share.set_rate(now, share_of(limit, instances));
        }
    }

    /// Uses a permit; returns whether the target may get a request. Without a limit it may.
    pub(super) fn take_permit(&mut self, now: MonoTime) -> bool {
        self.share.as_mut().is_none_or(|share| share.take(now))
    }

    /// Returns what is known, for an instance whose place among the receivers of phases is `place`, from 0 to 1.
    pub(super) fn statement(
        &self,
        now: MonoTime,
        target: &TargetId,
        started_unix_ms: Option<u64>,
        place: Option<f64>,
    ) -> RateLimitStatement {
        let phase = |(share, place): (&RateShare, f64)| (share.phase(now) + place).rem_euclid(1.0);
        RateLimitStatement {
            target: target.clone(),
            started_unix_ms,
            limit: self.limit,
            version: self.version,
            phase: self.share.as_ref().zip(place).map(phase),
        }
    }

    fn set(
        &mut self,
        now: MonoTime,
        limit: Option<PerSecond>,
        instances: Option<u64>,
        revision: u64,
    ) -> RateLimitChange {
        let previous = std::mem::replace(&mut self.limit, limit);
        self.revision = revision;
        match (limit, &mut self.share) {
            (Some(limit), Some(share)) => share.set_rate(now, share_of(limit, instances)),
            (Some(limit), None) => {
                self.share = Some(RateShare::new(now, share_of(limit, instances), self.initial_phase));
            }
            (None, _) => {
                self.share = None;
                self.has_assigned_phase = false;
            }
        }
        RateLimitChange { limit, previous }
    }
}

/// Returns one instance's share of a limit: none while the number of instances is unknown.
fn share_of(limit: PerSecond, instances: Option<u64>) -> PerSecond {
    let share = |instances: u64| f64::from(limit).max(MIN_RATE_PER_S) / instances.max(1) as f64;
    PerSecond::from(instances.map_or(0.0, share))
}

/// Limits of targets that were removed from the directory and may come back.
#[derive(Debug, Default)]
pub(super) struct LapsedRateLimits {
    /// Limit and time of the removal, by name and start time of the target's process.
    limits: HashMap<(TargetId, Option<u64>), (TargetRateLimit, MonoTime)>,
}

impl LapsedRateLimits {
    /// Keeps the limit of a removed target, if it has one.
    pub(super) fn keep(&mut self, now: MonoTime, listing: &Listing, rate_limit: TargetRateLimit) {
        self.limits.retain(|_, (_, removed_at)| now.since(*removed_at) < LAPSED_RETENTION);
        if rate_limit.limit().is_some() {
            self.limits.insert((listing.id.clone(), listing.started_unix_ms), (rate_limit, now));
        }
    }

    /// Returns the limit of a target that has come back, if one was kept.
    pub(super) fn take(&mut self, listing: &Listing) -> Option<TargetRateLimit> {
        let (rate_limit, _) = self.limits.remove(&(listing.id.clone(), listing.started_unix_ms))?;
        Some(rate_limit)
    }
}
