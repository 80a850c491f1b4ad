//! Traces: calls and disturbances of targets in time order, one JSON object per line.
//!
//! A call line has `time_us`, `service`, `method`, `path`, `work_us`, `bytes` and, for at-most-once requests,
//! `key`.
//!
//! A disturbance line has `time_us`, `service`, `target` (position in the pool), `for_us` and `disturbance`:
//! `{"slow": factor}`, `"failing"` (answers 500 immediately) or `"down"` (refuses connections).

use std::{collections::BTreeMap, fs, path::Path};

use arbutusshelf::error::{Error, ErrorKind, Result};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Width of the time bins in which calls are counted to find the peak period, in microseconds.
pub const PEAK_BIN_US: u64 = 250_000;

/// Fraction of the calls of the highest bin that a bin must have to belong to the peak period.
const PEAK_THRESHOLD: f64 = 0.6;

/// Time span over which the copies of a call are spread when a trace is scaled up, in microseconds.
const COPY_SPREAD_US: u64 = 1_000_000;

/// One call of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceCall {
    /// Arrival at the instance, in microseconds since the start of the trace.
    pub time_us: u64,
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path, whose first segment is the service.
    pub path: String,
    /// Time that an undisturbed target works on the call, in microseconds.
    pub work_us: u64,
    /// Size of the response's body in bytes.
    pub bytes: u64,
    /// Idempotency key; absent unless the call is an at-most-once request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// Fault of a target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disturbance {
    /// Work takes longer by this factor, including work in progress.
    Slow(f64),
    /// The target answers every request with 500 immediately.
    Failing,
    /// The target refuses connections.
    Down,
}

/// A period in which one target is disturbed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceDisturbance {
    /// Start, in microseconds since the start of the trace.
    pub time_us: u64,
    /// Name of the service.
    pub service: String,
    /// Index of the target in the service's pool, modulo the size of the pool.
    pub target: usize,
    /// Duration in microseconds.
    pub for_us: u64,
    /// Fault of the target during the period.
    pub disturbance: Disturbance,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum TraceLine {
    Call(TraceCall),
    Disturbance(TraceDisturbance),
}

/// Time span with the highest rate of calls, see [`Trace::peak_period`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeakPeriod {
    /// Start, in microseconds since the start of the trace.
    pub from_us: u64,
    /// End, in microseconds since the start of the trace, exclusive.
    pub to_us: u64,
}

impl PeakPeriod {
    /// Returns whether a point in time is within the period.
    pub fn contains(&self, time_us: u64) -> bool {
        (self.from_us..self.to_us).contains(&time_us)
    }

    /// Returns the length in seconds.
    pub fn length_s(&self) -> f64 {
        (self.to_us - self.from_us) as f64 / 1e6
    }
}

/// A complete trace.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// Calls in time order.
    pub calls: Vec<TraceCall>,
    /// Disturbances in time order.
    pub disturbances: Vec<TraceDisturbance>,
}

