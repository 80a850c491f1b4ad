//! Following the plan as a pure state machine: when to ask the store, and whether the plan is current.
//!
//! The store's version at a time is known from an own read that began then, or from a peer's: ages travel,
//! times of day do not. While the store is out, nobody can accept a change, so hearing a majority of the
//! known instances also shows the plan to be current; a minority may have missed one.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    membership::table::Headcount,
    peer::frame::Heartbeat,
    units::{MonoTime, PlanVersion},
};

/// Time between two reads while no peer confirms the plan.
pub const UNCONFIRMED_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads while peers confirm the plan.
pub const CONFIRMED_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time between two reads while the store does not answer.
pub const MAX_POLL_BACKOFF: Duration = Duration::from_secs(4);

/// Age up to which a peer's confirmation lengthens the time to the next read.
const NEWS_AGE: Duration = Duration::from_secs(1);

/// Time for which one peer is waited for before another is asked for a plan.
const ASK_PERIOD: Duration = Duration::from_millis(300);

/// Gap between two ticks from which on this instance counts as having been paused.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(3);

/// Whether the plan in force is known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Freshness {
    /// Not yet known since the start or since waking from a pause.
    Starting,
    /// Known to be current within the bound.
    Current,
    /// No longer known: cut off from the store and from a majority of the known instances.
    CutOff,
}

/// What an instance knows of the plan's being current.
///
/// ```
/// use std::time::Duration;
/// use arbutusshelf::{
///     membership::table::Headcount,
///     plan::freshness::{FreshnessTracker, Freshness},
///     units::MonoTime,
/// };
///
/// let at = |ms: u64| MonoTime::from(ms * 1_000);
/// let mut follower = FreshnessTracker::new(1, Duration::from_secs(30), at(0));
/// assert_eq!(follower.tick(at(0), Headcount::default(), false), Freshness::Starting);
/// follower.set_version(3.into());
/// follower.on_poll_finished(at(10), at(20), Some(3.into()));
/// assert_eq!(follower.tick(at(100), Headcount::default(), false), Freshness::Current);
/// assert!(follower.next_poll() > at(20));
/// ```
#[derive(Debug)]
pub struct FreshnessTracker {
    rng: SmallRng,
    cut_off_after: Duration,
    /// Version in force; never falls.
    version: PlanVersion,
    /// Highest version known to have been accepted; at least `version`.
    known: PlanVersion,
    /// Latest time at which the store is known to have had no higher version than `version`.
    confirmed_at: Option<MonoTime>,
    /// Latest time at which the plan was known to be current.
    held_at: Option<MonoTime>,
    /// Evidence from before this time counts for nothing: the instance was paused since.
    trust_after: MonoTime,
    last_tick: MonoTime,
    /// Latest time at which a peer's confirmation held.
    news_at: Option<MonoTime>,
    next_poll: MonoTime,
    failed_polls: u32,
    asked_at: Option<MonoTime>,
    standing: Freshness,
}

