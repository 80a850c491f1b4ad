//! Traces: calls and disturbances in time order, one JSON object a line.
//!
//! A call line has `time_us`, `service`, `method`, `path`, `work_us`, `bytes` and, for at-most-once requests, `key`.
//! A disturbance line has `time_us`, `service`, `target` (position in the pool), `for_us` and `disturbance`:
//! `{"slow": factor}`, `"failing"` (answers 500 at once) or `"down"` (refuses connections).

use std::{collections::BTreeMap, fs, path::Path};

use arbutusshelf::error::{Error, ErrorKind, Result};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Width of the bins in which demand is counted to find the crest, in microseconds.
pub const PEAK_BIN_US: u64 = 250_000;

/// Part of the highest demand of a bin from which on a bin belongs to the crest.
const PEAK_THRESHOLD: f64 = 0.6;

/// Span over which the copies of a call are spread when a trace is scaled up, in microseconds.
const COPY_SPREAD_US: u64 = 1_000_000;

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceCall {
    /// Arrival, in microseconds since the start of the trace.
    pub time_us: u64,
    /// Service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path with the service as first segment.
    pub path: String,
    /// Time an undisturbed target works on it, in microseconds.
    pub work_us: u64,
    /// Size of the answer.
    pub bytes: u64,
    /// Key of an at-most-once request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// What befalls a target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disturbance {
    /// Work takes this many times as long, also work in progress.
    Slow(f64),
    /// Every request is answered 500 at once.
    Failing,
    /// Connections are refused.
    Down,
}

/// A disturbance of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceDisturbance {
    /// Start, in microseconds since the start of the trace.
    pub time_us: u64,
    /// Service.
    pub service: String,
    /// Position of the target in the pool; taken modulo its size.
    pub target: usize,
    /// Duration in microseconds.
    pub for_us: u64,
    /// What happens.
    pub disturbance: Disturbance,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Line {
    Call(TraceCall),
    Disturbance(TraceDisturbance),
}

/// Time span with the highest demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeakPeriod {
    /// Start in microseconds.
    pub from_us: u64,
    /// End in microseconds, exclusive.
    pub to_us: u64,
}

impl PeakPeriod {
    /// Returns whether a point in time is inside.
    pub fn contains(&self, time_us: u64) -> bool {
        (self.from_us..self.to_us).contains(&time_us)
    }

    /// Returns the length in seconds.
    pub fn length_s(&self) -> f64 {
        (self.to_us - self.from_us) as f64 / 1e6
    }
}

/// A whole trace.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// Calls in time order.
    pub calls: Vec<TraceCall>,
    /// Disturbances in time order.
    pub disturbances: Vec<TraceDisturbance>,
}

impl Trace {
    /// Reads a trace file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when it can't be read or a line is not of the format.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .map_err(|e| Error::new(ErrorKind::File, format!("trace {}: {e}", path.display())))?;
        Self::parse(&text)
    }

    /// Parses trace text.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] naming the line that is not of the format.
    pub fn parse(text: &str) -> Result<Self> {
        let mut trace = Self::default();
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(Line::Call(call)) => trace.calls.push(call),
                Ok(Line::Disturbance(disturbance)) => trace.disturbances.push(disturbance),
                Err(e) => {
                    return Err(Error::new(ErrorKind::File, format!("trace line {}: {e}", number + 1)));
                }
            }
        }
        trace.sort();
        Ok(trace)
    }

    /// Writes the trace as text that [`Trace::parse`] reads.
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

    /// Returns the end of the last call's bin.
    pub fn end_us(&self) -> u64 {
        let last = self.calls.last().map_or(0, |c| c.time_us);
        (last / PEAK_BIN_US + 1) * PEAK_BIN_US
    }

    /// Finds the span around the bin of highest demand in which demand stays near it.
    pub fn peak_period(&self) -> PeakPeriod {
        let mut bins = vec![0_u32; (self.end_us() / PEAK_BIN_US) as usize];
        for call in &self.calls {
            bins[(call.time_us / PEAK_BIN_US) as usize] += 1;
        }
        let peak = (0..bins.len()).max_by_key(|&i| bins[i]).unwrap_or(0);
        let least = f64::from(bins.get(peak).copied().unwrap_or(0)) * PEAK_THRESHOLD;
        let high = |i: &usize| f64::from(bins[*i]) >= least;
        let from = (0..=peak).rev().take_while(high).last().unwrap_or(peak);
        let to = (peak..bins.len()).take_while(high).last().unwrap_or(peak);
        PeakPeriod { from_us: from as u64 * PEAK_BIN_US, to_us: (to as u64 + 1) * PEAK_BIN_US }
    }

    /// Returns the share of capacity that demand takes in the crest, at the service where it is highest.
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

    /// Scales demand by copying or leaving out calls; times of disturbances and the shape of demand stay.
    ///
    /// A copy arrives up to half a second away from its call and takes everything else, but for a key of its
    /// own, from a random call within a second of it: copies of one long call would come in clusters.
    #[must_use]
    pub fn scaled(&self, factor: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut calls = Vec::new();
        let end_us = self.end_us();
        for call in &self.calls {
            let copies = factor as u32 + u32::from(rng.random::<f64>() < factor.fract());
            for copy in 0..copies {
                let mut made =
                    if copy == 0 { call.clone() } else { self.random_call_near(call, &mut rng).clone() };
                made.time_us = call.time_us;
                if copy > 0 {
                    let shifted = call.time_us + rng.random_range(0..=COPY_SPREAD_US);
                    made.time_us = reflect(shifted, COPY_SPREAD_US / 2, end_us);
                    made.key = made.key.map(|key| format!("{key}-{}", calls.len()));
                }
                calls.push(made);
            }
        }
        let mut scaled = Self { calls, disturbances: self.disturbances.clone() };
        scaled.sort();
        scaled
    }

    fn random_call_near(&self, call: &TraceCall, rng: &mut SmallRng) -> &TraceCall {
        let first = self.calls.partition_point(|c| c.time_us + COPY_SPREAD_US < call.time_us);
        let last = self.calls.partition_point(|c| c.time_us <= call.time_us + COPY_SPREAD_US);
        &self.calls[rng.random_range(first..last)]
    }
}

/// Subtracts `offset` and reflects the result at both ends of the trace, so that none gathers copies.
fn reflect(shifted_us: u64, offset_us: u64, end_us: u64) -> u64 {
    let time_us = shifted_us.abs_diff(offset_us);
    if time_us < end_us { time_us } else { (2 * end_us).saturating_sub(time_us + 1) }
}
