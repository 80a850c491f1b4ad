//! Entry point of the `arbutusshelf` program, which runs an instance or an operator's command.

use std::process::ExitCode;

use arbutusshelf::{cli::Cli, commands, error::Result};

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("[arbutusshelf error]: {e}");
            ExitCode::from(e.kind.exit_code())
        }
    }
}

fn run() -> Result<ExitCode> {
    let cli = argh::from_env::<Cli>();
    commands::run(cli)
}
