//! Probes of targets within a budget that holds at any membership.
//!
//! Of the most instances that may run, only as many probe a target as it may receive probes in a second, each at
//! most once a second. So no second holds more, whoever is up and whatever the clocks show.

use std::time::Duration;

use super::{TargetIndex, quota::InstancePosition};
use crate::units::MonoTime;

/// Time without a reading after which a target is probed.
const PROBE_AFTER_SILENCE: Duration = Duration::from_secs(1);

/// When one target was probed and is due.
#[derive(Debug, Clone, Default)]
pub struct ProbeSchedule {
    /// Time between two probes by this instance; `None` when it may not probe the target.
    period: Option<Duration>,
    probed_at: Option<MonoTime>,
    in_flight: bool,
}

impl ProbeSchedule {
    /// Creates the schedule of one target for an instance at a position.
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

    /// Takes over what another schedule of the same target has spent.
    #[must_use]
    pub fn carry_over(mut self, earlier: &Self) -> Self {
        self.probed_at = earlier.probed_at;
        self.in_flight = earlier.in_flight;
        self
    }

    /// Returns when a probe is due, given the latest reading of the target.
    pub fn due(&self, heard_at: MonoTime) -> Option<MonoTime> {
        let period = self.period.filter(|_| !self.in_flight)?;
        let stale = heard_at + PROBE_AFTER_SILENCE;
        Some(self.probed_at.map_or(stale, |at| stale.max(at + period)))
    }

    /// Notes that a probe is sent.
    pub fn sent(&mut self, now: MonoTime) {
        self.probed_at = Some(now);
        self.in_flight = true;
    }

    /// Notes that the probe has ended.
    pub fn ended(&mut self) {
        self.in_flight = false;
    }
}
