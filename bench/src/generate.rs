//! Seeded generator of the shipped traces and of longer ones.

use arbutusshelf::error::{Error, ErrorKind, Result};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::trace::{Disturbance, Trace, TraceCall, TraceDisturbance};

/// Names of the traces that can be generated.
pub const TRACE_NAMES: [&str; 6] = ["quiet", "milonga", "recital", "noisy", "fast-failure", "cold-starts"];

/// A kind of call in a mix.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Part of all calls.
    weight: f64,
    service: &'static str,
    method: &'static str,
    /// Path below the service.
    path: &'static str,
    /// Shortest work; the rest is exponential.
    least_work_us: f64,
    mean_work_us: f64,
    bytes: u64,
    keyed: bool,
}

const fn read(weight: f64, service: &'static str, path: &'static str, mean_work_us: f64) -> Class {
    Class {
        weight,
        service,
        method: "GET",
        path,
        least_work_us: 200.0,
        mean_work_us,
        bytes: 4_000,
        keyed: false,
    }
}

const fn transfer(weight: f64, service: &'static str, mean_work_us: f64) -> Class {
    let least_work_us = mean_work_us / 2.0;
    let path = "recordings";
    Class {
        weight,
        service,
        method: "GET",
        path,
        least_work_us,
        mean_work_us,
        bytes: 4_000_000,
        keyed: false,
    }
}

const fn once(weight: f64, service: &'static str, path: &'static str) -> Class {
    Class {
        weight,
        service,
        method: "POST",
        path,
        least_work_us: 1_000.0,
        mean_work_us: 8_000.0,
        bytes: 300,
        keyed: true,
    }
}

/// A lesson day: catalogs, a few long exports, bookings.
const LESSONS: [Class; 4] = [
    read(0.87, "schedule-board", "week", 5_000.0),
    Class { least_work_us: 20_000.0, ..read(0.01, "schedule-board", "export", 50_000.0) },
    read(0.06, "tuition-desk", "lessons", 5_000.0),
    once(0.06, "tuition-desk", "bookings"),
];

/// A milonga night: recordings among short calls.
const MILONGA: [Class; 5] = [
    read(0.60, "hallenplan", "today", 5_000.0),
    read(0.30, "tonarchiv", "list", 5_000.0),
    transfer(0.02, "tonarchiv", 200_000.0),
    once(0.04, "mietkasse", "charges"),
    once(0.04, "paarbuch", "confirmations"),
];

/// A Saturday before the recital: catalogs, charges, bookings, rental holds, bundles.
const RECITAL: [Class; 6] = [
    read(0.70, "schedule-board", "week", 5_000.0),
    read(0.12, "tuition-desk", "lessons", 5_000.0),
    once(0.04, "tuition-desk", "bookings"),
    once(0.02, "tuition-desk", "charges"),
    once(0.03, "horn-loans", "holds"),
    transfer(0.005, "practice-vault", 100_000.0),
];

/// Generates a named trace.
///
/// # Errors
///
/// [`ErrorKind::File`] for an unknown name.
pub fn generate(name: &str, seed: u64, calls_per_s: f64, length_s: f64) -> Result<Trace> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end_us = length_s * 1e6;
    let flat = |_: f64| 1.0;
    let mut trace = match name {
        "quiet" | "noisy" | "fast-failure" | "cold-starts" => {
            calls(&mut rng, &LESSONS, calls_per_s, end_us, flat)
        }
        "milonga" => calls(&mut rng, &MILONGA, calls_per_s, end_us, |at| rise(at, 3.0)),
        "recital" => calls(&mut rng, &RECITAL, calls_per_s, end_us, |at| rise(at, 4.0)),
        other => {
            let known = TRACE_NAMES.join(", ");
            return Err(Error::new(ErrorKind::File, format!("trace {other:?} is not one of {known}")));
        }
    };
    trace.disturbances = match name {
        "noisy" => noise(&mut rng, end_us),
        "fast-failure" => vec![disturb(0.3 * end_us, 4, 0.4 * end_us, Disturbance::Failing)],
        "cold-starts" => cold_starts(end_us),
        _ => Vec::new(),
    };
    trace.sort();
    Ok(trace)
}

/// Demand at a part of the trace's length: 1, then up to `factor` within a tenth, held, and back.
fn rise(at: f64, factor: f64) -> f64 {
    let height = ((at - 0.25) / 0.1).clamp(0.0, 1.0).min(((0.85 - at) / 0.1).clamp(0.0, 1.0));
    1.0 + (factor - 1.0) * height
}

fn calls(
    rng: &mut SmallRng,
    mix: &[Class],
    calls_per_s: f64,
    length_us: f64,
    demand: impl Fn(f64) -> f64,
) -> Trace {
    let mut trace = Trace::default();
    let mut time_us = 0.0;
    loop {
        time_us += exponential(rng) * 1e6 / calls_per_s / demand(time_us / length_us);
        if time_us >= length_us {
            return trace;
        }
        let number = trace.calls.len();
        let class = pick(rng, mix);
        let work_us = class.least_work_us + exponential(rng) * (class.mean_work_us - class.least_work_us);
        trace.calls.push(TraceCall {
            time_us: time_us as u64,
            service: class.service.to_owned(),
            method: class.method.to_owned(),
            path: format!("/{}/{}/{number}", class.service, class.path),
            work_us: work_us as u64,
            bytes: class.bytes,
            key: class.keyed.then(|| format!("key-{number}")),
        });
    }
}

fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

fn pick<'a>(rng: &mut SmallRng, mix: &'a [Class]) -> &'a Class {
    let mut left = rng.random::<f64>() * mix.iter().map(|c| c.weight).sum::<f64>();
    for class in mix {
        left -= class.weight;
        if left < 0.0 {
            return class;
        }
    }
    &mix[0]
}

fn disturb(time_us: f64, target: usize, for_us: f64, disturbance: Disturbance) -> TraceDisturbance {
    let service = "schedule-board".to_owned();
    TraceDisturbance { time_us: time_us as u64, service, target, for_us: for_us as u64, disturbance }
}

/// Ten times a second one random target is ten times slower for 50 ms.
fn noise(rng: &mut SmallRng, length_us: f64) -> Vec<TraceDisturbance> {
    let mut all = Vec::new();
    let mut time_us = 0.0;
    loop {
        time_us += exponential(rng) * 100_000.0;
        if time_us >= length_us {
            return all;
        }
        all.push(disturb(time_us, rng.random_range(0..20), 50_000.0, Disturbance::Slow(10.0)));
    }
}

/// Targets restart one after the other: down for 150 ms, then five times slower for 400 ms.
fn cold_starts(length_us: f64) -> Vec<TraceDisturbance> {
    let mut all = Vec::new();
    for (number, start) in (1..).map(|n| (n, f64::from(n) * 400_000.0)).take_while(|(_, s)| *s < length_us) {
        let target = (number * 7) as usize % 20;
        all.push(disturb(start, target, 150_000.0, Disturbance::Down));
        all.push(disturb(start + 150_000.0, target, 400_000.0, Disturbance::Slow(5.0)));
    }
    all
}
