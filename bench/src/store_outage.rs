//! Measures the load on the platform before, during and after an outage, with and without the guard that
//! limits each instance's share of requests and stops requests while the platform is unreachable.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arbutusshelf::{
    error::{Error, ErrorKind, Result},
    kernel::clock::Clock,
    store::{
        Condition, Platform, RowChange, RowKey, RowWrite, WriteResult, guard::GuardedPlatform, http,
        rate_limit::Purpose,
    },
};
use argh::FromArgs;
use bytes::Bytes;
use derive_more::Display;

use crate::{
    deployment::ANY_PORT,
    platform::{Counts, Faults, PlatformStandIn},
};

/// Time after which a request to the platform without a response counts as failed.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a writer waits between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// Measure the load on the platform before, during and after an outage.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store-outage")]
pub struct Args {
    /// instances
    #[argh(option, default = "18")]
    instances: usize,
    /// concurrent writers of each instance, each waiting 5 ms between its writes
    #[argh(option, default = "8")]
    writers: usize,
    /// duration of each of the three phases, in seconds
    #[argh(option, default = "3")]
    phase_s: u64,
}

#[derive(Debug, Clone, Copy, Display)]
#[display(rename_all = "lowercase")]
enum Phase {
    Before,
    Outage,
    /// After the outage.
    Return,
}

/// Runs the measurement without and with the guard and prints one line per phase.
///
/// # Errors
///
/// If the stand-in can't be started.
pub async fn run(args: &Args) -> Result<()> {
    println!("| guard | phase | requests/s | answered 429 | share answered 429 | took effect/s |");
    println!("|---|---|---|---|---|---|");
    for guarded in [false, true] {
        measure(args, guarded).await?;
    }
    Ok(())
}

async fn measure(args: &Args, guarded: bool) -> Result<()> {
    let stand_in = PlatformStandIn::start(ANY_PORT, 1)
        .await
        .map_err(|e| Error::new(ErrorKind::AddressUnavailable, e.to_string()))?;
    let running = Arc::new(AtomicBool::new(true));
    let clock = Clock::start();
    let mut writers = Vec::new();
    for instance in 0..args.instances {
        let driver = http::driver(stand_in.server.address, PLATFORM_TIMEOUT);
        let platform = if guarded {
            GuardedPlatform::new(driver, clock, instance as u64).for_purpose(Purpose::Claim)
        } else {
            driver
        };
        for writer in 0..args.writers {
            let name = format!("{instance}-{writer}");
            writers.push(tokio::spawn(write_rows(platform.clone(), name, Arc::clone(&running))));
        }
    }
    for phase in [Phase::Before, Phase::Outage, Phase::Return] {
        let down = matches!(phase, Phase::Outage);
        stand_in.set_faults(Faults { down, ..Faults::default() });
        let (before, started) = (stand_in.counts(), Instant::now());
        tokio::time::sleep(Duration::from_secs(args.phase_s)).await;
        print_phase(guarded, phase, before, stand_in.counts(), started.elapsed());
    }
    running.store(false, Ordering::Relaxed);
    for writer in writers {
        writer.await.map_err(|e| Error::new(ErrorKind::File, e.to_string()))?;
    }
    Ok(())
}

fn print_phase(guarded: bool, phase: Phase, before: Counts, after: Counts, elapsed: Duration) {
    let requests = after.arrived - before.arrived;
    let throttled = after.throttled - before.throttled;
    let took_effect = (after.writes - before.writes) - throttled;
    let per_s = |count: u64| count as f64 / elapsed.as_secs_f64();
    let share = throttled as f64 / requests.max(1) as f64;
    println!(
        "| {} | {phase} | {:.0} | {throttled} | {:.3} | {:.0} |",
        if guarded { "with" } else { "without" },
        per_s(requests),
        share,
        per_s(took_effect)
    );
}

/// Inserts rows under new keys, one at a time, while `running` is set; a failed insert is repeated.
async fn write_rows(platform: Platform, name: String, running: Arc<AtomicBool>) {
    let mut number = 0_u64;
    while running.load(Ordering::Relaxed) {
        let key = RowKey(format!("load/{name}-{number}"));
        let change = RowChange::Put(Bytes::from_static(b"{}"));
        let write = RowWrite { key, condition: Condition::Absent, change };
        if matches!((platform.write)(vec![write]).await, WriteResult::TookEffect(_)) {
            number += 1;
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}
