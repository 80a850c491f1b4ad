//! One instance's share of the rate of requests that a target takes from all instances together.
//!
//! The instances don't ask each other before they send. Each gets a permit at regular intervals, and the
//! intervals of different instances are offset against each other, so that their sum is as regular. A share is
//! often far below one request per second. A permit therefore expires soon: if permits were saved up, all
//! instances could use theirs in the same moment.

use std::time::Duration;

use crate::units::{MonoTime, PerSecond};

/// Time after which an unused permit expires.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);

/// Permits of one instance for requests to one target.
#[derive(Debug, Clone)]
pub struct RateShare {
    /// Permits that this instance gets per second.
    rate: PerSecond,
    /// Part of the next permit that has been accumulated at `updated_at`, less than 1. The fractional part is the
    /// phase, in which instances differ. It is negative for a while, at least -0.5, if the phase was set back.
    credit: f64,
    updated_at: MonoTime,
    /// Unused permits at `updated_at`.
    permits: u32,
    /// When the latest permit came.
    issued_at: MonoTime,
}

impl RateShare {
    /// Creates a share without permits. The first one follows after `1 - phase` intervals.
    pub fn new(now: MonoTime, rate: PerSecond, phase: f64) -> Self {
        Self { rate, credit: phase.rem_euclid(1.0), updated_at: now, permits: 0, issued_at: now }
    }

    /// Changes the rate. Unused permits and the phase are kept.
    pub fn set_rate(&mut self, now: MonoTime, rate: PerSecond) {
        self.update(now);
        self.rate = rate;
    }

    /// Returns the phase, from 0 to 1.
    pub fn phase(&self, now: MonoTime) -> f64 {
        self.at(now).credit.rem_euclid(1.0)
    }

    /// Makes `phase` the phase now. No permit comes by that: one that is skipped is lost, and one that has just come
    /// does not come again.
    pub fn align(&mut self, now: MonoTime, phase: f64) {
        self.update(now);
        let ahead = (phase - self.credit).rem_euclid(1.0);
        let shift = if ahead > 0.5 { ahead - 1.0 } else { ahead };
        self.credit += shift;
        if self.credit >= 1.0 {
            self.credit -= 1.0;
        } else if self.credit < -0.5 {
            self.credit += 1.0;
        }
    }

    /// Returns the number of permits that can be used now.
    pub fn available(&self, now: MonoTime) -> u32 {
        self.at(now).permits
    }

    /// Uses a permit; returns whether there was one.
    pub fn take(&mut self, now: MonoTime) -> bool {
        self.update(now);
        let has_permit = self.permits > 0;
        self.permits -= u32::from(has_permit);
        has_permit
    }

    /// Returns when the next permit comes; `None` if none will.
    pub fn next_at(&self, now: MonoTime) -> Option<MonoTime> {
        let wait_s = (1.0 - self.at(now).credit) / f64::from(self.rate);
        Some(now + Duration::try_from_secs_f64(wait_s).ok()?)
    }

    /// Returns the number of permits per second.
    pub fn rate(&self) -> PerSecond {
        self.rate
    }

    fn update(&mut self, now: MonoTime) {
        *self = self.at(now);
    }

    /// Returns the state at a time that is not before `updated_at`.
    fn at(&self, now: MonoTime) -> Self {
        let rate = f64::from(self.rate);
        let credit = self.credit + now.since(self.updated_at).as_secs_f64() * rate;
        let whole = credit.floor().max(0.0);
        let credit = credit - whole;
        let most = (rate * PERMIT_LIFETIME.as_secs_f64()).floor().max(1.0);
        let mut issued_at = self.issued_at;
        if whole > 0.0 {
            let age = Duration::try_from_secs_f64(credit / rate).ok();
            issued_at = age.and_then(|age| now.checked_sub(age)).unwrap_or_default();
        }
        let has_expired = now.since(issued_at) > PERMIT_LIFETIME;
        let permits = if has_expired { 0.0 } else { (f64::from(self.permits) + whole).min(most) };
        Self { rate: self.rate, credit, updated_at: now, permits: permits as u32, issued_at }
    }
}
