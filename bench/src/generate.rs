//! Generates traces from a seed: those in `bench/traces`, and longer ones.

use arbutusshelf::error::{Error, ErrorKind, Result};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::trace::{Disturbance, Trace, TraceCall, TraceDisturbance};

/// Names of the traces that can be generated.
pub const TRACE_NAMES: [&str; 6] = ["quiet", "milonga", "recital", "noisy", "fast-failure", "cold-starts"];

/// A class of calls in the mix of a trace.
#[derive(Debug, Clone, Copy)]
struct CallClass {
    /// Share of the calls, relative to the other classes of the mix.
    weight: f64,
    service: &'static str,
    method: &'static str,
    /// Path segment after that of the service.
    path: &'static str,
    /// Minimum work. The work beyond it is distributed exponentially.
    min_work_us: f64,
    mean_work_us: f64,
    bytes: u64,
    /// Whether each call has an idempotency key.
    keyed: bool,
}

const fn read_class(weight: f64, service: &'static str, path: &'static str, mean_work_us: f64) -> CallClass {
    CallClass {
        weight,
        service,
        method: "GET",
        path,
        min_work_us: 200.0,
        mean_work_us,
        bytes: 4_000,
        keyed: false,
    }
}

const fn transfer_class(weight: f64, service: &'static str, mean_work_us: f64) -> CallClass {
    let min_work_us = mean_work_us / 2.0;
    let path = "recordings";
    CallClass {
        weight,
        service,
        method: "GET",
        path,
        min_work_us,
        mean_work_us,
        bytes: 4_000_000,
        keyed: false,
    }
}

const fn at_most_once_class(weight: f64, service: &'static str, path: &'static str) -> CallClass {
    CallClass {
        weight,
        service,
        method: "POST",
        path,
        min_work_us: 1_000.0,
        mean_work_us: 8_000.0,
        bytes: 300,
        keyed: true,
    }
}

/// Mix of the traces `quiet`, `noisy`, `fast-failure` and `cold-starts`: short reads, a few long exports, and
/// bookings.
const LESSONS: [CallClass; 4] = [
    read_class(0.87, "schedule-board", "week", 5_000.0),
    CallClass { min_work_us: 20_000.0, ..read_class(0.01, "schedule-board", "export", 50_000.0) },
    read_class(0.06, "tuition-desk", "lessons", 5_000.0),
    at_most_once_class(0.06, "tuition-desk", "bookings"),
];

/// Mix of the trace `milonga`: long transfers of recordings among short calls.
const MILONGA: [CallClass; 5] = [
    read_class(0.60, "hallenplan", "today", 5_000.0),
    read_class(0.30, "tonarchiv", "list", 5_000.0),
    transfer_class(0.02, "tonarchiv", 200_000.0),
    at_most_once_class(0.04, "mietkasse", "charges"),
    at_most_once_class(0.04, "paarbuch", "confirmations"),
];

/// Mix of the trace `recital`: short reads, at-most-once charges, bookings and holds, and a few long
/// transfers.
const RECITAL: [CallClass; 6] = [
    read_class(0.70, "schedule-board", "week", 5_000.0),
    read_class(0.12, "tuition-desk", "lessons", 5_000.0),
    at_most_once_class(0.04, "tuition-desk", "bookings"),
    at_most_once_class(0.02, "tuition-desk", "charges"),
    at_most_once_class(0.03, "horn-loans", "holds"),
    transfer_class(0.005, "practice-vault", 100_000.0),
];

/// Generates the trace with this name. `calls_per_s` is the rate before demand rises.
///
/// # Errors
///
/// [`ErrorKind::File`] for an unknown name.
pub fn generate(name: &str, seed: u64, calls_per_s: f64, length_s: f64) -> Result<Trace> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end_us = length_s * 1e6;
    let constant = |_: f64| 1.0;
    let mut trace = match name {
        "quiet" | "noisy" | "fast-failure" | "cold-starts" => {
            generate_calls(&mut rng, &LESSONS, calls_per_s, end_us, constant)
        }
        "milonga" => generate_calls(&mut rng, &MILONGA, calls_per_s, end_us, |at| demand_factor(at, 3.0)),
        "recital" => generate_calls(&mut rng, &RECITAL, calls_per_s, end_us, |at| demand_factor(at, 4.0)),
        other => {
            let known = TRACE_NAMES.join(", ");
            return Err(Error::new(ErrorKind::File, format!("trace {other:?} is not one of {known}")));
        }
    };
    trace.disturbances = match name {
        "noisy" => random_slowdowns(&mut rng, end_us),
        "fast-failure" => vec![disturbance_of(0.3 * end_us, 4, 0.4 * end_us, Disturbance::Failing)],
        "cold-starts" => cold_starts(end_us),
        _ => Vec::new(),
    };
    trace.sort();
    Ok(trace)
}

/// Returns the demand at a fraction `at` of the trace's length, relative to the start: it rises from 1 to
/// `factor` within a tenth of the length, stays there, and falls back within a tenth.
fn demand_factor(at: f64, factor: f64) -> f64 {
    let height = ((at - 0.25) / 0.1).clamp(0.0, 1.0).min(((0.85 - at) / 0.1).clamp(0.0, 1.0));
    1.0 + (factor - 1.0) * height
}

/// Draws calls with exponentially distributed gaps. `demand` is the factor of the rate at a fraction of the
/// length.
fn generate_calls(
    rng: &mut SmallRng,
    mix: &[CallClass],
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
        let work_us = class.min_work_us + exponential(rng) * (class.mean_work_us - class.min_work_us);
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

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Draws a class according to the weights.
fn pick<'a>(rng: &mut SmallRng, mix: &'a [CallClass]) -> &'a CallClass {
    let mut remaining = rng.random::<f64>() * mix.iter().map(|c| c.weight).sum::<f64>();
    for class in mix {
        remaining -= class.weight;
        if remaining < 0.0 {
            return class;
        }
    }
    &mix[0]
}

/// Returns a disturbance of a target of the service `schedule-board`.
fn disturbance_of(time_us: f64, target: usize, for_us: f64, disturbance: Disturbance) -> TraceDisturbance {
    let service = "schedule-board".to_owned();
    TraceDisturbance { time_us: time_us as u64, service, target, for_us: for_us as u64, disturbance }
}

/// Slows a random target down by a factor of 10 for 50 ms, 10 times per second on average.
fn random_slowdowns(rng: &mut SmallRng, length_us: f64) -> Vec<TraceDisturbance> {
    let mut disturbances = Vec::new();
    let mut time_us = 0.0;
    loop {
        time_us += exponential(rng) * 100_000.0;
        if time_us >= length_us {
            return disturbances;
        }
        disturbances.push(disturbance_of(
            time_us,
            rng.random_range(0..20),
            50_000.0,
            Disturbance::Slow(10.0),
        ));
    }
}

/// Restarts a target every 400 ms: it is down for 150 ms, then slower by a factor of 5 for 400 ms.
fn cold_starts(length_us: f64) -> Vec<TraceDisturbance> {
    let mut disturbances = Vec::new();
    for (number, start) in (1..).map(|n| (n, f64::from(n) * 400_000.0)).take_while(|(_, s)| *s < length_us) {
        let target = (number * 7) as usize % 20;
        disturbances.push(disturbance_of(start, target, 150_000.0, Disturbance::Down));
        disturbances.push(disturbance_of(start + 150_000.0, target, 400_000.0, Disturbance::Slow(5.0)));
    }
    disturbances
}