impl Trace {
    /// Reads a trace from a file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when the file can't be read or a line is malformed.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .map_err(|e| Error::new(ErrorKind::File, format!("trace {}: {e}", path.display())))?;
        Self::parse(&text)
    }

    /// Parses the text of a trace, and sorts it by time.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] with the number of the first malformed line.
    pub fn parse(text: &str) -> Result<Self> {
        let mut trace = Self::default();
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(TraceLine::Call(call)) => trace.calls.push(call),
                Ok(TraceLine::Disturbance(disturbance)) => trace.disturbances.push(disturbance),
                Err(e) => {
                    return Err(Error::new(ErrorKind::File, format!("trace line {}: {e}", number + 1)));
                }
            }
        }
        trace.sort();
        Ok(trace)
    }

    /// Formats the trace as text for [`Trace::parse`].
    pub fn to_text(&self) -> String {
        let calls = self.calls.iter().map(|c| (c.time_us, serde_json::to_string(c)));
        let disturbances = self.disturbances.iter().map(|d| (d.time_us, serde_json::to_string(d)));
        let mut lines = calls.chain(disturbances).filter_map(|(t, l)| Some((t, l.ok()?))).collect::<Vec<_>>();
        lines.sort_by_key(|(time_us, _)| *time_us);
        lines.into_iter().map(|(_, line)| line + "\n").collect()
    }

    /// Sorts calls and disturbances by time.
    pub fn sort(&mut self) {
        self.calls.sort_by_key(|c| c.time_us);
        self.disturbances.sort_by_key(|d| d.time_us);
    }

    /// Returns the end of the trace, which is the end of the last call's bin, in microseconds.
    pub fn end_us(&self) -> u64 {
        let last = self.calls.last().map_or(0, |c| c.time_us);
        (last / PEAK_BIN_US + 1) * PEAK_BIN_US
    }

    /// Returns the time span around the bin with most calls in which every bin has at least `PEAK_THRESHOLD`
    /// times as many.
    pub fn peak_period(&self) -> PeakPeriod {
        let mut bins = vec![0_u32; (self.end_us() / PEAK_BIN_US) as usize];
        for call in &self.calls {
            bins[(call.time_us / PEAK_BIN_US) as usize] += 1;
        }
        let peak = (0..bins.len()).max_by_key(|&i| bins[i]).unwrap_or(0);
        let threshold = f64::from(bins.get(peak).copied().unwrap_or(0)) * PEAK_THRESHOLD;
        let is_above_threshold = |i: &usize| f64::from(bins[*i]) >= threshold;
        let from = (0..=peak).rev().take_while(is_above_threshold).last().unwrap_or(peak);
        let to = (peak..bins.len()).take_while(is_above_threshold).last().unwrap_or(peak);
        PeakPeriod { from_us: from as u64 * PEAK_BIN_US, to_us: (to as u64 + 1) * PEAK_BIN_US }
    }

    /// Returns the share of capacity that demand takes in the peak period, at the service where this share is
    /// highest.
    ///
    /// `slots` has the number of slots at all targets of each service.
    pub fn peak_utilization(&self, slots: &BTreeMap<String, u32>) -> f64 {
        let peak_period = self.peak_period();
        let mut work = BTreeMap::<&str, f64>::new();
        for call in self.calls.iter().filter(|c| peak_period.contains(c.time_us)) {
            *work.entry(&call.service).or_default() += call.work_us as f64 / 1e6;
        }
        let load = |(service, work_s): (&&str, &f64)| {
            let slots = slots.get(*service).copied().unwrap_or(0);
            if slots == 0 { 0.0 } else { work_s / peak_period.length_s() / f64::from(slots) }
        };
        work.iter().map(load).fold(0.0, f64::max)
    }

    /// Scales demand by `factor` by copying or omitting calls. The disturbances and the shape of demand do
    /// not change.
    ///
    /// A copy arrives within half a second of its call. It has a key of its own, and takes all else from a
    /// random call within one second of that call, since copies of a single long call would form clusters of
    /// long calls.
    #[must_use]
    pub fn scaled(&self, factor: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut calls = Vec::new();
        let end_us = self.end_us();
        for call in &self.calls {
            let copies = factor as u32 + u32::from(rng.random::<f64>() < factor.fract());
            for copy in 0..copies {
                let mut copied_call =
                    if copy == 0 { call.clone() } else { self.random_call_near(call, &mut rng).clone() };
                copied_call.time_us = call.time_us;
                if copy > 0 {
                    let shifted = call.time_us + rng.random_range(0..=COPY_SPREAD_US);
                    copied_call.time_us = reflect(shifted, COPY_SPREAD_US / 2, end_us);
                    copied_call.key = copied_call.key.map(|key| format!("{key}-{}", calls.len()));
                }
                calls.push(copied_call);
            }
        }
        let mut scaled = Self { calls, disturbances: self.disturbances.clone() };
        scaled.sort();
        scaled
    }

    /// Returns a random call that arrives within [`COPY_SPREAD_US`] of `call`.
    fn random_call_near(&self, call: &TraceCall, rng: &mut SmallRng) -> &TraceCall {
        let first = self.calls.partition_point(|c| c.time_us + COPY_SPREAD_US < call.time_us);
        let last = self.calls.partition_point(|c| c.time_us <= call.time_us + COPY_SPREAD_US);
        &self.calls[rng.random_range(first..last)]
    }
}

/// Subtracts `offset_us` and reflects the result at both ends of the trace, so that copies do not pile up
/// there.
fn reflect(shifted_us: u64, offset_us: u64, end_us: u64) -> u64 {
    let time_us = shifted_us.abs_diff(offset_us);
    if time_us < end_us { time_us } else { (2 * end_us).saturating_sub(time_us + 1) }
}
