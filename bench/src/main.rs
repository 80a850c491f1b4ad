//! Command line of the test bench.

use std::{net::SocketAddr, process::ExitCode};

use arbutusshelf::error::{Error, ErrorKind, Result};
use arbutusshelf_bench::{
    allocations::CountingAllocator, claim_load, control, endless_cost, experiment, fault_run, flood, latency,
    observe_cost, plan_size, platform::PlatformStandIn, pool_cost, soak, store_outage, target::TargetStandIn,
    tour,
};
use argh::FromArgs;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Stand-ins, load tests, measurements, trace replay and experiments for arbutusshelf.
#[derive(Debug, FromArgs)]
struct Cli {
    /// measurement, check or stand-in to run
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Tour(Tour),
    StoreOutage(store_outage::Args),
    FaultRun(fault_run::Args),
    ClaimLoad(claim_load::Args),
    PlanSize(plan_size::Args),
    Control(control::Args),
    ObserveCost(observe_cost::Args),
    Flood(flood::Args),
    Latency(latency::Args),
    EndlessCost(endless_cost::Args),
    Platform(Platform),
    Target(Target),
    Replay(experiment::ReplayCommand),
    Generate(experiment::GenerateCommand),
    Experiment(experiment::ExperimentCommand),
    PoolCost(pool_cost::PoolCost),
    Soak(soak::Args),
}

/// Check the required properties end to end, with both example deployments on loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tour")]
struct Tour {}

/// Run a stand-in of the platform's HTTP service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address to listen on, such as 127.0.0.1:9000
    #[argh(option)]
    listen: SocketAddr,
    /// seed of the random faults
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds after which it ends
    #[argh(option, default = "600")]
    for_s: u64,
}

/// Run a stand-in of a target.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
struct Target {
    /// address to listen on, such as 127.0.0.1:21000
    #[argh(option)]
    listen: SocketAddr,
    /// requests that it works on concurrently
    #[argh(option, default = "3")]
    slots: usize,
    /// seconds after which it ends
    #[argh(option, default = "600")]
    for_s: u64,
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("[arbutusshelf-bench error]: {e}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run() -> Result<ExitCode> {
    match argh::from_env::<Cli>().command {
        Command::Tour(Tour {}) => {
            let checks = tour::run().await?;
            Ok(if checks.broken_properties.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Replay(args) => args.run(),
        Command::Generate(args) => args.run(),
        Command::Experiment(args) => args.run(),
        Command::PoolCost(pool_cost::PoolCost {}) => {
            pool_cost::run();
            Ok(ExitCode::SUCCESS)
        }
        Command::PlanSize(args) => {
            plan_size::run(&args)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Flood(args) => {
            flood::run(&args).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::ObserveCost(args) => {
            observe_cost::run(&args)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::StoreOutage(args) => {
            store_outage::run(&args).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::FaultRun(args) => {
            let counts = fault_run::run(&args).await?;
            Ok(if counts.violations().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::ClaimLoad(args) => {
            claim_load::run(&args).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Soak(args) => {
            let findings = soak::run(&args).await?;
            Ok(if findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Control(args) => {
            control::run(&args).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Latency(args) => {
            latency::run(&args).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::EndlessCost(args) => {
            endless_cost::run(&args).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Platform(args) => {
            let stand_in =
                PlatformStandIn::start(args.listen, args.seed).await.map_err(|e| unavailable(&e))?;
            println!("platform stand-in at {}", stand_in.server.address);
            tokio::time::sleep(std::time::Duration::from_secs(args.for_s)).await;
            Ok(ExitCode::SUCCESS)
        }
        Command::Target(args) => {
            let stand_in =
                TargetStandIn::start(args.listen, args.slots).await.map_err(|e| unavailable(&e))?;
            println!("target stand-in at {}", stand_in.server.address);
            tokio::time::sleep(std::time::Duration::from_secs(args.for_s)).await;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn unavailable(e: &std::io::Error) -> Error {
    Error::new(ErrorKind::AddressUnavailable, e.to_string())
}
