//! State machine that decides when to read the plan from the store and whether the active plan is current.
//!
//! The store's plan version at a given time is known from a read of this instance that began then, or from a
//! peer's read. Peers exchange the age of a read rather than its time, since their clocks differ. While the
//! store is unavailable, no change can be accepted, so contact with a majority of the known instances also
//! proves that the plan is current; a minority may have missed a change.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    membership::table::MemberCount,
    peer::frame::Heartbeat,
    units::{MonoTime, PlanVersion},
};

/// Time between two reads of the plan's head row while no peer confirms the plan.
pub const UNCONFIRMED_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the plan's head row while peers confirm the plan.
pub const CONFIRMED_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time between two reads while the store does not answer; the time doubles with each failed read.
pub const MAX_POLL_BACKOFF: Duration = Duration::from_secs(4);

/// Maximum age of a peer's confirmation that extends the time to the next read to
/// [`CONFIRMED_POLL_INTERVAL`].
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);

/// Time to wait for a plan requested from one peer before it is requested from another.
const PLAN_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time between two ticks; after a longer gap the process counts as having been suspended.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(3);

/// Whether the active plan is known to be the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Freshness {
    /// Not confirmed yet since the process started or was resumed after a suspension.
    Starting,
    /// Confirmed as current within the cut-off time (setting `cut_off_after_ms`).
    Current,
    /// Not confirmed within the cut-off time, because neither the store nor a majority of the known instances
    /// can be reached or a newer version is known but not available.
    CutOff,
}

/// Tracks the evidence that the active plan is current.
///
/// ```
/// use std::time::Duration;
/// use arbutusshelf::{
///     membership::table::MemberCount,
///     plan::freshness::{Freshness, FreshnessTracker},
///     units::MonoTime,
/// };
///
/// let at = |ms: u64| MonoTime::from(ms * 1_000);
/// let mut tracker = FreshnessTracker::new(1, Duration::from_secs(30), at(0));
/// assert_eq!(tracker.tick(at(0), MemberCount::default(), false), Freshness::Starting);
/// tracker.set_version(3.into());
/// tracker.on_poll_finished(at(10), at(20), Some(3.into()));
/// assert_eq!(tracker.tick(at(100), MemberCount::default(), false), Freshness::Current);
/// assert!(tracker.next_poll() > at(20));
/// ```
#[derive(Debug)]
pub struct FreshnessTracker {
    rng: SmallRng,
    cut_off_after: Duration,
    /// Version of the active plan; never decreases.
    version: PlanVersion,
    /// Highest version known to be accepted; at least `version`.
    highest_known: PlanVersion,
    /// Latest time at which the store is known to have had no higher version than `version`.
    confirmed_at: Option<MonoTime>,
    /// Latest time at which the active plan was known to be current.
    current_at: Option<MonoTime>,
    /// Start of the process or end of its latest suspension; earlier evidence is ignored.
    evidence_since: MonoTime,
    last_tick: MonoTime,
    /// Latest time for which a peer confirmed the plan.
    peer_confirmed_at: Option<MonoTime>,
    next_poll: MonoTime,
    /// Number of failed reads since the latest successful one.
    failed_polls: u32,
    /// Time of the latest plan request to a peer.
    requested_at: Option<MonoTime>,
    /// Result of the latest tick.
    freshness: Freshness,
}

