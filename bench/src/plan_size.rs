//! Measures the bytes and the processing time of plans of several sizes; the results are input for capacity
//! planning.

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use arbutusshelf::{
    error::Result,
    plan::{Plan, diff::describe, sheet},
};
use argh::FromArgs;

/// Number of times that each timed operation is repeated.
const REPETITIONS: u32 = 50;

/// Measure the bytes and the processing time of plans of several sizes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan-size")]
pub struct Args {}

/// Prints one line per plan size.
///
/// # Errors
///
/// None; the result type is that of all commands.
pub fn run(_args: &Args) -> Result<()> {
    println!(
        "| services | targets | sheet bytes | plan bytes | sheet to plan | encode | decode | difference |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (services, targets) in [(4, 32), (17, 128), (68, 500), (68, 2_000)] {
        measure(services, targets);
    }
    Ok(())
}

fn measure(services: usize, targets: usize) {
    let text = generate_sheet(services, targets);
    let plan = sheet::parse(text.as_bytes()).expect("the generated sheet is valid");
    let json = serde_json::to_vec(&plan).expect("a plan can be encoded as JSON");
    let mut changed = plan.clone();
    changed.services[0].deadline_ms += 1;
    let parse = time(|| sheet::parse(text.as_bytes()).is_ok());
    let encode = time(|| serde_json::to_vec(&plan).is_ok());
    let decode = time(|| serde_json::from_slice::<Plan>(&json).is_ok());
    let compare = time(|| !describe(&plan, &changed).is_empty());
    println!(
        "| {services} | {targets} | {} | {} | {parse:.0?} | {encode:.0?} | {decode:.0?} | {compare:.0?} |",
        text.len(),
        json.len()
    );
}

/// Returns the mean time of one execution of an operation that returns whether it succeeded.
fn time(mut operation: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    for _ in 0..REPETITIONS {
        assert!(std::hint::black_box(operation()), "the operation succeeds");
    }
    started.elapsed() / REPETITIONS
}

/// Generates a plan sheet with `targets` spread evenly over `services` and 12 data centres, and with 36
/// instances.
pub fn generate_sheet(services: usize, targets: usize) -> String {
    let mut text = "[instances]\nid,data_centre\n".to_owned();
    for i in 0..36 {
        let _ = writeln!(text, "instance-{i:02},dc-{:02}", i % 12);
    }
    text.push_str("[services]\nname,deadline_ms,queue_limit\n");
    for s in 0..services {
        let _ = writeln!(text, "service-{s:02},1000,300");
    }
    text.push_str("[targets]\nservice,id,address,data_centre,slots,max_connections\n");
    for t in 0..targets {
        let (service, port) = (t % services, 10_000 + t);
        let _ = writeln!(text, "service-{service:02},target-{t:04},127.0.0.1:{port},dc-{:02},6,250", t % 12);
    }
    text.push_str("[routes]\nservice,method,path_prefix,kind,priority\n");
    for s in 0..services {
        let _ = writeln!(text, "service-{s:02},GET,/service-{s:02},idempotent,normal");
        let _ = writeln!(text, "service-{s:02},POST,/service-{s:02}/charges,at-most-once,critical");
    }
    text
}
