//! Schedule of probes to targets, within a rate limit that holds for any set of running instances.
//!
//! Each target may receive a limited number of probes per second. Of all instances that may run at once,
//! only that many probe it, each at most once per second. So the limit holds in every second, whichever
//! instances run and whatever their clocks show.

use std::time::Duration;

use super::{TargetIndex, quota::InstancePosition};
use crate::units::MonoTime;

/// A target is probed after this time without a response or report from it.
const PROBE_AFTER_SILENCE: Duration = Duration::from_secs(1);

/// Schedule of the probes to one target.
#[derive(Debug, Clone, Default)]
pub struct ProbeSchedule {
    /// Minimum time between two probes by this instance; `None` if it must not probe the target.
    period: Option<Duration>,
    probed_at: Option<MonoTime>,
    in_flight: bool,
}

impl ProbeSchedule {
    /// Creates the schedule of one target for the instance at `position`.
    pub fn new(
        position: &InstancePosition,
        max_instances: u32,
        target: TargetIndex,
        probes_per_s: f64,
    ) -> Self {
        let instances = (max_instances.max(1) as usize).max(position.data_centres.len());
        let probers = (probes_per_s as usize).clamp(1, instances);
        let is_prober = position.own_index.is_some_and(|own| (own + target.0) % instances < probers);
        let period_s = (probers as f64 / probes_per_s).max(1.0);
        let period = (is_prober && probes_per_s > 0.0).then(|| Duration::from_secs_f64(period_s));
        Self { period, probed_at: None, in_flight: false }
    }

    /// Takes over the latest probe of an earlier schedule for the same target, so that a new schedule does
    /// not exceed the rate.
    #[must_use]
    pub fn carry_over(mut self, earlier: &Self) -> Self {
        self.probed_at = earlier.probed_at;
        self.in_flight = earlier.in_flight;
        self
    }

    /// Returns when the next probe is due, given when the target was last heard from.
    pub fn due(&self, heard_at: MonoTime) -> Option<MonoTime> {
        let period = self.period.filter(|_| !self.in_flight)?;
        let stale = heard_at + PROBE_AFTER_SILENCE;
        Some(self.probed_at.map_or(stale, |at| stale.max(at + period)))
    }

    /// Records that a probe is sent.
    pub fn record_start(&mut self, now: MonoTime) {
        self.probed_at = Some(now);
        self.in_flight = true;
    }

    /// Records that the probe has ended.
    pub fn record_end(&mut self) {
        self.in_flight = false;
    }
}
