//! Token bucket that limits how often an instance probes the targets of one service.

use crate::units::MonoTime;

/// Capacity of the probe budget in seconds of its rate; allows a burst of probes at peak load.
const PROBE_BURST_S: f64 = 20.0;

/// Probes per second and target that are assumed to be allowed while the number of instances is unknown.
const ASSUMED_PROBES_PER_S: f64 = 4.0;

/// Token bucket of probes.
#[derive(Debug)]
pub(super) struct ProbeBudget {
    /// Maximum rate of probes from this instance to one target, in probes per second.
    per_target_per_s: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            per_target_per_s: ASSUMED_PROBES_PER_S,
            tokens: f64::INFINITY,
            refilled_at: MonoTime::default(),
        }
    }
}

impl ProbeBudget {
    /// Sets the maximum rate of probes from this instance to one target, in probes per second.
    pub(super) fn set_rate(&mut self, per_target_per_s: f64) {
        self.per_target_per_s = per_target_per_s;
    }

    /// Takes up to `wanted` tokens and returns how many were taken.
    pub(super) fn take(&mut self, now: MonoTime, targets: usize, wanted: usize) -> usize {
        let per_s = self.per_target_per_s * targets as f64;
        let filled = self.tokens + now.since(self.refilled_at).as_secs_f64() * per_s;
        self.tokens = filled.min(per_s * PROBE_BURST_S);
        self.refilled_at = now;
        let taken = wanted.min(self.tokens as usize);
        self.tokens -= taken as f64;
        taken
    }
}
