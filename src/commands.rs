//! Implements the subcommands of the command line.

use std::{fs, path::Path, process::ExitCode};

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;

use crate::{
    admin::{
        PlanStatus,
        client::send_request,
        submit::{AcceptedChange, sheet_faults_error},
    },
    cli::{self, Cli, Command, PlanCommand, SettingsCommand},
    error::{Error, ErrorKind, Result},
    gateway,
    kernel::registry,
    observe::report::Report,
    plan::{
        Plan, diff,
        sheet::{self, SheetFault},
    },
    serve,
    settings::Config,
};

/// Runs the command and returns its exit code.
///
/// # Errors
///
/// The error to print; its kind determines the exit code.
pub fn run(cli: Cli) -> Result<ExitCode> {
    match cli.command {
        Command::Serve(args) => run_serve(&args),
        Command::Gateway(args) => {
            block_on(async { gateway::serve::serve(&args.settings).await.map(|()| ExitCode::SUCCESS) })
        }
        Command::Settings(args) => {
            let SettingsCommand::Check(args) = args.command;
            check_settings(&args)
        }
        Command::Plan(args) => match args.command {
            PlanCommand::Check(args) => block_on(check_plan(args)),
            PlanCommand::Submit(args) => block_on(submit_plan(args)),
            PlanCommand::Status(args) => block_on(show_status(args)),
        },
        Command::Report(args) => block_on(show_report(args)),
    }
}

fn run_serve(args: &cli::Serve) -> Result<ExitCode> {
    let config = Config::load(&args.settings)?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all();
    if config.workers > 0 {
        builder.worker_threads(config.workers);
    }
    let runtime = builder
        .build()
        .map_err(|e| Error::new(ErrorKind::File, format!("can't start the worker threads: {e}")))?;
    runtime.block_on(serve::serve(config))?;
    Ok(ExitCode::SUCCESS)
}

fn block_on(work: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| Error::new(ErrorKind::File, format!("can't start the runtime: {e}")))?.block_on(work)
}

fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn read_file(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|e| Error::new(ErrorKind::File, format!("{}: {e}", path.display())))
}

/// Output of `settings check --json`.
#[derive(Debug, Serialize)]
struct SettingsResult {
    valid: bool,
    instance: String,
}

fn check_settings(args: &cli::SettingsCheck) -> Result<ExitCode> {
    let config = Config::load(&args.file)?;
    if registry::find_platform_driver(&config.platform_driver).is_none() {
        let message = format!("platform_driver: no driver is named {:?}", config.platform_driver);
        return Err(Error::new(ErrorKind::Settings, message));
    }
    if args.json {
        print_json(&SettingsResult { valid: true, instance: config.instance.to_string() });
    } else {
        println!("settings of instance {} are valid", config.instance);
    }
    Ok(ExitCode::SUCCESS)
}

/// Output of `plan check --json`.
#[derive(Debug, Serialize)]
struct CheckResult {
    valid: bool,
    faults: Vec<SheetFault>,
    services: usize,
    targets: usize,
    changes: Option<Vec<String>>,
}

async fn check_plan(args: cli::PlanCheck) -> Result<ExitCode> {
    let text = read_file(&args.sheet)?;
    let plan = match sheet::parse(&text) {
        Ok(plan) => plan,
        Err(faults) if args.json => {
            print_json(&CheckResult { valid: false, faults, services: 0, targets: 0, changes: None });
            return Ok(ExitCode::from(ErrorKind::Sheet.exit_code()));
        }
        Err(faults) => return Err(sheet_faults_error(&faults)),
    };
    let changes = match args.to {
        Some(to) => {
            let in_force =
                send_request::<Plan>(Method::GET, to, "/plan", args.token.as_deref(), Bytes::new()).await?;
            Some(diff::describe(&in_force, &plan))
        }
        None => None,
    };
    let targets = plan.services.iter().map(|s| s.targets.len()).sum::<usize>();
    if args.json {
        let services = plan.services.len();
        print_json(&CheckResult { valid: true, faults: Vec::new(), services, targets, changes });
        return Ok(ExitCode::SUCCESS);
    }
    println!("the sheet is valid: {} services, {targets} targets", plan.services.len());
    for line in changes.iter().flatten() {
        println!("{line}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn submit_plan(args: cli::PlanSubmit) -> Result<ExitCode> {
    let text = read_file(&args.sheet)?;
    let base = args.base.map(|version| format!("&base={version}")).unwrap_or_default();
    let path = format!("/plan/submit?change-id={}{base}", args.change_id);
    let accepted = send_request::<AcceptedChange>(
        Method::POST,
        args.to,
        &path,
        args.token.as_deref(),
        Bytes::from(text),
    )
    .await?;
    if args.json {
        print_json(&accepted);
    } else {
        print_accepted(&accepted);
    }
    if accepted.not_in_force_on.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(ErrorKind::PlanUnconfirmed.exit_code()))
}

fn print_accepted(accepted: &AcceptedChange) {
    let repeated = if accepted.repeated { " (accepted before under this change id)" } else { "" };
    println!("accepted as version {}{repeated}", accepted.version);
    for line in &accepted.changes {
        println!("{line}");
    }
    if !accepted.never_heard_from.is_empty() {
        let names = accepted.never_heard_from.iter().map(ToString::to_string).collect::<Vec<_>>();
        println!("listed by the platform but never answered this instance: {}", names.join(", "));
    }
    if accepted.not_in_force_on.is_empty() {
        println!("in force on all live instances");
    } else {
        let names = accepted.not_in_force_on.iter().map(ToString::to_string).collect::<Vec<_>>();
        println!("not yet in force on: {}", names.join(", "));
    }
}

async fn show_status(args: cli::PlanStatus) -> Result<ExitCode> {
    let token = args.token.as_deref();
    let status =
        send_request::<PlanStatus>(Method::GET, args.to, "/plan/status", token, Bytes::new()).await?;
    if args.json {
        print_json(&status);
        return Ok(ExitCode::SUCCESS);
    }
    let change = status.change_id.as_deref().unwrap_or("none");
    println!("version {} by change {change}, {}", status.version, status.freshness);
    for member in &status.members {
        let state = if member.live { "live" } else { "silent" };
        let leaving = if member.leaving { " leaving" } else { "" };
        println!("{} version {} {state}{leaving}", member.instance, member.plan_version);
    }
    Ok(ExitCode::SUCCESS)
}

async fn show_report(args: cli::Report) -> Result<ExitCode> {
    let token = args.token.as_deref();
    let report = send_request::<Report>(Method::GET, args.to, "/report", token, Bytes::new()).await?;
    if let Some(file) = &args.svg {
        let chart = write_report("svg", &report)?;
        fs::write(file, chart)
            .map_err(|e| Error::new(ErrorKind::File, format!("{}: {e}", file.display())))?;
    }
    print!("{}", write_report(if args.json { "json" } else { "table" }, &report)?);
    Ok(ExitCode::SUCCESS)
}

fn write_report(format: &str, report: &Report) -> Result<String> {
    let writer = registry::find_report_writer(format)
        .ok_or_else(|| Error::new(ErrorKind::File, format!("no report writer is named {format}")))?;
    (writer.write)(report)
}