impl FreshnessTracker {
    /// Creates a tracker without a plan. The first read is due after a random part of up to a fifth of
    /// [`UNCONFIRMED_POLL_INTERVAL`].
    pub fn new(seed: u64, cut_off_after: Duration, now: MonoTime) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let next_poll = now + UNCONFIRMED_POLL_INTERVAL.mul_f64(rng.random_range(0.0..0.2));
        Self {
            rng,
            cut_off_after,
            version: PlanVersion::default(),
            highest_known: PlanVersion::default(),
            confirmed_at: None,
            current_at: None,
            evidence_since: now,
            last_tick: now,
            peer_confirmed_at: None,
            next_poll,
            failed_polls: 0,
            requested_at: None,
            freshness: Freshness::Starting,
        }
    }

    /// Records the version of a newly activated plan; a lower version is ignored.
    pub fn set_version(&mut self, version: PlanVersion) {
        self.version = self.version.max(version);
        self.highest_known = self.highest_known.max(version);
    }

    /// Records the result of a read of the head row that began at `began`: the version found, or `None` if
    /// the read failed.
    ///
    /// A version below the active one comes from a stale read and confirms nothing.
    pub fn on_poll_finished(&mut self, began: MonoTime, now: MonoTime, read: Option<PlanVersion>) {
        self.failed_polls = if read.is_some() { 0 } else { self.failed_polls + 1 };
        if let Some(found) = read {
            self.confirm_version(began, found);
        }
        let interval = self.poll_interval(now);
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_poll = now + interval.mul_f64(jitter);
    }

    /// Records that the store's highest version at the time `at` was `version`.
    pub fn confirm_version(&mut self, at: MonoTime, version: PlanVersion) {
        self.highest_known = self.highest_known.max(version);
        if version == self.version {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    fn poll_interval(&self, now: MonoTime) -> Duration {
        if self.failed_polls > 0 {
            return (UNCONFIRMED_POLL_INTERVAL * (1 << self.failed_polls.min(3))).min(MAX_POLL_BACKOFF);
        }
        let peer_confirms = self.peer_confirmed_at.is_some_and(|at| now.since(at) < MAX_CONFIRMATION_AGE);
        if peer_confirms && self.version == self.highest_known {
            CONFIRMED_POLL_INTERVAL
        } else {
            UNCONFIRMED_POLL_INTERVAL
        }
    }

    /// Returns when the next read is due.
    pub fn next_poll(&self) -> MonoTime {
        self.next_poll
    }

    /// Records a peer's heartbeat.
    ///
    /// `valid_at` is a time on this instance's clock that is not later than the time at which the peer sent
    /// the heartbeat; without it, the age of the peer's confirmation cannot be used.
    pub fn on_heartbeat(&mut self, valid_at: Option<MonoTime>, heartbeat: &Heartbeat) {
        self.highest_known = self.highest_known.max(heartbeat.plan_version);
        let (Some(valid_at), Some(age_ms)) = (valid_at, heartbeat.confirmed_age_ms) else {
            return;
        };
        let age = Duration::from_millis(u64::from(age_ms));
        let Some(at) = valid_at.checked_sub(age) else { return };
        self.peer_confirmed_at = self.peer_confirmed_at.max(Some(at));
        if heartbeat.plan_version <= self.version {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns whether to request the plan of a peer whose active version is `peer_version`.
    ///
    /// If so, the request counts as sent, and no plan is requested from another peer for a while.
    pub fn should_request_plan(&mut self, now: MonoTime, peer_version: PlanVersion) -> bool {
        let pending = self.requested_at.is_some_and(|at| now.since(at) < PLAN_REQUEST_INTERVAL);
        if peer_version <= self.version || pending {
            return false;
        }
        self.requested_at = Some(now);
        true
    }

    /// Updates and returns the freshness at `now`; must be called at least every [`MAX_TICK_GAP`].
    ///
    /// `peer_is_current` states whether a live peer with the same active version knows that it is current.
    pub fn tick(&mut self, now: MonoTime, member_count: MemberCount, peer_is_current: bool) -> Freshness {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            self.evidence_since = now;
        }
        self.last_tick = now;
        if self.version == self.highest_known {
            self.update_current_at(now, member_count, peer_is_current);
        }
        self.freshness = match self.current_at.filter(|at| *at >= self.evidence_since) {
            None => Freshness::Starting,
            Some(at) if now.since(at) < self.cut_off_after => Freshness::Current,
            Some(_) => Freshness::CutOff,
        };
        self.freshness
    }

    fn update_current_at(&mut self, now: MonoTime, member_count: MemberCount, peer_is_current: bool) {
        let confirmed = self.confirmed_at.filter(|at| *at >= self.evidence_since);
        self.current_at = self.current_at.max(confirmed);
        let was_current = self.current_at.is_some();
        if member_count.is_majority() && (was_current || peer_is_current) {
            self.current_at = Some(now);
        }
    }

    /// Returns the freshness at the latest tick.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Returns the time until which the plan counts as current if no further tick follows; `None` if it is
    /// not current at the latest tick.
    pub fn current_until(&self) -> Option<MonoTime> {
        let current_at = self.current_at.filter(|_| self.freshness == Freshness::Current)?;
        Some((current_at + self.cut_off_after).min(self.last_tick + MAX_TICK_GAP))
    }

    /// Returns a heartbeat with the fields about the plan and `leaving` set, and the others at their
    /// defaults.
    pub fn heartbeat(&self, now: MonoTime, leaving: bool) -> Heartbeat {
        let confirmed = self.confirmed_at.filter(|at| *at >= self.evidence_since);
        let age = confirmed.map(|at| now.since(at).as_millis());
        Heartbeat {
            plan_version: self.version,
            confirmed_age_ms: age.and_then(|ms| u32::try_from(ms + 1).ok()),
            current: self.freshness == Freshness::Current,
            leaving,
            ..Heartbeat::default()
        }
    }
}

/// Whether the active plan is sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanPush {
    /// Do not send the plan: the peer has it, or requests it when it needs it.
    Skip,
    /// Send the plan now.
    Send,
}

/// Decides whether the active plan, of version `own`, is sent to a peer whose plan has the version `peer`.
///
/// A peer with an older plan gets it if it requested the plan, or if the plan was submitted through this
/// instance: `accepted_here` is the highest version for which that is so.
pub fn plan_push(
    own: PlanVersion,
    accepted_here: PlanVersion,
    peer: PlanVersion,
    requested: bool,
) -> PlanPush {
    let peer_is_older = own > peer;
    if peer_is_older && (requested || accepted_here == own) { PlanPush::Send } else { PlanPush::Skip }
}