impl FreshnessTracker {
    /// Creates a follower without a plan; the first read is due within a jittered part of [`UNCONFIRMED_POLL_INTERVAL`].
    pub fn new(seed: u64, cut_off_after: Duration, now: MonoTime) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let next_poll = now + UNCONFIRMED_POLL_INTERVAL.mul_f64(rng.random_range(0.0..0.2));
        Self {
            rng,
            cut_off_after,
            version: PlanVersion::default(),
            known: PlanVersion::default(),
            confirmed_at: None,
            held_at: None,
            trust_after: now,
            last_tick: now,
            news_at: None,
            next_poll,
            failed_polls: 0,
            asked_at: None,
            standing: Freshness::Starting,
        }
    }

    /// Takes a rise of the version in force.
    pub fn set_version(&mut self, version: PlanVersion) {
        self.version = self.version.max(version);
        self.known = self.known.max(version);
    }

    /// Takes the result of a read of the head row that began at `began`; `None` when it failed.
    ///
    /// A version below that in force is a stale read: it confirms nothing.
    pub fn on_poll_finished(&mut self, began: MonoTime, now: MonoTime, read: Option<PlanVersion>) {
        self.failed_polls = if read.is_some() { 0 } else { self.failed_polls + 1 };
        if let Some(found) = read {
            self.confirm_version(began, found);
        }
        let period = self.period(now);
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_poll = now + period.mul_f64(jitter);
    }

    /// Takes the store's highest version as of `at`.
    pub fn confirm_version(&mut self, at: MonoTime, version: PlanVersion) {
        self.known = self.known.max(version);
        if version == self.version {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    fn period(&self, now: MonoTime) -> Duration {
        if self.failed_polls > 0 {
            return (UNCONFIRMED_POLL_INTERVAL * (1 << self.failed_polls.min(3))).min(MAX_POLL_BACKOFF);
        }
        let has_news = self.news_at.is_some_and(|at| now.since(at) < NEWS_AGE);
        if has_news && self.version == self.known {
            CONFIRMED_POLL_INTERVAL
        } else {
            UNCONFIRMED_POLL_INTERVAL
        }
    }

    /// Returns when the next read is due.
    pub fn next_poll(&self) -> MonoTime {
        self.next_poll
    }

    /// Takes a peer's words that hold as of `dated`.
    pub fn on_heartbeat(&mut self, dated: Option<MonoTime>, said: &Heartbeat) {
        self.known = self.known.max(said.plan_version);
        let (Some(dated), Some(age_ms)) = (dated, said.confirmed_age_ms) else {
            return;
        };
        let age = Duration::from_millis(u64::from(age_ms));
        let Some(at) = dated.checked_sub(age) else { return };
        self.news_at = self.news_at.max(Some(at));
        if said.plan_version <= self.version {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns whether to ask a peer that has `offered` in force for its plan, and counts that as done.
    pub fn should_request_plan(&mut self, now: MonoTime, offered: PlanVersion) -> bool {
        let waits = self.asked_at.is_some_and(|at| now.since(at) < ASK_PERIOD);
        if offered <= self.version || waits {
            return false;
        }
        self.asked_at = Some(now);
        true
    }

    /// Takes the passing of time and returns the standing; due at least every [`MAX_TICK_GAP`].
    ///
    /// `vouched` tells whether some live peer with the version in force knows it to be current.
    pub fn tick(&mut self, now: MonoTime, headcount: Headcount, vouched: bool) -> Freshness {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            self.trust_after = now;
        }
        self.last_tick = now;
        if self.version == self.known {
            self.hold(now, headcount, vouched);
        }
        self.standing = match self.held_at.filter(|at| *at >= self.trust_after) {
            None => Freshness::Starting,
            Some(at) if now.since(at) < self.cut_off_after => Freshness::Current,
            Some(_) => Freshness::CutOff,
        };
        self.standing
    }

    fn hold(&mut self, now: MonoTime, headcount: Headcount, vouched: bool) {
        let confirmed = self.confirmed_at.filter(|at| *at >= self.trust_after);
        self.held_at = self.held_at.max(confirmed);
        let held_before = self.held_at.is_some();
        if headcount.is_majority() && (held_before || vouched) {
            self.held_at = Some(now);
        }
    }

    /// Returns the standing at the last tick.
    pub fn freshness(&self) -> Freshness {
        self.standing
    }

    /// Returns until when requests may be served if no further tick comes; `None` unless current.
    pub fn current_until(&self) -> Option<MonoTime> {
        let held_at = self.held_at.filter(|_| self.standing == Freshness::Current)?;
        Some((held_at + self.cut_off_after).min(self.last_tick + MAX_TICK_GAP))
    }

    /// Returns what a heartbeat tells of the plan.
    pub fn heartbeat(&self, now: MonoTime, leaving: bool) -> Heartbeat {
        let confirmed = self.confirmed_at.filter(|at| *at >= self.trust_after);
        let age = confirmed.map(|at| now.since(at).as_millis());
        Heartbeat {
            plan_version: self.version,
            confirmed_age_ms: age.and_then(|ms| u32::try_from(ms + 1).ok()),
            current: self.standing == Freshness::Current,
            leaving,
            ..Heartbeat::default()
        }
    }
}

/// Chooses what a link tells its peer about plans, from what both have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanPush {
    /// The peer has it already, or asks for it if it lacks it.
    Skip,
    /// Send the plan now.
    Send,
}

/// Decides whether the plan is pushed: by the instance that accepted it, or to a peer that asked.
pub fn plan_push(own: PlanVersion, accepted_here: PlanVersion, peer: PlanVersion, asked: bool) -> PlanPush {
    let lacks = own > peer;
    if lacks && (asked || accepted_here == own) { PlanPush::Send } else { PlanPush::Skip }
}
