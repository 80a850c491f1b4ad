//! Measures the time, memory and bytes that it takes to count calls and to compute the error-budget burn
//! report; the results are input for capacity planning.

use std::{
    hint::black_box,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use arbutusshelf::{
    error::{ErrorKind, Outcome, Result},
    logging::{self, limit::Limiter},
    observe::{
        metrics::{Metrics, Snapshot},
        recorder::RollUpRecorder,
        report::{self, ReportInput},
        rollup::{ControlCost, HourRollUp, RunKey, decode, encode},
        store_calls::StoreCallMetrics,
        tally::{CompletedCall, Tally},
    },
    plan::{Plan, RequestKind, sheet},
    store::WriteResult,
    units::{MonoTime, ServiceName},
};
use argh::FromArgs;
use log::LevelFilter;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of calls in each timed run.
const CALLS: u32 = 100_000;

/// Number of ended calls that a thread records between two drains.
const RECORDS_PER_DRAIN: u32 = 1_000;

/// Unix time at which simulated traffic starts: the start of an hour.
const START_S: u64 = 1_765_000_800;

/// Number of minutes in a day.
const DAY_MINUTES: u64 = 1_440;

/// Measure the cost of counting calls and of the burn report.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "observe-cost")]
pub struct Args {
    /// seed of the generated calls
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the measurements and prints their results.
///
/// # Errors
///
/// None; the result type is that of all commands.
pub fn run(args: &Args) -> Result<()> {
    println!("| step | time |\n|---|---|");
    for threads in [1, 4] {
        println!("| record one ended call, {threads} threads | {:.0?} |", measure_record(threads, args.seed));
    }
    for services in [4, 68] {
        measure_counting(services, args.seed);
    }
    measure_log_lines();
    println!("\n| services | calls a minute | minute object | hour object | kept for 2 h |");
    println!("|---|---|---|---|---|");
    for (services, calls) in [(4, 1_000), (4, 10_000), (68, 113_000)] {
        print_sizes(services, calls, args.seed);
    }
    println!("\n| instances | services | objects read | bytes read | decode and merge |");
    println!("|---|---|---|---|---|");
    for (instances, services) in [(3, 4), (18, 4), (18, 68)] {
        measure_report(instances, services, args.seed);
    }
    Ok(())
}

fn plan(services: usize) -> Plan {
    let names = (0..services).map(|n| format!("service-{n:02}")).collect::<Vec<_>>();
    sheet::parse(format!("[services]\nname\n{}\n", names.join("\n")).as_bytes())
        .expect("the generated sheet is valid")
}

fn names(plan: &Plan) -> Vec<ServiceName> {
    plan.services.iter().map(|s| s.name.clone()).collect()
}

/// Generates an ended call with a long-tailed latency; one in 200 is refused as overloaded.
fn generate_call_end(rng: &mut SmallRng, services: &[ServiceName]) -> CompletedCall {
    let latency_us = (1_000.0 / rng.random::<f64>().max(1e-4).sqrt()) as u64;
    let refused = rng.random_range(0..200) == 0;
    CompletedCall {
        service: Some(services[rng.random_range(0..services.len())].clone()),
        kind: RequestKind::Idempotent,
        outcome: if refused { Outcome::NotRun } else { Outcome::Ran },
        cause: refused.then_some(ErrorKind::Overloaded),
        useful: !refused && latency_us < 50_000,
        latency: Duration::from_micros(latency_us),
        queue_wait: Duration::from_micros(latency_us / 10),
        head_of_line: Duration::ZERO,
    }
}

/// Returns the mean time to record one ended call when this many threads record concurrently.
fn measure_record(threads: u32, seed: u64) -> Duration {
    let tally = Arc::new(Tally::default());
    let services = names(&plan(4));
    let work = |thread: u32| {
        let (tally, services) = (Arc::clone(&tally), services.clone());
        move || {
            let mut rng = SmallRng::seed_from_u64(seed + u64::from(thread));
            let mut elapsed = Duration::ZERO;
            for _ in 0..CALLS / threads / RECORDS_PER_DRAIN {
                let ends = (0..RECORDS_PER_DRAIN)
                    .map(|_| generate_call_end(&mut rng, &services))
                    .collect::<Vec<_>>();
                let started = Instant::now();
                for end in ends {
                    tally.record(end);
                }
                elapsed += started.elapsed();
                black_box(tally.drain());
            }
            elapsed
        }
    };
    let handles = (0..threads).map(|t| thread::spawn(work(t))).collect::<Vec<_>>();
    let total = handles.into_iter().map(|h| h.join().expect("no thread panics")).sum::<Duration>();
    assert_eq!(tally.dropped(), 0, "no record was lost");
    total / CALLS
}

/// Prints the time to count ended calls in roll-ups and metrics, and to write the metrics page.
fn measure_counting(services: usize, seed: u64) {
    let plan = plan(services);
    let mut rng = SmallRng::seed_from_u64(seed);
    let services = names(&plan);
    let ends = (0..CALLS).map(|_| generate_call_end(&mut rng, &services)).collect::<Vec<_>>();
    let mut roll_ups = RollUpRecorder::new(run_key(0));
    roll_ups.advance(START_S, &plan, ControlCost::default());
    let metrics = Metrics::new(&StoreCallMetrics::default());
    // Each batch is what is drained every half second at 2,000 calls per second.
    let batches = ends.chunks(1_000);
    let started = Instant::now();
    batches.clone().for_each(|batch| roll_ups.count_calls(batch));
    let recorded = started.elapsed() / CALLS;
    let started = Instant::now();
    batches.for_each(|batch| metrics.count(batch));
    let counted = started.elapsed() / CALLS;
    let started = Instant::now();
    let page = metrics.encode(&Snapshot::default()).expect("metrics can be encoded");
    let written = started.elapsed();
    let count = services.len();
    println!("| count one ended call in its minute, {count} services | {recorded:.0?} |");
    println!("| count one ended call in the metrics, {count} services | {counted:.0?} |");
    println!("| write the metrics page, {count} services, {} bytes | {written:.0?} |", page.len());
}

fn measure_log_lines() {
    let mut limiter = Limiter::new(10);
    let started = Instant::now();
    for line in 0..CALLS {
        let now = MonoTime::default() + Duration::from_micros(u64::from(line) * 100);
        black_box(limiter.admit(now, "arbutusshelf::proxy", "call-refused"));
    }
    println!("| drop one log line over the limit | {:.0?} |", started.elapsed() / CALLS);
    let message = "event=call-refused request=b3c1b4734e415915-1 service=hallenplan cause=overloaded";
    let started = Instant::now();
    for _ in 0..CALLS {
        black_box(logging::format_line(1, LevelFilter::Info, "arbutusshelf::proxy", message));
    }
    println!("| format one log line | {:.0?} |", started.elapsed() / CALLS);
}

fn run_key(instance: usize) -> RunKey {
    let name = format!("instance-{instance:02}").parse().expect("the name is valid");
    RunKey { instance: name, run_id: (instance as u64 + 1).into() }
}

/// Prints the sizes of the roll-up objects that one instance writes in 2 h.
fn print_sizes(services: usize, calls: usize, seed: u64) {
    let plan = plan(services);
    let objects = simulate_instance(&plan, 0, calls, 120, seed);
    let minute = objects.minutes.iter().map(Vec::len).max().unwrap_or_default();
    let hour = objects.hours.iter().map(Vec::len).max().unwrap_or_default();
    println!("| {services} | {calls} | {minute} B | {hour} B | {} B |", objects.kept_bytes);
}

/// Roll-up objects that one instance wrote, and the size of the minutes that it keeps in memory.
#[derive(Default)]
struct WrittenObjects {
    minutes: Vec<Vec<u8>>,
    hours: Vec<Vec<u8>>,
    kept_bytes: u64,
}

/// Counts generated calls for a number of minutes and returns the objects that an instance writes meanwhile.
fn simulate_instance(
    plan: &Plan,
    instance: usize,
    calls_per_minute: usize,
    minutes: u64,
    seed: u64,
) -> WrittenObjects {
    let services = names(plan);
    let mut rng = SmallRng::seed_from_u64(seed + instance as u64);
    let mut roll_ups = RollUpRecorder::new(run_key(instance));
    let mut objects = WrittenObjects::default();
    for minute in 0..=minutes {
        let now_s = START_S + minute * 60;
        roll_ups.advance(now_s, plan, ControlCost::default());
        while let Some(upload) = roll_ups.next_upload(now_s) {
            let is_hour = upload.name.contains("/hour/");
            let list = if is_hour { &mut objects.hours } else { &mut objects.minutes };
            list.push(upload.content.to_vec());
            roll_ups.record_upload(&upload, &WriteResult::TookEffect(Vec::new()), now_s, f64::MAX);
            roll_ups.make_next_upload_due();
        }
        if minute < minutes {
            let ends =
                (0..calls_per_minute).map(|_| generate_call_end(&mut rng, &services)).collect::<Vec<_>>();
            roll_ups.count_calls(&ends);
        }
    }
    objects.kept_bytes = roll_ups.kept_bytes();
    objects
}

/// Prints the time to compute the report of a day, with the last hour read from minute objects and the others
/// from hour objects.
fn measure_report(instances: usize, services: usize, seed: u64) {
    let plan = plan(services);
    let calls = services * 50;
    let mut contents = Vec::new();
    for instance in 0..instances {
        let objects = simulate_instance(&plan, instance, calls, DAY_MINUTES, seed);
        contents.extend(objects.hours.into_iter().map(|content| (true, content)));
        let recent = objects.minutes.len().saturating_sub(60);
        contents.extend(objects.minutes.into_iter().skip(recent).map(|content| (false, content)));
    }
    let bytes = contents.iter().map(|(_, content)| content.len()).sum::<usize>();
    let started = Instant::now();
    let mut gathered = ReportInput::default();
    for (is_hour, content) in &contents {
        if *is_hour {
            gathered.hours.extend(decode::<HourRollUp>(content));
        } else {
            gathered.minutes.extend(decode(content));
        }
    }
    let now_s = START_S + (DAY_MINUTES - 1) * 60;
    let report = report::build(&run_key(0).instance, &plan, &gathered, now_s);
    let elapsed = started.elapsed();
    let counted = report.services.iter().filter_map(|s| s.windows.last()).map(|w| w.calls).sum::<u64>();
    assert_eq!(counted, instances as u64 * DAY_MINUTES * calls as u64, "every call is in the report");
    assert!(!encode(&gathered.hours).is_empty(), "hour objects were read");
    println!("| {instances} | {services} | {} | {bytes} | {elapsed:.0?} |", contents.len());
}
