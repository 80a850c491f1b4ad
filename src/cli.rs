//! Definition of the command line; the doc comments of options and commands are their help texts.

use std::path::PathBuf;

use std::net::SocketAddr;

use argh::FromArgs;

use crate::units::{ChangeId, PlanVersion};

/// Load balancer for servers whose load changes within milliseconds.
///
/// Exit codes: 0 success, 1 failure, 2 invalid command line, settings or sheet, 3 temporary failure, try
/// again.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// subcommand to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands of the program.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run one instance.
    Serve(Serve),
    /// Run one instance on a platform where targets register themselves.
    Gateway(Gateway),
    /// Check a settings file.
    Settings(Settings),
    /// Check or submit a sheet, or show the plan in force.
    Plan(Plan),
    /// Print the report of service levels and error budgets.
    Report(Report),
}

/// Run one instance until SIGTERM or SIGINT tells it to shut down.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file (JSON); see docs/SETTINGS.md
    #[argh(option, arg_name = "file")]
    pub settings: PathBuf,
}

/// Run one instance on a platform where targets register themselves, until SIGTERM or SIGINT tells it to
/// shut down.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct Gateway {
    /// settings file (JSON); see docs/SETTINGS.md
    #[argh(option, arg_name = "file")]
    pub settings: PathBuf,
}

/// Work with settings files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct Settings {
    /// subcommand to run
    #[argh(subcommand)]
    pub command: SettingsCommand,
}

/// Subcommands for settings files.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum SettingsCommand {
    /// Check a settings file.
    Check(SettingsCheck),
}

/// Check a settings file and report every fault, without starting anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheck {
    /// settings file (JSON)
    #[argh(positional)]
    pub file: PathBuf,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Work with the plan.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// subcommand to run
    #[argh(subcommand)]
    pub command: PlanCommand,
}

/// Subcommands for the plan.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum PlanCommand {
    /// Check a sheet.
    Check(PlanCheck),
    /// Submit a sheet.
    Submit(PlanSubmit),
    /// Show the plan in force.
    Status(PlanStatus),
}

/// Check a sheet, the CSV source of a plan, and report every fault with line and column, without changing
/// anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct PlanCheck {
    /// sheet (CSV); see docs/SHEET.md
    #[argh(positional)]
    pub sheet: PathBuf,
    /// admin address of an instance, to show the differences from its plan in force
    #[argh(option, arg_name = "address")]
    pub to: Option<SocketAddr>,
    /// bearer token of that instance, if its settings have one
    #[argh(option)]
    pub token: Option<String>,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Submit a sheet and wait until it is in force on all live instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct PlanSubmit {
    /// sheet (CSV); see docs/SHEET.md
    #[argh(positional)]
    pub sheet: PathBuf,
    /// admin address of any instance
    #[argh(option, arg_name = "address")]
    pub to: SocketAddr,
    /// identifier that you choose for this change; submitting it again does not apply the change twice
    #[argh(option, arg_name = "id")]
    pub change_id: ChangeId,
    /// plan version that the sheet is based on; if another one is in force, the submission fails as a
    /// conflict
    #[argh(option, arg_name = "version")]
    pub base: Option<PlanVersion>,
    /// bearer token of that instance, if its settings have one
    #[argh(option)]
    pub token: Option<String>,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the plan in force at an instance and which instances have it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct PlanStatus {
    /// admin address of any instance
    #[argh(option, arg_name = "address")]
    pub to: SocketAddr,
    /// bearer token of that instance, if its settings have one
    #[argh(option)]
    pub token: Option<String>,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Print the report of service levels and error budgets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// admin address of any instance
    #[argh(option, arg_name = "address")]
    pub to: SocketAddr,
    /// bearer token of that instance, if its settings have one
    #[argh(option)]
    pub token: Option<String>,
    /// also write a chart of error budget burn and latency over time to this file (SVG)
    #[argh(option, arg_name = "file")]
    pub svg: Option<PathBuf>,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
}
