//! The whole command line.

use std::path::PathBuf;

use std::net::SocketAddr;

use argh::FromArgs;

use crate::units::{ChangeId, PlanVersion};

/// Load balancer for servers whose load shifts in milliseconds.
///
/// Exit codes: 0 done, 1 failed, 2 faulty command line, settings or sheet, 3 not done now, try again.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run one entry instance.
    Serve(Serve),
    /// Run one instance on a platform where targets register themselves.
    Gateway(Gateway),
    /// Check a settings file.
    Settings(Settings),
    /// Check or submit a sheet, or show the plan in force.
    Plan(Plan),
    /// Print the service-level burn report.
    Report(Report),
}

/// Run one entry instance until it is told to leave (SIGTERM or SIGINT).
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file (JSON); see docs/SETTINGS.md
    #[argh(option, arg_name = "file")]
    pub settings: PathBuf,
}

/// Run one instance on a platform where targets register themselves, until it is told to leave (SIGTERM or SIGINT).
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
    /// what to do
    #[argh(subcommand)]
    pub command: SettingsCommand,
}

/// What to do with a settings file.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum SettingsCommand {
    /// Check a settings file.
    Check(SettingsCheck),
}

/// Check a settings file and name every fault; nothing is started.
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
    /// what to do
    #[argh(subcommand)]
    pub command: PlanCommand,
}

/// What to do with the plan.
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

/// Check a sheet and name every fault with line and column; nothing is changed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct PlanCheck {
    /// sheet (CSV); see docs/SHEET.md
    #[argh(positional)]
    pub sheet: PathBuf,
    /// admin address of an instance, to show the difference against its plan in force
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
    /// your name for this change; submitting the same one again is the same change
    #[argh(option, arg_name = "id")]
    pub change_id: ChangeId,
    /// version that the sheet builds on; another one in force is a conflict
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

/// Print the service-level burn report.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// admin address of any instance
    #[argh(option, arg_name = "address")]
    pub to: SocketAddr,
    /// bearer token of that instance, if its settings have one
    #[argh(option)]
    pub token: Option<String>,
    /// also draw burn and latency over time into this file (SVG)
    #[argh(option, arg_name = "file")]
    pub svg: Option<PathBuf>,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
}
